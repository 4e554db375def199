//! The lab's command line. What it says goes to standard output, how it goes to standard error.

use clap::{Parser, Subcommand};
use hillpick_lab::capacity::runs::Runs;
use hillpick_lab::capacity::size::Capacity;
use hillpick_lab::results::{self, Verdict};
use hillpick_lab::rig::spec::Rig;
use hillpick_lab::scale::spec::Scale;
use hillpick_lab::size::Size;
use hillpick_lab::spec::Experiment;
use hillpick_lab::stats::Mean;
use hillpick_lab::strategy::Kind;
use hillpick_lab::{capacity, judge, late, paper, report, rig, scale};
use std::io::Write;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

macro_rules! say {
    ($($line:tt)*) => { say(format_args!($($line)*)) };
}

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
    /// Plays the module and shows what makes requests late: their ends, and how the servers stood that answered
    Late {
        /// The experiment file
        file: PathBuf,
        /// So many seeds, from 1 on, in place of the file's
        #[arg(long, value_name = "N")]
        seeds: Option<u64>,
        /// Nodes and servers, which the file need not name
        #[arg(long, value_name = "SIZE", value_parser = size, default_value = "300x200")]
        size: Size,
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
    /// Runs real nodes on loopback, with faults between them, and judges them
    Rig {
        /// The rig file
        file: PathBuf,
        /// The node's program; `sillward` beside this one if not given
        #[arg(long, value_name = "PATH")]
        node: Option<PathBuf>,
        /// In place of the file's seed
        #[arg(long, value_name = "N")]
        seed: Option<u64>,
        /// Nodes and servers in place of the file's, such as 12x24
        #[arg(long, value_name = "SIZE", value_parser = size)]
        size: Option<Size>,
    },
    /// Runs the nodes' control code at scale, and says what it costs by size
    Scale {
        /// The scale file
        file: PathBuf,
        /// The node's program; `sillward` beside this one if not given
        #[arg(long, value_name = "PATH")]
        node: Option<PathBuf>,
        /// In place of the file's seed
        #[arg(long, value_name = "N")]
        seed: Option<u64>,
        /// The commit that is measured, for the results
        #[arg(long, value_name = "COMMIT", default_value = "unknown")]
        version: String,
        /// Keeps the results in this folder
        #[arg(long, value_name = "DIR")]
        out: Option<PathBuf>,
    },
    /// Holds the node's throughput and processor time against a bare pass-through
    Throughput {
        /// The node's program; `sillward` beside this one if not given
        #[arg(long, value_name = "PATH")]
        node: Option<PathBuf>,
        /// So long each time, in s
        #[arg(long, default_value_t = 2.0)]
        seconds: f64,
    },
    /// A bare pass-through to these addresses, separated by commas
    #[command(hide = true)]
    Pass {
        /// The addresses
        #[arg(value_delimiter = ',')]
        to: Vec<std::net::SocketAddr>,
    },
    /// Starts a program that ends when this one's parent does
    #[command(hide = true)]
    Guard {
        /// The program
        program: PathBuf,
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
    /// Reckons the fleet that is coming from the recorded scale runs and from closed forms, and prints its tables
    Capacity {
        /// Puts the tables between their markers on the page
        #[arg(long)]
        write: bool,
        /// What the operators state
        #[arg(long, value_name = "FILE", default_value = "docs/capacity.toml")]
        size: PathBuf,
        /// The recorded runs
        #[arg(long, value_name = "DIR", default_value = "experiments/scale/results")]
        runs: PathBuf,
        /// The page
        #[arg(long, value_name = "FILE", default_value = "docs/CAPACITY.md")]
        page: PathBuf,
    },
    /// Holds the emulator against the paper's Table 2 and the closed forms, and fails where it is off
    Paper {
        /// Only N = 100
        #[arg(long)]
        quick: bool,
    },
}

/// A line on standard output. Who reads no further, such as `head`, is no reason to stop.
fn say(line: std::fmt::Arguments) {
    let _ = writeln!(std::io::stdout().lock(), "{line}");
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
        Command::Late { file, seeds, size, threads } => show_late(&file, seeds, size, threads).map(|()| true),
        Command::Compare { a, b } => compare(&a, &b).map(|()| true),
        Command::Report { dir } => make_report(&dir).map(|()| true),
        Command::Rig { file, node, seed, size } => run_rig(&file, node, seed, size),
        Command::Scale { file, node, seed, version, out } => {
            run_scale(&file, node, seed, version, out.as_deref())
        }
        Command::Guard { program } => guard(&program),
        Command::Throughput { node, seconds } => throughput(node, seconds),
        Command::Pass { to } => rig::throughput::pass(to).map(|()| true).map_err(Into::into),
        Command::List { dir } => list(&dir),
        Command::Capacity { write, size, runs, page } => show_capacity(&size, &runs, write.then_some(&page)),
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

fn show_capacity(size: &Path, runs: &Path, page: Option<&PathBuf>) -> Result<bool, Failure> {
    let (size, runs) = (Capacity::read(size)?, Runs::read(runs)?);
    let tables = capacity::tables(&size, &runs);
    match page {
        Some(page) => std::fs::write(page, capacity::filled(&std::fs::read_to_string(page)?, &tables)?)?,
        None => tables.iter().for_each(|table| say!("{}\n\n{}", table.name, table.markdown())),
    }
    Ok(true)
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
    say!("{}: {}", experiment.name, experiment.about);
    for size in &experiment.sizes {
        say!("{}", table(&experiment, &size.to_string(), seeds, &outcomes));
    }
    let verdicts = results::verdicts(&experiment, &experiment.sizes, &outcomes);
    for Verdict { size, expected, got, holds } in &verdicts {
        say!("{}  {size:>10}  {expected}: {got:.4}", if *holds { "holds " } else { "FAILED" });
    }
    for broken in
        outcomes.iter().filter(|outcome| outcome.strategy == "module").flat_map(|o| &o.broken).take(5)
    {
        let judge::Broken { rule, request, node, at_s, seed, what } = broken;
        say!("rule {rule:?} broken: request {request}, node {node}, {at_s:.6} s, seed {seed}: {what}");
    }
    if let Some(folder) = out {
        results::summarize(folder, &experiment, &verdicts)?;
    }
    Ok(verdicts.iter().all(|verdict| verdict.holds))
}

fn show_late(file: &Path, seeds: Option<u64>, size: Size, threads: Option<usize>) -> Result<(), Failure> {
    let experiment = Experiment::read(file)?;
    if let Some(threads) = threads {
        rayon::ThreadPoolBuilder::new().num_threads(threads).build_global()?;
    }
    let seeds = seeds.unwrap_or(experiment.seeds).max(1);
    let fates = late::play(&experiment, size, Kind::Module, seeds);
    say!("{}, {size}, {seeds} seeds, {} requests, in %", experiment.name, fates.requests());
    late::lines(&fates).into_iter().for_each(|(name, share)| say!("{name:<40}{share:>8.2}"));
    Ok(())
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
    for (group, part) in results::groups(outcomes, size) {
        text += &format!("\n{:<22}", format!("served[{group}]"));
        for kind in &kinds {
            let values = results::values_of(outcomes, size, kind, ("served", Some(&group)));
            text += &format!("{:>14.4}", Mean::of(&values).mean);
        }
        let (requests, worth) = (100.0 * part.requests, 100.0 * part.worth);
        let held = if part.held { ", held" } else { "" };
        text += &format!("  {requests:.1} % of requests, {worth:.1} % of worth{held}");
    }
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
    text
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
        say!("\n{size}: A = {of_a}, B = {of_b}\n{:<22}{:>12}{:>12}{:>14}{:>12}", "", "A", "B", "B - A", "+-");
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
            say!(
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
    // Of a run that was interrupted, or played at one size, only that is judged.
    let played = |size: &Size| outcomes.iter().any(|outcome| outcome.size == size.to_string());
    let sizes: Vec<_> = experiment.sizes.iter().copied().filter(played).collect();
    let verdicts = results::verdicts(&experiment, &sizes, &outcomes);
    let file = dir.join("report.html");
    std::fs::write(&file, report::page(&experiment, &outcomes, &verdicts)?)?;
    say!("{}", file.display());
    Ok(())
}

/// The sizes of an experiment or a rig, and what it asks.
fn about(file: &Path) -> Result<(String, String), Failure> {
    // A rig's file says how many nodes there are; in an experiment's, nodes are a table.
    let text = std::fs::read_to_string(file).map_err(|e| format!("{}: {e}", file.display()))?;
    let table: toml::Table = text.parse().unwrap_or_default();
    if table.get("nodes").is_some_and(toml::Value::is_integer) {
        let rig = Rig::read(file)?;
        return Ok((format!("rig {}x{}", rig.nodes, rig.servers), rig.about));
    }
    // A scale file's size is a table of its own.
    if table.contains_key("size") {
        let scale = Scale::read(file)?;
        let sizes: Vec<_> = scale.sizes().iter().map(|it| format!("{}x{}", it.nodes, it.servers)).collect();
        return Ok((format!("scale {}", sizes.join(" ")), scale.about));
    }
    let it = Experiment::read(file)?;
    let sizes: Vec<_> = it.sizes.iter().map(ToString::to_string).collect();
    Ok((sizes.join(" "), it.about))
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
        match about(&file) {
            Ok((sizes, about)) => say!("{:<46} {sizes:<26} {about}", file.display()),
            Err(what) => {
                good = false;
                say!("{what}");
            }
        }
    }
    Ok(good)
}

/// Becomes the program, and ends with the parent, however that ends.
fn guard(program: &Path) -> Result<bool, Failure> {
    use std::os::unix::process::CommandExt;
    let parent = rustix::process::getppid();
    rustix::process::set_parent_process_death_signal(Some(rustix::process::Signal::KILL))?;
    if rustix::process::getppid() != parent {
        return Err("its parent has gone".into());
    }
    Err(std::process::Command::new(program).exec().into())
}

/// The node's program, guarded by this one, and a folder for its files.
fn program(node: Option<PathBuf>) -> Result<(rig::Program, PathBuf), Failure> {
    let this = std::env::current_exe()?;
    let node = node.unwrap_or_else(|| this.with_file_name("sillward"));
    if !node.exists() {
        return Err(format!("{}: no node there; build it by `cargo build --release`", node.display()).into());
    }
    let folder = std::env::temp_dir().join(format!("hillpick-rig-{}", std::process::id()));
    Ok((rig::Program { node, guard: Some(this) }, folder))
}

/// Plays something with processes until it ends or is interrupted. Nothing is left behind, whatever happens: processes
/// end with what holds them, and their files are removed.
fn with_processes<T>(folder: &Path, what: impl Future<Output = std::io::Result<T>>) -> Result<T, Failure> {
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(4).enable_all().build()?;
    let ended = runtime.block_on(async {
        let mut terminate = tokio::signal::unix::signal(tokio::signal::unix::SignalKind::terminate())?;
        tokio::select! {
            ended = what => ended,
            _ = tokio::signal::ctrl_c() => Err(std::io::Error::other("interrupted")),
            _ = terminate.recv() => Err(std::io::Error::other("told to stop")),
        }
    });
    runtime.shutdown_timeout(std::time::Duration::from_secs(5));
    if folder.exists() {
        std::fs::remove_dir_all(folder)?;
    }
    Ok(ended?)
}

fn throughput(node: Option<PathBuf>, seconds: f64) -> Result<bool, Failure> {
    let (program, folder) = program(node)?;
    let lab = std::env::current_exe()?;
    let compared = with_processes(&folder, rig::throughput::compare(&program, &lab, &folder, seconds))?;
    say!("{:<10}{:>14}{:>14}{:>14}{:>14}", "round", "node 1/s", "bare 1/s", "node us", "bare us");
    for (round, (node, bare)) in compared.node.iter().zip(&compared.bare).enumerate() {
        let (a, b, c, d) = (node.per_s, bare.per_s, node.cpu_us, bare.cpu_us);
        say!("{:<10}{a:>14.0}{b:>14.0}{c:>14.1}{d:>14.1}", round + 1);
    }
    let (per_s, cpu) = (compared.ratio(|round| round.per_s), compared.ratio(|round| round.cpu_us));
    say!("node over bare: {:.2} +- {:.2} of the throughput", per_s.mean, per_s.half);
    say!("node over bare: {:.2} +- {:.2} of the processor time a request", cpu.mean, cpu.half);
    Ok(true)
}

fn run_rig(
    file: &Path,
    node: Option<PathBuf>,
    seed: Option<u64>,
    size: Option<Size>,
) -> Result<bool, Failure> {
    let mut rig = Rig::read(file)?;
    if let Some(size) = size {
        (rig.nodes, rig.servers) = (size.nodes, size.servers);
        rig.check(&file.display().to_string())?;
    }
    rig.seed = seed.unwrap_or(rig.seed);
    let (program, folder) = program(node)?;
    let outcome = with_processes(&folder, rig::run(&rig, &program, &folder))?;
    say!("{}: {}", rig.name, rig.about);
    for (figure, value) in &outcome.figures {
        say!("{figure:<22}{value:>14.4}");
    }
    for (class, part) in &outcome.classes {
        let (requests, worth) = (100.0 * part.requests, 100.0 * part.worth);
        let name = format!("served[class={class}]");
        say!("{name:<22}{:>14.4}  {requests:.1} % of requests, {worth:.1} % of worth", part.served);
    }
    for (cause, share) in &outcome.lost {
        say!("{:<22}{share:>14.4}", format!("lost: {cause}"));
    }
    for (node, (cpu_s, memory_mb)) in outcome.processes.iter().enumerate() {
        say!("{:<22}{cpu_s:>12.2} s{memory_mb:>10.1} MB", format!("node n{node}"));
    }
    for judge::Broken { rule, request, node, at_s, seed, what } in outcome.broken.iter().take(20) {
        say!("rule {rule:?} broken: request {request:016x}, node {node}, {at_s:.3} s, seed {seed}: {what}");
    }
    let mut good = outcome.broken.is_empty();
    for wanted in &rig.expect {
        let (got, holds) = wanted.holds(|figure| outcome.figure(&figure.metric, figure.of.as_ref()));
        say!("{}  {wanted}: {got:.4}", if holds { "holds " } else { "FAILED" });
        good &= holds;
    }
    Ok(good)
}

fn run_scale(
    file: &Path,
    node: Option<PathBuf>,
    seed: Option<u64>,
    version: String,
    out: Option<&Path>,
) -> Result<bool, Failure> {
    let scale = Scale::read(file)?;
    let (program, folder) = program(node)?;
    let part = std::env::current_exe()?.with_file_name("hillpick-hollow");
    let programs = scale::fleet::Programs { part, node: program, folder: folder.clone() };
    let record = scale::run::Record { version, folder: out };
    let seed = seed.unwrap_or(scale.seed);
    say!("{}: {}", scale.name, scale.about);
    let mut tell = |line: String| say!("{line}");
    let run = async {
        let results = scale::run::run(&scale, seed, &programs, &record, &mut tell).await;
        Ok(results.map_err(|what| what.to_string()))
    };
    let results = with_processes(&folder, run)??;
    scale::report::lines(&results).iter().for_each(|line| say!("{line}"));
    let (lines, good) = scale::report::verdicts(&scale, &results);
    lines.iter().for_each(|line| say!("{line}"));
    Ok(good)
}

fn hold_against_the_paper(quick: bool) -> bool {
    say!("{:<40}{:>12}{:>12}{:>12}{:>12}{:>10}", "mean response time", "known", "+-", "ours", "+-", "off by");
    let tell = |line: &paper::Line| {
        let paper::Line { what, known, ours } = line;
        let off = ours.mean / known.mean - 1.0;
        let verdict = if line.holds() { "" } else { "  OFF" };
        say!(
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
    paper::starred().iter().for_each(|line| say!("{line}"));
    lines.iter().all(paper::Line::holds)
}
