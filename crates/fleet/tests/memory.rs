//! The memory that a member takes, by a counting allocator. It has a process of its own, since the allocator
//! counts all allocations of the process.

mod sim_network;

use sim_network::{SimNetwork, secs};
use stats_alloc::{INSTRUMENTED_SYSTEM, Region, StatsAlloc};
use std::alloc::System;

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// The bytes a member that a node takes which has learnt of `members` members by pages.
fn bytes_per_member(members: usize) -> f64 {
    let mut network = SimNetwork::settled(members, 31);
    network.kill(0);
    network.run(20.0);
    let region = Region::new(ALLOCATOR);
    network.start(0);
    network.run(5.0);
    assert_eq!(network.agreement(0).members, members);
    network.now += secs(0.001);
    let core = network.nodes[0].core.take();
    let before = region.change();
    drop(core);
    let after = region.change();
    (after.bytes_deallocated - before.bytes_deallocated) as f64 / members as f64
}

/// A node keeps at most 9,800 members: at this bound they take less than 10 MB of the node's 32 MB.
#[test]
fn a_member_takes_less_than_a_kibibyte() {
    let (of_50, of_200) = (bytes_per_member(50), bytes_per_member(200));
    println!("{of_50:.0} bytes a member of 50, {of_200:.0} of 200");
    assert!(of_200 < 1024.0, "{of_200}");
    assert!(of_200 < 1.5 * of_50, "a member takes more in a larger fleet: {of_200} against {of_50}");
}
