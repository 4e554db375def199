//! What reaches servers, and what they send back.

use super::fates::{self, Standing};
use super::server::{AttemptNo, Entered, State};
use super::world::*;
use crate::judge::{Cause, Rule};
use crate::strategy::Board;
use crate::time::{Nanos, SECOND, secs};
use hillpick::{Event, LoadReport, Outcome, ProbeEnd};
use rand::Rng;
use rand_distr::{Distribution, Exp1};
use std::rc::Rc;
use std::time::Duration;

/// An erring server answers at once: with a tenth of a mean request's work, which is not reckoned.
const QUICK: f64 = 0.1;

impl World {
    /// One way from a server to the node of an attempt, and whether what is sent gets there.
    fn way_back(&mut self, attempt: AttemptNo) -> (Nanos, bool) {
        let it = &self.attempts[attempt as usize];
        let node = self.tries[it.of as usize].node;
        let (from, to) = (self.servers[it.server as usize].zone, self.nodes[node as usize].zone);
        (self.latency(from, to), self.trouble.passes(from, to))
    }

    /// The end of an attempt goes back to its node, unless the way is cut.
    fn send_back(&mut self, attempt: AttemptNo, after: Nanos, outcome: Outcome, load: Option<f32>) {
        let (one_way, passes) = self.way_back(attempt);
        if passes {
            self.queue.push(self.now + after + one_way, Ev::Ended { attempt, outcome, load });
        } else {
            self.blame(attempt, Cause::Cut);
        }
    }

    /// An attempt's last byte is at its server.
    pub fn at_server(&mut self, attempt: AttemptNo) {
        let it = &self.attempts[attempt as usize];
        let (server, of, fresh, connected) = (it.server, it.of, it.fresh, it.connected);
        let node = self.tries[of as usize].node;
        let request = &self.requests[self.tries[of as usize].request as usize];
        let (class, from) = (request.class, self.nodes[node as usize].zone);
        let there = &mut self.servers[server as usize];
        if !self.trouble.passes(from, there.zone) {
            return self.blame(attempt, Cause::Cut);
        }
        if there.silent > 0 {
            there.lost.push(attempt);
            return self.blame(attempt, Cause::Dead);
        }
        if there.state != State::Up || connected != Some(there.life) {
            self.blame(attempt, Cause::Dead);
            return self.send_back(attempt, 0, Outcome::Reset, None);
        }
        let unit = self.plan.unit;
        let noise = &self.plan.classes[usize::from(class)].noise;
        let noise = noise.map_or(1.0, |noise| noise.sample(&mut self.chance));
        let work =
            request.work * noise + if fresh { self.plan.experiment.servers.handshake * unit } else { 0.0 };
        let told = self.nodes[node as usize].told.get(server as usize);
        let told = told.is_some_and(|told| told.started == there.started);
        let pressed = there.press(&self.plan.model, self.now, work, told);
        self.judge.press(&pressed);
        if let Some(broken) = pressed.falls {
            return self.fall(server, attempt, broken);
        }
        let errs = there.errs.iter().filter(|(_, _, only)| only.is_none_or(|only| only == class));
        let sound = errs.fold(1.0, |sound, (_, share, _)| sound * (1.0 - share));
        if sound < 1.0 && self.chance.random::<f64>() >= sound {
            self.blame(attempt, Cause::Erring);
            let after = secs(QUICK * unit);
            let load = self.told_with_answers(server);
            return self.send_back(attempt, after, Outcome::Error, load);
        }
        let (model, there) = (&self.plan.model, &self.servers[server as usize]);
        let (slowed, tipped) = (there.is_slowed(), there.choke.is_tipped());
        self.attempts[attempt as usize].found = Standing::TIPPED.only_if(tipped)
            | Standing::CROWDED.only_if(there.held() > fates::CROWDED * model.cores)
            | Standing::COLD.only_if(there.warmth(model, self.now) < 1.0)
            | Standing::SLOWED.only_if(slowed);
        if slowed {
            self.blame(attempt, Cause::Slow);
        } else if tipped {
            self.blame(attempt, Cause::Tipped);
        }
        let entered =
            self.servers[server as usize].enter(&self.plan.model, self.now, attempt, work, &mut self.planned);
        self.put_planned(server);
        if entered == Entered::Rejected {
            self.blame(attempt, Cause::TurnedAway);
            let load = self.told_with_answers(server);
            self.send_back(attempt, 0, Outcome::Rejected, load);
        }
    }

