//! The size that the page is reckoned for, as `docs/capacity.toml` states it.

use super::decisions::Meeting;
use super::decisions::cold::ColdServer;
use crate::scale::configuration::{Own, Settings};
use crate::scale::messages::Shape;
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::OnceLock;

/// The whole file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Capacity {
    /// How many there are of what.
    pub fleet: Fleet,
    /// What must hold.
    pub bounds: Bounds,
    /// What an ordinary day brings.
    pub day: Day,
    /// What the operators don't state at this size.
    pub assumed: Assumed,
    /// What the operators measured themselves at one node.
    pub first_look: Vec<FirstLook>,
    /// The length of a node's configuration, once it has been written.
    #[serde(skip)]
    settings_bytes: OnceLock<f64>,
}

/// How many there are of what.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
#[allow(missing_docs)] // the names say it
pub struct Fleet {
    pub nodes: f64,
    pub servers: f64,
    pub services: f64,
    pub requests_per_s: f64,
    pub routes: f64,
    pub tenants: f64,
    pub regions: f64,
    pub zones: f64,
    pub control_machines: f64,
}

/// What must hold.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bounds {
    /// Added to 99 in 100 requests, in ms.
    pub added_ms: f64,
    /// A change of the configuration is in force everywhere, in s.
    pub in_force_s: f64,
    /// A node is ready after its start, in s.
    pub ready_s: f64,
    /// Processor time of a node for control, as a share of a core.
    pub core_share: f64,
    /// Memory of a node for control, in MB.
    pub memory_mb: f64,
    /// Bytes a second of a node for control.
    pub control_bytes_per_s: f64,
}

/// What an ordinary day brings.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Day {
    /// Machines that fail.
    pub failures: f64,
    /// Machines that are restarted or replaced.
    pub restarts: f64,
    /// Servers of a rack that goes at once.
    pub rack_servers: f64,
    /// Changes of configuration.
    pub changes: f64,
    /// For how long regions are apart, in s.
    pub region_cut_s: f64,
}

/// What the operators don't state at this size; the file says where each figure is from.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Assumed {
    /// The share of its capacity that a server is asked for.
    pub load: f64,
    /// After how long servers close idle connections, in s: the values to reckon with.
    pub idle_close_s: Vec<f64>,
    /// The share of its capacity that a server has when it starts.
    pub cold_share: f64,
    /// When it is warm, in s.
    pub warm_after_s: f64,
    /// What a cold server may be sent, in what it can do then.
    pub overload_factor: f64,
    /// For how long, in s.
    pub overload_time_s: f64,
    /// What a probe costs, in requests.
    pub probe_price: f64,
    /// The work of a probe, in ms.
    pub probe_work_ms: f64,
    /// The spread of nodes' rates: standard deviation over mean.
    pub uneven: f64,
    /// Attempts a request.
    pub max_attempts: u32,
    /// Numbers of servers that a node uses: the rows of the tables by subset.
    pub subsets: Vec<f64>,
    /// Numbers of nodes that see a tenant: the rows of the table of allowances.
    pub tenant_nodes: Vec<f64>,
}

/// One row of the operators' first look.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FirstLook {
    /// Servers listed.
    pub servers: f64,
    /// Tenants in the settings.
    pub tenants: f64,
    /// Routes in the settings.
    pub routes: f64,
    /// The list, in MB.
    pub list_mb: Option<f64>,
    /// Until ready, in s; none if that was not reached.
    pub ready_s: Option<f64>,
    /// Processor time until then, or until the look ended, in s.
    pub processor_s: f64,
    /// Steady memory of the process, in MB.
    pub memory_mb: f64,
}

/// Why there is no size to reckon with.
#[derive(Debug, thiserror::Error)]
pub enum NoSize {
    /// The file can't be read: name another by `--size`, or run from the root of the repository.
    #[error("{path}: {source}; run from the root of the repository, or name the file by --size")]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// What the system says.
        source: std::io::Error,
    },
    /// It is not of the form of `docs/capacity.toml`.
    #[error("{path}: {source}")]
    Malformed {
        /// The file.
        path: PathBuf,
        /// Where and why.
        source: toml::de::Error,
    },
    /// A figure that is divided by is none.
    #[error("{path}: {figure} has to be a finite number above 0")]
    NotPositive {
        /// The file.
        path: PathBuf,
        /// Which.
        figure: &'static str,
    },
}

impl Capacity {
    /// Reads and checks the file.
    ///
    /// # Errors
    /// If it can't be read, is malformed, or holds a figure that nothing can be reckoned with.
    pub fn read(path: &Path) -> Result<Self, NoSize> {
        let text = std::fs::read_to_string(path)
            .map_err(|source| NoSize::Unreadable { path: path.into(), source })?;
        let size: Capacity =
            toml::from_str(&text).map_err(|source| NoSize::Malformed { path: path.into(), source })?;
        match size.not_positive() {
            Some(figure) => Err(NoSize::NotPositive { path: path.into(), figure }),
            None => Ok(size),
        }
    }

