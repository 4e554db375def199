//! A rig's file: how many real processes, what load, what goes wrong between them. Read and checked, and bounded: a rig
//! never asks more of its machine than these limits.

use crate::expect::Expectation;
use crate::spec::{Class, Direction, Problem};
use serde::Deserialize;
use std::path::Path;

/// A rig.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rig {
    /// A short name.
    pub name: String,
    /// What is asked, in a sentence.
    pub about: String,
    /// Node processes.
    pub nodes: usize,
    /// Stand-in servers.
    pub servers: usize,
    /// The zones, among which nodes, servers and clients are dealt in turn.
    #[serde(default = "zones")]
    pub zones: Vec<String>,
    /// How long clients come, in s.
    pub seconds: f64,
    /// For demand, faults and the nodes' own chance.
    #[serde(default = "one")]
    pub seed: u64,
    /// Requests a second, over all nodes.
    pub requests_per_s: f64,
    /// Mean work of a request, in ms: the unit of the classes' times.
    pub work_ms: f64,
    /// The classes.
    #[serde(default = "crate::spec::classes")]
    pub classes: Vec<Class>,
    /// Further tries of a client.
    #[serde(default)]
    pub retries: u32,
    /// Whether the nodes take part in membership, and how often one probes another, in ms.
    #[serde(default)]
    pub probe_ms: Option<u64>,
    /// At the end, all nodes have to hold the same view of all that run within so long, in s.
    #[serde(default)]
    pub one_view_s: Option<f64>,
    /// Whether the nodes go by zones.
    #[serde(default)]
    pub by_zone: bool,
    /// How discovery lays out its lists.
    #[serde(default)]
    pub list_form: ListForm,
    /// What has to hold.
    #[serde(default)]
    pub expect: Vec<Expectation>,
    /// What goes wrong.
    #[serde(default)]
    pub faults: Vec<Fault>,
}

fn one() -> u64 {
    1
}

fn zones() -> Vec<String> {
    ["a", "b", "c"].map(String::from).to_vec()
}

/// The two ends of a path.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Between {
    /// Clients and nodes.
    ClientNode,
    /// Nodes and servers.
    NodeServer,
    /// Nodes and discovery.
    NodeDiscovery,
    /// Nodes among themselves: datagrams.
    NodeNode,
}

/// What a path does wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum How {
    /// It takes `delay_ms` longer.
    Delay,
    /// It says nothing, and tells all that it held when the fault ends.
    Hold,
    /// What is sent is gone, and connections that lost something are reset when the fault ends.
    Drop,
    /// Connections are reset once, at the begin.
    Reset,
    /// A part `loss` of the datagrams is gone.
    Loss,
}

/// How a list is laid out.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ListForm {
    /// A line for each.
    #[default]
    Lines,
    /// Indented, over many lines.
    Indented,
    /// A line, in pieces of one byte.
    Bytes,
}

/// How the agent on a node's machine fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Down {
    /// It takes calls and says nothing, in open watches as well, and goes on when the fault ends.
    Silent,
    /// It begins to answer and says nothing more. Watches are silent for good.
    MuteAfterHead,
    /// It writes half a list, and empty lines after it. Watches stay so for good.
    MidLine,
    /// It ends watches and breaks off calls.
    Refuse,
}

/// Something that goes wrong from `at` on, in s, for as long as it `lasts`; `part` of the nodes or servers, by chance.
#[allow(missing_docs)] // the fields are those words
#[derive(Clone, Debug, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case", deny_unknown_fields)]
pub enum Fault {
    /// Nodes get SIGKILL, and start again when it ends.
    Kill { at: f64, lasts: f64, part: f64 },
    /// Nodes get SIGTERM, and start again when they have gone.
    Term { at: f64, lasts: f64, part: f64 },
    /// Nodes get SIGSTOP, and SIGCONT when it ends.
    Stop { at: f64, lasts: f64, part: f64 },
    /// Servers die, and come back when it ends.
    Crash { at: f64, lasts: f64, part: f64 },
    /// Servers take longer by a factor.
    Slow { at: f64, lasts: f64, part: f64, factor: f64 },
    /// Servers answer a part of the requests with errors.
    Erring { at: f64, lasts: f64, part: f64, errors: f64 },
    /// Servers drain, are gone when it ends, and come back as new processes.
    Drain { at: f64, lasts: f64, part: f64 },
    /// The agents of nodes fail: what discovery has to tell comes late.
    Discovery { at: f64, lasts: f64, part: f64, how: Down },
    /// The paths of nodes go wrong; to servers and nodes of other zones only, if `across` is set.
    Path {
        at: f64,
        lasts: f64,
        part: f64,
        between: Between,
        how: How,
        #[serde(default)]
        direction: Direction,
        #[serde(default)]
        zone: Option<String>,
        #[serde(default)]
        across: bool,
        #[serde(default)]
        delay_ms: f64,
        #[serde(default)]
        loss: f64,
    },
}

