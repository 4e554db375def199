//! A node without sockets for clients and servers: its balancer is the production one, and so are list, settings and
//! membership; requests are made up, and each attempt ends as served after a drawn time.

use super::state::{Seen, Shared};
use crate::scale::configuration::{GIVE_UP_MS, ROUTES_USED, WORK_MS};
use hillpick::control::clock::Clock;
use hillpick::control::config::Config;
use hillpick::control::server_table::{ServerTable, SubsetUpdate};
use hillpick::control::updates::{DiscoveryCommand, ListUpdate};
use hillpick::settings::{SettingsUpdate, SiteSettings};
use hillpick::{
    Action, AttemptEnd, Balancer, Event, FleetView, ListKind, LoadReport, NewRequest, Outcome, ProbeEnd,
    RequestId, ServerId,
};
use rand::Rng;
use rand_distr::{Distribution, Exp1};
use rand_pcg::Pcg64Mcg;
use std::cell::{Cell, RefCell};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::{sleep, sleep_until};

/// Until it is ready, a node looks so often whether it is.
const LOOK: Duration = Duration::from_millis(5);

/// What the loop of a node is told.
pub enum Message {
    /// News of the list.
    List(ListUpdate),
    /// News of the tier.
    Tier(FleetView),
    /// Other settings: their version, and when they were made, in ms of Unix time.
    Settings(Box<SettingsUpdate>, u32, u64),
}

impl From<ListUpdate> for Message {
    fn from(update: ListUpdate) -> Self {
        Message::List(update)
    }
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Arrival,
    Module(u64),
    Attempt(RequestId, u32),
    Probe(ServerId),
    Deadline(RequestId),
}

#[derive(Default)]
struct Held {
    attempts: Vec<Attempt>,
    finished: bool,
}

struct Attempt {
    server: ServerId,
    sent: Duration,
    ended: bool,
}

/// A hollow node.
pub struct Node {
    clock: Clock,
    /// When it began to start.
    began: Duration,
    balancer: Balancer,
    site: Arc<SiteSettings>,
    discovery: mpsc::Sender<DiscoveryCommand>,
    roster: Option<ServerTable>,
    listed: Rc<Cell<bool>>,
    /// Since when it is ready, in ms of Unix time.
    ready_ms: Option<u64>,
    shared: Rc<Shared>,
    seen: Rc<RefCell<Seen>>,
    random: Pcg64Mcg,
    arrivals_per_s: f64,
    requests: u64,
    held: HashMap<RequestId, Held>,
    timers: BinaryHeap<Reverse<(Duration, u64, Due)>>,
    timers_set: u64,
}

/// What a node is given by whoever starts it.
pub struct Surroundings {
    /// The clock of its process.
    pub clock: Clock,
    /// When it began to start.
    pub began: Duration,
    /// Where its calls for the list go.
    pub discovery: mpsc::Sender<DiscoveryCommand>,
    /// Whether the discovery client has a list.
    pub listed: Rc<Cell<bool>>,
    /// Shared with the others of its process.
    pub shared: Rc<Shared>,
    /// What is seen of it.
    pub seen: Rc<RefCell<Seen>>,
    /// For arrivals.
    pub random: Pcg64Mcg,
    /// Made-up requests a second.
    pub arrivals_per_s: f64,
}

impl Node {
    /// With this configuration.
    pub fn new(config: &Config, around: Surroundings) -> Self {
        let Surroundings { clock, began, discovery, listed, shared, seen, random, arrivals_per_s } = around;
        let balancer = Balancer::new(config.site.settings.clone(), config.seed);
        Node {
            clock,
            began,
            roster: config.subset.map(|servers| ServerTable::new(servers, balancer.ring_layout())),
            balancer,
            site: config.site.clone(),
            discovery,
            listed,
            ready_ms: None,
            shared,
            seen,
            random,
            arrivals_per_s,
            requests: 0,
            held: HashMap::new(),
            timers: BinaryHeap::new(),
            timers_set: 0,
        }
    }

    /// Its loop, for as long as its task runs.
    pub async fn run(mut self, mut inbox: mpsc::Receiver<Message>) {
        self.next_arrival();
        loop {
            let due = self.timers.peek().map(|Reverse((at, ..))| *at);
            let wait = sleep_until(self.clock.instant(due.unwrap_or_default()));
            tokio::select! {
                message = inbox.recv() => match message {
                    Some(message) => self.take(message),
                    None => return,
                },
                () = wait, if due.is_some() => {}
                () = sleep(LOOK), if self.ready_ms.is_none() => {}
            }
            self.note_ready();
            self.fire();
        }
    }

