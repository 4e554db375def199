//! Nodes: what reaches them, and what their strategies have done. This carries actions out as the real node does and
//! checks the rules on each; it decides nothing.

use super::fates::Standing;
use super::plan::EPOCH;
use super::server::AttemptNo;
use super::world::*;
use crate::judge::{self, Rule};
use crate::strategy::Found;
use crate::time::{FOREVER, Nanos, duration, millis, secs};
use hillpick::{
    Action, AttemptEnd, DedupScope, Event, ListKind, LoadReport, Outcome, ProbeEnd, RequestId, RetrySafety,
    ServerId,
};
use hillpick_fleet::Cause;
use rand::Rng;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

/// The longest datagram that the protocol allows.
const DATAGRAM: usize = 256;
/// A probe that is not answered by then tells nothing that is still true: the real node's figure.
const PROBE_TIMEOUT_MS: f64 = 250.0;
/// After it is told to stop, new connections keep coming to a node for up to so long (the protocol's figure).
const STILL_COMING_S: f64 = 0.3;
/// SIGKILL comes so long after the longest deadline (the protocol's figure).
const KILL_AFTER_S: f64 = 0.7;

fn span(time: Duration) -> Nanos {
    u64::try_from(time.as_nanos()).unwrap_or(FOREVER).min(FOREVER)
}

impl World {
    /// The node that an event concerns, if it is one that a node takes in.
    pub fn concerns(&self, ev: &Ev) -> Option<NodeNo> {
        let of = |of: TryNo| Some(self.tries[of as usize].node);
        match ev {
            Ev::Reach(try_no) | Ev::Gone(try_no) | Ev::Overdue(try_no) => of(*try_no),
            Ev::Timer { node, .. } | Ev::Probed { node, .. } | Ev::Datagram { node, .. } => Some(*node),
            Ev::Due(attempt) | Ev::Ended { attempt, .. } => of(self.attempts[*attempt as usize].of),
            _ => None,
        }
    }

    /// Whether a node takes something in now. If it is busy or stopped, that waits in its inbox.
    pub fn takes_in(&mut self, node: NodeNo, ev: Ev) -> Option<Ev> {
        let (cpu_us, now) = (self.plan.experiment.nodes.cpu_us, self.now);
        let it = &mut self.nodes[node as usize];
        if it.strategy.is_none() || cpu_us == 0.0 && it.stopped == 0 && it.inbox.is_empty() {
            return Some(ev);
        }
        if it.stopped > 0 || it.busy > now || !it.inbox.is_empty() {
            it.inbox.push_back(ev);
            self.set_wake(node);
            return None;
        }
        let part = it.starved.iter().fold(1.0, |least: f64, (_, cpu)| least.min(*cpu));
        it.busy = now + secs(cpu_us / 1e6 / part);
        Some(ev)
    }

    fn set_wake(&mut self, node: NodeNo) {
        let it = &mut self.nodes[node as usize];
        if it.stopped == 0 && !it.wake_set && !it.inbox.is_empty() {
            it.wake_set = true;
            self.queue.push(it.busy.max(self.now), Ev::Wake(node));
        }
    }

    /// A node goes on with the first thing that waits, if it may. Returns that.
    pub fn wake(&mut self, node: NodeNo) -> Option<Ev> {
        let (cpu_us, now) = (self.plan.experiment.nodes.cpu_us, self.now);
        let it = &mut self.nodes[node as usize];
        it.wake_set = false;
        if it.stopped > 0 {
            return None;
        }
        let ev = it.inbox.pop_front();
        let part = it.starved.iter().fold(1.0, |least: f64, (_, cpu)| least.min(*cpu));
        it.busy = now + secs(cpu_us / 1e6 / part);
        self.set_wake(node);
        ev
    }

    /// A node that was stopped may have been let go on.
    pub fn go_on(&mut self, node: NodeNo) {
        self.set_wake(node);
    }

