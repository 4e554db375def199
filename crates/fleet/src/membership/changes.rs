//! What changes a member's own standing, and what SWIM has found out of the others.

use super::graceful_leave::Left;
use super::send::SWIM;
use super::settings::config;
use super::timers::{PendingTimer, Suspicion};
use super::{Cause, Change, Membership, Output};
use crate::agreement::member_digest;
use crate::identity::{Identity, Phase};
use foca::{AccumulatingRuntime, OwnedNotification, Timer};
use std::time::Duration;

/// A suspicion is so many parts long, and after each but the last the suspect itself is called: at a loss of a fifth each
/// way, three calls reach it and back 19 times in 20.
const SUSPICION_PARTS: u32 = 4;
/// Departures that are kept to be shown.
const MAX_DEPARTED: usize = 256;

impl Membership {
    /// This node leaves: it says so to a few at once, and they to all.
    pub fn leave(&mut self, now: Duration, out: &mut Vec<Output>) {
        if self.displaced.is_some() || self.phase == Phase::Leaving {
            return;
        }
        self.phase = Phase::Leaving;
        let left = Left { name: self.me.name, started_ms: self.me.started_ms };
        if let Ok(data) = postcard::to_allocvec(&left) {
            let _ = self.swim.add_broadcast(&data);
        }
        let mut effects = AccumulatingRuntime::new();
        // Once would do if nothing were lost.
        for _ in 0..3 {
            let _ = self.swim.gossip(&mut effects);
        }
        let _ = self.swim.leave_cluster(&mut effects);
        self.apply_effects(effects, now, out);
    }

    /// Its clock was set back since an earlier life: this one's start is put after that one's, or nobody would hear it.
    pub(super) fn start_after(&mut self, started_ms: u64, effects: &mut AccumulatingRuntime<Identity>) {
        let me = Identity { started_ms: started_ms.saturating_add(1), renewed: 0, ..self.me.clone() };
        self.digest = self.digest.wrapping_sub(member_digest(&self.me)).wrapping_add(member_digest(&me));
        self.observed.borrow_mut().me = me.clone();
        self.me = me.clone();
        self.counters.renewed += 1;
        // Refused only if it is the same, which it is not.
        let _ = self.swim.change_identity(me, effects);
    }

    pub(super) fn displace(&mut self, by: Identity, out: &mut Vec<Output>) {
        out.push(Output::Displaced(by.clone()));
        self.displaced = Some(by);
        self.timers.clear();
        self.waiting.clear();
    }

    /// What SWIM wants done, and what it has found out. Returns how many messages that were.
    pub(super) fn apply_effects(
        &mut self,
        mut effects: AccumulatingRuntime<Identity>,
        now: Duration,
        out: &mut Vec<Output>,
    ) -> usize {
        while let Some(note) = effects.to_notify() {
            self.handle_notification(note, now, out);
        }
        let own = now.saturating_sub(self.lost);
        while let Some((after, timer)) = effects.to_schedule() {
            let doubts = self.settings.local_health;
            let stretched = match timer {
                Timer::ProbeRandomMember(_)
                | Timer::SendIndirectProbe { .. }
                | Timer::ChangeSuspectToDown { .. }
                    if doubts =>
                {
                    self.health.stretch(after)
                }
                _ => after,
            };
            let suspects = matches!(timer, Timer::ChangeSuspectToDown { .. });
            self.suspicions += u64::from(suspects);
            let (after, suspicion) = if suspects && doubts {
                let part = stretched / SUSPICION_PARTS;
                (part, Some(Suspicion { since: now, part, left: SUSPICION_PARTS }))
            } else {
                (stretched, None)
            };
            self.set_timer(own + after, PendingTimer { timer, suspicion });
        }
        let mut sent = 0;
        while let Some((to, body)) = effects.to_send() {
            self.send(SWIM, to.address, &body, out);
            sent += 1;
        }
        sent
    }

    fn handle_notification(
        &mut self,
        note: OwnedNotification<Identity>,
        now: Duration,
        out: &mut Vec<Output>,
    ) {
        match note {
            OwnedNotification::MemberUp(member) => self.add(member, out),
            OwnedNotification::MemberDown(member) => {
                let cause = if self.leavers.has(&member) { Cause::Left } else { Cause::Failed };
                self.remove(&member, cause, now, out);
            }
            OwnedNotification::Rename(before, after) => {
                // Of two lives the later one is the member; whether that is alive is told by itself.
                if self.members.get(&before.name) == Some(&before) {
                    self.forget(&before);
                    self.add(after, out);
                }
            }
            OwnedNotification::Active => {
                self.phase = if self.phase == Phase::Joining { Phase::Active } else { self.phase };
            }
            OwnedNotification::Rejoin(me) => {
                self.digest =
                    self.digest.wrapping_sub(member_digest(&self.me)).wrapping_add(member_digest(&me));
                self.observed.borrow_mut().me = me.clone();
                self.me = me;
                self.counters.renewed += 1;
                self.health.doubted();
            }
            OwnedNotification::Idle | OwnedNotification::Defunct => {}
        }
    }

    fn add(&mut self, member: Identity, out: &mut Vec<Output>) {
        let held = self.members.get(&member.name);
        if held == Some(&member) || held.is_none() && self.members.len() >= self.settings.max_members {
            return;
        }
        let before = self.departed.iter().any(|(gone, ..)| gone.name == member.name);
        let cause =
            if before || self.members.contains_key(&member.name) { Cause::Returned } else { Cause::Joined };
        if let Some(before) = self.members.get(&member.name).cloned() {
            self.forget(&before);
        }
        self.digest = self.digest.wrapping_add(member_digest(&member));
        self.members.insert(member.name, member.clone());
        self.version += 1;
        self.observed.borrow_mut().names.insert(member.name);
        self.resized();
        out.push(Output::Changed(Change { member, cause }));
    }

    fn remove(&mut self, member: &Identity, cause: Cause, now: Duration, out: &mut Vec<Output>) {
        if self.members.get(&member.name) != Some(member) {
            return;
        }
        self.forget(member);
        self.resized();
        match cause {
            Cause::Left => self.counters.left += 1,
            _ => self.counters.failed += 1,
        }
        if self.departed.len() >= MAX_DEPARTED {
            self.departed.remove(0);
        }
        self.departed.push((member.clone(), cause, now));
        out.push(Output::Changed(Change { member: member.clone(), cause }));
    }

    fn forget(&mut self, member: &Identity) {
        self.members.remove(&member.name);
        self.version += 1;
        self.observed.borrow_mut().names.remove(&member.name);
        self.digest = self.digest.wrapping_sub(member_digest(member));
        self.views.forget(&member.name);
    }

    /// Suspicion lasts for longer among more members.
    fn resized(&mut self) {
        // Nothing else of it changes, which is all that could be refused.
        let _ = self.swim.set_config(config(&self.settings, self.members.len() + 1));
    }
}
