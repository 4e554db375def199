//! The frontend alone, on a clock that the tests control, with clients on loopback sockets.

use super::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::task::LocalSet;

pub const CONFIG: &str = r#"{"listen": "127.0.0.1:0", "discovery": "127.0.0.1:1",
    "settings": {"Classes": [{"Name": "submit", "Target": 1, "GiveUp": 1, "Idempotency": "single_shot"}]}}"#;

/// A frontend, and the messages that it sends to the node.
pub fn frontend(config: &str) -> (Rc<Frontend>, mpsc::Receiver<Message>) {
    let config = Config::parse(config).expect("a valid configuration");
    let (messages, inbox) = mpsc::channel(4096);
    let node =
        NodeState { ready: Rc::default(), lifecycle: Rc::new(Lifecycle::new()), hot_restart: Rc::default() };
    let live_settings = LiveSettings::new(config.site.clone());
    let memory = MemoryBudget::new(config.buffer_bytes);
    (Frontend::new(Clock::start(), &config, live_settings, messages, memory, node), inbox)
}

/// Answers each request with its id after `delay`, the request `first` at once. Returns the ids as they
/// arrive.
fn answering_node(mut inbox: mpsc::Receiver<Message>, delay: Duration) -> Rc<RefCell<Vec<String>>> {
    let ids = Rc::<RefCell<Vec<String>>>::default();
    let seen_ids = ids.clone();
    spawn_local(async move {
        while let Some(message) = inbox.recv().await {
            let Message::Request(request) = message else { continue };
            let AcceptedRequest { forward, reply, .. } = *request;
            let id = forward.call_id.to_str().expect("an id").to_owned();
            seen_ids.borrow_mut().push(id.clone());
            spawn_local(async move {
                if id != "first" {
                    sleep(delay).await;
                }
                let _ = reply.send(Answer::Served(id.into())); // fails if the client has disconnected
            });
        }
    });
    ids
}

/// The status line that a peer gets which sends this and no more, and how long its connection stays open.
fn outcome_of(sends: &str) -> (String, Duration) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        let (frontend, _inbox) = frontend(CONFIG);
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let mut peer = TcpStream::connect(listener.local_addr().expect("its address")).await.expect("a peer");
        let (stream, _) = listener.accept().await.expect("the peer");
        peer.write_all(sends.as_bytes()).await.expect("written");
        // Wait until all has arrived; from then on the clock is paused, and advances only when every task is
        // idle.
        let mut received = vec![0; sends.len()];
        while !sends.is_empty() && stream.peek(&mut received).await.expect("what it sends") < sends.len() {}
        tokio::time::pause();
        let connected = Instant::now();
        frontend.serve(stream);
        let mut answer = String::new();
        peer.read_to_string(&mut answer).await.expect("text, if anything");
        (answer.lines().next().unwrap_or_default().to_owned(), connected.elapsed())
    })
}

#[tokio::test(start_paused = true)]
async fn a_later_head_is_timed_from_its_first_byte() {
    let client = Client::new(Liveness::default());
    let advance = async |ms| tokio::time::advance(Duration::from_millis(ms)).await;
    let waits = |c: &Client| matches!(c.check_timeout(), TimeoutAction::Recheck(at) if at > Instant::now());
    // The first head is timed from the connect.
    advance(2000).await;
    client.record_read(1);
    assert!(waits(&client));
    advance(500).await;
    assert!(matches!(client.check_timeout(), TimeoutAction::CloseNow));
    client.had_request.set(true);
    client.next_begun.set(None);
    client.idle_since.set(None);
    assert!(waits(&client), "a request is in progress");
    client.idle_since.set(Some(Instant::now()));
    advance(2000).await;
    client.record_read(1);
    advance(2000).await;
    assert!(waits(&client), "4 s after the response, 2 s after the head's first byte");
    client.record_read(1);
    advance(500).await;
    assert!(matches!(client.check_timeout(), TimeoutAction::CloseGracefully));
    client.next_begun.set(None);
    client.idle_since.set(Some(Instant::now()));
    advance(2499).await;
    assert!(waits(&client));
    advance(1).await;
    assert!(
        matches!(client.check_timeout(), TimeoutAction::CloseGracefully),
        "an idle connection may be closed after this time"
    );
}

