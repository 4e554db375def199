//! The node's event loop, which owns the [`Balancer`]. It turns messages into events for the decision module
//! and carries out the actions that the module returns; it makes no decisions itself. Final answers are given
//! by its request table alone, exactly one for each request.
//!
//! A `Backend` here is a server of the decision module together with its address.

mod timer_queue;

use crate::backend::ConnectionPool;
use crate::executed_requests::SharedExecutedRequests;
use crate::messages::{
    AcceptedRequest, Answer, Attempt, AttemptResult, EvacuationCommand, ForwardedRequest, Message,
    ProbeResult, ResponseStart, StopReason, SubsetStatus, ZoneStatus,
};
use hillpick::control::clock::Clock;
use hillpick::control::config::Config;
use hillpick::control::log::log;
use hillpick::control::server_table::{ServerTable, SubsetUpdate};
use hillpick::control::updates::{DiscoveryCommand, ListUpdate};
use hillpick::settings::{SettingsUpdate, SiteSettings};
use hillpick::*;
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use timer_queue::{Timer, TimerQueue};
use tokio::sync::{mpsc, oneshot};
use tokio::task::spawn_local;
use tokio::time::sleep_until;

/// A request that has no final answer yet, or has attempts in flight.
struct PendingRequest {
    forward: Rc<ForwardedRequest>,
    /// Identifies the request if it comes again, where it must not be repeated.
    fingerprint: Option<RequestFingerprint>,
    /// Where the final answer goes; `None` once it has been given.
    reply: Option<oneshot::Sender<Answer>>,
    /// Whether the request's last byte has arrived, so that its time runs.
    received: bool,
    /// The most attempts, by the settings under which the request was accepted.
    max_attempts: usize,
    /// In the order of the `Send` actions; an attempt's number is its index.
    attempts: Vec<PendingAttempt>,
}

/// An attempt of a request.
struct PendingAttempt {
    server: ServerId,
    /// When it was sent, or when the request's body was complete if that was later.
    sent_at: Duration,
    /// Stops the attempt; `None` once it has ended or was stopped.
    stop: Option<oneshot::Sender<StopReason>>,
    /// For a streamed response, the time until it started. From then on the attempt has no timeout.
    time_to_start: Option<Duration>,
    ended: bool,
    /// Whether the request may have run by it.
    may_have_run: bool,
}

impl PendingRequest {
    /// Gives the final answer. Nothing else does; false if it has been given before.
    fn answer(&mut self, answer: Answer) -> bool {
        self.forward.finished.set(true);
        // An error means that the client has just disconnected: then no answer is owed.
        self.reply.take().map(|reply| reply.send(answer)).is_some()
    }
}

/// The node: the decision module and all that it decides about.
pub struct Node {
    clock: Clock,
    balancer: Balancer,
    pool: Rc<ConnectionPool>,
    messages: mpsc::Sender<Message>,
    discovery: mpsc::Sender<DiscoveryCommand>,
    /// The whole server list, where the decision module and the pool hold a subset of it.
    server_table: Option<ServerTable>,
    /// The settings that the decision module was last given.
    site: Arc<SiteSettings>,
    requests: BTreeMap<RequestId, PendingRequest>,
    executed_requests: Rc<SharedExecutedRequests>,
    timers: TimerQueue,
    /// Whether requests are accepted whose bodies are still arriving.
    receives_bodies: bool,
}

impl Node {
    /// A node whose server list is empty.
    pub fn new(
        clock: Clock,
        config: &Config,
        pool: Rc<ConnectionPool>,
        messages: mpsc::Sender<Message>,
        discovery: mpsc::Sender<DiscoveryCommand>,
        executed_requests: Rc<SharedExecutedRequests>,
    ) -> Self {
        let balancer = Balancer::new(config.site.settings.clone(), config.seed);
        Node {
            clock,
            pool,
            messages,
            discovery,
            site: config.site.clone(),
            server_table: config.subset.map(|servers| ServerTable::new(servers, balancer.ring_layout())),
            balancer,
            requests: BTreeMap::new(),
            executed_requests,
            timers: TimerQueue::new(),
            receives_bodies: true,
        }
    }

