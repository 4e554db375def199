//! The server list: its changes, the ring of ready servers, and when the list is requested.

use crate::interface::*;
use crate::state::{Balancer, Server, max_cold_time, merge_ring};
use std::time::Duration;

/// The list is requested at least this often, even if the settings allow longer intervals: a node is expected
/// to know after this time what discovery knows.
const MAX_REFRESH_INTERVAL: Duration = Duration::from_secs(6);
/// The list's timer runs at a 64th of the interval, and so once a millisecond at most.
const MIN_REFRESH_INTERVAL: Duration = Duration::from_millis(64);

impl Balancer {
    pub(super) fn on_list(&mut self, kind: ListKind, entries: Vec<ServerEntry>) {
        if kind == ListKind::Failed {
            let interval = self.refresh_interval();
            self.poll_backoff = (2 * self.poll_backoff).clamp(interval / 16, interval / 2);
            self.poll_at = Some(self.now + self.poll_backoff.mul_f64(0.5 + self.random() / 2.0));
            return;
        }
        if !matches!(kind, ListKind::Cached | ListKind::Subset) {
            (self.poll_at, self.poll_backoff) = (None, Duration::ZERO);
        }
        // A new or restarted server gets the mean queue estimate: with an estimate of zero, all nodes would
        // choose it at once.
        let count = self.candidate_limit().min(self.ready_ring.len());
        let queue_estimate =
            self.ring(None).take(count).map(|s| s.queue_estimate).sum::<u32>() / count.max(1) as u32;
        let full = matches!(kind, ListKind::Full | ListKind::Cached);
        if full {
            self.servers.values_mut().for_each(|s| s.entry.state = ServerState::Gone);
            self.ready_ring.clear();
        }
        let mut changes = Vec::with_capacity(entries.len());
        for entry in entries {
            let slot = self.servers.slot_for(entry.id);
            let old = self.servers.take(slot);
            let same = old.entry.id == entry.id && old.entry.started == entry.started;
            let new = Server {
                in_flight: old.in_flight,
                permit_drawn_at: self.now,
                queue_estimate,
                ..Server::default()
            };
            if entry.state != ServerState::Gone {
                self.servers.put(slot, Server { entry, ..if same { old } else { new } });
            }
            let warm_at = entry.started.map(|at| at + max_cold_time(self.settings.rules.warm_up_time));
            self.all_warm_at = self.all_warm_at.max(warm_at.unwrap_or_default());
            changes.push((entry.id.ring_position(), (entry.state == ServerState::Ready).then_some(slot)));
            if entry.state == ServerState::Gone {
                self.servers.remove(&entry.id);
            }
        }
        merge_ring(&mut self.ready_ring, changes);
        if full {
            self.servers.gone_ids().iter().for_each(|id| self.servers.remove(id));
        }
    }

    /// The ring from this node's first server on. All nodes see the same ring, and their first servers are
    /// evenly spaced on it, so that each server is used by about the same number of nodes.
    pub(super) fn ring(&self, zone: Option<u8>) -> impl Iterator<Item = &Server> {
        let first = match self.subset_rings.iter().find(|ring| ring.zone == zone) {
            Some(held) => self.ready_ring.partition_point(|(at, _)| *at < held.first),
            None => self.ring_layout().first_rank(self.ready_ring.len()),
        };
        let (before, after) = self.ready_ring.split_at(first);
        after.iter().chain(before).map(|(_, slot)| self.servers.at(*slot))
    }

    /// The longest time between two requests for the list, where it has to be requested.
    pub(super) fn refresh_interval(&self) -> Duration {
        self.settings.rules.list_refresh_interval.clamp(MIN_REFRESH_INTERVAL, MAX_REFRESH_INTERVAL)
    }

    /// Where the list has to be requested: requests it when due, and again if no answer arrives.
    pub(super) fn on_list_timer(&mut self, actions: &mut Vec<Action>) {
        if self.poll_at.is_some_and(|at| self.now >= at) {
            actions.push(Action::Subscribe { on: true });
            self.poll_at = Some(self.now + self.refresh_interval() / 2);
        }
        actions.push(Action::SetTimer { after: self.refresh_interval() / 64, token: LIST_TIMER });
    }
}
