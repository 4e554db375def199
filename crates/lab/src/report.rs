//! One page of a folder of results, with its plots inside, so that it can be read with no network.

use crate::judge::{Outcome, PERCENTILES};
use crate::results::{Verdict, values, values_of};
use crate::spec::Experiment;
use crate::stats::Mean;
use plotters::prelude::*;
use std::collections::BTreeSet;
use std::fmt::Write;

type Drawn = Result<String, Box<dyn std::error::Error>>;

const SIZE: (u32, u32) = (860, 300);
/// Colours that stay apart in grey as well.
const COLOURS: [RGBColor; 6] = [
    RGBColor(0, 82, 136),
    RGBColor(214, 94, 0),
    RGBColor(0, 140, 100),
    RGBColor(150, 60, 140),
    RGBColor(120, 120, 120),
    RGBColor(190, 150, 0),
];

fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}

/// The page. Plots show the means over the seeds.
pub fn page(experiment: &Experiment, outcomes: &[Outcome], verdicts: &[Verdict]) -> Drawn {
    let mut html = String::new();
    let (name, about) = (escape(&experiment.name), escape(&experiment.about));
    write!(
        html,
        "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>{name}</title><style>\
         body{{font:15px/1.45 sans-serif;max-width:900px;margin:2em auto;padding:0 1em;color:#222}}\
         table{{border-collapse:collapse;margin:1em 0}}td,th{{padding:.15em .8em;text-align:right;\
         border-bottom:1px solid #ddd}}td:first-child,th:first-child{{text-align:left}}\
         .failed{{color:#b00;font-weight:bold}}svg{{max-width:100%;height:auto}}</style>\
         <h1>{name}</h1><p>{about}</p>"
    )?;
    if !verdicts.is_empty() {
        html += "<h2>Expected</h2><table><tr><th>expectation<th>size<th>came to<th>";
        for Verdict { size, expected, got, holds } in verdicts {
            let (class, word) = if *holds { ("", "holds") } else { ("failed", "FAILED") };
            let expected = escape(expected);
            write!(html, "<tr class=\"{class}\"><td>{expected}<td>{size}<td>{got:.4}<td>{word}")?;
        }
        html += "</table>";
    }
    let sizes: BTreeSet<_> = outcomes.iter().map(|outcome| outcome.size.as_str()).collect();
    for size in sizes {
        let here: Vec<_> = outcomes.iter().filter(|outcome| outcome.size == size).collect();
        let kinds: Vec<_> = experiment.strategies.iter().map(ToString::to_string).collect();
        let kinds: Vec<_> =
            kinds.into_iter().filter(|kind| here.iter().any(|o| o.strategy == *kind)).collect();
        write!(html, "<h2>{} nodes x servers</h2>", escape(size))?;
        html += &figures(outcomes, size, &kinds)?;
        html += &parts(outcomes, size, &kinds)?;
        html += "<h3>Worth served, by the second in which it was asked for</h3>";
        html += &worth(&here, &kinds)?;
        html += "<h3>Latency of what was served in time</h3>";
        html += &latency(&here, &kinds)?;
        html += "<h3>Work of each server, least to most</h3>";
        html += &load(&here, &kinds)?;
        html += "<h3>Attempts by zone</h3>";
        html += &traffic(&here, &kinds)?;
        html += "<h3>Worth lost by cause</h3>";
        html += &causes(&here, &kinds)?;
        html += &broken(&here)?;
    }
    Ok(html)
}

fn head(kinds: &[String]) -> String {
    kinds.iter().map(|kind| format!("<th>{kind}")).collect()
}

fn figures(outcomes: &[Outcome], size: &str, kinds: &[String]) -> Drawn {
    let mut html = format!("<table><tr><th>{}", head(kinds));
    for figure in crate::judge::FIGURES {
        write!(html, "<tr><td>{figure}")?;
        for kind in kinds {
            let mean = Mean::of(&values(outcomes, size, kind, figure));
            match (mean.mean.is_finite(), mean.half.is_finite()) {
                (true, true) => write!(html, "<td>{:.4} &plusmn; {:.4}", mean.mean, mean.half)?,
                (true, false) => write!(html, "<td>{:.4}", mean.mean)?,
                _ => html += "<td>-",
            }
        }
    }
    Ok(html + "</table>")
}

