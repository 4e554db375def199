//! The emulator held against what is known: the paper's Table 2, by plain Join-Up-To(m), and the closed forms of one
//! and several servers with exponential times.

use crate::emu::{Bounds, run_within};
use crate::size::Size;
use crate::spec::Experiment;
use crate::stats::Mean;
use crate::strategy::Kind;
use rayon::prelude::*;

/// The paper's runs for a row, and the arrivals of a run for each server; a tenth of them warms up.
const RUNS: u64 = 20;
const ARRIVALS: u64 = 1000;
/// A run that starts empty has not forgotten that after 1,000 arrivals a server where jobs are as uneven as in the second
/// row: it comes to 9.3 then at N = 1,000. These are enough, as far as memory allows.
const LONG: [u64; 2] = [10_000, 4_000];
/// A mean may be off by so much where the joint interval is narrower.
const WITHIN: f64 = 0.01;

/// A row of the paper's Table 2: parameters, and the published mean response time with its interval, at N = 100 and
/// N = 1,000, and without an end.
///
/// Two rows can't be as our copy of the paper prints them: by its own Corollary 4 the values at the end of their columns
/// belong to other parameters. Those that give these values stand here, `printed` says what our copy has, and
/// `the_published_limits_are_those_of_corollary_4` holds all five to it. `docs/lab.md` has the question.
struct Row {
    name: &'static str,
    work: &'static str,
    /// E[G^2].
    second_moment: f64,
    lambda: f64,
    delta: f64,
    m: u32,
    published: [(f64, f64); 2],
    limit: f64,
    printed: Option<&'static str>,
    /// Arrivals for each server.
    arrivals: [u64; 2],
}

const TABLE: [Row; 5] = [
    Row {
        name: "Exponential",
        work: "'exponential'",
        second_moment: 2.0,
        lambda: 0.8,
        delta: 0.05,
        m: 10,
        published: [(5.3145, 7.28e-3), (5.4347, 1.75e-3)],
        limit: 5.4464,
        printed: None,
        arrivals: [ARRIVALS; 2],
    },
    Row {
        name: "HypExp(2), f = 1/2, SCV = 20",
        work: "{ hyp-exp = { f = 0.5, scv = 20.0 } }",
        second_moment: 21.0,
        lambda: 0.95,
        delta: 0.05,
        m: 15,
        published: [(11.7581, 5.55e-1), (10.6572, 2.14e-1)],
        limit: 10.5328,
        printed: Some("SCV = 15"),
        arrivals: LONG,
    },
    Row {
        name: "Erlang(10)",
        work: "{ erlang = { k = 10 } }",
        second_moment: 1.1,
        lambda: 0.95,
        delta: 0.1,
        m: 5,
        published: [(3.4231, 9.73e-3), (3.3728, 2.69e-3)],
        limit: 3.3639,
        printed: None,
        arrivals: [ARRIVALS; 2],
    },
    Row {
        name: "HypErl(3,7), p = 0.85",
        work: "{ hyp-erl = { k = 3, l = 7, p = 0.85 } }",
        second_moment: 0.85 * 4.0 / 3.0 + 0.15 * 8.0 / 7.0,
        lambda: 0.8,
        delta: 0.2,
        m: 3,
        published: [(2.0574, 3.32e-3), (2.0960, 6.11e-4)],
        limit: 2.1006,
        printed: Some("lambda = 0.9, delta = 0.05, m = 7, the next row's"),
        arrivals: [ARRIVALS; 2],
    },
    Row {
        name: "Pareto(3, [1, 50])",
        work: "{ pareto = { shape = 3.0, low = 1.0, high = 50.0 } }",
        // 3 (1 - 1/50) / cut over the square of 3 (1 - 1/50^2) / (2 cut), with cut = 1 - 1/50^3.
        second_moment: 4.0 * (1.0 - 0.02) * (1.0 - 8e-6) / (3.0 * (1.0 - 4e-4) * (1.0 - 4e-4)),
        lambda: 0.9,
        delta: 0.05,
        m: 7,
        published: [(4.4010, 1.09e-2), (4.3940, 2.13e-3)],
        limit: 4.3917,
        printed: None,
        arrivals: [ARRIVALS; 2],
    },
];

impl Row {
    /// The paper's Corollary 4: the mean response time without an end of servers.
    fn corollary_4(&self) -> f64 {
        let m = f64::from(self.m);
        let blind = self.lambda - self.delta * m;
        1.0 + (blind * self.second_moment + self.delta / self.lambda * m * (m - 1.0)) / (2.0 * (1.0 - blind))
    }
}

/// A known value beside ours.
pub struct Line {
    /// What it is.
    pub what: String,
    /// The known mean response time, in units of the mean work, and the half width of its interval; 0 for a closed form.
    pub known: Mean,
    /// Ours.
    pub ours: Mean,
}

impl Line {
    /// Whether our mean lies within the joint interval, or within a hundredth.
    pub fn holds(&self) -> bool {
        let off = (self.ours.mean - self.known.mean).abs();
        off <= (self.known.half + self.ours.half).max(WITHIN * self.known.mean)
    }
}

