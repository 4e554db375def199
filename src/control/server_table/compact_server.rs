//! A ready server in few bytes.

use crate::control::updates::Backend;
use crate::{ServerEntry, ServerId, ServerState};
use std::net::{SocketAddr, SocketAddrV4, SocketAddrV6};
use std::time::Duration;

/// What the list says of a ready server, without its number, which its ring position tells.
#[derive(Clone, Debug)]
pub struct Listed {
    address: Address,
    /// In nanoseconds; [`LONG_AGO`] for none.
    started: u64,
    weight: f32,
    cell: u16,
    zone: u8,
    kind: u8,
}

/// Stands for a server that the list gives no start.
const LONG_AGO: u64 = u64::MAX;

#[derive(Clone, Debug)]
enum Address {
    V4(SocketAddrV4),
    /// Rare: the space is taken where it is used.
    V6(Box<SocketAddrV6>),
}

impl Listed {
    /// What is kept of an entry.
    pub fn new(backend: &Backend) -> Self {
        let ServerEntry { id: _, zone, kind, cell, state: _, weight, started } = backend.entry;
        let nanos = |at: Duration| u64::try_from(at.as_nanos()).unwrap_or(LONG_AGO - 1);
        let address = match backend.address {
            SocketAddr::V4(address) => Address::V4(address),
            SocketAddr::V6(address) => Address::V6(Box::new(address)),
        };
        Listed { address, started: started.map_or(LONG_AGO, nanos), weight, cell, zone, kind }
    }

    /// The zone it is in.
    pub fn zone(&self) -> u8 {
        self.zone
    }

    /// Its cell within the zone.
    pub fn cell(&self) -> u16 {
        self.cell
    }

    /// The entry again.
    pub fn backend(&self, id: ServerId, state: ServerState) -> Backend {
        let &Listed { ref address, started, weight, cell, zone, kind } = self;
        let started = (started != LONG_AGO).then(|| Duration::from_nanos(started));
        let address = match address {
            Address::V4(address) => SocketAddr::V4(*address),
            Address::V6(address) => SocketAddr::V6(**address),
        };
        Backend { entry: ServerEntry { id, zone, kind, cell, state, weight, started }, address }
    }
}
