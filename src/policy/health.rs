//! Learns from the outcomes of attempts: server health (outlier ejection), and at which load servers answer
//! in time (admission control).

use super::constants::{EARLY_TIMEOUT_RATIO, LOAD_LEVELS, MAX_EARLY_TIMEOUTS, SMOOTHING};
use crate::interface::*;
use crate::state::{Balancer, Server};

/// A server that has lately missed more requests of a class than this, and served none of them since, is
/// broken for the class if it serves others.
const MAX_CLASS_MISSES: f64 = 2.0;

impl Balancer {
    /// Whether a server fails this class alone. An overloaded or slow one misses all classes; one that serves
    /// others meanwhile is broken for this class. As its misses decay it is tried again.
    pub(super) fn broken_for(&self, server: &Server, class: Option<usize>) -> bool {
        let Some((misses, serves_others)) = class.and_then(|c| server.misses.get(&c)) else { return false };
        *serves_others && misses.per_s(self.now, self.rate_window()) * self.rate_window() > MAX_CLASS_MISSES
    }

    pub(super) fn on_attempt_ended(&mut self, end: AttemptEnd, actions: &mut Vec<Action>) {
        let usual_s = self.answer_time_s;
        let Some(request) = self.requests.get_mut(&end.id) else { return };
        let Some(attempt) = request.attempts.get_mut(end.attempt as usize) else { return };
        if attempt.outcome.replace(end.outcome).is_some() {
            return;
        }
        let (load_level, cost, class, counts_as_load) =
            (attempt.load_level, request.cost, request.class, attempt.counts_as_load);
        // An end long after the expiry shows a pause of this node, not a fault of the server.
        let overrun_s = self.now.as_secs_f64() - request.expires.as_secs_f64();
        let overdue = (0.0..usual_s / 4.0).contains(&overrun_s) && end.elapsed.as_secs_f64() >= usual_s;
        // Tight: an answer with little time to spare; where late answers have value, one well past the
        // latency target.
        let (target, late_value) = (request.policy.class.latency_target, request.policy.class.late_value);
        let time_left = request.expires.saturating_sub(attempt.sent);
        request.body_consumed |= end.body_consumed;
        if request.receiving.is_some() {
            // While its body still arrives, the request may wait this long for another server.
            request.expires = self.now + request.policy.class.latency_target;
        }
        let tight = 4 * end.elapsed > if late_value > 0.0 { 5 } else { 3 } * target.min(time_left);
        let early_timeout = end.outcome == Outcome::TimedOut && self.now < request.expires;
        self.early_timeout_tokens -= if early_timeout { 1.0 } else { 0.0 };
        if end.outcome == Outcome::Served && !tight {
            self.early_timeout_tokens =
                (self.early_timeout_tokens + EARLY_TIMEOUT_RATIO).min(MAX_EARLY_TIMEOUTS);
        }
        let (finished, none_in_flight) = (end.finished || request.done, request.in_flight() == 0);
        let (now, window_s, cut_short) = (self.now, self.rate_window(), 2 * end.elapsed < target);
        if let Some(server) = self.servers.get_mut(&end.server) {
            server.in_flight -= u32::from(counts_as_load).min(server.in_flight);
            server.attempt_ended(class, end.outcome, cut_short, now, window_s);
        }
        self.record_zone_outcome(&end, class, target, overdue);
        self.on_report(end.server, end.report, end.outcome == Outcome::Served);
        // A server broken for the class says nothing about the load of servers.
        let reached = !matches!(end.outcome, Outcome::ConnectFailed | Outcome::Reset);
        let broken = |s: &Server| reached && self.broken_for(s, class);
        if !self.servers.get(&end.server).is_some_and(broken) {
            self.record_outcome(&end, overdue, tight, load_level, (class, cost));
        }
        if finished {
            self.close(end.id, actions);
        } else if none_in_flight {
            self.dispatch(end.id, actions);
        }
    }

