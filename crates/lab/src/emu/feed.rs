//! The feed of the server list: changes reach each node's machine late, each in its own time and in order.

use super::world::*;
use crate::time::{Nanos, millis, secs};
use hillpick::{Event, ListKind, ServerEntry, ServerState};
use std::collections::BTreeMap;

/// After a feed that was silent speaks again, nodes hear of it within this, in ms.
const AFTER_SILENCE_MS: [f64; 2] = [0.0, 500.0];

impl World {
    /// The list as it was after so many changes: whoever is gone has left it.
    pub fn list_as_of(&self, changes: usize) -> Vec<ServerEntry> {
        let mut list: BTreeMap<_, _> = self.listed.iter().map(|entry| (entry.id, *entry)).collect();
        for change in &self.changes[..changes] {
            list.insert(change.entry.id, change.entry);
        }
        list.into_values().filter(|entry| entry.state != ServerState::Gone).collect()
    }

    /// A server's entry changes.
    pub fn change(&mut self, server: ServerNo, state: ServerState) {
        let entry = self.entry(server, state);
        self.changes.push(Change { at: self.now, server, entry });
        for node in 0..self.nodes.len() as NodeNo {
            self.send_news(node);
        }
    }

    fn delay(&mut self) -> Nanos {
        let [low, high] = self.plan.experiment.list.delay_s;
        let late: Nanos = self.trouble.list_late.iter().map(|(_, by)| by).sum();
        self.between_ms([low * 1e3, high * 1e3]) + late
    }

    /// News set out for a node's machine, unless some are on their way that come late enough to hold these.
    fn send_news(&mut self, node: NodeNo) {
        let at = self.now + self.delay();
        let least = self.now + millis(self.plan.experiment.list.delay_s[0] * 1e3);
        let it = &mut self.nodes[node as usize];
        if it.news.is_none_or(|news| news < least) {
            let at = it.news.map_or(at, |news| news.max(at));
            it.news = Some(at);
            self.queue.push(at, Ev::List(node));
        }
    }

    /// Whether the feed says nothing to a node now.
    fn is_silent(&self, node: NodeNo) -> bool {
        let zone = usize::from(self.nodes[node as usize].zone);
        self.trouble.list_silent > 0 || self.trouble.list_in[zone] > 0
    }

    /// News have come to a node's machine, and to its process if that runs.
    pub fn news(&mut self, node: NodeNo) {
        let now = self.now;
        if self.nodes[node as usize].news.is_some_and(|at| at > now) {
            return; // later ones are on their way, and hold these
        }
        self.nodes[node as usize].news = None;
        if self.is_silent(node) {
            return; // when the feed speaks again, it tells all that was missed
        }
        let least = secs(self.plan.experiment.list.delay_s[0])
            + self.trouble.list_late.iter().map(|(_, by)| by).sum::<Nanos>();
        let come = self.changes.partition_point(|change| change.at + least <= now);
        let it = &mut self.nodes[node as usize];
        it.sent = it.sent.max(come);
        if it.sent < self.changes.len() {
            self.send_news(node);
        }
        if self.trouble.list_stale.is_empty() {
            self.pass_on(node);
        }
    }

    /// A node's process hears what its machine has been sent.
    pub fn pass_on(&mut self, node: NodeNo) {
        let it = &self.nodes[node as usize];
        let (seen, sent) = (it.seen, it.sent);
        if it.strategy.is_none() || seen >= sent {
            return;
        }
        // Of several changes of a server the last one counts.
        let news: BTreeMap<_, _> = self.changes[seen..sent].iter().map(|c| (c.server, c.entry)).collect();
        self.nodes[node as usize].seen = sent;
        self.list_event(node, ListKind::Changes, news.into_values().collect());
    }

    /// The feed speaks again after a silence: to all, or to the nodes of one zone.
    pub fn speak_again(&mut self, zone: Option<u8>) {
        for node in 0..self.nodes.len() as NodeNo {
            let here = zone.is_none_or(|zone| self.nodes[node as usize].zone == zone);
            if here && !self.is_silent(node) && self.nodes[node as usize].sent < self.changes.len() {
                let at = self.now + self.between_ms(AFTER_SILENCE_MS);
                self.nodes[node as usize].news = Some(at);
                self.queue.push(at, Ev::List(node));
            }
        }
    }

    /// While the feed is stale, a node that starts is told the list as it was earlier.
    pub fn stale(&self, node: NodeNo) -> Option<usize> {
        let by = self.trouble.list_stale.iter().map(|(_, by)| *by).max()?;
        let then = self.now.saturating_sub(by);
        let old = self.changes.partition_point(|change| change.at <= then);
        Some(old.min(self.nodes[node as usize].sent))
    }

    /// A node's strategy hears of the list.
    pub fn list_event(&mut self, node: NodeNo, kind: ListKind, entries: Vec<ServerEntry>) {
        let (now, servers) = (self.now, self.servers.len());
        let told = &mut self.nodes[node as usize].told;
        told.resize(servers, Told::default());
        if kind != ListKind::Changes {
            told.iter_mut().filter(|told| told.listed).for_each(|told| told.stop = told.stop.min(now));
        }
        for entry in &entries {
            let told = &mut told[server_no(entry.id) as usize];
            let stops = entry.state != ServerState::Ready;
            told.stop = if stops { told.stop.min(now) } else { crate::time::FOREVER };
            told.listed = true;
            if kind != ListKind::Cached {
                let on_list = entry.started.map(|at| at.as_nanos() as Nanos - super::plan::EPOCH);
                told.started = on_list;
            }
        }
        self.tell(node, Event::List { kind, entries });
    }
}
