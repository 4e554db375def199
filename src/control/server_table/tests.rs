//! The server table against a plain model of the list: which servers a node holds, how evenly the nodes'
//! subsets cover the servers, and how little a change of the list moves.

use super::*;
use crate::ServerEntry;
use proptest::prelude::*;
use rand_pcg::Pcg32;
use rand_pcg::rand_core::{RngCore, SeedableRng};
use std::net::SocketAddr;
use std::time::Duration;

const SUBSET_SIZE: usize = 128;

fn layout(node: usize, nodes: usize) -> RingLayout {
    RingLayout { node, nodes, by_zone: false, whole_cells: false }
}

fn backend(number: u64, state: ServerState, started: u64) -> Backend {
    let started = (started > 0).then(|| Duration::from_millis(started));
    let zone = (number % 3) as u8;
    // Four servers in a cell; the first of them is in the next cell while it has a start time.
    let cell = (number / 4) as u16 + if started.is_some() && number % 4 == 0 { 1 } else { 0 };
    let entry =
        ServerEntry { id: ServerId(number), zone, cell, state, started, weight: 1.0, ..Default::default() };
    let host = [127, 0, (number / 250) as u8, (number % 250) as u8];
    Backend { entry, address: SocketAddr::from((host, 80)) }
}

fn ready(numbers: impl Iterator<Item = u64>) -> Vec<Backend> {
    numbers.map(|number| backend(number, ServerState::Ready, 0)).collect()
}

fn list_update(kind: ListKind, backends: Vec<Backend>) -> ListUpdate {
    ListUpdate { kind, backends }
}

/// The servers that balancer and pool hold after the subset updates passed to them.
#[derive(Default)]
struct Receiver(BTreeMap<ServerId, Backend>);

impl Receiver {
    /// Applies an update, and returns how many servers it has.
    fn apply(&mut self, subset_update: SubsetUpdate) -> usize {
        let ListUpdate { kind, backends } = subset_update.update;
        if matches!(kind, ListKind::Full | ListKind::Cached) {
            self.0.clear();
        }
        let changes = backends.len();
        for backend in backends {
            match backend.entry.state {
                ServerState::Gone => self.0.remove(&backend.entry.id),
                _ => self.0.insert(backend.entry.id, backend),
            };
        }
        changes
    }

    fn in_state(&self, state: ServerState) -> BTreeSet<ServerId> {
        let matching = self.0.values().filter(|backend| backend.entry.state == state);
        matching.map(|backend| backend.entry.id).collect()
    }
}

/// A table with so many ready servers in its list, and the receiver of its updates.
fn table_with(layout: RingLayout, servers: u64) -> (ServerTable, Receiver) {
    let (mut table, mut receiver) = (ServerTable::new(SUBSET_SIZE, layout), Receiver::default());
    receiver.apply(table.apply(list_update(ListKind::Full, ready(0..servers)), layout));
    (table, receiver)
}

#[test]
fn a_ring_position_converts_back_to_its_server_id() {
    for number in [0, 1, 2, 77, u64::MAX / 3, u64::MAX] {
        let id = ServerId(number);
        assert_eq!(ServerId::at_ring_position(id.ring_position()), id);
    }
}

#[test]
fn the_numbers_of_nodes_that_hold_a_server_differ_by_at_most_one() {
    for (nodes, servers) in [(49, 520), (10, 1_000), (300, 200), (7, 144), (120, 997)] {
        let mut holders = BTreeMap::<ServerId, usize>::new();
        for node in 0..nodes {
            let (_, receiver) = table_with(layout(node, nodes), servers);
            receiver
                .in_state(ServerState::Ready)
                .into_iter()
                .for_each(|id| *holders.entry(id).or_default() += 1);
        }
        let (least, most) = (holders.values().min(), holders.values().max());
        assert_eq!(holders.len() as u64, servers.min(holders.len() as u64));
        assert!(
            most.zip(least).is_some_and(|(most, least)| most - least <= 1),
            "{nodes} {servers}: {holders:?}"
        );
    }
}

#[test]
fn an_added_or_removed_server_shifts_a_subset_by_at_most_one_server_at_each_end() {
    for node in 0..40 {
        let layout = layout(node, 40);
        let (mut table, mut receiver) = table_with(layout, 2_000);
        for number in 0..200 {
            let state = if number % 2 == 0 { ServerState::Gone } else { ServerState::Ready };
            let number = if number % 2 == 0 { number * 7 } else { 10_000 + number };
            let update = list_update(ListKind::Changes, vec![backend(number, state, 0)]);
            // The server itself, and at each end of the range one server that enters or leaves.
            assert!(receiver.apply(table.apply(update, layout)) <= 3, "node {node}, server {number}");
        }
    }
}

