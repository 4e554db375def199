//! The timers of the node's event loop.

use hillpick::RequestId;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

/// Below this number of timers stale ones are kept.
const MIN_SWEEP_LENGTH: usize = 1024;

/// What a timer is for.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Timer {
    /// The decision module asked for it, with this token.
    Module(u64),
    /// The timeout of an attempt, by its number.
    Attempt(RequestId, u32),
    /// The client's deadline.
    Deadline(RequestId),
}

/// Timers in the order in which they are due. Timers of requests that have ended are stale; they are removed
/// when they may be more than half of all.
pub struct TimerQueue {
    timers: BinaryHeap<Reverse<(Duration, u64, Timer)>>,
    sequence: u64,
    /// The length at which stale timers are looked for.
    sweep_length: usize,
}

impl TimerQueue {
    /// A queue without timers.
    pub fn new() -> Self {
        TimerQueue { timers: BinaryHeap::new(), sequence: 0, sweep_length: MIN_SWEEP_LENGTH }
    }

    /// Arms a timer for this time. Timers due at the same time fire in the order in which they were armed.
    pub fn arm(&mut self, at: Duration, timer: Timer) {
        self.sequence += 1;
        self.timers.push(Reverse((at, self.sequence, timer)));
    }

    /// When the next timer is due.
    pub fn next_due(&self) -> Option<Duration> {
        self.timers.peek().map(|Reverse((at, ..))| *at)
    }

    /// Removes the next timer that is due.
    pub fn pop_due(&mut self, now: Duration) -> Option<Timer> {
        self.next_due().filter(|at| *at <= now)?;
        self.timers.pop().map(|Reverse((_, _, timer))| timer)
    }

    /// Removes stale timers, if there may be many.
    pub fn sweep(&mut self, is_live: impl Fn(&Timer) -> bool) {
        if self.timers.len() < self.sweep_length {
            return;
        }
        self.timers.retain(|Reverse((_, _, timer))| is_live(timer));
        self.sweep_length = (2 * self.timers.len()).max(MIN_SWEEP_LENGTH);
    }
}

#[cfg(test)]
mod tests;
