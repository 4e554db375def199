//! What one node can know of one server from its own requests, by how often it meets it.

use statrs::distribution::{ContinuousCDF, Gamma};

/// A failure's weight in a server's smoothed share of failures, and the share at which it is ejected (`learn` and `judge` in
/// `src/policy/health.rs`). A connection that fails weighs 1 and ejects at once.
const FAILURE_WEIGHT: f64 = 0.25;
const EJECTED_AT: f64 = 0.5;
/// The part of an answer time for which a report is fresh (`Balancer::is_fresh` in `src/policy/selection.rs`).
const FRESH: f64 = 0.25;
/// Missed attempts within the memory of rates from which on a server is broken for a class (`MISSED` in
/// `src/policy/health.rs`), and that memory in times of an overload (`Balancer::rate_window` in `src/policy/selection.rs`).
const MISSED: f64 = 2.0;
const MEMORY: f64 = 3.0;

/// The correlation between a node's own requests in flight at a server and all that are in flight there, of
/// `nodes_per_server` nodes alike. Poisson arrivals and a server that delays nobody (M/G/infinity): own and others' requests
/// are independent and Poisson, and the own are that part of the variance. Join-Up-To(m)'s count sees no more than this.
pub fn correlation_of_own_count(nodes_per_server: f64) -> f64 {
    nodes_per_server.max(1.0).sqrt().recip()
}

/// The share of requests that find a fresh sign from an own answer of the server that they go to.
pub fn finds_fresh_sign(rate: f64, answer_s: f64) -> f64 {
    1.0 - (-rate * FRESH * answer_s).exp()
}

/// How many requests that fail one after the other eject a server that had been sound.
pub fn failures_to_eject() -> u32 {
    let mut failing = 0.0;
    let mut failures = 0;
    while failing <= EJECTED_AT {
        failing += (1.0 - failing) * FAILURE_WEIGHT;
        failures += 1;
    }
    failures
}

/// The time until a node has seen `failures` requests fail at a server that fails them all, in s, in the mean.
pub fn mean_time_to(failures: u32, rate: f64) -> f64 {
    f64::from(failures) / rate
}

/// The time within which the share `of` of the nodes has seen them (Erlang), in s.
pub fn time_to(failures: u32, rate: f64, of: f64) -> f64 {
    Gamma::new(f64::from(failures), rate).map_or(f64::INFINITY, |time| time.inverse_cdf(of))
}

/// The requests that all nodes of a server send there before each has seen enough.
pub fn failures_of_fleet(failures: u32, nodes_per_server: f64) -> f64 {
    f64::from(failures) * nodes_per_server
}

/// The misses of one class that a node remembers of a server, in the mean, where it fails them all and `rate` come a second.
pub fn misses_remembered(rate: f64, overload_time_s: f64) -> f64 {
    rate * MEMORY * overload_time_s
}

/// The largest subset at which that is over what marks a server as broken for a class.
pub fn largest_subset_for_misses(per_node_s: f64, overload_time_s: f64) -> f64 {
    misses_remembered(per_node_s, overload_time_s) / MISSED
}
