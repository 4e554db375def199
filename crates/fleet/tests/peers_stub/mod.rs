//! One real member among many that are played: each answers probes and calls as a member would, holds the same view,
//! and tells what the caller wants told. So one core is measured at sizes at which thousands of cores would not fit.
#![allow(dead_code)] // each user has its own part of this

use foca::{Codec, Header, Message, PostcardCodec};
use hillpick_fleet::{Address, Identity, MAX_DATAGRAM_BYTES, Membership, Name, Output, Settings};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::{Duration, Instant};

/// The head of a datagram, and where in it the kind of its body stands.
const HEAD: usize = 30;
const KIND: usize = 3;
const SWIM: u8 = 0;
const HELLO: u8 = 1;
const WELCOME: u8 = 2;
const PAGE: u8 = 4;
const CLUSTER: &str = "size";
/// Where the real member stands among the names.
const REAL: usize = 0;

/// Times that were measured.
#[derive(Clone, Copy, Debug, Default)]
pub struct Cost {
    pub calls: u32,
    pub time: Duration,
}

impl Cost {
    fn add(&mut self, since: Instant) {
        self.calls += 1;
        self.time += since.elapsed();
    }

    /// In µs.
    pub fn mean_us(&self) -> f64 {
        self.time.as_secs_f64() * 1e6 / f64::from(self.calls.max(1))
    }
}

/// What a span of virtual time cost.
#[derive(Clone, Copy, Debug, Default)]
pub struct Costs {
    pub tick: Cost,
    pub hear: Cost,
    pub sent: u64,
    pub sent_bytes: u64,
    pub heard_bytes: u64,
}

/// A member's life, as gossip tells it.
#[derive(Clone, Debug)]
pub struct News(pub foca::Member<Identity>);

pub struct Stub {
    pub core: Membership,
    pub now: Duration,
    pub costs: Costs,
    lives: Vec<Identity>,
    numbers: HashMap<Address, usize>,
    sequence: u64,
    random: Pcg64Mcg,
    cluster: u64,
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

/// FNV-1a, as in a datagram's head.
fn hash(bytes: &[u8]) -> u64 {
    bytes.iter().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(0x0000_0100_0000_01b3)
    })
}

impl Stub {
    /// A member that knows nobody yet, and so many others that are played.
    pub fn new(others: usize) -> Self {
        let settings = Settings::with_defaults(CLUSTER, others + 1);
        Stub::with(others, settings)
    }

    /// The same, with other settings.
    pub fn with(others: usize, settings: Settings) -> Self {
        let mut lives: Vec<_> = (0..=others).map(identity).collect();
        // In the midst of the names, as most are.
        lives[REAL].name = Name::try_from(format!("node-{:05}-real", others / 2)).expect("a name");
        let seeds = lives.iter().map(|life| life.address).collect();
        let now = Duration::from_secs(1000);
        Stub {
            core: Membership::new(lives[REAL].clone(), settings, seeds, 7, now),
            now,
            costs: Costs::default(),
            numbers: lives.iter().enumerate().map(|(number, life)| (life.address, number)).collect(),
            lives,
            sequence: 0,
            random: Pcg64Mcg::seed_from_u64(7),
            cluster: hash(CLUSTER.as_bytes()),
        }
    }

    /// The same, knowing all, and having heard each of them.
    pub fn settled(others: usize) -> Self {
        Stub::new(others).settle()
    }

    /// Lets it know all, and hear each of them.
    pub fn settle(mut self) -> Self {
        let others = self.lives.len() - 1;
        let stub = &mut self;
        for first in (1..=others).step_by(4) {
            let last = (first + 4).min(others + 1);
            stub.page(1, first..last);
        }
        for number in 1..=others {
            stub.tell(number, &[]);
        }
        assert_eq!(stub.known(), others, "all are known");
        // What the joining itself had to pass on is passed on.
        stub.run(60.0, |_, _| {});
        assert_eq!(stub.known(), others, "and stay so");
        self
    }

    /// Members that the core knows, without itself.
    pub fn known(&mut self) -> usize {
        self.core.agreement(self.now).members - 1
    }

    /// Changes when a member comes, goes or is in another life.
    pub fn view_version(&self) -> u64 {
        self.core.view_version()
    }

    /// Somebody whom nobody has heard of.
    pub fn stranger(&self) -> News {
        News(foca::Member::new(identity(self.lives.len()), 0, foca::State::Alive))
    }

    /// A later life of one of the others, which nobody knows of yet.
    pub fn restart(&mut self, number: usize) -> News {
        self.lives[number].started_ms += 60_000;
        self.alive(number)
    }

    /// That one of the others lives.
    pub fn alive(&self, number: usize) -> News {
        News(foca::Member::new(self.lives[number].clone(), 0, foca::State::Alive))
    }

