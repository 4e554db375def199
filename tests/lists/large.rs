//! Lists of the size that is coming: 52,000 servers, 7 MB.

use super::*;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{scope, sleep};

const SERVERS: usize = 52_000;

/// So many servers, which all listen where this backend does.
pub fn servers(count: usize, backend: &Backend) -> Vec<String> {
    (0..count)
        .map(|i| {
            let entry = entry(&format!("s-{i:08x}"), backend.address, "in_service");
            entry.replace("\"since_ms\":0", "\"since_ms\":1700000000000")
        })
        .collect()
}

#[test]
fn a_node_serves_from_a_list_of_52_000_servers_and_hears_their_drains() {
    let (old, new) = (Backend::start(|_| ok("old")), Backend::start(|_| ok("new")));
    let discovery = Discovery::start();
    let node = Node::start(&with_ops(&config(discovery.address, &plain(), 1024)), "");
    let all = servers(SERVERS, &old);
    let mut watch = discovery.send_list_until(&list(8, true, &all), || node.is_ready(), "readiness");
    assert_eq!(node.client().request_read().body, b"old");
    // All but a few drain, in one value over 4 MiB; then a whole list has one server alone.
    let drains: Vec<_> =
        all[..40_000].iter().map(|entry| entry.replace("in_service", "terminating")).collect();
    watch.send_line(&list(9, false, &drains));
    let rest = [all[45_000].replace(&old.address.to_string(), &new.address.to_string())];
    watch.send_line(&list(10, true, &rest));
    wait_until(|| node.client().request_read().body == b"new", "the list");
    let before = old.request_count();
    (0..10).for_each(|_| assert_eq!(node.client().request_correct().body, b"new"));
    assert_eq!(old.request_count(), before);
    // It has the last version.
    watch.close();
    assert!(discovery.next_call().start_line.contains("index=10 "));
}

#[test]
fn a_list_that_the_memory_has_no_room_for_is_refused_with_its_bound() {
    let backend = Backend::start(|_| ok("served"));
    let small = |discovery| with_ops(&config(discovery, &plain(), 1024)).replace(":192", ":8");
    let discovery = Discovery::start();
    let node = Node::start(&small(discovery.address), "");
    let mut watch = discovery.next_call();
    watch.open();
    // Half of 8 MB, a kibibyte each. The node leaves in the middle of it.
    let (fits, over) = (servers(4_096, &backend), servers(20_000, &backend));
    watch.try_with(|stream| write_chunk(stream, &list(8, true, &over)));
    node.wait_for_log("the list has more than 4096 servers");
    assert!(node.has_logged("limits.memory_mb"));
    // It asks again by and by, and one that fits is taken.
    let mut watch = discovery.next_call();
    assert!(watch.start_line.contains("index=7 "), "nothing of it counts: {}", watch.start_line);
    watch.open();
    watch.send_line(&list(9, true, &fits));
    wait_until(|| node.is_ready(), "readiness");
    assert_eq!(node.client().request_read().body, b"served");
}

// ---- Measured -----------------------------------------------------------------------------------

/// Processor time in seconds, and memory in MB, now and at its peak.
pub fn resource_use(node: &Node) -> (f64, f64, f64) {
    let stat = node.proc_file("stat");
    let fields: Vec<_> = stat.rsplit(") ").next().expect("fields").split(' ').collect();
    let ticks = |at: usize| fields[at].parse::<f64>().expect("a number");
    let status = node.proc_file("status");
    let memory = |name: &str| {
        let line = status.lines().find_map(|line| line.strip_prefix(name)).expect("its memory");
        line.trim().trim_end_matches(" kB").parse::<f64>().expect("a number") / 1024.0
    };
    ((ticks(11) + ticks(12)) / 100.0, memory("VmRSS:"), memory("VmHWM:"))
}

