//! Overload: what a node adds to servers that are slow already, and how it comes out of that.

mod module_harness;

use hillpick::*;
use module_harness::*;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Work of three requests in four, and of the fourth, at a server that has nothing else to do.
const SHORT: Duration = Duration::from_millis(20);
const LONG: Duration = Duration::from_millis(200);
/// Milliseconds between two requests, at half of what six servers can do.
const USUAL: u64 = 21;

/// One attempt at a time, up to six of them; servers that may go on with what was given up.
fn one_at_a_time() -> Harness {
    let mut settings = piggyback_settings();
    settings.limits.hedging = false;
    settings.limits.max_attempts = 6;
    for class in &mut settings.classes {
        (class.latency_target, class.deadline) = (ms(1000), ms(1000));
    }
    Harness::with_servers(settings, 6)
}

/// What came of a number of requests.
#[derive(Debug, Default)]
struct Tally {
    requests: usize,
    sends: usize,
    served: usize,
}

/// Servers that share themselves out evenly among all that they hold, also what was given up: each keeps its attempts
/// until their work is done, whether or not somebody waits.
struct Sharing {
    work: BTreeMap<(RequestId, usize), (ServerId, Duration)>,
}

impl Sharing {
    /// A millisecond passes: each server spreads it over what it holds, less well if it holds more than two.
    fn step(&mut self, world: &mut Harness) -> usize {
        for (id, attempt) in world.out() {
            let work = if id.0 % 4 == 0 { LONG } else { SHORT };
            let server = world.server_of(id, attempt);
            self.work.entry((id, attempt)).or_insert((server, work));
        }
        let mut held = BTreeMap::<ServerId, u32>::new();
        self.work.values().for_each(|(server, _)| *held.entry(*server).or_default() += 1);
        for (server, left) in self.work.values_mut() {
            let holds = f64::from(held[server]);
            let efficiency = if holds > 2.0 { 0.6 } else { 1.0 };
            *left = left.saturating_sub(ms(1).mul_f64(efficiency / holds));
        }
        world.pass(ms(1));
        let done: Vec<_> =
            self.work.iter().filter(|(_, (_, left))| left.is_zero()).map(|(key, _)| *key).collect();
        let mut served = 0;
        for (id, attempt) in done {
            self.work.remove(&(id, attempt));
            if world.out().contains(&(id, attempt)) {
                world.end(id, attempt, Outcome::Served, None);
                served += 1;
            }
        }
        served
    }
}

/// Requests at an even rate for so long.
fn play(world: &mut Harness, servers: &mut Sharing, lasts: u64, every: u64) -> Tally {
    let mut tally = Tally::default();
    for at in 0..lasts {
        if at % every == 0 {
            world.request(0);
            tally.requests += 1;
        }
        tally.served += servers.step(world);
        tally.sends += world.log.drain(..).filter(|action| matches!(action, Action::Send { .. })).count();
        world.tidy();
    }
    tally
}

/// The danger: attempts that are given up and made again are work that is done beside what replaces them. Servers that
/// slow down with what they hold never come out of that, since each time-out brings the next.
#[test]
fn long_work_is_not_given_up_and_done_again() {
    let mut world = one_at_a_time();
    let mut servers = Sharing { work: BTreeMap::new() };
    let tally = play(&mut world, &mut servers, 20_000, USUAL);
    let again = tally.sends.saturating_sub(tally.requests);
    assert!(again <= tally.requests / 32, "{again} further attempts: {tally:?}");
    assert!(tally.served >= tally.requests * 9 / 10, "{tally:?}");
}

/// A burst fills the servers; after it, the load is what it was before, and so is the service within some seconds.
#[test]
fn a_burst_leaves_no_jam_behind_at_the_load_of_before() {
    let mut world = one_at_a_time();
    let mut servers = Sharing { work: BTreeMap::new() };
    let before = play(&mut world, &mut servers, 10_000, USUAL);
    play(&mut world, &mut servers, 3_000, USUAL / 3);
    play(&mut world, &mut servers, 10_000, USUAL);
    let after = play(&mut world, &mut servers, 10_000, USUAL);
    assert!(before.served >= before.requests * 9 / 10, "before: {before:?}");
    assert!(after.served >= after.requests * 9 / 10, "before {before:?}, after {after:?}");
}

/// The further attempts at so many requests, one after the other, that nobody answers.
fn made_again(world: &mut Harness, requests: usize) -> usize {
    world.log.clear();
    for _ in 0..requests {
        let (id, _) = world.request(0);
        while !world.answered(id) || !world.out().is_empty() {
            world.pass(ms(5));
        }
        world.tidy();
    }
    let sent = |action: &Action| match action {
        Action::Send { id, .. } => Some(*id),
        _ => None,
    };
    let sends: Vec<_> = world.log.iter().filter_map(sent).collect();
    let firsts: BTreeSet<_> = sends.iter().collect();
    sends.len() - firsts.len()
}

/// Servers that have hung are found out all the same: a few attempts are given up early, once answers have paid for
/// them, however many there were.
#[test]
fn attempts_are_given_up_early_only_as_answers_have_paid_for() {
    let mut world = one_at_a_time();
    assert_eq!(made_again(&mut world, 10), 0, "nothing was answered yet");
    for answers in [256, 10_000] {
        for _ in 0..answers {
            let (id, _) = world.request(0);
            while world.out().is_empty() && !world.answered(id) {
                world.pass(ms(1));
            }
            world.pass(SHORT);
            world
                .out()
                .into_iter()
                .for_each(|(id, attempt)| drop(world.end(id, attempt, Outcome::Served, None)));
            world.tidy();
        }
        let again = made_again(&mut world, 20);
        assert!((1..=5).contains(&again), "{again} further attempts after {answers} answers");
    }
}