    fn take(&mut self, message: Message) {
        match message {
            Message::List(update) => self.take_list(update),
            Message::Tier(tier) => {
                self.decide(Event::FleetView(tier));
                self.move_subset();
            }
            Message::Settings(replacement, version, made_ms) => {
                let SettingsUpdate { site, settings, previous_classes: classes, previous_tenants: tenants } =
                    *replacement;
                self.site = site;
                self.decide(Event::Settings {
                    settings,
                    previous_classes: classes,
                    previous_tenants: tenants,
                });
                self.move_subset();
                self.seen.borrow_mut().settings = version;
                self.shared.settings.borrow_mut().note(made_ms, self.clock.now().as_millis() as u64);
            }
        }
    }

    fn take_list(&mut self, update: ListUpdate) {
        let kind = update.kind;
        let entries = update.backends.iter().map(|backend| &backend.entry);
        // A run gives each change a start of its own, by which it is known here.
        let mut starts: Vec<_> =
            entries.filter_map(|it| it.started).map(|at| at.as_millis() as u64).collect();
        starts.sort_unstable();
        starts.dedup();
        match &mut self.roster {
            Some(roster) => {
                let told = roster.apply(update, self.balancer.ring_layout());
                self.take_subset(told);
            }
            None => self.tell(update),
        }
        let now_ms = self.clock.now().as_millis() as u64;
        // What was made before this life began is no news here, even if it comes as a change.
        if let Some(ready_ms) = self.ready_ms.filter(|_| kind == ListKind::Changes) {
            let mut changes = self.shared.changes.borrow_mut();
            let news = starts.iter().filter(|made_ms| **made_ms > ready_ms);
            news.for_each(|made_ms| changes.note(*made_ms, now_ms));
        }
        let mut seen = self.seen.borrow_mut();
        seen.held_ms = seen.held_ms.max(starts.last().copied().unwrap_or_default());
    }

    fn move_subset(&mut self) {
        let layout = self.balancer.ring_layout();
        let moved = self.roster.as_mut().and_then(|roster| roster.set_layout(layout));
        moved.into_iter().for_each(|told| self.take_subset(told));
    }

    fn take_subset(&mut self, told: SubsetUpdate) {
        self.decide(Event::SubsetRings(told.rings));
        self.tell(told.update);
    }

    fn tell(&mut self, update: ListUpdate) {
        let entries = update.backends.into_iter().map(|backend| backend.entry).collect();
        self.decide(Event::List { kind: update.kind, entries });
    }

    /// A long list comes in slices; only its end makes the node ready.
    fn note_ready(&mut self) {
        if self.ready_ms.is_some() || !self.listed.get() {
            return;
        }
        let now = self.clock.now();
        self.ready_ms = Some(now.as_millis() as u64);
        self.seen.borrow_mut().ready = true;
        self.shared.ready_ms.borrow_mut().push(now.saturating_sub(self.began).as_millis() as u32);
    }

    fn set(&mut self, after: Duration, due: Due) {
        self.timers_set += 1;
        self.timers.push(Reverse((self.clock.now() + after, self.timers_set, due)));
    }

    fn fire(&mut self) {
        let now = self.clock.now();
        while self.timers.peek().is_some_and(|Reverse((at, ..))| *at <= now) {
            let Some(Reverse((_, _, due))) = self.timers.pop() else { return };
            match due {
                Due::Arrival => self.arrive(),
                Due::Module(token) => self.decide(Event::Timer { token }),
                Due::Attempt(id, number) => self.end(id, number, Outcome::Served),
                Due::Probe(server) => self.probed(server),
                Due::Deadline(id) => self.overdue(id),
            }
        }
    }

    fn next_arrival(&mut self) {
        if self.arrivals_per_s > 0.0 {
            let gap: f64 = Exp1.sample(&mut self.random);
            self.set(Duration::from_secs_f64(gap / self.arrivals_per_s), Due::Arrival);
        }
    }

