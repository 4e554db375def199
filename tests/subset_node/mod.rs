//! A node that holds a subset of its list, as a process: what it uses, and what happens as list, tier and process change.

mod costs;

use crate::harness::*;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Listed servers, each a process of its own to the node.
const LISTED: usize = 400;
/// A part of 128, and 16 before it.
const HELD: usize = 144;
const SUBSET: &str = r#"{"subset":{"servers":128},"#;

/// Backends that answer with their number.
struct Backends(Vec<Backend>);

impl Backends {
    fn start() -> Self {
        Backends((0..LISTED).map(|number| Backend::start(move |_| ok(&number.to_string()))).collect())
    }

    fn entry(&self, number: usize, status: &str) -> String {
        entry(&format!("s-{number:04x}"), self.0[number].address, status)
    }

    fn entries(&self, numbers: impl IntoIterator<Item = usize>, status: &str) -> Vec<String> {
        numbers.into_iter().map(|number| self.entry(number, status)).collect()
    }
}

/// The configuration of a node that holds a subset, in a tier of so many nodes.
fn configured(discovery: SocketAddr, nodes: usize, node: usize) -> String {
    let place = format!(r#"{{"NInstances":{nodes},"Ordinal":{node},"#);
    let settings = settings(LONG, "").replacen('{', &place, 1);
    with_ops(&config(discovery, &settings, 1024)).replacen('{', SUBSET, 1)
}

const LONG: u64 = 20_000;

fn start(backends: &Backends, nodes: usize, node: usize) -> (Node, Watch, Discovery) {
    let discovery = Discovery::start();
    let node = Node::start(&configured(discovery.address, nodes, node), "");
    let all = list(8, true, &backends.entries(0..LISTED, "in_service"));
    let watch = discovery.send_list_until(&all, || node.is_ready(), "readiness");
    (node, watch, discovery)
}

/// Which server answers a request.
fn served_by(client: &mut Client) -> usize {
    let answer = client.request_read();
    assert_eq!(answer.status(), 200);
    String::from_utf8(answer.body).expect("text").parse().expect("a number")
}

/// The servers that answer many requests at once: as many at a time as clients.
fn used_by(node: &Node) -> BTreeSet<usize> {
    const CLIENTS: usize = 16;
    const EACH: usize = 60;
    let used = Mutex::new(BTreeSet::new());
    std::thread::scope(|threads| {
        for _ in 0..CLIENTS {
            threads.spawn(|| {
                let mut client = node.client();
                for _ in 0..EACH {
                    let server = served_by(&mut client);
                    used.lock().expect("the servers used").insert(server);
                }
            });
        }
    });
    used.into_inner().expect("the servers used")
}

#[test]
fn a_node_uses_its_part_of_the_list_and_leaves_what_drains() {
    let backends = Backends::start();
    let (node, mut watch, _discovery) = start(&backends, 10, 3);
    let used = used_by(&node);
    assert!(!used.is_empty() && used.len() <= HELD, "{}", used.len());
    // All that it uses drain, and others of the list take their place.
    watch.send_line(&list(9, false, &backends.entries(used.iter().copied(), "terminating")));
    wait_until(|| !used.contains(&served_by(&mut node.client())), "another server");
    let then = used_by(&node);
    assert!(then.is_disjoint(&used), "{then:?} {used:?}");
    // They are back, as they were.
    watch.send_line(&list(10, false, &backends.entries(used.iter().copied(), "in_service")));
    wait_until(|| used.contains(&served_by(&mut node.client())), "the servers that are back");
}

#[test]
fn the_staff_see_how_much_of_the_list_is_held() {
    let backends = Backends::start();
    let (node, mut watch, _discovery) = start(&backends, 10, 3);
    let told = |node: &Node| {
        let answer = Client::connect(node.ops_address()).request("GET /subset", "", b"");
        (answer.status(), String::from_utf8(answer.body).expect("text"))
    };
    let expected = format!(r#"{{"held":{HELD},"node":3,"nodes":10,"ready":{LISTED}}}"#);
    assert_eq!(told(&node), (200, format!("{expected}\n")));
    assert_eq!(node.ops_call("POST /subset"), 405);
    watch.send_line(&list(9, true, &backends.entries(0..20, "in_service")));
    wait_until(|| told(&node).1.contains(r#""held":20,"node":3,"nodes":10,"ready":20"#), "a short list");
    let (whole, _watch, _discovery) = serving_node(&settings(LONG, ""), &[&backends.0[0]]);
    assert_eq!(told(&whole).0, 404);
}

#[test]
fn most_servers_vanish_at_once_and_the_rest_carry_on() {
    let backends = Backends::start();
    let (node, mut watch, _discovery) = start(&backends, 10, 7);
    let used = used_by(&node);
    // A whole list that names only servers which the node has not used so far.
    let rest: Vec<_> = (0..LISTED).filter(|number| !used.contains(number)).take(40).collect();
    watch.send_line(&list(9, true, &backends.entries(rest.iter().copied(), "in_service")));
    wait_until(|| rest.contains(&served_by(&mut node.client())), "the rest of the list");
    let then = used_by(&node);
    assert!(then.iter().all(|number| rest.contains(number)), "{then:?}");
    // An older list changes nothing of it.
    watch.send_line(&list(8, true, &backends.entries(0..LISTED, "in_service")));
    node.wait_for_log("an older list was refused");
    let then = used_by(&node);
    assert!(then.iter().all(|number| rest.contains(number)), "{then:?}");
}

#[test]
fn a_node_that_is_killed_uses_the_same_part_again() {
    let backends = Backends::start();
    let (mut node, _watch, _discovery) = start(&backends, 10, 5);
    let before = used_by(&node);
    node.signal("-KILL");
    node.wait_for_exit();
    let (node, _watch, _discovery) = start(&backends, 10, 5);
    let after = used_by(&node);
    let both: BTreeSet<_> = before.union(&after).collect();
    assert!(both.len() <= HELD, "{}", both.len());
}

#[test]
fn two_nodes_of_a_tier_use_different_parts_until_new_settings_move_one() {
    let backends = Backends::start();
    let (one, _watch, _discovery) = start(&backends, 2, 0);
    let (two, _other_watch, discovery) = start(&backends, 2, 1);
    let (used, other) = (used_by(&one), used_by(&two));
    assert!(used.is_disjoint(&other), "{used:?} {other:?}");
    // By its new settings it stands where the first one does.
    two.reload(&configured(discovery.address, 2, 0));
    two.wait_for_log("told to look again: discovery is at");
    wait_until(|| used.contains(&served_by(&mut two.client())), "the part of the first node");
    let moved = used_by(&two);
    assert!(moved.is_disjoint(&other), "{moved:?} {other:?}");
}

#[test]
fn requests_that_are_out_when_their_server_leaves_the_subset_are_answered() {
    // Servers answer when they are let go; meanwhile the node's place moves away from them.
    let held = std::sync::Arc::new((Mutex::new(true), std::sync::Condvar::new()));
    let asked = std::sync::Arc::new(AtomicUsize::new(0));
    let start_one = |number: usize| {
        let (held, asked) = (held.clone(), asked.clone());
        Backend::start(move |_| {
            asked.fetch_add(1, Ordering::SeqCst);
            let (holds, changed) = &*held;
            let _free = changed.wait_while(holds.lock().expect("a lock"), |holds| *holds);
            ok(&number.to_string())
        })
    };
    let backends = Backends((0..LISTED).map(start_one).collect());
    let (node, _watch, discovery) = start(&backends, 2, 0);
    let mut clients: Vec<_> = (0..8).map(|_| node.client()).collect();
    clients.iter_mut().for_each(Client::send_correct);
    wait_until(|| asked.load(Ordering::SeqCst) == 8, "the requests at their servers");
    node.reload(&configured(discovery.address, 2, 1));
    node.wait_for_log("told to look again: discovery is at");
    *held.0.lock().expect("a lock") = false;
    held.1.notify_all();
    for client in &mut clients {
        assert_eq!(client.answer().expect("an answer").status(), 200);
    }
    // Nothing was sent twice.
    assert_eq!(asked.load(Ordering::SeqCst), 8);
}

#[test]
fn a_subset_that_is_too_small_is_refused_with_its_bounds() {
    let discovery = Discovery::start();
    let config = configured(discovery.address, 2, 0).replace(r#""servers":128"#, r#""servers":127"#);
    let ended = command(&config, "").output().expect("the node runs");
    let log = String::from_utf8_lossy(&ended.stderr).into_owned();
    assert!(!ended.status.success());
    assert!(log.contains("subset.servers = 127: expected 128 to 16384"), "{log}");
}
