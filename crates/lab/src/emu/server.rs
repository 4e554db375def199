//! A server: cores, a first-come queue with a waiting room, a cold start, and what may be wrong with it. It knows work
//! in seconds of a standard core, and nothing of nodes or networks.

use super::choke::{Choke, ChokeModel};
use crate::cold::{Cold, ColdModel, Pressed};
use crate::time::{FOREVER, Nanos, in_secs, secs};
use std::collections::VecDeque;

/// The number of an attempt in the world.
pub type AttemptNo = u32;

/// What all servers of a world have in common.
#[derive(Clone, Debug)]
pub struct Model {
    /// Cores that work.
    pub cores: usize,
    /// Requests in work at a time. Beyond the cores they share them.
    pub slots: usize,
    /// What is left of the cores' work when all slots are taken, as a share; less is lost when fewer are.
    pub sharing: f64,
    /// Requests that may wait.
    pub waiting: usize,
    /// Capacity at a cold start, as a share.
    pub cold_share: f64,
    /// How long it rises.
    pub warm: Nanos,
    /// Held requests for each core beyond which it is slower; endless for never.
    pub crowded: f64,
    /// By this factor.
    pub crowded_slow: f64,
    /// What a cold one can take.
    pub cold: ColdModel,
    /// The slow state that crowding leaves behind, if there is one.
    pub choke: Option<ChokeModel>,
    /// Connections that it holds.
    pub connections: u32,
    /// The share of its capacity that as many take.
    pub full_tax: f64,
}

/// How a server stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Its process runs.
    Up,
    /// Its process is dead: connections are refused.
    Down,
    /// It has fallen over while cold, and stays down.
    Fallen,
    /// It has been replaced.
    Retired,
}

/// An attempt in work.
#[derive(Clone, Debug)]
pub struct Job {
    /// Which.
    pub attempt: AttemptNo,
    /// Work that was left at `since`, in s of a standard core.
    left: f64,
    since: Nanos,
    /// The speed that it goes at from `since` on, without the cold start.
    rate: f64,
    /// Which plan of its end holds.
    pub plan: u32,
}

/// What came of an attempt that reached a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Entered {
    /// It runs, and its end is to be planned.
    Running,
    /// It waits.
    Waiting,
    /// The waiting room is full, or the server drains.
    Rejected,
}

/// One server.
pub struct Server {
    /// Where it is.
    pub zone: u8,
    /// Its machine kind.
    pub kind: u8,
    /// Who drops repeats together.
    pub cell: u16,
    /// Speed of a core against the standard one.
    pub speed: f64,
    /// How it stands.
    pub state: State,
    /// It takes nothing new.
    pub draining: bool,
    /// How often its process, or its connections, have begun anew.
    pub life: u32,
    /// When its process last started; `None` for long ago.
    pub started: Option<Nanos>,
    waiting: VecDeque<(AttemptNo, f64)>,
    running: Vec<Job>,
    /// Faults that make it silent, and that hold it still.
    pub silent: u32,
    still: u32,
    /// Faults that slow it, by number, with their factors.
    slowed: Vec<(usize, f64)>,
    /// Faults that make it err: by number, the share, and the class that it is limited to.
    pub errs: Vec<(usize, f64, Option<u8>)>,
    /// Open connections.
    pub connections: u32,
    /// Attempts that came while it was silent.
    pub lost: Vec<AttemptNo>,
    cold: Cold,
    /// Its slow state.
    pub choke: Choke,
    plans: u32,
    /// Work done so far, in s of a standard core.
    pub done: f64,
    /// Which spell of idleness this is, for its idle signs.
    pub idle_spell: u32,
}

impl Server {
    /// A warm server of long standing, or one that starts cold at `started`.
    pub fn new(zone: u8, kind: u8, cell: u16, speed: f64, started: Option<Nanos>) -> Self {
        Server {
            zone,
            kind,
            cell,
            speed,
            state: State::Up,
            draining: false,
            life: 0,
            started,
            waiting: VecDeque::new(),
            running: Vec::new(),
            silent: 0,
            still: 0,
            slowed: Vec::new(),
            errs: Vec::new(),
            connections: 0,
            lost: Vec::new(),
            cold: Cold::default(),
            choke: Choke::default(),
            plans: 0,
            done: 0.0,
            idle_spell: 0,
        }
    }

