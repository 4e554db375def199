//! The server table of a node that holds a subset of a long list.
//!
//! Of each ready server it keeps what is needed to take it into the subset, in some tens of bytes; the balancer and the
//! connection pool are told of the subset alone. Which part of the list that is, `src/policy/subset.rs` decides. Servers
//! that are not ready are kept only as far as they are held.

mod compact_server;
mod ring;
#[cfg(test)]
mod tests;

use crate::control::updates::{Backend, ListUpdate};
use crate::{LEAST_SUBSET, ListKind, RingLayout, ServerId, ServerState, SubsetRing};
use compact_server::Listed;
use ring::Ring;
use std::collections::{BTreeMap, BTreeSet};

/// News of the list as far as they concern the subset, to be told to pool and balancer in this order.
pub struct SubsetUpdate {
    /// The rings of which a part is held.
    pub rings: Vec<SubsetRing>,
    /// What enters the subset, changes in it or leaves it.
    pub update: ListUpdate,
}

/// All ready servers of the list, and which servers the node holds.
///
/// It grows with the ready servers of the list, whose number is bounded by
/// [`Config::max_listed_servers`](crate::control::config::Config), at [`LISTED_SERVER_BYTES`] each; what is held is bounded by the
/// configured size of a part, for each zone, times the size of a cell where cells are held whole, and by those that drain.
pub struct ServerTable {
    /// How many servers of each ring are held from the first in use on.
    servers: usize,
    layout: RingLayout,
    /// One for each zone, or one of all.
    rings: BTreeMap<Option<u8>, Ring>,
    /// Ready servers by cell, with their positions; empty where cells are not held whole.
    cells: BTreeSet<(u16, u64)>,
    /// The ready servers that are to be held, and whether servers or layout have changed since that was reckoned.
    wanted: BTreeSet<ServerId>,
    changed: bool,
    /// Told to pool and balancer, and not taken back.
    held: BTreeSet<ServerId>,
}

/// Bytes that a listed server takes at most: its place here and in the discovery client, and its part of a list that is
/// being taken in, which is the most of it. Measured with `what_a_subset_costs` (`tests/subset_node/costs.rs`).
pub const LISTED_SERVER_BYTES: usize = 512;

/// Of a cell no more are held than a choice compares.
const MOST_OF_A_CELL: usize = LEAST_SUBSET / 2;

impl ServerTable {
    /// An empty list, of whose rings so many servers are to be held.
    pub fn new(servers: usize, layout: RingLayout) -> Self {
        ServerTable {
            servers,
            layout,
            rings: BTreeMap::new(),
            cells: BTreeSet::new(),
            wanted: BTreeSet::new(),
            changed: false,
            held: BTreeSet::new(),
        }
    }

    /// Takes in news of the list.
    pub fn apply(&mut self, news: ListUpdate, layout: RingLayout) -> SubsetUpdate {
        let ListUpdate { kind, backends } = news;
        if kind == ListKind::Failed {
            return SubsetUpdate { rings: self.held_rings(), update: ListUpdate { kind, backends } };
        }
        let whole = matches!(kind, ListKind::Full | ListKind::Cached);
        self.lay_out(layout);
        if whole {
            self.rings.clear();
            self.cells.clear();
            self.changed = true;
        }
        self.note(&backends);
        self.choose();
        let mut told = Vec::new();
        let mut named = BTreeSet::new();
        for backend in backends {
            let id = backend.entry.id;
            let ready = backend.entry.state == ServerState::Ready;
            let concerns = if ready { self.wanted.contains(&id) } else { self.held.contains(&id) };
            if concerns {
                named.insert(id);
                told.push(backend);
            }
        }
        self.tell_moves(whole, &named, &mut told);
        if whole {
            self.held.clear();
        }
        self.hold(&told);
        SubsetUpdate { rings: self.held_rings(), update: ListUpdate { kind, backends: told } }
    }

    /// The rings are divided otherwise, or not: what that changes, if it changes anything.
    pub fn set_layout(&mut self, layout: RingLayout) -> Option<SubsetUpdate> {
        if layout == self.layout {
            return None;
        }
        self.lay_out(layout);
        self.choose();
        let mut told = Vec::new();
        self.tell_moves(false, &BTreeSet::new(), &mut told);
        self.hold(&told);
        let update = ListUpdate { kind: ListKind::Subset, backends: told };
        Some(SubsetUpdate { rings: self.held_rings(), update })
    }

    /// How many ready servers are listed.
    pub fn ready_count(&self) -> usize {
        self.rings.values().map(Ring::len).sum()
    }

    /// How many servers are held, those that drain among them.
    pub fn held_count(&self) -> usize {
        self.held.len()
    }

    /// Divides the servers into rings and cells anew, if that is to be by another rule.
    fn lay_out(&mut self, layout: RingLayout) {
        let before = std::mem::replace(&mut self.layout, layout);
        self.changed |= layout != before;
        if (layout.by_zone, layout.whole_cells) == (before.by_zone, before.whole_cells) {
            return;
        }
        self.cells.clear();
        let all = std::mem::take(&mut self.rings).into_values().flat_map(Ring::into_places);
        for (position, listed) in all {
            self.put(position, listed);
        }
    }

