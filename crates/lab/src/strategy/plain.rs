//! Strategies that pick a server and do nothing else: one attempt, no gates, no health, no cold starts. They answer
//! every request once and never repeat one, so rules 1 and 2 hold; rule 4 is not looked after.

use super::Strategy;
use hillpick::{
    Action, DedupScope, Event, ListKind, Outcome, RequestId, RetrySafety, ServerId, ServerState, Settings,
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

/// How a plain strategy picks among the servers that are in service. Servers go by their place, from 0.
pub trait Pick {
    /// There are so many servers now, all of them new.
    fn listed(&mut self, servers: usize);
    /// One of them, where there is at least one.
    fn pick(&mut self, servers: usize, random: &mut Pcg64Mcg) -> usize;
    /// A request was sent there.
    fn sent(&mut self, _server: usize) {}
    /// One that was sent there has ended.
    fn ended(&mut self, _server: usize) {}
    /// A sign came that it is idle.
    fn idle(&mut self, _server: usize) {}
}

/// A random server.
pub struct Random;

impl Pick for Random {
    fn listed(&mut self, _servers: usize) {}

    fn pick(&mut self, servers: usize, random: &mut Pcg64Mcg) -> usize {
        random.random_range(0..servers)
    }
}

/// One after another.
#[derive(Default)]
pub struct RoundRobin(usize);

impl Pick for RoundRobin {
    fn listed(&mut self, _servers: usize) {}

    fn pick(&mut self, servers: usize, random: &mut Pcg64Mcg) -> usize {
        // Nodes that start together must not walk in step.
        self.0 = if self.0 == 0 { random.random_range(0..servers) + 1 } else { self.0 % servers + 1 };
        self.0 - 1
    }
}

/// Of two random servers the one with fewer own requests in flight.
#[derive(Default)]
pub struct LeastOfTwo(Vec<u32>);

impl Pick for LeastOfTwo {
    fn listed(&mut self, servers: usize) {
        self.0 = vec![0; servers];
    }

    fn pick(&mut self, servers: usize, random: &mut Pcg64Mcg) -> usize {
        let (one, other) = (random.random_range(0..servers), random.random_range(0..servers));
        if self.0[other] < self.0[one] { other } else { one }
    }

    fn sent(&mut self, server: usize) {
        self.0[server] += 1;
    }

    fn ended(&mut self, server: usize) {
        self.0[server] = self.0[server].saturating_sub(1);
    }
}

struct Open {
    class: usize,
    may_have_run: bool,
}

/// A node that picks by `P`.
pub struct Plain<P> {
    settings: Settings,
    random: Pcg64Mcg,
    pick: P,
    /// Each server's state and zone.
    known: BTreeMap<ServerId, (ServerState, u8)>,
    /// It picks among those of its own zone, if there are any.
    own_zone: bool,
    /// Those in service, and the place of each.
    servers: Vec<ServerId>,
    places: HashMap<ServerId, usize>,
    open: HashMap<RequestId, Open>,
}

impl<P: Pick> Plain<P> {
    /// A node that has just started.
    pub fn new(settings: Settings, seed: u64, pick: P) -> Self {
        Plain {
            settings,
            random: Pcg64Mcg::seed_from_u64(seed),
            pick,
            known: BTreeMap::new(),
            own_zone: false,
            servers: Vec::new(),
            places: HashMap::new(),
            open: HashMap::new(),
        }
    }

    /// The same, among the servers of its own zone where that has any.
    pub fn in_own_zone(self) -> Self {
        Plain { own_zone: true, ..self }
    }

    /// Refused if to try again is harmless, else failed.
    fn give_up(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(open) = self.open.remove(&id) else { return };
        let repeat = self.settings.classes.get(open.class).map(|class| class.retry_safety);
        let harmless = matches!(
            repeat,
            Some(RetrySafety::Idempotent | RetrySafety::Keyed { scope: DedupScope::All, .. })
        );
        let retry_after = self.settings.limits.max_retry_after;
        actions.push(if harmless || !open.may_have_run {
            Action::Refuse { id, retry_after }
        } else {
            Action::Fail { id }
        });
    }

    fn relist(&mut self) {
        let ready = || self.known.iter().filter(|(_, (state, _))| *state == ServerState::Ready);
        let here = ready().filter(|(_, (_, zone))| self.own_zone && *zone == self.settings.zone);
        self.servers = here.map(|(id, _)| *id).collect();
        if self.servers.is_empty() {
            self.servers = ready().map(|(id, _)| *id).collect();
        }
        self.places = self.servers.iter().zip(0..).map(|(id, place)| (*id, place)).collect();
        self.pick.listed(self.servers.len());
    }
}

impl<P: Pick> Strategy for Plain<P> {
    fn handle(&mut self, _now: Duration, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::List { kind, entries } if kind != ListKind::Failed => {
                if kind != ListKind::Changes {
                    self.known.clear();
                }
                self.known.extend(entries.iter().map(|entry| (entry.id, (entry.state, entry.zone))));
                self.known.retain(|_, (state, _)| *state != ServerState::Gone);
                self.relist();
            }
            Event::Request(new) => {
                self.open.insert(new.id, Open { class: new.class, may_have_run: false });
                if self.servers.is_empty() {
                    return self.give_up(new.id, actions);
                }
                let place = self.pick.pick(self.servers.len(), &mut self.random);
                self.pick.sent(place);
                let timeout = Duration::ZERO; // until the client gives up
                actions.push(Action::Send { id: new.id, server: self.servers[place], timeout });
            }
            Event::AttemptEnded(end) => {
                if let Some(place) = self.places.get(&end.server) {
                    self.pick.ended(*place);
                }
                if end.outcome == Outcome::Served || end.finished {
                    self.open.remove(&end.id);
                } else {
                    self.open.entry(end.id).and_modify(|open| open.may_have_run = !end.outcome.never_ran());
                    self.give_up(end.id, actions);
                }
            }
            Event::ProbeEnded(end) => {
                if let Some(place) = self.places.get(&end.server) {
                    self.pick.idle(*place);
                }
            }
            Event::ClientGone { id } => {
                self.open.remove(&id);
                if self.settings.limits.cancel {
                    actions.push(Action::Cancel { id, attempt: 0 });
                }
            }
            Event::Settings { settings, .. } => self.settings = *settings,
            _ => {}
        }
    }
}
