//! The node itself: the only owner of the [`Balancer`]. One loop takes events in and carries actions out;
//! it decides nothing. Its request table alone gives final answers, and gives each exactly once.

use crate::backend::ConnectionPool;
use crate::messages::{
    AcceptedRequest, Answer, Attempt, Ended, EvacuationCommand, ForwardedRequest, Message, ProbeEnded,
    Started, Stop, SubsetStatus, ZoneStatus,
};
use hillpick::control::clock::Clock;
use hillpick::control::config::Config;
use hillpick::control::log::log;
use hillpick::control::server_table::{ServerTable, SubsetUpdate};
use hillpick::control::updates::{DiscoveryCommand, ListUpdate};
use hillpick::settings::{SettingsUpdate, SiteSettings};
use hillpick::*;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::task::spawn_local;
use tokio::time::sleep_until;

struct Held {
    forward: Rc<ForwardedRequest>,
    /// The way to the client, until the final answer has gone there.
    reply: Option<oneshot::Sender<Answer>>,
    /// By the rules that it came under.
    max_attempts: usize,
    /// In the order of Send; an attempt's number is its place.
    attempts: Vec<Out>,
}

struct Out {
    server: ServerId,
    sent: Duration,
    /// The way to stop it, until it has ended.
    stop: Option<oneshot::Sender<Stop>>,
    /// How long its answer took to start, where that is passed on as it comes: it has no time-out any more.
    started: Option<Duration>,
    ended: bool,
}

impl Held {
    /// The one place where a final answer leaves. False if there has been one.
    fn answer(&mut self, answer: Answer) -> bool {
        self.forward.finished.set(true);
        // An error means that the client has just left: then no answer is owed.
        self.reply.take().map(|reply| reply.send(answer)).is_some()
    }
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Module(u64),
    Attempt(RequestId, u32),
    Deadline(RequestId),
}

pub struct Node {
    clock: Clock,
    balancer: Balancer,
    pool: Rc<ConnectionPool>,
    messages: mpsc::Sender<Message>,
    discovery: mpsc::Sender<DiscoveryCommand>,
    /// All of the list, where balancer and pool hold a subset of it.
    roster: Option<ServerTable>,
    /// The settings that the module goes by.
    site: Arc<SiteSettings>,
    held: BTreeMap<RequestId, Held>,
    timers: BinaryHeap<Reverse<(Duration, u64, Due)>>,
    timers_set: u64,
}

impl Node {
    pub fn new(
        clock: Clock,
        config: &Config,
        pool: Rc<ConnectionPool>,
        messages: mpsc::Sender<Message>,
        discovery: mpsc::Sender<DiscoveryCommand>,
    ) -> Self {
        let balancer = Balancer::new(config.site.settings.clone(), config.seed);
        Node {
            clock,
            pool,
            messages,
            discovery,
            site: config.site.clone(),
            roster: config.subset.map(|servers| ServerTable::new(servers, balancer.ring_layout())),
            balancer,
            held: BTreeMap::new(),
            timers: BinaryHeap::new(),
            timers_set: 0,
        }
    }

    pub async fn run(mut self, mut inbox: mpsc::Receiver<Message>) {
        loop {
            let due = self.timers.peek().map(|Reverse((at, ..))| *at);
            let wait = sleep_until(self.clock.instant(due.unwrap_or_default()));
            tokio::select! {
                message = inbox.recv() => match message {
                    Some(message) => self.take(message),
                    None => return,
                },
                () = wait, if due.is_some() => {}
            }
            self.fire();
        }
    }

    fn set(&mut self, at: Duration, due: Due) {
        self.timers_set += 1; // those due together fire in the order of setting
        self.timers.push(Reverse((at, self.timers_set, due)));
    }

    fn fire(&mut self) {
        let now = self.clock.now();
        while self.timers.peek().is_some_and(|Reverse((at, ..))| *at <= now) {
            let Some(Reverse((_, _, due))) = self.timers.pop() else { return };
            match due {
                Due::Module(token) => self.decide(Event::Timer { token }),
                Due::Attempt(id, number) => self.stop(id, number, Stop::TimedOut),
                Due::Deadline(id) => self.overdue(id),
            }
        }
    }

