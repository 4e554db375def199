//! Drains, silences and moves of discovery, against each other and against crowds.

use crate::harness::*;
use rustix::net::{AddressFamily, SocketType, bind, listen, socket};
use std::net::{Ipv4Addr, SocketAddrV4, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};

/// Lists are asked for, and the settings allow any time between calls.
fn asked(within_ms: u64, grace_ms: u64) -> String {
    let asked = settings(20_000, "").replacen('{', r#"{"RegistryMode":"ask","#, 1);
    let rules = format!(r#""DrainGrace":{grace_ms},"MustAskIn":{within_ms}"#);
    asked.replace(r#""DrainGrace":2000"#, &rules)
}

/// With a list from before that holds this backend.
fn knowing(config: &str, backend: &Backend) -> String {
    let known = entry("s-0", backend.address, "in_service");
    config.replace("\"endpoints\":[]", &format!("\"endpoints\":[{known}]"))
}

/// The first is told to stop, in the next version.
fn drained(old: &Backend, new: &Backend) -> String {
    list(9, false, &[entry("s-0", old.address, "terminating"), entry("s-1", new.address, "in_service")])
}

/// A place where discovery is not yet: calls are refused.
fn refusing() -> TcpListener {
    let place = socket(AddressFamily::INET, SocketType::STREAM, None).expect("a socket");
    bind(&place, &SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0)).expect("a port");
    TcpListener::from(place)
}

/// The node sends to the second one alone from now on.
fn has_left(node: &Node, old: &Backend) {
    wait_until(|| node.client().request_read().body == b"new", "the list");
    let before = old.request_count();
    for _ in 0..5 {
        assert_eq!(node.client().request_correct().body, b"new");
    }
    assert_eq!(old.request_count(), before);
}

/// However long the settings allow between calls, a list is there soon after discovery, which refuses calls, answers them
/// with an error or breaks them off before that.
#[test]
fn a_list_that_must_be_asked_for_is_there_soon_after_discovery() {
    for (within_ms, grace_ms) in [(600_000, 250), (60_000, 700)] {
        let (old, new) = (Backend::start(|_| ok("old")), Backend::start(|_| ok("new")));
        let place = refusing();
        let address = place.local_addr().expect("its address");
        let config = knowing(&config(address, &asked(within_ms, grace_ms), 1024), &old);
        let node = Node::start(&config, "");
        node.wait_for_log("the watch broke");
        listen(&place, 64).expect("calls are taken");
        let discovery = Discovery::on(place);
        discovery.next_call().write("HTTP/1.1 503 Down\r\nContent-Length: 0\r\n\r\n");
        discovery.next_call().open();
        drop(discovery.next_call());
        discovery.answer_all_calls(&drained(&old, &new));
        has_left(&node, &old);
    }
}

/// The node finds both when it has its next turn: on a watch that is open, and on a call whose head had not come.
#[test]
fn a_last_value_and_the_reset_behind_it_in_one_read() {
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
        watch.send_line(&drained(&old, &new));
        watch.reset();
        node.resume();
        let mut next = discovery.next_call();
        assert!(next.start_line.contains("index=9 "), "the value counts: {}", next.start_line);
        next.open();
        has_left(&node, &old);
    }
}

/// The crowd holds all connections that clients may have, and more wait for a place. Discovery refuses calls or says
/// nothing to them meanwhile; the list, dials to backends, the operators and good clients have their descriptors.
#[test]
fn idle_clients_that_fill_all_descriptors_keep_no_list_away() {
    const SOCKETS: usize = 128;
    for silent in [false, true] {
        let (old, new) = (Backend::start(|_| ok("old")), Backend::start(|_| ok("new")));
        let place = refusing();
        if silent {
            listen(&place, 64).expect("calls are taken");
        }
        let address = place.local_addr().expect("its address");
        let config = with_ops(&config(address, &settings(20_000, ""), SOCKETS));
        let node = Node::start(&knowing(&config, &old), &format!("ulimit -n {SOCKETS}; "));
        wait_until(|| node.is_ready(), "readiness");
        node.wait_for_log("the watch broke");
        let ops = node.ops_address();
        let (over, shut_out) = (AtomicBool::new(false), AtomicUsize::new(0));
        std::thread::scope(|scope| {
            let crowd = || {
                let mut held = Vec::new();
                for one in 0..3_000 {
                    if held.len() == 1_000 {
                        held.drain(..100); // whoever was sent off comes again
                    }
                    held.push(TcpStream::connect(node.address).expect("the node listens"));
                    if one > 1_000 && over.load(Ordering::SeqCst) {
                        break;
                    }
                }
                wait_until(|| over.load(Ordering::SeqCst), "the test's end");
                held.len()
            };
            let crowds = [scope.spawn(crowd), scope.spawn(crowd)];
            let asks = || {
                // Its connection may be the longest silent one before its request is there: then it comes again.
                loop {
                    let mut client = node.client();
                    let sent = client.try_send("POST /correct/1f", &common_headers(20_000));
                    match client.try_answer().expect("a whole answer or none") {
                        Some(answer) if sent => {
                            assert_eq!(answer.status(), 200);
                            return answer.body;
                        }
                        _ => shut_out.fetch_add(1, Ordering::SeqCst),
                    };
                }
            };
            (0..50).for_each(|_| assert_eq!(asks(), b"old"));
            assert_eq!(Client::connect(ops).request("GET /status", "", b"").status(), 200);
            if !silent {
                listen(&place, 64).expect("calls are taken");
            }
            Discovery::on(place).answer_all_calls(&drained(&old, &new));
            wait_until(|| asks() == b"new", "the list");
            (0..50).for_each(|_| assert_eq!(asks(), b"new"));
            over.store(true, Ordering::SeqCst);
            let held: usize = crowds.map(|crowd| crowd.join().expect("a crowd")).iter().sum();
            eprintln!(
                "silent {silent}: {held} held at the end, {} came again",
                shut_out.load(Ordering::SeqCst)
            );
        });
        for none in ["cannot accept", "cannot dial", "connection limit reached", "command queue is full"] {
            assert!(!node.has_logged(none), "{none}");
        }
        wait_until(|| node.open_descriptors() < 40, "the crowd's descriptors to come back");
    }
}
