//! Timers: SWIM's own, which run on this node's local time, and what is done once in a probe period.

use super::send::KIND_HELLO;
use super::{Membership, Output};
use crate::identity::{Identity, Phase};
use foca::{AccumulatingRuntime, Timer};
use std::cmp::Reverse;
use std::time::Duration;

/// A SWIM timer that is not due yet. The timer of a suspicion is set again for each of its steps.
pub(super) struct PendingTimer {
    pub(super) timer: Timer<Identity>,
    /// Set for the timer of a suspicion, if local health is in use.
    pub(super) suspicion: Option<Suspicion>,
}

/// A suspicion that this node tracks. Its timeout is split into steps of equal length.
pub(super) struct Suspicion {
    /// When it began, in the caller's time.
    pub(super) since: Duration,
    /// The length of a step.
    pub(super) step: Duration,
    pub(super) steps_left: u32,
}

impl Membership {
    /// The time by which [`Membership::tick`] has to be called next; `None` if it need not be.
    pub fn wake_at(&self) -> Option<Duration> {
        if self.displaced_by.is_some() || self.phase == Phase::Leaving {
            return None;
        }
        let next_timer_at = self.due_times.peek().map_or(self.next_period_at, |Reverse((at, _))| *at);
        Some(next_timer_at.min(self.next_period_at) + self.stalled)
    }

    /// This node's local time, which leaves out the time in which it could not run. If what is due is late by
    /// more than half of the probe timeout, that delay is left out too, and raises the local health score.
    pub(super) fn local_time(&mut self, now: Duration) -> Duration {
        self.departed_members.set_now(now);
        let local_now = now.saturating_sub(self.stalled);
        if !self.settings.local_health {
            return local_now;
        }
        let due = self
            .due_times
            .peek()
            .map_or(self.next_period_at, |Reverse((at, _))| *at)
            .min(self.next_period_at);
        let delay = local_now.saturating_sub(due);
        if delay > self.settings.probe_timeout / 2 {
            self.stalled += delay;
            self.health.record_delay(delay, self.settings.probe_timeout);
            return local_now - delay;
        }
        local_now
    }

    /// Does whatever is due.
    pub fn tick(&mut self, now: Duration, out: &mut Vec<Output>) {
        if self.displaced_by.is_some() || self.phase == Phase::Leaving {
            return;
        }
        let local_now = self.local_time(now);
        while self.due_times.peek().is_some_and(|Reverse((at, _))| *at <= local_now) {
            let Some(Reverse((_, id))) = self.due_times.pop() else { break };
            let Some(pending) = self.pending_timers.remove(&id) else { continue };
            let Some(timer) = self.expire(pending, local_now, out) else { continue };
            let mut effects = AccumulatingRuntime::new();
            let (is_indirect_probe, is_next_probe) = (
                matches!(timer, Timer::SendIndirectProbe { .. }),
                matches!(timer, Timer::ProbeRandomMember(_)),
            );
            let suspicions_before = self.suspicions_raised;
            // An error here means that a message could not be encoded: then there is nothing to send.
            let _ = self.swim.handle_timer(timer, &mut effects);
            let messages_sent = self.apply_effects(effects, now, out);
            if is_indirect_probe {
                self.direct_probe_failed = messages_sent > 0;
            }
            if is_next_probe
                && std::mem::take(&mut self.direct_probe_failed)
                && self.suspicions_raised == suspicions_before
            {
                // An indirect probe was acked, the direct one was not: this node itself is hard to reach.
                self.health.degrade();
                self.ack_missed = true;
            }
        }
        if local_now >= self.next_period_at {
            self.end_period();
            self.contact_seeds(out);
            self.next_period_at = local_now + self.settings.probe_period;
        }
    }

    /// Returns a timer that has come due if SWIM is to handle it now. The suspicion timeout is handled at its
    /// last step only, and not at all if the suspect was heard from since the suspicion began, whatever
    /// became of the probes. At the steps before, the suspect is contacted directly with a hello.
    fn expire(
        &mut self,
        pending: PendingTimer,
        local_now: Duration,
        out: &mut Vec<Output>,
    ) -> Option<Timer<Identity>> {
        let PendingTimer { timer, suspicion } = pending;
        let (Timer::ChangeSuspectToDown { member_id, .. }, Some(mut suspicion)) = (&timer, suspicion) else {
            return Some(timer);
        };
        let sender = self.senders.get(&member_id.name);
        if sender.is_some_and(|(start, _, at)| *start == member_id.started_ms && *at > suspicion.since) {
            self.counters.suspicions_cleared += 1;
            return None;
        }
        suspicion.steps_left -= 1;
        if suspicion.steps_left == 0 {
            return Some(timer);
        }
        self.send_identity(KIND_HELLO, member_id.address, out);
        let at = local_now + suspicion.step;
        self.set_timer(at, PendingTimer { timer, suspicion: Some(suspicion) });
        None
    }

    /// Sets a timer that is due at a moment of local time.
    pub(super) fn set_timer(&mut self, at: Duration, pending: PendingTimer) {
        self.last_timer_id += 1;
        self.due_times.push(Reverse((at, self.last_timer_id)));
        self.pending_timers.insert(self.last_timer_id, pending);
    }

    /// Ends a probe period: updates the local health score, and resets and prunes what is counted by periods.
    fn end_period(&mut self) {
        let members = self.members.len();
        let grows = members > self.members_at_period_start + self.members_at_period_start / 10;
        self.members_at_period_start = members;
        if grows {
            self.health.view_growing();
        } else if !std::mem::take(&mut self.ack_missed) {
            self.health.improve();
        }
        self.state_sync.start_period();
        self.departed_members.prune();
    }
}
