//! An experiment at one size, made ready to run: names turned into numbers, parts into counts, units into times.

use super::choke::ChokeModel;
use super::server::Model;
use crate::cold::ColdModel;
use crate::dist::Sampler;
use crate::judge::{GOAL, PRICES};
use crate::shares::Allowances;
use crate::size::Size;
use crate::spec::{Experiment, Repeat, Reports};
use crate::time::{FOREVER, Nanos, millis, secs};
use hillpick::{DedupScope, Limits, ReportSource, Rules, Settings, Zones};
use rand_distr::LogNormal;
use std::time::Duration;

/// The time of a node's clock at the begin of a run: any moment will do, but not zero.
pub const EPOCH: Nanos = 1_000_000 * crate::time::SECOND;
/// A load that makes no unit (no servers, or no clients) still wants one.
const UNIT_S: f64 = 0.02;
/// In what time a zone's share returns: the node's default.
const RETURN: Duration = Duration::from_secs(20);
/// How long after a client's time a final answer still counts: the protocol's figure.
pub const ANSWER_SLACK: Nanos = 5_000_000;

/// A class of requests.
pub struct Class {
    /// Its name.
    pub name: String,
    /// The sum of the shares up to it, as a part of all.
    pub up_to: f64,
    /// What a request is worth for each mean request's work.
    pub worth: f64,
    /// Mean work, in s of a standard core.
    pub mean: f64,
    /// Its spread.
    pub work: Sampler,
    /// By what an attempt's work differs from the request's, if it does.
    pub noise: Option<LogNormal<f64>>,
    /// An answer within this counts.
    pub aim: Nanos,
    /// How long a client waits in all.
    pub deadline: Nanos,
    /// How far it may be repeated.
    pub repeat: hillpick::RetrySafety,
}

/// All that stays the same during a run.
pub struct Plan {
    /// How long clients come.
    pub ends: Nanos,
    /// Zones by name.
    pub zones: Vec<String>,
    /// The region of each zone.
    pub region_of: Vec<usize>,
    /// The zone of each node, and of each server at the begin.
    pub node_zones: Vec<u8>,
    /// Likewise.
    pub server_zones: Vec<u8>,
    /// The sum of the parts of the requests up to each zone.
    pub demand: Vec<f64>,
    /// The sums of the parts of the requests up to each tenant; empty for the same from each.
    pub tenants: Vec<f64>,
    /// Requests a second, over all.
    pub rate: f64,
    /// Mean work of a request, in s of a standard core.
    pub unit: f64,
    /// The classes.
    pub classes: Vec<Class>,
    /// What servers have in common.
    pub model: Model,
    /// What nodes are told, but for their own number and zone.
    pub settings: Settings,
    /// The file.
    pub experiment: Experiment,
}

/// So many things dealt to places by their parts, in turn, so that each place gets its part to within one.
fn deal(count: usize, parts: &[f64], places: usize) -> Vec<u8> {
    let even = vec![1.0; places];
    let parts = if parts.is_empty() { &even } else { parts };
    let sum: f64 = parts.iter().sum();
    let mut owed = vec![0.0; places];
    let mut dealt = Vec::with_capacity(count);
    for _ in 0..count {
        for (owed, part) in owed.iter_mut().zip(parts) {
            *owed += part / sum;
        }
        let next =
            (0..places).fold(0, |best, place| if owed[place] > owed[best] + 1e-9 { place } else { best });
        owed[next] -= 1.0;
        dealt.push(next as u8);
    }
    dealt
}

/// The sums of the parts up to each, as parts of all.
fn sums(parts: impl Iterator<Item = f64>) -> Vec<f64> {
    let parts: Vec<_> = parts.collect();
    let all: f64 = parts.iter().sum();
    let mut sum = 0.0;
    let up_to = parts.iter().map(|part| {
        sum += part / all;
        sum
    });
    up_to.collect()
}

/// A factor with the mean 1 and this coefficient of variation; none for 0.
pub fn spread(cv: f64) -> Option<LogNormal<f64>> {
    (cv > 0.0).then(|| LogNormal::from_mean_cv(1.0, cv).ok()).flatten()
}

