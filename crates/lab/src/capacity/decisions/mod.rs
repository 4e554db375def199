//! Where decisions stop working as a fleet grows, in closed form. Each function says what it assumes; `tests` holds it against
//! a direct simulation or an exact small case. Nothing here is part of the node: the constants that repeat one of the node's
//! name where it stands.

pub mod allowance;
pub mod arrivals;
pub mod cold;
pub mod connections;
pub mod evidence;
pub mod probes;
pub mod retries;
#[cfg(test)]
mod tests;

/// How a node meets the servers that it spreads its requests over.
#[derive(Clone, Copy, Debug)]
pub struct Meeting {
    /// Nodes of the fleet.
    pub nodes: f64,
    /// Servers of the fleet.
    pub servers: f64,
    /// Requests a second that one node has.
    pub per_node_s: f64,
    /// Servers that one node uses, each as often as another.
    pub subset: f64,
}

impl Meeting {
    /// Requests a second from one node to one server that it uses.
    pub fn rate(&self) -> f64 {
        self.per_node_s / self.subset
    }

    /// Seconds between two of them, in the mean.
    pub fn interval_s(&self) -> f64 {
        1.0 / self.rate()
    }

    /// Nodes that use one server, in the mean: with subsets that are even, each server has this many or one fewer or more.
    pub fn nodes_per_server(&self) -> f64 {
        self.nodes * self.subset / self.servers
    }

    /// The spread (standard deviation over mean) of what servers are sent, where nodes' rates have the spread `uneven` and
    /// nobody corrects it.
    pub fn load_spread(&self, uneven: f64) -> f64 {
        uneven / self.nodes_per_server().sqrt()
    }
}
