//! Lists of 52,000 servers (7 MB), the size that the node is built for.

use super::*;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{scope, sleep};

const SERVERS: usize = 52_000;

/// Entries of this many servers, all at this backend's address.
pub fn servers(count: usize, backend: &Backend) -> Vec<String> {
    (0..count)
        .map(|i| {
            let entry = entry(&format!("s-{i:08x}"), backend.address, "in_service");
            entry.replace("\"since_ms\":0", "\"since_ms\":1700000000000")
        })
        .collect()
}

#[test]
fn node_serves_from_52_000_servers_and_applies_their_drains() {
    let (old, new) = (Backend::start(|_| ok("old")), Backend::start(|_| ok("new")));
    let discovery = Discovery::start();
    let node = Node::start(&with_ops(&config(discovery.address, &pushed_settings(), 1024)), "");
    let all = servers(SERVERS, &old);
    let mut watch = discovery.send_list_until(&list(8, true, &all), || node.is_ready(), "readiness");
    assert_eq!(node.client().request_read().body, b"old");
    // Most of them drain, in one value of over 4 MiB; then a full list has a single server.
    let drains: Vec<_> =
        all[..40_000].iter().map(|entry| entry.replace("in_service", "terminating")).collect();
    watch.send_line(&list(9, false, &drains));
    let rest = [all[45_000].replace(&old.address.to_string(), &new.address.to_string())];
    watch.send_line(&list(10, true, &rest));
    wait_until(|| node.client().request_read().body == b"new", "the list");
    let before = old.request_count();
    (0..10).for_each(|_| assert_eq!(node.client().request_correct().body, b"new"));
    assert_eq!(old.request_count(), before);
    // The next watch resumes from the last version.
    watch.close();
    assert!(discovery.next_call().start_line.contains("index=10 "));
}

#[test]
fn list_over_the_memory_limit_is_refused_and_the_limit_logged() {
    let backend = Backend::start(|_| ok("served"));
    let small = |discovery| with_ops(&config(discovery, &pushed_settings(), 1024)).replace(":192", ":8");
    let discovery = Discovery::start();
    let node = Node::start(&small(discovery.address), "");
    let mut watch = discovery.next_call();
    watch.open();
    // Half of 8 MB at 1 KiB a server. The node abandons the watch in the middle of the list.
    let (within_limit, over_limit) = (servers(4_096, &backend), servers(20_000, &backend));
    watch.try_with(|stream| write_chunk(stream, &list(8, true, &over_limit)));
    node.wait_for_log("the list has more than 4096 servers");
    assert!(node.has_logged("limits.memory_mb"));
    // It reconnects after a backoff, and a list within the limit is applied.
    let mut watch = discovery.next_call();
    assert!(
        watch.start_line.contains("index=7 "),
        "nothing of the refused list is applied: {}",
        watch.start_line
    );
    watch.open();
    watch.send_line(&list(9, true, &within_limit));
    wait_until(|| node.is_ready(), "readiness");
    assert_eq!(node.client().request_read().body, b"served");
}

// ---- Measurements -------------------------------------------------------------------------------

/// CPU time in seconds, resident memory in MB, and its peak in MB.
pub fn resource_use(node: &Node) -> (f64, f64, f64) {
    let stat = node.proc_file("stat");
    let fields: Vec<_> = stat.rsplit(") ").next().expect("fields").split(' ').collect();
    let ticks = |field: usize| fields[field].parse::<f64>().expect("a number");
    let status = node.proc_file("status");
    let memory = |name: &str| {
        let line = status.lines().find_map(|line| line.strip_prefix(name)).expect("a line of memory use");
        line.trim().trim_end_matches(" kB").parse::<f64>().expect("a number") / 1024.0
    };
    ((ticks(11) + ticks(12)) / 100.0, memory("VmRSS:"), memory("VmHWM:"))
}

