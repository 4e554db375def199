//! An experiment file: the world, the strategies to compare, the faults and what is expected. This reads and checks;
//! it runs nothing.

mod faults;
mod servers;

use crate::dist::Work;
use crate::expect::Expectation;
use crate::shares::Group;
use crate::size::Size;
use crate::strategy::Kind;
pub use faults::{Direction, Fault, From, ListFault};
use serde::Deserialize;
pub use servers::{Choke, Reports, Servers};
use std::path::Path;

/// Why an experiment file can't be used. Says file, key, value and what was expected.
#[derive(Debug, thiserror::Error)]
pub enum Problem {
    /// It can't be read.
    #[error("{file}: {source}")]
    Unreadable {
        /// The file.
        file: String,
        /// What the system says.
        source: std::io::Error,
    },
    /// It is no TOML, or holds a key or a value of a kind that none of this is.
    #[error("{file}:{line}: {what}, in `{text}`")]
    Form {
        /// The file.
        file: String,
        /// The line, from 1 on.
        line: usize,
        /// Key or value, and what was expected.
        what: String,
        /// What stands in the line.
        text: String,
    },
    /// A value makes no sense.
    #[error("{file}: {key} = {value}: expected {expected}")]
    Value {
        /// The file.
        file: String,
        /// The key, with the tables that hold it.
        key: String,
        /// Its value.
        value: String,
        /// What it may be.
        expected: String,
    },
}

impl Problem {
    /// What TOML says of a text, on one line: it draws a picture of several.
    pub fn form(file: &str, text: &str, error: &toml::de::Error) -> Self {
        let at = error.span().map_or(0, |span| span.start);
        let before = text.get(..at).unwrap_or(text);
        let line = before.matches('\n').count();
        let shown = text.lines().nth(line).unwrap_or_default().trim().chars().take(80).collect();
        let what = error.message().lines().collect::<Vec<_>>().join(", ");
        Problem::Form { file: file.into(), line: line + 1, what, text: shown }
    }
}

/// An experiment.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// A short name.
    pub name: String,
    /// What is asked, in a sentence.
    pub about: String,
    /// The sizes at which it is run.
    pub sizes: Vec<Size>,
    /// How long clients come, in s. What is open then is settled after it.
    pub seconds: f64,
    /// The number of seeds; the first is 1.
    #[serde(default = "two")]
    pub seeds: u64,
    /// The strategies to compare, on the same demand.
    pub strategies: Vec<Kind>,
    /// What has to hold, or else the run fails.
    #[serde(default)]
    pub expect: Vec<Expectation>,
    /// Where things are.
    #[serde(default)]
    pub world: World,
    /// The servers.
    #[serde(default)]
    pub servers: Servers,
    /// The nodes.
    #[serde(default)]
    pub nodes: Nodes,
    /// The feed of the server list.
    #[serde(default)]
    pub list: List,
    /// Datagrams between nodes.
    #[serde(default)]
    pub peers: Peers,
    /// The classes of request.
    #[serde(default = "classes")]
    pub classes: Vec<Class>,
    /// The clients.
    #[serde(default)]
    pub clients: Clients,
    /// What goes wrong, and when.
    #[serde(default)]
    pub faults: Vec<Fault>,
}

fn two() -> u64 {
    2
}

/// Where things are, and how far apart.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct World {
    /// The zones of each region, by name.
    pub regions: Vec<Vec<String>>,
    /// One way within a zone, in ms.
    pub zone_ms: f64,
    /// One way between two zones of a region, in ms.
    pub region_ms: f64,
    /// One way between two regions, in ms.
    pub far_ms: f64,
    /// A message takes up to this part longer, by chance.
    pub jitter: f64,
}

impl Default for World {
    /// Three zones of one region, as far apart as the operators' halls.
    fn default() -> Self {
        let zones = ["a", "b", "c"].map(String::from);
        World { regions: vec![zones.to_vec()], zone_ms: 0.05, region_ms: 0.43, far_ms: 12.0, jitter: 0.25 }
    }
}