    fn take(&mut self, message: Message) {
        match message {
            Message::Request(taken) => self.on_request(taken),
            Message::ClientGone(id) => {
                let Some(held) = self.held.get_mut(&id).filter(|held| held.reply.is_some()) else { return };
                held.reply = None;
                held.forward.finished.set(true);
                self.decide(Event::ClientGone { id });
                self.forget(id);
            }
            Message::BodyReceived(id) => self.on_arrived(id),
            Message::Started(started) => self.on_started(started),
            Message::Attempt(ended) => self.on_attempt(ended),
            Message::Probe(ProbeEnded { server, outcome, sent, report }) => {
                let elapsed = self.clock.now().saturating_sub(sent);
                self.decide(Event::ProbeEnded(ProbeEnd { server, outcome, elapsed, report }));
            }
            Message::List(news) => self.on_list(news),
            Message::FleetView(tier) => {
                self.decide(Event::FleetView(tier));
                self.move_subset();
            }
            Message::ZoneQuery(order, reply) => {
                let told = self.zones(order);
                let _ = reply.send(told); // who asked may have gone
            }
            Message::SubsetQuery(reply) => {
                let _ = reply.send(self.subset()); // who asked may have gone
            }
            Message::BodyDeadline => {
                let arriving = self.held.iter().filter(|(_, held)| held.forward.body.is_incomplete());
                let out = arriving.flat_map(|(id, held)| (0..held.attempts.len()).map(|i| (*id, i as u32)));
                // The module hears that they were never sent whole, and can't be: it gives the answer.
                out.collect::<Vec<_>>().into_iter().for_each(|(id, i)| self.stop(id, i, Stop::Cancelled));
            }
            Message::Settings(replacement) => {
                let SettingsUpdate { site, settings, previous_classes: classes, previous_tenants: tenants } =
                    *replacement;
                self.site = site;
                self.decide(Event::Settings {
                    settings,
                    previous_classes: classes,
                    previous_tenants: tenants,
                });
                self.move_subset();
            }
        }
    }

    fn on_list(&mut self, news: ListUpdate) {
        match &mut self.roster {
            Some(roster) => {
                let told = roster.apply(news, self.balancer.ring_layout());
                self.take_subset(told);
            }
            None => self.take_list(news),
        }
    }

    /// The node's place among the others may have changed, and its part of the rings with it.
    fn move_subset(&mut self) {
        let layout = self.balancer.ring_layout();
        let moved = self.roster.as_mut().and_then(|roster| roster.set_layout(layout));
        moved.into_iter().for_each(|told| self.take_subset(told));
    }

    fn take_subset(&mut self, told: SubsetUpdate) {
        self.decide(Event::SubsetRings(told.rings));
        self.take_list(told.update);
    }

    fn take_list(&mut self, update: ListUpdate) {
        self.pool.update(update.kind, &update.backends, self.clock.now());
        let entries = update.backends.into_iter().map(|backend| backend.entry).collect();
        self.decide(Event::List { kind: update.kind, entries });
    }

    fn on_request(&mut self, taken: Box<AcceptedRequest>) {
        let AcceptedRequest { mut request, received_at, forward, reply } = *taken;
        let (id, deadline) = (request.id, forward.deadline.get());
        let waited = self.clock.now().saturating_sub(received_at);
        request.remaining = request.remaining.saturating_sub(waited);
        if !request.body_streaming {
            self.set_deadline(id, deadline);
        }
        let max_attempts = request
            .policy
            .as_ref()
            .map_or(self.site.settings.limits.max_attempts, |terms| terms.max_attempts);
        let held = Held {
            forward: Rc::new(forward),
            reply: Some(reply),
            max_attempts: max_attempts.max(1) as usize,
            attempts: Vec::new(),
        };
        self.held.insert(id, held);
        self.decide(Event::Request(request));
    }

