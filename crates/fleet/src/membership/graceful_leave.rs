//! Graceful leave: the members that announced that they leave, which tells them apart from those that failed.

use crate::identity::{Identity, Name};
use foca::BroadcastHandler;
use serde::{Deserialize, Serialize};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

/// How long the tombstone of a dead member is kept, so that old updates can't bring it back.
pub(super) const TOMBSTONE_TTL: Duration = Duration::from_secs(600);

/// The announcement that a member leaves, disseminated as a broadcast.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct LeaveNotice {
    pub(super) name: Name,
    pub(super) started_ms: u64,
}

impl foca::Invalidates for LeaveNotice {
    fn invalidates(&self, other: &Self) -> bool {
        self.name == other.name && self.started_ms >= other.started_ms
    }
}

/// The members that announced that they leave: for each name the latest start that did, and when this was
/// learnt. They are kept as long as tombstones. Clones share one record, since foca owns the handler of
/// broadcasts.
#[derive(Clone, Default)]
pub(super) struct DepartedMembers(Rc<RefCell<Departures>>);

#[derive(Default)]
struct Departures {
    by_name: BTreeMap<Name, (u64, Duration)>,
    /// How many notices were new.
    notices: u64,
    /// The current time, since foca passes none to the handler of broadcasts.
    now: Duration,
}

impl DepartedMembers {
    /// Records a notice; returns whether it was new. At most `max_members` names are kept.
    pub(super) fn record(&self, notice: &LeaveNotice, max_members: usize) -> bool {
        let departures = &mut *self.0.borrow_mut();
        let known =
            departures.by_name.get(&notice.name).is_some_and(|(started, _)| *started >= notice.started_ms);
        if known || departures.by_name.len() >= max_members && !departures.by_name.contains_key(&notice.name)
        {
            return false;
        }
        departures.by_name.insert(notice.name, (notice.started_ms, departures.now));
        departures.notices += 1;
        true
    }

    /// How many notices were new so far.
    pub(super) fn notices(&self) -> u64 {
        self.0.borrow().notices
    }

    /// Whether this start of a member, or a later one, announced that it leaves.
    pub(super) fn contains(&self, member: &Identity) -> bool {
        self.0.borrow().by_name.get(&member.name).is_some_and(|(started, _)| *started >= member.started_ms)
    }

    /// Sets the time at which later notices are recorded.
    pub(super) fn set_now(&self, now: Duration) {
        self.0.borrow_mut().now = now;
    }

    /// Drops what is older than [`TOMBSTONE_TTL`].
    pub(super) fn prune(&self) {
        let departures = &mut *self.0.borrow_mut();
        let now = departures.now;
        departures.by_name.retain(|_, (_, recorded_at)| now.saturating_sub(*recorded_at) < TOMBSTONE_TTL);
    }
}

/// Foca's handler of broadcasts: the record of departed members, and the greatest number of names in it.
pub(super) struct LeaveBroadcasts(pub(super) DepartedMembers, pub(super) usize);

impl BroadcastHandler<Identity> for LeaveBroadcasts {
    type Key = LeaveNotice;
    type Error = postcard::Error;

    fn receive_item(
        &mut self,
        data: &[u8],
        _: Option<&Identity>,
    ) -> Result<Option<LeaveNotice>, postcard::Error> {
        let notice: LeaveNotice = postcard::from_bytes(data)?;
        let new = self.0.record(&notice, self.1);
        Ok(new.then_some(notice))
    }
}
