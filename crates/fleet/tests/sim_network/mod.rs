//! Members on a simulated network in virtual time. Datagrams are delayed, lost, duplicated or cut off; nodes
//! are killed, restarted, stopped or starved of processor time. All randomness comes from one seed.
#![allow(dead_code)] // each test file uses a part of this module

use hillpick_fleet::{Address, Cause, Certainty, Change, Identity, Membership, Name, Output, Settings};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;

/// A duration in seconds.
pub fn secs(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

/// The name of the node with a number.
pub fn name(node: usize) -> Name {
    Name::try_from(format!("n{node}")).unwrap()
}

/// An event at a node.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Datagram(Vec<u8>),
    Tick,
}

/// A simulated node.
pub struct Node {
    /// The membership core; none while the node does not run.
    pub core: Option<Membership>,
    /// The identity with which the node starts.
    pub identity: Identity,
    /// The node handles no event until then; events wait.
    pub stopped_until: Duration,
    /// How long the node takes for each event, before it handles the next one.
    pub event_delay: Duration,
    /// The changes that all its processes have reported, with the time of each.
    pub changes: Vec<(Duration, Change)>,
    /// Whether its present process was displaced by another with the same name.
    pub displaced: bool,
    /// Counts starts and kills, so that events for an earlier process are dropped.
    process: u64,
    /// When the earliest queued tick is due.
    wake_at: Option<Duration>,
    /// For each name the latest start in this node's view, which may never be replaced by an earlier one.
    latest_starts: BTreeMap<Name, (u64, u16)>,
    /// The index of the first change that the present process has seen.
    first_change: usize,
}

/// A queued event: when it is due, its sequence number, the node, the node's process, and the event.
type QueuedEvent = Reverse<(Duration, u64, usize, u64, Event)>;

/// A predicate on the sending and the receiving node.
type LinkFilter = Box<dyn Fn(usize, usize) -> bool>;

/// The simulated network with its nodes.
pub struct SimNetwork {
    /// The virtual time.
    pub now: Duration,
    /// The nodes, by number.
    pub nodes: Vec<Node>,
    /// The share of datagrams that are lost.
    pub loss: f64,
    /// The share of datagrams that are sent twice.
    pub duplication: f64,
    /// Whether datagrams from the first node to the second are lost.
    pub is_cut: LinkFilter,
    /// The source of all randomness, from the seed.
    pub random: Pcg64Mcg,
    /// The settings with which nodes start.
    pub settings: Settings,
    /// The bytes of all datagrams sent.
    pub bytes: u64,
    queue: BinaryHeap<QueuedEvent>,
    last_sequence: u64,
}

