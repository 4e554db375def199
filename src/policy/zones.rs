//! Zones: how own requests are shared out among them. Within a zone the ordinary path decides. Shares move
//! little by little, as costs differ: towards the nearest zone, away from where requests take more of their
//! time, away fast from where most servers fail, and back slowly.

use super::constants::SMOOTH;
use crate::interface::*;
use crate::state::{Balancer, Rate, Request, Server, Sign, Zone};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// A nearer zone may take so much more of a request's aim before a farther one is preferred: an eighth, which
/// is over the chance differences of zones alike.
const MARGIN: f64 = 1.0 / 8.0;
/// A zone that is left, or evacuated, loses its share by a factor of e in so many parts of a second: nineteen
/// in twenty within two seconds.
const HARD: f64 = 1.5;
/// What all zones but the nearest get at least, together: news of how they do.
const FLOOR: f64 = 1.0 / 64.0;
/// What a zone that was left gets for trials: at ten requests a second one in three seconds.
const TRIALS: f64 = 1.0 / 32.0;
/// A return begins at a hundredth and ends at nearly all; this is the logarithm of that.
const SPAN: f64 = 4.6;
/// More than half of a zone's servers fail: it is left. Fewer than a quarter do: it may return.
const LEFT: f64 = 0.5;
const SOUND: f64 = 0.25;
/// A zone that relapses again and again returns no more slowly than this many times.
const MOST_CAUTION: u32 = 8;

impl Balancer {
    /// The zone that a server counts in, where the node goes by zones.
    pub(super) fn zone_of(&self, server: &Server) -> Option<u8> {
        self.settings.zones.as_ref().map(|_| server.entry.zone)
    }

    /// The ring, or the part of it that lies in a zone.
    pub(super) fn ring_in(&self, zone: Option<u8>) -> impl Iterator<Item = &Server> {
        self.ring(zone).filter(move |server| zone.is_none_or(|zone| server.entry.zone == zone))
    }

    /// The parts of the ring that are used each by itself: the zones, or the whole.
    pub(super) fn parts(&self) -> Vec<Option<u8>> {
        match self.settings.zones {
            None => vec![None],
            Some(_) => {
                self.zones.iter().filter(|(_, it)| it.ready > 0).map(|(zone, _)| Some(*zone)).collect()
            }
        }
    }

    /// The share of own requests that goes to a part of the ring.
    pub(super) fn share_of(&self, zone: Option<u8>) -> f64 {
        zone.map_or(1.0, |zone| self.zones.get(&zone).map_or(0.0, |it| it.share))
    }

    /// A zone gets so little that each request there is a trial.
    pub(super) fn on_trial(&self, zone: Option<u8>) -> bool {
        zone.is_some() && self.share_of(zone) <= TRIALS
    }

    /// The zones in the order in which a request looks for a server. The first is drawn by the shares; what
    /// can't be answered from there in time, and what must not leave or had better leave the zone of an
    /// earlier attempt, goes by that.
    fn zone_order(&self, request: &Request, draw: f64) -> Vec<u8> {
        let mut order: Vec<_> = self.zones.iter().filter(|(_, it)| it.ready > 0).collect();
        let (mut rest, mut first) = (draw, None);
        for (zone, it) in &order {
            rest -= it.share;
            if first.is_none() && rest < 0.0 {
                first = Some(**zone);
            }
        }
        let once = request.terms.class.retry_safety != RetrySafety::Idempotent;
        let tried = request.attempts.iter().rfind(|a| a.may_have_run()).map(|a| a.to.zone);
        let left = request.until.saturating_sub(self.now);
        let rank = |zone: u8, it: &Zone| {
            let (step, round_trip) = self.distance(zone);
            let in_time = round_trip + self.median(request.class) <= left;
            // Trials are for what may be sent again; seldom another, or a class of others would never tell.
            let trial = it.standing == ZoneState::FailedOver && once && draw * 4.0 % 1.0 > SMOOTH;
            let doubtful = tried == Some(zone) && it.ill > SOUND && !once;
            (!in_time, trial, doubtful, first != Some(zone), it.ill > LEFT, step)
        };
        order.sort_by(|(a, x), (b, y)| {
            let (x, y) = (rank(**a, x), rank(**b, y));
            x.partial_cmp(&y).unwrap_or(std::cmp::Ordering::Equal)
        });
        order.into_iter().map(|(zone, _)| *zone).collect()
    }

