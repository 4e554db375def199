//! The pick: Join-Up-To(m), the soft gates on crowded servers, and the probes that tell of idle ones.

use super::constants::{COST_BUDGET, LOAD_LEVELS, SMOOTH};
use crate::interface::*;
use crate::state::{Balancer, Server};
use std::time::Duration;

/// A server is to be seen so often within the memory of rates, or else fewer are used, but not under a few.
const SIGHTINGS: f64 = 3.0;
const FEW: f64 = 6.0;

/// A list for as many as are ever compared.
pub(super) fn few<T>(some: impl Iterator<Item = T>) -> Vec<T> {
    let mut few = Vec::with_capacity(LOAD_LEVELS);
    few.extend(some);
    few
}

/// One of them at random, as a draw between 0 and 1 falls.
pub(super) fn any_of(among: &[&Server], draw: f64) -> Option<ServerId> {
    among.get((draw * among.len() as f64) as usize).map(|server| server.entry.id)
}

impl Balancer {
    /// How crowded a server is: what it reported lately, and at least own attempts that are out.
    pub(super) fn crowd(&self, server: &Server) -> f64 {
        let guess = || f64::from(server.out) / (1.0 - server.failing).max(SMOOTH);
        self.fresh_load(server).map_or_else(guess, |load| load.max(server.out.into()))
    }

    /// The load that a probe told of lately, with own sends since.
    pub(super) fn fresh_load(&self, server: &Server) -> Option<f64> {
        server.load.filter(|&(_, at)| self.probes_tell() && self.is_fresh(at)).map(|(load, _)| load)
    }

    /// A queue turns over within about one answer time; then news of it is old.
    pub(super) fn is_fresh(&self, at: Duration) -> bool {
        (self.now - at).as_secs_f64() <= self.answer_time / 4.0
    }

    pub(super) fn probes_tell(&self) -> bool {
        self.settings.report_source == ReportSource::Probes && self.settings.limits.probes
    }

    /// Soft gate: at this crowding, at least three in four of what was sent have come back in time; luck
    /// decides where it does not look crowded, since many nodes together may crowd it all the same. Returns
    /// its crowding if it passes, by a `chance` that is luck weighed by what the request is worth.
    pub(super) fn fits(&self, server: &Server, chance: f64) -> Option<f64> {
        let crowd = self.crowd(server);
        let level = crowd.round() as usize;
        let open = chance <= self.taken_at(server)
            && (level == 0 || self.in_time_by_load[level.min(LOAD_LEVELS - 1)] >= 0.75);
        // A few are tried in any case, or else nothing would tell of better times.
        (open || server.out == 0 && chance < SMOOTH / 2.0).then_some(crowd)
    }

    /// Join-Up-To(m): the lowest estimate strictly below m, ties at random.
    pub(super) fn below_cap(&self, among: &[&Server], draw: f64) -> Option<ServerId> {
        let cap = self.cap();
        let (mut lowest, mut ties) = (cap, few(std::iter::empty()));
        for server in among {
            let estimate = self.estimate(server, cap);
            if estimate < lowest {
                ties.clear();
            }
            lowest = lowest.min(estimate);
            if estimate == lowest && estimate < cap {
                ties.push(*server);
            }
        }
        any_of(&ties, draw)
    }

    /// Own sends since the last idle sign. Where those come from cheap probes and other nodes send as well,
    /// a sign lapses once they may have sent there too.
    pub(super) fn estimate(&self, server: &Server, cap: u32) -> u32 {
        let lapses = self.probes_tell() && self.nodes() > 1;
        if lapses && !server.idle_at.is_some_and(|at| self.is_fresh(at)) { cap } else { server.count }
    }

    /// The cap m of Theorem 6 of the paper, from own sends for each idle sign (its lambda / delta) and the
    /// share of reports that were not idle (its lambda), for exponential job sizes.
    pub(super) fn cap(&self) -> u32 {
        let per_sign = self.sends / self.idle_signs;
        let half = 0.5 + per_sign * (1.0 - self.busy) / self.busy.max(SMOOTH);
        let best = ((half * half + 2.0 * per_sign).sqrt() - half).ceil();
        best.min(per_sign.floor()).max(1.0) as u32
    }

    /// Soft gate: those that are not more crowded than the average.
    pub(super) fn uncrowded<'a>(&self, among: Vec<(&'a Server, f64)>) -> Vec<&'a Server> {
        let average = among.iter().map(|(_, crowd)| crowd).sum::<f64>() / among.len() as f64 + 1e-9;
        few(among.into_iter().filter(|(_, crowd)| *crowd <= average).map(|(s, _)| s))
    }

    /// How many servers to choose from: no more than own traffic can keep in view, since a server seen once a
    /// minute is never known to be slow or gone. Where connections have a price, all nodes together keep it
    /// within a hundredth of the service. Each has a server for every request at once and two to choose from.
    pub(super) fn candidate_limit(&self) -> usize {
        let affordable = 100.0 * COST_BUDGET / self.settings.prices.connections;
        let part = affordable * self.ready() as f64 / f64::from(self.nodes());
        let rate = self.sent.per_s(self.now, self.rate_window());
        let sightings = SIGHTINGS / if self.probes_tell() { 2.0 } else { 1.0 };
        let in_view = (rate * self.rate_window()).max(FEW * SIGHTINGS) / sightings;
        (part.min(in_view).max(2.0 + rate * self.answer_time) as usize).min(LOAD_LEVELS)
    }

    /// Rates are taken over a few of the spans in which a cold server is judged.
    pub(super) fn rate_window(&self) -> f64 {
        3.0 * self.settings.rules.overload_time.as_secs_f64().max(1e-3)
    }

    /// Probes servers at the cap, two at a time, as own traffic has paid, and holds the request meanwhile.
    pub(super) fn probe(
        &mut self,
        id: RequestId,
        mut targets: Vec<ServerId>,
        actions: &mut Vec<Action>,
    ) -> bool {
        for _ in 0..2.min(self.probe_tokens as usize) {
            let draw = (self.random() * targets.len() as f64) as usize;
            let Some(target) = targets.get(draw).copied() else { break };
            targets.retain(|t| *t != target);
            self.probe_tokens -= 1.0;
            self.servers.get_mut(&target).into_iter().for_each(|s| s.probing = true);
            self.probes_out += 1;
            actions.push(Action::Probe { server: target });
        }
        if self.probes_out == 0 {
            return false;
        }
        self.held.push(id);
        // A server that answers a probe later than this is no place to send to.
        let patience =
            Duration::from_secs_f64(self.answer_time / 16.0).max(4 * self.settings.timer_resolution);
        actions.push(Action::SetTimer { after: patience, token: id.0 });
        true
    }

    pub(super) fn on_probed(&mut self, end: ProbeEnd, actions: &mut Vec<Action>) {
        self.servers.get_mut(&end.server).into_iter().for_each(|s| (s.probing, s.load) = (false, None));
        match end.outcome {
            Outcome::Served => self.on_report(end.server, end.report, true),
            Outcome::ConnectFailed => self.judge(end.server, 1.0, 1.0),
            Outcome::Reset => self.judge(end.server, 1.0, SMOOTH * 2.0),
            _ => {}
        }
        self.probes_out = self.probes_out.saturating_sub(1);
        let last = self.probes_out == 0;
        for id in self.held.clone() {
            self.held.retain(|held| !last || *held != id);
            self.dispatch(id, actions);
        }
    }
}
