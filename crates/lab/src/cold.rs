//! The fourth rule's budget: what a server that has just started is sent within a span, against what it can take. The
//! emulator's servers and the rig's stand-ins are judged by this one sum. It knows neither nodes nor lists.

use crate::time::{Nanos, in_secs};
use std::collections::VecDeque;

/// When a cold server falls over: with more than N + 2 x root of N + 2 requests of mean work within the span, N being
/// what the settings allow it. The sum is the standing test's; root and constant are its slack for chance.
#[derive(Clone, Copy, Debug)]
pub struct ColdModel {
    /// N is this multiple of its capacity ...
    pub factor: f64,
    /// ... over so long; 0 for never.
    pub over: Nanos,
    /// Mean work of a request, in s of a standard core.
    pub unit: f64,
    /// Capacity at the start, as a share of the whole.
    pub cold_share: f64,
    /// How long capacity rises, evenly, until it is whole.
    pub warm: Nanos,
}

impl ColdModel {
    /// No server is ever cold.
    pub const NEVER: ColdModel = ColdModel { factor: 0.0, over: 0, unit: 1.0, cold_share: 1.0, warm: 0 };

    /// The share of its capacity that a server of this age has, as the mean over the span that ends now. What its
    /// present capacity is has two readings, since it rises within the span. Capacity at the end of it is more than it
    /// ever had before, and lets through what no moment of the span allowed; that at its begin makes a server fall
    /// that was always sent exactly what it could take. The mean is the strictest reading that is not unfair so. Before
    /// the start it counts as what it was then: the page allows a whole span's budget from the first moment on.
    fn mean_warmth(&self, age: Nanos) -> f64 {
        let (over, age) = (in_secs(self.over), in_secs(age));
        let slope = (1.0 - self.cold_share) / in_secs(self.warm).max(1e-9);
        let rise = if age < over { age * age / (2.0 * over) } else { age - over / 2.0 };
        (self.cold_share + slope * rise).min(1.0)
    }

    /// What a server of this age, which does `whole` s of work a second when warm, can take within the span that ends
    /// now: in requests of mean work.
    pub fn allowed(&self, whole: f64, age: Nanos) -> f64 {
        let n = self.factor * whole * self.mean_warmth(age) * in_secs(self.over) / self.unit;
        n + 2.0 * n.sqrt() + 2.0
    }
}

/// Work that has come.
#[derive(Clone, Copy)]
struct Came {
    at: Nanos,
    work: f64,
    /// From a node that had been told of the start.
    told: bool,
}

/// How a server stands to its budget after a request.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Pressed {
    /// Work of the span that ends now, as a part of what is allowed; 0 once it is warm.
    pub used: f64,
    /// That part of it which came from nodes that had been told of the start.
    pub used_by_told: f64,
    /// It falls over: `Some(true)` if over two thirds came from such nodes, which breaks the rule.
    pub falls: Option<bool>,
}

/// What has come to a cold server lately.
#[derive(Default)]
pub struct Cold {
    started: Nanos,
    came: VecDeque<Came>,
    fallen: bool,
}

