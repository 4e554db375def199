//! The emulator: a fleet in virtual time, from one seed. It drives the decisions of each node with that node's own
//! events alone, and tells the judge what came of them. Its servers and networks are models and not measurements;
//! `docs/lab.md` says what they leave out.

mod choke;
mod clients;
mod fates;
mod faults;
mod feed;
mod nodes;
mod plan;
mod queue;
mod server;
mod servers;
mod world;

use crate::judge::{Judge, Outcome, Run};
use crate::size::Size;
use crate::spec::{Experiment, Reports};
use crate::strategy::{Kind, Make};
use crate::time::{FOREVER, Nanos, SECOND, secs};
use fates::Fate;
pub use fates::{Answers, Fates, Standing};
use hillpick::ServerState;
use plan::Plan;
pub use plan::repeat;
use queue::Queue;
use rand::Rng;
use rand_distr::{Distribution, LogNormal};
use server::Server;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
pub use world::chance;
use world::*;

/// What `chance` is drawn for.
const OF_NODE: u64 = 41;
const OF_WORLD: u64 = 42;
const OF_SERVER: u64 = 43;

/// A run that is not over so long after the last client has waited for its answer is ended.
const SETTLE: Nanos = 10 * SECOND;

/// What a run gives beyond the judge's outcome.
pub struct Measured {
    /// The judge's account.
    pub outcome: Outcome,
    /// Mean time from first try to answer, in s, of the requests that were measured, and their number.
    pub response: (f64, u64),
    /// Requests by their ends, and by how the servers stood that answered them.
    pub fates: Fates,
}

/// Limits of a run that experiments do not have.
#[derive(Clone, Copy)]
pub struct Bounds {
    /// No more requests than this.
    pub most_requests: u64,
    /// Response times count from this request on.
    pub measure_from: u64,
    /// Clients come until there are so many requests, however long that takes.
    pub endless: bool,
}

impl Default for Bounds {
    fn default() -> Self {
        Bounds { most_requests: u64::MAX, measure_from: 0, endless: false }
    }
}

/// Plays an experiment at a size, with one strategy and one seed.
pub fn run(experiment: &Experiment, size: Size, kind: Kind, seed: u64) -> Outcome {
    run_within(experiment, size, kind, seed, Bounds::default()).outcome
}

/// The same, within bounds.
pub fn run_within(experiment: &Experiment, size: Size, kind: Kind, seed: u64, bounds: Bounds) -> Measured {
    let make: Make = Box::new(move |settings, seed| kind.start(settings, seed));
    run_made(experiment, size, (kind.to_string(), make), seed, bounds)
}

/// The same, by decisions that no experiment names.
pub fn run_made(
    experiment: &Experiment,
    size: Size,
    (strategy, make): (String, Make),
    seed: u64,
    bounds: Bounds,
) -> Measured {
    let mut world = World::new(experiment, size, (strategy, make), seed, bounds);
    world.play();
    world.into_measured(size)
}

