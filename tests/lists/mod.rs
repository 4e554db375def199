//! The list of backends as discovery tells it, late, by halves, in strange forms or not at all: whom the node sends to.
//! How long it waits for what is in the node's own tests, on a clock that they move.

pub mod large;

use crate::harness::*;
use rustix::net::{AddressFamily, SocketType, bind, listen, socket};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener};
use std::time::{Duration, Instant};

const ASKED: &str = r#"{"RegistryMode":"ask","#;

fn plain() -> String {
    settings(20_000, "")
}

/// Lists are asked for, at a start and after a failure at the latest after half of this.
fn asked(within_ms: u64) -> String {
    let asked = plain().replacen('{', ASKED, 1);
    asked.replace(r#""DrainGrace":2000"#, &format!(r#""DrainGrace":2000,"MustAskIn":{within_ms}"#))
}

/// The first is told to stop, in the next version.
fn drained(old: SocketAddr, new: SocketAddr) -> String {
    list(9, false, &[entry("s-0", old, "terminating"), entry("s-1", new, "in_service")])
}

/// Two backends, and a node that knows the first one alone.
struct Two {
    old: Backend,
    new: Backend,
    node: Node,
    watch: Watch,
    discovery: Discovery,
}

impl Two {
    fn start(settings: &str) -> Self {
        let (old, new) = (Backend::start(|_| ok("old")), Backend::start(|_| ok("new")));
        let (node, watch, discovery) = serving_node(settings, &[&old]);
        assert_eq!(node.client().request_read().body, b"old");
        Two { old, new, node, watch, discovery }
    }
    /// The node sends to the second one alone from now on.
    fn has_left(&self) {
        wait_until(|| self.node.client().request_read().body == b"new", "the list");
        let before = self.old.request_count();
        for _ in 0..10 {
            assert_eq!(self.node.client().request_correct().body, b"new");
        }
        assert_eq!(self.old.request_count(), before);
    }
    /// The next call is told that the first one stops.
    fn tell(&self, mut watch: Watch) {
        assert!(watch.start_line.contains("index=8 "), "from the list it has: {}", watch.start_line);
        watch.open();
        watch.send_line(&drained(self.old.address, self.new.address));
        self.has_left();
    }
}

/// With a list from before that holds this backend.
fn knowing(config: &str, backend: &Backend) -> String {
    let known = entry("s-0", backend.address, "in_service");
    config.replace("\"endpoints\":[]", &format!("\"endpoints\":[{known}]"))
}

// ---- Silence ------------------------------------------------------------------------------------

/// The first watch falls silent, and the second one at once, after its head or in the middle of a line. What both miss
/// counts as told 6 s later, and binds after 2 s more: the third is open by then.
#[test]
fn the_third_watch_tells_what_two_silent_ones_have_missed() {
    let play = |second: usize| {
        let two = Two::start(&plain());
        two.watch.stop_heartbeat();
        let silent = Instant::now();
        let mut watch = two.discovery.next_call();
        let line = drained(two.old.address, two.new.address);
        match second {
            0 => {}
            1 => {
                watch.open();
                watch.stop_heartbeat();
            }
            // Empty lines go on, and the rest never comes.
            _ => {
                watch.open();
                watch.send_chunk(&line[..line.len() / 2]);
            }
        }
        let third = two.discovery.next_call();
        assert!(silent.elapsed() < Duration::from_secs(8), "case {second}: {:?}", silent.elapsed());
        two.tell(third);
        drop(watch);
    };
    // Each waits for some seconds.
    std::thread::scope(|scope| (0..3).for_each(|second| drop(scope.spawn(move || play(second)))));
}

// ---- Versions -----------------------------------------------------------------------------------

#[test]
fn an_agent_that_returns_with_an_older_list_undoes_no_drain() {
    let mut two = Two::start(&plain());
    two.watch.send_line(&drained(two.old.address, two.new.address));
    two.has_left();
    two.watch.stop_heartbeat();
    let mut watch = two.discovery.next_call();
    watch.open();
    watch.send_line(&list(8, true, &[entry("s-0", two.old.address, "in_service")]));
    two.node.wait_for_log("an older list was refused: version 8 after 9");
    let before = two.old.request_count();
    for _ in 0..10 {
        assert_eq!(two.node.client().request_correct().body, b"new");
    }
    assert_eq!(two.old.request_count(), before);
    // It has caught up.
    watch.send_line(&list(10, false, &[entry("s-0", two.old.address, "in_service")]));
    watch.send_line(&list(11, false, &[entry("s-1", two.new.address, "terminated")]));
    wait_until(|| two.node.client().request_read().body == b"old", "what is newer to be believed");
}

// ---- Moves --------------------------------------------------------------------------------------

#[test]
fn discovery_that_moves_is_followed_while_the_old_one_says_nothing() {
    for (first, then) in [(plain(), plain()), (asked(1_000), asked(600_000))] {
        // It is silent in the open watch; or the watch has ended, and where lists are asked for the next call is some
        // twenty seconds away.
        for ended in [false, true] {
            let two = Two::start(&first);
            two.node.reload(&with_ops(&config(two.discovery.address, &then, 1024)));
            two.node.wait_for_log("told to look again");
            two.watch.stop_heartbeat();
            if ended {
                two.watch.close();
                two.node.wait_for_log("the watch broke");
            }
            let after = Discovery::start();
            let moved = Instant::now();
            two.node.reload(&with_ops(&config(after.address, &then, 1024)));
            let watch = after.next_call();
            assert!(moved.elapsed() < Duration::from_secs(4), "{ended}: {:?}", moved.elapsed());
            two.tell(watch);
        }
    }
}

// ---- From the first moment ----------------------------------------------------------------------

/// The node starts on what it knew, which holds a backend that stops meanwhile, before its agent answers; and again after
/// a restart.
#[test]
fn a_drain_is_heard_from_an_agent_that_answers_late() {
    let (old, new) = (Backend::start(|_| ok("old")), Backend::start(|_| ok("new")));
    // The agent takes calls and says nothing; or refuses them, and returns.
    for refuses in [false, true] {
        let place = socket(AddressFamily::INET, SocketType::STREAM, None).expect("a socket");
        bind(&place, &SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0)).expect("a port");
        let place = TcpListener::from(place);
        let address = place.local_addr().expect("its address");
        if !refuses {
            listen(&place, 64).expect("calls are taken");
        }
        let text = knowing(&config(address, &plain(), 1024), &old);
        let node = Node::start(&text, "");
        wait_until(|| node.is_ready(), "readiness");
        assert_eq!(node.client().request_read().body, b"old");
        node.wait_for_log("the watch broke");
        if refuses {
            listen(&place, 64).expect("calls are taken");
        }
        Discovery::on(place).answer_all_calls(&drained(old.address, new.address));
        wait_until(|| node.client().request_read().body == b"new", "the list");
        // Its successor knows the same old list, and is told at once.
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
fn a_drain_is_heard_when_the_watch_was_down_meanwhile() {
    let two = Two::start(&plain());
    two.watch.close();
    // It breaks off calls for a while.
    (0..5).for_each(|_| drop(two.discovery.next_call()));
    assert_eq!(two.node.client().request_read().body, b"old");
    two.tell(two.discovery.next_call());
}

// ---- Forms --------------------------------------------------------------------------------------

#[test]
fn a_list_counts_in_every_form_that_json_allows() {
    let white =
        |line: &str, white: &str| line.replace('{', &format!("{{{white}")).replace(',', &format!(",{white}"));
    type Form = fn(&mut Watch, &str, &dyn Fn(&str, &str) -> String);
    let forms: [Form; 4] = [
        // Indented.
        |watch, line, white| watch.send_chunk(&(white(line, "\n    ") + "\n")),
        // White space of every kind, empty lines within and round it.
        |watch, line, white| watch.send_chunk(&format!("\n\r\n \t{}\n\n", white(line, "\r\n\n\t "))),
        // In pieces of a byte, with empty lines between.
        |watch, line, white| {
            white(line, "\n").chars().for_each(|char| watch.send_chunk(&char.to_string()));
            watch.send_chunk("\n");
        },
        // After a line that was cut short.
        |watch, line, _| watch.send_chunk(&format!("{{\"index\":9,\n{line}\n")),
    ];
    for (i, form) in forms.iter().enumerate() {
        let mut two = Two::start(&plain());
        two.watch.stop_heartbeat(); // an empty line within a name would break it
        form(&mut two.watch, &drained(two.old.address, two.new.address), &white);
        two.has_left();
        eprintln!("form {i} counts");
    }
}
