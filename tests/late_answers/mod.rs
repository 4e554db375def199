//! Backends that send the head of a long answer at once and its body late, slowly or never.

use crate::harness::*;
use std::io::Write;
use std::net::TcpStream;
use std::sync::Mutex;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// After this an answer has no value by the settings, though its client still waits.
const TARGET_MS: u64 = 500;
const BUDGET_MS: u64 = 2500;
/// When a late body begins: after the target, within the client's time.
const BODY_DELAY: Duration = Duration::from_millis(1200);
/// How long the body then takes: it ends after the client's time.
const BODY_PIECES: usize = 20;
const PIECE_INTERVAL: Duration = Duration::from_millis(100);
/// Longer than a body that is buffered.
const BODY_BYTES: usize = 160_000;
/// An answer that comes later than this after the request's time counts as lost.
const MAX_LATENESS: Duration = Duration::from_millis(500);

/// How an answer says where its body ends.
#[derive(Clone, Copy, Debug)]
enum Framing {
    Length,
    Chunked,
    UntilClosed,
}

impl Framing {
    const ALL: [Framing; 3] = [Framing::Length, Framing::Chunked, Framing::UntilClosed];

    fn head(self) -> String {
        let header = match self {
            Framing::Length => format!("Content-Length: {BODY_BYTES}\r\n"),
            Framing::Chunked => "Transfer-Encoding: chunked\r\n".to_owned(),
            Framing::UntilClosed => String::new(),
        };
        format!("HTTP/1.1 200 OK\r\n{header}\r\n")
    }

    fn write(self, stream: &mut TcpStream, data: &[u8]) {
        let _ = match self {
            Framing::Chunked => {
                stream.write_all(&[format!("{:x}\r\n", data.len()).as_bytes(), data, b"\r\n"].concat())
            }
            Framing::Length | Framing::UntilClosed => stream.write_all(data),
        };
    }

    fn end(self, stream: &mut TcpStream) {
        if matches!(self, Framing::Chunked) {
            let _ = stream.write_all(b"0\r\n\r\n");
        }
    }
}

/// The request lines of the three classes.
const START_LINES: [&str; 3] = ["GET /read/1", "POST /submit/1", "POST /correct/1"];

/// Settings by which a client waits longer than its class's target.
fn patient_settings() -> String {
    settings(TARGET_MS, "").replace(&format!(r#""GiveUp":{TARGET_MS}"#), &format!(r#""GiveUp":{BUDGET_MS}"#))
}

/// Runs a test for each framing and class, at the same time.
fn for_each_answer(test: impl Fn(Framing, &str) + Sync) {
    std::thread::scope(|scope| {
        for framing in Framing::ALL {
            for start_line in START_LINES {
                let test = &test;
                scope.spawn(move || test(framing, start_line));
            }
        }
    });
}

/// A node whose two backends write an answer by this function, and a client that has sent a request.
fn send_request(
    start_line: &str,
    write: impl Fn(&mut TcpStream) + Clone + Send + Sync + 'static,
) -> (Node, Client, Vec<Box<dyn Send>>) {
    let start = || {
        let write = write.clone();
        Backend::start(move |_| Reply::Write(Box::new(write.clone())))
    };
    let backends = [start(), start()];
    let (node, watch, discovery) = serving_node(&patient_settings(), &backends.each_ref());
    let mut client = node.client();
    let headers = format!("Idempotency-Key: 1\r\n{}", common_headers(BUDGET_MS));
    client.send(start_line, &headers, b"");
    let kept: Vec<Box<dyn Send>> =
        vec![Box::new(Mutex::new(backends)), Box::new(watch), Box::new(Mutex::new(discovery))];
    (node, client, kept)
}

/// Guards against cutting off a sound answer that its server still writes, because its body had not begun by
/// the class's target.
#[test]
fn a_long_answer_whose_body_begins_after_the_target_is_forwarded_whole() {
    for_each_answer(|framing, start_line| {
        let (_node, mut client, _kept) = send_request(start_line, move |stream| {
            let _ = stream.write_all(framing.head().as_bytes());
            sleep(BODY_DELAY);
            for _ in 0..BODY_PIECES {
                framing.write(stream, &[b'x'; BODY_BYTES / BODY_PIECES]);
                sleep(PIECE_INTERVAL);
            }
            framing.end(stream);
        });
        let answer = client.answer().unwrap_or_else(|| panic!("{framing:?}, {start_line}: cut off"));
        assert_eq!((answer.status(), answer.body.len()), (200, BODY_BYTES), "{framing:?}, {start_line}");
    });
}

/// Guards against a client that waits without an end for the body of a server that hangs.
#[test]
fn a_long_answer_whose_body_never_begins_ends_with_the_clients_time() {
    for_each_answer(|framing, start_line| {
        let sent = Instant::now();
        let (_node, mut client, _kept) = send_request(start_line, move |stream| {
            let _ = stream.write_all(framing.head().as_bytes());
            sleep(TEST_TIMEOUT);
        });
        let answer = client.try_answer();
        let late = sent.elapsed().saturating_sub(Duration::from_millis(BUDGET_MS));
        assert!(late < MAX_LATENESS, "{framing:?}, {start_line}: {late:?} after its time: {answer:?}");
        // A truncated answer, or one that says that there is none.
        let failed = answer.as_ref().is_ok_and(|a| a.as_ref().is_some_and(|a| a.status() >= 500));
        assert!(answer.is_err() || failed, "{framing:?}, {start_line}: {answer:?}");
    });
}
