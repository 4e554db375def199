//! What the hollow nodes of a process share, and what is seen of each.

use crate::scale::messages::Datagrams;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::IpAddr;

/// Changes whose times are kept between two reports.
const CHANGES_KEPT: usize = 4_096;

/// Shared by all hollow nodes of a process.
#[derive(Default)]
pub struct Shared {
    datagrams: Cell<Datagrams>,
    /// Regions that are cut off, by their address.
    cut: RefCell<BTreeSet<IpAddr>>,
    /// Made-up requests, and those that were served.
    pub requests: Cell<u64>,
    /// Likewise.
    pub served: Cell<u64>,
    /// Settings that were refused.
    pub refused: Cell<u32>,
    /// Since the last report: how long starts took, in ms.
    pub ready_ms: RefCell<Vec<u32>>,
    /// Since the last report: times until changes of the list were in force.
    pub changes: RefCell<Times>,
    /// Likewise for the settings.
    pub settings: RefCell<Times>,
}

/// By when a change was made, in ms of Unix time: how long it took until it was in force at each node, in ms.
#[derive(Default)]
pub struct Times(BTreeMap<u64, Vec<u32>>);

impl Times {
    /// Notes a change that is in force now.
    pub fn note(&mut self, made_ms: u64, now_ms: u64) {
        if self.0.len() < CHANGES_KEPT || self.0.contains_key(&made_ms) {
            self.0.entry(made_ms).or_default().push(now_ms.saturating_sub(made_ms) as u32);
        }
    }

    /// Those since the last call.
    pub fn take(&mut self) -> BTreeMap<u64, Vec<u32>> {
        std::mem::take(&mut self.0)
    }
}

impl Shared {
    /// Counts a datagram.
    pub fn count(&self, count: impl FnOnce(&mut Datagrams)) {
        let mut datagrams = self.datagrams.get();
        count(&mut datagrams);
        self.datagrams.set(datagrams);
    }

    /// All datagrams so far.
    pub fn datagrams(&self) -> Datagrams {
        self.datagrams.get()
    }

    /// A region is cut off, or healed.
    pub fn cut(&self, region: IpAddr, off: bool) {
        let mut cut = self.cut.borrow_mut();
        if off {
            cut.insert(region);
        } else {
            cut.remove(&region);
        }
    }

    /// Whether there is a cut between two addresses.
    pub fn is_cut(&self, one: Option<IpAddr>, other: IpAddr) -> bool {
        let cut = self.cut.borrow();
        !cut.is_empty()
            && one != Some(other)
            && (cut.contains(&other) || one.is_some_and(|it| cut.contains(&it)))
    }
}

/// What is seen of a node.
#[derive(Clone, Debug, Default)]
pub struct Seen {
    /// It has a list, and serves.
    pub ready: bool,
    /// The latest start of a server on its list, in ms of Unix time.
    pub held_ms: u64,
    /// The version of its settings.
    pub settings: u32,
    /// How many members it knows, itself included, and their digest.
    pub view: Option<(usize, u64)>,
    /// It knows that nearly all others agree.
    pub agreed: bool,
}
