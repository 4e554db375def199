//! The configured addresses of the nodes, and the seed addresses made from them.

use hillpick_fleet::Address;
use std::collections::HashSet;
use std::net::SocketAddr;

/// The configured addresses of a fleet's nodes, by number and as a hash set, in which the sender of each
/// datagram is looked up.
pub(super) struct PeerAddresses {
    by_number: Vec<SocketAddr>,
    all: HashSet<SocketAddr>,
}

impl PeerAddresses {
    /// From the nodes' addresses, ordered by node number.
    pub(super) fn new(by_number: Vec<SocketAddr>) -> Self {
        PeerAddresses { all: by_number.iter().copied().collect(), by_number }
    }

    /// The address of the node with this number.
    pub(super) fn by_number(&self, number: u16) -> Option<SocketAddr> {
        self.by_number.get(usize::from(number)).copied()
    }

    /// Whether this is the address of a node.
    pub(super) fn contains(&self, address: &SocketAddr) -> bool {
        self.all.contains(address)
    }

    /// The seed addresses for joining: the configured addresses in their order, then the saved ones, without
    /// duplicates. With `advertised`, nodes identify each other by socket address instead of by number.
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
