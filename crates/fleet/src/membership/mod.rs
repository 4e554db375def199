//! One node's view of the members of its fleet. foca implements SWIM with suspicions and incarnations; this
//! module adds the datagram header, joining by address, graceful leave, the local health score, conflicts of
//! two processes over one name, and how far the members' views agree.
//!
//! This file holds the state and its queries. `timers` runs what is due, `receive` handles datagrams, `send`
//! makes them, `changes` applies what SWIM wants done and has found out, `codec` checks what SWIM decodes,
//! and `graceful_leave` records which members left on purpose.

mod changes;
mod codec;
mod events;
mod graceful_leave;
mod receive;
mod send;
mod settings;
mod timers;

use crate::agreement::{Agreement, PeerViews, member_digest};
use crate::health::LocalHealth;
use crate::identity::{Address, Identity, Name, Phase};
use crate::state_sync::StateSync;
use crate::wire::{self, ReplayWindow};
use codec::{Observed, ObservingCodec};
pub use events::{Cause, Change, Counters, Member, Output};
use foca::Foca;
use graceful_leave::{DepartedMembers, LeaveBroadcasts};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use settings::foca_config;
pub use settings::{MAX_MEMBERS, Settings};
use std::cell::RefCell;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap};
use std::rc::Rc;
use std::time::Duration;
use timers::PendingTimer;

type Swim = Foca<Identity, ObservingCodec, Pcg32, LeaveBroadcasts>;

/// One node's membership of its fleet. All times are offsets from any fixed moment of the caller's monotonic
/// clock.
pub struct Membership {
    settings: Settings,
    swim: Swim,
    /// What the codec knows of this node and observes in messages.
    observed: Rc<RefCell<Observed>>,
    departed_members: DepartedMembers,
    /// This node.
    local: Identity,
    /// When this node started: the caller's time, and the wall clock in ms of Unix time.
    started: (Duration, u64),
    cluster_hash: u64,
    seeds: Vec<Address>,
    random: Pcg32,
    phase: Phase,
    /// The process that has taken over this node's name.
    displaced_by: Option<Identity>,
    /// The live members without this node.
    members: BTreeMap<Name, Identity>,
    /// The digest of the view, this node included.
    digest: u64,
    /// How often `members` has changed.
    view_version: u64,
    peer_views: PeerViews,
    health: LocalHealth,
    /// The sequence number of the datagram sent last.
    sequence: u64,
    /// For each sender: the start of its process, its replay window, and when its last datagram was received.
    senders: BTreeMap<Name, (u64, ReplayWindow, Duration)>,
    /// When each pending timer is due, with its id. Timers run on local time, which leaves out the time in
    /// which this node could not run; else all timeouts of a stop would come due at its end.
    due_times: BinaryHeap<Reverse<(Duration, u64)>>,
    /// The pending timers by id. Ids are in the order in which the timers were set.
    pending_timers: BTreeMap<u64, PendingTimer>,
    last_timer_id: u64,
    /// How many suspicions this node has raised itself.
    suspicions_raised: u64,
    /// The time in which this node could not run: local time is the caller's time less this.
    stalled: Duration,
    /// When the next probe period begins, on local time.
    next_period_at: Duration,
    /// From when a page may be requested again of a member with a different view, on local time.
    next_sync_at: Duration,
    /// The probe periods that have begun.
    periods: u64,
    state_sync: StateSync,
    /// Whether the direct ack of the probe in flight failed to come in time, so that indirect probes were
    /// requested.
    direct_probe_failed: bool,
    /// Whether the local health score was raised in this period since only others received a probe's ack.
    ack_missed: bool,
    /// The number of members at the start of the period. While the view still grows by more than a tenth in a
    /// period, the local health score is kept up, since such a view is no ground for declaring members dead.
    members_at_period_start: usize,
    /// The members that went most recently, oldest first, with the cause and the time.
    departed: Vec<(Identity, Cause, Duration)>,
    /// How many leave notices were considered for `departed`.
    leave_notices_seen: u64,
    counters: Counters,
}

