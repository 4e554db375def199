//! Handling of received datagrams.

use super::codec::DecodeError;
use super::graceful_leave::LeaveNotice;
use super::send::{KIND_HELLO, KIND_PAGE, KIND_PAGE_REQUEST, KIND_SWIM, KIND_WELCOME};
use super::{Cause, Change, Membership, Output};
use crate::identity::{Address, Identity, Phase};
use crate::state_sync::{MAX_PAGE_MEMBERS, Page, PageRequest};
use crate::wire::{self, Header, KIND_OFFSET, Rejected, ReplayWindow};
use foca::AccumulatingRuntime;
use std::collections::BTreeMap;
use std::ops::Bound;
use std::time::Duration;

/// In a probe period, at most this many members with a different view are asked for a page of their list.
const SYNCS_PER_PERIOD: u32 = 4;

impl Membership {
    /// Handles a received datagram.
    pub fn receive(&mut self, now: Duration, data: &[u8], out: &mut Vec<Output>) {
        if self.displaced_by.is_some() || self.phase == Phase::Leaving {
            return;
        }
        // A delay of this node is noticed by whichever comes first after it, a timer or a datagram.
        self.local_time(now);
        match self.try_receive(now, data, out) {
            Ok(()) => self.counters.received += 1,
            Err(reason) => *self.counters.rejected.entry(reason).or_default() += 1,
        }
    }

    fn try_receive(&mut self, now: Duration, data: &[u8], out: &mut Vec<Output>) -> Result<(), Rejected> {
        let (header, body) = Header::decode(data, self.cluster_hash)?;
        let sender = wire::decode_sender(body)?;
        let uptime_ms = now.saturating_sub(self.started.0).as_millis() as u64;
        self.observed.borrow_mut().now_ms = self.started.1.saturating_add(uptime_ms);
        if sender.name == self.local.name {
            if sender.started_ms > self.local.started_ms {
                self.displace(sender, out);
            }
            return Err(Rejected::SameName);
        }
        if self.senders.len() >= self.settings.max_members && !self.senders.contains_key(&sender.name) {
            let members = &self.members;
            self.senders.retain(|name, _| members.contains_key(name));
            if self.senders.len() >= self.settings.max_members {
                return Err(Rejected::Garbage);
            }
        }
        let (started_ms, window, received_at) =
            self.senders.entry(sender.name).or_insert((sender.started_ms, ReplayWindow::default(), now));
        if sender.started_ms > *started_ms {
            (*started_ms, *window) = (sender.started_ms, ReplayWindow::default());
        }
        if sender.started_ms < *started_ms || !window.is_new(header.sequence) {
            return Err(Rejected::Replayed);
        }
        *received_at = now;
        let kind = data[KIND_OFFSET];
        let mut effects = AccumulatingRuntime::new();
        match kind {
            KIND_HELLO | KIND_WELCOME => {
                if kind == KIND_HELLO {
                    self.send_identity(KIND_WELCOME, sender.address, out);
                }
                // Either way the sender can be asked for the members that it knows.
                if !self.members.contains_key(&sender.name) {
                    let _ = self.swim.announce(sender.clone(), &mut effects);
                    self.request_page(sender.address, out);
                }
            }
            KIND_PAGE_REQUEST => {
                let ((_, request), _) =
                    postcard::take_from_bytes::<(Identity, PageRequest)>(body).map_err(wire::decode_error)?;
                if self.state_sync.may_send_page() {
                    self.send_page(&request, sender.address, out);
                }
                if !self.members.contains_key(&sender.name) {
                    let _ = self.swim.announce(sender.clone(), &mut effects);
                }
            }
            KIND_PAGE => {
                let rest = postcard::take_from_bytes::<Identity>(body).map_err(wire::decode_error)?.1;
                let page = Page::decode(rest)?;
                self.state_sync.advance_past(&page);
                let digest_before = self.digest;
                let applied = self.apply_page(page, &mut effects, out);
                self.apply_effects(std::mem::take(&mut effects), now, out);
                applied?;
                // Another page is requested if this one brought something new and the views still differ.
                if self.digest != digest_before && self.digest != header.digest {
                    self.request_page(sender.address, out);
                }
            }
            KIND_SWIM => {
                let handled = self.swim.handle_data(body, &mut effects);
                let earlier_start = self.observed.borrow_mut().earlier_start.take();
                if let Some(started_ms) = earlier_start {
                    self.start_after(started_ms, &mut effects);
                    self.apply_effects(effects, now, out);
                    return Err(Rejected::SameName);
                }
                let later_process = self.observed.borrow_mut().later_process.take();
                if let Some(later_process) = later_process {
                    self.displace(later_process, out);
                    return Err(Rejected::SameName);
                }
                if handled.is_err() {
                    self.apply_effects(effects, now, out);
                    return Err(Rejected::Garbage);
                }
            }
            _ => return Err(Rejected::Garbage),
        }
        self.apply_effects(effects, now, out);
        if header.phase == Phase::Leaving {
            self.departed_members.record(
                &LeaveNotice { name: sender.name, started_ms: sender.started_ms },
                self.settings.max_members,
            );
        }
        if self.members.contains_key(&sender.name) {
            self.peer_views.record(&sender.name, header.digest, now);
            self.sync_if_differing(&sender, header.digest, now, out);
        }
        self.reclassify_departed(out);
        let suspicions = std::mem::take(&mut self.observed.borrow_mut().suspicions);
        if suspicions > 0 {
            self.counters.suspected += suspicions;
            self.health.degrade();
        }
        Ok(())
    }

