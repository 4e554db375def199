//! The decision module of a load-balancing HTTP/1.1 proxy, and the control side of its nodes.
//!
//! A [`Balancer`] receives the [`Event`]s of one node and returns [`Action`]s: where each request is sent,
//! and when it is retried, refused or failed. Servers are selected by Join-Up-To(m). It does no I/O, reads
//! no clock and shares no state with other nodes, and it is deterministic: the same settings, seed and
//! events always give the same actions. Beside it, [`settings`] parses a node's settings, and [`control`]
//! keeps a node configured and its server list up to date.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod control;
mod interface;
mod policy;
pub mod settings;
mod state;

pub use interface::*;
pub use policy::Balancer;
pub use policy::repeats::{ExecutedRequests, MAX_REMEMBERED_REQUESTS, RequestFingerprint};
pub use policy::subset::{LEAST_SUBSET, RingRange};

/// The README's example, compiled as a test.
#[cfg(doctest)]
#[doc = include_str!("../README.md")]
struct Readme;
