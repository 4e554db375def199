//! The closed forms against direct simulation, or exact small cases.

use super::*;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

fn exponential(random: &mut Pcg64Mcg, rate: f64) -> f64 {
    -(1.0 - random.random::<f64>()).ln() / rate
}

/// A node's requests go to one of a subset at random; a connection closes when it has been idle for a time.
#[test]
fn requests_that_dial_are_those_of_a_played_pool() {
    let mut random = Pcg64Mcg::seed_from_u64(1);
    for (subset, kept) in [(8, 0.5), (64, 3.75), (200, 1.0)] {
        let rate = 10.0;
        let mut used = vec![f64::NEG_INFINITY; subset];
        let (mut now, mut dials, requests) = (0.0, 0, 400_000);
        for request in 0..requests + 10 * subset {
            now += exponential(&mut random, rate);
            let last = &mut used[random.random_range(0..subset)];
            dials += usize::from(now - *last > kept && request >= 10 * subset);
            *last = now;
        }
        let (played, known) =
            (dials as f64 / requests as f64, connections::share_that_dials(rate / subset as f64, kept));
        assert!((played - known).abs() < 0.005, "{subset} {kept}: {played} {known}");
    }
    let subset = connections::largest_subset(100.0, 3.75, 0.01);
    assert!((connections::share_that_dials(100.0 / subset, 3.75) - 0.01).abs() < 1e-12);
}

/// The bucket as the node keeps it: what is left grows with time up to the depth, and a request wants one.
fn played_bucket(random: &mut Pcg64Mcg, load: f64, depth: f64) -> f64 {
    let (mut left, mut refused, requests) = (depth, 0, 400_000);
    for _ in 0..requests {
        left = (left + exponential(random, load)).min(depth);
        if left >= 1.0 {
            left -= 1.0;
        } else {
            refused += 1;
        }
    }
    f64::from(refused) / f64::from(requests)
}

#[test]
fn refusals_are_those_of_a_played_bucket() {
    let mut random = Pcg64Mcg::seed_from_u64(2);
    for (load, depth) in [(0.5, 1), (1.0, 1), (7.0, 1), (1.0, 2), (0.8, 5), (1.0, 12), (1.5, 8), (1.0, 40)] {
        let (played, known) =
            (played_bucket(&mut random, load, f64::from(depth)), allowance::refused(load, depth));
        assert!((played - known).abs() < 0.005, "{load} {depth}: {played} {known}");
    }
    assert_eq!(allowance::refused(0.0, 1), 0.0);
}

/// A tenant whose requests reach some of the nodes, each with an even part of the allowance and one request's room.
#[test]
fn an_even_split_refuses_what_a_played_fleet_refuses() {
    let mut random = Pcg64Mcg::seed_from_u64(3);
    let (nodes, allowed_per_s) = (40, 4.0);
    for seen_by in [40, 10, 1] {
        let part = allowed_per_s / f64::from(nodes);
        let mut buckets = vec![(1.0, 0.0); seen_by];
        let (mut now, mut refused, requests) = (0.0, 0, 300_000);
        for _ in 0..requests {
            now += exponential(&mut random, allowed_per_s);
            let (left, at): &mut (f64, f64) = &mut buckets[random.random_range(0..seen_by)];
            *left = (*left + part * (now - *at)).min(part.max(1.0));
            *at = now;
            if *left >= 1.0 { *left -= 1.0 } else { refused += 1 }
        }
        let played = f64::from(refused) / f64::from(requests);
        let known = allowance::refused_by_even_parts(1.0, seen_by as f64, f64::from(nodes));
        assert!((played - known).abs() < 0.006, "{seen_by}: {played} {known}");
    }
    assert_eq!(allowance::refused_by_even_parts(1.0, 4900.0, 4900.0), 0.5);
}

