//! Bodies that are too long to buffer, slow bodies, and the ways in which HTTP/1.1 frames bodies.

use crate::first_attempt_gets;
use crate::harness::held_requests::HeldRequests;
use crate::harness::*;
use std::io::{Read, Write};
use std::net::TcpListener;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::channel;
use std::sync::{Arc, Mutex};
use std::thread::spawn;

const DEADLINE_MS: u64 = 20_000;
const MIB: usize = 1 << 20;

/// Pseudo-random bytes, so that lost or reordered parts are noticed.
fn bytes(length: usize) -> Vec<u8> {
    (0..length as u64).map(|i| (i.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 56) as u8).collect()
}

#[test]
fn long_bodies_are_streamed_both_ways_in_every_framing() {
    let backend = Backend::start(|message| {
        let body = message.body.clone();
        match &message.start_line {
            start if start.contains("/chunked") => Reply::Write(Box::new(move |stream| {
                stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").expect("room");
                for chunk in body.chunks(70_001) {
                    let _ = stream
                        .write_all(&[format!("{:x}\r\n", chunk.len()).as_bytes(), chunk, b"\r\n"].concat());
                }
                let _ = stream.write_all(b"0\r\n\r\n");
            })),
            start if start.contains("/until-closed") => Reply::Write(Box::new(move |stream| {
                let _ = stream.write_all(&[b"HTTP/1.1 200 OK\r\n\r\n", body.as_slice()].concat());
            })),
            _ => Reply::Answer("200 OK", "", body),
        }
    });
    let (node, _watch, _discovery) = serving_node(&settings(DEADLINE_MS, ""), &[&backend]);
    for length in [1, 64 * 1024, 64 * 1024 + 1, 3 * MIB, 32 * MIB] {
        for framing in ["length", "chunked", "until-closed"] {
            let (mut client, sent) = (node.client(), bytes(length));
            if framing == "length" {
                client.send(&format!("POST /correct/{framing}"), &common_headers(DEADLINE_MS), &sent);
            } else {
                let head =
                    format!("POST /correct/{framing} HTTP/1.1\r\nHost: a\r\n{}", common_headers(DEADLINE_MS));
                client.write(format!("{head}Transfer-Encoding: chunked\r\n\r\n").as_bytes());
                for chunk in sent.chunks(100_003) {
                    client.write(&[format!("{:x}\r\n", chunk.len()).as_bytes(), chunk, b"\r\n"].concat());
                }
                client.write(b"0\r\nX-Trailer: 1\r\n\r\n");
            }
            let answer = client.answer().expect("an answer");
            assert_eq!((answer.status(), answer.body.len()), (200, length), "{framing}");
            assert!(answer.body == sent, "{framing}: {length} bytes came back changed");
            assert!(
                backend.next_request().1.body == sent,
                "{framing}: {length} bytes were forwarded changed"
            );
        }
    }
}

#[test]
fn bodies_longer_than_memory_are_streamed_with_backpressure() {
    let (release, release_gate) = channel::<()>();
    let release_gate = Arc::new(Mutex::new(release_gate));
    // One backend for each client: a new node sends no two requests at once to one backend.
    let backends: Vec<_> = (0..6)
        .map(|_| {
            let release_gate = release_gate.clone();
            Backend::start(move |message| {
                let length = message.body.len();
                let release_gate = release_gate.clone();
                Reply::Write(Box::new(move |stream| {
                    let _ = write!(stream, "HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n");
                    let _ = stream.write_all(&bytes(length));
                    // No response ends before all have begun.
                    let _ = release_gate.lock().expect("the gate").recv_timeout(TEST_TIMEOUT);
                }))
            })
        })
        .collect();
    let (node, _watch, _discovery) =
        serving_node(&settings(DEADLINE_MS, ""), &backends.iter().collect::<Vec<_>>());
    let before = node.peak_memory();
    let mut clients: Vec<_> = (0..6)
        .map(|_| {
            let mut client = node.client();
            client.send("POST /correct/1", &common_headers(DEADLINE_MS), &bytes(16 * MIB));
            client
        })
        .collect();
    wait_until(|| backends.iter().all(|backend| backend.request_count() == 1), "all requests at backends");
    for client in &mut clients {
        assert_eq!(client.read_line(), "HTTP/1.1 200 OK\r\n");
    }
    // 192 MiB are in transit, half of them unread.
    assert!(node.peak_memory() - before < 16 * MIB, "{} bytes", node.peak_memory() - before);
    (0..6).for_each(|_| release.send(()).expect("a backend waits"));
}

