//! Retries and hedging: which servers a request may be sent to, and when it may be sent again.

use crate::interface::*;
use crate::state::{Balancer, Request, Server};
use std::time::Duration;

/// An attempt without an answer counts as silent after this multiple of the median answer time. Of
/// exponentially distributed answer times one in 16 is longer.
const SILENCE_FACTOR: f64 = 4.0;
/// A cold server is sent no request of more than this multiple of the usual work.
const MAX_COLD_COST: f64 = 2.0;

impl Balancer {
    /// Whether the rules permit sending a request to a server; nothing overrides this. Rule 3 is kept without
    /// using its grace time. For rule 4 a cold server needs a permit, so that it gets no more than this
    /// node's part of what it can take.
    pub(super) fn permitted(&self, server: &Server, request: &Request) -> bool {
        server.entry.state == ServerState::Ready
            && (self.capacity_share(server) >= 1.0
                || server.permit_until > self.now && request.cost <= MAX_COLD_COST)
            && self.retry_allowed(server, request)
            && !request.attempts.iter().any(|a| a.server.id == server.entry.id)
    }

    /// Rule 2: a request that may have run is retried only as its class allows.
    pub(super) fn retry_allowed(&self, server: &Server, request: &Request) -> bool {
        let Some(first) = request.attempts.iter().find(|a| a.may_have_run()) else { return true };
        match request.policy.class.retry_safety {
            RetrySafety::Idempotent => true,
            RetrySafety::NonIdempotent => false,
            RetrySafety::Keyed { scope, window } => {
                let same_group = match scope {
                    DedupScope::All => true,
                    DedupScope::Zone => first.server.zone == server.entry.zone,
                    DedupScope::Cell => first.server.cell == server.entry.cell,
                };
                same_group && self.now < first.sent + window
            }
        }
    }

    /// Whether an attempt may start now: if none is in flight, or as a hedged one beside a silent attempt.
    pub(super) fn may_send(&self, request: &Request) -> bool {
        let Some(last) = request.attempts.iter().rfind(|a| a.outcome.is_none()) else { return true };
        let silent = self.now >= last.sent + self.silence_timeout(request).mul_f64(0.99);
        self.settings.limits.hedging && request.in_flight() < 2 && silent && !request.streamed_body
    }

    /// The time after which an attempt counts as silent.
    pub(super) fn silence_timeout(&self, request: &Request) -> Duration {
        let usual = self.median_time(request.class).mul_f64(request.cost.clamp(1.0, 1e3));
        usual.mul_f64(SILENCE_FACTOR).max(2 * self.settings.timer_resolution)
    }

    /// The median answer time of a class, or of all where the class has had no answer yet.
    pub(super) fn median_time(&self, class: Option<usize>) -> Duration {
        let class_median = class.and_then(|class| self.class_medians.get(class)).copied();
        class_median.filter(|median| !median.is_zero()).unwrap_or(self.median_answer_time)
    }
}
