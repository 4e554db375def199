//! A subset against a plain model of the list: what a node holds, how evenly, and how little a change moves.

use super::*;
use crate::ServerEntry;
use proptest::prelude::*;
use rand_pcg::Pcg32;
use rand_pcg::rand_core::{RngCore, SeedableRng};
use std::net::SocketAddr;
use std::time::Duration;

const SERVERS: usize = 128;

fn layout(node: usize, nodes: usize) -> RingLayout {
    RingLayout { node, nodes, by_zone: false, whole_cells: false }
}

fn backend(number: u64, state: ServerState, started: u64) -> Backend {
    let started = (started > 0).then(|| Duration::from_millis(started));
    let zone = (number % 3) as u8;
    // Four servers in a cell; one of them is in another while it is cold.
    let cell = (number / 4) as u16 + if started.is_some() && number % 4 == 0 { 1 } else { 0 };
    let entry =
        ServerEntry { id: ServerId(number), zone, cell, state, started, weight: 1.0, ..Default::default() };
    let host = [127, 0, (number / 250) as u8, (number % 250) as u8];
    Backend { entry, address: SocketAddr::from((host, 80)) }
}

fn ready(numbers: impl Iterator<Item = u64>) -> Vec<Backend> {
    numbers.map(|number| backend(number, ServerState::Ready, 0)).collect()
}

fn update(kind: ListKind, backends: Vec<Backend>) -> ListUpdate {
    ListUpdate { kind, backends }
}

/// What balancer and pool hold after what they were told.
#[derive(Default)]
struct Told(BTreeMap<ServerId, Backend>);

impl Told {
    fn take(&mut self, told: SubsetUpdate) -> usize {
        let ListUpdate { kind, backends } = told.update;
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
        let some = self.0.values().filter(|backend| backend.entry.state == state);
        some.map(|backend| backend.entry.id).collect()
    }
}

fn start(layout: RingLayout, servers: u64) -> (ServerTable, Told) {
    let (mut roster, mut told) = (ServerTable::new(SERVERS, layout), Told::default());
    told.take(roster.apply(update(ListKind::Full, ready(0..servers)), layout));
    (roster, told)
}

#[test]
fn a_position_on_the_ring_tells_its_server() {
    for number in [0, 1, 2, 77, u64::MAX / 3, u64::MAX] {
        let id = ServerId(number);
        assert_eq!(ServerId::at_ring_position(id.ring_position()), id);
    }
}