impl World {
    fn new(
        experiment: &Experiment,
        size: Size,
        (strategy, make): (String, Make),
        seed: u64,
        bounds: Bounds,
    ) -> Self {
        let mut plan = Plan::new(experiment, size);
        let mut cells: BTreeMap<u8, usize> = BTreeMap::new();
        let spec = &experiment.servers;
        let zones = plan.zones.len();
        let servers = plan.server_zones.iter().enumerate().map(|(i, zone)| {
            let number = cells.entry(*zone).or_default();
            // Cells don't cross zones: each zone has numbers of its own.
            let cell = (*number / spec.cell) * zones + usize::from(*zone);
            *number += 1;
            let kind = i % spec.speeds.len();
            machine(experiment, seed, i as ServerNo, (*zone, kind as u8, cell as u16), None)
        });
        let servers: Vec<_> = servers.collect();
        let uneven = LogNormal::from_mean_cv(1.0, experiment.nodes.uneven);
        let nodes = (0..).zip(&plan.node_zones).map(|(no, zone)| {
            let mut random = chance(seed, OF_NODE, no);
            new_node(*zone, uneven.map_or(1.0, |uneven| uneven.sample(&mut random)))
        });
        let nodes: Vec<Node> = nodes.collect();
        let mut fronts = vec![Vec::new(); zones];
        for (no, node) in (0 as NodeNo..).zip(&nodes) {
            let front: &mut Vec<(NodeNo, f64)> = &mut fronts[usize::from(node.zone)];
            let sum = front.last().map_or(0.0, |(_, sum)| *sum);
            front.push((no, sum + node.weight));
        }
        let judge = Judge::new(seed, plan.ends, plan.classes.len(), zones);
        if bounds.endless {
            plan.ends = FOREVER;
        }
        let mut world = World {
            strategy,
            make,
            seed,
            now: 0,
            queue: Queue::new(),
            servers,
            nodes,
            requests: Vec::new(),
            tries: Vec::new(),
            attempts: Vec::new(),
            listed: Vec::new(),
            changes: Vec::new(),
            trouble: Trouble::none(zones),
            victims: vec![Vec::new(); experiment.faults.len()],
            fronts,
            chance: chance(seed, OF_WORLD, 0),
            arrivals: chance(seed, OF_WORLD, 1),
            allowances: plan.allowances(),
            open: 0,
            most_requests: bounds.most_requests,
            measure_from: bounds.measure_from,
            responses: (0.0, 0),
            first_found: BTreeMap::new(),
            minds: Vec::new(),
            fates: Fates::default(),
            judge,
            actions: Vec::new(),
            planned: Vec::new(),
            plan,
        };
        world.listed =
            (0..world.servers.len() as ServerNo).map(|no| world.entry(no, ServerState::Ready)).collect();
        world
    }

    fn play(&mut self) {
        for node in 0..self.nodes.len() as NodeNo {
            self.start(node);
            self.nodes[node as usize].front = true;
        }
        if self.plan.experiment.servers.reports == Reports::IdleSigns {
            (0..self.servers.len() as ServerNo).for_each(|server| self.next_sign(server));
        }
        self.set_faults();
        self.next_arrival();
        self.queue.push(SECOND, Ev::Sweep);
        if self.nodes.iter().any(|node| node.strategy.as_ref().is_some_and(|it| it.sees())) {
            self.queue.push(0, Ev::Look);
        }
        let longest = self.plan.classes.iter().map(|class| class.deadline).max().unwrap_or_default();
        let last = if longest >= FOREVER { FOREVER } else { self.plan.ends + longest + SETTLE };
        while let Some((at, ev)) = self.queue.pop() {
            self.now = at;
            self.happen(ev);
            let all_came = at >= self.plan.ends || self.requests.len() as u64 >= self.most_requests;
            if all_came && self.open == 0 || at >= last {
                break;
            }
        }
        // Whoever waits in vain at the end was not served.
        (0..self.requests.len() as RequestNo).for_each(|request| self.close(request, Fate::Failed));
    }

    /// One event. Whatever concerns a node that is busy or stopped waits in that node's inbox.
    fn happen(&mut self, ev: Ev) {
        let ev = match self.concerns(&ev) {
            Some(node) => match self.takes_in(node, ev) {
                Some(ev) => ev,
                None => return,
            },
            None => ev,
        };
        self.carry_out(ev);
    }

