//! Crowds that want nothing good, against clients that do.

use crate::harness::*;
use std::io::Write;
use std::net::TcpStream;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// A third of the connections for clients is beyond what one crowd holds at a time; the rest of it waits for a place.
const SOCKETS: usize = 256;
/// Answers that do not fit into the kernel's buffers.
const LONG: usize = 8 << 20;

/// A connection of the crowd's: what it sends, until the node ends it or answers.
type Act = fn(&mut TcpStream) -> bool;

/// Until the node ends the connection or has said what is wrong; false if neither comes.
fn is_told(stream: &mut TcpStream) -> bool {
    stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("a time-out");
    match stream.peek(&mut [0]) {
        Ok(_) => true,
        Err(e) => !matches!(e.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut),
    }
}

fn idle(stream: &mut TcpStream) -> bool {
    is_told(stream)
}

fn half(stream: &mut TcpStream) -> bool {
    let _ = stream.write_all(b"GET /read/1f HTTP/1.1\r\nHost: service.in");
    is_told(stream)
}

fn half_body(stream: &mut TcpStream) -> bool {
    let head = format!(
        "POST /correct/1f HTTP/1.1\r\nHost: a\r\n{}Content-Length: 9\r\n\r\n",
        common_headers(20_000)
    );
    let _ = stream.write_all(&[head.as_bytes(), b"half"].concat());
    is_told(stream)
}

/// Much of what is no request, and away.
fn much_and_gone(stream: &mut TcpStream) -> bool {
    let _ = stream.write_all(&[b'x'; 256 << 10]);
    true
}

/// A body that is too long, sent for as long as the node reads.
fn too_long(stream: &mut TcpStream) -> bool {
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
    is_told(stream)
}

/// A byte at a time. What the node waits for is progress, so that the pace is its peer's alone.
fn dribbled(stream: &mut TcpStream) -> bool {
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

/// Asks for a long answer and takes nothing of it until the node has let go: then it ends before its end.
fn refuses_to_read(stream: &mut TcpStream) -> bool {
    let asks = format!("GET /read/long HTTP/1.1\r\nHost: a\r\n{}\r\n", common_headers(20_000));
    {
        // One after the other until the answer begins: a new node sends no two at once to one backend.
        static ASKS: Mutex<()> = Mutex::new(());
        let _turn = ASKS.lock().expect("the turn");
        let _ = stream.write_all(asks.as_bytes());
        stream.peek(&mut [0]).expect("an answer begins");
    }
    let ended = || {
        // What is written after the end is answered by a reset.
        stream.write_all(b"x").is_err()
    };
    wait_until(ended, "the node to end a connection that takes nothing");
    true
}

/// This crowd, in so many threads with so many connections each one after the other, and good clients meanwhile.
fn flood(name: &str, act: Act, threads: usize, each: usize) {
    let backends =
        [(); 3].map(|()| {
            Backend::start(|message| {
                if message.start_line.contains("/long") { ok(&"x".repeat(LONG)) } else { ok("good") }
            })
        });
    // Good clients ask as fast as they are answered: their tenant may.
    let plenty = settings(20_000, "").replace(r#""AllowancePerS":1000,"#, r#""AllowancePerS":1000000,"#);
    let (node, _watch, _discovery) =
        serving_node_with(&plenty, &backends.each_ref(), SOCKETS, &format!("ulimit -n {SOCKETS}; "));
    assert_eq!(node.client().request_read().body, b"good");
    let before = node.open_descriptors();
    let over = AtomicBool::new(false);
    let (mut longest, mut served, mut again) = (Duration::ZERO, 0, 0);
    std::thread::scope(|scope| {
        let member = || {
            let mut longest = Duration::ZERO;
            for _ in 0..each {
                let begun = Instant::now();
                let mut stream = TcpStream::connect(node.address).expect("the node listens");
                assert!(act(&mut stream), "{name}: neither an error nor an end");
                longest = longest.max(begun.elapsed());
            }
            longest
        };
        let crowd: Vec<_> = (0..threads).map(|_| scope.spawn(member)).collect();
        let good = scope.spawn(|| {
            let (mut served, mut again) = (0, 0);
            while !over.load(Ordering::SeqCst) || served < 20 {
                let mut client = node.client();
                // Unsafe to repeat: a busy machine's hiccup is waited for, where a safe request gets another attempt.
                let sent = client.try_send("POST /correct/1f", &common_headers(20_000));
                match client.try_answer().expect("a whole answer or none") {
                    Some(answer) if sent => {
                        let told = (answer.status(), answer.body.as_slice());
                        assert_eq!(told, (200, &b"good"[..]), "{name}: after {served}, {:?}", answer.headers);
                        served += 1;
                    }
                    _ => again += 1, // it made room before its request was there
                }
            }
            (served, again)
        });
        longest = crowd.into_iter().map(|one| one.join().expect("the crowd")).max().unwrap_or_default();
        over.store(true, Ordering::SeqCst);
        (served, again) = good.join().expect("good clients");
    });
    assert!(again <= served / 20 + 2, "{name}: {again} of {served} were shut out");
    wait_until(|| node.open_descriptors() <= before + 8, "descriptors to come back");
    let peak = node.peak_memory() >> 20;
    eprintln!(
        "{name}: the longest had {longest:?}; {served} good ones served, {again} came again, {peak} MB"
    );
    // What is over half of the limit is priced.
    assert!(peak < 96, "{name}: {peak} MB");
    assert!(!node.has_logged("cannot accept") && !node.has_logged("cannot dial"), "{name}");
    assert_eq!(node.client().request_read().body, b"good");
}

#[test]
fn a_crowd_that_sends_nothing_is_sent_off_and_good_clients_are_served() {
    flood("idle", idle, 400, 5);
}

#[test]
fn a_crowd_that_sends_half_is_told_so_and_good_clients_are_served() {
    flood("half a head", half, 300, 4);
    flood("half a body", half_body, 100, 2);
}

#[test]
fn a_crowd_that_sends_much_and_goes_leaves_nothing_behind() {
    flood("much and gone", much_and_gone, 50, 40);
    flood("too long", too_long, 10, 2);
}

#[test]
fn a_crowd_that_sends_a_byte_a_second_is_ended() {
    flood("a byte a second", dribbled, 100, 1);
}

#[test]
fn a_crowd_that_refuses_to_read_is_ended() {
    flood("refuses to read", refuses_to_read, 20, 1);
}
