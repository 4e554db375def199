//! The judge, one for emulator and rig: the four rules, and the figures by which strategies are held against one
//! another. It is told what happened and decides nothing.

use crate::cold::Pressed;
pub use crate::shares::Window;
use crate::shares::{self, Group, Part};
use crate::time::{Nanos, SECOND, in_secs};
use hdrhistogram::Histogram;
use hillpick::{Goal, Prices};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The operators' prices, and the weights of the parts of their goal: they make the figure `g`.
pub const PRICES: Prices =
    Prices { probe: 0.002, cross_zone: 0.005, waste: 0.05, late_failure: 0.05, connections: 0.0 };
/// Likewise.
pub const GOAL: Goal = Goal { overall: 0.55, worst_window: 0.15, worst_class: 0.3, worst_tenant: 0.0 };

/// The figures of a run that expectations may name.
pub const FIGURES: [&str; 46] = [
    "served",
    "worst_1s",
    "worst_10s",
    "worst_class",
    "worst_zone",
    "worst_large_class",
    "worst_tenant",
    "g",
    "refused",
    "refused_unsent",
    "closed_unanswered",
    "failed",
    "late",
    "tries",
    "attempts",
    "retries_in_vain",
    "cross_zone",
    "waste",
    "probes",
    "connections",
    "peer_bytes",
    "peer_bytes_per_node_s",
    "p50_ms",
    "p99_ms",
    "recovery_s",
    "leave_s",
    "fallen",
    "fallen_told",
    "cold_used",
    "cold_used_told",
    "broken",
    "requests",
    "cpu_us",
    "memory_mb",
    "first_known_s",
    "first_known_max_s",
    "known_p50_s",
    "known_p99_s",
    "known_max_s",
    "false_deaths",
    "false_deaths_sound",
    "one_view_s",
    "served_floor",
    "class_floor",
    "tenant_floor",
    "third_floor",
];

/// Those of them that hold a run against that of `late-seeing` from the same seed.
pub const FLOORS: usize = 4;

/// One of the four rules, in the order of the wire's page.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Rule {
    /// One final answer for each request, in time.
    Lost,
    /// No repeat of what may have run beyond what the class allows.
    Duplicate,
    /// Nothing new to a server that drains or is gone.
    Drain,
    /// No cold server pushed over.
    Cold,
    /// What no page allows: a datagram that is too long, a server that was never listed.
    Form,
    /// Where nodes know of one another: all that run hold the same view in time.
    View,
}

/// A broken rule: which, by whom, for which request, when, and the seed that plays it again.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Broken {
    /// Which.
    pub rule: Rule,
    /// The request, as its node was given it; 0 where there is none.
    pub request: u64,
    /// The node.
    pub node: u32,
    /// When, in s from the begin.
    pub at_s: f64,
    /// The seed.
    pub seed: u64,
    /// What happened.
    pub what: String,
}

/// Why worth was lost: what stands first is blamed first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Cause {
    /// It was answered too late, or not at all, by servers that nothing was wrong with.
    #[default]
    Late,
    /// Refused without an attempt while every server that could be reached was taken.
    RefusedFull,
    /// Refused without an attempt while only cold servers had room: their tickets were not used.
    ColdUnused,
    /// Refused without an attempt while a warm server that could be reached had nothing to do.
    RefusedEarly,
    /// An attempt was turned away by a full or draining server.
    TurnedAway,
    /// An attempt went to a server in the slow state that crowding leaves behind.
    Tipped,
    /// An attempt went to a server that a fault had slowed.
    Slow,
    /// An attempt went to a server that erred, or its connection was reset.
    Erring,
    /// An attempt was cut off on its way.
    Cut,
    /// An attempt went to a dead or silent server.
    Dead,
    /// Its node died, or could not be reached, or there was none.
    NoNode,
}

