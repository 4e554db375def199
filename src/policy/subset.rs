//! The subset: which part of each ring of ready servers a node holds, where the list is too long for all.
//!
//! Parts are stretches of the ring that begin evenly spaced, so that each server is in as many parts as
//! any other, but for one. When a server comes or goes, a part moves by one server at most at either end.
//! A choice looks at fewer servers than a part has, in the same order as if the node held all: a subset
//! changes no decision (`tests/subset.rs`). Where a request may be sent again only within a cell, the cells
//! of the part's servers are held whole, for these requests alone.

use super::constants::LOAD_LEVELS;
use crate::interface::RingLayout;
use crate::state::Balancer;

/// The least that a part may be: judging a server looks at twice as many as are compared at the most.
pub const LEAST_SUBSET: usize = 2 * LOAD_LEVELS;
/// One server more in so many is held before the first in use: that moves to and fro by one as servers
/// come and go, and what is known of a server is forgotten when it leaves.
const BEFORE: usize = 8;

/// Servers in a row on a ring, by rank; past the last one it goes on with the first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RingRange {
    /// The rank of the first one held.
    pub start: usize,
    /// How many are held.
    pub length: usize,
}

impl RingLayout {
    /// The rank of the first server that the node uses, of a ring with so many ready servers.
    pub fn first_rank(&self, ready: usize) -> usize {
        self.node % self.nodes * ready / self.nodes
    }

    /// What the node holds of such a ring: `servers` from the first that it uses, and a few before it.
    pub fn held_range(&self, ready: usize, servers: usize) -> RingRange {
        let before = servers / BEFORE;
        if servers + before >= ready {
            return RingRange { start: 0, length: ready };
        }
        RingRange { start: (self.first_rank(ready) + ready - before) % ready, length: servers + before }
    }
}

impl Balancer {
    /// How the rings are divided, as far as this node knows.
    pub fn ring_layout(&self) -> RingLayout {
        let (node, nodes) = self.place();
        RingLayout { node, nodes, by_zone: self.settings.zones.is_some(), whole_cells: self.keyed_in_cells }
    }

    /// How many servers are ready, held or not.
    pub(super) fn ready(&self) -> usize {
        if self.held_rings.is_empty() {
            return self.ready_ring.len();
        }
        self.held_rings.iter().map(|ring| ring.ready).sum()
    }
}