#[test]
fn without_free_slots_the_longest_idle_connection_is_closed_even_before_its_first_request() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        let (frontend, _inbox) = frontend(CONFIG);
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let mut peers = Vec::new();
        for sends in ["POST /sub", "", "POST /submit/1 HT"] {
            let mut peer =
                TcpStream::connect(listener.local_addr().expect("its address")).await.expect("a peer");
            frontend.serve(listener.accept().await.expect("the peer").0);
            peer.write_all(sends.as_bytes()).await.expect("written");
            let client = frontend.clients.borrow().values().next_back().cloned().expect("the new connection");
            while !sends.is_empty() && client.next_begun.get().is_none() {
                tokio::task::yield_now().await;
            }
            peers.push((peer, client));
        }
        // The first one continues its request: it is no longer the longest idle.
        let since = peers[0].1.last_activity.get();
        peers[0].0.write_all(b"mit").await.expect("written");
        while peers[0].1.last_activity.get() == since {
            tokio::task::yield_now().await;
        }
        for index in [1, 2, 0] {
            frontend.shed_longest_idle();
            let (peer, client) = &mut peers[index];
            assert!(client.shed.get(), "{index}");
            // It closes at once, not when its read timeout is over.
            let is_open = || frontend.clients.borrow().values().any(|other| Rc::ptr_eq(other, client));
            for _ in 0..1000 {
                if is_open() {
                    tokio::task::yield_now().await;
                }
            }
            assert!(!is_open(), "connection {index} is still open");
            assert_eq!(peer.read(&mut [0; 9]).await.unwrap_or_default(), 0, "connection {index} is closed");
        }
    });
}

#[test]
fn a_peer_that_sends_no_complete_request_is_closed_within_3_s() {
    let head = "POST /submit/1 HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n";
    let cases = [("", ""), (head, ""), (&format!("{head}\r\nhalf"), "HTTP/1.1 408 Request Timeout")];
    for (sends, expected) in cases {
        let (answer, after) = outcome_of(sends);
        assert_eq!(answer, expected, "{sends}");
        assert!(after < Duration::from_secs(3), "{sends}: {after:?}");
    }
}

fn request(id: &str) -> String {
    format!(
        "POST /submit/1 HTTP/1.1\r\nHost: a\r\nX-Call-Id: {id}\r\nX-Budget-Ms: 3000\r\nContent-Length: 5\r\n\r\nsheet"
    )
}

/// The responses in what a client has read: status, whether the connection closes, body. `None` if one is
/// incomplete.
fn parse_responses(mut read: &str) -> Option<Vec<(u16, bool, String)>> {
    let mut all = Vec::new();
    while !read.is_empty() {
        let (head, rest) = read.split_once("\r\n\r\n")?;
        let head = head.to_lowercase();
        let length = head.lines().find_map(|line| line.strip_prefix("content-length: "))?.parse().ok()?;
        let status = head.get(9..12)?.parse().ok()?;
        all.push((status, head.contains("connection: close"), rest.get(..length)?.to_owned()));
        read = &rest[length..];
    }
    Some(all)
}

/// All that arrives until the connection is closed or reset.
async fn read_to_end(peer: &mut TcpStream) -> String {
    let mut all = Vec::new();
    let _ = peer.read_to_end(&mut all).await; // a reset counts as an end
    String::from_utf8(all).expect("text")
}

async fn read_response(peer: &mut TcpStream) {
    let mut read = String::new();
    while parse_responses(&read).is_none_or(|all| all.is_empty()) {
        read.push(char::from(peer.read_u8().await.expect("an answer")));
    }
}

