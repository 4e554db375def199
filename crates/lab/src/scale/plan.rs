//! What happens in a measurement, and when: a function of the file, the size and the seed alone.

use super::results::ScaleSize;
use super::spec::{Scale, Trouble};
use rand::Rng;
use rand::seq::SliceRandom;
use rand_distr::{Distribution, Exp1};
use serde::{Deserialize, Serialize};

/// Streams of random numbers, so that one part of a plan does not move another.
const CHANGES: u64 = 91;
const RESTARTS: u64 = 92;
const TROUBLES: u64 = 93;

/// A step of a plan.
#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    /// When, in ms after the begin of the measurement.
    pub at_ms: u64,
    /// What.
    pub what: Deed,
}

/// What a step does.
#[derive(Clone, Debug, PartialEq)]
pub enum Deed {
    /// Servers change on the list, all at once.
    Servers(Vec<u32>, State),
    /// Hollow nodes are restarted: they leave and start anew.
    Restart(Vec<u32>),
    /// Hollow nodes are gone without a word.
    Kill(Vec<u32>),
    /// They start anew.
    Start(Vec<u32>),
    /// A region is cut off, or healed.
    Cut(u32, bool),
    /// The hollow nodes read the next version of their configuration, which may be bad.
    Settings {
        /// Its number, from 1.
        version: u32,
        /// It can't be used.
        bad: bool,
    },
}

/// A server's state on the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// It takes requests.
    InService,
    /// It finishes what it has.
    Terminating,
    /// It has gone.
    Terminated,
}

/// The steps in their order. Nodes are numbered over all, and the first `real_nodes` of them are real.
#[must_use]
pub fn plan(scale: &Scale, size: &ScaleSize, seed: u64) -> Vec<Step> {
    let end_ms = (scale.seconds * 1e3) as u64;
    let mut steps = changes(size, seed, end_ms);
    steps.extend(restarts(scale, size, seed, end_ms));
    for (number, trouble) in scale.troubles.iter().enumerate() {
        steps.extend(troubles(scale, size, trouble, seed, number as u64));
    }
    steps.sort_by_key(|step| step.at_ms);
    steps
}

/// Moments of a Poisson process up to an end, in ms.
fn moments(per_s: f64, end_ms: u64, random: &mut impl Rng) -> Vec<u64> {
    let (mut all, mut at) = (Vec::new(), 0.0);
    if per_s <= 0.0 {
        return all;
    }
    loop {
        let gap: f64 = Exp1.sample(random);
        at += gap * 1e3 / per_s;
        if at >= end_ms as f64 {
            return all;
        }
        all.push(at as u64);
    }
}

/// By turns a server drains, and comes back restarted.
fn changes(size: &ScaleSize, seed: u64, end_ms: u64) -> Vec<Step> {
    let mut random = crate::emu::chance(seed, CHANGES, 0);
    let moments = moments(size.changes_per_s, end_ms, &mut random);
    let mut drains = None;
    let step = |at_ms| {
        let (server, state) = match drains.take() {
            Some(server) => (server, State::InService),
            None => {
                let server = random.random_range(0..size.servers);
                drains = Some(server);
                (server, State::Terminating)
            }
        };
        Step { at_ms, what: Deed::Servers(vec![server], state) }
    };
    moments.into_iter().map(step).collect()
}

fn restarts(scale: &Scale, size: &ScaleSize, seed: u64, end_ms: u64) -> Vec<Step> {
    let mut random = crate::emu::chance(seed, RESTARTS, 0);
    let moments = moments(size.restarts_per_s, end_ms, &mut random);
    let step = |at_ms| {
        let node = random.random_range(scale.real_nodes..size.nodes);
        Step { at_ms, what: Deed::Restart(vec![node]) }
    };
    moments.into_iter().map(step).collect()
}

fn troubles(scale: &Scale, size: &ScaleSize, trouble: &Trouble, seed: u64, number: u64) -> Vec<Step> {
    let mut random = crate::emu::chance(seed, TROUBLES, number);
    let ms = |at: f64| (at * 1e3) as u64;
    let step = |at: f64, what| Step { at_ms: ms(at), what };
    match trouble {
        Trouble::Lost { at, lasts, servers, nodes } => {
            let servers = some(0..size.servers, *servers, &mut random);
            let nodes = some(scale.real_nodes..size.nodes, *nodes, &mut random);
            vec![
                step(*at, Deed::Kill(nodes.clone())),
                step(*at, Deed::Servers(servers.clone(), State::Terminated)),
                step(at + lasts, Deed::Servers(servers, State::InService)),
                step(at + lasts, Deed::Start(nodes)),
            ]
        }
        Trouble::Restarts { at, within, part } => {
            let count = (f64::from(size.nodes - scale.real_nodes) * part).round();
            let nodes = some(scale.real_nodes..size.nodes, count as u32, &mut random);
            let when = |place: usize| at + within * place as f64 / count.max(1.0);
            let one = |(place, node)| step(when(place), Deed::Restart(vec![node]));
            nodes.into_iter().enumerate().map(one).collect()
        }
        Trouble::RegionCut { at, lasts, region } => {
            vec![step(*at, Deed::Cut(*region, true)), step(at + lasts, Deed::Cut(*region, false))]
        }
        Trouble::Settings { at, within, count } => {
            let when = |version: u32| at + within * f64::from(version) / f64::from(*count);
            let one = |version| {
                let bad = version == count / 2;
                step(when(version), Deed::Settings { version, bad })
            };
            (1..=*count).map(one).collect()
        }
    }
}

/// So many of them, sorted.
fn some(range: std::ops::Range<u32>, count: u32, random: &mut impl Rng) -> Vec<u32> {
    let mut all: Vec<_> = range.collect();
    all.shuffle(random);
    all.truncate(count as usize);
    all.sort_unstable();
    all
}

#[cfg(test)]
mod tests;