#[test]
fn a_removed_zone_is_replaced_by_servers_of_the_other_zones() {
    let layout = layout(3, 10);
    let (mut table, mut receiver) = table_with(layout, 3_000);
    let zone = (0..3_000).filter(|number| number % 3 == 1);
    let gone = zone.map(|number| backend(number, ServerState::Gone, 0)).collect();
    receiver.apply(table.apply(list_update(ListKind::Changes, gone), layout));
    assert_eq!(receiver.0.len(), SUBSET_SIZE + SUBSET_SIZE / 8);
    assert!(receiver.0.values().all(|backend| backend.entry.zone != 1));
    assert_eq!((table.ready_count(), table.held_count()), (2_000, receiver.0.len()));
}

#[test]
fn a_subset_of_each_zone_is_held_where_there_is_a_ring_for_each_zone() {
    let plain = layout(2, 9);
    let (mut table, mut receiver) = table_with(plain, 3_000);
    let by_zone = RingLayout { by_zone: true, ..plain };
    let moved = table.set_layout(by_zone).expect("another layout");
    assert_eq!(
        moved.rings.iter().map(|ring| (ring.zone, ring.ready)).collect::<Vec<_>>(),
        [(Some(0), 1_000), (Some(1), 1_000), (Some(2), 1_000)]
    );
    receiver.apply(moved);
    assert_eq!(receiver.0.len(), 3 * (SUBSET_SIZE + SUBSET_SIZE / 8));
    assert!(table.set_layout(by_zone).is_none());
    // A server whose zone has changed is on the ring of the new zone alone.
    let mut moved_server = backend(0, ServerState::Ready, 0);
    moved_server.entry.zone = 1;
    let update = table.apply(list_update(ListKind::Changes, vec![moved_server]), by_zone);
    assert_eq!(update.rings.iter().map(|ring| ring.ready).collect::<Vec<_>>(), [999, 1_001, 1_000]);
    receiver.apply(update);
    receiver.apply(table.set_layout(plain).expect("another layout"));
    assert_eq!(receiver.0.len(), SUBSET_SIZE + SUBSET_SIZE / 8);
}

#[test]
fn a_failed_fetch_is_passed_on_unchanged() {
    let layout = layout(0, 1);
    let (mut table, _) = table_with(layout, 300);
    let update = table.apply(list_update(ListKind::Failed, Vec::new()), layout);
    assert_eq!((update.update.kind, update.update.backends.len()), (ListKind::Failed, 0));
    assert_eq!(update.rings[0].ready, 300);
}

#[test]
fn a_ring_of_many_blocks_keeps_its_order_after_random_changes() {
    let (mut ring, mut model) = (Ring::default(), BTreeMap::new());
    let mut random = Pcg32::seed_from_u64(7);
    for round in 0..60_000u64 {
        // The ring grows, becomes empty, and grows again.
        let shrinking = round / 15_000 % 2 == 1;
        let number = u64::from(random.next_u32() % 5_000);
        let position = ServerId(number).ring_position();
        if random.next_u32() % 4 == 0 || shrinking && round % 15_000 < 14_000 {
            ring.remove(position);
            model.remove(&position);
        } else if !shrinking {
            ring.insert(position, CompactEntry::new(&backend(number, ServerState::Ready, round)));
            model.insert(position, round);
        }
        assert_eq!((ring.len(), ring.is_empty()), (model.len(), model.is_empty()));
        if round % 500 == 0 {
            let rank = if model.is_empty() { 0 } else { random.next_u32() as usize % model.len() };
            let rotated = model.iter().skip(rank).chain(model.iter().take(rank));
            let expected: Vec<_> = rotated.map(|(position, started)| (*position, *started)).collect();
            let started = |entry: &CompactEntry, position: u64| {
                let id = ServerId::at_ring_position(position);
                entry.to_backend(id, ServerState::Ready).entry.started.map_or(0, |at| at.as_millis() as u64)
            };
            let found: Vec<_> = ring
                .iter_from_rank(rank)
                .map(|(position, entry)| (*position, started(entry, *position)))
                .collect();
            assert_eq!(found, expected);
            for (position, start_time) in &model {
                assert_eq!(ring.get(*position).map(|entry| started(entry, *position)), Some(*start_time));
            }
        }
    }
}

/// One step of a random history: an update of the list, or a new layout.
#[derive(Clone, Debug)]
enum Step {
    /// Number, state and start time of each changed server.
    Changes(Vec<(u64, u8, u64)>),
    FullList {
        cached: bool,
        left_out: Vec<u64>,
        draining: Vec<u64>,
    },
    Layout {
        node: usize,
        nodes: usize,
        by_zone: bool,
        whole_cells: bool,
    },
}

