//! One client that sends requests at full speed on one connection, beside others.

use crate::harness::*;
use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread::sleep;
use std::time::{Duration, Instant};

/// How long the flood lasts.
const FLOOD_TIME: Duration = Duration::from_secs(4);
/// When memory is first measured: by then all buffers have been used.
const WARM_UP: Duration = Duration::from_secs(1);
/// What the other clients wait for their answers.
const BUDGET_MS: u64 = 1000;
/// How often another client sends a request.
const REQUEST_INTERVAL: Duration = Duration::from_millis(20);
/// Requests that are written at a time.
const BATCH: usize = 50;
/// Growth that comes from the allocator alone.
const MAX_GROWTH_BYTES: usize = 1 << 20;

static NUMBER: AtomicUsize = AtomicUsize::new(0);

/// Sends requests until the flood ends or the node closes the connection; whether the answers are read.
fn flood_once(node: &Node, requests: fn(usize) -> String, reading: bool, ended: &AtomicBool) {
    let Ok(mut stream) = TcpStream::connect(node.address) else { return };
    stream.set_write_timeout(Some(Duration::from_millis(200))).expect("an option");
    std::thread::scope(|scope| {
        let mut reader = stream.try_clone().expect("a handle");
        if reading {
            scope.spawn(move || {
                let mut buffer = vec![0; 1 << 16];
                while let Ok(1..) = reader.read(&mut buffer) {}
            });
        }
        while !ended.load(Ordering::SeqCst) {
            let batch: String = (0..BATCH).map(|_| requests(NUMBER.fetch_add(1, Ordering::SeqCst))).collect();
            if stream.write_all(batch.as_bytes()).is_err() {
                break;
            }
        }
        let _ = stream.shutdown(Shutdown::Both);
    });
}

/// Runs a flood, and checks that the others are answered in time and that memory does not grow.
fn flood(what: &str, requests: fn(usize) -> String, reading: bool) {
    let backends = [(); 4].map(|()| Backend::start(|_| ok("good")));
    let settings = settings(BUDGET_MS, "").replace(r#""AllowancePerS":1000,"#, r#""AllowancePerS":1000000,"#);
    let (node, _watch, _discovery) = serving_node(&settings, &backends.each_ref());
    let ended = AtomicBool::new(false);
    std::thread::scope(|scope| {
        scope.spawn(|| {
            while !ended.load(Ordering::SeqCst) {
                flood_once(&node, requests, reading, &ended);
            }
        });
        sleep(WARM_UP);
        let (before, begun) = (node.peak_memory(), Instant::now());
        let (mut answered, mut served, mut longest) = (0, 0, Duration::ZERO);
        let mut client = node.client();
        while begun.elapsed() < FLOOD_TIME {
            let sent = Instant::now();
            if !client.try_send("GET /read/1f", &common_headers(BUDGET_MS)) {
                client = node.client();
                continue;
            }
            let Ok(Some(answer)) = client.try_answer() else {
                client = node.client();
                continue;
            };
            longest = longest.max(sent.elapsed());
            answered += 1;
            served += usize::from(answer.status() == 200);
            sleep(REQUEST_INTERVAL);
        }
        ended.store(true, Ordering::SeqCst);
        let grown = node.peak_memory() - before;
        eprintln!(
            "{what}, reading {reading}: {answered} answered, longest {longest:?}, {} kB more",
            grown >> 10
        );
        assert!(
            answered > 0 && served == answered,
            "{what}: {served} of {answered} requests of others were served"
        );
        assert!(longest < Duration::from_millis(BUDGET_MS), "{what}: another client waited for {longest:?}");
        assert!(grown < MAX_GROWTH_BYTES, "{what}: memory grew by {} kB", grown >> 10);
    });
}

/// A sound request with a number of its own, whose client waits for as long as the node accepts.
fn patient_request(number: usize) -> String {
    format!("GET /read/{number} HTTP/1.1\r\nHost: a\r\n{}\r\n", common_headers(600_000))
}

fn keyed_request(number: usize) -> String {
    let headers = format!("Idempotency-Key: {number}\r\n{}", common_headers(600_000));
    format!("POST /submit/{number} HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n{headers}\r\nabc")
}

fn request_of_unknown_class(number: usize) -> String {
    format!("GET /x{number}/1 HTTP/1.1\r\nHost: a\r\n{}\r\n", common_headers(BUDGET_MS))
}

fn request_of_unknown_tenant(number: usize) -> String {
    let headers = format!("X-Call-Id: {number}\r\nX-Caller: t{number}\r\nX-Budget-Ms: {BUDGET_MS}\r\n");
    format!("GET /read/1 HTTP/1.1\r\nHost: a\r\n{headers}\r\n")
}

fn request_without_time(number: usize) -> String {
    format!("GET /read/{number} HTTP/1.1\r\nHost: a\r\n{}\r\n", common_headers(1))
}

fn garbage(number: usize) -> String {
    format!("{number} nothing\r\n")
}

/// Guards against state that is kept for requests which have ended, until their clients' time is over.
#[test]
fn a_flood_of_sound_requests_leaves_no_memory_behind() {
    flood("sound requests", patient_request, true);
    flood("keyed requests", keyed_request, true);
}

/// Guards against one connection that takes all of the node's time, and against names that are kept.
#[test]
fn a_flood_of_unsound_requests_delays_nobody_and_leaves_no_memory_behind() {
    for reading in [true, false] {
        flood("unknown classes", request_of_unknown_class, reading);
        flood("unknown tenants", request_of_unknown_tenant, reading);
    }
    flood("requests without time", request_without_time, true);
    flood("garbage", garbage, true);
}
