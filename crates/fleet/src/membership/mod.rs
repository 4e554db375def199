//! The members of a fleet, as one of them sees it. SWIM itself, its suspicions and incarnations, is foca's; around it are
//! the datagram's head, joining by address, leaving that is told apart from failure, a node's doubt of itself, names
//! that two processes claim, and how far members agree.
//!
//! This file holds the state and what may be asked of it. `timers` runs what is due, `receive` takes datagrams in, `send`
//! makes them, `changes` carries out what SWIM has found, `codec` looks at what SWIM reads, `graceful_leave` remembers who left.

mod changes;
mod codec;
mod events;
mod graceful_leave;
mod receive;
mod send;
mod settings;
mod timers;

use crate::agreement::{Agreement, Views, member_digest};
use crate::health::Health;
use crate::identity::{Address, Identity, Name, Phase};
use crate::state_sync::Pages;
use crate::wire::{self, Window};
use codec::{Observed, ObservingCodec};
pub use events::{Cause, Change, Counters, Member, Output};
use foca::Foca;
use graceful_leave::{Broadcasts, Leavers};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use settings::config;
pub use settings::{MAX_MEMBERS, Settings};
use std::cell::RefCell;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap};
use std::rc::Rc;
use std::time::Duration;
use timers::PendingTimer;

type Swim = Foca<Identity, ObservingCodec, Pcg32, Broadcasts>;

/// One member's knowledge of all. Times are since any fixed moment of the caller's monotonic clock.
pub struct Membership {
    settings: Settings,
    swim: Swim,
    observed: Rc<RefCell<Observed>>,
    leavers: Leavers,
    me: Identity,
    /// When it began, and what its wall clock said then, in ms of Unix time.
    begun: (Duration, u64),
    cluster: u64,
    seeds: Vec<Address>,
    random: Pcg32,
    phase: Phase,
    displaced: Option<Identity>,
    /// The members that are alive but for this one, and the sum of the parts of all.
    members: BTreeMap<Name, Identity>,
    digest: u64,
    /// How often `members` has changed.
    version: u64,
    views: Views,
    health: Health,
    sequence: u64,
    /// Of each sender: its life, which of its datagrams have come, and when the last one did.
    windows: BTreeMap<Name, (u64, Window, Duration)>,
    /// SWIM's timers, and the order in which they were set. They run on this node's own time: what it could not run is
    /// left out of it, or else the time-outs of a stop would all come due at its end.
    timers: BinaryHeap<Reverse<(Duration, u64)>>,
    waiting: BTreeMap<u64, PendingTimer>,
    timers_set: u64,
    /// Suspicions that this node has raised itself.
    suspicions: u64,
    lost: Duration,
    /// On the same time: when to look for others, and when a differing view may be asked after again.
    seek_at: Duration,
    ask_at: Duration,
    turns: u64,
    pages: Pages,
    /// The probe in flight: whether its direct answer failed to come in time, and whether its target was then taken
    /// for suspect.
    unanswered: bool,
    doubted_now: bool,
    /// Members known when the last period began: a view that still grows by more than a tenth is no ground for deaths.
    known_before: usize,
    departed: Vec<(Identity, Cause, Duration)>,
    leavers_seen: u64,
    counters: Counters,
}

impl Membership {
    /// A member that knows nobody yet. `seeds` are addresses at which others may be; more than `max_members` are not tried.
    pub fn new(me: Identity, settings: Settings, seeds: Vec<Address>, seed: u64, now: Duration) -> Self {
        let mut random = Pcg32::seed_from_u64(seed);
        let leavers = Leavers::default();
        let observed = Rc::new(RefCell::new(Observed {
            me: me.clone(),
            names: BTreeSet::new(),
            max_members: settings.max_members,
            later_process: None,
            earlier: None,
            now_ms: me.started_ms,
            doubted: 0,
        }));
        let swim = Foca::with_custom_broadcast(
            me.clone(),
            config(&settings, 1),
            Pcg32::seed_from_u64(random.random()),
            ObservingCodec(foca::PostcardCodec, observed.clone()),
            Broadcasts(leavers.clone(), settings.max_members),
        );
        // Nodes that start together don't all call at once.
        let seek_at = now + settings.probe_timeout.mul_f64(random.random());
        let mut seeds = seeds;
        seeds.retain(|address| *address != me.address);
        seeds.truncate(settings.max_members);
        Membership {
            cluster: wire::hash(settings.cluster.as_bytes()),
            digest: member_digest(&me),
            settings,
            swim,
            observed,
            leavers,
            begun: (now, me.started_ms),
            me,
            seeds,
            random,
            phase: Phase::Joining,
            displaced: None,
            members: BTreeMap::new(),
            version: 0,
            views: Views::default(),
            health: Health::default(),
            sequence: 0,
            windows: BTreeMap::new(),
            timers: BinaryHeap::new(),
            waiting: BTreeMap::new(),
            timers_set: 0,
            suspicions: 0,
            lost: Duration::ZERO,
            seek_at,
            ask_at: Duration::ZERO,
            turns: 0,
            pages: Pages::default(),
            unanswered: false,
            doubted_now: false,
            known_before: 0,
            departed: Vec::new(),
            leavers_seen: 0,
            counters: Counters::default(),
        }
    }

    /// Who this node is, as it is now: another life if it came back after it was taken for dead.
    pub fn local_identity(&self) -> &Identity {
        &self.me
    }

    /// What it is about.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// The process that has taken this one's name over, if one has.
    pub fn displaced_by(&self) -> Option<&Identity> {
        self.displaced.as_ref()
    }

    /// How it does itself.
    pub fn health(&self) -> Health {
        self.health
    }

    /// What has been counted.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Members that went lately, oldest first: why, and how long ago.
    pub fn departed(&self, now: Duration) -> impl Iterator<Item = (&Identity, Cause, Duration)> {
        self.departed.iter().map(move |(who, cause, at)| (who, *cause, now.saturating_sub(*at)))
    }

    /// All members but this one, by name.
    pub fn members(&self, now: Duration) -> Vec<Member> {
        let states: HashMap<_, _> =
            self.swim.iter_membership_state().map(|member| (&member.id().name, member)).collect();
        let member = |identity: &Identity| {
            let state = states.get(&identity.name);
            Member {
                identity: identity.clone(),
                suspect: state.is_some_and(|state| state.state() == foca::State::Suspect),
                incarnation: state.map_or(0, |state| state.incarnation()),
                heard_ago: self.windows.get(&identity.name).map(|(_, _, at)| now.saturating_sub(*at)),
            }
        };
        self.members.values().map(member).collect()
    }

    /// The members but this one, by name: who they are, without how they are seen.
    pub fn identities(&self) -> impl Iterator<Item = &Identity> {
        self.members.values()
    }

    /// Another number whenever a member has come, has gone or is in another life.
    pub fn view_version(&self) -> u64 {
        self.version
    }

    /// This node's place among the live members, by name, from 0.
    pub fn rank(&self) -> usize {
        self.members.range(..self.me.name).count()
    }

    /// How far others agree with this node's view.
    pub fn agreement(&mut self, now: Duration) -> Agreement {
        let view = (self.members.len() + 1, self.digest);
        self.views.judge(view, self.settings.fleet_size, self.settings.probe_period, now)
    }
}
