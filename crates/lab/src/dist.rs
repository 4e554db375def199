//! Distributions of a request's work: those of the paper's Table 2 and a few that services show. All have the mean 1.

use rand::Rng;
use rand_distr::{Distribution, Exp1, Gamma, LogNormal, Uniform};
use serde::Deserialize;

/// How a request's work is spread about its mean, as an experiment names it.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum Work {
    /// Always the mean.
    Fixed,
    /// Evenly between `1 - spread` and `1 + spread`.
    Uniform {
        /// From 0 to 1.
        spread: f64,
    },
    /// Exponential.
    Exponential,
    /// Log-normal with this squared coefficient of variation.
    LogNormal {
        /// Variance over squared mean.
        scv: f64,
    },
    /// The sum of `k` exponential stages.
    Erlang {
        /// Stages, at least 1.
        k: u32,
    },
    /// Hyperexponential of order 2: `f` is the part of the load that the first branch carries (the paper's shape).
    HypExp {
        /// From 0 to 1, both excluded.
        f: f64,
        /// Variance over squared mean, over 1.
        scv: f64,
    },
    /// Erlang-`k` with probability `p` and Erlang-`l` otherwise, each with the mean 1.
    HypErl {
        /// Stages with probability `p`.
        k: u32,
        /// Stages otherwise.
        l: u32,
        /// From 0 to 1.
        p: f64,
    },
    /// Pareto with this shape, cut off at both ends and scaled to the mean 1.
    Pareto {
        /// Over 0 and not 1.
        shape: f64,
        /// The lower end before it is scaled, over 0.
        low: f64,
        /// The upper end before it is scaled.
        high: f64,
    },
}

impl Work {
    /// What is wrong with its figures, if anything is.
    pub fn problem(&self) -> Option<&'static str> {
        let bad = match *self {
            Work::Uniform { spread } => !(0.0..=1.0).contains(&spread),
            Work::LogNormal { scv } => !(scv > 0.0 && scv.is_finite()),
            Work::Erlang { k } => k == 0,
            Work::HypExp { f, scv } => !(f > 0.0 && f < 1.0 && scv > 1.0 && scv.is_finite()),
            Work::HypErl { k, l, p } => k == 0 || l == 0 || !(0.0..=1.0).contains(&p),
            Work::Pareto { shape, low, high } => !(shape > 0.0 && shape != 1.0 && low > 0.0 && high > low),
            Work::Fixed | Work::Exponential => false,
        };
        bad.then_some("figures within the bounds that docs/lab.md gives for this distribution")
    }

    /// Makes it ready to be drawn from. Its figures have been checked.
    pub fn sampler(&self) -> Sampler {
        match *self {
            Work::Fixed => Sampler::Fixed,
            Work::Uniform { spread } => {
                Uniform::new_inclusive(1.0 - spread, 1.0 + spread).map_or(Sampler::Fixed, Sampler::Uniform)
            }
            Work::Exponential => Sampler::Exponential,
            Work::LogNormal { scv } => {
                LogNormal::from_mean_cv(1.0, scv.sqrt()).map_or(Sampler::Fixed, Sampler::LogNormal)
            }
            Work::Erlang { k } => erlang(k).map_or(Sampler::Fixed, Sampler::Gamma),
            Work::HypExp { f, scv } => {
                // Means m1, m2 and probability p with p m1 = f, p m1 + (1-p) m2 = 1 and
                // 2 (p m1^2 + (1-p) m2^2) = 1 + scv, so that f^2/p + (1-f)^2/(1-p) = (1 + scv)/2.
                let half = (1.0 + scv) / 2.0;
                let b = half + f * f - (1.0 - f) * (1.0 - f);
                let p = (b - (b * b - 4.0 * half * f * f).max(0.0).sqrt()) / (2.0 * half);
                Sampler::HypExp { p, first: f / p, second: (1.0 - f) / (1.0 - p) }
            }
            Work::HypErl { k, l, p } => match (erlang(k), erlang(l)) {
                (Some(first), Some(second)) => Sampler::HypErl { p, first, second },
                _ => Sampler::Fixed,
            },
            Work::Pareto { shape, low, high } => {
                let cut = 1.0 - (low / high).powf(shape);
                let mean = shape * low.powf(shape) / cut * (high.powf(1.0 - shape) - low.powf(1.0 - shape))
                    / (1.0 - shape);
                Sampler::Pareto { shape, scale: low / mean, cut }
            }
        }
    }
}