    /// Requests that it holds.
    pub fn held(&self) -> usize {
        self.waiting.len() + self.running.len()
    }

    /// Whether it answers what it is sent, if slowly.
    pub fn answers(&self) -> bool {
        self.state == State::Up && self.silent == 0
    }

    /// Whether some fault makes it slow or still.
    pub fn is_slowed(&self) -> bool {
        self.still > 0 || !self.slowed.is_empty()
    }

    /// The share of its capacity that it has.
    pub fn warmth(&self, model: &Model, now: Nanos) -> f64 {
        let Some(started) = self.started else { return 1.0 };
        let grown = in_secs(now.saturating_sub(started)) / in_secs(model.warm).max(1e-9);
        (model.cold_share + (1.0 - model.cold_share) * grown).min(1.0)
    }

    /// How fast one request goes on, of as many as are in work.
    fn rate(&self, model: &Model) -> f64 {
        let (running, cores) = (self.running.len().max(1) as f64, model.cores as f64);
        self.core_rate(model) * (cores / running).min(1.0)
    }

    /// The share of the cores' work that is not lost to sharing.
    fn efficiency(&self, model: &Model) -> f64 {
        let beyond = self.running.len().saturating_sub(model.cores) as f64;
        let most = (model.slots - model.cores).max(1) as f64;
        1.0 - (1.0 - model.sharing) * beyond / most
    }

    /// How fast a core works.
    fn core_rate(&self, model: &Model) -> f64 {
        if self.still > 0 {
            return 0.0;
        }
        let crowded = self.held() as f64 > model.crowded * model.cores as f64;
        let mut crowd = if crowded { model.crowded_slow } else { 1.0 };
        if let Some(choke) = model.choke.as_ref().filter(|_| self.choke.is_tipped()) {
            crowd *= choke.slower;
        }
        if model.full_tax > 0.0 {
            let full = f64::from(self.connections) / f64::from(model.connections.max(1));
            crowd /= 1.0 - model.full_tax * full.min(1.0);
        }
        let speed = self.speed * self.efficiency(model) / crowd;
        self.slowed.iter().fold(speed, |rate, (_, factor)| rate / factor)
    }

    /// How long a request of the mean work that comes now would take, in those that a warm one with nothing to do takes;
    /// `None` if it would get nothing done.
    pub fn takes(&self, model: &Model, now: Nanos) -> Option<f64> {
        let turned_away = self.draining || self.waiting.len() >= model.waiting;
        let pace = self.core_rate(model) * self.warmth(model, now) * model.cores as f64;
        (self.answers() && !turned_away && pace > 0.0).then(|| (self.held() + 1) as f64 / pace)
    }

    /// When work of `left` is done at `rate`, exactly: while it warms, capacity rises evenly.
    fn end_of(&self, model: &Model, now: Nanos, left: f64, rate: f64) -> Nanos {
        if rate <= 0.0 {
            return FOREVER;
        }
        let (need, warmth) = (left / rate, self.warmth(model, now));
        if warmth >= 1.0 {
            return now + secs(need);
        }
        let slope = (1.0 - model.cold_share) / in_secs(model.warm).max(1e-9);
        let ramp = (1.0 - warmth) / slope;
        let within = warmth * ramp + slope * ramp * ramp / 2.0;
        let takes = if need <= within {
            ((warmth * warmth + 2.0 * slope * need).sqrt() - warmth) / slope
        } else {
            ramp + need - within
        };
        now + secs(takes)
    }

    /// Work done between two moments at `rate`.
    fn progress(&self, model: &Model, from: Nanos, to: Nanos, rate: f64) -> f64 {
        let span = in_secs(to.saturating_sub(from));
        let (warmth, slope) =
            (self.warmth(model, from), (1.0 - model.cold_share) / in_secs(model.warm).max(1e-9));
        let ramp = if warmth < 1.0 { ((1.0 - warmth) / slope).min(span) } else { 0.0 };
        rate * (warmth * ramp + slope * ramp * ramp / 2.0 + (span - ramp))
    }