impl World {
    /// All zones, in the order of their numbers.
    pub fn zones(&self) -> Vec<&str> {
        self.regions.iter().flatten().map(String::as_str).collect()
    }

    /// The region of each zone.
    pub fn region_of(&self) -> Vec<usize> {
        let regions = self.regions.iter().enumerate();
        regions.flat_map(|(region, zones)| zones.iter().map(move |_| region)).collect()
    }
}

/// The nodes.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Nodes {
    /// The parts of the nodes in each zone; empty for the same number in each.
    pub zones: Vec<f64>,
    /// Processor time of an event, in us.
    pub cpu_us: f64,
    /// How unevenly the front spreads clients over the nodes of a zone: the coefficient of variation of the weights.
    pub uneven: f64,
    /// A node that starts serves after so long, in s.
    pub start_s: f64,
    /// Attempts at a request.
    pub attempts: u32,
    /// Whether two attempts of a request may be out at once.
    pub parallel: bool,
    /// A connection that is not up after so long has failed, in ms.
    pub connect_timeout_ms: f64,
}

impl Default for Nodes {
    fn default() -> Self {
        Nodes {
            zones: Vec::new(),
            cpu_us: 0.0,
            uneven: 0.5,
            start_s: 0.5,
            attempts: 3,
            parallel: true,
            connect_timeout_ms: 250.0,
        }
    }
}

/// The feed of the server list.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct List {
    /// A change reaches a node after a time between these two, in s.
    pub delay_s: [f64; 2],
    /// How long a node may still send to a server that drains or is gone, once told, in s.
    pub drain_grace_s: f64,
}

impl Default for List {
    fn default() -> Self {
        List { delay_s: [0.5, 2.5], drain_grace_s: 2.0 }
    }
}

/// Datagrams between nodes.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Peers {
    /// Whether there are any.
    pub allowed: bool,
    /// A datagram takes a time between these two, in ms, and so they overtake one another.
    pub delay_ms: [f64; 2],
    /// The part that is lost.
    pub loss: f64,
    /// The part that comes twice.
    pub duplicate: f64,
}

impl Default for Peers {
    fn default() -> Self {
        Peers { allowed: true, delay_ms: [1.1, 14.0], loss: 0.01, duplicate: 0.0 }
    }
}

/// How far a request may be repeated once it may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Repeat {
    /// Freely.
    Safe,
    /// Never.
    Unsafe,
    /// All servers drop a repeat.
    KeyedAll,
    /// Those of one zone do.
    KeyedZone,
    /// Those of one cell do.
    KeyedCell,
}

/// A class of requests. Its times are multiples of the unit, which is the mean work of a request.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Its name.
    pub name: String,
    /// Its part of the requests.
    pub share: f64,
    /// What a request of the mean work is worth.
    #[serde(default = "one")]
    pub worth: f64,
    /// Its mean work.
    #[serde(default = "one")]
    pub mean: f64,
    /// How work is spread.
    pub work: Work,
    /// How far one attempt's work is from another's at the same request: a coefficient of variation, log-normal. What
    /// a request says it costs knows nothing of that.
    #[serde(default)]
    pub attempt_noise: f64,
    /// An answer within this is worth its full worth, and nothing after it.
    pub aim: f64,
    /// How long a client waits, over all its tries.
    pub deadline: f64,
    /// How far it may be repeated.
    pub repeat: Repeat,
    /// How long repeats of a keyed request are dropped, in s.
    #[serde(default = "window")]
    pub window_s: f64,
}

fn one() -> f64 {
    1.0
}

fn window() -> f64 {
    12.0
}

/// The two classes of the operators' site, with their times in units of the mean work.
pub(crate) fn classes() -> Vec<Class> {
    let class = |name: &str, share, worth, mean, repeat| Class {
        name: name.into(),
        share,
        worth,
        mean,
        work: Work::Uniform { spread: 0.2 },
        attempt_noise: 0.0,
        aim: 3.7,
        deadline: 9.5,
        repeat,
        window_s: window(),
    };
    vec![class("view", 0.79, 1.0, 0.98, Repeat::Safe), class("claim", 0.21, 3.0, 1.06, Repeat::KeyedCell)]
}

