//! The lab's command line. What it says goes to standard output, how it goes to standard error.

use clap::{Parser, Subcommand};
use hillpick_lab::results::{self, Verdict};
use hillpick_lab::size::Size;
use hillpick_lab::spec::Experiment;
use hillpick_lab::stats::Mean;
use hillpick_lab::{judge, paper, report};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// An emulator of a fleet of hillpick nodes, a rig of real ones, experiments and reports.
#[derive(Parser)]
#[command(name = "hillpick-lab", version, about)]
struct Line {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Runs an experiment, and fails if what it expects does not hold
    Run {
        /// The experiment file
        file: PathBuf,
        /// So many seeds, from 1 on, in place of the file's
        #[arg(long, value_name = "N")]
        seeds: Option<u64>,
        /// Only this size, such as 300x200, which the file need not name
        #[arg(long, value_name = "SIZE", value_parser = size)]
        size: Option<Size>,
        /// Keeps the results in this folder
        #[arg(long, value_name = "DIR")]
        out: Option<PathBuf>,
        /// Goes on with the same experiment in that folder
        #[arg(long, requires = "out")]
        resume: bool,
        /// Threads; one for each processor if not given. They change nothing but the time it takes
        #[arg(long, value_name = "N")]
        threads: Option<usize>,
    },
    /// Holds two folders, or two strategies as DIR:STRATEGY, against each other, seed by seed
    Compare {
        /// DIR or DIR:STRATEGY
        a: String,
        /// DIR or DIR:STRATEGY
        b: String,
    },
    /// Makes one page of a folder of results: DIR/report.html
    Report {
        /// The folder
        dir: PathBuf,
    },
    /// Lists the experiments of a folder
    List {
        /// The folder
        #[arg(default_value = "experiments")]
        dir: PathBuf,
    },
    /// Holds the emulator against the paper's Table 2 and the closed forms, and fails where it is off
    Paper {
        /// Only N = 100
        #[arg(long)]
        quick: bool,
    },
}

fn size(text: &str) -> Result<Size, String> {
    Size::try_from(text.to_string())
}

type Failure = Box<dyn std::error::Error>;

fn main() -> ExitCode {
    let filter = tracing_subscriber::EnvFilter::try_from_default_env();
    let filter = filter.unwrap_or_else(|_| tracing_subscriber::EnvFilter::new("warn"));
    tracing_subscriber::fmt().with_env_filter(filter).with_writer(std::io::stderr).init();
    let done = match Line::parse().command {
        Command::Run { file, seeds, size, out, resume, threads } => {
            run(&file, seeds, size, out.as_deref(), resume, threads)
        }
        Command::Compare { a, b } => compare(&a, &b).map(|()| true),
        Command::Report { dir } => make_report(&dir).map(|()| true),
        Command::List { dir } => list(&dir),
        Command::Paper { quick } => Ok(hold_against_the_paper(quick)),
    };
    match done {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(what) => {
            eprintln!("hillpick-lab: {what}");
            ExitCode::from(2)
        }
    }
}

fn run(
    file: &Path,
    seeds: Option<u64>,
    size: Option<Size>,
    out: Option<&Path>,
    resume: bool,
    threads: Option<usize>,
) -> Result<bool, Failure> {
    let mut experiment = Experiment::read(file)?;
    if let Some(size) = size {
        experiment.sizes = vec![size];
    }
    let text = std::fs::read_to_string(file)?;
    if let Some(folder) = out {
        results::prepare(folder, &text, resume)?;
    }
    if let Some(threads) = threads {
        rayon::ThreadPoolBuilder::new().num_threads(threads).build_global()?;
    }
    let seeds = seeds.unwrap_or(experiment.seeds).max(1);
    let jobs = results::jobs(&experiment, &experiment.sizes, seeds);
    let outcomes = results::play(&experiment, &jobs, out, false)?;
    println!("{}: {}", experiment.name, experiment.about);
    for size in &experiment.sizes {
        print!("{}", table(&experiment, &size.to_string(), seeds, &outcomes));
    }
    let verdicts = results::verdicts(&experiment, &experiment.sizes, &outcomes);
    for Verdict { size, expected, got, holds } in &verdicts {
        println!("{}  {size:>10}  {expected}: {got:.4}", if *holds { "holds " } else { "FAILED" });
    }
    for broken in
        outcomes.iter().filter(|outcome| outcome.strategy == "module").flat_map(|o| &o.broken).take(5)
    {
        let judge::Broken { rule, request, node, at_s, seed, what } = broken;
        println!("rule {rule:?} broken: request {request}, node {node}, {at_s:.6} s, seed {seed}: {what}");
    }
    if let Some(folder) = out {
        results::summarize(folder, &experiment, &verdicts)?;
    }
    Ok(verdicts.iter().all(|verdict| verdict.holds))
}

/// The figures of every strategy at a size, as means over the seeds.
fn table(experiment: &Experiment, size: &str, seeds: u64, outcomes: &[judge::Outcome]) -> String {
    let kinds: Vec<_> = experiment.strategies.iter().map(ToString::to_string).collect();
    let mut text = format!("\n{size}, {seeds} seeds\n{:<22}", "");
    kinds.iter().for_each(|kind| text += &format!("{kind:>14}"));
    for figure in judge::FIGURES {
        text += &format!("\n{figure:<22}");
        for kind in &kinds {
            let values = results::values(outcomes, size, kind, figure);
            let mean = Mean::of(&values).mean;
            text += &if mean.is_finite() { format!("{mean:>14.4}") } else { format!("{:>14}", "-") };
        }
    }
    let those = |kind: &str| {
        outcomes.iter().filter(move |o| o.size == size && o.strategy == *kind).collect::<Vec<_>>()
    };
    let causes: std::collections::BTreeSet<_> =
        outcomes.iter().filter(|o| o.size == size).flat_map(|o| o.lost.keys()).collect();
    for cause in causes {
        text += &format!("\n{:<22}", format!("lost: {cause}"));
        for kind in &kinds {
            let runs = those(kind);
            let sum = runs.iter().filter_map(|o| o.lost.get(cause)).fold(0.0, |sum, lost| sum + lost);
            text += &format!("{:>14.4}", sum / runs.len().max(1) as f64);
        }
    }
    text + "\n"
}

