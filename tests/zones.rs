//! Zones in virtual time: failover, failback, evacuation and the limits of each. The harness checks rules 1
//! to 3; the lab checks rule 4, which holds for the sum of all nodes.

mod module_harness;

use hillpick::*;
use module_harness::{Harness, entry, ms, settings};
use proptest::prelude::*;
use std::collections::BTreeMap;
use std::time::Duration;

/// How an attempt ends, and after how many ms.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Behaviour {
    Served(u64),
    Ends(Outcome, u64),
    Silent,
}

const FAST: Behaviour = Behaviour::Served(40);
const UNREACHABLE: Behaviour = Behaviour::Ends(Outcome::ConnectFailed, 1);

/// How an attempt ends, by zone, server and class.
type BehaviourOf = Box<dyn Fn(u8, u64, usize) -> Behaviour>;

struct Play {
    harness: Harness,
    behaviour_of: BehaviourOf,
    zones: BTreeMap<ServerId, u8>,
    requests: u64,
}

fn zones(regions: &[u16], round_trip: &[u64]) -> Settings {
    let round_trip = round_trip.iter().map(|time| ms(*time)).collect();
    let zones = Zones { round_trip, region: regions.to_vec(), failback_time: Duration::from_secs(10) };
    Settings { zones: Some(zones), ..settings() }
}

/// Three zones in one region.
fn three_zones() -> Settings {
    zones(&[0, 0, 0], &[0, 1, 1])
}

impl Play {
    /// A node in zone 0 with these servers, all of them fast.
    fn new(settings: Settings, servers: impl IntoIterator<Item = ServerEntry>) -> Self {
        let servers: Vec<_> = servers.into_iter().collect();
        let zones = servers.iter().map(|server| (server.id, server.zone)).collect();
        let mut harness = Harness::new(settings);
        harness.update_list(ListKind::Full, servers);
        Play { harness, behaviour_of: Box::new(|_, _, _| FAST), zones, requests: 0 }
    }

    /// Thirty servers, ten in each of three zones.
    fn usual() -> Self {
        Play::new(three_zones(), (0..30).map(entry))
    }

    fn set_behaviour(&mut self, behaviour_of: impl Fn(u8, u64, usize) -> Behaviour + 'static) {
        self.behaviour_of = Box::new(behaviour_of);
    }

    /// Plays fifty requests a second, of all classes in turn. Returns the share of sends by zone, and the
    /// share served.
    fn run(&mut self, seconds: u64) -> (BTreeMap<u8, f64>, f64) {
        let (mut sends, mut served, mut requests) = (BTreeMap::new(), 0.0, 0.0);
        let begun = self.harness.log.len();
        for step in 0..seconds * 1000 {
            if step % 20 == 0 {
                self.requests += 1;
                requests += 1.0;
                self.harness.request((self.requests % 5) as usize);
            }
            if step % 1000 == 0 {
                self.harness.forget_ended();
            }
            self.harness.advance(ms(1));
            for (id, attempt) in self.harness.in_flight() {
                let server = self.harness.server_of(id, attempt);
                let class = ((id.0 - 1 + 1) % 5) as usize;
                let (outcome, after) = match (self.behaviour_of)(self.zones[&server], server.0, class) {
                    Behaviour::Served(after) => (Outcome::Served, after),
                    Behaviour::Ends(outcome, after) => (outcome, after),
                    Behaviour::Silent => continue,
                };
                if self.harness.attempt_age(id, attempt) >= ms(after) {
                    served += f64::from(u8::from(outcome == Outcome::Served && !self.harness.answered(id)));
                    self.harness.end_attempt(id, attempt, outcome, None);
                }
            }
        }
        for action in &self.harness.log[begun..] {
            if let Action::Send { server, .. } = action {
                *sends.entry(self.zones[server]).or_insert(0.0) += 1.0;
            }
        }
        let all: f64 = sends.values().sum();
        sends.values_mut().for_each(|count| *count /= all);
        (sends, served / requests)
    }

    fn zone(&self, zone: u8) -> ZoneView {
        let zones = self.harness.balancer.zones();
        let sum: f64 = zones.iter().map(|zone| zone.share).sum();
        assert!((sum - 1.0).abs() < 1e-6, "the shares sum to {sum}");
        zones.into_iter().find(|view| view.zone == zone).expect("a zone")
    }
}

