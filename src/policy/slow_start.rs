//! Slow start (rule 4): limits what nodes send a server that has just started, so as not to overload it.

use crate::interface::Rules;
use crate::state::{Balancer, Server};
use std::time::Duration;

/// The part of what rule 4 allows that is used. The capacity is taken as the least that the settings promise,
/// and a permit is used somewhat later than it is drawn, when the server can do more: so a server gets about
/// what it can do. The rest is a margin for random variation: where N requests are allowed, a server is
/// overloaded by N + 2 x sqrt(N) + 2, which for N = 25 is 3.8 standard deviations away.
const SLOW_START_UTILIZATION: f64 = 0.8;

impl Balancer {
    /// The least share of its full capacity that a server has at its age.
    pub(super) fn capacity_share(&self, server: &Server) -> f64 {
        let rules = &self.settings.rules;
        let Some(started) = server.entry.started else { return 1.0 };
        let age = self.now.saturating_sub(started).as_secs_f64();
        let warmed_up = age / rules.warm_up_time.as_secs_f64().max(1e-6);
        (rules.cold_capacity + (1.0 - rules.cold_capacity) * warmed_up).min(1.0)
    }

    /// Draws permits for cold servers; each lets one request through. The answers that all nodes together get
    /// from a warm server amount to less than its capacity, so a node draws permits at a multiple of the rate
    /// of its own answers from a warm server. Permits are drawn at random and expire soon, because hundreds
    /// of quiet nodes could otherwise save them up and use them in one burst.
    pub(super) fn draw_cold_permits(&mut self) {
        let (rules, now) = (self.settings.rules, self.now);
        if now > self.all_warm_at {
            return;
        }
        for zone in self.partitions() {
            self.draw_cold_permits_in(zone, rules, now);
        }
    }

    fn draw_cold_permits_in(&mut self, zone: Option<u8>, rules: Rules, now: Duration) {
        let candidates = self.ring_in_zone(zone).take(2 * self.candidate_limit());
        let cold: Vec<_> = candidates.filter(|s| self.capacity_share(s) < 1.0).map(|s| s.entry.id).collect();
        let warm_rate = if cold.is_empty() { 0.0 } else { self.work_per_warm_server(zone) };
        for id in cold {
            let Some(capacity) = self.servers.get(&id).map(|s| self.capacity_share(s)) else {
                continue;
            };
            let rate = rules.overload_factor * SLOW_START_UTILIZATION * capacity * warm_rate;
            let (draw, lifetime) = (self.random(), rules.overload_time / 2);
            let Some(server) = self.servers.get_mut(&id) else { continue };
            let since = now.saturating_sub(server.permit_drawn_at).min(lifetime).as_secs_f64();
            let granted = draw < 1.0 - (-rate * since).exp();
            server.permit_until =
                if server.permit_until <= now && granted { now + lifetime } else { server.permit_until };
            server.permit_drawn_at = now;
        }
    }

    /// The work per second that a warm server does for this node, or, if no server is warm, an even share of
    /// the work that arrives.
    pub(super) fn work_per_warm_server(&self, zone: Option<u8>) -> f64 {
        let candidates: Vec<_> = self
            .ring_in_zone(zone)
            .take(self.candidate_limit())
            .map(|s| self.capacity_share(s) >= 1.0)
            .collect();
        let warm = candidates.iter().filter(|warm| **warm).count();
        let (work, servers) =
            if warm > 0 { (&self.warm_work, warm) } else { (&self.arrived_work, candidates.len().max(1)) };
        work.per_s(self.now, self.rate_window()) * self.share_of(zone) / servers as f64
    }
}