/// The latencies of requests in ms, sorted, while `meanwhile` runs: eight clients send 100 requests a second
/// in all.
pub fn latencies_during(node: &Node, meanwhile: impl FnOnce()) -> Vec<f64> {
    let finished = AtomicBool::new(false);
    let mut latencies = scope(|threads| {
        let clients: Vec<_> = (0..8)
            .map(|i| {
                let finished = &finished;
                threads.spawn(move || {
                    let (mut client, mut latencies) = (node.client(), Vec::new());
                    sleep(Duration::from_millis(10 * i));
                    while !finished.load(Ordering::SeqCst) {
                        let sent_at = Instant::now();
                        client.request_read();
                        latencies.push(sent_at.elapsed().as_secs_f64() * 1e3);
                        sleep(Duration::from_millis(80).saturating_sub(sent_at.elapsed()));
                    }
                    latencies
                })
            })
            .collect();
        meanwhile();
        finished.store(true, Ordering::SeqCst);
        clients.into_iter().flat_map(|client| client.join().expect("latencies")).collect::<Vec<_>>()
    });
    latencies.sort_by(f64::total_cmp);
    latencies
}

/// Prints the percentiles of sorted latencies.
pub fn print_latencies(what: &str, latencies: &[f64]) {
    let percentile = |share: f64| latencies[((latencies.len() - 1) as f64 * share) as usize];
    println!(
        "  {what}: {} requests, ms at 50 %: {:.2}, 99 %: {:.2}, most: {:.2}",
        latencies.len(),
        percentile(0.5),
        percentile(0.99),
        percentile(1.0)
    );
}

/// Not a test: the time, CPU and memory that lists of several lengths take. `OTHER_NODE` names another
/// program to compare.
/// `cargo test --release --test node measure_large_lists -- --ignored --nocapture`
#[test]
#[ignore = "a measurement"]
fn measure_large_lists() {
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
    let entries = servers(count, &backend);
    let line = list(8, true, &entries);
    let started = Instant::now();
    let node = Node::start(&with_ops(&config(discovery.address, &pushed_settings(), 1024)), shell);
    let mut watch = discovery.next_call();
    watch.open();
    watch.try_with(|stream| write_chunk(stream, &format!("{line}\n")));
    while !node.is_ready() {
        if started.elapsed() > Duration::from_secs(12) {
            return println!("{count} servers: not ready in 12 s, CPU {:.2} s", resource_use(&node).0);
        }
        sleep(Duration::from_millis(2));
    }
    let (ready, cpu) = (started.elapsed().as_secs_f64(), resource_use(&node).0);
    sleep(Duration::from_secs(1));
    let (_, steady, peak) = resource_use(&node);
    println!(
        "{count} servers, {:.2} MB: ready after {ready:.3} s, CPU {cpu:.2} s, memory {steady:.1} MB, \
         peak {peak:.1} MB",
        line.len() as f64 / 1e6
    );
    if count == 0 {
        return;
    }
    // Write errors are ignored: a program that refuses the list abandons the watch.
    let send_list = |watch: &Watch, version| {
        watch.try_with(|stream| write_chunk(stream, &format!("{}\n", list(version, true, &entries))));
    };
    print_latencies("without lists", &latencies_during(&node, || sleep(Duration::from_secs(4))));
    // As many lists in a row as take some seconds.
    let rounds = (4 * SERVERS / count.max(1)).clamp(4, 40);
    let before = resource_use(&node).0;
    let mut busy = Duration::ZERO;
    let back_to_back = latencies_during(&node, || {
        let started = Instant::now();
        (0..rounds).for_each(|i| send_list(&watch, 9 + i as u64));
        busy = started.elapsed();
    });
    print_latencies("with full lists without a pause", &back_to_back);
    let spent = (resource_use(&node).0 - before) / rounds as f64;
    println!("  {rounds} lists in {:.2} s, CPU {spent:.3} s each", busy.as_secs_f64());
    let version = 9 + rounds as u64;
    let spaced = latencies_during(&node, || {
        (0..8).for_each(|i| {
            send_list(&watch, version + i);
            sleep(Duration::from_millis(500));
        });
    });
    print_latencies("with a full list every half second", &spaced);
    let (_, steady, peak) = resource_use(&node);
    println!("  after that: memory {steady:.1} MB, peak {peak:.1} MB");
}
