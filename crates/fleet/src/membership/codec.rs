//! SWIM's messages in postcard's form, and what they say of this node, seen as they are read.

use crate::identity::{Identity, Name};
use foca::Codec;
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

/// A start that lies so far in this node's future was not measured by a clock like its own is now: clocks of one fleet
/// are kept within seconds of each other, and what is set back by less is as well waited for.
const MAX_CLOCK_SKEW: Duration = Duration::from_secs(60);

/// What the codec sees go by.
pub(super) struct Observed {
    pub(super) me: Identity,
    /// The names of the members that are alive.
    pub(super) names: BTreeSet<Name>,
    pub(super) max_members: usize,
    /// A later life under this node's name.
    pub(super) later_process: Option<Identity>,
    /// When this node's own earlier life started, by a clock that has been set back since.
    pub(super) earlier: Option<u64>,
    /// What its clock says now, in ms of Unix time.
    pub(super) now_ms: u64,
    pub(super) doubted: u64,
}

impl Observed {
    /// Whether this is this node itself, in a life before its clock was set back: nobody else is at its address, and no
    /// start can lie so far in the future.
    fn is_earlier_self(&mut self, id: &Identity) -> bool {
        let future = self.now_ms.saturating_add(MAX_CLOCK_SKEW.as_millis() as u64);
        let it = id.name == self.me.name && id.address == self.me.address && id.started_ms > future;
        if it {
            self.earlier = self.earlier.max(Some(id.started_ms));
        }
        it
    }

    /// What is said of a member: whether that may be taken in.
    pub(super) fn take_in(&mut self, id: &Identity, state: foca::State) -> Result<(), DecodeError> {
        if *id == self.me {
            self.doubted += u64::from(state == foca::State::Suspect);
        } else if id.name == self.me.name {
            if self.is_earlier_self(id) {
                return Err(DecodeError::NameTaken);
            }
            if id.started_ms > self.me.started_ms && state != foca::State::Down {
                self.later_process = Some(id.clone());
                return Err(DecodeError::NameTaken);
            }
        } else if self.names.len() >= self.max_members && !self.names.contains(&id.name) {
            return Err(DecodeError::Malformed);
        }
        Ok(())
    }
}

/// SWIM's messages in postcard's form, with a look at what they say of this node.
pub(super) struct ObservingCodec(pub(super) foca::PostcardCodec, pub(super) Rc<RefCell<Observed>>);

/// A message that is not taken in.
#[derive(Debug, thiserror::Error)]
pub(super) enum DecodeError {
    #[error("malformed")]
    Malformed,
    #[error("it says that another process bears this one's name")]
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
        // Who still probes an earlier life lets this one know of it.
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
        self.1.borrow_mut().take_in(member.id(), member.state())?;
        Ok(member)
    }
}
