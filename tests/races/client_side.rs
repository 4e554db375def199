//! SIGTERM and closes, against what clients send. The times after SIGTERM are played beside the front, on a clock that the
//! tests move; here the process stands still while two things come to it.

use crate::harness::*;
use std::collections::BTreeSet;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const LONG: u64 = 20_000;
/// Well within what 1,024 descriptors allow for clients.
const CROWD: usize = 200;
/// After so long from SIGTERM on nothing is taken that has not come whole; every timer before it is due then.
const LAST_BYTE: Duration = Duration::from_millis(650);

type Ran = Arc<Mutex<BTreeSet<String>>>;

/// Two backends that answer with the id they were asked with, and all those ids.
fn echoing() -> ([Backend; 2], Ran) {
    let ran = Ran::default();
    let backends = [0, 1].map(|_| {
        let ran = ran.clone();
        Backend::start(move |message| {
            let id = message.header("x-call-id").unwrap_or_default().to_owned();
            ran.lock().expect("the list").insert(id.clone());
            ok(&id)
        })
    });
    (backends, ran)
}

/// The headers of a request, and its id.
fn numbered() -> (String, String) {
    let headers = common_headers(LONG);
    let id = headers.lines().find_map(|line| line.strip_prefix("X-Call-Id: ")).expect("an id").to_owned();
    (headers, id)
}

/// Until so long after, whatever the machine does meanwhile.
fn pass(since: Instant, time: Duration) {
    wait_until(|| since.elapsed() > time, "a time that only passes");
}

/// Connections that rest are sent a request each, in the turn in which the node would close them, and past the time in
/// which it takes what comes in pieces: all are read before anything is closed.
#[test]
fn requests_on_resting_connections_that_come_in_the_turn_of_the_close_are_answered() {
    let (backends, ran) = echoing();
    let (mut node, _watch, _discovery) = serving_node(&settings(LONG, ""), &backends.each_ref());
    let mut crowd: Vec<Client> = (0..CROWD).map(|_| node.client()).collect();
    crowd.iter_mut().for_each(|client| assert_eq!(client.request_read().status(), 200));
    node.terminate();
    let told = Instant::now();
    node.wait_for_log("told to stop");
    node.set_stopped(true);
    let asked: Vec<_> = crowd
        .into_iter()
        .map(|mut client| {
            let (headers, id) = numbered();
            let sent = client.try_send("GET /read/1f", &headers);
            (client, id, sent)
        })
        .collect();
    pass(told, LAST_BYTE);
    node.set_stopped(false);
    for (mut client, id, sent) in asked {
        let answer = sent.then(|| client.try_answer().expect("no half answer")).flatten();
        match answer {
            // Where all come at once some may be refused, and that is an answer.
            Some(answer) => assert!(answer.body == id.as_bytes() || answer.status() == 503, "{answer:?}"),
            // The machine may have been so slow that it was closed before it was sent.
            None => assert!(!ran.lock().expect("the list").contains(&id), "{id} ran and has no answer"),
        }
    }
    assert_eq!(node.wait_for_exit().code(), Some(0));
}

/// First requests that wait in the accept queue when the node is told, or come there right after: whichever it sees first.
#[test]
fn first_requests_in_the_accept_queue_are_answered() {
    for signal_first in [true, false] {
        let (backends, _ran) = echoing();
        let (mut node, _watch, _discovery) = serving_node(&settings(LONG, ""), &backends.each_ref());
        node.set_stopped(true);
        if signal_first {
            node.terminate();
        }
        let crowd: Vec<_> = (0..CROWD)
            .map(|_| {
                let (headers, id) = numbered();
                let mut client = node.client();
                assert!(client.try_send("GET /read/1f", &headers));
                (client, id)
            })
            .collect();
        if !signal_first {
            node.terminate();
        }
        node.set_stopped(false);
        for (mut client, id) in crowd {
            let answer = client.try_answer().expect("no half answer");
            let answer = answer.unwrap_or_else(|| panic!("no answer; signal first: {signal_first}"));
            // Where all come at once some may be refused, and that is an answer.
            assert!(answer.body == id.as_bytes() || answer.status() == 503, "{answer:?}");
        }
        assert_eq!(node.wait_for_exit().code(), Some(0));
    }
}

