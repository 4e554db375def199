//! The recorded scale runs, and what they foretell at full size.
//!
//! Sweeps change one dimension and leave the others as they are, so costs are taken to add: the value at full size is what is
//! left of a sweep without any growth, and each dimension's slope times its full size. A slope whose interval holds zero, or
//! that falls, counts as none, and what was measured at the end of such a sweep as left: costs don't shrink as a fleet grows.

use super::size::Capacity;
use super::table::{Table, number};
use crate::scale::results::{Fit, Results, ScaleSize};
use std::io;
use std::path::Path;

/// All recorded runs, in the order of their names.
#[derive(Clone, Debug, Default)]
pub struct Runs {
    all: Vec<Results>,
}

/// A figure at full size.
#[derive(Clone, Debug, PartialEq)]
pub struct Estimate {
    /// Its value at full size.
    pub value: f64,
    /// What of it grows with nothing that was swept.
    pub rest: f64,
    /// What grows.
    pub terms: Vec<Term>,
    /// The largest place that was measured of each dimension that was swept.
    pub largest: Vec<(String, f64)>,
    /// Each fit foretold its largest point.
    pub proven: bool,
    /// The runs that it is from.
    pub runs: Vec<String>,
}

/// A dimension's part of a figure.
#[derive(Clone, Debug, PartialEq)]
pub struct Term {
    /// The dimension.
    pub against: String,
    /// The growth for each one more.
    pub slope: f64,
    /// Its 95 % interval.
    pub interval: [f64; 2],
    /// The power with which it grows.
    pub exponent: Option<f64>,
    /// The dimension's full size.
    pub full: f64,
}

impl Runs {
    /// Reads every run of a folder; none if there is no folder.
    ///
    /// # Errors
    /// If a file can't be read or is no run; the error names it.
    pub fn read(folder: &Path) -> io::Result<Self> {
        let mut paths = Vec::new();
        if folder.is_dir() {
            for entry in std::fs::read_dir(folder)? {
                let path = entry?.path();
                if path.extension().is_some_and(|extension| extension == "json") {
                    paths.push(path);
                }
            }
        }
        paths.sort();
        let all = paths.iter().map(|path| Results::read(path)).collect::<io::Result<_>>()?;
        Ok(Runs { all })
    }

    /// These runs.
    pub fn of(all: Vec<Results>) -> Self {
        Runs { all }
    }

    /// How many there are.
    pub fn count(&self) -> usize {
        self.all.len()
    }

    /// What the fits foretell of a figure at full size; none if nobody fitted it.
    pub fn estimate(&self, role: &str, figure: &str, capacity: &Capacity) -> Option<Estimate> {
        let fits = self.fits(role, figure, capacity);
        let grows = |fit: &Fit| fit.interval[0] > 0.0;
        // Each sweep tells what is left without all growth. They differ by noise, and by growth that was too little to be
        // told from it: the greatest counts.
        let rest_of = |(run, line, _): &(&Results, &Fit, f64)| {
            let at_rest = if grows(line) { line.intercept } else { line.measured.max(line.intercept) };
            let others = fits.iter().filter(|(_, fit, _)| fit.against != line.against && grows(fit));
            others.fold(at_rest, |rest, (_, fit, _)| rest - fit.slope * base(run, &fit.against))
        };
        let rest = fits.iter().map(rest_of).reduce(f64::max)?;
        let rest = rest.max(0.0); // a line may cross zero, and a cost does not
        let terms: Vec<_> =
            fits.iter().filter(|(_, fit, _)| grows(fit)).map(|(_, fit, full)| term(fit, *full)).collect();
        let mut runs: Vec<_> = fits.iter().map(|(run, ..)| name(run)).collect();
        runs.dedup();
        Some(Estimate {
            value: terms.iter().fold(rest, |sum, term| sum + term.slope * term.full),
            rest,
            largest: fits.iter().map(|(_, fit, _)| (fit.against.clone(), fit.largest)).collect(),
            proven: fits.iter().all(|(_, fit, _)| fit.proven),
            terms,
            runs,
        })
    }

    /// The figure at the largest size at which it was measured, where nothing was fitted.
    pub fn largest(&self, role: &str, figure: &str) -> Option<(ScaleSize, f64, String)> {
        let points = self.all.iter().flat_map(|run| run.points.iter().map(move |point| (run, point)));
        let measured =
            points.filter_map(|(run, point)| Some((point.size, point.value(role, figure)?, name(run))));
        let size = |size: &ScaleSize| [size.servers, size.tenants, size.routes, size.nodes].map(f64::from);
        measured.max_by(|(a, ..), (b, ..)| size(a).iter().sum::<f64>().total_cmp(&size(b).iter().sum()))
    }

    /// One fit for each dimension that has a full size: the one that went farthest.
    fn fits(&self, role: &str, figure: &str, capacity: &Capacity) -> Vec<(&Results, &Fit, f64)> {
        let mut chosen: Vec<(&Results, &Fit, f64)> = Vec::new();
        for run in &self.all {
            for fit in run.fits.iter().filter(|fit| fit.role == role && fit.figure == figure) {
                let Some(full) = capacity.dimension(&fit.against) else { continue };
                match chosen.iter_mut().find(|(_, other, _)| other.against == fit.against) {
                    Some(other) if other.1.largest <= fit.largest => *other = (run, fit, full),
                    Some(_) => {}
                    None => chosen.push((run, fit, full)),
                }
            }
        }
        chosen
    }
}

