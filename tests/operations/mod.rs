//! What operators do with a node: calls to the operations address, drains, reloads of the settings, hot
//! restarts.

use crate::harness::*;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::channel;
use std::sync::{Arc, Mutex};
use std::thread::spawn;

const DEADLINE_MS: u64 = 20_000;

// ---- The operations address ---------------------------------------------------------------------

#[test]
fn status_is_200_once_the_node_has_a_list_and_wrong_calls_get_an_error() {
    let discovery = Discovery::start();
    let node = Node::start(&with_ops(&config(discovery.address, &settings(DEADLINE_MS, ""), 1024)), "");
    let mut watch = discovery.next_call();
    assert_eq!(node.ops_call("GET /status"), 503, "it has no list");
    watch.open();
    watch.send_line(&list(8, true, &[]));
    wait_until(|| node.ops_call("GET /status") == 200, "status 200");
    for (call, status) in [
        ("GET /", 404),
        ("GET /status/", 404),
        ("POST /health/ready", 404),
        ("POST /status", 405),
        ("PUT /status", 405),
        ("GET /standby", 405),
        ("DELETE /active", 405),
    ] {
        assert_eq!(node.ops_call(call), status, "{call}");
    }
    let mut long = Client::connect(node.ops_address());
    assert_eq!(long.request("POST /standby", "", &[b'x'; 5000]).status(), 400);
    assert!(node.is_ready(), "nothing of that has changed anything");
    let mut once = Client::connect(node.ops_address());
    assert_eq!(once.request("GET /status", "", b"").header("connection"), Some("close"));
    assert!(once.is_closed(), "one call to a connection");
}

#[test]
fn idle_and_incomplete_calls_delay_no_other_call_and_are_closed() {
    let (node, _watch, _discovery) = serving_node(&settings(DEADLINE_MS, ""), &[]);
    let address = node.ops_address();
    let mut stuck: Vec<_> = ["", "POST /stan", "POST /standby HTTP/1.1\r\nContent-Length: 9\r\n\r\nhalf"]
        .iter()
        .cycle()
        .take(60)
        .map(|sends| {
            let mut stream = TcpStream::connect(address).expect("the node accepts");
            stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("a time-out");
            stream.write_all(sends.as_bytes()).expect("the node reads");
            stream
        })
        .collect();
    for _ in 0..20 {
        assert_eq!(node.ops_call("GET /status"), 200);
    }
    assert!(node.is_ready(), "half a call drains nothing");
    for stream in &mut stuck {
        let mut rest = Vec::new();
        // The connection is closed or reset.
        let _ = stream.read_to_end(&mut rest);
        assert!(!rest.starts_with(b"HTTP/1.1 2"), "{}", String::from_utf8_lossy(&rest));
    }
}

#[test]
fn without_an_operations_address_the_node_serves_clients() {
    let discovery = Discovery::start();
    let node = Node::start(&config(discovery.address, &settings(DEADLINE_MS, ""), 1024), "");
    let mut watch = discovery.next_call();
    watch.open();
    watch.send_line(&list(8, true, &[]));
    wait_until(|| node.is_ready(), "readiness");
    // The calls have no meaning on the clients' address.
    assert_eq!(node.client().request("POST /standby", "", b"").status(), 404);
    assert!(node.is_ready());
}

// ---- Drain --------------------------------------------------------------------------------------

#[test]
fn a_drained_node_closes_its_connections_and_can_be_made_active_again() {
    let (release, release_gate) = channel::<()>();
    let release_gate = Arc::new(Mutex::new(release_gate));
    let backend = Backend::start(move |_| {
        let _ = release_gate.lock().expect("the gate").recv_timeout(TEST_TIMEOUT);
        ok("held")
    });
    let (mut node, _watch, _discovery) = serving_node(&settings(DEADLINE_MS, ""), &[&backend]);
    let (mut held, mut idle, mut fresh) = (node.client(), node.client(), node.client());
    assert_eq!(idle.request("GET /health/ready", "", b"").header("connection"), None);
    held.send_correct();
    wait_until(|| backend.request_count() == 1, "the request at a backend");
    for _ in 0..3 {
        assert_eq!(node.ops_call("POST /standby"), 200);
        assert!(!node.is_ready());
    }
    assert_eq!(node.ops_call("GET /status"), 200, "it can serve all the same");
    // A client that waits for a response gets it, and its connection is closed; so are idle connections.
    assert!(idle.is_closed() && fresh.is_closed());
    release.send(()).expect("the backend waits");
    let answer = held.answer().expect("an accepted request is answered");
    assert_eq!((answer.status(), answer.header("connection")), (200, Some("close")));
    assert!(held.is_closed());
    for _ in 0..2 {
        assert_eq!(node.ops_call("POST /active"), 200);
        assert!(node.is_ready());
    }
    release.send(()).expect("the backend waits");
    let mut returning = node.client();
    let answer = returning.request_correct();
    assert_eq!((answer.status(), answer.header("connection")), (200, None));

    // A node that shuts down can't be made active again.
    returning.send_correct();
    wait_until(|| backend.request_count() == 3, "the request at a backend");
    node.terminate();
    node.wait_for_log("told to stop");
    assert_eq!((node.ops_call("POST /active"), node.ops_call("POST /standby")), (409, 200));
    assert!(!node.is_ready());
    assert_eq!(node.ops_call("GET /status"), 503);
    release.send(()).expect("the backend waits");
    assert_eq!(returning.answer().expect("an answer").header("connection"), Some("close"));
    assert_eq!(node.wait_for_exit().code(), Some(0));
}

