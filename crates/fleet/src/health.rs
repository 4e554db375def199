//! A node's own health, after the published idea of Lifeguard (Dadgar, Phillips, Currey 2017): a node that was stopped or
//! starved first doubts itself, and gives others longer, before it takes them for dead.

use std::time::Duration;

/// The worst score: time-outs are stretched by as much at the most (Lifeguard's S).
const WORST: u32 = 8;
/// The least score of a node that still learns who there is: half of the worst, since news of its own delays, which it
/// has none of yet, may make it as bad again.
const LEARNING: u32 = 4;

/// How well a node itself does, from 0 for well to 8: its time-outs are one and so many times as long.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Health {
    score: u32,
}

impl Health {
    /// Its score, from 0 to 8.
    pub fn score(self) -> u32 {
        self.score
    }

    /// A time-out as it is to be now.
    pub fn stretch(self, time: Duration) -> Duration {
        time * (1 + self.score)
    }

    /// Something took longer than it should have, by so much, in units of the shortest time-out: the node has not run.
    pub fn late(&mut self, by: Duration, unit: Duration) {
        let units = by.as_secs_f64() / unit.as_secs_f64().max(1e-9);
        self.score = (self.score + units.ceil().min(f64::from(WORST)) as u32).min(WORST);
    }

    /// Others doubt this node, or an answer did not come to it that came to another who asked in its stead: one worse.
    pub fn doubted(&mut self) {
        self.score = (self.score + 1).min(WORST);
    }

    /// It still learns who there is, and so do others, whose denials of a suspicion have to share the room with that: not
    /// well, until it is over.
    pub fn learning(&mut self) {
        self.score = self.score.max(LEARNING);
    }

    /// A round went as it should: one better.
    pub fn well(&mut self) {
        self.score = self.score.saturating_sub(1);
    }
}

#[cfg(test)]
mod tests;
