//! Membership by addresses that all see alike: real nodes over UDP, their saved members, and a flood.

use crate::harness::*;
use std::net::{SocketAddr, UdpSocket};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

/// A folder of a test's own, gone at its end.
struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("sw-members-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&path).expect("a folder");
        Folder(path)
    }

    fn saved(&self, node: usize) -> PathBuf {
        self.0.join(format!("n{node}.members"))
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// A member that knows these, hears on this address, and keeps its members in that file.
fn member(node: usize, hears: &str, peers: &[SocketAddr], saved: &Path) -> Node {
    let peers: Vec<_> = peers.iter().map(|peer| format!("\"{peer}\"")).collect();
    let nowhere = "127.0.0.1:1".parse().expect("an address");
    let settings = settings(1000, r#","Peers":true"#).replacen('{', "{\"NInstances\":3,", 1);
    let config = with_ops(&config(nowhere, &settings, 200));
    let fleet = format!(
        "{{\"peer_listen\":\"{hears}\",\"peers\":[{}],\"fleet\":{{\"cluster\":\"c\",\"probe_ms\":200,\
         \"advertise\":\"127.0.0.1:0\",\"saved\":\"{}\"}},",
        peers.join(","),
        saved.display()
    );
    Node::start(&config.replacen('{', &fleet, 1).replacen("\"n0\"", &format!("\"n{node}\""), 1), "")
}

fn hears(node: &Node) -> SocketAddr {
    let line = node.wait_for_log("hears its peers on");
    line.rsplit(' ').next().and_then(|address| address.parse().ok()).expect("an address")
}

fn view(node: &Node) -> String {
    String::from_utf8(Client::connect(node.ops_address()).request("GET /members", "", b"").body)
        .expect("text")
}

fn holds(node: &Node, members: usize) -> bool {
    view(node).contains(&format!("\"members\":{members},"))
}

/// All are killed at once and start with no peers but what they saved: one finds its file cut off, another is at a new
/// address, so that what the others saved of it is stale.
#[test]
fn all_find_one_another_again_by_what_they_saved() {
    let folder = Folder::new("saved");
    let saved: Vec<_> = (0..3).map(|node| folder.saved(node)).collect();
    let first = member(0, "127.0.0.1:0", &[], &saved[0]);
    let seed = hears(&first);
    let others: Vec<_> = (1..3).map(|node| member(node, "127.0.0.1:0", &[seed], &saved[node])).collect();
    let at = hears(&others[0]);
    let all: Vec<_> = [first].into_iter().chain(others).collect();
    wait_until(|| all.iter().all(|node| holds(node, 3)), "one view");
    // Each has written the other two.
    let written = |path: &PathBuf| {
        let text = std::fs::read_to_string(path).unwrap_or_default();
        text.matches("Socket").count() == 2
    };
    wait_until(|| saved.iter().all(written), "saved members");
    drop(all);
    let text = std::fs::read_to_string(&saved[0]).expect("a file");
    std::fs::write(&saved[0], &text[..text.len() - 9]).expect("a file");
    let again = [
        member(0, &seed.to_string(), &[], &saved[0]),
        member(1, &at.to_string(), &[], &saved[1]),
        member(2, "127.0.0.1:0", &[], &saved[2]),
    ];
    again[0].wait_for_log("its checksum does not fit");
    again[1].wait_for_log("2 saved members");
    wait_until(|| again.iter().all(|node| holds(node, 3)), "one view again");
}

/// Datagrams of no cluster come faster than they can be read: the node still probes, and finds that another has died.
#[test]
fn a_flood_keeps_no_node_from_probing() {
    let folder = Folder::new("flood");
    let first = member(0, "127.0.0.1:0", &[], &folder.saved(0));
    let to = hears(&first);
    let second = member(1, "127.0.0.1:0", &[to], &folder.saved(1));
    wait_until(|| holds(&first, 2) && holds(&second, 2), "one view");
    let over = Arc::new(AtomicBool::new(false));
    let flood = || {
        let over = over.clone();
        std::thread::spawn(move || {
            let socket = UdpSocket::bind("127.0.0.1:0").expect("a socket");
            // Bounded, whatever becomes of the test.
            for _ in 0..20_000_000 {
                let _ = socket.send_to(&[0; 200], to);
                if over.load(Ordering::Relaxed) {
                    return;
                }
            }
        })
    };
    let floods = [(); 5].map(|()| flood());
    wait_until(|| view(&first).contains("not a datagram of this kind"), "the flood to be counted");
    drop(second);
    wait_until(|| view(&first).contains("\"cause\":\"failed\""), "a death to be found");
    over.store(true, Ordering::Relaxed);
    floods.into_iter().for_each(|flood| flood.join().expect("a flood that ends"));
}
