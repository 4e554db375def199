//! The server list: what it changes, the ring that it makes, and when it is asked for.

use super::constants::TICK;
use crate::interface::*;
use crate::state::{Balancer, Server, margin, merge_ring};
use std::time::Duration;

/// What discovery has counts as told after so long at the latest, whatever the settings allow between calls.
const TOLD_AFTER: Duration = Duration::from_secs(6);
/// The timer has a 64th of the time between calls, and fires once a millisecond at most.
const LEAST_WITHIN: Duration = Duration::from_millis(64);

impl Balancer {
    pub(super) fn on_list(&mut self, kind: ListKind, entries: Vec<ServerEntry>) {
        if kind == ListKind::Failed {
            let within = self.ask_within();
            self.ask_wait = (2 * self.ask_wait).clamp(within / 16, within / 2);
            self.ask_at = Some(self.now + self.ask_wait.mul_f64(0.5 + self.random() / 2.0));
            return;
        }
        if !matches!(kind, ListKind::Cached | ListKind::Subset) {
            (self.ask_at, self.ask_wait) = (None, Duration::ZERO);
        }
        // One newly listed or restarted has the usual estimate: at zero all nodes would join it at once.
        let near = self.candidate_limit().min(self.ready_ring.len());
        let count = self.ring(None).take(near).map(|server| server.count).sum::<u32>() / near.max(1) as u32;
        let whole = matches!(kind, ListKind::Full | ListKind::Cached);
        if whole {
            self.servers.values_mut().for_each(|s| s.entry.state = ServerState::Gone);
            self.ready_ring.clear();
        }
        let mut changes = Vec::with_capacity(entries.len());
        for entry in entries {
            let place = self.servers.place(entry.id);
            let old = self.servers.take(place);
            let same = old.entry.id == entry.id && old.entry.started == entry.started;
            let new = Server { out: old.out, drawn: self.now, count, ..Server::default() };
            if entry.state != ServerState::Gone {
                self.servers.put(place, Server { entry, ..if same { old } else { new } });
            }
            let warm_at = entry.started.map(|at| at + margin(self.settings.rules.warm_up_time));
            self.warm_at = self.warm_at.max(warm_at.unwrap_or_default());
            changes.push((entry.id.ring_position(), (entry.state == ServerState::Ready).then_some(place)));
            if entry.state == ServerState::Gone {
                self.servers.remove(&entry.id);
            }
        }
        merge_ring(&mut self.ready_ring, changes);
        if whole {
            self.servers.gone().iter().for_each(|id| self.servers.remove(id));
        }
    }

    /// All nodes see the same ring of ready servers and start evenly spaced, so that each has as many nodes.
    pub(super) fn ring(&self, zone: Option<u8>) -> impl Iterator<Item = &Server> {
        let first = match self.held_rings.iter().find(|ring| ring.zone == zone) {
            Some(held) => self.ready_ring.partition_point(|(at, _)| *at < held.first),
            None => self.ring_layout().first_rank(self.ready_ring.len()),
        };
        let (before, after) = self.ready_ring.split_at(first);
        after.iter().chain(before).map(|(_, place)| self.servers.at(*place))
    }

    /// Discovery must be asked again within this.
    pub(super) fn ask_within(&self) -> Duration {
        self.settings.rules.list_refresh_interval.clamp(LEAST_WITHIN, TOLD_AFTER)
    }

    /// Where the list must be asked for: asks when it is time, and again if no answer came.
    pub(super) fn on_tick(&mut self, actions: &mut Vec<Action>) {
        if self.ask_at.is_some_and(|at| self.now >= at) {
            actions.push(Action::Subscribe { on: true });
            self.ask_at = Some(self.now + self.ask_within() / 2);
        }
        actions.push(Action::SetTimer { after: self.ask_within() / 64, token: TICK });
    }
}
