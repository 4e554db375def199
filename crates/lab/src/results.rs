//! A folder of results: the experiment, one file a run, and the summary. Each file is there whole or not at all, so
//! that what is done can be read when a run is interrupted half way.

use crate::expect::{Expectation, Figure};
use crate::judge::Outcome;
use crate::shares::{Group, Part};
use crate::size::Size;
use crate::spec::{Experiment, Problem};
use crate::stats::Mean;
use crate::strategy::Kind;
use indicatif::{ProgressBar, ProgressStyle};
use rayon::prelude::*;
use serde::Serialize;
use std::collections::BTreeMap;
use std::fs;
use std::io;
use std::path::{Path, PathBuf};

/// Why results can't be kept, or read.
#[derive(Debug, thiserror::Error)]
pub enum Trouble {
    /// The experiment is no good.
    #[error(transparent)]
    Experiment(#[from] Problem),
    /// A file can't be read or written.
    #[error("{path}: {source}")]
    File {
        /// The file.
        path: PathBuf,
        /// What the system says.
        source: io::Error,
    },
    /// A file is not what it should be.
    #[error("{path}: {source}: expected a result as `hillpick-lab run` writes it")]
    Form {
        /// The file.
        path: PathBuf,
        /// What is wrong.
        source: serde_json::Error,
    },
    /// There is something in the folder.
    #[error(
        "{path} holds something already: name another folder, or go on with the same experiment by --resume"
    )]
    Taken {
        /// The folder.
        path: PathBuf,
    },
    /// The folder holds another experiment.
    #[error(
        "{path} holds the results of another experiment (or of an earlier text of this one): name another folder"
    )]
    Another {
        /// The folder.
        path: PathBuf,
    },
    /// There is nothing to look at.
    #[error("{path} holds no results")]
    Empty {
        /// The folder.
        path: PathBuf,
    },
}

fn at(path: &Path) -> impl FnOnce(io::Error) -> Trouble {
    let path = path.to_path_buf();
    move |source| Trouble::File { path, source }
}

/// One run: at which size, by which strategy, from which seed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Job {
    /// Nodes and servers.
    pub size: Size,
    /// The strategy.
    pub kind: Kind,
    /// The seed.
    pub seed: u64,
}

impl Job {
    fn file(&self, folder: &Path) -> PathBuf {
        folder.join("runs").join(format!("{}-{}-{}.json", self.size, self.kind, self.seed))
    }
}

/// All runs of an experiment, in the order in which they are told of.
pub fn jobs(experiment: &Experiment, sizes: &[Size], seeds: u64) -> Vec<Job> {
    let mut jobs = Vec::new();
    for size in sizes {
        for kind in &experiment.strategies {
            jobs.extend((1..=seeds).map(|seed| Job { size: *size, kind: *kind, seed }));
        }
    }
    jobs
}

/// Makes a folder ready for the results of an experiment with this text.
pub fn prepare(folder: &Path, text: &str, resume: bool) -> Result<(), Trouble> {
    let file = folder.join("experiment.toml");
    let filled = match fs::read_dir(folder) {
        Ok(mut entries) => entries.next().is_some(),
        Err(error) if error.kind() == io::ErrorKind::NotFound => false,
        Err(error) => return Err(at(folder)(error)),
    };
    if filled {
        if !resume {
            return Err(Trouble::Taken { path: folder.into() });
        }
        let held = fs::read_to_string(&file).map_err(at(&file))?;
        if held != text {
            return Err(Trouble::Another { path: folder.into() });
        }
    }
    let runs = folder.join("runs");
    fs::create_dir_all(&runs).map_err(at(&runs))?;
    put(&file, text.as_bytes())
}

/// Writes a file whole, or not at all.
fn put(path: &Path, bytes: &[u8]) -> Result<(), Trouble> {
    let half = path.with_extension("half");
    fs::write(&half, bytes).and_then(|()| fs::rename(&half, path)).map_err(at(path))
}

fn put_json(path: &Path, what: &impl Serialize) -> Result<(), Trouble> {
    let mut text = serde_json::to_vec_pretty(what)
        .map_err(|source| Trouble::Form { path: path.to_path_buf(), source })?;
    text.push(b'\n');
    put(path, &text)
}

/// Plays all jobs, on as many threads as there are, and returns what came of them in their order. With a folder, each
/// result is kept there as soon as it is known, and one that is there already is not played again.
pub fn play(
    experiment: &Experiment,
    jobs: &[Job],
    folder: Option<&Path>,
    quiet: bool,
) -> Result<Vec<Outcome>, Trouble> {
    let bar = if quiet { ProgressBar::hidden() } else { ProgressBar::new(jobs.len() as u64) };
    if let Ok(style) = ProgressStyle::with_template("{bar:40} {pos}/{len} runs, {elapsed} gone, {eta} to go")
    {
        bar.set_style(style);
    }
    let outcomes = jobs.par_iter().map(|job| {
        let file = folder.map(|folder| job.file(folder));
        let held = file.as_ref().filter(|file| file.exists());
        let outcome = match held {
            Some(file) => read_run(file)?,
            None => {
                let outcome = crate::emu::run(experiment, job.size, job.kind, job.seed);
                file.map_or(Ok(()), |file| put_json(&file, &outcome))?;
                outcome
            }
        };
        bar.inc(1);
        Ok(outcome)
    });
    let outcomes: Result<_, Trouble> = outcomes.collect();
    bar.finish_and_clear();
    Ok(with_floors(outcomes?))
}

