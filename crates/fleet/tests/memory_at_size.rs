//! The memory that a member takes among thousands, by a counting allocator. It has a process of its own,
//! since the allocator counts all allocations of the process.

mod peers_stub;

use hillpick_fleet::MAX_MEMBERS;
use peers_stub::PeersStub;
use stats_alloc::{INSTRUMENTED_SYSTEM, Region, StatsAlloc};
use std::alloc::System;

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// A member takes no more in a planned fleet of 4,900 nodes, or in two of them side by side, than in a small
/// one. Every member has sent a datagram, so that its replay window counts too.
#[test]
fn a_member_takes_no_more_among_thousands() {
    let bytes = |nodes: usize| {
        let region = Region::new(ALLOCATOR);
        let stub = PeersStub::settled(nodes - 1);
        let before = region.change();
        drop(stub.core);
        let after = region.change();
        (after.bytes_deallocated - before.bytes_deallocated) as f64 / nodes as f64
    };
    let [small, planned, largest] = [300, 4_900, MAX_MEMBERS].map(bytes);
    println!("{small:.0} bytes a member of 300, {planned:.0} of 4,900, {largest:.0} of {MAX_MEMBERS}");
    assert!(planned < 1.2 * small && largest < 1.2 * small, "{small}, {planned}, {largest}");
    assert!(largest < 600.0, "all {MAX_MEMBERS} members take 6 MB or more: {largest} bytes a member");
}
