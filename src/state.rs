//! What a node remembers of servers and requests: types and their plain arithmetic, no decisions.

use crate::interface::*;
use rand_pcg::Pcg32;
use std::collections::BTreeMap;
use std::time::Duration;

/// Of those seen in a zone so few may answer, against those that are silent, before it is taken to be crowded.
const FEW: f64 = 0.25;

/// What a node knows of a server.
#[derive(Default)]
pub struct Server {
    pub entry: ServerEntry,
    /// Join-Up-To(m)'s estimate: own sends since it last showed idle.
    pub count: u32,
    pub idle_at: Option<Duration>,
    /// Own attempts that are out.
    pub out: u32,
    /// Its reported load with own sends since, and when that was reported.
    pub load: Option<(f64, Duration)>,
    pub probing: bool,
    /// Smoothed share of failed attempts.
    pub failing: f64,
    /// Ejected until then; after that, on trial until it serves.
    pub ejected: Option<Duration>,
    /// How often in a row, halved by an answer: each time it is ejected for longer.
    pub ejections: u32,
    /// By class: the attempts that it turned away, failed or left without an answer since it last served
    /// one, forgotten over the memory of rates; and whether it has served one of another class meanwhile.
    pub missed: BTreeMap<usize, (Rate, bool)>,
    /// While cold: until when it may be sent a request, and when that was last drawn for.
    pub ticket: Duration,
    pub drawn: Duration,
    /// What was seen of it last, and when that was.
    pub last: Option<(Sign, Duration)>,
}

/// What an attempt shows of its server.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Sign {
    Served,
    Failed,
    /// No answer came in time.
    Silent,
}

/// What a node knows of a zone, where it goes by zones.
#[derive(Clone, Default)]
pub struct Zone {
    /// The share of own requests that goes there first.
    pub share: f64,
    /// Its servers in service, and the part of those seen lately that failed last.
    pub ready: usize,
    pub ill: f64,
    /// Parts of their aims that its requests took, and how many there were, forgotten over the time of an overload.
    pub cost: Rate,
    pub seen: Rate,
    /// What [`Balancer::taken`] is for all, for its servers alone: a zone that is crowded says nothing of another.
    pub taken: f64,
    pub standing: ZoneState,
    pub since: Duration,
    /// How many times as slowly it returns: doubled by each relapse.
    pub caution: u32,
    /// The staff want it empty until then.
    pub evacuated: Option<Duration>,
}

impl Zone {
    /// The part of their aims that its requests take, if one was seen lately.
    pub fn slow(&self, now: Duration, over: f64) -> Option<f64> {
        let seen = self.seen.per_s(now, over) * over;
        (seen > 0.1).then(|| self.cost.per_s(now, over) * over / seen)
    }
}

impl Server {
    /// An attempt begins to take up this server, if it does so already.
    pub fn begin(&mut self, counts: bool) {
        if counts {
            self.out += 1;
            self.load = self.load.map(|(load, at)| (load + 1.0, at));
        }
    }

    /// An attempt has ended; one that was cut short has missed nothing. `over` is the memory of rates.
    pub fn ended(
        &mut self,
        class: Option<usize>,
        outcome: Outcome,
        cut_short: bool,
        now: Duration,
        over: f64,
    ) {
        match outcome {
            Outcome::Served => {
                class.and_then(|class| self.missed.remove(&class));
                self.missed.values_mut().for_each(|(_, serves)| *serves = true);
            }
            Outcome::TimedOut | Outcome::Cancelled if cut_short => {}
            Outcome::Rejected | Outcome::Error | Outcome::TimedOut | Outcome::Cancelled => {
                let missed = class.map(|class| self.missed.entry(class).or_default());
                missed.into_iter().for_each(|(missed, _)| missed.add(now, over, 1.0));
            }
            _ => {}
        }
    }
}

/// Servers by id. Each keeps its place for as long as it is kept, so that the ring is walked without looking any up.
#[derive(Default)]
pub struct Servers {
    places: BTreeMap<ServerId, usize>,
    all: Vec<Server>,
    free: Vec<usize>,
}