/// What classes, tenants and thirds of the day were served.
fn parts(outcomes: &[Outcome], size: &str, kinds: &[String]) -> Drawn {
    let mut html = format!(
        "<h3>Served of classes, tenants and thirds of the day</h3><table><tr><th><th>of requests<th>of worth<th>held{}",
        head(kinds)
    );
    for (group, part) in crate::results::groups(outcomes, size) {
        let (name, held) = (escape(&group.to_string()), if part.held { "yes" } else { "" });
        let (requests, worth) = (100.0 * part.requests, 100.0 * part.worth);
        write!(html, "<tr><td>{name}<td>{requests:.1} %<td>{worth:.1} %<td>{held}")?;
        for kind in kinds {
            let mean = Mean::of(&values_of(outcomes, size, kind, ("served", Some(&group)))).mean;
            write!(html, "<td>{mean:.4}")?;
        }
    }
    Ok(html + "</table>")
}

/// Every line of one plot: the mean over the runs of each strategy of what `series` takes from a run.
fn lines(
    here: &[&Outcome],
    kinds: &[String],
    series: impl Fn(&Outcome) -> Vec<(f64, f64)>,
) -> Vec<(String, Vec<(f64, f64)>)> {
    let mean = |kind: &String| {
        let runs: Vec<_> = here.iter().filter(|o| o.strategy == *kind).map(|o| series(o)).collect();
        let length = runs.iter().map(Vec::len).min().unwrap_or_default();
        let point = |i: usize| {
            let ys: Vec<_> = runs.iter().map(|run| run[i].1).filter(|y| y.is_finite()).collect();
            let x = runs.iter().map(|run| run[i].0).sum::<f64>() / runs.len() as f64;
            (x, ys.iter().sum::<f64>() / ys.len() as f64)
        };
        (kind.clone(), (0..length).map(point).filter(|(_, y)| y.is_finite()).collect())
    };
    kinds.iter().map(mean).collect()
}

struct Axes<'a> {
    x: &'a str,
    y: &'a str,
    top: Option<f64>,
    /// Spans that are shaded, each with its name.
    marked: Vec<(f64, f64, String)>,
}

fn plot(axes: &Axes, lines: &[(String, Vec<(f64, f64)>)]) -> Drawn {
    let points = || lines.iter().flat_map(|(_, points)| points);
    let most = |of: fn(&(f64, f64)) -> f64| points().map(of).fold(0.0, f64::max);
    let (right, top) = (most(|p| p.0).max(1e-9), axes.top.unwrap_or(1.05 * most(|p| p.1)).max(1e-9));
    let left = points().map(|p| p.0).fold(right, f64::min);
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, SIZE).into_drawing_area();
        area.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&area)
            .margin(8)
            .x_label_area_size(36)
            .y_label_area_size(52)
            .build_cartesian_2d(left..right, 0.0..top)?;
        chart.configure_mesh().light_line_style(WHITE).x_desc(axes.x).y_desc(axes.y).draw()?;
        for (i, (from, to, name)) in axes.marked.iter().enumerate() {
            let to = to.max(from + (right - left) / 300.0).min(right);
            let corners = [(*from, 0.0), (to, top)];
            chart.draw_series([Rectangle::new(corners, RGBColor(200, 60, 60).mix(0.12).filled())])?;
            // Below one another, and again from the top where there are many.
            let at = (*from, top * (0.98 - 0.06 * (i % 6) as f64));
            chart.draw_series([Text::new(name.clone(), at, ("sans-serif", 12).into_font())])?;
        }
        for ((name, points), colour) in lines.iter().zip(COLOURS.iter().cycle()) {
            chart
                .draw_series(LineSeries::new(points.iter().copied(), colour.stroke_width(2)))?
                .label(name)
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], colour.stroke_width(2)));
        }
        chart
            .configure_series_labels()
            .position(SeriesLabelPosition::LowerRight)
            .background_style(WHITE.mix(0.8))
            .border_style(BLACK.mix(0.3))
            .draw()?;
        area.present()?;
    }
    Ok(svg)
}

