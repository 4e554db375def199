//! The fourth rule's budget: what a server that has just started is sent within a span, against what it can take. The
//! emulator's servers and the rig's stand-ins are judged by the same sum.

use crate::time::{Nanos, in_secs};
use std::collections::VecDeque;

/// When a cold server falls over.
#[derive(Clone, Copy, Debug)]
pub struct ColdModel {
    /// At this multiple of its present capacity ...
    pub factor: f64,
    /// ... within so long; 0 for never.
    pub over: Nanos,
    /// Work beyond that which is put down to chance, in s.
    pub slack: f64,
}

/// Work that has come.
#[derive(Clone, Copy)]
struct Came {
    at: Nanos,
    work: f64,
    /// From a node that had been told of the start.
    told: bool,
}

/// What has come to a cold server lately.
#[derive(Default)]
pub struct Cold(VecDeque<Came>);

impl Cold {
    /// Work reaches it, also work that it turns away, while it can do `capacity` a second. Says whether that is more
    /// than it can take: `Some(true)` if two thirds of it came from nodes that had been told of its start.
    pub fn is_pushed_over(
        &mut self,
        model: &ColdModel,
        now: Nanos,
        capacity: f64,
        work: f64,
        told: bool,
    ) -> Option<bool> {
        if model.over == 0 || model.factor <= 0.0 {
            return None;
        }
        self.0.push_back(Came { at: now, work, told });
        while self.0.front().is_some_and(|came| came.at + model.over < now) {
            self.0.pop_front();
        }
        let all: f64 = self.0.iter().map(|came| came.work).sum();
        let from_told: f64 = self.0.iter().filter(|came| came.told).map(|came| came.work).sum();
        let allowed = model.factor * capacity * in_secs(model.over) + model.slack;
        (all > allowed).then_some(3.0 * from_told >= 2.0 * all)
    }
}
