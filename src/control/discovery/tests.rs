//! Tests of the discovery client against a scripted agent, over in-memory pipes and with paused time: the
//! runtime's clock only advances while all tasks wait, so measured times are exact.

mod long_lists;

use super::apply::ListJson;
use super::error::WatchError;
use super::framing::{ListValue, StreamFramer};
use super::*;
use crate::ServerState;
use serde_json::Value;
use std::cell::RefCell;
use tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream, duplex};
use tokio::task::LocalSet;
use tokio::time::timeout;

const SETTINGS: &str = r#"{"Localities":["a"],"HostTypes":["m"],"Permissions":{"AttemptsCap":2},MODE
    "Rules":{"DrainGrace":GRACE,"MustAskIn":10000},
    "Classes":[{"Name":"read","Target":1,"GiveUp":2,"Idempotency":"free"}]}"#;
const GRACE: Duration = Duration::from_secs(2);
/// In paused time, so that it takes no real time.
const MAX_WAIT: Duration = Duration::from_secs(3_600);
const RESPONSE_HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
const OLD_ADDRESS: &str = "127.0.0.1:1";
const NEW_ADDRESS: &str = "127.0.0.1:2";

/// The agent's end of a connection, when it was opened, and to which address.
struct AgentConnection {
    at: Duration,
    to: SocketAddr,
    pipe: DuplexStream,
}

impl AgentConnection {
    /// Reads the head of the request; returns its first line.
    async fn read_request_line(&mut self) -> String {
        let mut text = Vec::new();
        while !text.ends_with(b"\r\n\r\n") {
            text.push(self.pipe.read_u8().await.expect("the rest of the request head"));
        }
        String::from_utf8_lossy(&text).lines().next().unwrap_or_default().to_owned()
    }
    /// Reads the request and sends the head of the response; returns the request's first line.
    async fn send_head(&mut self) -> String {
        let request_line = self.read_request_line().await;
        self.pipe.write_all(RESPONSE_HEAD.as_bytes()).await.expect("the client reads");
        request_line
    }
    /// Writes a chunk of the response body.
    async fn write(&mut self, text: &str) {
        let chunk = format!("{:x}\r\n{text}\r\n", text.len());
        self.pipe.write_all(chunk.as_bytes()).await.expect("the client reads");
    }
}

/// Accepts connections; refuses them while it is down.
struct ScriptedAgent {
    connections: mpsc::UnboundedSender<AgentConnection>,
    down: Rc<Cell<bool>>,
    started: Instant,
    refused: Rc<RefCell<Vec<Duration>>>,
}

impl Connector for ScriptedAgent {
    type Stream = DuplexStream;
    async fn connect(&self, to: SocketAddr) -> io::Result<DuplexStream> {
        let at = self.started.elapsed();
        if self.down.get() {
            self.refused.borrow_mut().push(at);
            return Err(io::ErrorKind::ConnectionRefused.into());
        }
        let (ours, pipe) = duplex(64 << 10);
        let _ = self.connections.send(AgentConnection { at, to, pipe });
        Ok(ours)
    }
}

/// A node's configuration with these settings.
fn config(mode: &str, grace: Duration) -> Config {
    let settings = SETTINGS.replace("MODE", mode).replace("GRACE", &grace.as_millis().to_string());
    let config = format!(
        r#"{{"listen":"127.0.0.1:1","discovery":"{OLD_ADDRESS}","seed":"7","limits":{{"sockets":512}},"settings":{settings}}}"#
    );
    Config::parse(&config).expect("a configuration")
}

/// A discovery client, and the agent and the node that it talks to.
struct Harness {
    connections: mpsc::UnboundedReceiver<AgentConnection>,
    updates: mpsc::Receiver<ListUpdate>,
    commands: mpsc::Sender<DiscoveryCommand>,
    address: watch::Sender<SocketAddr>,
    down: Rc<Cell<bool>>,
    refused: Rc<RefCell<Vec<Duration>>>,
    started: Instant,
}

