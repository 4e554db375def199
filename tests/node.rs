//! Tests of the node as a process over loopback sockets, as its peers see it: each test provokes one kind of
//! failure.

mod bodies;
mod harness;
mod late_answers;
mod lists;
mod long_heads;
mod members;
mod memory_limit;
mod node_zones;
mod operations;
mod pipelined_floods;
mod races;
mod restarts;
mod subset_node;
mod unsolicited;
mod uploads;

use harness::*;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::mpsc::channel;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Two backends that share a script. The script gets the number of requests that both received before.
fn two_backends(script: impl Fn(usize) -> Reply + Send + Sync + 'static) -> (Backend, Backend) {
    let (count, script) = (Arc::new(AtomicUsize::new(0)), Arc::new(script));
    let start = || {
        let (count, script) = (count.clone(), script.clone());
        Backend::start(move |_| script(count.fetch_add(1, Ordering::SeqCst)))
    };
    (start(), start())
}

/// Two backends of which the first attempt gets this reply and all others are served.
fn first_attempt_gets(reply: impl Fn() -> Reply + Send + Sync + 'static) -> (Backend, Backend) {
    two_backends(move |before| if before == 0 { reply() } else { ok("second") })
}

/// A latency target and a budget that no request of these tests exceeds.
const LONG_MS: u64 = 20_000;

// ---- Outcomes -----------------------------------------------------------------------------------

#[test]
fn requests_and_responses_are_forwarded_unchanged() {
    let backend = Backend::start(|_| {
        Reply::Answer("200 OK", "X-Load-Report: inflight=1,queue=0\r\n", vec![0, 255, 10])
    });
    let (node, _watch, _discovery) = serving_node(&settings(LONG_MS, ""), &[&backend]);
    let headers = format!("{}Idempotency-Key: 5c0f6e\r\n", common_headers(5000));
    let answer = node.client().request("POST /submit/7f3a?x=1%202", &headers, b"body\0");
    assert_eq!((answer.status(), answer.body), (200, vec![0, 255, 10]));
    let (_, seen) = backend.next_request();
    assert_eq!(seen.start_line, "POST /submit/7f3a?x=1%202 HTTP/1.1");
    assert_eq!((seen.body.as_slice(), seen.header("idempotency-key")), (&b"body\0"[..], Some("5c0f6e")));
    assert!(headers.contains(seen.header("x-call-id").expect("an id")));
    let budget: u64 = seen.header("x-budget-ms").expect("a budget").parse().expect("a number");
    assert!((1..=5000).contains(&budget), "{budget}");
}

