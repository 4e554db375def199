//! Which backends a node process uses when the lists of discovery come late, truncated, in unusual layouts or
//! not at all. The exact timeouts are tested in paused time in `src/control/discovery/tests.rs`.

pub mod large;

use crate::harness::*;
use rustix::net::{AddressFamily, SocketType, bind, listen, socket};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener};
use std::time::{Duration, Instant};

const ON_REQUEST: &str = r#"{"RegistryMode":"ask","#;

/// Settings by which lists are pushed.
fn pushed_settings() -> String {
    settings(20_000, "")
}

/// Settings by which lists are requested: after a start or a failure, within half of this time.
fn on_request_settings(within_ms: u64) -> String {
    let settings = pushed_settings().replacen('{', ON_REQUEST, 1);
    settings.replace(r#""DrainGrace":2000"#, &format!(r#""DrainGrace":2000,"MustAskIn":{within_ms}"#))
}

/// The next version of the list: the old backend drains, and the new one is in service.
fn drain_update(old: SocketAddr, new: SocketAddr) -> String {
    list(9, false, &[entry("s-0", old, "terminating"), entry("s-1", new, "in_service")])
}

/// Two backends, and a node that has only the old one in its list.
struct DrainScenario {
    old: Backend,
    new: Backend,
    node: Node,
    watch: Watch,
    discovery: Discovery,
}

impl DrainScenario {
    fn start(settings: &str) -> Self {
        let (old, new) = (Backend::start(|_| ok("old")), Backend::start(|_| ok("new")));
        let (node, watch, discovery) = serving_node(settings, &[&old]);
        assert_eq!(node.client().request_read().body, b"old");
        DrainScenario { old, new, node, watch, discovery }
    }
    /// Waits until the node uses the new backend, and checks that it sends nothing more to the old one.
    fn assert_drained(&self) {
        wait_until(|| self.node.client().request_read().body == b"new", "the list");
        let before = self.old.request_count();
        for _ in 0..10 {
            assert_eq!(self.node.client().request_correct().body, b"new");
        }
        assert_eq!(self.old.request_count(), before);
    }
    /// Checks that a watch resumes from the held list, sends the drain on it, and waits until the node
    /// applies it.
    fn send_drain(&self, mut watch: Watch) {
        assert!(watch.start_line.contains("index=8 "), "it resumes from the held list: {}", watch.start_line);
        watch.open();
        watch.send_line(&drain_update(self.old.address, self.new.address));
        self.assert_drained();
    }
}

/// The configuration with a cached list that has this backend.
fn with_cached_list(config: &str, backend: &Backend) -> String {
    let cached = entry("s-0", backend.address, "in_service");
    config.replace("\"endpoints\":[]", &format!("\"endpoints\":[{cached}]"))
}

// ---- Liveness -----------------------------------------------------------------------------------

/// The first watch stalls, and so does the second one: at once, after its head or in the middle of a line. A
/// drain that both miss counts as announced 6 s later and is enforced after 2 s more, so the third watch must
/// be open by then.
#[test]
fn third_watch_delivers_a_drain_missed_by_two_stalled_ones() {
    let run_case = |case: usize| {
        let scenario = DrainScenario::start(&pushed_settings());
        scenario.watch.stop_heartbeat();
        let stalled_at = Instant::now();
        let mut watch = scenario.discovery.next_call();
        let line = drain_update(scenario.old.address, scenario.new.address);
        match case {
            0 => {}
            1 => {
                watch.open();
                watch.stop_heartbeat();
            }
            // Empty lines keep coming, but the rest of the line does not.
            _ => {
                watch.open();
                watch.send_chunk(&line[..line.len() / 2]);
            }
        }
        let third = scenario.discovery.next_call();
        assert!(stalled_at.elapsed() < Duration::from_secs(8), "case {case}: {:?}", stalled_at.elapsed());
        scenario.send_drain(third);
        drop(watch);
    };
    // Each case takes some seconds, so they run in parallel.
    std::thread::scope(|scope| (0..3).for_each(|case| drop(scope.spawn(move || run_case(case)))));
}

// ---- Versions -----------------------------------------------------------------------------------

#[test]
fn stale_list_of_a_recovered_agent_undoes_no_drain() {
    let mut scenario = DrainScenario::start(&pushed_settings());
    scenario.watch.send_line(&drain_update(scenario.old.address, scenario.new.address));
    scenario.assert_drained();
    scenario.watch.stop_heartbeat();
    let mut watch = scenario.discovery.next_call();
    watch.open();
    watch.send_line(&list(8, true, &[entry("s-0", scenario.old.address, "in_service")]));
    scenario.node.wait_for_log("an older list was refused: version 8 after 9");
    let before = scenario.old.request_count();
    for _ in 0..10 {
        assert_eq!(scenario.node.client().request_correct().body, b"new");
    }
    assert_eq!(scenario.old.request_count(), before);
    // The agent has caught up.
    watch.send_line(&list(10, false, &[entry("s-0", scenario.old.address, "in_service")]));
    watch.send_line(&list(11, false, &[entry("s-1", scenario.new.address, "terminated")]));
    wait_until(|| scenario.node.client().request_read().body == b"old", "the newer lists to be applied");
}

// ---- Address changes ----------------------------------------------------------------------------

#[test]
fn reload_moves_the_watch_while_the_old_agent_is_silent() {
    for (first, changed) in
        [(pushed_settings(), pushed_settings()), (on_request_settings(1_000), on_request_settings(600_000))]
    {
        // The old agent is silent while the watch is open; or the watch has ended, so that where lists are
        // requested the decision module would ask again only after some twenty seconds.
        for watch_ended in [false, true] {
            let scenario = DrainScenario::start(&first);
            scenario.node.reload(&with_ops(&config(scenario.discovery.address, &changed, 1024)));
            scenario.node.wait_for_log("told to look again");
            scenario.watch.stop_heartbeat();
            if watch_ended {
                scenario.watch.close();
                scenario.node.wait_for_log("the watch broke");
            }
            let new_discovery = Discovery::start();
            let moved_at = Instant::now();
            scenario.node.reload(&with_ops(&config(new_discovery.address, &changed, 1024)));
            let watch = new_discovery.next_call();
            assert!(moved_at.elapsed() < Duration::from_secs(4), "{watch_ended}: {:?}", moved_at.elapsed());
            scenario.send_drain(watch);
        }
    }
}

// ---- At the start -------------------------------------------------------------------------------

/// The node starts on a cached list with a backend that drains before the agent answers: it must stop using
/// that backend once the agent does, and again after a restart on the same cached list.
#[test]
fn drain_is_applied_from_an_agent_that_answers_late() {
    let (old, new) = (Backend::start(|_| ok("old")), Backend::start(|_| ok("new")));
    // The agent accepts connections and does not answer; or it refuses them at first.
    for refuses in [false, true] {
        let listener = socket(AddressFamily::INET, SocketType::STREAM, None).expect("a socket");
        bind(&listener, &SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0)).expect("a port");
        let listener = TcpListener::from(listener);
        let address = listener.local_addr().expect("its address");
        if !refuses {
            listen(&listener, 64).expect("connections are accepted");
        }
        let text = with_cached_list(&config(address, &pushed_settings(), 1024), &old);
        let node = Node::start(&text, "");
        wait_until(|| node.is_ready(), "readiness");
        assert_eq!(node.client().request_read().body, b"old");
        node.wait_for_log("the watch broke");
        if refuses {
            listen(&listener, 64).expect("connections are accepted");
        }
        Discovery::on(listener).answer_all_calls(&drain_update(old.address, new.address));
        wait_until(|| node.client().request_read().body == b"new", "the list");
        // A new process has the same cached list, and receives the drain at once.
        drop(node);
        let node = Node::start(&text, "");
        wait_until(|| node.is_ready(), "readiness");
        wait_until(|| node.client().request_correct().body == b"new", "the list");
        let before = old.request_count();
        for _ in 0..5 {
            assert_eq!(node.client().request_correct().body, b"new");
        }
        assert_eq!(old.request_count(), before);
    }
}

