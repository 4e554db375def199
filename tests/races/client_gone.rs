//! Races between a client's disconnect and the attempts made for it.

use crate::harness::*;
use std::collections::BTreeSet;
use std::io::Write;
use std::net::Shutdown;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

const DEADLINE_MS: u64 = 20_000;

fn rejected() -> Reply {
    Reply::Answer("503 Busy", "X-Rejected: 1\r\n", vec![])
}

fn is_held(message: &Message) -> bool {
    message.start_line.contains("/held")
}

/// Two backends that reject the requests for `/read/held`, and hold each one until the gate is open.
struct GatedBackends {
    backends: [Backend; 2],
    held_requests: Arc<AtomicUsize>,
    ids: Arc<Mutex<BTreeSet<String>>>,
    gate: Arc<Mutex<()>>,
}

impl GatedBackends {
    fn start() -> Self {
        let (held_requests, gate) = (Arc::new(AtomicUsize::new(0)), Arc::new(Mutex::new(())));
        let ids = Arc::<Mutex<BTreeSet<String>>>::default();
        let backends = [0, 1].map(|_| {
            let (held_requests, gate, ids) = (held_requests.clone(), gate.clone(), ids.clone());
            Backend::start(move |message| {
                if !is_held(message) {
                    return ok("");
                }
                ids.lock()
                    .expect("the ids")
                    .insert(message.header("x-call-id").unwrap_or_default().to_owned());
                held_requests.fetch_add(1, Ordering::SeqCst);
                drop(gate.lock().expect("the gate"));
                rejected()
            })
        });
        GatedBackends { backends, held_requests, ids, gate }
    }

    fn held_requests(&self) -> usize {
        self.held_requests.load(Ordering::SeqCst)
    }
}

fn send_held(node: &Node) -> Client {
    let mut client = node.client();
    client.send("GET /read/held", &common_headers(DEADLINE_MS), b"");
    client
}

/// Serves enough other requests that the node has done all pending work.
fn serve_others(node: &Node) {
    let mut other = node.client();
    for _ in 0..50 {
        wait_until(|| other.request_read().status() == 200, "service");
    }
}

/// Unread bytes of another request hide the client's disconnect from the runtime. No further attempt may be
/// made: before each one the node asks the kernel.
#[test]
fn a_disconnect_hidden_by_unread_bytes_prevents_a_further_attempt() {
    for half_close in [false, true] {
        let gated = GatedBackends::start();
        let (node, _watch, _discovery) = serving_node(&settings(DEADLINE_MS, ""), &gated.backends.each_ref());
        serve_others(&node);
        let closed_gate = gated.gate.lock().expect("the gate");
        let mut client = send_held(&node);
        wait_until(|| gated.held_requests() == 1, "the first attempt");
        client.write(b"GET /re");
        let stream = client.write_handle();
        if half_close {
            stream.shutdown(Shutdown::Write).expect("it is open");
        }
        drop(stream);
        let port = client.local_port();
        let half_closed = half_close.then_some(client);
        wait_for_closes(&[port], node.address);
        drop(closed_gate);
        serve_others(&node);
        assert_eq!(gated.held_requests(), 1, "half-close: {half_close}");
        // A half-closed client is not answered: a half-close counts as a close.
        assert!(half_closed.is_none_or(|mut client| client.read_to_end().is_empty()));
    }
}

/// Guards against requests that are sent on for a client that has closed its connection behind more bytes than the
/// node's machine takes: its close stands behind them, on its own machine.
#[test]
fn a_disconnect_behind_more_than_the_kernel_takes_prevents_further_attempts() {
    // An attempt may still begin this long after the close.
    const NOTICE_TIME: Duration = Duration::from_millis(100);
    // A write that takes longer shows that the buffers are full.
    const WRITE_LIMIT: Duration = Duration::from_millis(200);
    for unread_bytes in [20_000, 100_000, 1_000_000, 4_000_000] {
        let gated = GatedBackends::start();
        let (node, _watch, _discovery) = serving_node(&settings(DEADLINE_MS, ""), &gated.backends.each_ref());
        serve_others(&node);
        let closed_gate = gated.gate.lock().expect("the gate");
        let client = send_held(&node);
        wait_until(|| gated.held_requests() == 1, "the first attempt");
        let mut stream = client.write_handle();
        stream.set_write_timeout(Some(WRITE_LIMIT)).expect("an option");
        let request = || format!("GET /read/held HTTP/1.1\r\nHost: a\r\n{}\r\n", common_headers(DEADLINE_MS));
        let pipelined: String = (0..unread_bytes / request().len()).map(|_| request()).collect();
        let _ = stream.write_all(pipelined.as_bytes());
        drop((stream, client));
        std::thread::sleep(NOTICE_TIME);
        drop(closed_gate);
        serve_others(&node);
        assert_eq!(gated.held_requests(), 1, "{unread_bytes} bytes unread");
    }
}

/// Guards against an attempt that goes on, and keeps its server busy, for a client whose disconnect unread bytes
/// of another request hide from the runtime.
#[test]
fn a_disconnect_hidden_by_unread_bytes_ends_the_attempt_in_flight() {
    // Far longer than this test waits.
    const LONG_DEADLINE_MS: u64 = 500_000;
    for half_close in [false, true] {
        let backend = Backend::start(|_| Reply::Silence);
        let (node, _watch, _discovery) = serving_node(&settings(LONG_DEADLINE_MS, ""), &[&backend]);
        let mut client = node.client();
        client.send("POST /correct/1f", &common_headers(LONG_DEADLINE_MS), b"sheet");
        wait_until(|| backend.request_count() == 1, "the attempt");
        client.write(b"POST /corr");
        if half_close {
            client.write_handle().shutdown(Shutdown::Write).expect("it is open");
        }
        let _half_closed = half_close.then_some(client);
        backend.next_closed();
    }
}

/// The node's process is stopped while hundreds of clients disconnect and the responses that would allow a
/// retry arrive.
#[test]
fn a_burst_of_disconnects_while_the_node_is_stopped_prevents_further_attempts() {
    const CLIENTS: usize = 200;
    for disconnect_first in [true, false] {
        let gated = GatedBackends::start();
        let (node, _watch, _discovery) = serving_node(&settings(DEADLINE_MS, ""), &gated.backends.each_ref());
        serve_others(&node);
        let closed_gate = gated.gate.lock().expect("the gate");
        let clients: Vec<Client> = (0..CLIENTS).map(|_| send_held(&node)).collect();
        wait_until(|| gated.held_requests() > 0, "an attempt");
        node.set_stopped(true);
        let ports: Vec<u16> = clients.iter().map(Client::local_port).collect();
        if disconnect_first {
            drop(clients);
            drop(closed_gate);
        } else {
            drop(closed_gate);
            drop(clients);
        }
        wait_for_closes(&ports, node.address);
        node.set_stopped(false);
        serve_others(&node);
        // First attempts that the node wrote before it was stopped may reach a backend later, each once. Of
        // the requests that wait, fewer than a quarter may be sent on.
        let (held_requests, ids) = (gated.held_requests(), gated.ids.lock().expect("the ids").len());
        assert_eq!(held_requests, ids, "a further attempt; disconnect first: {disconnect_first}");
        assert!(
            held_requests < CLIENTS / 4,
            "{held_requests} were sent on; disconnect first: {disconnect_first}"
        );
    }
}