impl Servers {
    pub fn get(&self, id: &ServerId) -> Option<&Server> {
        self.places.get(id).map(|place| &self.all[*place])
    }
    pub fn get_mut(&mut self, id: &ServerId) -> Option<&mut Server> {
        self.places.get(id).map(|place| &mut self.all[*place])
    }
    pub fn at(&self, place: usize) -> &Server {
        &self.all[place]
    }
    /// The place of a server, which is made if there is none.
    pub fn place(&mut self, id: ServerId) -> usize {
        *self.places.entry(id).or_insert_with(|| {
            self.free.pop().unwrap_or_else(|| {
                self.all.push(Server::default());
                self.all.len() - 1
            })
        })
    }
    /// Takes a server out of its place, which stays its own.
    pub fn take(&mut self, place: usize) -> Server {
        std::mem::take(&mut self.all[place])
    }
    pub fn put(&mut self, place: usize, server: Server) {
        self.all[place] = server;
    }
    pub fn remove(&mut self, id: &ServerId) {
        if let Some(place) = self.places.remove(id) {
            self.all[place] = Server::default();
            self.free.push(place);
        }
    }
    pub fn values_mut(&mut self) -> impl Iterator<Item = &mut Server> {
        self.all.iter_mut()
    }
    /// The ids of those that are gone.
    pub fn gone(&self) -> Vec<ServerId> {
        let gone = self.places.iter().filter(|(_, place)| self.all[**place].entry.state == ServerState::Gone);
        gone.map(|(id, _)| *id).collect()
    }
}

/// Puts servers into a ring, or takes them out where a change has no place. Each stands by its number; of two changes to
/// one the later counts. One walk round the ring for all changes together.
pub fn merge_ring(ring: &mut Vec<(u64, usize)>, mut changes: Vec<(u64, Option<usize>)>) {
    changes.sort_by_key(|(at, _)| *at); // stable: the last of those alike is the latest
    let mut merged = Vec::with_capacity(ring.len() + changes.len());
    let mut before = std::mem::take(ring).into_iter().peekable();
    let mut changes = changes.into_iter().peekable();
    while let Some((at, place)) = changes.next() {
        if changes.peek().is_some_and(|(next, _)| *next == at) {
            continue;
        }
        while let Some(stays) = before.next_if(|(old, _)| *old < at) {
            merged.push(stays);
        }
        before.next_if(|(old, _)| *old == at);
        merged.extend(place.map(|place| (at, place)));
    }
    merged.extend(before);
    *ring = merged;
}

/// An attempt, and how it ended.
pub struct Attempt {
    pub to: ServerEntry,
    pub sent: Duration,
    /// How crowded the server was at the send.
    pub crowd: usize,
    /// It counts among those out at its server: not while its request still arrives, nor once its answer has begun.
    pub counted: bool,
    pub outcome: Option<Outcome>,
}

impl Attempt {
    pub fn may_have_run(&self) -> bool {
        !self.outcome.is_some_and(Outcome::never_ran)
    }
}

/// A request that is owed an answer, or some of whose attempts are still out.
#[derive(Default)]
pub struct Request {
    /// Where its class stands in the settings, if they still hold it.
    pub class: Option<usize>,
    pub terms: RequestPolicy,
    /// Its work in units of the usual request's.
    pub weight: f64,
    /// Its worth against that of the usual request.
    pub value: f64,
    /// Until then an answer is worth waiting for.
    pub until: Duration,
    pub attempts: Vec<Attempt>,
    /// It has had its probes, or must do without.
    pub probed: bool,
    pub streaming: bool,
    /// Its body can't be sent again; it still comes; its body has been used up.
    pub long: bool,
    pub arriving: Option<NewRequest>,
    pub spent: bool,
    pub done: bool,
}

impl Request {
    pub fn out(&self) -> usize {
        self.attempts.iter().filter(|a| a.outcome.is_none()).count()
    }
}

