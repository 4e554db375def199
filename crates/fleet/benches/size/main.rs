//! The costs of membership for one node by the size of the fleet, one line for each size. The other members
//! are stubs.
//!
//!     cargo bench -p hillpick-fleet --bench size

#[path = "../../tests/peers_stub/mod.rs"]
mod peers_stub;

use peers_stub::{Costs, PeersStub};
use stats_alloc::{INSTRUMENTED_SYSTEM, Region, StatsAlloc};
use std::alloc::System;
use std::time::Instant;

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// The sizes of the measured fleets. The last two are the planned size and twice that, the limit of members
/// of a node.
const SIZES: [usize; 6] = [300, 600, 1_200, 2_400, 4_900, 9_800];
/// The virtual time of the span without changes and of the one with an ordinary day's restarts.
const SPAN_S: u32 = 600;
/// The restarts and failures of an ordinary day among 4,900 nodes, by second and node.
const RESTARTS_PER_NODE_S: f64 = (4_400.0 + 64.0) / 86_400.0 / 4_900.0;
/// How often a node receives each update: as often as each member passes it on.
const UPDATE_COPIES: usize = 10;
/// The time within which a tenth of the nodes restarts in the storm.
const STORM_S: u32 = 10;
/// The gossip messages in a second, as many as a node sends: to two members, four times.
const GOSSIP_PER_S: usize = 8;
/// The number of calls whose mean time is taken.
const CALLS: u32 = 200;

/// The mean time of a call, in µs.
fn mean_us(calls: u32, mut call: impl FnMut()) -> f64 {
    let started = Instant::now();
    (0..calls).for_each(|_| call());
    started.elapsed().as_secs_f64() * 1e6 / f64::from(calls)
}

/// The processor time as a share of one core, in percent.
fn core_percent(costs: &Costs, seconds: u32) -> f64 {
    (costs.tick.time + costs.receive.time).as_secs_f64() * 100.0 / f64::from(seconds)
}

/// Spreads restarts evenly over a span, and delivers the update of each [`UPDATE_COPIES`] times.
fn restarts(stub: &mut PeersStub, seconds: u32, per_s: f64) -> Costs {
    let mut due = 0.0;
    let mut queued = std::collections::VecDeque::new();
    stub.measure(|stub| {
        stub.run(f64::from(seconds), |stub, _| {
            due += per_s;
            while due >= 1.0 {
                due -= 1.0;
                let peer = stub.random_peer();
                let update = stub.restart(peer);
                (0..UPDATE_COPIES).for_each(|_| queued.push_back(update.clone()));
            }
            for _ in 0..GOSSIP_PER_S {
                if queued.is_empty() {
                    break;
                }
                let from = stub.random_peer();
                let updates: Vec<_> = queued.iter().take(8).cloned().collect();
                let sent = stub.gossip(from, &updates);
                queued.drain(..sent);
            }
        });
    })
}

/// Measures one size and prints its line.
fn measure_size(nodes: usize) {
    let peers = nodes - 1;
    let region = Region::new(ALLOCATOR);
    let mut stub = PeersStub::settled(peers);
    let now = stub.now;

    let quiet = stub.measure(|stub| stub.run(f64::from(SPAN_S), |_, _| {}));
    let bare = stub.measure(|stub| {
        for _ in 0..CALLS {
            let from = stub.random_peer();
            stub.probe(from, &[]);
        }
    });
    let full = stub.measure(|stub| {
        for _ in 0..CALLS {
            let from = stub.random_peer();
            let peers = [(); 8].map(|()| stub.random_peer());
            let updates = peers.map(|peer| stub.alive(peer));
            stub.gossip(from, &updates);
        }
    });
    let day = restarts(&mut stub, SPAN_S, RESTARTS_PER_NODE_S * nodes as f64);
    let storm = restarts(&mut stub, STORM_S, nodes as f64 / 10.0 / f64::from(STORM_S));
    let agreement_us = mean_us(CALLS, || {
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
        bytes / peers as f64,
        bytes / 1e6,
        quiet.tick.mean_us(),
        bare.receive.mean_us(),
        full.receive.mean_us(),
        agreement_us,
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
        "| nodes | bytes a member | MB | tick, us | bare datagram, us | full datagram, us | agreement, us | list, us | \
         bytes/s out: quiet | day | storm | % of a core: quiet | day | storm |"
    );
    println!("|{}", " --- |".repeat(14));
    // `cargo test` and CI only check that the benchmark runs, at the smallest size.
    let sizes = if std::env::args().any(|arg| arg == "--bench") { &SIZES[..] } else { &SIZES[..1] };
    sizes.iter().for_each(|nodes| measure_size(*nodes));
}
