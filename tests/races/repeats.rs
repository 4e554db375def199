//! Requests that come again with the id of one that may still run.

use super::handover::{send_list, successor_config};
use crate::harness::*;
use std::sync::atomic::{AtomicUsize, Ordering};

const DEADLINE_MS: u64 = 20_000;
/// The classes whose requests must not be repeated freely.
const GUARDED_CLASSES: [&str; 2] = ["POST /submit/1", "POST /correct/1"];

static NUMBER: AtomicUsize = AtomicUsize::new(0);

/// The headers of a request with an id that no other request has.
fn headers_of_new_request() -> String {
    let number = NUMBER.fetch_add(1, Ordering::SeqCst);
    let id = format!("X-Call-Id: repeat-{}-{number}\r\n", std::process::id());
    format!("{id}X-Caller: acme\r\nX-Budget-Ms: {DEADLINE_MS}\r\nIdempotency-Key: 1\r\n")
}

/// Two backends that never answer requests whose bodies ask for that, and answer all others.
fn hanging_backends() -> [Backend; 2] {
    [(); 2]
        .map(|()| Backend::start(|message| if message.body == b"hang" { Reply::Silence } else { ok("fine") }))
}

fn total_requests(backends: &[Backend; 2]) -> usize {
    backends.iter().map(Backend::request_count).sum()
}

/// Sends a request, and disconnects once it is at a backend.
fn send_and_leave(node: &Node, backends: &[Backend; 2], start_line: &str, headers: &str) {
    let before = total_requests(backends);
    let mut client = node.client();
    client.send(start_line, headers, b"hang");
    wait_until(|| total_requests(backends) > before, "the request at a backend");
}

/// Guards against running a request twice whose client has left and comes again with the same id.
#[test]
fn a_request_that_comes_again_after_its_client_has_left_does_not_run_twice() {
    for start_line in GUARDED_CLASSES {
        let backends = hanging_backends();
        let (node, _watch, _discovery) = serving_node(&settings(DEADLINE_MS, ""), &backends.each_ref());
        let headers = headers_of_new_request();
        send_and_leave(&node, &backends, start_line, &headers);
        let answer = node.client().request(start_line, &headers, b"sheet");
        assert_eq!(answer.status(), 502, "{start_line}: it may have run");
        assert_eq!(total_requests(&backends), 1, "{start_line}");
        // Another id is another request.
        let answer = node.client().request(start_line, &headers_of_new_request(), b"sheet");
        assert_eq!(answer.status(), 200, "{start_line}");
    }
}

/// Guards against running a request twice that comes again while the first one's client still waits.
#[test]
fn a_request_that_comes_again_while_the_first_is_in_progress_does_not_run_twice() {
    for start_line in GUARDED_CLASSES {
        let backends = hanging_backends();
        let (node, _watch, _discovery) = serving_node(&settings(DEADLINE_MS, ""), &backends.each_ref());
        let headers = headers_of_new_request();
        let mut first = node.client();
        first.send(start_line, &headers, b"hang");
        wait_until(|| total_requests(&backends) == 1, "the request at a backend");
        assert_eq!(node.client().request(start_line, &headers, b"sheet").status(), 502, "{start_line}");
        assert_eq!(total_requests(&backends), 1, "{start_line}");
    }
}

/// A request that certainly never ran may come again, and so may one that is harmless to repeat.
#[test]
fn a_request_that_never_ran_or_is_harmless_may_come_again() {
    let rejecting = Backend::start(|_| Reply::Answer("503 Busy", "X-Rejected: 1\r\n", vec![]));
    let (node, mut watch, _discovery) = serving_node(&settings(DEADLINE_MS, ""), &[&rejecting]);
    let headers = headers_of_new_request();
    assert_eq!(node.client().request("POST /correct/1", &headers, b"sheet").status(), 503);
    let backends = hanging_backends();
    let entries = [&rejecting, &backends[0], &backends[1]].map(|backend| backend.address);
    let statuses = ["terminated", "in_service", "in_service"];
    let entries = entries.iter().zip(statuses).enumerate();
    let entries: Vec<_> = entries.map(|(i, (at, status))| entry(&format!("t-{i}"), *at, status)).collect();
    watch.send_line(&list(9, true, &entries));
    wait_until(
        || node.client().request("POST /correct/1", &headers, b"sheet").status() == 200,
        "the request to be served",
    );
    let headers = headers_of_new_request();
    for _ in 0..2 {
        assert_eq!(node.client().request("GET /read/1", &headers, b"").status(), 200);
    }
}

/// Guards against running a request twice that comes again at the other process of a hot restart.
#[test]
fn a_request_that_comes_again_at_the_other_process_of_a_hot_restart_does_not_run_twice() {
    for start_line in GUARDED_CLASSES {
        for sent_before_restart in [true, false] {
            let backends = hanging_backends();
            let (old, _watch, discovery) = serving_node(&settings(DEADLINE_MS, ""), &backends.each_ref());
            let headers = headers_of_new_request();
            let mut client = old.client(); // its connection stays with the old process
            assert_eq!(client.request_read().status(), 200);
            if sent_before_restart {
                client.send(start_line, &headers, b"hang");
            }
            let config = successor_config(old.address, &discovery, &settings(DEADLINE_MS, ""), 1024);
            let new = Node::start_in(&old.tmp, &config, "");
            new.wait_for_log("took the listening socket over");
            let _list_watch = send_list(&discovery, &backends[0], &new);
            let before = total_requests(&backends);
            if !sent_before_restart {
                client.send(start_line, &headers, b"hang");
            }
            wait_until(
                || total_requests(&backends) == before + usize::from(!sent_before_restart),
                "the request at a backend",
            );
            let sent = total_requests(&backends);
            old.terminate();
            old.wait_for_log("told to stop");
            drop(client);
            let context = format!("{start_line}, sent before the restart: {sent_before_restart}");
            let answer = Client::connect(old.address).request(start_line, &headers, b"sheet");
            assert_eq!(answer.status(), 502, "{context}: it may have run");
            assert_eq!(total_requests(&backends), sent, "{context}");
        }
    }
}
