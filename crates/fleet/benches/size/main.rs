//! What one member costs its node, by the size of the fleet: a line for each size. The other members are played.
//!
//!     cargo bench -p hillpick-fleet --bench size

#[path = "../../tests/peers_stub/mod.rs"]
mod peers_stub;

use peers_stub::{Costs, Stub};
use stats_alloc::{INSTRUMENTED_SYSTEM, Region, StatsAlloc};
use std::alloc::System;
use std::time::Instant;

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// Nodes of the fleets that are measured, the last two of which are twice the one before, and what the node's bound is.
const SIZES: [usize; 6] = [300, 600, 1_200, 2_400, 4_900, 9_800];
/// Virtual seconds of the quiet and the ordinary span.
const SPAN_S: u32 = 600;
/// Restarts and failures of an ordinary day among 4,900 nodes, in each second and for each node.
const RESTARTS_PER_NODE_S: f64 = (4_400.0 + 64.0) / 86_400.0 / 4_900.0;
/// A piece of news comes to a node as often as each passes it on.
const TOLD: usize = 10;
/// A tenth of the nodes restarts within so many seconds.
const STORM_S: u32 = 10;
/// Gossip in a second that carries news, as a node sends it: two members, four times.
const GOSSIP_PER_S: usize = 8;
/// Calls whose mean is taken.
const CALLS: u32 = 200;

fn mean_us(calls: u32, mut what: impl FnMut()) -> f64 {
    let begun = Instant::now();
    (0..calls).for_each(|_| what());
    begun.elapsed().as_secs_f64() * 1e6 / f64::from(calls)
}

/// Processor time of a second, as a part of one core in percent.
fn core_percent(costs: &Costs, seconds: u32) -> f64 {
    (costs.tick.time + costs.hear.time).as_secs_f64() * 100.0 / f64::from(seconds)
}

/// Restarts spread evenly over a span, each told by as many members as a piece of news comes from.
fn restarts(stub: &mut Stub, seconds: u32, per_s: f64) -> Costs {
    let mut owed = 0.0;
    let mut waiting = std::collections::VecDeque::new();
    stub.measure(|stub| {
        stub.run(f64::from(seconds), |stub, _| {
            owed += per_s;
            while owed >= 1.0 {
                owed -= 1.0;
                let number = stub.any();
                let news = stub.restart(number);
                (0..TOLD).for_each(|_| waiting.push_back(news.clone()));
            }
            for _ in 0..GOSSIP_PER_S {
                if waiting.is_empty() {
                    break;
                }
                let from = stub.any();
                let news: Vec<_> = waiting.iter().take(8).cloned().collect();
                let told = stub.gossip(from, &news);
                waiting.drain(..told);
            }
        });
    })
}

fn line(nodes: usize) {
    let others = nodes - 1;
    let region = Region::new(ALLOCATOR);
    let mut stub = Stub::settled(others);
    let now = stub.now;

    let quiet = stub.measure(|stub| stub.run(f64::from(SPAN_S), |_, _| {}));
    let bare = stub.measure(|stub| {
        for _ in 0..CALLS {
            let from = stub.any();
            stub.tell(from, &[]);
        }
    });
    let full = stub.measure(|stub| {
        for _ in 0..CALLS {
            let from = stub.any();
            let numbers = [(); 8].map(|()| stub.any());
            let news = numbers.map(|number| stub.alive(number));
            stub.gossip(from, &news);
        }
    });
    let day = restarts(&mut stub, SPAN_S, RESTARTS_PER_NODE_S * nodes as f64);
    let storm = restarts(&mut stub, STORM_S, nodes as f64 / 10.0 / f64::from(STORM_S));
    let tell_us = mean_us(CALLS, || {
        std::hint::black_box((stub.core.agreement(now).members, stub.core.rank()));
    });
    let list_us = mean_us(CALLS, || {
        std::hint::black_box(stub.core.members(now));
    });
    let before = region.change();
    drop(stub.core);
    let after = region.change();
    let bytes = (after.bytes_deallocated - before.bytes_deallocated) as f64;
    println!(
        "| {nodes} | {:.0} | {:.2} | {:.1} | {:.1} | {:.1} | {:.1} | {:.0} | {:.0} | {:.0} | {:.0} | {:.3} | {:.3} | {:.3} |",
        bytes / others as f64,
        bytes / 1e6,
        quiet.tick.mean_us(),
        bare.hear.mean_us(),
        full.hear.mean_us(),
        tell_us,
        list_us,
        quiet.sent_bytes as f64 / f64::from(SPAN_S),
        day.sent_bytes as f64 / f64::from(SPAN_S),
        storm.sent_bytes as f64 / f64::from(STORM_S),
        core_percent(&quiet, SPAN_S),
        core_percent(&day, SPAN_S),
        core_percent(&storm, STORM_S),
    );
}

fn main() {
    println!(
        "| nodes | bytes a member | MB | tick, us | bare datagram, us | full datagram, us | tell, us | list, us | \
         bytes/s out: quiet | day | storm | % of a core: quiet | day | storm |"
    );
    println!("|{}", " --- |".repeat(14));
    // What `cargo test` and CI run is the smallest size alone: that it runs at all.
    let sizes = if std::env::args().any(|arg| arg == "--bench") { &SIZES[..] } else { &SIZES[..1] };
    sizes.iter().for_each(|nodes| line(*nodes));
}
