//! All decisions of a node, one file for each concern. Types, events and actions are in `src/interface.rs`,
//! the remembered state in `src/state.rs`. `README.md` lists the departures from the paper on Join-Up-To(m).
//!
//! Comments and tests refer to four rules, which no decision may break:
//!
//! 1. Each request gets exactly one final answer, before its client gives up.
//! 2. A request that may have run is retried, or refused as harmless to retry, only as the
//!    [`RetrySafety`] of its class allows.
//! 3. A server that drains or is gone gets no request after [`Rules::drain_grace`].
//! 4. A cold server gets at most [`Rules::overload_factor`] times its present capacity over any
//!    [`Rules::overload_time`], from all nodes together.

mod constants;
mod dispatch;
mod fleet_view;
mod health;
pub mod repeats;
mod request;
mod request_value;
mod retry;
mod selection;
mod server_list;
mod slow_start;
pub(crate) mod subset;
mod zones;

use crate::interface::*;
pub use crate::state::Balancer;
use constants::{LOAD_LEVELS, RETRY_BUDGET_RATIO};
use rand_pcg::Pcg32;
use rand_pcg::rand_core::{RngCore, SeedableRng};
use std::time::Duration;

impl Balancer {
    /// The decisions of a node that has just started and knows no servers.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let target = settings.classes.iter().map(|c| c.latency_target).min().unwrap_or_default();
        let mut balancer = Balancer::empty(settings, Pcg32::seed_from_u64(seed));
        (balancer.answer_time_s, balancer.median_answer_time) = (target.as_secs_f64() / 2.0, target / 4);
        (balancer.recent_sends, balancer.recent_idle_reports, balancer.busy_share) = (1.0, 1.0, 0.5);
        (balancer.in_time_by_load, balancer.admission, balancer.retry_tokens) =
            (vec![0.25; LOAD_LEVELS], 2.0, 1.0 / RETRY_BUDGET_RATIO);
        balancer
    }

    /// Handles an event that happened at `now` and appends the actions to take, in order.
    pub fn handle(&mut self, now: Duration, event: Event, actions: &mut Vec<Action>) {
        let first = self.now.is_zero();
        self.now = now.max(self.now).max(Duration::from_nanos(1));
        if first && self.settings.list_on_request {
            // Many nodes may start together: a random delay spreads their first calls for the list.
            self.poll_at = Some(self.now + self.refresh_interval().mul_f64(self.random() / 4.0));
            self.on_list_timer(actions);
        }
        self.update_zones(false, actions);
        match event {
            Event::List { kind, entries } => {
                self.on_list(kind, entries);
                self.update_zones(true, actions);
            }
            Event::SubsetRings(rings) => self.subset_rings = rings,
            Event::Request(new) => self.on_request(new, actions),
            Event::BodyReceived { id, age } => self.on_body_received(id, age, actions),
            Event::BodyAbandoned { id } => self.on_body_abandoned(id, actions),
            Event::AnswerStarted { id, attempt, .. } => self.on_answer_started(id, attempt, actions),
            Event::AttemptEnded(end) => self.on_attempt_ended(end, actions),
            Event::ClientGone { id } => self.close(id, actions),
            Event::Timer { token: LIST_TIMER } => self.on_list_timer(actions),
            Event::Timer { token } => self.on_request_timer(RequestId(token), actions),
            Event::ProbeEnded(end) => self.on_probe_ended(end, actions),
            Event::Settings { settings, previous_classes: classes, previous_tenants: tenants } => {
                self.apply_settings(*settings, &classes, &tenants)
            }
            Event::FleetView(view) => self.fleet_view = Some(view),
            Event::Evacuate { zone, duration } => self.on_evacuate(zone, duration, actions),
            Event::PeerMessage { .. } => {}
        }
    }

    fn random(&mut self) -> f64 {
        f64::from(self.rng.next_u32()) / 2f64.powi(32)
    }
}
