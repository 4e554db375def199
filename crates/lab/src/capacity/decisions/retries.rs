//! The retry budget (`RETRY_BUDGET_RATIO` in `src/policy/constants.rs`): a share of first attempts, kept by each node for all that
//! it serves.

/// Further attempts, as a share of first attempts.
pub const BUDGET: f64 = 0.4;

/// Further attempts a request wants, where each attempt fails with this probability and `most` are allowed.
pub fn wanted(fails: f64, most: u32) -> f64 {
    (1..most).map(|further| fails.powi(further as i32)).sum()
}

/// Attempts a request, of the share `of_traffic` of a node's requests whose attempts fail with this probability while all
/// others succeed: what the budget leaves.
pub fn attempts(fails: f64, of_traffic: f64, most: u32) -> f64 {
    1.0 + wanted(fails, most).min(BUDGET / of_traffic)
}

/// The probability from which on the budget binds, if all of a node's requests fail alike.
pub fn binds_at(most: u32) -> f64 {
    let (mut low, mut high) = (0.0, 1.0);
    for _ in 0..64 {
        let middle = (low + high) / 2.0;
        if wanted(middle, most) < BUDGET { low = middle } else { high = middle }
    }
    high
}