    /// A tick early: the answer is to be with the client before it gives up.
    fn set_deadline(&mut self, id: RequestId, deadline: Duration) {
        self.set(deadline.saturating_sub(self.site.settings.timer_resolution), Due::Deadline(id));
    }

    fn on_arrived(&mut self, id: RequestId) {
        let now = self.clock.now();
        let Some(held) = self.held.get_mut(&id) else { return };
        let deadline = now + held.forward.budget;
        held.forward.deadline.set(deadline);
        // How long a client took to send it says nothing of the backend.
        held.attempts.iter_mut().for_each(|out| out.sent = now);
        self.set_deadline(id, deadline);
        self.decide(Event::BodyReceived { id });
    }

    /// The answer belongs to the client from its first bytes on. Where that has had another, nobody takes the pieces.
    fn on_started(&mut self, started: Started) {
        let Started { id, number, length, pieces } = started;
        let now = self.clock.now();
        let Some(held) = self.held.get_mut(&id).filter(|held| held.reply.is_some()) else { return };
        let Some(out) = held.attempts.get_mut(number as usize) else { return };
        out.started = Some(now.saturating_sub(out.sent));
        let server = out.server;
        held.answer(Answer::Streamed(length, pieces));
        self.decide(Event::AnswerStarted { id, attempt: number, server });
    }

    fn on_attempt(&mut self, ended: Ended) {
        let Some(held) = self.held.get_mut(&ended.id) else { return };
        let Some(out) = held.attempts.get_mut(ended.number as usize) else { return };
        (out.ended, out.stop) = (true, None);
        let (server, sent, started) = (out.server, out.sent, out.started);
        if started.is_some() && ended.outcome != Outcome::Served {
            log(format_args!("a long answer of server {:x} broke off: {:?}", server.0, ended.outcome));
        }
        // The first served answer is the client's; a later one only informs the module.
        if let Some(body) = ended.body {
            held.answer(Answer::Served(body));
        }
        let finished = held.reply.is_none();
        self.decide(Event::AttemptEnded(AttemptEnd {
            id: ended.id,
            attempt: ended.number,
            server,
            outcome: ended.outcome,
            elapsed: started.unwrap_or_else(|| self.clock.now().saturating_sub(sent)),
            finished,
            report: ended.report,
            body_consumed: ended.spent,
        }));
        self.forget(ended.id);
    }

    /// Whatever the module does, nobody is left without an answer at the deadline.
    fn overdue(&mut self, id: RequestId) {
        let Some(held) = self.held.get_mut(&id).filter(|held| held.reply.is_some()) else { return };
        log(format_args!("request {} was unanswered at its deadline: failed", id.0));
        held.answer(Answer::TimedOut);
        self.decide(Event::ClientGone { id });
        self.forget(id);
    }

    /// Drops a request that has its answer and no attempt out.
    fn forget(&mut self, id: RequestId) {
        let over = |held: &Held| held.reply.is_none() && held.attempts.iter().all(|out| out.ended);
        if self.held.get(&id).is_some_and(over) {
            self.held.remove(&id);
        }
    }

    /// Lets the module decide, and carries out what it says.
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

    /// Carries out an action. An attempt that can't even start ends at once, with the event returned.
    fn act(&mut self, action: Action) -> Option<Event> {
        match action {
            Action::Send { id, server, timeout } => return self.send(id, server, timeout),
            Action::Refuse { id, retry_after } => self.finish(id, Answer::Refused(retry_after)),
            Action::Fail { id } => self.finish(id, Answer::Failed),
            Action::Cancel { id, attempt } => self.stop(id, attempt, Stop::Cancelled),
            Action::SetTimer { after, token } => self.set(self.clock.now() + after, Due::Module(token)),
            Action::Probe { server } => self.probe(server),
            Action::CloseIdle { server } => self.pool.close_idle(server),
            Action::Subscribe { on } => self.order(DiscoveryCommand::Subscribe(on)),
            Action::FetchList => self.order(DiscoveryCommand::Fetch),
            // No message between nodes: the module sends none, and the site allows none.
            Action::SendToPeer { .. } => log("a message to another node was dropped"),
            Action::Log { text } => log(text),
        }
        None
    }