    fn plan(&mut self, model: &Model, now: Nanos, attempt: AttemptNo, left: f64) -> (Nanos, u32) {
        let rate = self.rate(model);
        self.plans += 1;
        self.running.push(Job { attempt, left, since: now, rate, plan: self.plans });
        (self.end_of(model, now, left, rate), self.plans)
    }

    /// An attempt comes in with its work. If it runs at once, `planned` is given its end.
    pub fn enter(
        &mut self,
        model: &Model,
        now: Nanos,
        attempt: AttemptNo,
        work: f64,
        planned: &mut Vec<(AttemptNo, Nanos, u32)>,
    ) -> Entered {
        if self.draining {
            return Entered::Rejected;
        }
        if self.running.len() < model.slots {
            self.see(model, now, 1);
            self.idle_spell += u32::from(self.running.is_empty());
            self.begin(model, now, attempt, work, planned);
            return Entered::Running;
        }
        if self.waiting.len() >= model.waiting {
            return Entered::Rejected;
        }
        self.see(model, now, 1);
        self.waiting.push_back((attempt, work));
        Entered::Waiting
    }

    /// A job's planned end has come. `None` if that plan no longer holds; else whatever starts next is planned.
    pub fn finish(
        &mut self,
        model: &Model,
        now: Nanos,
        plan: u32,
        planned: &mut Vec<(AttemptNo, Nanos, u32)>,
    ) -> Option<AttemptNo> {
        let at = self.running.iter().position(|job| job.plan == plan)?;
        let job = self.running.swap_remove(at);
        self.done += job.left;
        self.see(model, now, 0);
        self.next(model, now, planned);
        Some(job.attempt)
    }

    fn next(&mut self, model: &Model, now: Nanos, planned: &mut Vec<(AttemptNo, Nanos, u32)>) {
        if self.waiting.is_empty() {
            return self.share(model, now, planned);
        }
        while self.running.len() < model.slots {
            let Some((attempt, work)) = self.waiting.pop_front() else { return };
            self.begin(model, now, attempt, work, planned);
        }
    }

    /// An attempt's work begins, beside what is in work.
    fn begin(
        &mut self,
        model: &Model,
        now: Nanos,
        attempt: AttemptNo,
        work: f64,
        planned: &mut Vec<(AttemptNo, Nanos, u32)>,
    ) {
        let (end, plan) = self.plan(model, now, attempt, work);
        planned.push((attempt, end, plan));
        self.share(model, now, planned);
    }

    /// More or fewer than before share the cores.
    fn share(&mut self, model: &Model, now: Nanos, planned: &mut Vec<(AttemptNo, Nanos, u32)>) {
        if model.slots > model.cores {
            self.replan(model, now, planned);
        }
    }

    /// An attempt is called off: waiting work is dropped, and running work if `stops`. Whether it was there.
    pub fn call_off(
        &mut self,
        model: &Model,
        now: Nanos,
        attempt: AttemptNo,
        stops: bool,
        planned: &mut Vec<(AttemptNo, Nanos, u32)>,
    ) -> bool {
        if let Some(at) = self.waiting.iter().position(|(waits, _)| *waits == attempt) {
            self.waiting.remove(at);
            self.see(model, now, 0);
            return true;
        }
        let Some(at) = self.running.iter().position(|job| job.attempt == attempt).filter(|_| stops) else {
            return false;
        };
        let job = self.running.swap_remove(at);
        self.done += self.progress(model, job.since, now, job.rate).min(job.left);
        self.see(model, now, 0);
        self.next(model, now, planned);
        true
    }

    /// What it holds has changed, or does once `more` have come.
    fn see(&mut self, model: &Model, now: Nanos, more: usize) {
        if let Some(choke) = &model.choke {
            let held = self.held() + more;
            self.choke.see(choke, now, held);
        }
    }

    /// Its speed may have changed: all that runs is planned anew.
    fn replan(&mut self, model: &Model, now: Nanos, planned: &mut Vec<(AttemptNo, Nanos, u32)>) {
        let rate = self.rate(model);
        for i in 0..self.running.len() {
            let job = &self.running[i];
            let done = self.progress(model, job.since, now, job.rate).min(job.left);
            let left = job.left - done;
            let end = self.end_of(model, now, left, rate);
            self.plans += 1;
            self.done += done;
            let attempt = self.running[i].attempt;
            self.running[i] = Job { attempt, left, since: now, rate, plan: self.plans };
            if end < FOREVER {
                planned.push((attempt, end, self.plans));
            }
        }
    }

