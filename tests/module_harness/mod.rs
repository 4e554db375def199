//! A test harness around the decisions of one node: it reports legal events, carries out the actions, and
//! checks rules 1 to 3 of `src/policy/mod.rs` by its own bookkeeping. Rule 4 is checked by the tests that
//! have cold servers.
#![allow(dead_code)] // each test file uses some of this

use hillpick::*;
use std::collections::BTreeMap;
use std::time::Duration;

pub fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A ready server that started long ago. Servers are in zone and cell `number % 3`.
pub fn entry(number: u64) -> ServerEntry {
    let (zone, cell) = ((number % 3) as u8, (number % 3) as u16);
    ServerEntry {
        id: ServerId(number),
        zone,
        cell,
        state: ServerState::Ready,
        weight: 1.0,
        ..Default::default()
    }
}

pub fn class(retry_safety: RetrySafety) -> Class {
    Class {
        latency_target: ms(400),
        target_stretch: 0.0,
        deadline: ms(1000),
        value: 1.0,
        late_value: 0.0,
        retry_safety,
        streamed: false,
    }
}

/// Three nodes. Class 0 is idempotent, 1 is not, 2 is keyed within a zone, 3 within a cell, 4 among all
/// servers.
pub fn settings() -> Settings {
    let keyed = |scope| RetrySafety::Keyed { scope, window: ms(300) };
    let retry_safeties = [
        RetrySafety::Idempotent,
        RetrySafety::NonIdempotent,
        keyed(DedupScope::Zone),
        keyed(DedupScope::Cell),
        keyed(DedupScope::All),
    ];
    let mut settings =
        Settings { nodes: 3, classes: retry_safeties.map(class).to_vec(), ..Settings::default() };
    settings.limits.cancel = true;
    settings.limits.hedging = true;
    settings
}

/// Servers report their load to probes.
pub fn probe_settings() -> Settings {
    let mut settings = settings();
    settings.report_source = ReportSource::Probes;
    settings.limits.probes = true;
    settings.prices.probe = 0.002;
    settings
}

/// Servers report their load with answers.
pub fn piggyback_settings() -> Settings {
    Settings { report_source: ReportSource::Answers, ..settings() }
}

struct SentAttempt {
    server: ServerId,
    sent_at: Duration,
    times_out_at: Duration,
    outcome: Option<Outcome>,
}

struct OpenRequest {
    /// The retry safety and the attempt limit that were in force when it arrived.
    retry_safety: RetrySafety,
    max_attempts: u32,
    deadline: Duration,
    answered: bool,
    attempts: Vec<SentAttempt>,
}

/// One node, its requests, servers and timers. Panics when a rule is broken.
pub struct Harness {
    pub now: Duration,
    pub settings: Settings,
    pub balancer: Balancer,
    /// All actions so far.
    pub log: Vec<Action>,
    requests: BTreeMap<RequestId, OpenRequest>,
    timers: BTreeMap<(Duration, usize), u64>,
    timers_set: usize,
    /// Each server as last listed for the node, and when the node was told that the server drains or is gone.
    listed: BTreeMap<ServerId, (ServerEntry, Option<Duration>)>,
    probes: Vec<(ServerId, Duration)>,
    next_id: u64,
}

impl Harness {
    pub fn new(settings: Settings) -> Self {
        Self::seeded(settings, 1)
    }

    pub fn seeded(settings: Settings, seed: u64) -> Self {
        Harness {
            now: ms(100_000),
            balancer: Balancer::new(settings.clone(), seed),
            settings,
            log: Vec::new(),
            requests: BTreeMap::new(),
            timers: BTreeMap::new(),
            timers_set: 0,
            listed: BTreeMap::new(),
            probes: Vec::new(),
            next_id: 1,
        }
    }

    /// A harness whose node has servers 0, 1, 2 ... listed.
    pub fn with_servers(settings: Settings, count: u64) -> Self {
        let mut harness = Harness::new(settings);
        harness.update_list(ListKind::Full, (0..count).map(entry).collect());
        harness
    }