    fn put(&mut self, position: u64, listed: Listed) {
        self.changed = true;
        if self.layout.whole_cells {
            self.cells.insert((listed.cell(), position));
        }
        self.rings.entry(self.ring_of(listed.zone())).or_default().put(position, listed);
    }

    fn remove(&mut self, position: u64) {
        let taken = self.rings.values_mut().find_map(|ring| ring.remove(position));
        if let Some(listed) = taken {
            self.changed = true;
            self.cells.remove(&(listed.cell(), position));
        }
    }

    fn ring_of(&self, zone: u8) -> Option<u8> {
        self.layout.by_zone.then_some(zone)
    }

    /// Puts what is ready into its ring, and takes out what is not.
    fn note(&mut self, backends: &[Backend]) {
        for backend in backends {
            let entry = &backend.entry;
            let (position, ready) = (entry.id.ring_position(), entry.state == ServerState::Ready);
            // One that is listed in another zone or cell than before leaves its earlier ring and cell.
            if !(ready && self.replace(position, backend)) {
                self.remove(position);
                if ready {
                    self.put(position, Listed::new(backend));
                }
            }
        }
        self.rings.retain(|_, ring| !ring.is_empty());
    }

    /// Replaces what is listed of a server that stays in its place. False if it has none, or another one.
    fn replace(&mut self, position: u64, backend: &Backend) -> bool {
        let ring = self.ring_of(backend.entry.zone);
        let Some(known) = self.rings.get_mut(&ring).and_then(|ring| ring.get_mut(position)) else {
            return false;
        };
        let stays = (known.zone(), known.cell()) == (backend.entry.zone, backend.entry.cell);
        if stays {
            *known = Listed::new(backend);
        }
        stays
    }

    /// Chooses the servers that are to be held, of those that are ready.
    fn choose(&mut self) {
        if std::mem::take(&mut self.changed) {
            self.wanted = self.chosen();
        }
    }

    fn chosen(&self) -> BTreeSet<ServerId> {
        let parts = self.rings.values().flat_map(|ring| self.part(ring));
        let mut wanted: BTreeSet<_> =
            parts.clone().map(|(position, _)| ServerId::at_ring_position(*position)).collect();
        if self.layout.whole_cells {
            let cells: BTreeSet<_> = parts.map(|(_, listed)| listed.cell()).collect();
            wanted.extend(cells.into_iter().flat_map(|cell| self.cell(cell)));
        }
        wanted
    }

    /// The ready servers of a cell, or some of them if it is a large one.
    fn cell(&self, cell: u16) -> impl Iterator<Item = ServerId> {
        let all = self.cells.range((cell, 0)..=(cell, u64::MAX));
        all.take(MOST_OF_A_CELL).map(|(_, position)| ServerId::at_ring_position(*position))
    }

    /// The part of a ring that is to be held.
    fn part<'a>(&self, ring: &'a Ring) -> impl Iterator<Item = &'a (u64, Listed)> + Clone {
        let stretch = self.layout.held_range(ring.len(), self.servers);
        ring.round_from(stretch.start).take(stretch.length)
    }

    /// Adds what enters the subset, and what leaves it, beside the servers that are `named` already.
    fn tell_moves(&self, whole: bool, named: &BTreeSet<ServerId>, told: &mut Vec<Backend>) {
        for id in self.wanted.iter().filter(|id| !named.contains(id)) {
            if whole || !self.held.contains(id) {
                told.extend(self.listed(*id, ServerState::Ready));
            }
        }
        if whole {
            return; // what a whole list does not name has left
        }
        // One that is held and not on a ring drains, and is not told of yet that it is gone.
        let left = self.held.iter().filter(|id| !self.wanted.contains(id) && !named.contains(id));
        told.extend(left.filter_map(|id| self.listed(*id, ServerState::Gone)));
    }

    /// A ready server as the list has it, but for its state.
    fn listed(&self, id: ServerId, state: ServerState) -> Option<Backend> {
        let position = id.ring_position();
        let listed = self.rings.values().find_map(|ring| ring.get(position));
        listed.map(|listed| listed.backend(id, state))
    }

    /// Notes what pool and balancer are told.
    fn hold(&mut self, told: &[Backend]) {
        for Backend { entry, .. } in told {
            if entry.state == ServerState::Gone {
                self.held.remove(&entry.id);
            } else {
                self.held.insert(entry.id);
            }
        }
    }

    /// What the balancer is told of the rings.
    fn held_rings(&self) -> Vec<SubsetRing> {
        let held = |(zone, ring): (&Option<u8>, &Ring)| {
            let mut from_first = ring.round_from(self.layout.first_rank(ring.len()));
            let first = from_first.next().map_or(0, |(position, _)| *position);
            SubsetRing { zone: *zone, ready: ring.len(), first }
        };
        self.rings.iter().map(held).collect()
    }
}
