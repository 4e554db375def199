//! Subsetting: which part of each ring of ready servers a node holds where the list is too long for all.
//!
//! Parts are ranges of the ring with evenly spaced starts, so that the numbers of parts that hold a server
//! differ by at most one between servers. When a server is added or removed, a part moves by at most one
//! server at either end. Server selection looks at fewer servers than a part has, in the same order as with
//! the whole list, so a subset changes no decision (`tests/subset.rs`). Where requests may be retried only
//! within a cell, the cells of the part's servers are held whole, for these requests alone.

use super::constants::LOAD_LEVELS;
use crate::interface::RingLayout;
use crate::state::Balancer;

/// The fewest servers that a part may have: the decision to eject a server looks at twice as many as are ever
/// compared for a request.
pub const LEAST_SUBSET: usize = 2 * LOAD_LEVELS;
/// One more server for every eight is held before the first in use. The first in use moves back and forth
/// by one as servers are added and removed, and what is known of a server is lost when it leaves the part.
const LEADING_DIVISOR: usize = 8;

/// A range of servers on a ring, by rank; it wraps around at the ring's end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RingRange {
    /// The rank of its first server.
    pub start: usize,
    /// The number of its servers.
    pub length: usize,
}

impl RingLayout {
    /// The rank of the first server that the node uses on a ring of `ready` servers.
    pub fn first_rank(&self, ready: usize) -> usize {
        self.node % self.nodes * ready / self.nodes
    }

    /// The range that the node holds of a ring of `ready` servers: this many `servers` from the first in use
    /// on, and a few before it.
    pub fn held_range(&self, ready: usize, servers: usize) -> RingRange {
        let leading = servers / LEADING_DIVISOR;
        if servers + leading >= ready {
            return RingRange { start: 0, length: ready };
        }
        RingRange { start: (self.first_rank(ready) + ready - leading) % ready, length: servers + leading }
    }
}

impl Balancer {
    /// How the rings are divided among the nodes, as far as this node knows.
    pub fn ring_layout(&self) -> RingLayout {
        let (node, nodes) = self.ring_place();
        RingLayout { node, nodes, by_zone: self.settings.zones.is_some(), whole_cells: self.cell_retries }
    }

    /// The number of ready servers, held or not.
    pub(super) fn ready_count(&self) -> usize {
        if self.subset_rings.is_empty() {
            return self.ready_ring.len();
        }
        self.subset_rings.iter().map(|ring| ring.ready).sum()
    }
}