    /// A node's process starts.
    pub fn start(&mut self, node: NodeNo) {
        let it = &mut self.nodes[node as usize];
        it.life += 1;
        (it.offset_s, it.busy) = (it.step_s, self.now);
        it.told.clear();
        let zones = Some(self.plan.zones_from(it.zone));
        let settings = hillpick::Settings { node, zone: it.zone, zones, ..self.plan.settings.clone() };
        let random = chance(self.seed, 21 + u64::from(it.life) * 16, node.into()).random();
        it.strategy = Some((self.make)(settings, random));
        let (life, seen) = (it.life, it.seen);
        let sent = self.stale(node).unwrap_or(self.nodes[node as usize].sent);
        let (cached, full) = (self.list_as_of(seen), self.list_as_of(sent));
        self.list_event(node, ListKind::Cached, cached);
        self.list_event(node, ListKind::Full, full);
        self.nodes[node as usize].seen = sent;
        let ready = if life == 1 { 0 } else { secs(self.plan.experiment.nodes.start_s) };
        self.queue.push(self.now + ready, Ev::Front { node, life, up: true });
    }

    /// A node's process dies: its clients and its servers see their connections break, and the front notices later.
    pub fn kill(&mut self, node: NodeNo) {
        let it = &mut self.nodes[node as usize];
        if it.strategy.take().is_none() {
            return;
        }
        let (life, zone) = (it.life, it.zone);
        it.inbox.clear();
        it.died = Some(self.now);
        let open = std::mem::take(&mut it.open);
        let out = std::mem::take(&mut it.out);
        let idle = std::mem::take(&mut it.idle);
        for of in open {
            let client = self.requests[self.tries[of as usize].request as usize].zone;
            let at = self.now + self.latency(zone, client);
            self.queue.push(at, Ev::Unreachable(of));
        }
        for attempt in out {
            self.attempts[attempt as usize].ended = Some(Outcome::Cancelled);
            self.send_call_off(attempt);
        }
        for (server, connections) in idle {
            self.disconnect(server, &connections);
        }
        let [low, high] = self.plan.experiment.clients.front_notices_s;
        let notices = self.between_ms([low * 1e3, high * 1e3]);
        self.queue.push(self.now + notices, Ev::Front { node, life, up: false });
    }

    /// A node is told to stop: the front hears of it soon, and it is killed once the longest deadline is over.
    /// Returns when that is.
    pub fn terminate(&mut self, node: NodeNo) -> Nanos {
        let life = self.nodes[node as usize].life;
        let soon = self.now + secs(STILL_COMING_S);
        self.queue.push(soon, Ev::Front { node, life, up: false });
        soon + self.plan.longest_deadline() + secs(KILL_AFTER_S)
    }

    fn disconnect(&mut self, server: ServerNo, connections: &[(Nanos, u32)]) {
        let it = &mut self.servers[server as usize];
        let open = connections.iter().filter(|(_, life)| *life == it.life).count() as u32;
        it.connections = it.connections.saturating_sub(open);
    }

    /// Connections that have been idle for too long close.
    pub fn sweep(&mut self) {
        let closes = secs(self.plan.experiment.servers.idle_close_s);
        for node in 0..self.nodes.len() {
            let mut idle = std::mem::take(&mut self.nodes[node].idle);
            for (server, connections) in &mut idle {
                let old = connections.partition_point(|(since, _)| since + closes <= self.now);
                let old: Vec<_> = connections.drain(..old).collect();
                self.disconnect(*server, &old);
            }
            idle.retain(|_, connections| !connections.is_empty());
            self.nodes[node].idle = idle;
        }
    }

    /// Lets a node's strategy decide, and carries out what it says.
    pub fn tell(&mut self, node: NodeNo, event: Event) {
        let mut events = VecDeque::from([event]);
        while let Some(event) = events.pop_front() {
            let it = &mut self.nodes[node as usize];
            let offset = it.offset_s;
            let Some(strategy) = &mut it.strategy else { return };
            let clock = EPOCH + self.now;
            let clock =
                if offset == 0.0 { clock } else { clock.saturating_add_signed((offset * 1e9) as i64) };
            let mut actions = std::mem::take(&mut self.actions);
            strategy.handle(duration(clock), event, &mut actions);
            for action in actions.drain(..) {
                events.extend(self.act(node, action));
            }
            self.actions = actions;
        }
        let found = self.nodes[node as usize].strategy.as_mut().map(|strategy| strategy.found());
        for found in found.into_iter().flatten() {
            self.finds(&found);
        }
    }

