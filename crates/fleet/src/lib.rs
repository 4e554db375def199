//! Membership among hillpick nodes: SWIM with suspicion and incarnations, and how far the members' views
//! agree.
//!
//! This crate does no I/O and reads no clock: the caller passes in datagrams and times, and gets back
//! datagrams to send and the time of the next call. The node and the lab drive the same code.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod agreement;
mod health;
mod identity;
mod membership;
mod state_sync;
mod wire;

pub use agreement::{Agreement, Certainty};
pub use health::LocalHealth;
pub use identity::{Address, Identity, Name, NameError, Phase};
pub use membership::{Cause, Change, Counters, MAX_MEMBERS, Member, Membership, Output, Settings};
pub use wire::{MAX_DATAGRAM_BYTES, Rejected};
