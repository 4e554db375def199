//! The life of a request at this node, from its arrival to its only final answer.

use super::constants::{COST_BUDGET, RETRY_BUDGET_RATIO};
use crate::interface::*;
use crate::state::{Attempt, Balancer, Request};
use std::time::Duration;

impl Balancer {
    pub(super) fn on_request(&mut self, new: NewRequest, actions: &mut Vec<Action>) {
        let idx = Some(new.class).filter(|class| *class < self.settings.classes.len());
        let class = &self.settings.classes[idx.unwrap_or_default()];
        let max_attempts = self.settings.limits.max_attempts;
        let policy =
            new.policy.clone().unwrap_or_else(|| RequestPolicy { class: class.clone(), max_attempts });
        let class = &policy.class;
        // Its time starts with its body's last byte, but it waits no longer for a server than another would.
        let receiving = new.body_streaming.then(|| new.clone());
        let expires =
            if new.body_streaming { self.now + class.latency_target } else { self.expiry(&new, idx, class) };
        let cost = self.relative_cost(new.cost);
        self.arrived_work.add(self.now, self.rate_window(), cost);
        self.retry_tokens = (self.retry_tokens + RETRY_BUDGET_RATIO).min(2.0 / RETRY_BUDGET_RATIO);
        let earned = COST_BUDGET / self.settings.prices.probe.max(1e-9);
        self.probe_tokens = (self.probe_tokens + earned).min(self.ready_count() as f64);
        let (value, probes_done) = (self.relative_value(class.value, new.tenant), !self.uses_probes());
        let streamed_body = new.body_streaming;
        let request = Request { class: idx, policy, cost, value, expires, probes_done, ..Request::default() };
        let request = Request { streamed_body, receiving, ..request };
        self.requests.insert(new.id, request);
        // Admission control: refuses work that even a free server can't do in time. Hints of work are
        // inexact: while most servers are idle, up to twice that is tried.
        let longest = expires.saturating_sub(self.now) * if self.busy_share < 0.5 { 2 } else { 1 };
        if new.cost.unwrap_or_default() >= longest {
            return self.refuse_or_fail(new.id, actions);
        }
        actions.push(Action::SetTimer { after: expires - self.now, token: new.id.0 });
        self.dispatch(new.id, actions);
    }

    /// When a request that has just been received expires: an answer after that has no value.
    pub(super) fn expiry(&mut self, new: &NewRequest, idx: Option<usize>, class: &Class) -> Duration {
        // The timer may be late by its resolution, and the answer must be there before the client leaves.
        let deadline = self.now + new.remaining.saturating_sub(2 * self.settings.timer_resolution);
        let extra = new.cost.unwrap_or_default().mul_f64(class.target_stretch.clamp(0.0, 1e3));
        let target =
            (self.now + class.latency_target + extra).saturating_sub(self.waited(new, idx, class.deadline));
        if class.late_value > 0.0 { deadline } else { deadline.min(target) }
    }

    /// The last byte of a streamed body has come: the request's time starts, and so does that of its attempt.
    pub(super) fn on_body_received(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let (now, request) = (self.now, self.requests.get_mut(&id));
        let Some((request, new)) = request.and_then(|r| r.receiving.take().map(|new| (r, new))) else {
            return;
        };
        for attempt in request.attempts.iter_mut().filter(|a| a.outcome.is_none()) {
            (attempt.sent, attempt.counted) = (now, true);
            self.servers.get_mut(&attempt.server.id).into_iter().for_each(|s| s.attempt_started(true));
        }
        let (idx, class) = (request.class, request.policy.class.clone());
        let expires = self.expiry(&new, idx, &class);
        self.requests.entry(id).and_modify(|r| r.expires = expires);
        actions.push(Action::SetTimer { after: expires.saturating_sub(now), token: id.0 });
    }

    /// The client has the first bytes of an answer: other attempts in flight are of no use any more.
    pub(super) fn on_answer_started(&mut self, id: RequestId, attempt: u32, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.answer_started = true;
        if let Some(started) = request.attempts.get_mut(attempt as usize) {
            // The server's work is done; the rest is data transfer.
            let n = u32::from(std::mem::take(&mut started.counted));
            self.servers
                .get_mut(&started.server.id)
                .into_iter()
                .for_each(|s| s.in_flight -= n.min(s.in_flight));
        }
        let others = request.attempts.iter().zip(0..).filter(|(a, i)| a.outcome.is_none() && *i != attempt);
        if self.settings.limits.cancel {
            actions.extend(others.map(|(_, i)| Action::Cancel { id, attempt: i }));
        }
    }

    /// How long the client has waited already, as far as that shows: a client retry with another time than a
    /// first try has the rest of its deadline. Work past its latency target would only prolong an overload.
    pub(super) fn waited(&mut self, new: &NewRequest, idx: Option<usize>, deadline: Duration) -> Duration {
        let Some(patience) = idx.and_then(|class| self.first_try_patience.get_mut(class)) else {
            return Duration::ZERO;
        };
        let first_try = if new.client_retry { *patience } else { new.remaining };
        *patience = first_try;
        let like_first = new.remaining.abs_diff(first_try) < first_try / 64;
        if like_first { Duration::ZERO } else { deadline.saturating_sub(new.remaining) }
    }

    pub(super) fn on_request_timer(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let now = self.now;
        let Some(request) = self.requests.get_mut(&id) else { return };
        if now >= request.expires {
            self.refuse_or_fail(id, actions);
        } else {
            // A request that waits for probes or for a server has waited long enough.
            request.probes_done = true;
            self.awaiting_probes.retain(|waiting| *waiting != id);
            self.dispatch(id, actions);
        }
    }

    /// The only place that gives a final answer: refused if a client retry is harmless, else failed.
    pub(super) fn refuse_or_fail(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id).filter(|r| !r.done && !r.answer_started) else { return };
        if request.in_flight() > 0 && self.now < request.expires {
            return; // an attempt in flight may still be answered
        }
        let harmless = match request.policy.class.retry_safety {
            RetrySafety::Idempotent | RetrySafety::Keyed { scope: DedupScope::All, .. } => true,
            _ => !request.attempts.iter().any(Attempt::may_have_run),
        };
        let retry_after = self.settings.limits.max_retry_after;
        actions.push(if harmless { Action::Refuse { id, retry_after } } else { Action::Fail { id } });
        self.close(id, actions);
    }

    /// Ends a request: its attempts in flight are cancelled, and it is kept until these have ended.
    pub(super) fn close(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        self.awaiting_probes.retain(|waiting| *waiting != id);
        let Some(request) = self.requests.get_mut(&id) else { return };
        if !request.done && self.settings.limits.cancel && !request.answer_started {
            let in_flight = request.attempts.iter().enumerate().filter(|(_, a)| a.outcome.is_none());
            actions.extend(in_flight.map(|(i, _)| Action::Cancel { id, attempt: i as u32 }));
        }
        request.done = true;
        if request.in_flight() == 0 {
            self.requests.remove(&id);
        }
    }
}
