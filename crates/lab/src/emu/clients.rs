//! Clients: they come whether or not they are answered, wait, leave, and come again.

use super::fates::{Fate, First};
use super::plan::{ANSWER_SLACK, Plan};
use super::world::*;
use crate::judge::{Cause, Closed};
use crate::time::{FOREVER, Nanos, in_secs, secs};
use hillpick::{DedupScope, Event, NewRequest, RequestId, RetrySafety};
use rand::Rng;
use rand_distr::{Distribution, Exp1};

/// What `chance` is drawn for.
const OF_REQUEST: u64 = 11;
const OF_RETRY: u64 = 12;

impl World {
    /// How many times the usual number of clients come from each zone now.
    fn flash(&self, zone: usize) -> f64 {
        let here = |only: &Option<u8>| only.is_none_or(|only| usize::from(only) == zone);
        let factors = self.trouble.flash.iter().filter(|(_, _, only)| here(only));
        factors.fold(1.0, |all, (_, factor, _)| all * factor)
    }

    /// The part of the requests that comes from a zone.
    fn demand(&self, zone: usize) -> f64 {
        let up_to = &self.plan.demand;
        up_to[zone] - if zone == 0 { 0.0 } else { up_to[zone - 1] }
    }

    /// Sets the next client's coming. Rates change now and then: clients come at the highest rate of the day, and
    /// those that are too many are sent away unseen.
    pub fn next_arrival(&mut self) {
        let highest = self.plan.rate * self.plan.experiment.highest_flash();
        if highest <= 0.0 || self.requests.len() as u64 >= self.most_requests {
            return;
        }
        let gap: f64 = Exp1.sample(&mut self.arrivals);
        let at = self.now.saturating_add(secs(gap / highest).max(1));
        if at < self.plan.ends {
            self.queue.push(at, Ev::Arrive);
        }
    }

    /// A client comes.
    pub fn arrive(&mut self) {
        self.next_arrival();
        let draw: f64 = self.arrivals.random();
        let zones = self.plan.zones.len();
        let zone = if self.trouble.flash.is_empty() {
            if draw >= 1.0 / self.plan.experiment.highest_flash() {
                return;
            }
            None
        } else {
            let parts: Vec<_> = (0..zones).map(|zone| self.demand(zone) * self.flash(zone)).collect();
            let mut left = draw * self.plan.experiment.highest_flash();
            let found = parts.iter().position(|part| {
                left -= part;
                left < 0.0
            });
            if found.is_none() {
                return;
            }
            found
        };
        let number = self.requests.len() as RequestNo;
        let mut random = chance(self.seed, OF_REQUEST, number.into());
        let zone = zone.unwrap_or_else(|| Plan::pick(&self.plan.demand, random.random()));
        let draw: f64 = random.random();
        let class = self.plan.classes.partition_point(|c| c.up_to <= draw).min(self.plan.classes.len() - 1);
        let clients = &self.plan.experiment.clients;
        let kind = &self.plan.classes[class];
        let mut work = kind.mean * kind.work.draw(&mut random);
        let key = if clients.keys > 0 { random.random_range(1..=clients.keys) } else { 0 };
        let tenant = match (clients.tenants, self.plan.tenants.is_empty()) {
            (0, _) => 0,
            (tenants, true) => random.random_range(0..tenants),
            _ => Plan::pick(&self.plan.tenants, random.random()),
        };
        let inside = clients.tenants == 0 || self.allowances.take(tenant, self.now);
        for (_, part, times, only) in &self.trouble.heavy {
            if only.is_none_or(|only| usize::from(only) == class) && random.random::<f64>() < *part {
                work *= times;
            }
        }
        self.requests.push(Request {
            class: class as u8,
            zone: zone as u8,
            tenant: tenant as u16,
            inside,
            key,
            work,
            asked: self.now,
            tries: 0,
            first: First::Only,
            cause: Cause::default(),
            closed: false,
        });
        self.open += 1;
        self.try_it(number);
    }

    /// The front's choice for a client of a zone, as `draw` falls: a node of the zone, or else any other.
    fn front(&self, zone: u8, draws: &mut impl Rng) -> Option<NodeNo> {
        let here = &self.fronts[usize::from(zone)];
        if let Some((_, all)) = here.last() {
            for _ in 0..16 {
                let draw = draws.random::<f64>() * all;
                let at = here.partition_point(|(_, sum)| *sum <= draw).min(here.len() - 1);
                if self.nodes[here[at].0 as usize].front {
                    return Some(here[at].0);
                }
            }
        }
        let up: Vec<_> =
            here.iter().map(|(node, _)| *node).filter(|n| self.nodes[*n as usize].front).collect();
        let up = if up.is_empty() {
            let all = (0..self.nodes.len() as NodeNo).filter(|n| self.nodes[*n as usize].front);
            all.collect()
        } else {
            up
        };
        (!up.is_empty()).then(|| up[draws.random_range(0..up.len())])
    }

