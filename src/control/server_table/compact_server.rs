//! The compact entry of a ready server: what the list says of it, in few bytes.

use crate::control::updates::Backend;
use crate::{ServerEntry, ServerId, ServerState};
use std::net::{SocketAddr, SocketAddrV4, SocketAddrV6};
use std::time::Duration;

/// The compact form of a ready server's entry in the list. Its id is not stored: it follows from the ring
/// position.
#[derive(Clone, Debug)]
pub struct CompactEntry {
    address: Address,
    /// Start time in nanoseconds; [`NO_START_TIME`] if the list gives none.
    started: u64,
    weight: f32,
    cell: u16,
    zone: u8,
    kind: u8,
}

/// Stands for a server whose start time is not in the list.
const NO_START_TIME: u64 = u64::MAX;

#[derive(Clone, Debug)]
enum Address {
    V4(SocketAddrV4),
    /// Boxed, as it is rare and would make every entry larger.
    V6(Box<SocketAddrV6>),
}

impl CompactEntry {
    /// The compact form of a backend's entry.
    pub fn new(backend: &Backend) -> Self {
        let ServerEntry { id: _, zone, kind, cell, state: _, weight, started } = backend.entry;
        let nanos = |start: Duration| u64::try_from(start.as_nanos()).unwrap_or(NO_START_TIME - 1);
        let address = match backend.address {
            SocketAddr::V4(address) => Address::V4(address),
            SocketAddr::V6(address) => Address::V6(Box::new(address)),
        };
        CompactEntry { address, started: started.map_or(NO_START_TIME, nanos), weight, cell, zone, kind }
    }

    /// The server's zone.
    pub fn zone(&self) -> u8 {
        self.zone
    }

    /// The server's cell within the zone.
    pub fn cell(&self) -> u16 {
        self.cell
    }

    /// The full entry, with the id and state that are not stored.
    pub fn to_backend(&self, id: ServerId, state: ServerState) -> Backend {
        let &CompactEntry { ref address, started, weight, cell, zone, kind } = self;
        let started = (started != NO_START_TIME).then(|| Duration::from_nanos(started));
        let address = match address {
            Address::V4(address) => SocketAddr::V4(*address),
            Address::V6(address) => SocketAddr::V6(**address),
        };
        Backend { entry: ServerEntry { id, zone, kind, cell, state, weight, started }, address }
    }
}
