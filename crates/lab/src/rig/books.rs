//! What the rig knows of requests: what clients asked, what servers ran, what nodes were told. The judge's rules are
//! checked here, on what real sockets showed.

use crate::cold::{Cold, ColdModel};
use crate::judge::{Cause, Judge, Rule};
use crate::time::{Nanos, duration};
use hillpick::{DedupScope, RetrySafety};
use std::collections::HashMap;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// Each time limit of the rules grows by so much on sockets (the protocol's figure).
const SLACK: Duration = Duration::from_millis(50);

/// A run of a request at a server.
#[derive(Clone, Copy, Debug)]
struct Ran {
    server: usize,
    cell: usize,
    zone: usize,
    at: Nanos,
}

/// A request as its client sent it, one for each try.
#[derive(Clone, Debug)]
pub struct Asked {
    /// The class.
    pub class: usize,
    /// The node.
    pub node: usize,
    /// Its work.
    pub work: Duration,
    ran: Vec<Ran>,
    /// What a server answered it with, whole.
    answers: Vec<String>,
    /// It has come to a server, whether that ran it or turned it away.
    sent_on: bool,
    /// What befell it.
    pub cause: Cause,
}

impl Asked {
    /// Whether it has come to a server.
    pub fn has_arrived(&self) -> bool {
        !self.ran.is_empty()
    }
}

struct Kept {
    judge: Judge,
    asked: HashMap<String, Asked>,
    /// By node and server: since when it is told to send there nothing new, and the start that it was told of.
    told: Vec<Vec<(Option<Nanos>, Option<Nanos>)>>,
    cold: Vec<Cold>,
    /// By node: from when to when it may not have heard what discovery had to tell, a span for each fault.
    deaf: Vec<Vec<(Nanos, Nanos)>>,
    /// By server: work answered, in s.
    work: Vec<f64>,
}

/// Where things are.
pub struct Zones {
    /// Of each node.
    pub nodes: Vec<usize>,
    /// Of each server.
    pub servers: Vec<usize>,
}

/// The books of a rig.
pub struct Books {
    started: Instant,
    repeats: Vec<RetrySafety>,
    drain_grace: Duration,
    cold: ColdModel,
    zones: Zones,
    /// When the day began.
    begun: AtomicU64,
    kept: Mutex<Kept>,
}

impl Books {
    /// Empty ones.
    pub fn new(
        judge: Judge,
        repeats: Vec<RetrySafety>,
        drain_grace: Duration,
        cold: ColdModel,
        zones: Zones,
    ) -> Self {
        let (nodes, servers) = (zones.nodes.len(), zones.servers.len());
        let mut judge = judge;
        judge.tally.closed_unanswered = Some(0);
        let kept = Kept {
            judge,
            asked: HashMap::new(),
            told: vec![vec![(None, None); servers]; nodes],
            cold: (0..servers).map(|_| Cold::default()).collect(),
            deaf: vec![Vec::new(); nodes],
            work: vec![0.0; servers],
        };
        Books {
            started: Instant::now(),
            repeats,
            drain_grace,
            cold,
            zones,
            begun: AtomicU64::new(0),
            kept: Mutex::new(kept),
        }
    }

    /// The time since the begin.
    pub fn now(&self) -> Nanos {
        self.started.elapsed().as_nanos() as Nanos
    }

    /// The day begins, and the judge counts from here. Returns when that is.
    pub fn begin(&self) -> Nanos {
        let now = self.now();
        self.begun.store(now, Ordering::Relaxed);
        now
    }

    /// A time as the judge counts it.
    pub fn of_day(&self, at: Nanos) -> Nanos {
        at.saturating_sub(self.begun.load(Ordering::Relaxed))
    }

    /// The moment from which times count.
    pub fn started(&self) -> Instant {
        self.started
    }