/// Nodes draw for tickets by chance, and use each in the same window.
#[test]
fn cold_servers_fall_as_often_as_in_played_draws() {
    let mut random = Pcg64Mcg::seed_from_u64(4);
    let server = cold::ColdServer {
        capacity_per_s: 10.0,
        cold_share: 0.2,
        warm_after_s: 20.0,
        overload_factor: 3.0,
        overload_time_s: 1.0,
        load: 1.25, // asked for more than it can do, so that falls are seen
    };
    let (nodes, windows) = (60, 60_000);
    let (allowed, chance) = (server.allowed(0.0), server.sent(0.0) / 60.0);
    assert!((allowed - 6.0).abs() < 1e-9 && (server.sent(0.0) - 6.0).abs() < 1e-9);
    let limit = allowed + 2.0 * allowed.sqrt() + 2.0;
    let mut falls = 0;
    for _ in 0..windows {
        // Each node in four parts of the window, so that one may draw more than once.
        let sent = (0..4 * nodes).filter(|_| random.random_bool(chance / 4.0)).count();
        falls += u32::from(sent as f64 > limit);
    }
    let (played, known) = (f64::from(falls) / f64::from(windows), server.falls_in_window(0.0));
    assert!(known > 0.002 && (played / known - 1.0).abs() < 0.25, "{played} {known}");
    assert!(server.falls_of_a_start() >= known);
}

/// A server that delays nobody, and one node among several alike that counts its own requests there.
#[test]
fn an_own_count_tells_as_much_as_in_a_played_server() {
    let mut random = Pcg64Mcg::seed_from_u64(5);
    for nodes in [1, 4, 25] {
        let (own_load, others_load, samples) = (0.3, 0.3 * f64::from(nodes - 1), 60_000);
        let mut draw = |load: f64| {
            // Requests in flight at a moment: arrivals within one fixed service time of 1.
            let (mut count, mut at) = (0.0, exponential(&mut random, 1.0));
            while at < load {
                (count, at) = (count + 1.0, at + exponential(&mut random, 1.0));
            }
            count
        };
        let pairs: Vec<_> = (0..samples)
            .map(|_| {
                let own = draw(own_load);
                (own, own + draw(others_load))
            })
            .collect();
        let mean = |of: &dyn Fn(&(f64, f64)) -> f64| pairs.iter().map(of).sum::<f64>() / pairs.len() as f64;
        let (x, y) = (mean(&|p| p.0), mean(&|p| p.1));
        let (xx, yy) = (mean(&|p| (p.0 - x).powi(2)), mean(&|p| (p.1 - y).powi(2)));
        let played = mean(&|p| (p.0 - x) * (p.1 - y)) / (xx * yy).sqrt();
        let known = evidence::correlation_of_own_count(f64::from(nodes));
        assert!((played - known).abs() < 0.02, "{nodes}: {played} {known}");
    }
}

#[test]
fn a_node_has_seen_enough_when_a_played_one_has() {
    // 1/4, 7/16, 37/64: the third failure is over one half.
    assert_eq!(evidence::failures_to_eject(), 3);
    let mut random = Pcg64Mcg::seed_from_u64(6);
    let rate = 0.7;
    let mut times: Vec<f64> =
        (0..40_000).map(|_| (0..3).map(|_| exponential(&mut random, rate)).sum()).collect();
    times.sort_by(f64::total_cmp);
    let mean = times.iter().sum::<f64>() / times.len() as f64;
    assert!((mean / evidence::mean_time_to(3, rate) - 1.0).abs() < 0.02, "{mean}");
    let late = times[times.len() * 99 / 100];
    assert!((late / evidence::time_to(3, rate, 0.99) - 1.0).abs() < 0.03, "{late}");
    // A request finds a fresh sign if one came in the last quarter of an answer time.
    let fresh = (0..40_000).filter(|_| exponential(&mut random, rate) < 0.25 * 2.0).count() as f64 / 40_000.0;
    assert!((fresh - evidence::finds_fresh_sign(rate, 2.0)).abs() < 0.01, "{fresh}");
}

/// What is remembered of misses that come at random and fade.
#[test]
fn misses_are_remembered_as_in_a_played_memory() {
    let mut random = Pcg64Mcg::seed_from_u64(7);
    let (rate, overload_time) = (0.5, 2.0);
    let (memory, mut kept, mut sum, samples) = (3.0 * overload_time, 0.0, 0.0, 100_000);
    for _ in 0..samples {
        // The moments just before misses are like any other (Poisson arrivals see time averages).
        kept *= (-exponential(&mut random, rate) / memory).exp();
        sum += kept;
        kept += 1.0;
    }
    let (played, known) = (sum / f64::from(samples), evidence::misses_remembered(rate, overload_time));
    assert!((played / known - 1.0).abs() < 0.03, "{played} {known}");
    let subset = evidence::largest_subset_for_misses(100.0, 3.0);
    assert!((evidence::misses_remembered(100.0 / subset, 3.0) - 2.0).abs() < 1e-9);
}

