//! What clients see of a node that shuts down gracefully, and what remains of clients that disconnect before
//! their response. The timing after SIGTERM is tested with the frontend, on a clock that the tests control.

use crate::harness::*;
use std::collections::BTreeSet;
use std::io::Write;
use std::net::{Shutdown, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Barrier, Mutex};
use std::thread::spawn;

const DEADLINE_MS: u64 = 20_000;
/// Well within the client connections that 1,024 file descriptors allow.
const CLIENTS: usize = 200;

/// A shutdown must not lose requests of clients that keep sending on keep-alive connections and open new ones
/// until the node is terminating. Each request that reached a backend must be answered completely; of the
/// first requests on accepted connections fewer than one in 200 may end without a response.
#[test]
fn a_shutdown_under_two_hundred_connections_loses_no_accepted_request() {
    let received = Arc::new(Mutex::new(BTreeSet::new()));
    let backends = [0, 1, 2, 3].map(|_| {
        let received = received.clone();
        Backend::start(move |message| {
            let id = message.header("x-call-id").unwrap_or_default().to_owned();
            received.lock().expect("the list").insert(id.clone());
            ok(&id)
        })
    });
    let (mut node, _watch, _discovery) = serving_node(&settings(DEADLINE_MS, ""), &backends.each_ref());
    let (shutting_down, all_connected) =
        (Arc::new(AtomicBool::new(false)), Arc::new(Barrier::new(CLIENTS + 1)));
    let (first_requests, unanswered, lost) =
        (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)), Arc::new(Mutex::new(Vec::new())));
    let address = node.address;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|_| {
            let (shutting_down, all_connected, received) =
                (shutting_down.clone(), all_connected.clone(), received.clone());
            let (first_requests, unanswered, lost) =
                (first_requests.clone(), unanswered.clone(), lost.clone());
            spawn(move || {
                let mut connected = false;
                while !shutting_down.load(Ordering::SeqCst) {
                    let Ok(stream) = TcpStream::connect(address) else { continue };
                    let mut client = Client::from_stream(stream);
                    for index in 0.. {
                        let headers = common_headers(DEADLINE_MS);
                        let id = headers.lines().find_map(|line| line.strip_prefix("X-Call-Id: "));
                        let id = id.expect("an id").to_owned();
                        first_requests.fetch_add(usize::from(index == 0), Ordering::SeqCst);
                        let sent = client.try_send("GET /read/1f", &headers);
                        let answer = if sent { client.try_answer() } else { Ok(None) };
                        if !std::mem::replace(&mut connected, true) {
                            all_connected.wait(); // every client has a connection when the node is terminated
                        }
                        match &answer {
                            Ok(Some(answer)) if answer.status() != 200 => {}
                            Ok(Some(answer)) if answer.body == id.as_bytes() => {}
                            Ok(None) if !received.lock().expect("the list").contains(&id) => {
                                unanswered.fetch_add(usize::from(index == 0), Ordering::SeqCst);
                                break;
                            }
                            other => {
                                lost.lock().expect("the list").push(format!("{id}: {other:?}"));
                                break;
                            }
                        }
                        if answer_closes(&answer) {
                            break;
                        }
                    }
                }
            })
        })
        .collect();
    all_connected.wait();
    node.terminate();
    node.wait_for_log("told to stop");
    shutting_down.store(true, Ordering::SeqCst);
    clients.into_iter().for_each(|client| client.join().expect("a client"));
    assert_eq!(node.wait_for_exit().code(), Some(0));
    assert_eq!(*lost.lock().expect("the list"), Vec::<String>::new());
    let (first_requests, unanswered) =
        (first_requests.load(Ordering::SeqCst), unanswered.load(Ordering::SeqCst));
    assert!(
        first_requests >= CLIENTS && unanswered * 200 < first_requests,
        "{unanswered} of {first_requests}"
    );
}

fn answer_closes(answer: &Result<Option<Message>, String>) -> bool {
    matches!(answer, Ok(Some(answer)) if answer.header("connection") == Some("close"))
}

/// Bursts of clients that disconnect before their response: each disconnect must end its attempt and leave
/// nothing open. Another client is answered meanwhile, and served afterwards.
#[test]
fn bursts_of_client_disconnects_leave_nothing_behind() {
    let backends = [0, 1].map(|_| {
        Backend::start(
            |message| if message.start_line.contains("/correct/") { Reply::Silence } else { ok("") },
        )
    });
    let (node, _watch, _discovery) = serving_node(&settings(500_000, ""), &backends.each_ref());
    let request_total = || backends.iter().map(Backend::request_count).sum::<usize>();
    let mut regular = node.client();
    assert_eq!(regular.request_read().status(), 200);
    let before = node.open_descriptors();
    for _ in 0..10 {
        let count = request_total();
        let mut burst: Vec<Client> = (0..60).map(|_| node.client()).collect();
        burst.iter_mut().for_each(Client::send_correct);
        wait_until(|| request_total() > count, "an attempt");
        // The burst may hold all that the decision module lets the backends take: then a refusal is allowed.
        assert!([200, 503].contains(&regular.request_read().status()));
        for (i, client) in burst.into_iter().enumerate() {
            // Some close, some half-close first, some have sent part of another request.
            let mut stream = client.write_handle();
            match i % 3 {
                0 => {}
                1 => drop(stream.shutdown(Shutdown::Write)),
                _ => drop(stream.write_all(b"POST /corr")),
            }
        }
        // Connections to backends may still be idle, or have been closed.
        wait_until(|| node.open_descriptors() <= before + 2, "the connections of the burst to close");
    }
    wait_until(|| regular.request_read().status() == 200, "service after the burst");
    assert!(node.peak_memory() < 64 << 20, "{}", node.peak_memory());
}
