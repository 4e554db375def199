//! A node whose view holds as many members as it may.

mod peers_stub;

use hillpick_fleet::Settings;
use peers_stub::PeersStub;

/// A full view still applies updates on the members that it holds, by gossip and by pages, and rejects a
/// member beyond its limit. Guards against a full view that drops every datagram which names a known member.
#[test]
fn a_full_view_still_applies_updates_on_its_members() {
    let settings = Settings { max_members: 20, ..Settings::with_defaults("size", 21) };
    let mut stub = PeersStub::with_settings(20, settings).settle();
    let before = stub.view_version();
    let update = stub.restart(7);
    assert_eq!(stub.gossip(3, &[update]), 1);
    assert_ne!(stub.view_version(), before, "the restart is applied from gossip");
    assert_eq!(stub.known_peers(), 20);
    let before = stub.view_version();
    stub.restart(8);
    stub.send_page(3, 8..9);
    assert_ne!(stub.view_version(), before, "the restart is applied from a page");
    let before = stub.view_version();
    let unknown = stub.unknown_member();
    stub.gossip(3, &[unknown]);
    assert_eq!((stub.view_version(), stub.known_peers()), (before, 20));
}