/// How long requests take, in ms, while `meanwhile` goes on; eight clients with 100 a second in all.
pub fn latencies_during(node: &Node, meanwhile: impl FnOnce()) -> Vec<f64> {
    let over = AtomicBool::new(false);
    let mut waits = scope(|threads| {
        let clients: Vec<_> = (0..8)
            .map(|i| {
                let over = &over;
                threads.spawn(move || {
                    let (mut client, mut waits) = (node.client(), Vec::new());
                    sleep(Duration::from_millis(10 * i));
                    while !over.load(Ordering::SeqCst) {
                        let asked = Instant::now();
                        client.request_read();
                        waits.push(asked.elapsed().as_secs_f64() * 1e3);
                        sleep(Duration::from_millis(80).saturating_sub(asked.elapsed()));
                    }
                    waits
                })
            })
            .collect();
        meanwhile();
        over.store(true, Ordering::SeqCst);
        clients.into_iter().flat_map(|client| client.join().expect("its waits")).collect::<Vec<_>>()
    });
    waits.sort_by(f64::total_cmp);
    waits
}

pub fn print_latencies(what: &str, waits: &[f64]) {
    let at = |part: f64| waits[((waits.len() - 1) as f64 * part) as usize];
    println!(
        "  {what}: {} requests, ms at 50 %: {:.2}, 99 %: {:.2}, most: {:.2}",
        waits.len(),
        at(0.5),
        at(0.99),
        at(1.0)
    );
}

/// Not a test: what lists cost a node. With `OTHER_NODE` it plays that program as well.
/// `cargo test --release --test node what_large_lists_cost -- --ignored --nocapture`
#[test]
#[ignore = "a measurement"]
fn what_large_lists_cost() {
    let other = std::env::var("OTHER_NODE").ok().map(|path| format!("exec {path}; "));
    for shell in other.iter().map(String::as_str).chain([""]) {
        println!("{}", if shell.is_empty() { "this node" } else { shell });
        for count in [0, 200, 5_000, 20_000, 31_000, SERVERS] {
            measure(count, shell);
        }
    }
}

fn measure(count: usize, shell: &str) {
    let backend = Backend::start(|_| ok("served"));
    let discovery = Discovery::start();
    let all = servers(count, &backend);
    let line = list(8, true, &all);
    let begun = Instant::now();
    let node = Node::start(&with_ops(&config(discovery.address, &plain(), 1024)), shell);
    let mut watch = discovery.next_call();
    watch.open();
    watch.try_with(|stream| write_chunk(stream, &format!("{line}\n")));
    while !node.is_ready() {
        if begun.elapsed() > Duration::from_secs(12) {
            return println!("{count} servers: not ready in 12 s, processor {:.2} s", resource_use(&node).0);
        }
        sleep(Duration::from_millis(2));
    }
    let (ready, processor) = (begun.elapsed().as_secs_f64(), resource_use(&node).0);
    sleep(Duration::from_secs(1));
    let (_, steady, peak) = resource_use(&node);
    println!(
        "{count} servers, {:.2} MB: ready after {ready:.3} s, processor {processor:.2} s, memory {steady:.1} MB, \
         peak {peak:.1} MB",
        line.len() as f64 / 1e6
    );
    if count == 0 {
        return;
    }
    // A program that refuses it leaves the watch.
    let tell = |watch: &Watch, version| {
        watch.try_with(|stream| write_chunk(stream, &format!("{}\n", list(version, true, &all))));
    };
    print_latencies("with nothing new", &latencies_during(&node, || sleep(Duration::from_secs(4))));
    // As many lists one after the other as take some seconds.
    let rounds = (4 * SERVERS / count.max(1)).clamp(4, 40);
    let before = resource_use(&node).0;
    let mut busy = Duration::ZERO;
    let whole = latencies_during(&node, || {
        let begun = Instant::now();
        (0..rounds).for_each(|i| tell(&watch, 9 + i as u64));
        busy = begun.elapsed();
    });
    print_latencies("with whole lists without a pause", &whole);
    let spent = (resource_use(&node).0 - before) / rounds as f64;
    println!("  {rounds} lists in {:.2} s, processor {spent:.3} s each", busy.as_secs_f64());
    let version = 9 + rounds as u64;
    let apart = latencies_during(&node, || {
        (0..8).for_each(|i| {
            tell(&watch, version + i);
            sleep(Duration::from_millis(500));
        });
    });
    print_latencies("with a whole list each half a second", &apart);
    let (_, steady, peak) = resource_use(&node);
    println!("  after that: memory {steady:.1} MB, peak {peak:.1} MB");
}
