//! What a member costs in memory among thousands, alone in its process: the allocator counts.

mod peers_stub;

use hillpick_fleet::MAX_MEMBERS;
use peers_stub::Stub;
use stats_alloc::{INSTRUMENTED_SYSTEM, Region, StatsAlloc};
use std::alloc::System;

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// No more at the sizes that are planned than at a small one: a fleet of 4,900, and two of them beside each other. Each has been heard.
#[test]
fn a_member_takes_no_more_among_thousands() {
    let bytes = |nodes: usize| {
        let region = Region::new(ALLOCATOR);
        let stub = Stub::settled(nodes - 1);
        let before = region.change();
        drop(stub.core);
        let after = region.change();
        (after.bytes_deallocated - before.bytes_deallocated) as f64 / nodes as f64
    };
    let [few, planned, most] = [300, 4_900, MAX_MEMBERS].map(bytes);
    println!("{few:.0} bytes a member of 300, {planned:.0} of 4,900, {most:.0} of {MAX_MEMBERS}");
    assert!(planned < 1.2 * few && most < 1.2 * few, "{few}, {planned}, {most}");
    assert!(most < 600.0, "and all of them less than 6 MB: {most}");
}
