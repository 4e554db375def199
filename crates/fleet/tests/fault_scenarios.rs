//! What membership promises in each kind of fault, on a simulated network in virtual time.

mod sim_network;

use hillpick_fleet::{Address, Cause, Certainty, Membership, Output, Rejected, Settings};
use rand::Rng;
use sim_network::{SimNetwork, name, secs};
use std::collections::BTreeMap;
use std::time::Duration;

/// The seconds within which all views converge after faults end, at the sizes used here: the suspicion
/// timeout at 30 nodes (3 s), the announcements to members declared dead (every 5 s, to two of them), and as
/// much again.
const CONVERGENCE_BOUND_S: f64 = 30.0;

#[test]
fn an_even_partition_makes_two_minorities_and_heals() {
    let mut network = SimNetwork::settled(12, 1);
    network.is_cut = Box::new(|from, to| (from < 6) != (to < 6));
    network.run(20.0);
    for node in 0..12 {
        let agreement = network.agreement(node);
        assert_eq!((agreement.members, agreement.certainty), (6, Certainty::Minority));
        assert_eq!(agreement.could_be_alive, 12, "neither half counts the other as dead");
    }
    network.is_cut = Box::new(|_, _| false);
    network.converge_within(CONVERGENCE_BOUND_S);
    // Digests received before count for ten periods, and the views must have agreed for three.
    network.certainties();
    network.run(15.0);
    network.certainties();
    network.run(5.0);
    assert!(network.certainties().iter().all(|certainty| *certainty == Certainty::Agreed));
}

#[test]
fn one_way_loss_between_two_nodes_causes_no_false_death() {
    let mut network = SimNetwork::settled(12, 2);
    let since = network.now;
    network.is_cut = Box::new(|from, to| (from, to) == (3, 5));
    network.run(40.0);
    assert_eq!(
        network.changes(since, Cause::Failed),
        BTreeMap::new(),
        "indirect probes still reach the member"
    );
}

#[test]
fn a_node_that_nobody_receives_from_is_removed_and_rejoins() {
    let mut network = SimNetwork::settled(12, 3);
    network.is_cut = Box::new(|from, _| from == 4);
    network.run(20.0);
    for node in (0..12).filter(|node| *node != 4) {
        assert_eq!(network.agreement(node).members, 11);
    }
    network.is_cut = Box::new(|_, _| false);
    network.converge_within(CONVERGENCE_BOUND_S);
}

#[test]
fn seven_in_ten_nodes_are_killed_at_once_and_rejoin() {
    let mut network = SimNetwork::settled(30, 4);
    (0..21).for_each(|node| network.kill(node));
    network.run(5.0);
    assert!(
        network.total_use() <= 1.0,
        "nine nodes with minority views use no more than their parts of thirty"
    );
    network.run(4.0);
    (0..21).for_each(|node| network.start(node));
    network.converge_within(CONVERGENCE_BOUND_S);
}

#[test]
fn all_nodes_restart_at_once_with_saved_seeds_some_of_them_stale() {
    let mut network = SimNetwork::settled(20, 5);
    (0..20).for_each(|node| network.kill(node));
    network.run(3.0);
    for node in 0..20 {
        // A third of the nodes have only seeds at which no node is any more, and their own address.
        let seeds = (0..20).filter(|number| number % 2 == node % 2 || node % 5 == 0);
        let mut seeds: Vec<_> = seeds.map(|number| Address::Node(number as u16)).collect();
        if node % 3 == 1 {
            seeds = vec![Address::Node(900), Address::Node(901), Address::Node(node as u16)];
        }
        network.start_with_seeds(node, seeds);
    }
    // Nodes with only stale seeds are found by the nodes that have their addresses.
    network.converge_within(2.0 * CONVERGENCE_BOUND_S);
}

