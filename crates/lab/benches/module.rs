//! What a request costs at one node, over its whole path of events with every answer served: the module beside random
//! choice, by the number of servers. And a list change by itself, and the arrival of a herd at a node that has just
//! started. Hold the figures of one run against one another; by themselves they say little.

use criterion::{BenchmarkId, Criterion, Throughput, criterion_group, criterion_main};
use hillpick::*;
use hillpick_lab::strategy::{Kind, Strategy};
use std::hint::black_box;
use std::time::Duration;

const SERVERS: [u64; 4] = [12, 200, 1_000, 5_000];
/// Requests at a time, and between two of them: 30 a second, as a node of a large fleet sees them.
const BATCH: u64 = 30;
const GAP: Duration = Duration::from_millis(33);
const ANSWER: Duration = Duration::from_millis(14);

fn settings() -> Settings {
    let class = |repeat| Class {
        latency_target: Duration::from_millis(48),
        deadline: Duration::from_millis(125),
        retry_safety: repeat,
        ..Class::default()
    };
    let keyed = RetrySafety::Keyed { scope: DedupScope::Cell, window: Duration::from_secs(12) };
    let mut settings = Settings {
        nodes: 300,
        classes: vec![class(RetrySafety::Idempotent), class(keyed)],
        report_source: ReportSource::Probes,
        prices: Prices { probe: 0.002, cross_zone: 0.005, ..Prices::default() },
        ..Settings::default()
    };
    settings.limits.probes = true;
    settings.limits.cancel = true;
    settings.limits.hedging = true;
    settings
}

fn entry(number: u64, state: ServerState) -> ServerEntry {
    let id = ServerId(number.wrapping_mul(0x2545_f491_4f6c_dd1d) >> 8);
    ServerEntry { id, zone: (number % 3) as u8, cell: (number / 4) as u16, state, ..ServerEntry::default() }
}

/// A node and the time around it.
struct Bench {
    node: Box<dyn Strategy>,
    now: Duration,
    next: u64,
    actions: Vec<Action>,
}

impl Bench {
    fn new(kind: Kind, servers: u64) -> Self {
        let node = kind.start(settings(), 1);
        let mut bench = Bench { node, now: Duration::from_secs(1000), next: 0, actions: Vec::new() };
        let entries = (0..servers).map(|number| entry(number, ServerState::Ready)).collect();
        bench.tell(Event::List { kind: ListKind::Full, entries });
        bench
    }

    fn tell(&mut self, event: Event) -> Vec<Action> {
        self.actions.clear();
        self.node.handle(self.now, event, &mut self.actions);
        self.actions.clone()
    }

    fn ask(&mut self) -> (RequestId, Vec<Action>) {
        self.next += 1;
        let id = RequestId(self.next);
        let remaining = Duration::from_millis(125);
        let cost = Some(Duration::from_millis(13));
        let class = (self.next % 5 / 4) as usize;
        (id, self.tell(Event::Request(NewRequest { id, class, remaining, cost, ..NewRequest::default() })))
    }

    /// A request from its arrival to its answer: probes say that every third server is idle.
    fn serve(&mut self) {
        let (id, mut actions) = self.ask();
        for _ in 0..8 {
            let mut sent = None;
            let mut probes = Vec::new();
            for action in &actions {
                match action {
                    Action::Send { server, .. } => sent = Some(*server),
                    Action::Probe { server } => probes.push(*server),
                    _ => {}
                }
            }
            if let Some(server) = sent {
                self.now += ANSWER;
                self.tell(Event::AttemptEnded(AttemptEnd {
                    id,
                    attempt: 0,
                    server,
                    outcome: Outcome::Served,
                    elapsed: ANSWER,
                    finished: true,
                    report: None,
                    body_consumed: false,
                }));
                break;
            }
            actions.clear();
            for server in probes {
                let load = if server.0 % 3 == 0 { 0.0 } else { 1.0 };
                let report = Some(LoadReport { in_flight: Some(load), ..LoadReport::default() });
                let elapsed = Duration::from_micros(200);
                let end = ProbeEnd { server, outcome: Outcome::Served, elapsed, report };
                actions.extend(self.tell(Event::ProbeEnded(end)));
            }
        }
        self.tell(Event::Timer { token: id.0 });
        self.now += GAP - ANSWER;
    }
}

fn request(c: &mut Criterion) {
    let mut group = c.benchmark_group("request");
    group.throughput(Throughput::Elements(BATCH));
    for servers in SERVERS {
        for kind in [Kind::Random, Kind::Module] {
            let mut bench = Bench::new(kind, servers);
            (0..2_000).for_each(|_| bench.serve());
            group.bench_function(BenchmarkId::new(kind.to_string(), servers), |b| {
                b.iter(|| (0..BATCH).for_each(|_| bench.serve()));
            });
        }
    }
    group.finish();
}

/// One server drains and comes back.
fn list_change(c: &mut Criterion) {
    let mut group = c.benchmark_group("list change");
    for servers in SERVERS {
        let mut bench = Bench::new(Kind::Module, servers);
        (0..500).for_each(|_| bench.serve());
        group.bench_function(BenchmarkId::from_parameter(servers), |b| {
            b.iter(|| {
                for state in [ServerState::Draining, ServerState::Ready] {
                    let entries = vec![entry(black_box(7), state)];
                    bench.tell(Event::List { kind: ListKind::Changes, entries });
                }
            });
        });
    }
    group.finish();
}

/// A node that has just started and is told the list, with 100 requests at once.
fn herd(c: &mut Criterion) {
    let mut group = c.benchmark_group("herd of 100");
    for servers in SERVERS {
        group.bench_function(BenchmarkId::from_parameter(servers), |b| {
            b.iter_batched(
                || Bench::new(Kind::Module, servers),
                |mut bench| {
                    (0..100).for_each(|_| drop(black_box(bench.ask())));
                    bench
                },
                criterion::BatchSize::SmallInput,
            );
        });
    }
    group.finish();
}

criterion_group! {
    name = benches;
    config = Criterion::default().sample_size(20).measurement_time(Duration::from_secs(2)).warm_up_time(Duration::from_millis(500));
    targets = request, list_change, herd
}
criterion_main!(benches);