#[test]
fn a_backend_connection_is_reused_after_a_streamed_response() {
    let backend = Backend::start(|_| Reply::Answer("200 OK", "", bytes(MIB)));
    let (node, _watch, _discovery) = serving_node(&settings(DEADLINE_MS, ""), &[&backend]);
    let mut client = node.client();
    for _ in 0..5 {
        assert_eq!(client.request_correct().body.len(), MIB);
        assert_eq!(backend.next_request().0, 0, "the first connection");
    }
}

#[test]
fn a_response_that_breaks_off_does_not_look_complete() {
    for head in ["Content-Length: 9000000", "Transfer-Encoding: chunked"] {
        let backend = Backend::start(move |_| {
            Reply::Write(Box::new(move |stream| {
                let _ = write!(stream, "HTTP/1.1 200 OK\r\n{head}\r\n\r\n");
                let chunk = if head.starts_with('T') { "100000\r\n" } else { "" };
                let _ = stream.write_all(&[chunk.as_bytes(), &bytes(MIB)].concat());
            }))
        });
        let (node, _watch, _discovery) = serving_node(&settings(DEADLINE_MS, ""), &[&backend]);
        let mut client = node.client();
        client.send_correct();
        let received = client.read_to_end();
        assert!(
            received.starts_with(b"HTTP/1.1 200 OK\r\n") && received.len() > MIB / 2,
            "{head}: {} bytes",
            received.len()
        );
        assert!(received.len() < 9_000_000 && !received.ends_with(b"0\r\n\r\n"), "{head}");
    }
}

/// A response with this status line and these lines of its head, whose body comes in chunks until its
/// connection ends.
fn chunked_reply(status: &'static str, lines: &'static str) -> Reply {
    let body = "6\r\nroster\r\n0\r\n\r\n";
    Reply::Close(format!("HTTP/1.1 {status}\r\n{lines}\r\n{body}").into_bytes())
}

/// Guards against responses in a coding that the node can't remove and that it passes on as whole, with that
/// coding and the server's framing in their bodies.
#[test]
fn a_response_in_an_unknown_transfer_coding_is_a_failed_attempt_that_may_have_run() {
    for lines in [
        "Transfer-Encoding: chunkd\r\n",
        "Transfer-Encoding: chunkd\r\nContent-Length: 21\r\n",
        "Transfer-Encoding: gzip, chunked\r\n",
        "Transfer-Encoding: chunked, gzip\r\n",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
    ] {
        for status in ["200 OK", "503 Full\r\nX-Rejected: 1"] {
            let (one, two) = first_attempt_gets(move || chunked_reply(status, lines));
            let (node, _watch, _discovery) = serving_node(&settings(DEADLINE_MS, ""), &[&one, &two]);
            let answer = node.client().request_correct();
            assert_eq!((answer.status(), answer.body), (502, vec![]), "{status} {lines}");
            assert_eq!(one.request_count() + two.request_count(), 1, "{status} {lines}");

            let (one, two) = first_attempt_gets(move || chunked_reply(status, lines));
            let (node, _watch, _discovery) = serving_node(&settings(DEADLINE_MS, ""), &[&one, &two]);
            assert_eq!(node.client().request_read().body, b"second", "{status} {lines}");
        }
    }
}

