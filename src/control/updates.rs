//! What the discovery client and its owner tell each other: types alone.

use crate::{ListKind, ServerEntry};
use std::net::SocketAddr;

/// An entry of the server list, and where that backend listens.
#[derive(Clone, Debug)]
pub struct Backend {
    /// What the module is told of it.
    pub entry: ServerEntry,
    /// Its address, as seen from this node; unspecified for one that is gone because a whole list leaves it out.
    pub address: SocketAddr,
}

/// A change of the server list, or the whole of it. What a long list changes comes as several changes.
pub struct ListUpdate {
    /// How the entries are to be taken.
    pub kind: ListKind,
    /// The entries, each backend once.
    pub backends: Vec<Backend>,
}

/// What the module asks of discovery, where the list must be asked for.
pub enum DiscoveryCommand {
    /// Open the watch, or close it.
    Subscribe(bool),
    /// Ask for the whole list once.
    Fetch,
}