#[test]
fn drain_announced_while_the_watch_was_down_is_applied() {
    let scenario = DrainScenario::start(&pushed_settings());
    scenario.watch.close();
    // The agent closes the next connections.
    (0..5).for_each(|_| drop(scenario.discovery.next_call()));
    assert_eq!(scenario.node.client().request_read().body, b"old");
    scenario.send_drain(scenario.discovery.next_call());
}

// ---- Layout -------------------------------------------------------------------------------------

#[test]
fn list_is_applied_in_any_json_layout() {
    let add_whitespace =
        |line: &str, space: &str| line.replace('{', &format!("{{{space}")).replace(',', &format!(",{space}"));
    type SendList = fn(&mut Watch, &str, &dyn Fn(&str, &str) -> String);
    let layouts: [SendList; 4] = [
        // Indented.
        |watch, line, add_whitespace| watch.send_chunk(&(add_whitespace(line, "\n    ") + "\n")),
        // All kinds of whitespace, with empty lines within and around it.
        |watch, line, add_whitespace| {
            watch.send_chunk(&format!("\n\r\n \t{}\n\n", add_whitespace(line, "\r\n\n\t ")))
        },
        // In chunks of one byte, with empty lines in between.
        |watch, line, add_whitespace| {
            add_whitespace(line, "\n").chars().for_each(|char| watch.send_chunk(&char.to_string()));
            watch.send_chunk("\n");
        },
        // After a truncated line.
        |watch, line, _| watch.send_chunk(&format!("{{\"index\":9,\n{line}\n")),
    ];
    for (i, send_list) in layouts.iter().enumerate() {
        let mut scenario = DrainScenario::start(&pushed_settings());
        scenario.watch.stop_heartbeat(); // an empty line within a name would break the list
        send_list(
            &mut scenario.watch,
            &drain_update(scenario.old.address, scenario.new.address),
            &add_whitespace,
        );
        scenario.assert_drained();
        eprintln!("layout {i} is applied");
    }
}