    fn carry_out(&mut self, ev: Ev) {
        match ev {
            Ev::Arrive => self.arrive(),
            Ev::Retry(request) => self.try_it(request),
            Ev::Reach(of) => {
                let node = &self.nodes[self.tries[of as usize].node as usize];
                if node.strategy.is_some() {
                    self.reach(of);
                } else {
                    let zone = node.zone;
                    let client = self.requests[self.tries[of as usize].request as usize].zone;
                    let at = self.now + self.latency(zone, client);
                    self.queue.push(at, Ev::Unreachable(of));
                }
            }
            Ev::Reply(of) => self.reply(of),
            Ev::Leave(of) => self.leave(of),
            Ev::Unreachable(of) => self.unreachable(of),
            Ev::Gone(of) => self.gone(of),
            Ev::Overdue(of) => self.overdue(of),
            Ev::Timer { node, life, token } => {
                if self.nodes[node as usize].life == life {
                    self.tell(node, hillpick::Event::Timer { token });
                }
            }
            Ev::Due(attempt) => self.due(attempt),
            Ev::AtServer(attempt) => self.at_server(attempt),
            Ev::Done { server, plan } => self.done(server, plan),
            Ev::Ended { attempt, outcome, load } => self.ended(attempt, outcome, load),
            Ev::CallOff(attempt) => self.call_off(attempt),
            Ev::ProbeAt { node, life, server, sent } => self.probe_at(node, life, server, sent),
            Ev::Probed { node, life, server, sent, outcome, load } => {
                self.probed((node, life), server, sent, outcome, load);
            }
            Ev::List(node) => self.news(node),
            Ev::Datagram { node, from, data } => self.datagram(node, from, &data),
            Ev::Wake(node) => {
                if let Some(ev) = self.wake(node) {
                    self.carry_out(ev);
                }
            }
            Ev::Start { node, life } => {
                if self.nodes[node as usize].life == life && self.nodes[node as usize].killed == 0 {
                    self.start(node);
                }
            }
            Ev::Front { node, life, up } => {
                let it = &mut self.nodes[node as usize];
                if it.life == life {
                    it.front = up && it.strategy.is_some();
                }
            }
            Ev::Fault { fault, step } => self.fault(fault, step),
            Ev::Sign { server, spell } => self.sign(server, spell),
            Ev::Look => {
                self.look();
                self.queue.push(self.now + secs(self.plan.unit), Ev::Look);
            }
            Ev::Sweep => {
                self.sweep();
                if let Some(one) = self.of_one_mind()
                    && self.minds.last().is_none_or(|(_, before)| *before != one)
                {
                    self.minds.push((self.now, one));
                }
                self.queue.push(self.now + SECOND, Ev::Sweep);
            }
        }
    }

    fn into_measured(mut self, size: Size) -> Measured {
        let work: Vec<_> = self.servers.iter().map(|server| server.done).collect();
        self.judge.tally.work_done = work.iter().sum();
        self.judge.first = self.first_found.values().copied().collect();
        self.judge.minds = std::mem::take(&mut self.minds);
        let spans = self.plan.experiment.faults.iter().map(|fault| {
            let (at, lasts) = fault.times();
            (fault.name(), secs(at), secs(at + lasts))
        });
        let names: Vec<_> =
            self.plan.classes.iter().map(|class| (class.name.clone(), class.repeat)).collect();
        let outcome = self.judge.outcome(Run {
            strategy: self.strategy,
            size: size.to_string(),
            nodes: self.nodes.len(),
            classes: &names,
            zones: &self.plan.zones,
            faults: spans.collect(),
            server_work: work,
            events: self.queue.pushed(),
            processes: Vec::new(),
        });
        Measured {
            outcome,
            response: (self.responses.0 / self.responses.1.max(1) as f64, self.responses.1),
            fates: self.fates,
        }
    }
}

/// A server's machine as it is made, whether it is there from the begin or takes another's place: its own speed, and
/// whether it can tip over, hang on its number alone.
fn machine(
    experiment: &Experiment,
    seed: u64,
    server: ServerNo,
    (zone, kind, cell): (u8, u8, u16),
    started: Option<Nanos>,
) -> Server {
    let spec = &experiment.servers;
    let mut random = chance(seed, OF_SERVER, server.into());
    let tips: f64 = random.random();
    let off = plan::spread(spec.speed_cv).map_or(1.0, |off| off.sample(&mut random));
    let mut made = Server::new(zone, kind, cell, off * spec.speeds[usize::from(kind)], started);
    made.choke = choke::Choke::new(spec.choke.is_some_and(|choke| tips < choke.share));
    made
}

fn new_node(zone: u8, weight: f64) -> Node {
    Node {
        zone,
        strategy: None,
        life: 0,
        inbox: VecDeque::new(),
        busy: 0,
        wake_set: false,
        stopped: 0,
        starved: Vec::new(),
        troubled: false,
        killed: 0,
        died: None,
        idle: BTreeMap::new(),
        told: Vec::new(),
        sent: 0,
        seen: 0,
        news: None,
        step_s: 0.0,
        offset_s: 0.0,
        front: false,
        weight,
        open: BTreeSet::new(),
        out: BTreeSet::new(),
    }
}
