//! One run of the soak.

mod backends;
mod clients;
mod crowd;
mod judge;
mod signals;

use crate::harness::*;
use backends::{Backends, Receipt};
use clients::RequestRecord;
use rand_pcg::Pcg32;
use rand_pcg::rand_core::{RngCore, SeedableRng};
use signals::ProcessRecord;
use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// How long clients send requests.
const RUN_TIME: Duration = Duration::from_secs(10);
const CLIENTS: u64 = 24;

/// What came out of a run.
pub struct Report {
    /// The rules that were broken, each with what was seen.
    pub violations: Vec<String>,
    /// The run's figures, in a line.
    pub figures: String,
}

/// Random numbers of one part of a run.
pub struct Dice(Pcg32);

impl Dice {
    /// The numbers of this part of the run with this seed.
    pub fn new(seed: u64, part: u64) -> Self {
        Dice(Pcg32::seed_from_u64(seed.wrapping_mul(1_000_003).wrapping_add(part)))
    }

    /// A number from 0, below `end`.
    pub fn below(&mut self, end: u64) -> u64 {
        self.0.next_u64() % end
    }

    /// One of these.
    pub fn pick<T: Copy>(&mut self, choices: &[T]) -> T {
        choices[self.below(choices.len() as u64) as usize]
    }

    /// Whether something happens that happens in this many of a hundred cases.
    pub fn percent(&mut self, percent: u64) -> bool {
        self.below(100) < percent
    }

    /// A time up to this.
    pub fn up_to(&mut self, longest: Duration) -> Duration {
        Duration::from_micros(self.below(longest.as_micros() as u64 + 1))
    }
}

/// The figures of a run that its seed decides.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    seed: u64,
    memory_mb: usize,
    sockets: usize,
    target_ms: u64,
    budget_ms: u64,
    crowd: bool,
}

impl Plan {
    fn new(seed: u64) -> Self {
        let mut dice = Dice::new(seed, 0);
        let budget_ms = 600 + dice.below(1900);
        Plan {
            seed,
            memory_mb: dice.pick(&[32, 32, 64, 192]),
            sockets: dice.pick(&[256, 512, 1024]),
            target_ms: budget_ms * (50 + dice.below(51)) / 100,
            budget_ms,
            crowd: dice.percent(40),
        }
    }

    /// How long clients wait.
    pub fn budget(&self) -> Duration {
        Duration::from_millis(self.budget_ms)
    }

    fn settings(&self) -> String {
        let target = self.target_ms;
        settings(target, "")
            .replace(&format!(r#""GiveUp":{target}"#), &format!(r#""GiveUp":{}"#, self.budget_ms))
            .replace(r#""AllowancePerS":1000,"#, r#""AllowancePerS":1000000,"#)
    }

    fn configuration(&self, discovery: &Discovery) -> String {
        let text = with_ops(&config(discovery.address, &self.settings(), self.sockets));
        text.replace(r#""memory_mb":192"#, &format!(r#""memory_mb":{}"#, self.memory_mb))
    }
}

/// What all parts of a run share.
pub struct Run {
    /// The run's figures.
    pub plan: Plan,
    /// What each backend received, by the requests' ids.
    pub receipts: Mutex<BTreeMap<String, Vec<Receipt>>>,
    /// What became of each request.
    pub requests: Mutex<Vec<RequestRecord>>,
    /// The node's processes.
    pub processes: Mutex<Vec<ProcessRecord>>,
    /// Clients send no more.
    pub ended: AtomicBool,
}

/// Plays the run with this seed.
pub fn run(seed: u64) -> Report {
    let run = Run {
        plan: Plan::new(seed),
        receipts: Mutex::default(),
        requests: Mutex::default(),
        processes: Mutex::default(),
        ended: AtomicBool::new(false),
    };
    let discovery = Discovery::start();
    let configuration = run.plan.configuration(&discovery);
    let node = Node::start(&configuration, &format!("ulimit -n {}; ", run.plan.sockets));
    let address = node.address;
    std::thread::scope(|scope| {
        let backends = Backends::start(&run, scope);
        discovery.answer_all_calls(&format!("{}\n", list(8, true, &backends.entries())));
        wait_until(|| node.is_ready(), "readiness");
        let run = &run;
        let sending: Vec<_> = (0..CLIENTS)
            .map(|number| scope.spawn(move || clients::send_requests(run, address, number)))
            .collect();
        let crowd = run.plan.crowd.then(|| scope.spawn(move || crowd::come_and_go(run, address)));
        let begun = Instant::now();
        let node = signals::send_until(run, node, &configuration, begun + RUN_TIME);
        run.ended.store(true, Ordering::SeqCst);
        sending.into_iter().for_each(|client| client.join().expect("a client"));
        crowd.into_iter().for_each(|crowd| crowd.join().expect("the crowd"));
        signals::end(run, node);
        backends.stop();
    });
    judge::judge(&run)
}