    /// Handles messages and timers until all senders are gone.
    pub async fn run(mut self, mut inbox: mpsc::Receiver<Message>) {
        loop {
            let next_due = self.timers.next_due();
            let wait = sleep_until(self.clock.instant(next_due.unwrap_or_default()));
            tokio::select! {
                message = inbox.recv() => match message {
                    Some(message) => self.handle_message(message),
                    None => return,
                },
                () = wait, if next_due.is_some() => {}
            }
            self.fire_timers();
        }
    }

    /// Arms a timer for this time on the node's clock.
    fn arm(&mut self, at: Duration, timer: Timer) {
        self.timers.arm(at, timer);
        let requests = &self.requests;
        self.timers.sweep(|timer| match timer {
            Timer::Module(LIST_TIMER) => true,
            Timer::Module(id) => requests.contains_key(&RequestId(*id)),
            Timer::Attempt(id, _) | Timer::Deadline(id) => requests.contains_key(id),
        });
    }

    /// Carries out all timers that are due.
    fn fire_timers(&mut self) {
        let now = self.clock.now();
        while let Some(timer) = self.timers.pop_due(now) {
            match timer {
                Timer::Module(token) => self.handle_event(Event::Timer { token }),
                Timer::Attempt(id, number) => self.stop_attempt(id, number, StopReason::TimedOut),
                Timer::Deadline(id) => self.on_deadline(id),
            }
        }
    }

    fn handle_message(&mut self, message: Message) {
        match message {
            Message::Request(accepted) => self.on_request(accepted),
            Message::ClientGone(id) => {
                let Some(pending) = self.requests.get_mut(&id).filter(|p| p.reply.is_some()) else { return };
                pending.reply = None;
                pending.forward.finished.set(true);
                self.handle_event(Event::ClientGone { id });
                self.remove_finished(id);
            }
            Message::BodyReceived { id, at } => self.on_body_received(id, at.elapsed()),
            Message::ResponseStarted(start) => self.on_response_started(start),
            Message::AttemptEnded(result) => self.on_attempt_ended(result),
            Message::ProbeEnded(ProbeResult { server, outcome, sent_at, report }) => {
                let elapsed = self.clock.now().saturating_sub(sent_at);
                self.handle_event(Event::ProbeEnded(ProbeEnd { server, outcome, elapsed, report }));
            }
            Message::List(update) => self.on_list(update),
            Message::FleetView(view) => {
                self.handle_event(Event::FleetView(view));
                self.update_layout();
            }
            Message::ZoneQuery(command, reply) => {
                let statuses = self.zone_statuses(command);
                let _ = reply.send(statuses); // the caller may have gone
            }
            Message::SubsetQuery(reply) => {
                let _ = reply.send(self.subset_status()); // the caller may have gone
            }
            Message::BodyDeadline => self.abandon_bodies(),
            Message::Settings(update) => {
                let SettingsUpdate { site, settings, previous_classes, previous_tenants } = *update;
                self.site = site;
                self.handle_event(Event::Settings { settings, previous_classes, previous_tenants });
                self.update_layout();
            }
        }
    }

    /// From now on no body that is still arriving is received: its attempts are stopped, and the decision module
    /// answers its request. Since it was not sent in full, it has not run.
    fn abandon_bodies(&mut self) {
        self.receives_bodies = false;
        let incomplete = self.requests.iter().filter(|(_, pending)| !pending.received);
        for id in incomplete.map(|(id, _)| *id).collect::<Vec<_>>() {
            // Told first, so that the end of an attempt does not lead to another one.
            self.handle_event(Event::BodyAbandoned { id });
            let attempts = self.requests.get(&id).map_or(0, |pending| pending.attempts.len());
            (0..attempts).for_each(|i| self.stop_attempt(id, i as u32, StopReason::Cancelled));
        }
    }

    fn on_list(&mut self, update: ListUpdate) {
        match &mut self.server_table {
            Some(server_table) => {
                let update = server_table.apply(update, self.balancer.ring_layout());
                self.apply_subset(update);
            }
            None => self.apply_list(update),
        }
    }

    /// This node's position among the nodes may have changed, and with it the part of the rings that it
    /// holds.
    fn update_layout(&mut self) {
        let layout = self.balancer.ring_layout();
        let update = self.server_table.as_mut().and_then(|server_table| server_table.set_layout(layout));
        update.into_iter().for_each(|update| self.apply_subset(update));
    }