    /// How much of the list is held; `None` where all of it is.
    fn subset(&self) -> Option<SubsetStatus> {
        let (roster, layout) = (self.roster.as_ref()?, self.balancer.ring_layout());
        let RingLayout { node, nodes, .. } = layout;
        Some(SubsetStatus { ready: roster.ready_count(), held: roster.held_count(), node, nodes })
    }

    /// How the zones stand, after an order of the staff's; `None` where the node does not go by zones.
    fn zones(&mut self, order: Option<EvacuationCommand>) -> Option<Vec<ZoneStatus>> {
        self.site.settings.zones.as_ref()?;
        if let Some(order) = order {
            let zone = self.site.zone_names.iter().position(|name| *name == order.zone)?;
            self.decide(Event::Evacuate { zone: u8::try_from(zone).ok()?, duration: order.duration });
        }
        let now = self.clock.now();
        let named = self.balancer.zones().into_iter().map(|view| ZoneStatus {
            name: self.site.zone_names.get(usize::from(view.zone)).cloned().unwrap_or_default(),
            state_age: now.saturating_sub(view.since),
            evacuation_left: view.evacuated_until.map(|until| until.saturating_sub(now)),
            view,
        });
        Some(named.collect())
    }

    fn send(&mut self, id: RequestId, server: ServerId, timeout: Duration) -> Option<Event> {
        let now = self.clock.now();
        let held = self.held.get_mut(&id)?;
        let (number, finished) = (held.attempts.len() as u32, held.reply.is_none());
        let deadline = held.forward.deadline.get();
        if finished || now >= deadline || held.attempts.len() >= held.max_attempts {
            held.attempts.push(Out { server, sent: now, stop: None, started: None, ended: true });
            return Some(Event::AttemptEnded(AttemptEnd {
                id,
                attempt: number,
                server,
                outcome: Outcome::NotSent,
                elapsed: Duration::ZERO,
                finished,
                report: None,
                body_consumed: false,
            }));
        }
        let until = if timeout.is_zero() { deadline } else { deadline.min(now + timeout) };
        let (stop, stopped) = oneshot::channel();
        let attempt = Attempt { id, number, server, until, forward: held.forward.clone() };
        held.attempts.push(Out { server, sent: now, stop: Some(stop), started: None, ended: false });
        if !attempt.forward.body.is_incomplete() {
            self.set(until, Due::Attempt(id, number)); // one that still comes is timed once it is there
        }
        let (pool, messages) = (self.pool.clone(), self.messages.clone());
        let ended = pool.attempt(attempt, stopped, messages.clone());
        spawn_local(async move {
            let ended = ended.await;
            let _ = messages.send(Message::Attempt(ended)).await; // fails only when the node has ended
        });
        None
    }

    fn probe(&mut self, server: ServerId) {
        let (sent, pool, messages) = (self.clock.now(), self.pool.clone(), self.messages.clone());
        spawn_local(async move {
            let (outcome, report) = pool.probe(server).await;
            let _ = messages.send(Message::Probe(ProbeEnded { server, outcome, sent, report })).await;
        });
    }

    /// Any event may bring it, a timer or a probe among them: so it is forgotten here, not by the event.
    fn finish(&mut self, id: RequestId, answer: Answer) {
        if let Some(held) = self.held.get_mut(&id) {
            held.answer(answer);
        }
        self.forget(id);
    }

    fn stop(&mut self, id: RequestId, number: u32, why: Stop) {
        let out = self.held.get_mut(&id).and_then(|held| held.attempts.get_mut(number as usize));
        let out = out.filter(|out| out.started.is_none()); // it belongs to the client now
        if let Some(stop) = out.and_then(|out| out.stop.take()) {
            let _ = stop.send(why); // it may have ended just now; then that outcome is on its way
        }
    }

    fn order(&mut self, order: DiscoveryCommand) {
        if self.discovery.try_send(order).is_err() {
            log("discovery has too much to do: a call was dropped");
        }
    }
}

#[cfg(test)]
mod tests;
