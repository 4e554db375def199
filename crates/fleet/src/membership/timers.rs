//! What is due: SWIM's timers on this node's own time, and what happens once a period.

use super::send::HELLO;
use super::{Membership, Output};
use crate::identity::{Identity, Phase};
use foca::{AccumulatingRuntime, Timer};
use std::cmp::Reverse;
use std::time::Duration;

/// One of SWIM's timers that waits; a suspicion waits in parts.
pub(super) struct PendingTimer {
    pub(super) timer: Timer<Identity>,
    pub(super) suspicion: Option<Suspicion>,
}

/// A suspicion of this node's own: since when, how long each of its parts is, and how many are left.
pub(super) struct Suspicion {
    pub(super) since: Duration,
    pub(super) part: Duration,
    pub(super) left: u32,
}

impl Membership {
    /// When [`Membership::tick`] is to be called at the latest.
    pub fn wake_at(&self) -> Option<Duration> {
        if self.displaced.is_some() || self.phase == Phase::Leaving {
            return None;
        }
        let timer = self.timers.peek().map_or(self.seek_at, |Reverse((at, _))| *at);
        Some(timer.min(self.seek_at) + self.lost)
    }

    /// This node's own time: what it was late is left out. Being late is also what it doubts itself for.
    pub(super) fn local_time(&mut self, now: Duration) -> Duration {
        self.leavers.set_now(now);
        let own = now.saturating_sub(self.lost);
        if !self.settings.local_health {
            return own;
        }
        let due = self.timers.peek().map_or(self.seek_at, |Reverse((at, _))| *at).min(self.seek_at);
        let late = own.saturating_sub(due);
        if late > self.settings.probe_timeout / 2 {
            self.lost += late;
            self.health.late(late, self.settings.probe_timeout);
            return own - late;
        }
        own
    }

    /// Time has passed: whatever is due is done.
    pub fn tick(&mut self, now: Duration, out: &mut Vec<Output>) {
        if self.displaced.is_some() || self.phase == Phase::Leaving {
            return;
        }
        let own = self.local_time(now);
        while self.timers.peek().is_some_and(|Reverse((at, _))| *at <= own) {
            let Some(Reverse((_, number))) = self.timers.pop() else { break };
            let Some(waiting) = self.waiting.remove(&number) else { continue };
            let Some(timer) = self.expire(waiting, own, out) else { continue };
            let mut effects = AccumulatingRuntime::new();
            let (indirect, next) = (
                matches!(timer, Timer::SendIndirectProbe { .. }),
                matches!(timer, Timer::ProbeRandomMember(_)),
            );
            let suspects = self.suspicions;
            // An error here is a message that could not be made: there is none to send then.
            let _ = self.swim.handle_timer(timer, &mut effects);
            let sent = self.apply_effects(effects, now, out);
            if indirect {
                self.unanswered = sent > 0;
            }
            if next && std::mem::take(&mut self.unanswered) && self.suspicions == suspects {
                // The answer came to others, who asked in this node's stead: it is this node that is hard to reach.
                self.health.doubted();
                self.doubted_now = true;
            }
        }
        if own >= self.seek_at {
            self.end_period();
            self.probe_unknown(out);
            self.seek_at = own + self.settings.probe_period;
        }
    }

    /// A timer that has come due, if it is to be carried out now. A suspect that has been heard since is not dead, whatever
    /// became of the probes; one that has not is called, until the last part of the suspicion is over.
    fn expire(
        &mut self,
        waiting: PendingTimer,
        own: Duration,
        out: &mut Vec<Output>,
    ) -> Option<Timer<Identity>> {
        let PendingTimer { timer, suspicion } = waiting;
        let (Timer::ChangeSuspectToDown { member_id, .. }, Some(mut it)) = (&timer, suspicion) else {
            return Some(timer);
        };
        let window = self.windows.get(&member_id.name);
        if window.is_some_and(|(life, _, at)| *life == member_id.started_ms && *at > it.since) {
            self.counters.suspicions_cleared += 1;
            return None;
        }
        it.left -= 1;
        if it.left == 0 {
            return Some(timer);
        }
        self.send_identity(HELLO, member_id.address, out);
        let at = own + it.part;
        self.set_timer(at, PendingTimer { timer, suspicion: Some(it) });
        None
    }

    pub(super) fn set_timer(&mut self, at: Duration, waiting: PendingTimer) {
        self.timers_set += 1;
        self.timers.push(Reverse((at, self.timers_set)));
        self.waiting.insert(self.timers_set, waiting);
    }

    /// A period of its own time has gone by, and it was there.
    fn end_period(&mut self) {
        let known = self.members.len();
        let grows = known > self.known_before + self.known_before / 10;
        self.known_before = known;
        if grows {
            self.health.learning();
        } else if !std::mem::take(&mut self.doubted_now) {
            self.health.well();
        }
        self.pages.renew();
        self.leavers.prune();
    }
}