    fn apply_subset(&mut self, update: SubsetUpdate) {
        self.handle_event(Event::SubsetRings(update.rings));
        self.apply_list(update.update);
    }

    fn apply_list(&mut self, update: ListUpdate) {
        self.pool.update(update.kind, &update.backends, self.clock.now());
        let entries = update.backends.into_iter().map(|backend| backend.entry).collect();
        self.handle_event(Event::List { kind: update.kind, entries });
    }

    fn on_request(&mut self, accepted: Box<AcceptedRequest>) {
        let AcceptedRequest { mut request, received_at, forward, reply } = *accepted;
        if request.body_streaming && !self.receives_bodies {
            let _ = reply.send(Answer::Refused(None)); // fails if the client has just disconnected
            return;
        }
        let (id, deadline) = (request.id, forward.deadline.get());
        let waited = self.clock.now().saturating_sub(received_at);
        request.remaining = request.remaining.saturating_sub(waited);
        let class = self.site.settings.classes.get(request.class);
        let class = request.policy.as_ref().map(|policy| &policy.class).or(class);
        let fingerprint = class
            .filter(|class| ExecutedRequests::concerns(&class.retry_safety))
            .map(|_| SharedExecutedRequests::fingerprint(forward.call_id.as_bytes()));
        let max_attempts = request
            .policy
            .as_ref()
            .map_or(self.site.settings.limits.max_attempts, |policy| policy.max_attempts);
        let pending = PendingRequest {
            forward: Rc::new(forward),
            fingerprint,
            reply: Some(reply),
            received: !request.body_streaming,
            max_attempts: max_attempts.max(1) as usize,
            attempts: Vec::new(),
        };
        self.requests.insert(id, pending);
        if !request.body_streaming {
            self.set_deadline(id, deadline);
        }
        self.handle_event(Event::Request(request));
    }

    /// Sets the deadline timer one tick early, so that the answer reaches the client before it gives up.
    fn set_deadline(&mut self, id: RequestId, deadline: Duration) {
        self.arm(deadline.saturating_sub(self.site.settings.timer_resolution), Timer::Deadline(id));
    }

    /// The last byte of a streamed body has arrived, this long ago.
    fn on_body_received(&mut self, id: RequestId, age: Duration) {
        let received_at = self.clock.now().saturating_sub(age);
        let Some(pending) = self.requests.get_mut(&id) else { return };
        let deadline = received_at + pending.forward.budget;
        pending.received = true;
        pending.forward.deadline.set(deadline);
        // The time that the client took to send the body says nothing about the backend.
        pending.attempts.iter_mut().for_each(|attempt| attempt.sent_at = received_at);
        let in_flight: Vec<_> =
            (0..).zip(&pending.attempts).filter(|(_, a)| !a.ended).map(|(number, _)| number).collect();
        in_flight.into_iter().for_each(|number| self.arm(deadline, Timer::Attempt(id, number)));
        self.set_deadline(id, deadline);
        self.handle_event(Event::BodyReceived { id, age });
    }

    /// A response is the client's from its first bytes on. If the client already has another answer, the
    /// chunks are dropped unread.
    fn on_response_started(&mut self, start: ResponseStart) {
        let ResponseStart { id, attempt: number, length, chunks } = start;
        let now = self.clock.now();
        let Some(pending) = self.requests.get_mut(&id).filter(|p| p.reply.is_some()) else { return };
        let Some(attempt) = pending.attempts.get_mut(number as usize) else { return };
        attempt.time_to_start = Some(now.saturating_sub(attempt.sent_at));
        let server = attempt.server;
        pending.answer(Answer::Streamed(length, chunks));
        self.handle_event(Event::AnswerStarted { id, attempt: number, server });
    }

