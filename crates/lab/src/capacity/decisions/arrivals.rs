//! How many events fall into the worst second.

use statrs::distribution::{DiscreteCDF, Poisson};

/// The most events in one second that `seconds` of them bring, in the median, where they come as Poisson at `rate` a second.
/// Seconds are taken one after the other, not as a window that moves.
pub fn worst_second(rate: f64, seconds: f64) -> u64 {
    let Ok(events) = Poisson::new(rate) else { return 0 };
    let mut most = 0;
    while events.cdf(most).powf(seconds) < 0.5 {
        most += 1;
    }
    most
}