impl Fault {
    /// Begin and length, in s, and the part.
    pub fn times(&self) -> (f64, f64, f64) {
        use Fault::*;
        match self {
            Kill { at, lasts, part } | Term { at, lasts, part } | Stop { at, lasts, part } => {
                (*at, *lasts, *part)
            }
            Crash { at, lasts, part } | Drain { at, lasts, part } => (*at, *lasts, *part),
            Slow { at, lasts, part, .. } | Erring { at, lasts, part, .. } => (*at, *lasts, *part),
            Path { at, lasts, part, .. } | Discovery { at, lasts, part, .. } => (*at, *lasts, *part),
        }
    }

    /// Its name.
    pub fn name(&self) -> String {
        match self {
            Fault::Path { between, how, direction, .. } => {
                format!("{between:?} {how:?} {direction:?}").to_lowercase()
            }
            Fault::Discovery { how, .. } => format!("discovery {how:?}").to_lowercase(),
            other => {
                let text = format!("{other:?}");
                text.split_whitespace().next().unwrap_or_default().to_lowercase()
            }
        }
    }
}

impl Rig {
    /// Reads and checks a file.
    pub fn read(path: &Path) -> Result<Self, Problem> {
        let file = path.display().to_string();
        let text = std::fs::read_to_string(path);
        let text = text.map_err(|source| Problem::Unreadable { file: file.clone(), source })?;
        Rig::parse(&file, &text)
    }

    /// Reads and checks the text of a file.
    pub fn parse(file: &str, text: &str) -> Result<Self, Problem> {
        let rig: Rig = toml::from_str(text).map_err(|error| Problem::form(file, text, &error))?;
        rig.check(file)?;
        Ok(rig)
    }

    /// Whether its figures are within bounds; `file` is what messages call it.
    pub fn check(&self, file: &str) -> Result<(), Problem> {
        let rig = self;
        let within = |key: &str, value: f64, least: f64, most: f64| {
            if (least..=most).contains(&value) {
                return Ok(());
            }
            let (key, expected) = (key.to_string(), format!("{least} to {most}"));
            Err(Problem::Value { file: file.into(), key, value: value.to_string(), expected })
        };
        within("nodes", rig.nodes as f64, 1.0, 60.0)?;
        within("servers", rig.servers as f64, 1.0, 300.0)?;
        within("nodes x servers", (rig.nodes * rig.servers) as f64, 1.0, 2_000.0)?;
        within("zones", rig.zones.len() as f64, 1.0, 30.0)?;
        within("seconds", rig.seconds, 0.5, 600.0)?;
        within("requests_per_s", rig.requests_per_s, 0.1, 2_000.0)?;
        within("work_ms", rig.work_ms, 0.1, 10_000.0)?;
        within("classes", rig.classes.len() as f64, 1.0, 100.0)?;
        within("retries", rig.retries.into(), 0.0, 20.0)?;
        for (i, fault) in rig.faults.iter().enumerate() {
            let (at, lasts, part) = fault.times();
            within(&format!("faults[{i}].at"), at, 0.0, rig.seconds)?;
            within(&format!("faults[{i}].lasts"), lasts, 0.0, 600.0)?;
            within(&format!("faults[{i}].part"), part, 0.0, 1.0)?;
            if let Fault::Path { zone: Some(zone), .. } = fault
                && !rig.zones.contains(zone)
            {
                return Err(Problem::Value {
                    file: file.into(),
                    key: format!("faults[{i}].zone"),
                    value: zone.clone(),
                    expected: format!("one of {}", rig.zones.join(", ")),
                });
            }
        }
        Ok(())
    }
}