/// How much of something there was lately, forgotten over a fixed time.
#[derive(Clone, Copy, Default)]
pub struct Rate {
    pub sum: f64,
    pub at: Duration,
}

impl Rate {
    pub fn add(&mut self, now: Duration, over: f64, amount: f64) {
        *self = Rate { sum: self.per_s(now, over) * over + amount, at: now };
    }
    pub fn per_s(&self, now: Duration, over: f64) -> f64 {
        self.sum * (-(now - self.at).as_secs_f64() / over).exp() / over
    }
}

/// Requests still to be had at a rate; a second's worth may be saved.
#[derive(Clone, Copy, Default)]
pub struct Allowance {
    pub left: f64,
    pub at: Duration,
}

impl Allowance {
    /// Takes one if there is one.
    pub fn take(&mut self, now: Duration, rate: f64) -> bool {
        self.left = (self.left + rate * (now - self.at).as_secs_f64()).min(rate.max(1.0));
        self.at = now;
        let some = self.left >= 1.0;
        self.left -= if some { 1.0 } else { 0.0 };
        some
    }
}

/// The decisions of one node. They are made in `src/policy/`; this is what it remembers.
pub struct Balancer {
    pub(crate) settings: Settings,
    pub(crate) rng: Pcg32,
    pub(crate) now: Duration,
    pub(crate) servers: Servers,
    /// The ready servers, in the order of their ring: where on it each stands, and its place.
    pub(crate) ready_ring: Vec<(u64, usize)>,
    /// The rings of which a part is held, one for each zone at most. Empty where all servers are held.
    pub(crate) held_rings: Vec<SubsetRing>,
    /// A class of the settings may be sent again within a cell alone.
    pub(crate) keyed_in_cells: bool,
    /// From then on no server that is listed is cold.
    pub(crate) warm_at: Duration,
    pub(crate) requests: BTreeMap<RequestId, Request>,
    /// Requests held for probes, in the order of arrival.
    pub(crate) held: Vec<RequestId>,
    pub(crate) probes_out: u32,
    /// Smoothed time of an answer, and hinted work of a request, in seconds.
    pub(crate) answer_time: f64,
    /// The median time of an answer, and of one to each class; zero until there is one.
    pub(crate) median: Duration,
    pub(crate) medians: Vec<Duration>,
    /// Smoothed share of failed attempts at all servers.
    pub(crate) failing: f64,
    pub(crate) usual_cost: f64,
    pub(crate) usual_worth: f64,
    /// Own sends, and idle signs that reset an estimate, both forgotten slowly; share of reports not idle.
    pub(crate) sends: f64,
    pub(crate) idle_signs: f64,
    pub(crate) busy: f64,
    /// Smoothed share of attempts answered in time, by how crowded the server was at the send; and the share
    /// of requests that servers not crowded at all are sent, steady at seven in eight in time; beyond 1 it is
    /// a reserve for chance misses.
    pub(crate) in_time_by_load: Vec<f64>,
    pub(crate) taken: f64,
    pub(crate) probe_tokens: f64,
    pub(crate) retry_tokens: f64,
    /// Attempts that may yet be given up before their deadline.
    pub(crate) give_up_tokens: f64,
    /// Attempts sent, work that arrived, and work answered by warm servers.
    pub(crate) sent: Rate,
    pub(crate) arrived: Rate,
    pub(crate) carried: Rate,
    /// What each tenant may still ask for within its share, and when that was reckoned.
    pub(crate) allowances: Vec<Allowance>,
    /// How long clients wait for a first try, by class.
    pub(crate) patience: Vec<Duration>,
    /// What the nodes know of one another, where they do.
    pub(crate) tier: Option<FleetView>,
    /// Where the list must be asked for: when to ask next, and the wait after a failed call.
    pub(crate) ask_at: Option<Duration>,
    pub(crate) ask_wait: Duration,
    /// The zones by number, where the node goes by them, and when their shares were last reckoned.
    pub(crate) zones: BTreeMap<u8, Zone>,
    pub(crate) zones_at: Duration,
}

