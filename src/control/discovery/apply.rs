//! Applies a list: parses it, refuses it if it is stale, and sends it to the node, a long list in chunks.

use super::chunks::{MAX_UNCHUNKED_SERVERS, PendingChunks, StaleList};
use super::error::WatchError;
use super::framing::{ListValue, MAX_SHORT_LIST_BYTES};
use super::incremental::{IncrementalListParser, LongList, ParseEnd};
use super::{Connector, DiscoveryClient};
use crate::control::log::log;
use crate::control::updates::{Backend, ListUpdate};
use crate::{ListKind, ServerId, ServerState};
use serde::Deserialize;
use serde_json::Value;
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::task::yield_now;
use tokio::time::Instant;

/// How many bytes of a list are parsed before the node's other tasks get a turn: about 0.1 ms of work.
pub(super) const READ_CHUNK_BYTES: usize = 16 << 10;

/// A short list in discovery's JSON.
#[derive(Deserialize)]
pub(super) struct ListJson {
    pub(super) index: Option<u64>,
    #[serde(default)]
    snapshot: bool,
    endpoints: Vec<Value>,
}

impl<M: From<ListUpdate>, D: Connector> DiscoveryClient<M, D> {
    /// Applies a value received on the watch.
    pub(super) async fn apply_value(
        &mut self,
        value: Result<ListValue, String>,
    ) -> Result<ApplyOutcome, WatchError> {
        match value {
            Ok(ListValue::Text(text)) => self.apply_text(&text, None).await,
            Ok(ListValue::Long(list)) => self.apply_long(*list, None).await,
            Err(reason) => {
                log(format_args!("a malformed list was dropped: {reason}"));
                Ok(ApplyOutcome::Malformed)
            }
        }
    }

    /// Applies the cached list of the configuration.
    pub(super) async fn apply_cached(&mut self, cached: String) -> ApplyOutcome {
        let outcome = if cached.len() <= MAX_SHORT_LIST_BYTES {
            self.apply_text(cached.as_bytes(), Some(ListKind::Cached)).await
        } else {
            let mut parser =
                IncrementalListParser::new(self.entry_reader.clone(), self.max_servers, MAX_SHORT_LIST_BYTES);
            match parse_long(&mut parser, cached.as_bytes()).await {
                Ok(Some(ListValue::Long(list))) => {
                    drop(cached);
                    self.apply_long(*list, Some(ListKind::Cached)).await
                }
                Ok(_) => Ok(ApplyOutcome::Malformed), // it is truncated
                Err(error) => Err(error),
            }
        };
        outcome.unwrap_or_else(|error| {
            log(format_args!("the cached list of the configuration was dropped: {error}"));
            ApplyOutcome::Malformed
        })
    }

    /// Applies a short list. A malformed list is dropped; a malformed entry is dropped alone.
    pub(super) async fn apply_text(
        &mut self,
        text: &[u8],
        kind: Option<ListKind>,
    ) -> Result<ApplyOutcome, WatchError> {
        let list: ListJson = match serde_json::from_slice(text) {
            Ok(list) => list,
            Err(e) => {
                log(format_args!("a malformed list was dropped: {e}"));
                return Ok(ApplyOutcome::Malformed);
            }
        };
        let mut backends = Vec::new();
        for entry in list.endpoints {
            match self.entry_reader.read_value(entry) {
                Ok(backend) => backends.push(backend),
                Err(e) => log_malformed_entry(&e),
            }
        }
        keep_latest_starts(&mut backends);
        let listed = if list.snapshot { ListKind::Full } else { ListKind::Changes };
        let kind = kind.unwrap_or(listed);
        if kind != ListKind::Cached && self.affected_servers(kind, backends.len()) > MAX_UNCHUNKED_SERVERS {
            let backends = backends.into_iter().map(|backend| (backend.entry.id, backend)).collect();
            return self.apply_in_chunks(kind, list.index, backends).await;
        }
        let by_agent = kind != ListKind::Cached;
        if by_agent && self.held.is_stale(list.index, kind == ListKind::Full, Instant::now()) {
            let (index, held, total) = (list.index.unwrap_or_default(), self.held.index, backends.len());
            self.held.retain_certain(&mut backends);
            let kept = backends.len();
            log(format_args!(
                "an older list was refused: version {index} after {held}, {kept} of {total} entries applied"
            ));
            if kept > 0 {
                self.send_and_record(ListKind::Changes, backends).await;
            }
            return Ok(ApplyOutcome::Stale);
        }
        self.check_capacity(kind, backends.len(), backends.iter())?;
        let has_entries = !backends.is_empty();
        self.send_and_record(kind, backends).await;
        // Only after the list was sent: a watch that is abandoned before must request it again.
        self.held.set_index(list.index.unwrap_or_default(), by_agent);
        self.update_ready(kind);
        Ok(ApplyOutcome::Applied(has_entries))
    }

