//! Connections that close between two uses. A node's requests to one server are taken as Poisson, and as short beside the
//! time between them, so that each finds the connection of the one before idle or closed.

/// The part of the servers' idle close after which the node closes (`Pool::idle_limit` in `src/bin/sillward/backend.rs`).
pub const NODE_CLOSES_AT: f64 = 0.75;

/// How long an idle connection is kept, in s, where servers close theirs after `idle_close_s`.
pub fn kept_s(idle_close_s: f64) -> f64 {
    NODE_CLOSES_AT * idle_close_s
}

/// The share of requests that pay for a new connection: no request came in the time `kept_s` before, at `rate` requests a
/// second from the node to the server.
pub fn share_that_dials(rate: f64, kept_s: f64) -> f64 {
    (-rate * kept_s).exp()
}

/// The largest subset with which at most the share `most` of requests dials, for a node of `per_node_s` requests a second.
pub fn largest_subset(per_node_s: f64, kept_s: f64, most: f64) -> f64 {
    per_node_s * kept_s / (1.0 / most).ln()
}

/// The connections that a server holds from `nodes` nodes with `rate` requests a second each.
pub fn held_by_server(nodes: f64, rate: f64, kept_s: f64) -> f64 {
    nodes * (1.0 - share_that_dials(rate, kept_s))
}
