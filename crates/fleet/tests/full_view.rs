//! A node that holds as many members as it may.

mod peers_stub;

use hillpick_fleet::Settings;
use peers_stub::Stub;

/// News of those that it holds is still taken in, by gossip and by pages; who is one too many is not.
#[test]
fn a_full_view_still_hears_of_its_members() {
    let settings = Settings { max_members: 20, ..Settings::with_defaults("size", 21) };
    let mut stub = Stub::with(20, settings).settle();
    let before = stub.view_version();
    let news = stub.restart(7);
    assert_eq!(stub.gossip(3, &[news]), 1);
    assert_ne!(stub.view_version(), before, "a member that has started anew is in another life");
    assert_eq!(stub.known(), 20);
    let before = stub.view_version();
    stub.restart(8);
    stub.page(3, 8..9);
    assert_ne!(stub.view_version(), before, "and so by a page");
    let before = stub.view_version();
    let stranger = stub.stranger();
    stub.gossip(3, &[stranger]);
    assert_eq!((stub.view_version(), stub.known()), (before, 20));
}
