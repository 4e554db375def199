//! Measures a node's CPU time, memory and latency at the planned size: 52,000 servers, 110,000 tenants and
//! 22,000 routes together.

use crate::harness::*;
use crate::lists::large::{latencies_during, print_latencies, resource_use, servers};
use std::fmt::Write;
use std::thread::sleep;
use std::time::{Duration, Instant};

const SERVERS: usize = 52_000;
const TENANTS: usize = 110_000;
const ROUTES: usize = 22_000;
/// The servers of one zone, which are all removed at once.
const ZONE_SERVERS: usize = 5_778;

/// Settings with so many routes and tenants in addition to those that the clients use.
fn large_settings(routes: usize, tenants: usize) -> String {
    let (mut classes, mut projects) = (String::new(), String::new());
    for route in 0..routes {
        let _ = write!(
            classes,
            r#"{{"Name":"route-{route}","Target":200,"GiveUp":1000,"Idempotency":"free","Group":"all","Window":0}},"#
        );
    }
    for tenant in 0..tenants {
        let _ = write!(projects, r#"{{"Name":"tenant-{tenant}","AllowancePerS":10,"Share":0.000009}},"#);
    }
    let small = settings(20_000, "").replacen('{', r#"{"NInstances":4900,"Ordinal":2450,"#, 1);
    let large = small.replacen(r#""Classes":["#, &format!(r#""Classes":[{classes}"#), 1);
    large.replacen(r#""Projects":["#, &format!(r#""Projects":[{projects}"#), 1)
}

/// Not a test: measures a node that holds the whole list, and one that holds a subset of it. The variable
/// `COSTS` gives other sizes, as `servers/tenants/routes`.
/// `cargo test --release --test node measure_subset_costs -- --ignored --nocapture`
#[test]
#[ignore = "a measurement"]
fn measure_subset_costs() {
    let sizes = std::env::var("COSTS").unwrap_or(format!("0/1/2 {SERVERS}/{TENANTS}/{ROUTES}"));
    for size in sizes.split(' ') {
        let size: Vec<usize> = size.split('/').map(|count| count.parse().expect("a count")).collect();
        for held in [Held::All, Held::Subset, Held::SubsetWithCells] {
            measure((size[0], size[1], size[2]), held);
        }
    }
}

/// Which servers of the list a node holds.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Held {
    /// The whole list.
    All,
    /// A subset.
    Subset,
    /// A subset, and the whole cells of its servers, with four servers in each cell.
    SubsetWithCells,
}

/// Starts a node with a list of so many servers, and prints what it uses at rest and as the list changes.
fn measure((count, tenants, routes): (usize, usize, usize), held: Held) {
    let backend = Backend::start(|_| ok("served"));
    let discovery = Discovery::start();
    let with_cell =
        |(i, entry): (usize, String)| entry.replace("\"group\":1", &format!("\"group\":{}", i / 4));
    let all: Vec<_> = servers(count, &backend).into_iter().enumerate().map(with_cell).collect();
    let mut config = with_ops(&config(discovery.address, &large_settings(routes, tenants), 1024));
    if held != Held::All {
        config = config.replacen('{', r#"{"subset":{"servers":256},"#, 1);
    }
    if held == Held::SubsetWithCells {
        config = config.replace(r#""Group":"zone""#, r#""Group":"cell""#);
    }
    let start = Instant::now();
    let node = Node::start(&config, "");
    let listening = start.elapsed().as_secs_f64();
    let mut watch = discovery.next_call();
    watch.open();
    watch.send_line(&list(8, true, &all));
    wait_until(|| node.is_ready(), "readiness");
    let (ready, cpu) = (start.elapsed().as_secs_f64(), resource_use(&node).0);
    sleep(Duration::from_secs(2));
    let (_, steady, peak) = resource_use(&node);
    println!(
        "{count} servers, {tenants} tenants, {routes} routes, {held:?}: listens after {listening:.3} s, ready after \
         {ready:.3} s, CPU {cpu:.2} s, memory {steady:.1} MB, peak {peak:.1} MB"
    );
    if count == 0 {
        return;
    }
    print_latencies("without list updates", &latencies_during(&node, || sleep(Duration::from_secs(4))));
    let rounds = 20;
    let mut version = 9;
    let before = resource_use(&node).0;
    let mut send_list = |entries: &[String], full: bool| {
        watch.send_line(&list(version, full, entries));
        version += 1;
    };
    print_latencies(
        "with whole lists one after the other",
        &latencies_during(&node, || (0..rounds).for_each(|_| send_list(&all, true))),
    );
    println!("  CPU {:.3} s for a list", (resource_use(&node).0 - before) / f64::from(rounds));
    let spaced = latencies_during(&node, || {
        for _ in 0..8 {
            send_list(&all, true);
            sleep(Duration::from_millis(500));
        }
    });
    print_latencies("with a whole list every half second", &spaced);
    let zone: Vec<_> =
        all.iter().take(ZONE_SERVERS).map(|entry| entry.replace("in_service", "terminated")).collect();
    let before = resource_use(&node).0;
    let zone_removed = latencies_during(&node, || {
        send_list(&zone, false);
        sleep(Duration::from_secs(2));
    });
    print_latencies("while a zone is removed", &zone_removed);
    println!("  CPU {:.3} s for it and 2 s of requests", resource_use(&node).0 - before);
    let (_, steady, peak) = resource_use(&node);
    println!("  after that: memory {steady:.1} MB, peak {peak:.1} MB");
}
