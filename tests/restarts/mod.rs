//! What clients see of a node that is told to stop, and what they leave behind when they go before their answer. The
//! moments after SIGTERM are tested beside the front, on a clock that the tests move.

use crate::harness::*;
use std::collections::BTreeSet;
use std::io::Write;
use std::net::{Shutdown, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Barrier, Mutex};
use std::thread::spawn;

const LONG: u64 = 20_000;
/// Together they stay well within what 1,024 descriptors allow for clients.
const CLIENTS: usize = 200;

/// Clients that send again and again on connections that stay open, and open new ones until the node says that it is
/// unready. Whatever has reached a backend is answered whole; and of first requests on connections that were taken, fewer
/// than one in 200 ends with nothing.
#[test]
fn a_restart_under_two_hundred_connections_loses_nothing() {
    let ran = Arc::new(Mutex::new(BTreeSet::new()));
    let backends = [0, 1, 2, 3].map(|_| {
        let ran = ran.clone();
        Backend::start(move |message| {
            let id = message.header("x-call-id").unwrap_or_default().to_owned();
            ran.lock().expect("the list").insert(id.clone());
            ok(&id)
        })
    });
    let (mut node, _watch, _discovery) = serving_node(&settings(LONG, ""), &backends.each_ref());
    let (leaving, met) = (Arc::new(AtomicBool::new(false)), Arc::new(Barrier::new(CLIENTS + 1)));
    let (firsts, unanswered, lost) =
        (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)), Arc::new(Mutex::new(Vec::new())));
    let address = node.address;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|_| {
            let (leaving, met, ran) = (leaving.clone(), met.clone(), ran.clone());
            let (firsts, unanswered, lost) = (firsts.clone(), unanswered.clone(), lost.clone());
            spawn(move || {
                let mut begun = false;
                while !leaving.load(Ordering::SeqCst) {
                    let Ok(stream) = TcpStream::connect(address) else { continue };
                    let mut client = Client::from_stream(stream);
                    for turn in 0.. {
                        let headers = common_headers(LONG);
                        let id = headers.lines().find_map(|line| line.strip_prefix("X-Call-Id: "));
                        let id = id.expect("an id").to_owned();
                        firsts.fetch_add(usize::from(turn == 0), Ordering::SeqCst);
                        let sent = client.try_send("GET /read/1f", &headers);
                        let answer = if sent { client.try_answer() } else { Ok(None) };
                        if !std::mem::replace(&mut begun, true) {
                            met.wait(); // each has its connection when the node is told
                        }
                        match &answer {
                            Ok(Some(answer)) if answer.status() != 200 => {}
                            Ok(Some(answer)) if answer.body == id.as_bytes() => {}
                            Ok(None) if !ran.lock().expect("the list").contains(&id) => {
                                unanswered.fetch_add(usize::from(turn == 0), Ordering::SeqCst);
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
    met.wait();
    node.terminate();
    node.wait_for_log("told to stop");
    leaving.store(true, Ordering::SeqCst);
    clients.into_iter().for_each(|client| client.join().expect("a client"));
    assert_eq!(node.wait_for_exit().code(), Some(0));
    assert_eq!(*lost.lock().expect("the list"), Vec::<String>::new());
    let (firsts, unanswered) = (firsts.load(Ordering::SeqCst), unanswered.load(Ordering::SeqCst));
    assert!(firsts >= CLIENTS && unanswered * 200 < firsts, "{unanswered} of {firsts}");
}

fn answer_closes(answer: &Result<Option<Message>, String>) -> bool {
    matches!(answer, Ok(Some(answer)) if answer.header("connection") == Some("close"))
}

/// Clients that leave before their answer, in storms: each takes its attempt along, nothing of it stays open, who waits is
/// answered meanwhile, and served afterwards.
#[test]
fn storms_of_clients_that_give_up_leave_nothing_behind() {
    let backends = [0, 1].map(|_| {
        Backend::start(
            |message| if message.start_line.contains("/correct/") { Reply::Silence } else { ok("") },
        )
    });
    let (node, _watch, _discovery) = serving_node(&settings(500_000, ""), &backends.each_ref());
    let all = || backends.iter().map(Backend::request_count).sum::<usize>();
    let mut patient = node.client();
    assert_eq!(patient.request_read().status(), 200);
    let before = node.open_descriptors();
    for _ in 0..10 {
        let count = all();
        let mut crowd: Vec<Client> = (0..60).map(|_| node.client()).collect();
        crowd.iter_mut().for_each(Client::send_correct);
        wait_until(|| all() > count, "an attempt");
        // The storm holds the backends' places, as far as the module gives them: then a refusal is the answer.
        assert!([200, 503].contains(&patient.request_read().status()));
        for (i, client) in crowd.into_iter().enumerate() {
            // Some leave by a close, some end their sending first, some are in the midst of another request.
            let mut stream = client.write_handle();
            match i % 3 {
                0 => {}
                1 => drop(stream.shutdown(Shutdown::Write)),
                _ => drop(stream.write_all(b"POST /corr")),
            }
        }
        // Its connection to a backend may be idle yet, or have ended.
        wait_until(|| node.open_descriptors() <= before + 2, "the end of what the storm opened");
    }
    wait_until(|| patient.request_read().status() == 200, "service after the storm");
    assert!(node.peak_memory() < 64 << 20, "{}", node.peak_memory());
}
