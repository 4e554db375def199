//! The version and the servers that the node holds, and which lists are stale. An agent that reconnects may
//! send a list older than the one that the node holds; applying it would undo a drain.

use crate::control::updates::Backend;
use crate::{ListKind, ServerId, ServerState};
use std::collections::BTreeMap;
use std::ops::Bound;
use std::time::Duration;
use tokio::time::Instant;

/// After this long with nothing but stale lists, discovery must have restarted its version numbers, and its
/// list is accepted. An agent that is merely behind has caught up by then: discovery's announcements are at
/// most 6 s late.
pub const ACCEPT_STALE_AFTER: Duration = Duration::from_secs(10);

/// When a listed server started, and who said so.
#[derive(Clone, Copy)]
struct HeldServer {
    started: Option<Duration>,
    /// Whether an agent listed it. Servers known from the cached list alone are not compared with a stale
    /// list.
    by_agent: bool,
}

/// The version of the list that the node holds, and the servers in it.
#[derive(Default)]
pub struct HeldList {
    /// The resource version to resume the watch from.
    pub index: u64,
    /// The version received from an agent; `None` while the node holds only the cached list, which any list
    /// replaces.
    agent_index: Option<u64>,
    /// The listed servers: 40 bytes each, and at most
    /// [`Config::max_listed_servers`](crate::control::config::Config) of them in one list.
    servers: BTreeMap<ServerId, HeldServer>,
    /// When the first stale list arrived since the last one that was not stale.
    stale_since: Option<Instant>,
}

impl HeldList {
    /// Whether a list is older than what is held and must be refused; keeps track of how long only stale
    /// lists have come. `full`: it is a full snapshot, which is accepted after [`ACCEPT_STALE_AFTER`] of
    /// them.
    pub fn is_stale(&mut self, index: Option<u64>, full: bool, now: Instant) -> bool {
        if index.zip(self.agent_index).is_none_or(|(index, agent_index)| index >= agent_index) {
            self.stale_since = None;
            return false;
        }
        let since = *self.stale_since.get_or_insert(now);
        if full && now >= since + ACCEPT_STALE_AFTER {
            self.reset();
        }
        self.agent_index.is_some()
    }

    /// Keeps only the entries of a stale list that no newer list can contradict: a held server drains or is
    /// gone, or it has started later than the node knew.
    pub fn retain_certain(&self, backends: &mut Vec<Backend>) {
        backends.retain(|backend| {
            let entry = &backend.entry;
            let held = self.servers.get(&entry.id).filter(|held| held.by_agent);
            held.is_some_and(|HeldServer { started, .. }| {
                entry.started > *started || entry.started == *started && entry.state != ServerState::Ready
            })
        });
    }

    /// How many servers are listed.
    pub fn len(&self) -> usize {
        self.servers.len()
    }

    /// Whether this server is listed.
    pub fn contains(&self, id: ServerId) -> bool {
        self.servers.contains_key(&id)
    }

    /// The listed servers after a bound, ordered by id, and when each started.
    pub fn servers_after(
        &self,
        after: Bound<ServerId>,
    ) -> impl Iterator<Item = (ServerId, Option<Duration>)> {
        self.servers.range((after, Bound::Unbounded)).map(|(id, server)| (*id, server.started))
    }

    /// Records the servers of a list that was sent to the node.
    pub fn record(&mut self, kind: ListKind, backends: &[(ServerId, ServerState, Option<Duration>)]) {
        if kind != ListKind::Changes {
            self.servers.clear();
        }
        let by_agent = kind != ListKind::Cached;
        for (id, state, started) in backends {
            match state {
                ServerState::Gone => self.servers.remove(id),
                _ => self.servers.insert(*id, HeldServer { started: *started, by_agent }),
            };
        }
    }

    /// Sets the version that the node holds now. `by_agent`: it came from an agent and not from the cached
    /// list.
    pub fn set_index(&mut self, index: u64, by_agent: bool) {
        self.index = index;
        self.agent_index = by_agent.then_some(index);
    }

    /// When stale lists are to be accepted, if any have come.
    pub fn accept_stale_at(&self) -> Option<Instant> {
        self.stale_since.map(|since| since + ACCEPT_STALE_AFTER)
    }

    /// A watch has nothing newer than the held version: the agent is not behind.
    pub fn clear_stale(&mut self) {
        self.stale_since = None;
    }

    /// Accepts the next list whatever its version, and resumes from version 0, which asks for a full
    /// snapshot.
    pub fn reset(&mut self) {
        (self.index, self.agent_index, self.stale_since) = (0, None, None);
    }
}