#[test]
fn a_response_whose_only_coding_is_chunked_is_served_however_that_is_written() {
    for lines in [
        "Transfer-Encoding: Chunked\r\n",
        "Transfer-Encoding: ,chunked \r\n",
        "Transfer-Encoding: chunked\r\nContent-Length: 6\r\n",
        "Transfer-Encoding: chunked\r\nContent-Encoding: identity\r\n",
    ] {
        let backend = Backend::start(move |_| chunked_reply("200 OK", lines));
        let (node, _watch, _discovery) = serving_node(&settings(DEADLINE_MS, ""), &[&backend]);
        assert_eq!(node.client().request_correct().body, b"roster", "{lines}");
    }
}

/// Guards against request bodies that are forwarded without the coding that their clients applied to them.
#[test]
fn a_request_in_an_unknown_transfer_coding_gets_an_error_and_reaches_no_backend() {
    let backend = Backend::start(|_| ok(""));
    let (node, _watch, _discovery) = serving_node(&settings(DEADLINE_MS, ""), &[&backend]);
    for lines in [
        "Transfer-Encoding: gzip, chunked\r\n",
        "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n",
        "Transfer-Encoding: chunked, chunked\r\n",
    ] {
        let mut client = node.client();
        let head = format!("POST /correct/1 HTTP/1.1\r\nHost: a\r\n{}", common_headers(DEADLINE_MS));
        client.write(format!("{head}{lines}\r\n5\r\nsheet\r\n0\r\n\r\n").as_bytes());
        assert_eq!(client.answer().expect("an answer").status(), 501, "{lines}");
    }
    assert_eq!(backend.request_count(), 0);
}

#[test]
fn the_first_bytes_of_a_chunked_response_are_not_held_back_for_its_last() {
    let (release, release_gate) = channel::<()>();
    let release_gate = Arc::new(Mutex::new(release_gate));
    let backend = Backend::start(move |_| {
        let release_gate = release_gate.clone();
        Reply::Write(Box::new(move |stream| {
            let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nfirst\r\n");
            let _ = release_gate.lock().expect("the gate").recv_timeout(TEST_TIMEOUT);
            let _ = stream.write_all(b"4\r\nlast\r\n0\r\n\r\n");
        }))
    });
    let (node, _watch, _discovery) = serving_node(&settings(4000, ""), &[&backend]);
    let mut client = node.client();
    client.send("POST /correct/1", &common_headers(4000), b"sheet");
    while client.read_line() != "first\r\n" {}
    // The deadline has passed or is about to; the response goes on all the same.
    std::thread::sleep(std::time::Duration::from_millis(2500));
    release.send(()).expect("the backend waits");
    assert_eq!((client.read_line(), client.read_line()), ("4\r\n".to_owned(), "last\r\n".to_owned()));
}

#[test]
fn a_streamed_request_that_its_backend_breaks_off_is_refused_and_not_retried() {
    let accepted = Arc::new(AtomicUsize::new(0));
    let addresses = [0, 1].map(|_| {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let (address, accepted) = (listener.local_addr().expect("its address"), accepted.clone());
        spawn(move || {
            for stream in listener.incoming() {
                accepted.fetch_add(1, Ordering::SeqCst);
                // Reads part of the request, then closes the connection.
                let _ = stream.expect("a connection").read_exact(&mut [0; 100_000]);
            }
        });
        address
    });
    let (node, mut watch, _discovery) = serving_node(&settings(DEADLINE_MS, ""), &[]);
    let entries = addresses.map(|address| entry(&format!("s-{address}"), address, "in_service"));
    watch.send_line(&list(9, true, &entries));
    let mut client = node.client();
    // The client can send all of it: the rest is read and discarded, so that the response arrives.
    let answer = client.request("POST /correct/1", &common_headers(DEADLINE_MS), &bytes(8 * MIB));
    assert_eq!((answer.status(), answer.header("retry-after")), (503, Some("1.500")), "it never ran");
    assert_eq!(accepted.load(Ordering::SeqCst), 1);
    assert!(node.is_ready());
}

