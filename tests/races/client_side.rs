//! Races between a shutdown or a close and what clients send. The timing after SIGTERM is tested with the
//! frontend, on a clock that the tests control; here the process is stopped while two events arrive.

use crate::harness::*;
use std::collections::BTreeSet;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const DEADLINE_MS: u64 = 20_000;
/// Well within the client connections that 1,024 file descriptors allow.
const CLIENTS: usize = 200;
/// The node's body deadline: so long after SIGTERM incomplete requests are refused; all earlier timers are
/// due then.
const BODY_DEADLINE: Duration = Duration::from_millis(650);

type ReceivedIds = Arc<Mutex<BTreeSet<String>>>;

/// Two backends that answer with the id of each request, and the set of those ids.
fn echo_backends() -> ([Backend; 2], ReceivedIds) {
    let received = ReceivedIds::default();
    let backends = [0, 1].map(|_| {
        let received = received.clone();
        Backend::start(move |message| {
            let id = message.header("x-call-id").unwrap_or_default().to_owned();
            received.lock().expect("the list").insert(id.clone());
            ok(&id)
        })
    });
    (backends, received)
}

/// The headers of a request, and its id.
fn request_headers() -> (String, String) {
    let headers = common_headers(DEADLINE_MS);
    let id = headers.lines().find_map(|line| line.strip_prefix("X-Call-Id: ")).expect("an id").to_owned();
    (headers, id)
}

/// Waits until this time has passed since then.
fn wait_since(since: Instant, time: Duration) {
    wait_until(|| since.elapsed() > time, "a time that only passes");
}

/// Each idle keep-alive connection is sent a request in the turn in which the node would close it, past the
/// body deadline. The node must read the requests before it closes anything.
#[test]
fn requests_that_arrive_as_their_idle_connection_closes_are_answered() {
    let (backends, received) = echo_backends();
    let (mut node, _watch, _discovery) = serving_node(&settings(DEADLINE_MS, ""), &backends.each_ref());
    let mut clients: Vec<Client> = (0..CLIENTS).map(|_| node.client()).collect();
    clients.iter_mut().for_each(|client| assert_eq!(client.request_read().status(), 200));
    node.terminate();
    let terminated_at = Instant::now();
    node.wait_for_log("told to stop");
    node.set_stopped(true);
    let sent_requests: Vec<_> = clients
        .into_iter()
        .map(|mut client| {
            let (headers, id) = request_headers();
            let sent = client.try_send("GET /read/1f", &headers);
            (client, id, sent)
        })
        .collect();
    wait_since(terminated_at, BODY_DEADLINE);
    node.set_stopped(false);
    for (mut client, id, sent) in sent_requests {
        let answer = sent.then(|| client.try_answer().expect("no half answer")).flatten();
        match answer {
            // When all arrive at once some may be refused: that is an answer.
            Some(answer) => assert!(answer.body == id.as_bytes() || answer.status() == 503, "{answer:?}"),
            // On a slow machine the connection may have been closed before the request was sent.
            None => assert!(!received.lock().expect("the list").contains(&id), "{id} ran and has no answer"),
        }
    }
    assert_eq!(node.wait_for_exit().code(), Some(0));
}

/// First requests that are in the accept queue before SIGTERM arrives, or enter it right after: both must be
/// answered.
#[test]
fn first_requests_in_the_accept_queue_are_answered() {
    for signal_first in [true, false] {
        let (backends, _received) = echo_backends();
        let (mut node, _watch, _discovery) = serving_node(&settings(DEADLINE_MS, ""), &backends.each_ref());
        node.set_stopped(true);
        if signal_first {
            node.terminate();
        }
        let clients: Vec<_> = (0..CLIENTS)
            .map(|_| {
                let (headers, id) = request_headers();
                let mut client = node.client();
                assert!(client.try_send("GET /read/1f", &headers));
                (client, id)
            })
            .collect();
        if !signal_first {
            node.terminate();
        }
        node.set_stopped(false);
        for (mut client, id) in clients {
            let answer = client.try_answer().expect("no half answer");
            let answer = answer.unwrap_or_else(|| panic!("no answer; signal first: {signal_first}"));
            // When all arrive at once some may be refused: that is an answer.
            assert!(answer.body == id.as_bytes() || answer.status() == 503, "{answer:?}");
        }
        assert_eq!(node.wait_for_exit().code(), Some(0));
    }
}

