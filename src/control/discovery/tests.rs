//! An agent by script, over a pipe, on a clock that stands still while there is something to do: times are exact.

mod long_lists;

use super::apply::List;
use super::error::BadWatch;
use super::framing::{Lines, ListValue};
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
/// On the tests' clock, which does not wait.
const PATIENCE: Duration = Duration::from_secs(3_600);
const HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
const OLD: &str = "127.0.0.1:1";
const NEW: &str = "127.0.0.1:2";

/// A call: when and where, and the agent's end of it.
struct Call {
    at: Duration,
    to: SocketAddr,
    pipe: DuplexStream,
}

impl Call {
    /// What is asked for.
    async fn start(&mut self) -> String {
        let mut text = Vec::new();
        while !text.ends_with(b"\r\n\r\n") {
            text.push(self.pipe.read_u8().await.expect("the call goes on"));
        }
        String::from_utf8_lossy(&text).lines().next().unwrap_or_default().to_owned()
    }
    async fn open(&mut self) -> String {
        let start = self.start().await;
        self.pipe.write_all(HEAD.as_bytes()).await.expect("the node listens");
        start
    }
    async fn write(&mut self, text: &str) {
        let chunk = format!("{:x}\r\n{text}\r\n", text.len());
        self.pipe.write_all(chunk.as_bytes()).await.expect("the node listens");
    }
}

/// Answers calls as long as it is not down; then it refuses them.
struct Agent {
    calls: mpsc::UnboundedSender<Call>,
    down: Rc<Cell<bool>>,
    begun: Instant,
    refused: Rc<RefCell<Vec<Duration>>>,
}

impl Dial for Agent {
    type Stream = DuplexStream;
    async fn dial(&self, to: SocketAddr) -> io::Result<DuplexStream> {
        let at = self.begun.elapsed();
        if self.down.get() {
            self.refused.borrow_mut().push(at);
            return Err(io::ErrorKind::ConnectionRefused.into());
        }
        let (ours, pipe) = duplex(64 << 10);
        let _ = self.calls.send(Call { at, to, pipe });
        Ok(ours)
    }
}

/// A node's configuration with these settings.
fn config(mode: &str, grace: Duration) -> Config {
    let settings = SETTINGS.replace("MODE", mode).replace("GRACE", &grace.as_millis().to_string());
    let config = format!(
        r#"{{"listen":"127.0.0.1:1","discovery":"{OLD}","seed":"7","limits":{{"sockets":512}},"settings":{settings}}}"#
    );
    Config::parse(&config).expect("a configuration")
}

struct Rig {
    calls: mpsc::UnboundedReceiver<Call>,
    news: mpsc::Receiver<ListUpdate>,
    orders: mpsc::Sender<DiscoveryCommand>,
    moved: watch::Sender<SocketAddr>,
    down: Rc<Cell<bool>>,
    refused: Rc<RefCell<Vec<Duration>>>,
    begun: Instant,
}

impl Rig {
    fn start(mode: &str, down: bool) -> Self {
        Rig::with_grace(mode, GRACE, down)
    }
    fn with_grace(mode: &str, grace: Duration, down: bool) -> Self {
        Rig::of(config(mode, grace), down)
    }
    fn of(config: Config, down: bool) -> Self {
        let (calls_in, calls) = mpsc::unbounded_channel();
        let (messages, news) = mpsc::channel(1_000);
        let (orders, obeyed) = mpsc::channel(16);
        let (moved, address) = watch::channel(config.discovery);
        let (down, refused, begun) = (Rc::new(Cell::new(down)), Rc::default(), Instant::now());
        let agent = Agent { calls: calls_in, down: down.clone(), begun, refused: Rc::clone(&refused) };
        let current = LiveSettings::new(config.site.clone());
        let discovery = DiscoveryClient::with(agent, &config, current, address, messages);
        spawn_local(discovery.run(obeyed));
        Rig { calls, news, orders, moved, down, refused, begun }
    }
    async fn call(&mut self) -> Call {
        timeout(PATIENCE, self.calls.recv()).await.expect("a call in an hour").expect("a call")
    }
    async fn news(&mut self) -> ListUpdate {
        let news = timeout(PATIENCE, self.news.recv()).await.expect("news in an hour");
        news.expect("news")
    }
    /// Names by state, of the next list.
    async fn told(&mut self) -> (ListKind, Vec<ServerState>) {
        let news = self.news().await;
        (news.kind, news.backends.iter().map(|backend| backend.entry.state).collect())
    }
}

