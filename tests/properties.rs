//! Random legal histories: the four rules of `src/policy/mod.rs` hold in each, and equal histories give equal
//! actions.

mod module_harness;

use hillpick::*;
use module_harness::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, RngSeed};
use std::time::Duration;

/// One step of a history. The numbers choose among what there is at that point.
#[derive(Clone, Debug)]
enum Step {
    Request { class: usize, remaining: u64, cost: Option<u64> },
    End { which: usize, outcome: usize, load: Option<u8> },
    Probe { load: Option<u8> },
    ClientGone { which: usize },
    List { full: bool, lines: Vec<(u64, u8, bool)> },
    ListFailed,
    Advance { time: u64 },
}

fn step() -> impl Strategy<Value = Step> {
    let load = || prop::option::of(0u8..4);
    prop_oneof![
        6 => (0usize..5, 1u64..1500, prop::option::of(1u64..600))
            .prop_map(|(class, remaining, cost)| Step::Request { class, remaining, cost }),
        6 => (any::<usize>(), 0usize..8, load()).prop_map(|(which, outcome, load)| Step::End { which, outcome, load }),
        3 => load().prop_map(|load| Step::Probe { load }),
        1 => any::<usize>().prop_map(|which| Step::ClientGone { which }),
        1 => (any::<bool>(), prop::collection::vec((0u64..6, 0u8..8, any::<bool>()), 0..5))
            .prop_map(|(full, lines)| Step::List { full, lines }),
        1 => Just(Step::ListFailed),
        4 => (1u64..400).prop_map(|time| Step::Advance { time }),
    ]
}

const OUTCOMES: [Outcome; 8] = [
    Outcome::Served,
    Outcome::Error,
    Outcome::Rejected,
    Outcome::TimedOut,
    Outcome::ConnectFailed,
    Outcome::Reset,
    Outcome::Cancelled,
    Outcome::NotSent,
];

fn play(settings: Settings, seed: u64, steps: &[Step]) -> Vec<Action> {
    let mut harness = Harness::seeded(settings, seed);
    harness.update_list(ListKind::Cached, (0..4).map(entry).collect());
    for step in steps {
        match step {
            Step::Request { class, remaining, cost } => {
                harness.request_with(*class, 0, ms(*remaining), cost.map(ms));
            }
            Step::End { which, outcome, load } => {
                let in_flight = harness.in_flight();
                if !in_flight.is_empty() {
                    let (id, attempt) = in_flight[which % in_flight.len()];
                    harness.end_attempt(id, attempt, OUTCOMES[*outcome], load.map(f32::from));
                }
            }
            Step::Probe { load } => drop(harness.end_probe(load.map(f32::from))),
            Step::ClientGone { which } => {
                let open = harness.unanswered();
                if !open.is_empty() {
                    harness.client_gone(open[which % open.len()]);
                }
            }
            Step::List { full, lines } => {
                let now = harness.now;
                let lines = lines.iter().map(|(number, state, restarted)| {
                    let state = match state {
                        0 => ServerState::Gone,
                        1 => ServerState::Draining,
                        _ => ServerState::Ready,
                    };
                    let started = restarted.then_some(now);
                    ServerEntry { state, started, ..entry(*number) }
                });
                let kind = if *full { ListKind::Full } else { ListKind::Changes };
                let lines = lines.filter(|e| !full || e.state != ServerState::Gone).collect();
                harness.update_list(kind, lines);
            }
            Step::ListFailed => {
                drop(harness.handle(Event::List { kind: ListKind::Failed, entries: Vec::new() }))
            }
            Step::Advance { time } => harness.advance(ms(*time)),
        }
    }
    harness.advance(ms(1600));
    assert!(harness.unanswered().is_empty(), "rule 1: {:?} left without an answer", harness.unanswered());
    assert!(harness.in_flight().is_empty());
    harness.log
}

