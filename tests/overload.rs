//! Overload: the load that a node adds to servers that are already slow, and its recovery.

mod module_harness;

use hillpick::*;
use module_harness::*;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// The work of three requests in four, at a server without other load.
const SHORT: Duration = Duration::from_millis(20);
/// The work of the fourth one.
const LONG: Duration = Duration::from_millis(200);
/// Milliseconds between two requests, at half of the capacity of six servers.
const USUAL_INTERVAL_MS: u64 = 21;

/// A node without hedging, with up to six attempts for a request.
fn without_hedging() -> Harness {
    let mut settings = piggyback_settings();
    settings.limits.hedging = false;
    settings.limits.max_attempts = 6;
    for class in &mut settings.classes {
        (class.latency_target, class.deadline) = (ms(1000), ms(1000));
    }
    Harness::with_servers(settings, 6)
}

/// What a number of requests led to.
#[derive(Debug, Default)]
struct Tally {
    requests: usize,
    sends: usize,
    served: usize,
}

/// Servers that divide their capacity evenly among all attempts that they hold. Each works on an attempt
/// until it is done, also if the node has given it up.
struct SharedServers {
    work: BTreeMap<(RequestId, usize), (ServerId, Duration)>,
}

impl SharedServers {
    /// Works for a millisecond, less efficiently with more than two attempts at a server. Returns the
    /// answers.
    fn step(&mut self, harness: &mut Harness) -> usize {
        for (id, attempt) in harness.in_flight() {
            let work = if id.0 % 4 == 0 { LONG } else { SHORT };
            let server = harness.server_of(id, attempt);
            self.work.entry((id, attempt)).or_insert((server, work));
        }
        let mut counts = BTreeMap::<ServerId, u32>::new();
        self.work.values().for_each(|(server, _)| *counts.entry(*server).or_default() += 1);
        for (server, left) in self.work.values_mut() {
            let count = f64::from(counts[server]);
            let efficiency = if count > 2.0 { 0.6 } else { 1.0 };
            *left = left.saturating_sub(ms(1).mul_f64(efficiency / count));
        }
        harness.advance(ms(1));
        let done: Vec<_> =
            self.work.iter().filter(|(_, (_, left))| left.is_zero()).map(|(key, _)| *key).collect();
        let mut served = 0;
        for (id, attempt) in done {
            self.work.remove(&(id, attempt));
            if harness.in_flight().contains(&(id, attempt)) {
                harness.end_attempt(id, attempt, Outcome::Served, None);
                served += 1;
            }
        }
        served
    }
}

/// Plays requests at an even rate.
fn play(harness: &mut Harness, servers: &mut SharedServers, duration_ms: u64, interval_ms: u64) -> Tally {
    let mut tally = Tally::default();
    for at in 0..duration_ms {
        if at % interval_ms == 0 {
            harness.request(0);
            tally.requests += 1;
        }
        tally.served += servers.step(harness);
        tally.sends += harness.log.drain(..).filter(|action| matches!(action, Action::Send { .. })).count();
        harness.forget_ended();
    }
    tally
}

/// Guards against retries that prolong an overload: a server continues the work of an attempt that timed out
/// while its retry runs too. The additional load slows the servers down and causes further time-outs.
#[test]
fn long_work_is_not_retried_beside_itself() {
    let mut harness = without_hedging();
    let mut servers = SharedServers { work: BTreeMap::new() };
    let tally = play(&mut harness, &mut servers, 20_000, USUAL_INTERVAL_MS);
    let retries = tally.sends.saturating_sub(tally.requests);
    assert!(retries <= tally.requests / 32, "{retries} retries: {tally:?}");
    assert!(tally.served >= tally.requests * 9 / 10, "{tally:?}");
}

/// A burst overloads the servers. After it the load is as before, and within seconds nearly all requests are
/// served again.
#[test]
fn service_recovers_from_a_burst_at_the_previous_load() {
    let mut harness = without_hedging();
    let mut servers = SharedServers { work: BTreeMap::new() };
    let before = play(&mut harness, &mut servers, 10_000, USUAL_INTERVAL_MS);
    play(&mut harness, &mut servers, 3_000, USUAL_INTERVAL_MS / 3);
    play(&mut harness, &mut servers, 10_000, USUAL_INTERVAL_MS);
    let after = play(&mut harness, &mut servers, 10_000, USUAL_INTERVAL_MS);
    assert!(before.served >= before.requests * 9 / 10, "before: {before:?}");
    assert!(after.served >= after.requests * 9 / 10, "before {before:?}, after {after:?}");
}

/// The retries of this many requests, one after the other, that no server answers.
fn retries_without_answers(harness: &mut Harness, requests: usize) -> usize {
    harness.log.clear();
    for _ in 0..requests {
        let (id, _) = harness.request(0);
        while !harness.answered(id) || !harness.in_flight().is_empty() {
            harness.advance(ms(5));
        }
        harness.forget_ended();
    }
    let sent = |action: &Action| match action {
        Action::Send { id, .. } => Some(*id),
        _ => None,
    };
    let sends: Vec<_> = harness.log.iter().filter_map(sent).collect();
    let firsts: BTreeSet<_> = sends.iter().collect();
    sends.len() - firsts.len()
}

/// Hung servers are detected by a few early time-outs. Answers earn these, but many answers earn no more than
/// a few.
#[test]
fn early_timeouts_stay_within_the_budget_that_answers_earn() {
    let mut harness = without_hedging();
    assert_eq!(retries_without_answers(&mut harness, 10), 0, "no answer has earned any yet");
    for answers in [256, 10_000] {
        for _ in 0..answers {
            let (id, _) = harness.request(0);
            while harness.in_flight().is_empty() && !harness.answered(id) {
                harness.advance(ms(1));
            }
            harness.advance(SHORT);
            harness
                .in_flight()
                .into_iter()
                .for_each(|(id, attempt)| drop(harness.end_attempt(id, attempt, Outcome::Served, None)));
            harness.forget_ended();
        }
        let retries = retries_without_answers(&mut harness, 20);
        assert!((1..=5).contains(&retries), "{retries} retries after {answers} answers");
    }
}
