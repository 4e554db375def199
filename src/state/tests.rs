//! Tests of the ring's arithmetic.

use super::merge_ring;
use proptest::collection::vec;
use proptest::prelude::*;

/// Applies the changes one after the other: the reference for `merge_ring`.
fn apply_one_by_one(ring: &mut Vec<(u64, usize)>, changes: &[(u64, Option<usize>)]) {
    for (at, slot) in changes {
        match (ring.binary_search_by_key(at, |(at, _)| *at), slot) {
            (Err(found), Some(slot)) => ring.insert(found, (*at, *slot)),
            (Ok(found), None) => drop(ring.remove(found)),
            (Ok(found), Some(slot)) => ring[found].1 = *slot,
            (Err(_), None) => {}
        }
    }
}

proptest! {
    /// Many rounds, in which servers come and go several times.
    #[test]
    fn a_ring_is_merged_as_if_one_by_one(
        rounds in vec(vec((0_u64..40, any::<Option<bool>>(), 0_usize..100), 0..60), 1..8)
    ) {
        let (mut merged, mut expected) = (Vec::new(), Vec::new());
        for round in rounds {
            let changes: Vec<_> = round.into_iter().map(|(at, present, slot)| (at, present.map(|_| slot))).collect();
            apply_one_by_one(&mut expected, &changes);
            merge_ring(&mut merged, changes);
            prop_assert_eq!(&merged, &expected);
        }
    }
}