fn played(test: impl AsyncFnOnce()) {
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

fn ms(at: Duration) -> u128 {
    at.as_millis()
}

// ---- Silence ------------------------------------------------------------------------------------

/// Two silent watches leave a third that opens within 6 s, wherever in its answer the agent falls silent.
#[test]
fn silent_watches_are_found_one_after_the_other() {
    // Nothing; a head; half a line that empty lines follow, cut between two words and within a word.
    for how in 0..4 {
        played(async || {
            let mut rig = Rig::start("", false);
            for watch in 0..2 {
                let mut call = rig.call().await;
                match how {
                    0 => drop(call.start().await),
                    1 => drop(call.open().await),
                    _ => {
                        call.open().await;
                        let half = list(8, true, &[entry("s-0", "in_service", 0)]);
                        let cut = half.find(if how == 2 { ",\"zone" } else { "one\":" }).expect("a place");
                        call.write(&half[..cut]).await;
                        // Just in time for a watch that counted any byte as a word.
                        for _ in 0..3 {
                            sleep(Duration::from_millis(800)).await;
                            call.write("\n").await;
                        }
                    }
                }
                // It is held until the node gives it up.
                let mut rest = Vec::new();
                let _ = call.pipe.read_to_end(&mut rest).await;
                let lasted = rig.begun.elapsed() - call.at;
                let expected = if how == 0 { GRACE / 2 } else { SILENCE };
                assert_eq!(ms(lasted), ms(expected), "case {how}, watch {watch}");
            }
            let third = rig.call().await;
            assert!(third.at < Duration::from_millis(5_200), "case {how}: {:?}", third.at);
        });
    }
}

#[test]
fn empty_lines_and_a_value_that_goes_on_are_words() {
    played(async || {
        let mut rig = Rig::start("", false);
        let mut call = rig.call().await;
        call.open().await;
        for _ in 0..10 {
            sleep(Duration::from_millis(2_100)).await;
            call.write("\n").await;
        }
        let text = list(8, true, &[entry("s-0", "in_service", 0)]);
        for piece in text.as_bytes().chunks(8) {
            sleep(Duration::from_millis(1_000)).await;
            call.write(std::str::from_utf8(piece).expect("ASCII")).await;
        }
        assert_eq!(rig.told().await, (ListKind::Full, vec![ServerState::Ready]));
        assert!(rig.calls.try_recv().is_err(), "the first watch holds");
    });
}

/// However long an agent refuses or says nothing: it is heard 3/4 of the grace after its return, and is not called
/// without end.
#[test]
fn an_agent_that_returns_is_heard_within_the_grace() {
    for ms_down in (0..4_000).step_by(170) {
        played(async || {
            let mut rig = Rig::start("", true);
            sleep(Duration::from_millis(20_000 + ms_down)).await;
            rig.down.set(false);
            let back = rig.begun.elapsed();
            let call = rig.call().await;
            assert!(call.at - back <= GRACE / 4, "{:?}", call.at - back);
            let calls = rig.refused.borrow().len() as f64 / back.as_secs_f64();
            assert!(calls <= 4.5, "{calls} calls a second");
        });
        played(async || {
            let mut rig = Rig::start("", false);
            let (mut silent, end) = (Vec::new(), Duration::from_millis(20_000 + ms_down));
            let call = loop {
                let call = rig.call().await;
                if call.at >= end {
                    break call;
                }
                silent.push(call); // and says nothing to it
            };
            assert!(call.at - end <= GRACE * 3 / 4, "{:?}", call.at - end);
            assert!(silent.len() as f64 <= 1.2 * end.as_secs_f64(), "{}", silent.len());
        });
    }
}

/// How a call goes before discovery can be reached.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Bad {
    Refused,
    /// Nothing comes of it.
    Silent,
    /// A head, and then nothing.
    Mute,
    /// Half a value, and then nothing.
    Half,
    /// It ends after its head.
    Ended,
    /// An answer that is none.
    Failed,
}

