//! Nodes that take part in membership without a program around them: several in one thread, over UDP.

use super::*;
use crate::control::process::NoSiblings;
use tokio::task::{LocalSet, spawn_local};

/// The owner's side of a node.
struct Owner {
    told: mpsc::Receiver<Tier>,
    state: watch::Sender<State>,
}

/// A configuration of one node among three, known by addresses that all see alike.
fn config(node: usize, hears: SocketAddr, peers: &[SocketAddr], extra: &str) -> Config {
    let peers: Vec<_> = peers.iter().map(|peer| format!("\"{peer}\"")).collect();
    let text = format!(
        r#"{{"name": "n{node}", "listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "peer_listen": "{hears}",
            "peers": [{}], "fleet": {{"cluster": "c", "probe_ms": 100, {extra}}},
            "settings": {{"NInstances": 3, "Ordinal": {node},
            "Permissions": {{"AttemptsCap": 1, "Probes": true, "Peers": true}},
            "Classes": [{{"Name": "read", "Target": 1, "GiveUp": 2, "Idempotency": "free", "Credit": 1}}]}}}}"#,
        peers.join(",")
    );
    Config::parse(&text).expect("a configuration")
}

const ANY: &str = "127.0.0.1:0";
const ADVERTISED: &str = r#""advertise": "127.0.0.1:0""#;

/// Starts a node, and says where it hears.
async fn start(node: usize, peers: &[SocketAddr]) -> (Owner, SocketAddr) {
    let (messages, told) = mpsc::channel(64);
    let (state, process) = watch::channel(State::Active);
    let config = config(node, ANY.parse().expect("an address"), peers, ADVERTISED);
    let peers = Peers::new(&config, View::default(), messages, process, Rc::new(NoSiblings));
    let peers = peers.expect("a good configuration").expect("a fleet");
    let socket = peers.bind().await.expect("an address").expect("no predecessor");
    let hears = socket.local_addr().expect("an address");
    spawn_local(peers.run(Some(socket)));
    (Owner { told, state }, hears)
}

impl Owner {
    /// Waits until it is told of so many live nodes.
    async fn hears_of(&mut self, live: u32) -> Tier {
        loop {
            let tier = self.told.recv().await.expect("a node that runs");
            if tier.live == live {
                return tier;
            }
        }
    }
}

/// Three in one thread find one another, and each owner is told; who drains leaves, and who is called back returns.
#[test]
fn nodes_without_a_program_find_one_another_leave_and_return() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        let (mut first, seed) = start(0, &[]).await;
        let (mut second, _) = start(1, &[seed]).await;
        let (mut third, _) = start(2, &[seed]).await;
        for owner in [&mut first, &mut second, &mut third] {
            owner.hears_of(3).await;
        }
        second.state.send_replace(State::Standby);
        let alone = second.hears_of(1).await;
        assert_eq!((alone.rank, alone.agreed, alone.could_be_alive), (0, false, 3));
        first.hears_of(2).await;
        third.hears_of(2).await;
        second.state.send_replace(State::Active);
        for owner in [&mut first, &mut second, &mut third] {
            owner.hears_of(3).await;
        }
    });
}

/// An address that another has is an error that names it and what can be done.
#[test]
fn an_address_that_is_taken_is_named() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    runtime.block_on(async {
        let other = UdpSocket::bind(ANY).await.expect("a socket");
        let taken = other.local_addr().expect("an address");
        let (messages, _told) = mpsc::channel::<Tier>(1);
        let (_state, process) = watch::channel(State::Active);
        let config = config(0, taken, &[], ADVERTISED);
        let peers = Peers::new(&config, View::default(), messages, process, Rc::new(NoSiblings));
        let problem = peers.expect("good").expect("a fleet").bind().await.expect_err("taken");
        let text = problem.to_string();
        assert!(text.contains(&taken.to_string()) && text.contains("change peer_listen"), "{text}");
    });
}