impl Estimate {
    /// What grows of it, without the rest.
    pub fn growth(mut self) -> Self {
        self.value -= self.rest;
        self.rest = 0.0;
        self
    }

    /// What grows with one dimension, of what grows.
    pub fn along(mut self, dimension: &str) -> Self {
        self.terms.retain(|term| term.against == dimension);
        self.value = self.rest + self.terms.iter().map(|term| term.slope * term.full).sum::<f64>();
        self
    }

    /// So many of it.
    pub fn times(mut self, many: f64) -> Self {
        self.value *= many;
        self.rest *= many;
        self.terms.iter_mut().for_each(|term| term.slope *= many);
        self.terms.iter_mut().flat_map(|term| &mut term.interval).for_each(|bound| *bound *= many);
        self
    }

    /// The slope along a dimension; none if no growth was seen.
    pub fn slope(&self, against: &str) -> Option<f64> {
        self.terms.iter().find(|term| term.against == against).map(|term| term.slope)
    }

    /// The arithmetic in one line.
    pub fn arithmetic(&self) -> String {
        let mut text = number(self.rest);
        for term in &self.terms {
            let sign = if term.slope < 0.0 { "-" } else { "+" };
            text += &format!(" {sign} {} x {} {}", number(term.slope.abs()), number(term.full), term.against);
        }
        text
    }

    /// The slopes with their intervals and powers.
    pub fn slopes(&self) -> String {
        if self.terms.is_empty() {
            return "no growth seen".to_owned();
        }
        let slope = |term: &Term| {
            let [low, high] = term.interval.map(number);
            let power = term.exponent.map(|it| format!(", power {}", number(it))).unwrap_or_default();
            format!("{} for one of {} ({low} to {high}{power})", number(term.slope), term.against)
        };
        self.terms.iter().map(slope).collect::<Vec<_>>().join("; ")
    }

    /// The largest place of each dimension at which it was measured.
    pub fn proven_to(&self) -> String {
        self.largest
            .iter()
            .map(|(against, at)| format!("{} {against}", number(*at)))
            .collect::<Vec<_>>()
            .join(", ")
    }
}

fn term(fit: &Fit, full: f64) -> Term {
    let Fit { against, slope, interval, exponent, .. } = fit.clone();
    Term { against, slope, interval, exponent, full }
}

/// Where a dimension stood while another was swept: its commonest value.
fn base(run: &Results, against: &str) -> f64 {
    let values: Vec<_> = run.points.iter().map(|point| place(&point.size, against)).collect();
    let times = |value: f64| values.iter().filter(|other| **other == value).count();
    values.iter().copied().max_by_key(|value| times(*value)).unwrap_or_default()
}

fn place(size: &ScaleSize, against: &str) -> f64 {
    match against {
        "nodes" => f64::from(size.nodes),
        "servers" => f64::from(size.servers),
        "tenants" => f64::from(size.tenants),
        "routes" => f64::from(size.routes),
        "changes_per_s" => size.changes_per_s,
        "restarts_per_s" => size.restarts_per_s,
        _ => 0.0,
    }
}

fn name(run: &Results) -> String {
    format!("{}-{}", run.experiment, run.seed)
}

/// The runs that the page is reckoned from.
pub(super) fn listed(runs: &Runs) -> Table {
    let mut table = Table::new(
        "runs",
        &[
            "run",
            "version",
            "servers held",
            "cores",
            "memory",
            "load at its start",
            "points",
            "fits",
            "proven",
        ],
    );
    for run in &runs.all {
        let proven = run.fits.iter().filter(|fit| fit.proven).count();
        table.row([
            name(run),
            run.version.clone(),
            run.subset.map_or("all".to_owned(), |servers| servers.to_string()),
            run.machine.cores.to_string(),
            format!("{} MB", number(run.machine.memory_mb as f64)),
            number(run.machine.load_1m),
            run.points.len().to_string(),
            run.fits.len().to_string(),
            proven.to_string(),
        ]);
    }
    if runs.all.is_empty() {
        table.row(["none recorded yet".to_owned()]);
    }
    table
}

/// Runs at one size, as measured there: nothing of them is carried to full size.
pub(super) fn at_one_size(runs: &Runs) -> Table {
    let figures = [
        ("hollow node", "processor, worst second", "a node's processor, worst second, core"),
        (
            "hollow node",
            "bytes of lists of changes in, worst second",
            "list changes to a node, worst second, B/s",
        ),
        ("hollow node", "bytes of whole lists in, worst second", "whole lists to a node, worst second, B/s"),
        (
            "list server",
            "bytes of whole lists out, worst second",
            "whole lists of a list server, worst second, B/s",
        ),
        (
            "hollow node",
            "change of the list in force at 100 % of the nodes, worst change",
            "list change in force at all, worst, s",
        ),
        (
            "hollow node",
            "settings in force at 100 % of the nodes, worst change",
            "settings in force at all, worst, s",
        ),
        ("hollow node", "ready after restart, 100 %", "last restarted node ready, s"),
    ];
    let titles: Vec<_> = ["run", "nodes", "servers"].into_iter().chain(figures.map(|it| it.2)).collect();
    let mut table = Table::new("troubles", &titles);
    for run in runs.all.iter().filter(|run| run.fits.is_empty()) {
        for point in &run.points {
            let head = [name(run), number(point.size.nodes.into()), number(point.size.servers.into())];
            let value = |(role, figure, _)| point.value(role, figure).map_or("-".to_owned(), number);
            table.row(head.into_iter().chain(figures.map(value)));
        }
    }
    table
}
