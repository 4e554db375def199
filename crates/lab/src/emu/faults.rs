//! Faults: what goes wrong, when, and whom it concerns. Each keeps count of itself, so that any may overlap.

use super::machine;
use super::server::State;
use super::world::*;
use crate::spec::{Direction, Fault, From, ListFault};
use crate::time::{Nanos, millis, secs};
use hillpick::ServerState;
use rand::seq::SliceRandom;

/// What `chance` is drawn for.
const OF_FAULT: u64 = 31;

impl World {
    /// Sets the begin and the end of every fault.
    pub fn set_faults(&mut self) {
        for (fault, it) in self.plan.experiment.faults.clone().iter().enumerate() {
            let (at, lasts) = it.times();
            self.queue.push(secs(at), Ev::Fault { fault, step: Step::Begin });
            self.queue.push(secs(at + lasts), Ev::Fault { fault, step: Step::End });
        }
    }

    fn some(&self, fault: usize, mut all: Vec<u32>, part: f64) -> Vec<u32> {
        let count = (all.len() as f64 * part).round() as usize;
        all.shuffle(&mut chance(self.seed, OF_FAULT, fault as u64));
        all.truncate(count);
        all
    }

    /// A part of the servers that are in service, by chance.
    fn some_servers(&self, fault: usize, part: f64, zone: Option<&str>) -> Vec<u32> {
        let zone = zone.and_then(|zone| self.plan.zone(zone));
        let all = (0..).zip(&self.servers).filter(|(_, it)| it.state != State::Retired);
        let all = all.filter(|(_, it)| zone.is_none_or(|zone| it.zone == zone)).map(|(no, _)| no);
        self.some(fault, all.collect(), part)
    }

    fn some_nodes(&self, fault: usize, part: f64, zone: Option<&str>) -> Vec<u32> {
        let zone = zone.and_then(|zone| self.plan.zone(zone));
        let all = (0..).zip(&self.nodes).filter(|(_, it)| zone.is_none_or(|zone| it.zone == zone));
        self.some(fault, all.map(|(no, _)| no).collect(), part)
    }

    /// Whom a fault concerns.
    fn choose(&self, fault: usize) -> Vec<u32> {
        use Fault::*;
        match &self.plan.experiment.faults[fault] {
            Crash { part, zone, .. } | Silent { part, zone, .. } | Slow { part, zone, .. } => {
                self.some_servers(fault, *part, zone.as_deref())
            }
            Pauses { part, zone, .. } | Erring { part, zone, .. } | Neighbour { part, zone, .. } => {
                self.some_servers(fault, *part, zone.as_deref())
            }
            Release { part, .. } => self.some_servers(fault, *part, None),
            ZoneLost { zone, .. } => self.some_servers(fault, 1.0, Some(zone)),
            Killed { part, zone, .. } | Starved { part, zone, .. } | Stopped { part, zone, .. } => {
                self.some_nodes(fault, *part, zone.as_deref())
            }
            ClockStep { part, .. } => self.some_nodes(fault, *part, None),
            Roll { .. } => self.some_nodes(fault, 1.0, None),
            ZoneCut { .. } | Resets { .. } | List { .. } | Flash { .. } | Storm { .. } | Lossy { .. } => {
                Vec::new()
            }
            HeavyTail { .. } => Vec::new(),
        }
    }

    /// A part of a fault comes.
    pub fn fault(&mut self, fault: usize, step: Step) {
        let it = self.plan.experiment.faults[fault].clone();
        match step {
            Step::Begin => {
                self.victims[fault] = self.choose(fault);
                self.begin(fault, &it);
            }
            Step::End => self.end(fault, &it),
            Step::Batch(batch) => self.batch(fault, &it, batch),
            Step::BatchGone(batch) => self.batch_gone(fault, &it, batch),
            Step::Pause { victim, still } => self.pause(fault, &it, victim, still),
        }
    }

