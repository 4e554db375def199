//! What makes requests late: their ends in % of all, as the operators' day reports count them, and how the servers stood
//! that answered late ones. A server may stand in more than one way, so those shares can add up to more than all.

use crate::emu::{self, Answers, Bounds, Fates, Standing};
use crate::size::Size;
use crate::spec::Experiment;
use crate::strategy::Kind;
use rayon::prelude::*;

/// Plays seeds 1 to `seeds` and adds up what became of all requests.
pub fn play(experiment: &Experiment, size: Size, kind: Kind, seeds: u64) -> Fates {
    let runs = (1..=seeds).into_par_iter();
    let fates: Vec<_> =
        runs.map(|seed| emu::run_within(experiment, size, kind, seed, Bounds::default()).fates).collect();
    fates.into_iter().fold(Fates::default(), |all, one| all + one)
}

/// A line a figure: its name, and its share in %.
pub fn lines(fates: &Fates) -> Vec<(String, f64)> {
    let part = |count: u64, of: u64| 100.0 * count as f64 / of.max(1) as f64;
    let all = fates.requests();
    let mut lines = vec![
        ("late".to_string(), part(fates.late.all(), all)),
        ("refused".to_string(), part(fates.refused, all)),
        ("failed".to_string(), part(fates.failed, all)),
        ("late, first try refused unsent".to_string(), part(fates.late_refused_first, fates.late.all())),
        ("late, first try waited in vain".to_string(), part(fates.late_waited_first.all(), fates.late.all())),
    ];
    for (of, answers) in
        [("late", &fates.late), ("first waited", &fates.late_waited_first), ("in time", &fates.in_time)]
    {
        let share = |count: u64| part(count, answers.all());
        let standings = Standing::ALL.iter();
        lines.extend(standings.map(|(name, it)| (format!("{of}, server {name}"), share(answers.of(*it)))));
        lines.push((format!("{of}, server none of these"), share(Answers::sound(answers))));
    }
    lines
}
