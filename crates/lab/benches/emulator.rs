//! The emulator's speed: a second of a fleet's day on one core, by size, with the module and with random choice, which
//! is what the emulator itself costs. Events a second follow from the events that a run counts.

use criterion::{BenchmarkId, Criterion, Throughput, criterion_group, criterion_main};
use hillpick_lab::emu;
use hillpick_lab::size::Size;
use hillpick_lab::spec::Experiment;
use hillpick_lab::strategy::Kind;
use std::time::Duration;

const SECONDS: u32 = 2;

fn day(c: &mut Criterion) {
    let text = format!(
        "name = 'speed'\nabout = 'speed'\nsizes = ['300x200']\nseconds = {SECONDS}\nstrategies = ['module']"
    );
    let experiment = Experiment::parse("speed", &text).expect("an experiment");
    let mut group = c.benchmark_group("2 s of a day, by events");
    for size in
        ["100x67", "300x200", "1000x1000"].map(|size| Size::try_from(size.to_string()).expect("a size"))
    {
        for kind in [Kind::Random, Kind::Module] {
            group.throughput(Throughput::Elements(emu::run(&experiment, size, kind, 1).events));
            group.bench_function(BenchmarkId::new(kind.to_string(), size), |b| {
                b.iter(|| emu::run(&experiment, size, kind, 1).events);
            });
        }
    }
    group.finish();
}

criterion_group! {
    name = benches;
    config = Criterion::default().sample_size(10).measurement_time(Duration::from_secs(3)).warm_up_time(Duration::from_millis(100));
    targets = day
}
criterion_main!(benches);
