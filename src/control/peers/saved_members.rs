//! The members that a node keeps on disk, so that a start finds them again.

use crate::control::config::MAX_PEERS;
use crate::control::log::log;
use crate::control::saved_file;
use hillpick_fleet::{Address, Membership, Name};
use serde::{Deserialize, Serialize};
use std::path::PathBuf;
use tokio::task::{JoinHandle, spawn_blocking};

/// What a start finds again of the life before: when that began, and whom it knew.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(super) struct Saved {
    pub(super) started_ms: u64,
    pub(super) members: Vec<(Name, Address)>,
}

/// What the disk holds, and the write that is under way.
pub(super) struct SavedMembers {
    path: Option<PathBuf>,
    pub(super) saved: Saved,
    /// The version of the view that was looked at last. A view that has not changed is not listed again.
    looked_at: Option<u64>,
    /// How often a view was listed.
    pub(super) listed: u64,
    writing: Option<JoinHandle<()>>,
}

impl SavedMembers {
    /// Kept in this file, if there is one to be.
    pub(super) fn new(path: Option<PathBuf>) -> Self {
        SavedMembers { path, saved: Saved::default(), looked_at: None, listed: 0, writing: None }
    }

    /// What the life before has left. A file that is broken is no reason not to start: `peers` is there as well.
    pub(super) fn load(&mut self) {
        let Some(path) = &self.path else { return };
        match saved_file::load::<Saved>(path) {
            Ok(None) => {}
            Ok(Some(kept)) => {
                let known = kept.value.members.len();
                let age =
                    kept.age.map_or("of an unknown age".into(), |age| format!("{} s old", age.as_secs()));
                log(format_args!("{known} saved members, {age}, to be asked who lives"));
                self.saved = kept.value;
                self.saved.members.truncate(MAX_PEERS);
            }
            Err(problem) => log(format_args!("no saved members from {}: {problem}", path.display())),
        }
    }

    /// Another life of this node has begun: its view counts from anew.
    pub(super) fn starts(&mut self, started_ms: u64) {
        self.saved.started_ms = started_ms;
        self.looked_at = None;
    }

    /// Writes the members to disk if they have changed, off the thread that serves. Who knows nobody keeps what was known.
    pub(super) fn save(&mut self, core: &Membership) {
        let Some(path) = self.path.clone() else { return };
        if self.writing.as_ref().is_some_and(|writing| !writing.is_finished()) {
            return;
        }
        if self.looked_at.replace(core.view_version()) == Some(core.view_version()) {
            return;
        }
        self.listed += 1;
        let members = core.identities().map(|identity| (identity.name, identity.address)).collect();
        let now = Saved { started_ms: core.local_identity().started_ms, members };
        if now.members.is_empty() || now == self.saved {
            return;
        }
        self.saved = now.clone();
        self.writing = Some(spawn_blocking(move || {
            if let Err(e) = saved_file::save(&path, &now) {
                log(format_args!("cannot save the members to {}: {e}", path.display()));
            }
        }));
    }
}
