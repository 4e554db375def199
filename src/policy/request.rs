//! A request's life here, from its arrival to its only final answer.

use super::constants::{COST_BUDGET, RETRY_BUDGET_RATIO};
use crate::interface::*;
use crate::state::{Attempt, Balancer, Request};
use std::time::Duration;

impl Balancer {
    pub(super) fn on_request(&mut self, new: NewRequest, actions: &mut Vec<Action>) {
        let present = Some(new.class).filter(|class| *class < self.settings.classes.len());
        let class = &self.settings.classes[present.unwrap_or_default()];
        let max_attempts = self.settings.limits.max_attempts;
        let all = new.policy.clone().unwrap_or_else(|| RequestPolicy { class: class.clone(), max_attempts });
        let terms = &all.class;
        // While it arrives its time does not run, but it waits no longer for a server than another would.
        let arriving = new.body_streaming.then(|| new.clone());
        let until = if new.body_streaming {
            self.now + terms.latency_target
        } else {
            self.until(&new, present, terms)
        };
        let weight = self.weigh(new.cost);
        self.arrived.add(self.now, self.rate_window(), weight);
        self.retry_tokens = (self.retry_tokens + RETRY_BUDGET_RATIO).min(2.0 / RETRY_BUDGET_RATIO);
        let paid = COST_BUDGET / self.settings.prices.probe.max(1e-9);
        self.probe_tokens = (self.probe_tokens + paid).min(self.ready() as f64);
        let (value, probed) = (self.value(terms.value, new.tenant), !self.probes_tell());
        let long = new.body_streaming;
        let request =
            Request { class: present, terms: all, weight, value, until, probed, ..Request::default() };
        let request = Request { long, arriving, ..request };
        self.requests.insert(new.id, request);
        // Hopeless even on a free server. Where most are idle it may try: hints are not exact.
        let most = until.saturating_sub(self.now) * if self.busy < 0.5 { 2 } else { 1 };
        if new.cost.unwrap_or_default() >= most {
            return self.finish(new.id, actions);
        }
        actions.push(Action::SetTimer { after: until - self.now, token: new.id.0 });
        self.dispatch(new.id, actions);
    }

    /// Until when an answer is worth waiting for, if the request has just come.
    pub(super) fn until(&mut self, new: &NewRequest, class: Option<usize>, terms: &Class) -> Duration {
        // The timer comes a tick late at most, and the answer must be there before the client leaves.
        let deadline = self.now + new.remaining.saturating_sub(2 * self.settings.timer_resolution);
        let stretch = new.cost.unwrap_or_default().mul_f64(terms.target_stretch.clamp(0.0, 1e3));
        let aim = (self.now + terms.latency_target + stretch).saturating_sub(self.spent(
            new,
            class,
            terms.deadline,
        ));
        if terms.late_value > 0.0 { deadline } else { deadline.min(aim) }
    }

    /// All of a long request has come: its time runs from now on, and so does that of its attempt.
    pub(super) fn on_arrived(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let (now, request) = (self.now, self.requests.get_mut(&id));
        let Some((request, new)) = request.and_then(|r| r.arriving.take().map(|new| (r, new))) else {
            return;
        };
        for attempt in request.attempts.iter_mut().filter(|a| a.outcome.is_none()) {
            (attempt.sent, attempt.counted) = (now, true);
            self.servers.get_mut(&attempt.to.id).into_iter().for_each(|s| s.begin(true));
        }
        let (class, terms) = (request.class, request.terms.class.clone());
        let until = self.until(&new, class, &terms);
        self.requests.entry(id).and_modify(|r| r.until = until);
        actions.push(Action::SetTimer { after: until.saturating_sub(now), token: id.0 });
    }

    /// The first bytes of an answer are with the client: what else is out for it is of no more use.
    pub(super) fn on_started(&mut self, id: RequestId, attempt: u32, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.streaming = true;
        if let Some(begun) = request.attempts.get_mut(attempt as usize) {
            // What follows is a matter of connections: the server's work is done.
            let done = u32::from(std::mem::take(&mut begun.counted));
            self.servers.get_mut(&begun.to.id).into_iter().for_each(|s| s.out -= done.min(s.out));
        }
        let others = request.attempts.iter().zip(0..).filter(|(a, i)| a.outcome.is_none() && *i != attempt);
        if self.settings.limits.cancel {
            actions.extend(others.map(|(_, i)| Action::Cancel { id, attempt: i }));
        }
    }

    /// What a client has waited already, as far as it shows: a marked repeat whose time is not that of a
    /// first try waits for the rest of its deadline. Work for one past its aim only feeds a jam.
    pub(super) fn spent(&mut self, new: &NewRequest, class: Option<usize>, deadline: Duration) -> Duration {
        let Some(patience) = class.and_then(|class| self.patience.get_mut(class)) else {
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
        if now >= request.until {
            self.finish(id, actions);
        } else {
            // Whoever was held for probes, or for want of servers, has waited long enough.
            request.probed = true;
            self.held.retain(|held| *held != id);
            self.dispatch(id, actions);
        }
    }

    /// The only place that gives a final answer: refused if to try again is harmless, else failed.
    pub(super) fn finish(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id).filter(|r| !r.done && !r.streaming) else { return };
        if request.out() > 0 && self.now < request.until {
            return; // what is out may still be answered
        }
        let harmless = match request.terms.class.retry_safety {
            RetrySafety::Idempotent | RetrySafety::Keyed { scope: DedupScope::All, .. } => true,
            _ => !request.attempts.iter().any(Attempt::may_have_run),
        };
        let retry_after = self.settings.limits.max_retry_after;
        actions.push(if harmless { Action::Refuse { id, retry_after } } else { Action::Fail { id } });
        self.close(id, actions);
    }

    /// Nothing more is sent for a request. What is out is called off, and it is kept until that has ended.
    pub(super) fn close(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        self.held.retain(|held| *held != id);
        let Some(request) = self.requests.get_mut(&id) else { return };
        if !request.done && self.settings.limits.cancel && !request.streaming {
            let out = request.attempts.iter().enumerate().filter(|(_, a)| a.outcome.is_none());
            actions.extend(out.map(|(i, _)| Action::Cancel { id, attempt: i as u32 }));
        }
        request.done = true;
        if request.out() == 0 {
            self.requests.remove(&id);
        }
    }
}
