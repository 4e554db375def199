//! What became of requests, and how the servers stood that answered them. The judge books worth by cause; this counts
//! requests, as the operators' day reports do, and looks at what servers were like when an attempt came in.

use std::ops::{Add, BitOr};

/// A server is crowded here if it holds more requests than this for each core before another comes: with three ahead
/// of it, a request of mean work is done after four units, beyond the operators' aim of 3.7.
pub const CROWDED: usize = 3;

/// How a server stood when an attempt reached it: any of the four things that make one slow.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Standing(u8);

impl Standing {
    /// In the slow state that crowding leaves behind.
    pub const TIPPED: Standing = Standing(1);
    /// It held more than `CROWDED` requests for each core.
    pub const CROWDED: Standing = Standing(2);
    /// Its capacity had not all come back after a start.
    pub const COLD: Standing = Standing(4);
    /// A fault slowed it, or held it still.
    pub const SLOWED: Standing = Standing(8);
    /// All four, with their names.
    pub const ALL: [(&'static str, Standing); 4] = [
        ("tipped", Standing::TIPPED),
        ("crowded", Standing::CROWDED),
        ("cold", Standing::COLD),
        ("slowed by a fault", Standing::SLOWED),
    ];

    /// This one if it holds, or nothing.
    pub fn only_if(self, holds: bool) -> Self {
        if holds { self } else { Standing::default() }
    }

    /// Whether it holds all of the other.
    pub fn has(self, other: Standing) -> bool {
        self.0 & other.0 == other.0
    }
}

impl BitOr for Standing {
    type Output = Standing;
    fn bitor(self, other: Standing) -> Standing {
        Standing(self.0 | other.0)
    }
}

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    /// Answered, by an attempt that found its server so; in time or late.
    Answered(Standing),
    /// The last answer refused, or failed without an attempt.
    Refused,
    /// The last try failed, was given up by its client, or found no node.
    Failed,
}

/// How a request's first try ended, if it had to be tried again.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum First {
    /// It has not ended, or was the last.
    #[default]
    Only,
    /// Its node refused it without an attempt.
    Refused,
    /// It came to nothing at a server that had been found so, however its node or its client worded that in the end.
    Waited(Standing),
    /// It met no node, or its node sent it nowhere.
    Lost,
}

/// Requests by standing of the server that answered them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Answers([u64; 16]);

impl Answers {
    /// All of them.
    pub fn all(&self) -> u64 {
        self.0.iter().sum()
    }

    /// Those whose server stood so, whatever else was true of it.
    pub fn of(&self, standing: Standing) -> u64 {
        let standings = (0..).map(Standing).zip(&self.0);
        standings.filter(|(its, _)| its.has(standing)).map(|(_, count)| count).sum()
    }

    /// Those whose server had none of the four.
    pub fn sound(&self) -> u64 {
        self.0[0]
    }
}

/// The requests of a run by their ends.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Fates {
    /// Answered within the aim.
    pub in_time: Answers,
    /// Answered after it.
    pub late: Answers,
    /// Of these, those whose first try had been refused without an attempt.
    pub late_refused_first: u64,
    /// Those whose first try had come to nothing at a server, by how that server stood.
    pub late_waited_first: Answers,
    /// Refused at the last.
    pub refused: u64,
    /// Failed at the last.
    pub failed: u64,
}

impl Fates {
    /// A request has come to its end, `in_time` if it was answered.
    pub fn count(&mut self, fate: Fate, in_time: bool, first: First) {
        match fate {
            Fate::Answered(standing) if in_time => self.in_time.0[usize::from(standing.0)] += 1,
            Fate::Answered(standing) => {
                self.late.0[usize::from(standing.0)] += 1;
                match first {
                    First::Refused => self.late_refused_first += 1,
                    First::Waited(found) => self.late_waited_first.0[usize::from(found.0)] += 1,
                    First::Only | First::Lost => {}
                }
            }
            Fate::Refused => self.refused += 1,
            Fate::Failed => self.failed += 1,
        }
    }

    /// All requests.
    pub fn requests(&self) -> u64 {
        self.in_time.all() + self.late.all() + self.refused + self.failed
    }
}

impl Add for Answers {
    type Output = Answers;
    fn add(self, other: Answers) -> Answers {
        Answers(std::array::from_fn(|i| self.0[i] + other.0[i]))
    }
}

impl Add for Fates {
    type Output = Fates;
    fn add(self, other: Fates) -> Fates {
        Fates {
            in_time: self.in_time + other.in_time,
            late: self.late + other.late,
            late_refused_first: self.late_refused_first + other.late_refused_first,
            late_waited_first: self.late_waited_first + other.late_waited_first,
            refused: self.refused + other.refused,
            failed: self.failed + other.failed,
        }
    }
}
