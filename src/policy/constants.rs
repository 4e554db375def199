//! Constants that several files of the decision module share. One that a single file uses is defined there.

/// The share of the service that probes may cost; the same holds for connections. It is small beside the loss
/// from sending to servers of unknown load.
pub(super) const COST_BUDGET: f64 = 0.01;
/// Retry budget: retries as a share of first attempts. This is a usual size of retry budgets.
pub(super) const RETRY_BUDGET_RATIO: f64 = 0.4;
/// Attempts that may time out before the deadline, as a share of answers in time. They are limited because a
/// server may continue the abandoned work while another one works on the retry.
pub(super) const EARLY_TIMEOUT_RATIO: f64 = 1.0 / 64.0;
/// The most early time-outs that can be saved up. They suffice for a few servers that hang at the same time,
/// until these are ejected for their failure rates.
pub(super) const MAX_EARLY_TIMEOUTS: f64 = 4.0;
/// Weight of one observation in a smoothed value: the last handful of observations decide.
pub(super) const SMOOTHING: f64 = 1.0 / 8.0;
/// The number of load levels that are told apart, from 0 requests at a server; higher loads count as the
/// highest level. Also the most servers that are compared for one request.
pub(super) const LOAD_LEVELS: usize = 64;
