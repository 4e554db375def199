//! How the local health score rises and falls.

use super::*;

#[test]
fn a_stop_raises_the_score_at_once_and_each_good_period_lowers_it_by_one() {
    let (mut health, unit) = (LocalHealth::default(), Duration::from_millis(300));
    assert_eq!(health.scale_timeout(unit), unit);
    health.record_delay(Duration::from_secs(10), unit);
    assert_eq!((health.score(), health.scale_timeout(unit)), (8, unit * 9));
    for _ in 0..8 {
        health.improve();
    }
    assert_eq!(health, LocalHealth::default());
    health.record_delay(Duration::from_millis(10), unit);
    assert_eq!(health.score(), 1);
}