/// Plays bad calls of these kinds, in turn, until `back`; returns the first call that finds discovery there.
async fn bad_calls(rig: &mut Rig, kinds: &[Bad], back: Duration) -> Call {
    let mut held = Vec::new();
    for kind in kinds.iter().cycle() {
        rig.down.set(*kind == Bad::Refused);
        let until = rig.begun + back;
        let mut call = if *kind == Bad::Refused {
            let before = rig.refused.borrow().len();
            while rig.refused.borrow().len() == before && Instant::now() < until {
                sleep(Duration::from_millis(1)).await;
            }
            rig.down.set(false);
            if Instant::now() < until {
                continue;
            }
            return rig.call().await;
        } else {
            rig.call().await
        };
        if call.at >= back {
            return call;
        }
        match kind {
            Bad::Refused | Bad::Silent => {}
            Bad::Mute => drop(call.open().await),
            Bad::Half => {
                call.open().await;
                call.write(r#"{"index":9,"snapshot":true,"endpo"#).await;
            }
            Bad::Ended => {
                call.open().await;
                continue; // dropped, and so closed
            }
            Bad::Failed => {
                call.start().await;
                let no = b"HTTP/1.1 503 Down\r\nContent-Length: 0\r\n\r\n";
                call.pipe.write_all(no).await.expect("the node listens");
            }
        }
        held.push(call);
    }
    unreachable!("kinds go round")
}

/// Whatever bad calls came before, in whatever order, and wherever among them discovery returns: a call that is answered
/// begins so early that its list is there before what it tells binds, however short the grace.
#[test]
fn after_any_bad_calls_a_list_comes_within_the_clock() {
    use Bad::*;
    let kinds = [Refused, Silent, Mute, Half, Ended, Failed];
    let mut random = Pcg32::seed_from_u64(22);
    for round in 0..120 {
        let some: Vec<_> = match round {
            0..6 => vec![kinds[round]],
            _ => (0..2 + random.next_u32() % 4).map(|_| kinds[random.next_u32() as usize % 6]).collect(),
        };
        let back = Duration::from_millis(u64::from(8_000 + random.next_u32() % 8_000));
        let grace = Duration::from_millis([0, 250, 700, 2_000][random.next_u32() as usize % 4]);
        for mode in ["", r#""RegistryMode":"ask","#] {
            played(async || {
                let mut rig = Rig::with_grace(mode, grace, false);
                rig.orders.send(DiscoveryCommand::Subscribe(true)).await.expect("it obeys");
                let mut call = bad_calls(&mut rig, &some, back).await;
                call.open().await;
                call.write(&list(9, true, &[entry("s-0", "terminating", 0)])).await;
                assert_eq!(rig.told().await, (ListKind::Full, vec![ServerState::Draining]), "{some:?}");
                let late = rig.begun.elapsed() - back;
                assert!(late < Duration::from_secs(6), "{some:?}, {grace:?}, {mode}: {late:?}");
                // Nobody calls without end meanwhile, and nodes that broke together do not call together.
                let calls = rig.refused.borrow().len();
                let most = if mode.is_empty() { 20 } else { 2 };
                assert!(calls as f64 <= 8.0 + f64::from(most) * back.as_secs_f64(), "{some:?}: {calls}");
            });
        }
    }
}

/// Where lists are asked for, the node calls seldom while discovery is down, and by chance.
#[test]
fn who_asks_for_lists_calls_seldom_while_discovery_is_down() {
    played(async || {
        let rig = Rig::start(r#""RegistryMode":"ask","#, true);
        rig.orders.send(DiscoveryCommand::Subscribe(true)).await.expect("it obeys");
        sleep(Duration::from_secs(60)).await;
        let at = rig.refused.borrow().clone();
        let gaps: Vec<_> = at.windows(2).map(|two| ms(two[1] - two[0])).collect();
        assert!((30..=65).contains(&gaps.len()), "{gaps:?}");
        assert!(gaps[8..].iter().all(|gap| (1_000..=2_001).contains(gap)), "{gaps:?}");
        assert!(gaps[8..].iter().any(|gap| *gap < 1_400) && gaps[8..].iter().any(|gap| *gap > 1_600));
    });
}

/// Both come in one turn: the answer is not given up, nor is a watch that has just spoken.
#[test]
fn what_comes_in_the_moment_of_giving_up_counts() {
    // The node's timer was set first; or the agent's, a hair before.
    for hair in [Duration::ZERO, Duration::from_micros(1)] {
        played(async || {
            let mut rig = Rig::start("", false);
            let mut call = rig.call().await;
            sleep(GRACE / 2 - hair).await;
            call.open().await;
            call.write("\n").await;
            sleep(SILENCE - hair).await;
            call.write(&list(9, true, &[entry("s-0", "in_service", 0)])).await;
            assert_eq!(rig.told().await, (ListKind::Full, vec![ServerState::Ready]), "{hair:?}");
            assert!(rig.calls.try_recv().is_err(), "{hair:?}: the first call holds");
        });
    }
}

#[test]
fn a_call_that_was_given_up_is_answered_in_vain() {
    played(async || {
        let mut rig = Rig::start("", false);
        let mut first = rig.call().await;
        first.start().await;
        let mut second = rig.call().await;
        // The first one's answer comes at last, before the second's and with what is older.
        let late = first.pipe.write_all(HEAD.as_bytes()).await;
        assert!(late.is_err(), "it is closed");
        second.open().await;
        second.write(&list(9, true, &[entry("s-0", "terminating", 0)])).await;
        assert_eq!(rig.told().await, (ListKind::Full, vec![ServerState::Draining]));
        assert!(rig.news.try_recv().is_err());
    });
}

/// The value, then the reset: in one turn, or the reset once the value has been taken in.
#[test]
fn a_last_value_counts_whatever_ends_its_watch() {
    for apart in [false, true] {
        played(async || {
            let mut rig = Rig::start("", false);
            let mut call = rig.call().await;
            call.open().await;
            call.write(&list(9, true, &[entry("s-0", "in_service", 0)])).await;
            rig.told().await;
            // What falls into the gap between two watches is told by the next.
            call.write(&list(10, false, &[entry("s-0", "terminating", 0)])).await;
            if apart {
                assert_eq!(rig.told().await.1, vec![ServerState::Draining]);
            }
            drop(call);
            if !apart {
                assert_eq!(rig.told().await.1, vec![ServerState::Draining]);
            }
            let mut next = rig.call().await;
            assert!(next.open().await.contains("index=10 "), "the last value counts");
            next.write(&list(11, false, &[entry("s-0", "terminated", 0)])).await;
            assert_eq!(rig.told().await, (ListKind::Changes, vec![ServerState::Gone]));
        });
    }
}

// ---- Moves --------------------------------------------------------------------------------------

#[test]
fn a_move_is_followed_at_once_wherever_the_node_waits() {
    for mode in ["", r#""RegistryMode":"ask","#] {
        // The call is not answered; the watch is silent; the pause after it; nothing has been asked for again yet.
        for wait_ms in [100, 1_001, 1_020, 3_000] {
            played(async || {
                let mut rig = Rig::start(mode, false);
                rig.orders.send(DiscoveryCommand::Subscribe(true)).await.expect("it obeys");
                let mut held = vec![rig.call().await];
                let moves = rig.begun + Duration::from_millis(wait_ms);
                while let Ok(call) = tokio::time::timeout_at(moves, rig.call()).await {
                    held.push(call);
                }
                rig.moved.send(NEW.parse().expect("an address")).expect("it listens");
                let mut call = rig.call().await;
                assert_eq!((ms(call.at), call.to), (u128::from(wait_ms), NEW.parse().unwrap()), "{mode}");
                call.open().await;
                call.write(&list(9, true, &[entry("s-0", "terminating", 0)])).await;
                while rig.told().await != (ListKind::Full, vec![ServerState::Draining]) {}
                assert_eq!(ms(rig.begun.elapsed()), u128::from(wait_ms));
            });
        }
    }
}

#[test]
fn lists_that_nobody_asked_for_yet_are_not_asked_for_by_a_move() {
    played(async || {
        let mut rig = Rig::start(r#""RegistryMode":"ask","#, false);
        yield_now().await; // it waits for an order
        rig.moved.send(NEW.parse().expect("an address")).expect("it listens");
        sleep(Duration::from_secs(60)).await;
        assert!(rig.calls.try_recv().is_err());
        rig.orders.send(DiscoveryCommand::Subscribe(true)).await.expect("it obeys");
        let mut call = rig.call().await;
        assert_eq!(call.to, NEW.parse().unwrap());
        call.open().await;
        // Asked for again, the watch that is open does.
        for _ in 0..5 {
            rig.orders.send(DiscoveryCommand::Subscribe(true)).await.expect("it obeys");
            sleep(Duration::from_secs(2)).await;
            call.write("\n").await;
        }
        assert!(rig.calls.try_recv().is_err());
        rig.orders.send(DiscoveryCommand::Subscribe(false)).await.expect("it obeys");
        assert_eq!(call.pipe.read(&mut [0]).await.expect("an end"), 0);
    });
}

/// Discovery is back at the instant in which it moves, and the old address answers after the new one.
#[test]
fn a_move_in_the_instant_of_a_return_is_followed_and_the_old_address_says_nothing_more() {
    for mode in ["", r#""RegistryMode":"ask","#] {
        for moved_first in [false, true] {
            played(async || {
                let mut rig = Rig::start(mode, true);
                rig.orders.send(DiscoveryCommand::Subscribe(true)).await.expect("it obeys");
                sleep(Duration::from_millis(7_321)).await;
                let back = rig.begun.elapsed();
                let old = if moved_first {
                    rig.moved.send(NEW.parse().expect("an address")).expect("it listens");
                    rig.down.set(false);
                    None
                } else {
                    rig.down.set(false);
                    let old = rig.call().await; // it is out when the move comes
                    rig.moved.send(NEW.parse().expect("an address")).expect("it listens");
                    Some(old)
                };
                let mut new = rig.call().await;
                assert_eq!(new.to, NEW.parse().unwrap());
                assert!(new.at - back <= Duration::from_secs(2), "{:?}", new.at - back);
                new.open().await;
                new.write(&list(9, true, &[entry("s-0", "terminating", 0)])).await;
                assert_eq!(rig.told().await, (ListKind::Full, vec![ServerState::Draining]));
                if let Some(mut old) = old {
                    let _ = old.pipe.write_all(HEAD.as_bytes()).await;
                    assert!(old.pipe.write_all(b"x").await.is_err(), "it is closed");
                }
                sleep(Duration::from_secs(1)).await;
                assert!(rig.news.try_recv().is_err());
            });
        }
    }
}

/// A backend stops and starts again between two values: the list has both, in either order, and the later life counts.
#[test]
fn a_drain_and_a_new_start_in_one_list_leave_the_new_life() {
    let (stops, starts) = (entry("s-0", "terminating", 5), entry("s-0", "in_service", 9));
    for both in [[stops.clone(), starts.clone()], [starts, stops]] {
        played(async || {
            let mut rig = Rig::start("", false);
            let mut call = rig.call().await;
            call.open().await;
            call.write(&list(8, true, &[entry("s-0", "in_service", 5)])).await;
            rig.told().await;
            call.write(&list(9, false, &both)).await;
            let told = rig.news().await.backends;
            let told: Vec<_> = told.iter().map(|b| (b.entry.state, b.entry.started)).collect();
            assert_eq!(told, [(ServerState::Ready, Some(Duration::from_millis(9)))]);
        });
    }
}

// ---- Versions -----------------------------------------------------------------------------------

#[test]
fn an_older_list_undoes_nothing_and_is_believed_when_it_is_insisted_on() {
    played(async || {
        let mut rig = Rig::start("", false);
        let mut call = rig.call().await;
        call.open().await;
        let held = ["s-0", "s-1", "s-2"].map(|name| entry(name, "in_service", 5));
        call.write(&list(41, true, &held)).await;
        call.write(&list(42, false, &[entry("s-0", "terminating", 5)])).await;
        assert_eq!((rig.told().await.0, rig.told().await.0), (ListKind::Full, ListKind::Changes));
        // An older one says that the first serves, that the second has stopped or started since, and more.
        let older = [("s-0", "in_service", 5), ("s-1", "terminating", 5), ("s-2", "in_service", 9)];
        let more = [("s-3", "in_service", 1), ("s-4", "terminating", 1)];
        let older: Vec<_> =
            older.iter().chain(&more).map(|(name, status, at)| entry(name, status, *at)).collect();
        call.write(&list(40, true, &older)).await;
        assert_eq!(rig.told().await, (ListKind::Changes, vec![ServerState::Draining, ServerState::Ready]));
        // What it says next has nothing certain.
        call.write(&list(41, false, &[entry("s-0", "in_service", 5)])).await;
        let refused = rig.begun.elapsed();
        call.write(&list(42, false, &[entry("s-1", "in_service", 5)])).await;
        assert_eq!(
            rig.told().await,
            (ListKind::Changes, vec![ServerState::Ready]),
            "the same version is news"
        );

        // Now discovery has begun anew, and nothing but empty lines follows.
        call.write(&list(3, true, &older)).await;
        rig.told().await;
        let mut next = loop {
            tokio::select! {
                next = rig.calls.recv() => break next.expect("a call"),
                () = sleep(Duration::from_secs(2)) => {
                    assert!(rig.begun.elapsed() < PATIENCE, "it is never believed");
                    call.write("\n").await;
                }
            }
        };
        let waited = next.at - refused;
        assert!(waited >= versions::INSISTS && waited < versions::INSISTS + FIRST_PAUSE, "{waited:?}");
        assert!(next.open().await.contains("index=0 "), "the whole list is asked for");
        next.write(&list(3, true, &older)).await;
        assert_eq!(rig.told().await.1.len(), 5);
    });
}

/// A doubt ends with the first word that is not older: years later another older list is refused again.
#[test]
fn a_doubt_is_not_kept() {
    played(async || {
        let mut rig = Rig::start("", false);
        let one = [entry("s-0", "in_service", 5)];
        for (index, refused) in [(9, false), (8, true), (0, true), (8, true)] {
            let mut call = rig.call().await;
            assert!(call.open().await.contains(if rig.begun.elapsed().is_zero() {
                "index=0 "
            } else {
                "index=9 "
            }));
            if index > 0 {
                call.write(&list(index, true, &one)).await;
            } else {
                for _ in 0..10 {
                    sleep(Duration::from_secs(2)).await;
                    call.write("\n").await;
                }
            }
            if refused {
                yield_now().await;
                assert!(rig.news.try_recv().is_err(), "{index}");
            } else {
                rig.told().await;
            }
        }
    });
}

// ---- Lines --------------------------------------------------------------------------------------

/// Nothing yet; a list may hold 2,000 servers.
fn new_lines() -> Lines {
    Lines::new(EntryReader::new(LiveSettings::new(config("", GRACE).site)), 2_000)
}

/// How many values came of a piece, and whether it was a word.
fn told_by(lines: &mut Lines, piece: &[u8]) -> (usize, bool) {
    let fed = lines.feed(piece).expect("bounded");
    (fed.values.len(), fed.heard)
}

/// All values that come of these pieces, and how many were dropped.
fn fed<'a>(pieces: impl IntoIterator<Item = &'a [u8]>) -> (Vec<Bytes>, usize) {
    let (mut lines, mut good, mut bad) = (new_lines(), Vec::new(), 0);
    for piece in pieces {
        for value in lines.feed(piece).expect("bounded").values {
            match value {
                Ok(ListValue::Text(value)) => good.push(value),
                Ok(ListValue::Long(list)) => panic!("{:?} is short", list.index),
                Err(_) => bad += 1,
            }
        }
    }
    (good, bad)
}

fn indices(values: &[Bytes]) -> Vec<u64> {
    values
        .iter()
        .map(|text| serde_json::from_slice::<List>(text).expect("a list").index.unwrap_or_default())
        .collect()
}

/// As others write it: over many lines, and white space wherever JSON has room for it.
fn spaced(text: &str, white: &str) -> String {
    let value: Value = serde_json::from_str(text).expect("JSON");
    let pretty = serde_json::to_string_pretty(&value).expect("JSON");
    pretty.replace('\n', white) + "\n"
}

#[test]
fn a_value_is_whole_however_it_is_laid_out_and_cut() {
    let odd = entry("s-{é}{{\\\"\\\\", "in_service", 0);
    let entries = [entry("s-0", "in_service", 0), odd, entry("s-}}}", "terminating", 3)];
    let all: String = [41, 42, 43].iter().map(|index| list(*index, false, &entries)).collect();
    let each = |white: &str| all.lines().map(|line| spaced(line, white)).collect::<String>();
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
            let (values, bad) = fed(text.as_bytes().chunks(size));
            assert_eq!((indices(&values), bad), (vec![41, 42, 43], 0), "form {form} by {size}");
        }
    }
}