    /// Applies a long list, which has been parsed.
    pub(super) async fn apply_long(
        &mut self,
        list: LongList,
        kind: Option<ListKind>,
    ) -> Result<ApplyOutcome, WatchError> {
        list.reasons.iter().for_each(|reason| log_malformed_entry(reason));
        if list.dropped > list.reasons.len() {
            log(format_args!("malformed lines of the list were dropped: {} in all", list.dropped));
        }
        let listed = if list.snapshot { ListKind::Full } else { ListKind::Changes };
        let kind = kind.unwrap_or(listed);
        if kind != ListKind::Cached {
            return self.apply_in_chunks(kind, list.index, list.backends).await;
        }
        // The cached list is sent whole: the node serves no clients yet.
        let has_entries = !list.backends.is_empty();
        self.send_and_record(kind, list.backends.into_values().collect()).await;
        self.held.set_index(list.index.unwrap_or_default(), false);
        self.update_ready(kind);
        Ok(ApplyOutcome::Applied(has_entries))
    }

    async fn apply_in_chunks(
        &mut self,
        kind: ListKind,
        index: Option<u64>,
        listed: BTreeMap<ServerId, Backend>,
    ) -> Result<ApplyOutcome, WatchError> {
        let (full, has_entries) = (kind == ListKind::Full, !listed.is_empty());
        if self.held.is_stale(index, full, Instant::now()) {
            let stale = StaleList { index: index.unwrap_or_default(), held: self.held.index };
            self.pending_chunks = Some(PendingChunks::new(listed, false, Some(stale)));
            self.send_pending_chunks().await;
            return Ok(ApplyOutcome::Stale);
        }
        self.check_capacity(kind, listed.len(), listed.values())?;
        // The rest of the list is sent even if the watch is abandoned meanwhile.
        self.pending_chunks = Some(PendingChunks::new(listed, full, None));
        self.held.set_index(index.unwrap_or_default(), true);
        self.send_pending_chunks().await;
        Ok(ApplyOutcome::Applied(has_entries))
    }

    /// Sends what is left of a long list. Between two chunks the node's other tasks get a turn.
    pub(super) async fn send_pending_chunks(&mut self) {
        while let Some(chunks) = &mut self.pending_chunks {
            // Reserve first: a chunk taken out of the list would be lost if this future were dropped while
            // sending.
            let Ok(permit) = self.messages.reserve().await else { return };
            match chunks.next(&self.held) {
                Some(backends) if backends.is_empty() => drop(permit),
                Some(backends) => {
                    self.held.record(ListKind::Changes, &states_of(&backends));
                    permit.send(ListUpdate { kind: ListKind::Changes, backends }.into());
                }
                None => {
                    match chunks.summary() {
                        Some(summary) => log(summary),
                        None => self.update_ready(ListKind::Full),
                    }
                    self.pending_chunks = None;
                    return;
                }
            }
            yield_now().await;
        }
    }

