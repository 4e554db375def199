//! The node's clock. Code that needs the time is passed this one, and reads no other.

use std::time::Duration;
use tokio::time::Instant;

/// A monotonic Unix clock: the system time at the start of the process, advanced by the monotonic clock. So a
/// backend's `since_ms` and the times of events are on one scale that never goes backwards.
#[derive(Clone, Copy)]
pub struct Clock {
    started: Instant,
    started_unix: Duration,
}

impl Clock {
    /// Starts a clock; the system time is read only here.
    pub fn start() -> Self {
        let started_unix =
            std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
        Clock { started: Instant::now(), started_unix }
    }

    /// The current Unix time.
    pub fn now(self) -> Duration {
        self.started_unix + self.started.elapsed()
    }

    /// Converts a Unix time to the runtime's [`Instant`].
    pub fn instant(self, unix: Duration) -> Instant {
        self.started + unix.saturating_sub(self.started_unix)
    }
}