impl Harness {
    fn start(mode: &str, down: bool) -> Self {
        Harness::with_grace(mode, GRACE, down)
    }
    fn with_grace(mode: &str, grace: Duration, down: bool) -> Self {
        Harness::with_config(config(mode, grace), down)
    }
    fn with_config(config: Config, down: bool) -> Self {
        let (connection_sender, connections) = mpsc::unbounded_channel();
        let (messages, updates) = mpsc::channel(1_000);
        let (commands, received_commands) = mpsc::channel(16);
        let (address, address_receiver) = watch::channel(config.discovery);
        let (down, refused, started) = (Rc::new(Cell::new(down)), Rc::default(), Instant::now());
        let agent = ScriptedAgent {
            connections: connection_sender,
            down: down.clone(),
            started,
            refused: Rc::clone(&refused),
        };
        let settings = LiveSettings::new(config.site.clone());
        let discovery = DiscoveryClient::with_connector(agent, &config, settings, address_receiver, messages);
        spawn_local(discovery.run(received_commands));
        Harness { connections, updates, commands, address, down, refused, started }
    }
    async fn next_connection(&mut self) -> AgentConnection {
        timeout(MAX_WAIT, self.connections.recv())
            .await
            .expect("a connection within an hour")
            .expect("a connection")
    }
    async fn next_update(&mut self) -> ListUpdate {
        let update = timeout(MAX_WAIT, self.updates.recv()).await.expect("an update within an hour");
        update.expect("an update")
    }
    /// The kind of the next update and the states of its servers.
    async fn next_update_states(&mut self) -> (ListKind, Vec<ServerState>) {
        let update = self.next_update().await;
        (update.kind, update.backends.iter().map(|backend| backend.entry.state).collect())
    }
}

/// Runs a test in paused time.
fn run_paused(test: impl AsyncFnOnce()) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
    LocalSet::new().block_on(&runtime.expect("a runtime"), test());
}

fn entry(name: &str, status: &str, since: u64) -> String {
    format!(
        r#"{{"name":"{name}","address":"10.1.0.18:80","zone":"a","type":"m","group":1,"status":"{status}","weight":1.0,"since_ms":{since}}}"#
    )
}

fn list(index: u64, snapshot: bool, entries: &[String]) -> String {
    format!("{{\"index\":{index},\"snapshot\":{snapshot},\"endpoints\":[{}]}}\n", entries.join(","))
}

fn millis(duration: Duration) -> u128 {
    duration.as_millis()
}

// ---- Liveness -----------------------------------------------------------------------------------

/// Guards against stalled watches that are noticed too late: what two of them miss counts as announced after
/// 6 s, and by then a third one must be open, wherever in its response the agent stops sending.
#[test]
fn third_watch_opens_in_time_after_two_stalled_ones() {
    // The agent sends nothing; only a head; half a line and then empty lines, cut between two keys or within
    // a key.
    for case in 0..4 {
        run_paused(async || {
            let mut harness = Harness::start("", false);
            for watch in 0..2 {
                let mut connection = harness.next_connection().await;
                match case {
                    0 => drop(connection.read_request_line().await),
                    1 => drop(connection.send_head().await),
                    _ => {
                        connection.send_head().await;
                        let partial = list(8, true, &[entry("s-0", "in_service", 0)]);
                        let cut =
                            partial.find(if case == 2 { ",\"zone" } else { "one\":" }).expect("a position");
                        connection.write(&partial[..cut]).await;
                        // Often enough to keep the watch alive if the client counted any byte as activity.
                        for _ in 0..3 {
                            sleep(Duration::from_millis(800)).await;
                            connection.write("\n").await;
                        }
                    }
                }
                // The agent keeps it open until the client closes it.
                let mut rest = Vec::new();
                let _ = connection.pipe.read_to_end(&mut rest).await;
                let duration = harness.started.elapsed() - connection.at;
                let expected = if case == 0 { GRACE / 2 } else { LIVENESS_TIMEOUT };
                assert_eq!(millis(duration), millis(expected), "case {case}, watch {watch}");
            }
            let third = harness.next_connection().await;
            assert!(third.at < Duration::from_millis(5_200), "case {case}: {:?}", third.at);
        });
    }
}

#[test]
fn empty_lines_and_partial_values_keep_a_watch_alive() {
    run_paused(async || {
        let mut harness = Harness::start("", false);
        let mut connection = harness.next_connection().await;
        connection.send_head().await;
        for _ in 0..10 {
            sleep(Duration::from_millis(2_100)).await;
            connection.write("\n").await;
        }
        let text = list(8, true, &[entry("s-0", "in_service", 0)]);
        for chunk in text.as_bytes().chunks(8) {
            sleep(Duration::from_millis(1_000)).await;
            connection.write(std::str::from_utf8(chunk).expect("ASCII")).await;
        }
        assert_eq!(harness.next_update_states().await, (ListKind::Full, vec![ServerState::Ready]));
        assert!(harness.connections.try_recv().is_err(), "the first watch stays open");
    });
}

