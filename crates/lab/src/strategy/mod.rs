//! What decides at a node: the module, or a plain strategy to hold it against. All see the module's events alone and
//! answer with its actions, so that the emulator treats them alike.

mod jut;
mod members;
mod plain;
mod seeing;

use hillpick::{Action, Balancer, Event, ServerId, Settings};
pub use members::Found;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::fmt;
use std::rc::Rc;
use std::time::Duration;

/// What is true of all servers, for who may see it: how long a request that comes now would take, in mean requests of a
/// warm server that has nothing to do. Servers that answer nobody, or not from where the node is, are not on it.
pub type Board = HashMap<ServerId, f64>;

/// The decisions of one node. The same events give the same actions.
pub trait Strategy {
    /// Takes in what happened at `now`, on the node's clock, and adds what is to be done to `actions`, in order.
    fn handle(&mut self, now: Duration, event: Event, actions: &mut Vec<Action>);

    /// What it has found out of the other nodes since it was asked last, if it knows of them.
    fn found(&mut self) -> Vec<Found> {
        Vec::new()
    }

    /// Whether it takes its view for agreed, and that view's digest, if it has one.
    fn agrees(&mut self, _now: Duration) -> Option<(bool, u64)> {
        None
    }

    /// Whether it is to see the truth, which no node can.
    fn sees(&self) -> bool {
        false
    }

    /// The truth as it was a moment ago.
    fn see(&mut self, _board: &Rc<Board>) {}
}

impl Strategy for Balancer {
    fn handle(&mut self, now: Duration, event: Event, actions: &mut Vec<Action>) {
        Balancer::handle(self, now, event, actions);
    }
}

/// Starts the decisions of a node, from its settings and a seed of its own.
pub type Make = Box<dyn Fn(Settings, u64) -> Box<dyn Strategy>>;

/// A strategy, as experiments name it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize, Serialize)]
#[serde(try_from = "String", into = "String")]
pub enum Kind {
    /// The decisions of hillpick, as they are.
    Module,
    /// The same, with membership beside it.
    Members,
    /// With a membership that never doubts itself, to hold local health against.
    MembersUndoubting,
    /// The decisions of hillpick, told of the zones.
    Zones,
    /// The plain rule: of two random servers of the own zone, or of all where that has none.
    ZoneFirst,
    /// A random server.
    Random,
    /// One server after another.
    RoundRobin,
    /// Of two random servers the one with fewer own requests in flight.
    LeastOfTwo,
    /// The best by the true state of the servers, seen late: what floors are held against.
    LateSeeing,
    /// Join-Up-To(m) as the paper defines it, with this m.
    Jut(u32),
}

impl Kind {
    /// The kind of this name.
    pub fn named(name: &str) -> Option<Self> {
        match name {
            "module" => Some(Kind::Module),
            "module+members" => Some(Kind::Members),
            "module+members-undoubting" => Some(Kind::MembersUndoubting),
            "module+zones" => Some(Kind::Zones),
            "zone-first" => Some(Kind::ZoneFirst),
            "random" => Some(Kind::Random),
            "round-robin" => Some(Kind::RoundRobin),
            "least-of-two" => Some(Kind::LeastOfTwo),
            "late-seeing" => Some(Kind::LateSeeing),
            _ => name.strip_prefix("jut-")?.parse().ok().filter(|m| (1..=1000).contains(m)).map(Kind::Jut),
        }
    }

    /// A node of this kind that has just started.
    pub fn start(self, settings: Settings, seed: u64) -> Box<dyn Strategy> {
        let zones = settings.zones.clone().filter(|_| self == Kind::Zones);
        let settings = Settings { zones, ..settings };
        match self {
            Kind::Zones => Box::new(Balancer::new(settings, seed)),
            Kind::ZoneFirst => {
                Box::new(plain::Plain::new(settings, seed, plain::LeastOfTwo::default()).in_own_zone())
            }
            Kind::Module => Box::new(Balancer::new(settings, seed)),
            Kind::Members => Box::new(members::WithMembers::new(settings, seed, true)),
            Kind::MembersUndoubting => Box::new(members::WithMembers::new(settings, seed, false)),
            Kind::Random => Box::new(plain::Plain::new(settings, seed, plain::Random)),
            Kind::RoundRobin => Box::new(plain::Plain::new(settings, seed, plain::RoundRobin::default())),
            Kind::LeastOfTwo => Box::new(plain::Plain::new(settings, seed, plain::LeastOfTwo::default())),
            Kind::LateSeeing => Box::new(seeing::Seeing::new(settings, seed)),
            Kind::Jut(m) => Box::new(plain::Plain::new(settings, seed, jut::JoinUpTo::new(m))),
        }
    }
}

impl fmt::Display for Kind {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Kind::Module => out.write_str("module"),
            Kind::Members => out.write_str("module+members"),
            Kind::MembersUndoubting => out.write_str("module+members-undoubting"),
            Kind::Zones => out.write_str("module+zones"),
            Kind::ZoneFirst => out.write_str("zone-first"),
            Kind::Random => out.write_str("random"),
            Kind::RoundRobin => out.write_str("round-robin"),
            Kind::LeastOfTwo => out.write_str("least-of-two"),
            Kind::LateSeeing => out.write_str("late-seeing"),
            Kind::Jut(m) => write!(out, "jut-{m}"),
        }
    }
}

impl From<Kind> for String {
    fn from(kind: Kind) -> String {
        kind.to_string()
    }
}

impl TryFrom<String> for Kind {
    type Error = String;

    fn try_from(name: String) -> Result<Self, String> {
        Kind::named(&name).ok_or_else(|| {
            format!(
                "{name:?} is no strategy: expected module, module+members, module+members-undoubting, module+zones, \
                 zone-first, random, round-robin, least-of-two, late-seeing or jut-M with an M from 1 to 1000"
            )
        })
    }
}
