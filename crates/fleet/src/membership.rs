//! The members of a fleet, as one of them sees it. SWIM itself, its suspicions and incarnations, is foca's; around it are
//! the datagram's head, joining by address, leaving that is told apart from failure, a node's doubt of itself, names
//! that two processes claim, and how far members agree.

use crate::agreement::{Agreement, Views, part};
use crate::health::Health;
use crate::identity::{Address, Identity, Name, Phase};
use crate::pages::{Ask, FIT, Page, Pages};
use crate::wire::{self, BODY, Head, Rejected, Window};
use foca::{AccumulatingRuntime, BroadcastHandler, Codec, Foca, OwnedNotification, PeriodicParams, Timer};
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use serde::{Deserialize, Serialize};
use std::cell::RefCell;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::num::{NonZeroU8, NonZeroUsize};
use std::ops::Bound;
use std::rc::Rc;
use std::time::Duration;

/// A body that is SWIM's, and the two that make a newcomer and a member known to each other: SWIM sends to identities,
/// and a newcomer knows only addresses.
const SWIM: u8 = 0;
const HELLO: u8 = 1;
const WELCOME: u8 = 2;
/// Its sender wants a page of the other's list of members, and here it is.
const ASK: u8 = 3;
const PAGE: u8 = 4;
/// Addresses that a newcomer tries in a period, and a member in ten: those may be of a part that was cut off.
const TRIES: usize = 3;
/// A suspect is dead after so many periods for each factor of ten members (memberlist's rule, with half its multiple:
/// the fleet's periods are short beside its deadlines for knowing).
const SUSPICION: f64 = 2.0;
/// A suspicion is so many parts long, and after each but the last the suspect itself is called: at a loss of a fifth each
/// way, three calls reach it and back 19 times in 20.
const CALLS: u32 = 4;
/// Members asked to probe in one's stead (SWIM's k).
const INDIRECT: NonZeroUsize = NonZeroUsize::new(3).unwrap();
/// Times that each piece of news is passed on by each member (foca's advice for large clusters is 15).
const PASSED_ON: NonZeroU8 = NonZeroU8::new(10).unwrap();
/// How long a dead life is remembered, so that old news of it raises nobody.
const REMEMBERED: Duration = Duration::from_secs(600);
/// A start that lies so far in this node's future was not measured by a clock like its own is now: clocks of one fleet
/// are kept within seconds of each other, and what is set back by less is as well waited for.
const FUTURE: Duration = Duration::from_secs(60);
/// Departures that are kept to be shown.
const DEPARTED: usize = 256;
/// In a period, so many who are found to hold another view are asked for a page of theirs.
const ASK_EVERY: u32 = 4;

/// What a member is told.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The cluster's name: others' datagrams are dropped.
    pub cluster: String,
    /// How many nodes are configured.
    pub tier: usize,
    /// How often a member probes another.
    pub period: Duration,
    /// How long it waits for the answer before it asks others to probe; well under half of a period.
    pub patience: Duration,
    /// No more members than this are kept.
    pub most: usize,
    /// Whether the node doubts itself (Lifeguard's idea) and calls a suspect before it takes others for dead; without it,
    /// for comparison alone, time-outs are what they are, and those of a stop come due at its end.
    pub doubts_itself: bool,
}

impl Settings {
    /// The usual ones: a probe a second, 300 ms for its answer (peers' messages take up to 14 ms each way), 2,000 members.
    pub fn usual(cluster: &str, tier: usize) -> Self {
        Settings {
            cluster: cluster.into(),
            tier,
            period: Duration::from_secs(1),
            patience: Duration::from_millis(300),
            most: 2_000,
            doubts_itself: true,
        }
    }
}

/// Why a member came or went.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// It was not known before.
    Joined,
    /// It has started anew, or has come back after it was taken for dead.
    Returned,
    /// It said that it leaves.
    Left,
    /// It answered nobody.
    Failed,
}

/// A member has come or gone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// Who.
    pub member: Identity,
    /// How.
    pub cause: Cause,
}

/// Something to be done, or to be known.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// A datagram, of no more than 256 bytes.
    Send {
        /// Where to.
        to: Address,
        /// The datagram.
        data: Vec<u8>,
    },
    /// A member has come or gone.
    Changed(Change),
    /// Another process bears this one's name and has started later: this one is no member any more, until it is
    /// started again.
    Displaced(Identity),
}

