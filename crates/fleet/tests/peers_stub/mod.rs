//! One real member among many stub peers. The stubs answer probes and hellos as members would, report the
//! same view as the real member, and send the updates that the caller wants sent. So one core can be
//! measured in fleets of which thousands of cores would not fit into memory.
#![allow(dead_code)] // each user needs a part of this module

use foca::{Codec, Header, Message, PostcardCodec};
use hillpick_fleet::{Address, Identity, MAX_DATAGRAM_BYTES, Membership, Name, Output, Settings};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::{Duration, Instant};

/// The length of a datagram's header.
const HEADER_BYTES: usize = 30;
/// The offset in the header of the kind of the body.
const KIND_OFFSET: usize = 3;
const KIND_SWIM: u8 = 0;
const KIND_HELLO: u8 = 1;
const KIND_WELCOME: u8 = 2;
const KIND_PAGE: u8 = 4;
const CLUSTER: &str = "size";
/// The index of the real member among the identities.
const REAL_MEMBER: usize = 0;

/// Calls that were measured, and the time that they took together.
#[derive(Clone, Copy, Debug, Default)]
pub struct Cost {
    /// The number of calls.
    pub calls: u32,
    /// The time of all calls.
    pub time: Duration,
}

impl Cost {
    fn add_call(&mut self, started: Instant) {
        self.calls += 1;
        self.time += started.elapsed();
    }

    /// The mean time of a call, in µs.
    pub fn mean_us(&self) -> f64 {
        self.time.as_secs_f64() * 1e6 / f64::from(self.calls.max(1))
    }
}

/// The real member's costs over a span of virtual time.
#[derive(Clone, Copy, Debug, Default)]
pub struct Costs {
    /// The calls of [`Membership::tick`].
    pub tick: Cost,
    /// The calls of [`Membership::receive`].
    pub receive: Cost,
    /// Datagrams sent.
    pub sent: u64,
    /// The bytes of those datagrams.
    pub sent_bytes: u64,
    /// The bytes of the datagrams received.
    pub received_bytes: u64,
}

/// A SWIM update on a member.
#[derive(Clone, Debug)]
pub struct Update(pub foca::Member<Identity>);

/// The real member with its stub peers.
pub struct PeersStub {
    /// The real member.
    pub core: Membership,
    /// The virtual time.
    pub now: Duration,
    /// The real member's costs since the last call of [`PeersStub::measure`] began.
    pub costs: Costs,
    /// The identities of all, the real member's at [`REAL_MEMBER`].
    identities: Vec<Identity>,
    index_by_address: HashMap<Address, usize>,
    sequence: u64,
    random: Pcg64Mcg,
    cluster_hash: u64,
}

fn identity(number: usize) -> Identity {
    let [_, high, mid, low] = (number as u32).to_be_bytes();
    Identity {
        name: Name::try_from(format!("node-{number:05}")).expect("a name"),
        started_ms: 1_764_000_000_000 + number as u64,
        renewed: 0,
        address: Address::Socket(SocketAddrV4::new(Ipv4Addr::new(10, high, mid, low), 7946)),
        zone: (number % 9) as u8,
        program_version: 1,
    }
}

/// FNV-1a, as in a datagram's header.
fn fnv1a(bytes: &[u8]) -> u64 {
    bytes.iter().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(0x0000_0100_0000_01b3)
    })
}

impl PeersStub {
    /// A member that knows no other yet, and `peers` stub peers.
    pub fn new(peers: usize) -> Self {
        let settings = Settings::with_defaults(CLUSTER, peers + 1);
        PeersStub::with_settings(peers, settings)
    }

    /// The same, with other settings.
    pub fn with_settings(peers: usize, settings: Settings) -> Self {
        let mut identities: Vec<_> = (0..=peers).map(identity).collect();
        // A name in the middle of the order, as for most members.
        identities[REAL_MEMBER].name = Name::try_from(format!("node-{:05}-real", peers / 2)).expect("a name");
        let seeds = identities.iter().map(|identity| identity.address).collect();
        let now = Duration::from_secs(1000);
        PeersStub {
            core: Membership::new(identities[REAL_MEMBER].clone(), settings, seeds, 7, now),
            now,
            costs: Costs::default(),
            index_by_address: identities
                .iter()
                .enumerate()
                .map(|(index, identity)| (identity.address, index))
                .collect(),
            identities,
            sequence: 0,
            random: Pcg64Mcg::seed_from_u64(7),
            cluster_hash: fnv1a(CLUSTER.as_bytes()),
        }
    }

    /// The same, with a real member that knows all peers and has received a datagram from each.
    pub fn settled(peers: usize) -> Self {
        PeersStub::new(peers).settle()
    }

    /// Makes all peers known to the real member, and sends it a datagram from each.
    pub fn settle(mut self) -> Self {
        let peers = self.identities.len() - 1;
        let stub = &mut self;
        for first in (1..=peers).step_by(4) {
            let last = (first + 4).min(peers + 1);
            stub.send_page(1, first..last);
        }
        for peer in 1..=peers {
            stub.probe(peer, &[]);
        }
        assert_eq!(stub.known_peers(), peers, "all peers are known");
        // Until the updates of the join have been passed on.
        stub.run(60.0, |_, _| {});
        assert_eq!(stub.known_peers(), peers, "all peers are still known");
        self
    }

    /// How many members the core knows, without itself.
    pub fn known_peers(&mut self) -> usize {
        self.core.agreement(self.now).members - 1
    }

    /// A number that changes whenever a member joins, goes or restarts.
    pub fn view_version(&self) -> u64 {
        self.core.view_version()
    }

    /// An update on a member that is not among the peers.
    pub fn unknown_member(&self) -> Update {
        Update(foca::Member::new(identity(self.identities.len()), 0, foca::State::Alive))
    }

