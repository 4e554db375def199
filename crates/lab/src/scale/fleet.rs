//! All processes of one size: list servers, agents, hollow and real nodes. They are started in this order, told what to
//! do, asked how they stand, and ended.

use super::bounds::agents;
use super::configuration::{Own, Settings};
use super::messages::{
    AgentPlace, Begin, Datagrams, Hollow, NodePlace, NodesReport, Order, Servers, Shape, Told, Traffic,
};
use super::plan::Deed;
use super::process::Part;
use super::real::{RealNodes, StandIns};
use super::results::ScaleSize;
use super::spec::Scale;
use super::usage;
use crate::rig::Program;
use rand::Rng;
use rand::seq::SliceRandom;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// Addresses that a node knows to begin with.
const SEEDS: usize = 16;
/// Random numbers: which addresses these are, and the nodes' own.
const SEEDING: u64 = 98;
const REAL: u64 = 99;

/// The programs of a run, and where files go.
pub struct Programs {
    /// `hillpick-hollow`.
    pub part: PathBuf,
    /// `sillward`.
    pub node: Program,
    /// For the real nodes' files.
    pub folder: PathBuf,
}

/// All that runs.
pub struct Fleet {
    list_servers: Vec<Part>,
    agents: Vec<Part>,
    hollow: Vec<Part>,
    /// The real nodes.
    pub real: RealNodes,
    /// Servers behind the list.
    pub stand_ins: StandIns,
    /// The first agent.
    pub first_agent: SocketAddr,
    /// The settings' size.
    pub shape: Shape,
    most_memory: u64,
}

/// How everything stands at a moment.
#[derive(Clone, Debug, Default)]
pub struct Sample {
    /// When.
    pub at_s: f64,
    /// By list servers and agents.
    pub from_list_servers: Traffic,
    /// Likewise.
    pub from_agents: Traffic,
    /// The least version at an agent, and the greatest at a list server.
    pub agents_index: u64,
    /// Likewise.
    pub index: u64,
    /// The hollow nodes.
    pub nodes: NodesReport,
    /// By role: processor time in s, and resident memory in bytes, over all its processes.
    pub usage: BTreeMap<&'static str, (f64, f64)>,
}

/// Unix time in ms.
#[must_use]
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

