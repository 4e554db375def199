//! New settings for a balancer that knows many servers, classes and tenants and holds many requests: the cost goes by
//! their sum. By their products, as 20,000 servers times 200,000 classes for each change, the test would not end.

mod module_harness;

use hillpick::*;
use module_harness::{class, entry, ms, settings};

const CLASSES: usize = 200_000;
const TENANTS: usize = 200_000;
const SERVERS: u64 = 20_000;
const REQUESTS: u64 = 20_000;
const CHANGES: usize = 20;

fn request(number: u64) -> NewRequest {
    let class = CLASSES - 1 - number as usize;
    NewRequest { id: RequestId(number), class, remaining: ms(900), ..NewRequest::default() }
}

#[test]
fn new_settings_cost_by_the_sum_of_classes_tenants_servers_and_requests() {
    let all = Settings {
        classes: vec![class(RetrySafety::Idempotent); CLASSES],
        tenants: vec![Tenant { rate_limit_per_s: 1.0, share: 0.0 }; TENANTS],
        ..settings()
    };
    let mut balancer = Balancer::new(all.clone(), 1);
    let mut actions = Vec::new();
    // Requests that come before any server are held.
    (0..REQUESTS).for_each(|number| balancer.handle(ms(1), Event::Request(request(number)), &mut actions));
    actions.clear();
    let entries = (0..SERVERS).map(entry).collect();
    balancer.handle(ms(1), Event::List { kind: ListKind::Full, entries }, &mut actions);
    let reversed = |count: usize| (0..count).rev().map(Some).collect::<Vec<_>>();
    for _ in 0..CHANGES {
        let event = Event::Settings {
            settings: Box::new(all.clone()),
            previous_classes: reversed(CLASSES),
            previous_tenants: reversed(TENANTS),
        };
        actions.clear();
        balancer.handle(ms(2), event, &mut actions);
        assert_eq!(actions, []);
    }
}