/// How an attempt turned out, for the figures.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct Tally {
    /// All attempts.
    pub attempts: u64,
    /// Those beyond the first of a try.
    pub again: u64,
    /// Of these, those that served nobody.
    pub in_vain: u64,
    /// Those that left the zone of their node.
    pub cross_zone: u64,
    /// Probes.
    pub probes: u64,
    /// New connections.
    pub connections: u64,
    /// Bytes of datagrams that nodes sent.
    pub peer_bytes: u64,
    /// Tries of clients.
    pub tries: u64,
    /// Final answers that refused, and that failed.
    pub refused: u64,
    /// Likewise.
    pub failed: u64,
    /// Final answers, refusals and failures alike, to what was never sent on.
    pub refused_unsent: u64,
    /// New connections of clients that were closed with no answer; `None` where clients have no connections.
    pub closed_unanswered: Option<u64>,
    /// Served, but after the aim.
    pub late: u64,
    /// Work that servers did, and that of the answers which counted, in s.
    pub work_done: f64,
    /// Likewise.
    pub work_served: f64,
    /// Work that was asked for, in s.
    pub work_asked: f64,
    /// Cold servers that fell over, and those of them that nodes pushed which had been told of the start.
    pub fallen: u64,
    /// Likewise.
    pub fallen_told: u64,
    /// The most that any cold server was sent within a span, as a part of what it could take; by all nodes, and by
    /// those that had been told of its start.
    pub cold_used: f64,
    /// Likewise.
    pub cold_used_told: f64,
    /// Times that a node took one for dead that ran.
    pub false_deaths: u64,
    /// Those of them of a node that had never been stopped or starved.
    pub false_deaths_sound: u64,
}

/// A fault, and how long service took to come back.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Fault {
    /// Its name.
    pub name: String,
    /// From when, in s.
    pub at_s: f64,
    /// Until when, in s.
    pub until_s: f64,
    /// After its begin, in s: until three seconds in a row were as good as before it.
    pub leave_s: f64,
    /// Likewise after its end.
    pub recovery_s: f64,
}

/// What came of one run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Outcome {
    /// The strategy.
    pub strategy: String,
    /// Nodes and servers.
    pub size: String,
    /// The seed.
    pub seed: u64,
    /// Every figure, by name.
    pub figures: BTreeMap<String, f64>,
    /// Second by second.
    pub windows: Vec<Window>,
    /// The part of each class, and of each tenant where there are any.
    pub classes: BTreeMap<String, Part>,
    /// Likewise, by number.
    pub tenants: BTreeMap<usize, Part>,
    /// The part of each third of the day; of a run without requests in one of them, none.
    #[serde(default)]
    pub thirds: Vec<Part>,
    /// Served share of each zone.
    pub zones: BTreeMap<String, f64>,
    /// The faults.
    pub faults: Vec<Fault>,
    /// Worth lost by cause, as a share of what was asked for.
    pub lost: BTreeMap<String, f64>,
    /// Latency of what was served, in ms, at each of [`PERCENTILES`].
    pub latency_ms: Vec<f64>,
    /// Work that each server did, in s.
    pub server_work: Vec<f64>,
    /// Attempts from each zone (rows) to each zone.
    pub traffic: Vec<Vec<u64>>,
    /// Where nodes know of one another: from when on, in s, all were of one mind, and from when on not, in turn.
    pub minds: Vec<(f64, bool)>,
    /// Broken rules, the first few of each.
    pub broken: Vec<Broken>,
    /// Where nodes are processes: of each, its processor time in s and its most memory in MB.
    pub processes: Vec<(f64, f64)>,
    /// Events played, for the speed of the emulator; the same in every run of a seed.
    pub events: u64,
}