impl Plan {
    /// The experiment at this size. It has been checked.
    pub fn new(experiment: &Experiment, size: Size) -> Self {
        let zones: Vec<_> = experiment.world.zones().into_iter().map(String::from).collect();
        let (servers, clients) = (&experiment.servers, &experiment.clients);
        let server_zones = deal(size.servers, &servers.zones, zones.len());
        let speeds = (0..size.servers).map(|i| servers.speeds[i % servers.speeds.len()]);
        let capacity = speeds.sum::<f64>() * f64::from(servers.cores);
        let up_to = sums(experiment.classes.iter().map(|class| class.share));
        let shares = up_to.iter().scan(0.0, |before, sum| Some(sum - std::mem::replace(before, *sum)));
        let mean: f64 = shares.zip(&experiment.classes).map(|(share, class)| share * class.mean).sum();
        let rate = if clients.load > 0.0 { clients.per_node_per_s * size.nodes as f64 } else { 0.0 };
        let unit = clients.load * capacity / (rate * mean);
        let unit = if unit.is_finite() && unit > 0.0 { unit } else { UNIT_S };
        let units = |units: f64| if units >= 1e9 { FOREVER } else { secs(units * unit) };
        let classes: Vec<_> = experiment
            .classes
            .iter()
            .zip(up_to)
            .map(|(class, up_to)| Class {
                name: class.name.clone(),
                up_to,
                worth: class.worth,
                mean: class.mean * unit,
                work: class.work.sampler(),
                noise: spread(class.attempt_noise),
                aim: units(class.aim),
                deadline: units(class.deadline),
                repeat: repeat(class.repeat, class.window_s),
            })
            .collect();
        let even = vec![1.0; zones.len()];
        let demand = if clients.zones.is_empty() { &even } else { &clients.zones };
        let model = Model {
            cores: servers.cores as usize,
            slots: servers.slots.max(servers.cores) as usize,
            sharing: servers.sharing,
            waiting: servers.waiting,
            cold_share: servers.cold_share,
            warm: secs(servers.warm_s),
            crowded: if servers.crowded > 0.0 { servers.crowded } else { f64::INFINITY },
            crowded_slow: servers.crowded_slow,
            cold: ColdModel {
                factor: servers.tip_factor,
                over: secs(servers.tip_s),
                unit: unit * mean,
                cold_share: servers.cold_share,
                warm: secs(servers.warm_s),
            },
            choke: servers.choke.map(|choke| {
                let at = choke.at * f64::from(servers.cores);
                ChokeModel {
                    at,
                    over: secs(choke.over_s),
                    slower: choke.slower,
                    rest: secs(choke.rest_s),
                    below: choke.below * at,
                    most: secs(choke.most_s),
                }
            }),
            connections: servers.connections.min(u32::MAX as usize) as u32,
            full_tax: servers.full_tax,
        };
        Plan {
            ends: secs(experiment.seconds),
            region_of: experiment.world.region_of(),
            node_zones: deal(size.nodes, &experiment.nodes.zones, zones.len()),
            server_zones,
            demand: sums(demand.iter().copied()),
            tenants: sums(clients.tenant_parts.iter().copied()),
            rate,
            unit,
            settings: settings(experiment, size, &classes),
            classes,
            model,
            zones,
            experiment: experiment.clone(),
        }
    }

    /// One way between two zones, without chance.
    pub fn latency(&self, from: u8, to: u8) -> Nanos {
        let world = &self.experiment.world;
        millis(if from == to {
            world.zone_ms
        } else if self.region_of[usize::from(from)] == self.region_of[usize::from(to)] {
            world.region_ms
        } else {
            world.far_ms
        })
    }

    /// The zones as a node of one of them sees them.
    pub fn zones_from(&self, zone: u8) -> Zones {
        let all = 0..self.zones.len() as u8;
        Zones {
            round_trip: all.map(|to| Duration::from_nanos(2 * self.latency(zone, to))).collect(),
            region: self.region_of.iter().map(|region| *region as u16).collect(),
            failback_time: RETURN,
        }
    }

    /// What tenants may ask for inside their shares: what the settings tell the nodes.
    pub fn allowances(&self) -> Allowances {
        let each = self.settings.tenants.first().map_or(0.0, |tenant| tenant.rate_limit_per_s);
        Allowances::new(self.settings.tenants.len(), each)
    }

    /// The number of a zone.
    pub fn zone(&self, name: &str) -> Option<u8> {
        self.zones.iter().position(|zone| zone == name).map(|zone| zone as u8)
    }

    /// The longest that a client waits, but no more than 3 s: what a restart leaves a node.
    pub fn longest_deadline(&self) -> Nanos {
        let longest = self.classes.iter().map(|class| class.deadline).max().unwrap_or_default();
        longest.min(secs(3.0))
    }