fn worth(here: &[&Outcome], kinds: &[String]) -> Drawn {
    let faults = here.first().map(|o| o.faults.clone()).unwrap_or_default();
    let marked = faults.into_iter().map(|fault| (fault.at_s, fault.until_s, fault.name)).collect();
    let axes = Axes { x: "s", y: "share served in time", top: Some(1.05), marked };
    let series = |o: &Outcome| {
        let share = |w: &crate::judge::Window| w.served / w.asked;
        o.windows.iter().zip(0..).map(|(w, second)| (f64::from(second) + 0.5, share(w))).collect()
    };
    plot(&axes, &lines(here, kinds, series))
}

fn latency(here: &[&Outcome], kinds: &[String]) -> Drawn {
    let axes = Axes { x: "percentile", y: "ms", top: None, marked: Vec::new() };
    let series = |o: &Outcome| PERCENTILES.iter().copied().zip(o.latency_ms.iter().copied()).collect();
    plot(&axes, &lines(here, kinds, series))
}

fn load(here: &[&Outcome], kinds: &[String]) -> Drawn {
    let axes = Axes { x: "servers", y: "s of work", top: None, marked: Vec::new() };
    let series = |o: &Outcome| {
        let mut work = o.server_work.clone();
        work.sort_by(f64::total_cmp);
        work.into_iter().zip(0..).map(|(work, at)| (f64::from(at), work)).collect()
    };
    plot(&axes, &lines(here, kinds, series))
}

fn traffic(here: &[&Outcome], kinds: &[String]) -> Drawn {
    let zones: Vec<_> = here.first().map(|o| o.zones.keys().cloned().collect()).unwrap_or_default();
    let mut html = String::new();
    for kind in kinds {
        let runs: Vec<_> = here.iter().filter(|o| o.strategy == *kind).collect();
        let rows = runs.first().map_or(0, |o| o.traffic.len());
        let name = |at: usize| zones.get(at).cloned().unwrap_or_else(|| at.to_string());
        write!(html, "<table><tr><th>{kind}: from")?;
        (0..rows).try_for_each(|to| write!(html, "<th>to {}", name(to)))?;
        for from in 0..rows {
            let cell = |to: usize| runs.iter().map(|o| o.traffic[from][to]).sum::<u64>() as f64;
            let all: f64 = (0..rows).map(cell).sum();
            write!(html, "<tr><td>{}", name(from))?;
            (0..rows).try_for_each(|to| write!(html, "<td>{:.1} %", 100.0 * cell(to) / all.max(1.0)))?;
        }
        html += "</table>";
    }
    Ok(html)
}

fn causes(here: &[&Outcome], kinds: &[String]) -> Drawn {
    let causes: BTreeSet<_> = here.iter().flat_map(|o| o.lost.keys()).collect();
    let mut html = format!("<table><tr><th>{}", head(kinds));
    for cause in causes {
        write!(html, "<tr><td>{cause}")?;
        for kind in kinds {
            let runs: Vec<_> = here.iter().filter(|o| o.strategy == *kind).collect();
            let sum = runs.iter().filter_map(|o| o.lost.get(cause)).fold(0.0, |sum, lost| sum + lost);
            write!(html, "<td>{:.2} %", 100.0 * sum / runs.len().max(1) as f64)?;
        }
    }
    Ok(html + "</table>")
}

fn broken(here: &[&Outcome]) -> Drawn {
    let all: Vec<_> = here.iter().flat_map(|o| o.broken.iter().map(move |b| (&o.strategy, b))).collect();
    if all.is_empty() {
        return Ok("<p>No rule was broken.</p>".into());
    }
    let mut html = String::from(
        "<h3 class=\"failed\">Broken rules</h3><table><tr><th>strategy<th>rule<th>request<th>node<th>at, s<th>seed<th>",
    );
    for (strategy, b) in all.iter().take(40) {
        let what = escape(&b.what);
        write!(
            html,
            "<tr><td>{strategy}<td>{:?}<td>{}<td>{}<td>{:.4}<td>{}<td>{what}",
            b.rule, b.request, b.node, b.at_s, b.seed
        )?;
    }
    Ok(html + "</table>")
}