    fn not_positive(&self) -> Option<&'static str> {
        let Capacity { fleet, bounds, assumed, .. } = self;
        let figures = [
            ("fleet.nodes", fleet.nodes),
            ("fleet.servers", fleet.servers),
            ("fleet.services", fleet.services),
            ("fleet.requests_per_s", fleet.requests_per_s),
            ("fleet.routes", fleet.routes),
            ("fleet.tenants", fleet.tenants),
            ("fleet.regions", fleet.regions),
            ("fleet.zones", fleet.zones),
            ("fleet.control_machines", fleet.control_machines),
            ("bounds.in_force_s", bounds.in_force_s),
            ("bounds.ready_s", bounds.ready_s),
            ("bounds.core_share", bounds.core_share),
            ("bounds.memory_mb", bounds.memory_mb),
            ("bounds.control_bytes_per_s", bounds.control_bytes_per_s),
            ("assumed.load", assumed.load),
            ("assumed.cold_share", assumed.cold_share),
            ("assumed.warm_after_s", assumed.warm_after_s),
            ("assumed.overload_factor", assumed.overload_factor),
            ("assumed.overload_time_s", assumed.overload_time_s),
            ("assumed.probe_price", assumed.probe_price),
        ];
        let lists = [
            ("assumed.idle_close_s", &assumed.idle_close_s),
            ("assumed.subsets", &assumed.subsets),
            ("assumed.tenant_nodes", &assumed.tenant_nodes),
        ];
        let wrong = |value: f64| !value.is_finite() || value <= 0.0;
        let one = figures.into_iter().find(|(_, value)| wrong(*value)).map(|(figure, _)| figure);
        let several =
            lists.into_iter().find(|(_, all)| all.is_empty() || all.iter().any(|value| wrong(*value)));
        one.or(several.map(|(figure, _)| figure))
    }

    /// Requests a second at one node.
    pub fn per_node_s(&self) -> f64 {
        self.fleet.requests_per_s / self.fleet.nodes
    }

    /// Requests a second at one server.
    pub fn per_server_s(&self) -> f64 {
        self.fleet.requests_per_s / self.fleet.servers
    }

    /// The time of an answer in s, taken for the work that a server of one core has at this rate and load.
    pub fn answer_s(&self) -> f64 {
        self.assumed.load / self.per_server_s()
    }

    /// How a node meets servers, where it spreads its requests over so many.
    pub fn meeting(&self, subset: f64) -> Meeting {
        let Fleet { nodes, servers, .. } = self.fleet;
        Meeting { nodes, servers, per_node_s: self.per_node_s(), subset }
    }

    /// A server that has just started.
    pub fn cold_server(&self) -> ColdServer {
        let it = &self.assumed;
        ColdServer {
            capacity_per_s: self.per_server_s() / it.load,
            cold_share: it.cold_share,
            warm_after_s: it.warm_after_s,
            overload_factor: it.overload_factor,
            overload_time_s: it.overload_time_s,
            load: it.load,
        }
    }

    /// Bytes of a node's configuration, as the scale run writes it, at full size.
    pub fn settings_bytes(&self) -> f64 {
        *self.settings_bytes.get_or_init(|| {
            let Fleet { nodes, zones, tenants, routes, .. } = self.fleet;
            let [nodes, zones, tenants, routes] = [nodes, zones, tenants, routes].map(|it| it as u32);
            let settings =
                Settings::new(Shape { nodes, zones, tenants, routes, probe_ms: 1000, subset: None }, 0);
            let discovery = SocketAddr::from(([127, 0, 0, 1], 8500));
            let own = Own { number: 0, zone: 0, region: 0, discovery, peers: &[], seed: 1 };
            settings.text(&own).len() as f64
        })
    }

    /// A dimension of the scale run at full size, by its name there; none for one that has no full size of its own.
    pub fn dimension(&self, name: &str) -> Option<f64> {
        let Fleet { nodes, servers, routes, tenants, .. } = self.fleet;
        match name {
            "nodes" => Some(nodes),
            "servers" => Some(servers),
            "routes" => Some(routes),
            "tenants" => Some(tenants),
            "changes_per_s" => Some(self.list_changes_per_s()),
            "restarts_per_s" => Some(self.node_restarts_per_s()),
            _ => None,
        }
    }

    /// The part of all machines that are servers: failures and restarts are taken to fall on all alike.
    pub fn part_of_servers(&self) -> f64 {
        self.fleet.servers / (self.fleet.servers + self.fleet.nodes)
    }

    /// Changes of the server list a second over the ordinary day. A server that fails is taken off and listed again; one that
    /// restarts drains, goes and is listed again.
    pub fn list_changes_per_s(&self) -> f64 {
        let Day { failures, restarts, .. } = self.day;
        (2.0 * failures + 3.0 * restarts) * self.part_of_servers() / DAY_S
    }

    /// Starts of nodes a second over the ordinary day.
    pub fn node_restarts_per_s(&self) -> f64 {
        (self.day.failures + self.day.restarts) * (1.0 - self.part_of_servers()) / DAY_S
    }
}

/// The seconds of a day.
pub const DAY_S: f64 = 86_400.0;
