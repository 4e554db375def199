//! What hillpick's processes know of one another: membership, by SWIM with suspicion and incarnations, and how far they
//! agree on it.
//!
//! There is no I/O and no clock here: the caller brings bytes and times, and takes bytes and times. The node and the lab
//! drive the same code.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod agreement;
mod health;
mod identity;
mod membership;
mod state_sync;
mod wire;

pub use agreement::{Agreement, Certainty};
pub use health::Health;
pub use identity::{Address, Identity, Name, NameError, Phase};
pub use membership::{Cause, Change, Counters, MAX_MEMBERS, Member, Membership, Output, Settings};
pub use wire::{MAX_DATAGRAM_BYTES, Rejected};
