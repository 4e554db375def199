//! A node with zones, over loopback sockets: what operators see and command, and what survives a reload.

use crate::harness::*;
use std::time::Duration;

const ZONES: &str = r#"{"zones":{"regions":{"north":["a","b"]},"latency_ms":{"b":1.5},"return_s":10},"#;

/// The status and body of a request to the operations address.
fn ops_request(node: &Node, start: &str) -> (u16, String) {
    let answer = Client::connect(node.ops_address()).request(start, "", b"");
    (answer.status(), String::from_utf8(answer.body).expect("text"))
}

/// A configuration with these zones.
fn configured(discovery: std::net::SocketAddr, zones: &str) -> String {
    with_ops(&config(discovery, &settings(1000, ""), 200)).replacen('{', zones, 1)
}

/// A node and two backends on its list, the first in the node's zone and the second in another.
fn two_zones(zones: &str) -> (Node, [Backend; 2], Watch, Discovery) {
    let backends = [Backend::start(|_| ok("near")), Backend::start(|_| ok("far"))];
    let discovery = Discovery::start();
    let config = configured(discovery.address, zones);
    let node = Node::start(&config, "");
    let mut watch = discovery.next_call();
    watch.open();
    let far = entry("s1", backends[1].address, "in_service").replace(r#""zone":"a""#, r#""zone":"b""#);
    watch.send_line(&list(8, true, &[entry("s0", backends[0].address, "in_service"), far]));
    wait_until(|| node.is_ready(), "a list");
    (node, backends, watch, discovery)
}

/// The body of the response to a request: `near` from the node's zone, `far` from the other.
fn served_by(node: &Node) -> String {
    let answer = node.client().request("GET /read/1f", &common_headers(5000), b"");
    assert_eq!(answer.status(), 200);
    String::from_utf8(answer.body).expect("text")
}

#[test]
fn operators_can_evacuate_and_restore_a_zone() {
    let (node, _backends, _watch, discovery) = two_zones(ZONES);
    assert_eq!(served_by(&node), "near");
    let (status, zones) = ops_request(&node, "GET /zones");
    assert!(
        status == 200 && zones.contains(r#""name":"a""#) && zones.contains(r#""standing":"sound""#),
        "{zones}"
    );
    assert_eq!(ops_request(&node, "POST /zones/nowhere/evacuate").0, 404);
    assert_eq!(ops_request(&node, "POST /zones/a/evacuate?for_s=0").0, 400);
    assert_eq!(ops_request(&node, "GET /zones/a/evacuate").0, 405);
    let (status, zones) = ops_request(&node, "POST /zones/a/evacuate?for_s=600");
    assert!(status == 200 && zones.contains(r#""standing":"evacuated""#), "{zones}");
    node.wait_for_log("Evacuated after Sound");
    wait_until(
        || served_by(&node) == "far" && served_by(&node) == "far" && served_by(&node) == "far",
        "the other zone",
    );
    assert_eq!(
        ops_request(&node, "POST /zones/b/evacuate").0,
        409,
        "the last zone in use can't be evacuated"
    );
    // The evacuation survives a reload.
    let config = configured(discovery.address, ZONES);
    node.reload(&config.replace("\"GiveUp\":1000", "\"GiveUp\":1100"));
    node.wait_for_log("told to look again: discovery is at");
    let (_, zones) = ops_request(&node, "GET /zones");
    assert!(zones.contains(r#""standing":"evacuated""#), "{zones}");
    let (status, zones) = ops_request(&node, "POST /zones/a/restore");
    assert!(status == 200 && !zones.contains("evacuated\""), "{zones}");
    wait_until(|| served_by(&node) == "near", "the node's zone");
}

#[test]
fn an_evacuation_ends_after_its_time() {
    let (node, _backends, _watch, _discovery) = two_zones(ZONES);
    assert_eq!(ops_request(&node, "POST /zones/a/evacuate?for_s=1").0, 200);
    wait_until(
        || {
            std::thread::sleep(Duration::from_millis(50));
            served_by(&node); // the end of an evacuation is checked only when there are requests
            !ops_request(&node, "GET /zones").1.contains("evacuated\"")
        },
        "the end of the evacuation",
    );
    node.wait_for_log("Returning after Evacuated");
}

#[test]
fn without_zones_there_is_no_zone_api_and_invalid_zones_prevent_the_start() {
    let (node, _backends, _watch, _discovery) = two_zones("{");
    assert_eq!(ops_request(&node, "GET /zones").0, 404);
    for (zones, error) in [
        (r#"{"zones":{"return_s":0},"#, "zones.return_s = 0: expected 1 to 3600"),
        (r#"{"zones":{"regions":{"n":["a"],"s":["a"]}},"#, r#"zones.regions: "a" stands in two places"#),
        (r#"{"zones":{"latency_ms":{"b":-1}},"#, "zones.latency_ms.b = -1: expected 0 to 60000"),
        (r#"{"zones":{"latency":{}},"#, "unknown field `latency`"),
    ] {
        let nowhere = "127.0.0.1:1".parse().expect("an address");
        let text = config(nowhere, &settings(1000, ""), 200).replacen('{', zones, 1);
        let output = command(&text, "").output().expect("a node that ends");
        let log = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(!output.status.success() && log.contains(error), "{log}");
    }
}
