//! The state that a node remembers of servers, zones and requests: types and their arithmetic, no decisions.

use crate::interface::*;
use rand_pcg::Pcg32;
use std::collections::BTreeMap;
use std::time::Duration;

/// Time-outs of a zone's servers count as failures if fewer servers than this have answered for each one that
/// timed out. With more answers the zone is overloaded rather than failed.
const MIN_SERVED_PER_TIMEOUT: f64 = 0.25;

/// What a node knows of a server.
#[derive(Default)]
pub struct Server {
    pub entry: ServerEntry,
    /// Join-Up-To(m)'s queue estimate: own sends since its last idle report.
    pub queue_estimate: u32,
    /// When it last reported idle.
    pub idle_at: Option<Duration>,
    /// Own attempts in flight.
    pub in_flight: u32,
    /// Its reported load plus own sends since, and when it was reported.
    pub load: Option<(f64, Duration)>,
    /// A probe of it is in flight.
    pub probing: bool,
    /// Smoothed share of failed attempts.
    pub failure_rate: f64,
    /// Ejected until this time. After it, trial requests may be sent to it; the ejection ends when it serves
    /// one.
    pub ejected_until: Option<Duration>,
    /// Ejections in a row, halved by each answer. Each one takes longer than the one before.
    pub ejections: u32,
    /// By class: the attempts of this class that it rejected, failed or did not answer since it last served
    /// one of them, as a decayed rate, and whether it has served another class since then.
    pub misses: BTreeMap<usize, (DecayedRate, bool)>,
    /// While cold: until when a permit lets it be sent one request.
    pub permit_until: Duration,
    /// While cold: when a permit for it was last drawn, whether it was granted or not.
    pub permit_drawn_at: Duration,
    /// What its last attempt showed, and when.
    pub last_seen: Option<(Observation, Duration)>,
}

/// What one attempt showed of its server.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Observation {
    Served,
    Failed,
    /// No answer came in time.
    TimedOut,
}

/// What a node knows of a zone, where zones are configured.
#[derive(Clone, Default)]
pub struct Zone {
    /// The share of own requests that try this zone first.
    pub share: f64,
    /// The number of its ready servers.
    pub ready: usize,
    /// The share of its recently observed servers whose last attempt failed.
    pub unhealthy: f64,
    /// The sum of the fractions of the latency target that its requests took. It decays over
    /// [`Rules::overload_time`].
    pub latency_ratios: DecayedRate,
    /// The number of these requests, with the same decay.
    pub outcomes: DecayedRate,
    /// [`Balancer::admission`] for its servers alone: the overload of a zone says nothing about another.
    pub admission: f64,
    pub state: ZoneState,
    /// Since when it is in this state.
    pub since: Duration,
    /// Its failback takes this many times as long: doubled by each relapse.
    pub backoff: u32,
    /// Evacuated by operators until this time.
    pub evacuated_until: Option<Duration>,
}

impl Zone {
    /// The mean fraction of the latency target that its requests take, if there were any lately.
    pub fn latency_ratio(&self, now: Duration, window_s: f64) -> Option<f64> {
        let count = self.outcomes.per_s(now, window_s) * window_s;
        (count > 0.1).then(|| self.latency_ratios.per_s(now, window_s) * window_s / count)
    }
}

impl Server {
    /// Counts an attempt that was sent, or whose body has arrived, as load if the server can work on it.
    pub fn attempt_started(&mut self, counts_as_load: bool) {
        if counts_as_load {
            self.in_flight += 1;
            self.load = self.load.map(|(load, at)| (load + 1.0, at));
        }
    }

    /// Updates the misses of a class when an attempt has ended. An attempt that was cut short, before the
    /// server had enough time to answer, is no miss. Rates decay over `window_s`.
    pub fn attempt_ended(
        &mut self,
        class: Option<usize>,
        outcome: Outcome,
        cut_short: bool,
        now: Duration,
        window_s: f64,
    ) {
        match outcome {
            Outcome::Served => {
                class.and_then(|class| self.misses.remove(&class));
                self.misses.values_mut().for_each(|(_, serves)| *serves = true);
            }
            Outcome::TimedOut | Outcome::Cancelled if cut_short => {}
            Outcome::Rejected | Outcome::Error | Outcome::TimedOut | Outcome::Cancelled => {
                let misses = class.map(|class| self.misses.entry(class).or_default());
                misses.into_iter().for_each(|(misses, _)| misses.add(now, window_s, 1.0));
            }
            _ => {}
        }
    }
}