/// A member, as it is seen.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    /// Who.
    pub identity: Identity,
    /// Somebody doubts that it lives.
    pub suspect: bool,
    /// SWIM's incarnation of this life.
    pub incarnation: u16,
    /// How long ago it was heard by this node itself, if it was.
    pub heard: Option<Duration>,
}

/// What has been counted.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Datagrams sent, and their bytes.
    pub sent: u64,
    /// Likewise.
    pub sent_bytes: u64,
    /// Datagrams heard and taken in.
    pub heard: u64,
    /// Dropped, by why.
    pub rejected: BTreeMap<Rejected, u64>,
    /// Times that others doubted this node.
    pub doubted: u64,
    /// Times that it came back after it was taken for dead.
    pub renewed: u64,
    /// Suspects that were not taken for dead, since they were heard meanwhile.
    pub spared: u64,
    /// Members that failed, and that left.
    pub failed: u64,
    /// Likewise.
    pub left: u64,
}

/// What the codec sees go by.
struct Seen {
    me: Identity,
    known: usize,
    most: usize,
    /// A later life under this node's name.
    usurper: Option<Identity>,
    /// When this node's own earlier life started, by a clock that has been set back since.
    earlier: Option<u64>,
    /// What its clock says now, in ms of Unix time.
    now_ms: u64,
    doubted: u64,
}

impl Seen {
    /// Whether this is this node itself, in a life before its clock was set back: nobody else is at its address, and no
    /// start can lie so far in the future.
    fn is_earlier_self(&mut self, id: &Identity) -> bool {
        let future = self.now_ms.saturating_add(FUTURE.as_millis() as u64);
        let it = id.name == self.me.name && id.address == self.me.address && id.started_ms > future;
        if it {
            self.earlier = self.earlier.max(Some(id.started_ms));
        }
        it
    }

    /// What is said of a member: whether that may be taken in.
    fn take_in(&mut self, id: &Identity, state: foca::State) -> Result<(), Unfit> {
        if *id == self.me {
            self.doubted += u64::from(state == foca::State::Suspect);
        } else if id.name == self.me.name {
            if self.is_earlier_self(id) {
                return Err(Unfit::Usurped);
            }
            if id.started_ms > self.me.started_ms && state != foca::State::Down {
                self.usurper = Some(id.clone());
                return Err(Unfit::Usurped);
            }
        } else if self.known >= self.most {
            return Err(Unfit::Malformed);
        }
        Ok(())
    }
}

/// SWIM's messages in postcard's form, with a look at what they say of this node.
struct Watching(foca::PostcardCodec, Rc<RefCell<Seen>>);

/// A message that is not taken in.
#[derive(Debug, thiserror::Error)]
enum Unfit {
    #[error("malformed")]
    Malformed,
    #[error("it says that another process bears this one's name")]
    Usurped,
}

impl Codec<Identity> for Watching {
    type Error = Unfit;

    fn encode_header(
        &mut self,
        header: &foca::Header<Identity>,
        buf: impl bytes::BufMut,
    ) -> Result<(), Unfit> {
        self.0.encode_header(header, buf).map_err(|_| Unfit::Malformed)
    }

    fn decode_header(&mut self, buf: impl bytes::Buf) -> Result<foca::Header<Identity>, Unfit> {
        let header: foca::Header<Identity> = self.0.decode_header(buf).map_err(|_| Unfit::Malformed)?;
        // Who still probes an earlier life lets this one know of it.
        if self.1.borrow_mut().is_earlier_self(&header.dst) {
            return Err(Unfit::Usurped);
        }
        Ok(header)
    }

    fn encode_member(
        &mut self,
        member: &foca::Member<Identity>,
        buf: impl bytes::BufMut,
    ) -> Result<(), Unfit> {
        self.0.encode_member(member, buf).map_err(|_| Unfit::Malformed)
    }

    fn decode_member(&mut self, buf: impl bytes::Buf) -> Result<foca::Member<Identity>, Unfit> {
        let member: foca::Member<Identity> = self.0.decode_member(buf).map_err(|_| Unfit::Malformed)?;
        self.1.borrow_mut().take_in(member.id(), member.state())?;
        Ok(member)
    }
}

