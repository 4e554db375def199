//! From samples of a run to its figures.

use super::fleet::{Sample, datagrams_between};
use super::messages::Traffic;
use super::results::Figure;
use std::collections::BTreeMap;

/// How many of each role a run has.
#[derive(Clone, Copy, Debug)]
pub struct Counts {
    /// Hollow nodes.
    pub hollow: f64,
    /// Real nodes.
    pub real: f64,
    /// Agents.
    pub agents: f64,
    /// List servers.
    pub list_servers: f64,
}

impl Counts {
    fn of(&self, role: &str) -> f64 {
        match role {
            "hollow node" => self.hollow,
            "real node" => self.real,
            "agent" => self.agents,
            _ => self.list_servers,
        }
    }
}

/// A figure.
#[must_use]
pub fn figure(role: &str, figure: &str, unit: &str, value: f64) -> Figure {
    Figure { role: role.into(), figure: figure.into(), unit: unit.into(), value }
}

/// What passed between two samples, for one of each role.
fn rates(before: &Sample, after: &Sample, counts: &Counts) -> Vec<Figure> {
    let seconds = (after.at_s - before.at_s).max(1e-3);
    let mut all = Vec::new();
    let nodes = counts.hollow + counts.real;
    let mut lists = |role: &str, way: &str, count: f64, before: &Traffic, after: &Traffic| {
        let per = |before: u64, after: u64| after.saturating_sub(before) as f64 / seconds / count.max(1.0);
        let wholes = per(before.wholes, after.wholes);
        let changes = per(before.changes, after.changes);
        let whole_bytes = per(before.whole_bytes, after.whole_bytes);
        let change_bytes = per(before.change_bytes, after.change_bytes);
        let heartbeats = per(before.heartbeats, after.heartbeats);
        all.extend([
            figure(role, &format!("whole lists {way}"), "1/s", wholes),
            figure(role, &format!("bytes of whole lists {way}"), "B/s", whole_bytes),
            figure(role, &format!("lists of changes {way}"), "1/s", changes),
            figure(role, &format!("bytes of lists of changes {way}"), "B/s", change_bytes),
            figure(role, &format!("list heartbeats {way}"), "1/s", heartbeats),
        ]);
    };
    lists("hollow node", "in", nodes, &before.from_agents, &after.from_agents);
    lists("agent", "out", counts.agents, &before.from_agents, &after.from_agents);
    lists("agent", "in", counts.agents, &before.from_list_servers, &after.from_list_servers);
    lists("list server", "out", counts.list_servers, &before.from_list_servers, &after.from_list_servers);
    let calls = |before: &Traffic, after: &Traffic| after.calls.saturating_sub(before.calls) as f64 / seconds;
    let to_agents = calls(&before.from_agents, &after.from_agents);
    all.push(figure("hollow node", "calls for the list out", "1/s", to_agents / nodes));
    let to_lists = calls(&before.from_list_servers, &after.from_list_servers);
    all.push(figure("list server", "calls for the list in", "1/s", to_lists / counts.list_servers));
    let datagrams = datagrams_between(&before.nodes.datagrams, &after.nodes.datagrams);
    let each = |count: u64| count as f64 / seconds / counts.hollow;
    all.extend([
        figure("hollow node", "datagrams out", "1/s", each(datagrams.sent)),
        figure("hollow node", "bytes of datagrams out", "B/s", each(datagrams.sent_bytes)),
        figure("hollow node", "datagrams in", "1/s", each(datagrams.heard)),
        figure("hollow node", "bytes of datagrams in", "B/s", each(datagrams.heard_bytes)),
    ]);
    for (role, (processor, _)) in &after.usage {
        let count = counts.of(role);
        let (earlier, _) = before.usage.get(role).copied().unwrap_or_default();
        if count > 0.0 {
            all.push(figure(role, "processor", "core", (processor - earlier) / seconds / count));
        }
    }
    all
}

/// What passes in the mean, and in the worst second of each figure.
#[must_use]
pub fn traffic(samples: &[Sample], counts: &Counts) -> Vec<Figure> {
    let (Some(first), Some(last)) = (samples.first(), samples.last()) else { return Vec::new() };
    let mut all = rates(first, last, counts);
    let mut worst: BTreeMap<(String, String), Figure> = BTreeMap::new();
    for pair in samples.windows(2) {
        for it in rates(&pair[0], &pair[1], counts) {
            let kept = worst.entry((it.role.clone(), it.figure.clone())).or_insert_with(|| it.clone());
            kept.value = kept.value.max(it.value);
        }
    }
    for mut it in worst.into_values() {
        it.figure += ", worst second";
        all.push(it);
    }
    for (role, (_, memory)) in &last.usage {
        let count = counts.of(role);
        if count > 0.0 {
            all.push(figure(role, "resident memory", "B", memory / count));
        }
    }
    all
}

/// The value that a part of them keeps within; they need not be sorted.
fn within(values: &[u32], part: f64) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_unstable();
    let place = (part * sorted.len() as f64).ceil().max(1.0) as usize - 1;
    sorted.get(place).copied().map_or(f64::NAN, f64::from)
}

/// Until changes were in force at 50, 99 and 100 % of the nodes that they came to: the mean over the changes, and for all
/// nodes also the worst change.
#[must_use]
pub fn in_force(what: &str, times: &BTreeMap<u64, Vec<u32>>) -> Vec<Figure> {
    if times.is_empty() {
        return Vec::new();
    }
    let mean = |part: f64| {
        let sum: f64 = times.values().map(|took| within(took, part)).sum();
        sum / times.len() as f64 / 1e3
    };
    let worst = times.values().map(|took| within(took, 1.0)).fold(0.0, f64::max) / 1e3;
    let name = |of: &str| format!("{what} in force at {of} of the nodes");
    vec![
        figure("hollow node", &name("50 %"), "s", mean(0.5)),
        figure("hollow node", &name("99 %"), "s", mean(0.99)),
        figure("hollow node", &name("100 %"), "s", mean(1.0)),
        figure("hollow node", &format!("{}, worst change", name("100 %")), "s", worst),
    ]
}

/// How long starts took until the node was ready.
#[must_use]
pub fn ready(what: &str, took_ms: &[u32]) -> Vec<Figure> {
    if took_ms.is_empty() {
        return Vec::new();
    }
    let one = |of: &str, part: f64| {
        figure("hollow node", &format!("ready after {what}, {of}"), "s", within(took_ms, part) / 1e3)
    };
    vec![one("50 %", 0.5), one("99 %", 0.99), one("100 %", 1.0)]
}

#[cfg(test)]
mod tests;
