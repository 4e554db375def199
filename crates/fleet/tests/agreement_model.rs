//! The agreement layer, checked in every reachable state: whatever is lost, cut off, falsely taken for dead, killed or
//! started anew, all live nodes together never use more than twice what a rule allows, of which the module uses two
//! fifths (its share of the cold rule's allowance). SWIM is not modelled: any node may drop or add any other at any time,
//! which is more than SWIM does, and a message that need not arrive covers loss and every partition.

use hillpick_fleet::Certainty;
use stateright::{Checker, Model, Property};

/// What one node last heard of another's view, against its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Heard {
    Nothing,
    Same,
    Other,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State<const N: usize> {
    up: [bool; N],
    /// By node: the members that it holds, itself included, as bits.
    view: [u8; N],
    heard: [[Heard; N]; N],
    /// What it hears has been alike for as long as a change needs to spread.
    settled: [bool; N],
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Step {
    Kill(usize),
    Start(usize),
    Drop(usize, usize),
    Add(usize, usize),
    Hear(usize, usize),
    Settle(usize),
}

/// `listens`: settling hangs on what was heard, by the layer's own rule. Else any node may settle at any time, which is
/// more than it does, and fewer states.
struct Tier<const N: usize> {
    listens: bool,
}

impl<const N: usize> State<N> {
    fn members(&self, node: usize) -> usize {
        self.view[node].count_ones() as usize
    }

    fn changed(&mut self, node: usize) {
        self.settled[node] = false;
        for heard in &mut self.heard[node] {
            if *heard == Heard::Same {
                *heard = Heard::Other;
            }
        }
    }

    fn alike(&self, node: usize) -> bool {
        let count = |what| self.heard[node].iter().filter(|heard| **heard == what).count();
        let (same, other) = (count(Heard::Same), count(Heard::Other));
        Certainty::is_alike(same, same + other, self.members(node))
    }

    fn could_be_alive(&self, node: usize) -> usize {
        let members = self.members(node);
        Certainty::of(members, N, self.settled[node]).could_be_alive(members, N)
    }

    /// What all live nodes use of a rule that allows 1.
    fn used(&self) -> f64 {
        (0..N).filter(|node| self.up[*node]).map(|node| 1.0 / self.could_be_alive(node) as f64).sum()
    }
}

impl<const N: usize> Model for Tier<N> {
    type State = State<N>;
    type Action = Step;

    fn init_states(&self) -> Vec<State<N>> {
        let alone = std::array::from_fn(|node| 1 << node);
        vec![State { up: [true; N], view: alone, heard: [[Heard::Nothing; N]; N], settled: [false; N] }]
    }

    fn actions(&self, state: &State<N>, actions: &mut Vec<Step>) {
        for node in 0..N {
            if !state.up[node] {
                actions.push(Step::Start(node));
                continue;
            }
            actions.push(Step::Kill(node));
            if !state.settled[node] && (!self.listens || state.alike(node)) {
                actions.push(Step::Settle(node));
            }
            for other in (0..N).filter(|other| *other != node) {
                if state.view[node] >> other & 1 == 1 {
                    actions.push(Step::Drop(node, other));
                } else {
                    actions.push(Step::Add(node, other));
                }
                if self.listens && state.up[other] {
                    actions.push(Step::Hear(node, other));
                }
            }
        }
    }

    fn next_state(&self, before: &State<N>, step: Step) -> Option<State<N>> {
        let mut state = before.clone();
        match step {
            Step::Kill(node) => state.up[node] = false,
            Step::Start(node) => {
                state.up[node] = true;
                state.view[node] = 1 << node;
                state.heard[node] = [Heard::Nothing; N];
                state.settled[node] = false;
            }
            Step::Drop(node, other) => {
                state.view[node] &= !(1 << other);
                state.changed(node);
                state.heard[node][other] = Heard::Nothing;
            }
            Step::Add(node, other) => {
                state.view[node] |= 1 << other;
                state.changed(node);
            }
            Step::Hear(node, other) => {
                let same = state.view[node] == state.view[other];
                state.heard[node][other] = if same { Heard::Same } else { Heard::Other };
                state.settled[node] &= state.alike(node);
            }
            Step::Settle(node) => state.settled[node] = true,
        }
        (state != *before).then_some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("no more than twice the whole is in use", |_, state: &State<N>| {
                state.used() <= 2.0
            }),
            Property::always("a minority reckons with all", |_, state: &State<N>| {
                (0..N).all(|node| 2 * state.members(node) > N || state.could_be_alive(node) >= N)
            }),
            // The check can fail: some states do use more than the whole, since a majority may be wrong.
            Property::sometimes("more than the whole is in use", |_, state: &State<N>| state.used() > 1.0),
            Property::sometimes("a part of the tier agrees", |_, state: &State<N>| {
                (0..N).any(|node| state.up[node] && state.could_be_alive(node) < N)
            }),
        ]
    }
}

fn check<const N: usize>(listens: bool) -> usize {
    let checker = Tier::<N> { listens }.checker().threads(2).spawn_bfs().join();
    checker.assert_properties();
    let states = checker.unique_state_count();
    println!("{N} nodes, listening {listens}: {states} states");
    states
}

#[test]
fn three_nodes_by_what_they_hear() {
    assert!(check::<3>(true) > 10_000);
}

#[test]
fn four_nodes_that_may_settle_at_any_time() {
    assert!(check::<4>(false) > 100_000);
}
