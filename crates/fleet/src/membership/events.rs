//! What a member reports to its caller: outputs, changes of membership, counters, and how it sees each other
//! member.

use crate::identity::{Address, Identity};
use crate::wire::Rejected;
use std::collections::BTreeMap;
use std::time::Duration;

/// Why a member joined or went.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// It was not known before.
    Joined,
    /// It has restarted, or has rejoined after it was declared dead.
    Returned,
    /// It announced that it leaves.
    Left,
    /// It answered no probe and was declared dead.
    Failed,
}

/// A member has joined or gone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// The member.
    pub member: Identity,
    /// Why it joined or went.
    pub cause: Cause,
}

/// Something that the caller has to do or to know.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// A datagram to send.
    Send {
        /// The receiver.
        to: Address,
        /// The datagram, at most 256 bytes.
        data: Vec<u8>,
    },
    /// A member has joined or gone.
    Changed(Change),
    /// Another process with this node's name started later: this one is no longer a member, until it is
    /// started again.
    Displaced(Identity),
}

/// Another member, as this node sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    /// The member.
    pub identity: Identity,
    /// Whether it is suspected to have failed.
    pub suspect: bool,
    /// The SWIM incarnation of this start of it.
    pub incarnation: u16,
    /// How long ago this node last received a datagram from it; none if it never did.
    pub heard_ago: Option<Duration>,
}

/// Counters since the start.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Datagrams sent.
    pub sent: u64,
    /// The bytes of those datagrams.
    pub sent_bytes: u64,
    /// Datagrams received and accepted.
    pub received: u64,
    /// Datagrams dropped, by the reason.
    pub rejected: BTreeMap<Rejected, u64>,
    /// Suspicions of this node by others that it received.
    pub suspected: u64,
    /// How often it rejoined after it was declared dead, or moved its start after that of an earlier process.
    pub renewed: u64,
    /// Suspects that were not declared dead, since they were heard from after the suspicion began.
    pub suspicions_cleared: u64,
    /// Members that failed.
    pub failed: u64,
    /// Members that left.
    pub left: u64,
}
