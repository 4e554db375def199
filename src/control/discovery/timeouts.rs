//! Timeouts and backoff of the discovery client: the liveness timeout of a watch, the response timeout of a
//! request and the delay before reconnecting. They apply whether lists are pushed or requested.

use std::time::Duration;

/// A watch that receives nothing for this long is treated as stalled, even if its TCP connection is open.
///
/// The agent sends an empty line every 2 s; the other half second allows for a busy machine. A change missed
/// by a stalled watch counts as announced 6 s after the stall began, and is enforced one drain grace later.
/// After two stalled watches in a row a third one opens 5.2 s after the first stall began, which is in time.
pub const LIVENESS_TIMEOUT: Duration = Duration::from_millis(2_500);
/// The first backoff, used after a stable watch.
pub const MIN_BACKOFF: Duration = Duration::from_millis(50);
/// A watch that lasted longer than this was stable. A shorter one counts as a failed attempt and increases
/// the backoff.
pub const STABLE_AFTER: Duration = Duration::from_secs(2);

/// The backoff after a list with too many servers: reading it up to the limit takes some tenths of a second
/// each time.
pub const LIST_TOO_LONG_BACKOFF: Duration = Duration::from_secs(10);

/// Upper limit of the response timeout. An agent that works answers at once.
const MAX_RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);
/// Lower limit of the response timeout. With less, a node that waits for CPU time would abandon requests that
/// succeed.
const MIN_RESPONSE_TIMEOUT: Duration = Duration::from_millis(250);
/// Upper limit of the backoff where lists are pushed.
const MAX_BACKOFF: Duration = Duration::from_millis(500);
/// Upper limit of the backoff where lists are requested: there each request has a cost, and a change that the
/// agent holds counts as announced only 6 s later. When discovery recovers, the node may still have to wait
/// for the liveness timeout of a stalled watch, or the response timeout of a request, plus this backoff; both
/// sums are below 6 s.
const MAX_ON_REQUEST_BACKOFF: Duration = Duration::from_secs(2);

/// How long to wait for the head of a response, given the drain grace.
///
/// An agent that recovers may hold a drain, which is enforced one drain grace later. The response timeout of
/// the request that the outage caught and the backoff after it take three quarters of the grace at most; the
/// rest is left for the request that succeeds. With a grace below half a second this can't be met; without a
/// grace nothing is required.
pub fn response_timeout(grace: Duration) -> Duration {
    if grace.is_zero() {
        MAX_RESPONSE_TIMEOUT
    } else {
        (grace / 2).clamp(MIN_RESPONSE_TIMEOUT, MAX_RESPONSE_TIMEOUT)
    }
}

/// The longest backoff between failed requests; jitter reduces it to between half and all of it. At a grace
/// of 2 s a node sends 4 requests a second to an agent that refuses connections, and one a second to an agent
/// that does not answer.
pub fn max_backoff(grace: Duration, on_request: bool) -> Duration {
    if on_request {
        return MAX_ON_REQUEST_BACKOFF;
    }
    if grace.is_zero() { MAX_BACKOFF } else { (grace / 4).clamp(MIN_BACKOFF, MAX_BACKOFF) }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn response_timeout_and_backoff_leave_a_quarter_of_the_grace() {
        for ms in [500, 700, 1_000, 2_000, 5_000, 60_000] {
            let grace = Duration::from_millis(ms);
            assert!(response_timeout(grace) + max_backoff(grace, false) <= grace * 3 / 4, "{grace:?}");
        }
        for grace in [Duration::ZERO, Duration::from_millis(1)] {
            assert!(
                response_timeout(grace) >= MIN_RESPONSE_TIMEOUT && max_backoff(grace, false) >= MIN_BACKOFF,
                "{grace:?}"
            );
        }
    }

    #[test]
    fn third_watch_opens_before_changes_missed_by_two_stalled_ones_count() {
        assert!(2 * (LIVENESS_TIMEOUT + MIN_BACKOFF) < Duration::from_secs(6));
        assert!(LIVENESS_TIMEOUT > Duration::from_secs(2), "an empty line every 2 s keeps a watch alive");
        // The worst state of the node when discovery recovers, plus the request that succeeds.
        let worst = LIVENESS_TIMEOUT.max(MAX_RESPONSE_TIMEOUT) + max_backoff(Duration::ZERO, true);
        assert!(worst + MAX_RESPONSE_TIMEOUT < Duration::from_secs(6), "{worst:?}");
    }
}