impl Cold {
    /// Work of `work` s reaches a server that started at `started` and does `whole` s a second when warm; also work
    /// that it turns away. It falls at most once in a life.
    pub fn press(
        &mut self,
        model: &ColdModel,
        (now, started): (Nanos, Nanos),
        whole: f64,
        work: f64,
        told: bool,
    ) -> Pressed {
        if self.started != started {
            *self = Cold { started, ..Cold::default() };
        }
        let age = now.saturating_sub(started);
        if self.fallen || model.over == 0 || model.factor <= 0.0 || age >= model.warm {
            return Pressed::default();
        }
        self.came.push_back(Came { at: now, work, told });
        while self.came.front().is_some_and(|came| came.at + model.over < now) {
            self.came.pop_front();
        }
        let all: f64 = self.came.iter().map(|came| came.work).sum();
        let from_told: f64 = self.came.iter().filter(|came| came.told).map(|came| came.work).sum();
        let allowed = model.allowed(whole, age) * model.unit;
        self.fallen = all > allowed;
        Pressed {
            used: all / allowed,
            used_by_told: from_told / allowed,
            falls: self.fallen.then_some(3.0 * from_told > 2.0 * all),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::time::{SECOND, secs};
    use rand::SeedableRng;
    use rand_distr::{Distribution, Exp1};

    /// The operators' cold start and rule; a warm server does 100 requests a second.
    const MODEL: ColdModel =
        ColdModel { factor: 3.0, over: 3 * SECOND, unit: 0.01, cold_share: 0.12, warm: 23 * SECOND };

    /// Requests that come at one moment until it falls, and how that is judged; the first `untold` are from nodes that
    /// had not been told.
    fn burst(age: Nanos, untold: usize) -> (usize, bool) {
        let mut cold = Cold::default();
        let pressed = (1..).map(|i| (i, cold.press(&MODEL, (SECOND + age, SECOND), 1.0, 0.01, i > untold)));
        let mut fell = pressed.filter_map(|(i, pressed)| Some((i, pressed.falls?)));
        fell.next().expect("a burst without end")
    }

    #[test]
    fn the_sum_is_the_pages() {
        // At the start: 3 x 12 a second x 3 s, so 108 + 20.8 + 2, also in one burst.
        assert!((MODEL.allowed(1.0, 0) - 130.785).abs() < 1e-3);
        assert_eq!(burst(0, 0), (131, true));
        // The mean over the span from 10 s on until 13 s is that of 11.5 s: 0.56 x 900.
        assert!((MODEL.allowed(1.0, 13 * SECOND) - (504.0 + 2.0 * 504f64.sqrt() + 2.0)).abs() < 1e-6);
        // It rises without a step where the span has left the start behind.
        let near = |age| MODEL.allowed(1.0, age);
        assert!((near(3 * SECOND) - near(3 * SECOND - 1000)).abs() < 1e-3);
    }

    /// Over two thirds, and not two thirds: of 131 requests 43 may be from others, but not 44.
    #[test]
    fn who_pushed_it_is_judged_at_the_fall() {
        assert_eq!(burst(0, 43), (131, true));
        assert_eq!(burst(0, 44), (131, false));
        let mut cold = Cold::default();
        let mut press = |work: f64, told| cold.press(&MODEL, (0, 0), 1.0, work, told).falls;
        assert_eq!((press(0.5, false), press(1.0, true)), (None, Some(false)));
        // What comes afterwards pushes nothing over, and a new life begins with nothing.
        assert_eq!(press(9.0, true), None);
        assert_eq!(cold.press(&MODEL, (SECOND, SECOND), 1.0, 9.0, true).falls, Some(true));
    }

    #[test]
    fn what_came_longer_ago_does_not_count_nor_anything_at_a_warm_server() {
        let mut cold = Cold::default();
        let mut press = |at: Nanos, work| cold.press(&MODEL, (at, 0), 1.0, work, true);
        assert!(press(0, 1.3).used > 0.98);
        let later = press(3 * SECOND + 1, 0.01);
        assert!(later.falls.is_none() && later.used < 0.01 && later.used == later.used_by_told, "{later:?}");
        assert_eq!(press(23 * SECOND, 1e6), Pressed::default());
    }

    /// The part of 200 servers that fall when requests come by chance at this multiple of what the settings allow.
    fn fall(multiple: f64) -> f64 {
        let falls = |seed: u64| {
            let mut random = rand_pcg::Pcg64Mcg::seed_from_u64(seed);
            let (mut cold, mut at) = (Cold::default(), 0.0);
            while at < 23.0 {
                let warmth = 0.12 + 0.88 * at / 23.0;
                let gap: f64 = Exp1.sample(&mut random);
                at += gap / (multiple * 3.0 * 100.0 * warmth);
                if cold.press(&MODEL, (secs(at), 0), 1.0, 0.01, true).falls.is_some() {
                    return true;
                }
            }
            false
        };
        (0..200).filter(|seed| falls(*seed)).count() as f64 / 200.0
    }

    #[test]
    fn chance_alone_rarely_pushes_a_server_over() {
        let (below, above) = (fall(0.9), fall(1.25));
        assert!(
            below < 0.1 && above > 0.99,
            "{below} fall at nine tenths of what is allowed, {above} at a quarter more"
        );
    }
}