impl Outcome {
    /// Holds it against what the policy that sees late was served from the same seed.
    pub fn hold_against(&mut self, late: &Outcome) {
        let of = |outcome: &Outcome| outcome.figures.get("served").copied().unwrap_or(f64::NAN);
        let classes = self.classes.iter().filter_map(|(name, part)| Some((part, late.classes.get(name)?)));
        let tenants =
            self.tenants.iter().filter_map(|(number, part)| Some((part, late.tenants.get(number)?)));
        let values = [
            of(self) / of(late),
            shares::floor(classes, true),
            shares::floor(tenants, false),
            shares::floor(self.thirds.iter().zip(&late.thirds), false),
        ];
        let told =
            FIGURES[FIGURES.len() - FLOORS..].iter().zip(values).filter(|(_, value)| value.is_finite());
        let told: Vec<_> = told.map(|(name, value)| (name.to_string(), value)).collect();
        self.figures.extend(told);
    }

    /// A figure by its name; of a class, a tenant or a third if one is given, which have `served` alone.
    pub fn figure(&self, name: &str, of: Option<&Group>) -> Option<f64> {
        let part = match of {
            None => return self.figures.get(name).copied(),
            Some(Group::Class(class)) => self.classes.get(class),
            Some(Group::Tenant(number)) => self.tenants.get(number),
            Some(Group::Third(number)) => self.thirds.get(number.wrapping_sub(1)),
        };
        part.filter(|_| name == "served").map(|part| part.served)
    }
}

/// Where latency is read.
pub const PERCENTILES: [f64; 7] = [10.0, 50.0, 75.0, 90.0, 95.0, 99.0, 99.9];

/// So many broken rules of a kind are kept whole; beyond that they are counted.
const KEPT: usize = 20;

/// The books of a run.
pub struct Judge {
    seed: u64,
    windows: Vec<Window>,
    by_class: Vec<Window>,
    by_tenant: Vec<Window>,
    by_zone: Vec<Window>,
    lost: BTreeMap<Cause, f64>,
    latency: Histogram<u64>,
    broken: Vec<Broken>,
    broken_count: BTreeMap<Rule, u64>,
    /// What is counted as it happens.
    pub tally: Tally,
    /// Attempts from each zone to each zone.
    pub traffic: Vec<Vec<u64>>,
    /// Where nodes know of one another: how long, in s, until the first knew of each end, and until each did.
    pub first: Vec<f64>,
    /// Likewise.
    pub knows: Vec<f64>,
    /// When all were of one mind, and when no longer.
    pub minds: Vec<(Nanos, bool)>,
}

/// A request whose end is known.
#[derive(Clone, Copy, Debug)]
pub struct Closed {
    /// Its class.
    pub class: usize,
    /// Its tenant, where there are any, and whether it was asked inside that one's share.
    pub tenant: Option<(usize, bool)>,
    /// Where its client is.
    pub zone: usize,
    /// When it was first asked.
    pub asked: Nanos,
    /// What it is worth.
    pub worth: f64,
    /// Its work, in s.
    pub work: f64,
    /// When its answer was with the client, if that was within the aim.
    pub served: Option<Nanos>,
    /// What is to blame if not.
    pub cause: Cause,
}

/// What the judge does not see by itself of a run that is over.
pub struct Run<'a> {
    /// The strategy.
    pub strategy: String,
    /// Nodes and servers, in words.
    pub size: String,
    /// Nodes.
    pub nodes: usize,
    /// The classes: their names, and how far they may be repeated.
    pub classes: &'a [(String, hillpick::RetrySafety)],
    /// The names of the zones.
    pub zones: &'a [String],
    /// Each fault's name, begin and end.
    pub faults: Vec<(String, Nanos, Nanos)>,
    /// Work that each server did, in s.
    pub server_work: Vec<f64>,
    /// Events played.
    pub events: u64,
    /// Where nodes are processes: of each, its processor time in s and its most memory in MB.
    pub processes: Vec<(f64, f64)>,
}