/// A response that its client reads late must arrive completely, also if the client sent bytes that the node
/// won't read.
#[test]
fn a_response_that_is_read_late_arrives_completely() {
    const LENGTH: usize = 8 << 20;
    for (extra_bytes, terminated) in [(0, true), (256 << 10, false), (256 << 10, true)] {
        let backend = Backend::start(|_| Reply::Answer("200 OK", "", vec![b'a'; LENGTH]));
        let (mut node, _watch, _discovery) = serving_node(&settings(DEADLINE_MS, ""), &[&backend]);
        let mut client = node.client();
        let headers = format!(
            "{}Connection: {}\r\n",
            common_headers(DEADLINE_MS),
            if terminated { "keep-alive" } else { "close" }
        );
        assert!(client.try_send("GET /read/1f", &headers));
        // The head has arrived, and the client reads no further for now.
        let head = client.read_line();
        assert_eq!(head.trim_end(), "HTTP/1.1 200 OK");
        if terminated {
            node.terminate();
            node.wait_for_log("told to stop");
        }
        client.write(&vec![b'x'; extra_bytes]);
        let rest = client.read_to_end();
        let start = rest.windows(4).position(|end| end == b"\r\n\r\n").expect("the end of the head") + 4;
        let body_bytes = rest[start..].iter().take_while(|byte| **byte == b'a').count();
        assert_eq!(body_bytes, LENGTH, "{extra_bytes} extra bytes, terminated: {terminated}");
        // The bytes that the client sent are no request, and may get an error.
        let after = &rest[start + LENGTH..];
        assert!(after.is_empty() || after.starts_with(b"HTTP/1.1 4"), "{}", String::from_utf8_lossy(after));
        drop(client);
        if terminated {
            assert_eq!(node.wait_for_exit().code(), Some(0));
        }
    }
}

/// A backend that hangs past the deadline must not delay the shutdown: its request is answered by then.
#[test]
fn a_request_whose_backend_hangs_is_answered_by_its_deadline_during_shutdown() {
    let backend = Backend::start(|_| Reply::Silence);
    let (mut node, _watch, _discovery) = serving_node(&settings(1000, ""), &[&backend]);
    let mut client = node.client();
    client.send("POST /correct/1f", &common_headers(1000), b"sheet");
    backend.next_request();
    node.terminate();
    let answer = client.answer().expect("an answer");
    assert!([502, 504].contains(&answer.status()), "{answer:?}");
    assert_eq!(answer.header("connection"), Some("close"));
    assert_eq!(node.wait_for_exit().code(), Some(0));
}

/// A process without a server list shuts down gracefully too, and answers the requests that it accepted.
#[test]
fn sigterm_before_the_node_is_ready_shuts_it_down_gracefully() {
    let discovery = Discovery::start();
    let mut node = Node::start(&config(discovery.address, &settings(DEADLINE_MS, ""), 1024), "");
    let _silent = discovery.next_call();
    let mut client = node.client();
    client.send("GET /read/1f", &common_headers(1000), b"");
    node.terminate();
    let answer = client.answer().expect("an answer");
    assert!(answer.status() >= 500, "{answer:?}");
    assert_eq!(node.wait_for_exit().code(), Some(0));
}

/// SIGTERM twice, or SIGTERM and SIGHUP in one turn: the node must shut down once, and answer the request in
/// progress.
#[test]
fn sigterm_twice_or_with_sighup_shuts_the_node_down_once() {
    for hangup in [None, Some(true), Some(false)] {
        let (release, release_gate) = std::sync::mpsc::channel::<()>();
        let release_gate = Mutex::new(release_gate);
        let backend = Backend::start(move |_| {
            let _ = release_gate.lock().expect("the gate").recv();
            ok("held")
        });
        let (mut node, _watch, discovery) = serving_node(&settings(DEADLINE_MS, ""), &[&backend]);
        let mut client = node.client();
        client.send("GET /read/1f", &common_headers(DEADLINE_MS), b"");
        backend.next_request();
        let new_config = config(discovery.address, &settings(DEADLINE_MS / 2, ""), 1024);
        node.set_stopped(true);
        if hangup == Some(true) {
            node.reload(&new_config);
        }
        node.terminate();
        if hangup == Some(false) {
            node.reload(&new_config);
        }
        node.set_stopped(false);
        node.wait_for_log("told to stop");
        node.terminate();
        drop(release);
        let answer = client.answer().expect("an answer");
        assert_eq!(answer.body, b"held", "{hangup:?}");
        assert_eq!(answer.header("connection"), Some("close"), "{hangup:?}");
        assert_eq!(node.wait_for_exit().code(), Some(0), "{hangup:?}");
    }
}