    /// A fault slows it by a factor, or no longer does.
    pub fn slow(
        &mut self,
        model: &Model,
        now: Nanos,
        fault: usize,
        factor: Option<f64>,
        planned: &mut Vec<(AttemptNo, Nanos, u32)>,
    ) {
        self.slowed.retain(|(by, _)| *by != fault);
        self.slowed.extend(factor.map(|factor| (fault, factor)));
        self.replan(model, now, planned);
    }

    /// A fault holds it still, or lets go of it.
    pub fn hold(
        &mut self,
        model: &Model,
        now: Nanos,
        still: bool,
        planned: &mut Vec<(AttemptNo, Nanos, u32)>,
    ) {
        self.still = if still { self.still + 1 } else { self.still.saturating_sub(1) };
        self.replan(model, now, planned);
    }

    /// Its connections break and it forgets what it holds; returns that, in the order of arrival.
    pub fn drop_all(&mut self) -> Vec<AttemptNo> {
        self.life += 1;
        self.connections = 0;
        self.choke.forget_spell();
        let mut held: Vec<_> = self.running.drain(..).map(|job| job.attempt).collect();
        held.extend(self.waiting.drain(..).map(|(attempt, _)| attempt));
        held.append(&mut self.lost);
        held.sort_unstable();
        held
    }

    /// Its process starts, cold.
    pub fn start(&mut self, now: Nanos) {
        (self.state, self.draining, self.started) = (State::Up, false, Some(now));
        self.choke.restart();
    }

