//! Rule 4: what a server that has just started is sent, so that all nodes together don't push it over.

use super::list::scatter;
use crate::interface::ServerId;
use crate::state::{Balancer, Server};
use std::time::Duration;

/// The part of the cold rule's allowance N that is drawn. A ticket that is valid for a quarter of the span lets what
/// was drawn in five quarters be sent within one: so all that can be sent within a span comes to N, and the
/// 2 x root of N + 2 on top are left for chance alone.
const COLD_SPEND: f64 = 0.8;

impl Balancer {
    /// The share of its capacity that a server has for certain.
    pub(super) fn warmth(&self, server: &Server) -> f64 {
        let rules = &self.settings.rules;
        let Some(started) = server.entry.started else { return 1.0 };
        let age = self.now.saturating_sub(started).as_secs_f64();
        let grown = age / rules.warm_after.as_secs_f64().max(1e-6);
        (rules.cold_share + (1.0 - rules.cold_share) * grown).min(1.0)
    }

    /// Rule 4: a cold server is sent a request for a ticket. Each node's come evenly, at a multiple of what it
    /// gets from a warm one, and those of all add up to that multiple of what a warm one does for all.
    pub(super) fn draw_tickets(&mut self) {
        if self.now > self.warm_at {
            return;
        }
        for zone in self.parts() {
            self.draw_tickets_in(zone);
        }
    }

    fn draw_tickets_in(&mut self, zone: Option<u8>) {
        let (rules, now) = (self.settings.rules, self.now);
        let cold: Vec<_> =
            self.reach(zone).into_iter().filter(|s| self.warmth(s) < 1.0).map(|s| s.entry.id).collect();
        let part = if cold.is_empty() { 0.0 } else { self.carried_by_one(zone) };
        // A probe counts as well, and each ticket may need one.
        let each = if self.probes_tell() { 2.0 } else { 1.0 };
        let valid = rules.overload_time.mul_f64(1.0 / COLD_SPEND - 1.0);
        for id in cold {
            let Some(warmth) = self.servers.get(&id).map(|s| self.warmth(s)) else {
                continue;
            };
            let rate = rules.overload_factor * COLD_SPEND * warmth * part / each;
            let Some(server) = self.servers.get_mut(&id) else { continue };
            let owed = server.owed + rate * now.saturating_sub(server.drawn).as_secs_f64();
            (server.owed, server.drawn) = (owed.fract(), now);
            // It counts from the moment at which it was due, however long nothing came: nothing is saved up.
            let past = Duration::try_from_secs_f64(owed.fract() / rate).unwrap_or(valid);
            if owed >= 1.0 && past < valid {
                (server.ticket, server.asked) = (now + valid - past, false);
            }
        }
    }

    /// The first ticket's part that a node has from the start. By the golden ratio the nodes' parts lie evenly
    /// between 0 and 1, also those of neighbours alone: so tickets come one after the other and not by chance.
    /// A process that starts anew, or hears late, begins with the same: over all nodes that adds none.
    pub(super) fn first_part(&self, id: ServerId) -> f64 {
        let seat = scatter(ServerId(self.settings.node.into()));
        scatter(ServerId(scatter(id) >> 32)).wrapping_add(seat) as f64 / 2f64.powi(64)
    }

    /// The servers that a request may come to: as many warm ones as there are enough, and the cold ones among
    /// them.
    fn reach(&self, zone: Option<u8>) -> Vec<&Server> {
        let (enough, mut warm) = (self.enough(), 0);
        let near = self.ring_in(zone).take(2 * enough);
        near.take_while(|s| {
            let more = warm < enough;
            warm += usize::from(self.warmth(s) >= 1.0);
            more
        })
        .collect()
    }

    /// What a warm server within reach carries for this node a second. Each is counted by itself: when many are
    /// replaced together, what they had carried is no sign of what the others can. If none is warm, an even
    /// part of what arrives.
    pub(super) fn carried_by_one(&self, zone: Option<u8>) -> f64 {
        let (near, memory) = (self.reach(zone), self.memory());
        let warm = || near.iter().filter(|s| self.warmth(s) >= 1.0);
        if warm().count() > 0 {
            let all: f64 = warm().map(|s| s.carried.per_s(self.now, memory)).sum();
            return all / warm().count() as f64;
        }
        self.arrived.per_s(self.now, memory) * self.share_of(zone) / near.len().max(1) as f64
    }
}
