//! When the members' views count as agreed, and what a view's digest depends on.

use super::*;
use crate::identity::Address;

const PERIOD: Duration = Duration::from_secs(1);

fn name(number: usize) -> Name {
    Name::try_from(format!("n{number}")).unwrap()
}

fn at(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

#[test]
fn a_view_is_agreed_once_nearly_all_have_shared_it_for_some_time() {
    let mut views = PeerViews::default();
    (0..9).for_each(|n| views.record(&name(n), 5, at(0)));
    assert_eq!(views.assess((10, 5), 10, PERIOD, at(0)).certainty, Certainty::Diverging);
    let agreed = views.assess((10, 5), 10, PERIOD, at(3));
    assert_eq!((agreed.certainty, agreed.could_be_alive, agreed.since), (Certainty::Agreed, 10, at(3)));
    // One different view of nine is too many, and digests older than ten periods no longer count.
    views.record(&name(0), 6, at(3));
    assert_eq!(views.assess((10, 5), 10, PERIOD, at(3)).agreeing_share, 8.0 / 9.0);
    assert_eq!(views.assess((10, 5), 10, PERIOD, at(4)).certainty, Certainty::Diverging);
    let alone = views.assess((10, 5), 10, PERIOD, at(20));
    assert_eq!((alone.peers_heard, alone.certainty, alone.could_be_alive), (0, Certainty::Diverging, 10));
}

/// After an even split both halves are minorities, so that neither takes the other half for dead.
#[test]
fn half_of_the_fleet_is_a_minority_even_if_its_views_agree() {
    let mut views = PeerViews::default();
    (0..4).for_each(|n| views.record(&name(n), 5, at(0)));
    views.assess((5, 5), 10, PERIOD, at(0));
    let half = views.assess((5, 5), 10, PERIOD, at(9));
    assert_eq!((half.certainty, half.could_be_alive, half.agreeing_share), (Certainty::Minority, 10, 1.0));
    views.assess((6, 5), 10, PERIOD, at(9));
    assert_eq!(views.assess((6, 5), 10, PERIOD, at(10)).certainty, Certainty::Agreed);
    assert_eq!(PeerViews::default().assess((1, 5), 1, PERIOD, at(0)).certainty, Certainty::Agreed);
}

#[test]
fn a_digest_depends_on_each_start_of_a_member_and_not_on_their_order() {
    let member = |number: usize, started_ms: u64| Identity {
        name: name(number),
        started_ms,
        renewed: 0,
        address: Address::Node(number as u16),
        zone: 0,
        program_version: 1,
    };
    let sum = |members: &[Identity]| members.iter().map(member_digest).fold(0u64, u64::wrapping_add);
    assert_eq!(sum(&[member(1, 1), member(2, 2)]), sum(&[member(2, 2), member(1, 1)]));
    assert_ne!(sum(&[member(1, 1), member(2, 2)]), sum(&[member(1, 2), member(2, 1)]));
    assert_ne!(sum(&[member(1, 1)]), sum(&[Identity { renewed: 1, ..member(1, 1) }]));
}
