//! What a member costs in memory, alone in its process: the allocator counts.

mod sim_network;

use sim_network::{Net, s};
use stats_alloc::{INSTRUMENTED_SYSTEM, Region, StatsAlloc};
use std::alloc::System;

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// A node's knowledge of so many others, all of whom it has heard of by pages, in bytes a member.
fn of_a_member(members: usize) -> f64 {
    let mut net = Net::settled(members, 31);
    net.kill(0);
    net.run(20.0);
    let region = Region::new(ALLOCATOR);
    net.start(0);
    net.run(5.0);
    assert_eq!(net.agreement(0).members, members);
    net.now += s(0.001);
    let core = net.nodes[0].core.take();
    let before = region.change();
    drop(core);
    let after = region.change();
    (after.bytes_deallocated - before.bytes_deallocated) as f64 / members as f64
}

/// 9,800 members are the most that a node keeps: at this bound they take less than 10 MB of the node's 32.
#[test]
fn a_member_takes_less_than_a_kibibyte() {
    let (some, more) = (of_a_member(50), of_a_member(200));
    println!("{some:.0} bytes a member of 50, {more:.0} of 200");
    assert!(more < 1024.0, "{more}");
    assert!(more < 1.5 * some, "and no more where there are more: {more} against {some}");
}