fn step() -> impl Strategy<Value = Step> {
    let number = || 0u64..400;
    let line = (number(), 0u8..4, 0u64..3);
    prop_oneof![
        5 => prop::collection::vec(line, 0..30).prop_map(Step::Changes),
        1 => (any::<bool>(), prop::collection::vec(number(), 0..200), prop::collection::vec(number(), 0..40))
            .prop_map(|(cached, left_out, draining)| Step::FullList { cached, left_out, draining }),
        2 => (0usize..20, 1usize..20, any::<bool>(), any::<bool>())
            .prop_map(|(node, nodes, by_zone, whole_cells)| Step::Layout { node, nodes, by_zone, whole_cells }),
    ]
}

/// The whole list, as a node without a subset holds it.
#[derive(Default)]
struct Model(BTreeMap<ServerId, Backend>);

impl Model {
    /// Applies a step, and returns its update of the list, if it is one.
    fn apply(&mut self, step: &Step) -> Option<ListUpdate> {
        let (kind, backends) = match step {
            Step::Changes(lines) => {
                let lines: BTreeMap<_, _> = lines.iter().map(|line| (line.0, line)).collect();
                let entry = |(number, state, started): &(u64, u8, u64)| {
                    let state = match state {
                        0 => ServerState::Gone,
                        1 => ServerState::Draining,
                        _ => ServerState::Ready,
                    };
                    backend(*number, state, *started)
                };
                (ListKind::Changes, lines.into_values().map(entry).collect::<Vec<_>>())
            }
            Step::FullList { cached, left_out, draining } => {
                let listed = (0..400).filter(|number| !left_out.contains(number));
                let state = |number| {
                    if draining.contains(&number) { ServerState::Draining } else { ServerState::Ready }
                };
                let backends = listed.map(|number| backend(number, state(number), 1)).collect();
                (if *cached { ListKind::Cached } else { ListKind::Full }, backends)
            }
            Step::Layout { .. } => return None,
        };
        if kind != ListKind::Changes {
            self.0.clear();
        }
        for backend in &backends {
            match backend.entry.state {
                ServerState::Gone => self.0.remove(&backend.entry.id),
                _ => self.0.insert(backend.entry.id, backend.clone()),
            };
        }
        Some(list_update(kind, backends))
    }

    /// The ready servers that a node with this layout holds.
    fn subset(&self, layout: RingLayout) -> BTreeSet<ServerId> {
        let mut rings = BTreeMap::<Option<u8>, Vec<u64>>::new();
        for backend in self.0.values().filter(|backend| backend.entry.state == ServerState::Ready) {
            let zone = layout.by_zone.then_some(backend.entry.zone);
            rings.entry(zone).or_default().push(backend.entry.id.ring_position());
        }
        let mut subset = BTreeSet::new();
        for ring in rings.values_mut() {
            ring.sort_unstable();
            let range = layout.held_range(ring.len(), SUBSET_SIZE);
            let ranks = range.start..range.start + range.length;
            subset.extend(ranks.map(|rank| ServerId::at_ring_position(ring[rank % ring.len()])));
        }
        if layout.whole_cells {
            let ready = self.0.values().filter(|backend| backend.entry.state == ServerState::Ready);
            let cells: BTreeSet<_> = subset.iter().map(|id| self.0[id].entry.cell).collect();
            subset.extend(
                ready.filter(|backend| cells.contains(&backend.entry.cell)).map(|backend| backend.entry.id),
            );
        }
        subset
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..ProptestConfig::default() })]

    /// After any updates of the list and any layouts: the ready servers at a node are exactly its subset of
    /// the ready servers in the list, with the same entries; and a server that the node held and that drains
    /// by the list drains at the node too, until it is reported as gone.
    #[test]
    fn a_node_holds_its_subset_of_the_list_and_learns_of_every_drain(steps in prop::collection::vec(step(), 1..25)) {
        let mut layout = layout(0, 1);
        let (mut table, mut receiver, mut model) = (ServerTable::new(SUBSET_SIZE, layout), Receiver::default(), Model::default());
        for step in &steps {
            let ready_before = receiver.in_state(ServerState::Ready);
            if let &Step::Layout { node, nodes, by_zone, whole_cells } = step {
                layout = RingLayout { node, nodes, by_zone, whole_cells };
            }
            match model.apply(step) {
                Some(update) => drop(receiver.apply(table.apply(update, layout))),
                None => drop(table.set_layout(layout).map(|moved| receiver.apply(moved))),
            }
            prop_assert_eq!(&receiver.in_state(ServerState::Ready), &model.subset(layout));
            for (id, held) in &receiver.0 {
                let listed = model.0.get(id);
                prop_assert!(listed.is_some_and(|listed| listed.entry == held.entry && listed.address == held.address));
            }
            for id in ready_before {
                let drains = model.0.get(&id).is_some_and(|listed| listed.entry.state == ServerState::Draining);
                let state = receiver.0.get(&id).map(|held| held.entry.state);
                prop_assert!(!drains || state == Some(ServerState::Draining));
            }
            prop_assert_eq!(table.held_count(), receiver.0.len());
        }
    }
}