    fn on_attempt_ended(&mut self, result: AttemptResult) {
        let Some(pending) = self.requests.get_mut(&result.id) else { return };
        let Some(attempt) = pending.attempts.get_mut(result.attempt as usize) else { return };
        (attempt.ended, attempt.stop) = (true, None);
        attempt.may_have_run = !result.outcome.never_ran();
        let (server, sent_at, time_to_start) = (attempt.server, attempt.sent_at, attempt.time_to_start);
        if time_to_start.is_some() && result.outcome != Outcome::Served {
            log(format_args!("streamed response of server {:x} was aborted: {:?}", server.0, result.outcome));
        }
        // The first response that was served is the answer; a later one only informs the decision module.
        if let Some(body) = result.body {
            pending.answer(Answer::Served(body));
        }
        let finished = pending.reply.is_none();
        self.handle_event(Event::AttemptEnded(AttemptEnd {
            id: result.id,
            attempt: result.attempt,
            server,
            outcome: result.outcome,
            elapsed: time_to_start.unwrap_or_else(|| self.clock.now().saturating_sub(sent_at)),
            finished,
            report: result.report,
            body_consumed: result.body_consumed,
        }));
        self.remove_finished(result.id);
    }

    /// Gives an answer at the deadline even if the decision module has given none.
    fn on_deadline(&mut self, id: RequestId) {
        let Some(pending) = self.requests.get_mut(&id).filter(|p| p.reply.is_some()) else { return };
        log(format_args!("request {} had no answer at its deadline: timed out", id.0));
        pending.answer(Answer::TimedOut);
        self.handle_event(Event::ClientGone { id });
        self.remove_finished(id);
    }

    /// Removes a request that has its answer and no attempt in flight.
    fn remove_finished(&mut self, id: RequestId) {
        let is_finished = |p: &PendingRequest| p.reply.is_none() && p.attempts.iter().all(|a| a.ended);
        if !self.requests.get(&id).is_some_and(is_finished) {
            return;
        }
        let Some(pending) = self.requests.remove(&id) else { return };
        let has_run = pending.attempts.iter().any(|attempt| attempt.may_have_run);
        if let Some(fingerprint) = pending.fingerprint.filter(|_| !has_run) {
            self.executed_requests.forget(fingerprint, id);
        }
    }

    /// Gives an event to the decision module and carries out the actions that it returns.
    fn handle_event(&mut self, event: Event) {
        let mut events = VecDeque::from([event]);
        while let Some(event) = events.pop_front() {
            let mut actions = Vec::new();
            self.balancer.handle(self.clock.now(), event, &mut actions);
            for action in actions {
                if let Some(event) = self.execute(action) {
                    events.push_back(event);
                }
            }
        }
    }

    /// Carries out an action. An attempt that can't be started ends at once, with the event returned.
    fn execute(&mut self, action: Action) -> Option<Event> {
        match action {
            Action::Send { id, server, timeout } => return self.start_attempt(id, server, timeout),
            Action::Refuse { id, retry_after } => self.answer(id, Answer::Refused(retry_after)),
            Action::Fail { id } => self.answer(id, Answer::Failed),
            Action::Cancel { id, attempt } => self.stop_attempt(id, attempt, StopReason::Cancelled),
            Action::SetTimer { after, token } => self.arm(self.clock.now() + after, Timer::Module(token)),
            Action::Probe { server } => self.start_probe(server),
            Action::CloseIdle { server } => self.pool.close_idle(server),
            Action::Subscribe { on } => self.send_to_discovery(DiscoveryCommand::Subscribe(on)),
            Action::FetchList => self.send_to_discovery(DiscoveryCommand::Fetch),
            // The settings forbid messages between nodes, so the module sends none.
            Action::SendToPeer { .. } => log("dropped a message to another node: not supported"),
            Action::Log { text } => log(text),
        }
        None
    }

    /// How much of the server list this node holds; `None` if it holds all of it.
    fn subset_status(&self) -> Option<SubsetStatus> {
        let (server_table, layout) = (self.server_table.as_ref()?, self.balancer.ring_layout());
        let RingLayout { node, nodes, .. } = layout;
        Some(SubsetStatus { ready: server_table.ready_count(), held: server_table.held_count(), node, nodes })
    }

