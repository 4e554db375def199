//! Who a member is: a name that is its own, and what tells one life of it from another.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::net::SocketAddrV4;

/// A member's name: 1 to 24 visible ASCII characters. It is the same after a restart.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Name(String);

/// Why a text is no name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a member's name has 1 to 24 visible ASCII characters")]
pub struct BadName;

impl TryFrom<String> for Name {
    type Error = BadName;

    fn try_from(text: String) -> Result<Self, BadName> {
        let fits = (1..=24).contains(&text.len()) && text.bytes().all(|byte| byte.is_ascii_graphic());
        if fits { Ok(Name(text)) } else { Err(BadName) }
    }
}

impl From<Name> for String {
    fn from(name: Name) -> String {
        name.0
    }
}

impl fmt::Display for Name {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.write_str(&self.0)
    }
}

/// Where a member is reached. On the platform each node sees the others at addresses of its own, and only a node's
/// number in the tier means the same to all.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Address {
    /// Its number in the tier: its place in every node's list of peers.
    Seat(u16),
    /// One that all see alike.
    Socket(SocketAddrV4),
}

impl fmt::Display for Address {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Address::Seat(seat) => write!(out, "seat {seat}"),
            Address::Socket(address) => write!(out, "{address}"),
        }
    }
}

/// One life of a member.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Identity {
    /// Its name.
    pub name: Name,
    /// When its process started, by its own wall clock, in ms: of two lives of a name the later one is the member. It
    /// is compared with no other clock than that of the same name's lives.
    pub started_ms: u64,
    /// How often it has come back after it was taken for dead.
    pub renewed: u16,
    /// Where it is.
    pub address: Address,
    /// Its zone.
    pub zone: u8,
    /// The version of its program.
    pub program: u16,
}

impl foca::Identity for Identity {
    type Addr = Name;

    fn renew(&self) -> Option<Self> {
        Some(Identity { renewed: self.renewed.checked_add(1)?, ..self.clone() })
    }

    fn addr(&self) -> Name {
        self.name.clone()
    }

    fn win_addr_conflict(&self, adversary: &Self) -> bool {
        (self.started_ms, self.renewed, self.address)
            > (adversary.started_ms, adversary.renewed, adversary.address)
    }
}

/// What a member is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// It knows nobody yet.
    Joining,
    /// It takes its part.
    Active,
    /// It is about to leave: told apart from failure.
    Leaving,
}
