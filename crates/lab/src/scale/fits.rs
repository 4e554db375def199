//! Lines through the points of a sweep. The largest point is left out of the line, foretold by it, and then compared.

use super::results::{Fit, PROVEN_WITHIN, Point};
use super::spec::Dimension;
use statrs::distribution::{ContinuousCDF, StudentsT};

/// A least-squares line.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Line {
    /// Its value at 0.
    pub intercept: f64,
    /// Its slope.
    pub slope: f64,
    /// The 95 % interval of the slope, by Student's t.
    pub interval: [f64; 2],
}

impl Line {
    /// Through these points; `None` for fewer than three, or where all lie at one place.
    #[must_use]
    pub fn through(points: &[(f64, f64)]) -> Option<Self> {
        let count = points.len() as f64;
        if points.len() < 3 {
            return None;
        }
        let mean = |part: fn(&(f64, f64)) -> f64| points.iter().map(part).sum::<f64>() / count;
        let (mean_x, mean_y) = (mean(|point| point.0), mean(|point| point.1));
        let spread: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
        if spread <= 0.0 {
            return None;
        }
        let slope = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum::<f64>() / spread;
        let intercept = mean_y - slope * mean_x;
        let off: f64 = points.iter().map(|(x, y)| (y - intercept - slope * x).powi(2)).sum();
        let t = StudentsT::new(0.0, 1.0, count - 2.0).ok()?.inverse_cdf(0.975);
        let half = t * (off / (count - 2.0) / spread).sqrt();
        Some(Line { intercept, slope, interval: [slope - half, slope + half] })
    }

    /// Its value at a place.
    #[must_use]
    pub fn at(&self, x: f64) -> f64 {
        self.intercept + self.slope * x
    }
}

/// Fits each figure that all points have.
#[must_use]
pub fn fits(points: &[Point], over: Dimension) -> Vec<Fit> {
    let Some((largest, smaller)) = points.split_last() else { return Vec::new() };
    let fit = |figure: &super::results::Figure| {
        let at = |point: &Point| Some((over.of(&point.size), point.value(&figure.role, &figure.figure)?));
        let below: Vec<_> = smaller.iter().map(at).collect::<Option<_>>()?;
        let line = Line::through(&below)?;
        let (place, measured) = at(largest)?;
        let foretold = line.at(place);
        if below.iter().all(|(_, value)| *value == 0.0) && measured == 0.0 {
            return None; // what never comes has no slope
        }
        let error = match (foretold - measured).abs() {
            0.0 => 0.0,
            off => off / measured.abs(),
        };
        Some(Fit {
            role: figure.role.clone(),
            figure: figure.figure.clone(),
            unit: figure.unit.clone(),
            against: over.name().into(),
            intercept: line.intercept,
            slope: line.slope,
            exponent: exponent(&below),
            interval: line.interval,
            largest: place,
            foretold,
            measured,
            error: if error.is_finite() { error } else { f64::MAX },
            proven: error <= PROVEN_WITHIN,
        })
    };
    largest.figures.iter().filter_map(fit).collect()
}

/// The power with which values grow.
fn exponent(points: &[(f64, f64)]) -> Option<f64> {
    let logarithms = |(x, y): &(f64, f64)| (*x > 0.0 && *y > 0.0).then(|| (x.ln(), y.ln()));
    let logarithms: Vec<_> = points.iter().map(logarithms).collect::<Option<_>>()?;
    Some(Line::through(&logarithms)?.slope)
}

#[cfg(test)]
mod tests;
