//! What a datagram does.

use super::codec::DecodeError;
use super::graceful_leave::Left;
use super::send::{ASK, HELLO, PAGE, SWIM, WELCOME};
use super::{Cause, Change, Membership, Output};
use crate::identity::{Address, Identity, Phase};
use crate::state_sync::{Ask, MAX_PAGE_MEMBERS, Page};
use crate::wire::{self, Head, Rejected, Window};
use foca::AccumulatingRuntime;
use std::collections::BTreeMap;
use std::ops::Bound;
use std::time::Duration;

/// In a period, so many who are found to hold another view are asked for a page of theirs.
const ASK_EVERY: u32 = 4;

impl Membership {
    /// A datagram has come.
    pub fn receive(&mut self, now: Duration, data: &[u8], out: &mut Vec<Output>) {
        if self.displaced.is_some() || self.phase == Phase::Leaving {
            return;
        }
        // What is late is noticed by what comes first, a timer or a datagram.
        self.local_time(now);
        match self.try_hear(now, data, out) {
            Ok(()) => self.counters.received += 1,
            Err(why) => *self.counters.rejected.entry(why).or_default() += 1,
        }
    }

    fn try_hear(&mut self, now: Duration, data: &[u8], out: &mut Vec<Output>) -> Result<(), Rejected> {
        let (head, body) = Head::read(data, self.cluster)?;
        let sender = wire::sender(body)?;
        let ran = now.saturating_sub(self.begun.0).as_millis() as u64;
        self.observed.borrow_mut().now_ms = self.begun.1.saturating_add(ran);
        if sender.name == self.me.name {
            if sender.started_ms > self.me.started_ms {
                self.displace(sender, out);
            }
            return Err(Rejected::SameName);
        }
        if self.windows.len() >= self.settings.max_members && !self.windows.contains_key(&sender.name) {
            let members = &self.members;
            self.windows.retain(|name, _| members.contains_key(name));
            if self.windows.len() >= self.settings.max_members {
                return Err(Rejected::Garbage);
            }
        }
        let (life, window, at) =
            self.windows.entry(sender.name).or_insert((sender.started_ms, Window::default(), now));
        if sender.started_ms > *life {
            (*life, *window) = (sender.started_ms, Window::default());
        }
        if sender.started_ms < *life || !window.is_new(head.sequence) {
            return Err(Rejected::Replayed);
        }
        *at = now;
        let kind = data[3];
        let mut effects = AccumulatingRuntime::new();
        match kind {
            HELLO | WELCOME => {
                if kind == HELLO {
                    self.send_identity(WELCOME, sender.address, out);
                }
                // Either way there is somebody to ask who else there is.
                if !self.members.contains_key(&sender.name) {
                    let _ = self.swim.announce(sender.clone(), &mut effects);
                    self.request_page(sender.address, out);
                }
            }
            ASK => {
                let ((_, ask), _) =
                    postcard::take_from_bytes::<(Identity, Ask)>(body).map_err(wire::decode_error)?;
                if self.pages.may_give() {
                    self.send_page(&ask, sender.address, out);
                }
                if !self.members.contains_key(&sender.name) {
                    let _ = self.swim.announce(sender.clone(), &mut effects);
                }
            }
            PAGE => {
                let rest = postcard::take_from_bytes::<Identity>(body).map_err(wire::decode_error)?.1;
                let page = Page::read(rest)?;
                self.pages.came(&page);
                let before = self.digest;
                let read = self.apply_page(page, &mut effects, out);
                self.apply_effects(std::mem::take(&mut effects), now, out);
                read?;
                // What taught something is worth going on with.
                if self.digest != before && self.digest != head.digest {
                    self.request_page(sender.address, out);
                }
            }
            SWIM => {
                let heard = self.swim.handle_data(body, &mut effects);
                let earlier = self.observed.borrow_mut().earlier.take();
                if let Some(started_ms) = earlier {
                    self.start_after(started_ms, &mut effects);
                    self.apply_effects(effects, now, out);
                    return Err(Rejected::SameName);
                }
                let later_process = self.observed.borrow_mut().later_process.take();
                if let Some(later_process) = later_process {
                    self.displace(later_process, out);
                    return Err(Rejected::SameName);
                }
                if heard.is_err() {
                    self.apply_effects(effects, now, out);
                    return Err(Rejected::Garbage);
                }
            }
            _ => return Err(Rejected::Garbage),
        }
        self.apply_effects(effects, now, out);
        if head.phase == Phase::Leaving {
            self.leavers
                .note(&Left { name: sender.name, started_ms: sender.started_ms }, self.settings.max_members);
        }
        if self.members.contains_key(&sender.name) {
            self.views.hear(&sender.name, head.digest, now);
            self.ask_if_differing(&sender, head.digest, now, out);
        }
        self.reclassify_departed(out);
        let doubted = std::mem::take(&mut self.observed.borrow_mut().doubted);
        if doubted > 0 {
            self.counters.suspected += doubted;
            self.health.doubted();
        }
        Ok(())
    }