    /// Work reaches it, also work that it turns away: what that is to its budget while it is cold.
    pub fn press(&mut self, model: &Model, now: Nanos, work: f64, told: bool) -> Pressed {
        let Some(started) = self.started else { return Pressed::default() };
        let whole = model.cores as f64 * self.speed;
        self.cold.press(&model.cold, (now, started), whole, work, told)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::time::SECOND;

    fn model() -> Model {
        Model {
            cores: 1,
            slots: 1,
            sharing: 1.0,
            waiting: 2,
            cold_share: 0.1,
            warm: 10 * SECOND,
            crowded: f64::INFINITY,
            crowded_slow: 1.0,
            cold: ColdModel::NEVER,
            choke: None,
            connections: 10,
            full_tax: 0.0,
        }
    }

    fn warm() -> Server {
        Server::new(0, 0, 0, 2.0, None)
    }

    #[test]
    fn serves_first_come_and_turns_away_beyond_its_waiting_room() {
        let (model, mut server, mut planned) = (model(), warm(), Vec::new());
        assert_eq!(server.enter(&model, 0, 1, 4.0, &mut planned), Entered::Running);
        assert_eq!(server.enter(&model, 0, 2, 2.0, &mut planned), Entered::Waiting);
        assert_eq!(server.enter(&model, 0, 3, 2.0, &mut planned), Entered::Waiting);
        assert_eq!(server.enter(&model, 0, 4, 2.0, &mut planned), Entered::Rejected);
        assert_eq!(planned, [(1, 2 * SECOND, 1)]);
        assert_eq!(server.finish(&model, 2 * SECOND, 1, &mut planned), Some(1));
        assert_eq!(planned[1], (2, 3 * SECOND, 2));
        assert!(server.call_off(&model, 2 * SECOND, 3, false, &mut planned));
        assert_eq!(server.held(), 1);
    }

    /// Half of the work is done at full speed, a fault takes three quarters of it, a pause all of it.
    #[test]
    fn a_change_of_speed_moves_the_end_of_what_runs() {
        let (model, mut server, mut planned) = (model(), warm(), Vec::new());
        server.enter(&model, 0, 1, 4.0, &mut planned);
        server.slow(&model, SECOND, 0, Some(4.0), &mut planned);
        assert_eq!(planned.last(), Some(&(1, 5 * SECOND, 2)));
        server.hold(&model, 3 * SECOND, true, &mut planned);
        assert_eq!(server.finish(&model, 5 * SECOND, 2, &mut planned), None);
        server.slow(&model, 6 * SECOND, 0, None, &mut planned);
        server.hold(&model, 7 * SECOND, false, &mut planned);
        let (_, end, plan) = *planned.last().unwrap();
        assert_eq!(end, 7 * SECOND + SECOND / 2);
        assert_eq!(server.finish(&model, end, plan, &mut planned), Some(1));
        assert!((server.done - 4.0).abs() < 1e-9);
    }

    /// From a tenth of its capacity, evenly to all of it in 10 s: 5.5 s of full work in that time.
    #[test]
    fn a_cold_start_is_reckoned_exactly() {
        let (model, mut planned) = (model(), Vec::new());
        let mut server = Server::new(0, 0, 0, 1.0, Some(0));
        server.enter(&model, 0, 1, 5.5, &mut planned);
        server.enter(&model, 0, 2, 1.0, &mut planned);
        assert_eq!(planned[0].1, 10 * SECOND);
        // A change half way leaves the end where it was: 0.1 x 5 + 0.09 x 25 / 2 is done by then.
        assert!((server.progress(&model, 0, 5 * SECOND, 1.0) - 1.625).abs() < 1e-9);
        server.hold(&model, 5 * SECOND, true, &mut planned);
        server.hold(&model, 5 * SECOND, false, &mut planned);
        let (_, end, plan) = *planned.last().unwrap();
        assert!(end.abs_diff(10 * SECOND) < 10, "{end}");
        server.finish(&model, end, plan, &mut planned);
        assert_eq!(planned.last().unwrap().1 - end, SECOND);
    }

    /// What begins in the slow state takes longer, and what began before it goes on as it was. Connections take their
    /// share by how full the table is.
    #[test]
    fn a_slow_state_and_full_tables_slow_what_begins() {
        let choke =
            ChokeModel { at: 2.0, over: SECOND, slower: 3.0, rest: SECOND, below: 0.0, most: 9 * SECOND };
        let (model, mut server, mut planned) = (Model { choke: Some(choke), ..model() }, warm(), Vec::new());
        server.choke = Choke::new(true);
        server.enter(&model, 0, 1, 4.0, &mut planned);
        server.enter(&model, 0, 2, 2.0, &mut planned);
        server.finish(&model, 2 * SECOND, 1, &mut planned);
        assert_eq!((server.choke.is_tipped(), planned[1]), (true, (2, 5 * SECOND, 2)));
        let (model, mut server) = (Model { full_tax: 0.2, ..self::model() }, warm());
        server.connections = model.connections / 2;
        server.enter(&model, 0, 3, 1.8, &mut planned);
        assert_eq!(planned[2].1, SECOND);
    }

    /// Two share a core and lose half of its work by that, so that each goes at a quarter of the speed; alone again, the
    /// other one goes on at all of it.
    #[test]
    fn requests_share_the_cores_and_lose_work_by_it() {
        let (model, mut server, mut planned) =
            (Model { slots: 2, sharing: 0.5, ..model() }, warm(), Vec::new());
        assert_eq!(server.enter(&model, 0, 1, 4.0, &mut planned), Entered::Running);
        assert_eq!(server.enter(&model, SECOND, 2, 1.0, &mut planned), Entered::Running);
        assert_eq!(server.enter(&model, SECOND, 3, 1.0, &mut planned), Entered::Waiting);
        assert!(server.call_off(&model, SECOND, 3, false, &mut planned));
        let plan_of = |planned: &[(AttemptNo, Nanos, u32)], attempt| {
            *planned.iter().rfind(|(it, ..)| *it == attempt).expect("a plan")
        };
        let (_, end, plan) = plan_of(&planned, 2);
        assert_eq!(end, 3 * SECOND);
        assert_eq!(server.finish(&model, end, plan, &mut planned), Some(2));
        // Two of its four by then, at the full speed of two; one more in two seconds; the last at the full speed.
        let (_, end, _) = plan_of(&planned, 1);
        assert_eq!(end, 3 * SECOND + SECOND / 2);
    }
}
