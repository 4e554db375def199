//! What a run will take, reckoned before it starts, and what it may take. A run that does not fit is refused, with the
//! size that would.

use super::results::ScaleSize;
use super::spec::{LONGEST_RUN_S, Scale};
use super::usage;
use std::fmt;

/// Processes at most.
pub const MOST_PROCESSES: u64 = 200;
/// Descriptors of a process for all but connections and datagrams.
const SPARE_DESCRIPTORS: u64 = 64;
/// What runs take more than reckoned: the reckoning is of steady sizes, and a start has texts and trees beside them.
const MARGIN: f64 = 1.5;
/// Bytes of a hollow node without servers, tenants, routes and members; measured with one server (400 kB), rounded up.
const NODE: f64 = 5e5;
/// Bytes for each server in a node, from a real node's resident memory: 26 MB at 31,000.
const NODE_SERVER: f64 = 850.0;
/// For each server that a node lists and does not hold, likewise; a list on its way takes it.
const NODE_LISTED: f64 = 400.0;
/// For each tenant, likewise: 19 MB at 110,000.
const NODE_TENANT: f64 = 175.0;
/// For each route, likewise: 26 MB at 22,000.
const NODE_ROUTE: f64 = 1_200.0;
/// For each member, likewise.
const NODE_MEMBER: f64 = 1_000.0;
/// For each server in an agent or list server: its line, its name and its place, and the text of all of them.
const LIST_SERVER: f64 = 600.0;
/// Of a process.
const PROCESS: f64 = 8e6;
/// Of a real node, empty.
const REAL: f64 = 6e6;

/// What a size takes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Need {
    /// Bytes.
    pub memory: u64,
    /// Processes.
    pub processes: u64,
    /// Descriptors of the process that needs most of them.
    pub descriptors: u64,
    /// Ports.
    pub ports: u64,
    /// The run's time in s, all points together, at the most.
    pub seconds: f64,
}

/// What the machine lets a run have.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Room {
    /// Half of its memory in bytes.
    pub memory: u64,
    /// Descriptors of a process, by the limit in force.
    pub descriptors: u64,
    /// Ports, half of those that the system gives out.
    pub ports: u64,
}

/// Why a run is refused.
#[derive(Debug, thiserror::Error)]
pub struct Refused {
    what: &'static str,
    needs: f64,
    has: f64,
    size: ScaleSize,
    fits: Option<u32>,
}

impl fmt::Display for Refused {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Refused { what, needs, has, size, fits } = self;
        let ScaleSize { nodes, servers, tenants, routes, .. } = size;
        write!(
            out,
            "{nodes} nodes before {servers} servers, {tenants} tenants and {routes} routes need {needs:.0} {what}, \
             and {has:.0} may be used: "
        )?;
        match fits {
            Some(fits) => write!(out, "{fits} nodes would fit; set size.nodes or the sweep to that"),
            None => write!(out, "no number of nodes would fit; lower servers, tenants or seconds"),
        }
    }
}

impl Room {
    /// This machine's. What it does not tell is taken as small.
    #[must_use]
    pub fn here() -> Self {
        let limit = rustix::process::getrlimit(rustix::process::Resource::Nofile).current;
        Room {
            memory: usage::machine_memory().unwrap_or(1 << 30) / 2,
            descriptors: limit.unwrap_or(u64::MAX),
            ports: usage::free_ports().unwrap_or(10_000) / 2,
        }
    }
}

/// Agents of a size.
#[must_use]
pub fn agents(scale: &Scale, size: &ScaleSize) -> u32 {
    size.nodes.div_ceil(scale.nodes_per_agent)
}

/// What a size takes.
#[must_use]
pub fn need(scale: &Scale, size: &ScaleSize) -> Need {
    let (nodes, servers) = (f64::from(size.nodes), f64::from(size.servers));
    let held = scale.subset.map_or(servers, |subset| servers.min(f64::from(subset) * f64::from(scale.zones)));
    let node = NODE
        + held * NODE_SERVER
        + (servers - held) * NODE_LISTED
        + f64::from(size.tenants) * NODE_TENANT
        + f64::from(size.routes) * NODE_ROUTE
        + nodes * NODE_MEMBER;
    let agents = u64::from(agents(scale, size));
    let lists = agents as f64 + f64::from(scale.list_servers);
    let real = u64::from(scale.real_nodes);
    let parts = u64::from(scale.list_servers + scale.agent_processes + scale.hollow_processes) + 1;
    let memory = nodes * node + lists * servers * LIST_SERVER + parts as f64 * PROCESS + real as f64 * REAL;
    let hollow = u64::from(size.nodes).saturating_sub(real);
    let per_process = |all: u64, processes: u32| all.div_ceil(u64::from(processes.max(1)));
    let descriptors = [
        2 * per_process(hollow, scale.hollow_processes),
        per_process(agents, scale.agent_processes) * (2 + u64::from(scale.nodes_per_agent)),
        agents,
        u64::from(scale.stand_ins) + 8 * real * u64::from(scale.stand_ins) + parts * 3,
    ];
    let points = scale.sizes().len() as f64;
    // Processes' starts, and the ends of membership's and list's news; most points need far less.
    let each = scale.seconds + scale.settle_s + 5.0;
    Need {
        memory: (memory * MARGIN) as u64,
        processes: parts + 2 * real, // each real node has a guard before it becomes the node
        descriptors: descriptors.into_iter().max().unwrap_or_default() + SPARE_DESCRIPTORS,
        ports: hollow * 2 + agents * 2 + real * (4 + u64::from(scale.stand_ins)),
        seconds: points * each,
    }
}

/// Whether all sizes of a run fit.
///
/// # Errors
/// The first that does not, and what would.
pub fn check(scale: &Scale, room: &Room) -> Result<(), Refused> {
    for size in scale.sizes() {
        if let Some((what, needs, has)) = lacks(scale, &size, room) {
            let smaller = |nodes: &u32| {
                let size = ScaleSize { nodes: *nodes, ..size };
                lacks(scale, &size, room).is_none()
            };
            let fits = (scale.real_nodes + 1..size.nodes).rev().find(smaller);
            return Err(Refused { what, needs, has, size, fits });
        }
    }
    Ok(())
}

fn lacks(scale: &Scale, size: &ScaleSize, room: &Room) -> Option<(&'static str, f64, f64)> {
    let need = need(scale, size);
    let all = [
        ("MB of memory", need.memory as f64 / 1e6, room.memory as f64 / 1e6),
        ("processes", need.processes as f64, MOST_PROCESSES as f64),
        ("descriptors in a process", need.descriptors as f64, room.descriptors as f64),
        ("ports", need.ports as f64, room.ports as f64),
        ("seconds", need.seconds, LONGEST_RUN_S),
    ];
    all.into_iter().find(|(_, needs, has)| needs > has)
}

#[cfg(test)]
mod tests;
