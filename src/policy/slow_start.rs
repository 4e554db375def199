//! Rule 4: what a server that has just started is sent, so that all nodes together don't push it over.

use crate::interface::Rules;
use crate::state::{Balancer, Server};
use std::time::Duration;

/// The part of the cold rule's allowance that is used. Its warmth is taken for the least that the settings
/// promise, and a ticket waits to be used: a server gets about what it can do then. The rest is for chance:
/// a server falls at N + 2 x root of N + 2 for N that are allowed, 3.8 standard deviations off for N = 25.
const SLOW_START_UTILIZATION: f64 = 0.8;

impl Balancer {
    /// The share of its capacity that a server has for certain.
    pub(super) fn warmth(&self, server: &Server) -> f64 {
        let rules = &self.settings.rules;
        let Some(started) = server.entry.started else { return 1.0 };
        let age = self.now.saturating_sub(started).as_secs_f64();
        let grown = age / rules.warm_up_time.as_secs_f64().max(1e-6);
        (rules.cold_capacity + (1.0 - rules.cold_capacity) * grown).min(1.0)
    }

    /// Rule 4: a cold server is sent a request for a ticket. All nodes' answers from a warm server add up to
    /// less than its capacity, so tickets come at a multiple of own answers from one: by chance and for a
    /// short time, since what hundreds of quiet nodes save up can be spent in one burst.
    pub(super) fn draw_tickets(&mut self) {
        let (rules, now) = (self.settings.rules, self.now);
        if now > self.warm_at {
            return;
        }
        for zone in self.parts() {
            self.draw_tickets_in(zone, rules, now);
        }
    }

    fn draw_tickets_in(&mut self, zone: Option<u8>, rules: Rules, now: Duration) {
        let near = self.ring_in(zone).take(2 * self.candidate_limit());
        let cold: Vec<_> = near.filter(|s| self.warmth(s) < 1.0).map(|s| s.entry.id).collect();
        let part = if cold.is_empty() { 0.0 } else { self.carried_by_one(zone) };
        for id in cold {
            let Some(warmth) = self.servers.get(&id).map(|s| self.warmth(s)) else {
                continue;
            };
            let rate = rules.overload_factor * SLOW_START_UTILIZATION * warmth * part;
            let (chance, span) = (self.random(), rules.overload_time / 2);
            let Some(server) = self.servers.get_mut(&id) else { continue };
            let since = now.saturating_sub(server.drawn).min(span).as_secs_f64();
            let won = chance < 1.0 - (-rate * since).exp();
            server.ticket = if server.ticket <= now && won { now + span } else { server.ticket };
            server.drawn = now;
        }
    }

    /// What a warm server carries for this node a second, of the part that goes to its zone; if none is warm,
    /// an even part of what arrives.
    pub(super) fn carried_by_one(&self, zone: Option<u8>) -> f64 {
        let near: Vec<_> =
            self.ring_in(zone).take(self.candidate_limit()).map(|s| self.warmth(s) >= 1.0).collect();
        let warm = near.iter().filter(|warm| **warm).count();
        let (total, by) = if warm > 0 { (&self.carried, warm) } else { (&self.arrived, near.len().max(1)) };
        total.per_s(self.now, self.rate_window()) * self.share_of(zone) / by as f64
    }
}
