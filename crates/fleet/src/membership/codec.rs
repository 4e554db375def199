//! SWIM's messages in postcard's form, and what they say of this node, seen as they are read.

use crate::identity::Identity;
use foca::Codec;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

/// A start that lies so far in this node's future was not measured by a clock like its own is now: clocks of one fleet
/// are kept within seconds of each other, and what is set back by less is as well waited for.
const FUTURE: Duration = Duration::from_secs(60);

/// What the codec sees go by.
pub(super) struct Seen {
    pub(super) me: Identity,
    pub(super) known: usize,
    pub(super) most: usize,
    /// A later life under this node's name.
    pub(super) usurper: Option<Identity>,
    /// When this node's own earlier life started, by a clock that has been set back since.
    pub(super) earlier: Option<u64>,
    /// What its clock says now, in ms of Unix time.
    pub(super) now_ms: u64,
    pub(super) doubted: u64,
}

impl Seen {
    /// Whether this is this node itself, in a life before its clock was set back: nobody else is at its address, and no
    /// start can lie so far in the future.
    fn is_earlier_self(&mut self, id: &Identity) -> bool {
        let future = self.now_ms.saturating_add(FUTURE.as_millis() as u64);
        let it = id.name == self.me.name && id.address == self.me.address && id.started_ms > future;
        if it {
            self.earlier = self.earlier.max(Some(id.started_ms));
        }
        it
    }

    /// What is said of a member: whether that may be taken in.
    pub(super) fn take_in(&mut self, id: &Identity, state: foca::State) -> Result<(), Unfit> {
        if *id == self.me {
            self.doubted += u64::from(state == foca::State::Suspect);
        } else if id.name == self.me.name {
            if self.is_earlier_self(id) {
                return Err(Unfit::Usurped);
            }
            if id.started_ms > self.me.started_ms && state != foca::State::Down {
                self.usurper = Some(id.clone());
                return Err(Unfit::Usurped);
            }
        } else if self.known >= self.most {
            return Err(Unfit::Malformed);
        }
        Ok(())
    }
}

/// SWIM's messages in postcard's form, with a look at what they say of this node.
pub(super) struct Watching(pub(super) foca::PostcardCodec, pub(super) Rc<RefCell<Seen>>);

/// A message that is not taken in.
#[derive(Debug, thiserror::Error)]
pub(super) enum Unfit {
    #[error("malformed")]
    Malformed,
    #[error("it says that another process bears this one's name")]
    Usurped,
}

impl Codec<Identity> for Watching {
    type Error = Unfit;

    fn encode_header(
        &mut self,
        header: &foca::Header<Identity>,
        buf: impl bytes::BufMut,
    ) -> Result<(), Unfit> {
        self.0.encode_header(header, buf).map_err(|_| Unfit::Malformed)
    }

    fn decode_header(&mut self, buf: impl bytes::Buf) -> Result<foca::Header<Identity>, Unfit> {
        let header: foca::Header<Identity> = self.0.decode_header(buf).map_err(|_| Unfit::Malformed)?;
        // Who still probes an earlier life lets this one know of it.
        if self.1.borrow_mut().is_earlier_self(&header.dst) {
            return Err(Unfit::Usurped);
        }
        Ok(header)
    }

    fn encode_member(
        &mut self,
        member: &foca::Member<Identity>,
        buf: impl bytes::BufMut,
    ) -> Result<(), Unfit> {
        self.0.encode_member(member, buf).map_err(|_| Unfit::Malformed)
    }

    fn decode_member(&mut self, buf: impl bytes::Buf) -> Result<foca::Member<Identity>, Unfit> {
        let member: foca::Member<Identity> = self.0.decode_member(buf).map_err(|_| Unfit::Malformed)?;
        self.1.borrow_mut().take_in(member.id(), member.state())?;
        Ok(member)
    }
}