    /// One of the others, at random.
    pub fn any(&mut self) -> usize {
        self.random.random_range(1..self.lives.len())
    }

    fn datagram(&mut self, kind: u8, body: &[u8]) -> Vec<u8> {
        self.sequence += 1;
        let digest = self.core.agreement(self.now).digest;
        let mut data = vec![0xc7, 1, 1, 0];
        data[KIND] = kind;
        data.extend(self.cluster.to_be_bytes());
        data.extend(self.sequence.to_be_bytes());
        data.extend(digest.to_be_bytes());
        data.extend((self.lives.len() as u16).to_be_bytes());
        data.extend(body);
        assert!(data.len() <= MAX_DATAGRAM_BYTES, "a datagram of {} bytes", data.len());
        data
    }

    /// A page with some of the others' list.
    pub fn page(&mut self, sender: usize, members: std::ops::Range<usize>) {
        let mut body = postcard::to_allocvec(&self.lives[sender]).expect("a body");
        body.push(1);
        for number in members {
            body.extend(postcard::to_allocvec(&(&self.lives[number], 0u16)).expect("a body"));
        }
        let data = self.datagram(PAGE, &body);
        self.give(&data);
    }

    /// SWIM's message from one of the others, with as much of the news as fits behind it; returns how much that was.
    fn swim(&mut self, from: usize, message: Message<Identity>, news: &[News]) -> usize {
        let (src, dst) = (self.lives[from].clone(), self.core.local_identity().clone());
        let mut body = Vec::new();
        let header = Header { src, src_incarnation: 0, dst, message };
        PostcardCodec.encode_header(&header, &mut body).expect("a header");
        let count = body.len();
        body.extend([0; 2]);
        let mut told = 0;
        for News(member) in news {
            let before = body.len();
            PostcardCodec.encode_member(member, &mut body).expect("a member");
            if HEAD + body.len() > MAX_DATAGRAM_BYTES {
                body.truncate(before);
                break;
            }
            told += 1;
        }
        body[count..count + 2].copy_from_slice(&(told as u16).to_be_bytes());
        let data = self.datagram(SWIM, &body);
        self.give(&data);
        told
    }

    /// One of the others probes, and tells news with it.
    pub fn tell(&mut self, from: usize, news: &[News]) -> usize {
        self.swim(from, Message::Ping(Default::default()), news)
    }

    /// One of the others gossips.
    pub fn gossip(&mut self, from: usize, news: &[News]) -> usize {
        self.swim(from, Message::Gossip, news)
    }

    fn give(&mut self, data: &[u8]) {
        let mut out = Vec::new();
        let begun = Instant::now();
        self.core.receive(self.now, data, &mut out);
        self.costs.hear.add(begun);
        self.costs.heard_bytes += data.len() as u64;
        self.answer(out);
    }

    /// The others answer what is asked of them, at once.
    fn answer(&mut self, out: Vec<Output>) {
        for output in out {
            let Output::Send { to, data } = output else { continue };
            self.costs.sent += 1;
            self.costs.sent_bytes += data.len() as u64;
            let Some(&to) = self.numbers.get(&to) else { continue };
            match data[KIND] {
                SWIM => {
                    let header: Header<Identity> =
                        PostcardCodec.decode_header(&data[HEAD..]).expect("a header");
                    if let Message::Ping(number) = header.message {
                        self.swim(to, Message::Ack(number), &[]);
                    }
                }
                HELLO => {
                    let body = postcard::to_allocvec(&self.lives[to]).expect("a body");
                    let data = self.datagram(WELCOME, &body);
                    self.give(&data);
                }
                _ => {}
            }
        }
    }

    /// Lets time pass, in which one of the others probes this one in each second; `each` second begins with that.
    pub fn run(&mut self, seconds: f64, mut each: impl FnMut(&mut Stub, u32)) {
        let end = self.now + Duration::from_secs_f64(seconds);
        let mut second = 0;
        let mut next = self.now;
        loop {
            let wake = self.core.wake_at().unwrap_or(end);
            if wake.min(next) >= end {
                break;
            }
            if next <= wake {
                self.now = self.now.max(next);
                each(self, second);
                let from = self.any();
                self.tell(from, &[]);
                second += 1;
                next += Duration::from_secs(1);
                continue;
            }
            self.now = self.now.max(wake);
            let mut out = Vec::new();
            let begun = Instant::now();
            self.core.tick(self.now, &mut out);
            self.costs.tick.add(begun);
            self.answer(out);
        }
        self.now = end;
    }

    /// The costs of what is done.
    pub fn measure(&mut self, what: impl FnOnce(&mut Stub)) -> Costs {
        self.costs = Costs::default();
        what(self);
        self.costs
    }
}