impl Judge {
    /// Nothing has happened.
    pub fn new(seed: u64, ends: Nanos, classes: usize, zones: usize) -> Self {
        let seconds = ends.div_ceil(SECOND).max(1) as usize;
        // Three digits from a microsecond to an hour; what is longer counts as an hour.
        let latency = Histogram::new_with_bounds(1, 3_600_000_000, 3).expect("bounds that make a histogram");
        Judge {
            seed,
            windows: vec![Window::default(); seconds],
            by_class: vec![Window::default(); classes],
            by_tenant: Vec::new(),
            by_zone: vec![Window::default(); zones],
            lost: BTreeMap::new(),
            latency,
            broken: Vec::new(),
            broken_count: BTreeMap::new(),
            tally: Tally::default(),
            traffic: vec![vec![0; zones]; zones],
            first: Vec::new(),
            knows: Vec::new(),
            minds: Vec::new(),
        }
    }

    /// A rule was broken.
    pub fn broke(&mut self, rule: Rule, request: u64, node: u32, at: Nanos, what: String) {
        let count = self.broken_count.entry(rule).or_default();
        *count += 1;
        if *count as usize <= KEPT {
            let (at_s, seed) = (in_secs(at), self.seed);
            tracing::debug!(?rule, request, node, at_s, seed, "{what}");
            self.broken.push(Broken { rule, request, node, at_s, seed, what });
        }
    }

    /// Work has come to a server that may be cold.
    pub fn press(&mut self, pressed: &Pressed) {
        let tally = &mut self.tally;
        tally.cold_used = tally.cold_used.max(pressed.used);
        tally.cold_used_told = tally.cold_used_told.max(pressed.used_by_told);
        tally.fallen += u64::from(pressed.falls.is_some());
        tally.fallen_told += u64::from(pressed.falls == Some(true));
    }

    /// A request has come to its end.
    pub fn close(&mut self, closed: Closed) {
        let served = if closed.served.is_some() { closed.worth } else { 0.0 };
        let window = Window { asked: closed.worth, served, requests: 1 };
        let second = (closed.asked / SECOND) as usize;
        for books in [
            self.windows.get_mut(second),
            self.by_class.get_mut(closed.class),
            self.by_zone.get_mut(closed.zone),
        ] {
            books.into_iter().for_each(|books| books.add(&window));
        }
        if let Some((tenant, inside)) = closed.tenant {
            if self.by_tenant.len() <= tenant {
                self.by_tenant.resize(tenant + 1, Window::default());
            }
            let outside = Window { requests: 1, ..Window::default() };
            self.by_tenant[tenant].add(if inside { &window } else { &outside });
        }
        self.tally.work_asked += closed.work;
        match closed.served {
            Some(at) => self.latency.saturating_record(((at - closed.asked) / 1000).max(1)),
            None => *self.lost.entry(closed.cause).or_default() += closed.worth,
        }
    }

