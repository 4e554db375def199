//! How far the members' views agree. Every datagram carries the digest of its sender's view; a node counts
//! how many of the digests that it received recently equal its own. There is no election and no quorum
//! decision here: the result only says how certain a node can be of its view.

use crate::identity::{Identity, Name};
use crate::wire;
use std::collections::BTreeMap;
use std::time::Duration;

/// The share of recently received digests that must equal the own one. It is below 1 because a change needs a
/// few probe periods to reach all members.
const AGREED_SHARE: f64 = 0.9;
/// A received digest counts for this many probe periods. Within that time every member has probed, or has
/// been probed by, about twenty others.
const DIGEST_TTL_PERIODS: u32 = 10;
/// The views must have agreed for this many probe periods: as long as a change needs to reach all members.
const SETTLED_PERIODS: u32 = 3;

/// How certain a node can be of its view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Certainty {
    /// Nearly all members heard from recently have held the same view for some time, and the view covers more
    /// than half of the configured fleet.
    Agreed,
    /// The views differ, have not agreed for long enough, or too few members were heard from to tell.
    Diverging,
    /// The view covers half of the configured fleet or less: the other nodes may be alive in another
    /// partition.
    Minority,
}

impl Certainty {
    /// The certainty of a view with `members` members in a fleet of `fleet_size` configured nodes. `settled`
    /// says whether nearly all members heard from have held the same view for some time.
    pub fn assess(members: usize, fleet_size: usize, settled: bool) -> Self {
        if 2 * members <= fleet_size && fleet_size > 1 {
            Certainty::Minority
        } else if settled || fleet_size == 1 && members == 1 {
            Certainty::Agreed
        } else {
            Certainty::Diverging
        }
    }

    /// The number of nodes that may be alive: the members if the view is agreed, else at least the configured
    /// fleet.
    pub fn could_be_alive(self, members: usize, fleet_size: usize) -> usize {
        if self == Certainty::Agreed { members } else { members.max(fleet_size) }
    }

    /// Whether nearly all members heard from hold the same view, and enough were heard from to tell: three
    /// others, or all of them if there are fewer. A node that hears from almost nobody can't tell whether the
    /// views agree.
    pub fn views_agree(same: usize, heard: usize, members: usize) -> bool {
        heard >= members.saturating_sub(1).min(3) && same as f64 >= AGREED_SHARE * heard as f64
    }
}

/// What a node knows of the other members' views.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Agreement {
    /// How certain the node can be of its view.
    pub certainty: Certainty,
    /// The number of members heard from recently.
    pub peers_heard: usize,
    /// The share of those members that hold the same view; 1 if none was heard from.
    pub agreeing_share: f64,
    /// When the certainty last changed.
    pub since: Duration,
    /// The number of members in the view, this node included.
    pub members: usize,
    /// The digest of the view.
    pub digest: u64,
    /// The number of nodes that may be alive: the members if the view is agreed, else at least the configured
    /// fleet.
    pub could_be_alive: usize,
}

/// One member's part of a view's digest. The digest is the wrapping sum of its members' parts, so the order
/// in which members are added doesn't matter.
pub fn member_digest(member: &Identity) -> u64 {
    let bytes =
        [member.name.as_str().as_bytes(), &member.started_ms.to_be_bytes(), &member.renewed.to_be_bytes()]
            .concat();
    // In a sum of plain FNV hashes, differences of single bits could cancel each other out.
    wire::fnv1a(&bytes).wrapping_mul(0x9e37_79b9_7f4a_7c15).rotate_left(31)
}

/// The view digests received from the other members.
#[derive(Debug, Default)]
pub struct PeerViews {
    /// By member: the digest that it sent last, and when it was received.
    digests: BTreeMap<Name, (u64, Duration)>,
    /// When nearly all digests began to agree; none while they differ.
    agreeing_since: Option<Duration>,
    /// The certainty as assessed last, and when it became so.
    certainty: Option<(Certainty, Duration)>,
}

impl PeerViews {
    /// Records the digest that a member sent with a datagram.
    pub fn record(&mut self, member: &Name, digest: u64, now: Duration) {
        self.digests.insert(*member, (digest, now));
    }

    /// Drops the digest of a member that is gone.
    pub fn remove(&mut self, member: &Name) {
        self.digests.remove(member);
    }

    /// Assesses how far the others agree with a view of `members` members and this digest. `fleet_size` is
    /// the number of configured nodes.
    pub fn assess(
        &mut self,
        (members, digest): (usize, u64),
        fleet_size: usize,
        probe_period: Duration,
        now: Duration,
    ) -> Agreement {
        let digest_ttl = probe_period * DIGEST_TTL_PERIODS;
        self.digests.retain(|_, (_, received_at)| now.saturating_sub(*received_at) <= digest_ttl);
        let heard = self.digests.len();
        let same = self.digests.values().filter(|(received, _)| *received == digest).count();
        let share = if heard == 0 { 1.0 } else { same as f64 / heard as f64 };
        if Certainty::views_agree(same, heard, members) {
            self.agreeing_since = self.agreeing_since.or(Some(now));
        } else {
            self.agreeing_since = None;
        }
        let settled = self
            .agreeing_since
            .is_some_and(|since| now.saturating_sub(since) >= probe_period * SETTLED_PERIODS);
        let certainty = Certainty::assess(members, fleet_size, settled);
        let since = match self.certainty {
            Some((before, since)) if before == certainty => since,
            _ => now,
        };
        self.certainty = Some((certainty, since));
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
