//! Virtual time: whole nanoseconds from the begin of a run, so that sums and comparisons are exact.

use std::time::Duration;

/// A point in virtual time, or a span of it, in nanoseconds.
pub type Nanos = u64;

/// One second.
pub const SECOND: Nanos = 1_000_000_000;

/// Seconds as nanoseconds; what is no time at all becomes zero, and what is endless the longest span.
pub fn secs(seconds: f64) -> Nanos {
    (seconds * SECOND as f64).round().clamp(0.0, FOREVER as f64) as Nanos
}

/// Milliseconds as nanoseconds, with the limits of [`secs`].
pub fn millis(ms: f64) -> Nanos {
    secs(ms / 1e3)
}

/// Nanoseconds as seconds.
pub fn in_secs(at: Nanos) -> f64 {
    at as f64 / SECOND as f64
}

/// Longer than any run: about 146 years, with room to add two of them.
pub const FOREVER: Nanos = u64::MAX / 4;

/// A span as the module counts it.
pub fn duration(span: Nanos) -> Duration {
    Duration::from_nanos(span)
}