/// With the last byte of the value, not with the end of its line.
#[test]
fn a_value_counts_with_its_last_byte() {
    let line = list(41, false, &[entry("s-0", "in_service", 0)]);
    for text in [line.trim_end().to_owned(), spaced(&line, "\n").trim_end().to_owned()] {
        let mut lines = new_lines();
        let (last, before) = text.as_bytes().split_last().expect("bytes");
        assert_eq!(told_by(&mut lines, before), (0, true));
        // White space within it is no word.
        assert_eq!(told_by(&mut lines, b"\n\n"), (0, false));
        assert_eq!(told_by(&mut lines, &[*last]), (1, true));
        assert_eq!(told_by(&mut lines, b"\n"), (0, true));
    }
}

#[test]
fn what_is_broken_is_dropped_alone() {
    let good = list(41, false, &[entry("s-0", "in_service", 0)]);
    let indented = spaced(&good, "\n");
    let broken = [
        "\u{1}\u{2}\n".to_owned(),
        "{{{{\n".into(),
        "}}}}\n".into(),
        good[..good.len() / 2].to_owned() + "\n",
        // The next list would go on with it.
        good[..good.find("{\"name").expect("an entry")].to_owned() + "\n",
        // Nothing more than its end is missing.
        good.replace("]}", ""),
        "{\"index\":\"half a\nstring\"}\n".into(),
        indented.replace(':', ";"),
        indented[..indented.len() - 2].to_owned() + "]\n}\n",
        indented.replace(',', ""),
        "nonsense without an end \u{7f} {}\n".into(),
    ];
    for (case, broken) in broken.iter().enumerate() {
        for size in [1, 5, usize::MAX] {
            for good in [&good, &indented] {
                // A list over many lines after one that was cut short is found with the next.
                let next = if **good == indented { good } else { "" };
                let text = format!("{good}{broken}{good}{next}");
                let (values, bad) = fed(text.as_bytes().chunks(size));
                let expected = vec![41; if next.is_empty() { 2 } else { 3 }];
                assert_eq!(indices(&values), expected, "case {case} by {size}: {bad}");
                assert_eq!(bad, 1, "case {case} by {size}");
            }
        }
    }
}

