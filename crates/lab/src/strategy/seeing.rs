//! Sees the true state of every server, late: what the standing test's floors are held against. No real node can see so
//! much. All nodes are shown the same board, one unit old at the most, and the best of the whole board would draw all
//! of them to one server; so each takes the best of a few drawn at random (Mitzenmacher, How Useful Is Old
//! Information?, 2000). It sends again what surely never ran or may simply be repeated, and knows nothing of cold budgets.

use super::{Board, Strategy};
use hillpick::{Action, Event, ListKind, Repeat, RequestId, ServerId, ServerState, Settings};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeSet, HashMap};
use std::rc::Rc;
use std::time::Duration;

/// Of so many drawn the best is taken. On the six days at 300 x 200, one seed, two, three and five serve 
const DRAWN: usize = 3;

/// A request that is not answered: its class, and attempts so far.
struct Open {
    class: usize,
    attempts: u32,
}

/// A node that sees.
pub struct Seeing {
    settings: Settings,
    random: Pcg64Mcg,
    listed: BTreeSet<ServerId>,
    board: Option<Rc<Board>>,
    /// Listed, and of use by the board, with how long a request would take there.
    usable: Vec<(ServerId, f64)>,
    open: HashMap<RequestId, Open>,
}

impl Seeing {
    /// A node that has just started, and has seen nothing yet.
    pub fn new(settings: Settings, seed: u64) -> Self {
        Seeing {
            settings,
            random: Pcg64Mcg::seed_from_u64(seed),
            listed: BTreeSet::new(),
            board: None,
            usable: Vec::new(),
            open: HashMap::new(),
        }
    }

    fn look(&mut self) {
        let takes = |id: &ServerId| match &self.board {
            Some(board) => board.get(id).copied(),
            None => Some(1.0),
        };
        self.usable = self.listed.iter().filter_map(|id| Some((*id, takes(id)?))).collect();
    }

    /// Sends it, or ends it.
    fn go(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(open) = self.open.get_mut(&id) else { return };
        if self.usable.is_empty() || open.attempts >= self.settings.limits.max_attempts.max(1) {
            self.open.remove(&id);
            return actions.push(Action::Refuse { id, retry_after: self.settings.limits.max_retry_after });
        }
        open.attempts += 1;
        let drawn = (0..DRAWN).map(|_| self.usable[self.random.random_range(0..self.usable.len())]);
        let best = drawn.min_by(|one, other| one.1.total_cmp(&other.1));
        // Zero: until the client gives up.
        actions.extend(best.map(|(server, _)| Action::Send { id, server, timeout: Duration::ZERO }));
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
                    if entry.state == ServerState::Ready {
                        self.listed.insert(entry.id);
                    } else {
                        self.listed.remove(&entry.id);
                    }
                }
                self.look();
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
                let repeat = self.settings.classes.get(open.class).map(|class| class.repeat);
                if end.outcome.never_ran() || repeat == Some(Repeat::Safe) {
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
        self.look();
    }
}
