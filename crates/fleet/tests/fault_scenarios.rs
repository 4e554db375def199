//! The hard cases of membership, each by its promise, on a network in virtual time.

mod sim_network;

use hillpick_fleet::{Address, Cause, Certainty, Membership, Output, Rejected, Settings};
use rand::Rng;
use sim_network::{Net, name, s};
use std::collections::BTreeMap;
use std::time::Duration;

/// After faults end, all hold the same view within this, at these sizes, in s: the time in which a suspicion ripens
/// at 30 nodes (3 s), the calls at those taken for dead (every 5 s, two of them), and as much again.
const BOUND: f64 = 30.0;

#[test]
fn a_cut_in_half_makes_two_minorities_and_heals() {
    let mut net = Net::settled(12, 1);
    net.cut = Box::new(|from, to| (from < 6) != (to < 6));
    net.run(20.0);
    for node in 0..12 {
        let agreement = net.agreement(node);
        assert_eq!((agreement.members, agreement.certainty), (6, Certainty::Minority));
        assert_eq!(agreement.could_be_alive, 12, "nobody takes the other half for dead");
    }
    net.cut = Box::new(|_, _| false);
    net.converges(BOUND);
    // What others said before counts for ten periods, and agreement has to last for three.
    net.certainties();
    net.run(15.0);
    net.certainties();
    net.run(5.0);
    assert!(net.certainties().iter().all(|certainty| *certainty == Certainty::Agreed));
}

#[test]
fn one_way_loss_between_two_nodes_kills_nobody() {
    let mut net = Net::settled(12, 2);
    let since = net.now;
    net.cut = Box::new(|from, to| (from, to) == (3, 5));
    net.run(40.0);
    assert_eq!(net.changes(since, Cause::Failed), BTreeMap::new(), "others probe in their stead");
}

#[test]
fn a_node_that_nobody_hears_is_out_and_comes_back() {
    let mut net = Net::settled(12, 3);
    net.cut = Box::new(|from, _| from == 4);
    net.run(20.0);
    for node in (0..12).filter(|node| *node != 4) {
        assert_eq!(net.agreement(node).members, 11);
    }
    net.cut = Box::new(|_, _| false);
    net.converges(BOUND);
}

#[test]
fn seven_in_ten_killed_at_once_and_back() {
    let mut net = Net::settled(30, 4);
    (0..21).for_each(|node| net.kill(node));
    net.run(5.0);
    assert!(net.used() <= 1.0, "nine nodes that see a minority use no more than their parts of thirty");
    net.run(4.0);
    (0..21).for_each(|node| net.start(node));
    net.converges(BOUND);
}

#[test]
fn all_restart_at_once_with_saved_lists_some_of_them_stale() {
    let mut net = Net::settled(20, 5);
    (0..20).for_each(|node| net.kill(node));
    net.run(3.0);
    for node in 0..20 {
        // A third of the lists holds only addresses at which nobody is any more, and one's own.
        let seeds = (0..20).filter(|number| number % 2 == node % 2 || node % 5 == 0);
        let mut seeds: Vec<_> = seeds.map(|number| Address::Node(number as u16)).collect();
        if node % 3 == 1 {
            seeds = vec![Address::Node(900), Address::Node(901), Address::Node(node as u16)];
        }
        net.start_with(node, seeds);
    }
    // Those with dead lists know nobody, and are found by those who know their addresses.
    net.converges(2.0 * BOUND);
}

#[test]
fn three_hundred_join_within_a_second() {
    let mut net = Net::new(300, 6);
    for node in 0..300 {
        net.start(node);
        net.run(1.0 / 300.0);
    }
    net.converges(BOUND);
}

#[test]
fn a_node_that_flaps_costs_nobody_else_a_place() {
    let mut net = Net::settled(12, 7);
    let since = net.now;
    for _ in 0..10 {
        net.kill(0);
        net.run(3.0);
        net.start(0);
        net.run(3.0);
    }
    let failed = net.changes(since, Cause::Failed);
    assert!(failed.keys().all(|who| *who == name(0)), "{failed:?}");
    net.converges(BOUND);
}

/// It wakes with ten seconds' timers due and a full inbox: it doubts itself and takes nobody for dead.
#[test]
fn a_stopped_node_doubts_itself_when_it_goes_on() {
    let mut net = Net::settled(12, 8);
    let since = net.now;
    net.nodes[2].stopped_until = net.now + s(10.0);
    net.run(10.2);
    let health = net.nodes[2].core.as_ref().map(|core| core.health().score());
    assert!(health >= Some(4), "{health:?}");
    net.run(20.0);
    let own =
        net.nodes[2].changes.iter().filter(|(at, change)| *at >= since && change.cause == Cause::Failed);
    assert_eq!(own.count(), 0, "it declares nobody dead");
    net.converges(BOUND);
    assert_eq!(net.nodes[2].core.as_ref().map(|core| core.health().score()), Some(0));
}