/// Servers by id. A server keeps its slot for as long as it is known, so that the ring is walked without
/// look-ups.
#[derive(Default)]
pub struct Servers {
    slot_of: BTreeMap<ServerId, usize>,
    slots: Vec<Server>,
    free_slots: Vec<usize>,
}

impl Servers {
    pub fn get(&self, id: &ServerId) -> Option<&Server> {
        self.slot_of.get(id).map(|slot| &self.slots[*slot])
    }
    pub fn get_mut(&mut self, id: &ServerId) -> Option<&mut Server> {
        self.slot_of.get(id).map(|slot| &mut self.slots[*slot])
    }
    pub fn at(&self, slot: usize) -> &Server {
        &self.slots[slot]
    }
    /// The slot of a server; a new one if it has none.
    pub fn slot_for(&mut self, id: ServerId) -> usize {
        *self.slot_of.entry(id).or_insert_with(|| {
            self.free_slots.pop().unwrap_or_else(|| {
                self.slots.push(Server::default());
                self.slots.len() - 1
            })
        })
    }
    /// Takes a server out of its slot, which stays reserved for it.
    pub fn take(&mut self, slot: usize) -> Server {
        std::mem::take(&mut self.slots[slot])
    }
    pub fn put(&mut self, slot: usize, server: Server) {
        self.slots[slot] = server;
    }
    pub fn remove(&mut self, id: &ServerId) {
        if let Some(slot) = self.slot_of.remove(id) {
            self.slots[slot] = Server::default();
            self.free_slots.push(slot);
        }
    }
    pub fn values_mut(&mut self) -> impl Iterator<Item = &mut Server> {
        self.slots.iter_mut()
    }
    /// The ids of the servers that are gone.
    pub fn gone_ids(&self) -> Vec<ServerId> {
        let gone =
            self.slot_of.iter().filter(|(_, slot)| self.slots[**slot].entry.state == ServerState::Gone);
        gone.map(|(id, _)| *id).collect()
    }
}

/// Puts servers into a ring sorted by position, or takes them out where a change has no slot. Of two changes
/// at one position the later counts. All changes together take one walk round the ring.
pub fn merge_ring(ring: &mut Vec<(u64, usize)>, mut changes: Vec<(u64, Option<usize>)>) {
    changes.sort_by_key(|(at, _)| *at); // stable: the last of several at one position is the latest
    let mut merged = Vec::with_capacity(ring.len() + changes.len());
    let mut before = std::mem::take(ring).into_iter().peekable();
    let mut changes = changes.into_iter().peekable();
    while let Some((at, slot)) = changes.next() {
        if changes.peek().is_some_and(|(next, _)| *next == at) {
            continue;
        }
        while let Some(kept) = before.next_if(|(old, _)| *old < at) {
            merged.push(kept);
        }
        before.next_if(|(old, _)| *old == at);
        merged.extend(slot.map(|slot| (at, slot)));
    }
    merged.extend(before);
    *ring = merged;
}

/// An attempt, and how it ended.
pub struct Attempt {
    pub server: ServerEntry,
    pub sent: Duration,
    /// The load of the server when it was sent, in requests.
    pub load_level: usize,
    /// It counts as load of its server: not while its body still arrives, nor after its answer has started.
    pub counts_as_load: bool,
    pub outcome: Option<Outcome>,
}

impl Attempt {
    pub fn may_have_run(&self) -> bool {
        !self.outcome.is_some_and(Outcome::never_ran)
    }
}

/// A request that is owed an answer, or that has attempts in flight.
#[derive(Default)]
pub struct Request {
    /// The index of its class in the settings, if they still hold it.
    pub class: Option<usize>,
    pub policy: RequestPolicy,
    /// Its work relative to the mean.
    pub cost: f64,
    /// Its value relative to the mean.
    pub value: f64,
    /// An answer after this time has no value.
    pub expires: Duration,
    pub attempts: Vec<Attempt>,
    /// It has had its probes, or is sent without any.
    pub probes_done: bool,
    pub answer_started: bool,
    /// Its body is streamed and not kept.
    pub streamed_body: bool,
    /// While its body still arrives: the request as it was received.
    pub receiving: Option<NewRequest>,
    /// Its body can't be sent by a further attempt: one has consumed it, or the rest is not received any more.
    pub body_consumed: bool,
    /// It needs no answer any more.
    pub done: bool,
}