    fn begin(&mut self, fault: usize, it: &Fault) {
        let victims = self.victims[fault].clone();
        let servers = || victims.iter().copied();
        match it {
            Fault::Crash { .. } => servers().for_each(|server| self.crash(server)),
            Fault::Silent { .. } | Fault::ZoneLost { .. } => {
                servers().for_each(|server| self.servers[server as usize].silent += 1);
            }
            Fault::Slow { factor, .. } => {
                servers().for_each(|server| self.slow(server, fault, Some(*factor)));
            }
            Fault::Pauses { every_s, .. } => self.set_turns(fault, *every_s),
            Fault::Neighbour { turn_s, .. } => self.set_turns(fault, 2.0 * turn_s),
            Fault::HeavyTail { part, times, class, .. } => {
                let class = self.class(class.as_deref());
                self.trouble.heavy.push((fault, *part, *times, class));
            }
            Fault::Erring { errors, class, .. } => {
                let errs = (fault, *errors, self.class(class.as_deref()));
                servers().for_each(|server| self.servers[server as usize].errs.push(errs));
            }
            Fault::ZoneCut { zone, from, direction, .. } => self.cut(zone, from, *direction, 1),
            Fault::Resets { part, .. } => self.trouble.resets.push((fault, *part)),
            Fault::List { how, delay_s, .. } => match how {
                ListFault::Late => self.trouble.list_late.push((fault, secs(*delay_s))),
                ListFault::Silent => self.trouble.list_silent += 1,
                ListFault::Stale => self.trouble.list_stale.push((fault, secs(*delay_s))),
            },
            Fault::Killed { .. } => {
                for node in servers() {
                    self.nodes[node as usize].killed += 1;
                    self.kill(node);
                }
            }
            Fault::Roll { batch, lasts, .. } => self.set_batches(fault, *batch, *lasts),
            Fault::Release { batch, lasts, .. } => self.set_batches(fault, *batch, *lasts),
            Fault::Starved { cpu, .. } => {
                servers().for_each(|node| {
                    self.nodes[node as usize].starved.push((fault, *cpu));
                    self.nodes[node as usize].troubled = true;
                });
            }
            Fault::Stopped { .. } => servers().for_each(|node| {
                self.nodes[node as usize].stopped += 1;
                self.nodes[node as usize].troubled = true;
            }),
            Fault::ClockStep { by_s, .. } => {
                servers().for_each(|node| self.nodes[node as usize].step_s += by_s);
            }
            Fault::Flash { factor, zone, .. } => {
                let zone = zone.as_deref().and_then(|zone| self.plan.zone(zone));
                self.trouble.flash.push((fault, *factor, zone));
            }
            Fault::Storm { retries, .. } => self.trouble.storm.push((fault, *retries)),
            Fault::Lossy { loss, delay_ms, duplicate, .. } => {
                self.trouble.lossy.push((fault, [*loss, *delay_ms, *duplicate]));
            }
        }
    }

