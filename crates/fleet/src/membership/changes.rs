//! Changes of this node's own membership, and what SWIM wants done and has found out about the others.

use super::graceful_leave::LeaveNotice;
use super::send::KIND_SWIM;
use super::settings::foca_config;
use super::timers::{PendingTimer, Suspicion};
use super::{Cause, Change, Membership, Output};
use crate::agreement::member_digest;
use crate::identity::{Identity, Phase};
use foca::{AccumulatingRuntime, OwnedNotification, Timer};
use std::time::Duration;

/// A suspicion timeout is split into this many steps, and at the end of each but the last the suspect is
/// contacted directly. If a fifth of the datagrams is lost each way, one of the three contacts is answered 19
/// times in 20.
const SUSPICION_STEPS: u32 = 4;
/// The number of past departures that are kept for [`Membership::departed`].
const MAX_DEPARTED: usize = 256;

impl Membership {
    /// Leaves the fleet: tells a few members at once, and they pass it on to all.
    pub fn leave(&mut self, now: Duration, out: &mut Vec<Output>) {
        if self.displaced_by.is_some() || self.phase == Phase::Leaving {
            return;
        }
        self.phase = Phase::Leaving;
        let notice = LeaveNotice { name: self.local.name, started_ms: self.local.started_ms };
        if let Ok(data) = postcard::to_allocvec(&notice) {
            let _ = self.swim.add_broadcast(&data);
        }
        let mut effects = AccumulatingRuntime::new();
        // More than once, since datagrams may be lost.
        for _ in 0..3 {
            let _ = self.swim.gossip(&mut effects);
        }
        let _ = self.swim.leave_cluster(&mut effects);
        self.apply_effects(effects, now, out);
    }

    /// Moves this node's start after that of an earlier process of the same node, since the clock was set
    /// back in between. Otherwise the other members would ignore this process.
    pub(super) fn start_after(&mut self, started_ms: u64, effects: &mut AccumulatingRuntime<Identity>) {
        let local = Identity { started_ms: started_ms.saturating_add(1), renewed: 0, ..self.local.clone() };
        self.digest =
            self.digest.wrapping_sub(member_digest(&self.local)).wrapping_add(member_digest(&local));
        self.observed.borrow_mut().local = local.clone();
        self.local = local.clone();
        self.counters.renewed += 1;
        // Foca refuses only an unchanged identity, and this one differs.
        let _ = self.swim.change_identity(local, effects);
    }

    /// Stops this node's membership, since a process with the same name started later.
    pub(super) fn displace(&mut self, by: Identity, out: &mut Vec<Output>) {
        out.push(Output::Displaced(by.clone()));
        self.displaced_by = Some(by);
        self.due_times.clear();
        self.pending_timers.clear();
    }

    /// Applies what SWIM has found out, sets the timers that it wants, and sends its messages. Returns the
    /// number of these.
    pub(super) fn apply_effects(
        &mut self,
        mut effects: AccumulatingRuntime<Identity>,
        now: Duration,
        out: &mut Vec<Output>,
    ) -> usize {
        while let Some(notification) = effects.to_notify() {
            self.handle_notification(notification, now, out);
        }
        let local_now = now.saturating_sub(self.stalled);
        while let Some((after, timer)) = effects.to_schedule() {
            let local_health = self.settings.local_health;
            let delay = match timer {
                Timer::ProbeRandomMember(_)
                | Timer::SendIndirectProbe { .. }
                | Timer::ChangeSuspectToDown { .. }
                    if local_health =>
                {
                    self.health.scale_timeout(after)
                }
                _ => after,
            };
            let is_suspicion = matches!(timer, Timer::ChangeSuspectToDown { .. });
            self.suspicions_raised += u64::from(is_suspicion);
            let (after, suspicion) = if is_suspicion && local_health {
                let step = delay / SUSPICION_STEPS;
                (step, Some(Suspicion { since: now, step, steps_left: SUSPICION_STEPS }))
            } else {
                (delay, None)
            };
            self.set_timer(local_now + after, PendingTimer { timer, suspicion });
        }
        let mut messages_sent = 0;
        while let Some((to, body)) = effects.to_send() {
            self.send(KIND_SWIM, to.address, &body, out);
            messages_sent += 1;
        }
        messages_sent
    }

    fn handle_notification(
        &mut self,
        notification: OwnedNotification<Identity>,
        now: Duration,
        out: &mut Vec<Output>,
    ) {
        match notification {
            OwnedNotification::MemberUp(member) => self.add_member(member, out),
            OwnedNotification::MemberDown(member) => {
                let cause = if self.departed_members.contains(&member) { Cause::Left } else { Cause::Failed };
                self.remove_member(&member, cause, now, out);
            }
            OwnedNotification::Rename(before, after) => {
                // The later of two starts is the member. Whether it is alive is a notification of its own.
                if self.members.get(&before.name) == Some(&before) {
                    self.drop_from_view(&before);
                    self.add_member(after, out);
                }
            }
            OwnedNotification::Active => {
                self.phase = if self.phase == Phase::Joining { Phase::Active } else { self.phase };
            }
            OwnedNotification::Rejoin(local) => {
                self.digest =
                    self.digest.wrapping_sub(member_digest(&self.local)).wrapping_add(member_digest(&local));
                self.observed.borrow_mut().local = local.clone();
                self.local = local;
                self.counters.renewed += 1;
                self.health.degrade();
            }
            OwnedNotification::Idle | OwnedNotification::Defunct => {}
        }
    }

    /// Adds a member to the view, or replaces an earlier start of it, if there is room.
    fn add_member(&mut self, member: Identity, out: &mut Vec<Output>) {
        let held = self.members.get(&member.name);
        if held == Some(&member) || held.is_none() && self.members.len() >= self.settings.max_members {
            return;
        }
        let has_departed = self.departed.iter().any(|(gone, ..)| gone.name == member.name);
        let cause = if has_departed || self.members.contains_key(&member.name) {
            Cause::Returned
        } else {
            Cause::Joined
        };
        if let Some(before) = self.members.get(&member.name).cloned() {
            self.drop_from_view(&before);
        }
        self.digest = self.digest.wrapping_add(member_digest(&member));
        self.members.insert(member.name, member.clone());
        self.view_version += 1;
        self.observed.borrow_mut().names.insert(member.name);
        self.update_swim_config();
        out.push(Output::Changed(Change { member, cause }));
    }

    /// Removes a member that left or failed, and records its departure.
    fn remove_member(&mut self, member: &Identity, cause: Cause, now: Duration, out: &mut Vec<Output>) {
        if self.members.get(&member.name) != Some(member) {
            return;
        }
        self.drop_from_view(member);
        self.update_swim_config();
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

    /// Removes a member from the view and from all that depends on it.
    fn drop_from_view(&mut self, member: &Identity) {
        self.members.remove(&member.name);
        self.view_version += 1;
        self.observed.borrow_mut().names.remove(&member.name);
        self.digest = self.digest.wrapping_sub(member_digest(member));
        self.peer_views.remove(&member.name);
    }

    /// Adapts foca's configuration to the number of members: the suspicion timeout grows with it.
    fn update_swim_config(&mut self) {
        // Foca refuses only changes of other settings, and only the suspicion timeout differs.
        let _ = self.swim.set_config(foca_config(&self.settings, self.members.len() + 1));
    }
}
