//! No decision depends on the order of classes and tenants: the same history under other indices gives the
//! same actions.

mod module_harness;

use hillpick::*;
use module_harness::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

const OUTCOMES: [Outcome; 6] =
    [Outcome::Served, Outcome::Error, Outcome::Rejected, Outcome::TimedOut, Outcome::Reset, Outcome::NotSent];

/// Settings whose classes and tenants all differ, in the given orders.
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
    let tenant = |i: usize| Tenant { rate_limit_per_s: [3.0, 50.0, 1000.0][i], share: [0.25, 0.25, 0.5][i] };
    settings.tenants = tenants.iter().map(|i| tenant(*i)).collect();
    settings.over_share_value = 0.5;
    settings
}

/// A request's class, tenant and time; the outcome of the oldest attempt in flight then; the time that
/// passes.
type Step = (usize, usize, u64, usize, u64);

/// The actions of a history under these orders of classes and tenants. Half-way the settings change to
/// another order.
fn play(
    (classes, tenants): (&[usize], &[usize]),
    (then_classes, then_tenants): (&[usize], &[usize]),
    base: Settings,
    seed: u64,
    steps: &[Step],
) -> Vec<Action> {
    let mut harness = Harness::seeded(varied(classes, tenants, base.clone()), seed);
    harness.update_list(ListKind::Full, (0..5).map(entry).collect());
    let index =
        |order: &[usize], number: usize| order.iter().position(|i| *i == number).expect("one of them");
    let (mut class_order, mut tenant_order) = (classes, tenants);
    for (i, (class, tenant, remaining, outcome, pass)) in steps.iter().enumerate() {
        if i == steps.len() / 2 {
            let previous =
                |before: &[usize], then: &[usize]| then.iter().map(|i| Some(index(before, *i))).collect();
            let settings = varied(then_classes, then_tenants, base.clone());
            let (classes, tenants) =
                (previous(class_order, then_classes), previous(tenant_order, then_tenants));
            harness.settings = settings.clone();
            harness.handle(Event::Settings {
                settings: Box::new(settings),
                previous_classes: classes,
                previous_tenants: tenants,
            });
            (class_order, tenant_order) = (then_classes, then_tenants);
        }
        let (class, tenant) = (index(class_order, *class), index(tenant_order, *tenant));
        harness.request_with(class, tenant, ms(*remaining), None);
        if let Some((id, attempt)) = harness.in_flight().first().copied() {
            harness.end_attempt(id, attempt, OUTCOMES[*outcome], None);
        }
        harness.advance(ms(*pass));
    }
    harness.log
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
