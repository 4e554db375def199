//! Sees the true state of every server, late: what the standing test's floors are held against. No real node can see so
//! much. All nodes are shown the same board, a mean request old at the most, and the best of the whole board would draw
//! all of them to one server; so each takes the best of a few drawn at random (Mitzenmacher, How Useful Is Old
//! Information?, 2000), and counts what it has sent itself since it looked. It sends again what surely never ran or may
//! simply be repeated, and knows nothing of cold budgets.

use super::{Board, Strategy};
use hillpick::{Action, Event, ListKind, RequestId, RetrySafety, ServerId, ServerState, Settings};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

/// Of so many drawn the best is taken: more than two, which gain most, and few of a fleet's hundreds.
const DRAWN: usize = 3;
/// So many are drawn in search of these, where some are of no use; a quarter of use is found but for one time in 10,000.
const DRAWS: usize = 32;

/// A request that is not answered: its class, and attempts so far.
struct Open {
    class: usize,
    attempts: u32,
}

/// A node that sees.
pub struct Seeing {
    settings: Settings,
    random: Pcg64Mcg,
    /// In service by the list, sorted.
    listed: Vec<ServerId>,
    board: Option<Rc<Board>>,
    /// Sent since the board was shown.
    since: HashMap<ServerId, u32>,
    open: HashMap<RequestId, Open>,
}

impl Seeing {
    /// A node that has just started, and has seen nothing yet.
    pub fn new(settings: Settings, seed: u64) -> Self {
        Seeing {
            settings,
            random: Pcg64Mcg::seed_from_u64(seed),
            listed: Vec::new(),
            board: None,
            since: HashMap::new(),
            open: HashMap::new(),
        }
    }

    /// How long a request would take there: as shown, and by what it has sent there since, each as a request of its own.
    fn takes(&self, server: ServerId) -> Option<f64> {
        let shown = match &self.board {
            Some(board) => *board.get(&server)?,
            None => 1.0,
        };
        Some(shown + f64::from(self.since.get(&server).copied().unwrap_or_default()))
    }

    fn best(&mut self) -> Option<ServerId> {
        let mut drawn = Vec::with_capacity(DRAWN);
        for _ in 0..DRAWS {
            let server = *self.listed.get(self.random.random_range(0..self.listed.len().max(1)))?;
            drawn.extend(self.takes(server).map(|takes| (server, takes)));
            if drawn.len() == DRAWN {
                break;
            }
        }
        let best = drawn.into_iter().min_by(|one, other| one.1.total_cmp(&other.1));
        best.map(|(server, _)| server)
    }

    /// Sends it, or ends it.
    fn go(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let most = self.settings.limits.max_attempts.max(1);
        let more = self.open.get(&id).is_some_and(|open| open.attempts < most);
        let Some(server) = self.best().filter(|_| more) else {
            self.open.remove(&id);
            return actions.push(Action::Refuse { id, retry_after: self.settings.limits.max_retry_after });
        };
        self.open.entry(id).and_modify(|open| open.attempts += 1);
        *self.since.entry(server).or_default() += 1;
        // Zero: until the client gives up.
        actions.push(Action::Send { id, server, timeout: Duration::ZERO });
    }
}

impl Strategy for Seeing {
    fn handle(&mut self, _now: Duration, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::List { kind, entries } if kind != ListKind::Failed => {
                if kind != ListKind::Changes {
                    self.listed.clear();
                }
                for entry in &entries {
                    let at = self.listed.binary_search(&entry.id);
                    match (entry.state == ServerState::Ready, at) {
                        (true, Err(at)) => self.listed.insert(at, entry.id),
                        (false, Ok(at)) => {
                            self.listed.remove(at);
                        }
                        _ => {}
                    }
                }
            }
            Event::Request(new) => {
                self.open.insert(new.id, Open { class: new.class, attempts: 0 });
                self.go(new.id, actions);
            }
            Event::AttemptEnded(end) if end.finished => {
                self.open.remove(&end.id);
            }
            Event::AttemptEnded(end) => {
                let Some(open) = self.open.get(&end.id) else { return };
                let repeat = self.settings.classes.get(open.class).map(|class| class.retry_safety);
                if end.outcome.never_ran() || repeat == Some(RetrySafety::Idempotent) {
                    self.go(end.id, actions);
                } else {
                    self.open.remove(&end.id);
                    actions.push(Action::Fail { id: end.id });
                }
            }
            Event::ClientGone { id } => {
                let attempt = self.open.remove(&id).map_or(0, |open| open.attempts.saturating_sub(1));
                if self.settings.limits.cancel {
                    actions.push(Action::Cancel { id, attempt });
                }
            }
            Event::Settings { settings, .. } => self.settings = *settings,
            _ => {}
        }
    }

    fn sees(&self) -> bool {
        true
    }

    fn see(&mut self, board: &Rc<Board>) {
        self.board = Some(board.clone());
        self.since.clear();
    }
}
