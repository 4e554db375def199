//! Random schedules of faults: whatever happens, once it ends all live nodes hold the same view within a bound, nobody
//! dead stays, nobody live stays away, no life goes back (which the net checks at each change), and all nodes together
//! never use more than twice what a rule allows, of which the module uses two fifths.

mod sim_network;

use proptest::prelude::*;
use proptest::test_runner::{RngAlgorithm, RngSeed};
use sim_network::Net;

#[derive(Clone, Debug)]
enum Fault {
    Kill(usize),
    Start(usize),
    Leave(usize),
    Stop(usize, f64),
    Cut(u16),
    OneWay(usize, usize),
    Heal,
    Loss(f64),
}

const NODES: usize = 9;
/// See `fault_scenarios.rs`; schedules may leave a node with nobody to call it but those that it calls.
const BOUND: f64 = 60.0;

fn fault() -> impl Strategy<Value = Fault> {
    let node = || 0..NODES;
    prop_oneof![
        3 => node().prop_map(Fault::Kill),
        3 => node().prop_map(Fault::Start),
        1 => node().prop_map(Fault::Leave),
        2 => (node(), 0.1..8.0).prop_map(|(node, time)| Fault::Stop(node, time)),
        1 => (0u16..512).prop_map(Fault::Cut),
        1 => (node(), node()).prop_map(|(from, to)| Fault::OneWay(from, to)),
        2 => Just(Fault::Heal),
        1 => (0.0..0.3).prop_map(Fault::Loss),
    ]
}

/// The same schedules every time; PROPTEST_CASES and PROPTEST_RNG_SEED look at others.
fn config() -> ProptestConfig {
    let usual = ProptestConfig::default();
    let seed = match usual.rng_seed {
        RngSeed::Random => RngSeed::Fixed(20_261_201),
        given => given,
    };
    let cases = if std::env::var_os("PROPTEST_CASES").is_some() { usual.cases } else { 64 };
    ProptestConfig {
        cases,
        failure_persistence: None,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: seed,
        ..usual
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn views_meet_again_after_any_schedule(
        seed in 0u64..1000,
        schedule in proptest::collection::vec((fault(), 0.0f64..6.0), 1..14),
    ) {
        let mut net = Net::settled(NODES, seed);
        for (fault, then) in schedule {
            match fault {
                Fault::Kill(node) => net.kill(node),
                Fault::Start(node) => {
                    net.kill(node);
                    net.start(node);
                }
                Fault::Leave(node) => net.leave(node),
                Fault::Stop(node, time) => net.nodes[node].stopped_until = net.now + sim_network::s(time),
                Fault::Cut(side) => {
                    net.cut = Box::new(move |from, to| (side >> from & 1) != (side >> to & 1));
                }
                Fault::OneWay(from, to) => net.cut = Box::new(move |a, b| (a, b) == (from, to)),
                Fault::Heal => net.cut = Box::new(|_, _| false),
                Fault::Loss(loss) => net.loss = loss,
            }
            net.run(then);
            let used = net.used();
            prop_assert!(used <= 2.0, "{used} of what is allowed, seed {seed}");
        }
        net.cut = Box::new(|_, _| false);
        net.loss = 0.01;
        net.run(8.0);
        net.converges(BOUND);
    }
}