/// News that a member has left by its own will.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Left {
    name: Name,
    started_ms: u64,
}

impl foca::Invalidates for Left {
    fn invalidates(&self, other: &Self) -> bool {
        self.name == other.name && self.started_ms >= other.started_ms
    }
}

/// Those who have said that they leave: the latest life of each name and when that was heard, for as long as a dead life
/// is remembered.
#[derive(Clone, Default)]
struct Leavers(Rc<RefCell<Gone>>);

#[derive(Default)]
struct Gone {
    by_name: BTreeMap<Name, (u64, Duration)>,
    /// How often there was news.
    news: u64,
    /// What time it is: SWIM calls without one.
    now: Duration,
}

impl Leavers {
    fn note(&self, left: &Left, most: usize) -> bool {
        let gone = &mut *self.0.borrow_mut();
        let known = gone.by_name.get(&left.name).is_some_and(|(started, _)| *started >= left.started_ms);
        if known || gone.by_name.len() >= most && !gone.by_name.contains_key(&left.name) {
            return false;
        }
        gone.by_name.insert(left.name, (left.started_ms, gone.now));
        gone.news += 1;
        true
    }

    fn news(&self) -> u64 {
        self.0.borrow().news
    }

    fn has(&self, member: &Identity) -> bool {
        self.0.borrow().by_name.get(&member.name).is_some_and(|(started, _)| *started >= member.started_ms)
    }

    fn is_now(&self, now: Duration) {
        self.0.borrow_mut().now = now;
    }

    fn prune(&self) {
        let gone = &mut *self.0.borrow_mut();
        let now = gone.now;
        gone.by_name.retain(|_, (_, at)| now.saturating_sub(*at) < REMEMBERED);
    }
}

struct Broadcasts(Leavers, usize);

impl BroadcastHandler<Identity> for Broadcasts {
    type Key = Left;
    type Error = postcard::Error;

    fn receive_item(&mut self, data: &[u8], _: Option<&Identity>) -> Result<Option<Left>, postcard::Error> {
        let left: Left = postcard::from_bytes(data)?;
        let new = self.0.note(&left, self.1);
        Ok(new.then_some(left))
    }
}

/// One of SWIM's timers that waits; a suspicion waits in parts.
struct Waiting {
    timer: Timer<Identity>,
    suspicion: Option<Suspicion>,
}

/// A suspicion of this node's own: since when, how long each of its parts is, and how many are left.
struct Suspicion {
    since: Duration,
    part: Duration,
    left: u32,
}

type Swim = Foca<Identity, Watching, Pcg32, Broadcasts>;

