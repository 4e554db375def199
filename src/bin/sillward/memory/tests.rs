//! The memory budget alone.

use super::*;
use std::time::Duration;
use tokio::time::timeout;

const LIMIT: usize = 100_000;
const WAIT: Duration = Duration::from_secs(1);

#[test]
fn reservations_never_exceed_the_limit_and_come_back() {
    let budget = MemoryBudget::new(LIMIT);
    let first = budget.try_reserve(60_000).expect("there is room");
    assert!(budget.try_reserve(40_001).is_none());
    let second = budget.try_reserve(40_000).expect("there is room");
    drop(first);
    assert_eq!(budget.reserved(), 40_000);
    budget.set_limit(30_000);
    assert!(budget.try_reserve(1).is_none(), "more is reserved than the new limit allows");
    drop(second);
    assert!(budget.try_reserve(30_000).is_some());
    assert_eq!(budget.reserved(), 0);
}

#[test]
fn messages_that_are_still_arriving_get_half_of_the_budget() {
    let budget = MemoryBudget::new(LIMIT);
    let arriving = budget.try_reserve_arriving(LIMIT / 2).expect("there is room");
    assert!(budget.try_reserve_arriving(1).is_none());
    assert!(budget.try_reserve(LIMIT / 2).is_some(), "a whole one has the other half");
    arriving.set_arrived();
    let next = budget.try_reserve_arriving(LIMIT / 2).expect("the first has arrived");
    drop((arriving, next));
    assert!(budget.try_reserve_arriving(LIMIT / 2).is_some());
}

#[test]
fn bytes_hold_their_reservation_until_the_last_reference_is_dropped() {
    let budget = MemoryBudget::new(LIMIT);
    let reservation = budget.try_reserve(10).expect("there is room");
    let bytes = reservation.hold(Bytes::from_static(b"0123456789"));
    let part = bytes.slice(3..5);
    drop(bytes);
    assert_eq!((&part[..], budget.reserved()), (&b"34"[..], 10));
    drop(part);
    assert_eq!(budget.reserved(), 0);
}

#[tokio::test(start_paused = true)]
async fn a_waiting_reservation_takes_what_is_released() {
    let budget = MemoryBudget::new(LIMIT);
    let held = budget.try_reserve(LIMIT).expect("there is room");
    assert!(timeout(WAIT, budget.reserve(1)).await.is_err());
    let waiting = async { timeout(WAIT, budget.reserve_arriving(LIMIT / 2)).await.is_ok() };
    let (taken, ()) = tokio::join!(waiting, async { drop(held) });
    assert!(taken);
}
