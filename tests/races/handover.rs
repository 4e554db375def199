//! Races of hot restarts, restarts and reloads with requests and operators' calls.

use crate::harness::*;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::os::unix::process::ExitStatusExt;
use std::process::Command;
use std::sync::mpsc::channel;
use std::sync::{Arc, Mutex};

const DEADLINE_MS: u64 = 20_000;

/// The configuration of a successor to the process that listens at this address.
pub fn successor_config(
    address: SocketAddr,
    discovery: &Discovery,
    settings: &str,
    sockets: usize,
) -> String {
    let config = with_ops(&config(discovery.address, settings, sockets));
    config.replace(r#""listen":"127.0.0.1:0""#, &format!(r#""listen":"{address}""#))
}

/// Sends the server list to a process that asks for it, and waits until it reports that it can serve.
pub fn send_list(discovery: &Discovery, backend: &Backend, node: &Node) -> Watch {
    let line = list(8, true, &[entry("s-0", backend.address, "in_service")]);
    discovery.send_list_until(&line, || node.ops_call("GET /status") == 200, "status 200")
}

fn request_on_new(address: SocketAddr, start: &str) -> u16 {
    Client::connect(address).request(start, &common_headers(DEADLINE_MS), b"").status()
}

// ---- Hot restart --------------------------------------------------------------------------------

#[test]
fn after_a_successor_crashes_its_predecessor_regains_the_whole_limit_and_can_be_replaced() {
    let backend = Backend::start(|_| ok("fine"));
    let sockets = 128; // limit of 48 clients, of which two processes have 12 each
    let (mut old, _watch, discovery) =
        serving_node_with(&settings(DEADLINE_MS, ""), &[&backend], sockets, "");
    let address = old.address;
    let config = successor_config(address, &discovery, &settings(DEADLINE_MS, ""), sockets);
    let mut crashing = Node::start_in(&old.tmp, &config, "");
    old.wait_for_log("passed the listening socket on");
    assert_eq!(request_on_new(address, "GET /read/1"), 200, "one that is not ready leaves the queue to it");
    drop(discovery.next_call()); // it has asked for the list
    crashing.signal("-KILL");
    assert_eq!(crashing.wait_for_exit().signal(), Some(9));
    old.wait_for_log("the process after this one has gone");
    assert_eq!(old.ops_call("GET /status"), 200);
    let mut clients: Vec<_> = (0..40).map(|_| Client::connect(address)).collect();
    for _ in 0..2 {
        clients.iter_mut().for_each(|client| assert_eq!(client.request_read().status(), 200));
    }
    drop(clients);

    let third = Node::start_in(&old.tmp, &config, "");
    third.wait_for_log("took the listening socket over");
    let _list_watch = send_list(&discovery, &backend, &third);
    old.terminate();
    assert_eq!(old.wait_for_exit().code(), Some(0));
    third.wait_for_log("the process before this one has gone");
    assert_eq!(request_on_new(address, "GET /read/1"), 200);
    let fourth = Node::start_in(&old.tmp, &config, "");
    fourth.wait_for_log("took the listening socket over");
}

#[test]
fn a_drain_before_or_during_a_hot_restart_is_carried_over() {
    let backend = Backend::start(|_| ok("fine"));
    for before in [true, false] {
        let (mut old, _watch, discovery) = serving_node(&settings(DEADLINE_MS, ""), &[&backend]);
        let config = successor_config(old.address, &discovery, &settings(DEADLINE_MS, ""), 1024);
        if before {
            assert_eq!(old.ops_call("POST /standby"), 200);
        }
        let new = Node::start_in(&old.tmp, &config, "");
        assert_eq!(new.ops_call("GET /status"), 503, "starting");
        if !before {
            assert_eq!(old.ops_call("POST /standby"), 200);
        }
        new.wait_for_log("Standby, as the process before this one");
        let _list_watch = send_list(&discovery, &backend, &new);
        assert!((0..20).all(|_| !new.is_ready()), "whichever of the two answers");
        old.terminate();
        assert_eq!(old.wait_for_exit().code(), Some(0));
        new.wait_for_log("the process before this one has gone");
        assert!(!new.is_ready(), "the end of the old one ends no drain");
        assert_eq!(new.ops_call("POST /active"), 200);
        assert!(new.is_ready());
    }
}

#[test]
fn a_successor_terminated_before_it_is_ready_leaves_the_queue_to_its_predecessor() {
    let backend = Backend::start(|_| ok("fine"));
    let (old, _watch, discovery) = serving_node(&settings(DEADLINE_MS, ""), &[&backend]);
    let config = successor_config(old.address, &discovery, &settings(DEADLINE_MS, ""), 1024);
    let mut exited = Vec::new(); // the directory of the Unix socket exists for as long as they do
    for _ in 0..3 {
        let mut new = Node::start_in(&old.tmp, &config, "");
        new.wait_for_log("took the listening socket over");
        new.terminate();
        new.terminate();
        new.wait_for_log("told to stop");
        let all = (0..50).all(|_| request_on_new(old.address, "GET /read/1") == 200);
        assert!(all, "it has no list and would refuse");
        assert_eq!(new.ops_call("POST /active"), 409);
        assert_eq!(new.wait_for_exit().code(), Some(0));
        exited.push(new);
    }
}

#[test]
fn a_reload_in_both_processes_of_a_hot_restart_applies_to_both_and_afterwards() {
    let backend = Backend::start(|_| ok("fine"));
    let (mut old, _watch, discovery) = serving_node(&settings(DEADLINE_MS, ""), &[&backend]);
    let address = old.address;
    let before = successor_config(address, &discovery, &settings(DEADLINE_MS, ""), 1024);
    let new = Node::start_in(&old.tmp, &before, "");
    let _list_watch = send_list(&discovery, &backend, &new);
    let after = before.replace(r#""Name":"read""#, r#""Name":"count""#);
    new.reload(&after);
    old.reload(&after.replace(&address.to_string(), "127.0.0.1:0"));
    for node in [&old, &new] {
        node.wait_for_log("classes are count, submit, correct");
        assert_eq!(node.ops_call("GET /status"), 200);
    }
    assert!((0..20).all(|_| request_on_new(address, "GET /count/1") == 200));
    assert!((0..20).all(|_| request_on_new(address, "GET /read/1") == 404));
    // Once the successor is ready: SIGHUP and SIGTERM together.
    old.signal("-HUP");
    old.terminate();
    new.reload(&before);
    assert_eq!(old.wait_for_exit().code(), Some(0));
    new.wait_for_log("classes are read, submit, correct");
    assert_eq!(request_on_new(address, "GET /read/1"), 200);
}

#[test]
fn both_processes_of_a_hot_restart_answer_their_requests_after_sigterm() {
    let (release, release_gate) = channel::<()>();
    let release_gate = Arc::new(Mutex::new(release_gate));
    let backend = Backend::start(move |_| {
        let _ = release_gate.lock().expect("the gate").recv_timeout(TEST_TIMEOUT);
        ok("held")
    });
    for old_first in [true, false] {
        let (mut old, _watch, discovery) = serving_node(&settings(DEADLINE_MS, ""), &[&backend]);
        let config = successor_config(old.address, &discovery, &settings(DEADLINE_MS, ""), 1024);
        let mut new = Node::start_in(&old.tmp, &config, "");
        let _list_watch = send_list(&discovery, &backend, &new);
        let held = backend.request_count();
        // A cold server takes few requests at a time, so they are sent one by one.
        let mut client = Client::connect(old.address);
        client.send_correct();
        wait_until(|| backend.request_count() == held + 1, "a request at the backend");
        let both = if old_first { [&old, &new] } else { [&new, &old] };
        both.iter().for_each(|node| node.terminate());
        both.iter().for_each(|node| drop(node.wait_for_log("told to stop")));
        both.iter().for_each(|node| assert_eq!(node.ops_call("POST /standby"), 200));
        release.send(()).expect("the backend waits");
        assert_eq!(client.answer().expect("an answer").status(), 200);
        assert_eq!((old.wait_for_exit().code(), new.wait_for_exit().code()), (Some(0), Some(0)));
    }
}

// ---- Restart ------------------------------------------------------------------------------------

/// The configuration is read from a named pipe, so that the signal arrives while the read is blocked.
#[test]
fn a_signal_during_the_first_read_of_the_configuration_is_handled() {
    for (signal, logged) in [("-HUP", "told to look again"), ("-TERM", "told to stop")] {
        let discovery = Discovery::start();
        let text = config(discovery.address, &settings(DEADLINE_MS, ""), 1024);
        let mut command = command(&text, "");
        let path = command.get_envs().find_map(|(name, value)| value.filter(|_| name == "PROXY_CONFIG"));
        let path = std::path::PathBuf::from(path.expect("its configuration"));
        let regular_file = path.with_extension("whole");
        std::fs::rename(&path, &regular_file).expect("a new name");
        assert!(Command::new("mkfifo").arg(&path).status().expect("mkfifo runs").success());
        let mut child = command.env_remove("TMPDIR").spawn().expect("the node starts");
        // The open returns once the node reads. A reload is to find a regular file there.
        let mut pipe = std::fs::OpenOptions::new().write(true).open(&path).expect("a reader");
        std::fs::rename(&regular_file, &path).expect("its name");
        let id = child.id().to_string();
        assert!(Command::new("kill").args([signal, &id]).status().expect("kill runs").success());
        let _ = pipe.write_all(text.as_bytes()); // fails if the signal has killed the node
        drop(pipe);
        let mut log = String::new();
        let mut stderr = child.stderr.take().expect("its log");
        let mut byte = [0];
        while !log.contains(logged) && stderr.read(&mut byte).expect("its log") > 0 {
            log.push(char::from(byte[0]));
        }
        assert!(log.contains(logged), "{signal}: {log}");
        if signal == "-TERM" {
            assert_eq!(child.wait().expect("its end").code(), Some(0));
        }
        let _ = child.kill();
        let _ = child.wait();
    }
}

/// The configuration with this known list in place of the empty one.
fn with_known_list(config: &str, known: &str) -> String {
    config.replace(r#"{"index":7,"snapshot":true,"endpoints":[]}"#, known)
}

#[test]
fn a_process_with_a_known_list_becomes_ready_while_discovery_is_unusable() {
    let backend = Backend::start(|_| ok("fine"));
    let known = list(7, true, &[entry("s-0", backend.address, "in_service"), r#"{"name":1}"#.into()]);
    let refuses = ClosedPort::bind();
    let silent = TcpListener::bind("127.0.0.1:0").expect("a port"); // it never accepts
    let breaks = Discovery::start();
    for address in [refuses.address, silent.local_addr().expect("its address"), breaks.address] {
        let config = with_ops(&with_known_list(&config(address, &settings(DEADLINE_MS, ""), 1024), &known));
        let mut node = Node::start(&config, "");
        if address == breaks.address {
            breaks.next_call().write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nnonsense\r\n");
        }
        wait_until(|| node.ops_call("GET /status") == 200, "status 200");
        assert!(node.is_ready());
        assert_eq!(request_on_new(node.address, "GET /read/1"), 200);
        node.terminate();
        assert_eq!(node.wait_for_exit().code(), Some(0));
    }
}

#[test]
fn an_invalid_known_list_is_ignored_and_a_node_without_a_list_exits_cleanly() {
    let backend = Backend::start(|_| ok("fine"));
    for known in
        ["3", r#"{"endpoints":"none"}"#, r#"{"index":-1,"endpoints":[]}"#, r#"{"endpoints":[7,null]}"#]
    {
        let discovery = Discovery::start();
        let config =
            with_ops(&with_known_list(&config(discovery.address, &settings(DEADLINE_MS, ""), 1024), known));
        let mut node = Node::start(&config, "");
        assert_eq!((node.ops_call("GET /status"), node.ops_call("POST /standby")), (503, 200), "{known}");
        assert_eq!(node.ops_call("POST /active"), 200);
        let _list_watch = send_list(&discovery, &backend, &node);
        assert_eq!(request_on_new(node.address, "GET /read/1"), 200);
        node.terminate();
        assert_eq!(node.wait_for_exit().code(), Some(0));

        let mut without_list = Node::start(&config, "");
        without_list.terminate();
        without_list.signal("-HUP");
        without_list.terminate();
        without_list.wait_for_log("told to stop");
        assert_eq!((without_list.ops_call("GET /status"), without_list.ops_call("POST /active")), (503, 409));
        assert_eq!(without_list.wait_for_exit().code(), Some(0));
    }
}

#[test]
fn thirty_processes_that_start_at_once_without_discovery_all_become_ready() {
    let backend = Backend::start(|_| ok("fine"));
    let known = list(7, true, &[entry("s-0", backend.address, "in_service")]);
    let refuses = ClosedPort::bind();
    let config =
        with_ops(&with_known_list(&config(refuses.address, &settings(DEADLINE_MS, ""), 1024), &known));
    let starts: Vec<_> = (0..30)
        .map(|_| {
            let config = config.clone();
            std::thread::spawn(move || {
                let node = Node::start(&config, "");
                wait_until(|| node.ops_call("GET /status") == 200, "status 200");
                assert!(node.is_ready());
                node
            })
        })
        .collect();
    let mut nodes: Vec<_> = starts.into_iter().map(|start| start.join().expect("a ready node")).collect();
    nodes.iter().for_each(Node::terminate);
    nodes.iter_mut().for_each(|node| assert_eq!(node.wait_for_exit().code(), Some(0)));
}

// ---- Reload -------------------------------------------------------------------------------------

/// The configuration with the array after this key replaced.
fn with_array(config: &str, key: &str, to: &str) -> String {
    let start = config.find(key).expect("the key") + key.len();
    let end = start + config[start..].find(']').expect("its end");
    format!("{}{to}{}", &config[..start], &config[end..])
}

#[test]
fn classes_and_tenants_are_matched_by_name_in_any_order_across_reloads() {
    let (release, release_gate) = channel::<()>();
    let release_gate = Arc::new(Mutex::new(release_gate));
    // Several backends: one with a request in flight counts as loaded for the next.
    let backends = [0, 1, 2, 3].map(|_| {
        let release_gate = release_gate.clone();
        Backend::start(move |message| {
            if message.start_line.contains("hold") {
                let _ = release_gate.lock().expect("the gate").recv_timeout(TEST_TIMEOUT);
            }
            ok("fine")
        })
    });
    let count = || backends.iter().map(Backend::request_count).sum::<usize>();
    let listed: Vec<_> =
        (0..).zip(&backends).map(|(i, b)| entry(&format!("s-{i}"), b.address, "in_service")).collect();
    let class = |name: &str, kind: &str| {
        format!(
            r#"{{"Name":"{name}","Target":{DEADLINE_MS},"GiveUp":{DEADLINE_MS},"Idempotency":"{kind}","Group":"zone","Window":60000}}"#
        )
    };
    let tenant = |name: &str| format!(r#"{{"Name":"{name}","AllowancePerS":1000,"Share":1}}"#);
    let (read, submit, correct) =
        (class("read", "free"), class("submit", "guarded"), class("correct", "single_shot"));
    let (acme, zeta) = (tenant("acme"), tenant("zeta"));
    let config_with = |classes: &[&String], tenants: &[&String], discovery: &Discovery| {
        let join = |all: &[&String]| all.iter().map(|one| one.as_str()).collect::<Vec<_>>().join(",");
        let config = with_ops(&config(discovery.address, &settings(DEADLINE_MS, ""), 1024));
        let config = with_array(&config, r#""Classes":["#, &join(classes));
        with_array(&config, r#""Projects":["#, &join(tenants))
    };
    let headers_of = |name: &str| common_headers(DEADLINE_MS).replace("acme", name);
    for first in [0, 1, 2] {
        let discovery = Discovery::start();
        let mut classes = [&read, &submit, &correct];
        classes.rotate_left(first);
        let node = Node::start(&config_with(&classes, &[&zeta, &acme], &discovery), "");
        let _list_watch = discovery.send_list_until(&list(8, true, &listed), || node.is_ready(), "readiness");
        let check_statuses = |calls: &[(&str, &str, u16)]| {
            for (start, name, status) in calls {
                let keyed = format!("{}Idempotency-Key: 1\r\n", headers_of(name));
                assert_eq!(node.client().request(start, &keyed, b"").status(), *status, "{start} of {name}");
            }
        };
        let all = ["GET /read/1", "POST /submit/1", "POST /correct/1"];
        check_statuses(&all.map(|start| (start, "acme", 200)));
        check_statuses(&all.map(|start| (start, "zeta", 200)));
        // A request that stays in progress while its class and its tenant are removed.
        let held = count();
        let mut open = node.client();
        open.send("POST /correct/hold", &headers_of("zeta"), b"sheet");
        wait_until(|| count() == held + 1, "the request at the backend");
        classes.reverse();
        let remaining: Vec<_> = classes.into_iter().filter(|class| **class != correct).collect();
        // Two reloads in a row: whichever file the first one reads, the last file counts.
        node.reload(&config_with(&[&submit], &[&acme], &discovery));
        node.reload(&config_with(&remaining, &[&acme], &discovery));
        let names = if remaining[0] == &read { "read, submit" } else { "submit, read" };
        node.wait_for_log(&format!("classes are {names}"));
        check_statuses(&[
            ("GET /read/1", "acme", 200),
            ("POST /submit/1", "acme", 200),
            ("GET /read/1", "zeta", 403),
        ]);
        check_statuses(&[("POST /correct/1", "acme", 404)]);
        assert_eq!(node.ops_call("GET /status"), 200);
        // Both are back when the process is terminated: the request is still answered.
        node.reload(&config_with(&[&correct, &read, &submit], &[&acme, &zeta], &discovery));
        node.wait_for_log("classes are correct, read, submit");
        check_statuses(&all.map(|start| (start, "zeta", 200)));
        node.signal("-HUP");
        node.terminate();
        release.send(()).expect("the backend waits");
        assert_eq!(open.answer().expect("an answer").status(), 200);
    }
}