fn share_of(sends: &BTreeMap<u8, f64>, zone: u8) -> f64 {
    sends.get(&zone).copied().unwrap_or_default()
}

#[test]
fn without_zones_requests_go_to_servers_everywhere() {
    let mut play = Play::new(settings(), (0..30).map(entry));
    let (sends, _) = play.run(10);
    assert!(share_of(&sends, 0) < 0.5 && play.harness.balancer.zones().is_empty(), "{sends:?}");
}

#[test]
fn requests_stay_in_the_nodes_zone_while_it_is_healthy() {
    let (sends, served) = Play::usual().run(20);
    assert!(share_of(&sends, 0) > 0.95 && served > 0.99, "{sends:?} {served}");
}

/// The node's own zone fails in several ways: it fails over within seconds, requests that can be retried are
/// served elsewhere, and after the recovery its share grows back slowly.
#[test]
fn a_failed_zone_fails_over_fast_and_back_slowly() {
    let black_hole = Behaviour::Ends(Outcome::ConnectFailed, 250);
    let errors = Behaviour::Ends(Outcome::Error, 20);
    for behaviour in [UNREACHABLE, black_hole, errors, Behaviour::Silent] {
        let mut play = Play::usual();
        play.run(10);
        play.set_behaviour(move |zone, _, _| if zone == 0 { behaviour } else { FAST });
        play.run(4);
        assert_eq!(play.zone(0).state, ZoneState::FailedOver, "{behaviour:?}");
        let (sends, served) = play.run(10);
        assert!(share_of(&sends, 0) < 0.1 && served > 0.9, "{behaviour:?}: {sends:?} {served}");
        play.set_behaviour(|_, _, _| FAST);
        let (early, _) = play.run(4);
        assert!(share_of(&early, 0) < 0.6, "{behaviour:?}: {early:?}");
        play.run(90);
        let (late, served) = play.run(5);
        assert!(
            share_of(&late, 0) > 0.9 && served > 0.99,
            "{behaviour:?}: {late:?} {:?}",
            play.harness.balancer.zones()
        );
    }
}

/// A zone three and ten times as slow as the others loses its share to them.
#[test]
fn a_slow_zone_loses_share() {
    for times in [3, 10] {
        let mut play = Play::usual();
        play.set_behaviour(move |zone, _, _| Behaviour::Served(if zone == 0 { 40 * times } else { 40 }));
        play.run(30);
        let (sends, _) = play.run(10);
        assert!(share_of(&sends, 0) < 0.25, "{times}: {sends:?}");
    }
}

/// Only one class fails in the zone: it goes elsewhere, and the others stay.
#[test]
fn a_zone_that_fails_one_class_keeps_the_others() {
    let mut play = Play::usual();
    play.set_behaviour(
        |zone, _, class| if zone == 0 && class == 0 { Behaviour::Ends(Outcome::Error, 20) } else { FAST },
    );
    play.run(20);
    let (sends, served) = play.run(20);
    assert!(
        share_of(&sends, 0) > 0.55 && served > 0.9,
        "{sends:?} {served} {:?}",
        play.harness.balancer.zones()
    );
    assert_ne!(play.zone(0).state, ZoneState::FailedOver);
}

/// Two of a zone's ten servers are dead: they are ejected one by one, and the zone keeps its share.
#[test]
fn a_zone_with_a_few_failed_servers_keeps_its_share() {
    let mut play = Play::usual();
    play.set_behaviour(|_, server, _| if server < 6 { UNREACHABLE } else { FAST });
    play.run(10);
    let (sends, served) = play.run(10);
    assert!(share_of(&sends, 0) > 0.9 && served > 0.95, "{sends:?} {served}");
}

/// Six in ten of a zone's servers don't answer in time, and the others do: the zone is overloaded or partly
/// failed.
#[test]
fn a_zone_does_not_fail_over_for_timeouts_while_some_servers_answer() {
    let mut play = Play::usual();
    play.set_behaviour(|zone, server, _| if zone == 0 && server < 18 { Behaviour::Silent } else { FAST });
    for _ in 0..20 {
        play.run(1);
        assert_ne!(play.zone(0).state, ZoneState::FailedOver, "{:?}", play.zone(0));
    }
}

