//! The format of datagrams between members: a header of fixed size, then a body, mostly a SWIM message. A
//! datagram that can't be accepted is dropped, and counted by the reason in [`Rejected`].

use crate::identity::{Identity, Phase};

/// The greatest length of a datagram, set by the platform's protocol.
pub const MAX_DATAGRAM_BYTES: usize = 256;
/// The length of the header.
pub const HEADER_BYTES: usize = 30;
/// The greatest length of a body.
pub const MAX_BODY_BYTES: usize = MAX_DATAGRAM_BYTES - HEADER_BYTES;

/// The offset in the header of the byte that says of what kind the body is.
pub const KIND_OFFSET: usize = 3;

/// The first byte of every datagram.
const MAGIC: u8 = 0xc7;
/// The version of the format of header and body.
const FORMAT_VERSION: u8 = 1;

/// Why a datagram was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, thiserror::Error)]
pub enum Rejected {
    /// It is longer than [`MAX_DATAGRAM_BYTES`].
    #[error("longer than a datagram may be")]
    TooLong,
    /// It ends too early.
    #[error("cut off")]
    Truncated,
    /// It is not a datagram of this protocol, or there is no room left to track its sender.
    #[error("not a datagram of this kind")]
    Garbage,
    /// It has another version of the format.
    #[error("another version of the format")]
    Version,
    /// It belongs to another cluster.
    #[error("of another cluster")]
    Foreign,
    /// It was received before, is too old to tell, or comes from an earlier start of its sender.
    #[error("come before")]
    Replayed,
    /// Its sender, or a member that it names, is another process with this node's name.
    #[error("from a process that bears this node's name")]
    SameName,
}

/// The header of a datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Header {
    /// A hash of the cluster's name.
    pub cluster: u64,
    /// The datagram's sequence number, counted from the start of the sender's process.
    pub sequence: u64,
    /// The digest of the sender's view.
    pub digest: u64,
    /// The number of members in that view.
    pub members: u16,
    /// The sender's phase.
    pub phase: Phase,
}

/// The 64-bit FNV-1a hash, which is the same on every platform and in every version.
pub fn fnv1a(bytes: &[u8]) -> u64 {
    bytes.iter().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(0x0000_0100_0000_01b3)
    })
}

impl Header {
    /// Encodes a whole datagram. The caller bounds the body by [`MAX_BODY_BYTES`], as foca does its messages.
    pub fn encode(&self, body: &[u8]) -> Vec<u8> {
        let mut data = Vec::with_capacity(HEADER_BYTES + body.len());
        let phase = match self.phase {
            Phase::Joining => 0,
            Phase::Active => 1,
            Phase::Leaving => 2,
        };
        data.extend([MAGIC, FORMAT_VERSION, phase, 0]);
        data.extend(self.cluster.to_be_bytes());
        data.extend(self.sequence.to_be_bytes());
        data.extend(self.digest.to_be_bytes());
        data.extend(self.members.to_be_bytes());
        data.extend(body);
        data
    }

    /// Decodes the header of a datagram of this cluster, and returns it with the body.
    pub fn decode(data: &[u8], cluster: u64) -> Result<(Header, &[u8]), Rejected> {
        if data.len() > MAX_DATAGRAM_BYTES {
            return Err(Rejected::TooLong);
        }
        let (bytes, body) = data.split_at_checked(HEADER_BYTES).ok_or(Rejected::Truncated)?;
        let number = |offset: usize| u64::from_be_bytes(std::array::from_fn(|i| bytes[offset + i]));
        if bytes[0] != MAGIC {
            return Err(Rejected::Garbage);
        }
        if bytes[1] != FORMAT_VERSION {
            return Err(Rejected::Version);
        }
        let phase = match bytes[2] {
            0 => Phase::Joining,
            1 => Phase::Active,
            2 => Phase::Leaving,
            _ => return Err(Rejected::Garbage),
        };
        let header = Header {
            cluster: number(4),
            sequence: number(12),
            digest: number(20),
            members: u16::from_be_bytes([bytes[28], bytes[29]]),
            phase,
        };
        if header.cluster != cluster {
            return Err(Rejected::Foreign);
        }
        Ok((header, body))
    }
}

/// Decodes the sender's identity, with which every body begins.
pub fn decode_sender(body: &[u8]) -> Result<Identity, Rejected> {
    postcard::take_from_bytes(body).map(|(sender, _)| sender).map_err(decode_error)
}

/// The reason for dropping a datagram whose body can't be decoded.
pub fn decode_error(error: postcard::Error) -> Rejected {
    match error {
        postcard::Error::DeserializeUnexpectedEnd => Rejected::Truncated,
        _ => Rejected::Garbage,
    }
}

/// A replay window: which of a sender's datagrams were received, out of the latest one and the 64 before it.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReplayWindow {
    latest: u64,
    /// A bit for each of the 64 sequence numbers before `latest`, the nearest in the lowest bit.
    earlier: u64,
}

impl ReplayWindow {
    /// Records a sequence number. Returns whether it is new: false if it was received before, or is too old
    /// for the window.
    pub fn is_new(&mut self, sequence: u64) -> bool {
        if sequence > self.latest {
            let shift = sequence - self.latest;
            self.earlier = if shift >= 64 { 0 } else { self.earlier << shift | 1 << (shift - 1) };
            self.latest = sequence;
            return true;
        }
        let age = self.latest - sequence;
        let bit = if (1..=64).contains(&age) { 1 << (age - 1) } else { 0 };
        let is_new = bit != 0 && self.earlier & bit == 0;
        self.earlier |= bit;
        is_new
    }
}

#[cfg(test)]
mod tests;