    /// Where a cumulative draw falls.
    pub fn pick(up_to: &[f64], draw: f64) -> usize {
        up_to.partition_point(|sum| *sum <= draw).min(up_to.len() - 1)
    }
}

/// How the module words it.
pub fn repeat(repeat: Repeat, window_s: f64) -> hillpick::RetrySafety {
    let keyed = |scope| hillpick::RetrySafety::Keyed { scope, window: crate::time::duration(secs(window_s)) };
    match repeat {
        Repeat::Safe => hillpick::RetrySafety::Idempotent,
        Repeat::Unsafe => hillpick::RetrySafety::NonIdempotent,
        Repeat::KeyedAll => keyed(DedupScope::All),
        Repeat::KeyedZone => keyed(DedupScope::Zone),
        Repeat::KeyedCell => keyed(DedupScope::Cell),
    }
}

/// What a node is told, as the platform would word it for this world: the operators' goal and prices.
fn settings(experiment: &Experiment, size: Size, classes: &[Class]) -> Settings {
    let time = |span: Nanos| crate::time::duration(span.min(FOREVER));
    let (servers, nodes, clients) = (&experiment.servers, &experiment.nodes, &experiment.clients);
    let tenants = clients.tenants;
    Settings {
        nodes: size.nodes as u32,
        classes: classes
            .iter()
            .map(|class| hillpick::Class {
                latency_target: time(class.aim),
                deadline: time(class.deadline),
                value: class.worth,
                retry_safety: class.repeat,
                ..hillpick::Class::default()
            })
            .collect(),
        tenants: vec![
            hillpick::Tenant {
                rate_limit_per_s: clients.per_node_per_s * size.nodes as f64 / tenants.max(1) as f64,
                share: 1.0 / tenants.max(1) as f64,
            };
            tenants
        ],
        over_share_value: clients.over_share_worth,
        value_by_work: true,
        report_source: match servers.reports {
            Reports::Answers => ReportSource::Answers,
            Reports::Probes => ReportSource::Probes,
            Reports::None | Reports::IdleSigns => ReportSource::None,
        },
        limits: Limits {
            max_attempts: nodes.attempts,
            cancel: true,
            probes: servers.reports == Reports::Probes,
            hedging: nodes.parallel,
            max_retry_after: (clients.max_retry_after_s > 0.0).then(|| time(secs(clients.max_retry_after_s))),
            connect_timeout: time(millis(nodes.connect_timeout_ms)),
        },
        rules: Rules {
            drain_grace: time(secs(experiment.list.drain_grace_s)),
            cold_capacity: servers.cold_share,
            warm_up_time: time(secs(servers.warm_s)),
            overload_factor: servers.tip_factor,
            overload_time: time(secs(servers.tip_s)),
            ..Settings::default().rules
        },
        prices: PRICES,
        goal: GOAL,
        ..Settings::default()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::time::in_secs;

    #[test]
    fn parts_are_dealt_in_turn_to_within_one() {
        assert_eq!(deal(6, &[], 3), [0, 1, 2, 0, 1, 2]);
        let dealt = deal(9, &[5.0, 1.0, 0.0], 3);
        assert_eq!([0, 1, 2].map(|zone| dealt.iter().filter(|at| **at == zone).count()), [8, 1, 0]);
        assert_eq!(Plan::pick(&[0.25, 0.75, 1.0], 0.75), 2);
        assert_eq!(Plan::pick(&[0.25, 0.75, 1.0], 0.0), 0);
        assert_eq!(Plan::pick(&[0.25, 0.75, 0.99], 0.999), 2);
    }

    /// The unit follows from load and rate; every time of a class is a multiple of it.
    #[test]
    fn the_unit_makes_the_load() {
        let text = "name='x'\nabout='x'\nsizes=['300x200']\nseconds=10\nstrategies=['random']";
        let plan = Plan::new(&Experiment::parse("x", text).unwrap(), Size { nodes: 300, servers: 200 });
        let mean: f64 = 0.79 * plan.classes[0].mean + 0.21 * plan.classes[1].mean;
        assert!((plan.rate * mean / 200.0 - 0.6).abs() < 1e-9);
        assert_eq!(plan.classes[0].aim, secs(3.7 * plan.unit));
        assert!(in_secs(plan.classes[0].deadline) > 0.1);
    }
}
