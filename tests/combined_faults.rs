//! Faults in combination, and unusual faults. The harness checks rules 1 to 3 of `src/policy/mod.rs`; these
//! tests check that requests are still served, that retries stay within their budget, and that no overload
//! outlasts its cause.

mod module_harness;

use hillpick::*;
use module_harness::*;

/// What a number of requests led to.
#[derive(Debug, Default)]
struct Tally {
    sends: usize,
    served: usize,
    subscribed: usize,
}

/// Plays requests of all classes, one every 30 ms. `ends` says how an attempt at a server ends within that
/// time; with `None` it stays in flight. At the end the retries are checked against their budget.
fn play(harness: &mut Harness, requests: usize, ends: impl Fn(u64) -> Option<Outcome>) -> Tally {
    let mut tally = Tally::default();
    let before = harness.log.len();
    for i in 0..requests {
        harness.request(i % 5);
        harness.answer_probes(&[]);
        harness.advance(ms(30));
        for (id, attempt) in harness.in_flight() {
            if let Some(outcome) = ends(harness.server_of(id, attempt).0) {
                tally.served += usize::from(outcome == Outcome::Served && !harness.answered(id));
                harness.end_attempt(id, attempt, outcome, Some(1.0));
            }
        }
    }
    for action in &harness.log[before..] {
        tally.sends += usize::from(matches!(action, Action::Send { .. }));
        tally.subscribed += usize::from(matches!(action, Action::Subscribe { .. }));
    }
    // Two fifths of the requests, plus saved retries: twice what a new node starts with.
    assert!(
        tally.sends <= requests + requests * 2 / 5 + 10,
        "more retries than the budget allows: {tally:?}"
    );
    tally
}

/// A harness for each way of load reports, whose nodes have seen healthy servers for a while.
fn healthy_harnesses(servers: u64) -> [Harness; 2] {
    [piggyback_settings(), probe_settings()].map(|settings| {
        let mut harness = Harness::with_servers(settings, servers);
        recovers(&mut harness);
        harness
    })
}

/// With healthy servers again, nearly all requests are served after some that show it.
fn recovers(harness: &mut Harness) {
    play(harness, 300, |_| Some(Outcome::Served));
    let tally = play(harness, 200, |_| Some(Outcome::Served));
    assert!(tally.served >= 196, "no recovery: {tally:?}");
}

#[test]
fn a_listed_server_that_is_unreachable_costs_few_requests() {
    for mut harness in healthy_harnesses(4) {
        let tally =
            play(&mut harness, 400, |s| Some(if s == 0 { Outcome::ConnectFailed } else { Outcome::Served }));
        assert!(tally.served >= 390, "{tally:?}");
    }
}

#[test]
fn an_unreachable_zone_does_not_stop_the_others() {
    for mut harness in healthy_harnesses(6) {
        let ends = |s: u64| Some(if s % 3 == 0 { Outcome::ConnectFailed } else { Outcome::Served });
        let tally = play(&mut harness, 400, ends);
        assert!(tally.served >= 380, "{tally:?}");
        recovers(&mut harness);
    }
}

#[test]
fn an_empty_list_stops_all_sends_until_a_server_is_listed() {
    for mut harness in healthy_harnesses(4) {
        harness.update_list(ListKind::Full, vec![]);
        let tally = play(&mut harness, 50, |_| Some(Outcome::Served));
        assert_eq!(tally.sends, 0);
        harness.update_list(ListKind::Full, (0..4).map(entry).collect());
        recovers(&mut harness);
    }
}

#[test]
fn a_list_that_never_comes_is_polled_with_growing_waits_under_load() {
    let mut harness = Harness::new(Settings { list_on_request: true, ..probe_settings() });
    let mut subscribed = 0;
    for _ in 0..40 {
        let tally = play(&mut harness, 20, |_| Some(Outcome::Served));
        assert_eq!(tally.sends, 0);
        subscribed += tally.subscribed;
        if tally.subscribed > 0 {
            harness.update_list(ListKind::Failed, vec![]);
        }
    }
    // 24 s: a call within each 10 s that are allowed, and far fewer calls than requests.
    assert!((3..=20).contains(&subscribed), "{subscribed}");
    harness.update_list(ListKind::Full, (0..4).map(entry).collect());
    recovers(&mut harness);
}

#[test]
fn service_recovers_after_an_overload() {
    for mut harness in healthy_harnesses(4) {
        play(&mut harness, 400, |_| None);
        // Errors don't reduce admission: only the budget limits retries.
        play(&mut harness, 400, |_| Some(Outcome::Error));
        recovers(&mut harness);
    }
}

#[test]
fn service_recovers_after_a_crash_during_stalls() {
    for mut harness in healthy_harnesses(6) {
        let tally = play(&mut harness, 300, |s| match s {
            0 => Some(Outcome::ConnectFailed),
            1 | 2 => None,
            _ => Some(Outcome::Served),
        });
        assert!(tally.served >= 200, "{tally:?}");
        recovers(&mut harness);
    }
}

#[test]
fn service_recovers_after_a_deploy_under_a_stale_list() {
    for mut harness in healthy_harnesses(6) {
        // Three servers have left, and the list does not show it yet.
        let tally = play(&mut harness, 200, |s| Some(if s < 3 { Outcome::Reset } else { Outcome::Served }));
        assert!(tally.served >= 170, "{tally:?}");
        let cold = |number| ServerEntry { started: Some(harness.now), ..entry(number) };
        let successors = (6..9).map(cold).chain((3..6).map(entry)).collect();
        harness.update_list(ListKind::Full, successors);
        recovers(&mut harness);
    }
}

#[test]
fn heavy_requests_beside_a_hung_server_do_not_stop_light_ones() {
    for mut harness in healthy_harnesses(4) {
        let mut served = 0;
        for i in 0..400 {
            let heavy = i % 10 == 0;
            let (id, _) = harness.request_with(1, 0, ms(1000), Some(ms(if heavy { 390 } else { 40 })));
            harness.answer_probes(&[]);
            harness.advance(ms(40));
            for (sent, attempt) in harness.in_flight().into_iter().filter(|(sent, _)| *sent == id || !heavy) {
                if harness.server_of(sent, attempt).0 != 0
                    && harness.age(sent) >= ms(if sent == id { 40 } else { 320 })
                {
                    served += usize::from(sent == id && !heavy);
                    harness.end_attempt(sent, attempt, Outcome::Served, Some(1.0));
                }
            }
        }
        assert!(served >= 250, "{served}");
    }
}

#[test]
fn a_node_that_never_sees_idle_servers_learns_that_they_serve() {
    // Guards against a node that refuses all requests for good: at first it admits none at servers with load,
    // and here all have load.
    let mut harness = Harness::with_servers(probe_settings(), 4);
    recovers(&mut harness);
}