/// One member's knowledge of all. Times are since any fixed moment of the caller's monotonic clock.
pub struct Membership {
    settings: Settings,
    swim: Swim,
    seen: Rc<RefCell<Seen>>,
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
    views: Views,
    health: Health,
    sequence: u64,
    /// Of each sender: its life, which of its datagrams have come, and when the last one did.
    windows: BTreeMap<Name, (u64, Window, Duration)>,
    /// SWIM's timers, and the order in which they were set. They run on this node's own time: what it could not run is
    /// left out of it, or else the time-outs of a stop would all come due at its end.
    timers: BinaryHeap<Reverse<(Duration, u64)>>,
    waiting: BTreeMap<u64, Waiting>,
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
    /// A member that knows nobody yet. `seeds` are addresses at which others may be; more than `most` are not tried.
    pub fn new(me: Identity, settings: Settings, seeds: Vec<Address>, seed: u64, now: Duration) -> Self {
        let mut random = Pcg32::seed_from_u64(seed);
        let leavers = Leavers::default();
        let seen = Rc::new(RefCell::new(Seen {
            me: me.clone(),
            known: 0,
            most: settings.most,
            usurper: None,
            earlier: None,
            now_ms: me.started_ms,
            doubted: 0,
        }));
        let swim = Foca::with_custom_broadcast(
            me.clone(),
            config(&settings, 1),
            Pcg32::seed_from_u64(random.random()),
            Watching(foca::PostcardCodec, seen.clone()),
            Broadcasts(leavers.clone(), settings.most),
        );
        // Nodes that start together don't all call at once.
        let seek_at = now + settings.patience.mul_f64(random.random());
        let mut seeds = seeds;
        seeds.retain(|address| *address != me.address);
        seeds.truncate(settings.most);
        Membership {
            cluster: wire::hash(settings.cluster.as_bytes()),
            digest: part(&me),
            settings,
            swim,
            seen,
            leavers,
            begun: (now, me.started_ms),
            me,
            seeds,
            random,
            phase: Phase::Joining,
            displaced: None,
            members: BTreeMap::new(),
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
    pub fn me(&self) -> &Identity {
        &self.me
    }

    /// What it is about.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// The process that has taken this one's name over, if one has.
    pub fn displaced(&self) -> Option<&Identity> {
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
        let states: BTreeMap<_, _> =
            self.swim.iter_membership_state().map(|member| (&member.id().name, member)).collect();
        let member = |identity: &Identity| {
            let state = states.get(&identity.name);
            Member {
                identity: identity.clone(),
                suspect: state.is_some_and(|state| state.state() == foca::State::Suspect),
                incarnation: state.map_or(0, |state| state.incarnation()),
                heard: self.windows.get(&identity.name).map(|(_, _, at)| now.saturating_sub(*at)),
            }
        };
        self.members.values().map(member).collect()
    }

    /// This node's place among the live members, by name, from 0.
    pub fn rank(&self) -> usize {
        self.members.range(..self.me.name).count()
    }

    /// How far others agree with this node's view.
    pub fn agreement(&mut self, now: Duration) -> Agreement {
        let view = (self.members.len() + 1, self.digest);
        self.views.judge(view, self.settings.tier, self.settings.period, now)
    }

    /// When [`Membership::tick`] is to be called at the latest.
    pub fn wake_at(&self) -> Option<Duration> {
        if self.displaced.is_some() || self.phase == Phase::Leaving {
            return None;
        }
        let timer = self.timers.peek().map_or(self.seek_at, |Reverse((at, _))| *at);
        Some(timer.min(self.seek_at) + self.lost)
    }

    /// This node's own time: what it was late is left out. Being late is also what it doubts itself for.
    fn own_time(&mut self, now: Duration) -> Duration {
        self.leavers.is_now(now);
        let own = now.saturating_sub(self.lost);
        if !self.settings.doubts_itself {
            return own;
        }
        let due = self.timers.peek().map_or(self.seek_at, |Reverse((at, _))| *at).min(self.seek_at);
        let late = own.saturating_sub(due);
        if late > self.settings.patience / 2 {
            self.lost += late;
            self.health.late(late, self.settings.patience);
            return own - late;
        }
        own
    }

    /// Time has passed: whatever is due is done.
    pub fn tick(&mut self, now: Duration, out: &mut Vec<Output>) {
        if self.displaced.is_some() || self.phase == Phase::Leaving {
            return;
        }
        let own = self.own_time(now);
        while self.timers.peek().is_some_and(|Reverse((at, _))| *at <= own) {
            let Some(Reverse((_, number))) = self.timers.pop() else { break };
            let Some(waiting) = self.waiting.remove(&number) else { continue };
            let Some(timer) = self.ripe(waiting, own, out) else { continue };
            let mut effects = AccumulatingRuntime::new();
            let (indirect, next) = (
                matches!(timer, Timer::SendIndirectProbe { .. }),
                matches!(timer, Timer::ProbeRandomMember(_)),
            );
            let suspects = self.suspicions;
            // An error here is a message that could not be made: there is none to send then.
            let _ = self.swim.handle_timer(timer, &mut effects);
            let sent = self.take(effects, now, out);
            if indirect {
                self.unanswered = sent > 0;
            }
            if next && std::mem::take(&mut self.unanswered) && self.suspicions == suspects {
                // The answer came to others, who asked in this node's stead: it is this node that is hard to reach.
                self.health.doubted();
                self.doubted_now = true;
            }
        }
        if own >= self.seek_at {
            self.period_over();
            self.seek(out);
            self.seek_at = own + self.settings.period;
        }
    }

    /// A timer that has come due, if it is to be carried out now. A suspect that has been heard since is not dead, whatever
    /// became of the probes; one that has not is called, until the last part of the suspicion is over.
    fn ripe(&mut self, waiting: Waiting, own: Duration, out: &mut Vec<Output>) -> Option<Timer<Identity>> {
        let Waiting { timer, suspicion } = waiting;
        let (Timer::ChangeSuspectToDown { member_id, .. }, Some(mut it)) = (&timer, suspicion) else {
            return Some(timer);
        };
        let window = self.windows.get(&member_id.name);
        if window.is_some_and(|(life, _, at)| *life == member_id.started_ms && *at > it.since) {
            self.counters.spared += 1;
            return None;
        }
        it.left -= 1;
        if it.left == 0 {
            return Some(timer);
        }
        self.greet(HELLO, member_id.address, out);
        let at = own + it.part;
        self.set(at, Waiting { timer, suspicion: Some(it) });
        None
    }

    fn set(&mut self, at: Duration, waiting: Waiting) {
        self.timers_set += 1;
        self.timers.push(Reverse((at, self.timers_set)));
        self.waiting.insert(self.timers_set, waiting);
    }

    /// A period of its own time has gone by, and it was there.
    fn period_over(&mut self) {
        let known = self.members.len();
        let grows = known > self.known_before + self.known_before / 10;
        self.known_before = known;
        if grows {
            self.health.learning();
        } else if !std::mem::take(&mut self.doubted_now) {
            self.health.well();
        }
        self.pages.renew();
        self.leavers.prune();
    }

    /// Calls at some of the addresses where others may be: at each turn while it knows nobody, and now and then later, at
    /// those where it knows nobody.
    fn seek(&mut self, out: &mut Vec<Output>) {
        self.turns += 1;
        let alone = self.members.is_empty();
        if !alone && self.turns % 10 != 0 {
            return;
        }
        let known: std::collections::BTreeSet<_> =
            self.members.values().map(|member| member.address).collect();
        let unknown: Vec<_> = self.seeds.iter().filter(|address| !known.contains(address)).copied().collect();
        let some: Vec<_> = unknown.choose_multiple(&mut self.random, TRIES).copied().collect();
        for to in some {
            self.greet(HELLO, to, out);
        }
    }

    fn greet(&mut self, kind: u8, to: Address, out: &mut Vec<Output>) {
        if let Ok(body) = postcard::to_allocvec(&self.me) {
            self.send(kind, to, &body, out);
        }
    }

    fn send(&mut self, kind: u8, to: Address, body: &[u8], out: &mut Vec<Output>) {
        self.sequence += 1;
        let head = Head {
            cluster: self.cluster,
            sequence: self.sequence,
            digest: self.digest,
            members: (self.members.len() + 1).min(usize::from(u16::MAX)) as u16,
            phase: self.phase,
        };
        let mut data = head.write(body);
        data[3] = kind;
        self.counters.sent += 1;
        self.counters.sent_bytes += data.len() as u64;
        out.push(Output::Send { to, data });
    }

    /// A datagram has come.
    pub fn hear(&mut self, now: Duration, data: &[u8], out: &mut Vec<Output>) {
        if self.displaced.is_some() || self.phase == Phase::Leaving {
            return;
        }
        // What is late is noticed by what comes first, a timer or a datagram.
        self.own_time(now);
        match self.try_hear(now, data, out) {
            Ok(()) => self.counters.heard += 1,
            Err(why) => *self.counters.rejected.entry(why).or_default() += 1,
        }
    }

    fn try_hear(&mut self, now: Duration, data: &[u8], out: &mut Vec<Output>) -> Result<(), Rejected> {
        let (head, body) = Head::read(data, self.cluster)?;
        let sender = wire::sender(body)?;
        let ran = now.saturating_sub(self.begun.0).as_millis() as u64;
        self.seen.borrow_mut().now_ms = self.begun.1.saturating_add(ran);
        if sender.name == self.me.name {
            if sender.started_ms > self.me.started_ms {
                self.displace(sender, out);
            }
            return Err(Rejected::SameName);
        }
        if self.windows.len() >= self.settings.most && !self.windows.contains_key(&sender.name) {
            let members = &self.members;
            self.windows.retain(|name, _| members.contains_key(name));
            if self.windows.len() >= self.settings.most {
                return Err(Rejected::Garbage);
            }
        }
        let (life, window, at) =
            self.windows.entry(sender.name).or_insert((sender.started_ms, Window::default(), now));
        if sender.started_ms > *life {
            (*life, *window) = (sender.started_ms, Window::default());
        }
        if sender.started_ms < *life || !window.is_new(head.sequence) {
            return Err(Rejected::Replayed);
        }
        *at = now;
        let kind = data[3];
        let mut effects = AccumulatingRuntime::new();
        match kind {
            HELLO | WELCOME => {
                if kind == HELLO {
                    self.greet(WELCOME, sender.address, out);
                }
                // Either way there is somebody to ask who else there is.
                if !self.members.contains_key(&sender.name) {
                    let _ = self.swim.announce(sender.clone(), &mut effects);
                    self.ask(sender.address, out);
                }
            }
            ASK => {
                let ((_, ask), _) =
                    postcard::take_from_bytes::<(Identity, Ask)>(body).map_err(wire::unread)?;
                if self.pages.may_give() {
                    self.give(&ask, sender.address, out);
                }
                if !self.members.contains_key(&sender.name) {
                    let _ = self.swim.announce(sender.clone(), &mut effects);
                }
            }
            PAGE => {
                let rest = postcard::take_from_bytes::<Identity>(body).map_err(wire::unread)?.1;
                let page = Page::read(rest)?;
                self.pages.came(&page);
                let before = self.digest;
                let read = self.read_page(page, &mut effects, out);
                self.take(std::mem::take(&mut effects), now, out);
                read?;
                // What taught something is worth going on with.
                if self.digest != before && self.digest != head.digest {
                    self.ask(sender.address, out);
                }
            }
            SWIM => {
                let heard = self.swim.handle_data(body, &mut effects);
                let earlier = self.seen.borrow_mut().earlier.take();
                if let Some(started_ms) = earlier {
                    self.start_after(started_ms, &mut effects);
                    self.take(effects, now, out);
                    return Err(Rejected::SameName);
                }
                let usurper = self.seen.borrow_mut().usurper.take();
                if let Some(usurper) = usurper {
                    self.displace(usurper, out);
                    return Err(Rejected::SameName);
                }
                if heard.is_err() {
                    self.take(effects, now, out);
                    return Err(Rejected::Garbage);
                }
            }
            _ => return Err(Rejected::Garbage),
        }
        self.take(effects, now, out);
        if head.phase == Phase::Leaving {
            self.leavers.note(&Left { name: sender.name, started_ms: sender.started_ms }, self.settings.most);
        }
        if self.members.contains_key(&sender.name) {
            self.views.hear(&sender.name, head.digest, now);
            self.ask_if_differing(&sender, head.digest, now, out);
        }
        self.look_again(out);
        let doubted = std::mem::take(&mut self.seen.borrow_mut().doubted);
        if doubted > 0 {
            self.counters.doubted += doubted;
            self.health.doubted();
        }
        Ok(())
    }

    /// That a member has left may be heard after that it is gone: then it had not failed.
    fn look_again(&mut self, out: &mut Vec<Output>) {
        let news = self.leavers.news();
        if news == self.leavers_seen {
            return;
        }
        self.leavers_seen = news;
        for (member, cause, _) in &mut self.departed {
            if *cause == Cause::Failed && self.leavers.has(member) {
                *cause = Cause::Left;
                self.counters.failed -= 1;
                self.counters.left += 1;
                out.push(Output::Changed(Change { member: member.clone(), cause: Cause::Left }));
            }
        }
    }

    /// A view that differs is asked after: the answer names some members, and those asked learn of this one.
    fn ask_if_differing(&mut self, sender: &Identity, digest: u64, now: Duration, out: &mut Vec<Output>) {
        let own = now.saturating_sub(self.lost);
        if digest == self.digest || own < self.ask_at {
            return;
        }
        self.ask_at = own + self.health.stretch(self.settings.period / ASK_EVERY);
        self.ask(sender.address, out);
    }

    /// Asks for the next page of another's list.
    fn ask(&mut self, to: Address, out: &mut Vec<Output>) {
        let Some(ask) = self.pages.ask() else { return };
        if let Ok(body) = postcard::to_allocvec(&(&self.me, &ask)) {
            self.send(ASK, to, &body, out);
        }
    }

    /// The page that comes after a name. A suspect is told as a living one: who doubts it says so by SWIM.
    fn give(&mut self, ask: &Ask, to: Address, out: &mut Vec<Output>) {
        let from = ask.after.map_or(Bound::Unbounded, Bound::Excluded);
        let mut some: BTreeMap<_, _> = self
            .members
            .range((from, Bound::Unbounded))
            .take(FIT)
            .map(|(_, identity)| (identity, 0))
            .collect();
        for member in self.swim.iter_membership_state() {
            if let Some(incarnation) = some.get_mut(member.id()) {
                *incarnation = member.incarnation();
            }
        }
        let body = Page::write(&self.me, some.into_iter());
        self.send(PAGE, to, &body, out);
    }

    /// Others know what is on a page: it is taken in, and not passed on.
    fn read_page(
        &mut self,
        page: Page,
        effects: &mut AccumulatingRuntime<Identity>,
        out: &mut Vec<Output>,
    ) -> Result<(), Rejected> {
        for (identity, incarnation) in page.members {
            let taken = self.seen.borrow_mut().take_in(&identity, foca::State::Alive);
            match taken {
                Err(Unfit::Usurped) => {
                    self.seen.borrow_mut().usurper = None;
                    let earlier = self.seen.borrow_mut().earlier.take();
                    match earlier {
                        Some(started_ms) => self.start_after(started_ms, effects),
                        None => self.displace(identity, out),
                    }
                    return Err(Rejected::SameName);
                }
                Err(Unfit::Malformed) => return Err(Rejected::Garbage),
                Ok(()) => {}
            }
            // What it says of this node's own name is older, or this node itself; and most is known already.
            if identity.name != self.me.name && self.members.get(&identity.name) != Some(&identity) {
                let member = foca::Member::new(identity, incarnation, foca::State::Alive);
                let _ = self.swim.apply_many([member].into_iter(), false, &mut *effects);
            }
        }
        Ok(())
    }

    /// This node leaves: it says so to a few at once, and they to all.
    pub fn leave(&mut self, now: Duration, out: &mut Vec<Output>) {
        if self.displaced.is_some() || self.phase == Phase::Leaving {
            return;
        }
        self.phase = Phase::Leaving;
        let left = Left { name: self.me.name, started_ms: self.me.started_ms };
        if let Ok(data) = postcard::to_allocvec(&left) {
            let _ = self.swim.add_broadcast(&data);
        }
        let mut effects = AccumulatingRuntime::new();
        // Once would do if nothing were lost.
        for _ in 0..3 {
            let _ = self.swim.gossip(&mut effects);
        }
        let _ = self.swim.leave_cluster(&mut effects);
        self.take(effects, now, out);
    }

    /// Its clock was set back since an earlier life: this one's start is put after that one's, or nobody would hear it.
    fn start_after(&mut self, started_ms: u64, effects: &mut AccumulatingRuntime<Identity>) {
        let me = Identity { started_ms: started_ms.saturating_add(1), renewed: 0, ..self.me.clone() };
        self.digest = self.digest.wrapping_sub(part(&self.me)).wrapping_add(part(&me));
        self.seen.borrow_mut().me = me.clone();
        self.me = me.clone();
        self.counters.renewed += 1;
        // Refused only if it is the same, which it is not.
        let _ = self.swim.change_identity(me, effects);
    }

    fn displace(&mut self, by: Identity, out: &mut Vec<Output>) {
        out.push(Output::Displaced(by.clone()));
        self.displaced = Some(by);
        self.timers.clear();
        self.waiting.clear();
    }

    /// What SWIM wants done, and what it has found out. Returns how many messages that were.
    fn take(
        &mut self,
        mut effects: AccumulatingRuntime<Identity>,
        now: Duration,
        out: &mut Vec<Output>,
    ) -> usize {
        while let Some(note) = effects.to_notify() {
            self.note(note, now, out);
        }
        let own = now.saturating_sub(self.lost);
        while let Some((after, timer)) = effects.to_schedule() {
            let doubts = self.settings.doubts_itself;
            let stretched = match timer {
                Timer::ProbeRandomMember(_)
                | Timer::SendIndirectProbe { .. }
                | Timer::ChangeSuspectToDown { .. }
                    if doubts =>
                {
                    self.health.stretch(after)
                }
                _ => after,
            };
            let suspects = matches!(timer, Timer::ChangeSuspectToDown { .. });
            self.suspicions += u64::from(suspects);
            let (after, suspicion) = if suspects && doubts {
                let part = stretched / CALLS;
                (part, Some(Suspicion { since: now, part, left: CALLS }))
            } else {
                (stretched, None)
            };
            self.set(own + after, Waiting { timer, suspicion });
        }
        let mut sent = 0;
        while let Some((to, body)) = effects.to_send() {
            self.send(SWIM, to.address, &body, out);
            sent += 1;
        }
        sent
    }

    fn note(&mut self, note: OwnedNotification<Identity>, now: Duration, out: &mut Vec<Output>) {
        match note {
            OwnedNotification::MemberUp(member) => self.add(member, out),
            OwnedNotification::MemberDown(member) => {
                let cause = if self.leavers.has(&member) { Cause::Left } else { Cause::Failed };
                self.remove(&member, cause, now, out);
            }
            OwnedNotification::Rename(before, after) => {
                // Of two lives the later one is the member; whether that is alive is told by itself.
                if self.members.get(&before.name) == Some(&before) {
                    self.forget(&before);
                    self.add(after, out);
                }
            }
            OwnedNotification::Active => {
                self.phase = if self.phase == Phase::Joining { Phase::Active } else { self.phase };
            }
            OwnedNotification::Rejoin(me) => {
                self.digest = self.digest.wrapping_sub(part(&self.me)).wrapping_add(part(&me));
                self.seen.borrow_mut().me = me.clone();
                self.me = me;
                self.counters.renewed += 1;
                self.health.doubted();
            }
            OwnedNotification::Idle | OwnedNotification::Defunct => {}
        }
    }

    fn add(&mut self, member: Identity, out: &mut Vec<Output>) {
        let held = self.members.get(&member.name);
        if held == Some(&member) || held.is_none() && self.members.len() >= self.settings.most {
            return;
        }
        let before = self.departed.iter().any(|(gone, ..)| gone.name == member.name);
        let cause =
            if before || self.members.contains_key(&member.name) { Cause::Returned } else { Cause::Joined };
        if let Some(before) = self.members.get(&member.name).cloned() {
            self.forget(&before);
        }
        self.digest = self.digest.wrapping_add(part(&member));
        self.members.insert(member.name, member.clone());
        self.resized();
        out.push(Output::Changed(Change { member, cause }));
    }

    fn remove(&mut self, member: &Identity, cause: Cause, now: Duration, out: &mut Vec<Output>) {
        if self.members.get(&member.name) != Some(member) {
            return;
        }
        self.forget(member);
        self.resized();
        match cause {
            Cause::Left => self.counters.left += 1,
            _ => self.counters.failed += 1,
        }
        if self.departed.len() >= DEPARTED {
            self.departed.remove(0);
        }
        self.departed.push((member.clone(), cause, now));
        out.push(Output::Changed(Change { member: member.clone(), cause }));
    }

    fn forget(&mut self, member: &Identity) {
        self.members.remove(&member.name);
        self.digest = self.digest.wrapping_sub(part(member));
        self.views.forget(&member.name);
    }

    /// Suspicion lasts for longer among more members.
    fn resized(&mut self) {
        self.seen.borrow_mut().known = self.members.len();
        // Nothing else of it changes, which is all that could be refused.
        let _ = self.swim.set_config(config(&self.settings, self.members.len() + 1));
    }
}

/// SWIM's settings for a fleet of so many members. What a node sends is the same at every size.
fn config(settings: &Settings, members: usize) -> foca::Config {
    let factors = (members as f64).log10().max(1.0);
    let few = |frequency, num_members| {
        let num_members = NonZeroUsize::new(num_members).unwrap_or(NonZeroUsize::MIN);
        Some(PeriodicParams { frequency, num_members })
    };
    foca::Config {
        probe_period: settings.period,
        probe_rtt: settings.patience,
        num_indirect_probes: INDIRECT,
        max_transmissions: PASSED_ON,
        suspect_to_down_after: settings.period.mul_f64(SUSPICION * factors),
        remove_down_after: REMEMBERED,
        max_packet_size: NonZeroUsize::new(BODY).unwrap_or(NonZeroUsize::MIN),
        notify_down_members: true,
        periodic_announce: few(settings.period * 30, 1),
        periodic_announce_to_down_members: few(settings.period * 5, 2),
        periodic_gossip: few(settings.period / 4, 2),
    }
}