impl Membership {
    /// A node that knows no other member yet. `seeds` are addresses at which others may be; at most
    /// `max_members` of them are tried. `seed` seeds the random numbers.
    pub fn new(local: Identity, settings: Settings, seeds: Vec<Address>, seed: u64, now: Duration) -> Self {
        let mut random = Pcg32::seed_from_u64(seed);
        let departed_members = DepartedMembers::default();
        let observed = Rc::new(RefCell::new(Observed {
            local: local.clone(),
            names: BTreeSet::new(),
            max_members: settings.max_members,
            later_process: None,
            earlier_start: None,
            now_ms: local.started_ms,
            suspicions: 0,
        }));
        let swim = Foca::with_custom_broadcast(
            local.clone(),
            foca_config(&settings, 1),
            Pcg32::seed_from_u64(random.random()),
            ObservingCodec(foca::PostcardCodec, observed.clone()),
            LeaveBroadcasts(departed_members.clone(), settings.max_members),
        );
        // Spread out, so that nodes that start together don't all contact the seeds at once.
        let next_period_at = now + settings.probe_timeout.mul_f64(random.random());
        let mut seeds = seeds;
        seeds.retain(|address| *address != local.address);
        seeds.truncate(settings.max_members);
        Membership {
            cluster_hash: wire::fnv1a(settings.cluster.as_bytes()),
            digest: member_digest(&local),
            settings,
            swim,
            observed,
            departed_members,
            started: (now, local.started_ms),
            local,
            seeds,
            random,
            phase: Phase::Joining,
            displaced_by: None,
            members: BTreeMap::new(),
            view_version: 0,
            peer_views: PeerViews::default(),
            health: LocalHealth::default(),
            sequence: 0,
            senders: BTreeMap::new(),
            due_times: BinaryHeap::new(),
            pending_timers: BTreeMap::new(),
            last_timer_id: 0,
            suspicions_raised: 0,
            stalled: Duration::ZERO,
            next_period_at,
            next_sync_at: Duration::ZERO,
            periods: 0,
            state_sync: StateSync::default(),
            direct_probe_failed: false,
            ack_missed: false,
            members_at_period_start: 0,
            departed: Vec::new(),
            leave_notices_seen: 0,
            counters: Counters::default(),
        }
    }

    /// This node's identity. It changes when the node rejoins after it was declared dead.
    pub fn local_identity(&self) -> &Identity {
        &self.local
    }

    /// The stage of this node's membership.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// The process that has taken over this node's name, if one has.
    pub fn displaced_by(&self) -> Option<&Identity> {
        self.displaced_by.as_ref()
    }

    /// This node's local health.
    pub fn health(&self) -> LocalHealth {
        self.health
    }

    /// The counters since the start.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// The members that went most recently, oldest first, with the cause and how long ago they went.
    pub fn departed(&self, now: Duration) -> impl Iterator<Item = (&Identity, Cause, Duration)> {
        self.departed.iter().map(move |(member, cause, at)| (member, *cause, now.saturating_sub(*at)))
    }

    /// All members without this node, by name.
    pub fn members(&self, now: Duration) -> Vec<Member> {
        let states: HashMap<_, _> =
            self.swim.iter_membership_state().map(|member| (&member.id().name, member)).collect();
        let member = |identity: &Identity| {
            let state = states.get(&identity.name);
            Member {
                identity: identity.clone(),
                suspect: state.is_some_and(|state| state.state() == foca::State::Suspect),
                incarnation: state.map_or(0, |state| state.incarnation()),
                heard_ago: self
                    .senders
                    .get(&identity.name)
                    .map(|(_, _, received_at)| now.saturating_sub(*received_at)),
            }
        };
        self.members.values().map(member).collect()
    }

    /// The identities of all members without this node, by name; cheaper than [`Membership::members`].
    pub fn identities(&self) -> impl Iterator<Item = &Identity> {
        self.members.values()
    }

    /// A number that changes whenever a member joins, goes or restarts.
    pub fn view_version(&self) -> u64 {
        self.view_version
    }

    /// This node's rank among the live members by name, from 0.
    pub fn rank(&self) -> usize {
        self.members.range(..self.local.name).count()
    }

    /// How far other members agree with this node's view.
    pub fn agreement(&mut self, now: Duration) -> Agreement {
        let view = (self.members.len() + 1, self.digest);
        self.peer_views.assess(view, self.settings.fleet_size, self.settings.probe_period, now)
    }
}
