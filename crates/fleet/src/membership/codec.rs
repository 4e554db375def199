//! Foca's codec for SWIM messages: postcard's encoding, with a check of what each decoded message says of
//! this node.

use crate::identity::{Identity, Name};
use foca::Codec;
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

/// A start further in this node's future than this was not taken from a clock that agrees with its own now.
/// Clocks of one fleet are kept within seconds of each other. After a clock was set back by less than this,
/// the node can as well wait until it has caught up.
const MAX_CLOCK_SKEW: Duration = Duration::from_secs(60);

/// What the codec needs to know of this node, and what it observed in decoded messages.
pub(super) struct Observed {
    /// This node.
    pub(super) local: Identity,
    /// The names of the live members.
    pub(super) names: BTreeSet<Name>,
    pub(super) max_members: usize,
    /// Another process with this node's name that started later.
    pub(super) later_process: Option<Identity>,
    /// The start of an earlier process of this node itself, by a clock that has been set back since.
    pub(super) earlier_start: Option<u64>,
    /// The current wall clock time, in ms of Unix time.
    pub(super) now_ms: u64,
    /// How many updates said that this node is suspected.
    pub(super) suspicions: u64,
}

impl Observed {
    /// Whether `id` is an earlier process of this node, from before its clock was set back: no other node has
    /// its address, and no start can be so far in the future. Records that start.
    fn is_earlier_self(&mut self, id: &Identity) -> bool {
        let latest_start = self.now_ms.saturating_add(MAX_CLOCK_SKEW.as_millis() as u64);
        let is_earlier =
            id.name == self.local.name && id.address == self.local.address && id.started_ms > latest_start;
        if is_earlier {
            self.earlier_start = self.earlier_start.max(Some(id.started_ms));
        }
        is_earlier
    }

    /// Checks whether an update on a member may be applied, and records what it says of this node's name.
    pub(super) fn check_update(&mut self, id: &Identity, state: foca::State) -> Result<(), DecodeError> {
        if *id == self.local {
            self.suspicions += u64::from(state == foca::State::Suspect);
        } else if id.name == self.local.name {
            if self.is_earlier_self(id) {
                return Err(DecodeError::NameTaken);
            }
            if id.started_ms > self.local.started_ms && state != foca::State::Down {
                self.later_process = Some(id.clone());
                return Err(DecodeError::NameTaken);
            }
        } else if self.names.len() >= self.max_members && !self.names.contains(&id.name) {
            return Err(DecodeError::Malformed);
        }
        Ok(())
    }
}

/// Encodes and decodes SWIM messages with postcard, and checks each decoded update against [`Observed`].
pub(super) struct ObservingCodec(pub(super) foca::PostcardCodec, pub(super) Rc<RefCell<Observed>>);

/// Why a message is not accepted.
#[derive(Debug, thiserror::Error)]
pub(super) enum DecodeError {
    #[error("malformed, or names a member over the limit")]
    Malformed,
    #[error("names another process with this node's name")]
    NameTaken,
}

impl Codec<Identity> for ObservingCodec {
    type Error = DecodeError;

    fn encode_header(
        &mut self,
        header: &foca::Header<Identity>,
        buf: impl bytes::BufMut,
    ) -> Result<(), DecodeError> {
        self.0.encode_header(header, buf).map_err(|_| DecodeError::Malformed)
    }

    fn decode_header(&mut self, buf: impl bytes::Buf) -> Result<foca::Header<Identity>, DecodeError> {
        let header: foca::Header<Identity> = self.0.decode_header(buf).map_err(|_| DecodeError::Malformed)?;
        // A member that still probes an earlier process of this node is how this process learns of that one's
        // start.
        if self.1.borrow_mut().is_earlier_self(&header.dst) {
            return Err(DecodeError::NameTaken);
        }
        Ok(header)
    }

    fn encode_member(
        &mut self,
        member: &foca::Member<Identity>,
        buf: impl bytes::BufMut,
    ) -> Result<(), DecodeError> {
        self.0.encode_member(member, buf).map_err(|_| DecodeError::Malformed)
    }

    fn decode_member(&mut self, buf: impl bytes::Buf) -> Result<foca::Member<Identity>, DecodeError> {
        let member: foca::Member<Identity> = self.0.decode_member(buf).map_err(|_| DecodeError::Malformed)?;
        self.1.borrow_mut().check_update(member.id(), member.state())?;
        Ok(member)
    }
}
