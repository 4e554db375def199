//! Server selection: Join-Up-To(m), admission control by load, and the probes that find idle servers.

use super::constants::{COST_BUDGET, LOAD_LEVELS, SMOOTHING};
use crate::interface::*;
use crate::state::{Balancer, Server};
use std::time::Duration;

/// A node uses only as many servers as it can observe this often within the rate window ...
const MIN_OBSERVATIONS: f64 = 3.0;
/// ... but at least this many; with probes, which observe servers too, twice as many.
const MIN_SERVERS_OBSERVED: f64 = 6.0;

/// Collects into a list with capacity for as many servers as are ever compared, to avoid reallocations.
pub(super) fn collect_servers<T>(items: impl Iterator<Item = T>) -> Vec<T> {
    let mut list = Vec::with_capacity(LOAD_LEVELS);
    list.extend(items);
    list
}

/// The server that a draw from 0 to 1 selects.
pub(super) fn random_server(among: &[&Server], draw: f64) -> Option<ServerId> {
    among.get((draw * among.len() as f64) as usize).map(|server| server.entry.id)
}

impl Balancer {
    /// The estimated load of a server: what it reported lately, and at least this node's attempts in flight.
    pub(super) fn load_of(&self, server: &Server) -> f64 {
        let in_flight = || f64::from(server.in_flight) / (1.0 - server.failure_rate).max(SMOOTHING);
        self.probed_load(server).map_or_else(in_flight, |load| load.max(server.in_flight.into()))
    }

    /// The load that a probe showed lately, plus this node's sends since.
    pub(super) fn probed_load(&self, server: &Server) -> Option<f64> {
        server.load.filter(|&(_, at)| self.uses_probes() && self.is_fresh(at)).map(|(load, _)| load)
    }

    /// Whether load seen at that time is still valid. A queue turns over within about one answer time.
    pub(super) fn is_fresh(&self, at: Duration) -> bool {
        (self.now - at).as_secs_f64() <= self.answer_time_s / 4.0
    }

    pub(super) fn uses_probes(&self) -> bool {
        self.settings.report_source == ReportSource::Probes && self.settings.limits.probes
    }

    /// Admission control: the server's load if it admits the request, `None` otherwise. At least three in
    /// four attempts at this load must have been answered in time. A random `chance`, weighted by the
    /// request's value, decides too, because all nodes together may overload a server that looks idle to each
    /// of them.
    pub(super) fn admitted_load(&self, server: &Server, chance: f64) -> Option<f64> {
        let load = self.load_of(server);
        let load_level = load.round() as usize;
        let admitted = chance <= self.admission_at(server)
            && (load_level == 0 || self.in_time_by_load[load_level.min(LOAD_LEVELS - 1)] >= 0.75);
        // A few requests are always admitted to servers without load: otherwise their recovery would go
        // unnoticed.
        (admitted || server.in_flight == 0 && chance < SMOOTHING / 2.0).then_some(load)
    }

    /// Join-Up-To(m): the lowest queue estimate strictly below m, ties at random.
    pub(super) fn lowest_below_cap(&self, among: &[&Server], draw: f64) -> Option<ServerId> {
        let cap = self.queue_cap();
        let (mut lowest, mut ties) = (cap, collect_servers(std::iter::empty()));
        for server in among {
            let estimate = self.queue_estimate(server, cap);
            if estimate < lowest {
                ties.clear();
            }
            lowest = lowest.min(estimate);
            if estimate == lowest && estimate < cap {
                ties.push(*server);
            }
        }
        random_server(&ties, draw)
    }

    /// The queue estimate: own sends since the last idle report. Where reports come from probes, which are
    /// cheap, and other nodes send too, an idle report expires once they may have sent to the server; the
    /// estimate is then the cap, so that the server is probed again.
    pub(super) fn queue_estimate(&self, server: &Server, cap: u32) -> u32 {
        let expires = self.uses_probes() && self.node_count() > 1;
        if expires && !server.idle_at.is_some_and(|at| self.is_fresh(at)) {
            cap
        } else {
            server.queue_estimate
        }
    }