impl Fleet {
    /// Starts everything, and returns when the real nodes are ready; the hollow ones may still be on the way.
    ///
    /// # Errors
    /// If something does not start.
    pub async fn start(
        scale: &Scale,
        size: &ScaleSize,
        seed: u64,
        programs: &Programs,
        most_memory: u64,
    ) -> io::Result<Self> {
        let Scale { real_nodes, seconds, .. } = *scale;
        let stand_ins = StandIns::start(scale.stand_ins, real_nodes, seed, seconds, size.routes).await?;
        let servers =
            Servers { count: size.servers, zones: scale.zones, addresses: stand_ins.addresses.clone() };
        let (mut list_servers, mut upstreams) = (Vec::new(), Vec::new());
        for _ in 0..scale.list_servers {
            let mut part = Part::start(&programs.part, &Begin::ListServer(servers.clone())).await?;
            upstreams.extend(part.listens().await?);
            list_servers.push(part);
        }
        // A machine is in one zone: so are its agent and its nodes.
        let count = agents(scale, size);
        let place = |agent: u32| AgentPlace {
            region: scale.region(scale.zone(agent)),
            upstream: upstreams[agent as usize % upstreams.len()],
        };
        let (mut agents, mut agent_addresses) = (Vec::new(), vec![None; count as usize]);
        for process in 0..scale.agent_processes.min(count) {
            let numbers: Vec<_> = (process..count).step_by(scale.agent_processes as usize).collect();
            let places = numbers.iter().map(|agent| place(*agent)).collect();
            let mut part = Part::start(&programs.part, &Begin::Agents { agents: places }).await?;
            for (number, address) in numbers.into_iter().zip(part.listens().await?) {
                agent_addresses[number as usize] = Some(address);
            }
            agents.push(part);
        }
        let agent_addresses: Vec<SocketAddr> = agent_addresses.into_iter().flatten().collect();
        let node = |number: u32| {
            let machine = number % count;
            let zone = scale.zone(machine);
            let agent = agent_addresses[machine as usize];
            NodePlace { number, zone, region: scale.region(zone), agent }
        };
        let shape = Shape {
            nodes: size.nodes,
            zones: scale.zones,
            tenants: size.tenants,
            routes: size.routes,
            probe_ms: scale.probe_ms,
            subset: scale.subset,
        };
        let (mut hollow, mut addresses) = (Vec::new(), Vec::new());
        for process in 0..scale.hollow_processes {
            let numbers = (real_nodes + process..size.nodes).step_by(scale.hollow_processes as usize);
            let nodes: Vec<_> = numbers.map(node).collect();
            if nodes.is_empty() {
                continue;
            }
            let begin = Hollow { nodes, settings: shape, arrivals_per_s: scale.arrivals_per_s, seed };
            let mut part = Part::start(&programs.part, &Begin::Hollow(begin)).await?;
            addresses.extend(part.listens().await?);
            hollow.push(part);
        }
        addresses.shuffle(&mut crate::emu::chance(seed, SEEDING, 0));
        addresses.truncate(SEEDS);
        for part in &mut hollow {
            part.order(&Order::Go { seeds: addresses.clone() }).await?;
        }
        let settings = Settings::new(shape, 0);
        let own = |number: u32| {
            let NodePlace { zone, region, agent, .. } = node(number);
            let seed = crate::emu::chance(seed, REAL, number.into()).random();
            Own { number, zone, region, discovery: agent, peers: &addresses, seed }
        };
        let places: Vec<_> = (0..real_nodes).map(own).collect();
        let within = Duration::from_secs_f64(scale.ready_within_s);
        let real = RealNodes::start(&programs.node, &programs.folder, &settings, &places, within).await?;
        let first_agent = agent_addresses[0];
        Ok(Fleet { list_servers, agents, hollow, real, stand_ins, first_agent, shape, most_memory })
    }

    /// Carries out a step of the plan. Returns when it was made, in ms of Unix time.
    ///
    /// # Errors
    /// If a part has ended.
    pub async fn carry_out(&mut self, deed: &Deed) -> io::Result<u64> {
        let since_ms = unix_ms();
        match deed {
            Deed::Servers(servers, state) => {
                let order = Order::Servers { servers: servers.clone(), state: *state, since_ms };
                tell(&mut self.list_servers, &order).await?;
            }
            Deed::Restart(nodes) => tell(&mut self.hollow, &Order::Restart { nodes: nodes.clone() }).await?,
            Deed::Kill(nodes) => tell(&mut self.hollow, &Order::Kill { nodes: nodes.clone() }).await?,
            Deed::Start(nodes) => tell(&mut self.hollow, &Order::Start { nodes: nodes.clone() }).await?,
            Deed::Cut(region, off) => {
                let order = Order::Cut { region: *region, off: *off };
                tell(&mut self.hollow, &order).await?;
                tell(&mut self.agents, &order).await?;
            }
            Deed::Settings { version, bad } => {
                let order = Order::Settings { version: *version, bad: *bad, since_ms };
                tell(&mut self.hollow, &order).await?;
            }
        }
        Ok(since_ms)
    }

    /// How everything stands.
    ///
    /// # Errors
    /// If a part or a real node has ended, or all of them hold more memory than they may.
    pub async fn sample(&mut self, begun: Instant) -> io::Result<Sample> {
        for parts in [&mut self.list_servers, &mut self.agents, &mut self.hollow] {
            tell(parts, &Order::Report).await?;
        }
        let mut sample = Sample { agents_index: u64::MAX, ..Sample::default() };
        for part in &mut self.list_servers {
            let (sent, index) = lists(part).await?;
            sample.from_list_servers.add(&sent);
            sample.index = sample.index.max(index);
        }
        for part in &mut self.agents {
            let (sent, index) = lists(part).await?;
            sample.from_agents.add(&sent);
            sample.agents_index = sample.agents_index.min(index);
        }
        sample.nodes.held_ms = u64::MAX;
        sample.nodes.settings = u32::MAX;
        for part in &mut self.hollow {
            match part.hear().await? {
                Told::Nodes(report) => sample.nodes.add(report),
                other => return Err(unexpected(&other)),
            }
        }
        sample.at_s = begun.elapsed().as_secs_f64();
        if self.real.ended() > 0 {
            return Err(io::Error::other("a real node has ended by itself"));
        }
        sample.usage = self.usage();
        let memory: f64 = sample.usage.values().map(|(_, memory)| memory).sum();
        if memory > self.most_memory as f64 {
            let (has, most) = (memory / 1e6, self.most_memory as f64 / 1e6);
            return Err(io::Error::other(format!(
                "stopped: the run holds {has:.0} MB of memory, and {most:.0} may be used"
            )));
        }
        Ok(sample)
    }

