//! The server table of a node that holds a subset of a long list.
//!
//! The table keeps a compact entry of some tens of bytes for each ready server, enough to add it to the
//! subset later. The balancer and the connection pool receive the subset alone. Subsetting is deterministic:
//! `src/policy/subset.rs` computes from the node's rank which range of each ring it holds. Servers that are
//! not ready are kept only while they are held.

mod compact_server;
mod ring;
#[cfg(test)]
mod tests;

use crate::control::updates::{Backend, ListUpdate};
use crate::{LEAST_SUBSET, ListKind, RingLayout, ServerId, ServerState, SubsetRing};
use compact_server::CompactEntry;
use ring::Ring;
use std::collections::{BTreeMap, BTreeSet};

/// An update of the list reduced to the subset, for the connection pool and the balancer. The rings are
/// applied first.
pub struct SubsetUpdate {
    /// The rings of which the node holds a range.
    pub rings: Vec<SubsetRing>,
    /// The servers that enter the subset, change in it or leave it.
    pub update: ListUpdate,
}

/// All ready servers of the list, and the ids of the servers that the node holds.
///
/// Its memory is bounded: by the number of ready servers, which is at most
/// [`Config::max_listed_servers`](crate::control::config::Config), at [`LISTED_SERVER_BYTES`] each. The
/// number of held servers is bounded by the configured size of the subset for each ring, times the size of a
/// cell where cells are held whole, plus the held servers that drain.
pub struct ServerTable {
    /// How many servers of each ring are held, counted from the first one that the node uses.
    subset_size: usize,
    layout: RingLayout,
    /// One ring for each zone, or a single one of all servers under `None`.
    rings: BTreeMap<Option<u8>, Ring>,
    /// Cell and ring position of each ready server; empty where cells are not held whole.
    cells: BTreeSet<(u16, u64)>,
    /// The ready servers that the node is to hold.
    selected: BTreeSet<ServerId>,
    /// Whether servers or layout have changed since `selected` was computed.
    changed: bool,
    /// The servers that pool and balancer hold: those passed to them that have not been reported as gone
    /// since.
    held: BTreeSet<ServerId>,
}

/// Upper bound on a node's memory for each listed server where a subset is held, in bytes: its entry here and
/// in the discovery client, and its part of a list that is being applied, which is most of it.
/// `measure_subset_costs` (`tests/subset_node/costs.rs`) measures it.
pub const LISTED_SERVER_BYTES: usize = 512;

/// The most servers of one cell that are held: as many as one server selection compares.
const MAX_HELD_PER_CELL: usize = LEAST_SUBSET / 2;

impl ServerTable {
    /// An empty table that is to hold `subset_size` servers of each ring.
    pub fn new(subset_size: usize, layout: RingLayout) -> Self {
        ServerTable {
            subset_size,
            layout,
            rings: BTreeMap::new(),
            cells: BTreeSet::new(),
            selected: BTreeSet::new(),
            changed: false,
            held: BTreeSet::new(),
        }
    }

    /// Applies an update of the list, and returns what it changes in the subset.
    pub fn apply(&mut self, update: ListUpdate, layout: RingLayout) -> SubsetUpdate {
        let ListUpdate { kind, backends } = update;
        if kind == ListKind::Failed {
            return SubsetUpdate { rings: self.held_rings(), update: ListUpdate { kind, backends } };
        }
        let full_list = matches!(kind, ListKind::Full | ListKind::Cached);
        self.apply_layout(layout);
        if full_list {
            self.rings.clear();
            self.cells.clear();
            self.changed = true;
        }
        self.update_rings(&backends);
        self.update_selection();
        let mut changes = Vec::new();
        let mut included = BTreeSet::new();
        for backend in backends {
            let id = backend.entry.id;
            let ready = backend.entry.state == ServerState::Ready;
            let in_subset = if ready { self.selected.contains(&id) } else { self.held.contains(&id) };
            if in_subset {
                included.insert(id);
                changes.push(backend);
            }
        }
        self.add_moves(full_list, &included, &mut changes);
        if full_list {
            self.held.clear();
        }
        self.record_held(&changes);
        SubsetUpdate { rings: self.held_rings(), update: ListUpdate { kind, backends: changes } }
    }

    /// Changes how the rings are divided among the nodes, and returns what that changes in the subset; `None`
    /// if the layout is the same as before.
    pub fn set_layout(&mut self, layout: RingLayout) -> Option<SubsetUpdate> {
        if layout == self.layout {
            return None;
        }
        self.apply_layout(layout);
        self.update_selection();
        let mut changes = Vec::new();
        self.add_moves(false, &BTreeSet::new(), &mut changes);
        self.record_held(&changes);
        let update = ListUpdate { kind: ListKind::Subset, backends: changes };
        Some(SubsetUpdate { rings: self.held_rings(), update })
    }

    /// The number of ready servers in the list.
    pub fn ready_count(&self) -> usize {
        self.rings.values().map(Ring::len).sum()
    }

    /// The number of held servers, including those that drain.
    pub fn held_count(&self) -> usize {
        self.held.len()
    }

    /// Sets the layout, and rebuilds rings and cells if servers are grouped differently by it.
    fn apply_layout(&mut self, layout: RingLayout) {
        let previous = std::mem::replace(&mut self.layout, layout);
        self.changed |= layout != previous;
        if (layout.by_zone, layout.whole_cells) == (previous.by_zone, previous.whole_cells) {
            return;
        }
        self.cells.clear();
        let all = std::mem::take(&mut self.rings).into_values().flat_map(Ring::into_slots);
        for (position, entry) in all {
            self.insert(position, entry);
        }
    }