/// The clients. They come whether or not they are answered.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Clients {
    /// The work that they ask for, as a part of what all servers do when warm.
    pub load: f64,
    /// Requests a second for each node. With the load it makes the unit: the mean work of a request.
    pub per_node_per_s: f64,
    /// The parts of the requests that come from each zone; empty for the same from each.
    pub zones: Vec<f64>,
    /// Further tries of a client.
    pub retries: u32,
    /// Before each further try, in units; a time between these two.
    pub wait: [f64; 2],
    /// The part of the deadline after which a try is given up; between these two.
    pub patience: [f64; 2],
    /// Whether a try that was refused comes back no sooner than it was told.
    pub obey_retry_after: bool,
    /// The longest such wait that they obey, in s; 0 if they are told none.
    pub max_retry_after_s: f64,
    /// Whether a request says what it costs.
    pub hints: bool,
    /// By what part that may be off.
    pub hint: f64,
    /// Whether clients mark their further tries.
    pub mark_retries: bool,
    /// Keys that requests concern; 0 for none.
    pub keys: u64,
    /// Tenants among whom requests are dealt; 0 for none.
    pub tenants: usize,
    /// The part of the requests that comes from each tenant; empty for the same from each. Shares are even.
    pub tenant_parts: Vec<f64>,
    /// What a request beyond its tenant's share is worth, as a part of its class's worth.
    pub over_share_worth: f64,
    /// After a node has died, the front still sends clients there for a time between these two, in s.
    pub front_notices_s: [f64; 2],
}

impl Default for Clients {
    fn default() -> Self {
        Clients {
            load: 0.6,
            per_node_per_s: 30.0,
            zones: Vec::new(),
            retries: 3,
            wait: [0.0, 1.0],
            patience: [0.3, 0.55],
            obey_retry_after: true,
            max_retry_after_s: 2.0,
            hints: true,
            hint: 0.15,
            mark_retries: false,
            keys: 0,
            tenants: 0,
            tenant_parts: Vec::new(),
            over_share_worth: 1.0,
            front_notices_s: [0.5, 2.0],
        }
    }
}

/// The longest run, and the largest world, that a file may ask for: what 4 GiB hold.
const LONGEST_S: f64 = 3_600.0;
const MOST: usize = 5_000;
const MOST_REQUESTS: f64 = 2e7;
/// The module keeps a server's memory by zone number and kind in a byte.
const MOST_ZONES: usize = 200;

impl Experiment {
    /// Reads and checks a file.
    pub fn read(path: &Path) -> Result<Self, Problem> {
        let file = path.display().to_string();
        let text = std::fs::read_to_string(path);
        let text = text.map_err(|source| Problem::Unreadable { file: file.clone(), source })?;
        Experiment::parse(&file, &text)
    }

    /// Reads and checks the text of a file; `file` is what messages call it.
    pub fn parse(file: &str, text: &str) -> Result<Self, Problem> {
        let experiment: Experiment =
            toml::from_str(text).map_err(|error| Problem::form(file, text, &error))?;
        match experiment.problem() {
            Some((key, value, expected)) => Err(Problem::Value { file: file.into(), key, value, expected }),
            None => Ok(experiment),
        }
    }

    /// How many times the usual number of clients come at the most, should all flash crowds meet.
    pub fn highest_flash(&self) -> f64 {
        let factors = self.faults.iter().filter_map(|fault| match fault {
            Fault::Flash { factor, .. } => Some(factor.max(1.0)),
            _ => None,
        });
        factors.product()
    }