    /// All that came of the run.
    pub fn outcome(self, run: Run) -> Outcome {
        let mut all = Window::default();
        self.windows.iter().for_each(|window| all.add(window));
        let asked = if all.asked > 0.0 { all.asked } else { f64::NAN };
        let requests = if all.requests > 0 { all.requests as f64 } else { f64::NAN };
        let by_name = |names: &[String], books: &[Window]| -> BTreeMap<String, f64> {
            let each =
                names.iter().zip(books).filter_map(|(name, books)| Some((name.clone(), books.share()?)));
            each.collect()
        };
        let repeats: Vec<_> = run.classes.iter().map(|(_, repeat)| *repeat).collect();
        let names = run.classes.iter().map(|(name, _)| name.clone());
        let parts = shares::of_classes(&self.by_class, &repeats, all.requests);
        let classes: BTreeMap<_, _> =
            names.zip(parts).filter_map(|(name, part)| Some((name, part?))).collect();
        let parts = shares::of_tenants(&self.by_tenant, all.requests).into_iter().enumerate();
        let tenants: BTreeMap<_, _> = parts.filter_map(|(number, part)| Some((number, part?))).collect();
        let thirds: Option<Vec<_>> = shares::of_thirds(&self.windows, all.requests).into_iter().collect();
        let zones = by_name(run.zones, &self.by_zone);
        let one_view_s = self.one_view_s(&run.faults);
        let faults: Vec<_> = run
            .faults
            .into_iter()
            .map(|(name, at, until)| Fault {
                name,
                at_s: in_secs(at),
                until_s: in_secs(until),
                leave_s: recovery(&self.windows, at, at),
                recovery_s: recovery(&self.windows, at, until),
            })
            .collect();
        let tally = &self.tally;
        let share = |count: u64| count as f64 / requests;
        let least = |books: &BTreeMap<String, f64>| books.values().copied().fold(f64::NAN, f64::min);
        let worst = |faults: &[Fault], of: fn(&Fault) -> f64| faults.iter().map(of).fold(0.0, f64::max);
        let served = all.served / asked;
        let worst_10s = worst_window(&self.windows, 10);
        let worst_class = classes.values().map(|part| part.served).fold(f64::NAN, f64::min);
        let waste = (tally.work_done - tally.work_served) / tally.work_asked;
        let (cross_zone, probes) = (share(tally.cross_zone), share(tally.probes));
        let (goal, prices) = (GOAL, PRICES);
        let g = goal.overall * served + goal.worst_window * worst_10s + goal.worst_class * worst_class
            - prices.cross_zone * cross_zone
            - prices.probe * probes
            - prices.waste * waste.max(0.0);
        let node_seconds = self.windows.len() as f64 * run.nodes as f64;
        let cpu_s: f64 = run.processes.iter().map(|(cpu_s, _)| cpu_s).sum();
        let known = sorted(&self.knows);
        let first = sorted(&self.first);
        let values = [
            served,
            worst_window(&self.windows, 1),
            worst_10s,
            worst_class,
            least(&zones),
            shares::worst(classes.values()),
            shares::worst(tenants.values()),
            g,
            share(tally.refused),
            share(tally.refused_unsent),
            tally.closed_unanswered.map_or(f64::NAN, share),
            share(tally.failed),
            share(tally.late),
            share(tally.tries),
            share(tally.attempts),
            share(tally.in_vain),
            cross_zone,
            waste,
            probes,
            share(tally.connections),
            share(tally.peer_bytes),
            tally.peer_bytes as f64 / node_seconds,
            self.latency.value_at_percentile(50.0) as f64 / 1e3,
            self.latency.value_at_percentile(99.0) as f64 / 1e3,
            worst(&faults, |fault| fault.recovery_s),
            worst(&faults, |fault| fault.leave_s),
            tally.fallen as f64,
            tally.fallen_told as f64,
            tally.cold_used,
            tally.cold_used_told,
            self.broken_count.values().sum::<u64>() as f64,
            all.requests as f64,
            if run.processes.is_empty() { f64::NAN } else { cpu_s * 1e6 / requests },
            run.processes.iter().map(|(_, memory_mb)| *memory_mb).fold(f64::NAN, f64::max),
            first.iter().sum::<f64>() / first.len() as f64,
            first.last().copied().unwrap_or(f64::NAN),
            quantile(&known, 0.5),
            quantile(&known, 0.99),
            quantile(&known, 1.0),
            tally.false_deaths as f64,
            tally.false_deaths_sound as f64,
            one_view_s,
        ];
        // What no run can tell, for want of requests or of processes, is left out.
        let told = FIGURES.iter().zip(values).filter(|(_, value)| value.is_finite());
        let figures = told.map(|(name, value)| (name.to_string(), value)).collect();
        let name = |cause: &Cause| serde_json::to_value(cause).ok()?.as_str().map(String::from);
        let lost =
            self.lost.iter().filter_map(|(cause, worth)| Some((name(cause)?, worth / asked))).collect();
        Outcome {
            strategy: run.strategy,
            size: run.size,
            seed: self.seed,
            figures,
            windows: self.windows,
            classes,
            tenants,
            thirds: thirds.unwrap_or_default(),
            zones,
            faults,
            lost,
            latency_ms: PERCENTILES
                .iter()
                .map(|p| self.latency.value_at_percentile(*p) as f64 / 1e3)
                .collect(),
            server_work: run.server_work,
            traffic: self.traffic,
            minds: self.minds.iter().map(|(at, one)| (in_secs(*at), *one)).collect(),
            broken: self.broken,
            processes: run.processes,
            events: run.events,
        }
    }

