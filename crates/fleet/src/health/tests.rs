//! How doubt of oneself comes and goes.

use super::*;

#[test]
fn a_stop_is_doubted_at_once_and_forgotten_round_by_round() {
    let (mut health, unit) = (Health::default(), Duration::from_millis(300));
    assert_eq!(health.stretch(unit), unit);
    health.late(Duration::from_secs(10), unit);
    assert_eq!((health.score(), health.stretch(unit)), (8, unit * 9));
    for _ in 0..8 {
        health.well();
    }
    assert_eq!(health, Health::default());
    health.late(Duration::from_millis(10), unit);
    assert_eq!(health.score(), 1);
}
