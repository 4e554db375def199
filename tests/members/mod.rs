//! Membership of real nodes over UDP that advertise their addresses: restarts from saved members, and a flood
//! of datagrams.

use crate::harness::*;
use std::net::{SocketAddr, UdpSocket};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

/// A folder for one test, removed at its end.
struct TestFolder(PathBuf);

impl TestFolder {
    fn new(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("sw-members-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&path).expect("a folder");
        TestFolder(path)
    }

    /// The file in which a node saves its members.
    fn members_file(&self, node: usize) -> PathBuf {
        self.0.join(format!("n{node}.members"))
    }
}

impl Drop for TestFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Starts a node that listens for peers on an address, has some peers configured, and saves its members in a
/// file.
fn start_member(node: usize, peer_listen: &str, peers: &[SocketAddr], members_file: &Path) -> Node {
    let peers: Vec<_> = peers.iter().map(|peer| format!("\"{peer}\"")).collect();
    let unused = "127.0.0.1:1".parse().expect("an address");
    let settings = settings(1000, r#","Peers":true"#).replacen('{', "{\"NInstances\":3,", 1);
    let config = with_ops(&config(unused, &settings, 200));
    let fleet = format!(
        "{{\"peer_listen\":\"{peer_listen}\",\"peers\":[{}],\"fleet\":{{\"cluster\":\"c\",\"probe_ms\":200,\
         \"advertise\":\"127.0.0.1:0\",\"saved\":\"{}\"}},",
        peers.join(","),
        members_file.display()
    );
    Node::start(&config.replacen('{', &fleet, 1).replacen("\"n0\"", &format!("\"n{node}\""), 1), "")
}

/// The address on which a node listens for its peers.
fn peer_address(node: &Node) -> SocketAddr {
    let line = node.wait_for_log("hears its peers on");
    line.rsplit(' ').next().and_then(|address| address.parse().ok()).expect("an address")
}

/// What the node answers to GET /members.
fn members_json(node: &Node) -> String {
    String::from_utf8(Client::connect(node.ops_address()).request("GET /members", "", b"").body)
        .expect("text")
}

/// Whether a node knows this many members, itself included.
fn knows_members(node: &Node, members: usize) -> bool {
    members_json(node).contains(&format!("\"members\":{members},"))
}

/// All nodes are killed at once and restart with no peers but those that they saved. The file of one is
/// truncated, and another has a new address, so that the others saved a stale one.
#[test]
fn nodes_that_all_restart_find_one_another_from_their_saved_members() {
    let folder = TestFolder::new("saved");
    let members_files: Vec<_> = (0..3).map(|node| folder.members_file(node)).collect();
    let first = start_member(0, "127.0.0.1:0", &[], &members_files[0]);
    let seed = peer_address(&first);
    let others: Vec<_> =
        (1..3).map(|node| start_member(node, "127.0.0.1:0", &[seed], &members_files[node])).collect();
    let second_address = peer_address(&others[0]);
    let all: Vec<_> = [first].into_iter().chain(others).collect();
    wait_until(|| all.iter().all(|node| knows_members(node, 3)), "views to converge");
    // Each node has saved the two others.
    let is_saved = |path: &PathBuf| {
        let text = std::fs::read_to_string(path).unwrap_or_default();
        text.matches("Socket").count() == 2
    };
    wait_until(|| members_files.iter().all(is_saved), "members to be saved");
    drop(all);
    let text = std::fs::read_to_string(&members_files[0]).expect("a file");
    std::fs::write(&members_files[0], &text[..text.len() - 9]).expect("a file");
    let restarted = [
        start_member(0, &seed.to_string(), &[], &members_files[0]),
        start_member(1, &second_address.to_string(), &[], &members_files[1]),
        start_member(2, "127.0.0.1:0", &[], &members_files[2]),
    ];
    restarted[0].wait_for_log("its checksum does not fit");
    restarted[1].wait_for_log("2 saved members");
    wait_until(|| restarted.iter().all(|node| knows_members(node, 3)), "views to converge again");
}

/// Invalid datagrams arrive faster than a node can read them. They must not keep it from probing: it still
/// detects that another member has failed.
#[test]
fn a_node_under_a_flood_of_datagrams_still_detects_a_failed_member() {
    let folder = TestFolder::new("flood");
    let first = start_member(0, "127.0.0.1:0", &[], &folder.members_file(0));
    let first_address = peer_address(&first);
    let second = start_member(1, "127.0.0.1:0", &[first_address], &folder.members_file(1));
    wait_until(|| knows_members(&first, 2) && knows_members(&second, 2), "views to converge");
    let stop = Arc::new(AtomicBool::new(false));
    let start_flood = || {
        let stop = stop.clone();
        std::thread::spawn(move || {
            let socket = UdpSocket::bind("127.0.0.1:0").expect("a socket");
            // Bounded, so that the thread ends even if the test fails.
            for _ in 0..20_000_000 {
                let _ = socket.send_to(&[0; 200], first_address);
                if stop.load(Ordering::Relaxed) {
                    return;
                }
            }
        })
    };
    let floods = [(); 5].map(|()| start_flood());
    wait_until(|| members_json(&first).contains("not a datagram of this kind"), "the flood to be counted");
    drop(second);
    wait_until(|| members_json(&first).contains("\"cause\":\"failed\""), "the failure to be detected");
    stop.store(true, Ordering::Relaxed);
    floods.into_iter().for_each(|flood| flood.join().expect("a flood that ends"));
}
