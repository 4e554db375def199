//! Members on a network in virtual time: datagrams are late, lost, doubled or cut off, nodes die, start anew, stand still
//! or starve. Everything comes from one seed.
#![allow(dead_code)] // each test file uses its own part of this

use hillpick_fleet::{Address, Cause, Certainty, Change, Identity, Membership, Name, Output, Settings};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;

pub fn s(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

pub fn name(node: usize) -> Name {
    Name::try_from(format!("n{node}")).unwrap()
}

/// Something that reaches a node.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Ev {
    Data(Vec<u8>),
    Tick,
}

pub struct Node {
    pub core: Option<Membership>,
    pub identity: Identity,
    /// Nothing is done until then; what comes waits.
    pub stopped_until: Duration,
    /// Each event takes so long to be got to.
    pub slow: Duration,
    pub changes: Vec<(Duration, Change)>,
    pub displaced: bool,
    life: u64,
    wake: Option<Duration>,
    /// By observer's own view: the latest life seen of each name, which may never go back.
    latest: BTreeMap<Name, (u64, u16)>,
    /// Changes that its present life has seen begin here.
    born: usize,
}

/// When, in which order, where, in which life, and what.
type Entry = Reverse<(Duration, u64, usize, u64, Ev)>;

type Cut = Box<dyn Fn(usize, usize) -> bool>;

pub struct Net {
    pub now: Duration,
    pub nodes: Vec<Node>,
    pub loss: f64,
    pub twice: f64,
    /// From and to: whether what is sent is gone.
    pub cut: Cut,
    pub random: Pcg64Mcg,
    pub settings: Settings,
    pub bytes: u64,
    queue: BinaryHeap<Entry>,
    order: u64,
}

impl Net {
    /// So many nodes with a number each, none of which runs yet.
    pub fn new(nodes: usize, seed: u64) -> Self {
        let node = |number: usize| Node {
            core: None,
            identity: Identity {
                name: name(number),
                started_ms: 1_000_000,
                renewed: 0,
                address: Address::Node(number as u16),
                zone: (number % 3) as u8,
                program_version: 1,
            },
            stopped_until: Duration::ZERO,
            slow: Duration::ZERO,
            changes: Vec::new(),
            displaced: false,
            life: 0,
            wake: None,
            latest: BTreeMap::new(),
            born: 0,
        };
        Net {
            now: s(1000.0),
            nodes: (0..nodes).map(node).collect(),
            loss: 0.01,
            twice: 0.0,
            cut: Box::new(|_, _| false),
            random: Pcg64Mcg::seed_from_u64(seed),
            settings: Settings::with_defaults("test", nodes),
            bytes: 0,
            queue: BinaryHeap::new(),
            order: 0,
        }
    }

    /// The same, all running and of one mind.
    pub fn settled(nodes: usize, seed: u64) -> Self {
        let mut net = Net::new(nodes, seed);
        (0..nodes).for_each(|node| net.start(node));
        net.converges(60.0);
        net
    }

    fn push(&mut self, at: Duration, node: usize, ev: Ev) {
        self.order += 1;
        let life = self.nodes[node].life;
        self.queue.push(Reverse((at, self.order, node, life, ev)));
    }

    /// A node starts; its seeds are all other addresses.
    pub fn start(&mut self, node: usize) {
        self.start_with(node, self.addresses());
    }

    /// The addresses that all know.
    pub fn addresses(&self) -> Vec<Address> {
        (0..self.nodes.len()).map(|number| Address::Node(number as u16)).collect()
    }

    pub fn start_with(&mut self, node: usize, seeds: Vec<Address>) {
        let it = &mut self.nodes[node];
        it.identity.started_ms = it.identity.started_ms.max(self.now.as_millis() as u64 + it.life + 1);
        self.start_as_it_is(node, seeds);
    }

    /// A node starts, whenever its clock may say that this is.
    pub fn start_as_it_is(&mut self, node: usize, seeds: Vec<Address>) {
        let seed = self.random.random();
        let it = &mut self.nodes[node];
        it.life += 1;
        it.core = Some(Membership::new(it.identity.clone(), self.settings.clone(), seeds, seed, self.now));
        (it.wake, it.displaced) = (None, false);
        it.latest.clear();
        it.born = it.changes.len();
        self.set_wake(node);
    }

    pub fn kill(&mut self, node: usize) {
        self.nodes[node].core = None;
        self.nodes[node].life += 1;
    }

    pub fn leave(&mut self, node: usize) {
        let mut out = Vec::new();
        if let Some(core) = &mut self.nodes[node].core {
            core.leave(self.now, &mut out);
        }
        self.carry_out(node, out);
        self.kill(node);
    }

    fn set_wake(&mut self, node: usize) {
        let it = &mut self.nodes[node];
        let wake = it.core.as_ref().and_then(Membership::wake_at);
        if let Some(at) = wake.filter(|at| it.wake.is_none_or(|set| *at < set)) {
            it.wake = Some(at);
            let at = at.max(self.now);
            self.push(at, node, Ev::Tick);
        }
    }

