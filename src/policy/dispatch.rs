//! Dispatch: the choice among the permitted servers, and the only place that sends.

use super::constants::{LOAD_LEVELS, SMOOTHING};
use super::selection::{collect_servers, random_server};
use crate::interface::*;
use crate::state::{Attempt, Balancer, Request, Server};
use std::time::Duration;

/// The time-out of an attempt whose streamed body still arrives. It is long enough never to apply: the
/// node itself checks that bytes keep arriving.
const UPLOAD_TIMEOUT: Duration = Duration::from_secs(86_400);

impl Balancer {
    /// Finds a server for a request's first attempt, its retry or its hedged attempt.
    pub(super) fn dispatch(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let (admission_draw, draw) = (self.random(), self.random());
        self.draw_cold_permits();
        let zone_draw = if self.settings.zones.is_some() { self.random() } else { 0.0 };
        let Some(request) = self.requests.get(&id).filter(|r| !r.done && self.may_send(r)) else { return };
        // Where zones are configured, the next zone is tried if no server of a zone admits the request.
        let (chance, mut choice, mut saturated) = (admission_draw.powf(request.value), None, Vec::new());
        for (zone, permitted) in self.candidates(request, zone_draw, admission_draw) {
            let (healthy, admitted) =
                self.admit(request, permitted, (self.is_trial(request, zone, admission_draw), chance));
            let none_admitted = admitted.is_empty();
            saturated.extend(zone.filter(|_| none_admitted));
            choice =
                if none_admitted { choice.or(Some((healthy, admitted))) } else { Some((healthy, admitted)) };
            if !none_admitted {
                break;
            }
        }
        let (retry, no_choice) = (!request.attempts.is_empty(), choice.is_none());
        if self.now >= request.expires
            || request.body_consumed
            || retry && (self.retry_tokens < 1.0 || no_choice)
        {
            return self.refuse_or_fail(id, actions);
        }
        let Some((healthy, admitted)) = choice else {
            // No server is listed, or none that this request may be sent to, such as cold ones without a
            // permit: try again after a short wait.
            let after = Duration::from_secs_f64(self.answer_time_s / 8.0).max(self.settings.timer_resolution);
            return actions.push(Action::SetTimer { after, token: id.0 });
        };
        let (below_cap, random) = (self.lowest_below_cap(&admitted, draw), random_server(&admitted, draw));
        let may_probe = below_cap.is_none() && !request.probes_done && !self.awaiting_probes.contains(&id);
        let load_unknown = |s: &&&Server| may_probe && !s.probing && self.probed_load(s).is_none();
        let to_probe: Vec<_> = healthy.iter().filter(load_unknown).map(|s| s.entry.id).collect();
        saturated.iter().for_each(|zone| self.record_zone_saturated(*zone));
        // The server with the lowest queue estimate below m; else probes, to find an idle server; else, where
        // all have reached m, a random server.
        match below_cap {
            Some(server) => self.send(id, server, actions),
            None if self.awaiting_probes.contains(&id) || may_probe && self.probe(id, to_probe, actions) => {}
            None if random.is_some() => random.into_iter().for_each(|server| self.send(id, server, actions)),
            // Load shedding: no server is likely to answer in time.
            None => self.refuse_or_fail(id, actions),
        }
    }

    /// Whether a request may be sent to an ejected server as a trial. One request in eight may, because
    /// trials would otherwise take most requests of a node with little traffic, and one in 32 of those that
    /// can't be retried. In a zone that gets requests for trials only, all that can be retried may.
    pub(super) fn is_trial(&self, request: &Request, zone: Option<u8>, draw: f64) -> bool {
        let non_idempotent = request.policy.class.retry_safety == RetrySafety::NonIdempotent;
        request.attempts.is_empty()
            && (draw * if non_idempotent { 4.0 } else { 1.0 } < SMOOTHING
                || self.trials_only(zone) && !non_idempotent)
    }

    /// Whether an ejected server may be tried again.
    pub(super) fn due_for_trial(&self, server: &Server) -> bool {
        server.ejected_until.is_some_and(|until| self.now >= until && server.in_flight == 0)
    }