    /// The cap m of Theorem 6 of the paper on Join-Up-To(m), for exponential job sizes: from own sends for
    /// each idle report (its lambda / delta) and the share of reports that were not idle (its lambda).
    pub(super) fn queue_cap(&self) -> u32 {
        let sends_per_report = self.recent_sends / self.recent_idle_reports;
        let half = 0.5 + sends_per_report * (1.0 - self.busy_share) / self.busy_share.max(SMOOTHING);
        let best = ((half * half + 2.0 * sends_per_report).sqrt() - half).ceil();
        best.min(sends_per_report.floor()).max(1.0) as u32
    }

    /// The servers with no more load than the average.
    pub(super) fn at_most_average_load<'a>(&self, among: Vec<(&'a Server, f64)>) -> Vec<&'a Server> {
        let average = among.iter().map(|(_, load)| load).sum::<f64>() / among.len() as f64 + 1e-9;
        collect_servers(among.into_iter().filter(|(_, load)| *load <= average).map(|(s, _)| s))
    }

    /// How many servers to choose from: no more than own traffic observes often enough, because a server that
    /// is used once a minute is never known to be slow or gone. Where connections have a price, all nodes
    /// together stay within the cost budget. In any case there is one server for each concurrent request, and
    /// two more to choose from.
    pub(super) fn candidate_limit(&self) -> usize {
        let affordable = 100.0 * COST_BUDGET / self.settings.prices.connections;
        let by_price = affordable * self.ready_count() as f64 / f64::from(self.node_count());
        let rate = self.sent_rate.per_s(self.now, self.rate_window());
        let observations = MIN_OBSERVATIONS / if self.uses_probes() { 2.0 } else { 1.0 };
        let observable =
            (rate * self.rate_window()).max(MIN_SERVERS_OBSERVED * MIN_OBSERVATIONS) / observations;
        (by_price.min(observable).max(2.0 + rate * self.answer_time_s) as usize).min(LOAD_LEVELS)
    }

    /// The time in seconds over which rates decay: a few times [`Rules::overload_time`].
    pub(super) fn rate_window(&self) -> f64 {
        3.0 * self.settings.rules.overload_time.as_secs_f64().max(1e-3)
    }

    /// Probes up to two servers, as far as own traffic has earned probes, and holds the request meanwhile.
    pub(super) fn probe(&mut self, id: RequestId, mut ids: Vec<ServerId>, actions: &mut Vec<Action>) -> bool {
        for _ in 0..2.min(self.probe_tokens as usize) {
            let draw = (self.random() * ids.len() as f64) as usize;
            let Some(target) = ids.get(draw).copied() else { break };
            ids.retain(|other| *other != target);
            self.probe_tokens -= 1.0;
            self.servers.get_mut(&target).into_iter().for_each(|s| s.probing = true);
            self.probes_in_flight += 1;
            actions.push(Action::Probe { server: target });
        }
        if self.probes_in_flight == 0 {
            return false;
        }
        self.awaiting_probes.push(id);
        // A server that answers a probe later than this is a bad choice anyway.
        let wait = Duration::from_secs_f64(self.answer_time_s / 16.0).max(4 * self.settings.timer_resolution);
        actions.push(Action::SetTimer { after: wait, token: id.0 });
        true
    }

    pub(super) fn on_probe_ended(&mut self, end: ProbeEnd, actions: &mut Vec<Action>) {
        self.servers.get_mut(&end.server).into_iter().for_each(|s| (s.probing, s.load) = (false, None));
        match end.outcome {
            Outcome::Served => self.on_report(end.server, end.report, true),
            Outcome::ConnectFailed => self.record_health(end.server, 1.0, 1.0),
            Outcome::Reset => self.record_health(end.server, 1.0, SMOOTHING * 2.0),
            _ => {}
        }
        self.probes_in_flight = self.probes_in_flight.saturating_sub(1);
        let all_ended = self.probes_in_flight == 0;
        for id in self.awaiting_probes.clone() {
            self.awaiting_probes.retain(|waiting| !all_ended || *waiting != id);
            self.dispatch(id, actions);
        }
    }
}