#[test]
fn each_server_is_held_by_as_many_nodes_as_any_other_but_for_one() {
    for (nodes, servers) in [(49, 520), (10, 1_000), (300, 200), (7, 144), (120, 997)] {
        let mut holders = BTreeMap::<ServerId, usize>::new();
        for node in 0..nodes {
            let (_, told) = start(layout(node, nodes), servers);
            told.in_state(ServerState::Ready).into_iter().for_each(|id| *holders.entry(id).or_default() += 1);
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
fn a_server_that_comes_or_goes_moves_a_part_by_one_server_at_either_end() {
    for node in 0..40 {
        let layout = layout(node, 40);
        let (mut roster, mut told) = start(layout, 2_000);
        for number in 0..200 {
            let state = if number % 2 == 0 { ServerState::Gone } else { ServerState::Ready };
            let number = if number % 2 == 0 { number * 7 } else { 10_000 + number };
            let news = update(ListKind::Changes, vec![backend(number, state, 0)]);
            // The server itself, and at each end one that enters or leaves.
            assert!(told.take(roster.apply(news, layout)) <= 3, "node {node}, server {number}");
        }
    }
}

#[test]
fn a_zone_that_goes_is_made_up_for_from_the_rest_of_the_list() {
    let layout = layout(3, 10);
    let (mut roster, mut told) = start(layout, 3_000);
    let zone = (0..3_000).filter(|number| number % 3 == 1);
    let gone = zone.map(|number| backend(number, ServerState::Gone, 0)).collect();
    told.take(roster.apply(update(ListKind::Changes, gone), layout));
    assert_eq!(told.0.len(), SERVERS + SERVERS / 8);
    assert!(told.0.values().all(|backend| backend.entry.zone != 1));
    assert_eq!((roster.ready_count(), roster.held_count()), (2_000, told.0.len()));
}

#[test]
fn each_zone_is_held_in_part_where_the_node_goes_by_them() {
    let plain = layout(2, 9);
    let (mut roster, mut told) = start(plain, 3_000);
    let by_zone = RingLayout { by_zone: true, ..plain };
    let moved = roster.set_layout(by_zone).expect("another layout");
    assert_eq!(
        moved.rings.iter().map(|ring| (ring.zone, ring.ready)).collect::<Vec<_>>(),
        [(Some(0), 1_000), (Some(1), 1_000), (Some(2), 1_000)]
    );
    told.take(moved);
    assert_eq!(told.0.len(), 3 * (SERVERS + SERVERS / 8));
    assert!(roster.set_layout(by_zone).is_none());
    // A server that is listed in another zone than before stands on one ring alone.
    let mut other = backend(0, ServerState::Ready, 0);
    other.entry.zone = 1;
    let news = roster.apply(update(ListKind::Changes, vec![other]), by_zone);
    assert_eq!(news.rings.iter().map(|ring| ring.ready).collect::<Vec<_>>(), [999, 1_001, 1_000]);
    told.take(news);
    told.take(roster.set_layout(plain).expect("another layout"));
    assert_eq!(told.0.len(), SERVERS + SERVERS / 8);
}

#[test]
fn a_failed_call_for_the_list_is_passed_on_as_it_is() {
    let layout = layout(0, 1);
    let (mut roster, _) = start(layout, 300);
    let news = roster.apply(update(ListKind::Failed, Vec::new()), layout);
    assert_eq!((news.update.kind, news.update.backends.len()), (ListKind::Failed, 0));
    assert_eq!(news.rings[0].ready, 300);
}

#[test]
fn a_ring_of_many_blocks_stands_in_order_after_any_changes() {
    let (mut ring, mut model) = (Ring::default(), BTreeMap::new());
    let mut random = Pcg32::seed_from_u64(7);
    for round in 0..60_000u64 {
        // It grows, shrinks to nothing, and grows again.
        let shrinks = round / 15_000 % 2 == 1;
        let number = u64::from(random.next_u32() % 5_000);
        let position = ServerId(number).ring_position();
        if random.next_u32() % 4 == 0 || shrinks && round % 15_000 < 14_000 {
            ring.remove(position);
            model.remove(&position);
        } else if !shrinks {
            ring.put(position, Listed::new(&backend(number, ServerState::Ready, round)));
            model.insert(position, round);
        }
        assert_eq!((ring.len(), ring.is_empty()), (model.len(), model.is_empty()));
        if round % 500 == 0 {
            let rank = if model.is_empty() { 0 } else { random.next_u32() as usize % model.len() };
            let turned = model.iter().skip(rank).chain(model.iter().take(rank));
            let expected: Vec<_> = turned.map(|(position, started)| (*position, *started)).collect();
            let started = |listed: &Listed, position: u64| {
                let id = ServerId::at_ring_position(position);
                listed.backend(id, ServerState::Ready).entry.started.map_or(0, |at| at.as_millis() as u64)
            };
            let found: Vec<_> =
                ring.round_from(rank).map(|(at, listed)| (*at, started(listed, *at))).collect();
            assert_eq!(found, expected);
            for (position, at) in &model {
                assert_eq!(ring.get(*position).map(|listed| started(listed, *position)), Some(*at));
            }
        }
    }
}

/// One step of a history of the list.
#[derive(Clone, Debug)]
enum Step {
    Changes(Vec<(u64, u8, u64)>),
    Whole { cached: bool, left_out: Vec<u64>, draining: Vec<u64> },
    Move { node: usize, nodes: usize, by_zone: bool, whole_cells: bool },
}

fn step() -> impl Strategy<Value = Step> {
    let number = || 0u64..400;
    let line = (number(), 0u8..4, 0u64..3);
    prop_oneof![
        5 => prop::collection::vec(line, 0..30).prop_map(Step::Changes),
        1 => (any::<bool>(), prop::collection::vec(number(), 0..200), prop::collection::vec(number(), 0..40))
            .prop_map(|(cached, left_out, draining)| Step::Whole { cached, left_out, draining }),
        2 => (0usize..20, 1usize..20, any::<bool>(), any::<bool>())
            .prop_map(|(node, nodes, by_zone, whole_cells)| Step::Move { node, nodes, by_zone, whole_cells }),
    ]
}

/// The list as a node without a subset would hold it.
#[derive(Default)]
struct Model(BTreeMap<ServerId, Backend>);

impl Model {
    fn news(&mut self, step: &Step) -> Option<ListUpdate> {
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
            Step::Whole { cached, left_out, draining } => {
                let listed = (0..400).filter(|number| !left_out.contains(number));
                let state = |number| {
                    if draining.contains(&number) { ServerState::Draining } else { ServerState::Ready }
                };
                let backends = listed.map(|number| backend(number, state(number), 1)).collect();
                (if *cached { ListKind::Cached } else { ListKind::Full }, backends)
            }
            Step::Move { .. } => return None,
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
        Some(update(kind, backends))
    }

    /// The ready servers that a node with this layout holds.
    fn part(&self, layout: RingLayout) -> BTreeSet<ServerId> {
        let mut rings = BTreeMap::<Option<u8>, Vec<u64>>::new();
        for backend in self.0.values().filter(|backend| backend.entry.state == ServerState::Ready) {
            let zone = layout.by_zone.then_some(backend.entry.zone);
            rings.entry(zone).or_default().push(backend.entry.id.ring_position());
        }
        let mut part = BTreeSet::new();
        for ring in rings.values_mut() {
            ring.sort_unstable();
            let stretch = layout.held_range(ring.len(), SERVERS);
            let ranks = stretch.start..stretch.start + stretch.length;
            part.extend(ranks.map(|rank| ServerId::at_ring_position(ring[rank % ring.len()])));
        }
        if layout.whole_cells {
            let ready = self.0.values().filter(|backend| backend.entry.state == ServerState::Ready);
            let cells: BTreeSet<_> = part.iter().map(|id| self.0[id].entry.cell).collect();
            part.extend(ready.filter(|it| cells.contains(&it.entry.cell)).map(|it| it.entry.id));
        }
        part
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..ProptestConfig::default() })]

    /// Whatever happens to list and tier: what is ready at a node is its part of what is ready by the list, entry for
    /// entry; and whatever the node held that drains by the list drains at the node too, until it is told to be gone.
    #[test]
    fn a_node_holds_its_part_of_the_list_and_hears_of_every_drain(steps in prop::collection::vec(step(), 1..25)) {
        let mut layout = layout(0, 1);
        let (mut roster, mut told, mut model) = (ServerTable::new(SERVERS, layout), Told::default(), Model::default());
        for step in &steps {
            let before = told.in_state(ServerState::Ready);
            if let &Step::Move { node, nodes, by_zone, whole_cells } = step {
                layout = RingLayout { node, nodes, by_zone, whole_cells };
            }
            match model.news(step) {
                Some(news) => drop(told.take(roster.apply(news, layout))),
                None => drop(roster.set_layout(layout).map(|moved| told.take(moved))),
            }
            prop_assert_eq!(&told.in_state(ServerState::Ready), &model.part(layout));
            for (id, held) in &told.0 {
                let listed = model.0.get(id);
                prop_assert!(listed.is_some_and(|listed| listed.entry == held.entry && listed.address == held.address));
            }
            for id in before {
                let drains = model.0.get(&id).is_some_and(|listed| listed.entry.state == ServerState::Draining);
                let told = told.0.get(&id).map(|held| held.entry.state);
                prop_assert!(!drains || told == Some(ServerState::Draining));
            }
            prop_assert_eq!(roster.held_count(), told.0.len());
        }
    }
}
