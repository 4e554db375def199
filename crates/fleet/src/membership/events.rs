//! What a member is told by its core, and what that shows of the others.

use crate::identity::{Address, Identity};
use crate::wire::Rejected;
use std::collections::BTreeMap;
use std::time::Duration;

/// Why a member came or went.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// It was not known before.
    Joined,
    /// It has started anew, or has come back after it was taken for dead.
    Returned,
    /// It said that it leaves.
    Left,
    /// It answered nobody.
    Failed,
}

/// A member has come or gone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// Who.
    pub member: Identity,
    /// How.
    pub cause: Cause,
}

/// Something to be done, or to be known.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// A datagram, of no more than 256 bytes.
    Send {
        /// Where to.
        to: Address,
        /// The datagram.
        data: Vec<u8>,
    },
    /// A member has come or gone.
    Changed(Change),
    /// Another process bears this one's name and has started later: this one is no member any more, until it is
    /// started again.
    Displaced(Identity),
}

/// A member, as it is seen.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    /// Who.
    pub identity: Identity,
    /// Somebody doubts that it lives.
    pub suspect: bool,
    /// SWIM's incarnation of this life.
    pub incarnation: u16,
    /// How long ago it was heard by this node itself, if it was.
    pub heard_ago: Option<Duration>,
}

/// What has been counted.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Datagrams sent, and their bytes.
    pub sent: u64,
    /// Likewise.
    pub sent_bytes: u64,
    /// Datagrams heard and taken in.
    pub received: u64,
    /// Dropped, by why.
    pub rejected: BTreeMap<Rejected, u64>,
    /// Times that others doubted this node.
    pub suspected: u64,
    /// Times that it came back after it was taken for dead.
    pub renewed: u64,
    /// Suspects that were not taken for dead, since they were heard meanwhile.
    pub suspicions_cleared: u64,
    /// Members that failed, and that left.
    pub failed: u64,
    /// Likewise.
    pub left: u64,
}
