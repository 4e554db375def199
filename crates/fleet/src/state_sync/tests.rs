//! Pages of a list, and who may ask for how many.

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
fn pages_walk_a_whole_list_and_fit_a_datagram() {
    let all: Vec<_> = (0..100).map(member).collect();
    let (mut pages, mut found, mut count) = (Pages::default(), Vec::new(), 0);
    loop {
        pages.renew();
        let after = pages.ask().unwrap().after;
        let rest = all.iter().filter(|it| after.as_ref().is_none_or(|after| it.name > *after));
        let body = Page::write(&member(500), rest.map(|it| (it, 7)));
        assert!(body.len() <= BODY, "{}", body.len());
        let (sender, rest) = postcard::take_from_bytes::<Identity>(&body).unwrap();
        assert_eq!(sender, member(500));
        let page = Page::read(rest).unwrap();
        pages.came(&page);
        count += 1;
        found.extend(page.members);
        if page.last {
            break;
        }
    }
    assert_eq!(found, all.into_iter().map(|it| (it, 7)).collect::<Vec<_>>());
    assert!(count <= 17, "{count} pages of 100 members");
    assert_eq!(pages.after, None, "and begins anew");
}

#[test]
fn allowances_end_and_are_renewed() {
    let mut pages = Pages::default();
    assert_eq!((0..100).filter(|_| pages.ask().is_some()).count(), MAX_PAGE_REQUESTS as usize);
    assert_eq!((0..100).filter(|_| pages.may_give()).count(), MAX_PAGES_SENT as usize);
    pages.renew();
    assert!(pages.ask().is_some() && pages.may_give());
}

#[test]
fn what_is_no_page_is_named() {
    assert_eq!(Page::read(&[]), Err(Rejected::Truncated));
    assert_eq!(Page::read(&[7]), Err(Rejected::Garbage));
    let body = Page::write(&member(1), [(&member(2), 0)].into_iter());
    let (_, rest) = postcard::take_from_bytes::<Identity>(&body).unwrap();
    assert_eq!(Page::read(&rest[..rest.len() - 1]), Err(Rejected::Truncated));
}
