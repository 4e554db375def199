//! What probes cost, and what they show. A request earns a part of a probe (`PRICE_SPEND` in `src/policy/figures.rs` over the
//! settings' price), and pays for two at most (`probe` in `src/policy/pick.rs`).

/// The share of the service that probes may cost.
const SPEND: f64 = 0.01;
/// The most probes that one request is held for.
const AT_A_TIME: f64 = 2.0;

/// Probes a request at most, at this price.
pub fn a_request(price: f64) -> f64 {
    (SPEND / price).min(AT_A_TIME)
}

/// The probes a second that keep a fresh report of every server of a subset, where a report is fresh for `fresh_s`.
pub fn to_see_all(subset: f64, fresh_s: f64) -> f64 {
    subset / fresh_s
}

/// Servers of which a node that probes `per_s` times a second has a fresh report.
pub fn seen(per_s: f64, fresh_s: f64) -> f64 {
    per_s * fresh_s
}