    /// Updates median answer times, health and admission by how an attempt ended.
    pub(super) fn record_outcome(
        &mut self,
        end: &AttemptEnd,
        overdue: bool,
        tight: bool,
        load_level: usize,
        (class, cost): (Option<usize>, f64),
    ) {
        let late = overdue && matches!(end.outcome, Outcome::TimedOut | Outcome::Cancelled);
        // An abandoned attempt raises the median if it has taken longer than that. Without abandoned attempts
        // the median would be too low: that of only those answers that arrived before their attempts timed
        // out.
        let abandoned = matches!(end.outcome, Outcome::TimedOut | Outcome::Cancelled);
        let usual = self.median_time(class);
        let (class_median, all) =
            (class.and_then(|class| self.class_medians.get_mut(class)), &mut self.median_answer_time);
        for (median, stored) in [(usual, class_median), (*all, Some(all))] {
            let longer = end.elapsed > median.mul_f64(cost.max(1.0));
            if let Some(stored) = stored.filter(|_| end.outcome == Outcome::Served || abandoned && longer) {
                *stored = median.mul_f64(1.0 + if longer { SMOOTHING } else { -SMOOTHING } / 4.0);
            }
        }
        match end.outcome {
            Outcome::Served => {
                self.answer_time_s += (end.elapsed.as_secs_f64() - self.answer_time_s) * SMOOTHING / 4.0;
                if self.servers.get(&end.server).is_some_and(|s| self.capacity_share(s) >= 1.0) {
                    self.warm_work.add(self.now, self.rate_window(), cost);
                }
                self.record_health(end.server, if tight { 0.5 } else { 0.0 }, SMOOTHING * 2.0);
            }
            Outcome::ConnectFailed => self.record_health(end.server, 1.0, 1.0),
            // A reset ends one connection only: a dead server refuses the next one as well.
            Outcome::Error | Outcome::TimedOut | Outcome::Reset => {
                self.record_health(end.server, 1.0, SMOOTHING * 2.0)
            }
            _ if late => self.record_health(end.server, 1.0, SMOOTHING * 2.0),
            _ => {}
        }
        let served = end.outcome == Outcome::Served;
        let missed = late || end.outcome == Outcome::Rejected;
        if served && !tight {
            // An answer in time at this load counts for all lower levels too, and a little for the next one.
            self.in_time_by_load[..=load_level]
                .iter_mut()
                .for_each(|rate| *rate += (1.0 - *rate) * SMOOTHING);
            let next = &mut self.in_time_by_load[(load_level + 1).min(LOAD_LEVELS - 1)];
            *next += (1.0 - *next) * SMOOTHING / 2.0;
        } else if load_level > 0 {
            let decay = if served || missed { SMOOTHING } else { 0.0 };
            return self.in_time_by_load[load_level..].iter_mut().for_each(|rate| *rate -= *rate * decay);
        }
        if !served && !missed {
            return;
        }
        // A miss at a server without load by this node: other nodes load it, or it is at fault. As in the
        // failure rate, an answer with little time to spare counts as half a miss, because it still has its
        // value.
        let missed = if missed { 1.0 } else { f64::from(u8::from(tight)) / 2.0 };
        let admission = self.admission_mut(end.server);
        *admission += SMOOTHING * ((1.0 - missed) * 2.0 / 7.0 - missed * *admission);
        *admission = admission.clamp(SMOOTHING / 2.0, 2.0);
    }

    /// Updates a server's failure rate: 1 for a failure, 0 for an answer, 1/2 for a tight one. A server that
    /// fails more than the others is ejected, for twice as long each time in a row.
    pub(super) fn record_health(&mut self, id: ServerId, failed: f64, weight: f64) {
        let Some(server) = self.servers.get_mut(&id) else { return };
        server.failure_rate += (failed - server.failure_rate) * weight;
        self.failure_rate += (failed - self.failure_rate) * SMOOTHING / 2.0;
        if failed < 1.0 {
            (server.ejected_until, server.ejections) = (None, server.ejections / 2);
            return;
        }
        let (failure_rate, on_trial, ejections) =
            (server.failure_rate, server.ejected_until.is_some(), server.ejections);
        let zone = self.servers.get(&id).and_then(|server| self.zone_of(server));
        let ready: Vec<_> = self.ring_in_zone(zone).take(2 * self.candidate_limit()).collect();
        let may_eject = 2 * ready.iter().filter(|s| s.ejected_until.is_some()).count() + 2 <= ready.len();
        // Failures that all servers have in common are no server's fault. At most half of the servers are
        // ejected, except those that can't be reached at all and those that fail their trial.
        if on_trial
            || weight >= 1.0
            || may_eject && failure_rate > 0.5 && failure_rate > 1.5 * self.failure_rate
        {
            let until = Some(self.now + self.settings.rules.overload_time * (1 << ejections.min(4)));
            let server = self.servers.get_mut(&id);
            server.into_iter().for_each(|s| (s.ejected_until, s.ejections) = (until, ejections + 1));
        }
    }

    /// Applies a load report. One of nothing in flight (or of an empty queue, if only that is known) that
    /// comes with an answer is an idle report. It lowers the queue estimate to the number of own attempts
    /// in flight, which may have been sent after the report.
    pub(super) fn on_report(&mut self, id: ServerId, report: Option<LoadReport>, served: bool) {
        let (Some(report), Some(server)) = (report, self.servers.get_mut(&id)) else { return };
        let Some(load) = report.in_flight.or(report.queue).map(f64::from) else { return };
        server.load = Some((load, self.now));
        self.busy_share += (if load < 0.5 { 0.0 } else { 1.0 } - self.busy_share) * SMOOTHING / 8.0;
        if load < 0.5 && served {
            self.recent_idle_reports += if server.queue_estimate > server.in_flight { 1.0 } else { 0.0 };
            server.queue_estimate = server.queue_estimate.min(server.in_flight);
            server.idle_at = Some(self.now);
        }
    }
}