impl SimNetwork {
    /// Numbered nodes, none of which runs yet.
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
            event_delay: Duration::ZERO,
            changes: Vec::new(),
            displaced: false,
            process: 0,
            wake_at: None,
            latest_starts: BTreeMap::new(),
            first_change: 0,
        };
        SimNetwork {
            now: secs(1000.0),
            nodes: (0..nodes).map(node).collect(),
            loss: 0.01,
            duplication: 0.0,
            is_cut: Box::new(|_, _| false),
            random: Pcg64Mcg::seed_from_u64(seed),
            settings: Settings::with_defaults("test", nodes),
            bytes: 0,
            queue: BinaryHeap::new(),
            last_sequence: 0,
        }
    }

    /// The same, with all nodes running and their views converged.
    pub fn settled(nodes: usize, seed: u64) -> Self {
        let mut network = SimNetwork::new(nodes, seed);
        (0..nodes).for_each(|node| network.start(node));
        network.converge_within(60.0);
        network
    }

    /// Queues an event for a node's present process.
    fn push(&mut self, at: Duration, node: usize, event: Event) {
        self.last_sequence += 1;
        let process = self.nodes[node].process;
        self.queue.push(Reverse((at, self.last_sequence, node, process, event)));
    }

    /// Starts a node with the addresses of all nodes as its seeds.
    pub fn start(&mut self, node: usize) {
        self.start_with_seeds(node, self.addresses());
    }

    /// The addresses of all nodes, by their numbers.
    pub fn addresses(&self) -> Vec<Address> {
        (0..self.nodes.len()).map(|number| Address::Node(number as u16)).collect()
    }

    /// Starts a node, later by its wall clock than it started before.
    pub fn start_with_seeds(&mut self, node: usize, seeds: Vec<Address>) {
        let host = &mut self.nodes[node];
        host.identity.started_ms =
            host.identity.started_ms.max(self.now.as_millis() as u64 + host.process + 1);
        self.start_with_clock_as_is(node, seeds);
    }

    /// Starts a node without adjusting the start that its identity says.
    pub fn start_with_clock_as_is(&mut self, node: usize, seeds: Vec<Address>) {
        let seed = self.random.random();
        let host = &mut self.nodes[node];
        host.process += 1;
        host.core =
            Some(Membership::new(host.identity.clone(), self.settings.clone(), seeds, seed, self.now));
        (host.wake_at, host.displaced) = (None, false);
        host.latest_starts.clear();
        host.first_change = host.changes.len();
        self.set_wake(node);
    }

    /// Ends a node's process without notice.
    pub fn kill(&mut self, node: usize) {
        self.nodes[node].core = None;
        self.nodes[node].process += 1;
    }

    /// Lets a node leave gracefully, and ends its process.
    pub fn leave(&mut self, node: usize) {
        let mut out = Vec::new();
        if let Some(core) = &mut self.nodes[node].core {
            core.leave(self.now, &mut out);
        }
        self.carry_out(node, out);
        self.kill(node);
    }

    /// Queues a tick for when the node's core next needs one, unless one is queued by then.
    fn set_wake(&mut self, node: usize) {
        let host = &mut self.nodes[node];
        let wake_at = host.core.as_ref().and_then(Membership::wake_at);
        if let Some(at) = wake_at.filter(|at| host.wake_at.is_none_or(|set| *at < set)) {
            host.wake_at = Some(at);
            let at = at.max(self.now);
            self.push(at, node, Event::Tick);
        }
    }

    /// Carries out what a node's core has output.
    fn carry_out(&mut self, node: usize, out: Vec<Output>) {
        for output in out {
            match output {
                Output::Send { to, data } => {
                    assert!(data.len() <= 256, "a datagram of {} bytes", data.len());
                    self.bytes += data.len() as u64;
                    let receiver =
                        self.nodes.iter().position(|host| host.identity.address == to && host.core.is_some());
                    let Some(to) = receiver.filter(|to| !(self.is_cut)(node, *to)) else { continue };
                    let copies = 1 + usize::from(self.random.random::<f64>() < self.duplication);
                    for _ in 0..copies {
                        if self.random.random::<f64>() >= self.loss {
                            let delay = secs((1.1 + 12.9 * self.random.random::<f64>()) / 1e3);
                            self.push(self.now + delay, to, Event::Datagram(data.clone()));
                        }
                    }
                }
                Output::Changed(change) => self.nodes[node].changes.push((self.now, change)),
                Output::Displaced(_) => self.nodes[node].displaced = true,
            }
        }
        self.check_starts(node);
    }

    /// Asserts that a node's view never goes back from a start of a name to an earlier one.
    fn check_starts(&mut self, node: usize) {
        let now = self.now;
        let host = &mut self.nodes[node];
        let Some(core) = &host.core else { return };
        for (_, change) in host.changes[host.first_change..].iter().rev().take(3) {
            if matches!(change.cause, Cause::Joined | Cause::Returned) {
                let start = (change.member.started_ms, change.member.renewed);
                let latest = host.latest_starts.entry(change.member.name).or_insert(start);
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

    /// Advances the virtual time.
    pub fn run(&mut self, seconds: f64) {
        let end = self.now + secs(seconds);
        while self.queue.peek().is_some_and(|Reverse((at, ..))| *at <= end) {
            let Some(Reverse((at, _, node, process, event))) = self.queue.pop() else { break };
            self.now = self.now.max(at);
            let host = &mut self.nodes[node];
            if host.process != process || host.core.is_none() {
                continue;
            }
            if host.stopped_until > self.now {
                let until = host.stopped_until;
                self.push(until, node, event);
                continue;
            }
            if !host.event_delay.is_zero() {
                // The next event waits until this one has been handled.
                host.stopped_until = self.now + host.event_delay;
            }
            let now = self.now;
            let mut out = Vec::new();
            if let Some(core) = &mut host.core {
                match event {
                    Event::Datagram(data) => core.receive(now, &data, &mut out),
                    Event::Tick => {
                        host.wake_at = None;
                        core.tick(now, &mut out);
                    }
                }
            }
            self.carry_out(node, out);
            self.set_wake(node);
        }
        self.now = end;
    }

    /// The nodes that run and are not displaced.
    pub fn live(&self) -> Vec<usize> {
        (0..self.nodes.len())
            .filter(|node| self.nodes[*node].core.is_some() && !self.nodes[*node].displaced)
            .collect()
    }

    /// The first difference from converged views, in which every live node knows exactly the live ones;
    /// `None` if converged.
    fn divergence(&mut self) -> Option<String> {
        let live = self.live();
        let views: Vec<_> = live.iter().map(|node| (*node, self.agreement(*node))).collect();
        let first = views.first()?.1;
        for (node, view) in &views {
            if view.members != live.len() {
                return Some(format!("{node} knows {} members, and {} are live", view.members, live.len()));
            }
            if view.digest != first.digest {
                return Some(format!("{node} knows other starts than {}", views[0].0));
            }
        }
        for node in &live {
            let core = self.nodes[*node].core.as_ref()?;
            let held: Vec<_> =
                core.members(self.now).into_iter().map(|member| member.identity.name).collect();
            for other in &live {
                if other != node && !held.contains(&self.nodes[*other].identity.name) {
                    return Some(format!("{node} does not know {other}, which is live"));
                }
            }
        }
        None
    }

    /// Runs until every live node knows exactly the live ones, with one digest, and asserts that this takes
    /// less than `within` seconds. Returns how many seconds it took.
    pub fn converge_within(&mut self, within: f64) -> f64 {
        let started = self.now;
        loop {
            let took = (self.now - started).as_secs_f64();
            match self.divergence() {
                None => break,
                Some(divergence) => assert!(took < within, "after {took} s: {divergence}"),
            }
            self.run(0.1);
        }
        (self.now - started).as_secs_f64()
    }

    /// How far the other members agree with a node's view.
    pub fn agreement(&mut self, node: usize) -> hillpick_fleet::Agreement {
        let now = self.now;
        self.nodes[node].core.as_mut().expect("a node that runs").agreement(now)
    }

    /// How certain each live node can be of its view.
    pub fn certainties(&mut self) -> Vec<Certainty> {
        self.live().into_iter().map(|node| self.agreement(node).certainty).collect()
    }

    /// What all live nodes together use of a shared limit of 1. Each uses an equal part among the nodes that
    /// could be alive by its view.
    pub fn total_use(&mut self) -> f64 {
        self.live().into_iter().map(|node| 1.0 / self.agreement(node).could_be_alive as f64).sum()
    }

    /// How many changes with a cause all live nodes have seen since a time, by the member that changed.
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
