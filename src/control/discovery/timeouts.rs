//! The one clock for silence: how long a watch may say nothing, how long a call is waited for, and how soon the next one
//! follows. It holds for lists that are pushed and for those that are asked for.

use std::time::Duration;

/// A watch that says nothing for so long is broken, whatever TCP says. An empty line is due every 2 s; half a second is
/// for a busy machine. What a silent watch misses counts as told 6 s after it fell silent, and binds a grace later:
/// two watches that fall silent one after the other leave a third one that opens 5.2 s after the first did.
pub const SILENCE: Duration = Duration::from_millis(2_500);
/// The pause after a watch that had lasted.
pub const FIRST_PAUSE: Duration = Duration::from_millis(50);
/// A watch that broke after less is no better than a call that failed, and the next pause is longer.
pub const LASTED: Duration = Duration::from_secs(2);

/// The pause after a list that was too long to be taken in: reading it up to there takes some tenths of a second each time.
pub const OVERLONG_PAUSE: Duration = Duration::from_secs(10);

/// A call that the agent has not begun to answer after so long is given up: it answers at once if it does at all.
const LONGEST_CALL: Duration = Duration::from_secs(1);
/// Less would give up calls of a node that waits for its share of a core.
const SHORTEST_CALL: Duration = Duration::from_millis(250);
const LONGEST_PAUSE: Duration = Duration::from_millis(500);
/// Where lists must be asked for each call is priced, and what the agent gets does not count at once but 6 s later. A watch
/// that is silent when discovery returns and this pause, or a call and this pause, are over before that.
const LONGEST_ASKED_PAUSE: Duration = Duration::from_secs(2);

/// How long a call may take.
///
/// An agent that returns may hold a drain, which binds one grace later. The call that its silence has caught and the
/// pause after it take three quarters of that at most; the rest is for the call that is answered. Where the grace is
/// under half a second that can't be held, and where there is none nothing has to be.
pub fn call(grace: Duration) -> Duration {
    if grace.is_zero() { LONGEST_CALL } else { (grace / 2).clamp(SHORTEST_CALL, LONGEST_CALL) }
}

/// The longest pause between calls that fail, before it is cut by chance to half at the least. A node whose agent
/// refuses calls 4 times a second at a grace of 2 s, one whose agent says nothing once.
pub fn longest_pause(grace: Duration, asked: bool) -> Duration {
    if asked {
        return LONGEST_ASKED_PAUSE;
    }
    if grace.is_zero() { LONGEST_PAUSE } else { (grace / 4).clamp(FIRST_PAUSE, LONGEST_PAUSE) }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_call_and_its_pause_leave_a_quarter_of_the_grace() {
        for ms in [500, 700, 1_000, 2_000, 5_000, 60_000] {
            let grace = Duration::from_millis(ms);
            assert!(call(grace) + longest_pause(grace, false) <= grace * 3 / 4, "{grace:?}");
        }
        for grace in [Duration::ZERO, Duration::from_millis(1)] {
            assert!(call(grace) >= SHORTEST_CALL && longest_pause(grace, false) >= FIRST_PAUSE, "{grace:?}");
        }
    }

    #[test]
    fn a_third_watch_opens_before_what_two_have_missed_counts() {
        assert!(2 * (SILENCE + FIRST_PAUSE) < Duration::from_secs(6));
        assert!(SILENCE > Duration::from_secs(2), "an empty line is in time");
        // Wherever a return of discovery finds the node, with as much left for the call that is answered.
        let worst = SILENCE.max(LONGEST_CALL) + longest_pause(Duration::ZERO, true);
        assert!(worst + LONGEST_CALL < Duration::from_secs(6), "{worst:?}");
    }
}