/// Its wall clock went back by an hour before it started anew: at its own address, it is still the later life.
#[test]
fn a_clock_step_of_an_hour_keeps_nobody_out() {
    let mut net = Net::settled(6, 9);
    net.nodes[1].identity.started_ms += 3_600_000;
    net.kill(1);
    net.start(1);
    net.converges(BOUND);
    // Forward steps are nothing; what went back is a life that others know to be older than the one they hold.
    let held = net.nodes[0].core.as_ref().map(|core| core.members(net.now));
    let started = held.unwrap().into_iter().find(|member| member.identity.name == name(1)).unwrap();
    assert_eq!(started.identity.started_ms, net.nodes[1].identity.started_ms);
}

/// Its wall clock went back by an hour, and nothing tells it when it ran before but those who still probe that life.
#[test]
fn a_clock_set_back_by_an_hour_keeps_nobody_out() {
    for waits in [0.5, 20.0] {
        let mut net = Net::new(6, 22);
        net.nodes[1].identity.started_ms += 7_200_000;
        (0..6).for_each(|node| net.start(node));
        net.converges(BOUND);
        net.kill(1);
        net.run(waits);
        net.nodes[1].identity.started_ms -= 3_600_000;
        let addresses = net.addresses();
        net.start_as_it_is(1, addresses);
        net.converges(BOUND);
        assert!(!net.nodes[1].displaced);
        let core = net.nodes[1].core.as_ref().unwrap();
        assert!(
            core.local_identity().started_ms > net.nodes[1].identity.started_ms + 3_599_000,
            "after its earlier life"
        );
    }
}

/// At two fifths lost each way nearly half of all probes fail, by way of others too: a suspect is called before it is dead.
#[test]
fn a_suspect_that_answers_a_call_is_not_taken_for_dead() {
    let deaths = |local_health: bool| {
        let mut net = Net::new(30, 23);
        net.settings.local_health = local_health;
        (0..30).for_each(|node| net.start(node));
        net.converges(60.0);
        let since = net.now;
        net.loss = 0.4;
        net.run(120.0);
        let spared: u64 = net
            .live()
            .iter()
            .map(|node| net.nodes[*node].core.as_ref().unwrap().counters().suspicions_cleared)
            .sum();
        (net.changes(since, Cause::Failed).values().sum::<usize>(), spared)
    };
    let (with, spared) = deaths(true);
    let (without, _) = deaths(false);
    assert!(spared > 0 && without >= 10 && with * 5 <= without, "{with} deaths, {without} without");
}

/// A newcomer reads the list in pages, in a few periods; by gossip alone it takes several times as long.
#[test]
fn a_newcomer_reads_the_whole_list_at_once() {
    let mut net = Net::settled(200, 24);
    net.kill(7);
    net.run(20.0);
    net.start(7);
    net.run(3.0);
    assert_eq!(net.agreement(7).members, 200);
}

#[test]
fn the_same_name_at_a_new_address_and_the_same_address_with_a_new_name() {
    let mut net = Net::settled(8, 10);
    net.kill(3);
    net.nodes[3].identity.address = Address::Node(700);
    net.start(3);
    net.converges(BOUND);
    net.kill(4);
    net.nodes[4].identity.name = name(90);
    net.start(4);
    net.converges(BOUND);
}

#[test]
fn a_list_of_dead_seeds_only_is_survived_if_another_knows_the_way() {
    let mut net = Net::settled(6, 11);
    net.kill(5);
    net.run(15.0);
    net.start_with(5, vec![Address::Node(800), Address::Node(801)]);
    net.converges(2.0 * BOUND);
}

/// Of two processes with one name the later is the member; the earlier says who, and stays out. Nobody flaps.
#[test]
fn two_processes_that_claim_one_name() {
    let mut net = Net::settled(8, 12);
    let twin = clone_of(&net, 2, Address::Node(600));
    net.nodes.push(twin);
    net.start(8);
    net.run(20.0);
    assert!(net.nodes[2].displaced && !net.nodes[8].displaced);
    let since = net.now;
    net.run(30.0);
    let moved: usize = [Cause::Failed, Cause::Returned, Cause::Joined, Cause::Left]
        .map(|cause| net.changes(since, cause).values().sum::<usize>())
        .into_iter()
        .sum();
    assert_eq!(moved, 0, "nobody flaps");
    net.converges(BOUND);
}

