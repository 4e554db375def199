//! A scale run: each of its sizes is started, measured and ended, and the results are kept as they come.

use super::bounds::{self, Refused, Room, agents};
use super::figures::{Counts, figure, in_force, ready, traffic};
use super::fits::fits;
use super::fleet::{Fleet, Programs, Sample, structures};
use super::plan::{Deed, State, plan};
use super::real::Load;
use super::results::{Figure, Machine, Point, Results, ScaleSize};
use super::spec::{Scale, Trouble};
use super::usage;
use std::collections::BTreeMap;
use std::io;
use std::path::Path;
use std::time::Duration;
use tokio::time::{Instant, sleep, sleep_until};

/// Between two samples.
const SAMPLE_EVERY: Duration = Duration::from_secs(1);
/// Between two looks at whether all is well yet.
const LOOK: Duration = Duration::from_millis(100);

/// Why a run came to nothing.
#[derive(Debug, thiserror::Error)]
pub enum Failure {
    /// It is too large for the machine or for the bounds of runs.
    #[error("refused: {0}")]
    Refused(#[from] Refused),
    /// Something ended, or could not be started.
    #[error("{0}")]
    Io(#[from] io::Error),
}

/// Where the results of a run go, and whose they are.
pub struct Record<'a> {
    /// The commit that is measured.
    pub version: String,
    /// The folder; nothing is kept without one.
    pub folder: Option<&'a Path>,
}

/// Runs all sizes. `tell` hears of each point, and of what it is made of, as lines.
///
/// # Errors
/// If the run is refused, or something fails on its way; the points before that are kept.
pub async fn run(
    scale: &Scale,
    seed: u64,
    programs: &Programs,
    record: &Record<'_>,
    tell: &mut dyn FnMut(String),
) -> Result<Results, Failure> {
    let room = Room::here();
    for size in scale.sizes() {
        let need = bounds::need(scale, &size);
        tell(format!(
            "{}: reckoned {:.0} MB of {:.0}, {} processes of {}, {} descriptors of {}, {} ports of {}",
            named(&size),
            need.memory as f64 / 1e6,
            room.memory as f64 / 1e6,
            need.processes,
            bounds::MOST_PROCESSES,
            need.descriptors,
            room.descriptors,
            need.ports,
            room.ports
        ));
    }
    bounds::check(scale, &room)?;
    let machine = Machine {
        cores: std::thread::available_parallelism().map_or(0, usize::from),
        memory_mb: usage::machine_memory().unwrap_or_default() >> 20,
        load_1m: usage::load_1m().unwrap_or_default(),
    };
    let mut results = Results {
        experiment: scale.name.clone(),
        version: record.version.clone(),
        seed,
        subset: scale.subset,
        machine,
        points: Vec::new(),
        fits: Vec::new(),
    };
    for size in scale.sizes() {
        let begun = Instant::now();
        let figures = point(scale, &size, seed, programs, room.memory).await?;
        tell(format!("{}: measured in {:.1} s", named(&size), begun.elapsed().as_secs_f64()));
        results.points.push(Point { size, figures });
        if let Some(sweep) = &scale.sweep {
            results.fits = fits(&results.points, sweep.over);
        }
        if let Some(folder) = record.folder {
            results.write(folder)?;
        }
    }
    Ok(results)
}

/// A size in words.
#[must_use]
pub fn named(size: &ScaleSize) -> String {
    let ScaleSize { nodes, servers, tenants, routes, changes_per_s, restarts_per_s } = size;
    format!(
        "{nodes} nodes, {servers} servers, {tenants} tenants, {routes} routes, {changes_per_s} changes/s, \
         {restarts_per_s} restarts/s"
    )
}

async fn point(
    scale: &Scale,
    size: &ScaleSize,
    seed: u64,
    programs: &Programs,
    most_memory: u64,
) -> io::Result<Vec<Figure>> {
    std::fs::create_dir_all(&programs.folder)?;
    let mut fleet = Fleet::start(scale, size, seed, programs, most_memory).await?;
    let measured = measure(scale, size, seed, programs, &mut fleet).await;
    fleet.end().await;
    measured
}

/// What a measurement collects on its way.
#[derive(Default)]
struct Collected {
    ready_ms: Vec<u32>,
    changes_ms: BTreeMap<u64, Vec<u32>>,
    settings_ms: BTreeMap<u64, Vec<u32>>,
}

impl Collected {
    /// Moves from a sample what it tells only once.
    fn take(&mut self, sample: &mut Sample) {
        self.ready_ms.append(&mut sample.nodes.ready_ms);
        for (made, took) in std::mem::take(&mut sample.nodes.changes_ms) {
            self.changes_ms.entry(made).or_default().extend(took);
        }
        for (made, took) in std::mem::take(&mut sample.nodes.settings_ms) {
            self.settings_ms.entry(made).or_default().extend(took);
        }
    }
}

async fn measure(
    scale: &Scale,
    size: &ScaleSize,
    seed: u64,
    programs: &Programs,
    fleet: &mut Fleet,
) -> io::Result<Vec<Figure>> {
    let begun = Instant::now();
    let hollow = size.nodes - scale.real_nodes;
    let mut starts = Collected::default();
    let ready_share = until(fleet, begun, scale.ready_within_s, &mut starts, |sample| {
        f64::from(sample.nodes.ready) / f64::from(hollow)
    })
    .await?;
    let mut figures = ready("start", &starts.ready_ms);
    let state = structures(&programs.part, fleet).await?;
    figures.extend(state.iter().map(|(what, bytes)| figure("hollow node", what, "B", *bytes)));
    sleep(Duration::from_secs_f64(scale.settle_s)).await;

    let load =
        Load::start(&fleet.stand_ins, &fleet.real, scale.requests_per_s, seed, size.routes, size.tenants);
    let mut window = Collected::default();
    fleet.sample(begun).await.map(|mut sample| starts.take(&mut sample))?;
    let samples = play(scale, size, seed, fleet, &mut window).await?;
    let (requests_per_s, outcome) = load.end().await;
    let counts = Counts {
        hollow: f64::from(hollow),
        real: f64::from(scale.real_nodes),
        agents: f64::from(agents(scale, size)),
        list_servers: f64::from(scale.list_servers),
    };
    figures.extend(traffic(&samples, &counts));

    let marker = fleet.carry_out(&Deed::Servers(vec![0], State::InService)).await?;
    let ended = end(scale, size, marker, fleet, &mut window).await?;
    figures.extend(in_force("change of the list", &window.changes_ms));
    figures.extend(in_force("settings", &window.settings_ms));
    figures.extend(ready("restart", &window.ready_ms));
    figures.extend(ended);
    figures.push(figure("fleet", "nodes ready", "part", ready_share));
    figures.extend(of_real_nodes(fleet, &outcome, requests_per_s));
    figures.retain(|it| it.value.is_finite());
    Ok(figures)
}

/// Samples until a share of the nodes is 1, or the time is over. Returns the last share.
async fn until(
    fleet: &mut Fleet,
    begun: Instant,
    within_s: f64,
    collected: &mut Collected,
    share: impl Fn(&Sample) -> f64,
) -> io::Result<f64> {
    let end = Instant::now() + Duration::from_secs_f64(within_s);
    loop {
        let mut sample = fleet.sample(begun).await?;
        collected.take(&mut sample);
        let share = share(&sample);
        if share >= 1.0 || Instant::now() >= end {
            return Ok(share);
        }
        sleep(LOOK).await;
    }
}

/// Carries out the plan, and samples every second meanwhile.
async fn play(
    scale: &Scale,
    size: &ScaleSize,
    seed: u64,
    fleet: &mut Fleet,
    collected: &mut Collected,
) -> io::Result<Vec<Sample>> {
    let begun = Instant::now();
    let mut steps = plan(scale, size, seed).into_iter().peekable();
    let mut samples = Vec::new();
    let mut sample_at = begun;
    let end = begun + Duration::from_secs_f64(scale.seconds);
    loop {
        let step_at = steps.peek().map(|step| begun + Duration::from_millis(step.at_ms));
        match step_at.filter(|at| *at <= sample_at) {
            Some(at) => {
                sleep_until(at).await;
                if let Some(step) = steps.next() {
                    fleet.carry_out(&step.what).await?;
                }
            }
            None => {
                sleep_until(sample_at).await;
                let mut sample = fleet.sample(begun).await?;
                collected.take(&mut sample);
                samples.push(sample);
                if sample_at >= end {
                    return Ok(samples);
                }
                sample_at = (sample_at + SAMPLE_EVERY).min(end);
            }
        }
    }
}

/// After the last change: whether all nodes come to hold it, the last settings, and one view of the members.
async fn end(
    scale: &Scale,
    size: &ScaleSize,
    marker: u64,
    fleet: &mut Fleet,
    collected: &mut Collected,
) -> io::Result<Vec<Figure>> {
    let begun = Instant::now();
    let within = Duration::from_secs_f64(scale.agree_within_s);
    let hollow = size.nodes - scale.real_nodes;
    let settings = scale.troubles.iter().filter_map(|trouble| match trouble {
        Trouble::Settings { count, .. } => Some(*count),
        _ => None,
    });
    let wanted = settings.max().unwrap_or(0);
    let mut agreed_after = None;
    loop {
        let mut sample = fleet.sample(begun).await?;
        collected.take(&mut sample);
        let nodes = &sample.nodes;
        let mut views = nodes.views.clone();
        for view in fleet.real.views().await {
            *views.entry(view).or_default() += 1;
        }
        let whole = format!("{} ", size.nodes);
        let largest =
            views.iter().filter(|(view, _)| view.starts_with(&whole)).map(|(_, count)| *count).max();
        let one_view = f64::from(largest.unwrap_or(0)) / f64::from(size.nodes);
        let running = f64::from(nodes.running) / f64::from(hollow);
        let changes = nodes.running == hollow && nodes.held_ms >= marker;
        let settled = nodes.settings >= wanted;
        if one_view >= 1.0 && agreed_after.is_none() {
            agreed_after = Some(begun.elapsed().as_secs_f64());
        }
        if one_view >= 1.0 && changes && settled || begun.elapsed() >= within {
            let yes = |holds: bool| f64::from(u8::from(holds));
            let refused = f64::from(nodes.settings_refused) / f64::from(hollow);
            let mut figures = vec![
                figure("fleet", "nodes running at the end", "part", running),
                figure("fleet", "nodes ready at the end", "part", f64::from(nodes.ready) / f64::from(hollow)),
                figure("fleet", "all changes of the list in force at all nodes", "yes", yes(changes)),
                figure("fleet", "nodes that hold one view of all members", "part", one_view),
                figure("fleet", "made-up requests served", "part", part(nodes.served, nodes.requests)),
            ];
            if wanted > 0 {
                figures.push(figure("fleet", "last settings in force at all nodes", "yes", yes(settled)));
                figures.push(figure("fleet", "bad settings refused", "part", refused));
            }
            if let Some(after) = agreed_after {
                figures.push(figure("fleet", "one view after the end", "s", after));
            }
            return Ok(figures);
        }
        sleep(LOOK).await;
    }
}

fn part(some: u64, all: u64) -> f64 {
    some as f64 / all as f64
}

fn of_real_nodes(fleet: &Fleet, outcome: &crate::judge::Outcome, requests_per_s: f64) -> Vec<Figure> {
    let memory = fleet.real.memory();
    let count = memory.len() as f64;
    if memory.is_empty() {
        return Vec::new();
    }
    let mean = |values: &mut dyn Iterator<Item = f64>| values.sum::<f64>() / count;
    let served = outcome.figures.get("served").copied().unwrap_or(f64::NAN);
    vec![
        figure("real node", "ready after start", "s", mean(&mut fleet.real.ready_s.iter().copied())),
        figure("real node", "peak memory", "B", mean(&mut memory.iter().map(|(peak, _)| *peak))),
        figure("real node", "requests", "1/s", requests_per_s / count),
        figure("real node", "requests served within their aim", "part", served),
        figure("real node", "rules broken", "1", outcome.broken.len() as f64),
    ]
}
