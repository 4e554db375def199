//! Zones: the share of this node's requests that each gets (locality weights, failover, evacuation). Within a
//! zone servers are chosen as without zones. Shares move gradually: towards the nearest zone, away from where
//! requests take more of their latency target, fast away from failing zones, and slowly back.

use super::constants::SMOOTHING;
use crate::interface::*;
use crate::state::{Balancer, DecayedRate, Observation, Request, Server, Zone};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// A nearer zone may take this much more of the latency target before a farther one is preferred. It exceeds
/// the random differences between equal zones.
const LATENCY_TOLERANCE: f64 = 1.0 / 8.0;
/// Exponential rate at which a failed or evacuated zone loses its share: 95 % of it within two seconds.
const FAILOVER_DECAY_PER_S: f64 = 1.5;
/// The least share of all zones but the nearest, together. These requests show how the zones perform.
const MIN_OTHERS_SHARE: f64 = 1.0 / 64.0;
/// Share of a failed zone, for trials: at ten requests a second it is one in three seconds.
const TRIAL_SHARE: f64 = 1.0 / 32.0;
/// The natural logarithm of the growth of a share in a failback, which is from a hundredth to nearly all.
const FAILBACK_LOG_GROWTH: f64 = 4.6;
/// Unhealthy share of a zone's servers above which it fails over.
const FAILOVER_ABOVE: f64 = 0.5;
/// Unhealthy share below which a failed-over zone may fail back.
const HEALTHY_BELOW: f64 = 0.25;
/// However often a zone relapses, its failback takes at most this many times as long.
const MAX_BACKOFF: u32 = 8;

impl Balancer {
    /// The zone of a server, if zones are configured.
    pub(super) fn zone_of(&self, server: &Server) -> Option<u8> {
        self.settings.zones.as_ref().map(|_| server.entry.zone)
    }

    /// The ring, or the servers on it that are in a zone.
    pub(super) fn ring_in_zone(&self, zone: Option<u8>) -> impl Iterator<Item = &Server> {
        self.ring(zone).filter(move |server| zone.is_none_or(|zone| server.entry.zone == zone))
    }

    /// The parts of the ring that are used separately: the zones, or the whole.
    pub(super) fn partitions(&self) -> Vec<Option<u8>> {
        match self.settings.zones {
            None => vec![None],
            Some(_) => self.zones.iter().filter(|(_, z)| z.ready > 0).map(|(id, _)| Some(*id)).collect(),
        }
    }

    /// The share of this node's requests that goes to a partition.
    pub(super) fn share_of(&self, zone: Option<u8>) -> f64 {
        zone.map_or(1.0, |zone| self.zones.get(&zone).map_or(0.0, |z| z.share))
    }

    /// Whether a zone gets so little that each request to it is a trial.
    pub(super) fn trials_only(&self, zone: Option<u8>) -> bool {
        zone.is_some() && self.share_of(zone) <= TRIAL_SHARE
    }

    /// The zones in the order in which a request looks for a server: the one drawn by the shares, then
    /// healthy and near ones. Last come zones that can't answer in time, failed-over zones if the request
    /// can't be retried without restriction, and the zone of the last attempt if it looks unhealthy.
    fn zone_order(&self, request: &Request, draw: f64) -> Vec<u8> {
        let mut order: Vec<_> = self.zones.iter().filter(|(_, z)| z.ready > 0).collect();
        let (mut remaining, mut first) = (draw, None);
        for (id, zone) in &order {
            remaining -= zone.share;
            if first.is_none() && remaining < 0.0 {
                first = Some(**id);
            }
        }
        let restricted = request.policy.class.retry_safety != RetrySafety::Idempotent;
        let last_tried = request.attempts.iter().rfind(|a| a.may_have_run()).map(|a| a.server.zone);
        let time_left = request.expires.saturating_sub(self.now);
        let rank = |id: u8, zone: &Zone| {
            let (step, round_trip) = self.distance(id);
            let in_time = round_trip + self.median_time(request.class) <= time_left;
            // Trials are for idempotent requests, and for one in eight of the others in case there are no
            // idempotent ones.
            let trial = zone.state == ZoneState::FailedOver && restricted && draw * 4.0 % 1.0 > SMOOTHING;
            let doubtful = last_tried == Some(id) && zone.unhealthy > HEALTHY_BELOW && !restricted;
            (!in_time, trial, doubtful, first != Some(id), zone.unhealthy > FAILOVER_ABOVE, step)
        };
        order.sort_by(|(a, x), (b, y)| {
            let (x, y) = (rank(**a, x), rank(**b, y));
            x.partial_cmp(&y).unwrap_or(std::cmp::Ordering::Equal)
        });
        order.into_iter().map(|(id, _)| *id).collect()
    }

