//! Taking in a list: reading it, judging whether it is news, and passing it on to the node, a long one in slices.

use super::chunks::{AT_ONCE, Older, Slices};
use super::error::BadWatch;
use super::framing::{ListValue, SHORT_LIMIT};
use super::incremental::{End, LongList, LongReader};
use super::{Dial, DiscoveryClient};
use crate::control::log::log;
use crate::control::updates::{Backend, ListUpdate};
use crate::{ListKind, ServerId, ServerState};
use serde::Deserialize;
use serde_json::Value;
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::task::yield_now;
use tokio::time::Instant;

/// So many bytes of a list are read at a time; between two the node has a turn. A tenth of a millisecond's work.
pub(super) const PIECE: usize = 16 << 10;

#[derive(Deserialize)]
pub(super) struct List {
    pub(super) index: Option<u64>,
    #[serde(default)]
    snapshot: bool,
    endpoints: Vec<Value>,
}

impl<M: From<ListUpdate>, D: Dial> DiscoveryClient<M, D> {
    /// Takes in what a watch has told.
    pub(super) async fn take_value(&mut self, value: Result<ListValue, String>) -> Result<Taken, BadWatch> {
        match value {
            Ok(ListValue::Text(text)) => self.take(&text, None).await,
            Ok(ListValue::Long(list)) => self.take_long(*list, None).await,
            Err(why) => {
                log(format_args!("a malformed list was dropped: {why}"));
                Ok(Taken::Malformed)
            }
        }
    }

    /// Takes in the list of the configuration.
    pub(super) async fn take_known(&mut self, known: String) -> Taken {
        let taken = if known.len() <= SHORT_LIMIT {
            self.take(known.as_bytes(), Some(ListKind::Cached)).await
        } else {
            let mut reader = LongReader::new(self.entries.clone(), self.most, SHORT_LIMIT);
            match read_long(&mut reader, known.as_bytes()).await {
                Ok(Some(ListValue::Long(list))) => {
                    drop(known);
                    self.take_long(*list, Some(ListKind::Cached)).await
                }
                Ok(_) => Ok(Taken::Malformed), // it has no end
                Err(problem) => Err(problem),
            }
        };
        taken.unwrap_or_else(|problem| {
            log(format_args!("the list of the configuration was dropped: {problem}"));
            Taken::Malformed
        })
    }

    /// Takes in a list. What is malformed is dropped, a line of it alone where the rest can be read.
    pub(super) async fn take(&mut self, text: &[u8], kind: Option<ListKind>) -> Result<Taken, BadWatch> {
        let list: List = match serde_json::from_slice(text) {
            Ok(list) => list,
            Err(e) => {
                log(format_args!("a malformed list was dropped: {e}"));
                return Ok(Taken::Malformed);
            }
        };
        let mut backends = Vec::new();
        for line in list.endpoints {
            match self.entries.read_value(line) {
                Ok(backend) => backends.push(backend),
                Err(e) => log_malformed(&e),
            }
        }
        keep_latest_lives(&mut backends);
        let listed = if list.snapshot { ListKind::Full } else { ListKind::Changes };
        let kind = kind.unwrap_or(listed);
        if kind != ListKind::Cached && self.concerns(kind, backends.len()) > AT_ONCE {
            let backends = backends.into_iter().map(|backend| (backend.entry.id, backend)).collect();
            return self.take_in_slices(kind, list.index, backends).await;
        }
        let by_agent = kind != ListKind::Cached;
        if by_agent && self.versions.is_old(list.index, kind == ListKind::Full, Instant::now()) {
            let (index, held, all) = (list.index.unwrap_or_default(), self.versions.index, backends.len());
            self.versions.keep_certain(&mut backends);
            let kept = backends.len();
            log(format_args!(
                "an older list was refused: version {index} after {held}, {kept} of {all} taken"
            ));
            if kept > 0 {
                self.pass_on(ListKind::Changes, backends).await;
            }
            return Ok(Taken::Refused);
        }
        self.check_room(kind, backends.len(), backends.iter())?;
        let some = !backends.is_empty();
        self.pass_on(kind, backends).await;
        // Not before: a watch that is left half-way must ask for this again.
        self.versions.hold(list.index.unwrap_or_default(), by_agent);
        self.now_ready(kind);
        Ok(Taken::News(some))
    }

    /// Takes in a long list, which has been read.
    pub(super) async fn take_long(
        &mut self,
        list: LongList,
        kind: Option<ListKind>,
    ) -> Result<Taken, BadWatch> {
        list.reasons.iter().for_each(|why| log_malformed(why));
        if list.dropped > list.reasons.len() {
            log(format_args!("malformed lines of the list were dropped: {} in all", list.dropped));
        }
        let listed = if list.snapshot { ListKind::Full } else { ListKind::Changes };
        let kind = kind.unwrap_or(listed);
        if kind != ListKind::Cached {
            return self.take_in_slices(kind, list.index, list.backends).await;
        }
        // No client has come yet.
        let some = !list.backends.is_empty();
        self.pass_on(kind, list.backends.into_values().collect()).await;
        self.versions.hold(list.index.unwrap_or_default(), false);
        self.now_ready(kind);
        Ok(Taken::News(some))
    }

