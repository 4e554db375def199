//! How large a world is.

use serde::Deserialize;

/// How many nodes and servers there are.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(try_from = "String")]
pub struct Size {
    /// Nodes.
    pub nodes: usize,
    /// Servers.
    pub servers: usize,
}

impl TryFrom<String> for Size {
    type Error = String;

    fn try_from(text: String) -> Result<Self, String> {
        let parts = text.split_once('x').and_then(|(n, s)| Some((n.parse().ok()?, s.parse().ok()?)));
        parts
            .map(|(nodes, servers)| Size { nodes, servers })
            .ok_or_else(|| format!("{text:?} is no size: expected nodes x servers, such as \"300x200\""))
    }
}

impl std::fmt::Display for Size {
    fn fmt(&self, out: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(out, "{}x{}", self.nodes, self.servers)
    }
}