    fn kept(&self) -> std::sync::MutexGuard<'_, Kept> {
        self.kept.lock().expect("the books")
    }

    /// Lets the judge note something.
    pub fn judge<T>(&self, note: impl FnOnce(&mut Judge) -> T) -> T {
        note(&mut self.kept().judge)
    }

    /// Closes the books: the judge, and the work of each server in s. They are empty from then on.
    pub fn close(&self, empty: Judge) -> (Judge, Vec<f64>) {
        let kept = &mut *self.kept();
        (std::mem::replace(&mut kept.judge, empty), kept.work.clone())
    }

    /// What discovery has to tell a node between two moments counts as told at the later one. What was said of the same
    /// begin before is void.
    pub fn deafen(&self, node: usize, from: Nanos, until: Nanos) {
        let deaf = &mut self.kept().deaf[node];
        deaf.retain(|(begin, _)| *begin != from);
        deaf.push((from, until));
    }

    /// A client sends a request.
    pub fn ask(&self, id: &str, class: usize, node: usize, work: Duration) {
        let asked = Asked {
            class,
            node,
            work,
            ran: Vec::new(),
            answers: Vec::new(),
            sent_on: false,
            cause: Cause::default(),
        };
        let mut kept = self.kept();
        kept.judge.tally.tries += 1;
        kept.asked.insert(id.to_string(), asked);
    }

    /// What was asked under an id, if a client did.
    pub fn asked(&self, id: &str) -> Option<Asked> {
        self.kept().asked.get(id).cloned()
    }

    /// Something befell a request.
    pub fn blame(&self, id: &str, cause: Cause) {
        if let Some(asked) = self.kept().asked.get_mut(id) {
            asked.cause = asked.cause.max(cause);
        }
    }

    /// A node has been told of a server: since when to send it nothing new, and when it started.
    pub fn tell(&self, node: usize, server: usize, stops: bool, started: Option<Nanos>) {
        let now = self.now();
        let told = &mut self.kept().told[node][server];
        *told = (stops.then(|| told.0.unwrap_or(now)), started);
    }

    /// A node has started anew: it has been told nothing.
    pub fn forget(&self, node: usize) {
        self.kept().told[node].iter_mut().for_each(|told| *told = (None, None));
    }

    /// A request has come to a server whole, whose process started when `started` says (`None`: long ago), also one
    /// that it turns away. Returns whether the server falls over.
    pub fn arrive(&self, id: &str, server: usize, started: Option<Nanos>) -> bool {
        let now = self.now();
        let day = self.of_day(now);
        let kept = &mut *self.kept();
        let broke = |judge: &mut Judge, rule, node: usize, what: String| {
            // Ids are sixteen hexadecimal digits, of which the judge keeps the number.
            let number = u64::from_str_radix(id, 16).unwrap_or_default();
            judge.broke(rule, number, node as u32, day, what);
        };
        let Some(asked) = kept.asked.get_mut(id) else {
            broke(
                &mut kept.judge,
                Rule::Form,
                0,
                format!("server {server} got request {id}, which no client sent"),
            );
            return false;
        };
        asked.sent_on = true;
        let (node, work) = (asked.node, asked.work);
        let (stops, told_start) = kept.told[node][server];
        let deaf = &kept.deaf[node];
        let heard = |at: Nanos| {
            let spans = deaf.iter().filter(|(from, until)| (*from..*until).contains(&at));
            spans.map(|(_, until)| *until).max().unwrap_or(at)
        };
        let (stops, hears) = (stops.map(heard), heard(now) == now);
        let (from, to) = (self.zones.nodes[node], self.zones.servers[server]);
        kept.judge.traffic[from][to] += 1;
        kept.judge.tally.cross_zone += u64::from(from != to);
        let grace = (self.drain_grace + SLACK).as_nanos() as Nanos;
        if let Some(since) = stops.filter(|since| now > since.saturating_add(grace)) {
            let late = duration(now - since);
            broke(
                &mut kept.judge,
                Rule::Drain,
                node,
                format!("sent to server {server} {late:?} after it was told"),
            );
        }
        kept.judge.tally.attempts += 1;
        let told = told_start == started && hears;
        let Some(started) = started else { return false };
        // A stand-in has one core of standard speed.
        let pressed = kept.cold[server].press(&self.cold, (now, started), 1.0, work.as_secs_f64(), told);
        kept.judge.press(&pressed);
        if pressed.falls == Some(true) {
            let what = format!("cold server {server} was sent more than it can take and fell over");
            broke(&mut kept.judge, Rule::Cold, node, what);
        }
        pressed.falls.is_some()
    }

    /// A server runs a request, unlike one that it turns away.
    pub fn run(&self, id: &str, server: usize, zone: usize, cell: usize) {
        let at = self.now();
        let kept = &mut *self.kept();
        let Some(asked) = kept.asked.get_mut(id) else { return };
        asked.ran.push(Ran { server, cell, zone, at });
        let first = asked.ran[0];
        let allowed = asked.ran.len() == 1
            || match self.repeats[asked.class] {
                RetrySafety::Idempotent => true,
                RetrySafety::NonIdempotent => false,
                RetrySafety::Keyed { scope, window } => {
                    let together = match scope {
                        DedupScope::All => true,
                        DedupScope::Zone => first.zone == zone,
                        DedupScope::Cell => first.cell == cell,
                    };
                    together && duration(at - first.at) <= window + SLACK
                }
            };
        let (node, further) = (asked.node, asked.ran.len() > 1);
        kept.judge.tally.again += u64::from(further);
        if !allowed {
            let what = format!("server {server} ran it after server {} may have", first.server);
            kept.judge.broke(Rule::Duplicate, number(id), node as u32, self.of_day(at), what);
        }
    }

    /// A server gives a whole answer.
    pub fn answered(&self, id: &str, server: usize, body: &str, work: Duration) {
        let mut kept = self.kept();
        kept.work[server] += work.as_secs_f64();
        kept.judge.tally.work_done += work.as_secs_f64();
        if let Some(asked) = kept.asked.get_mut(id) {
            asked.answers.push(body.to_string());
        }
    }

    /// A client has a served answer with this body.
    pub fn served(&self, id: &str, body: &[u8]) {
        let at = self.of_day(self.now());
        let kept = &mut *self.kept();
        let Some(asked) = kept.asked.get(id) else { return };
        if !asked.answers.iter().any(|answer| answer.as_bytes() == body) {
            let node = asked.node as u32;
            kept.judge.broke(
                Rule::Lost,
                number(id),
                node,
                at,
                "served with what no server made for it".into(),
            );
        }
    }

    /// A client was refused: to try again does no harm, or the rule on repeats is broken.
    pub fn refused(&self, id: &str) {
        let at = self.of_day(self.now());
        let kept = &mut *self.kept();
        kept.judge.tally.refused += 1;
        let Some(asked) = kept.asked.get_mut(id) else { return };
        kept.judge.tally.refused_unsent += u64::from(!asked.sent_on);
        let harmless = matches!(
            self.repeats[asked.class],
            RetrySafety::Idempotent | RetrySafety::Keyed { scope: DedupScope::All, .. }
        );
        if asked.ran.is_empty() {
            asked.cause = asked.cause.max(Cause::RefusedFull);
        } else if !harmless {
            let node = asked.node as u32;
            kept.judge.broke(Rule::Duplicate, number(id), node, at, "refused though it has run".into());
        }
    }

    /// A client's request was answered as failed; one that came to no server counts as refused as well.
    pub fn failed(&self, id: &str) {
        let kept = &mut *self.kept();
        kept.judge.tally.failed += 1;
        let sent_on = kept.asked.get(id).is_some_and(|asked| asked.sent_on);
        kept.judge.tally.refused_unsent += u64::from(!sent_on);
    }

    /// A node closed a client's new connection with no answer, and nothing excuses it.
    pub fn closed_unanswered(&self) {
        let tally = &mut self.kept().judge.tally;
        tally.closed_unanswered = Some(tally.closed_unanswered.unwrap_or_default() + 1);
    }

    /// A node ended a client's connection with no whole answer, and nothing excuses it.
    pub fn lost(&self, id: &str) {
        let at = self.of_day(self.now());
        let kept = &mut *self.kept();
        let Some(asked) = kept.asked.get(id) else { return };
        let node = asked.node as u32;
        let what = "its connection ended with no whole answer";
        kept.judge.broke(Rule::Lost, number(id), node, at, what.into());
    }
}