    fn end(&mut self, fault: usize, it: &Fault) {
        let victims = self.victims[fault].clone();
        let servers = || victims.iter().copied();
        match it {
            Fault::Crash { .. } => servers().for_each(|server| {
                if self.servers[server as usize].state == State::Down {
                    self.start_server(server);
                }
            }),
            Fault::Silent { .. } => servers().for_each(|server| self.back(server, false)),
            Fault::ZoneLost { .. } => servers().for_each(|server| self.back(server, true)),
            Fault::Slow { .. } => servers().for_each(|server| self.slow(server, fault, None)),
            Fault::Erring { .. } => {
                servers().for_each(|s| self.servers[s as usize].errs.retain(|(by, ..)| *by != fault));
            }
            Fault::ZoneCut { zone, from, direction, .. } => self.cut(zone, from, *direction, -1),
            Fault::Resets { .. } => self.trouble.resets.retain(|(by, _)| *by != fault),
            Fault::List { how, .. } => match how {
                ListFault::Late => self.trouble.list_late.retain(|(by, _)| *by != fault),
                ListFault::Silent => {
                    self.trouble.list_silent -= 1;
                    self.speak_again(None);
                }
                ListFault::Stale => {
                    self.trouble.list_stale.retain(|(by, _)| *by != fault);
                    if self.trouble.list_stale.is_empty() {
                        (0..self.nodes.len() as NodeNo).for_each(|node| self.pass_on(node));
                    }
                }
            },
            Fault::Killed { .. } => servers().for_each(|node| self.let_start(node, 0)),
            Fault::Starved { .. } => {
                servers().for_each(|n| self.nodes[n as usize].starved.retain(|(by, _)| *by != fault));
            }
            Fault::Stopped { .. } => servers().for_each(|node| {
                self.nodes[node as usize].stopped -= 1;
                self.go_on(node);
            }),
            Fault::ClockStep { by_s, .. } => {
                servers().for_each(|node| self.nodes[node as usize].step_s -= by_s);
            }
            Fault::Flash { .. } => self.trouble.flash.retain(|(by, ..)| *by != fault),
            Fault::Storm { .. } => self.trouble.storm.retain(|(by, _)| *by != fault),
            Fault::Lossy { .. } => self.trouble.lossy.retain(|(by, _)| *by != fault),
            Fault::HeavyTail { .. } => self.trouble.heavy.retain(|(by, ..)| *by != fault),
            // Those that came in batches or turns end by themselves.
            Fault::Pauses { .. } | Fault::Neighbour { .. } | Fault::Roll { .. } | Fault::Release { .. } => {}
        }
    }

    /// A server's process dies.
    fn crash(&mut self, server: ServerNo) {
        if self.servers[server as usize].state == State::Up {
            self.servers[server as usize].state = State::Down;
            self.break_connections(server);
            self.change(server, ServerState::Gone);
        }
    }

    /// A machine is there again: its connections break, and its process may have to start anew.
    fn back(&mut self, server: ServerNo, cold: bool) {
        let it = &mut self.servers[server as usize];
        it.silent -= 1;
        if it.silent == 0 {
            let runs = it.state == State::Up;
            self.break_connections(server);
            if cold && runs {
                self.start_server(server);
            }
        }
    }

    fn slow(&mut self, server: ServerNo, fault: usize, factor: Option<f64>) {
        let (now, model) = (self.now, &self.plan.model);
        self.servers[server as usize].slow(model, now, fault, factor, &mut self.planned);
        self.put_planned(server);
    }

    /// The number of a class, if one is named.
    fn class(&self, name: Option<&str>) -> Option<u8> {
        let at = name.and_then(|name| self.plan.classes.iter().position(|class| class.name == name));
        at.map(|class| class as u8)
    }

    /// Those concerned take turns: each begins at its own moment of the first round.
    fn set_turns(&mut self, fault: usize, round_s: f64) {
        let victims = self.victims[fault].clone();
        let count = victims.len().max(1) as f64;
        for (victim, turn) in victims.into_iter().zip(0..) {
            let at = self.now + secs(round_s * f64::from(turn) / count);
            self.queue.push(at, Ev::Fault { fault, step: Step::Pause { victim, still: true } });
        }
    }

    /// A turn of one of those concerned begins (`still`), or ends.
    fn pause(&mut self, fault: usize, it: &Fault, victim: u32, still: bool) {
        let (at, lasts) = it.times();
        if still && self.now >= secs(at + lasts) {
            return;
        }
        let (now, model) = (self.now, &self.plan.model);
        let next = match it {
            Fault::Pauses { pause_ms, every_s, .. } => {
                self.servers[victim as usize].hold(model, now, still, &mut self.planned);
                self.put_planned(victim);
                let pause = millis(*pause_ms);
                if still { pause } else { secs(*every_s).saturating_sub(pause) }
            }
            Fault::Neighbour { taken, turn_s, .. } => {
                self.slow(victim, fault, still.then(|| 1.0 / (1.0 - taken)));
                secs(*turn_s)
            }
            _ => return,
        };
        let step = Step::Pause { victim, still: !still };
        self.queue.push(self.now + next.max(1), Ev::Fault { fault, step });
    }

