//! Nothing depends on the order of classes and tenants: the same history under other numbers gives the same decisions.

mod module_harness;

use hillpick::*;
use module_harness::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

const OUTCOMES: [Outcome; 6] =
    [Outcome::Served, Outcome::Error, Outcome::Rejected, Outcome::TimedOut, Outcome::Reset, Outcome::NotSent];

/// Classes that differ in all that the settings say of them, and tenants too.
fn varied(classes: &[usize], tenants: &[usize], mut settings: Settings) -> Settings {
    let all: Vec<_> = settings.classes.drain(..).enumerate().collect();
    let all = all.into_iter().map(|(i, class)| Class {
        latency_target: ms([400, 100, 250, 5_000, 800][i]),
        deadline: ms([1_000, 100, 600, 5_000, 1_600][i]),
        value: [1.0, 4.0, 0.5, 2.0, 8.0][i],
        late_value: [0.0, 0.0, 0.25, 0.0, 0.0][i],
        ..class
    });
    let all: Vec<_> = all.collect();
    settings.classes = classes.iter().map(|i| all[*i].clone()).collect();
    let of = |i: usize| Tenant { rate_limit_per_s: [3.0, 50.0, 1000.0][i], share: [0.25, 0.25, 0.5][i] };
    settings.tenants = tenants.iter().map(|i| of(*i)).collect();
    settings.over_share_value = 0.5;
    settings
}

/// What a request is about, its time, and what comes of the oldest attempt that is out then.
type Step = (usize, usize, u64, usize, u64);

/// The actions of a history whose steps name classes and tenants by their places in these orders. Half-way the settings
/// change to another order.
fn play(
    (classes, tenants): (&[usize], &[usize]),
    (then_classes, then_tenants): (&[usize], &[usize]),
    base: Settings,
    seed: u64,
    steps: &[Step],
) -> Vec<Action> {
    let mut world = Harness::seeded(varied(classes, tenants, base.clone()), seed);
    world.list(ListKind::Full, (0..5).map(entry).collect());
    let place = |order: &[usize], what: usize| order.iter().position(|i| *i == what).expect("one of them");
    let (mut by_class, mut by_tenant) = (classes, tenants);
    for (i, (class, tenant, remaining, outcome, pass)) in steps.iter().enumerate() {
        if i == steps.len() / 2 {
            let moved =
                |before: &[usize], then: &[usize]| then.iter().map(|i| Some(place(before, *i))).collect();
            let settings = varied(then_classes, then_tenants, base.clone());
            let (classes, tenants) = (moved(by_class, then_classes), moved(by_tenant, then_tenants));
            world.settings = settings.clone();
            world.tell(Event::Settings {
                settings: Box::new(settings),
                previous_classes: classes,
                previous_tenants: tenants,
            });
            (by_class, by_tenant) = (then_classes, then_tenants);
        }
        let (class, tenant) = (place(by_class, *class), place(by_tenant, *tenant));
        world.request_with(class, tenant, ms(*remaining), None);
        if let Some((id, attempt)) = world.out().first().copied() {
            world.end(id, attempt, OUTCOMES[*outcome], None);
        }
        world.pass(ms(*pass));
    }
    world.log
}

proptest! {
    #![proptest_config(Config { cases: 100, failure_persistence: None, rng_seed: RngSeed::Fixed(20_261_202), ..Config::default() })]

    #[test]
    fn the_order_of_classes_and_tenants_changes_no_decision(
        classes in Just(vec![0usize, 1, 2, 3, 4]).prop_shuffle(),
        tenants in Just(vec![0usize, 1, 2]).prop_shuffle(),
        later in Just(vec![0usize, 1, 2, 3, 4]).prop_shuffle(),
        hedged in any::<bool>(),
        attempts in 1u32..4,
        seed in any::<u64>(),
        steps in prop::collection::vec((0usize..5, 0usize..3, 100u64..5_000, 0usize..6, 1u64..300), 10..120),
    ) {
        let mut base = settings();
        base.limits.hedging = hedged;
        base.limits.max_attempts = attempts;
        let order: [&[usize]; 2] = [&[0, 1, 2, 3, 4], &[0, 1, 2]];
        let plain = play((order[0], order[1]), (order[0], order[1]), base.clone(), seed, &steps);
        let moved = play((&classes, &tenants), (&later, order[1]), base, seed, &steps);
        prop_assert_eq!(plain, moved);
    }
}