/// A zone fails and recovers every five seconds: its failback takes longer each time, so that little is lost.
#[test]
fn a_flapping_zone_fails_back_ever_more_slowly() {
    let mut play = Play::usual();
    play.run(5);
    let mut served = Vec::new();
    for _ in 0..5 {
        play.set_behaviour(|zone, _, _| if zone == 0 { Behaviour::Silent } else { FAST });
        served.push(play.run(5).1);
        play.set_behaviour(|_, _, _| FAST);
        play.run(5);
    }
    assert!(play.zone(0).share < 0.1, "{:?}", play.zone(0));
    assert!(served[4] > 0.9 && served[4] >= served[0], "{served:?}");
}

#[test]
fn a_zone_of_one_server_fails_over_with_it() {
    let one = (0..30).map(entry).filter(|server| server.zone != 0 || server.id.0 == 0);
    let mut play = Play::new(three_zones(), one);
    play.run(5);
    play.set_behaviour(|zone, _, _| if zone == 0 { UNREACHABLE } else { FAST });
    play.run(3);
    let (sends, served) = play.run(10);
    assert!(share_of(&sends, 0) < 0.1 && served > 0.95, "{sends:?} {served}");
}

/// The node's own zone has no servers: the zone of its region is used, and not the farther one.
#[test]
fn without_servers_in_its_zone_a_node_uses_the_nearest_zone() {
    let far = zones(&[0, 0, 1], &[0, 1, 100]);
    let mut play = Play::new(far, (0..30).map(entry).filter(|server| server.zone != 0));
    play.run(5);
    let (sends, served) = play.run(10);
    assert!(share_of(&sends, 1) > 0.95 && served > 0.99, "{sends:?} {served}");
}

#[test]
fn the_last_healthy_zone_takes_over_from_two_failed_ones() {
    let mut play = Play::usual();
    play.run(5);
    play.set_behaviour(|zone, _, _| if zone == 2 { FAST } else { UNREACHABLE });
    play.run(5);
    let (sends, served) = play.run(10);
    assert!(share_of(&sends, 2) > 0.85 && served > 0.95, "{sends:?} {served}");
}

/// All zones fail, as when this node's network is at fault: all are used, and after the recovery the node's
/// own zone gets its requests again.
#[test]
fn with_all_zones_failed_all_are_used_until_the_own_zone_recovers() {
    let mut play = Play::usual();
    play.run(5);
    play.set_behaviour(|_, _, _| UNREACHABLE);
    let (sends, _) = play.run(10);
    assert!((0..3).all(|zone| share_of(&sends, zone) > 0.05), "{sends:?}");
    play.set_behaviour(|_, _, _| FAST);
    play.run(90);
    let (sends, served) = play.run(5);
    assert!(share_of(&sends, 0) > 0.9 && served > 0.99, "{sends:?}");
}

/// All zones reject requests: failover would not help, and overload is no failure.
#[test]
fn overload_in_all_zones_causes_no_failover() {
    let mut play = Play::usual();
    play.run(5);
    play.set_behaviour(
        |_, server, _| if server % 2 == 0 { Behaviour::Ends(Outcome::Rejected, 5) } else { FAST },
    );
    play.run(20);
    let states = [0, 1, 2].map(|zone| play.zone(zone).state);
    assert_eq!(states, [ZoneState::Healthy; 3]);
    assert!(play.zone(0).share > 0.5, "{:?}", play.zone(0));
}