#[test]
fn a_streamed_request_is_retried_while_none_of_it_has_been_sent() {
    let unused = ClosedPort::bind();
    let backend = Backend::start(|message| ok(&message.body.len().to_string()));
    let (node, mut watch, _discovery) = serving_node(&settings(DEADLINE_MS, ""), &[]);
    let entries = [entry("s-0", unused.address, "in_service"), entry("s-1", backend.address, "in_service")];
    watch.send_line(&list(9, true, &entries));
    for _ in 0..6 {
        let answer = node.client().request("POST /correct/1", &common_headers(DEADLINE_MS), &bytes(MIB));
        assert_eq!((answer.status(), answer.body), (200, MIB.to_string().into_bytes()));
    }
}

#[test]
fn a_client_that_is_idle_within_a_body_gets_an_error_and_its_request_never_runs() {
    let backend = Backend::start(|_| ok(""));
    let (node, _watch, _discovery) = serving_node(&settings(DEADLINE_MS, ""), &[&backend]);
    for (sent, status) in [(9, 408), (200_000, 503)] {
        let mut client = node.client();
        let head = format!(
            "POST /correct/1 HTTP/1.1\r\nHost: a\r\n{}Content-Length: 300000\r\n\r\n",
            common_headers(DEADLINE_MS)
        );
        client.write(&[head.as_bytes(), &bytes(sent)].concat());
        assert_eq!(client.answer().expect("an answer").status(), status, "{sent} bytes");
        assert!(client.is_closed());
    }
    assert_eq!(backend.request_count(), 0);
}

#[test]
fn the_deadline_of_a_request_counts_from_the_last_byte_of_its_body() {
    let backend = Backend::start(|message| ok(&message.body.len().to_string()));
    // Sending the body takes longer than the deadline, without a long pause.
    let (node, _watch, _discovery) = serving_node(&settings(3000, ""), &[&backend]);
    let mut client = node.client();
    let head = format!(
        "POST /correct/1 HTTP/1.1\r\nHost: a\r\n{}Content-Length: 700000\r\n\r\n",
        common_headers(3000)
    );
    client.write(head.as_bytes());
    for piece in bytes(700_000).chunks(20_000) {
        client.write(piece);
        std::thread::sleep(std::time::Duration::from_millis(100));
    }
    let answer = client.answer().expect("an answer");
    assert_eq!((answer.status(), answer.body), (200, b"700000".to_vec()));
}

#[test]
fn expect_continue_and_pipelining_work() {
    let backend = Backend::start(|message| ok(&message.start_line));
    let (node, _watch, _discovery) = serving_node(&settings(DEADLINE_MS, ""), &[&backend]);
    let mut client = node.client();
    let head = |path: &str| {
        format!("POST {path} HTTP/1.1\r\nHost: a\r\n{}Content-Length: 5\r\n", common_headers(DEADLINE_MS))
    };
    client.write(format!("{}Expect: 100-continue\r\n\r\n", head("/correct/waits")).as_bytes());
    assert_eq!(
        (client.read_line(), client.read_line()),
        ("HTTP/1.1 100 Continue\r\n".to_owned(), "\r\n".to_owned())
    );
    client.write(b"sheet");
    assert_eq!(client.answer().expect("an answer").body, b"POST /correct/waits HTTP/1.1");
    // Pipelined requests, the second one sent byte by byte.
    client.write(format!("{}\r\nsheet", head("/correct/one")).as_bytes());
    for byte in format!("{}\r\nsheet", head("/correct/two")).as_bytes() {
        client.write(&[*byte]);
    }
    assert_eq!(client.answer().expect("an answer").body, b"POST /correct/one HTTP/1.1");
    assert_eq!(client.answer().expect("an answer").body, b"POST /correct/two HTTP/1.1");
}