    /// Restarts a peer, and returns the update that says so.
    pub fn restart(&mut self, peer: usize) -> Update {
        self.identities[peer].started_ms += 60_000;
        self.alive(peer)
    }

    /// The update that a peer is alive.
    pub fn alive(&self, peer: usize) -> Update {
        Update(foca::Member::new(self.identities[peer].clone(), 0, foca::State::Alive))
    }

    /// A random peer.
    pub fn random_peer(&mut self) -> usize {
        self.random.random_range(1..self.identities.len())
    }

    /// A datagram from a peer to the real member.
    fn datagram(&mut self, kind: u8, body: &[u8]) -> Vec<u8> {
        self.sequence += 1;
        let digest = self.core.agreement(self.now).digest;
        let mut data = vec![0xc7, 1, 1, 0];
        data[KIND_OFFSET] = kind;
        data.extend(self.cluster_hash.to_be_bytes());
        data.extend(self.sequence.to_be_bytes());
        data.extend(digest.to_be_bytes());
        data.extend((self.identities.len() as u16).to_be_bytes());
        data.extend(body);
        assert!(data.len() <= MAX_DATAGRAM_BYTES, "a datagram of {} bytes", data.len());
        data
    }

    /// Sends a page with some of the peers as the last page of a peer's list.
    pub fn send_page(&mut self, from: usize, members: std::ops::Range<usize>) {
        let mut body = postcard::to_allocvec(&self.identities[from]).expect("a body");
        body.push(1);
        for member in members {
            body.extend(postcard::to_allocvec(&(&self.identities[member], 0u16)).expect("a body"));
        }
        let data = self.datagram(KIND_PAGE, &body);
        self.deliver(&data);
    }

    /// Sends a SWIM message from a peer with as many of the updates as fit; returns how many that were.
    fn send_swim(&mut self, from: usize, message: Message<Identity>, updates: &[Update]) -> usize {
        let (src, dst) = (self.identities[from].clone(), self.core.local_identity().clone());
        let mut body = Vec::new();
        let header = Header { src, src_incarnation: 0, dst, message };
        PostcardCodec.encode_header(&header, &mut body).expect("a header");
        let count_offset = body.len();
        body.extend([0; 2]);
        let mut sent = 0;
        for Update(member) in updates {
            let before = body.len();
            PostcardCodec.encode_member(member, &mut body).expect("a member");
            if HEADER_BYTES + body.len() > MAX_DATAGRAM_BYTES {
                body.truncate(before);
                break;
            }
            sent += 1;
        }
        body[count_offset..count_offset + 2].copy_from_slice(&(sent as u16).to_be_bytes());
        let data = self.datagram(KIND_SWIM, &body);
        self.deliver(&data);
        sent
    }

    /// Sends a probe from a peer with updates; returns how many of them fitted.
    pub fn probe(&mut self, from: usize, updates: &[Update]) -> usize {
        self.send_swim(from, Message::Ping(Default::default()), updates)
    }

    /// Sends gossip from a peer with updates; returns how many of them fitted.
    pub fn gossip(&mut self, from: usize, updates: &[Update]) -> usize {
        self.send_swim(from, Message::Gossip, updates)
    }

    /// Delivers a datagram to the real member, and answers what it sends.
    fn deliver(&mut self, data: &[u8]) {
        let mut out = Vec::new();
        let started = Instant::now();
        self.core.receive(self.now, data, &mut out);
        self.costs.receive.add_call(started);
        self.costs.received_bytes += data.len() as u64;
        self.answer(out);
    }

    /// Answers the real member's probes and hellos at once, as its peers.
    fn answer(&mut self, out: Vec<Output>) {
        for output in out {
            let Output::Send { to, data } = output else { continue };
            self.costs.sent += 1;
            self.costs.sent_bytes += data.len() as u64;
            let Some(&to) = self.index_by_address.get(&to) else { continue };
            match data[KIND_OFFSET] {
                KIND_SWIM => {
                    let header: Header<Identity> =
                        PostcardCodec.decode_header(&data[HEADER_BYTES..]).expect("a header");
                    if let Message::Ping(number) = header.message {
                        self.send_swim(to, Message::Ack(number), &[]);
                    }
                }
                KIND_HELLO => {
                    let body = postcard::to_allocvec(&self.identities[to]).expect("a body");
                    let data = self.datagram(KIND_WELCOME, &body);
                    self.deliver(&data);
                }
                _ => {}
            }
        }
    }

    /// Advances the virtual time. In each second `each_second` is called, and a random peer probes the real
    /// member.
    pub fn run(&mut self, seconds: f64, mut each_second: impl FnMut(&mut PeersStub, u32)) {
        let end = self.now + Duration::from_secs_f64(seconds);
        let mut second = 0;
        let mut next_second_at = self.now;
        loop {
            let wake_at = self.core.wake_at().unwrap_or(end);
            if wake_at.min(next_second_at) >= end {
                break;
            }
            if next_second_at <= wake_at {
                self.now = self.now.max(next_second_at);
                each_second(self, second);
                let from = self.random_peer();
                self.probe(from, &[]);
                second += 1;
                next_second_at += Duration::from_secs(1);
                continue;
            }
            self.now = self.now.max(wake_at);
            let mut out = Vec::new();
            let started = Instant::now();
            self.core.tick(self.now, &mut out);
            self.costs.tick.add_call(started);
            self.answer(out);
        }
        self.now = end;
    }

    /// Runs an action and returns its costs.
    pub fn measure(&mut self, action: impl FnOnce(&mut PeersStub)) -> Costs {
        self.costs = Costs::default();
        action(self);
        self.costs
    }
}