#[test]
fn three_hundred_nodes_that_join_within_a_second_converge() {
    let mut network = SimNetwork::new(300, 6);
    for node in 0..300 {
        network.start(node);
        network.run(1.0 / 300.0);
    }
    network.converge_within(CONVERGENCE_BOUND_S);
}

#[test]
fn a_flapping_node_causes_no_other_member_to_be_declared_dead() {
    let mut network = SimNetwork::settled(12, 7);
    let since = network.now;
    for _ in 0..10 {
        network.kill(0);
        network.run(3.0);
        network.start(0);
        network.run(3.0);
    }
    let failed = network.changes(since, Cause::Failed);
    assert!(failed.keys().all(|member| *member == name(0)), "{failed:?}");
    network.converge_within(CONVERGENCE_BOUND_S);
}

/// After a stop a node has ten seconds of timers due and a full inbox. It must blame itself, by its local
/// health score, and not declare the others dead.
#[test]
fn a_node_that_was_stopped_degrades_its_local_health_and_declares_nobody_dead() {
    let mut network = SimNetwork::settled(12, 8);
    let since = network.now;
    network.nodes[2].stopped_until = network.now + secs(10.0);
    network.run(10.2);
    let health = network.nodes[2].core.as_ref().map(|core| core.health().score());
    assert!(health >= Some(4), "{health:?}");
    network.run(20.0);
    let declared =
        network.nodes[2].changes.iter().filter(|(at, change)| *at >= since && change.cause == Cause::Failed);
    assert_eq!(declared.count(), 0, "it declares nobody dead");
    network.converge_within(CONVERGENCE_BOUND_S);
    assert_eq!(network.nodes[2].core.as_ref().map(|core| core.health().score()), Some(0));
}

/// A node's wall clock steps forward by an hour before it restarts: the restart is accepted with its new
/// start time.
#[test]
fn a_clock_that_steps_forward_by_an_hour_keeps_no_node_out() {
    let mut network = SimNetwork::settled(6, 9);
    network.nodes[1].identity.started_ms += 3_600_000;
    network.kill(1);
    network.start(1);
    network.converge_within(CONVERGENCE_BOUND_S);
    // A later start always replaces an earlier one; only a start that lies before the known one is refused.
    let members = network.nodes[0].core.as_ref().map(|core| core.members(network.now));
    let restarted = members.unwrap().into_iter().find(|member| member.identity.name == name(1)).unwrap();
    assert_eq!(restarted.identity.started_ms, network.nodes[1].identity.started_ms);
}

/// A node's wall clock is set back by an hour before it restarts, and it has no saved start. Its new start
/// lies before the one that the others know, so that they would ignore it; it learns of that start from those
/// that still probe it.
#[test]
fn a_clock_set_back_by_an_hour_keeps_no_node_out() {
    for downtime_s in [0.5, 20.0] {
        let mut network = SimNetwork::new(6, 22);
        network.nodes[1].identity.started_ms += 7_200_000;
        (0..6).for_each(|node| network.start(node));
        network.converge_within(CONVERGENCE_BOUND_S);
        network.kill(1);
        network.run(downtime_s);
        network.nodes[1].identity.started_ms -= 3_600_000;
        let addresses = network.addresses();
        network.start_with_clock_as_is(1, addresses);
        network.converge_within(CONVERGENCE_BOUND_S);
        assert!(!network.nodes[1].displaced);
        let core = network.nodes[1].core.as_ref().unwrap();
        assert!(
            core.local_identity().started_ms > network.nodes[1].identity.started_ms + 3_599_000,
            "its start moves after its earlier one"
        );
    }
}

