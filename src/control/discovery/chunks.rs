//! A long list on its way to the node: in slices, so that requests are seen to in between. What ends goes first, since
//! that binds soonest. All of it is passed on, or none: [`Slices`] outlives the watch that brought it.

use super::versions::Versions;
use crate::control::updates::Backend;
use crate::{ServerEntry, ServerId, ServerState};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::ops::Bound;

/// The most entries of a slice. The node takes in as many in well under a millisecond.
pub const SLICE: usize = 512;
/// A list that concerns no more servers than this is passed on whole.
pub const AT_ONCE: usize = 2_000;

/// An older list, of which only what is certain counts.
#[derive(Clone, Copy, Debug)]
pub struct Older {
    /// Its version.
    pub index: u64,
    /// The version that the node holds.
    pub held: u64,
}

/// Where the next slice begins.
#[derive(Debug)]
enum Phase {
    /// Those listed after this one, for what does not serve any more.
    Ending(Bound<ServerId>),
    /// Those held after this one, for what is not listed any more.
    Unlisted(Bound<ServerId>),
    /// Those listed that serve.
    Serving,
}

/// What is left of a list.
#[derive(Debug)]
pub struct Slices {
    listed: BTreeMap<ServerId, Backend>,
    /// What the node holds and the list does not is gone.
    whole: bool,
    older: Option<Older>,
    /// How many entries the list had, and how many were passed on.
    all: usize,
    kept: usize,
    phase: Phase,
}

impl Slices {
    /// A list of which nothing has been passed on yet.
    pub fn new(listed: BTreeMap<ServerId, Backend>, whole: bool, older: Option<Older>) -> Self {
        let all = listed.len();
        Slices { listed, whole, older, all, kept: 0, phase: Phase::Ending(Bound::Unbounded) }
    }

    /// The next slice, perhaps empty; `None` at the end. Each is to be noted in `held` before the next is asked for.
    pub fn next(&mut self, held: &Versions) -> Option<Vec<Backend>> {
        let mut slice = match self.phase {
            Phase::Ending(after) => self.ending(after),
            Phase::Unlisted(after) => self.unlisted(after, held),
            Phase::Serving => self.serving()?,
        };
        if self.older.is_some() {
            held.keep_certain(&mut slice);
        }
        self.kept += slice.len();
        Some(slice)
    }

    /// For the log, at the end: what came of an older list.
    pub fn summary(&self) -> Option<String> {
        let Older { index, held } = self.older?;
        Some(format!(
            "an older list was refused: version {index} after {held}, {} of {} taken",
            self.kept, self.all
        ))
    }

    fn ending(&mut self, after: Bound<ServerId>) -> Vec<Backend> {
        let seen: Vec<_> = self.listed.range((after, Bound::Unbounded)).take(SLICE).collect();
        self.phase = match seen.last() {
            Some((id, _)) => Phase::Ending(Bound::Excluded(**id)),
            None if self.whole => Phase::Unlisted(Bound::Unbounded),
            None => Phase::Serving,
        };
        let seen = seen.into_iter().map(|(_, backend)| backend);
        seen.filter(|backend| backend.entry.state != ServerState::Ready).cloned().collect()
    }

    fn unlisted(&mut self, after: Bound<ServerId>, held: &Versions) -> Vec<Backend> {
        let (mut last, mut gone) = (None, Vec::new());
        for (id, started) in held.after(after).take(SLICE) {
            last = Some(id);
            if !self.listed.contains_key(&id) {
                gone.push(gone_backend(id, started));
            }
        }
        self.phase = last.map_or(Phase::Serving, |id| Phase::Unlisted(Bound::Excluded(id)));
        gone
    }

    fn serving(&mut self) -> Option<Vec<Backend>> {
        let mut slice = Vec::with_capacity(SLICE.min(self.listed.len()));
        for _ in 0..SLICE {
            let Some((_, backend)) = self.listed.pop_first() else { break };
            if backend.entry.state == ServerState::Ready {
                slice.push(backend);
            }
        }
        (!slice.is_empty() || !self.listed.is_empty()).then_some(slice)
    }
}

/// What a whole list says of a server by leaving it out. Its address is not said, and means nothing any more.
fn gone_backend(id: ServerId, started: Option<std::time::Duration>) -> Backend {
    let entry = ServerEntry { id, started, state: ServerState::Gone, ..ServerEntry::default() };
    Backend { entry, address: SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0)) }
}
