//! A client that leaves, against the attempts made for it.

use crate::harness::*;
use std::collections::BTreeSet;
use std::net::Shutdown;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};

const LONG: u64 = 20_000;

fn rejected() -> Reply {
    Reply::Answer("503 Busy", "X-Rejected: 1\r\n", vec![])
}

fn is_held(message: &Message) -> bool {
    message.start_line.contains("/held")
}

/// Two backends that turn away who asks for `/read/held`, each once it holds a count of them that the gate lets through.
struct Gate {
    backends: [Backend; 2],
    held: Arc<AtomicUsize>,
    ids: Arc<Mutex<BTreeSet<String>>>,
    gate: Arc<Mutex<()>>,
}

impl Gate {
    fn start() -> Self {
        let (held, gate) = (Arc::new(AtomicUsize::new(0)), Arc::new(Mutex::new(())));
        let ids = Arc::<Mutex<BTreeSet<String>>>::default();
        let backends = [0, 1].map(|_| {
            let (held, gate, ids) = (held.clone(), gate.clone(), ids.clone());
            Backend::start(move |message| {
                if !is_held(message) {
                    return ok("");
                }
                ids.lock()
                    .expect("the ids")
                    .insert(message.header("x-call-id").unwrap_or_default().to_owned());
                held.fetch_add(1, Ordering::SeqCst);
                drop(gate.lock().expect("the gate"));
                rejected()
            })
        });
        Gate { backends, held, ids, gate }
    }

    fn held(&self) -> usize {
        self.held.load(Ordering::SeqCst)
    }
}

fn ask_held(node: &Node) -> Client {
    let mut client = node.client();
    client.send("GET /read/held", &common_headers(LONG), b"");
    client
}

/// Enough requests that whatever the node would do by itself it has done.
fn others_are_served(node: &Node) {
    let mut other = node.client();
    for _ in 0..50 {
        wait_until(|| other.request_read().status() == 200, "service");
    }
}

/// Part of another request hides the end from the runtime; the attempt asks the kernel.
#[test]
fn who_leaves_behind_half_a_request_gets_no_further_attempt() {
    for half in [false, true] {
        let gate = Gate::start();
        let (node, _watch, _discovery) = serving_node(&settings(LONG, ""), &gate.backends.each_ref());
        others_are_served(&node);
        let closed = gate.gate.lock().expect("the gate");
        let mut client = ask_held(&node);
        wait_until(|| gate.held() == 1, "the first attempt");
        client.write(b"GET /re");
        let stream = client.write_handle();
        if half {
            stream.shutdown(Shutdown::Write).expect("it is open");
        }
        drop(stream);
        let port = client.local_port();
        let kept = half.then_some(client);
        wait_for_closes(&[port], node.address);
        drop(closed);
        others_are_served(&node);
        assert_eq!(gate.held(), 1, "half {half}");
        // It is not answered: its end counts as a close.
        assert!(kept.is_none_or(|mut client| client.read_to_end().is_empty()));
    }
}

/// The node stands still while hundreds leave, and while what they wait for comes.
#[test]
fn a_burst_that_leaves_while_the_node_has_no_turn_gets_no_attempt() {
    const CROWD: usize = 200;
    for first in [true, false] {
        let gate = Gate::start();
        let (node, _watch, _discovery) = serving_node(&settings(LONG, ""), &gate.backends.each_ref());
        others_are_served(&node);
        let closed = gate.gate.lock().expect("the gate");
        let crowd: Vec<Client> = (0..CROWD).map(|_| ask_held(&node)).collect();
        wait_until(|| gate.held() > 0, "an attempt");
        node.set_stopped(true);
        let ports: Vec<u16> = crowd.iter().map(Client::local_port).collect();
        if first {
            drop(crowd);
            drop(closed);
        } else {
            drop(closed);
            drop(crowd);
        }
        wait_for_closes(&ports, node.address);
        node.set_stopped(false);
        others_are_served(&node);
        // What it had written before it stood still may reach a backend's thread later: a few first attempts, each once.
        // Of those that wait fewer than a quarter may be sent on.
        let (held, ids) = (gate.held(), gate.ids.lock().expect("the ids").len());
        assert_eq!(held, ids, "a further attempt; leaves first: {first}");
        assert!(held < CROWD / 4, "{held} were sent on; leaves first: {first}");
    }
}