/// A request has arrived in the kernel, but the runtime has not polled it yet when the connection is told to
/// close, at the end of a grace period or to free a slot. It must be answered, whether it is the connection's
/// first or not.
#[test]
fn a_request_that_is_unread_when_its_connection_is_told_to_close_is_answered() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    for (reused, shed) in [(true, false), (true, true), (false, false), (false, true)] {
        LocalSet::new().block_on(&runtime, async {
            let (frontend, inbox) = frontend(CONFIG);
            let _ids = answering_node(inbox, Duration::ZERO);
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
            let address = listener.local_addr().expect("its address");
            let mut peer = TcpStream::connect(address).await.expect("a peer");
            frontend.serve(listener.accept().await.expect("the peer").0);
            if reused {
                peer.write_all(request("1").as_bytes()).await.expect("written");
                read_response(&mut peer).await;
            }
            let client = frontend.clients.borrow().values().next().cloned().expect("the new connection");
            while reused && client.idle_since.get().is_none() {
                tokio::task::yield_now().await;
            }
            tokio::task::yield_now().await;
            peer.writable().await.expect("written");
            // Nothing is awaited from here to the close.
            assert_eq!(peer.try_write(request("2").as_bytes()).ok(), Some(request("2").len()));
            match shed {
                true => frontend.shed_longest_idle(),
                false => client.close.notify_one(),
            }
            let read = timeout(Duration::from_secs(30), read_to_end(&mut peer)).await.expect("an end");
            assert_eq!(
                parse_responses(&read),
                Some(vec![(200, true, "2".into())]),
                "reused {reused}, shed {shed}"
            );
        });
    }
}

/// What a client does after SIGTERM.
#[derive(Clone, Copy, Debug, PartialEq)]
enum ClientAction {
    /// Sends a request on a connection that it has used before.
    RequestOnReused,
    /// Opens a connection and sends a request on it.
    RequestOnNew,
    /// Has sent half a head or half a body on a new connection, or half a head on a used one, and sends the
    /// rest.
    EndHead,
    EndBody,
    EndLaterHead,
    /// Sends two requests at once on a used connection.
    TwoRequests,
}