fn side(text: &str) -> Result<(Vec<judge::Outcome>, Option<String>), Failure> {
    let (dir, strategy) = match text.rsplit_once(':') {
        Some((dir, strategy)) => (dir, Some(strategy.to_string())),
        None => (text, None),
    };
    let (_, outcomes) = results::read(Path::new(dir))?;
    let those = outcomes.into_iter().filter(|o| strategy.as_ref().is_none_or(|only| o.strategy == *only));
    Ok((those.collect(), strategy))
}

fn compare(a: &str, b: &str) -> Result<(), Failure> {
    let ((left, of_left), (right, of_right)) = (side(a)?, side(b)?);
    let by_name = of_left.is_none() && of_right.is_none();
    let pairs: Vec<_> = left
        .iter()
        .filter_map(|a| {
            let pairs = |b: &&judge::Outcome| {
                a.size == b.size && a.seed == b.seed && (!by_name || a.strategy == b.strategy)
            };
            Some((a, right.iter().find(pairs)?))
        })
        .collect();
    if pairs.is_empty() {
        return Err(format!("{a} and {b} have no run of the same size and seed").into());
    }
    let mut groups: Vec<_> = pairs.iter().map(|(a, b)| (&a.size, &a.strategy, &b.strategy)).collect();
    groups.dedup();
    groups.sort();
    groups.dedup();
    for (size, of_a, of_b) in groups {
        println!(
            "\n{size}: A = {of_a}, B = {of_b}\n{:<22}{:>12}{:>12}{:>14}{:>12}",
            "", "A", "B", "B - A", "+-"
        );
        for figure in judge::FIGURES {
            let of = |o: &judge::Outcome| o.figures.get(figure).copied().filter(|value| value.is_finite());
            let here =
                pairs.iter().filter(|(a, b)| (&a.size, &a.strategy, &b.strategy) == (size, of_a, of_b));
            let both: Vec<_> = here.filter_map(|(a, b)| Some((of(a)?, of(b)?))).collect();
            if both.is_empty() {
                continue;
            }
            let mean =
                |side: fn(&(f64, f64)) -> f64| Mean::of(&both.iter().map(side).collect::<Vec<_>>()).mean;
            let by = Mean::of(&both.iter().map(|(a, b)| b - a).collect::<Vec<_>>());
            let verdict = if by.is_noise() { "noise" } else { "" };
            println!(
                "{figure:<22}{:>12.4}{:>12.4}{:>14.4}{:>12.4}  {verdict}",
                mean(|both| both.0),
                mean(|both| both.1),
                by.mean,
                by.half
            );
        }
    }
    Ok(())
}

fn make_report(dir: &Path) -> Result<(), Failure> {
    let (experiment, outcomes) = results::read(dir)?;
    let verdicts = results::verdicts(&experiment, &experiment.sizes, &outcomes);
    let file = dir.join("report.html");
    std::fs::write(&file, report::page(&experiment, &outcomes, &verdicts)?)?;
    println!("{}", file.display());
    Ok(())
}

/// Every experiment below a folder; false if one of them is no good.
fn list(dir: &Path) -> Result<bool, Failure> {
    let mut folders = vec![dir.to_path_buf()];
    let mut files = Vec::new();
    while let Some(folder) = folders.pop() {
        for entry in std::fs::read_dir(&folder).map_err(|e| format!("{}: {e}", folder.display()))? {
            let path = entry?.path();
            if path.is_dir() {
                folders.push(path);
            } else if path.extension().is_some_and(|extension| extension == "toml") {
                files.push(path);
            }
        }
    }
    files.sort();
    let mut good = true;
    for file in files {
        match Experiment::read(&file) {
            Ok(it) => {
                let sizes: Vec<_> = it.sizes.iter().map(ToString::to_string).collect();
                println!("{:<40} {:<26} {}", file.display(), sizes.join(" "), it.about);
            }
            Err(what) => {
                good = false;
                println!("{what}");
            }
        }
    }
    Ok(good)
}

fn hold_against_the_paper(quick: bool) -> bool {
    println!(
        "{:<40}{:>12}{:>12}{:>12}{:>12}{:>10}",
        "mean response time", "known", "+-", "ours", "+-", "off by"
    );
    let tell = |line: &paper::Line| {
        let paper::Line { what, known, ours } = line;
        let off = ours.mean / known.mean - 1.0;
        let verdict = if line.holds() { "" } else { "  OFF" };
        println!(
            "{what:<40}{:>12.4}{:>12.4}{:>12.4}{:>12.4}{:>9.2}%{verdict}",
            known.mean,
            known.half,
            ours.mean,
            ours.half,
            100.0 * off
        );
    };
    let mut lines = paper::closed_forms();
    lines.iter().for_each(tell);
    lines.extend(paper::table(quick, tell));
    paper::starred().iter().for_each(|line| println!("{line}"));
    lines.iter().all(paper::Line::holds)
}