    /// Adds a ready server to its ring and cell.
    fn insert(&mut self, position: u64, entry: CompactEntry) {
        self.changed = true;
        if self.layout.whole_cells {
            self.cells.insert((entry.cell(), position));
        }
        self.rings.entry(self.ring_key(entry.zone())).or_default().insert(position, entry);
    }

    /// Removes a server from its ring and cell, if it is there.
    fn remove(&mut self, position: u64) {
        let removed = self.rings.values_mut().find_map(|ring| ring.remove(position));
        if let Some(entry) = removed {
            self.changed = true;
            self.cells.remove(&(entry.cell(), position));
        }
    }

    /// The key in `rings` of a zone's ring.
    fn ring_key(&self, zone: u8) -> Option<u8> {
        self.layout.by_zone.then_some(zone)
    }

    /// Inserts ready servers into their rings, and removes all others.
    fn update_rings(&mut self, backends: &[Backend]) {
        for backend in backends {
            let entry = &backend.entry;
            let (position, ready) = (entry.id.ring_position(), entry.state == ServerState::Ready);
            // A server whose zone or cell has changed is removed from its previous ring and cell first.
            if !(ready && self.replace(position, backend)) {
                self.remove(position);
                if ready {
                    self.insert(position, CompactEntry::new(backend));
                }
            }
        }
        self.rings.retain(|_, ring| !ring.is_empty());
    }

    /// Replaces the entry of a server whose zone and cell are unchanged; false if it is not in the table or
    /// they changed.
    fn replace(&mut self, position: u64, backend: &Backend) -> bool {
        let ring_key = self.ring_key(backend.entry.zone);
        let Some(known) = self.rings.get_mut(&ring_key).and_then(|ring| ring.get_mut(position)) else {
            return false;
        };
        let unmoved = (known.zone(), known.cell()) == (backend.entry.zone, backend.entry.cell);
        if unmoved {
            *known = CompactEntry::new(backend);
        }
        unmoved
    }

    /// Selects the ready servers that are to be held, if servers or layout have changed.
    fn update_selection(&mut self) {
        if std::mem::take(&mut self.changed) {
            self.selected = self.select();
        }
    }

    /// The ready servers in the held ranges, and the other servers of their cells where cells are held whole.
    fn select(&self) -> BTreeSet<ServerId> {
        let ranges = self.rings.values().flat_map(|ring| self.held_range(ring));
        let mut selected: BTreeSet<_> =
            ranges.clone().map(|(position, _)| ServerId::at_ring_position(*position)).collect();
        if self.layout.whole_cells {
            let cells: BTreeSet<_> = ranges.map(|(_, entry)| entry.cell()).collect();
            selected.extend(cells.into_iter().flat_map(|cell| self.cell_servers(cell)));
        }
        selected
    }

    /// The ready servers of a cell, at most [`MAX_HELD_PER_CELL`] of them.
    fn cell_servers(&self, cell: u16) -> impl Iterator<Item = ServerId> {
        let all = self.cells.range((cell, 0)..=(cell, u64::MAX));
        all.take(MAX_HELD_PER_CELL).map(|(_, position)| ServerId::at_ring_position(*position))
    }

    /// The range of a ring that is to be held.
    fn held_range<'a>(&self, ring: &'a Ring) -> impl Iterator<Item = &'a (u64, CompactEntry)> + Clone {
        let range = self.layout.held_range(ring.len(), self.subset_size);
        ring.iter_from_rank(range.start).take(range.length)
    }

    /// Adds the servers that enter the subset and those that leave it to `changes`, apart from those
    /// `included` already.
    fn add_moves(&self, full_list: bool, included: &BTreeSet<ServerId>, changes: &mut Vec<Backend>) {
        for id in self.selected.iter().filter(|id| !included.contains(id)) {
            if full_list || !self.held.contains(id) {
                changes.extend(self.backend(*id, ServerState::Ready));
            }
        }
        if full_list {
            return; // a server that a full list does not contain counts as gone
        }
        // A held server that is on no ring is draining: it stays until the list reports it as gone, and
        // `backend` returns nothing for it.
        let left = self.held.iter().filter(|id| !self.selected.contains(id) && !included.contains(id));
        changes.extend(left.filter_map(|id| self.backend(*id, ServerState::Gone)));
    }

    /// The full entry of a ready server, with the given state.
    fn backend(&self, id: ServerId, state: ServerState) -> Option<Backend> {
        let position = id.ring_position();
        let entry = self.rings.values().find_map(|ring| ring.get(position));
        entry.map(|entry| entry.to_backend(id, state))
    }

    /// Records which servers pool and balancer hold after these changes.
    fn record_held(&mut self, changes: &[Backend]) {
        for Backend { entry, .. } in changes {
            if entry.state == ServerState::Gone {
                self.held.remove(&entry.id);
            } else {
                self.held.insert(entry.id);
            }
        }
    }

    /// The rings as the balancer needs them: their length, and the first server that this node uses.
    fn held_rings(&self) -> Vec<SubsetRing> {
        let summary = |(zone, ring): (&Option<u8>, &Ring)| {
            let mut from_first = ring.iter_from_rank(self.layout.first_rank(ring.len()));
            let first = from_first.next().map_or(0, |(position, _)| *position);
            SubsetRing { zone: *zone, ready: ring.len(), first }
        };
        self.rings.iter().map(summary).collect()
    }
}