/// An evacuation empties a zone, ends by itself, and is refused for the last zone that works.
#[test]
fn an_evacuation_ends_by_itself_and_spares_the_last_working_zone() {
    let mut play = Play::usual();
    play.run(5);
    let evacuate = |zone, duration| Event::Evacuate { zone, duration };
    play.harness.handle(evacuate(0, Some(Duration::from_secs(15))));
    play.run(5);
    let (sends, _) = play.run(5);
    assert!(share_of(&sends, 0) < 0.01, "{sends:?}");
    // Another zone fails meanwhile, so the third can't be evacuated.
    play.set_behaviour(|zone, _, _| if zone == 1 { UNREACHABLE } else { FAST });
    play.run(4);
    play.harness.handle(evacuate(2, Some(Duration::from_secs(60))));
    assert_eq!(play.zone(2).evacuated_until, None, "the last working zone");
    // The third fails too: the evacuation is suspended.
    play.set_behaviour(|zone, _, _| if zone == 0 { FAST } else { UNREACHABLE });
    play.run(6);
    let (sends, served) = play.run(4);
    assert!(share_of(&sends, 0) > 0.8 && served > 0.9, "{sends:?} {served} {:?}", play.zone(0));
    play.set_behaviour(|_, _, _| FAST);
    play.run(60);
    assert_eq!(play.zone(0).evacuated_until, None, "the evacuation has ended by itself");
    assert!(share_of(&play.run(5).0, 0) > 0.9);
    play.harness.handle(evacuate(0, Some(Duration::from_secs(900))));
    play.harness.handle(evacuate(0, None));
    assert_eq!(play.zone(0).evacuated_until, None, "an evacuation can be ended early");
}

/// Zones appear, disappear and change with the list: shares follow, and sum to one.
#[test]
fn shares_follow_the_zones_of_the_list() {
    let mut play = Play::usual();
    play.run(5);
    let moved: Vec<_> = (0..30).map(|n| ServerEntry { zone: 3, ..entry(n) }).take(10).collect();
    play.zones.extend(moved.iter().map(|server| (server.id, 3)));
    play.harness.update_list(ListKind::Changes, moved);
    assert_eq!(play.zone(3).ready_servers, 10);
    play.run(5);
    let gone = (0..30).filter(|n| n % 3 == 0).map(entry);
    let gone: Vec<_> = gone.map(|server| ServerEntry { state: ServerState::Gone, ..server }).collect();
    play.harness.update_list(ListKind::Changes, gone);
    let (sends, served) = play.run(10);
    assert!(share_of(&sends, 0) == 0.0 && served > 0.99, "{sends:?} {served}");
    assert!(play.harness.balancer.zones().iter().all(|view| view.zone != 0 || view.ready_servers == 0));
    // Settings without zones turn them off.
    play.harness.settings.zones = None;
    let event = Event::Settings {
        settings: Box::new(settings()),
        previous_classes: (0..5).map(Some).collect(),
        previous_tenants: vec![],
    };
    play.harness.handle(event);
    assert!(play.harness.balancer.zones().is_empty());
}

/// A region is half a second away: requests with less time than that stay in the near region, however slow
/// its zone is.
#[test]
fn requests_are_not_sent_to_a_region_that_cannot_answer_in_time() {
    let mut play = Play::new(zones(&[0, 0, 1], &[0, 1, 500]), (0..30).map(entry));
    play.set_behaviour(|zone, _, _| Behaviour::Served(if zone == 0 { 350 } else { 40 }));
    let (sends, _) = play.run(20);
    assert_eq!(share_of(&sends, 2), 0.0, "a latency target of 400 ms: {sends:?}");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 24, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(20_261_201), ..ProptestConfig::default() })]

    /// Whatever the zones do: the rules hold, the shares sum to one, and after the recovery every server gets
    /// requests again.
    #[test]
    fn every_server_is_used_after_any_schedule_of_faults(schedule in proptest::collection::vec((0u8..4, 0usize..5, 1u64..5), 1..6)) {
        let mut play = Play::new(three_zones(), (0..6).map(entry));
        for (zone, behaviour, seconds) in schedule {
            let behaviour = [FAST, UNREACHABLE, Behaviour::Silent, Behaviour::Served(300), Behaviour::Ends(Outcome::Error, 10)][behaviour];
            play.set_behaviour(move |at, _, _| if at == zone || zone == 3 { behaviour } else { FAST });
            play.run(seconds);
            play.zone(0);
        }
        play.set_behaviour(|_, _, _| FAST);
        play.run(100);
        let before = play.harness.log.len();
        play.run(30);
        let sent: std::collections::BTreeSet<_> = play.harness.log[before..].iter().filter_map(|action| match action {
            Action::Send { server, .. } => Some(*server),
            _ => None,
        }).collect();
        prop_assert_eq!(sent.len(), 6, "some get no requests: {:?}", sent);
        prop_assert!(play.zone(0).share > 0.9, "{:?}", play.zone(0));
    }
}