    /// Some node has found that another came or went. Whether that is so is for the emulator to know.
    fn finds(&mut self, found: &Found) {
        let Some(it) = self.nodes.get(found.who as usize) else { return };
        let gone = matches!(found.cause, Cause::Failed | Cause::Left);
        if !gone {
            return;
        }
        if it.strategy.is_some() {
            self.judge.tally.false_deaths += 1;
            self.judge.tally.false_deaths_sound += u64::from(!it.troubled);
        } else if let Some(died) = it.died {
            let took = crate::time::in_secs(self.now - died);
            let first = self.first_found.entry((found.who, it.life)).or_insert_with(|| took);
            *first = first.min(took);
            self.judge.knows.push(took);
        }
    }

    /// Whether all nodes that run take their view for agreed, and it is one.
    pub fn of_one_mind(&mut self) -> Option<bool> {
        let clock = duration(EPOCH + self.now);
        let views = self.nodes.iter_mut().filter_map(|node| node.strategy.as_mut()?.agrees(clock));
        let views: Vec<_> = views.collect();
        let (_, digest) = *views.first()?;
        Some(views.iter().all(|(agreed, seen)| *agreed && *seen == digest))
    }

    fn broke(&mut self, rule: Rule, id: RequestId, node: NodeNo, what: impl Into<String>) {
        self.judge.broke(rule, id.0, node, self.now, what.into());
    }

    /// The try that a node names, if it was given it in this life.
    fn named(&mut self, node: NodeNo, id: RequestId, what: &str) -> Option<TryNo> {
        let of = id.0.checked_sub(1).and_then(|of| TryNo::try_from(of).ok());
        let life = self.nodes[node as usize].life;
        let given = |it: &Try| it.node == node && it.life == life && it.due != NOT_THERE;
        let of = of.filter(|of| self.tries.get(*of as usize).is_some_and(given));
        if of.is_none() {
            self.broke(Rule::Lost, id, node, format!("{what} a request that it was not given"));
        }
        of
    }

    fn act(&mut self, node: NodeNo, action: Action) -> Option<Event> {
        match action {
            Action::Send { id, server, timeout } => return self.send(node, id, server, span(timeout)),
            Action::Refuse { id, retry_after } => {
                let of = self.named(node, id, "refuses")?;
                self.check_refusal(node, of, id);
                if self.finish(node, of, id, Answer::Refused(retry_after.map(span))) {
                    self.judge.tally.refused += 1;
                    self.count_unsent(of);
                    self.blame_refusal(of);
                }
            }
            Action::Fail { id } => {
                let of = self.named(node, id, "fails")?;
                if self.finish(node, of, id, Answer::Failed) {
                    self.judge.tally.failed += 1;
                    self.count_unsent(of);
                }
            }
            Action::Cancel { id, attempt } => {
                let of = self.named(node, id, "cancels an attempt at")?;
                let attempt = self.tries[of as usize].attempts.get(attempt as usize).copied();
                let Some(attempt) = attempt else {
                    self.broke(Rule::Form, id, node, "cancels an attempt that it never made");
                    return None;
                };
                let it = &mut self.attempts[attempt as usize];
                if it.ended.is_none() && !std::mem::replace(&mut it.called_off, true) {
                    let ended = Ev::Ended { attempt, outcome: Outcome::Cancelled, load: None };
                    self.queue.push(self.now, ended);
                }
            }
            Action::SetTimer { after, token } => {
                let life = self.nodes[node as usize].life;
                // Never in the round that is being answered.
                let at = self.now.saturating_add(span(after).max(1));
                if at < FOREVER / 2 {
                    self.queue.push(at, Ev::Timer { node, life, token });
                }
            }
            Action::Probe { server } => self.probe(node, server),
            Action::CloseIdle { server } => {
                let server = server_no(server);
                if let Some(idle) = self.nodes[node as usize].idle.remove(&server) {
                    self.disconnect(server, &idle);
                }
            }
            Action::SendToPeer { to, data } => self.send_datagram(node, to, data),
            // The feed pushes: nothing to ask for.
            Action::Subscribe { .. } | Action::FetchList => {}
            Action::Log { text } => tracing::debug!(node, "{text}"),
        }
        None
    }

