//! What follows an outcome: a server's health, what it is broken for, and how crowded servers may be.

use super::constants::{GIVE_UP_SHARE, GIVE_UPS_SAVED, LOAD_LEVELS, SMOOTH};
use crate::interface::*;
use crate::state::{Balancer, Server};

/// A server that has missed more of a class than this lately, and served none since, is broken for it.
const MISSED: f64 = 2.0;

impl Balancer {
    /// A full server turns away all classes, and a slow one is late for all. One that serves others
    /// meanwhile, but none of this class, is broken for it; as the memory fades it is tried again.
    pub(super) fn broken_for(&self, server: &Server, class: Option<usize>) -> bool {
        let Some((missed, serves)) = class.and_then(|class| server.missed.get(&class)) else { return false };
        *serves && missed.per_s(self.now, self.rate_window()) * self.rate_window() > MISSED
    }

    pub(super) fn on_outcome(&mut self, end: AttemptEnd, actions: &mut Vec<Action>) {
        let usual = self.answer_time;
        let Some(request) = self.requests.get_mut(&end.id) else { return };
        let Some(attempt) = request.attempts.get_mut(end.attempt as usize) else { return };
        if attempt.outcome.replace(end.outcome).is_some() {
            return;
        }
        let (crowd, weight, kind, counted) = (attempt.crowd, request.weight, request.class, attempt.counted);
        // What is found out long after its time tells of this node's own pause, not of the server.
        let past = self.now.as_secs_f64() - request.until.as_secs_f64();
        let overdue = (0.0..usual / 4.0).contains(&past) && end.elapsed.as_secs_f64() >= usual;
        // Nothing to spare, or well past the aim where late answers have worth.
        let (aim, late_worth) = (request.terms.class.latency_target, request.terms.class.late_value);
        let left = request.until.saturating_sub(attempt.sent);
        request.spent |= end.body_consumed;
        if request.arriving.is_some() {
            request.until = self.now + request.terms.class.latency_target; // so long it may wait for another server
        }
        let tight = 4 * end.elapsed > if late_worth > 0.0 { 5 } else { 3 } * aim.min(left);
        let early = end.outcome == Outcome::TimedOut && self.now < request.until;
        self.give_up_tokens -= if early { 1.0 } else { 0.0 };
        if end.outcome == Outcome::Served && !tight {
            self.give_up_tokens = (self.give_up_tokens + GIVE_UP_SHARE).min(GIVE_UPS_SAVED);
        }
        let (finished, waiting) = (end.finished || request.done, request.out() == 0);
        let (now, memory, cut_short) = (self.now, self.rate_window(), 2 * end.elapsed < aim);
        if let Some(s) = self.servers.get_mut(&end.server) {
            s.out -= u32::from(counted).min(s.out);
            s.ended(kind, end.outcome, cut_short, now, memory);
        }
        self.zone_saw(&end, kind, aim, overdue);
        self.on_report(end.server, end.report, end.outcome == Outcome::Served);
        // Where a server is broken for the class, that says nothing of how crowded servers are.
        let reached = !matches!(end.outcome, Outcome::ConnectFailed | Outcome::Reset);
        let broken = |s: &Server| reached && self.broken_for(s, kind);
        if !self.servers.get(&end.server).is_some_and(broken) {
            self.learn(&end, overdue, tight, crowd, (kind, weight));
        }
        if finished {
            self.close(end.id, actions);
        } else if waiting {
            self.dispatch(end.id, actions);
        }
    }