/// An answer that its client reads late, or that stands before bytes which nobody will read, comes whole.
#[test]
fn an_answer_that_is_being_written_comes_whole() {
    const LENGTH: usize = 8 << 20;
    for (behind, told) in [(0, true), (256 << 10, false), (256 << 10, true)] {
        let backend = Backend::start(|_| Reply::Answer("200 OK", "", vec![b'a'; LENGTH]));
        let (mut node, _watch, _discovery) = serving_node(&settings(LONG, ""), &[&backend]);
        let mut client = node.client();
        let headers =
            format!("{}Connection: {}\r\n", common_headers(LONG), if told { "keep-alive" } else { "close" });
        assert!(client.try_send("GET /read/1f", &headers));
        // The head has come, and the client reads no further for now.
        let head = client.read_line();
        assert_eq!(head.trim_end(), "HTTP/1.1 200 OK");
        if told {
            node.terminate();
            node.wait_for_log("told to stop");
        }
        client.write(&vec![b'x'; behind]);
        let rest = client.read_to_end();
        let start = rest.windows(4).position(|end| end == b"\r\n\r\n").expect("the end of the head") + 4;
        let came = rest[start..].iter().take_while(|byte| **byte == b'a').count();
        assert_eq!(came, LENGTH, "{behind} bytes behind, told to stop: {told}");
        // What stands behind it is no request, and may be told so.
        let after = &rest[start + LENGTH..];
        assert!(after.is_empty() || after.starts_with(b"HTTP/1.1 4"), "{}", String::from_utf8_lossy(after));
        drop(client);
        if told {
            assert_eq!(node.wait_for_exit().code(), Some(0));
        }
    }
}

/// A backend that hangs until past the deadline does not hold up the end: its request has its answer by then.
#[test]
fn a_backend_that_hangs_past_the_deadline_is_answered_for() {
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

/// A process that holds no list yet ends like any other, and what it has taken is answered.
#[test]
fn sigterm_before_the_node_is_ready_ends_it_in_order() {
    let discovery = Discovery::start();
    let mut node = Node::start(&config(discovery.address, &settings(LONG, ""), 1024), "");
    let _silent = discovery.next_call();
    let mut client = node.client();
    client.send("GET /read/1f", &common_headers(1000), b"");
    node.terminate();
    let answer = client.answer().expect("an answer");
    assert!(answer.status() >= 500, "{answer:?}");
    assert_eq!(node.wait_for_exit().code(), Some(0));
}

/// Told twice, or told to stop and to look again in one turn: it ends once, and what it held is answered.
#[test]
fn sigterm_twice_or_with_sighup_ends_the_node_once() {
    for hangup in [None, Some(true), Some(false)] {
        let (met, meet) = std::sync::mpsc::channel::<()>();
        let meet = Mutex::new(meet);
        let backend = Backend::start(move |_| {
            let _ = meet.lock().expect("the gate").recv();
            ok("held")
        });
        let (mut node, _watch, discovery) = serving_node(&settings(LONG, ""), &[&backend]);
        let mut client = node.client();
        client.send("GET /read/1f", &common_headers(LONG), b"");
        backend.next_request();
        let again = config(discovery.address, &settings(LONG / 2, ""), 1024);
        node.set_stopped(true);
        if hangup == Some(true) {
            node.reload(&again);
        }
        node.terminate();
        if hangup == Some(false) {
            node.reload(&again);
        }
        node.set_stopped(false);
        node.wait_for_log("told to stop");
        node.terminate();
        drop(met);
        let answer = client.answer().expect("an answer");
        assert_eq!(answer.body, b"held", "{hangup:?}");
        assert_eq!(answer.header("connection"), Some("close"), "{hangup:?}");
        assert_eq!(node.wait_for_exit().code(), Some(0), "{hangup:?}");
    }
}