    /// Of the permitted servers of a partition (a zone, or the whole ring): the healthy ones, and those of
    /// them that admit the request and have no more load than the average.
    fn admit<'a>(
        &self,
        request: &Request,
        permitted: Vec<&'a Server>,
        (trial, chance): (bool, f64),
    ) -> (Vec<&'a Server>, Vec<&'a Server>) {
        // A trial goes to a server that is due for one. Where no server is healthy, all permitted ones are
        // used.
        let due: Vec<_> = permitted.iter().copied().filter(|s| trial && self.due_for_trial(s)).collect();
        let healthy = |s: &&Server| s.ejected_until.is_none() && !self.broken_for(s, request.class);
        let healthy = collect_servers(permitted.iter().copied().filter(|s| due.is_empty() && healthy(s)));
        let healthy = [due, healthy, permitted].into_iter().find(|list| !list.is_empty()).unwrap_or_default();
        let admitted = healthy.iter().filter_map(|s| Some((*s, self.admitted_load(s, chance)?)));
        let admitted = self.at_most_average_load(collect_servers(admitted));
        (healthy, admitted)
    }

    /// The only place that sends. It checks every rule, whatever led to the call.
    pub(super) fn send(&mut self, id: RequestId, to: ServerId, actions: &mut Vec<Action>) {
        let now = self.now;
        let (Some(request), Some(server)) = (self.requests.get(&id), self.servers.get(&to)) else { return };
        let retry = !request.attempts.is_empty();
        let attempts_left = (request.attempts.len() as u32) < request.policy.max_attempts.max(1);
        let open = !request.done && self.may_send(request) && now < request.expires && !request.body_consumed;
        if !open || !attempts_left || !self.permitted(server, request) {
            return self.refuse_or_fail(id, actions);
        }
        // In case the server does not answer, time is left for another attempt where one is possible.
        let (time_left, silent_after) = (request.expires - now, self.silence_timeout(request));
        let (receiving, streamed) = (request.receiving.is_some(), request.streamed_body);
        let last = request.attempts.len() as u32 + 1 >= request.policy.max_attempts;
        let another_possible = !last
            && request.policy.class.retry_safety != RetrySafety::NonIdempotent
            && !streamed
            && time_left > silent_after * 5 / 4
            && self.retry_tokens >= if retry { 2.0 } else { 1.0 };
        let hedging = self.settings.limits.hedging;
        // A server may continue the work of an abandoned attempt. So once the tokens for early time-outs are
        // used up, attempts get all the time that is left.
        let ends_early = another_possible && !hedging && self.early_timeout_tokens >= 1.0;
        let timeout = if ends_early { silent_after } else { time_left };
        let timeout = if receiving { UPLOAD_TIMEOUT } else { timeout };
        if another_possible && hedging {
            actions.push(Action::SetTimer { after: silent_after, token: id.0 });
        }
        let load_level = (self.load_of(server).round() as usize).min(LOAD_LEVELS - 1);
        let attempt = Attempt {
            server: server.entry,
            sent: now,
            load_level,
            counts_as_load: !receiving,
            outcome: None,
        };
        self.requests.entry(id).and_modify(|request| {
            (request.probes_done, request.expires) =
                (true, if receiving { now + UPLOAD_TIMEOUT } else { request.expires });
            request.attempts.push(attempt);
        });
        if let Some(server) = self.servers.get_mut(&to) {
            (server.permit_until, server.queue_estimate) = (Duration::ZERO, server.queue_estimate + 1);
            server.attempt_started(!receiving);
        }
        actions.push(Action::Send { id, server: to, timeout });
        self.retry_tokens -= if retry { 1.0 } else { 0.0 };
        self.awaiting_probes.retain(|waiting| *waiting != id);
        self.sent_rate.add(now, self.rate_window(), 1.0);
        self.recent_sends = self.recent_sends * 0.998 + 1.0;
        self.recent_idle_reports *= 0.998;
    }
}