    /// A final answer leaves; false if there has been one, or its client has left.
    fn finish(&mut self, node: NodeNo, of: TryNo, id: RequestId, answer: Answer) -> bool {
        let it = &mut self.tries[of as usize];
        if it.left {
            return false;
        }
        if it.answer.is_some() {
            let served = matches!(it.answer, Some(Answer::Served(_)));
            if !served {
                self.broke(Rule::Lost, id, node, "a second final answer");
            }
            return false;
        }
        it.answer = Some(answer);
        let client = self.requests[it.request as usize].zone;
        self.nodes[node as usize].open.remove(&of);
        let at = self.now + self.latency(self.nodes[node as usize].zone, client);
        self.queue.push(at, Ev::Reply(of));
        true
    }

    /// Rule 2 on refusals: they promise that to try again does no harm.
    fn check_refusal(&mut self, node: NodeNo, of: TryNo, id: RequestId) {
        let it = &self.tries[of as usize];
        let class = usize::from(self.requests[it.request as usize].class);
        let harmless = match self.plan.classes[class].repeat {
            RetrySafety::Idempotent | RetrySafety::Keyed { scope: DedupScope::All, .. } => true,
            _ => !it.attempts.iter().any(|a| self.attempts[*a as usize].may_have_run()),
        };
        if !harmless && !it.left {
            self.broke(Rule::Duplicate, id, node, "refused though it may have run");
        }
    }

    /// What was never sent on counts as refused, also if it is answered as failed.
    fn count_unsent(&mut self, of: TryNo) {
        self.judge.tally.refused_unsent += u64::from(self.tries[of as usize].attempts.is_empty());
    }

    /// Why a request that was never sent on was refused: what could have been done?
    fn blame_refusal(&mut self, of: TryNo) {
        if !self.tries[of as usize].attempts.is_empty() {
            return;
        }
        let (node, request) = (self.tries[of as usize].node, self.tries[of as usize].request);
        let zone = self.nodes[node as usize].zone;
        let (mut cause, model) = (judge::Cause::RefusedFull, &self.plan.model);
        for server in &self.servers {
            let free = server.answers() && !server.draining && server.held() < model.cores;
            if !free
                || !self.trouble.passes(zone, server.zone)
                || server.is_slowed()
                || server.choke.is_tipped()
            {
                continue;
            }
            if server.warmth(model, self.now) >= 1.0 {
                cause = judge::Cause::RefusedEarly;
                break;
            }
            cause = judge::Cause::ColdUnused;
        }
        let blamed = &mut self.requests[request as usize].cause;
        *blamed = (*blamed).max(cause);
    }

    /// Rules 1 to 3 on a send. What breaks one is told to the judge and sent all the same.
    fn check_send(&mut self, node: NodeNo, of: TryNo, id: RequestId, server: ServerNo) {
        let it = &self.tries[of as usize];
        if it.left || it.answer.is_some_and(|answer| !matches!(answer, Answer::Served(_))) {
            return self.broke(Rule::Lost, id, node, "sent on after its end");
        }
        let grace = span(self.plan.settings.rules.drain_grace);
        let told = self.nodes[node as usize].told.get(server as usize).copied().unwrap_or_default();
        if !told.listed {
            return self.broke(Rule::Form, id, node, format!("server {server} was never listed here"));
        }
        if self.now > told.stop.saturating_add(grace) {
            let what = format!("server {server} drains or is gone, told at {} ns", told.stop);
            self.broke(Rule::Drain, id, node, what);
        }
        let it = &self.tries[of as usize];
        let class = &self.plan.classes[usize::from(self.requests[it.request as usize].class)];
        let attempts = || it.attempts.iter().map(|a| &self.attempts[*a as usize]);
        let parallel = attempts().any(|a| a.ended.is_none());
        let Some(first) = attempts().find(|a| a.may_have_run()) else { return };
        let (home, there) = (&self.servers[first.server as usize], &self.servers[server as usize]);
        let allowed = match class.repeat {
            RetrySafety::Idempotent => true,
            RetrySafety::NonIdempotent => false,
            RetrySafety::Keyed { scope, window } => {
                let together = match scope {
                    DedupScope::All => true,
                    DedupScope::Zone => home.zone == there.zone,
                    DedupScope::Cell => home.cell == there.cell,
                };
                together && self.now <= first.sent + span(window)
            }
        };
        let parallel = parallel && !self.plan.settings.limits.hedging;
        if !allowed {
            self.broke(Rule::Duplicate, id, node, format!("sent to server {server} though it may have run"));
        } else if parallel {
            self.broke(Rule::Duplicate, id, node, "two attempts at once");
        }
    }