    /// That a member has left may be heard after that it is gone: then it had not failed.
    fn reclassify_departed(&mut self, out: &mut Vec<Output>) {
        let news = self.leavers.news();
        if news == self.leavers_seen {
            return;
        }
        self.leavers_seen = news;
        for (member, cause, _) in &mut self.departed {
            if *cause == Cause::Failed && self.leavers.has(member) {
                *cause = Cause::Left;
                self.counters.failed -= 1;
                self.counters.left += 1;
                out.push(Output::Changed(Change { member: member.clone(), cause: Cause::Left }));
            }
        }
    }

    /// A view that differs is asked after: the answer names some members, and those asked learn of this one.
    fn ask_if_differing(&mut self, sender: &Identity, digest: u64, now: Duration, out: &mut Vec<Output>) {
        let own = now.saturating_sub(self.lost);
        if digest == self.digest || own < self.ask_at {
            return;
        }
        self.ask_at = own + self.health.stretch(self.settings.probe_period / ASK_EVERY);
        self.request_page(sender.address, out);
    }

    /// Asks for the next page of another's list.
    fn request_page(&mut self, to: Address, out: &mut Vec<Output>) {
        let Some(ask) = self.pages.ask() else { return };
        if let Ok(body) = postcard::to_allocvec(&(&self.me, &ask)) {
            self.send(ASK, to, &body, out);
        }
    }

    /// The page that comes after a name. A suspect is told as a living one: who doubts it says so by SWIM.
    fn send_page(&mut self, ask: &Ask, to: Address, out: &mut Vec<Output>) {
        let from = ask.after.map_or(Bound::Unbounded, Bound::Excluded);
        let mut some: BTreeMap<_, _> = self
            .members
            .range((from, Bound::Unbounded))
            .take(MAX_PAGE_MEMBERS)
            .map(|(_, identity)| (identity, 0))
            .collect();
        for member in self.swim.iter_membership_state() {
            if let Some(incarnation) = some.get_mut(member.id()) {
                *incarnation = member.incarnation();
            }
        }
        let body = Page::write(&self.me, some.into_iter());
        self.send(PAGE, to, &body, out);
    }

    /// Others know what is on a page: it is taken in, and not passed on.
    fn apply_page(
        &mut self,
        page: Page,
        effects: &mut AccumulatingRuntime<Identity>,
        out: &mut Vec<Output>,
    ) -> Result<(), Rejected> {
        for (identity, incarnation) in page.members {
            let taken = self.observed.borrow_mut().take_in(&identity, foca::State::Alive);
            match taken {
                Err(DecodeError::NameTaken) => {
                    self.observed.borrow_mut().later_process = None;
                    let earlier = self.observed.borrow_mut().earlier.take();
                    match earlier {
                        Some(started_ms) => self.start_after(started_ms, effects),
                        None => self.displace(identity, out),
                    }
                    return Err(Rejected::SameName);
                }
                Err(DecodeError::Malformed) => return Err(Rejected::Garbage),
                Ok(()) => {}
            }
            // What it says of this node's own name is older, or this node itself; and most is known already.
            if identity.name != self.me.name && self.members.get(&identity.name) != Some(&identity) {
                let member = foca::Member::new(identity, incarnation, foca::State::Alive);
                let _ = self.swim.apply_many([member].into_iter(), false, &mut *effects);
            }
        }
        Ok(())
    }
}