/// A request's id as a number.
fn number(id: &str) -> u64 {
    u64::from_str_radix(id, 16).unwrap_or_default()
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::time::SECOND;

    const WINDOW: Duration = Duration::from_secs(12);
    const WORK: Duration = Duration::from_millis(100);

    /// Two nodes and three servers; classes: safe, unsafe, keyed in a cell.
    fn books() -> Books {
        let keyed = RetrySafety::Keyed { scope: DedupScope::Cell, window: WINDOW };
        // A tenth of a core for a long time: three times that over 3 s are nine requests, and twelve more by chance.
        let cold =
            ColdModel { factor: 3.0, over: 3 * SECOND, unit: 0.1, cold_share: 0.1, warm: 10_000 * SECOND };
        let zones = Zones { nodes: vec![0, 1], servers: vec![0, 1, 0] };
        let judge = Judge::new(7, SECOND, 3, 2);
        let books = Books::new(
            judge,
            vec![RetrySafety::Idempotent, RetrySafety::NonIdempotent, keyed],
            Duration::ZERO,
            cold,
            zones,
        );
        for (id, class) in [("1", 0), ("2", 1), ("3", 2)] {
            books.ask(id, class, 0, WORK);
        }
        books
    }

    fn broken(books: &Books) -> Vec<(Rule, u64)> {
        let (judge, _) = books.close(Judge::new(7, SECOND, 3, 2));
        let run = crate::judge::Run {
            strategy: String::new(),
            size: String::new(),
            nodes: 2,
            classes: &[],
            zones: &[],
            faults: Vec::new(),
            server_work: Vec::new(),
            events: 0,
            processes: Vec::new(),
        };
        judge.outcome(run).broken.into_iter().map(|broken| (broken.rule, broken.request)).collect()
    }

    fn comes(books: &Books, id: &str, server: usize) {
        books.arrive(id, server, None);
    }

    #[test]
    fn what_no_server_made_and_what_ends_without_an_answer_is_lost() {
        let books = books();
        books.answered("1", 0, "made", WORK);
        books.served("1", b"made");
        assert_eq!(broken(&books), []);
        books.served("1", b"made up");
        books.lost("2");
        assert_eq!(broken(&books), [(Rule::Lost, 1), (Rule::Lost, 2)]);
    }

    /// What no server got counts as never sent on, refused or failed; what one turned away was sent on.
    #[test]
    fn what_was_never_sent_on_is_counted() {
        let books = books();
        comes(&books, "1", 0);
        ["1", "2"].into_iter().for_each(|id| books.refused(id));
        ["1", "3"].into_iter().for_each(|id| books.failed(id));
        books.closed_unanswered();
        let tally = books.judge(|judge| judge.tally);
        assert_eq!((tally.refused, tally.failed), (2, 2));
        assert_eq!((tally.refused_unsent, tally.closed_unanswered), (2, Some(1)));
    }

    #[test]
    fn repeats_go_no_further_than_the_class_allows() {
        let books = books();
        for id in ["1", "2", "3"] {
            books.run(id, 0, 0, 0);
        }
        books.run("1", 1, 1, 1);
        books.run("3", 2, 0, 0);
        books.refused("1");
        assert_eq!(broken(&books), []);
        books.run("2", 2, 0, 0);
        books.run("3", 1, 1, 1);
        books.refused("3");
        assert_eq!(broken(&books), [(Rule::Duplicate, 2), (Rule::Duplicate, 3), (Rule::Duplicate, 3)]);
    }

    /// Nothing is allowed after the grace; but what a node could not hear it has not been told.
    #[test]
    fn a_server_that_stops_gets_nothing_new_once_the_node_is_told() {
        let mut books = books();
        books.drain_grace = Duration::from_secs(3600);
        books.tell(0, 0, true, None);
        comes(&books, "1", 0);
        assert_eq!(broken(&books), []);
        books.drain_grace = Duration::ZERO;
        std::thread::sleep(SLACK + Duration::from_millis(5));
        comes(&books, "1", 1);
        books.deafen(0, 0, Nanos::MAX);
        comes(&books, "1", 0);
        assert_eq!(broken(&books), []);
        // The fault is over; what the node was told before the next one stands.
        books.deafen(0, 0, 0);
        books.deafen(0, books.now(), Nanos::MAX);
        comes(&books, "1", 0);
        assert_eq!(broken(&books), [(Rule::Drain, 1)]);
        books.tell(0, 0, false, None);
        comes(&books, "1", 0);
        assert_eq!(broken(&books), []);
    }

    #[test]
    fn a_cold_server_and_a_request_of_nobody() {
        let books = books();
        books.tell(0, 2, false, Some(5));
        let falls = |server| (1..30).filter(|_| books.arrive("1", server, Some(5))).count();
        assert_eq!((falls(2), broken(&books)), (1, vec![(Rule::Cold, 1)]));
        // Nodes that had not been told of the start break nothing.
        assert_eq!(falls(1), 1);
        comes(&books, "9", 0);
        assert_eq!(broken(&books), [(Rule::Form, 9)]);
    }
}