impl Request {
    pub fn in_flight(&self) -> usize {
        self.attempts.iter().filter(|a| a.outcome.is_none()).count()
    }
}

/// An exponentially decayed rate, over a window in seconds.
#[derive(Clone, Copy, Default)]
pub struct DecayedRate {
    pub sum: f64,
    pub updated_at: Duration,
}

impl DecayedRate {
    pub fn add(&mut self, now: Duration, window_s: f64, amount: f64) {
        *self = DecayedRate { sum: self.per_s(now, window_s) * window_s + amount, updated_at: now };
    }
    pub fn per_s(&self, now: Duration, window_s: f64) -> f64 {
        self.sum * (-(now - self.updated_at).as_secs_f64() / window_s).exp() / window_s
    }
}

/// A token bucket that holds at most the tokens of one second.
#[derive(Clone, Copy, Default)]
pub struct TokenBucket {
    pub tokens: f64,
    pub refilled_at: Duration,
}

impl TokenBucket {
    /// Takes a token if there is one. `rate` is in tokens per second.
    pub fn take(&mut self, now: Duration, rate: f64) -> bool {
        self.tokens = (self.tokens + rate * (now - self.refilled_at).as_secs_f64()).min(rate.max(1.0));
        self.refilled_at = now;
        let available = self.tokens >= 1.0;
        self.tokens -= if available { 1.0 } else { 0.0 };
        available
    }
}

/// The decisions of one node. `src/policy/` makes them; this is the state behind them.
pub struct Balancer {
    pub(crate) settings: Settings,
    pub(crate) rng: Pcg32,
    pub(crate) now: Duration,
    pub(crate) servers: Servers,
    /// The ready servers, sorted by ring position: the position of each, and its slot in `servers`.
    pub(crate) ready_ring: Vec<(u64, usize)>,
    /// The rings of which a subset is held, one for each zone at most. Empty where all servers are held.
    pub(crate) subset_rings: Vec<SubsetRing>,
    /// Whether the requests of some class may be retried only within a cell.
    pub(crate) cell_retries: bool,
    /// From this time on no listed server is cold.
    pub(crate) all_warm_at: Duration,
    pub(crate) requests: BTreeMap<RequestId, Request>,
    /// Requests that wait for probes, in the order of arrival.
    pub(crate) awaiting_probes: Vec<RequestId>,
    pub(crate) probes_in_flight: u32,
    /// The smoothed answer time.
    pub(crate) answer_time_s: f64,
    /// The median answer time.
    pub(crate) median_answer_time: Duration,
    /// The median answer time of each class; zero until there is an answer.
    pub(crate) class_medians: Vec<Duration>,
    /// Smoothed share of failed attempts at all servers.
    pub(crate) failure_rate: f64,
    /// The smoothed expected work of a request in seconds, where known.
    pub(crate) mean_cost: f64,
    /// The smoothed value of a request.
    pub(crate) mean_value: f64,
    /// The number of own sends, with slow decay.
    pub(crate) recent_sends: f64,
    /// Idle reports that lowered a queue estimate, with the same decay.
    pub(crate) recent_idle_reports: f64,
    /// The smoothed share of load reports that were not idle.
    pub(crate) busy_share: f64,
    /// The smoothed share of attempts answered in time, by the load of the server when they were sent.
    pub(crate) in_time_by_load: Vec<f64>,
    /// Admission control: the share of requests that may be sent to servers without load. It stays constant
    /// while seven in eight are answered in time. Values above 1 are a reserve, so that a few late answers
    /// don't cause a refusal.
    pub(crate) admission: f64,
    /// Probes that own traffic has earned and that have not been sent.
    pub(crate) probe_tokens: f64,
    /// The retry budget: retries that may be sent.
    pub(crate) retry_tokens: f64,
    /// Tokens for attempts that may time out before their deadline; answers in time earn them.
    pub(crate) early_timeout_tokens: f64,
    /// Attempts sent.
    pub(crate) sent_rate: DecayedRate,
    /// Work that arrived, relative to that of the mean request.
    pub(crate) arrived_work: DecayedRate,
    /// Work of the requests that warm servers have answered, relative to that of the mean request.
    pub(crate) warm_work: DecayedRate,
    /// The rate limit of each tenant.
    pub(crate) tenant_buckets: Vec<TokenBucket>,
    /// How long clients wait for an answer to a first try (not a client retry), by class.
    pub(crate) first_try_wait: Vec<Duration>,
    /// How many nodes there are, where the nodes know of one another.
    pub(crate) fleet_view: Option<FleetView>,
    /// Where the list must be asked for: when to ask next.
    pub(crate) poll_at: Option<Duration>,
    /// The wait after a failed call for the list.
    pub(crate) poll_backoff: Duration,
    /// The zones by number. Empty where zones are not configured.
    pub(crate) zones: BTreeMap<u8, Zone>,
    /// When the states and shares of the zones were last updated.
    pub(crate) zones_updated_at: Duration,
}

