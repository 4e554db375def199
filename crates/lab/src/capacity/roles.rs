//! The roles of a fleet, what each costs at full size, and what bounds it.

mod control;
mod costs;
mod others;
mod serving;

use super::runs::{Estimate, Runs};
use super::size::Capacity;
use super::table::{Table, number};
pub(super) use control::MEMBERSHIP_BYTES;
pub(super) use costs::list_bytes_per_s;

/// One part of the fleet.
struct Role {
    /// Its name on the page, and at its markers with dashes for blanks.
    name: &'static str,
    /// What carries it, by file, or "none yet".
    mechanism: &'static str,
    /// What it costs.
    lines: &'static [Line],
}

/// All roles, in the order of the page.
fn roles() -> impl Iterator<Item = &'static Role> {
    [control::ROLES, serving::ROLES, others::ROLES].into_iter().flatten()
}

/// What a line is about.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Kind {
    State,
    Messages,
    Processor,
    Memory,
}

impl Kind {
    fn name(self) -> &'static str {
        match self {
            Kind::State => "state",
            Kind::Messages => "messages",
            Kind::Processor => "processor time",
            Kind::Memory => "memory",
        }
    }
}

/// The part of a run's figure that is this cost.
#[derive(Clone, Copy)]
enum Part {
    Whole,
    /// What grows: over an empty node.
    Growth,
    /// What grows with one dimension.
    Along(&'static str),
}

/// A cost of a role.
struct Line {
    kind: Kind,
    what: &'static str,
    unit: &'static str,
    /// What must hold, in the same unit.
    bound: Option<fn(&Capacity) -> f64>,
    /// The role and the figure of the scale run that measure it.
    run: Option<(&'static str, &'static str)>,
    /// The part of a run's figure that counts.
    part: Part,
    /// A run's figure counts so many times.
    times: f64,
    /// Where it follows without a run.
    form: Option<Form>,
}

/// What a figure rests on, if not on a scale run.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Basis {
    /// It follows from the size and the program's text.
    Closed,
    /// A line through the operators' first look.
    FirstLook,
    /// An earlier measurement that its arithmetic names.
    Earlier,
}

/// A figure that needs no scale run.
struct Form {
    basis: Basis,
    value: fn(&Capacity) -> f64,
    /// The arithmetic in one line.
    how: fn(&Capacity) -> String,
}

/// Where a value at full size is from.
enum Found {
    Estimate(Estimate),
    Form(Basis, f64, String),
    /// Measured at one size alone: value, size, run.
    Once(f64, String),
    Nothing,
}

impl Line {
    /// By the runs; else in closed form.
    fn find(&self, capacity: &Capacity, runs: &Runs) -> Found {
        let estimate = self.run.and_then(|(role, figure)| runs.estimate(role, figure, capacity));
        if let Some(mut estimate) = estimate {
            match self.part {
                Part::Whole => {}
                Part::Growth => estimate = estimate.growth(),
                Part::Along(dimension) => estimate = estimate.growth().along(dimension),
            }
            return Found::Estimate(estimate.times(self.times));
        }
        if let Some(form) = &self.form {
            return Found::Form(form.basis, (form.value)(capacity), (form.how)(capacity));
        }
        match self.run.and_then(|(role, figure)| runs.largest(role, figure)) {
            Some((size, value, run)) => {
                let at = format!(
                    "at {} nodes, {} servers, {} tenants, {} routes: {run}",
                    number(size.nodes.into()),
                    number(size.servers.into()),
                    number(size.tenants.into()),
                    number(size.routes.into())
                );
                Found::Once(value, at)
            }
            None => Found::Nothing,
        }
    }
}

impl Basis {
    fn name(self) -> &'static str {
        match self {
            Basis::Closed => "closed form",
            Basis::FirstLook => "the operators' first look",
            Basis::Earlier => "an earlier run",
        }
    }
}

impl Found {
    fn at_full_size(&self) -> Option<f64> {
        match self {
            Found::Estimate(it) => Some(it.value),
            Found::Form(_, value, _) => Some(*value),
            Found::Once(..) | Found::Nothing => None,
        }
    }

    fn source(&self) -> &'static str {
        match self {
            Found::Estimate(it) if it.proven => "run",
            Found::Estimate(_) => "run, not proven",
            Found::Form(basis, ..) => basis.name(),
            Found::Once(..) => "one size",
            Found::Nothing => "not measured",
        }
    }
}

/// How many times over its bound, for people.
fn factor(value: f64, bound: f64) -> String {
    let factor = value / bound;
    if factor > 1.0 { format!("{} over", number(factor)) } else { format!("{} of it", number(factor)) }
}

/// With its unit; many bytes in MB, short times in ms.
fn with_unit(value: f64, unit: &str) -> String {
    match unit {
        "" => number(value),
        "B" | "B/s" if value.abs() >= 1e6 => format!("{} M{unit}", number(value / 1e6)),
        "s" if value.abs() < 0.1 && value != 0.0 => format!("{} ms", number(value * 1e3)),
        _ => format!("{} {unit}", number(value)),
    }
}

