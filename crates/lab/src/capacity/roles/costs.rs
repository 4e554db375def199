//! How a cost of a role is written down, the bounds of a node, and the arithmetic that several roles share.

use super::{Basis, Form, Kind, Line, Part};
use crate::capacity::decisions::{connections, probes};
use crate::capacity::first_look;
use crate::capacity::size::Capacity;
use crate::capacity::table::number;

/// Servers that the module compares at most (`LOAD_LEVELS` in `src/policy/constants.rs`), so the subset that it uses today.
pub const COMPARED: f64 = 64.0;
/// Bytes in a MB.
pub const MB: f64 = 1e6;

pub const fn line(kind: Kind, what: &'static str, unit: &'static str) -> Line {
    Line { kind, what, unit, bound: None, run: None, part: Part::Whole, times: 1.0, form: None }
}

impl Line {
    pub const fn bound(mut self, bound: fn(&Capacity) -> f64) -> Self {
        self.bound = Some(bound);
        self
    }

    pub const fn run(mut self, role: &'static str, figure: &'static str) -> Self {
        self.run = Some((role, figure));
        self
    }

    pub const fn over_an_empty_node(mut self) -> Self {
        self.part = Part::Growth;
        self
    }

    pub const fn along(mut self, dimension: &'static str) -> Self {
        self.part = Part::Along(dimension);
        self
    }

    pub const fn twice(mut self) -> Self {
        self.times = 2.0;
        self
    }

    pub const fn form(self, value: fn(&Capacity) -> f64, how: fn(&Capacity) -> String) -> Self {
        self.by(Basis::Closed, value, how)
    }

    pub const fn first_look(self, value: fn(&Capacity) -> f64, how: fn(&Capacity) -> String) -> Self {
        self.by(Basis::FirstLook, value, how)
    }

    pub const fn earlier(self, value: fn(&Capacity) -> f64, how: fn(&Capacity) -> String) -> Self {
        self.by(Basis::Earlier, value, how)
    }

    const fn by(mut self, basis: Basis, value: fn(&Capacity) -> f64, how: fn(&Capacity) -> String) -> Self {
        self.form = Some(Form { basis, value, how });
        self
    }
}

pub fn memory(capacity: &Capacity) -> f64 {
    capacity.bounds.memory_mb * MB
}

pub fn core_share(capacity: &Capacity) -> f64 {
    capacity.bounds.core_share
}

pub fn bytes_per_s(capacity: &Capacity) -> f64 {
    capacity.bounds.control_bytes_per_s
}

pub fn in_force(capacity: &Capacity) -> f64 {
    capacity.bounds.in_force_s
}

pub fn ready(capacity: &Capacity) -> f64 {
    capacity.bounds.ready_s
}

/// `a x b`.
pub fn times(a: f64, b: f64) -> String {
    format!("{} x {}", number(a), number(b))
}

/// `a / b`.
pub fn over(a: f64, b: f64) -> String {
    format!("{} / {}", number(a), number(b))
}

/// A line of the first look at full size: `(intercept + slope x full) MB`.
pub fn along(line: first_look::Line, full: f64) -> String {
    format!("{} + {}", number(line.intercept), times(line.slope, full))
}

/// Bytes of the whole list: `bytes an entry x servers`.
pub fn whole_list(capacity: &Capacity) -> String {
    format!("{} B x {}", number(first_look::bytes_a_server(capacity)), number(capacity.fleet.servers))
}

/// Bytes of list changes that reach one node a second, in the mean of the day.
pub fn list_bytes_per_s(capacity: &Capacity) -> f64 {
    capacity.list_changes_per_s() * first_look::bytes_a_server(capacity)
}

/// Probes a second that a node pays for at most.
pub fn probes_per_s(capacity: &Capacity) -> f64 {
    probes::a_request(capacity.assumed.probe_price) * capacity.per_node_s()
}

/// Probes a second that a server gets at most, from all its nodes.
pub fn probes_at_server(capacity: &Capacity) -> f64 {
    probes_per_s(capacity) * capacity.fleet.nodes / capacity.fleet.servers
}

/// Nodes that one control machine feeds.
pub fn nodes_of_machine(capacity: &Capacity) -> f64 {
    capacity.fleet.nodes / capacity.fleet.control_machines
}

/// The shortest time that a node keeps an idle connection, among those assumed.
pub fn kept_s(capacity: &Capacity) -> f64 {
    connections::kept_s(capacity.assumed.idle_close_s.iter().copied().fold(f64::INFINITY, f64::min))
}

/// The share of requests that dial at today's subset, as arithmetic.
pub fn dialling(capacity: &Capacity) -> String {
    format!("e^(-{})", times(capacity.meeting(COMPARED).rate(), kept_s(capacity)))
}
