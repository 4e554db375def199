//! What probes cost, and what they show. A request earns so many probes as a hundredth of the service pays for at the settings'
//! price (`COST_BUDGET` in `src/policy/constants.rs`). They go out two at a time (`probe` in `src/policy/selection.rs`), and a request
//! that is still held asks again.

/// The share of the service that probes may cost.
const SPEND: f64 = 0.01;

/// Probes a request at most, at this price.
pub fn a_request(price: f64) -> f64 {
    SPEND / price
}

/// The probes a second that keep a fresh report of every server of a subset, where a report is fresh for `fresh_s`.
pub fn to_see_all(subset: f64, fresh_s: f64) -> f64 {
    subset / fresh_s
}

/// Servers of which a node that probes `per_s` times a second has a fresh report.
pub fn seen(per_s: f64, fresh_s: f64) -> f64 {
    per_s * fresh_s
}