fn clone_of(net: &Net, node: usize, address: Address) -> sim_network::Node {
    let mut other = Net::new(1, 1).nodes.remove(0);
    other.identity = net.nodes[node].identity.clone();
    other.identity.address = address;
    other
}

#[test]
fn loss_of_up_to_a_fifth_doubles_and_disorder_kill_nobody() {
    for (seed, loss, twice) in [(13, 0.01, 0.0), (14, 0.05, 0.1), (15, 0.2, 0.3)] {
        let mut net = Net::settled(20, seed);
        let since = net.now;
        (net.loss, net.twice) = (loss, twice);
        net.run(60.0);
        let failed: usize = net.changes(since, Cause::Failed).values().sum();
        assert_eq!(failed, 0, "loss {loss}");
        let rejected: u64 = net
            .live()
            .iter()
            .filter_map(|node| {
                net.nodes[*node].core.as_ref()?.counters().rejected.get(&Rejected::Replayed).copied()
            })
            .sum();
        assert_eq!(rejected > 0, twice > 0.0, "what comes twice is dropped, and nothing else is");
    }
}

#[test]
fn one_in_twenty_starved_nodes_kill_nobody() {
    let mut net = Net::settled(20, 16);
    let since = net.now;
    net.nodes[7].slow = Duration::from_millis(40);
    net.run(60.0);
    let failed: usize =
        net.changes(since, Cause::Failed).into_iter().filter(|(who, _)| *who != name(7)).map(|f| f.1).sum();
    assert_eq!(failed, 0);
}

#[test]
fn leaving_is_told_apart_from_failing() {
    let mut net = Net::settled(12, 17);
    let since = net.now;
    net.leave(5);
    net.kill(6);
    net.converges(BOUND);
    net.run(5.0);
    // Who hears of a leave after that somebody is gone sets it right.
    assert_eq!(net.changes(since, Cause::Left).get(&name(5)), Some(&10));
    for node in net.live() {
        let core = net.nodes[node].core.as_ref().unwrap();
        let mut gone: Vec<_> = core.departed(net.now).map(|(who, cause, _)| (who.name, cause)).collect();
        gone.sort_by_key(|a| a.0);
        assert_eq!(gone, [(name(5), Cause::Left), (name(6), Cause::Failed)], "{node}");
        assert_eq!((core.counters().left, core.counters().failed), (1, 1));
    }
}

#[test]
fn a_leave_that_is_lost_is_a_failure_like_any_other() {
    let mut net = Net::settled(12, 18);
    net.cut = Box::new(|from, _| from == 5);
    net.leave(5);
    net.cut = Box::new(|_, _| false);
    net.converges(BOUND);
}

/// What is no datagram of this cluster changes nothing and is counted by why.
#[test]
fn whatever_comes_is_counted_and_dropped() {
    let mut net = Net::settled(3, 19);
    let mut other = Net::new(3, 20);
    other.settings.cluster = "another".into();
    let (now, mut out) = (net.now, Vec::new());
    let mut foreign = Membership::new(
        other.nodes[1].identity.clone(),
        other.settings.clone(),
        vec![Address::Node(0)],
        1,
        now,
    );
    foreign.tick(now + s(1.0), &mut out);
    let Some(Output::Send { data: foreign, .. }) = out.pop() else { panic!("a call") };
    let mut random = net.random.clone();
    let core = net.nodes[0].core.as_mut().unwrap();
    let before = core.members(now).len();
    for _ in 0..2000 {
        let length = random.random_range(0..300);
        let noise: Vec<u8> = (0..length).map(|_| random.random()).collect();
        core.receive(now, &noise, &mut out);
        // A head that is right, and a body that is not.
        let mut noise = noise;
        noise.splice(0..noise.len().min(30), []);
        let mut data = foreign[..30].to_vec();
        data.extend(noise);
        core.receive(now, &data, &mut out);
    }
    core.receive(now, &foreign, &mut out);
    assert_eq!(core.members(now).len(), before);
    let rejected = &core.counters().rejected;
    for why in [Rejected::TooLong, Rejected::Truncated, Rejected::Garbage, Rejected::Foreign] {
        assert!(rejected.get(&why).is_some_and(|count| *count > 0), "{why:?}: {rejected:?}");
    }
}

/// More names than are kept: the rest is dropped, and what is kept stays.
#[test]
fn no_more_members_than_the_bound_are_kept() {
    let mut net = Net::new(12, 21);
    net.settings = Settings { max_members: 5, ..net.settings.clone() };
    (0..12).for_each(|node| net.start(node));
    net.run(30.0);
    for node in net.live() {
        let held = net.nodes[node].core.as_ref().unwrap().members(net.now).len();
        assert!((1..=5).contains(&held), "{held}");
    }
}
