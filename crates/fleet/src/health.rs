//! A node's local health, after Lifeguard's local health multiplier (Dadgar, Phillips, Currey 2017). A node
//! that was stopped or starved of processor time scales its own timeouts up first, so that it waits longer
//! before it declares others dead.

use std::time::Duration;

/// The worst score, and so the most by which timeouts grow (Lifeguard's S).
const MAX_SCORE: u32 = 8;
/// The least score while the node's view still grows. It is half of the worst: delays of its own, of which a
/// node that has just started has seen none yet, can still raise the score by as much again.
const GROWING_VIEW_SCORE: u32 = 4;

/// The local health score, from 0 (healthy) to 8. Time-outs are multiplied by the score plus one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LocalHealth {
    score: u32,
}

impl LocalHealth {
    /// The score, from 0 (healthy) to 8.
    pub fn score(self) -> u32 {
        self.score
    }

    /// A timeout multiplied by the score plus one.
    pub fn scale_timeout(self, timeout: Duration) -> Duration {
        timeout * (1 + self.score)
    }

    /// Something ran `delay` later than it should have, since the node got no processor time: raises the
    /// score by one for each started `unit`, the shortest timeout.
    pub fn record_delay(&mut self, delay: Duration, unit: Duration) {
        let units = delay.as_secs_f64() / unit.as_secs_f64().max(1e-9);
        self.score = (self.score + units.ceil().min(f64::from(MAX_SCORE)) as u32).min(MAX_SCORE);
    }

    /// Raises the score by one: another member suspects this node, or an ack reached only the member that
    /// probed on this node's behalf.
    pub fn degrade(&mut self) {
        self.score = (self.score + 1).min(MAX_SCORE);
    }

    /// Holds the score at `GROWING_VIEW_SCORE` or above while the view still grows. Others are then
    /// learning of members too, and their refutations of a suspicion share the room in datagrams with that
    /// news.
    pub fn view_growing(&mut self) {
        self.score = self.score.max(GROWING_VIEW_SCORE);
    }

    /// Lowers the score by one, after a probe period without trouble.
    pub fn improve(&mut self) {
        self.score = self.score.saturating_sub(1);
    }
}

#[cfg(test)]
mod tests;
