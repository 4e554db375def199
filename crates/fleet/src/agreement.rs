//! How far members agree. Each says the digest of its view in every datagram; a node counts how many of those that it
//! heard lately hold its own. Nothing here elects, and nothing needs a majority: it only says how sure a node may be.

use crate::identity::{Identity, Name};
use crate::wire;
use std::collections::BTreeMap;
use std::time::Duration;

/// So many of those heard have to hold the same view: a change takes a few rounds to reach all.
const AGREED: f64 = 0.9;
/// News of another's view counts for so many probe periods: by then each node has been heard, or has been probed by,
/// a score of others.
const FRESH_PERIODS: u32 = 10;
/// And it has to have been so for as long as a change needs to spread.
const SETTLED_PERIODS: u32 = 3;

/// How sure a node may be of its view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Certainty {
    /// Nearly all that it hears hold the same view, have for some time, and it is more than half of the fleet.
    Agreed,
    /// They don't, or not for long, or it hears too few to tell.
    Diverging,
    /// It sees half of the configured fleet or less: the others may be alive where it can't see them.
    Minority,
}

impl Certainty {
    /// How sure a node may be that holds so many members of a configured fleet, where nearly all that it hears have held
    /// the same view for some time, or not.
    pub fn of(members: usize, fleet_size: usize, settled: bool) -> Self {
        if 2 * members <= fleet_size && fleet_size > 1 {
            Certainty::Minority
        } else if settled || fleet_size == 1 && members == 1 {
            Certainty::Agreed
        } else {
            Certainty::Diverging
        }
    }

    /// How many nodes may be alive: the members if that is agreed, else no fewer than the configured fleet.
    pub fn could_be_alive(self, members: usize, fleet_size: usize) -> usize {
        if self == Certainty::Agreed { members } else { members.max(fleet_size) }
    }

    /// Whether so many of those heard hold the same view that they are nearly all, and enough were heard to tell: three
    /// others, or all if there are fewer. Who hears almost nobody can't tell whether they agree.
    pub fn is_alike(same: usize, heard: usize, members: usize) -> bool {
        heard >= members.saturating_sub(1).min(3) && same as f64 >= AGREED * heard as f64
    }
}

/// What a node knows of the others' views.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Agreement {
    /// How sure it may be.
    pub certainty: Certainty,
    /// Members that were heard lately, and the share of them that hold the same view.
    pub peers_heard: usize,
    /// Likewise; 1 if none was heard.
    pub agreeing_share: f64,
    /// Since when it has been as sure as this.
    pub since: Duration,
    /// Members in the view, this node included.
    pub members: usize,
    /// The digest of the view.
    pub digest: u64,
    /// How many nodes may be alive: the members if agreed, else no fewer than the configured fleet.
    pub could_be_alive: usize,
}

/// A member's part of a digest. Digests are sums: they don't hang on an order.
pub fn member_digest(member: &Identity) -> u64 {
    let bytes =
        [member.name.as_str().as_bytes(), &member.started_ms.to_be_bytes(), &member.renewed.to_be_bytes()]
            .concat();
    // Sums of FNV alone would let single bits cancel out.
    wire::hash(&bytes).wrapping_mul(0x9e37_79b9_7f4a_7c15).rotate_left(31)
}

/// The views that were heard.
#[derive(Debug, Default)]
pub struct Views {
    /// By member: the digest that it said last, and when.
    heard: BTreeMap<Name, (u64, Duration)>,
    /// Since when nearly all agree.
    alike_since: Option<Duration>,
    state: Option<(Certainty, Duration)>,
}

impl Views {
    /// A member has said the digest of its view.
    pub fn hear(&mut self, member: &Name, digest: u64, now: Duration) {
        self.heard.insert(*member, (digest, now));
    }

    /// A member is gone: what it said counts no more.
    pub fn forget(&mut self, member: &Name) {
        self.heard.remove(member);
    }

    /// How far the others agree with a view of so many members and this digest. `fleet_size` is how many nodes are configured.
    pub fn judge(
        &mut self,
        (members, digest): (usize, u64),
        fleet_size: usize,
        period: Duration,
        now: Duration,
    ) -> Agreement {
        let fresh = period * FRESH_PERIODS;
        self.heard.retain(|_, (_, at)| now.saturating_sub(*at) <= fresh);
        let heard = self.heard.len();
        let same = self.heard.values().filter(|(said, _)| *said == digest).count();
        let share = if heard == 0 { 1.0 } else { same as f64 / heard as f64 };
        if Certainty::is_alike(same, heard, members) {
            self.alike_since = self.alike_since.or(Some(now));
        } else {
            self.alike_since = None;
        }
        let settled =
            self.alike_since.is_some_and(|since| now.saturating_sub(since) >= period * SETTLED_PERIODS);
        let certainty = Certainty::of(members, fleet_size, settled);
        let since = match self.state {
            Some((before, since)) if before == certainty => since,
            _ => now,
        };
        self.state = Some((certainty, since));
        let could_be_alive = certainty.could_be_alive(members, fleet_size);
        Agreement {
            certainty,
            peers_heard: heard,
            agreeing_share: share,
            since,
            members,
            digest,
            could_be_alive,
        }
    }
}

#[cfg(test)]
mod tests;
