//! Membership drivers without the rest of a node: several in one thread, over UDP; seed addresses and
//! persisted peers.

use super::saved_members::SavedContent;
use super::*;
use crate::control::process::NoSiblings;
use std::hint::black_box;
use tokio::task::{LocalSet, spawn_local};

/// The owner's side of a driver.
struct Owner {
    fleet_views: mpsc::Receiver<FleetView>,
    state: watch::Sender<ProcessState>,
}

/// The configuration of one of three nodes; `extra` are further keys of `fleet`.
fn config(node: usize, listen: SocketAddr, peers: &[SocketAddr], extra: &str) -> Config {
    let peers: Vec<_> = peers.iter().map(|peer| format!("\"{peer}\"")).collect();
    let text = format!(
        r#"{{"name": "n{node}", "listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "peer_listen": "{listen}",
            "peers": [{}], "fleet": {{"cluster": "c", "probe_ms": 100, {extra}}},
            "settings": {{"NInstances": 3, "Ordinal": {node},
            "Permissions": {{"AttemptsCap": 1, "Probes": true, "Peers": true}},
            "Classes": [{{"Name": "read", "Target": 1, "GiveUp": 2, "Idempotency": "free", "Credit": 1}}]}}}}"#,
        peers.join(",")
    );
    Config::parse(&text).expect("a configuration")
}

const ANY_PORT: &str = "127.0.0.1:0";
const ADVERTISED: &str = r#""advertise": "127.0.0.1:0""#;

/// Starts a driver that other nodes identify by its address, and returns that address.
async fn start_driver(node: usize, peers: &[SocketAddr]) -> (Owner, SocketAddr) {
    let (messages, fleet_views) = mpsc::channel(64);
    let (state, process) = watch::channel(ProcessState::Active);
    let config = config(node, ANY_PORT.parse().expect("an address"), peers, ADVERTISED);
    let driver =
        MembershipDriver::new(&config, MembershipView::default(), messages, process, Rc::new(NoSiblings));
    let driver = driver.expect("a good configuration").expect("a fleet");
    let socket = driver.bind().await.expect("an address").expect("no predecessor");
    let address = socket.local_addr().expect("an address");
    spawn_local(driver.run(Some(socket)));
    (Owner { fleet_views, state }, address)
}

impl Owner {
    /// Waits for a fleet view with so many live nodes.
    async fn wait_for_live(&mut self, live: u32) -> FleetView {
        loop {
            let fleet_view = self.fleet_views.recv().await.expect("a running node");
            if fleet_view.live == live {
                return fleet_view;
            }
        }
    }
}

/// Each owner is sent the fleet view; a node in standby leaves, and rejoins when it is active again.
#[test]
fn three_drivers_find_each_other_leave_and_rejoin() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        let (mut first, seed) = start_driver(0, &[]).await;
        let (mut second, _) = start_driver(1, &[seed]).await;
        let (mut third, _) = start_driver(2, &[seed]).await;
        for owner in [&mut first, &mut second, &mut third] {
            owner.wait_for_live(3).await;
        }
        second.state.send_replace(ProcessState::Standby);
        let alone = second.wait_for_live(1).await;
        assert_eq!((alone.rank, alone.agreed, alone.could_be_alive), (0, false, 3));
        first.wait_for_live(2).await;
        third.wait_for_live(2).await;
        second.state.send_replace(ProcessState::Active);
        for owner in [&mut first, &mut second, &mut third] {
            owner.wait_for_live(3).await;
        }
    });
}

/// The error says which address it is, and which key to change.
#[test]
fn an_address_in_use_is_named_in_the_error() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    runtime.block_on(async {
        let other = UdpSocket::bind(ANY_PORT).await.expect("a socket");
        let in_use = other.local_addr().expect("an address");
        let (messages, _fleet_views) = mpsc::channel::<FleetView>(1);
        let (_state, process) = watch::channel(ProcessState::Active);
        let config = config(0, in_use, &[], ADVERTISED);
        let driver =
            MembershipDriver::new(&config, MembershipView::default(), messages, process, Rc::new(NoSiblings));
        let error = driver.expect("good").expect("a fleet").bind().await.expect_err("an address in use");
        let text = error.to_string();
        assert!(text.contains(&in_use.to_string()) && text.contains("change peer_listen"), "{text}");
    });
}