    /// The servers to choose from, one zone at a time, first the zones that have a healthy server for this
    /// request; or all servers at once, where zones are not configured.
    pub(super) fn candidates<'a>(
        &'a self,
        request: &'a Request,
        draw: f64,
        trial_draw: f64,
    ) -> impl Iterator<Item = (Option<u8>, Vec<&'a Server>)> {
        let limit = self.candidate_limit();
        let in_zone = move |zone| {
            let permitted = self.ring_in_zone(zone).filter(|s| self.permitted(s, request));
            super::selection::collect_servers(permitted.take(limit))
        };
        let by_zone = self.settings.zones.is_some();
        let mut whole_ring = (!by_zone).then_some(None);
        let mut zones = if by_zone { self.zone_order(request, draw) } else { Vec::new() }.into_iter();
        let mut postponed = VecDeque::new();
        std::iter::from_fn(move || {
            while let Some(zone) = whole_ring.take().or_else(|| zones.next().map(Some)) {
                let servers = in_zone(zone);
                if servers.is_empty() {
                    continue;
                }
                let trial = by_zone && self.is_trial(request, zone, trial_draw);
                let healthy = |s: &&Server| s.ejected_until.is_none() && !self.broken_for(s, request.class);
                if !by_zone || servers.iter().any(|s| healthy(s) || trial && self.due_for_trial(s)) {
                    return Some((zone, servers));
                }
                postponed.push_back((zone, servers));
            }
            postponed.pop_front()
        })
    }

    /// Records an attempt for its zone: the part of the latency target that it took, and whether it failed.
    /// The failure of one class at a server that serves others is no failure of the zone, and neither is a
    /// rejection by an overloaded server.
    pub(super) fn record_zone_outcome(
        &mut self,
        end: &AttemptEnd,
        class: Option<usize>,
        target: Duration,
        overdue: bool,
    ) {
        let (now, window_s) = (self.now, self.settings.rules.overload_time.as_secs_f64());
        if self.settings.zones.is_none() {
            return;
        }
        let Some(server) = self.servers.get_mut(&end.server) else { return };
        let observation = match end.outcome {
            Outcome::Served => Observation::Served,
            Outcome::Error | Outcome::Reset | Outcome::ConnectFailed => Observation::Failed,
            Outcome::TimedOut => Observation::TimedOut,
            Outcome::Cancelled if overdue => Observation::TimedOut,
            _ => return,
        };
        let failed = observation != Observation::Served;
        let serves_others =
            class.and_then(|class| server.misses.get(&class)).is_some_and(|(_, serves)| *serves);
        if failed && serves_others {
            return;
        }
        server.last_seen = Some((observation, now));
        let ratio = if failed { 1.0 } else { (end.elapsed.as_secs_f64() / target.as_secs_f64()).min(1.0) };
        if let Some(zone) = self.zones.get_mut(&server.entry.zone) {
            zone.latency_ratios.add(now, window_s, ratio);
            zone.outcomes.add(now, window_s, 1.0);
        }
    }

    /// Updates states and shares, eight times within [`Rules::overload_time`] at most unless `force` is set.
    pub(super) fn update_zones(&mut self, force: bool, actions: &mut Vec<Action>) {
        let (now, window) = (self.now, self.settings.rules.overload_time);
        if self.settings.zones.is_none() || !force && now < self.zones_updated_at + window / 8 {
            return;
        }
        let Some(config) = self.settings.zones.clone() else { return };
        let elapsed_s = now.saturating_sub(self.zones_updated_at).min(window / 2).as_secs_f64();
        self.zones_updated_at = now;
        let mut zones = std::mem::take(&mut self.zones);
        self.refresh_zone_stats(&mut zones, window);
        let ready_servers: usize = zones.values().map(|z| z.ready).sum();
        if ready_servers > 0 {
            self.update_states(&mut zones, &config, actions);
            self.update_shares(&mut zones, &config, elapsed_s, ready_servers);
        }
        self.zones = zones;
    }

    /// The state machine of each zone.
    fn update_states(&self, zones: &mut BTreeMap<u8, Zone>, config: &Zones, actions: &mut Vec<Action>) {
        let now = self.now;
        let works = |z: &Zone| z.ready > 0 && z.unhealthy < FAILOVER_ABOVE && z.evacuated_until.is_none();
        let working = zones.values().filter(|z| works(z)).count();
        let largest = zones.values().map(|z| z.share).fold(0.0, f64::max);
        for (id, zone) in zones.iter_mut() {
            zone.evacuated_until = zone.evacuated_until.filter(|until| *until > now);
            let ramp = config.failback_time * zone.backoff.max(1);
            let next = match zone.state {
                _ if zone.evacuated_until.is_some() && working == 0 => ZoneState::EvacuationSuspended,
                _ if zone.evacuated_until.is_some() => ZoneState::Evacuated,
                // With no zone to fail over to, none fails over.
                ZoneState::Healthy | ZoneState::FailingBack | ZoneState::FailedOver
                    if zone.unhealthy > FAILOVER_ABOVE && working > 0 =>
                {
                    ZoneState::FailedOver
                }
                ZoneState::FailedOver if zone.unhealthy >= HEALTHY_BELOW => ZoneState::FailedOver,
                ZoneState::FailedOver | ZoneState::Evacuated | ZoneState::EvacuationSuspended => {
                    ZoneState::FailingBack
                }
                ZoneState::FailingBack if now < zone.since + ramp && zone.share < largest => {
                    ZoneState::FailingBack
                }
                _ => ZoneState::Healthy,
            };
            if next == zone.state {
                // Long after its last relapse, a zone may fail back faster again.
                zone.backoff = if now > zone.since + 2 * ramp { zone.backoff / 2 } else { zone.backoff };
                continue;
            }
            if next == ZoneState::FailingBack {
                // Load and latency from before the failover are out of date.
                (zone.admission, zone.latency_ratios, zone.outcomes) =
                    (2.0, DecayedRate::default(), DecayedRate::default());
            }
            if next == ZoneState::FailedOver {
                zone.share /= if zone.state == ZoneState::FailingBack { 2.0 } else { 1.0 };
                zone.backoff = (2 * zone.backoff).clamp(1, MAX_BACKOFF);
            }
            let text =
                format!("zone {id}: {} after {}, unhealthy share {:.2}", next, zone.state, zone.unhealthy);
            actions.push(Action::Log { text });
            (zone.state, zone.since) = (next, now);
        }
    }

    /// Moves the shares by distance, latency and state, then scales them to a sum of 1.
    fn update_shares(
        &self,
        zones: &mut BTreeMap<u8, Zone>,
        config: &Zones,
        elapsed_s: f64,
        ready_servers: usize,
    ) {
        let (now, window_s) = (self.now, self.settings.rules.overload_time.as_secs_f64());
        let base_rate = FAILBACK_LOG_GROWTH / config.failback_time.as_secs_f64().max(1.0);
        let target = self.settings.classes.iter().map(|class| class.latency_target).min().unwrap_or_default();
        let target_s = target.as_secs_f64().max(1e-3);
        let known = zones.values().filter(|z| z.ready > 0).filter_map(|z| z.latency_ratio(now, window_s));
        let best = known.fold(1.0, f64::min);
        let present = |z: &&Zone| z.ready > 0 && z.state != ZoneState::Evacuated;
        let least_unhealthy = zones.values().filter(present).map(|z| z.unhealthy).fold(1.0, f64::min);
        // Distance is counted from the nearest healthy zone. A nearer zone that fails back grows only as fast
        // as its backoff permits.
        let is_healthy = |z: &Zone| z.ready > 0 && z.state == ZoneState::Healthy;
        let healthy = zones.iter().filter(|(_, z)| is_healthy(z)).map(|(id, _)| self.distance(*id).0);
        let healthy = healthy.fold(f64::MAX, f64::min);
        let nearest = zones.iter().filter(|(_, z)| present(z)).map(|(id, _)| self.distance(*id).0);
        let nearest = if healthy < f64::MAX { healthy } else { nearest.fold(f64::MAX, f64::min) };
        let initial = zones.values().all(|z| z.share == 0.0);
        let others = (zones.len() as f64 - 1.0).max(1.0);
        for (id, zone) in zones.iter_mut() {
            let (step, round_trip) = self.distance(*id);
            let farther = (step - nearest).max(-1.0);
            if initial {
                zone.share = if farther <= 0.0 { 1.0 } else { 0.0 };
            }
            // A zone without observations is taken to be as fast as the best, plus the round trip.
            let ratio = zone
                .latency_ratio(now, window_s)
                .unwrap_or(best + round_trip.as_secs_f64() / target_s)
                .min(1.0);
            let price = if step > 0.0 { self.settings.prices.cross_zone } else { 0.0 };
            let mut rate = -base_rate * farther - base_rate / LATENCY_TOLERANCE * (ratio - best + price);
            if zone.state == ZoneState::FailingBack {
                rate = rate.min(base_rate / f64::from(zone.backoff.max(1)));
            }
            if zone.state == ZoneState::FailedOver || zone.state == ZoneState::Evacuated {
                rate = rate.min(-FAILOVER_DECAY_PER_S);
            }
            zone.share *= (rate * elapsed_s).exp();
            if least_unhealthy > FAILOVER_ABOVE {
                // All zones fail: each is used in proportion to its size.
                zone.share +=
                    (zone.ready as f64 / ready_servers as f64 - zone.share) * (1.0 - (-elapsed_s).exp());
            }
        }
        let sum: f64 = zones.values().map(|z| z.share).sum();
        for zone in zones.values_mut() {
            let floor = match zone.state {
                ZoneState::Evacuated => 0.0,
                ZoneState::FailedOver => TRIAL_SHARE,
                _ => MIN_OTHERS_SHARE / others,
            };
            let share = if sum > 0.0 { zone.share / sum } else { 1.0 };
            zone.share = if zone.ready == 0 { 0.0 } else { share.max(floor) };
        }
        let sum: f64 = zones.values().map(|z| z.share).sum();
        zones.values_mut().for_each(|z| z.share /= sum.max(1e-9));
    }

    /// Starts or ends an evacuation by operators. It is refused for the last zone that works.
    pub(super) fn on_evacuate(&mut self, zone: u8, duration: Option<Duration>, actions: &mut Vec<Action>) {
        let until = duration.map(|duration| self.now + duration);
        self.zones.entry(zone).and_modify(|z| z.evacuated_until = until);
        self.update_zones(true, actions);
        if self.zones.get(&zone).is_some_and(|z| z.state == ZoneState::EvacuationSuspended) {
            self.zones.entry(zone).and_modify(|z| z.evacuated_until = None);
            self.update_zones(true, actions);
        }
    }
}