    fn arrive(&mut self) {
        self.next_arrival();
        if self.ready_ms.is_none() {
            return; // nobody sends clients there
        }
        self.requests += 1;
        self.shared.requests.set(self.shared.requests.get() + 1);
        let id = RequestId(self.requests);
        let settings = &self.site.settings;
        let class = self.random.random_range(0..settings.classes.len().min(ROUTES_USED as usize));
        let tenant = self.random.random_range(0..settings.tenants.len().max(1));
        let remaining = Duration::from_secs_f64(GIVE_UP_MS / 1e3);
        self.held.insert(id, Held::default());
        self.set(remaining, Due::Deadline(id));
        self.decide(Event::Request(NewRequest { id, class, tenant, remaining, ..NewRequest::default() }));
    }

    fn decide(&mut self, event: Event) {
        let mut events = VecDeque::from([event]);
        while let Some(event) = events.pop_front() {
            let mut actions = Vec::new();
            self.balancer.handle(self.clock.now(), event, &mut actions);
            for action in actions {
                if let Some(event) = self.act(action) {
                    events.push_back(event);
                }
            }
        }
    }

    fn act(&mut self, action: Action) -> Option<Event> {
        match action {
            Action::Send { id, server, .. } => return self.send(id, server),
            Action::Cancel { id, attempt } => return self.ended(id, attempt, Outcome::Cancelled),
            Action::Refuse { id, .. } | Action::Fail { id } => self.answer(id),
            Action::SetTimer { after, token } => self.set(after, Due::Module(token)),
            Action::Probe { server } => {
                let after = self.work();
                self.set(after, Due::Probe(server));
            }
            Action::Subscribe { on } => self.order(DiscoveryCommand::Subscribe(on)),
            Action::FetchList => self.order(DiscoveryCommand::Fetch),
            Action::CloseIdle { .. } | Action::SendToPeer { .. } | Action::Log { .. } => {}
        }
        None
    }

    fn order(&mut self, order: DiscoveryCommand) {
        let _ = self.discovery.try_send(order); // as in the node, one too many is dropped
    }

    fn work(&mut self) -> Duration {
        let work: f64 = Exp1.sample(&mut self.random);
        Duration::from_secs_f64(work * WORK_MS / 1e3)
    }

    fn send(&mut self, id: RequestId, server: ServerId) -> Option<Event> {
        let (sent, work) = (self.clock.now(), self.work());
        let held = self.held.get_mut(&id)?;
        let number = held.attempts.len() as u32;
        held.attempts.push(Attempt { server, sent, ended: false });
        if held.finished {
            return self.ended(id, number, Outcome::NotSent);
        }
        self.set(work, Due::Attempt(id, number));
        None
    }

    fn end(&mut self, id: RequestId, number: u32, outcome: Outcome) {
        if let Some(event) = self.ended(id, number, outcome) {
            self.decide(event);
        }
    }

    /// An attempt has ended, if it had not before.
    fn ended(&mut self, id: RequestId, number: u32, outcome: Outcome) -> Option<Event> {
        let held = self.held.get_mut(&id)?;
        let attempt = held.attempts.get_mut(number as usize).filter(|attempt| !attempt.ended)?;
        attempt.ended = true;
        if outcome == Outcome::Served && !held.finished {
            held.finished = true;
            self.shared.served.set(self.shared.served.get() + 1);
        }
        let (server, elapsed) = (attempt.server, self.clock.now().saturating_sub(attempt.sent));
        let finished = held.finished;
        self.forget(id);
        Some(Event::AttemptEnded(AttemptEnd {
            id,
            attempt: number,
            server,
            outcome,
            elapsed,
            finished,
            report: None,
            body_consumed: false,
        }))
    }

    fn answer(&mut self, id: RequestId) {
        if let Some(held) = self.held.get_mut(&id) {
            held.finished = true;
        }
        self.forget(id);
    }

    fn forget(&mut self, id: RequestId) {
        let over = |held: &Held| held.finished && held.attempts.iter().all(|attempt| attempt.ended);
        if self.held.get(&id).is_some_and(over) {
            self.held.remove(&id);
        }
    }

    fn overdue(&mut self, id: RequestId) {
        if self.held.get(&id).is_some_and(|held| !held.finished) {
            self.answer(id);
            self.decide(Event::ClientGone { id });
        }
    }

    fn probed(&mut self, server: ServerId) {
        let report = LoadReport { in_flight: Some(1.0), queue: Some(0.0), ..LoadReport::default() };
        let elapsed = Duration::from_secs_f64(WORK_MS / 1e3);
        let outcome = Outcome::Served;
        self.decide(Event::ProbeEnded(ProbeEnd { server, outcome, elapsed, report: Some(report) }));
    }
}
