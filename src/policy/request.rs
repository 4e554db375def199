//! The life of a request at this node, from its arrival to its only final answer.

use super::constants::{COST_BUDGET, RETRY_BUDGET_RATIO};
use crate::interface::*;
use crate::state::{Attempt, Balancer, Request};
use std::time::Duration;

impl Balancer {
    pub(super) fn on_request(&mut self, new: NewRequest, actions: &mut Vec<Action>) {
        let class_index = Some(new.class).filter(|class| *class < self.settings.classes.len());
        let class = &self.settings.classes[class_index.unwrap_or_default()];
        let max_attempts = self.settings.limits.max_attempts;
        let policy =
            new.policy.clone().unwrap_or_else(|| RequestPolicy { class: class.clone(), max_attempts });
        let class = &policy.class;
        // The time of a request with a streamed body starts with the last byte, but until then it waits no
        // longer for a server than any other request.
        let receiving = new.body_streaming.then(|| new.clone());
        let expires = if new.body_streaming {
            self.now + class.latency_target
        } else {
            self.expiry(&new, class_index, class)
        };
        let cost = self.relative_cost(new.cost);
        self.arrived_work.add(self.now, self.rate_window(), cost);
        self.retry_tokens = (self.retry_tokens + RETRY_BUDGET_RATIO).min(2.0 / RETRY_BUDGET_RATIO);
        let earned = COST_BUDGET / self.settings.prices.probe.max(1e-9);
        self.probe_tokens = (self.probe_tokens + earned).min(self.ready_count() as f64);
        let (value, probes_done) = (self.relative_value(class.value, new.tenant), !self.uses_probes());
        let streamed_body = new.body_streaming;
        let request =
            Request { class: class_index, policy, cost, value, expires, probes_done, ..Request::default() };
        let request = Request { streamed_body, receiving, ..request };
        self.requests.insert(new.id, request);
        // Admission control: refuses work that even an idle server can't do in time. The expected work is
        // only an estimate, so while most servers are idle up to twice as much is admitted.
        let max_cost = expires.saturating_sub(self.now) * if self.busy_share < 0.5 { 2 } else { 1 };
        if new.cost.unwrap_or_default() >= max_cost {
            return self.refuse_or_fail(new.id, actions);
        }
        actions.push(Action::SetTimer { after: expires - self.now, token: new.id.0 });
        self.dispatch(new.id, actions);
    }

    /// When a request that has just been received expires: an answer after that has no value.
    pub(super) fn expiry(&mut self, new: &NewRequest, class_index: Option<usize>, class: &Class) -> Duration {
        // The timer may be late by its resolution, and the answer must arrive before the client disconnects.
        let deadline = self.now + new.remaining.saturating_sub(2 * self.settings.timer_resolution);
        let extra = new.cost.unwrap_or_default().mul_f64(class.target_stretch.clamp(0.0, 1e3));
        let target = (self.now + class.latency_target + extra).saturating_sub(self.prior_wait(
            new,
            class_index,
            class.deadline,
        ));
        if class.late_value > 0.0 { deadline } else { deadline.min(target) }
    }

    /// The last byte of a streamed body arrived this long ago: the request's time started then, and so did
    /// that of its attempt.
    pub(super) fn on_body_received(&mut self, id: RequestId, age: Duration, actions: &mut Vec<Action>) {
        let (now, received_at) = (self.now, self.now.saturating_sub(age));
        let request = self.requests.get_mut(&id);
        let Some((request, new)) = request.and_then(|r| r.receiving.take().map(|new| (r, new))) else {
            return;
        };
        for attempt in request.attempts.iter_mut().filter(|a| a.outcome.is_none()) {
            (attempt.sent, attempt.counts_as_load) = (received_at, true);
            self.servers.get_mut(&attempt.server.id).into_iter().for_each(|s| s.attempt_started(true));
        }
        let (class_index, class) = (request.class, request.policy.class.clone());
        let expires = self.expiry(&new, class_index, &class).saturating_sub(age);
        self.requests.entry(id).and_modify(|r| r.expires = expires);
        actions.push(Action::SetTimer { after: expires.saturating_sub(now), token: id.0 });
    }

    /// The rest of a body is not received any more. Its request is refused now, or once the attempt that is
    /// sending the body has ended.
    pub(super) fn on_body_abandoned(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&id).filter(|r| r.receiving.is_some()) else { return };
        request.body_consumed = true;
        if request.in_flight() == 0 {
            self.refuse_or_fail(id, actions);
        }
    }

    /// The client has the first bytes of an answer: other attempts in flight are of no use any more.
    pub(super) fn on_answer_started(&mut self, id: RequestId, attempt: u32, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.answer_started = true;
        if let Some(started) = request.attempts.get_mut(attempt as usize) {
            // The server's work is done; the rest is data transfer.
            let freed = u32::from(std::mem::take(&mut started.counts_as_load));
            self.servers
                .get_mut(&started.server.id)
                .into_iter()
                .for_each(|server| server.in_flight -= freed.min(server.in_flight));
        }
        let others = request.attempts.iter().zip(0..).filter(|(a, i)| a.outcome.is_none() && *i != attempt);
        if self.settings.limits.cancel {
            actions.extend(others.map(|(_, i)| Action::Cancel { id, attempt: i }));
        }
    }

    /// How long the client has waited before this request, as far as it can be known. A client retry whose
    /// remaining time differs from that of a first try has the rest of the deadline. Work past the latency
    /// target would only prolong an overload.
    pub(super) fn prior_wait(
        &mut self,
        new: &NewRequest,
        class_index: Option<usize>,
        deadline: Duration,
    ) -> Duration {
        let Some(usual_wait) = class_index.and_then(|class| self.first_try_wait.get_mut(class)) else {
            return Duration::ZERO;
        };
        let first_try = if new.client_retry { *usual_wait } else { new.remaining };
        *usual_wait = first_try;
        let is_like_first_try = new.remaining.abs_diff(first_try) < first_try / 64;
        if is_like_first_try { Duration::ZERO } else { deadline.saturating_sub(new.remaining) }
    }

    pub(super) fn on_request_timer(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let now = self.now;
        let Some(request) = self.requests.get_mut(&id) else { return };
        if now >= request.expires {
            // How the attempt of a streamed body ends shows whether its server got all of the body. If not,
            // a client retry is harmless.
            if request.streamed_body && !request.done && self.cancel_attempts(id, actions) {
                return;
            }
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

    /// Ends a request: its attempts in flight are cancelled if that is allowed, and it is kept until they
    /// have ended.
    pub(super) fn close(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        self.awaiting_probes.retain(|waiting| *waiting != id);
        if self.requests.get(&id).is_some_and(|request| !request.done) {
            self.cancel_attempts(id, actions);
        }
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.done = true;
        if request.in_flight() == 0 {
            self.requests.remove(&id);
        }
    }
    /// Cancels a request's attempts in flight, if that is allowed and the client has no part of an answer
    /// yet; false if nothing was cancelled.
    fn cancel_attempts(&self, id: RequestId, actions: &mut Vec<Action>) -> bool {
        let request = self.requests.get(&id).filter(|r| self.settings.limits.cancel && !r.answer_started);
        let attempts = request.map(|request| request.attempts.as_slice()).unwrap_or_default();
        let before = actions.len();
        let in_flight = (0..).zip(attempts).filter(|(_, attempt)| attempt.outcome.is_none());
        actions.extend(in_flight.map(|(number, _)| Action::Cancel { id, attempt: number }));
        actions.len() > before
    }
}