    fn cut(&mut self, zone: &str, from: &[From], direction: Direction, by: i32) {
        let Some(zone) = self.plan.zone(zone) else { return };
        let at = usize::from(zone);
        let (out, into) = (direction != Direction::In, direction != Direction::Out);
        let move_by = |count: &mut u32, applies: bool| {
            if applies {
                *count = count.saturating_add_signed(by);
            }
        };
        for plane in from {
            let trouble = &mut self.trouble;
            match plane {
                From::Servers => {
                    move_by(&mut trouble.servers_out[at], out);
                    move_by(&mut trouble.servers_in[at], into);
                }
                From::Peers => {
                    move_by(&mut trouble.peers_out[at], out);
                    move_by(&mut trouble.peers_in[at], into);
                }
                // The list only comes in.
                From::List => {
                    move_by(&mut trouble.list_in[at], into);
                    if by < 0 && into {
                        self.speak_again(Some(zone));
                    }
                }
            }
        }
    }

    /// Batches follow one another evenly over the time of the fault.
    fn set_batches(&mut self, fault: usize, batch: f64, lasts: f64) {
        let batches = (1.0 / batch).ceil().max(1.0) as u32;
        for number in 0..batches {
            let at = self.now + secs(lasts * f64::from(number) / f64::from(batches));
            self.queue.push(at, Ev::Fault { fault, step: Step::Batch(number) });
        }
    }

    /// Those of a batch.
    fn of_batch(&self, fault: usize, batch: f64, number: u32) -> Vec<u32> {
        let all = &self.victims[fault];
        let batches = (1.0 / batch).ceil().max(1.0) as usize;
        let end = |number: usize| number * all.len() / batches;
        all[end(number as usize)..end(number as usize + 1)].to_vec()
    }

    fn batch(&mut self, fault: usize, it: &Fault, number: u32) {
        let mut gone: Nanos = self.now;
        match it {
            Fault::Roll { batch, .. } => {
                for node in self.of_batch(fault, *batch, number) {
                    gone = gone.max(self.terminate(node));
                }
            }
            Fault::Release { batch, drain_s, .. } => {
                for server in self.of_batch(fault, *batch, number) {
                    self.servers[server as usize].draining = true;
                    self.change(server, ServerState::Draining);
                }
                gone += secs(*drain_s);
            }
            _ => {}
        }
        self.queue.push(gone, Ev::Fault { fault, step: Step::BatchGone(number) });
    }

    fn batch_gone(&mut self, fault: usize, it: &Fault, number: u32) {
        match it {
            Fault::Roll { batch, down_s, .. } => {
                for node in self.of_batch(fault, *batch, number) {
                    self.nodes[node as usize].killed += 1;
                    self.kill(node);
                    self.let_start(node, secs(*down_s));
                }
            }
            Fault::Release { batch, .. } => {
                for server in self.of_batch(fault, *batch, number) {
                    self.replace(server);
                }
            }
            _ => {}
        }
    }

    /// A server is gone, and a new machine with a new id takes its place, cold.
    fn replace(&mut self, server: ServerNo) {
        self.break_connections(server);
        let it = &mut self.servers[server as usize];
        it.state = State::Retired;
        let (zone, kind, cell) = (it.zone, it.kind, it.cell);
        self.change(server, ServerState::Gone);
        let new = self.servers.len() as ServerNo;
        let successor = machine(&self.plan.experiment, self.seed, new, (zone, kind, cell), Some(self.now));
        self.servers.push(successor);
        self.change(new, ServerState::Ready);
    }

    /// A fault no longer holds a node dead; it starts unless another does.
    fn let_start(&mut self, node: NodeNo, after: Nanos) {
        let it = &mut self.nodes[node as usize];
        it.killed = it.killed.saturating_sub(1);
        if it.killed == 0 {
            let life = it.life;
            self.queue.push(self.now + after, Ev::Start { node, life });
        }
    }
}
