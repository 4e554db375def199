//! What a scale run and its parts, which are processes of their own, tell each other: JSON values, a line each, over the
//! part's standard input and output.

use super::list::News;
use super::plan::State;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// The first line to a part: what it is.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Begin {
    /// A list server.
    ListServer(Servers),
    /// Agents of several machines.
    Agents {
        /// For each of them the region and the list server.
        agents: Vec<AgentPlace>,
    },
    /// Hollow nodes.
    Hollow(Hollow),
    /// Builds each structure of a node by itself and says what it takes.
    Measure {
        /// The settings.
        settings: Shape,
        /// An agent.
        agent: SocketAddr,
        /// How many members the membership holds.
        members: u32,
    },
}

/// The servers of the list.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Servers {
    /// How many.
    pub count: u32,
    /// How many zones they are in.
    pub zones: u32,
    /// Where stand-ins listen; servers share them.
    pub addresses: Vec<SocketAddr>,
}

/// Where an agent is.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct AgentPlace {
    /// Its region.
    pub region: u32,
    /// The list server that it watches.
    pub upstream: SocketAddr,
}

/// Hollow nodes of one process.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Hollow {
    /// The nodes.
    pub nodes: Vec<NodePlace>,
    /// Their settings.
    pub settings: Shape,
    /// Made-up requests a second at each.
    pub arrivals_per_s: f64,
    /// The seed of the run.
    pub seed: u64,
}

/// Where a node is.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct NodePlace {
    /// Its number in the tier.
    pub number: u32,
    /// Its zone.
    pub zone: u32,
    /// Its region.
    pub region: u32,
    /// Its agent.
    pub agent: SocketAddr,
}

/// The size of settings.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Shape {
    /// Nodes of the tier.
    pub nodes: u32,
    /// Zones.
    pub zones: u32,
    /// Tenants.
    pub tenants: u32,
    /// Routes, which are request classes.
    pub routes: u32,
    /// How often a node probes another, in ms.
    pub probe_ms: u64,
    /// How many servers of the list a node holds, if not all.
    pub subset: Option<u32>,
}

/// What a part is told to do.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Order {
    /// To a list server: servers change, all with one version.
    Servers {
        /// Which.
        servers: Vec<u32>,
        /// To what.
        state: State,
        /// When, in ms of Unix time.
        since_ms: u64,
    },
    /// To agents and hollow nodes: a region is cut off, or healed.
    Cut {
        /// The region.
        region: u32,
        /// Off, or healed.
        off: bool,
    },
    /// To hollow nodes: they all start, and know these addresses to begin with.
    Go {
        /// Addresses of members.
        seeds: Vec<SocketAddr>,
    },
    /// To hollow nodes: leave, and start anew.
    Restart {
        /// Their numbers; those of other processes are passed over.
        nodes: Vec<u32>,
    },
    /// To hollow nodes: be gone without a word.
    Kill {
        /// Their numbers.
        nodes: Vec<u32>,
    },
    /// To hollow nodes: start.
    Start {
        /// Their numbers.
        nodes: Vec<u32>,
    },
    /// To hollow nodes: read the next version of the configuration.
    Settings {
        /// Its number.
        version: u32,
        /// It is no good.
        bad: bool,
        /// When, in ms of Unix time.
        since_ms: u64,
    },
    /// Say how it stands.
    Report,
}

/// What a part says.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Told {
    /// It is there: where it listens, in the order of its list servers, agents or nodes.
    Listens(Vec<SocketAddr>),
    /// How a list server or agents stand.
    Lists {
        /// Sent by all of them.
        sent: Traffic,
        /// The least version.
        index: u64,
    },
    /// How hollow nodes stand.
    Nodes(NodesReport),
    /// What each structure takes, in bytes.
    State(Vec<(String, f64)>),
    /// It can't go on.
    Failed(String),
}

/// What has been sent in answer to calls for lists.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Traffic {
    /// Calls.
    pub calls: u64,
    /// Whole lists, and their bytes.
    pub wholes: u64,
    /// Likewise.
    pub whole_bytes: u64,
    /// Lists of changes, and their bytes.
    pub changes: u64,
    /// Likewise.
    pub change_bytes: u64,
    /// Empty lines, of one byte.
    pub heartbeats: u64,
}

impl Traffic {
    /// Counts a list.
    pub fn list(&mut self, news: &News) {
        let bytes = news.text.len() as u64;
        let (count, sum) = match news.whole {
            true => (&mut self.wholes, &mut self.whole_bytes),
            false => (&mut self.changes, &mut self.change_bytes),
        };
        *count += 1;
        *sum += bytes;
    }

    /// Adds another's.
    pub fn add(&mut self, other: &Traffic) {
        self.calls += other.calls;
        self.wholes += other.wholes;
        self.whole_bytes += other.whole_bytes;
        self.changes += other.changes;
        self.change_bytes += other.change_bytes;
        self.heartbeats += other.heartbeats;
    }
}

/// Datagrams of membership.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Datagrams {
    /// Sent, and their bytes.
    pub sent: u64,
    /// Likewise.
    pub sent_bytes: u64,
    /// Heard, and their bytes.
    pub heard: u64,
    /// Likewise.
    pub heard_bytes: u64,
}

impl Datagrams {
    /// Adds another's.
    pub fn add(&mut self, other: &Datagrams) {
        self.sent += other.sent;
        self.sent_bytes += other.sent_bytes;
        self.heard += other.heard;
        self.heard_bytes += other.heard_bytes;
    }
}

/// How the hollow nodes of a process stand.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct NodesReport {
    /// Nodes that run.
    pub running: u32,
    /// Those of them that are ready.
    pub ready: u32,
    /// The least of the latest starts of servers that each node has on its list, in ms of Unix time: all nodes hold every
    /// change up to it.
    pub held_ms: u64,
    /// The least version of the settings that a node holds.
    pub settings: u32,
    /// Settings that were refused.
    pub settings_refused: u32,
    /// How many nodes hold each view of the members: their count, and the digest.
    pub views: BTreeMap<String, u32>,
    /// How many know that they agree with nearly all others.
    pub agreed: u32,
    /// Datagrams of all of them.
    pub datagrams: Datagrams,
    /// Made-up requests, and those of them that were served.
    pub requests: u64,
    /// Likewise.
    pub served: u64,
    /// Since the last report: how long each start took until the node was ready, in ms.
    pub ready_ms: Vec<u32>,
    /// Since the last report: by when a change was made in ms of Unix time, how long it took at each node, in ms.
    pub changes_ms: BTreeMap<u64, Vec<u32>>,
    /// The same for settings.
    pub settings_ms: BTreeMap<u64, Vec<u32>>,
}
