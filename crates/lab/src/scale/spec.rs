//! The file of a scale run: sizes, load and troubles. Read, checked, and bounded before anything is started.

use super::results::ScaleSize;
use crate::spec::Problem;
use hillpick::control::config::MAX_SUBSET;
use serde::Deserialize;
use std::path::Path;

/// The most seconds that a run may take, all its points together.
pub const LONGEST_RUN_S: f64 = 300.0;
/// Zones are numbered by bytes in the settings.
const MOST_ZONES: u32 = 250;

/// A scale run.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scale {
    /// The file's name without `.toml`; it names the results.
    #[serde(skip)]
    pub name: String,
    /// What it is for, in a line.
    pub about: String,
    /// The seed of the plan.
    #[serde(default = "one")]
    pub seed: u64,
    /// So long each point is measured, in s.
    pub seconds: f64,
    /// Between readiness and the measurement, in s: membership settles.
    #[serde(default = "settle_s")]
    pub settle_s: f64,
    /// All nodes have to be ready within this, in s.
    #[serde(default = "ready_within_s")]
    pub ready_within_s: f64,
    /// After the last change, all nodes have to hold it and one view of the members within this, in s.
    #[serde(default = "ready_within_s")]
    pub agree_within_s: f64,
    /// The size, but for the dimension that is swept.
    pub size: ScaleSize,
    /// The dimension that is swept, if one is.
    pub sweep: Option<Sweep>,
    /// What goes wrong.
    #[serde(default)]
    pub troubles: Vec<Trouble>,
    /// What figures of each point have to be.
    #[serde(default)]
    pub expect: Vec<Expectation>,
    /// Real node processes among the nodes.
    #[serde(default)]
    pub real_nodes: u32,
    /// Requests a second by the clients, over all real nodes.
    #[serde(default = "requests_per_s")]
    pub requests_per_s: f64,
    /// Made-up requests a second at each hollow node.
    #[serde(default = "one_per_s")]
    pub arrivals_per_s: f64,
    /// Processes that the hollow nodes share.
    #[serde(default = "hollow_processes")]
    pub hollow_processes: u32,
    /// Processes that the agents share.
    #[serde(default = "one_process")]
    pub agent_processes: u32,
    /// Nodes on a machine, which has one agent.
    #[serde(default = "nodes_per_agent")]
    pub nodes_per_agent: u32,
    /// List servers, each a process.
    #[serde(default = "list_servers")]
    pub list_servers: u32,
    /// Stand-ins that the listed servers' addresses lead to.
    #[serde(default = "stand_ins")]
    pub stand_ins: u32,
    /// How often a node probes another, in ms.
    #[serde(default = "probe_ms")]
    pub probe_ms: u64,
    /// How many servers of the list a node holds; without it all.
    pub subset: Option<u32>,
    /// Regions, and zones over all of them.
    #[serde(default = "regions")]
    pub regions: u32,
    /// Likewise.
    #[serde(default = "zones")]
    pub zones: u32,
}

/// A figure, and the bounds that it has to keep.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Expectation {
    /// Whose figure, as results have it.
    pub role: String,
    /// Its name.
    pub figure: String,
    /// The least that it may be.
    pub least: Option<f64>,
    /// The most.
    pub most: Option<f64>,
}

impl Expectation {
    /// Whether a value keeps the bounds; one that was not measured does not.
    #[must_use]
    pub fn holds(&self, value: Option<f64>) -> bool {
        let keeps = |value: f64| {
            self.least.is_none_or(|least| value >= least) && self.most.is_none_or(|most| value <= most)
        };
        value.is_some_and(keeps)
    }
}

/// A dimension, or two together, at some values, the largest last.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Sweep {
    /// Which.
    pub over: Dimension,
    /// Its values, ascending.
    pub values: Vec<f64>,
    /// With `servers+tenants`: tenants for each value of servers.
    #[serde(default)]
    pub tenants: Vec<u32>,
}

/// What a sweep varies.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
pub enum Dimension {
    /// Nodes.
    #[serde(rename = "nodes")]
    Nodes,
    /// Servers.
    #[serde(rename = "servers")]
    Servers,
    /// Tenants.
    #[serde(rename = "tenants")]
    Tenants,
    /// Routes.
    #[serde(rename = "routes")]
    Routes,
    /// Changes of the list a second.
    #[serde(rename = "changes_per_s")]
    Changes,
    /// Restarts of nodes a second.
    #[serde(rename = "restarts_per_s")]
    Restarts,
    /// Servers, with tenants growing beside them.
    #[serde(rename = "servers+tenants")]
    ServersAndTenants,
}