    /// The first value that makes no sense: its key, itself, and what was expected.
    fn problem(&self) -> Option<(String, String, String)> {
        let mut found = Checks::default();
        found.within("seconds", self.seconds, 0.1, LONGEST_S);
        found.that("seeds", self.seeds, (1..=1000).contains(&self.seeds), "1 to 1000");
        found.that("sizes", "[]", !self.sizes.is_empty(), "at least one size, such as \"3x12\"");
        found.that("strategies", "[]", !self.strategies.is_empty(), "at least one strategy");
        for size in &self.sizes {
            let fits = (1..=MOST).contains(&size.nodes) && size.servers <= MOST;
            found.that("sizes", size, fits, "1 to 5000 nodes and up to 5000 servers");
            let requests = size.nodes as f64 * self.clients.per_node_per_s * self.seconds;
            found.that(
                "clients.per_node_per_s",
                requests,
                requests <= MOST_REQUESTS,
                "at most 2e7 requests in a run",
            );
        }
        self.check_world(&mut found);
        self.servers.check(&mut found);
        self.check_nodes(&mut found);
        self.check_traffic(&mut found);
        let zones = self.world.zones();
        for (i, fault) in self.faults.iter().enumerate() {
            let key = |name: &str| format!("faults[{i}].{name}");
            let (at, lasts) = fault.times();
            found.within(&key("at"), at, 0.0, self.seconds);
            found.within(&key("lasts"), lasts, 0.0, LONGEST_S);
            if let Some(zone) = fault.zone() {
                found.that(
                    &key("zone"),
                    zone,
                    zones.contains(&zone),
                    &format!("one of {}", zones.join(", ")),
                );
            }
            fault.shares().into_iter().for_each(|(name, share)| found.within(&key(name), share, 0.0, 1.0));
            for (name, value) in fault.positive() {
                found.that(&key(name), value, value > 0.0 && value.is_finite(), "a number over 0");
            }
            if let Some(class) = fault.class() {
                let known = self.classes.iter().any(|c| c.name == class);
                found.that(&key("class"), class, known, "the name of a class");
            }
        }
        for wanted in &self.expect {
            let kinds = wanted.strategies();
            let known = kinds.iter().all(|kind| self.strategies.contains(kind));
            found.that("expect", wanted, known, "strategies that the file compares");
            let late = !wanted.needs_late_seeing() || self.strategies.contains(&Kind::LateSeeing);
            found.that(
                "expect",
                wanted,
                late,
                "late-seeing among the strategies, against which floors are held",
            );
            let classes: Vec<_> = self.classes.iter().map(|class| class.name.as_str()).collect();
            for group in wanted.groups() {
                let (known, expected) = match group {
                    Group::Class(name) => (
                        classes.contains(&name.as_str()),
                        format!("one of the classes {}", classes.join(", ")),
                    ),
                    Group::Tenant(number) => (
                        *number < self.clients.tenants,
                        format!("a tenant below clients.tenants, which is {}", self.clients.tenants),
                    ),
                    Group::Third(_) => (true, String::new()),
                };
                found.that("expect", format!("{wanted} ({group})"), known, &expected);
            }
            let size = wanted.size.is_none_or(|size| self.sizes.contains(&size));
            found.that("expect", wanted, size, "a size that the file runs");
        }
        found.0
    }

    fn check_world(&self, found: &mut Checks) {
        let zones = self.world.zones();
        found.that("world.regions", zones.len(), (1..=MOST_ZONES).contains(&zones.len()), "1 to 200 zones");
        let mut names = zones.clone();
        names.sort_unstable();
        names.dedup();
        found.that("world.regions", zones.join(", "), names.len() == zones.len(), "each zone once");
        for (key, value) in [
            ("world.zone_ms", self.world.zone_ms),
            ("world.region_ms", self.world.region_ms),
            ("world.far_ms", self.world.far_ms),
        ] {
            found.within(key, value, 0.0, 10_000.0);
        }
        found.within("world.jitter", self.world.jitter, 0.0, 10.0);
        for (key, parts) in [
            ("servers.zones", &self.servers.zones),
            ("nodes.zones", &self.nodes.zones),
            ("clients.zones", &self.clients.zones),
        ] {
            let fits = parts.is_empty() || parts.len() == zones.len() && parts.iter().sum::<f64>() > 0.0;
            let fits = fits && parts.iter().all(|part| *part >= 0.0 && part.is_finite());
            found.that(key, format!("{parts:?}"), fits, "a part for each zone, not all 0");
        }
    }

