//! Connection floods by misbehaving clients, with regular clients that must be served meanwhile.

use crate::harness::*;
use std::io::Write;
use std::net::TcpStream;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// Socket limit of the node. It leaves 125 connections for clients, about a third of the largest flood at a
/// time; the rest of it waits to be accepted.
const SOCKET_LIMIT: usize = 256;
/// Length of a response that does not fit into the kernel's buffers.
const LONG_RESPONSE_BYTES: usize = 8 << 20;

/// What one connection of a flood does until the node closes it or answers; false if neither happens.
type FloodAction = fn(&mut TcpStream) -> bool;

/// Waits until the node closes the connection or answers; false if neither happens.
fn is_closed_or_answered(stream: &mut TcpStream) -> bool {
    stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("a time-out");
    match stream.peek(&mut [0]) {
        Ok(_) => true,
        Err(e) => !matches!(e.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut),
    }
}

fn send_nothing(stream: &mut TcpStream) -> bool {
    is_closed_or_answered(stream)
}

fn send_half_head(stream: &mut TcpStream) -> bool {
    let _ = stream.write_all(b"GET /read/1f HTTP/1.1\r\nHost: service.in");
    is_closed_or_answered(stream)
}

fn send_half_body(stream: &mut TcpStream) -> bool {
    let head = format!(
        "POST /correct/1f HTTP/1.1\r\nHost: a\r\n{}Content-Length: 9\r\n\r\n",
        common_headers(20_000)
    );
    let _ = stream.write_all(&[head.as_bytes(), b"half"].concat());
    is_closed_or_answered(stream)
}

/// Sends much that is no request, and disconnects.
fn send_and_disconnect(stream: &mut TcpStream) -> bool {
    let _ = stream.write_all(&[b'x'; 256 << 10]);
    true
}

/// Sends a body that is too long, for as long as the node reads.
fn send_too_long(stream: &mut TcpStream) -> bool {
    let head = format!(
        "POST /correct/1f HTTP/1.1\r\nHost: a\r\n{}Content-Length: 60000000\r\n\r\n",
        common_headers(20_000)
    );
    let mut sent = stream.write_all(head.as_bytes());
    for _ in 0..60_000_000 / (64 << 10) {
        if sent.is_err() {
            return true;
        }
        sent = stream.write_all(&[0; 64 << 10]);
    }
    is_closed_or_answered(stream)
}

/// Sends a byte a second. Each byte is progress for the node, so that the client alone sets the pace.
fn send_slowly(stream: &mut TcpStream) -> bool {
    stream.set_read_timeout(Some(Duration::from_secs(1))).expect("a time-out");
    let head = format!("GET /read/1f HTTP/1.1\r\nHost: {}", "a".repeat(TEST_TIMEOUT.as_secs() as usize));
    for byte in head.bytes() {
        if stream.write_all(&[byte]).is_err() {
            return true;
        }
        match stream.peek(&mut [0]) {
            Err(e) if matches!(e.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut) => {}
            _ => return true,
        }
    }
    false
}

/// Requests a long response and reads nothing of it until the node closes the connection.
fn never_read(stream: &mut TcpStream) -> bool {
    let request_text = format!("GET /read/long HTTP/1.1\r\nHost: a\r\n{}\r\n", common_headers(20_000));
    {
        // One after the other until the response begins: a new node sends no two requests at once to one
        // backend.
        static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());
        let _turn = ONE_AT_A_TIME.lock().expect("the turn");
        let _ = stream.write_all(request_text.as_bytes());
        stream.peek(&mut [0]).expect("an answer begins");
    }
    let is_closed = || {
        // A write after the node's close fails with a reset.
        stream.write_all(b"x").is_err()
    };
    wait_until(is_closed, "the node to close a connection that reads nothing");
    true
}

