//! Messages between the discovery client and the node that owns it.

use crate::{ListKind, ServerEntry};
use std::net::SocketAddr;

/// A backend: a server's entry as the decision module has it, plus its address. The decision module's
/// `server` and the node's `backend` are the same thing.
#[derive(Clone, Debug)]
pub struct Backend {
    /// The entry that the decision module receives.
    pub entry: ServerEntry,
    /// Its address, as seen from this node; unspecified for a server that is gone because a full list leaves
    /// it out.
    pub address: SocketAddr,
}

/// An incremental update of the server list, or a full one. A long list is sent as several incremental
/// updates.
pub struct ListUpdate {
    /// Whether the entries are an update or the full list, and where they come from.
    pub kind: ListKind,
    /// The backends, each once.
    pub backends: Vec<Backend>,
}

/// A command of the decision module to the discovery client, where lists are requested and not pushed.
pub enum DiscoveryCommand {
    /// Open the watch (`true`) or close it (`false`).
    Subscribe(bool),
    /// Request a full list once.
    Fetch,
}
