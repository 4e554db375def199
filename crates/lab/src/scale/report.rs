//! What a scale run found, as lines for its reader.

use super::results::{Point, Results};
use super::run::named;
use super::spec::Scale;

/// Every figure of every point, then the fits.
#[must_use]
pub fn lines(results: &Results) -> Vec<String> {
    let mut lines = Vec::new();
    for Point { size, figures } in &results.points {
        lines.push(format!("\n{}", named(size)));
        for it in figures {
            lines.push(format!("{:<14}{:<64}{:>16} {}", it.role, it.figure, short(it.value), it.unit));
        }
    }
    if !results.fits.is_empty() {
        lines.push(format!(
            "\n{:<14}{:<64}{:>12}{:>12}{:>9}{:>12}{:>12}{:>9}",
            "role", "figure", "at 0", "each", "power", "foretold", "measured", "off by"
        ));
    }
    for fit in &results.fits {
        let exponent = fit.exponent.map_or("-".into(), |exponent| format!("{exponent:.2}"));
        let verdict = if fit.proven { "" } else { "  not proven" };
        lines.push(format!(
            "{:<14}{:<64}{:>12}{:>12}{exponent:>9}{:>12}{:>12}{:>8.1}%{verdict}",
            fit.role,
            fit.figure,
            short(fit.intercept),
            short(fit.slope),
            short(fit.foretold),
            short(fit.measured),
            100.0 * fit.error.min(99.0),
        ));
    }
    lines
}

/// What was expected of each point, and whether all of it holds.
#[must_use]
pub fn verdicts(scale: &Scale, results: &Results) -> (Vec<String>, bool) {
    let (mut lines, mut good) = (Vec::new(), true);
    for point in &results.points {
        for expected in &scale.expect {
            let got = point.value(&expected.role, &expected.figure);
            let holds = expected.holds(got);
            good &= holds;
            let bound =
                |word: &str, bound: Option<f64>| bound.map_or(String::new(), |it| format!(" {word} {it}"));
            lines.push(format!(
                "{}  {}: {}{}{}: {}",
                if holds { "holds " } else { "FAILED" },
                expected.role,
                expected.figure,
                bound(">=", expected.least),
                bound("<=", expected.most),
                got.map_or("not measured".into(), short)
            ));
        }
    }
    (lines, good)
}

fn short(value: f64) -> String {
    if value == 0.0 {
        return "0".into();
    }
    match value.abs() {
        large if large >= 1000.0 => format!("{value:.0}"),
        middle if middle >= 1.0 => format!("{value:.2}"),
        _ => format!("{value:.6}"),
    }
}