    /// Lets the node handle an event, carries out and checks its actions, and returns them.
    pub fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        actions.iter().for_each(|action| self.apply(action));
        self.log.extend(actions.iter().cloned());
        actions
    }

    /// Applies settings with these classes: an index into the present ones, or `None` for a new class.
    pub fn apply_settings(&mut self, classes: &[Option<usize>], new: Class, max_attempts: u32) {
        let class = |index: &Option<usize>| match index {
            Some(index) => self.settings.classes[*index].clone(),
            None => new.clone(),
        };
        self.settings.classes = classes.iter().map(class).collect();
        self.settings.limits.max_attempts = max_attempts;
        let settings = Box::new(self.settings.clone());
        let event =
            Event::Settings { settings, previous_classes: classes.to_vec(), previous_tenants: Vec::new() };
        assert_eq!(self.handle(event), []);
    }

    pub fn update_list(&mut self, kind: ListKind, entries: Vec<ServerEntry>) -> Vec<Action> {
        let now = self.now;
        if matches!(kind, ListKind::Full | ListKind::Cached) {
            self.listed.values_mut().for_each(|(_, stop)| *stop = stop.or(Some(now)));
        }
        for entry in &entries {
            let since = self.listed.get(&entry.id).and_then(|(_, stop)| *stop).unwrap_or(now);
            let stop = (entry.state != ServerState::Ready).then_some(since);
            self.listed.insert(entry.id, (*entry, stop));
        }
        self.handle(Event::List { kind, entries })
    }

    pub fn request(&mut self, class: usize) -> (RequestId, Vec<Action>) {
        self.request_with(class, 0, ms(1000), None)
    }

    pub fn request_with(
        &mut self,
        class: usize,
        tenant: usize,
        remaining: Duration,
        cost: Option<Duration>,
    ) -> (RequestId, Vec<Action>) {
        let id = RequestId(self.next_id);
        self.next_id += 1;
        (id, self.receive(NewRequest { id, class, tenant, remaining, cost, ..NewRequest::default() }))
    }

    /// A request arrives.
    pub fn receive(&mut self, new: NewRequest) -> Vec<Action> {
        let deadline = self.now + new.remaining;
        let (classes, limits) = (&self.settings.classes, &self.settings.limits);
        let (retry_safety, max_attempts) = match &new.policy {
            Some(policy) => (policy.class.retry_safety, policy.max_attempts),
            None => (classes[new.class].retry_safety, limits.max_attempts),
        };
        let request =
            OpenRequest { retry_safety, max_attempts, deadline, answered: false, attempts: Vec::new() };
        self.requests.insert(new.id, request);
        self.handle(Event::Request(new))
    }

    /// Ends an attempt in flight, with a report of `load` requests in flight if any.
    pub fn end_attempt(
        &mut self,
        id: RequestId,
        attempt: usize,
        outcome: Outcome,
        load: Option<f32>,
    ) -> Vec<Action> {
        self.end_attempt_with(id, attempt, outcome, load, false)
    }

    /// Ends an attempt that may have used up a streamed body.
    pub fn end_attempt_with(
        &mut self,
        id: RequestId,
        attempt: usize,
        outcome: Outcome,
        load: Option<f32>,
        body_consumed: bool,
    ) -> Vec<Action> {
        let request = self.requests.get_mut(&id).expect("a request");
        let ended = &mut request.attempts[attempt];
        assert!(ended.outcome.is_none(), "the test ends an attempt twice");
        ended.outcome = Some(outcome);
        let (server, elapsed) = (ended.server, self.now - ended.sent_at);
        request.answered |= outcome == Outcome::Served;
        let finished = request.answered;
        let report = load.map(|load| LoadReport { in_flight: Some(load), ..LoadReport::default() });
        let attempt = attempt as u32;
        self.handle(Event::AttemptEnded(AttemptEnd {
            id,
            attempt,
            server,
            outcome,
            elapsed,
            finished,
            report,
            body_consumed,
        }))
    }

    /// Ends the oldest probe in flight; without a load it timed out.
    pub fn end_probe(&mut self, load: Option<f32>) -> Option<ServerId> {
        let (server, sent) = (!self.probes.is_empty()).then(|| self.probes.remove(0))?;
        let outcome = if load.is_some() { Outcome::Served } else { Outcome::TimedOut };
        let report = load.map(|load| LoadReport { in_flight: Some(load), ..LoadReport::default() });
        self.handle(Event::ProbeEnded(ProbeEnd { server, outcome, elapsed: self.now - sent, report }));
        Some(server)
    }

    /// Answers all probes: those of the named servers report idle, the others busy.
    pub fn answer_probes(&mut self, idle: &[u64]) {
        while let Some((server, _)) = self.probes.first() {
            let load = if idle.contains(&server.0) { 0.0 } else { 2.0 };
            self.end_probe(Some(load));
        }
    }

    pub fn client_gone(&mut self, id: RequestId) {
        self.requests.get_mut(&id).expect("a request").answered = true;
        self.handle(Event::ClientGone { id });
    }

    /// Advances the time: timers fire, attempts and probes time out, and rule 1 is checked.
    pub fn advance(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now = (self.now + self.settings.timer_resolution).min(end);
            while let Some((&due, _)) = self.timers.first_key_value().filter(|((at, _), _)| *at <= self.now) {
                let token = self.timers.remove(&due).expect("a timer");
                self.handle(Event::Timer { token });
            }
            for (id, attempt) in self.in_flight() {
                let sent = &self.requests[&id].attempts[attempt];
                if sent.outcome.is_none() && sent.times_out_at <= self.now {
                    self.end_attempt(id, attempt, Outcome::TimedOut, None);
                }
            }
            while self.probes.first().is_some_and(|(_, sent)| self.now >= *sent + ms(250)) {
                self.end_probe(None);
            }
            for (id, request) in &self.requests {
                assert!(
                    request.answered || self.now <= request.deadline + ms(5),
                    "rule 1: {id:?} has no answer"
                );
            }
        }
    }

    /// The attempts in flight.
    pub fn in_flight(&self) -> Vec<(RequestId, usize)> {
        let attempts =
            self.requests.iter().flat_map(|(id, r)| r.attempts.iter().enumerate().map(|(i, a)| (*id, i, a)));
        attempts.filter(|(_, _, a)| a.outcome.is_none()).map(|(id, i, _)| (id, i)).collect()
    }

    /// The time since the request's first attempt was sent.
    pub fn age(&self, id: RequestId) -> Duration {
        self.now - self.requests[&id].attempts[0].sent_at
    }

    /// The time since an attempt was sent.
    pub fn attempt_age(&self, id: RequestId, attempt: usize) -> Duration {
        self.now - self.requests[&id].attempts[attempt].sent_at
    }

    /// Forgets requests that are answered and have nothing in flight, so that long tests stay fast.
    pub fn forget_ended(&mut self) {
        self.requests.retain(|_, r| !r.answered || r.attempts.iter().any(|a| a.outcome.is_none()));
    }

    pub fn answered(&self, id: RequestId) -> bool {
        self.requests[&id].answered
    }

    /// Gives a request more time, in which its body arrives.
    pub fn extend_deadline(&mut self, id: RequestId, time: Duration) {
        self.requests.get_mut(&id).expect("a request").deadline += time;
    }

    pub fn server_of(&self, id: RequestId, attempt: usize) -> ServerId {
        self.requests[&id].attempts[attempt].server
    }

    /// The requests that are owed an answer.
    pub fn unanswered(&self) -> Vec<RequestId> {
        self.requests.iter().filter(|(_, r)| !r.answered).map(|(id, _)| *id).collect()
    }

    fn apply(&mut self, action: &Action) {
        match action {
            Action::Send { id, server, timeout } => self.check_send(*id, *server, *timeout),
            Action::Refuse { id, .. } => {
                let request = self.requests.get_mut(id).expect("rule 1: refuses what it was not given");
                assert!(!request.answered, "rule 1: a second answer for {id:?}");
                let may_have_run = request.attempts.iter().any(|a| !a.outcome.is_some_and(proves_no_run));
                let allowed = match request.retry_safety {
                    RetrySafety::Idempotent | RetrySafety::Keyed { scope: DedupScope::All, .. } => true,
                    _ => !may_have_run,
                };
                assert!(allowed, "rule 2: {id:?} may have run and is refused");
                request.answered = true;
            }
            Action::Fail { id } => {
                let request = self.requests.get_mut(id).expect("rule 1: fails what it was not given");
                assert!(!request.answered, "rule 1: a second answer for {id:?}");
                request.answered = true;
            }
            Action::Cancel { id, attempt } => {
                assert!(self.settings.limits.cancel, "cancels where that is not allowed");
                let cancelled =
                    &mut self.requests.get_mut(id).expect("a request").attempts[*attempt as usize];
                cancelled.times_out_at = self.now; // it ends in the next step
            }
            Action::SetTimer { after, token } => {
                // Never before the current event has been handled.
                let due = (self.now + *after).max(self.now + Duration::from_nanos(1));
                self.timers_set += 1;
                self.timers.insert((due, self.timers_set), *token);
            }
            Action::Probe { server } => {
                assert!(self.settings.limits.probes, "probes where that is not allowed");
                self.probes.push((*server, self.now));
            }
            Action::Subscribe { .. } | Action::FetchList | Action::Log { .. } => {}
            other => panic!("unexpected {other:?}"),
        }
    }

    fn check_send(&mut self, id: RequestId, to: ServerId, timeout: Duration) {
        let request = self.requests.get_mut(&id).expect("rule 1: sends what it was not given");
        assert!(!request.answered, "rule 1: {id:?} is sent after its answer");
        let (entry, stop) = self.listed.get(&to).expect("sends to a server that was never listed");
        let grace = self.settings.rules.drain_grace;
        assert!(stop.is_none_or(|at| self.now <= at + grace), "rule 3: {to:?} drains or is gone");
        let limits = &self.settings.limits;
        assert!(request.attempts.len() < request.max_attempts as usize, "too many attempts");
        let parallel = request.attempts.iter().any(|a| a.outcome.is_none());
        assert!(!parallel || limits.hedging, "two attempts at once");
        let first_that_may_have_run = request.attempts.iter().find(|a| !a.outcome.is_some_and(proves_no_run));
        if let Some(first) = first_that_may_have_run {
            let first_server = &self.listed[&first.server].0;
            let allowed = match request.retry_safety {
                RetrySafety::Idempotent => true,
                RetrySafety::NonIdempotent => false,
                RetrySafety::Keyed { scope, window } => {
                    let same_group = match scope {
                        DedupScope::All => true,
                        DedupScope::Zone => first_server.zone == entry.zone,
                        DedupScope::Cell => first_server.cell == entry.cell,
                    };
                    same_group && self.now <= first.sent_at + window
                }
            };
            assert!(allowed, "rule 2: {id:?} may have run and is sent to {to:?}");
        }
        let times_out_at = self.now + timeout.min(ms(80_000));
        let times_out_at =
            if timeout > ms(80_000) { times_out_at } else { times_out_at.min(request.deadline) };
        request.attempts.push(SentAttempt { server: to, sent_at: self.now, times_out_at, outcome: None });
    }
}

/// Whether the rules count an outcome as proof that the request never ran.
fn proves_no_run(outcome: Outcome) -> bool {
    matches!(outcome, Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent)
}