    fn send(&mut self, node: NodeNo, id: RequestId, to: ServerId, timeout: Nanos) -> Option<Event> {
        let of = self.named(node, id, "sends")?;
        let server = server_no(to);
        if server as usize >= self.servers.len() || server_id(server) != to {
            self.broke(Rule::Form, id, node, "sent to a server that there is not");
            return None;
        }
        self.check_send(node, of, id, server);
        let (now, it) = (self.now, &self.tries[of as usize]);
        let finished = it.answer.is_some() || it.left;
        let (number, due) = (it.attempts.len() as u32, it.due);
        let attempt = self.attempts.len() as AttemptNo;
        let no_more = finished || now >= due || number >= self.plan.settings.limits.max_attempts.max(1);
        self.attempts.push(Attempt {
            of,
            number,
            server,
            sent: now,
            arrives: now,
            connected: None,
            fresh: false,
            ended: no_more.then_some(Outcome::NotSent),
            called_off: false,
            found: Standing::default(),
        });
        self.tries[of as usize].attempts.push(attempt);
        if no_more {
            return Some(self.end_of(attempt, Outcome::NotSent, None, finished));
        }
        let until = if timeout == 0 { due } else { due.min(now.saturating_add(timeout)) };
        if until < FOREVER / 2 {
            self.queue.push(until, Ev::Due(attempt));
        }
        self.nodes[node as usize].out.insert(attempt);
        let (from, there) = (self.nodes[node as usize].zone, self.servers[server as usize].zone);
        let tally = &mut self.judge.tally;
        tally.attempts += 1;
        tally.again += u64::from(number > 0);
        tally.cross_zone += u64::from(from != there);
        self.judge.traffic[usize::from(from)][usize::from(there)] += 1;
        self.connect(node, attempt);
        None
    }

    /// An attempt takes an idle connection, or opens one.
    fn connect(&mut self, node: NodeNo, attempt: AttemptNo) {
        let server = self.attempts[attempt as usize].server;
        let (from, to) = (self.nodes[node as usize].zone, self.servers[server as usize].zone);
        let one_way = self.latency(from, to);
        let closes = secs(self.plan.experiment.servers.idle_close_s);
        let (now, life) = (self.now, self.servers[server as usize].life);
        if let Some(idle) = self.nodes[node as usize].idle.get_mut(&server) {
            // Those of an earlier life broke with it, and the last used comes last.
            idle.retain(|(_, of)| *of == life);
            if let Some((since, _)) = idle.pop() {
                if since + closes > now {
                    let it = &mut self.attempts[attempt as usize];
                    (it.connected, it.arrives) = (Some(life), now + one_way);
                    return self.queue.push(now + one_way, Ev::AtServer(attempt));
                }
                idle.push((since, life));
                let old = std::mem::take(idle);
                self.disconnect(server, &old);
            }
        }
        self.judge.tally.connections += 1;
        let passes = self.trouble.passes(from, to) && self.trouble.passes(to, from);
        let it = &mut self.servers[server as usize];
        let failed = |at: Nanos| (at, Ev::Ended { attempt, outcome: Outcome::ConnectFailed, load: None });
        let (at, ev) = if !passes || it.silent > 0 {
            let cause = if passes { judge::Cause::Dead } else { judge::Cause::Cut };
            self.blame(attempt, cause);
            failed(now + millis(self.plan.experiment.nodes.connect_timeout_ms))
        } else if !it.answers() {
            self.blame(attempt, judge::Cause::Dead);
            failed(now + 2 * one_way)
        } else if it.connections >= self.plan.model.connections {
            self.blame(attempt, judge::Cause::TurnedAway);
            failed(now + 2 * one_way)
        } else {
            it.connections += 1;
            let arrives = now + 3 * one_way;
            let it = &mut self.attempts[attempt as usize];
            (it.connected, it.fresh, it.arrives) = (Some(life), true, arrives);
            (arrives, Ev::AtServer(attempt))
        };
        self.queue.push(at, ev);
    }