#[test]
fn requests_still_incomplete_shortly_after_sigterm_are_refused_with_a_response() {
    let backend = Backend::start(|_| ok("fine"));
    let (mut node, _watch, _discovery) = serving_node(&settings(DEADLINE_MS, ""), &[&backend]);
    let head = |length: usize| {
        format!(
            "POST /correct/1 HTTP/1.1\r\nHost: a\r\n{}Content-Length: {length}\r\n\r\n",
            common_headers(DEADLINE_MS)
        )
    };
    let stopping = Arc::new(AtomicBool::new(false));
    // Both keep sending slowly: one body to be buffered, one that is being streamed.
    let mut slow: Vec<_> = [(9_000, 60_000), (1 << 20, 2 << 20)]
        .into_iter()
        .map(|(sent, length)| {
            let mut client = node.client();
            client.write(&[head(length).as_bytes(), &vec![b'x'; sent]].concat());
            let (mut sender, stopping) = (client.write_handle(), stopping.clone());
            spawn(move || {
                while !stopping.load(Ordering::SeqCst) && sender.write_all(b"x").is_ok() {
                    std::thread::sleep(std::time::Duration::from_millis(20));
                }
            });
            client
        })
        .collect();
    let mut half = node.client();
    half.write(b"POST /corr");
    // All of that has arrived once a later request is answered.
    assert_eq!(node.client().request("GET /health/ready", "", b"").status(), 200);
    node.terminate();
    for client in &mut slow {
        let answer = client.answer().expect("an answer");
        assert_eq!((answer.status(), answer.header("connection")), (503, Some("close")));
    }
    assert!(half.is_closed());
    stopping.store(true, Ordering::SeqCst);
    drop(slow);
    assert_eq!(node.wait_for_exit().code(), Some(0));
    assert_eq!(backend.request_count(), 0);
}

// ---- Reload -------------------------------------------------------------------------------------

