//! Which lists are news. An agent may come back with a list older than the one that the node was told; believed, it
//! would undo a drain.

use crate::control::updates::Backend;
use crate::{ListKind, ServerId, ServerState};
use std::collections::BTreeMap;
use std::ops::Bound;
use std::time::Duration;
use tokio::time::Instant;

/// Discovery that says nothing but older versions for so long has begun anew, and is believed. An agent catches up sooner:
/// what discovery tells is 6 s late at the most.
pub const INSISTS: Duration = Duration::from_secs(10);

/// A backend's life, as the node was told of it.
#[derive(Clone, Copy)]
struct Life {
    started: Option<Duration>,
    /// An agent has told of it. What is known from before refuses nothing.
    by_agent: bool,
}

/// What the node holds of the list.
#[derive(Default)]
pub struct Versions {
    /// The version to ask from.
    pub index: u64,
    /// The version that an agent has told this process. What is known from before binds nobody: any list replaces it.
    told: Option<u64>,
    /// The listed backends. 40 bytes each, and no more than [`Config::max_listed_servers`](crate::control::config::Config) of
    /// them come in one list.
    lives: BTreeMap<ServerId, Life>,
    /// Since when all that came was older.
    doubted: Option<Instant>,
}

impl Versions {
    /// Whether a list is older than what is held, and not to be believed. `whole`: it needs no other one to be read.
    pub fn is_old(&mut self, index: Option<u64>, whole: bool, now: Instant) -> bool {
        if index.zip(self.told).is_none_or(|(index, told)| index >= told) {
            self.doubted = None;
            return false;
        }
        let since = *self.doubted.get_or_insert(now);
        if whole && now >= since + INSISTS {
            self.start_anew();
        }
        self.told.is_some()
    }

    /// What counts of an older list all the same, since no other list can make it untrue: a backend that the node holds
    /// stops, or has started later than the node knew. Only that is left.
    pub fn keep_certain(&self, backends: &mut Vec<Backend>) {
        backends.retain(|backend| {
            let entry = &backend.entry;
            let held = self.lives.get(&entry.id).filter(|held| held.by_agent);
            held.is_some_and(|Life { started, .. }| {
                entry.started > *started || entry.started == *started && entry.state != ServerState::Ready
            })
        });
    }

    /// How many backends are listed.
    pub fn len(&self) -> usize {
        self.lives.len()
    }

    /// Whether this backend is listed.
    pub fn holds(&self, id: ServerId) -> bool {
        self.lives.contains_key(&id)
    }

    /// The listed backends from there on, by number, and when they started.
    pub fn after(&self, after: Bound<ServerId>) -> impl Iterator<Item = (ServerId, Option<Duration>)> {
        self.lives.range((after, Bound::Unbounded)).map(|(id, life)| (*id, life.started))
    }

    /// Notes what the node has been told of backends.
    pub fn note(&mut self, kind: ListKind, backends: &[(ServerId, ServerState, Option<Duration>)]) {
        if kind != ListKind::Changes {
            self.lives.clear();
        }
        let by_agent = kind != ListKind::Cached;
        for (id, state, started) in backends {
            match state {
                ServerState::Gone => self.lives.remove(id),
                _ => self.lives.insert(*id, Life { started: *started, by_agent }),
            };
        }
    }

    /// Notes the version that the node has now; `by_agent`: it was not known from before.
    pub fn hold(&mut self, index: u64, by_agent: bool) {
        self.index = index;
        self.told = by_agent.then_some(index);
    }

    /// When what has been refused is to be believed.
    pub fn believed_at(&self) -> Option<Instant> {
        self.doubted.map(|since| since + INSISTS)
    }

    /// A watch has nothing older to tell.
    pub fn trust(&mut self) {
        self.doubted = None;
    }

    /// The next list is believed, whatever its version; the whole of it is asked for.
    pub fn start_anew(&mut self) {
        (self.index, self.told, self.doubted) = (0, None, None);
    }
}
