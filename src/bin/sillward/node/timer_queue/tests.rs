//! The timers alone.

use super::*;

const SECOND: Duration = Duration::from_secs(1);

#[test]
fn timers_fire_in_the_order_of_their_times_and_of_their_arming() {
    let mut timers = TimerQueue::new();
    timers.arm(2 * SECOND, Timer::Module(1));
    timers.arm(SECOND, Timer::Module(2));
    timers.arm(SECOND, Timer::Module(3));
    assert_eq!(timers.next_due(), Some(SECOND));
    assert_eq!(timers.pop_due(SECOND - Duration::from_millis(1)), None);
    let fired: Vec<_> = std::iter::from_fn(|| timers.pop_due(SECOND)).collect();
    assert_eq!(fired, [Timer::Module(2), Timer::Module(3)]);
    assert_eq!(timers.pop_due(2 * SECOND), Some(Timer::Module(1)));
    assert_eq!(timers.next_due(), None);
}

/// Guards against memory that is held until the time of clients that have long been answered is over.
#[test]
fn stale_timers_are_removed_before_they_are_due() {
    let mut timers = TimerQueue::new();
    for number in 0..100 * MIN_SWEEP_LENGTH as u64 {
        timers.arm(SECOND, Timer::Deadline(RequestId(number)));
        timers.sweep(|timer| *timer == Timer::Deadline(RequestId(7)));
        assert!(timers.timers.len() <= MIN_SWEEP_LENGTH);
    }
    timers.arm(2 * SECOND, Timer::Module(1));
    assert_eq!(timers.pop_due(SECOND), Some(Timer::Deadline(RequestId(7))));
}
