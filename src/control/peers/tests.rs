//! Nodes that take part in membership without a program around them: several in one thread, over UDP.

use super::saved_members::Saved;
use super::*;
use crate::control::process::NoSiblings;
use std::hint::black_box;
use tokio::task::{LocalSet, spawn_local};

/// The owner's side of a node.
struct Owner {
    told: mpsc::Receiver<FleetView>,
    state: watch::Sender<ProcessState>,
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
    let (state, process) = watch::channel(ProcessState::Active);
    let config = config(node, ANY.parse().expect("an address"), peers, ADVERTISED);
    let peers =
        MembershipDriver::new(&config, MembershipView::default(), messages, process, Rc::new(NoSiblings));
    let peers = peers.expect("a good configuration").expect("a fleet");
    let socket = peers.bind().await.expect("an address").expect("no predecessor");
    let hears = socket.local_addr().expect("an address");
    spawn_local(peers.run(Some(socket)));
    (Owner { told, state }, hears)
}

impl Owner {
    /// Waits until it is told of so many live nodes.
    async fn hears_of(&mut self, live: u32) -> FleetView {
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
        second.state.send_replace(ProcessState::Standby);
        let alone = second.hears_of(1).await;
        assert_eq!((alone.rank, alone.agreed, alone.could_be_alive), (0, false, 3));
        first.hears_of(2).await;
        third.hears_of(2).await;
        second.state.send_replace(ProcessState::Active);
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
        let (messages, _told) = mpsc::channel::<FleetView>(1);
        let (_state, process) = watch::channel(ProcessState::Active);
        let config = config(0, taken, &[], ADVERTISED);
        let peers =
            MembershipDriver::new(&config, MembershipView::default(), messages, process, Rc::new(NoSiblings));
        let problem = peers.expect("good").expect("a fleet").bind().await.expect_err("taken");
        let text = problem.to_string();
        assert!(text.contains(&taken.to_string()) && text.contains("change peer_listen"), "{text}");
    });
}

/// Files of versions before have another word for a node's number; they are read, and written the same.
#[test]
fn members_that_a_version_before_saved_are_read() {
    let text = r#"{"started_ms":7,"members":[["n1",{"Seat":3}],["n2",{"Socket":"10.0.0.4:7946"}]]}"#;
    let saved: Saved = serde_json::from_str(text).expect("a list");
    assert_eq!(saved.members[0].1, Address::Node(3));
    assert_eq!(serde_json::to_string(&saved).expect("a text"), text);
}

/// Addresses of so many nodes.
fn addresses(nodes: usize) -> Vec<SocketAddr> {
    let address = |number: usize| SocketAddr::from(([10, 0, (number >> 8) as u8, number as u8], 7946));
    (0..nodes).map(address).collect()
}

/// How much longer something takes at one size than at another, each by the best of several rounds that take turns.
fn ratio(mut small: impl FnMut(), mut large: impl FnMut()) -> f64 {
    let timed = |what: &mut dyn FnMut()| {
        let begun = std::time::Instant::now();
        what();
        begun.elapsed().as_secs_f64()
    };
    let (mut least_small, mut least_large) = (f64::MAX, f64::MAX);
    for _ in 0..9 {
        least_small = least_small.min(timed(&mut small));
        least_large = least_large.min(timed(&mut large));
    }
    least_large / least_small
}

/// A datagram's sender is looked up among 32 times as many nodes for no 8 times as long: a scan takes 32.
#[test]
fn a_sender_is_looked_up_in_no_time_that_grows_with_the_fleet() {
    let look_up = |nodes: usize| {
        let all = addresses(nodes);
        let peers = PeerAddresses::new(all.clone());
        let last = all[nodes - 1];
        move || (0..1_000).for_each(|_| assert!(peers.contains(black_box(&last))))
    };
    let ratio = ratio(look_up(150), look_up(4_800));
    assert!(ratio < 8.0, "{ratio}");
}

/// A start among 16 times as many nodes, all of them saved as well, takes no 64 times as long: a scan for each saved one
/// takes 256.
#[test]
fn a_start_with_saved_members_takes_no_square_of_the_fleet() {
    let start = |nodes: usize| {
        let peers = PeerAddresses::new(addresses(nodes));
        let saved: Vec<_> = (0..nodes as u16).map(|number| Address::Node(number + 10_000)).collect();
        move || assert_eq!(peers.seeds(false, black_box(&saved).iter().copied()).len(), 2 * nodes)
    };
    let ratio = ratio(start(300), start(4_800));
    assert!(ratio < 64.0, "{ratio}");
}

#[test]
fn seeds_are_the_configured_and_the_saved_addresses_each_once() {
    let peers = PeerAddresses::new(addresses(2));
    let saved = [Address::Node(1), Address::Node(7), Address::Node(7)];
    let by_number = [Address::Node(0), Address::Node(1), Address::Node(7)];
    assert_eq!(peers.seeds(false, saved.into_iter()), by_number);
    let socket = |number: u8| Address::Socket(SocketAddrV4::new([10, 0, 0, number].into(), 7946));
    let saved = [socket(1), socket(7)];
    assert_eq!(peers.seeds(true, saved.into_iter()), [socket(0), socket(1), socket(7)]);
}

/// The list of the members is made for the disk when it has changed, and not at each look.
#[test]
fn a_view_that_has_not_changed_is_not_listed_again() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let folder = std::env::temp_dir().join(format!("sw-saved-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    runtime.block_on(async {
        let me = |number: u16| Identity {
            name: Name::try_from(format!("n{number}")).expect("a name"),
            started_ms: 1,
            renewed: 0,
            address: Address::Node(number),
            zone: 0,
            program_version: 1,
        };
        let core = |number| {
            let seeds = (0..2).map(Address::Node).collect();
            Membership::new(me(number), Settings::with_defaults("c", 2), seeds, 1, Duration::ZERO)
        };
        let (mut first, mut second) = (core(0), core(1));
        let mut saved = SavedMembers::new(Some(folder.join("members")));
        (0..5).for_each(|_| saved.save(&first));
        assert_eq!(saved.listed, 1);
        // Until the first knows the second, each hears at once what the other sends.
        let mut now = Duration::ZERO;
        while first.identities().next().is_none() {
            assert!(now < Duration::from_secs(9), "they find one another");
            now += Duration::from_millis(50);
            let (mut from_first, mut from_second) = (Vec::new(), Vec::new());
            first.tick(now, &mut from_first);
            second.tick(now, &mut from_second);
            while !from_first.is_empty() || !from_second.is_empty() {
                let deliver = |out: &mut Vec<Output>, to: &mut Membership, answers: &mut Vec<Output>| {
                    for output in std::mem::take(out) {
                        if let Output::Send { data, .. } = output {
                            to.receive(now, &data, answers);
                        }
                    }
                };
                deliver(&mut from_first, &mut second, &mut from_second);
                deliver(&mut from_second, &mut first, &mut from_first);
            }
        }
        (0..5).for_each(|_| saved.save(&first));
        assert_eq!((saved.listed, saved.saved.members.len()), (2, 1));
    });
    drop(runtime); // and with it a write that is under way
    std::fs::remove_dir_all(&folder).expect("its own folder");
}