#[test]
fn a_reload_applies_to_new_requests_and_not_to_those_in_progress() {
    let ((release, release_gate), (release_once, release_gate_once)) = (channel::<()>(), channel::<()>());
    let release_gates = [("/read/hold", release_gate), ("/correct/hold", release_gate_once)];
    let release_gates = Arc::new(release_gates.map(|(path, release_gate)| (path, Mutex::new(release_gate))));
    let backends = [0, 1, 2].map(|_| {
        let release_gates = release_gates.clone();
        Backend::start(move |message| {
            let release_gate = release_gates.iter().find(|(path, _)| message.start_line.contains(path));
            let Some((_, release_gate)) = release_gate else { return ok("fine") };
            let _ = release_gate.lock().expect("the gate").recv_timeout(TEST_TIMEOUT);
            Reply::Answer("500 Oops", "", vec![])
        })
    });
    let request_total = || backends.iter().map(Backend::request_count).sum::<usize>();
    let before = settings(DEADLINE_MS, "");
    let (node, _watch, discovery) = serving_node(&before, &backends.each_ref());
    let (mut idempotent, mut single_shot) = (node.client(), node.client());
    idempotent.send("GET /read/hold", &common_headers(DEADLINE_MS), b"");
    single_shot.send("POST /correct/hold", &common_headers(DEADLINE_MS), b"sheet");
    wait_until(|| request_total() == 2, "both requests at backends");

    // `read` is no longer idempotent, `correct` is gone, `count` is new and comes first, and only one attempt
    // is allowed.
    let class = |name: &str, kind: &str| {
        format!(
            r#"{{"Name":"{name}","Target":{DEADLINE_MS},"GiveUp":{DEADLINE_MS},"Idempotency":"{kind}","Group":"zone","Window":60000}}"#
        )
    };
    let classes =
        [class("count", "free"), class("submit", "guarded"), class("read", "single_shot")].join(",");
    let start = before.find(r#""Classes":["#).expect("classes");
    let end = before.find(r#","Projects""#).expect("what follows");
    let after = format!(r#"{}"Classes":[{classes}]{}"#, &before[..start], &before[end..]);
    let after = after.replace(r#""AttemptsCap":3"#, r#""AttemptsCap":1"#);
    node.reload(&with_ops(&config(discovery.address, &after, 1024)));
    node.wait_for_log("classes are count, submit, read");
    let mut client = node.client();
    assert_eq!(client.request("GET /count/1", &common_headers(DEADLINE_MS), b"").body, b"fine");
    assert_eq!(client.request("GET /read/1", &common_headers(DEADLINE_MS), b"").status(), 405);
    assert_eq!(client.request("POST /read/1", &common_headers(DEADLINE_MS), b"").body, b"fine");
    assert_eq!(client.request("POST /correct/1", &common_headers(DEADLINE_MS), b"").status(), 404);

    // The requests in progress: `read` may be retried at the two other backends, `correct` nowhere.
    let served = request_total();
    // `correct` ends first: a server that still has it in flight counts as loaded for the attempts of `read`.
    release_once.send(()).expect("a backend waits");
    assert!(![200, 429, 503].contains(&single_shot.answer().expect("an answer").status()));
    (0..3).for_each(|_| release.send(()).expect("a backend waits"));
    assert_eq!(idempotent.answer().expect("an answer").status(), 503);
    assert_eq!(request_total(), served + 2);
}

#[test]
fn an_invalid_configuration_changes_nothing_and_a_later_valid_one_is_applied() {
    let backend = Backend::start(|_| ok("fine"));
    let (node, _watch, discovery) = serving_node(&settings(DEADLINE_MS, ""), &[&backend]);
    let valid_config =
        with_ops(&config(discovery.address, &settings(DEADLINE_MS, ""), 1024).replace("correct", "amend"));
    let deadline = format!(r#""GiveUp":{DEADLINE_MS}"#);
    let other_discovery = Discovery::start();
    let invalid_configs = [
        (String::new(), "EOF"),
        (valid_config[..valid_config.len() / 2].to_owned(), "bad configuration"),
        (valid_config.replace(r#""AttemptsCap":3,"#, ""), "AttemptsCap is missing"),
        (valid_config.replace(&deadline, r#""GiveUp":0"#), "not over 0"),
        // The address of discovery does not change either.
        (
            valid_config
                .replace(r#""AttemptsCap":3"#, r#""AttemptsCap":0"#)
                .replace(&discovery.address.to_string(), &other_discovery.address.to_string()),
            "attempts are not over 0",
        ),
    ];
    for (file, why) in &invalid_configs {
        node.reload(file);
        assert!(node.wait_for_log(why).contains("all stays as it was"), "{why}");
        assert_eq!(node.client().request_correct().body, b"fine");
        assert_eq!(node.client().request("POST /amend/1", &common_headers(DEADLINE_MS), b"").status(), 404);
    }
    node.reload(&valid_config.replace(&discovery.address.to_string(), &other_discovery.address.to_string()));
    assert!(other_discovery.next_call().start_line.contains("index=8 "), "both at once");
    assert_eq!(node.client().request("POST /amend/1", &common_headers(DEADLINE_MS), b"").body, b"fine");
    assert_eq!(node.client().request("POST /correct/1", &common_headers(DEADLINE_MS), b"").status(), 404);
}

// Guards against a keyed class without its group that is taken up and whose requests then run in two groups.
#[test]
fn a_file_that_is_short_of_a_class_s_group_changes_nothing() {
    let backends = [0, 1].map(|_| Backend::start(|_| Reply::Answer("500 Oops", "", vec![])));
    let keyless = |settings: String, class: &str| {
        let idempotency = format!(r#""Idempotency":"{class}""#);
        settings.replace(&format!(r#"{idempotency},"Group":"zone","Window":60000"#), &idempotency)
    };
    // Classes that are not keyed need neither key.
    let running = keyless(keyless(settings(DEADLINE_MS, ""), "free"), "single_shot");
    let (node, mut watch, discovery) = serving_node(&running, &[]);
    let entries = [("s-0", "a"), ("s-1", "b")].map(|(name, zone)| {
        let index = usize::from(zone == "b");
        entry(name, backends[index].address, "in_service")
            .replace(r#""zone":"a""#, &format!(r#""zone":"{zone}""#))
    });
    watch.send_line(&list(9, true, &entries));
    let request_total = || backends.iter().map(Backend::request_count).sum::<usize>();
    let submit = || {
        let headers = format!("{}Idempotency-Key: 1\r\n", common_headers(DEADLINE_MS));
        node.client().request("POST /submit/1", &headers, b"sheet").status()
    };
    wait_until(|| submit() == 502, "the list to apply");
    for key in [r#""Group":"zone","#, r#","Window":60000"#] {
        let short = running.replacen(key, "", 1);
        assert_ne!(short, running);
        node.reload(&with_ops(&config(discovery.address, &short, 1024)));
        let name = key.trim_matches([',', '"']).split('"').next().expect("a name");
        let line = node.wait_for_log(&format!("class submit: {name} is missing"));
        assert!(line.contains("all stays as it was"), "{line}");
        let before = request_total();
        assert_eq!(submit(), 502, "it may have run");
        assert_eq!(request_total(), before + 1, "a retry went to another zone");
    }
}

// ---- Hot restart --------------------------------------------------------------------------------

#[test]
fn a_hot_restart_loses_no_request() {
    let backend = Backend::start(|_| ok("fine"));
    let (mut old, _watch, discovery) = serving_node(&settings(DEADLINE_MS, ""), &[&backend]);
    let address = old.address;
    let config = with_ops(&config(discovery.address, &settings(DEADLINE_MS, ""), 1024));
    let config = config.replace(r#""listen":"127.0.0.1:0""#, &format!(r#""listen":"{address}""#));

    // Clients that reconnect for each request, and one that keeps its connection until it is told to close.
    let stopping = Arc::new(AtomicBool::new(false));
    let client_loop = |keeps_connection: bool| {
        let stopping = stopping.clone();
        spawn(move || {
            let mut client = None;
            while !stopping.load(Ordering::SeqCst) {
                let mut one = client.take().unwrap_or_else(|| Client::connect(address));
                let answer = one.request_read();
                // A node that has just started refuses requests while its backends count as overloaded.
                assert!([200, 503].contains(&answer.status()), "{answer:?}");
                let closes = answer.headers.get("connection").is_some_and(|value| value == "close");
                client = Some(one).filter(|_| keeps_connection && !closes);
            }
        })
    };
    let clients = [client_loop(false), client_loop(true), client_loop(false)];

    let mut new = Node::start_in(&old.tmp, &config, "");
    assert_eq!(new.address, address);
    let mut watch = discovery.next_call();
    assert_eq!(new.ops_call("GET /status"), 503, "it has no list, and leaves the clients to its predecessor");
    watch.open();
    watch.send_line(&list(8, true, &[entry("s-0", backend.address, "in_service")]));
    wait_until(|| new.ops_call("GET /status") == 200, "status 200");
    old.terminate();
    assert_eq!(old.wait_for_exit().code(), Some(0));
    new.wait_for_log("the process before this one has gone");
    // Once more: the successor passes its sockets on as well.
    let mut third = Node::start_in(&old.tmp, &config, "");
    let mut watch = discovery.next_call();
    watch.open();
    watch.send_line(&list(8, true, &[entry("s-0", backend.address, "in_service")]));
    wait_until(|| third.ops_call("GET /status") == 200, "status 200");
    new.terminate();
    assert_eq!(new.wait_for_exit().code(), Some(0));
    let served = backend.request_count();
    wait_until(|| backend.request_count() > served + 50, "service by the last one");
    stopping.store(true, Ordering::SeqCst);
    for client in clients {
        client.join().expect("every request is answered");
    }
    third.terminate();
    assert_eq!(third.wait_for_exit().code(), Some(0));
}

#[test]
fn the_leftover_socket_of_a_killed_process_does_not_prevent_a_start() {
    let discovery = Discovery::start();
    let config = with_ops(&config(discovery.address, &settings(DEADLINE_MS, ""), 1024));
    let first = Node::start(&config, "");
    wait_until(|| first.tmp.join("sillward.sock").exists(), "the Unix socket");
    let leftover = first.tmp.with_extension("left");
    std::fs::rename(&first.tmp, &leftover).expect("a new name");
    drop(first);
    let second = Node::start_in(&leftover, &config, "");
    let mut watch = discovery.next_call();
    watch.open();
    drop(watch);
    let mut watch = discovery.next_call();
    watch.open();
    watch.send_line(&list(8, true, &[]));
    wait_until(|| second.is_ready(), "readiness");
}