    /// Corrects the cause of departures: the notice that a member leaves may arrive after the member was
    /// declared dead.
    fn reclassify_departed(&mut self, out: &mut Vec<Output>) {
        let notices = self.departed_members.notices();
        if notices == self.leave_notices_seen {
            return;
        }
        self.leave_notices_seen = notices;
        for (member, cause, _) in &mut self.departed {
            if *cause == Cause::Failed && self.departed_members.contains(member) {
                *cause = Cause::Left;
                self.counters.failed -= 1;
                self.counters.left += 1;
                out.push(Output::Changed(Change { member: member.clone(), cause: Cause::Left }));
            }
        }
    }

    /// Requests a page of a member whose view differs, at most [`SYNCS_PER_PERIOD`] times in a period. The
    /// answer names some of its members, and the request makes this node known to it.
    fn sync_if_differing(&mut self, sender: &Identity, digest: u64, now: Duration, out: &mut Vec<Output>) {
        let local_now = now.saturating_sub(self.stalled);
        if digest == self.digest || local_now < self.next_sync_at {
            return;
        }
        self.next_sync_at =
            local_now + self.health.scale_timeout(self.settings.probe_period / SYNCS_PER_PERIOD);
        self.request_page(sender.address, out);
    }

    /// Requests the next page of another member's list, unless this period's limit is reached.
    fn request_page(&mut self, to: Address, out: &mut Vec<Output>) {
        let Some(request) = self.state_sync.next_request() else { return };
        if let Ok(body) = postcard::to_allocvec(&(&self.local, &request)) {
            self.send(KIND_PAGE_REQUEST, to, &body, out);
        }
    }

    /// Sends the page that follows a name. It lists suspects as alive: suspicions are disseminated by SWIM
    /// alone.
    fn send_page(&mut self, request: &PageRequest, to: Address, out: &mut Vec<Output>) {
        let start = request.after.map_or(Bound::Unbounded, Bound::Excluded);
        let mut members: BTreeMap<_, _> = self
            .members
            .range((start, Bound::Unbounded))
            .take(MAX_PAGE_MEMBERS)
            .map(|(_, identity)| (identity, 0))
            .collect();
        for member in self.swim.iter_membership_state() {
            if let Some(incarnation) = members.get_mut(member.id()) {
                *incarnation = member.incarnation();
            }
        }
        let body = Page::encode(&self.local, members.into_iter());
        self.send(KIND_PAGE, to, &body, out);
    }

    /// Applies a page's members to the view. They are not passed on by gossip, since other members already
    /// know them.
    fn apply_page(
        &mut self,
        page: Page,
        effects: &mut AccumulatingRuntime<Identity>,
        out: &mut Vec<Output>,
    ) -> Result<(), Rejected> {
        for (identity, incarnation) in page.members {
            let checked = self.observed.borrow_mut().check_update(&identity, foca::State::Alive);
            match checked {
                Err(DecodeError::NameTaken) => {
                    self.observed.borrow_mut().later_process = None;
                    let earlier_start = self.observed.borrow_mut().earlier_start.take();
                    match earlier_start {
                        Some(started_ms) => self.start_after(started_ms, effects),
                        None => self.displace(identity, out),
                    }
                    return Err(Rejected::SameName);
                }
                Err(DecodeError::Malformed) => return Err(Rejected::Garbage),
                Ok(()) => {}
            }
            // An entry with this node's name is this process or an earlier one; most other entries are known
            // already.
            if identity.name != self.local.name && self.members.get(&identity.name) != Some(&identity) {
                let member = foca::Member::new(identity, incarnation, foca::State::Alive);
                let _ = self.swim.apply_many([member].into_iter(), false, &mut *effects);
            }
        }
        Ok(())
    }
}