impl Dimension {
    /// Its name in files.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Dimension::Nodes => "nodes",
            Dimension::Servers => "servers",
            Dimension::Tenants => "tenants",
            Dimension::Routes => "routes",
            Dimension::Changes => "changes_per_s",
            Dimension::Restarts => "restarts_per_s",
            Dimension::ServersAndTenants => "servers+tenants",
        }
    }

    /// A size's place on it.
    #[must_use]
    pub fn of(self, size: &ScaleSize) -> f64 {
        match self {
            Dimension::Nodes => f64::from(size.nodes),
            Dimension::Servers | Dimension::ServersAndTenants => f64::from(size.servers),
            Dimension::Tenants => f64::from(size.tenants),
            Dimension::Routes => f64::from(size.routes),
            Dimension::Changes => size.changes_per_s,
            Dimension::Restarts => size.restarts_per_s,
        }
    }
}

/// Something that goes wrong, at a time in s after the begin of the measurement.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case", deny_unknown_fields)]
pub enum Trouble {
    /// Servers and hollow nodes go without a word, and are back later: a rack, or a zone.
    Lost {
        /// When.
        at: f64,
        /// For how long.
        lasts: f64,
        /// So many servers.
        servers: u32,
        /// So many nodes.
        nodes: u32,
    },
    /// A part of the hollow nodes is restarted, evenly over a time.
    Restarts {
        /// When.
        at: f64,
        /// Over how long.
        within: f64,
        /// Which part of the nodes.
        part: f64,
    },
    /// A region is cut off: its nodes' datagrams to others and theirs to it are lost, and its agents hear no list server.
    RegionCut {
        /// When.
        at: f64,
        /// For how long.
        lasts: f64,
        /// Which, from 0.
        region: u32,
    },
    /// The configuration changes many times at the hollow nodes; one of the changes, in the middle, is bad.
    Settings {
        /// When.
        at: f64,
        /// Over how long.
        within: f64,
        /// How often.
        count: u32,
    },
}

impl Trouble {
    /// When it is over.
    #[must_use]
    pub fn ends(&self) -> f64 {
        match self {
            Trouble::Lost { at, lasts, .. } | Trouble::RegionCut { at, lasts, .. } => at + lasts,
            Trouble::Restarts { at, within, .. } | Trouble::Settings { at, within, .. } => at + within,
        }
    }
}

fn one() -> u64 {
    1
}
fn settle_s() -> f64 {
    5.0
}
fn ready_within_s() -> f64 {
    30.0
}
fn requests_per_s() -> f64 {
    20.0
}
fn one_per_s() -> f64 {
    1.0
}
fn hollow_processes() -> u32 {
    4
}
fn one_process() -> u32 {
    1
}
fn nodes_per_agent() -> u32 {
    20
}
fn list_servers() -> u32 {
    2
}
fn stand_ins() -> u32 {
    16
}
fn probe_ms() -> u64 {
    1000
}
fn regions() -> u32 {
    4
}
fn zones() -> u32 {
    9
}

impl Scale {
    /// Reads and checks a file.
    ///
    /// # Errors
    /// If it can't be read, is no such file, or asks for what makes no sense; the error says in a line what stands where
    /// and what was expected.
    pub fn read(file: &Path) -> Result<Self, Problem> {
        let shown = file.display().to_string();
        let text = std::fs::read_to_string(file)
            .map_err(|source| Problem::Unreadable { file: shown.clone(), source })?;
        let mut it: Scale = toml::from_str(&text).map_err(|e| Problem::form(&shown, &text, &e))?;
        it.name = file.file_stem().unwrap_or_default().to_string_lossy().into_owned();
        it.check(&shown)?;
        Ok(it)
    }