    /// Refuses an incremental update that would raise the number of held servers above the limit for a full
    /// list.
    fn check_capacity<'a>(
        &self,
        kind: ListKind,
        entries: usize,
        backends: impl Iterator<Item = &'a Backend>,
    ) -> Result<(), WatchError> {
        if kind != ListKind::Changes || entries + self.held.len() <= self.max_servers {
            return Ok(());
        }
        let listed = backends.filter(|backend| backend.entry.state != ServerState::Gone);
        let new = listed.filter(|backend| !self.held.contains(backend.entry.id)).count();
        if new > 0 && new + self.held.len() > self.max_servers {
            return Err(WatchError::TooManyServers { max_servers: self.max_servers });
        }
        Ok(())
    }

    /// How many servers a list with this many entries may change: a full list also removes those that it
    /// leaves out.
    fn affected_servers(&self, kind: ListKind, entries: usize) -> usize {
        if kind == ListKind::Full { entries.max(self.held.len()) } else { entries }
    }

    /// The cached list alone makes the node ready only where lists are requested; otherwise an agent has to
    /// send one, or [`CACHED_LIST_READY_DELAY`](super::CACHED_LIST_READY_DELAY) has to pass.
    fn update_ready(&self, kind: ListKind) {
        let sufficient = kind != ListKind::Cached || self.settings.get().settings.list_on_request;
        self.ready.set(self.ready.get() || sufficient);
    }

    async fn send_and_record(&mut self, kind: ListKind, backends: Vec<Backend>) {
        let states = states_of(&backends);
        self.send(kind, backends).await;
        self.held.record(kind, &states);
    }

    pub(super) async fn send(&self, kind: ListKind, backends: Vec<Backend>) {
        let _ = self.messages.send(ListUpdate { kind, backends }.into()).await; // the node may have ended
    }
}

/// What became of a list.
#[derive(PartialEq)]
pub(super) enum ApplyOutcome {
    /// It was dropped.
    Malformed,
    /// It was refused as older than the held one, but for entries that no newer list can contradict.
    Stale,
    /// It was sent to the node; whether it has any entry.
    Applied(bool),
}

fn log_malformed_entry(reason: &str) {
    log(format_args!("a malformed line of the list was dropped: {reason}"));
}

/// Feeds text to the parser of a long list, giving other tasks turns in between; returns the list once it is
/// complete. Text after its end is ignored.
pub(super) async fn parse_long(
    parser: &mut IncrementalListParser,
    text: &[u8],
) -> Result<Option<ListValue>, WatchError> {
    for bytes in text.chunks(READ_CHUNK_BYTES) {
        match parser.feed(bytes)? {
            (_, None) => yield_now().await,
            (_, Some(ParseEnd::List(list))) => return Ok(Some(ListValue::Long(Box::new(list)))),
            (_, Some(ParseEnd::Malformed { reason, .. })) => return Err(WatchError::NotAList(reason)),
            (_, Some(ParseEnd::Truncated(_))) => {
                return Err(WatchError::NotAList("it is truncated".to_owned()));
            }
        }
    }
    Ok(None)
}

/// Keeps one entry of each backend. A backend that restarted since the previous list may be listed twice, in
/// any order: the entry with the later start counts, and the last one listed if both have the same start.
/// Takes four bytes of memory per entry.
fn keep_latest_starts(backends: &mut Vec<Backend>) {
    let key = |index: usize| (backends[index].entry.id, backends[index].entry.started, index);
    let mut order: Vec<u32> = (0..backends.len() as u32).collect();
    order.sort_unstable_by_key(|index| key(*index as usize));
    let superseded = |pair: &[u32]| key(pair[0] as usize).0 == key(pair[1] as usize).0;
    let mut dropped: Vec<_> = order.windows(2).filter(|pair| superseded(pair)).map(|pair| pair[0]).collect();
    dropped.sort_unstable();
    let (mut dropped, mut next_index) = (dropped.into_iter().peekable(), 0);
    backends.retain(|_| {
        next_index += 1;
        dropped.next_if_eq(&(next_index - 1)).is_none()
    });
}

/// What [`HeldList`](super::versions::HeldList) records of backends that are sent to the node.
fn states_of(backends: &[Backend]) -> Vec<(ServerId, ServerState, Option<Duration>)> {
    let entries = backends.iter().map(|backend| &backend.entry);
    entries.map(|entry| (entry.id, entry.state, entry.started)).collect()
}
