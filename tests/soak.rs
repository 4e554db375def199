//! A soak: seeded runs of a node beside backends, clients, crowds and signals of every kind, and a judge that
//! knows what each client and each backend saw. `SOAK_SEEDS=FIRST..END` chooses the seeds.

#[allow(dead_code, reason = "the soak has backends and clients of its own")]
mod harness;
mod soak_run;

use std::ops::Range;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};

/// The seeds that are played where none are chosen.
const DEFAULT_SEEDS: Range<u64> = 1..9;
/// Runs at the same time.
const PARALLEL_RUNS: usize = 2;

fn chosen_seeds() -> Range<u64> {
    let Ok(text) = std::env::var("SOAK_SEEDS") else { return DEFAULT_SEEDS };
    let (first, end) = text.split_once("..").expect("SOAK_SEEDS is FIRST..END");
    first.parse().expect("a number")..end.parse().expect("a number")
}

#[test]
fn no_rule_is_broken_in_seeded_runs_with_faults_crowds_and_signals() {
    let seeds = chosen_seeds();
    let (next, broken) = (AtomicU64::new(seeds.start), Mutex::new(Vec::new()));
    std::thread::scope(|scope| {
        for _ in 0..PARALLEL_RUNS {
            scope.spawn(|| {
                loop {
                    let seed = next.fetch_add(1, Ordering::SeqCst);
                    if seed >= seeds.end {
                        return;
                    }
                    let report = soak_run::run(seed);
                    eprintln!("seed {seed}: {}", report.figures);
                    let violations = report.violations.into_iter().map(|what| format!("seed {seed}: {what}"));
                    broken.lock().expect("the list").extend(violations);
                }
            });
        }
    });
    let broken = broken.into_inner().expect("the list");
    assert!(broken.is_empty(), "{} rules broken:\n{}", broken.len(), broken.join("\n"));
}
