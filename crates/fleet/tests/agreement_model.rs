//! Model check of the agreement layer in every reachable state. Whatever is lost, partitioned, falsely
//! declared dead, killed or restarted, all live nodes together never use more than twice a limit that they
//! share. (The decision module uses two fifths of such a limit: its part of the limit on requests to cold
//! servers.) SWIM is not modelled: any node may add or drop any other at any time, which is more than SWIM
//! does. A message may fail to arrive, which covers loss and partitions.

use hillpick_fleet::Certainty;
use stateright::{Checker, Model, Property};

/// How the view that a node last received from another compares with its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum ReceivedView {
    Nothing,
    Same,
    Different,
}

/// The state of the whole fleet.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State<const N: usize> {
    alive: [bool; N],
    /// For each node the members that it knows, itself included, as bits.
    view: [u8; N],
    /// For each node how the view that it last received from each other node compares with its own.
    received: [[ReceivedView; N]; N],
    /// For each node whether the received views have agreed with its own for as long as a change needs to
    /// reach all.
    settled: [bool; N],
}

/// A transition: of the first node, and for those with two, towards the second.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Action {
    Kill(usize),
    Start(usize),
    Drop(usize, usize),
    Add(usize, usize),
    ReceiveView(usize, usize),
    Settle(usize),
}

/// The fleet as a model. With `receives_views`, a node's view settles by the layer's own rule on the views
/// that it received. Without, it may settle at any time, which covers more behaviour with fewer states.
struct Fleet<const N: usize> {
    receives_views: bool,
}

impl<const N: usize> State<N> {
    fn members(&self, node: usize) -> usize {
        self.view[node].count_ones() as usize
    }

    /// Notes that a node's view has changed, so that the views received before no longer equal it.
    fn on_view_changed(&mut self, node: usize) {
        self.settled[node] = false;
        for received in &mut self.received[node] {
            if *received == ReceivedView::Same {
                *received = ReceivedView::Different;
            }
        }
    }

    fn views_agree(&self, node: usize) -> bool {
        let count = |what| self.received[node].iter().filter(|received| **received == what).count();
        let (same, different) = (count(ReceivedView::Same), count(ReceivedView::Different));
        Certainty::views_agree(same, same + different, self.members(node))
    }

    fn could_be_alive(&self, node: usize) -> usize {
        let members = self.members(node);
        Certainty::assess(members, N, self.settled[node]).could_be_alive(members, N)
    }

    /// What all live nodes together use of a shared limit of 1.
    fn total_use(&self) -> f64 {
        (0..N).filter(|node| self.alive[*node]).map(|node| 1.0 / self.could_be_alive(node) as f64).sum()
    }
}

impl<const N: usize> Model for Fleet<N> {
    type State = State<N>;
    type Action = Action;

    fn init_states(&self) -> Vec<State<N>> {
        let only_itself = std::array::from_fn(|node| 1 << node);
        vec![State {
            alive: [true; N],
            view: only_itself,
            received: [[ReceivedView::Nothing; N]; N],
            settled: [false; N],
        }]
    }

    fn actions(&self, state: &State<N>, actions: &mut Vec<Action>) {
        for node in 0..N {
            if !state.alive[node] {
                actions.push(Action::Start(node));
                continue;
            }
            actions.push(Action::Kill(node));
            if !state.settled[node] && (!self.receives_views || state.views_agree(node)) {
                actions.push(Action::Settle(node));
            }
            for other in (0..N).filter(|other| *other != node) {
                if state.view[node] >> other & 1 == 1 {
                    actions.push(Action::Drop(node, other));
                } else {
                    actions.push(Action::Add(node, other));
                }
                if self.receives_views && state.alive[other] {
                    actions.push(Action::ReceiveView(node, other));
                }
            }
        }
    }

    fn next_state(&self, before: &State<N>, action: Action) -> Option<State<N>> {
        let mut state = before.clone();
        match action {
            Action::Kill(node) => state.alive[node] = false,
            Action::Start(node) => {
                state.alive[node] = true;
                state.view[node] = 1 << node;
                state.received[node] = [ReceivedView::Nothing; N];
                state.settled[node] = false;
            }
            Action::Drop(node, other) => {
                state.view[node] &= !(1 << other);
                state.on_view_changed(node);
                state.received[node][other] = ReceivedView::Nothing;
            }
            Action::Add(node, other) => {
                state.view[node] |= 1 << other;
                state.on_view_changed(node);
            }
            Action::ReceiveView(node, other) => {
                let same = state.view[node] == state.view[other];
                state.received[node][other] = if same { ReceivedView::Same } else { ReceivedView::Different };
                state.settled[node] &= state.views_agree(node);
            }
            Action::Settle(node) => state.settled[node] = true,
        }
        (state != *before).then_some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("at most twice the limit is in use", |_, state: &State<N>| {
                state.total_use() <= 2.0
            }),
            Property::always(
                "a minority assumes that the whole fleet may be alive",
                |_, state: &State<N>| {
                    (0..N).all(|node| 2 * state.members(node) > N || state.could_be_alive(node) >= N)
                },
            ),
            // Shows that the check of use is not vacuous: a majority may be wrong, so some states use more
            // than the limit.
            Property::sometimes("the limit is exceeded", |_, state: &State<N>| state.total_use() > 1.0),
            Property::sometimes("a part of the fleet agrees", |_, state: &State<N>| {
                (0..N).any(|node| state.alive[node] && state.could_be_alive(node) < N)
            }),
        ]
    }
}

fn check<const N: usize>(receives_views: bool) -> usize {
    let checker = Fleet::<N> { receives_views }.checker().threads(2).spawn_bfs().join();
    checker.assert_properties();
    let states = checker.unique_state_count();
    println!("{N} nodes, receives_views {receives_views}: {states} states");
    states
}

#[test]
fn three_nodes_that_settle_by_the_views_they_receive() {
    assert!(check::<3>(true) > 10_000);
}

#[test]
fn four_nodes_that_may_settle_at_any_time() {
    assert!(check::<4>(false) > 100_000);
}