/// With two fifths of datagrams lost each way, nearly half of all probes fail, indirect ones included.
/// Suspects are therefore contacted directly before they are declared dead.
#[test]
fn a_suspect_that_answers_a_direct_contact_is_not_declared_dead() {
    let deaths = |local_health: bool| {
        let mut network = SimNetwork::new(30, 23);
        network.settings.local_health = local_health;
        (0..30).for_each(|node| network.start(node));
        network.converge_within(60.0);
        let since = network.now;
        network.loss = 0.4;
        network.run(120.0);
        let cleared: u64 = network
            .live()
            .iter()
            .map(|node| network.nodes[*node].core.as_ref().unwrap().counters().suspicions_cleared)
            .sum();
        (network.changes(since, Cause::Failed).values().sum::<usize>(), cleared)
    };
    let (with, cleared) = deaths(true);
    let (without, _) = deaths(false);
    assert!(
        cleared > 0 && without >= 10 && with * 5 <= without,
        "{with} deaths with local health, {without} without"
    );
}

/// A newcomer reads the member list in pages within a few periods; by gossip alone it would take several
/// times as long.
#[test]
fn a_newcomer_learns_of_all_members_within_three_seconds() {
    let mut network = SimNetwork::settled(200, 24);
    network.kill(7);
    network.run(20.0);
    network.start(7);
    network.run(3.0);
    assert_eq!(network.agreement(7).members, 200);
}

#[test]
fn a_name_may_move_to_a_new_address_and_an_address_to_a_new_name() {
    let mut network = SimNetwork::settled(8, 10);
    network.kill(3);
    network.nodes[3].identity.address = Address::Node(700);
    network.start(3);
    network.converge_within(CONVERGENCE_BOUND_S);
    network.kill(4);
    network.nodes[4].identity.name = name(90);
    network.start(4);
    network.converge_within(CONVERGENCE_BOUND_S);
}

#[test]
fn a_node_with_only_stale_seeds_joins_if_another_has_its_address() {
    let mut network = SimNetwork::settled(6, 11);
    network.kill(5);
    network.run(15.0);
    network.start_with_seeds(5, vec![Address::Node(800), Address::Node(801)]);
    network.converge_within(2.0 * CONVERGENCE_BOUND_S);
}

/// Of two processes with one name the later one is the member. The earlier one reports which process
/// displaced it and stays out, so that the two don't replace each other again and again.
#[test]
fn of_two_processes_with_one_name_only_the_later_is_a_member() {
    let mut network = SimNetwork::settled(8, 12);
    let duplicate = clone_of(&network, 2, Address::Node(600));
    network.nodes.push(duplicate);
    network.start(8);
    network.run(20.0);
    assert!(network.nodes[2].displaced && !network.nodes[8].displaced);
    let since = network.now;
    network.run(30.0);
    let changes: usize = [Cause::Failed, Cause::Returned, Cause::Joined, Cause::Left]
        .map(|cause| network.changes(since, cause).values().sum::<usize>())
        .into_iter()
        .sum();
    assert_eq!(changes, 0, "no member flaps");
    network.converge_within(CONVERGENCE_BOUND_S);
}

/// A node with the identity of another, at another address.
fn clone_of(network: &SimNetwork, node: usize, address: Address) -> sim_network::Node {
    let mut clone = SimNetwork::new(1, 1).nodes.remove(0);
    clone.identity = network.nodes[node].identity.clone();
    clone.identity.address = address;
    clone
}

#[test]
fn loss_up_to_a_fifth_duplicates_and_reordering_cause_no_false_death() {
    for (seed, loss, duplication) in [(13, 0.01, 0.0), (14, 0.05, 0.1), (15, 0.2, 0.3)] {
        let mut network = SimNetwork::settled(20, seed);
        let since = network.now;
        (network.loss, network.duplication) = (loss, duplication);
        network.run(60.0);
        let failed: usize = network.changes(since, Cause::Failed).values().sum();
        assert_eq!(failed, 0, "loss {loss}");
        let rejected: u64 = network
            .live()
            .iter()
            .filter_map(|node| {
                network.nodes[*node].core.as_ref()?.counters().rejected.get(&Rejected::Replayed).copied()
            })
            .sum();
        assert_eq!(rejected > 0, duplication > 0.0, "only duplicates are rejected as replays");
    }
}