    fn usage(&self) -> BTreeMap<&'static str, (f64, f64)> {
        let ids = |parts: &[Part]| parts.iter().map(|part| part.pid).collect::<Vec<_>>();
        let roles = [
            ("list server", ids(&self.list_servers)),
            ("agent", ids(&self.agents)),
            ("hollow node", ids(&self.hollow)),
            ("real node", self.real.ids()),
        ];
        let of = |pids: Vec<u32>| {
            let processor = pids.iter().filter_map(|pid| usage::processor_s(*pid)).sum();
            let memory = pids.iter().filter_map(|pid| usage::resident(*pid)).sum::<u64>();
            (processor, memory as f64)
        };
        roles.into_iter().map(|(role, pids)| (role, of(pids))).collect()
    }

    /// Ends everything.
    pub async fn end(self) {
        self.real.end().await;
        for part in self.hollow.into_iter().chain(self.agents).chain(self.list_servers) {
            part.end().await;
        }
    }
}

async fn tell(parts: &mut [Part], order: &Order) -> io::Result<()> {
    for part in parts {
        part.order(order).await?;
    }
    Ok(())
}

async fn lists(part: &mut Part) -> io::Result<(Traffic, u64)> {
    match part.hear().await? {
        Told::Lists { sent, index } => Ok((sent, index)),
        other => Err(unexpected(&other)),
    }
}

fn unexpected(told: &Told) -> io::Error {
    io::Error::other(format!("a part of the run says something else than was asked: {told:?}"))
}

/// What each structure of a node takes at a size, measured in a process of its own.
///
/// # Errors
/// If that process fails.
pub async fn structures(program: &Path, fleet: &Fleet) -> io::Result<Vec<(String, f64)>> {
    let members = fleet.shape.nodes;
    let begin = Begin::Measure { settings: fleet.shape, agent: fleet.first_agent, members };
    let mut part = Part::start(program, &begin).await?;
    let told = part.hear().await;
    part.end().await;
    match told? {
        Told::State(state) => Ok(state),
        other => Err(unexpected(&other)),
    }
}

impl NodesReport {
    /// Adds another process's.
    pub fn add(&mut self, other: NodesReport) {
        self.running += other.running;
        self.ready += other.ready;
        self.held_ms = self.held_ms.min(other.held_ms);
        self.settings = self.settings.min(other.settings);
        self.settings_refused += other.settings_refused;
        self.agreed += other.agreed;
        self.datagrams.add(&other.datagrams);
        self.requests += other.requests;
        self.served += other.served;
        self.ready_ms.extend(other.ready_ms);
        for (view, count) in other.views {
            *self.views.entry(view).or_default() += count;
        }
        let times = [(&mut self.changes_ms, other.changes_ms), (&mut self.settings_ms, other.settings_ms)];
        for (ours, theirs) in times {
            for (made, took) in theirs {
                ours.entry(made).or_default().extend(took);
            }
        }
    }
}

/// What has been counted between two samples.
#[must_use]
pub fn datagrams_between(before: &Datagrams, after: &Datagrams) -> Datagrams {
    Datagrams {
        sent: after.sent.saturating_sub(before.sent),
        sent_bytes: after.sent_bytes.saturating_sub(before.sent_bytes),
        heard: after.heard.saturating_sub(before.heard),
        heard_bytes: after.heard_bytes.saturating_sub(before.heard_bytes),
    }
}