/// However long an agent refuses connections or does not answer: the client reconnects within 3/4 of the
/// grace after it recovers, and the rate of connections stays bounded meanwhile.
#[test]
fn recovered_agent_is_reached_within_the_grace() {
    for extra_ms in (0..4_000).step_by(170) {
        run_paused(async || {
            let mut harness = Harness::start("", true);
            sleep(Duration::from_millis(20_000 + extra_ms)).await;
            harness.down.set(false);
            let recovery = harness.started.elapsed();
            let connection = harness.next_connection().await;
            assert!(connection.at - recovery <= GRACE / 4, "{:?}", connection.at - recovery);
            let rate = harness.refused.borrow().len() as f64 / recovery.as_secs_f64();
            assert!(rate <= 4.5, "{rate} connections a second");
        });
        run_paused(async || {
            let mut harness = Harness::start("", false);
            let (mut unanswered, end) = (Vec::new(), Duration::from_millis(20_000 + extra_ms));
            let connection = loop {
                let connection = harness.next_connection().await;
                if connection.at >= end {
                    break connection;
                }
                unanswered.push(connection); // kept open without an answer
            };
            assert!(connection.at - end <= GRACE * 3 / 4, "{:?}", connection.at - end);
            assert!(unanswered.len() as f64 <= 1.2 * end.as_secs_f64(), "{}", unanswered.len());
        });
    }
}

/// How a connection fails before the agent recovers.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Failure {
    /// It is refused.
    Refused,
    /// Nothing is sent.
    NoAnswer,
    /// A head is sent, and then nothing.
    HeadOnly,
    /// Half a value is sent, and then nothing.
    PartialValue,
    /// It is closed after the head.
    Closed,
    /// The response is an error.
    ErrorStatus,
}

