//! Persisted peers: the members that a node saves to disk, so that it finds them after a restart.

use crate::control::config::MAX_PEERS;
use crate::control::log::log;
use crate::control::saved_file;
use hillpick_fleet::{Address, Membership, Name};
use serde::{Deserialize, Serialize};
use std::path::PathBuf;
use tokio::task::{JoinHandle, spawn_blocking};

/// The content of the saved file: the start time of the incarnation that wrote it, and the members that it
/// knew.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(super) struct SavedContent {
    pub(super) started_ms: u64,
    pub(super) members: Vec<(Name, Address)>,
}

/// The saved file and its content, and the write in progress.
pub(super) struct SavedMembers {
    path: Option<PathBuf>,
    pub(super) content: SavedContent,
    /// The view's version at the last [`SavedMembers::save`]: an unchanged view is not listed again.
    last_version: Option<u64>,
    /// How often the members of a view were listed, for tests.
    pub(super) list_count: u64,
    writing: Option<JoinHandle<()>>,
}

impl SavedMembers {
    /// Saves to this file; to none without a path.
    pub(super) fn new(path: Option<PathBuf>) -> Self {
        SavedMembers {
            path,
            content: SavedContent::default(),
            last_version: None,
            list_count: 0,
            writing: None,
        }
    }

    /// Loads what the previous process saved. A broken file does not prevent the start, since the
    /// configuration's `peers` are seed addresses too.
    pub(super) fn load(&mut self) {
        let Some(path) = &self.path else { return };
        match saved_file::load::<SavedContent>(path) {
            Ok(None) => {}
            Ok(Some(loaded)) => {
                let known = loaded.value.members.len();
                let age =
                    loaded.age.map_or("of unknown age".into(), |age| format!("{} s old", age.as_secs()));
                log(format_args!("{known} saved members, {age}, used as seed addresses"));
                self.content = loaded.value;
                self.content.members.truncate(MAX_PEERS);
            }
            Err(error) => log(format_args!("cannot load saved members from {}: {error}", path.display())),
        }
    }

    /// Starts a new incarnation of this node, whose view versions count from 0 again.
    pub(super) fn begin_incarnation(&mut self, started_ms: u64) {
        self.content.started_ms = started_ms;
        self.last_version = None;
    }

    /// Writes the members to disk if they have changed, on a blocking thread. An empty view is not written,
    /// so that a node that has not found any member yet keeps the saved ones.
    pub(super) fn save(&mut self, core: &Membership) {
        let Some(path) = self.path.clone() else { return };
        if self.writing.as_ref().is_some_and(|writing| !writing.is_finished()) {
            return;
        }
        if self.last_version.replace(core.view_version()) == Some(core.view_version()) {
            return;
        }
        self.list_count += 1;
        let members = core.identities().map(|identity| (identity.name, identity.address)).collect();
        let current = SavedContent { started_ms: core.local_identity().started_ms, members };
        if current.members.is_empty() || current == self.content {
            return;
        }
        self.content = current.clone();
        self.writing = Some(spawn_blocking(move || {
            if let Err(e) = saved_file::save(&path, &current) {
                log(format_args!("cannot save the members to {}: {e}", path.display()));
            }
        }));
    }
}
