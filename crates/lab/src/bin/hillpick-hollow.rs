//! A part of a scale run, which starts it: hollow nodes, agents or a list server. It is a program of its own since its
//! allocator counts, which would cost the emulator's threads much.

use stats_alloc::{INSTRUMENTED_SYSTEM, StatsAlloc};
use std::alloc::System;
use std::process::ExitCode;

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// Bytes that are allocated now.
fn allocated() -> u64 {
    let stats = ALLOCATOR.stats();
    stats.bytes_allocated.saturating_sub(stats.bytes_deallocated) as u64
}

fn main() -> ExitCode {
    match hillpick_lab::scale::part::run(allocated) {
        Ok(()) => ExitCode::SUCCESS,
        Err(what) => {
            eprintln!("hillpick-hollow: {what}");
            ExitCode::FAILURE
        }
    }
}
