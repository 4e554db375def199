//! The identity of a member: its unique name, and what distinguishes one start of its process from another.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::net::SocketAddrV4;

/// The greatest length of a name.
const MAX_NAME_BYTES: usize = 24;

/// A member's name: 1 to 24 visible ASCII characters. It stays the same over restarts. It is stored inline,
/// without an allocation, since it is copied wherever SWIM scans all members.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Name([u8; MAX_NAME_BYTES]);

/// The error for a text that is not a valid name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a member's name has 1 to 24 visible ASCII characters")]
pub struct NameError;

impl TryFrom<&str> for Name {
    type Error = NameError;

    fn try_from(text: &str) -> Result<Self, NameError> {
        let fits =
            (1..=MAX_NAME_BYTES).contains(&text.len()) && text.bytes().all(|byte| byte.is_ascii_graphic());
        // The padding is 0, less than any character of a name, so names sort as their texts do.
        let mut bytes = [0; MAX_NAME_BYTES];
        bytes.iter_mut().zip(text.bytes()).for_each(|(byte, character)| *byte = character);
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
    /// The name as text.
    pub fn as_str(&self) -> &str {
        let length = self.0.iter().position(|byte| *byte == 0).unwrap_or(MAX_NAME_BYTES);
        std::str::from_utf8(&self.0[..length]).unwrap_or_default() // always ASCII, as `try_from` checks
    }
}

impl From<Name> for String {
    fn from(name: Name) -> String {
        name.as_str().to_string()
    }
}

impl fmt::Display for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// Where a member is reached. On the platform each node sees the others at different socket addresses, so
/// that only a node's number in the fleet means the same to all nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Address {
    /// The node's number in the fleet: its index in every node's list of peers.
    #[serde(rename = "Seat")] // its name in files written by earlier versions
    Node(u16),
    /// A socket address that is the same for all nodes.
    Socket(SocketAddrV4),
}

impl fmt::Display for Address {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Address::Node(number) => write!(f, "node {number}"),
            Address::Socket(address) => write!(f, "{address}"),
        }
    }
}

/// One start of a member's process.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Identity {
    /// The member's name.
    pub name: Name,
    /// When the process started, by its own wall clock, in ms of Unix time. Of two processes with one name
    /// the one that started later is the member. Only start times of the same name are compared, never those
    /// of different members.
    pub started_ms: u64,
    /// How often this process has rejoined after it was declared dead.
    pub renewed: u16,
    /// Where the member is reached.
    pub address: Address,
    /// The member's zone.
    pub zone: u8,
    /// The version of the member's program.
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

/// What stage of its membership a node is in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// It knows no other member yet.
    Joining,
    /// It is a member.
    Active,
    /// It is leaving on purpose, which others tell apart from a failure.
    Leaving,
}