    /// A client tries, for the first time or again.
    pub fn try_it(&mut self, number: RequestNo) {
        let request = &mut self.requests[number as usize];
        request.tries += 1;
        let (zone, asked, tries) = (request.zone, request.asked, request.tries);
        let deadline = self.plan.classes[usize::from(request.class)].deadline;
        let mut random = chance(self.seed, OF_RETRY + u64::from(tries) * 16, number.into());
        let [low, high] = self.plan.experiment.clients.patience;
        let patience = low + (high - low) * random.random::<f64>();
        let left = asked.saturating_add(deadline).saturating_sub(self.now);
        let patient = if deadline >= FOREVER { FOREVER } else { (deadline as f64 * patience) as Nanos };
        let until = self.now.saturating_add(patient.min(left));
        self.judge.tally.tries += 1;
        let node = self.front(zone, &mut random);
        let of = self.tries.len() as TryNo;
        let (at, life) = node.map_or((0, 0), |node| (node, self.nodes[node as usize].life));
        self.tries.push(Try {
            request: number,
            node: at,
            life,
            sent: self.now,
            until,
            due: NOT_THERE,
            attempts: Vec::new(),
            answer: None,
            over: false,
            left: false,
        });
        let Some(node) = node else {
            return self.queue.push(self.now, Ev::Unreachable(of));
        };
        let there = self.now + self.latency(zone, self.nodes[node as usize].zone);
        self.queue.push(there, Ev::Reach(of));
        if until < FOREVER {
            self.queue.push(until, Ev::Leave(of));
        }
    }

    /// A try is at its node, which runs: the node owes it a final answer from now on.
    pub fn reach(&mut self, of: TryNo) {
        let it = &mut self.tries[of as usize];
        if it.over {
            return; // its client has left before the node read it
        }
        let (node, request, remaining) = (it.node, it.request, it.until.saturating_sub(it.sent));
        it.life = self.nodes[node as usize].life;
        it.due = self.now.saturating_add(remaining);
        if remaining < FOREVER / 2 {
            self.queue.push(it.due + ANSWER_SLACK, Ev::Overdue(of));
        }
        self.nodes[node as usize].open.insert(of);
        let request = &self.requests[request as usize];
        let clients = &self.plan.experiment.clients;
        let off = clients.hint;
        let cost = clients.hints.then(|| {
            let mut random = chance(self.seed, OF_RETRY + 1, it.request.into());
            crate::time::duration(secs(request.work * (1.0 + off * (2.0 * random.random::<f64>() - 1.0))))
        });
        let new = NewRequest {
            id: RequestId(u64::from(of) + 1),
            class: request.class.into(),
            tenant: request.tenant.into(),
            key: request.key,
            remaining: crate::time::duration(remaining),
            cost,
            client_retry: clients.mark_retries && request.tries > 1,
            ..NewRequest::default()
        };
        self.tell(node, Event::Request(new));
    }

    /// A node's final answer is with the client.
    pub fn reply(&mut self, of: TryNo) {
        let it = &mut self.tries[of as usize];
        if it.over {
            return;
        }
        it.over = true;
        let (request, answer, unsent) = (it.request, it.answer, it.attempts.is_empty());
        let further = (it.attempts.len() as u64).saturating_sub(1);
        let by_further = match answer {
            Some(Answer::Served(by)) => u64::from(self.attempts[by as usize].number > 0),
            _ => 0,
        };
        self.judge.tally.in_vain += further - by_further;
        match answer {
            Some(Answer::Served(by)) => {
                let found = self.attempts[by as usize].found;
                self.close(request, Fate::Answered(found));
            }
            Some(Answer::Refused(wait)) => self.again(of, wait, true, Fate::Refused),
            // The operators count what failed without an attempt among what was refused.
            Some(Answer::Failed) if unsent => self.again(of, None, false, Fate::Refused),
            Some(Answer::Failed) | None => self.again(of, None, false, Fate::Failed),
        }
    }

