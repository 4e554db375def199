//! Who a member is: a name that is its own, and what tells one life of it from another.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::net::SocketAddrV4;

/// The longest name, in bytes.
const LONGEST: usize = 24;

/// A member's name: 1 to 24 visible ASCII characters. It is the same after a restart. It is copied where SWIM looks
/// through all members, and so has no room of its own elsewhere.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Name([u8; LONGEST]);

/// Why a text is no name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a member's name has 1 to 24 visible ASCII characters")]
pub struct NameError;

impl TryFrom<&str> for Name {
    type Error = NameError;

    fn try_from(text: &str) -> Result<Self, NameError> {
        let fits = (1..=LONGEST).contains(&text.len()) && text.bytes().all(|byte| byte.is_ascii_graphic());
        // What follows a name is 0, less than any of its characters: names are in the order of their texts.
        let mut bytes = [0; LONGEST];
        bytes.iter_mut().zip(text.bytes()).for_each(|(byte, of)| *byte = of);
        if fits { Ok(Name(bytes)) } else { Err(NameError) }
    }
}

impl TryFrom<String> for Name {
    type Error = NameError;

    fn try_from(text: String) -> Result<Self, NameError> {
        Name::try_from(text.as_str())
    }
}

impl Name {
    /// Its text.
    pub fn as_str(&self) -> &str {
        let length = self.0.iter().position(|byte| *byte == 0).unwrap_or(LONGEST);
        std::str::from_utf8(&self.0[..length]).unwrap_or_default() // ASCII, as checked
    }
}

impl From<Name> for String {
    fn from(name: Name) -> String {
        name.as_str().to_string()
    }
}

impl fmt::Display for Name {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.write_str(self.as_str())
    }
}

/// Where a member is reached. On the platform each node sees the others at addresses of its own, and only a node's
/// number in the fleet means the same to all.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Address {
    /// Its number in the fleet: its place in every node's list of peers.
    #[serde(rename = "Seat")] // the name in files that were saved before
    Node(u16),
    /// One that all see alike.
    Socket(SocketAddrV4),
}

impl fmt::Display for Address {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Address::Node(number) => write!(out, "node {number}"),
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
    pub program_version: u16,
}

impl foca::Identity for Identity {
    type Addr = Name;

    fn renew(&self) -> Option<Self> {
        Some(Identity { renewed: self.renewed.checked_add(1)?, ..self.clone() })
    }

    fn addr(&self) -> Name {
        self.name
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
