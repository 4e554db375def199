//! The arithmetic of what is remembered.

use super::merge_ring;
use proptest::collection::vec;
use proptest::prelude::*;

/// One server after the other, as the ring was kept before.
fn one_by_one(ring: &mut Vec<(u64, usize)>, changes: &[(u64, Option<usize>)]) {
    for (at, place) in changes {
        match (ring.binary_search_by_key(at, |(at, _)| *at), place) {
            (Err(found), Some(place)) => ring.insert(found, (*at, *place)),
            (Ok(found), None) => drop(ring.remove(found)),
            (Ok(found), Some(place)) => ring[found].1 = *place,
            (Err(_), None) => {}
        }
    }
}

proptest! {
    /// In many rounds, with servers that come and go several times in one.
    #[test]
    fn a_ring_is_merged_as_if_one_by_one(
        rounds in vec(vec((0_u64..40, any::<Option<bool>>(), 0_usize..100), 0..60), 1..8)
    ) {
        let (mut merged, mut expected) = (Vec::new(), Vec::new());
        for round in rounds {
            let changes: Vec<_> = round.into_iter().map(|(at, on, place)| (at, on.map(|_| place))).collect();
            one_by_one(&mut expected, &changes);
            merge_ring(&mut merged, changes);
            prop_assert_eq!(&merged, &expected);
        }
    }
}
