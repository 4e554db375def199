//! A server's slow state: how crowding brings it, and what ends it. A server is asked about it whenever what it holds
//! changes, so a change of state shows in what begins after it, as with crowding itself.

use crate::time::Nanos;

/// The slow state of a world's servers.
#[derive(Clone, Copy, Debug)]
pub struct ChokeModel {
    /// Held requests that bring it ...
    pub at: f64,
    /// ... once they have been there for so long without a break.
    pub over: Nanos,
    /// What begins in it takes so many times as long.
    pub slower: f64,
    /// It ends after so long without a break ...
    pub rest: Nanos,
    /// ... with no more held requests than this.
    pub below: f64,
    /// At the latest it ends after so long.
    pub most: Nanos,
}

/// How one server stands with it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Choke {
    /// It may come to this server.
    can: bool,
    /// When it began, while it lasts.
    tipped: Option<Nanos>,
    /// Since when the server has held enough to tip over or, in the slow state, little enough to rest.
    since: Option<Nanos>,
}

impl Choke {
    /// A server that it may come to, or may not; it has not so far.
    pub fn new(can: bool) -> Self {
        Choke { can, ..Choke::default() }
    }

    /// Whether the server is in its slow state, as of the last change of what it holds.
    pub fn is_tipped(&self) -> bool {
        self.tipped.is_some()
    }

    /// The server's process is new, or all that it held is gone: crowding and rest begin anew.
    pub fn forget_spell(&mut self) {
        self.since = None;
    }

    /// The server's process starts.
    pub fn restart(&mut self) {
        *self = Choke::new(self.can);
    }

    /// From `now` on the server holds `held` requests.
    pub fn see(&mut self, model: &ChokeModel, now: Nanos, held: usize) {
        if !self.can {
            return;
        }
        let reached = |since: Option<Nanos>, span: Nanos| since.is_some_and(|since| now >= since + span);
        match self.tipped {
            None if reached(self.since, model.over) => {
                (self.tipped, self.since) = (self.since.map(|since| since + model.over), None);
            }
            Some(_) if reached(self.since, model.rest) => (self.tipped, self.since) = (None, None),
            tipped if reached(tipped, model.most) => (self.tipped, self.since) = (None, None),
            _ => {}
        }
        let held = held as f64;
        let goes_on = if self.is_tipped() { held <= model.below } else { held >= model.at };
        self.since = if goes_on { self.since.or(Some(now)) } else { None };
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::time::SECOND;

    const MODEL: ChokeModel = ChokeModel {
        at: 5.0,
        over: 2 * SECOND,
        slower: 2.5,
        rest: 4 * SECOND,
        below: 1.0,
        most: 20 * SECOND,
    };

    /// Whether it is in its slow state after each of these: at a second, so many held.
    fn states(changes: &[(u64, usize)]) -> Vec<bool> {
        let mut choke = Choke::new(true);
        let each = changes.iter().map(|(at, held)| {
            choke.see(&MODEL, at * SECOND, *held);
            choke.is_tipped()
        });
        each.collect()
    }

    #[test]
    fn crowding_has_to_last_without_a_break() {
        assert_eq!(states(&[(1, 5), (2, 6), (3, 5)]), [false, false, true]);
        assert_eq!(states(&[(1, 5), (2, 4), (3, 5), (4, 5), (5, 5)]), [false, false, false, false, true]);
        assert_eq!(states(&[(1, 4), (9, 4), (99, 4)]), [false; 3]);
        let mut sound = Choke::new(false);
        (0..9).for_each(|at| sound.see(&MODEL, at * SECOND, 9));
        assert!(!sound.is_tipped());
    }

    #[test]
    fn less_crowding_does_not_end_it_and_a_rest_does() {
        // Tipped at 2 s. Half as much is no rest; nor is a rest that one more request breaks off.
        let begin = [(0, 5), (2, 2), (9, 2)];
        assert_eq!(states(&begin), [false, true, true]);
        let broken = [&begin[..], &[(10, 1), (12, 2), (13, 1), (16, 0), (17, 0)]].concat();
        assert_eq!(states(&broken)[3..], [true, true, true, true, false]);
    }

    #[test]
    fn at_the_latest_it_ends_by_itself() {
        // It began at 2 s, when the crowding had lasted long enough, and not when that was seen.
        assert_eq!(states(&[(0, 9), (3, 9), (21, 9), (22, 9)]), [false, true, true, false]);
        // The crowding that is still there counts from then on.
        assert_eq!(states(&[(0, 9), (3, 9), (22, 9), (23, 9), (24, 9)])[2..], [false, false, true]);
    }

    #[test]
    fn a_new_process_is_sound_and_lost_requests_crowd_no_more() {
        let mut choke = Choke::new(true);
        choke.see(&MODEL, 0, 9);
        choke.forget_spell();
        choke.see(&MODEL, 3 * SECOND, 9);
        assert!(!choke.is_tipped());
        choke.see(&MODEL, 5 * SECOND, 9);
        assert!(choke.is_tipped());
        choke.restart();
        choke.see(&MODEL, 6 * SECOND, 0);
        assert!(!choke.is_tipped());
    }
}