#[test]
fn a_starved_node_in_twenty_causes_no_false_death_of_others() {
    let mut network = SimNetwork::settled(20, 16);
    let since = network.now;
    network.nodes[7].event_delay = Duration::from_millis(40);
    network.run(60.0);
    let failed: usize = network
        .changes(since, Cause::Failed)
        .into_iter()
        .filter(|(member, _)| *member != name(7))
        .map(|f| f.1)
        .sum();
    assert_eq!(failed, 0);
}

#[test]
fn a_graceful_leave_is_told_apart_from_a_failure() {
    let mut network = SimNetwork::settled(12, 17);
    let since = network.now;
    network.leave(5);
    network.kill(6);
    network.converge_within(CONVERGENCE_BOUND_S);
    network.run(5.0);
    // A node that learns of the leave after it has removed the member corrects the cause.
    assert_eq!(network.changes(since, Cause::Left).get(&name(5)), Some(&10));
    for node in network.live() {
        let core = network.nodes[node].core.as_ref().unwrap();
        let mut gone: Vec<_> =
            core.departed(network.now).map(|(member, cause, _)| (member.name, cause)).collect();
        gone.sort_by_key(|a| a.0);
        assert_eq!(gone, [(name(5), Cause::Left), (name(6), Cause::Failed)], "{node}");
        assert_eq!((core.counters().left, core.counters().failed), (1, 1));
    }
}

#[test]
fn a_leave_whose_datagrams_are_lost_is_detected_as_a_failure() {
    let mut network = SimNetwork::settled(12, 18);
    network.is_cut = Box::new(|from, _| from == 5);
    network.leave(5);
    network.is_cut = Box::new(|_, _| false);
    network.converge_within(CONVERGENCE_BOUND_S);
}

/// Datagrams that don't belong to this cluster change nothing, and are counted by the reason for dropping
/// them.
#[test]
fn invalid_datagrams_are_dropped_and_counted_by_reason() {
    let mut network = SimNetwork::settled(3, 19);
    let mut other = SimNetwork::new(3, 20);
    other.settings.cluster = "another".into();
    let (now, mut out) = (network.now, Vec::new());
    let mut foreign = Membership::new(
        other.nodes[1].identity.clone(),
        other.settings.clone(),
        vec![Address::Node(0)],
        1,
        now,
    );
    foreign.tick(now + secs(1.0), &mut out);
    let Some(Output::Send { data: foreign, .. }) = out.pop() else { panic!("expected a hello to the seed") };
    let mut random = network.random.clone();
    let core = network.nodes[0].core.as_mut().unwrap();
    let before = core.members(now).len();
    for _ in 0..2000 {
        let length = random.random_range(0..300);
        let noise: Vec<u8> = (0..length).map(|_| random.random()).collect();
        core.receive(now, &noise, &mut out);
        // A valid header with an invalid body.
        let mut noise = noise;
        noise.splice(0..noise.len().min(30), []);
        let mut data = foreign[..30].to_vec();
        data.extend(noise);
        core.receive(now, &data, &mut out);
    }
    core.receive(now, &foreign, &mut out);
    assert_eq!(core.members(now).len(), before);
    let rejected = &core.counters().rejected;
    for reason in [Rejected::TooLong, Rejected::Truncated, Rejected::Garbage, Rejected::Foreign] {
        assert!(rejected.get(&reason).is_some_and(|count| *count > 0), "{reason:?}: {rejected:?}");
    }
}

/// With more names in the fleet than a node may keep, it keeps up to its limit and drops the rest.
#[test]
fn no_more_members_than_the_limit_are_kept() {
    let mut network = SimNetwork::new(12, 21);
    network.settings = Settings { max_members: 5, ..network.settings.clone() };
    (0..12).for_each(|node| network.start(node));
    network.run(30.0);
    for node in network.live() {
        let held = network.nodes[node].core.as_ref().unwrap().members(network.now).len();
        assert!((1..=5).contains(&held), "{held}");
    }
}
