//! The servers of an experiment: what they are, and how they come to be slow. Reads and checks; what they do is in the
//! emulator.

use super::Checks;
use serde::Deserialize;

/// Where load reports come from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reports {
    /// With answers and probes.
    Answers,
    /// With probes only.
    Probes,
    /// From nowhere.
    None,
    /// Idle servers announce themselves to all nodes (the paper's world).
    IdleSigns,
}

/// The servers.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Servers {
    /// Cores that work, one request each.
    pub cores: u32,
    /// Requests in work at a time, which share the cores; no fewer than these, so that 0 is as many.
    pub slots: u32,
    /// The share of the cores' work that is left when all slots are taken; what is lost grows evenly up to there.
    pub sharing: f64,
    /// Speeds of the machine kinds, dealt out in turn; the mean server has 1.
    pub speeds: Vec<f64>,
    /// How far single servers are from the speed of their kind: a coefficient of variation, log-normal.
    pub speed_cv: f64,
    /// Requests that may wait; beyond that one is turned away unseen.
    pub waiting: usize,
    /// The parts of the servers in each zone; empty for the same number in each.
    pub zones: Vec<f64>,
    /// Servers of one zone in a cell, which drops repeats together.
    pub cell: usize,
    /// The share of its capacity with which a server starts.
    pub cold_share: f64,
    /// How long it takes until it has all of it, in s; capacity rises evenly.
    pub warm_s: f64,
    /// A cold server falls over when it is sent more than this multiple of its capacity ...
    pub tip_factor: f64,
    /// ... over so long, in s.
    pub tip_s: f64,
    /// With more requests than this for each core, it becomes slower; 0 for never.
    pub crowded: f64,
    /// And by this factor.
    pub crowded_slow: f64,
    /// The slow state that crowding leaves behind; none if not given.
    pub choke: Option<Choke>,
    /// Connections that it holds.
    pub connections: usize,
    /// The share of its capacity that a full table of connections takes; one that is half full takes half of that.
    pub full_tax: f64,
    /// Work of a new connection, as a part of the mean request's.
    pub handshake: f64,
    /// An idle connection is closed after so long, in s.
    pub idle_close_s: f64,
    /// Cancelled work that runs already stops.
    pub cancel_stops: bool,
    /// Load reports.
    pub reports: Reports,
    /// Work of a probe, as a part of the mean request's.
    pub probe: f64,
    /// Idle servers announce themselves at this rate, in 1/s, where reports are idle signs.
    pub idle_signs_per_s: f64,
}

impl Default for Servers {
    fn default() -> Self {
        Servers {
            cores: 1,
            slots: 0,
            sharing: 1.0,
            speeds: vec![1.0],
            speed_cv: 0.0,
            waiting: 64,
            zones: Vec::new(),
            cell: 4,
            cold_share: 0.12,
            warm_s: 23.0,
            tip_factor: 3.0,
            tip_s: 3.0,
            crowded: 0.0,
            crowded_slow: 1.0,
            choke: None,
            connections: 1024,
            full_tax: 0.0,
            handshake: 0.02,
            idle_close_s: 5.0,
            cancel_stops: true,
            reports: Reports::Probes,
            probe: 0.0003,
            idle_signs_per_s: 0.0,
        }
    }
}

/// A slow state, and the way into it and out of it. It outlasts the crowding that brought it: only a rest ends it, or
/// time.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Choke {
    /// The share of the servers that can get there, by chance.
    pub share: f64,
    /// One that has held so many requests for each core ...
    pub at: f64,
    /// ... for so long without a break, in s, tips over.
    pub over_s: f64,
    /// What it begins from then on takes so many times as long.
    pub slower: f64,
    /// It comes back after a rest of so long without a break, in s, ...
    pub rest_s: f64,
    /// ... in which it held no more than this part of `at`.
    pub below: f64,
    /// At the latest it comes back after so long, in s.
    pub most_s: f64,
}

impl Servers {
    /// What can be checked without the rest of the file.
    pub(super) fn check(&self, found: &mut Checks) {
        found.that("servers.cores", self.cores, (1..=1024).contains(&self.cores), "1 to 1024");
        found.that("servers.slots", self.slots, self.slots <= 1024, "0 to 1024");
        found.within("servers.sharing", self.sharing, 0.01, 1.0);
        found.that("servers.cell", self.cell, self.cell > 0, "at least 1");
        let speeds = self.speeds.iter().all(|speed| *speed > 0.0 && speed.is_finite());
        let speeds = speeds && !self.speeds.is_empty() && self.speeds.len() < 256;
        found.that("servers.speeds", format!("{:?}", self.speeds), speeds, "speeds over 0");
        found.within("servers.cold_share", self.cold_share, 0.01, 1.0);
        for (key, value) in [
            ("servers.warm_s", self.warm_s),
            ("servers.tip_factor", self.tip_factor),
            ("servers.tip_s", self.tip_s),
            ("servers.crowded", self.crowded),
            ("servers.handshake", self.handshake),
            ("servers.idle_close_s", self.idle_close_s),
            ("servers.probe", self.probe),
            ("servers.idle_signs_per_s", self.idle_signs_per_s),
        ] {
            found.within(key, value, 0.0, 1e6);
        }
        found.within("servers.crowded_slow", self.crowded_slow, 1.0, 1e3);
        found.within("servers.speed_cv", self.speed_cv, 0.0, 10.0);
        // All of its capacity would leave a server that never answers, which `silent` says better.
        found.within("servers.full_tax", self.full_tax, 0.0, 0.99);
        let Some(choke) = &self.choke else { return };
        found.within("servers.choke.share", choke.share, 0.0, 1.0);
        found.that("servers.choke.at", choke.at, choke.at > 0.0 && choke.at <= 1e6, "over 0, up to 1e6");
        found.within("servers.choke.slower", choke.slower, 1.0, 1e3);
        found.within("servers.choke.below", choke.below, 0.0, 1.0);
        for (key, value) in [
            ("servers.choke.over_s", choke.over_s),
            ("servers.choke.rest_s", choke.rest_s),
            ("servers.choke.most_s", choke.most_s),
        ] {
            found.within(key, value, 0.0, 1e6);
        }
    }
}
