//! Requests with streamed bodies whose backends fail: what their clients are answered, and when.

use crate::harness::*;
use std::sync::Mutex;
use std::sync::mpsc::channel;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// The longest body that is buffered.
const MAX_BUFFERED_BYTES: usize = 64 * 1024;
/// Lengths around the place where streaming begins. With a body of up to 96 KiB the chunk that makes it too
/// long to buffer may be its last.
const LENGTHS: [usize; 6] =
    [MAX_BUFFERED_BYTES, MAX_BUFFERED_BYTES + 1, 70_000, 76_000, 96 * 1024, 3 * MAX_BUFFERED_BYTES];
/// An answer that comes later than this after the request's time counts as lost.
const MAX_LATENESS: Duration = Duration::from_millis(500);
/// After SIGTERM requests that are not whole are let go at 0.65 s. A backend that answers after this shows
/// that the request was kept.
const PAST_BODY_DEADLINE: Duration = Duration::from_millis(900);

/// The classes that send bodies: one that is keyed and one that may not be repeated.
const CLASSES: [&str; 2] = ["submit", "correct"];

/// Sends a request of this class in one piece, with its length or as one chunk.
fn send_in_one_piece(client: &mut Client, class: &str, budget_ms: u64, length: usize, chunked: bool) {
    let (start_line, body) = (format!("POST /{class}/1"), vec![b'x'; length]);
    let headers = format!("Idempotency-Key: 1\r\n{}", common_headers(budget_ms));
    if chunked {
        let head = format!("{start_line} HTTP/1.1\r\nHost: a\r\n{headers}Transfer-Encoding: chunked\r\n\r\n");
        let size = format!("{length:x}\r\n");
        client.write(&[head.as_bytes(), size.as_bytes(), &body, b"\r\n0\r\n\r\n"].concat());
    } else {
        client.send(&start_line, &headers, &body);
    }
}

/// Runs a test for each length, with a known length and chunked, all at the same time.
fn for_each_length(test: impl Fn(usize, bool) + Sync) {
    std::thread::scope(|scope| {
        for (length, chunked) in LENGTHS.iter().flat_map(|length| [(*length, false), (*length, true)]) {
            let test = &test;
            scope.spawn(move || test(length, chunked));
        }
    });
}

/// Guards against refusing a request, as harmless to repeat, whose backend has got all of it.
#[test]
fn a_request_whose_backend_dies_after_its_last_byte_is_not_refused() {
    const BUDGET_MS: u64 = 20_000;
    for_each_length(|length, chunked| {
        let backend = Backend::start(|_| Reply::Close(Vec::new()));
        let (node, _watch, _discovery) = serving_node(&settings(BUDGET_MS, ""), &[&backend]);
        for class in CLASSES {
            let mut client = node.client();
            send_in_one_piece(&mut client, class, BUDGET_MS, length, chunked);
            let status = client.answer().expect("an answer").status();
            assert_eq!(status, 502, "{class}, {length} bytes, chunked: {chunked}; it may have run");
        }
    });
}

/// Guards against a request without a deadline: its time starts with its last byte, whenever that is read.
#[test]
fn a_request_whose_backend_hangs_after_its_last_byte_is_answered_in_time() {
    const BUDGET_MS: u64 = 1500;
    for_each_length(|length, chunked| {
        let backend = Backend::start(|_| Reply::Silence);
        let (node, _watch, _discovery) = serving_node(&settings(BUDGET_MS, ""), &[&backend]);
        let mut client = node.client();
        send_in_one_piece(&mut client, "submit", BUDGET_MS, length, chunked);
        let sent = Instant::now();
        let status = client.answer().expect("an answer").status();
        assert!([502, 504].contains(&status), "{length} bytes, chunked: {chunked}: {status}");
        let late = sent.elapsed().saturating_sub(Duration::from_millis(BUDGET_MS));
        assert!(late < MAX_LATENESS, "{length} bytes, chunked: {chunked}: {late:?} after its time");
    });
}

/// Guards against letting go of a request at a shutdown that has been accepted whole.
#[test]
fn a_whole_request_is_answered_in_a_shutdown() {
    const BUDGET_MS: u64 = 20_000;
    for_each_length(|length, chunked| {
        let (release, release_gate) = channel::<()>();
        let release_gate = Mutex::new(release_gate);
        let backend = Backend::start(move |_| {
            let _ = release_gate.lock().expect("the gate").recv_timeout(TEST_TIMEOUT);
            ok("fine")
        });
        let (mut node, _watch, _discovery) = serving_node(&settings(BUDGET_MS, ""), &[&backend]);
        let mut client = node.client();
        send_in_one_piece(&mut client, "submit", BUDGET_MS, length, chunked);
        wait_until(|| backend.request_count() == 1, "the request at its backend");
        node.terminate();
        sleep(PAST_BODY_DEADLINE);
        release.send(()).expect("the backend waits");
        let status = client.answer().expect("an answer").status();
        assert_eq!(status, 200, "{length} bytes, chunked: {chunked}");
        node.wait_for_exit();
    });
}