    /// A client gives a try up.
    pub fn leave(&mut self, of: TryNo) {
        let it = &mut self.tries[of as usize];
        if it.over {
            return;
        }
        it.over = true;
        let (node, zone) = (it.node, self.requests[it.request as usize].zone);
        // Its time was up: that frees the node of no answer, which is due a little longer.
        let after = if it.due == NOT_THERE { 0 } else { it.due + ANSWER_SLACK + 1 };
        self.judge.tally.in_vain += (it.attempts.len() as u64).saturating_sub(1);
        let there = self.now + self.latency(zone, self.nodes[node as usize].zone);
        self.queue.push(there.max(after), Ev::Gone(of));
        self.again(of, None, false, Fate::Failed);
    }

    /// A client learns that its node is dead, or that there is none.
    pub fn unreachable(&mut self, of: TryNo) {
        let it = &mut self.tries[of as usize];
        if it.over {
            return;
        }
        it.over = true;
        let request = it.request;
        let cause = &mut self.requests[request as usize].cause;
        *cause = (*cause).max(Cause::NoNode);
        self.again(of, None, true, Fate::Failed);
    }

    /// A try has come to nothing: of the first, it is noted how.
    fn note_first(&mut self, of: TryNo, fate: Fate) {
        let it = &self.tries[of as usize];
        let request = &mut self.requests[it.request as usize];
        if request.tries == 1 {
            request.first = match it.attempts.last() {
                Some(last) => First::Waited(self.attempts[*last as usize].found),
                None if fate == Fate::Refused => First::Refused,
                None => First::Lost,
            };
        }
    }

    /// After a try without success: another, if its class and its time allow, or the end, with this fate. `harmless`:
    /// it was refused, or its node could not be reached.
    fn again(&mut self, of: TryNo, told: Option<Nanos>, harmless: bool, fate: Fate) {
        self.note_first(of, fate);
        let number = self.tries[of as usize].request;
        let request = &self.requests[number as usize];
        let class = &self.plan.classes[usize::from(request.class)];
        let repeats = match class.repeat {
            RetrySafety::Idempotent => true,
            RetrySafety::Keyed { scope: DedupScope::All, window } => {
                harmless || u128::from(self.now - request.asked) < window.as_nanos()
            }
            RetrySafety::Keyed { .. } | RetrySafety::NonIdempotent => harmless,
        };
        let clients = &self.plan.experiment.clients;
        let storm = self.trouble.storm.iter().map(|(_, retries)| *retries).max();
        let retries = storm.map_or(clients.retries, |retries| retries.max(clients.retries));
        let mut random = chance(self.seed, OF_RETRY + 2 + u64::from(request.tries) * 16, number.into());
        let [low, high] = clients.wait;
        let wait = secs((low + (high - low) * random.random::<f64>()) * self.plan.unit);
        let told = told.filter(|_| clients.obey_retry_after).unwrap_or_default();
        let wait = if storm.is_some() { 0 } else { wait.max(told) };
        let at = self.now.saturating_add(wait);
        let ends = request.asked.saturating_add(class.deadline);
        if repeats && request.tries <= retries && at < ends {
            self.queue.push(at, Ev::Retry(number));
        } else {
            self.close(number, fate);
        }
    }

    /// The end of a request is known.
    pub fn close(&mut self, number: RequestNo, fate: Fate) {
        let request = &mut self.requests[number as usize];
        if std::mem::replace(&mut request.closed, true) {
            return;
        }
        self.open -= 1;
        let class = &self.plan.classes[usize::from(request.class)];
        let over = if request.inside { 1.0 } else { self.plan.experiment.clients.over_share_worth };
        let answered = matches!(fate, Fate::Answered(_));
        let in_time = answered && self.now - request.asked <= class.aim;
        self.fates.count(fate, in_time, request.first);
        self.judge.tally.late += u64::from(answered && !in_time);
        if answered && u64::from(number) >= self.measure_from {
            self.responses.0 += in_secs(self.now - request.asked);
            self.responses.1 += 1;
        }
        if in_time {
            self.judge.tally.work_served += request.work;
        }
        self.judge.close(Closed {
            class: request.class.into(),
            tenant: (self.plan.experiment.clients.tenants > 0)
                .then_some((request.tenant.into(), request.inside)),
            zone: request.zone.into(),
            asked: request.asked,
            worth: class.worth * over * request.work / self.plan.unit,
            work: request.work,
            served: in_time.then_some(self.now),
            cause: request.cause,
        });
    }
}