/// How long a server may be cold, plus a little for the rounding errors of sums of shares.
pub(crate) fn max_cold_time(warm_up_time: Duration) -> Duration {
    warm_up_time * 65 / 64
}

/// Whether some class may be retried only within a cell.
fn cell_retries(settings: &Settings) -> bool {
    settings
        .classes
        .iter()
        .any(|class| matches!(class.retry_safety, RetrySafety::Keyed { scope: DedupScope::Cell, .. }))
}

/// The new index of each of `count` old entries, from the old index of each new entry.
fn new_indices(old_indices: &[Option<usize>], count: usize) -> Vec<Option<usize>> {
    let mut new_of = vec![None; count];
    for (new, old) in old_indices.iter().enumerate() {
        if let Some(entry) = old.and_then(|old| new_of.get_mut(old)) {
            entry.get_or_insert(new);
        }
    }
    new_of
}

impl Balancer {
    /// A node that knows nothing yet.
    pub(crate) fn empty(settings: Settings, rng: Pcg32) -> Self {
        Balancer {
            rng,
            now: Default::default(),
            servers: Default::default(),
            ready_ring: Default::default(),
            subset_rings: Default::default(),
            cell_retries: cell_retries(&settings),
            all_warm_at: Default::default(),
            requests: Default::default(),
            awaiting_probes: Default::default(),
            probes_in_flight: Default::default(),
            answer_time_s: Default::default(),
            median_answer_time: Duration::ZERO,
            class_medians: vec![Duration::ZERO; settings.classes.len()],
            failure_rate: Default::default(),
            mean_cost: Default::default(),
            mean_value: settings.classes.iter().map(|c| c.value).sum::<f64>()
                / settings.classes.len().max(1) as f64,
            recent_sends: Default::default(),
            recent_idle_reports: Default::default(),
            busy_share: Default::default(),
            in_time_by_load: Default::default(),
            admission: Default::default(),
            probe_tokens: Default::default(),
            retry_tokens: Default::default(),
            early_timeout_tokens: Default::default(),
            sent_rate: Default::default(),
            arrived_work: Default::default(),
            warm_work: Default::default(),
            tenant_buckets: vec![TokenBucket::default(); settings.tenants.len()],
            first_try_wait: vec![Duration::ZERO; settings.classes.len()],
            fleet_view: None,
            poll_at: Default::default(),
            poll_backoff: Default::default(),
            zones: Default::default(),
            zones_updated_at: Default::default(),
            settings,
        }
    }

    /// How far a zone is: in steps (0 for the node's own zone, 1 within its region, 2 beyond), and by the
    /// round-trip time to a server there. A zone that the settings don't name is beyond the region.
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

    /// No server of a zone admitted a request: that counts as an answer past the latency target.
    pub(crate) fn record_zone_saturated(&mut self, zone: u8) {
        let (now, window_s) = (self.now, self.settings.rules.overload_time.as_secs_f64());
        if let Some(zone) = self.zones.get_mut(&zone) {
            zone.latency_ratios.add(now, window_s, 1.0);
            zone.outcomes.add(now, window_s, 1.0);
        }
    }

    /// The admission share of a server's zone, or of all servers where zones are not configured.
    pub(crate) fn admission_at(&self, server: &Server) -> f64 {
        self.zones.get(&server.entry.zone).map_or(self.admission, |zone| zone.admission)
    }

    pub(crate) fn admission_mut(&mut self, server: ServerId) -> &mut f64 {
        if self.zones.is_empty() {
            return &mut self.admission;
        }
        let zone = self.servers.get(&server).map(|server| server.entry.zone);
        let zone = zone.and_then(|zone| self.zones.get_mut(&zone));
        zone.map_or(&mut self.admission, |zone| &mut zone.admission)
    }