/// How long a server may be cold, and a little more for what sums of shares lose.
pub(crate) fn margin(warm_after: Duration) -> Duration {
    warm_after * 65 / 64
}

/// Whether a class may be sent again within a cell alone.
fn keyed_in_cells(settings: &Settings) -> bool {
    settings
        .classes
        .iter()
        .any(|class| matches!(class.retry_safety, RetrySafety::Keyed { scope: DedupScope::Cell, .. }))
}

/// Where each of `count` earlier places is now, by where each of the present ones was before.
fn inverse(before: &[Option<usize>], count: usize) -> Vec<Option<usize>> {
    let mut now_at = vec![None; count];
    for (now, before) in before.iter().enumerate() {
        if let Some(place) = before.and_then(|before| now_at.get_mut(before)) {
            place.get_or_insert(now);
        }
    }
    now_at
}

impl Balancer {
    /// Nothing known yet.
    pub(crate) fn empty(settings: Settings, rng: Pcg32) -> Self {
        Balancer {
            rng,
            now: Default::default(),
            servers: Default::default(),
            ready_ring: Default::default(),
            held_rings: Default::default(),
            keyed_in_cells: keyed_in_cells(&settings),
            warm_at: Default::default(),
            requests: Default::default(),
            held: Default::default(),
            probes_out: Default::default(),
            answer_time: Default::default(),
            median: Duration::ZERO,
            medians: vec![Duration::ZERO; settings.classes.len()],
            failing: Default::default(),
            usual_cost: Default::default(),
            usual_worth: settings.classes.iter().map(|c| c.value).sum::<f64>()
                / settings.classes.len().max(1) as f64,
            sends: Default::default(),
            idle_signs: Default::default(),
            busy: Default::default(),
            in_time_by_load: Default::default(),
            taken: Default::default(),
            probe_tokens: Default::default(),
            retry_tokens: Default::default(),
            give_up_tokens: Default::default(),
            sent: Default::default(),
            arrived: Default::default(),
            carried: Default::default(),
            allowances: vec![Allowance::default(); settings.tenants.len()],
            patience: vec![Duration::ZERO; settings.classes.len()],
            tier: None,
            ask_at: Default::default(),
            ask_wait: Default::default(),
            zones: Default::default(),
            zones_at: Default::default(),
            settings,
        }
    }

    /// How far a zone is: the time to a server there and back, and steps of nearness: 0 for the node's own, 1 in its
    /// region, 2 beyond. A zone that the settings don't name is beyond.
    pub(crate) fn distance(&self, zone: u8) -> (f64, Duration) {
        let Some(zones) = &self.settings.zones else { return (0.0, Duration::ZERO) };
        let region = |zone: u8| zones.region.get(usize::from(zone));
        let step = if zone == self.settings.zone {
            0.0
        } else if region(zone).is_some() && region(zone) == region(self.settings.zone) {
            1.0
        } else {
            2.0
        };
        (step, zones.round_trip.get(usize::from(zone)).copied().unwrap_or_default())
    }

    /// Nobody in a zone could have answered in time: that counts like a request that came too late.
    pub(crate) fn zone_full(&mut self, zone: u8) {
        let (now, over) = (self.now, self.settings.rules.overload_time.as_secs_f64());
        if let Some(zone) = self.zones.get_mut(&zone) {
            zone.cost.add(now, over, 1.0);
            zone.seen.add(now, over, 1.0);
        }
    }

    /// The share of requests that a server's zone, or all, may be sent.
    pub(crate) fn taken_at(&self, server: &Server) -> f64 {
        self.zones.get(&server.entry.zone).map_or(self.taken, |zone| zone.taken)
    }

    pub(crate) fn taken_mut(&mut self, server: ServerId) -> &mut f64 {
        if self.zones.is_empty() {
            return &mut self.taken;
        }
        let zone = self.servers.get(&server).map(|server| server.entry.zone);
        let zone = zone.and_then(|zone| self.zones.get_mut(&zone));
        zone.map_or(&mut self.taken, |zone| &mut zone.taken)
    }

