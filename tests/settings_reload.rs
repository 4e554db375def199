//! A settings reload on a balancer with many servers, classes, tenants and open requests. Its cost must
//! grow with the sum of their counts: if it grew with a product, such as 20,000 servers times 200,000
//! classes at each reload, the test would not finish.

mod module_harness;

use hillpick::*;
use module_harness::{class, entry, ms, settings};

const CLASS_COUNT: usize = 200_000;
const TENANT_COUNT: usize = 200_000;
const SERVER_COUNT: u64 = 20_000;
const REQUEST_COUNT: u64 = 20_000;
const RELOADS: usize = 20;

fn request(number: u64) -> NewRequest {
    let class = CLASS_COUNT - 1 - number as usize;
    NewRequest { id: RequestId(number), class, remaining: ms(900), ..NewRequest::default() }
}

#[test]
fn the_cost_of_a_reload_grows_with_the_sum_of_classes_tenants_servers_and_requests() {
    let large_settings = Settings {
        classes: vec![class(RetrySafety::Idempotent); CLASS_COUNT],
        tenants: vec![Tenant { rate_limit_per_s: 1.0, share: 0.0 }; TENANT_COUNT],
        ..settings()
    };
    let mut balancer = Balancer::new(large_settings.clone(), 1);
    let mut actions = Vec::new();
    // Requests that arrive before any server is listed are held.
    (0..REQUEST_COUNT)
        .for_each(|number| balancer.handle(ms(1), Event::Request(request(number)), &mut actions));
    actions.clear();
    let entries = (0..SERVER_COUNT).map(entry).collect();
    balancer.handle(ms(1), Event::List { kind: ListKind::Full, entries }, &mut actions);
    let reversed_indices = |count: usize| (0..count).rev().map(Some).collect::<Vec<_>>();
    for _ in 0..RELOADS {
        let event = Event::Settings {
            settings: Box::new(large_settings.clone()),
            previous_classes: reversed_indices(CLASS_COUNT),
            previous_tenants: reversed_indices(TENANT_COUNT),
        };
        actions.clear();
        balancer.handle(ms(2), event, &mut actions);
        assert_eq!(actions, []);
    }
}
