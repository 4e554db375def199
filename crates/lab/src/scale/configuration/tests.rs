use super::*;
use hillpick::control::config::Config;

#[test]
fn a_node_takes_it() {
    let shape = Shape { nodes: 50, zones: 9, tenants: 30, routes: 12, probe_ms: 1000, subset: None };
    let peers = ["127.0.0.1:7000".parse().unwrap()];
    let discovery = "127.0.0.1:7001".parse().unwrap();
    let own = Own { number: 7, zone: 3, region: 2, discovery, peers: &peers, seed: 5 };
    let config = Config::parse(&Settings::new(shape, 0).text(&own)).unwrap();
    let settings = &config.site.settings;
    assert_eq!((settings.nodes, settings.node, settings.zone), (50, 7, 3));
    assert_eq!((settings.classes.len(), settings.tenants.len()), (12, 30));
    assert_eq!(config.fleet.unwrap().listen, "127.0.3.1:0".parse().unwrap());
    let later = Config::parse(&Settings::new(shape, 4).text(&own)).unwrap();
    assert_ne!(later.site.settings.classes[0].latency_target, settings.classes[0].latency_target);
}