    /// Which zones there are, how many servers each has, and how many of those seen lately failed. Silence is a failure
    /// where hardly anybody in the zone answers: where some do, it is crowded.
    pub(crate) fn look_at(&self, zones: &mut BTreeMap<u8, Zone>, window: Duration) {
        zones.values_mut().for_each(|it| it.ready = 0);
        let mut news = BTreeMap::<u8, [f64; 3]>::new();
        for (_, place) in &self.ready_ring {
            let server = self.servers.at(*place);
            let new = || Zone { taken: self.taken, ..Zone::default() };
            zones.entry(server.entry.zone).or_insert_with(new).ready += 1;
            if let Some((sign, _)) = server.last.filter(|(_, at)| self.now <= *at + window) {
                news.entry(server.entry.zone).or_default()[sign as usize] += 1.0;
            }
        }
        for ring in &self.held_rings {
            let zone = ring.zone.and_then(|zone| zones.get_mut(&zone));
            zone.into_iter().for_each(|zone| zone.ready = ring.ready);
        }
        for (zone, [served, failed, silent]) in news {
            let Some(it) = zones.get_mut(&zone) else { continue };
            let (bad, seen) =
                (failed + if served < FEW * silent { silent } else { 0.0 }, served + failed + silent);
            // One more that is sound: a single failure says little where few were seen, but for all of them.
            it.ill = if seen >= it.ready as f64 { bad / seen } else { bad / (seen + 1.0) };
        }
        zones.retain(|_, it| it.ready > 0 || it.evacuated.is_some());
    }

    /// The zones as they are now, for the staff to see. Empty where the node does not go by them.
    pub fn zones(&self) -> Vec<ZoneView> {
        let over = self.settings.rules.overload_time.as_secs_f64();
        let view = |(zone, it): (&u8, &Zone)| ZoneView {
            zone: *zone,
            share: it.share,
            ready_servers: it.ready,
            unhealthy_share: it.ill,
            latency_ratio: it.slow(self.now, over),
            state: it.standing,
            since: it.since,
            evacuated_until: it.evacuated,
        };
        self.zones.iter().map(view).collect()
    }

    /// Takes new settings. What is kept by class or tenant goes where that stands now, and with it if it is gone.
    pub(crate) fn resettle(&mut self, new: Settings, classes: &[Option<usize>], tenants: &[Option<usize>]) {
        let moved_to = inverse(classes, self.settings.classes.len());
        let now_at = |old: usize| moved_to.get(old).copied().flatten();
        for server in self.servers.values_mut().filter(|server| !server.missed.is_empty()) {
            let old = std::mem::take(&mut server.missed).into_iter();
            server.missed = old.filter_map(|(class, missed)| Some((now_at(class)?, missed))).collect();
        }
        for request in self.requests.values_mut() {
            request.class = request.class.and_then(now_at);
        }
        let deadline = |settings: &Settings, class: usize| settings.classes.get(class).map(|c| c.deadline);
        let patience = classes.iter().enumerate().map(|(now, before)| {
            // Clients of a class with another deadline wait for another time.
            let before = before.filter(|old| deadline(&self.settings, *old) == deadline(&new, now));
            before.and_then(|old| self.patience.get(old)).copied().unwrap_or_default()
        });
        self.patience = patience.collect();
        let median = |old: &Option<usize>| old.and_then(|old| self.medians.get(old)).copied();
        self.medians = classes.iter().map(|old| median(old).unwrap_or_default()).collect();
        let allowance = |old: &Option<usize>| old.and_then(|old| self.allowances.get(old)).copied();
        self.allowances = tenants.iter().map(|old| allowance(old).unwrap_or_default()).collect();
        let started = self.servers.values_mut().filter_map(|server| server.entry.started);
        self.warm_at = started.max().map(|at| at + margin(new.rules.warm_up_time)).unwrap_or_default();
        if new.zones.is_none() {
            self.zones.clear();
        }
        self.keyed_in_cells = keyed_in_cells(&new);
        self.settings = new;
    }
}

#[cfg(test)]
mod tests;