    /// Whether all values make sense.
    ///
    /// # Errors
    /// The first that does not.
    pub fn check(&self, file: &str) -> Result<(), Problem> {
        let wrong = |key: &str, value: String, expected: String| {
            Err(Problem::Value { file: file.into(), key: key.into(), value, expected })
        };
        let within = |key: &str, value: f64, least: f64, most: f64| {
            if (least..=most).contains(&value) {
                return Ok(());
            }
            wrong(key, value.to_string(), format!("{least} to {most}"))
        };
        within("seconds", self.seconds, 1.0, LONGEST_RUN_S)?;
        within("settle_s", self.settle_s, 0.0, 120.0)?;
        within("ready_within_s", self.ready_within_s, 1.0, 120.0)?;
        within("agree_within_s", self.agree_within_s, 1.0, 120.0)?;
        within("requests_per_s", self.requests_per_s, 0.0, 2_000.0)?;
        within("arrivals_per_s", self.arrivals_per_s, 0.0, 1_000.0)?;
        within("probe_ms", self.probe_ms as f64, 100.0, 60_000.0)?;
        let subset = self.subset.unwrap_or(hillpick::LEAST_SUBSET as u32);
        within("subset", f64::from(subset), hillpick::LEAST_SUBSET as f64, MAX_SUBSET as f64)?;
        within("zones", f64::from(self.zones), 1.0, f64::from(MOST_ZONES))?;
        within("regions", f64::from(self.regions), 1.0, f64::from(self.zones))?;
        let counts = [
            ("hollow_processes", self.hollow_processes),
            ("agent_processes", self.agent_processes),
            ("nodes_per_agent", self.nodes_per_agent),
            ("list_servers", self.list_servers),
            ("stand_ins", self.stand_ins),
        ];
        for (key, count) in counts {
            within(key, f64::from(count), 1.0, 4_000.0)?;
        }
        for size in self.sizes() {
            within("size.nodes", f64::from(size.nodes), f64::from(self.real_nodes + 1), 100_000.0)?;
            within("size.servers", f64::from(size.servers), 1.0, 1e6)?;
            within("size.tenants", f64::from(size.tenants), 0.0, 1e6)?;
            within("size.routes", f64::from(size.routes), 1.0, 1e6)?;
            within("size.changes_per_s", size.changes_per_s, 0.0, 1_000.0)?;
            within("size.restarts_per_s", size.restarts_per_s, 0.0, 1_000.0)?;
        }
        if let Some(sweep) = &self.sweep {
            let ascending = sweep.values.windows(2).all(|pair| pair[0] < pair[1]);
            if sweep.values.len() < 4 || !ascending {
                return wrong(
                    "sweep.values",
                    format!("{:?}", sweep.values),
                    "four or more, ascending".into(),
                );
            }
            let pairs = if sweep.over == Dimension::ServersAndTenants { sweep.values.len() } else { 0 };
            if sweep.tenants.len() != pairs {
                return wrong(
                    "sweep.tenants",
                    format!("{:?}", sweep.tenants),
                    format!("{pairs} values, one for each of sweep.values with `servers+tenants`"),
                );
            }
        }
        for expected in &self.expect {
            if expected.least.is_none() && expected.most.is_none() {
                return wrong("expect", expected.figure.clone(), "`least`, `most` or both beside it".into());
            }
        }
        for trouble in &self.troubles {
            within("troubles.at", trouble.ends(), 0.0, self.seconds)?;
            match trouble {
                Trouble::Restarts { part, .. } => within("troubles.part", *part, 0.0, 1.0)?,
                Trouble::RegionCut { region, .. } => {
                    within("troubles.region", f64::from(*region), 0.0, f64::from(self.regions - 1))?;
                }
                Trouble::Lost { servers, nodes, .. } => {
                    for size in self.sizes() {
                        let hollow = size.nodes - self.real_nodes;
                        within("troubles.servers", f64::from(*servers), 0.0, f64::from(size.servers))?;
                        within("troubles.nodes", f64::from(*nodes), 0.0, f64::from(hollow - 1))?;
                    }
                }
                Trouble::Settings { count, .. } => within("troubles.count", f64::from(*count), 3.0, 1_000.0)?,
            }
        }
        Ok(())
    }

    /// The sizes that are measured, in their order.
    #[must_use]
    pub fn sizes(&self) -> Vec<ScaleSize> {
        let Some(sweep) = &self.sweep else { return vec![self.size] };
        let at = |(place, value): (usize, &f64)| {
            let mut size = self.size;
            match sweep.over {
                Dimension::Nodes => size.nodes = *value as u32,
                Dimension::Servers => size.servers = *value as u32,
                Dimension::Tenants => size.tenants = *value as u32,
                Dimension::Routes => size.routes = *value as u32,
                Dimension::Changes => size.changes_per_s = *value,
                Dimension::Restarts => size.restarts_per_s = *value,
                Dimension::ServersAndTenants => {
                    size.servers = *value as u32;
                    size.tenants = sweep.tenants.get(place).copied().unwrap_or(size.tenants);
                }
            }
            size
        };
        sweep.values.iter().enumerate().map(at).collect()
    }

    /// The zone of a node or server by its number.
    #[must_use]
    pub fn zone(&self, number: u32) -> u32 {
        number % self.zones
    }

    /// The region of a zone.
    #[must_use]
    pub fn region(&self, zone: u32) -> u32 {
        zone % self.regions
    }
}

#[cfg(test)]
mod tests;
