//! The balancer's memory does not grow with requests that have ended or servers that have left the list.
//! This is the only test of its process, so that the process's memory is the balancer's.

mod module_harness;

use hillpick::*;
use module_harness::{entry, ms, probe_settings};
use std::time::Duration;

/// The resident memory of this process in KiB; `None` where there is no `/proc`.
fn resident_kib() -> Option<u64> {
    let status = std::fs::read_to_string("/proc/self/status").ok()?;
    let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
    line.split_whitespace().nth(1)?.parse().ok()
}

/// Sends requests while the server list keeps changing. Each attempt is served and each probe answered at
/// once; other actions are ignored.
fn run_requests(balancer: &mut Balancer, requests: std::ops::Range<u64>) {
    let mut actions = Vec::new();
    for number in requests {
        let now = ms(1000) + Duration::from_micros(number * 1500);
        if number % 10 == 0 {
            let servers = number / 10..number / 10 + 4;
            let list = Event::List { kind: ListKind::Full, entries: servers.map(entry).collect() };
            balancer.handle(now, list, &mut actions);
        }
        let id = RequestId(number);
        let request = NewRequest {
            id,
            class: 0,
            policy: None,
            body_streaming: false,
            tenant: 0,
            key: number,
            remaining: ms(900),
            cost: None,
            client_retry: false,
        };
        balancer.handle(now, Event::Request(request), &mut actions);
        while let Some(action) = actions.pop() {
            let report = Some(LoadReport { in_flight: Some(0.0), ..LoadReport::default() });
            let (outcome, elapsed) = (Outcome::Served, ms(1));
            let event = match action {
                Action::Send { id, server, .. } => {
                    let end = AttemptEnd {
                        id,
                        attempt: 0,
                        server,
                        outcome,
                        elapsed,
                        finished: true,
                        report,
                        body_consumed: false,
                    };
                    Event::AttemptEnded(end)
                }
                Action::Probe { server } => Event::ProbeEnded(ProbeEnd { server, outcome, elapsed, report }),
                _ => continue,
            };
            balancer.handle(now, event, &mut actions);
        }
    }
}

#[test]
fn memory_does_not_grow_with_ended_requests_and_removed_servers() {
    let mut balancer = Balancer::new(probe_settings(), 1);
    run_requests(&mut balancer, 1..20_000);
    let Some(before) = resident_kib() else { return eprintln!("not checked: no /proc here") };
    run_requests(&mut balancer, 20_000..150_000);
    let grown = resident_kib().unwrap_or(before).saturating_sub(before);
    // 100 bytes kept for each request would be 13 MB.
    assert!(grown < 2048, "memory grew by {grown} KiB over 130,000 requests");
}