/// Each run held against that of the policy that sees late, where there is one of its size and seed.
fn with_floors(mut outcomes: Vec<Outcome>) -> Vec<Outcome> {
    let name = Kind::LateSeeing.to_string();
    let late: Vec<_> = outcomes.iter().filter(|outcome| outcome.strategy == name).cloned().collect();
    for outcome in &mut outcomes {
        let same = |late: &&Outcome| late.size == outcome.size && late.seed == outcome.seed;
        if let Some(late) = late.iter().find(same) {
            outcome.hold_against(late);
        }
    }
    outcomes
}

fn read_run(file: &Path) -> Result<Outcome, Trouble> {
    let text = fs::read(file).map_err(at(file))?;
    serde_json::from_slice(&text).map_err(|source| Trouble::Form { path: file.into(), source })
}

/// The experiment of a folder, and all its results so far, in the order of their files.
pub fn read(folder: &Path) -> Result<(Experiment, Vec<Outcome>), Trouble> {
    let experiment = Experiment::read(&folder.join("experiment.toml"))?;
    let runs = folder.join("runs");
    let entries = fs::read_dir(&runs).map_err(at(&runs))?;
    let mut files = Vec::new();
    for entry in entries {
        let path = entry.map_err(at(&runs))?.path();
        if path.extension().is_some_and(|extension| extension == "json") {
            files.push(path);
        }
    }
    files.sort();
    let outcomes: Vec<_> = files.iter().map(|file| read_run(file)).collect::<Result<_, _>>()?;
    if outcomes.is_empty() {
        return Err(Trouble::Empty { path: folder.into() });
    }
    Ok((experiment, with_floors(outcomes)))
}

/// The values of a figure over the seeds, of one strategy at one size; only those that are numbers.
pub fn values(outcomes: &[Outcome], size: &str, strategy: &str, figure: &str) -> Vec<f64> {
    values_of(outcomes, size, strategy, (figure, None))
}

/// The same, of a class or a tenant if one is given.
pub fn values_of(
    outcomes: &[Outcome],
    size: &str,
    strategy: &str,
    (figure, of): (&str, Option<&Group>),
) -> Vec<f64> {
    let those = outcomes.iter().filter(|outcome| outcome.size == size && outcome.strategy == strategy);
    those.filter_map(|outcome| outcome.figure(figure, of)).filter(|value| value.is_finite()).collect()
}

/// Parts by class, tenant and third, in this order.
type Gathered<'a> = BTreeMap<(u8, usize, &'a str), (Group, Vec<&'a Part>)>;

/// What each class, each tenant that is held to a least part, and each third of the day had at a size: its part of requests and worth (which
/// no strategy changes), as means over all runs.
pub fn groups(outcomes: &[Outcome], size: &str) -> Vec<(Group, Part)> {
    let mut of = Gathered::new();
    for outcome in outcomes.iter().filter(|outcome| outcome.size == size) {
        for (name, part) in &outcome.classes {
            let group = || (Group::Class(name.clone()), Vec::new());
            of.entry((0, 0, name)).or_insert_with(group).1.push(part);
        }
        for (number, part) in outcome.tenants.iter().filter(|(_, part)| part.held) {
            let group = || (Group::Tenant(*number), Vec::new());
            of.entry((1, *number, "")).or_insert_with(group).1.push(part);
        }
        for (third, part) in (1..).zip(&outcome.thirds) {
            of.entry((2, third, "")).or_insert_with(|| (Group::Third(third), Vec::new())).1.push(part);
        }
    }
    let mean = |parts: &[&Part], of: fn(&Part) -> f64| {
        parts.iter().map(|part| of(part)).sum::<f64>() / parts.len() as f64
    };
    let part = |parts: Vec<&Part>| Part {
        served: mean(&parts, |part| part.served),
        requests: mean(&parts, |part| part.requests),
        worth: mean(&parts, |part| part.worth),
        held: parts.iter().any(|part| part.held),
    };
    of.into_values().map(|(group, parts)| (group, part(parts))).collect()
}

/// An expectation, looked at.
#[derive(Clone, Debug, Serialize)]
pub struct Verdict {
    /// At which size.
    pub size: String,
    /// What was expected.
    pub expected: String,
    /// What it came to, as the mean over the seeds.
    pub got: f64,
    /// Whether it holds.
    pub holds: bool,
}

/// Looks at every expectation at every size that it speaks of.
pub fn verdicts(experiment: &Experiment, sizes: &[Size], outcomes: &[Outcome]) -> Vec<Verdict> {
    let mut verdicts = Vec::new();
    for wanted in &experiment.expect {
        for size in sizes.iter().filter(|size| wanted.size.is_none_or(|only| only == **size)) {
            verdicts.push(verdict(experiment, wanted, &size.to_string(), outcomes));
        }
    }
    verdicts
}

fn verdict(experiment: &Experiment, wanted: &Expectation, size: &str, outcomes: &[Outcome]) -> Verdict {
    let (got, holds) = wanted.holds(|Figure { strategy, metric, of }| {
        let kind = strategy.or_else(|| experiment.strategies.first().copied())?;
        let values = values_of(outcomes, size, &kind.to_string(), (metric, of.as_ref()));
        (!values.is_empty()).then(|| Mean::of(&values).mean)
    });
    Verdict { size: size.into(), expected: wanted.to_string(), got, holds }
}

/// Writes the summary of a folder.
pub fn summarize(folder: &Path, experiment: &Experiment, verdicts: &[Verdict]) -> Result<(), Trouble> {
    #[derive(Serialize)]
    struct Summary<'a> {
        name: &'a str,
        about: &'a str,
        passed: bool,
        expectations: &'a [Verdict],
    }
    let passed = verdicts.iter().all(|verdict| verdict.holds);
    let summary =
        Summary { name: &experiment.name, about: &experiment.about, passed, expectations: verdicts };
    put_json(&folder.join("summary.json"), &summary)
}
