//! Races of drains, stalls and restarts of discovery with one another and with many clients.

use crate::harness::*;
use rustix::net::{AddressFamily, SocketType, bind, listen, socket};
use std::net::{Ipv4Addr, SocketAddrV4, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};

/// Settings under which the node must ask for the list, at least every `interval_ms`.
fn polling_settings(interval_ms: u64, grace_ms: u64) -> String {
    let settings = settings(20_000, "").replacen('{', r#"{"RegistryMode":"ask","#, 1);
    let rules = format!(r#""DrainGrace":{grace_ms},"MustAskIn":{interval_ms}"#);
    settings.replace(r#""DrainGrace":2000"#, &rules)
}

/// The configuration with this backend on its known list.
fn with_known(config: &str, backend: &Backend) -> String {
    let known = entry("s-0", backend.address, "in_service");
    config.replace("\"endpoints\":[]", &format!("\"endpoints\":[{known}]"))
}

/// The next version of the list, in which the old backend drains.
fn drain_update(old: &Backend, new: &Backend) -> String {
    list(9, false, &[entry("s-0", old.address, "terminating"), entry("s-1", new.address, "in_service")])
}

/// A bound socket that does not listen yet, so that connections to it are refused.
fn refusing_socket() -> TcpListener {
    let bound_socket = socket(AddressFamily::INET, SocketType::STREAM, None).expect("a socket");
    bind(&bound_socket, &SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0)).expect("a port");
    TcpListener::from(bound_socket)
}

/// Checks that the node has the new list and sends nothing to the old backend any more.
fn check_drained(node: &Node, old: &Backend) {
    wait_until(|| node.client().request_read().body == b"new", "the list");
    let before = old.request_count();
    for _ in 0..5 {
        assert_eq!(node.client().request_correct().body, b"new");
    }
    assert_eq!(old.request_count(), before);
}

/// Guards against a retry delay that grows with the configured polling interval. Discovery first refuses
/// connections, then answers with an error, then breaks off a response; once it works again the node must
/// soon have the list, however long the interval is.
#[test]
fn a_polled_list_is_applied_soon_after_discovery_recovers() {
    for (interval_ms, grace_ms) in [(600_000, 250), (60_000, 700)] {
        let (old, new) = (Backend::start(|_| ok("old")), Backend::start(|_| ok("new")));
        let listener = refusing_socket();
        let address = listener.local_addr().expect("its address");
        let config = with_known(&config(address, &polling_settings(interval_ms, grace_ms), 1024), &old);
        let node = Node::start(&config, "");
        node.wait_for_log("the watch broke");
        listen(&listener, 64).expect("connections are accepted");
        let discovery = Discovery::on(listener);
        discovery.next_call().write("HTTP/1.1 503 Down\r\nContent-Length: 0\r\n\r\n");
        discovery.next_call().open();
        drop(discovery.next_call());
        discovery.answer_all_calls(&drain_update(&old, &new));
        check_drained(&node, &old);
    }
}

/// The process is stopped while a value and the reset after it arrive, so that it reads both at once: on an
/// open watch, and on a watch whose response head arrives with them.
#[test]
fn a_value_followed_by_a_reset_in_one_read_is_applied() {
    for opened in [true, false] {
        let (old, new) = (Backend::start(|_| ok("old")), Backend::start(|_| ok("new")));
        let (node, first, discovery) = serving_node(&settings(20_000, ""), &[&old]);
        let mut watch = if opened {
            first
        } else {
            first.close();
            discovery.next_call()
        };
        watch.stop_heartbeat();
        node.suspend();
        if !opened {
            watch.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        }
        watch.send_line(&drain_update(&old, &new));
        watch.reset();
        node.resume();
        let mut next = discovery.next_call();
        assert!(next.start_line.contains("index=9 "), "the value has been applied: {}", next.start_line);
        next.open();
        check_drained(&node, &old);
    }
}

/// Idle clients hold all connections that clients may have, and more wait to be accepted. Meanwhile discovery
/// refuses connections or does not answer. Discovery, connections to backends, the operators and well-behaved
/// clients must still get descriptors.
#[test]
fn idle_clients_that_use_all_descriptors_do_not_block_the_list() {
    const SOCKETS: usize = 128;
    for silent in [false, true] {
        let (old, new) = (Backend::start(|_| ok("old")), Backend::start(|_| ok("new")));
        let listener = refusing_socket();
        if silent {
            listen(&listener, 64).expect("connections are accepted");
        }
        let address = listener.local_addr().expect("its address");
        let config = with_ops(&config(address, &settings(20_000, ""), SOCKETS));
        let node = Node::start(&with_known(&config, &old), &format!("ulimit -n {SOCKETS}; "));
        wait_until(|| node.is_ready(), "readiness");
        node.wait_for_log("the watch broke");
        let ops = node.ops_address();
        let (finished, retried) = (AtomicBool::new(false), AtomicUsize::new(0));
        std::thread::scope(|scope| {
            let hold_connections = || {
                let mut connections = Vec::new();
                for number in 0..3_000 {
                    if connections.len() == 1_000 {
                        connections.drain(..100); // those that were closed are replaced
                    }
                    connections.push(TcpStream::connect(node.address).expect("the node listens"));
                    if number > 1_000 && finished.load(Ordering::SeqCst) {
                        break;
                    }
                }
                wait_until(|| finished.load(Ordering::SeqCst), "the test's end");
                connections.len()
            };
            let holders = [scope.spawn(hold_connections), scope.spawn(hold_connections)];
            let request = || {
                // The node may close this connection as the longest idle one before the request arrives: then
                // retry.
                loop {
                    let mut client = node.client();
                    let sent = client.try_send("POST /correct/1f", &common_headers(20_000));
                    match client.try_answer().expect("a whole answer or none") {
                        Some(answer) if sent => {
                            assert_eq!(answer.status(), 200);
                            return answer.body;
                        }
                        _ => retried.fetch_add(1, Ordering::SeqCst),
                    };
                }
            };
            (0..50).for_each(|_| assert_eq!(request(), b"old"));
            assert_eq!(Client::connect(ops).request("GET /status", "", b"").status(), 200);
            if !silent {
                listen(&listener, 64).expect("connections are accepted");
            }
            Discovery::on(listener).answer_all_calls(&drain_update(&old, &new));
            wait_until(|| request() == b"new", "the list");
            (0..50).for_each(|_| assert_eq!(request(), b"new"));
            finished.store(true, Ordering::SeqCst);
            let held: usize = holders.map(|holder| holder.join().expect("the thread")).iter().sum();
            eprintln!(
                "silent {silent}: {held} connections held at the end, {} requests retried",
                retried.load(Ordering::SeqCst)
            );
        });
        for message in ["cannot accept", "cannot dial", "connection limit reached", "command queue is full"] {
            assert!(!node.has_logged(message), "{message}");
        }
        wait_until(|| node.open_descriptors() < 40, "the descriptors of idle clients to be closed");
    }
}