fn erlang(stages: u32) -> Option<Gamma<f64>> {
    Gamma::new(f64::from(stages), 1.0 / f64::from(stages)).ok()
}

/// A distribution that is ready to be drawn from.
#[derive(Clone, Debug)]
pub enum Sampler {
    /// Always 1.
    Fixed,
    /// Evenly between two ends.
    Uniform(Uniform<f64>),
    /// With the mean 1.
    Exponential,
    /// With the mean 1.
    LogNormal(LogNormal<f64>),
    /// A sum of stages.
    Gamma(Gamma<f64>),
    /// The mean `first` with probability `p`, else `second`.
    HypExp {
        /// Of the first branch.
        p: f64,
        /// Its mean.
        first: f64,
        /// The other's.
        second: f64,
    },
    /// `first` with probability `p`, else `second`.
    HypErl {
        /// Of the first branch.
        p: f64,
        /// With probability `p`.
        first: Gamma<f64>,
        /// Otherwise.
        second: Gamma<f64>,
    },
    /// By the inverse of its distribution function.
    Pareto {
        /// The exponent.
        shape: f64,
        /// The scaled lower end.
        scale: f64,
        /// The part of the whole Pareto distribution that lies below the upper end.
        cut: f64,
    },
}

impl Sampler {
    /// One draw, in units of the mean.
    pub fn draw(&self, random: &mut impl Rng) -> f64 {
        match self {
            Sampler::Fixed => 1.0,
            Sampler::Uniform(among) => among.sample(random),
            Sampler::Exponential => Exp1.sample(random),
            Sampler::LogNormal(about) => about.sample(random),
            Sampler::Gamma(about) => about.sample(random),
            Sampler::HypExp { p, first, second } => {
                let mean = if random.random::<f64>() < *p { first } else { second };
                let stage: f64 = Exp1.sample(random);
                mean * stage
            }
            Sampler::HypErl { p, first, second } => {
                if random.random::<f64>() < *p {
                    first.sample(random)
                } else {
                    second.sample(random)
                }
            }
            Sampler::Pareto { shape, scale, cut } => {
                scale * (1.0 - cut * random.random::<f64>()).powf(-1.0 / shape)
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rand::SeedableRng;
    use rand_pcg::Pcg64;

    /// Mean 1 for all, and the variance that the parameters promise.
    #[test]
    fn every_distribution_has_its_moments() {
        // Second moments of the last two by hand: mixed Erlang, and the truncated Pareto integral.
        let hyp_erl = 0.85 * 4.0 / 3.0 + 0.15 * 8.0 / 7.0 - 1.0;
        let cut = 1.0 - 50f64.powi(-3);
        let mean = 3.0 / cut * (1.0 - 50f64.powi(-2)) / 2.0;
        let pareto = 3.0 / cut * (1.0 - 1.0 / 50.0) / (mean * mean) - 1.0;
        for (work, scv, within) in [
            (Work::Fixed, 0.0, 1e-9),
            (Work::Uniform { spread: 0.3 }, 0.03, 0.001),
            (Work::Exponential, 1.0, 0.02),
            (Work::LogNormal { scv: 2.0 }, 2.0, 0.2),
            (Work::Erlang { k: 10 }, 0.1, 0.002),
            (Work::HypExp { f: 0.5, scv: 15.0 }, 15.0, 0.5),
            (Work::HypErl { k: 3, l: 7, p: 0.85 }, hyp_erl, 0.01),
            (Work::Pareto { shape: 3.0, low: 1.0, high: 50.0 }, pareto, 0.05),
        ] {
            assert_eq!(work.problem(), None);
            let (sampler, mut random) = (work.sampler(), Pcg64::seed_from_u64(3));
            let (mut sum, mut squares, count) = (0.0, 0.0, 400_000);
            for _ in 0..count {
                let x = sampler.draw(&mut random);
                sum += x;
                squares += x * x;
            }
            let mean = sum / f64::from(count);
            assert!((mean - 1.0).abs() < 0.03, "{work:?}: mean {mean}");
            let got = squares / f64::from(count) / (mean * mean) - 1.0;
            assert!((got - scv).abs() <= within, "{work:?}: {got}, not {scv}");
        }
    }
}