    /// A server is to learn that an attempt was given up; its connection closes.
    fn send_call_off(&mut self, attempt: AttemptNo) {
        let it = &self.attempts[attempt as usize];
        if it.connected.is_none() {
            return;
        }
        let node = self.tries[it.of as usize].node;
        let (server, arrives) = (it.server, it.arrives);
        let one_way = self.latency(self.nodes[node as usize].zone, self.servers[server as usize].zone);
        self.queue.push((self.now + one_way).max(arrives), Ev::CallOff(attempt));
    }

    /// A node stops waiting for an attempt.
    pub fn due(&mut self, attempt: AttemptNo) {
        if self.attempts[attempt as usize].ended.is_none() {
            self.ended(attempt, Outcome::TimedOut, None);
        }
    }

    /// The end of an attempt is known at its node.
    pub fn ended(&mut self, attempt: AttemptNo, outcome: Outcome, load: Option<f32>) {
        let it = &mut self.attempts[attempt as usize];
        if it.ended.is_some() {
            return; // it had been given up, or its node has died
        }
        it.ended = Some(outcome);
        let (of, server, connected) = (it.of, it.server, it.connected);
        let node = self.tries[of as usize].node;
        self.nodes[node as usize].out.remove(&attempt);
        let life = self.servers[server as usize].life;
        match outcome {
            Outcome::Served | Outcome::Error | Outcome::Rejected if connected == Some(life) => {
                let idle = self.nodes[node as usize].idle.entry(server).or_default();
                idle.push((self.now, life));
            }
            Outcome::TimedOut | Outcome::Cancelled => self.send_call_off(attempt),
            _ => {}
        }
        let it = &self.tries[of as usize];
        if outcome == Outcome::Served && it.answer.is_none() && !it.left {
            self.finish(node, of, RequestId(u64::from(of) + 1), Answer::Served(attempt));
        }
        let it = &self.tries[of as usize];
        let finished = it.answer.is_some() || it.left;
        let event = self.end_of(attempt, outcome, load, finished);
        self.tell(node, event);
    }

    fn end_of(&self, attempt: AttemptNo, outcome: Outcome, load: Option<f32>, finished: bool) -> Event {
        let it = &self.attempts[attempt as usize];
        Event::AttemptEnded(AttemptEnd {
            id: RequestId(u64::from(it.of) + 1),
            attempt: it.number,
            server: server_id(it.server),
            outcome,
            elapsed: duration(self.now - it.sent),
            finished,
            report: load.map(report),
            body_consumed: false,
        })
    }

    /// A node learns that a client has left.
    pub fn gone(&mut self, of: TryNo) {
        let it = &mut self.tries[of as usize];
        let node = it.node;
        let here = self.nodes[node as usize].life == it.life && self.nodes[node as usize].strategy.is_some();
        if !here || it.due == NOT_THERE || it.answer.is_some() || it.left {
            return;
        }
        it.left = true;
        self.nodes[node as usize].open.remove(&of);
        self.tell(node, Event::ClientGone { id: RequestId(u64::from(of) + 1) });
    }

    /// By now a node has answered what it took, unless its client has left or it has died.
    pub fn overdue(&mut self, of: TryNo) {
        let it = &self.tries[of as usize];
        let node = it.node;
        let here = self.nodes[node as usize].life == it.life && self.nodes[node as usize].strategy.is_some();
        if here && it.answer.is_none() && !it.left {
            let id = RequestId(u64::from(of) + 1);
            self.broke(Rule::Lost, id, node, "no final answer in time");
            // The real node's own safety: nobody is left without an answer.
            self.tries[of as usize].left = true;
            self.nodes[node as usize].open.remove(&of);
            self.tell(node, Event::ClientGone { id });
        }
    }