/// Saved files call a node's number `Seat`, its name in earlier versions, and have to keep that name.
#[test]
fn members_saved_by_an_earlier_version_are_read_and_written_unchanged() {
    let text = r#"{"started_ms":7,"members":[["n1",{"Seat":3}],["n2",{"Socket":"10.0.0.4:7946"}]]}"#;
    let saved: SavedContent = serde_json::from_str(text).expect("a list");
    assert_eq!(saved.members[0].1, Address::Node(3));
    assert_eq!(serde_json::to_string(&saved).expect("a text"), text);
}

/// The addresses of a fleet of so many nodes.
fn addresses(nodes: usize) -> Vec<SocketAddr> {
    let address = |number: usize| SocketAddr::from(([10, 0, (number >> 8) as u8, number as u8], 7946));
    (0..nodes).map(address).collect()
}

/// How many times as long the large case takes as the small one: the best time of each over several
/// alternating rounds.
fn ratio(mut small: impl FnMut(), mut large: impl FnMut()) -> f64 {
    let timed = |run: &mut dyn FnMut()| {
        let start = std::time::Instant::now();
        run();
        start.elapsed().as_secs_f64()
    };
    let (mut least_small, mut least_large) = (f64::MAX, f64::MAX);
    for _ in 0..9 {
        least_small = least_small.min(timed(&mut small));
        least_large = least_large.min(timed(&mut large));
    }
    least_large / least_small
}

/// Among 32 times as many nodes, looking up a datagram's sender takes less than 8 times as long; a linear
/// scan would take 32 times as long.
#[test]
fn looking_up_a_sender_does_not_slow_down_with_the_fleet_size() {
    let look_up = |nodes: usize| {
        let all = addresses(nodes);
        let peers = PeerAddresses::new(all.clone());
        let last = all[nodes - 1];
        move || (0..1_000).for_each(|_| assert!(peers.contains(black_box(&last))))
    };
    let ratio = ratio(look_up(150), look_up(4_800));
    assert!(ratio < 8.0, "{ratio}");
}

/// With 16 times as many nodes, and as many saved members, a start takes less than 64 times as long; a linear
/// scan for each saved member would take 256 times as long.
#[test]
fn the_time_of_a_start_with_saved_members_is_not_quadratic_in_the_fleet_size() {
    let make_seeds = |nodes: usize| {
        let peers = PeerAddresses::new(addresses(nodes));
        let saved: Vec<_> = (0..nodes as u16).map(|number| Address::Node(number + 10_000)).collect();
        move || assert_eq!(peers.seeds(false, black_box(&saved).iter().copied()).len(), 2 * nodes)
    };
    let ratio = ratio(make_seeds(300), make_seeds(4_800));
    assert!(ratio < 64.0, "{ratio}");
}

#[test]
fn seeds_are_the_configured_and_saved_addresses_without_duplicates() {
    let peers = PeerAddresses::new(addresses(2));
    let saved = [Address::Node(1), Address::Node(7), Address::Node(7)];
    let by_number = [Address::Node(0), Address::Node(1), Address::Node(7)];
    assert_eq!(peers.seeds(false, saved.into_iter()), by_number);
    let socket = |number: u8| Address::Socket(SocketAddrV4::new([10, 0, 0, number].into(), 7946));
    let saved = [socket(1), socket(7)];
    assert_eq!(peers.seeds(true, saved.into_iter()), [socket(0), socket(1), socket(7)]);
}

/// Saving is tried at a fixed interval; members are listed only if the view has changed since the last time.
#[test]
fn an_unchanged_view_is_not_listed_again() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let folder = std::env::temp_dir().join(format!("sw-saved-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    runtime.block_on(async {
        let identity = |number: u16| Identity {
            name: Name::try_from(format!("n{number}")).expect("a name"),
            started_ms: 1,
            renewed: 0,
            address: Address::Node(number),
            zone: 0,
            program_version: 1,
        };
        let core = |number| {
            let seeds = (0..2).map(Address::Node).collect();
            Membership::new(identity(number), Settings::with_defaults("c", 2), seeds, 1, Duration::ZERO)
        };
        let (mut first, mut second) = (core(0), core(1));
        let mut saved = SavedMembers::new(Some(folder.join("members")));
        (0..5).for_each(|_| saved.save(&first));
        assert_eq!(saved.list_count, 1);
        // Delivers the datagrams of both without delay until the first knows the second.
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
        assert_eq!((saved.list_count, saved.content.members.len()), (2, 1));
    });
    drop(runtime); // waits for the write in progress
    std::fs::remove_dir_all(&folder).expect("its own folder");
}
