//! Means and their intervals. Student's t, since runs are few.

use statrs::distribution::{ContinuousCDF, StudentsT};

/// A mean and the half width of its 95 % interval.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Mean {
    /// The mean.
    pub mean: f64,
    /// Half the width of the interval; endless for a single value.
    pub half: f64,
}

impl Mean {
    /// Of these values; no number if there is none.
    pub fn of(values: &[f64]) -> Self {
        let count = values.len() as f64;
        let mean = values.iter().sum::<f64>() / count;
        if values.len() < 2 {
            return Mean { mean, half: f64::INFINITY };
        }
        let variance = values.iter().map(|value| (value - mean).powi(2)).sum::<f64>() / (count - 1.0);
        let t = StudentsT::new(0.0, 1.0, count - 1.0).map_or(f64::INFINITY, |t| t.inverse_cdf(0.975));
        Mean { mean, half: t * (variance / count).sqrt() }
    }

    /// Whether the interval holds 0: as a difference it is then noise.
    pub fn is_noise(&self) -> bool {
        self.mean.is_nan() || self.mean.abs() <= self.half
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// The textbook's t for four degrees of freedom is 2.776.
    #[test]
    fn the_interval_is_students() {
        let mean = Mean::of(&[1.0, 2.0, 3.0, 4.0, 5.0]);
        assert_eq!(mean.mean, 3.0);
        assert!((mean.half - 2.776 * (2.5f64 / 5.0).sqrt()).abs() < 1e-3, "{mean:?}");
        assert!(!mean.is_noise());
        assert!(Mean::of(&[1.0]).is_noise());
        assert!(Mean::of(&[-1.0, 1.0, 0.5]).is_noise());
        assert!(Mean::of(&[0.0, 0.0]).is_noise());
        assert!(Mean::of(&[]).is_noise());
    }
}