    /// The state of all zones after an operator's command, if there is one; `None` if no zones are configured
    /// or the command names an unknown zone.
    fn zone_statuses(&mut self, command: Option<EvacuationCommand>) -> Option<Vec<ZoneStatus>> {
        self.site.settings.zones.as_ref()?;
        if let Some(command) = command {
            let zone = self.site.zone_names.iter().position(|name| *name == command.zone)?;
            self.handle_event(Event::Evacuate { zone: u8::try_from(zone).ok()?, duration: command.duration });
        }
        let now = self.clock.now();
        let statuses = self.balancer.zones().into_iter().map(|view| ZoneStatus {
            name: self.site.zone_names.get(usize::from(view.zone)).cloned().unwrap_or_default(),
            state_age: now.saturating_sub(view.since),
            evacuation_left: view.evacuated_until.map(|until| until.saturating_sub(now)),
            view,
        });
        Some(statuses.collect())
    }

    /// Starts an attempt, or returns its end if it may not be made any more.
    fn start_attempt(&mut self, id: RequestId, server: ServerId, timeout: Duration) -> Option<Event> {
        let now = self.clock.now();
        let pending = self.requests.get_mut(&id)?;
        let number = pending.attempts.len() as u32;
        let executed_requests = &self.executed_requests;
        if pending.fingerprint.is_some_and(|fingerprint| executed_requests.is_repeat(fingerprint, id)) {
            // Its client can't be told that trying again is harmless.
            log(format_args!("request {}: its id came again, and the first may have run: failed", id.0));
            pending.answer(Answer::Failed);
        }
        let (finished, received) = (pending.reply.is_none(), pending.received);
        let deadline = pending.forward.deadline.get();
        if finished || now >= deadline || pending.attempts.len() >= pending.max_attempts {
            pending.attempts.push(PendingAttempt {
                server,
                sent_at: now,
                stop: None,
                time_to_start: None,
                ended: true,
                may_have_run: false,
            });
            self.remove_finished(id);
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
        pending.fingerprint.iter().for_each(|fingerprint| self.executed_requests.record(*fingerprint, id));
        let attempt_deadline = if timeout.is_zero() { deadline } else { deadline.min(now + timeout) };
        let (stop, stopped) = oneshot::channel();
        let attempt = Attempt {
            id,
            number,
            server,
            initial_deadline: attempt_deadline,
            forward: pending.forward.clone(),
        };
        pending.attempts.push(PendingAttempt {
            server,
            sent_at: now,
            stop: Some(stop),
            time_to_start: None,
            ended: false,
            may_have_run: true,
        });
        // While the body is being received, the attempt has no timeout.
        if received {
            self.arm(attempt_deadline, Timer::Attempt(id, number));
        }
        let (pool, messages) = (self.pool.clone(), self.messages.clone());
        let result = pool.attempt(attempt, stopped, messages.clone());
        spawn_local(async move {
            let result = result.await;
            // Fails only when the node has stopped.
            let _ = messages.send(Message::AttemptEnded(result)).await;
        });
        None
    }

    fn start_probe(&mut self, server: ServerId) {
        let (sent_at, pool, messages) = (self.clock.now(), self.pool.clone(), self.messages.clone());
        spawn_local(async move {
            let (outcome, report) = pool.probe(server).await;
            let _ =
                messages.send(Message::ProbeEnded(ProbeResult { server, outcome, sent_at, report })).await;
        });
    }

    /// Gives the final answer, and removes the request if it has no attempt in flight. It is removed here
    /// because any event may lead to an answer, also a timer or a probe result.
    fn answer(&mut self, id: RequestId, answer: Answer) {
        if let Some(pending) = self.requests.get_mut(&id) {
            pending.answer(answer);
        }
        self.remove_finished(id);
    }

    /// Stops an attempt that has neither ended nor begun to stream its response.
    fn stop_attempt(&mut self, id: RequestId, number: u32, reason: StopReason) {
        let attempt =
            self.requests.get_mut(&id).and_then(|pending| pending.attempts.get_mut(number as usize));
        // Once the response has started it is the client's.
        let attempt = attempt.filter(|attempt| attempt.time_to_start.is_none());
        if let Some(stop) = attempt.and_then(|attempt| attempt.stop.take()) {
            let _ = stop.send(reason); // fails if it has just ended; then its result is on its way
        }
    }

    fn send_to_discovery(&mut self, command: DiscoveryCommand) {
        if self.discovery.try_send(command).is_err() {
            log("discovery command queue is full: dropped a command");
        }
    }
}

#[cfg(test)]
mod tests;