    fn check_nodes(&self, found: &mut Checks) {
        for (key, value) in [
            ("nodes.cpu_us", self.nodes.cpu_us),
            ("nodes.uneven", self.nodes.uneven),
            ("nodes.start_s", self.nodes.start_s),
            ("nodes.connect_timeout_ms", self.nodes.connect_timeout_ms),
            ("list.delay_s", self.list.delay_s[0]),
            ("list.delay_s", self.list.delay_s[1]),
            ("list.drain_grace_s", self.list.drain_grace_s),
            ("peers.delay_ms", self.peers.delay_ms[0]),
            ("peers.delay_ms", self.peers.delay_ms[1]),
        ] {
            found.within(key, value, 0.0, 1e6);
        }
        found.within("peers.loss", self.peers.loss, 0.0, 1.0);
        found.within("peers.duplicate", self.peers.duplicate, 0.0, 1.0);
        for (key, [low, high]) in
            [("list.delay_s", self.list.delay_s), ("peers.delay_ms", self.peers.delay_ms)]
        {
            found.that(key, format!("[{low}, {high}]"), low <= high, "the lower end first");
        }
    }

    fn check_traffic(&self, found: &mut Checks) {
        let clients = &self.clients;
        found.within("clients.load", clients.load, 0.0, 100.0);
        found.within("clients.per_node_per_s", clients.per_node_per_s, 0.0, 1e6);
        found.that("clients.retries", clients.retries, clients.retries <= 100, "at most 100");
        for (key, [low, high], most) in [
            ("clients.wait", clients.wait, 1e6),
            ("clients.patience", clients.patience, 1.0),
            ("clients.front_notices_s", clients.front_notices_s, 1e6),
        ] {
            let fits = low >= 0.0 && low <= high && high <= most;
            found.that(key, format!("[{low}, {high}]"), fits, "the lower end first, and none too large");
        }
        found.that("clients.tenants", clients.tenants, clients.tenants <= 100_000, "at most 100000");
        let parts = &clients.tenant_parts;
        let fits = parts.is_empty() || parts.len() == clients.tenants && parts.iter().sum::<f64>() > 0.0;
        let fits = fits && parts.iter().all(|part| *part >= 0.0 && part.is_finite());
        found.that("clients.tenant_parts", format!("{parts:?}"), fits, "a part for each tenant, not all 0");
        found.within("clients.over_share_worth", clients.over_share_worth, 0.0, 1.0);
        found.that("classes", self.classes.len(), !self.classes.is_empty(), "at least one class");
        for (i, class) in self.classes.iter().enumerate() {
            let key = |name: &str| format!("classes[{i}].{name}");
            found.within(&key("share"), class.share, 0.0, 1e6);
            found.within(&key("worth"), class.worth, 0.0, 1e6);
            found.within(&key("mean"), class.mean, 1e-6, 1e6);
            found.within(&key("attempt_noise"), class.attempt_noise, 0.0, 10.0);
            found.within(&key("aim"), class.aim, 0.0, 1e12);
            found.that(&key("deadline"), class.deadline, class.deadline >= class.aim, "no less than the aim");
            if let Some(expected) = class.work.problem() {
                found.that(&key("work"), format!("{:?}", class.work), false, expected);
            }
        }
        let shares = self.classes.iter().map(|class| class.share).sum::<f64>();
        found.that("classes", shares, shares > 0.0, "shares that are not all 0");
    }
}

/// Keeps the first thing that is wrong.
#[derive(Default)]
struct Checks(Option<(String, String, String)>);

impl Checks {
    fn that(&mut self, key: &str, value: impl ToString, holds: bool, expected: &str) {
        if !holds && self.0.is_none() {
            self.0 = Some((key.to_string(), value.to_string(), expected.to_string()));
        }
    }

    fn within(&mut self, key: &str, value: f64, least: f64, most: f64) {
        self.that(key, value, (least..=most).contains(&value), &format!("{least} to {most}"));
    }
}