    /// The servers to choose from, a zone at a time: first the zones that have a sound one for this request.
    pub(super) fn candidates<'a>(
        &'a self,
        request: &'a Request,
        draw: f64,
        luck: f64,
    ) -> impl Iterator<Item = (Option<u8>, Vec<&'a Server>)> {
        let enough = self.candidate_limit();
        let of = move |zone| {
            let permitted = self.ring_in(zone).filter(|s| self.permitted(s, request));
            super::selection::few(permitted.take(enough))
        };
        let by_zone = self.settings.zones.is_some();
        let mut whole = (!by_zone).then_some(None);
        let mut zones = if by_zone { self.zone_order(request, draw) } else { Vec::new() }.into_iter();
        let mut put_off = VecDeque::new();
        std::iter::from_fn(move || {
            while let Some(zone) = whole.take().or_else(|| zones.next().map(Some)) {
                let here = of(zone);
                if here.is_empty() {
                    continue;
                }
                let trial = by_zone && self.is_trial(request, zone, luck);
                let sound = |s: &&Server| s.ejected.is_none() && !self.broken_for(s, request.class);
                if !by_zone || here.iter().any(|s| sound(s) || trial && self.is_due(s)) {
                    return Some((zone, here));
                }
                put_off.push_back((zone, here));
            }
            put_off.pop_front()
        })
    }

    /// What an attempt came to, for its zone: the part of its aim that it took, and whether it failed. A
    /// failure of one class at a server that serves others is not the zone's; a full server is no failure.
    pub(super) fn zone_saw(&mut self, end: &AttemptEnd, class: Option<usize>, aim: Duration, late: bool) {
        let (now, over) = (self.now, self.settings.rules.overload_time.as_secs_f64());
        if self.settings.zones.is_none() {
            return;
        }
        let Some(server) = self.servers.get_mut(&end.server) else { return };
        let sign = match end.outcome {
            Outcome::Served => Sign::Served,
            Outcome::Error | Outcome::Reset | Outcome::ConnectFailed => Sign::Failed,
            Outcome::TimedOut => Sign::Silent,
            Outcome::Cancelled if late => Sign::Silent,
            _ => return,
        };
        let failed = sign != Sign::Served;
        let serves_others =
            class.and_then(|class| server.missed.get(&class)).is_some_and(|(_, serves)| *serves);
        if failed && serves_others {
            return;
        }
        server.last = Some((sign, now));
        let took = if failed { 1.0 } else { (end.elapsed.as_secs_f64() / aim.as_secs_f64()).min(1.0) };
        if let Some(zone) = self.zones.get_mut(&server.entry.zone) {
            zone.cost.add(now, over, took);
            zone.seen.add(now, over, 1.0);
        }
    }

    /// Reckons the shares anew, a few times within the time of an overload, or at once.
    pub(super) fn tend_zones(&mut self, at_once: bool, actions: &mut Vec<Action>) {
        let (now, window) = (self.now, self.settings.rules.overload_time);
        if self.settings.zones.is_none() || !at_once && now < self.zones_at + window / 8 {
            return;
        }
        let Some(plan) = self.settings.zones.clone() else { return };
        let passed = now.saturating_sub(self.zones_at).min(window / 2).as_secs_f64();
        self.zones_at = now;
        let mut zones = std::mem::take(&mut self.zones);
        self.look_at(&mut zones, window);
        let all: usize = zones.values().map(|it| it.ready).sum();
        if all > 0 {
            self.stand(&mut zones, &plan, actions);
            self.share_out(&mut zones, &plan, passed, all);
        }
        self.zones = zones;
    }

    /// How each zone stands: what makes it so, and what ends it.
    fn stand(&self, zones: &mut BTreeMap<u8, Zone>, plan: &Zones, actions: &mut Vec<Action>) {
        let now = self.now;
        let works = |it: &Zone| it.ready > 0 && it.ill < LEFT && it.evacuated.is_none();
        let working = zones.values().filter(|it| works(it)).count();
        let largest = zones.values().map(|it| it.share).fold(0.0, f64::max);
        for (zone, it) in zones.iter_mut() {
            it.evacuated = it.evacuated.filter(|until| *until > now);
            let back = plan.failback_time * it.caution.max(1);
            let next = match it.standing {
                _ if it.evacuated.is_some() && working == 0 => ZoneState::EvacuationSuspended,
                _ if it.evacuated.is_some() => ZoneState::Evacuated,
                // Where no zone works, none is left.
                ZoneState::Healthy | ZoneState::FailingBack | ZoneState::FailedOver
                    if it.ill > LEFT && working > 0 =>
                {
                    ZoneState::FailedOver
                }
                ZoneState::FailedOver if it.ill >= SOUND => ZoneState::FailedOver,
                ZoneState::FailedOver | ZoneState::Evacuated | ZoneState::EvacuationSuspended => {
                    ZoneState::FailingBack
                }
                ZoneState::FailingBack if now < it.since + back && it.share < largest => {
                    ZoneState::FailingBack
                }
                _ => ZoneState::Healthy,
            };
            if next == it.standing {
                // Long after its last relapse a zone is trusted as before.
                it.caution = if now > it.since + 2 * back { it.caution / 2 } else { it.caution };
                continue;
            }
            if next == ZoneState::FailingBack {
                // How crowded and slow it was before it was left says nothing now.
                (it.taken, it.cost, it.seen) = (2.0, Rate::default(), Rate::default());
            }
            if next == ZoneState::FailedOver {
                it.share /= if it.standing == ZoneState::FailingBack { 2.0 } else { 1.0 };
                it.caution = (2 * it.caution).clamp(1, MOST_CAUTION);
            }
            let text =
                format!("zone {zone}: {} after {}, {:.2} of its servers ill", next, it.standing, it.ill);
            actions.push(Action::Log { text });
            (it.standing, it.since) = (next, now);
        }
    }

    /// Moves the shares by what each zone costs, and so that they sum to 1.
    fn share_out(&self, zones: &mut BTreeMap<u8, Zone>, plan: &Zones, passed: f64, all: usize) {
        let (now, over) = (self.now, self.settings.rules.overload_time.as_secs_f64());
        let pull = SPAN / plan.failback_time.as_secs_f64().max(1.0);
        let aim = self.settings.classes.iter().map(|class| class.latency_target).min().unwrap_or_default();
        let aim = aim.as_secs_f64().max(1e-3);
        let known = zones.values().filter(|it| it.ready > 0).filter_map(|it| it.slow(now, over));
        let usual = known.fold(1.0, f64::min);
        let present = |it: &&Zone| it.ready > 0 && it.standing != ZoneState::Evacuated;
        let least = zones.values().filter(present).map(|it| it.ill).fold(1.0, f64::min);
        // Nearness counts from the nearest that is sound: who returns to a nearer one goes by its caution.
        let settled = |it: &Zone| it.ready > 0 && it.standing == ZoneState::Healthy;
        let sound = zones.iter().filter(|(_, it)| settled(it)).map(|(zone, _)| self.distance(*zone).0);
        let sound = sound.fold(f64::MAX, f64::min);
        let nearest = zones.iter().filter(|(_, it)| present(it)).map(|(zone, _)| self.distance(*zone).0);
        let nearest = if sound < f64::MAX { sound } else { nearest.fold(f64::MAX, f64::min) };
        let fresh = zones.values().all(|it| it.share == 0.0);
        let others = (zones.len() as f64 - 1.0).max(1.0);
        for (zone, it) in zones.iter_mut() {
            let (step, round_trip) = self.distance(*zone);
            let near = (step - nearest).max(-1.0);
            if fresh {
                it.share = if near <= 0.0 { 1.0 } else { 0.0 };
            }
            // What is not known is taken to be as the best is, but for the way there.
            let slow = it.slow(now, over).unwrap_or(usual + round_trip.as_secs_f64() / aim).min(1.0);
            let price = if step > 0.0 { self.settings.prices.cross_zone } else { 0.0 };
            let mut speed = -pull * near - pull / MARGIN * (slow - usual + price);
            if it.standing == ZoneState::FailingBack {
                speed = speed.min(pull / f64::from(it.caution.max(1)));
            }
            if it.standing == ZoneState::FailedOver || it.standing == ZoneState::Evacuated {
                speed = speed.min(-HARD);
            }
            it.share *= (speed * passed).exp();
            if least > LEFT {
                // All is bad: all is used, by its size.
                it.share += (it.ready as f64 / all as f64 - it.share) * (1.0 - (-passed).exp());
            }
        }
        let sum: f64 = zones.values().map(|it| it.share).sum();
        for it in zones.values_mut() {
            let floor = match it.standing {
                ZoneState::Evacuated => 0.0,
                ZoneState::FailedOver => TRIALS,
                _ => FLOOR / others,
            };
            let share = if sum > 0.0 { it.share / sum } else { 1.0 };
            it.share = if it.ready == 0 { 0.0 } else { share.max(floor) };
        }
        let sum: f64 = zones.values().map(|it| it.share).sum();
        zones.values_mut().for_each(|it| it.share /= sum.max(1e-9));
    }

    /// The staff want a zone empty for a time, or not any more. Where no other works it is not taken.
    pub(super) fn on_evacuate(&mut self, zone: u8, lasts: Option<Duration>, actions: &mut Vec<Action>) {
        let until = lasts.map(|lasts| self.now + lasts);
        self.zones.entry(zone).and_modify(|it| it.evacuated = until);
        self.tend_zones(true, actions);
        if self.zones.get(&zone).is_some_and(|it| it.standing == ZoneState::EvacuationSuspended) {
            self.zones.entry(zone).and_modify(|it| it.evacuated = None);
            self.tend_zones(true, actions);
        }
    }
}