    fn probe(&mut self, node: NodeNo, server: ServerId) {
        let (server, life) = (server_no(server), self.nodes[node as usize].life);
        if server as usize >= self.servers.len() || !self.plan.settings.limits.probes {
            return self.broke(Rule::Form, RequestId(0), node, "a probe that is not allowed");
        }
        self.judge.tally.probes += 1;
        let (from, to) = (self.nodes[node as usize].zone, self.servers[server as usize].zone);
        let at = self.now + self.latency(from, to);
        self.queue.push(at, Ev::ProbeAt { node, life, server, sent: self.now });
    }

    /// A probe is at its server, which answers it beside its queue.
    pub fn probe_at(&mut self, node: NodeNo, life: u32, server: ServerNo, sent: Nanos) {
        let (from, to) = (self.nodes[node as usize].zone, self.servers[server as usize].zone);
        let it = &mut self.servers[server as usize];
        let passes = self.trouble.passes(from, to) && self.trouble.passes(to, from);
        it.done += self.plan.experiment.servers.probe * self.plan.unit;
        let (at, outcome, load) = if !passes || it.silent > 0 {
            (sent + millis(PROBE_TIMEOUT_MS), Outcome::TimedOut, None)
        } else if it.answers() {
            let load = it.held() as f32;
            (self.now + self.latency(to, from), Outcome::Served, Some(load))
        } else {
            (self.now + self.latency(to, from), Outcome::ConnectFailed, None)
        };
        self.queue.push(at, Ev::Probed { node, life, server, sent, outcome, load });
    }

    /// The end of a probe is known.
    pub fn probed(
        &mut self,
        (node, life): (NodeNo, u32),
        server: ServerNo,
        sent: Nanos,
        outcome: Outcome,
        load: Option<f32>,
    ) {
        if self.nodes[node as usize].life == life {
            let end = ProbeEnd {
                server: server_id(server),
                outcome,
                elapsed: duration(self.now - sent),
                report: load.map(report),
            };
            self.tell(node, Event::ProbeEnded(end));
        }
    }

    fn send_datagram(&mut self, node: NodeNo, to: Option<u32>, data: Vec<u8>) {
        if data.len() > DATAGRAM || !self.plan.experiment.peers.allowed {
            let what = format!("a datagram of {} bytes that is not allowed", data.len());
            return self.broke(Rule::Form, RequestId(0), node, what);
        }
        let data: Rc<[u8]> = data.into();
        let nodes = self.nodes.len() as NodeNo;
        let all = match to {
            Some(one) => one.min(nodes)..(one + 1).min(nodes),
            None => 0..nodes,
        };
        let peers = &self.plan.experiment.peers;
        let spoilt = &self.trouble.lossy;
        let sound =
            |share: f64, by: usize| spoilt.iter().fold(1.0 - share, |left, (_, f)| left * (1.0 - f[by]));
        let (arrives, once) = (sound(peers.loss, 0), sound(peers.duplicate, 2));
        let later: f64 = spoilt.iter().map(|(_, figures)| figures[1]).sum();
        let [low, high] = peers.delay_ms;
        let from = self.nodes[node as usize].zone;
        for to in all.filter(|to| *to != node) {
            self.judge.tally.peer_bytes += data.len() as u64;
            if !self.trouble.peers_pass(from, self.nodes[to as usize].zone) {
                continue;
            }
            let copies = 1 + u32::from(self.chance.random::<f64>() >= once);
            for _ in 0..copies {
                if self.chance.random::<f64>() < arrives {
                    let at = self.now + self.between_ms([low, high + later]);
                    self.queue.push(at, Ev::Datagram { node: to, from: node, data: data.clone() });
                }
            }
        }
    }

    /// A datagram is at a node, which hears it if it runs.
    pub fn datagram(&mut self, node: NodeNo, from: NodeNo, data: &[u8]) {
        self.tell(node, Event::PeerMessage { from, data: data.to_vec() });
    }
}

fn report(load: f32) -> LoadReport {
    LoadReport { in_flight: Some(load), ..LoadReport::default() }
}
