//! Shares: what each class and each tenant asked for and was served, and which of them the standing test holds to a
//! least part. It is told of each request's end by the judge.

use crate::time::{Nanos, in_secs};
use hillpick::RetrySafety;
use serde::{Deserialize, Serialize};
use std::fmt;

/// A class with this part of the requests or of the worth, or a tenant with this part of the worth inside shares, is
/// held to a least part (the standing test's figure).
pub const LARGE: f64 = 0.05;

/// What clients asked for and were served within the aim in one second (by that of the first try), or as one group.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Window {
    /// Worth asked for.
    pub asked: f64,
    /// Worth served in time.
    pub served: f64,
    /// Requests.
    pub requests: u64,
}

impl Window {
    /// The part that was served, if anything was asked for.
    pub fn share(&self) -> Option<f64> {
        (self.asked > 0.0).then(|| self.served / self.asked)
    }

    /// Takes another's books into its own.
    pub fn add(&mut self, other: &Window) {
        self.asked += other.asked;
        self.served += other.served;
        self.requests += other.requests;
    }
}

/// Whose part is meant.
#[derive(Clone, Debug, PartialEq)]
pub enum Group {
    /// That of a class, by name.
    Class(String),
    /// That of a tenant, by number.
    Tenant(usize),
    /// That of a third of the day, 1 to 3, by when it was asked for.
    Third(usize),
}

impl fmt::Display for Group {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Group::Class(name) => write!(out, "class={name}"),
            Group::Tenant(number) => write!(out, "tenant={number}"),
            Group::Third(number) => write!(out, "third={number}"),
        }
    }
}

/// What a class, a tenant or a third of the day had of a run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Part {
    /// Worth served within the aim over worth asked for; of a tenant, inside its share only.
    pub served: f64,
    /// Its part of all requests.
    pub requests: f64,
    /// Its part of all worth asked for; of a tenant, of the worth inside shares.
    pub worth: f64,
    /// Whether the standing test holds it to a least part.
    pub held: bool,
}

/// The parts of `books`, `None` where nothing was asked for. `also` says what is held whatever its size; `count`
/// whether a large part of the requests is enough to be held.
fn parts(books: &[Window], requests: u64, count: bool, also: impl Fn(usize) -> bool) -> Vec<Option<Part>> {
    let all: f64 = books.iter().map(|window| window.asked).sum();
    let part = |(i, window): (usize, &Window)| {
        let (of, worth) = (window.requests as f64 / requests.max(1) as f64, window.asked / all);
        let held = also(i) || worth >= LARGE || count && of >= LARGE;
        Some(Part { served: window.share()?, requests: of, worth, held })
    };
    books.iter().enumerate().map(part).collect()
}

/// The parts of the classes; those that may not simply be repeated are held whatever their size.
pub fn of_classes(books: &[Window], repeats: &[RetrySafety], requests: u64) -> Vec<Option<Part>> {
    let guarded = |class: usize| repeats.get(class).is_some_and(|repeat| *repeat != RetrySafety::Idempotent);
    parts(books, requests, true, guarded)
}

/// The parts of the tenants, whose windows hold the worth inside their shares.
pub fn of_tenants(books: &[Window], requests: u64) -> Vec<Option<Part>> {
    parts(books, requests, false, |_| false)
}

/// The parts of the three thirds of the day, all of which are held; its seconds are dealt out as evenly as they can be.
pub fn of_thirds(seconds: &[Window], requests: u64) -> Vec<Option<Part>> {
    let mut books = [Window::default(), Window::default(), Window::default()];
    for (second, window) in seconds.iter().enumerate() {
        books[second * 3 / seconds.len()].add(window);
    }
    parts(&books, requests, true, |_| true)
}

/// Where the policy that sees late serves less of a class, its share of that is not asked for (the standing test's figure).
const NOT_HELD_BELOW: f64 = 0.3;

/// The least of what those that are held were served, over what `late` served of the same; no number if there is none.
pub fn floor<'a>(pairs: impl Iterator<Item = (&'a Part, &'a Part)>, classes: bool) -> f64 {
    let held = pairs.filter(|(_, late)| late.held && late.served > 0.0);
    let asked = held.filter(|(_, late)| !classes || late.served >= NOT_HELD_BELOW);
    asked.map(|(part, late)| part.served / late.served).fold(f64::NAN, f64::min)
}

/// The least that one of those which are held was served; no number if there is none.
pub fn worst<'a>(parts: impl Iterator<Item = &'a Part>) -> f64 {
    parts.filter(|part| part.held).map(|part| part.served).fold(f64::NAN, f64::min)
}

/// What tenants may still ask for inside their shares, over the whole fleet: so many requests a second, of which a
/// second's worth may be saved, as the module reckons it for its own node.
pub struct Allowances {
    per_s: f64,
    left: Vec<(f64, Nanos)>,
}

impl Allowances {
    /// The same for each tenant.
    pub fn new(tenants: usize, per_s: f64) -> Self {
        Allowances { per_s, left: vec![(per_s.max(1.0), 0); tenants] }
    }

    /// A tenant asks; whether that is inside its share. One that is not known has none.
    pub fn take(&mut self, tenant: usize, now: Nanos) -> bool {
        let Some((left, at)) = self.left.get_mut(tenant) else { return false };
        *left = (*left + self.per_s * in_secs(now.saturating_sub(*at))).min(self.per_s.max(1.0));
        *at = now;
        let some = *left >= 1.0;
        *left -= if some { 1.0 } else { 0.0 };
        some
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::time::SECOND;

    fn window(asked: f64, served: f64, requests: u64) -> Window {
        Window { asked, served, requests }
    }

    /// By requests, by worth, or because it may not simply be repeated; a tenant by its worth alone.
    #[test]
    fn who_is_held_to_a_least_part() {
        let books = [
            window(92.0, 92.0, 930),
            window(1.0, 0.5, 50),
            window(5.0, 4.0, 5),
            window(1.0, 0.1, 5),
            window(1.0, 0.0, 10),
        ];
        let keyed =
            RetrySafety::Keyed { scope: hillpick::DedupScope::Cell, window: std::time::Duration::ZERO };
        let safe = RetrySafety::Idempotent;
        let classes = of_classes(&books, &[safe, safe, safe, keyed, safe], 1000);
        let held = |parts: &[Option<Part>]| parts.iter().flatten().map(|part| part.held).collect::<Vec<_>>();
        assert_eq!(held(&classes), [true, true, true, true, false]);
        assert_eq!(worst(classes.iter().flatten()), 0.1);
        let tenants = of_tenants(&books, 1000);
        assert_eq!(held(&tenants), [true, false, true, false, false]);
        assert_eq!(worst(tenants.iter().flatten()), 0.8);
        assert!(worst([].iter()).is_nan());
        assert_eq!(of_tenants(&[window(0.0, 0.0, 3)], 3), [None]);
    }

    #[test]
    fn a_tenant_is_inside_its_share_up_to_its_rate_and_a_second_saved() {
        let mut allowances = Allowances::new(2, 10.0);
        let mut of = |tenant, now| (0..25).filter(|_| allowances.take(tenant, now)).count();
        assert_eq!((of(0, 0), of(0, SECOND / 2), of(0, 60 * SECOND)), (10, 5, 10));
        assert_eq!((of(1, SECOND / 2), of(2, 0)), (10, 0));
    }
}