fn config() -> Config {
    Config {
        cases: 256,
        failure_persistence: None,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(20_261_128),
        ..Config::default()
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn the_rules_hold_with_reports_from_probes(seed: u64, steps in prop::collection::vec(step(), 1..120)) {
        let mut settings = probe_settings();
        settings.rules.cold_capacity = 0.2;
        settings.rules.warm_up_time = ms(5000);
        settings.rules.drain_grace = ms(0);
        prop_assert_eq!(play(settings.clone(), seed, &steps), play(settings, seed, &steps));
    }

    #[test]
    fn the_rules_hold_with_reports_from_answers(seed: u64, steps in prop::collection::vec(step(), 1..120)) {
        let mut settings = piggyback_settings();
        settings.limits.hedging = false;
        settings.rules.drain_grace = ms(0);
        settings.list_on_request = true;
        play(settings, seed, &steps);
    }

    #[test]
    fn the_rules_hold_with_strict_limits(seed: u64, steps in prop::collection::vec(step(), 1..120)) {
        let mut settings = settings();
        settings.limits = Limits { max_attempts: 1, cancel: false, ..Settings::default().limits };
        settings.nodes = 1;
        settings.rules.drain_grace = ms(0);
        play(settings, seed, &steps);
    }
}

/// Rule 4 for the only node that has traffic, so that it may use the whole allowance of a cold server:
/// overload factor x present capacity x overload time, plus one request of slack.
fn cold_server_is_not_overloaded(seed: u64, arrivals: &[(usize, u64)]) -> Result<(), TestCaseError> {
    const COLD: ServerId = ServerId(9);
    let work = ms(20); // so a warm server's capacity is 50 requests a second
    let mut settings = piggyback_settings();
    settings.rules.cold_capacity = 0.05;
    settings.rules.warm_up_time = ms(20_000);
    settings.rules.overload_factor = 4.0;
    settings.rules.overload_time = ms(1500);
    let mut harness = Harness::seeded(settings, seed);
    harness.update_list(ListKind::Full, (0..3).map(entry).collect());
    let mut free_at = std::collections::BTreeMap::new();
    let (mut seen, mut cold, mut started) = (0, Vec::new(), None);
    for (step, (requests, pause)) in arrivals.iter().enumerate() {
        if step == arrivals.len() / 3 {
            started = Some(harness.now);
            harness.update_list(ListKind::Changes, vec![ServerEntry { started, ..entry(COLD.0) }]);
        }
        (0..*requests).for_each(|_| drop(harness.request(0)));
        for _ in 0..*pause {
            harness.advance(ms(1));
            // Each server serves one request after the other.
            for (id, attempt) in harness.in_flight() {
                let server = harness.server_of(id, attempt);
                let free = free_at.entry(server).or_insert(harness.now);
                if *free <= harness.now && !harness.answered(id) {
                    *free = harness.now + work;
                    harness.end_attempt(id, attempt, Outcome::Served, Some(0.0));
                }
            }
        }
        let to_cold = |a: &&Action| matches!(a, Action::Send { server: COLD, .. });
        let sends = harness.log[seen..].iter().filter(to_cold).count();
        cold.extend(std::iter::repeat_n(harness.now, sends));
        seen = harness.log.len();
        if let Some(started) = started {
            let capacity = 0.05 + 0.95 * (harness.now - started).as_secs_f64() / 20.0;
            let sent = cold.iter().filter(|at| **at + ms(1500) >= harness.now).count() as f64;
            let allowed = 4.0 * capacity * 50.0 * 1.5 + 1.0;
            prop_assert!(
                sent <= allowed,
                "rule 4: {} sent within the overload time, {} allowed",
                sent,
                allowed
            );
        }
    }
    Ok(())
}

proptest! {
    #![proptest_config(Config { cases: 10, ..config() })]

    #[test]
    fn one_node_does_not_overload_a_cold_server(seed: u64, arrivals in prop::collection::vec((0usize..12, 1u64..60), 120..240)) {
        cold_server_is_not_overloaded(seed, &arrivals)?;
    }
}

/// Rule 4 for hundreds of nodes that send little each. A cold server has been listed for a while when all
/// nodes turn to it at once. Counts what all nodes send it within the overload time.
fn many_nodes_and_a_cold_server(seed: u64) -> Result<(), TestCaseError> {
    const NODES: u32 = 200;
    let mut settings = piggyback_settings();
    settings.nodes = NODES;
    settings.rules.cold_capacity = 0.12;
    settings.rules.warm_up_time = ms(19_000);
    settings.rules.overload_factor = 1.5;
    settings.rules.overload_time = ms(1500);
    let nodes = 0..NODES;
    let mut harnesses: Vec<_> = nodes
        .map(|node| {
            let mut harness =
                Harness::seeded(Settings { node, ..settings.clone() }, seed.wrapping_add(node.into()));
            harness.update_list(ListKind::Full, (0..10).map(entry).collect());
            harness
        })
        .collect();
    let play = |harnesses: &mut Vec<Harness>, rounds: std::ops::Range<u32>| {
        let mut sent = Vec::new();
        for round in rounds {
            for (node, harness) in harnesses.iter_mut().enumerate() {
                // Each node has a request every 500 ms, 400 a second in all: 40 a second for each of ten.
                if node as u32 % 10 == round % 10 {
                    let before = harness.log.len();
                    harness.request(0);
                    let cold = harness.log[before..]
                        .iter()
                        .filter(|a| matches!(a, Action::Send { server, .. } if server.0 == 10));
                    sent.extend(cold.map(|_| round));
                }
                harness.advance(ms(50));
                for (id, attempt) in harness.in_flight() {
                    harness.end_attempt(id, attempt, Outcome::Served, Some(1.0));
                }
            }
        }
        sent
    };
    play(&mut harnesses, 0..200);
    for harness in &mut harnesses {
        let started = Some(harness.now);
        harness.update_list(ListKind::Changes, vec![ServerEntry { started, ..entry(10) }]);
    }
    // Four seconds later most of the other servers drain.
    play(&mut harnesses, 200..280);
    for harness in &mut harnesses {
        let drain = |n| ServerEntry { state: ServerState::Draining, ..entry(n) };
        harness.update_list(ListKind::Changes, (3..10).map(drain).collect());
    }
    let sent = play(&mut harnesses, 280..340);
    let capacity = 40.0 / 0.6; // the servers' utilization was six tenths
    for round in 310..340 {
        let capacity_share = 0.12 + 0.88 * f64::from(round - 200) * 0.05 / 19.0;
        let count = sent.iter().filter(|at| **at <= round && **at + 30 > round).count() as f64;
        let allowed = 1.5 * capacity_share * capacity * 1.5;
        prop_assert!(
            count <= allowed,
            "rule 4: {} sent within the overload time, {} allowed",
            count,
            allowed
        );
    }
    Ok(())
}

#[test]
fn hundreds_of_quiet_nodes_do_not_overload_a_cold_server() {
    for seed in [1, 1000, 2000] {
        many_nodes_and_a_cold_server(seed).unwrap_or_else(|error| panic!("{error}"));
    }
}

/// A fleet in one zone, many of whose servers are replaced together.
#[derive(Clone, Debug)]
struct Fleet {
    nodes: u32,
    /// How many of ten servers are replaced.
    replaced: u64,
    /// Requests per second, as a share of the capacity of ten warm servers.
    load: f64,
    /// The busiest node has this many times the requests of the quietest.
    skew: f64,
    /// Each node learns of the replacement within this time.
    list_delay_ms: u64,
    /// Shares of the nodes that restart, and when.
    restarts: Vec<(f64, u64)>,
}

/// Rule 4 for the whole fleet: within any overload time all nodes together send each cold server at most N +
/// 2 x sqrt(N) + 2, N by its least capacity in the middle of that time. First attempts, retries, hedged
/// attempts and probes count. Warm servers do 20 requests a second, and reject what would wait for more than
/// 200 ms.
fn a_fleet_and_cold_servers(fleet: &Fleet, probes: bool, seed: u64) -> Result<(), TestCaseError> {
    const SERVERS: u64 = 10;
    let (work, step, warm_up_s, overload_s) = (ms(50), ms(25), 8.0, 2.0);
    let mut settings = if probes { probe_settings() } else { piggyback_settings() };
    settings.nodes = fleet.nodes;
    settings.rules.cold_capacity = 0.12;
    settings.rules.warm_up_time = Duration::from_secs_f64(warm_up_s);
    settings.rules.overload_factor = 3.0;
    settings.rules.overload_time = Duration::from_secs_f64(overload_s);
    let new_node = |node: u32, start: u64| {
        let seed = seed.wrapping_add(u64::from(node) + 1000 * start);
        Harness::seeded(Settings { node, ..settings.clone() }, seed)
    };
    let mut harnesses: Vec<_> = (0..fleet.nodes).map(|node| new_node(node, 0)).collect();
    let mut listed = vec![false; harnesses.len()];
    harnesses
        .iter_mut()
        .for_each(|harness| drop(harness.update_list(ListKind::Full, (0..SERVERS).map(entry).collect())));
    let replaced_at = harnesses[0].now + ms(6000);
    let replaced = |n| ServerEntry { started: (n < fleet.replaced).then_some(replaced_at), ..entry(n) };
    let mut random = random_numbers(seed);
    let weights: Vec<f64> = harnesses.iter().map(|_| fleet.skew.powf(random())).collect();
    let list_delays: Vec<_> = harnesses.iter().map(|_| ms(fleet.list_delay_ms).mul_f64(random())).collect();
    let per_weight = fleet.load * 20.0 * SERVERS as f64 / weights.iter().sum::<f64>() * step.as_secs_f64();
    let mut due: Vec<f64> = harnesses.iter().map(|_| random()).collect();
    let mut restarts = fleet.restarts.clone();
    let mut free_at = std::collections::BTreeMap::new();
    let mut sent: Vec<Vec<Duration>> = vec![Vec::new(); SERVERS as usize];
    let mut now = harnesses[0].now;
    while now < replaced_at + Duration::from_secs_f64(warm_up_s) {
        let restart =
            restarts.iter().position(|(_, at)| now >= replaced_at + ms(*at)).map(|i| restarts.remove(i));
        for node in 0..harnesses.len() {
            if restart.is_some_and(|(share, _)| random() < share) {
                harnesses[node] = new_node(node as u32, now.as_millis() as u64);
                harnesses[node].now = now;
                harnesses[node].update_list(ListKind::Full, (0..SERVERS).map(replaced).collect());
                listed[node] = true;
            }
            let harness = &mut harnesses[node];
            if !listed[node] && now >= replaced_at + list_delays[node] {
                listed[node] = true;
                harness.update_list(ListKind::Changes, (0..fleet.replaced).map(replaced).collect());
            }
            let seen = harness.log.len();
            due[node] += per_weight * weights[node];
            while due[node] >= 1.0 {
                due[node] -= 1.0;
                harness.request(0);
            }
            harness.advance(step);
            while harness.end_probe(Some(0.0)).is_some() {}
            for (id, attempt) in harness.in_flight() {
                let server = harness.server_of(id, attempt);
                let cold = now >= replaced_at && server.0 < fleet.replaced;
                let age = now.saturating_sub(replaced_at).as_secs_f64();
                let capacity = if cold { 0.12 + 0.88 * age / warm_up_s } else { 1.0 };
                let free: &mut Duration = free_at.entry(server).or_insert(now);
                *free = (*free).max(now);
                if *free > now + ms(200) {
                    harness.end_attempt(id, attempt, Outcome::Rejected, Some(4.0));
                } else if !harness.answered(id) {
                    *free += work.div_f64(capacity.min(1.0));
                    harness.end_attempt(id, attempt, Outcome::Served, Some(0.0));
                }
            }
            for action in harness.log[seen..].iter().filter(|_| listed[node]) {
                if let Action::Send { server, .. } | Action::Probe { server } = action {
                    sent[server.0 as usize].push(now);
                }
            }
        }
        now += step;
    }
    for times in &sent[..fleet.replaced as usize] {
        for (i, from) in times.iter().enumerate().filter(|(_, from)| **from >= replaced_at) {
            let middle = from.saturating_sub(replaced_at).as_secs_f64() + overload_s / 2.0;
            let n = 3.0 * (0.12 + 0.88 * middle / warm_up_s).min(1.0) * 20.0 * overload_s;
            let count =
                times[i..].iter().filter(|at| **at < *from + Duration::from_secs_f64(overload_s)).count()
                    as f64;
            let allowed = n + 2.0 * n.sqrt() + 2.0;
            let at = from.saturating_sub(replaced_at);
            prop_assert!(
                count <= allowed,
                "rule 4: {} of {} within the overload time from {:?} on",
                count,
                allowed,
                at
            );
        }
    }
    Ok(())
}

/// Numbers from 0 to 1, equal for equal seeds.
fn random_numbers(seed: u64) -> impl FnMut() -> f64 {
    use rand_pcg::rand_core::{RngCore, SeedableRng};
    let mut random = rand_pcg::Pcg32::seed_from_u64(seed);
    move || f64::from(random.next_u32()) / 2f64.powi(32)
}

fn fleet() -> impl Strategy<Value = Fleet> {
    let nodes = prop_oneof![Just(1u32), Just(3), Just(20), Just(30), Just(300), 2u32..300];
    let restarts = prop::collection::vec((0.0..1.0f64, 0u64..6000), 0..4);
    (nodes, 1u64..=10, 0.4..1.3f64, 1.0..20.0f64, 0u64..3000, restarts).prop_map(
        |(nodes, replaced, load, skew, list_delay_ms, restarts)| Fleet {
            nodes,
            replaced,
            load,
            skew,
            list_delay_ms,
            restarts,
        },
    )
}

proptest! {
    #![proptest_config(Config { cases: 16, ..config() })]

    #[test]
    fn a_fleet_does_not_overload_cold_servers(seed: u64, probes: bool, fleet in fleet()) {
        a_fleet_and_cold_servers(&fleet, probes, seed)?;
    }
}
