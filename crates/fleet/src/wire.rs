//! A datagram between members: a fixed head, and SWIM's own message. Whatever does not fit is named and dropped.

use crate::identity::{Identity, Phase};

/// No datagram is longer (the protocol's bound).
pub const MAX_DATAGRAM_BYTES: usize = 256;
/// What of it the head takes.
pub const HEAD: usize = 30;
/// The most that SWIM's message may take.
pub const BODY: usize = MAX_DATAGRAM_BYTES - HEAD;

const MAGIC: u8 = 0xc7;
/// The format of head and body.
const FORMAT: u8 = 1;

/// Why a datagram is dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, thiserror::Error)]
pub enum Rejected {
    /// It is longer than any may be.
    #[error("longer than a datagram may be")]
    TooLong,
    /// It ends before it should.
    #[error("cut off")]
    Truncated,
    /// It is nothing of this kind.
    #[error("not a datagram of this kind")]
    Garbage,
    /// It has another format.
    #[error("another version of the format")]
    Version,
    /// It belongs to another cluster.
    #[error("of another cluster")]
    Foreign,
    /// It has come before.
    #[error("come before")]
    Replayed,
    /// Its sender bears this node's name.
    #[error("from a process that bears this node's name")]
    SameName,
}

/// The head of a datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Head {
    /// Which cluster it belongs to: a hash of its name.
    pub cluster: u64,
    /// Which of its sender's datagrams it is, in that life.
    pub sequence: u64,
    /// The digest of its sender's view.
    pub digest: u64,
    /// Members in that view.
    pub members: u16,
    /// What its sender is about.
    pub phase: Phase,
}

/// FNV-1a: the same everywhere.
pub fn hash(bytes: &[u8]) -> u64 {
    bytes.iter().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(0x0000_0100_0000_01b3)
    })
}

impl Head {
    /// The whole datagram. The body is no longer than [`BODY`]: SWIM's messages are bounded by it.
    pub fn write(&self, body: &[u8]) -> Vec<u8> {
        let mut data = Vec::with_capacity(HEAD + body.len());
        let phase = match self.phase {
            Phase::Joining => 0,
            Phase::Active => 1,
            Phase::Leaving => 2,
        };
        data.extend([MAGIC, FORMAT, phase, 0]);
        data.extend(self.cluster.to_be_bytes());
        data.extend(self.sequence.to_be_bytes());
        data.extend(self.digest.to_be_bytes());
        data.extend(self.members.to_be_bytes());
        data.extend(body);
        data
    }

    /// The head of a datagram of this cluster, and its body.
    pub fn read(data: &[u8], cluster: u64) -> Result<(Head, &[u8]), Rejected> {
        if data.len() > MAX_DATAGRAM_BYTES {
            return Err(Rejected::TooLong);
        }
        let (head, body) = data.split_at_checked(HEAD).ok_or(Rejected::Truncated)?;
        let number = |at: usize| u64::from_be_bytes(std::array::from_fn(|i| head[at + i]));
        if head[0] != MAGIC {
            return Err(Rejected::Garbage);
        }
        if head[1] != FORMAT {
            return Err(Rejected::Version);
        }
        let phase = match head[2] {
            0 => Phase::Joining,
            1 => Phase::Active,
            2 => Phase::Leaving,
            _ => return Err(Rejected::Garbage),
        };
        let head = Head {
            cluster: number(4),
            sequence: number(12),
            digest: number(20),
            members: u16::from_be_bytes([head[28], head[29]]),
            phase,
        };
        if head.cluster != cluster {
            return Err(Rejected::Foreign);
        }
        Ok((head, body))
    }
}

/// The sender of a body: SWIM's messages begin with it.
pub fn sender(body: &[u8]) -> Result<Identity, Rejected> {
    postcard::take_from_bytes(body).map(|(sender, _)| sender).map_err(decode_error)
}

/// Why a body could not be read.
pub fn decode_error(error: postcard::Error) -> Rejected {
    match error {
        postcard::Error::DeserializeUnexpectedEnd => Rejected::Truncated,
        _ => Rejected::Garbage,
    }
}

/// Which of a sender's datagrams have come: the latest, and the 64 before it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Window {
    latest: u64,
    before: u64,
}

impl Window {
    /// Notes a datagram; false if it has come before, or is so old that nobody can tell.
    pub fn is_new(&mut self, sequence: u64) -> bool {
        if sequence > self.latest {
            let by = sequence - self.latest;
            self.before = if by >= 64 { 0 } else { self.before << by | 1 << (by - 1) };
            self.latest = sequence;
            return true;
        }
        let back = self.latest - sequence;
        let bit = if (1..=64).contains(&back) { 1 << (back - 1) } else { 0 };
        let new = bit != 0 && self.before & bit == 0;
        self.before |= bit;
        new
    }
}

#[cfg(test)]
mod tests;