    async fn take_in_slices(
        &mut self,
        kind: ListKind,
        index: Option<u64>,
        listed: BTreeMap<ServerId, Backend>,
    ) -> Result<Taken, BadWatch> {
        let (whole, some) = (kind == ListKind::Full, !listed.is_empty());
        if self.versions.is_old(index, whole, Instant::now()) {
            let older = Older { index: index.unwrap_or_default(), held: self.versions.index };
            self.slices = Some(Slices::new(listed, false, Some(older)));
            self.pass_on_slices().await;
            return Ok(Taken::Refused);
        }
        self.check_room(kind, listed.len(), listed.values())?;
        // All of it follows even if the watch is left half-way.
        self.slices = Some(Slices::new(listed, whole, None));
        self.versions.hold(index.unwrap_or_default(), true);
        self.pass_on_slices().await;
        Ok(Taken::News(some))
    }

    /// Passes on what is left of a long list. Between two slices the node has a turn.
    pub(super) async fn pass_on_slices(&mut self) {
        while let Some(slices) = &mut self.slices {
            // The place first: what has been taken out of the list must not be lost if this is given up.
            let Ok(place) = self.messages.reserve().await else { return };
            match slices.next(&self.versions) {
                Some(backends) if backends.is_empty() => drop(place),
                Some(backends) => {
                    self.versions.note(ListKind::Changes, &lives_of(&backends));
                    place.send(ListUpdate { kind: ListKind::Changes, backends }.into());
                }
                None => {
                    match slices.summary() {
                        Some(summary) => log(summary),
                        None => self.now_ready(ListKind::Full),
                    }
                    self.slices = None;
                    return;
                }
            }
            yield_now().await;
        }
    }

    /// Changes may not add up to more than a whole list may hold.
    fn check_room<'a>(
        &self,
        kind: ListKind,
        entries: usize,
        backends: impl Iterator<Item = &'a Backend>,
    ) -> Result<(), BadWatch> {
        if kind != ListKind::Changes || entries + self.versions.len() <= self.most {
            return Ok(());
        }
        let listed = backends.filter(|backend| backend.entry.state != ServerState::Gone);
        let new = listed.filter(|backend| !self.versions.holds(backend.entry.id)).count();
        if new > 0 && new + self.versions.len() > self.most {
            return Err(BadWatch::TooManyServers { most: self.most });
        }
        Ok(())
    }

    /// How many servers a list of so many entries may change.
    fn concerns(&self, kind: ListKind, entries: usize) -> usize {
        if kind == ListKind::Full { entries.max(self.versions.len()) } else { entries }
    }

    fn now_ready(&self, kind: ListKind) {
        let known_enough = kind != ListKind::Cached || self.current.get().settings.list_on_request;
        self.ready.set(self.ready.get() || known_enough);
    }

    async fn pass_on(&mut self, kind: ListKind, backends: Vec<Backend>) {
        let noted = lives_of(&backends);
        self.tell(kind, backends).await;
        self.versions.note(kind, &noted);
    }

    pub(super) async fn tell(&self, kind: ListKind, backends: Vec<Backend>) {
        let _ = self.messages.send(ListUpdate { kind, backends }.into()).await; // or the node has ended
    }
}

/// What came of a list; for news, whether it names a backend.
#[derive(PartialEq)]
pub(super) enum Taken {
    Malformed,
    Refused,
    News(bool),
}

fn log_malformed(why: &str) {
    log(format_args!("a malformed line of the list was dropped: {why}"));
}

/// Reads a part of a long list, with turns for others; returns it once it is whole. What follows it says nothing.
pub(super) async fn read_long(reader: &mut LongReader, text: &[u8]) -> Result<Option<ListValue>, BadWatch> {
    for piece in text.chunks(PIECE) {
        match reader.feed(piece)? {
            (_, None) => yield_now().await,
            (_, Some(End::List(list))) => return Ok(Some(ListValue::Long(Box::new(list)))),
            (_, Some(End::Broken { why, .. })) => return Err(BadWatch::NoList(why)),
            (_, Some(End::CutShort(_))) => return Err(BadWatch::NoList("it was cut short".to_owned())),
        }
    }
    Ok(None)
}

/// A backend that stopped and started again since the list before may stand twice, in any order: its later life counts,
/// and of one life what stands last. Four bytes an entry meanwhile.
fn keep_latest_lives(backends: &mut Vec<Backend>) {
    let key = |place: usize| (backends[place].entry.id, backends[place].entry.started, place);
    let mut places: Vec<u32> = (0..backends.len() as u32).collect();
    places.sort_unstable_by_key(|place| key(*place as usize));
    let earlier = |two: &[u32]| key(two[0] as usize).0 == key(two[1] as usize).0;
    let mut dropped: Vec<_> = places.windows(2).filter(|two| earlier(two)).map(|two| two[0]).collect();
    dropped.sort_unstable();
    let (mut dropped, mut place) = (dropped.into_iter().peekable(), 0);
    backends.retain(|_| {
        place += 1;
        dropped.next_if_eq(&(place - 1)).is_none()
    });
}

/// What is noted of backends that the node is told of.
fn lives_of(backends: &[Backend]) -> Vec<(ServerId, ServerState, Option<Duration>)> {
    let entries = backends.iter().map(|backend| &backend.entry);
    entries.map(|entry| (entry.id, entry.state, entry.started)).collect()
}
