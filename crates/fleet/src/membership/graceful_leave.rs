//! Who has left by its own will: told apart from failure.

use crate::identity::{Identity, Name};
use foca::BroadcastHandler;
use serde::{Deserialize, Serialize};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

/// How long a dead life is remembered, so that old news of it raises nobody.
pub(super) const TOMBSTONE_TTL: Duration = Duration::from_secs(600);

/// News that a member has left by its own will.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Left {
    pub(super) name: Name,
    pub(super) started_ms: u64,
}

impl foca::Invalidates for Left {
    fn invalidates(&self, other: &Self) -> bool {
        self.name == other.name && self.started_ms >= other.started_ms
    }
}

/// Those who have said that they leave: the latest life of each name and when that was heard, for as long as a dead life
/// is remembered.
#[derive(Clone, Default)]
pub(super) struct Leavers(Rc<RefCell<Departures>>);

#[derive(Default)]
struct Departures {
    by_name: BTreeMap<Name, (u64, Duration)>,
    /// How often there was news.
    news: u64,
    /// What time it is: SWIM calls without one.
    now: Duration,
}

impl Leavers {
    pub(super) fn note(&self, left: &Left, max_members: usize) -> bool {
        let gone = &mut *self.0.borrow_mut();
        let known = gone.by_name.get(&left.name).is_some_and(|(started, _)| *started >= left.started_ms);
        if known || gone.by_name.len() >= max_members && !gone.by_name.contains_key(&left.name) {
            return false;
        }
        gone.by_name.insert(left.name, (left.started_ms, gone.now));
        gone.news += 1;
        true
    }

    pub(super) fn news(&self) -> u64 {
        self.0.borrow().news
    }

    pub(super) fn has(&self, member: &Identity) -> bool {
        self.0.borrow().by_name.get(&member.name).is_some_and(|(started, _)| *started >= member.started_ms)
    }

    pub(super) fn set_now(&self, now: Duration) {
        self.0.borrow_mut().now = now;
    }

    pub(super) fn prune(&self) {
        let gone = &mut *self.0.borrow_mut();
        let now = gone.now;
        gone.by_name.retain(|_, (_, at)| now.saturating_sub(*at) < TOMBSTONE_TTL);
    }
}

pub(super) struct Broadcasts(pub(super) Leavers, pub(super) usize);

impl BroadcastHandler<Identity> for Broadcasts {
    type Key = Left;
    type Error = postcard::Error;

    fn receive_item(&mut self, data: &[u8], _: Option<&Identity>) -> Result<Option<Left>, postcard::Error> {
        let left: Left = postcard::from_bytes(data)?;
        let new = self.0.note(&left, self.1);
        Ok(new.then_some(left))
    }
}
