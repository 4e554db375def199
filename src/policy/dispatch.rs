//! Sending: the choice among those permitted, and the only place that sends.

use super::constants::{LOAD_LEVELS, SMOOTH};
use super::selection::{any_of, few};
use crate::interface::*;
use crate::state::{Attempt, Balancer, Request, Server};
use std::time::Duration;

/// An attempt at a request that still arrives has no time-out of the module's: the node sees that bytes come.
const ARRIVING: Duration = Duration::from_secs(86_400);

impl Balancer {
    /// Finds a server for a request that waits for its first or a further attempt.
    pub(super) fn dispatch(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let (luck, draw) = (self.random(), self.random());
        self.draw_tickets();
        let zone_draw = if self.settings.zones.is_some() { self.random() } else { 0.0 };
        let Some(request) = self.requests.get(&id).filter(|r| !r.done && self.may_go(r)) else { return };
        // Where the node goes by zones, the next one is asked when in one nobody is left that may answer in
        // time.
        let (chance, mut choice, mut full) = (luck.powf(request.value), None, Vec::new());
        for (zone, permitted) in self.candidates(request, zone_draw, luck) {
            let (healthy, fitting) =
                self.choose(request, permitted, (self.is_trial(request, zone, luck), chance));
            let none = fitting.is_empty();
            full.extend(zone.filter(|_| none));
            choice = if none { choice.or(Some((healthy, fitting))) } else { Some((healthy, fitting)) };
            if !none {
                break;
            }
        }
        let (again, nobody) = (!request.attempts.is_empty(), choice.is_none());
        if self.now >= request.until || request.spent || again && (self.retry_tokens < 1.0 || nobody) {
            return self.finish(id, actions);
        }
        let Some((healthy, fitting)) = choice else {
            // Nobody is listed, or only cold servers without a ticket: hold it a while.
            let after = Duration::from_secs_f64(self.answer_time / 8.0).max(self.settings.timer_resolution);
            return actions.push(Action::SetTimer { after, token: id.0 });
        };
        let (below, any) = (self.below_cap(&fitting, draw), any_of(&fitting, draw));
        let ask = below.is_none() && !request.probed && !self.held.contains(&id);
        let unknown = |s: &&&Server| ask && !s.probing && self.fresh_load(s).is_none();
        let unknown: Vec<_> = healthy.iter().filter(unknown).map(|s| s.entry.id).collect();
        full.iter().for_each(|zone| self.zone_full(*zone));
        // The lowest estimate below m, or a probe for one, or one at random where all have reached m.
        match below {
            Some(server) => self.send(id, server, actions),
            None if self.held.contains(&id) || ask && self.probe(id, unknown, actions) => {}
            None if any.is_some() => any.into_iter().for_each(|server| self.send(id, server, actions)),
            // Everybody is too crowded to answer in time: better to say so now.
            None => self.finish(id, actions),
        }
    }

    /// Ejected servers get one request in so many on trial, seldom one that can't be sent again: else trials
    /// take most of a quiet node's requests. In a zone that gets no more than trials each is one.
    pub(super) fn is_trial(&self, request: &Request, zone: Option<u8>, luck: f64) -> bool {
        let once = request.terms.class.retry_safety == RetrySafety::NonIdempotent;
        request.attempts.is_empty()
            && (luck * if once { 4.0 } else { 1.0 } < SMOOTH || self.on_trial(zone) && !once)
    }

    /// It may have its trial.
    pub(super) fn is_due(&self, server: &Server) -> bool {
        server.ejected.is_some_and(|until| self.now >= until && server.out == 0)
    }

    /// Of those permitted in one part of the ring: the healthy, and of these the ones that are not too
    /// crowded.
    fn choose<'a>(
        &self,
        request: &Request,
        permitted: Vec<&'a Server>,
        (trial, chance): (bool, f64),
    ) -> (Vec<&'a Server>, Vec<&'a Server>) {
        // Soft gates give way when they leave nobody.
        let due: Vec<_> = permitted.iter().copied().filter(|s| trial && self.is_due(s)).collect();
        let sound = |s: &&Server| s.ejected.is_none() && !self.broken_for(s, request.class);
        let sound = few(permitted.iter().copied().filter(|s| due.is_empty() && sound(s)));
        let healthy = [due, sound, permitted].into_iter().find(|some| !some.is_empty()).unwrap_or_default();
        let fits = healthy.iter().filter_map(|s| Some((*s, self.fits(s, chance)?)));
        let fitting = self.uncrowded(few(fits));
        (healthy, fitting)
    }

    /// The only place that sends. Every rule is checked here, whatever led to it.
    pub(super) fn send(&mut self, id: RequestId, to: ServerId, actions: &mut Vec<Action>) {
        let now = self.now;
        let (Some(request), Some(server)) = (self.requests.get(&id), self.servers.get(&to)) else { return };
        let again = !request.attempts.is_empty();
        let room = (request.attempts.len() as u32) < request.terms.max_attempts.max(1);
        let owed = !request.done && self.may_go(request) && now < request.until && !request.spent;
        if !owed || !room || !self.permitted(server, request) {
            return self.finish(id, actions);
        }
        // Time is kept for one more attempt where there may be one: the server may stay silent.
        let (left, patience) = (request.until - now, self.patience_with(request));
        let (arriving, long) = (request.arriving.is_some(), request.long);
        let last = request.attempts.len() as u32 + 1 >= request.terms.max_attempts;
        let more = !last
            && request.terms.class.retry_safety != RetrySafety::NonIdempotent
            && !long
            && left > patience * 5 / 4
            && self.retry_tokens >= if again { 2.0 } else { 1.0 };
        let hedged = self.settings.limits.hedging;
        // What is given up may go on at its server, which nothing tells: where that is frequent, all wait.
        let gives_up = more && !hedged && self.give_up_tokens >= 1.0;
        let timeout = if gives_up { patience } else { left };
        let timeout = if arriving { ARRIVING } else { timeout };
        if more && hedged {
            actions.push(Action::SetTimer { after: patience, token: id.0 });
        }
        let crowd = (self.crowd(server).round() as usize).min(LOAD_LEVELS - 1);
        let attempt = Attempt { to: server.entry, sent: now, crowd, counted: !arriving, outcome: None };
        self.requests.entry(id).and_modify(|r| {
            (r.probed, r.until) = (true, if arriving { now + ARRIVING } else { r.until });
            r.attempts.push(attempt);
        });
        if let Some(s) = self.servers.get_mut(&to) {
            (s.ticket, s.count) = (Duration::ZERO, s.count + 1);
            s.begin(!arriving);
        }
        actions.push(Action::Send { id, server: to, timeout });
        self.retry_tokens -= if again { 1.0 } else { 0.0 };
        self.held.retain(|held| *held != id);
        self.sent.add(now, self.rate_window(), 1.0);
        self.sends = self.sends * 0.998 + 1.0;
        self.idle_signs *= 0.998;
    }
}
