//! The addresses of the other nodes, as the configuration has them.

use hillpick_fleet::Address;
use std::collections::HashSet;
use std::net::SocketAddr;

/// The configured addresses of a fleet's nodes, by number and as a set: a datagram is looked up among all of them.
pub(super) struct PeerAddresses {
    by_number: Vec<SocketAddr>,
    all: HashSet<SocketAddr>,
}

impl PeerAddresses {
    /// Each node's address, by its number.
    pub(super) fn new(by_number: Vec<SocketAddr>) -> Self {
        PeerAddresses { all: by_number.iter().copied().collect(), by_number }
    }

    /// The address of a node.
    pub(super) fn of(&self, number: u16) -> Option<SocketAddr> {
        self.by_number.get(usize::from(number)).copied()
    }

    /// Whether a node has this address.
    pub(super) fn contains(&self, address: &SocketAddr) -> bool {
        self.all.contains(address)
    }

    /// Where others may be found: at the configured addresses, in their order, and then at those that were saved, each
    /// once. With `advertised`, nodes know each other by addresses and not by number.
    pub(super) fn seeds(&self, advertised: bool, saved: impl Iterator<Item = Address>) -> Vec<Address> {
        let address = |(number, peer): (usize, &SocketAddr)| match peer {
            SocketAddr::V4(peer) if advertised => Address::Socket(*peer),
            _ => Address::Node(number as u16),
        };
        let mut seeds: Vec<_> = self.by_number.iter().enumerate().map(address).collect();
        let mut known: HashSet<_> = seeds.iter().copied().collect();
        seeds.extend(saved.filter(|address| known.insert(*address)));
        seeds
    }
}