#[test]
fn invalid_body_lengths_get_an_error() {
    let backend = Backend::start(|_| ok(""));
    let (node, _watch, _discovery) = serving_node(&settings(DEADLINE_MS, ""), &[&backend]);
    for lengths in [
        "Content-Length: 5\r\nContent-Length: 6\r\n",
        "Content-Length: -5\r\n",
        "Content-Length: 99999999999999999999\r\n",
        "Transfer-Encoding: chunked, gzip\r\n",
    ] {
        let mut client = node.client();
        let head = format!(
            "POST /correct/1 HTTP/1.1\r\nHost: a\r\n{}{lengths}\r\nsheet",
            common_headers(DEADLINE_MS)
        );
        client.write(head.as_bytes());
        let status = client.answer().expect("an answer").status();
        assert!((400..500).contains(&status), "{lengths}: {status}");
        assert!(client.is_closed(), "{lengths}");
    }
    // An invalid chunk header.
    let mut client = node.client();
    let head = format!("POST /correct/1 HTTP/1.1\r\nHost: a\r\n{}", common_headers(DEADLINE_MS));
    client.write(format!("{head}Transfer-Encoding: chunked\r\n\r\nfive\r\nsheet").as_bytes());
    assert_eq!(client.answer().expect("an answer").status(), 400);
    assert_eq!(backend.request_count(), 0);
}

#[test]
fn buffered_bodies_take_a_limited_part_of_memory_and_others_wait() {
    let held = Arc::new(HeldRequests::default());
    let backends = [0, 1].map(|_| {
        let held = held.clone();
        Backend::start(move |message| {
            held.hold(message);
            ok("fine")
        })
    });
    let discovery = Discovery::start();
    // A quarter of this is memory for one buffered body.
    let config = config(discovery.address, &settings(DEADLINE_MS, ""), 1024)
        .replace(r#""memory_mb":192"#, r#""memory_mb":0"#);
    let node = Node::start(&config, "");
    let mut watch = discovery.next_call();
    watch.open();
    let entries =
        [entry("s-0", backends[0].address, "in_service"), entry("s-1", backends[1].address, "in_service")];
    watch.send_line(&list(8, true, &entries));
    wait_until(|| node.is_ready(), "readiness");
    let (mut first, mut second, mut small) = (node.client(), node.client(), node.client());
    first.send("POST /correct/1", &common_headers(DEADLINE_MS), &bytes(60_000));
    wait_until(|| held.arrived() == ["/correct/1"], "the first at a backend");
    second.send("POST /correct/2", &common_headers(DEADLINE_MS), &bytes(60_000));
    // A small body needs no reserved memory, and does not wait.
    small.send_correct();
    wait_until(|| held.arrived() == ["/correct/1", "/correct/1f"], "the small one at a backend");
    held.release("/correct/1");
    held.release("/correct/1f");
    assert_eq!(
        (first.answer().expect("an answer").status(), small.answer().expect("an answer").status()),
        (200, 200)
    );
    wait_until(|| held.arrived().len() == 3, "the second one at a backend");
    held.release("/correct/2");
    assert_eq!(second.answer().expect("an answer").status(), 200);
}

/// Guards against a discarded body that is taken for the next request's head, which then waits for memory.
#[test]
fn a_connection_goes_on_after_a_discarded_body_though_memory_is_short() {
    const PROMPTLY: std::time::Duration = std::time::Duration::from_secs(1);
    let backend = Backend::start(|_| ok("fine"));
    let discovery = Discovery::start();
    let config = config(discovery.address, &settings(DEADLINE_MS, ""), 1024)
        .replace(r#""memory_mb":192"#, r#""memory_mb":0"#);
    let node = Node::start(&config, "");
    let line = list(8, true, &[entry("s-0", backend.address, "in_service")]);
    let _watch = discovery.send_list_until(&line, || node.is_ready(), "readiness");
    // It holds the memory that there is for requests which are still arriving.
    let mut holding = node.client();
    let headers = common_headers(DEADLINE_MS);
    let head = format!("POST /correct/1 HTTP/1.1\r\nHost: a\r\n{headers}Content-Length: 60000\r\n\r\n");
    holding.write(&[head.as_bytes(), &bytes(50_000)].concat());
    let mut client = node.client();
    let answer = client.request("POST /unknown/1", &common_headers(DEADLINE_MS), &bytes(200_000));
    assert_eq!(answer.status(), 404);
    let sent = std::time::Instant::now();
    assert_eq!(client.request_read().status(), 200);
    assert!(sent.elapsed() < PROMPTLY, "answered after {:?}", sent.elapsed());
}