/// The paper's world: one dispatcher that sees every request, equal first-come servers, no time on the way, nobody
/// who gives up.
fn world(servers: usize, cores: u32, load: f64, work: &str, strategy: &str, signs: &str) -> Experiment {
    let rate = load * (servers as f64) * f64::from(cores);
    let text = format!(
        "name = 'paper'\nabout = 'the world of the paper'\nsizes = ['1x{servers}']\nseconds = 3600\n\
         strategies = ['{strategy}']\n\
         world = {{ regions = [['a']], zone_ms = 0.0, jitter = 0.0 }}\n\
         list = {{ delay_s = [0.0, 0.0] }}\n\
         clients = {{ load = {load:?}, per_node_per_s = {rate:?}, retries = 0, patience = [1.0, 1.0] }}\n\
         [servers]\ncores = {cores}\nwaiting = 1000000000\ncold_share = 1.0\nwarm_s = 0.0\ntip_s = 0.0\n\
         connections = 1000000000\nhandshake = 0.0\nidle_close_s = 1000000.0\n{signs}\n\
         [[classes]]\nname = 'job'\nshare = 1.0\nwork = {work}\naim = 1e10\ndeadline = 1e10\nrepeat = 'safe'\n"
    );
    Experiment::parse("paper", &text).unwrap_or_else(|problem| unreachable!("{problem}"))
}

fn response(experiment: &Experiment, servers: usize, kind: Kind, arrivals: u64) -> Mean {
    let bounds = Bounds { most_requests: arrivals, measure_from: arrivals / 10, endless: true };
    let means: Vec<_> = (1..=RUNS)
        .into_par_iter()
        .map(|seed| run_within(experiment, Size { nodes: 1, servers }, kind, seed, bounds).response.0)
        .collect();
    Mean::of(&means)
}

/// The mean response time of M/M/c with service times of mean 1, by Erlang's C.
fn erlang_c(cores: u32, load: f64) -> f64 {
    let (c, offered) = (f64::from(cores), load * f64::from(cores));
    // Erlang's B by its recursion, and C from that.
    let blocked = (1..=cores).fold(1.0, |b, k| offered * b / (f64::from(k) + offered * b));
    let waits = blocked / (1.0 - load * (1.0 - blocked));
    1.0 + waits / (c - offered)
}

/// The closed forms beside ours.
pub fn closed_forms() -> Vec<Line> {
    [(1, 0.5), (1, 0.8), (4, 0.8), (16, 0.9)]
        .into_iter()
        .map(|(cores, load)| {
            let experiment = world(1, cores, load, "'exponential'", "random", "reports = 'none'");
            Line {
                what: format!("M/M/{cores}, load {load}"),
                known: Mean { mean: erlang_c(cores, load), half: 0.0 },
                ours: response(&experiment, 1, Kind::Random, 200_000),
            }
        })
        .collect()
}

/// Table 2 at N = 100, and at N = 1,000 as well if not `quick`. Each line goes to `tell` when it is known.
pub fn table(quick: bool, mut tell: impl FnMut(&Line)) -> Vec<Line> {
    let sizes = [(100, 0), (1000, 1)];
    let mut lines = Vec::new();
    for (servers, column) in sizes.into_iter().take(if quick { 1 } else { 2 }) {
        for row in &TABLE {
            let rate = row.delta / (1.0 - row.lambda);
            let signs = format!("reports = 'idle-signs'\nidle_signs_per_s = {rate:?}");
            let kind = Kind::Jut(row.m);
            let experiment = world(servers, 1, row.lambda, row.work, &kind.to_string(), &signs);
            let (mean, half) = row.published[column];
            let starred = if row.printed.is_some() { " *" } else { "" };
            let line = Line {
                what: format!("{}, N = {servers}{starred}", row.name),
                known: Mean { mean, half },
                ours: response(&experiment, servers, kind, row.arrivals[column] * servers as u64),
            };
            tell(&line);
            lines.push(line);
        }
    }
    lines
}

/// Where the parameters of a row are not those that our copy of the paper prints: its name, those, and what the paper's
/// own Corollary 4 makes of ours and of the published limit.
pub fn starred() -> Vec<String> {
    let starred = TABLE.iter().filter_map(|row| Some((row, row.printed?)));
    let told = starred.map(|(row, printed)| {
        format!(
            "* {}, lambda = {}, delta = {}, m = {}: Corollary 4 gives {:.4}, the published limit is {:.4}; our copy \
             prints {printed}, which Corollary 4 contradicts",
            row.name, row.lambda, row.delta, row.m, row.corollary_4(), row.limit
        )
    });
    told.collect()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_published_limits_are_those_of_corollary_4() {
        for row in &TABLE {
            let limit = row.corollary_4();
            assert!((limit - row.limit).abs() < 1.1e-4, "{}: {limit}, not {}", row.name, row.limit);
        }
    }

    #[test]
    fn erlang_c_is_the_closed_form() {
        assert!((erlang_c(1, 0.8) - 5.0).abs() < 1e-12);
        // By hand for two servers: C = 2 rho^2 / (1 + rho).
        let rho: f64 = 0.7;
        assert!((erlang_c(2, rho) - (1.0 + 2.0 * rho * rho / (1.0 + rho) / (2.0 - 2.0 * rho))).abs() < 1e-12);
    }

    /// A check that can fail: a value that is off by more than both intervals and a hundredth does not hold.
    #[test]
    fn a_mean_outside_of_both_does_not_hold() {
        let line = |ours, half| Line {
            what: String::new(),
            known: Mean { mean: 5.0, half: 0.02 },
            ours: Mean { mean: ours, half },
        };
        assert!(line(5.049, 0.01).holds());
        assert!(line(5.2, 0.19).holds());
        assert!(!line(5.2, 0.1).holds());
        assert!(!line(f64::NAN, 0.1).holds());
    }
}