    /// Shows the servers as they are to all strategies that see: those that get through from the node's zone and back.
    pub fn look(&mut self) {
        let board = |zone: u8| -> Rc<Board> {
            let passes = |there: u8| self.trouble.passes(zone, there) && self.trouble.passes(there, zone);
            let each = self.servers.iter().zip(0..).filter(|(it, _)| passes(it.zone));
            let model = &self.plan.model;
            Rc::new(each.filter_map(|(it, no)| Some((server_id(no), it.takes(model, self.now)?))).collect())
        };
        let boards: Vec<_> = (0..self.plan.zones.len() as u8).map(board).collect();
        for node in &mut self.nodes {
            let zone = usize::from(node.zone);
            node.strategy.iter_mut().for_each(|it| it.see(&boards[zone]));
        }
    }

    /// The load that goes with an answer, where that is how it is told.
    fn told_with_answers(&self, server: ServerNo) -> Option<f32> {
        let told = self.plan.settings.report_source == hillpick::ReportSource::Answers;
        told.then(|| self.servers[server as usize].held() as f32)
    }

    /// A cold server was sent too much and stays down.
    fn fall(&mut self, server: ServerNo, attempt: AttemptNo, broken: bool) {
        if broken {
            let of = self.attempts[attempt as usize].of;
            let node = self.tries[of as usize].node;
            let what = format!("cold server {server} was sent more than it can take and fell over");
            self.judge.broke(Rule::Cold, u64::from(of) + 1, node, self.now, what);
        }
        self.servers[server as usize].state = State::Fallen;
        self.break_connections(server);
        self.send_back(attempt, 0, Outcome::Reset, None);
        self.blame(attempt, Cause::Dead);
        self.change(server, hillpick::ServerState::Gone);
    }

    /// All that a server holds is lost, and its nodes see their connections break.
    pub fn break_connections(&mut self, server: ServerNo) {
        for attempt in self.servers[server as usize].drop_all() {
            self.blame(attempt, Cause::Dead);
            self.send_back(attempt, 0, Outcome::Reset, None);
        }
    }

    /// A server's work is done.
    pub fn done(&mut self, server: ServerNo, plan: u32) {
        let it = &mut self.servers[server as usize];
        let Some(attempt) = it.finish(&self.plan.model, self.now, plan, &mut self.planned) else { return };
        let (silent, idle) = (it.silent > 0, it.held() == 0);
        if silent {
            it.lost.push(attempt);
        }
        self.put_planned(server);
        if idle {
            self.next_sign(server);
        }
        if silent {
            return;
        }
        let reset = self.trouble.resets.iter().fold(1.0, |sound, (_, part)| sound * (1.0 - part));
        if reset < 1.0 && self.chance.random::<f64>() >= reset {
            self.blame(attempt, Cause::Erring);
            return self.send_back(attempt, 0, Outcome::Reset, None);
        }
        let load = self.told_with_answers(server);
        self.send_back(attempt, 0, Outcome::Served, load);
    }

    /// A server learns that an attempt was given up: its connection closes.
    pub fn call_off(&mut self, attempt: AttemptNo) {
        let it = &self.attempts[attempt as usize];
        let (server, connected) = (it.server, it.connected);
        let node = self.tries[it.of as usize].node;
        let there = &mut self.servers[server as usize];
        let reached = self.trouble.passes(self.nodes[node as usize].zone, there.zone) && there.silent == 0;
        if !reached || connected != Some(there.life) {
            return;
        }
        there.connections = there.connections.saturating_sub(1);
        let stops = self.plan.experiment.servers.cancel_stops;
        let was = there.call_off(&self.plan.model, self.now, attempt, stops, &mut self.planned);
        let idle = was && there.held() == 0;
        self.put_planned(server);
        if idle {
            self.next_sign(server);
        }
    }

    /// An idle server is to announce itself, where servers do.
    pub fn next_sign(&mut self, server: ServerNo) {
        let rate = self.plan.experiment.servers.idle_signs_per_s;
        if rate > 0.0 {
            let gap: f64 = Exp1.sample(&mut self.chance);
            let spell = self.servers[server as usize].idle_spell;
            let at = self.now.saturating_add(((gap / rate) * SECOND as f64) as Nanos);
            self.queue.push(at, Ev::Sign { server, spell });
        }
    }

    /// A server that is still idle announces itself to all nodes.
    pub fn sign(&mut self, server: ServerNo, spell: u32) {
        let it = &self.servers[server as usize];
        // After the end of the day nobody needs to know.
        if it.idle_spell != spell || it.held() > 0 || !it.answers() || self.open == 0 {
            return;
        }
        for node in 0..self.nodes.len() as NodeNo {
            let end = ProbeEnd {
                server: server_id(server),
                outcome: Outcome::Served,
                elapsed: Duration::ZERO,
                report: Some(LoadReport { in_flight: Some(0.0), ..LoadReport::default() }),
            };
            self.tell(node, Event::ProbeEnded(end));
        }
        self.next_sign(server);
    }

    /// A server's process starts, cold, and the list will say so.
    pub fn start_server(&mut self, server: ServerNo) {
        self.servers[server as usize].start(self.now);
        self.change(server, hillpick::ServerState::Ready);
    }
}
