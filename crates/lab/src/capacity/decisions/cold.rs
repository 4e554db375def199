//! What cold servers are sent by nodes that draw tickets by chance (`src/policy/slow_start.rs`). Draws of many nodes are
//! independent, so what one server gets in a window is Poisson; its mean is an upper bound, since a ticket may go unused.

use statrs::distribution::{DiscreteCDF, Poisson};

/// The part of the allowance that is drawn for (`SLOW_START_UTILIZATION` in `src/policy/slow_start.rs`).
pub const SPEND: f64 = 0.8;

/// A server that has just started, and the rule on it.
#[derive(Clone, Copy, Debug)]
pub struct ColdServer {
    /// Requests a second that it can do when warm.
    pub capacity_per_s: f64,
    /// The share of that which it has at its start; it grows evenly from there.
    pub cold_share: f64,
    /// It is warm after so long, in s.
    pub warm_after_s: f64,
    /// It falls when sent more than this many times what it can do...
    pub overload_factor: f64,
    /// ...for so long, in s.
    pub overload_time_s: f64,
    /// The share of a warm server's capacity that it is asked for.
    pub load: f64,
}

impl ColdServer {
    fn warmth(&self, age_s: f64) -> f64 {
        (self.cold_share + (1.0 - self.cold_share) * age_s / self.warm_after_s).min(1.0)
    }

    /// N: the requests that it is allowed in a window that begins at this age, by what it can do at that begin.
    pub fn allowed(&self, age_s: f64) -> f64 {
        self.overload_factor * self.warmth(age_s) * self.capacity_per_s * self.overload_time_s
    }

    /// What all nodes together send in that window at most, in the mean. Their own answers from a warm server add up to its
    /// load, and tickets come at a multiple of these.
    pub fn sent(&self, age_s: f64) -> f64 {
        SPEND * self.load * self.allowed(age_s)
    }

    /// The probability that a window beginning at this age brings more than N + 2 x root of N + 2.
    pub fn falls_in_window(&self, age_s: f64) -> f64 {
        let allowed = self.allowed(age_s);
        let limit = allowed + 2.0 * allowed.sqrt() + 2.0;
        Poisson::new(self.sent(age_s)).map_or(0.0, |sent| sent.sf(limit.floor() as u64))
    }

    /// The expected number of falls of one start: the sum over the windows that follow each other until it is warm.
    pub fn falls_of_a_start(&self) -> f64 {
        let windows = (self.warm_after_s / self.overload_time_s).ceil() as u32;
        (0..windows).map(|window| self.falls_in_window(f64::from(window) * self.overload_time_s)).sum()
    }
}