/// Lets connections fail in these ways, in turn, until `recovery`; returns the first connection after that.
async fn fail_connections(harness: &mut Harness, kinds: &[Failure], recovery: Duration) -> AgentConnection {
    let mut kept_open = Vec::new();
    for kind in kinds.iter().cycle() {
        harness.down.set(*kind == Failure::Refused);
        let recovery_at = harness.started + recovery;
        let mut connection = if *kind == Failure::Refused {
            let before = harness.refused.borrow().len();
            while harness.refused.borrow().len() == before && Instant::now() < recovery_at {
                sleep(Duration::from_millis(1)).await;
            }
            harness.down.set(false);
            if Instant::now() < recovery_at {
                continue;
            }
            return harness.next_connection().await;
        } else {
            harness.next_connection().await
        };
        if connection.at >= recovery {
            return connection;
        }
        match kind {
            Failure::Refused | Failure::NoAnswer => {}
            Failure::HeadOnly => drop(connection.send_head().await),
            Failure::PartialValue => {
                connection.send_head().await;
                connection.write(r#"{"index":9,"snapshot":true,"endpo"#).await;
            }
            Failure::Closed => {
                connection.send_head().await;
                continue; // dropping it closes it
            }
            Failure::ErrorStatus => {
                connection.read_request_line().await;
                let response = b"HTTP/1.1 503 Down\r\nContent-Length: 0\r\n\r\n";
                connection.pipe.write_all(response).await.expect("the client reads");
            }
        }
        kept_open.push(connection);
    }
    unreachable!("the kinds repeat")
}

/// Whatever failures came before, in whatever order, and whenever among them the agent recovers: the list
/// that it then holds is applied within 6 s, however short the grace.
#[test]
fn list_arrives_within_6_s_of_recovery_after_any_failures() {
    use Failure::*;
    let kinds = [Refused, NoAnswer, HeadOnly, PartialValue, Closed, ErrorStatus];
    let mut random = Pcg32::seed_from_u64(22);
    for round in 0..120 {
        let failures: Vec<_> = match round {
            0..6 => vec![kinds[round]],
            _ => (0..2 + random.next_u32() % 4).map(|_| kinds[random.next_u32() as usize % 6]).collect(),
        };
        let recovery = Duration::from_millis(u64::from(8_000 + random.next_u32() % 8_000));
        let grace = Duration::from_millis([0, 250, 700, 2_000][random.next_u32() as usize % 4]);
        for mode in ["", r#""RegistryMode":"ask","#] {
            run_paused(async || {
                let mut harness = Harness::with_grace(mode, grace, false);
                harness
                    .commands
                    .send(DiscoveryCommand::Subscribe(true))
                    .await
                    .expect("the client receives commands");
                let mut connection = fail_connections(&mut harness, &failures, recovery).await;
                connection.send_head().await;
                connection.write(&list(9, true, &[entry("s-0", "terminating", 0)])).await;
                assert_eq!(
                    harness.next_update_states().await,
                    (ListKind::Full, vec![ServerState::Draining]),
                    "{failures:?}"
                );
                let delay = harness.started.elapsed() - recovery;
                assert!(delay < Duration::from_secs(6), "{failures:?}, {grace:?}, {mode}: {delay:?}");
                // The rate of connections stays bounded meanwhile.
                let refused = harness.refused.borrow().len();
                let max_per_s = if mode.is_empty() { 20 } else { 2 };
                assert!(
                    refused as f64 <= 8.0 + f64::from(max_per_s) * recovery.as_secs_f64(),
                    "{failures:?}: {refused}"
                );
            });
        }
    }
}

/// Where lists are requested, each request has a cost: the client reconnects every 1 to 2 s during an outage,
/// with jitter.
#[test]
fn on_request_mode_reconnects_slowly_and_with_jitter_during_an_outage() {
    run_paused(async || {
        let harness = Harness::start(r#""RegistryMode":"ask","#, true);
        harness.commands.send(DiscoveryCommand::Subscribe(true)).await.expect("the client receives commands");
        sleep(Duration::from_secs(60)).await;
        let times = harness.refused.borrow().clone();
        let gaps: Vec<_> = times.windows(2).map(|pair| millis(pair[1] - pair[0])).collect();
        assert!((30..=65).contains(&gaps.len()), "{gaps:?}");
        assert!(gaps[8..].iter().all(|gap| (1_000..=2_001).contains(gap)), "{gaps:?}");
        assert!(gaps[8..].iter().any(|gap| *gap < 1_400) && gaps[8..].iter().any(|gap| *gap > 1_600));
    });
}

/// Data and deadline fall into one turn of the runtime: neither a request nor a watch may be abandoned when
/// its data has just arrived.
#[test]
fn data_arriving_at_the_deadline_counts() {
    // Both at the same instant, with the client's timer set first; or the data just before the deadline.
    for early_by in [Duration::ZERO, Duration::from_micros(1)] {
        run_paused(async || {
            let mut harness = Harness::start("", false);
            let mut connection = harness.next_connection().await;
            sleep(GRACE / 2 - early_by).await;
            connection.send_head().await;
            connection.write("\n").await;
            sleep(LIVENESS_TIMEOUT - early_by).await;
            connection.write(&list(9, true, &[entry("s-0", "in_service", 0)])).await;
            assert_eq!(
                harness.next_update_states().await,
                (ListKind::Full, vec![ServerState::Ready]),
                "{early_by:?}"
            );
            assert!(harness.connections.try_recv().is_err(), "{early_by:?}: the first connection stays open");
        });
    }
}

#[test]
fn late_response_to_an_abandoned_request_is_ignored() {
    run_paused(async || {
        let mut harness = Harness::start("", false);
        let mut first = harness.next_connection().await;
        first.read_request_line().await;
        let mut second = harness.next_connection().await;
        // The first response comes at last, before the second one.
        let late_write = first.pipe.write_all(RESPONSE_HEAD.as_bytes()).await;
        assert!(late_write.is_err(), "the connection is closed");
        second.send_head().await;
        second.write(&list(9, true, &[entry("s-0", "terminating", 0)])).await;
        assert_eq!(harness.next_update_states().await, (ListKind::Full, vec![ServerState::Draining]));
        assert!(harness.updates.try_recv().is_err());
    });
}

/// A value that arrives just before its connection is closed must be applied, and the next watch must resume
/// after it: both in one turn of the runtime, or the end once the value has been applied.
#[test]
fn last_value_counts_however_the_watch_ends() {
    for separate_turns in [false, true] {
        run_paused(async || {
            let mut harness = Harness::start("", false);
            let mut connection = harness.next_connection().await;
            connection.send_head().await;
            connection.write(&list(9, true, &[entry("s-0", "in_service", 0)])).await;
            harness.next_update_states().await;
            // A change that falls into the gap between two watches is sent on the next one.
            connection.write(&list(10, false, &[entry("s-0", "terminating", 0)])).await;
            if separate_turns {
                assert_eq!(harness.next_update_states().await.1, vec![ServerState::Draining]);
            }
            drop(connection);
            if !separate_turns {
                assert_eq!(harness.next_update_states().await.1, vec![ServerState::Draining]);
            }
            let mut next = harness.next_connection().await;
            assert!(next.send_head().await.contains("index=10 "), "the last value counts");
            next.write(&list(11, false, &[entry("s-0", "terminated", 0)])).await;
            assert_eq!(harness.next_update_states().await, (ListKind::Changes, vec![ServerState::Gone]));
        });
    }
}

/// Guards against lists that are read from an answer whose coding the client can't remove: its chunks' ends
/// would be taken for parts of the text.
#[test]
fn a_watch_in_an_unknown_transfer_coding_is_abandoned_unread() {
    run_paused(async || {
        let mut harness = Harness::start("", false);
        for coding in ["chunkd", "gzip, chunked"] {
            let mut agent = harness.next_connection().await;
            agent.read_request_line().await;
            let lines = list(8, true, &[entry("s-1", "in_service", 0)]);
            let chunk = format!("{:x}\r\n{lines}\r\n", lines.len());
            let response = format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: {coding}\r\n\r\n{chunk}");
            agent.pipe.write_all(response.as_bytes()).await.expect("there is room");
        }
        let mut agent = harness.next_connection().await;
        agent.send_head().await;
        agent.write(&list(9, true, &[entry("s-2", "terminating", 0)])).await;
        assert_eq!(harness.next_update_states().await, (ListKind::Full, vec![ServerState::Draining]));
    });
}

// ---- Address changes ----------------------------------------------------------------------------

#[test]
fn address_change_reconnects_at_once_in_any_state() {
    for mode in ["", r#""RegistryMode":"ask","#] {
        // While the request is unanswered; just after the response timeout; during the backoff; while a later
        // request is unanswered.
        for change_at_ms in [100, 1_001, 1_020, 3_000] {
            run_paused(async || {
                let mut harness = Harness::start(mode, false);
                harness
                    .commands
                    .send(DiscoveryCommand::Subscribe(true))
                    .await
                    .expect("the client receives commands");
                let mut kept_open = vec![harness.next_connection().await];
                let change_at = harness.started + Duration::from_millis(change_at_ms);
                while let Ok(connection) = tokio::time::timeout_at(change_at, harness.next_connection()).await
                {
                    kept_open.push(connection);
                }
                harness
                    .address
                    .send(NEW_ADDRESS.parse().expect("an address"))
                    .expect("the client watches its address");
                let mut connection = harness.next_connection().await;
                assert_eq!(
                    (millis(connection.at), connection.to),
                    (u128::from(change_at_ms), NEW_ADDRESS.parse().unwrap()),
                    "{mode}"
                );
                connection.send_head().await;
                connection.write(&list(9, true, &[entry("s-0", "terminating", 0)])).await;
                while harness.next_update_states().await != (ListKind::Full, vec![ServerState::Draining]) {}
                assert_eq!(millis(harness.started.elapsed()), u128::from(change_at_ms));
            });
        }
    }
}

#[test]
fn address_change_opens_no_watch_before_a_subscription() {
    run_paused(async || {
        let mut harness = Harness::start(r#""RegistryMode":"ask","#, false);
        yield_now().await; // the client waits for a command
        harness
            .address
            .send(NEW_ADDRESS.parse().expect("an address"))
            .expect("the client watches its address");
        sleep(Duration::from_secs(60)).await;
        assert!(harness.connections.try_recv().is_err());
        harness.commands.send(DiscoveryCommand::Subscribe(true)).await.expect("the client receives commands");
        let mut connection = harness.next_connection().await;
        assert_eq!(connection.to, NEW_ADDRESS.parse().unwrap());
        connection.send_head().await;
        // Subscribing again changes nothing while the watch is open.
        for _ in 0..5 {
            harness
                .commands
                .send(DiscoveryCommand::Subscribe(true))
                .await
                .expect("the client receives commands");
            sleep(Duration::from_secs(2)).await;
            connection.write("\n").await;
        }
        assert!(harness.connections.try_recv().is_err());
        harness
            .commands
            .send(DiscoveryCommand::Subscribe(false))
            .await
            .expect("the client receives commands");
        assert_eq!(connection.pipe.read(&mut [0]).await.expect("an end"), 0);
    });
}

/// The agent recovers at the instant in which its address changes, and the old address answers after the new
/// one: only the new one may be listened to.
#[test]
fn address_change_during_recovery_closes_the_old_connection() {
    for mode in ["", r#""RegistryMode":"ask","#] {
        for changed_first in [false, true] {
            run_paused(async || {
                let mut harness = Harness::start(mode, true);
                harness
                    .commands
                    .send(DiscoveryCommand::Subscribe(true))
                    .await
                    .expect("the client receives commands");
                sleep(Duration::from_millis(7_321)).await;
                let recovery = harness.started.elapsed();
                let old_connection = if changed_first {
                    harness
                        .address
                        .send(NEW_ADDRESS.parse().expect("an address"))
                        .expect("the client watches its address");
                    harness.down.set(false);
                    None
                } else {
                    harness.down.set(false);
                    let old_connection = harness.next_connection().await; // unanswered so far
                    harness
                        .address
                        .send(NEW_ADDRESS.parse().expect("an address"))
                        .expect("the client watches its address");
                    Some(old_connection)
                };
                let mut new_connection = harness.next_connection().await;
                assert_eq!(new_connection.to, NEW_ADDRESS.parse().unwrap());
                assert!(
                    new_connection.at - recovery <= Duration::from_secs(2),
                    "{:?}",
                    new_connection.at - recovery
                );
                new_connection.send_head().await;
                new_connection.write(&list(9, true, &[entry("s-0", "terminating", 0)])).await;
                assert_eq!(harness.next_update_states().await, (ListKind::Full, vec![ServerState::Draining]));
                if let Some(mut old_connection) = old_connection {
                    let _ = old_connection.pipe.write_all(RESPONSE_HEAD.as_bytes()).await;
                    assert!(old_connection.pipe.write_all(b"x").await.is_err(), "the connection is closed");
                }
                sleep(Duration::from_secs(1)).await;
                assert!(harness.updates.try_recv().is_err());
            });
        }
    }
}

/// A backend drains and restarts between two lists, and the second list has both entries in either order: the
/// entry with the later start counts, or the node would not use the restarted backend.
#[test]
fn drain_and_restart_in_one_list_keep_the_later_start() {
    let (drains, restarts) = (entry("s-0", "terminating", 5), entry("s-0", "in_service", 9));
    for entries in [[drains.clone(), restarts.clone()], [restarts, drains]] {
        run_paused(async || {
            let mut harness = Harness::start("", false);
            let mut connection = harness.next_connection().await;
            connection.send_head().await;
            connection.write(&list(8, true, &[entry("s-0", "in_service", 5)])).await;
            harness.next_update_states().await;
            connection.write(&list(9, false, &entries)).await;
            let states = harness.next_update().await.backends;
            let states: Vec<_> = states.iter().map(|b| (b.entry.state, b.entry.started)).collect();
            assert_eq!(states, [(ServerState::Ready, Some(Duration::from_millis(9)))]);
        });
    }
}

// ---- Versions -----------------------------------------------------------------------------------

#[test]
fn stale_lists_are_refused_until_only_those_come_for_10_s() {
    run_paused(async || {
        let mut harness = Harness::start("", false);
        let mut connection = harness.next_connection().await;
        connection.send_head().await;
        let held = ["s-0", "s-1", "s-2"].map(|name| entry(name, "in_service", 5));
        connection.write(&list(41, true, &held)).await;
        connection.write(&list(42, false, &[entry("s-0", "terminating", 5)])).await;
        assert_eq!(
            (harness.next_update_states().await.0, harness.next_update_states().await.0),
            (ListKind::Full, ListKind::Changes)
        );
        // A stale list: the first serves again, the second drains, the third has restarted, and there are two
        // others.
        let stale = [("s-0", "in_service", 5), ("s-1", "terminating", 5), ("s-2", "in_service", 9)];
        let more = [("s-3", "in_service", 1), ("s-4", "terminating", 1)];
        let stale: Vec<_> =
            stale.iter().chain(&more).map(|(name, status, at)| entry(name, status, *at)).collect();
        connection.write(&list(40, true, &stale)).await;
        assert_eq!(
            harness.next_update_states().await,
            (ListKind::Changes, vec![ServerState::Draining, ServerState::Ready])
        );
        // The next stale list has no entry that no newer list could contradict.
        connection.write(&list(41, false, &[entry("s-0", "in_service", 5)])).await;
        let refused = harness.started.elapsed();
        connection.write(&list(42, false, &[entry("s-1", "in_service", 5)])).await;
        assert_eq!(
            harness.next_update_states().await,
            (ListKind::Changes, vec![ServerState::Ready]),
            "the held version is not stale"
        );

        // Discovery has restarted its version numbers, and nothing but empty lines follows.
        connection.write(&list(3, true, &stale)).await;
        harness.next_update_states().await;
        let mut next = loop {
            tokio::select! {
                next = harness.connections.recv() => break next.expect("a connection"),
                () = sleep(Duration::from_secs(2)) => {
                    assert!(harness.started.elapsed() < MAX_WAIT, "stale lists are never accepted");
                    connection.write("\n").await;
                }
            }
        };
        let waited = next.at - refused;
        assert!(
            waited >= versions::ACCEPT_STALE_AFTER && waited < versions::ACCEPT_STALE_AFTER + MIN_BACKOFF,
            "{waited:?}"
        );
        assert!(next.send_head().await.contains("index=0 "), "a full list is requested");
        next.write(&list(3, true, &stale)).await;
        assert_eq!(harness.next_update_states().await.1.len(), 5);
    });
}

/// A stale period that ended must not count later: another stale list would be accepted at once.
#[test]
fn data_that_is_not_stale_ends_a_stale_period() {
    run_paused(async || {
        let mut harness = Harness::start("", false);
        let one = [entry("s-0", "in_service", 5)];
        for (index, refused) in [(9, false), (8, true), (0, true), (8, true)] {
            let mut connection = harness.next_connection().await;
            assert!(connection.send_head().await.contains(if harness.started.elapsed().is_zero() {
                "index=0 "
            } else {
                "index=9 "
            }));
            if index > 0 {
                connection.write(&list(index, true, &one)).await;
            } else {
                for _ in 0..10 {
                    sleep(Duration::from_secs(2)).await;
                    connection.write("\n").await;
                }
            }
            if refused {
                yield_now().await;
                assert!(harness.updates.try_recv().is_err(), "{index}");
            } else {
                harness.next_update_states().await;
            }
        }
    });
}

// ---- Framing ------------------------------------------------------------------------------------

/// A framer for lists of up to 2,000 servers.
fn new_framer() -> StreamFramer {
    StreamFramer::new(EntryReader::new(LiveSettings::new(config("", GRACE).site)), 2_000)
}

/// How many values a chunk completes, and whether it shows that the watch is alive.
fn feed_counts(framer: &mut StreamFramer, chunk: &[u8]) -> (usize, bool) {
    let output = framer.feed(chunk).expect("within the limits");
    (output.values.len(), output.active)
}

/// All values in these chunks, and how many malformed ones were dropped.
fn feed_all<'a>(chunks: impl IntoIterator<Item = &'a [u8]>) -> (Vec<Bytes>, usize) {
    let (mut framer, mut valid, mut dropped) = (new_framer(), Vec::new(), 0);
    for chunk in chunks {
        for value in framer.feed(chunk).expect("within the limits").values {
            match value {
                Ok(ListValue::Text(value)) => valid.push(value),
                Ok(ListValue::Long(list)) => panic!("{:?} is short", list.index),
                Err(_) => dropped += 1,
            }
        }
    }
    (valid, dropped)
}

fn indices(values: &[Bytes]) -> Vec<u64> {
    values
        .iter()
        .map(|text| serde_json::from_slice::<ListJson>(text).expect("a list").index.unwrap_or_default())
        .collect()
}

/// The same JSON over many lines, with this whitespace for each line break.
fn with_whitespace(text: &str, whitespace: &str) -> String {
    let value: Value = serde_json::from_str(text).expect("JSON");
    let pretty = serde_json::to_string_pretty(&value).expect("JSON");
    pretty.replace('\n', whitespace) + "\n"
}

#[test]
fn values_are_framed_in_any_layout_and_split() {
    let odd = entry("s-{é}{{\\\"\\\\", "in_service", 0);
    let entries = [entry("s-0", "in_service", 0), odd, entry("s-}}}", "terminating", 3)];
    let all: String = [41, 42, 43].iter().map(|index| list(*index, false, &entries)).collect();
    let each =
        |whitespace: &str| all.lines().map(|line| with_whitespace(line, whitespace)).collect::<String>();
    let forms = [
        all.clone(),
        each("\n"),
        each("\r\n\t \n\n"),
        each(" "),
        all.replace('\n', "\n\n\r\n \t\n"),
        all.replace('\n', ""),
        format!("\n\n{}", all.replace('\n', "\n\n")),
    ];
    for (form, text) in forms.iter().enumerate() {
        for size in [1, 2, 3, 7, 64, usize::MAX] {
            let (values, dropped) = feed_all(text.as_bytes().chunks(size));
            assert_eq!((indices(&values), dropped), (vec![41, 42, 43], 0), "form {form} by {size}");
        }
    }
}

/// A value must not wait for the end of its line.
#[test]
fn value_is_emitted_with_its_last_byte() {
    let line = list(41, false, &[entry("s-0", "in_service", 0)]);
    for text in [line.trim_end().to_owned(), with_whitespace(&line, "\n").trim_end().to_owned()] {
        let mut framer = new_framer();
        let (last, before) = text.as_bytes().split_last().expect("bytes");
        assert_eq!(feed_counts(&mut framer, before), (0, true));
        // Whitespace within a value does not show that the watch is alive.
        assert_eq!(feed_counts(&mut framer, b"\n\n"), (0, false));
        assert_eq!(feed_counts(&mut framer, &[*last]), (1, true));
        assert_eq!(feed_counts(&mut framer, b"\n"), (0, true));
    }
}

#[test]
fn malformed_values_are_dropped_alone() {
    let valid = list(41, false, &[entry("s-0", "in_service", 0)]);
    let indented = with_whitespace(&valid, "\n");
    let malformed_texts = [
        "\u{1}\u{2}\n".to_owned(),
        "{{{{\n".into(),
        "}}}}\n".into(),
        valid[..valid.len() / 2].to_owned() + "\n",
        // The next list looks like an entry of it.
        valid[..valid.find("{\"name").expect("an entry")].to_owned() + "\n",
        // Only its end is missing.
        valid.replace("]}", ""),
        "{\"index\":\"half a\nstring\"}\n".into(),
        indented.replace(':', ";"),
        indented[..indented.len() - 2].to_owned() + "]\n}\n",
        indented.replace(',', ""),
        "nonsense without an end \u{7f} {}\n".into(),
    ];
    for (case, malformed) in malformed_texts.iter().enumerate() {
        for size in [1, 5, usize::MAX] {
            for valid in [&valid, &indented] {
                // A list over many lines after a truncated one is only found once the next one begins.
                let next = if **valid == indented { valid } else { "" };
                let text = format!("{valid}{malformed}{valid}{next}");
                let (values, dropped) = feed_all(text.as_bytes().chunks(size));
                let expected = vec![41; if next.is_empty() { 2 } else { 3 }];
                assert_eq!(indices(&values), expected, "case {case} by {size}: {dropped}");
                assert_eq!(dropped, 1, "case {case} by {size}");
            }
        }
    }
}

#[test]
fn values_without_an_end_are_abandoned() {
    let feed_until_error = |chunk: &str| {
        let mut framer = new_framer();
        let chunk = chunk.repeat(4096 / chunk.len());
        (0..2_048).find_map(|_| framer.feed(chunk.as_bytes()).err()).expect("the limit is reached")
    };
    // A line that is too long to buffer is skipped, up to the length of the longest list.
    assert_eq!(feed_until_error(" {"), WatchError::PartTooLong { max_bytes: 2_000 * 512 });
    assert_eq!(feed_until_error("x"), WatchError::PartTooLong { max_bytes: 2_000 * 512 });
    assert_eq!(feed_until_error("\"x "), WatchError::PartTooLong { max_bytes: 2_000 * 512 });
    // Each empty line causes an attempt.
    let mut framer = new_framer();
    framer.feed(b"[").expect("within the limits");
    let error = (0..10_000).find_map(|_| framer.feed(b"{},\n\n").err()).expect("the limit is reached");
    assert_eq!(error, WatchError::NoValueEnd);
    let mut framer = new_framer();
    framer.feed("[\n".repeat(100_000).as_bytes()).expect("within the limits");
    assert_eq!(framer.feed(b"x}\n").expect_err("too many attempts"), WatchError::NoValueEnd);
}

/// Not a test: the cost of framing a list of 200 servers in several layouts, relative to a single line, and
/// of parsing it.
/// `cargo test --release --lib measure_framing_by_layout -- --ignored --nocapture`
#[test]
#[ignore = "a measurement"]
fn measure_framing_by_layout() {
    let entries: Vec<_> =
        (0..200).map(|i| entry(&format!("s-{i:08x}"), "in_service", 1_790_000_000_000)).collect();
    let odd: Vec<_> =
        (0..200).map(|i| entry(&format!("s-{{{i:07x}"), "in_service", 1_790_000_000_000)).collect();
    let (line, odd) = (list(41, true, &entries), list(41, true, &odd));
    let forms = [
        ("one line", line.clone(), usize::MAX),
        ("one line, chunks of a byte", line.clone(), 1),
        ("indented", with_whitespace(&line, "\n"), usize::MAX),
        ("indented, chunks of a byte", with_whitespace(&line, "\n"), 1),
        ("unbalanced braces, a line an entry, chunks of a byte", odd.replace("},{", "},\n{"), 1),
    ];
    let mut times = Vec::new();
    for (name, text, size) in &forms {
        let rounds = 200;
        let started = std::time::Instant::now();
        for _ in 0..rounds {
            assert_eq!(feed_all(text.as_bytes().chunks(*size)).0.len(), 1);
        }
        times.push(started.elapsed() / rounds);
        let started = std::time::Instant::now();
        (0..rounds).for_each(|_| drop(serde_json::from_str::<ListJson>(&line)));
        let parse_time = started.elapsed() / rounds;
        println!(
            "{name}: {} B, {:.1} of one line, {:?}; then to parse it: {parse_time:?}",
            text.len(),
            times[times.len() - 1].as_secs_f64() / times[0].as_secs_f64(),
            times[times.len() - 1]
        );
    }
}