    /// So long after the end of the last fault all members held one view and took it for agreed, to the end; no number if
    /// they did not, or there was no fault.
    fn one_view_s(&self, faults: &[(String, Nanos, Nanos)]) -> f64 {
        let end = faults.iter().map(|(_, _, end)| *end).max();
        match (self.minds.last(), end) {
            (Some((at, true)), Some(end)) => in_secs(at.saturating_sub(end)),
            _ => f64::NAN,
        }
    }
}

fn sorted(values: &[f64]) -> Vec<f64> {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    sorted
}

/// Of sorted values; no number if there is none.
fn quantile(sorted: &[f64], part: f64) -> f64 {
    let at = (sorted.len() as f64 * part).ceil() as usize;
    sorted.get(at.saturating_sub(1)).copied().unwrap_or(f64::NAN)
}

/// The least share served in any `seconds` in a row.
fn worst_window(windows: &[Window], seconds: usize) -> f64 {
    let spans = windows.windows(seconds.min(windows.len()).max(1));
    let share = |span: &[Window]| {
        let mut all = Window::default();
        span.iter().for_each(|window| all.add(window));
        all.share()
    };
    spans.filter_map(share).fold(f64::NAN, f64::min)
}

/// How long after `since` three seconds in a row were served as well as the five before the fault began at `begun`,
/// but for a twentieth and two standard errors of chance. If never, the time that was left.
fn recovery(windows: &[Window], begun: Nanos, since: Nanos) -> f64 {
    let (begun, since_second) = ((begun / SECOND) as usize, since.div_ceil(SECOND) as usize);
    let mut before = Window::default();
    windows[begun.saturating_sub(5).min(windows.len())..begun.min(windows.len())]
        .iter()
        .for_each(|window| before.add(window));
    let usual = before.share().unwrap_or(1.0);
    let good = |window: &Window| {
        let chance = 2.0 * (usual * (1.0 - usual) / window.requests.max(1) as f64).max(0.0).sqrt();
        window.share().is_none_or(|share| share >= 0.95 * usual - chance)
    };
    let good: Vec<_> = windows.iter().map(good).collect();
    let back =
        (since_second..good.len()).find(|at| good[*at..good.len().min(at + 3)].iter().all(|good| *good));
    let back = back.unwrap_or(windows.len()) as f64;
    (back - in_secs(since)).max(0.0)
}

#[cfg(test)]
mod tests {
    use super::*;

    fn windows(shares: &[f64]) -> Vec<Window> {
        shares.iter().map(|share| Window { asked: 100.0, served: 100.0 * share, requests: 10_000 }).collect()
    }

    #[test]
    fn recovery_is_three_good_seconds_in_a_row() {
        let seconds = windows(&[0.9, 0.9, 0.9, 0.9, 0.9, 0.2, 0.9, 0.3, 0.9, 0.9, 0.9, 0.9]);
        assert_eq!(recovery(&seconds, 5 * SECOND, 5 * SECOND), 3.0);
        assert_eq!(recovery(&seconds, 5 * SECOND, 7 * SECOND + SECOND / 2), 0.5);
        let never = windows(&[0.9, 0.9, 0.1, 0.1, 0.1]);
        assert_eq!(recovery(&never, 2 * SECOND, 2 * SECOND), 3.0);
    }

    #[test]
    fn the_worst_stretch_is_weighed_by_what_was_asked_for() {
        let mut seconds = windows(&[1.0, 0.5, 1.0]);
        seconds[2].asked = 0.0;
        assert_eq!(worst_window(&seconds, 1), 0.5);
        assert_eq!(worst_window(&seconds, 2), 0.75);
        assert!(worst_window(&[], 10).is_nan());
    }
}