/// Tokens as the node keeps them: a share a first attempt, one a further attempt.
#[test]
fn attempts_are_those_of_a_played_budget() {
    let mut random = Pcg64Mcg::seed_from_u64(8);
    for (fails, of_traffic) in [(0.1, 1.0), (0.5, 1.0), (1.0, 0.5), (1.0, 0.05), (0.9, 1.0)] {
        let (mut tokens, mut attempts, mut requests) = (0.0, 0.0, 0.0);
        for _ in 0..400_000 {
            tokens = f64::min(tokens + retries::BUDGET, 2.0 / retries::BUDGET);
            if !random.random_bool(of_traffic) {
                continue;
            }
            (requests, attempts) = (requests + 1.0, attempts + 1.0);
            for _ in 1..3 {
                if !random.random_bool(fails) || tokens < 1.0 {
                    break;
                }
                (tokens, attempts) = (tokens - 1.0, attempts + 1.0);
            }
        }
        let (played, known) = (attempts / requests, retries::attempts(fails, of_traffic, 3));
        assert!((played / known - 1.0).abs() < 0.02, "{fails} {of_traffic}: {played} {known}");
    }
    let binds = retries::binds_at(3);
    assert!((binds + binds * binds - retries::BUDGET).abs() < 1e-9);
}

/// Servers in a ring of which each is seen for a fixed time after its probe.
#[test]
fn probes_show_as_many_servers_as_played_ones() {
    let (per_s, fresh) = (50.0, 0.1);
    let at = |probe: u32| f64::from(probe) / per_s;
    let now = at(1_000) - 1e-6;
    let seen = (0..1_000).filter(|probe| now - at(*probe) < fresh).count();
    assert_eq!(seen as f64, probes::seen(per_s, fresh));
    assert_eq!(probes::to_see_all(5.0, fresh), per_s);
    assert_eq!(probes::a_request(0.002), 5.0);
    assert!((probes::a_request(0.079) - 0.01 / 0.079).abs() < 1e-12);
}

#[test]
fn a_meeting_is_counted_from_both_sides() {
    let meeting = Meeting { nodes: 4900.0, servers: 52_000.0, per_node_s: 100.0, subset: 52_000.0 };
    assert!((meeting.interval_s() - 520.0).abs() < 1e-9);
    assert_eq!(meeting.nodes_per_server(), 4900.0);
    // What a server gets from all its nodes is its part of all requests, whatever the subset is.
    for subset in [1.0, 64.0, 1200.0] {
        let meeting = Meeting { subset, ..meeting };
        let gets = meeting.nodes_per_server() * meeting.rate();
        assert!((gets - 490_000.0 / 52_000.0).abs() < 1e-9, "{gets}");
    }
}

/// Servers with nodes of uneven rates.
#[test]
fn load_spreads_as_over_played_servers() {
    let mut random = Pcg64Mcg::seed_from_u64(9);
    // Rates of 1 or 3 alike: a spread of one half.
    let meeting = Meeting { nodes: 400.0, servers: 100.0, per_node_s: 2.0, subset: 4.0 };
    let nodes = meeting.nodes_per_server() as usize;
    let sums: Vec<f64> = (0..40_000)
        .map(|_| (0..nodes).map(|_| if random.random_bool(0.5) { 1.0 } else { 3.0 }).sum())
        .collect();
    let mean = sums.iter().sum::<f64>() / sums.len() as f64;
    let variance = sums.iter().map(|sum| (sum - mean).powi(2)).sum::<f64>() / sums.len() as f64;
    assert!((variance.sqrt() / mean - meeting.load_spread(0.5)).abs() < 0.005);
}

/// Days of seconds, and the median of their worst.
#[test]
fn the_worst_second_is_that_of_played_days() {
    let mut random = Pcg64Mcg::seed_from_u64(10);
    for (rate, seconds) in [(0.14, 2_000), (0.002, 500), (5.0, 60)] {
        let mut worst: Vec<u64> = (0..2_001)
            .map(|_| {
                let mut seen = vec![0; seconds];
                let mut at = exponential(&mut random, rate);
                while at < seconds as f64 {
                    seen[at as usize] += 1;
                    at += exponential(&mut random, rate);
                }
                seen.into_iter().max().unwrap_or_default()
            })
            .collect();
        worst.sort_unstable();
        assert_eq!(worst[1_000], arrivals::worst_second(rate, seconds as f64), "{rate} {seconds}");
    }
}