/// What is bounded, worst first.
pub(super) fn summary(capacity: &Capacity, runs: &Runs) -> Table {
    let titles = ["role", "what", "bound", "at full size", "factor", "from", "mechanism"];
    let mut table = Table::new("summary", &titles);
    let mut rows = Vec::new();
    for role in roles() {
        for line in role.lines {
            let found = line.find(capacity, runs);
            let (Some(value), Some(bound)) = (found.at_full_size(), line.bound) else { continue };
            rows.push((value / bound(capacity), role, line, found, value, bound(capacity)));
        }
    }
    rows.sort_by(|a, b| b.0.total_cmp(&a.0));
    for (_, role, line, found, value, bound) in rows {
        table.row([
            role.name.to_owned(),
            line.what.to_owned(),
            with_unit(bound, line.unit),
            with_unit(value, line.unit),
            factor(value, bound),
            found.source().to_owned(),
            role.mechanism.to_owned(),
        ]);
    }
    table
}

/// A table for each role.
pub(super) fn by_role(capacity: &Capacity, runs: &Runs) -> Vec<Table> {
    roles().map(|role| of_role(role, capacity, runs)).collect()
}

fn of_role(role: &Role, capacity: &Capacity, runs: &Runs) -> Table {
    let titles =
        ["cost", "what", "slope and run", "arithmetic", "at full size", "bound", "factor", "measured up to"];
    let mut table =
        Table::new(&format!("role-{}", role.name.replace([' ', ','], "-").replace("--", "-")), &titles);
    for line in role.lines {
        let found = line.find(capacity, runs);
        let bound = line.bound.map(|bound| bound(capacity));
        let over = found.at_full_size().zip(bound).map(|(value, bound)| factor(value, bound));
        let [slope, arithmetic, full, up_to] = told(&found, line.unit);
        table.row([
            line.kind.name().to_owned(),
            line.what.to_owned(),
            slope,
            arithmetic,
            full,
            bound.map_or("none given".to_owned(), |bound| with_unit(bound, line.unit)),
            over.unwrap_or_else(|| "-".to_owned()),
            up_to,
        ]);
    }
    table
}

fn told(found: &Found, unit: &str) -> [String; 4] {
    let dash = || "-".to_owned();
    match found {
        Found::Estimate(it) => {
            let doubt = if it.proven { "" } else { "; not proven" };
            [
                format!("{}; {}{doubt}", it.slopes(), it.runs.join(", ")),
                it.arithmetic(),
                with_unit(it.value, unit),
                it.proven_to(),
            ]
        }
        Found::Form(basis, value, how) => {
            [basis.name().to_owned(), how.clone(), with_unit(*value, unit), dash()]
        }
        Found::Once(value, at) => {
            ["one size".to_owned(), with_unit(*value, unit), "not measured".to_owned(), at.clone()]
        }
        Found::Nothing => ["not measured".to_owned(), dash(), "not measured".to_owned(), dash()],
    }
}

/// How much of the page rests on what.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Count {
    /// Costs of roles that the page names.
    pub costs: usize,
    /// Reckoned from runs each of whose fits foretold its largest point.
    pub proven: usize,
    /// Reckoned from runs, not so.
    pub not_proven: usize,
    /// In closed form.
    pub closed: usize,
    /// By the operators' first look.
    pub first_look: usize,
    /// By an earlier measurement.
    pub earlier: usize,
    /// Measured at one size alone.
    pub once: usize,
    /// Not measured.
    pub not_measured: usize,
}

/// Counts what the page rests on.
pub fn count(capacity: &Capacity, runs: &Runs) -> Count {
    let mut count = Count::default();
    for line in roles().flat_map(|role| role.lines) {
        count.costs += 1;
        match line.find(capacity, runs) {
            Found::Estimate(it) if it.proven => count.proven += 1,
            Found::Estimate(_) => count.not_proven += 1,
            Found::Form(Basis::Closed, ..) => count.closed += 1,
            Found::Form(Basis::FirstLook, ..) => count.first_look += 1,
            Found::Form(Basis::Earlier, ..) => count.earlier += 1,
            Found::Once(..) => count.once += 1,
            Found::Nothing => count.not_measured += 1,
        }
    }
    count
}

pub(super) fn counted(capacity: &Capacity, runs: &Runs) -> Table {
    let count = count(capacity, runs);
    let mut table = Table::new("counted", &["costs that the page names", "how many"]);
    let rows = [
        ("from runs whose fits each foretold their largest point", count.proven),
        ("from runs, not proven", count.not_proven),
        ("closed form, or plain from the program's text", count.closed),
        ("the operators' first look", count.first_look),
        ("an earlier run", count.earlier),
        ("measured at one size alone", count.once),
        ("not measured", count.not_measured),
        ("all", count.costs),
    ];
    rows.into_iter().for_each(|(what, number)| table.row([what.to_owned(), number.to_string()]));
    table
}
