//! Every decision of hillpick, one file a concern. Types, events and actions are in `src/interface.rs`; what
//! a node remembers of servers and requests in `src/state.rs`; departures from the paper in `README.md`.

mod constants;
mod dispatch;
mod fleet_view;
mod health;
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
use constants::{LOAD_LEVELS, RETRY_BUDGET_RATIO, TICK};
use rand_pcg::Pcg32;
use rand_pcg::rand_core::{RngCore, SeedableRng};
use std::time::Duration;

impl Balancer {
    /// A node that has just started and holds no state.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let aim = settings.classes.iter().map(|c| c.latency_target).min().unwrap_or_default();
        let mut node = Balancer::empty(settings, Pcg32::seed_from_u64(seed));
        (node.answer_time, node.median) = (aim.as_secs_f64() / 2.0, aim / 4);
        (node.sends, node.idle_signs, node.busy) = (1.0, 1.0, 0.5);
        (node.in_time_by_load, node.taken, node.retry_tokens) =
            (vec![0.25; LOAD_LEVELS], 2.0, 1.0 / RETRY_BUDGET_RATIO);
        node
    }

    /// Takes in what happened at `now` and adds what is to be done to `actions`, in order.
    pub fn handle(&mut self, now: Duration, event: Event, actions: &mut Vec<Action>) {
        let first = self.now.is_zero();
        self.now = now.max(self.now).max(Duration::from_nanos(1));
        if first && self.settings.list_on_request {
            // All nodes may have started together: they spread their first calls.
            self.ask_at = Some(self.now + self.ask_within().mul_f64(self.random() / 4.0));
            self.on_tick(actions);
        }
        self.tend_zones(false, actions);
        match event {
            Event::List { kind, entries } => {
                self.on_list(kind, entries);
                self.tend_zones(true, actions);
            }
            Event::SubsetRings(rings) => self.held_rings = rings,
            Event::Request(new) => self.on_request(new, actions),
            Event::BodyReceived { id } => self.on_arrived(id, actions),
            Event::AnswerStarted { id, attempt, .. } => self.on_started(id, attempt, actions),
            Event::AttemptEnded(end) => self.on_outcome(end, actions),
            Event::ClientGone { id } => self.close(id, actions),
            Event::Timer { token: TICK } => self.on_tick(actions),
            Event::Timer { token } => self.on_request_timer(RequestId(token), actions),
            Event::ProbeEnded(end) => self.on_probed(end, actions),
            Event::Settings { settings, previous_classes: classes, previous_tenants: tenants } => {
                self.resettle(*settings, &classes, &tenants)
            }
            Event::FleetView(tier) => self.tier = Some(tier),
            Event::Evacuate { zone, duration: lasts } => self.on_evacuate(zone, lasts, actions),
            Event::PeerMessage { .. } => {}
        }
    }

    fn random(&mut self) -> f64 {
        f64::from(self.rng.next_u32()) / 2f64.powi(32)
    }
}