/// Runs a flood with `threads` threads, each of which opens `each` connections one after the other, and
/// regular clients meanwhile.
fn flood(name: &str, action: FloodAction, threads: usize, each: usize) {
    let backends = [(); 3].map(|()| {
        Backend::start(|message| {
            if message.start_line.contains("/long") {
                ok(&"x".repeat(LONG_RESPONSE_BYTES))
            } else {
                ok("good")
            }
        })
    });
    // Regular clients send as fast as they are answered: the tenant's rate limit must allow that.
    let high_rate_limit =
        settings(20_000, "").replace(r#""AllowancePerS":1000,"#, r#""AllowancePerS":1000000,"#);
    let (node, _watch, _discovery) = serving_node_with(
        &high_rate_limit,
        &backends.each_ref(),
        SOCKET_LIMIT,
        &format!("ulimit -n {SOCKET_LIMIT}; "),
    );
    assert_eq!(node.client().request_read().body, b"good");
    let before = node.open_descriptors();
    let flood_ended = AtomicBool::new(false);
    let (mut longest, mut served, mut retried) = (Duration::ZERO, 0, 0);
    std::thread::scope(|scope| {
        let flooder = || {
            let mut longest = Duration::ZERO;
            for _ in 0..each {
                let begun = Instant::now();
                let mut stream = TcpStream::connect(node.address).expect("the node listens");
                assert!(action(&mut stream), "{name}: neither an error nor an end");
                longest = longest.max(begun.elapsed());
            }
            longest
        };
        let flooders: Vec<_> = (0..threads).map(|_| scope.spawn(flooder)).collect();
        let regular = scope.spawn(|| {
            let (mut served, mut retried) = (0, 0);
            while !flood_ended.load(Ordering::SeqCst) || served < 20 {
                let mut client = node.client();
                // Not idempotent: on a busy machine a slow response is waited for, where an idempotent
                // request is retried.
                let sent = client.try_send("POST /correct/1f", &common_headers(20_000));
                match client.try_answer().expect("a whole answer or none") {
                    Some(answer) if sent => {
                        let outcome = (answer.status(), answer.body.as_slice());
                        assert_eq!(
                            outcome,
                            (200, &b"good"[..]),
                            "{name}: after {served}, {:?}",
                            answer.headers
                        );
                        served += 1;
                    }
                    _ => retried += 1, // the node closed it to free a slot before its request arrived
                }
            }
            (served, retried)
        });
        longest = flooders
            .into_iter()
            .map(|flooder| flooder.join().expect("a flooding client"))
            .max()
            .unwrap_or_default();
        flood_ended.store(true, Ordering::SeqCst);
        (served, retried) = regular.join().expect("regular clients");
    });
    assert!(retried <= served / 20 + 2, "{name}: {retried} of {served} were shut out");
    wait_until(|| node.open_descriptors() <= before + 8, "descriptors to come back");
    let peak = node.peak_memory() >> 20;
    eprintln!(
        "{name}: the longest connection took {longest:?}; {served} regular requests served, {retried} retried, {peak} MB"
    );
    // Memory over half of the limit is charged.
    assert!(peak < 96, "{name}: {peak} MB");
    assert!(!node.has_logged("cannot accept") && !node.has_logged("cannot dial"), "{name}");
    assert_eq!(node.client().request_read().body, b"good");
}

#[test]
fn in_a_flood_that_sends_nothing_connections_close_and_regular_clients_are_served() {
    flood("idle", send_nothing, 400, 5);
}

#[test]
fn in_a_flood_of_incomplete_requests_each_is_ended_and_regular_clients_are_served() {
    flood("half a head", send_half_head, 300, 4);
    flood("half a body", send_half_body, 100, 2);
}

#[test]
fn floods_of_junk_and_oversized_bodies_leave_nothing_behind() {
    flood("much and gone", send_and_disconnect, 50, 40);
    flood("too long", send_too_long, 10, 2);
}

#[test]
fn in_a_flood_that_sends_a_byte_a_second_connections_are_closed() {
    flood("a byte a second", send_slowly, 100, 1);
}

#[test]
fn in_a_flood_that_reads_no_response_connections_are_closed() {
    flood("refuses to read", never_read, 20, 1);
}

/// Guards against whole requests that wait to be accepted for longer than their clients do, behind a crowd that
/// stops in the middle of its bodies.
#[test]
fn in_a_crowd_that_stops_in_a_body_whole_requests_are_answered_in_time() {
    const CROWD: usize = 300;
    const BUDGET_MS: u64 = 600;
    // An answer that comes later than this after the request's time counts as lost.
    const MAX_LATENESS: Duration = Duration::from_millis(500);
    const REQUESTS: usize = 100;
    const INTERVAL: Duration = Duration::from_millis(20);
    let backends = [(); 3].map(|()| Backend::start(|_| ok("good")));
    let shell = format!("ulimit -n {SOCKET_LIMIT}; ");
    let (node, _watch, _discovery) =
        serving_node_with(&settings(BUDGET_MS, ""), &backends.each_ref(), SOCKET_LIMIT, &shell);
    for length in [6_000, 600_000] {
        let _crowd: Vec<_> = (0..CROWD)
            .map(|_| {
                let mut stream = TcpStream::connect(node.address).expect("room in the queue");
                let headers = format!("{}Content-Length: {length}\r\n", common_headers(BUDGET_MS));
                let head = format!("POST /correct/1f HTTP/1.1\r\nHost: a\r\n{headers}\r\n");
                let _ = stream.write_all(&[head.as_bytes(), &[b'x'; 500]].concat());
                stream
            })
            .collect();
        let answered = std::thread::scope(|scope| {
            let requests: Vec<_> = (0..REQUESTS)
                .map(|_| {
                    std::thread::sleep(INTERVAL);
                    scope.spawn(|| {
                        let mut client = node.client();
                        let sent = Instant::now();
                        client.send("POST /correct/1f", &common_headers(BUDGET_MS), b"whole");
                        let answer = client.try_answer();
                        let late = sent.elapsed().saturating_sub(Duration::from_millis(BUDGET_MS));
                        assert!(late < MAX_LATENESS, "{length}: {late:?} after its time: {answer:?}");
                        answer.is_ok_and(|answer| answer.is_some())
                    })
                })
                .collect();
            requests
                .into_iter()
                .map(|request| request.join().expect("in time"))
                .filter(|answered| *answered)
                .count()
        });
        assert!(answered >= REQUESTS / 2, "{length}: {answered} of {REQUESTS} were answered in time");
    }
}