#[test]
fn what_has_no_end_is_given_up() {
    let endless = |piece: &str| {
        let mut lines = new_lines();
        let piece = piece.repeat(4096 / piece.len());
        (0..2_048).find_map(|_| lines.feed(piece.as_bytes()).err()).expect("an end")
    };
    // What can't be kept is dropped unread, up to the length of the longest list.
    assert_eq!(endless(" {"), BadWatch::Endless { most: 2_000 * 512 });
    assert_eq!(endless("x"), BadWatch::Endless { most: 2_000 * 512 });
    assert_eq!(endless("\"x "), BadWatch::Endless { most: 2_000 * 512 });
    // Each empty line asks for a try.
    let mut lines = new_lines();
    lines.feed(b"[").expect("bounded");
    let tries = (0..10_000).find_map(|_| lines.feed(b"{},\n\n").err()).expect("an end");
    assert_eq!(tries, BadWatch::NoEndFound);
    let mut lines = new_lines();
    lines.feed("[\n".repeat(100_000).as_bytes()).expect("bounded");
    assert_eq!(lines.feed(b"x}\n").expect_err("too many tries"), BadWatch::NoEndFound);
}

/// Not a test: what forms of a list of 200 servers cost against the same one in a line, reading it alone and with it.
/// `cargo test --release --bin sillward what_forms_cost -- --ignored --nocapture`
#[test]
#[ignore = "a measurement"]
fn what_forms_cost() {
    let entries: Vec<_> =
        (0..200).map(|i| entry(&format!("s-{i:08x}"), "in_service", 1_790_000_000_000)).collect();
    let odd: Vec<_> =
        (0..200).map(|i| entry(&format!("s-{{{i:07x}"), "in_service", 1_790_000_000_000)).collect();
    let (line, odd) = (list(41, true, &entries), list(41, true, &odd));
    let forms = [
        ("one line", line.clone(), usize::MAX),
        ("one line, pieces of a byte", line.clone(), 1),
        ("indented", spaced(&line, "\n"), usize::MAX),
        ("indented, pieces of a byte", spaced(&line, "\n"), 1),
        ("odd braces, a line an entry, pieces of a byte", odd.replace("},{", "},\n{"), 1),
    ];
    let mut times = Vec::new();
    for (name, text, size) in &forms {
        let rounds = 200;
        let begun = std::time::Instant::now();
        for _ in 0..rounds {
            assert_eq!(fed(text.as_bytes().chunks(*size)).0.len(), 1);
        }
        times.push(begun.elapsed() / rounds);
        let begun = std::time::Instant::now();
        (0..rounds).for_each(|_| drop(serde_json::from_str::<List>(&line)));
        let read = begun.elapsed() / rounds;
        println!(
            "{name}: {} B, {:.1} of one line, {:?}; then to read it: {read:?}",
            text.len(),
            times[times.len() - 1].as_secs_f64() / times[0].as_secs_f64(),
            times[times.len() - 1]
        );
    }
}