#[test]
fn a_request_that_may_have_run_is_retried_only_if_idempotent() {
    let endings: [fn() -> Reply; 5] = [
        || Reply::Answer("500 Oops", "", vec![]),
        // Without X-Rejected the response does not promise that the request never ran.
        || Reply::Answer("503 Busy", "", vec![]),
        || Reply::Close(vec![]),
        || Reply::Close(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf".to_vec()),
        || Reply::Close(b"no HTTP at all\r\n\r\n".to_vec()),
    ];
    for (i, ending) in endings.into_iter().enumerate() {
        let (one, two) = first_attempt_gets(ending);
        let (node, _watch, _discovery) = serving_node(&settings(LONG_MS, ""), &[&one, &two]);
        let answer = node.client().request_correct();
        assert!(![200, 429, 503].contains(&answer.status()), "case {i}: {answer:?}");
        assert_eq!(one.request_count() + two.request_count(), 1, "case {i}");

        let (one, two) = first_attempt_gets(ending);
        let (node, _watch, _discovery) = serving_node(&settings(LONG_MS, ""), &[&one, &two]);
        assert_eq!(node.client().request_read().body, b"second", "case {i}");
    }
}

#[test]
fn a_request_that_never_ran_is_retried_even_if_not_idempotent() {
    for status in ["503 Full", "504 Over"] {
        let (one, two) = first_attempt_gets(move || Reply::Answer(status, "X-Rejected: 1\r\n", vec![]));
        let (node, _watch, _discovery) = serving_node(&settings(LONG_MS, ""), &[&one, &two]);
        assert_eq!(node.client().request_correct().body, b"second", "{status}");
    }
    // A backend that refuses connections.
    let closed_port = ClosedPort::bind();
    let backend = Backend::start(|_| ok("here"));
    let (node, mut watch, _discovery) = serving_node(&settings(LONG_MS, ""), &[]);
    watch.send_line(&list(
        9,
        true,
        &[entry("s-0", closed_port.address, "in_service"), entry("s-1", backend.address, "in_service")],
    ));
    for _ in 0..8 {
        assert_eq!(node.client().request_correct().body, b"here");
    }
}

#[test]
fn a_refused_request_gets_a_retry_after_header() {
    let backend = Backend::start(|_| Reply::Answer("503 Full", "X-Rejected: 1\r\n", vec![]));
    let (node, _watch, _discovery) = serving_node(&settings(LONG_MS, ""), &[&backend]);
    let answer = node.client().request_correct();
    assert_eq!(answer.status(), 503);
    assert_eq!(answer.header("retry-after"), Some("1.500"));
}

#[test]
fn an_attempt_without_a_response_times_out_and_closes_its_connection() {
    let backend = Backend::start(|_| Reply::Silence);
    let (node, _watch, _discovery) = serving_node(&settings(LONG_MS, ""), &[&backend]);
    let mut client = node.client();
    let start = Instant::now();
    let answer = client.request("POST /correct/1", &common_headers(600), b"sheet");
    assert!(start.elapsed() >= Duration::from_millis(300), "the node waited for the attempt");
    // The request may still run, so the status must not promise that it never ran.
    assert!(![200, 429, 503].contains(&answer.status()), "{answer:?}");
    backend.next_closed();
}

#[test]
fn a_silent_attempt_is_hedged_and_cancelled_when_the_hedge_is_answered() {
    let silent = Arc::new(AtomicBool::new(false));
    let start = || {
        let silent = silent.clone();
        Backend::start(
            move |m| if silent.swap(false, Ordering::SeqCst) { Reply::Silence } else { ok(&m.start_line) },
        )
    };
    let (one, two) = (start(), start());
    let (node, _watch, _discovery) = serving_node(&settings(4000, r#","ParallelTries":true"#), &[&one, &two]);
    // The node first learns usual response times, and from them when to send a hedged attempt.
    let mut client = node.client();
    (0..150).for_each(|_| assert_eq!(client.request_read().status(), 200));
    let before = one.request_count() + two.request_count();
    // On a slow machine there may have been hedged attempts already.
    let _ = (one.has_closed(), two.has_closed());
    silent.store(true, Ordering::SeqCst);
    assert_eq!(client.request_read().status(), 200);
    assert!(one.request_count() + two.request_count() >= before + 2);
    wait_until(|| one.has_closed() || two.has_closed(), "the close of the silent attempt's connection");
}

#[test]
fn a_client_disconnect_cancels_its_attempt() {
    let backend = Backend::start(|_| Reply::Silence);
    // With this deadline nothing else ends the attempt during the test.
    let (node, _watch, _discovery) = serving_node(&settings(500_000, ""), &[&backend]);
    let mut client = node.client();
    client.send("POST /correct/1", &common_headers(500_000), b"sheet");
    backend.next_request();
    drop(client);
    backend.next_closed();
    assert!(node.is_ready());
}

// ---- Connections --------------------------------------------------------------------------------

#[test]
fn an_idle_connection_is_reused_and_closed_before_the_backend_closes_it() {
    let backend = Backend::start(|_| ok(""));
    let (node, _watch, _discovery) = serving_node(&settings(LONG_MS, r#","IdleClose":2000"#), &[&backend]);
    let mut client = node.client();
    for _ in 0..5 {
        assert_eq!(client.request_read().status(), 200);
        assert_eq!(backend.next_request().0, 0);
    }
    assert_eq!(backend.next_closed(), 0);
    // A new client, because the node may have closed the idle client connection as well.
    assert_eq!(node.client().request_read().status(), 200);
    assert_eq!(backend.next_request().0, 1);
}

#[test]
fn a_connection_carries_one_request_at_a_time() {
    let (go, gate) = channel::<()>();
    let gate = Mutex::new(gate);
    let backend = Backend::start(move |message| {
        if message.start_line.contains("/correct/") {
            let _ = gate.lock().expect("the gate").recv_timeout(TEST_TIMEOUT);
        }
        ok("")
    });
    let (node, _watch, _discovery) = serving_node(&settings(LONG_MS, ""), &[&backend]);
    // From responses in time the node learns that the backend can take two requests at once.
    let mut clients = [node.client(), node.client()];
    for _ in 0..40 {
        assert_eq!(clients[0].request_read().status(), 200);
        backend.next_request(); // on any of its connections
    }
    clients.iter_mut().for_each(Client::send_correct);
    assert_ne!(backend.next_request().0, backend.next_request().0);
    go.send(()).and_then(|()| go.send(())).expect("the backend waits");
    for client in &mut clients {
        assert_eq!(client.answer().expect("an answer").status(), 200);
    }
}

#[test]
fn a_connection_that_closes_while_idle_fails_no_request() {
    // The backend closes the connection after each response without announcing it.
    let backend = Backend::start(|_| Reply::Close(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".to_vec()));
    let (node, _watch, _discovery) = serving_node(&settings(LONG_MS, ""), &[&backend]);
    for connection in 0..5 {
        assert_eq!(node.client().request_correct().status(), 200);
        assert_eq!(backend.next_closed(), connection);
        // The close is sent before the next request.
    }
}

// ---- Discovery ----------------------------------------------------------------------------------

#[test]
fn a_draining_backend_gets_no_new_requests_and_its_idle_connection_is_closed() {
    let (old, new) = (Backend::start(|_| ok("old")), Backend::start(|_| ok("new")));
    let (node, mut watch, _discovery) = serving_node(&settings(LONG_MS, ""), &[&old]);
    assert_eq!(node.client().request_read().body, b"old");
    watch.send_line(&list(
        9,
        false,
        &[entry("s-0", old.address, "terminating"), entry("s-1", new.address, "in_service")],
    ));
    old.next_closed();
    for _ in 0..10 {
        assert_eq!(node.client().request_correct().body, b"new");
    }
    assert_eq!(old.request_count(), 1);
}

#[test]
fn a_backend_that_moves_is_used_at_its_new_address() {
    let (old, new) = (Backend::start(|_| ok("old")), Backend::start(|_| ok("new")));
    let (node, mut watch, _discovery) = serving_node(&settings(LONG_MS, ""), &[&old]);
    assert_eq!(node.client().request_read().body, b"old");
    watch.send_line(&list(9, false, &[entry("s-0", new.address, "in_service")]));
    old.next_closed();
    assert_eq!(node.client().request_read().body, b"new");
}

#[test]
fn a_broken_watch_is_resumed_from_the_last_version() {
    let (old, new) = (Backend::start(|_| ok("old")), Backend::start(|_| ok("new")));
    let (node, mut watch, discovery) = serving_node(&settings(LONG_MS, ""), &[&old]);
    assert!(
        watch.start_line.contains("stream=1&index=7 "),
        "it starts from the known list: {}",
        watch.start_line
    );
    watch.send_line(&list(12, false, &[]));
    node.client().request_read();
    drop(watch);
    let mut watch = discovery.next_call();
    assert!(watch.start_line.contains("index=12 "), "{}", watch.start_line);
    // It keeps serving from the list it has, and retries when a request to discovery fails.
    assert_eq!(node.client().request_read().body, b"old");
    watch.write("HTTP/1.1 503 Down\r\nContent-Length: 0\r\n\r\n");
    let mut watch = discovery.next_call();
    watch.open();
    watch.send_line(&list(13, true, &[entry("s-1", new.address, "in_service")]));
    old.next_closed();
    assert_eq!(node.client().request_read().body, b"new");
}

#[test]
fn a_node_that_starts_while_discovery_is_down_serves_from_its_configured_list() {
    let backend = Backend::start(|_| ok("known"));
    let down = ClosedPort::bind();
    let config = config(down.address, &settings(LONG_MS, ""), 1024);
    let known = entry("s-0", backend.address, "in_service");
    let config = config.replace("\"endpoints\":[]", &format!("\"endpoints\":[{known}]"));
    // Index 0 is valid: discovery counts from 0.
    for config in [config.replace("\"index\":7", "\"index\":0"), config] {
        let node = Node::start(&config, "");
        wait_until(|| node.is_ready(), "readiness");
        assert_eq!(node.client().request_read().body, b"known");
    }
}

#[test]
fn a_node_without_a_server_list_is_not_ready() {
    let discovery = Discovery::start();
    let node = Node::start(&config(discovery.address, &settings(LONG_MS, ""), 1024), "");
    let mut watch = discovery.next_call();
    assert!(!node.is_ready());
    watch.open();
    watch.send_line(&list(8, true, &[]));
    wait_until(|| node.is_ready(), "readiness");
}

#[test]
fn after_a_reload_the_watch_continues_at_the_new_discovery_address() {
    let (old, new) = (Backend::start(|_| ok("old")), Backend::start(|_| ok("new")));
    let (node, _watch, _before) = serving_node(&settings(LONG_MS, ""), &[&old]);
    // An unreadable configuration changes nothing.
    node.reload("half a conf");
    node.wait_for_log("all stays as it was");
    assert_eq!(node.client().request_read().body, b"old");
    let after = Discovery::start();
    node.reload(&with_ops(&config(after.address, &settings(LONG_MS, ""), 1024)));
    let mut watch = after.next_call();
    assert!(
        watch.start_line.contains("stream=1&index=8 "),
        "it continues from its version: {}",
        watch.start_line
    );
    assert_eq!(node.client().request_read().body, b"old");
    watch.open();
    watch.send_line(&list(9, true, &[entry("s-1", new.address, "in_service")]));
    old.next_closed();
    assert_eq!(node.client().request_read().body, b"new");
}

#[test]
fn a_stalled_watch_is_reopened() {
    let backend = Backend::start(|_| ok(""));
    let (_node, watch, discovery) = serving_node(&settings(LONG_MS, ""), &[&backend]);
    watch.stop_heartbeat();
    assert!(discovery.next_call().start_line.contains("index=8 "));
    drop(watch);
}

#[test]
fn a_malformed_list_entry_or_report_is_dropped_alone() {
    let backend = Backend::start(|_| Reply::Answer("200 OK", "X-Load-Report: inflight=many\r\n", vec![]));
    let (node, mut watch, _discovery) = serving_node(&settings(LONG_MS, ""), &[]);
    watch.send_line("{\"index\": 9, \"endpoints\": 5}");
    watch.send_line("\u{1}\u{2}");
    let nowhere = r#"{"name":"s-2","address":"nowhere","zone":"a","status":"in_service"}"#.to_owned();
    let strange = entry("s-3", backend.address, "asleep");
    watch.send_line(&list(10, true, &[nowhere, strange, entry("s-0", backend.address, "in_service")]));
    assert_eq!(node.client().request_read().status(), 200);
    node.wait_for_log("malformed list");
    node.wait_for_log("malformed line");
    node.wait_for_log("malformed load report");
}

#[test]
fn a_node_that_polls_the_list_repeats_a_failed_request() {
    let backend = Backend::start(|_| ok(""));
    let polling = settings(LONG_MS, "").replacen('{', r#"{"RegistryMode":"ask","#, 1);
    let polling = polling.replace(r#""DrainGrace":2000"#, r#""DrainGrace":2000,"MustAskIn":1000"#);
    let discovery = Discovery::start();
    let node = Node::start(&config(discovery.address, &polling, 1024), "");
    discovery.next_call().write("HTTP/1.1 503 Down\r\nContent-Length: 0\r\n\r\n");
    let mut watch = discovery.next_call();
    watch.open();
    watch.send_line(&list(8, true, &[entry("s-0", backend.address, "in_service")]));
    assert_eq!(node.client().request_read().status(), 200);
}

// ---- Start, end and limits ----------------------------------------------------------------------

#[test]
fn sigterm_finishes_accepted_requests_and_ends_the_process() {
    let (go, gate) = channel::<()>();
    let gate = Arc::new(Mutex::new(gate));
    // One backend for each held request, because a new node sends one request at a time to a backend.
    let backends = [0, 1, 2].map(|_| {
        let gate = gate.clone();
        Backend::start(move |_| {
            let _ = gate.lock().expect("the gate").recv_timeout(TEST_TIMEOUT);
            ok("held")
        })
    });
    let received = || backends.iter().map(Backend::request_count).sum::<usize>();
    let (mut node, _watch, _discovery) = serving_node(&settings(LONG_MS, ""), &backends.each_ref());
    let (mut held, mut keep_alive, mut idle) = (node.client(), node.client(), node.client());
    assert_eq!(keep_alive.request("GET /health/ready", "", b"").status(), 200);
    assert_eq!(idle.request("GET /health/ready", "", b"").status(), 200);
    held.send_correct();
    wait_until(|| received() == 1, "the request at a backend");
    node.terminate();
    node.wait_for_log("told to stop");
    // It still accepts and serves, and its responses close the connection.
    assert!(!node.is_ready());
    let (mut late, close) = (node.client(), Some("close"));
    late.send_correct();
    keep_alive.send_correct();
    wait_until(|| received() == 3, "all requests at backends");
    (0..3).for_each(|_| go.send(()).expect("the backend waits"));
    for client in [&mut held, &mut late, &mut keep_alive] {
        let answer = client.answer().expect("accepted requests are answered");
        assert_eq!((answer.status(), answer.header("connection")), (200, close));
        assert!(client.is_closed());
    }
    assert!(idle.is_closed());
    assert_eq!(node.wait_for_exit().code(), Some(0));
}

#[test]
fn malformed_requests_get_an_error_and_reach_no_backend() {
    let backend = Backend::start(|_| ok(""));
    let (node, _watch, _discovery) = serving_node(&settings(LONG_MS, ""), &[&backend]);
    let good = || common_headers(5000);
    let without = |name: &str| {
        good().split_inclusive("\r\n").filter(|line| !line.starts_with(name)).collect::<String>()
    };
    let with = |name: &str, value: &str| format!("{}{name}: {value}\r\n", without(name));
    let key = "Idempotency-Key: 1\r\n";
    let long = "i".repeat(5000);
    let cases: Vec<(&str, String, Vec<u8>)> = vec![
        ("GET /nothing/1", good(), vec![]),
        ("GET /", good(), vec![]),
        ("OPTIONS *", good(), vec![]),
        ("POST /read/1", good(), vec![]),
        ("GET /correct/1", good(), vec![]),
        ("DELETE /read/1", good(), vec![]),
        ("GET /read/1", good(), b"body".to_vec()),
        ("POST /submit/1", good(), vec![]),
        ("GET /read/1", without("X-Call-Id"), vec![]),
        ("GET /read/1", with("X-Call-Id", ""), vec![]),
        ("GET /read/1", with("X-Call-Id", &long), vec![]),
        ("GET /read/1", without("X-Caller"), vec![]),
        ("GET /read/1", with("X-Caller", "nobody"), vec![]),
        ("GET /read/1", without("X-Budget-Ms"), vec![]),
        ("GET /read/1", with("X-Budget-Ms", "0"), vec![]),
        ("GET /read/1", with("X-Budget-Ms", "-5"), vec![]),
        ("GET /read/1", with("X-Budget-Ms", "soon"), vec![]),
        ("GET /read/1", with("X-Budget-Ms", "1e3"), vec![]),
        ("GET /read/1", with("X-Budget-Ms", "18446744073709551616"), vec![]),
        ("GET /read/1", with("X-Budget-Ms", "18446744073709551615"), vec![]),
        ("GET /read/1", good(), vec![b'x'; 500_000]),
        ("POST /submit/1", good(), vec![b'x'; 500_000]),
        ("POST /submit/1", good() + key, vec![b'x'; (32 << 20) + 1]),
    ];
    for (start, headers, body) in cases {
        let answer = node.client().request(start, &headers, &body);
        let never_ran = [429, 503].contains(&answer.status());
        assert!((400..500).contains(&answer.status()) && !never_ran, "{start} {headers}: {answer:?}");
    }
    assert_eq!(backend.request_count(), 0);
    // The longest body that is buffered.
    let answer = node.client().request("POST /correct/1", &good(), &vec![b'x'; 64 * 1024]);
    assert_eq!((answer.status(), backend.next_request().1.body.len()), (200, 64 * 1024));
}

// Guards against requests that are served though HTTP or the protocol leaves open what they are.
#[test]
fn ambiguous_requests_get_an_error_and_reach_no_backend() {
    let backend = Backend::start(|_| ok("fine"));
    let (node, _watch, _discovery) = serving_node(&settings(LONG_MS, ""), &[&backend]);
    let send = |version: &str, extra: &str| {
        let mut client = node.client();
        let headers = common_headers(5000);
        let head = format!("POST /submit/1 {version}\r\n{headers}{extra}Content-Length: 5\r\n\r\nsheet");
        client.write(head.as_bytes());
        client.answer().expect("an answer").status()
    };
    let (host, key) = ("Host: a\r\n", "Idempotency-Key: 1\r\n");
    for extra in [
        key.to_owned(),
        format!("{host}{key}Host: b\r\n"),
        format!("{host}{key}{host}"),
        format!("{key}Host: a b\r\n"),
        format!("{key}Host: a/b\r\n"),
        format!("{key}Host: c@a\r\n"),
        format!("{host}{key}X-Call-Id: 00000000000fffff\r\n"),
        format!("{host}{key}X-Budget-Ms: 4000\r\n"),
        format!("{host}{key}X-Caller: acme\r\n"),
        format!("{host}{key}{key}"),
        format!("{host}{key}Idempotency-Key: 2\r\n"),
        format!("{host}Idempotency-Key: \r\n"),
    ] {
        assert_eq!(send("HTTP/1.1", &extra), 400, "{extra}");
    }
    assert_eq!(backend.request_count(), 0);
    for host in ["Host: a\r\n", "Host: a:8081\r\n", "Host: [::1]:8081\r\n", "Host:\r\n"] {
        assert_eq!(send("HTTP/1.1", &format!("{host}{key}")), 200, "{host}");
    }
    assert_eq!(send("HTTP/1.0", key), 200, "HTTP/1.0 needs no Host");
}

#[test]
fn idle_client_connections_are_closed_for_new_ones() {
    let backend = Backend::start(|_| ok(""));
    // 52 sockets, 48 of them reserved: three connections for clients, one for backends.
    let (node, _watch, _discovery) = serving_node_with(&settings(LONG_MS, ""), &[&backend], 52, "");
    let mut clients = Vec::new();
    for _ in 0..20 {
        let mut client = node.client();
        assert_eq!(client.request_read().status(), 200);
        clients.push(client);
    }
    assert!(clients[0].is_closed());
}

#[test]
fn a_waiting_connection_is_accepted_when_the_first_client_becomes_idle() {
    let (go, gate) = channel::<()>();
    let gate = Arc::new(Mutex::new(gate));
    let backends = [0, 1].map(|_| {
        let gate = gate.clone();
        Backend::start(move |message| {
            if message.start_line.contains("/correct/") {
                let _ = gate.lock().expect("the gate").recv_timeout(TEST_TIMEOUT);
            }
            ok("")
        })
    });
    // Three connections for clients, two for backends.
    let (node, _watch, _discovery) = serving_node_with(&settings(LONG_MS, ""), &backends.each_ref(), 53, "");
    let mut busy = [node.client(), node.client()];
    busy.iter_mut().for_each(Client::send_correct);
    wait_until(
        || backends.iter().map(Backend::request_count).sum::<usize>() == 2,
        "both requests at backends",
    );
    // The third has been told to continue and is about to send its body.
    let mut third = node.client();
    third.send(
        "POST /correct/1",
        &format!("{}Expect: 100-continue\r\nContent-Length: 5\r\n", common_headers(LONG_MS)),
        b"",
    );
    assert_eq!(third.read_line(), "HTTP/1.1 100 Continue\r\n");
    let mut waiting = node.client();
    waiting.send("GET /health/ready", "", b"");
    // The first response closes no connection, it only makes one idle.
    go.send(()).expect("a backend waits");
    assert_eq!(waiting.answer().expect("an answer").status(), 200);
    go.send(()).expect("the other waits");
    for client in &mut busy {
        assert_eq!(client.answer().expect("an answer").status(), 200);
    }
}

#[test]
fn a_node_out_of_descriptors_recovers_when_some_are_free_again() {
    let backend = Backend::start(|_| ok(""));
    let (node, _watch, _discovery) =
        serving_node_with(&settings(LONG_MS, ""), &[&backend], 1024, "ulimit -n 30; ");
    let clients: Vec<Client> = (0..60).map(|_| node.client()).collect();
    node.wait_for_log("cannot accept");
    drop(clients);
    wait_until(
        || node.client().request_read().status() == 200,
        "service after the clients have disconnected",
    );
}

#[test]
fn a_bad_configuration_is_reported_in_one_line() {
    let good = config("127.0.0.1:1".parse().expect("an address"), &settings(LONG_MS, ""), 1024);
    let cases = [
        "not JSON".to_owned(),
        "{}".to_owned(),
        good.replace("127.0.0.1:0", "somewhere"),
        good.replace("8c1f30d27a5be964", "seed"),
        good.replace(r#""sockets":1024"#, r#""sockets":10"#),
        good.replace("free", "sometimes"),
        good.replace(r#""Name":"correct""#, r#""Name":"read""#),
    ];
    for config in cases {
        let output = command(&config, "").output().expect("it runs");
        let stderr = String::from_utf8_lossy(&output.stderr);
        assert!(!output.status.success(), "{config}");
        assert!(
            stderr.starts_with("sillward: bad configuration: ") && stderr.lines().count() == 1,
            "{stderr}"
        );
    }
}