    /// Health and crowding, from how an attempt ended.
    pub(super) fn learn(
        &mut self,
        end: &AttemptEnd,
        overdue: bool,
        tight: bool,
        crowd: usize,
        (class, weight): (Option<usize>, f64),
    ) {
        let late = overdue && matches!(end.outcome, Outcome::TimedOut | Outcome::Cancelled);
        // One that was given up tells as well that it takes longer than it had taken by then: left out, the
        // median would be that of those answers which had been waited for.
        let cut = matches!(end.outcome, Outcome::TimedOut | Outcome::Cancelled);
        let usual = self.median(class);
        let (of_class, all) = (class.and_then(|class| self.medians.get_mut(class)), &mut self.median);
        for (median, of) in [(usual, of_class), (*all, Some(all))] {
            let above = end.elapsed > median.mul_f64(weight.max(1.0));
            if let Some(kept) = of.filter(|_| end.outcome == Outcome::Served || cut && above) {
                *kept = median.mul_f64(1.0 + if above { SMOOTH } else { -SMOOTH } / 4.0);
            }
        }
        match end.outcome {
            Outcome::Served => {
                self.answer_time += (end.elapsed.as_secs_f64() - self.answer_time) * SMOOTH / 4.0;
                if self.servers.get(&end.server).is_some_and(|s| self.warmth(s) >= 1.0) {
                    self.carried.add(self.now, self.rate_window(), weight);
                }
                self.judge(end.server, if tight { 0.5 } else { 0.0 }, SMOOTH * 2.0);
            }
            Outcome::ConnectFailed => self.judge(end.server, 1.0, 1.0),
            // A reset is the end of one connection: a server that has died refuses the next one as well.
            Outcome::Error | Outcome::TimedOut | Outcome::Reset => self.judge(end.server, 1.0, SMOOTH * 2.0),
            _ if late => self.judge(end.server, 1.0, SMOOTH * 2.0),
            _ => {}
        }
        let served = end.outcome == Outcome::Served;
        let missed = late || end.outcome == Outcome::Rejected;
        if served && !tight {
            // What fits when crowded fits when less so, and a little more is given its chance.
            self.in_time_by_load[..=crowd].iter_mut().for_each(|share| *share += (1.0 - *share) * SMOOTH);
            let next = &mut self.in_time_by_load[(crowd + 1).min(LOAD_LEVELS - 1)];
            *next += (1.0 - *next) * SMOOTH / 2.0;
        } else if crowd > 0 {
            let close = if served || missed { SMOOTH } else { 0.0 };
            return self.in_time_by_load[crowd..].iter_mut().for_each(|share| *share -= *share * close);
        }
        if !served && !missed {
            return;
        }
        // Not crowded by this node: others crowd it, or something is wrong with it. As for its health, an
        // answer with nothing to spare is half a miss: it has earned its worth.
        let missed = if missed { 1.0 } else { f64::from(u8::from(tight)) / 2.0 };
        let taken = self.taken_mut(end.server);
        *taken += SMOOTH * ((1.0 - missed) * 2.0 / 7.0 - missed * *taken);
        *taken = taken.clamp(SMOOTH / 2.0, 2.0);
    }

    /// Takes a sign of a server's health: 1 for a failure, 0 for an answer, 1/2 for a tight one.
    pub(super) fn judge(&mut self, id: ServerId, failed: f64, weight: f64) {
        let Some(server) = self.servers.get_mut(&id) else { return };
        server.failing += (failed - server.failing) * weight;
        self.failing += (failed - self.failing) * SMOOTH / 2.0;
        if failed < 1.0 {
            (server.ejected, server.ejections) = (None, server.ejections / 2);
            return;
        }
        let (failing, on_trial, times) = (server.failing, server.ejected.is_some(), server.ejections);
        let zone = self.servers.get(&id).and_then(|server| self.zone_of(server));
        let ready: Vec<_> = self.ring_in(zone).take(2 * self.candidate_limit()).collect();
        let room = 2 * ready.iter().filter(|s| s.ejected.is_some()).count() + 2 <= ready.len();
        // What all suffer is no server's fault, and half stay unless they can't be reached from here at all.
        if on_trial || weight >= 1.0 || room && failing > 0.5 && failing > 1.5 * self.failing {
            let until = Some(self.now + self.settings.rules.overload_time * (1 << times.min(4)));
            let server = self.servers.get_mut(&id);
            server.into_iter().for_each(|s| (s.ejected, s.ejections) = (until, times + 1));
        }
    }

    /// Nothing in flight with an answer (an empty queue where that is all there is) is an idle sign, but a
    /// late one if own attempts are still out there: those stay in the estimate.
    pub(super) fn on_report(&mut self, id: ServerId, report: Option<LoadReport>, served: bool) {
        let (Some(report), Some(server)) = (report, self.servers.get_mut(&id)) else { return };
        let Some(load) = report.in_flight.or(report.queue).map(f64::from) else { return };
        server.load = Some((load, self.now));
        self.busy += (if load < 0.5 { 0.0 } else { 1.0 } - self.busy) * SMOOTH / 8.0;
        if load < 0.5 && served {
            self.idle_signs += if server.count > server.out { 1.0 } else { 0.0 };
            server.count = server.count.min(server.out);
            server.idle_at = Some(self.now);
        }
    }
}
