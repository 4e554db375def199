//! The figures that several files of the module share, each with its reason. One that a single file uses
//! stands there.

/// The token of the housekeeping timer; a request's timers carry its id.
pub(super) const TICK: u64 = u64::MAX;
/// The share of the service that probes, and connections, may cost: little beside what blind sends cost.
pub(super) const COST_BUDGET: f64 = 0.01;
/// Further attempts, as a share of first attempts: the usual retry budget.
pub(super) const RETRY_BUDGET_RATIO: f64 = 0.4;
/// Attempts given up before the deadline, as a share of answers in time: the work of one given up may go on
/// at its server, beside that of the attempt that follows.
pub(super) const GIVE_UP_SHARE: f64 = 1.0 / 64.0;
/// So many of these may be saved: a few servers that hang at once, before their health tells.
pub(super) const GIVE_UPS_SAVED: f64 = 4.0;
/// One observation's weight in a smoothed value: the last handful of observations decide.
pub(super) const SMOOTH: f64 = 1.0 / 8.0;
/// Crowding beyond this many requests is treated alike, and no more servers than this are compared.
pub(super) const LOAD_LEVELS: usize = 64;
