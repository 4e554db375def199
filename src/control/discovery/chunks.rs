//! Chunked processing of a long list: it is sent to the node in chunks, so that requests are served in
//! between. Servers that drain or are gone go first, since those changes take effect soonest. A list is sent
//! whole or not at all: [`PendingChunks`] outlives the watch that brought it.

use super::versions::HeldList;
use crate::control::updates::Backend;
use crate::{ServerEntry, ServerId, ServerState};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::ops::Bound;

/// The most entries in a chunk. The node applies that many in well under a millisecond.
pub const CHUNK_ENTRIES: usize = 512;
/// A list that affects no more servers than this is sent as one update.
pub const MAX_UNCHUNKED_SERVERS: usize = 2_000;

/// The versions of a stale list, of which only entries that no newer list can contradict are applied.
#[derive(Clone, Copy, Debug)]
pub struct StaleList {
    /// Its version.
    pub index: u64,
    /// The version that the node holds.
    pub held: u64,
}

/// Which entries the next chunk takes.
#[derive(Debug)]
enum Phase {
    /// Listed servers after this bound that drain or are gone.
    NotReady(Bound<ServerId>),
    /// Held servers after this bound that a full list leaves out.
    Unlisted(Bound<ServerId>),
    /// Listed servers that are ready.
    Ready,
}

/// A long list that has not been sent completely.
#[derive(Debug)]
pub struct PendingChunks {
    listed: BTreeMap<ServerId, Backend>,
    /// A full list: held servers that it leaves out are gone.
    full: bool,
    stale: Option<StaleList>,
    /// How many entries the list had.
    total: usize,
    /// How many entries were sent.
    sent: usize,
    phase: Phase,
}

impl PendingChunks {
    /// A list of which nothing has been sent yet.
    pub fn new(listed: BTreeMap<ServerId, Backend>, full: bool, stale: Option<StaleList>) -> Self {
        let total = listed.len();
        PendingChunks { listed, full, stale, total, sent: 0, phase: Phase::NotReady(Bound::Unbounded) }
    }

    /// The next chunk, perhaps empty; `None` at the end. The caller records each chunk in `held` before
    /// taking the next.
    pub fn next(&mut self, held: &HeldList) -> Option<Vec<Backend>> {
        let mut chunk = match self.phase {
            Phase::NotReady(after) => self.not_ready(after),
            Phase::Unlisted(after) => self.unlisted(after, held),
            Phase::Ready => self.ready()?,
        };
        if self.stale.is_some() {
            held.retain_certain(&mut chunk);
        }
        self.sent += chunk.len();
        Some(chunk)
    }

    /// The log line for a stale list, once it has been processed.
    pub fn summary(&self) -> Option<String> {
        let StaleList { index, held } = self.stale?;
        Some(format!(
            "an older list was refused: version {index} after {held}, {} of {} entries applied",
            self.sent, self.total
        ))
    }

    fn not_ready(&mut self, after: Bound<ServerId>) -> Vec<Backend> {
        let scanned: Vec<_> = self.listed.range((after, Bound::Unbounded)).take(CHUNK_ENTRIES).collect();
        self.phase = match scanned.last() {
            Some((id, _)) => Phase::NotReady(Bound::Excluded(**id)),
            None if self.full => Phase::Unlisted(Bound::Unbounded),
            None => Phase::Ready,
        };
        let scanned = scanned.into_iter().map(|(_, backend)| backend);
        scanned.filter(|backend| backend.entry.state != ServerState::Ready).cloned().collect()
    }

    fn unlisted(&mut self, after: Bound<ServerId>, held: &HeldList) -> Vec<Backend> {
        let (mut last_id, mut gone) = (None, Vec::new());
        for (id, started) in held.servers_after(after).take(CHUNK_ENTRIES) {
            last_id = Some(id);
            if !self.listed.contains_key(&id) {
                gone.push(gone_backend(id, started));
            }
        }
        self.phase = last_id.map_or(Phase::Ready, |id| Phase::Unlisted(Bound::Excluded(id)));
        gone
    }

    fn ready(&mut self) -> Option<Vec<Backend>> {
        let mut chunk = Vec::with_capacity(CHUNK_ENTRIES.min(self.listed.len()));
        for _ in 0..CHUNK_ENTRIES {
            let Some((_, backend)) = self.listed.pop_first() else { break };
            if backend.entry.state == ServerState::Ready {
                chunk.push(backend);
            }
        }
        (!chunk.is_empty() || !self.listed.is_empty()).then_some(chunk)
    }
}

/// The entry for a server that a full list leaves out. Its address is unspecified, since nobody connects to
/// it any more.
fn gone_backend(id: ServerId, started: Option<std::time::Duration>) -> Backend {
    let entry = ServerEntry { id, started, state: ServerState::Gone, ..ServerEntry::default() };
    Backend { entry, address: SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0)) }
}
