//! Constants that several files of the decision module share. One that a single file uses is defined there.

/// The token of the server list's timer; a request's timers carry its id.
pub(super) const LIST_TIMER: u64 = u64::MAX;
/// The share of the service that probes may cost, and connections too: little beside the cost of blind sends.
pub(super) const COST_BUDGET: f64 = 0.01;
/// Retry budget: further attempts as a share of first attempts, at the usual size of such a budget.
pub(super) const RETRY_BUDGET_RATIO: f64 = 0.4;
/// Attempts timed out before the deadline, as a share of timely answers. They are limited because a server
/// may go on with the abandoned work beside that of the next attempt.
pub(super) const EARLY_TIMEOUT_RATIO: f64 = 1.0 / 64.0;
/// The most early time-outs saved up: for a few servers that hang at once, until their failure rates show it.
pub(super) const MAX_EARLY_TIMEOUTS: f64 = 4.0;
/// Weight of one observation in a smoothed value: the last handful of observations decide.
pub(super) const SMOOTHING: f64 = 1.0 / 8.0;
/// Load above this many requests is treated alike, and no more servers than this are compared.
pub(super) const LOAD_LEVELS: usize = 64;