/// Each way of sending a request, every 25 ms after SIGTERM. Accepted requests are answered completely and in
/// time, others get no byte of an answer or a 408 or 503 that refuses a half-sent body; what arrives while
/// new connections still arrive is accepted; and the process exits before SIGKILL.
#[test]
fn requests_accepted_after_sigterm_are_answered_whenever_they_arrive() {
    use ClientAction::*;
    const KILL_AFTER: Duration = Duration::from_millis(3700);
    let config = CONFIG.replace(r#""Target": 1, "GiveUp": 1"#, r#""Target": 3000, "GiveUp": 3000"#);
    for delay_ms in [5, 2900] {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
        LocalSet::new().block_on(&runtime, async {
            let (frontend, inbox) = frontend(&config);
            let ids = answering_node(inbox, Duration::from_millis(delay_ms));
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
            let address = listener.local_addr().expect("its address");
            tokio::time::pause();
            // The paused clock advances when every task is idle: this one keeps it still until all is
            // prepared.
            let keep_busy = spawn_local(async {
                loop {
                    tokio::task::yield_now().await;
                }
            });
            let mut connections = Vec::new();
            for at in (0..=850).step_by(25) {
                for action in [RequestOnReused, EndHead, EndBody, EndLaterHead, TwoRequests, RequestOnNew] {
                    connections.push((at, action, TcpStream::connect(address).await.expect("a peer")));
                    frontend.serve(listener.accept().await.expect("the peer").0);
                }
            }
            for (at, action, peer) in &mut connections {
                let id = format!("{action:?}-{at}");
                let half = request(&id);
                if matches!(action, RequestOnReused | EndLaterHead | TwoRequests) {
                    peer.write_all(request("first").as_bytes()).await.expect("written");
                    read_response(peer).await;
                }
                match action {
                    EndHead | EndLaterHead => peer.write_all(&half.as_bytes()[..30]).await.expect("written"),
                    EndBody => peer.write_all(&half.as_bytes()[..half.len() - 2]).await.expect("written"),
                    _ => {}
                }
            }
            keep_busy.abort();
            let terminated_at = Instant::now();
            assert!(frontend.node.lifecycle.enter(ProcessState::Terminating));
            let run_task = spawn_local(frontend.clone().run(listener));
            let all: Vec<_> = connections
                .into_iter()
                .map(|(at, action, mut peer)| {
                    spawn_local(async move {
                        sleep_until(terminated_at + Duration::from_millis(at)).await;
                        let id = format!("{action:?}-{at}");
                        let whole = request(&id);
                        let sends = match action {
                            RequestOnReused | RequestOnNew => whole,
                            EndHead | EndLaterHead => whole[30..].to_owned(),
                            EndBody => whole[whole.len() - 2..].to_owned(),
                            TwoRequests => format!("{whole}{}", request(&format!("{id}-second"))),
                        };
                        if action == RequestOnNew {
                            drop(peer);
                            let Ok(new) = TcpStream::connect(address).await else {
                                return (at, action, id, String::new(), Instant::now());
                            };
                            peer = new;
                        }
                        let _ = peer.write_all(sends.as_bytes()).await; // fails if the connection is closed
                        let read = read_to_end(&mut peer).await;
                        (at, action, id, read, Instant::now())
                    })
                })
                .collect();
            let mut outcomes = Vec::new();
            for client in all {
                outcomes.push(client.await.expect("a client"));
            }
            run_task.await.expect("the frontend");
            assert!(
                terminated_at.elapsed() <= KILL_AFTER,
                "it ends {:?} after SIGTERM",
                terminated_at.elapsed()
            );
            for (at, action, id, read, ended_at) in outcomes {
                let context =
                    format!("{delay_ms} ms, {id}: {read:?}, {:?} after SIGTERM", ended_at - terminated_at);
                let all = parse_responses(&read).expect("only complete responses");
                let accepted = ids.borrow().contains(&id);
                let expected = if accepted { vec![(200, true, id.clone())] } else { Vec::new() };
                let refused = !accepted && matches!(all[..], [(503 | 408, true, _)]) && action == EndBody;
                assert!(all == expected || refused, "{context}");
                assert!(!ids.borrow().contains(&format!("{id}-second")), "{context}");
                assert!(ended_at <= terminated_at + KILL_AFTER, "{context}");
                assert!(accepted || at > 425 || action == EndLaterHead, "{context}");
            }
        });
    }
}

/// Guards against a connection that takes all of the node's time with requests which need no backend.
#[test]
fn a_connection_answers_few_unsound_requests_before_others_have_their_turn() {
    const REQUESTS: usize = 1000;
    const MAX_PER_TURN: usize = 4;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        let (frontend, _inbox) = frontend(CONFIG);
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let mut peer = TcpStream::connect(listener.local_addr().expect("its address")).await.expect("a peer");
        let requests = "GET /unknown HTTP/1.1\r\nHost: a\r\n\r\n".repeat(REQUESTS);
        let last = "GET /unknown HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
        peer.write_all(format!("{requests}{last}").as_bytes()).await.expect("room in the kernel");
        let turns = Rc::new(Cell::new(0));
        let counter = turns.clone();
        spawn_local(async move {
            loop {
                yield_now().await;
                counter.set(counter.get() + 1);
            }
        });
        frontend.serve(listener.accept().await.expect("the peer").0);
        let mut answers = String::new();
        peer.read_to_string(&mut answers).await.expect("text");
        assert_eq!(answers.matches("HTTP/1.1 404").count(), REQUESTS + 1);
        assert!(turns.get() >= REQUESTS / MAX_PER_TURN, "{REQUESTS} requests in {} turns", turns.get());
    });
}