    /// Counts the ready servers of each zone and the unhealthy share of those observed within `window`. A
    /// time-out counts as a failure only where hardly any server of the zone answers: else the zone is
    /// overloaded.
    pub(crate) fn refresh_zone_stats(&self, zones: &mut BTreeMap<u8, Zone>, window: Duration) {
        zones.values_mut().for_each(|zone| zone.ready = 0);
        let mut counts = BTreeMap::<u8, [f64; 3]>::new();
        for (_, slot) in &self.ready_ring {
            let server = self.servers.at(*slot);
            let new = || Zone { admission: self.admission, ..Zone::default() };
            zones.entry(server.entry.zone).or_insert_with(new).ready += 1;
            if let Some((observation, _)) = server.last_seen.filter(|(_, at)| self.now <= *at + window) {
                counts.entry(server.entry.zone).or_default()[observation as usize] += 1.0;
            }
        }
        for ring in &self.subset_rings {
            let zone = ring.zone.and_then(|zone| zones.get_mut(&zone));
            zone.into_iter().for_each(|zone| zone.ready = ring.ready);
        }
        for (zone, [served, failed, timed_out]) in counts {
            let Some(zone) = zones.get_mut(&zone) else { continue };
            let (unhealthy, observed) = (
                failed + if served < MIN_SERVED_PER_TIMEOUT * timed_out { timed_out } else { 0.0 },
                served + failed + timed_out,
            );
            // Where not all servers were observed, one more counts as healthy, because a failure of one
            // server says little about the others.
            zone.unhealthy = if observed >= zone.ready as f64 {
                unhealthy / observed
            } else {
                unhealthy / (observed + 1.0)
            };
        }
        zones.retain(|_, zone| zone.ready > 0 || zone.evacuated_until.is_some());
    }

    /// The zones as they are now, for the operators. Empty where zones are not configured.
    pub fn zones(&self) -> Vec<ZoneView> {
        let window_s = self.settings.rules.overload_time.as_secs_f64();
        let view = |(id, zone): (&u8, &Zone)| ZoneView {
            zone: *id,
            share: zone.share,
            ready_servers: zone.ready,
            unhealthy_share: zone.unhealthy,
            latency_ratio: zone.latency_ratio(self.now, window_s),
            state: zone.state,
            since: zone.since,
            evacuated_until: zone.evacuated_until,
        };
        self.zones.iter().map(view).collect()
    }

    /// Applies new settings. State of a class or tenant moves to its new index, and is dropped with it.
    pub(crate) fn apply_settings(
        &mut self,
        new: Settings,
        classes: &[Option<usize>],
        tenants: &[Option<usize>],
    ) {
        let moved_to = new_indices(classes, self.settings.classes.len());
        let new_index = |old: usize| moved_to.get(old).copied().flatten();
        for server in self.servers.values_mut().filter(|server| !server.misses.is_empty()) {
            let old = std::mem::take(&mut server.misses).into_iter();
            server.misses = old.filter_map(|(class, misses)| Some((new_index(class)?, misses))).collect();
        }
        for request in self.requests.values_mut() {
            request.class = request.class.and_then(new_index);
        }
        let deadline = |settings: &Settings, class: usize| settings.classes.get(class).map(|c| c.deadline);
        let first_try_wait = classes.iter().enumerate().map(|(index, old)| {
            // With another deadline the clients of a class wait for another time.
            let old = old.filter(|old| deadline(&self.settings, *old) == deadline(&new, index));
            old.and_then(|old| self.first_try_wait.get(old)).copied().unwrap_or_default()
        });
        self.first_try_wait = first_try_wait.collect();
        let median = |old: &Option<usize>| old.and_then(|old| self.class_medians.get(old)).copied();
        self.class_medians = classes.iter().map(|old| median(old).unwrap_or_default()).collect();
        let bucket = |old: &Option<usize>| old.and_then(|old| self.tenant_buckets.get(old)).copied();
        self.tenant_buckets = tenants.iter().map(|old| bucket(old).unwrap_or_default()).collect();
        let started = self.servers.values_mut().filter_map(|server| server.entry.started);
        self.all_warm_at =
            started.max().map(|at| at + max_cold_time(new.rules.warm_up_time)).unwrap_or_default();
        if new.zones.is_none() {
            self.zones.clear();
        }
        self.cell_retries = cell_retries(&new);
        self.settings = new;
    }
}

#[cfg(test)]
mod tests;