    fn carry_out(&mut self, node: usize, out: Vec<Output>) {
        for output in out {
            match output {
                Output::Send { to, data } => {
                    assert!(data.len() <= 256, "a datagram of {} bytes", data.len());
                    self.bytes += data.len() as u64;
                    let receiver =
                        self.nodes.iter().position(|it| it.identity.address == to && it.core.is_some());
                    let Some(to) = receiver.filter(|to| !(self.cut)(node, *to)) else { continue };
                    let copies = 1 + usize::from(self.random.random::<f64>() < self.twice);
                    for _ in 0..copies {
                        if self.random.random::<f64>() >= self.loss {
                            let late = s((1.1 + 12.9 * self.random.random::<f64>()) / 1e3);
                            self.push(self.now + late, to, Ev::Data(data.clone()));
                        }
                    }
                }
                Output::Changed(change) => self.nodes[node].changes.push((self.now, change)),
                Output::Displaced(_) => self.nodes[node].displaced = true,
            }
        }
        self.check(node);
    }

    /// Of a name's lives a node never goes back to an earlier one.
    fn check(&mut self, node: usize) {
        let now = self.now;
        let it = &mut self.nodes[node];
        let Some(core) = &it.core else { return };
        for (_, change) in it.changes[it.born..].iter().rev().take(3) {
            if matches!(change.cause, Cause::Joined | Cause::Returned) {
                let life = (change.member.started_ms, change.member.renewed);
                let latest = it.latest.entry(change.member.name).or_insert(life);
                let held =
                    core.members(now).into_iter().find(|member| member.identity.name == change.member.name);
                if let Some(held) = held {
                    let held = (held.identity.started_ms, held.identity.renewed);
                    assert!(held >= *latest, "{node} goes back from {latest:?} to {held:?}");
                    *latest = held;
                }
            }
        }
    }

    /// Lets time pass.
    pub fn run(&mut self, seconds: f64) {
        let end = self.now + s(seconds);
        while self.queue.peek().is_some_and(|Reverse((at, ..))| *at <= end) {
            let Some(Reverse((at, _, node, life, ev))) = self.queue.pop() else { break };
            self.now = self.now.max(at);
            let it = &mut self.nodes[node];
            if it.life != life || it.core.is_none() {
                continue;
            }
            if it.stopped_until > self.now {
                let until = it.stopped_until;
                self.push(until, node, ev);
                continue;
            }
            if !it.slow.is_zero() {
                // It is got to when what came before it has been done.
                it.stopped_until = self.now + it.slow;
            }
            let now = self.now;
            let mut out = Vec::new();
            if let Some(core) = &mut it.core {
                match ev {
                    Ev::Data(data) => core.receive(now, &data, &mut out),
                    Ev::Tick => {
                        it.wake = None;
                        core.tick(now, &mut out);
                    }
                }
            }
            self.carry_out(node, out);
            self.set_wake(node);
        }
        self.now = end;
    }

    pub fn live(&self) -> Vec<usize> {
        (0..self.nodes.len())
            .filter(|node| self.nodes[*node].core.is_some() && !self.nodes[*node].displaced)
            .collect()
    }

    /// What is not yet as it should be: every live node holds exactly the live ones.
    fn amiss(&mut self) -> Option<String> {
        let live = self.live();
        let views: Vec<_> = live.iter().map(|node| (*node, self.agreement(*node))).collect();
        let first = views.first()?.1;
        for (node, view) in &views {
            if view.members != live.len() {
                return Some(format!("{node} holds {} members, and {} live", view.members, live.len()));
            }
            if view.digest != first.digest {
                return Some(format!("{node} holds other lives than {}", views[0].0));
            }
        }
        for node in &live {
            let core = self.nodes[*node].core.as_ref()?;
            let held: Vec<_> =
                core.members(self.now).into_iter().map(|member| member.identity.name).collect();
            for other in &live {
                if other != node && !held.contains(&self.nodes[*other].identity.name) {
                    return Some(format!("{node} does not know {other}, which lives"));
                }
            }
        }
        None
    }

    /// Waits until every live node holds exactly the live ones, with one digest; returns how long that took in s.
    pub fn converges(&mut self, within: f64) -> f64 {
        let begun = self.now;
        loop {
            let took = (self.now - begun).as_secs_f64();
            match self.amiss() {
                None => break,
                Some(amiss) => assert!(took < within, "after {took} s: {amiss}"),
            }
            self.run(0.1);
        }
        (self.now - begun).as_secs_f64()
    }

    pub fn agreement(&mut self, node: usize) -> hillpick_fleet::Agreement {
        let now = self.now;
        self.nodes[node].core.as_mut().expect("a node that runs").agreement(now)
    }

    pub fn certainties(&mut self) -> Vec<Certainty> {
        self.live().into_iter().map(|node| self.agreement(node).certainty).collect()
    }

    /// What all live nodes may use of a rule that allows 1 in all: each its part of those that it takes to be alive.
    pub fn used(&mut self) -> f64 {
        self.live().into_iter().map(|node| 1.0 / self.agreement(node).could_be_alive as f64).sum()
    }

    /// Changes since a moment at all live nodes, of a kind, by member.
    pub fn changes(&self, since: Duration, cause: Cause) -> BTreeMap<Name, usize> {
        let mut found = BTreeMap::new();
        for node in self.live() {
            let changes =
                self.nodes[node].changes.iter().filter(|(at, change)| *at >= since && change.cause == cause);
            changes.for_each(|(_, change)| *found.entry(change.member.name).or_default() += 1);
        }
        found
    }
}
