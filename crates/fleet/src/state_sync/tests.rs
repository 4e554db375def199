//! Pages of a member list, and the limits on requesting and sending them.

use super::*;
use crate::identity::Address;

fn member(number: usize) -> Identity {
    Identity {
        name: Name::try_from(format!("n{number:04}")).unwrap(),
        started_ms: 1_700_000_000_000 + number as u64,
        renewed: 3,
        address: Address::Socket("127.0.0.1:65535".parse().unwrap()),
        zone: 2,
        program_version: 1,
    }
}

#[test]
fn pages_cover_the_whole_list_and_each_fits_a_datagram() {
    let all: Vec<_> = (0..100).map(member).collect();
    let (mut sync, mut found, mut count) = (StateSync::default(), Vec::new(), 0);
    loop {
        sync.start_period();
        let after = sync.next_request().unwrap().after;
        let rest = all.iter().filter(|member| after.as_ref().is_none_or(|after| member.name > *after));
        let body = Page::encode(&member(500), rest.map(|member| (member, 7)));
        assert!(body.len() <= MAX_BODY_BYTES, "{}", body.len());
        let (sender, rest) = postcard::take_from_bytes::<Identity>(&body).unwrap();
        assert_eq!(sender, member(500));
        let page = Page::decode(rest).unwrap();
        sync.advance_past(&page);
        count += 1;
        found.extend(page.members);
        if page.last {
            break;
        }
    }
    assert_eq!(found, all.into_iter().map(|member| (member, 7)).collect::<Vec<_>>());
    assert!(count <= 17, "{count} pages of 100 members");
    assert_eq!(sync.resume_after, None, "the next request starts the list over");
}

#[test]
fn the_limits_hold_within_a_period_and_end_with_it() {
    let mut sync = StateSync::default();
    assert_eq!((0..100).filter(|_| sync.next_request().is_some()).count(), MAX_REQUESTS_PER_PERIOD as usize);
    assert_eq!((0..100).filter(|_| sync.may_send_page()).count(), MAX_PAGES_PER_PERIOD as usize);
    sync.start_period();
    assert!(sync.next_request().is_some() && sync.may_send_page());
}

#[test]
fn a_body_that_is_no_page_is_rejected_with_its_reason() {
    assert_eq!(Page::decode(&[]), Err(Rejected::Truncated));
    assert_eq!(Page::decode(&[7]), Err(Rejected::Garbage));
    let body = Page::encode(&member(1), [(&member(2), 0)].into_iter());
    let (_, rest) = postcard::take_from_bytes::<Identity>(&body).unwrap();
    assert_eq!(Page::decode(&rest[..rest.len() - 1]), Err(Rejected::Truncated));
}
