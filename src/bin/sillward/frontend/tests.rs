//! The front by itself, on a clock that the tests move, before peers on loopback sockets.

use super::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::task::LocalSet;

const CONFIG: &str = r#"{"listen": "127.0.0.1:0", "discovery": "127.0.0.1:1",
    "settings": {"Classes": [{"Name": "submit", "Target": 1, "GiveUp": 1, "Idempotency": "single_shot"}]}}"#;

/// A front, and what reaches the node behind it.
fn front(config: &str) -> (Rc<Frontend>, mpsc::Receiver<Message>) {
    let config = Config::parse(config).expect("good");
    let (messages, inbox) = mpsc::channel(4096);
    let node = Node { ready: Rc::default(), lifecycle: Rc::new(Lifecycle::new()), pair: Rc::default() };
    let current = LiveSettings::new(config.site.clone());
    (Frontend::new(Clock::start(), &config, current, messages, node), inbox)
}

/// Answers each request with its id after so long. Returns the ids, as they come.
fn node_behind(mut inbox: mpsc::Receiver<Message>, takes: Duration) -> Rc<RefCell<Vec<String>>> {
    let ids = Rc::<RefCell<Vec<String>>>::default();
    let taken = ids.clone();
    spawn_local(async move {
        while let Some(message) = inbox.recv().await {
            let Message::Request(request) = message else { continue };
            let AcceptedRequest { forward, reply, .. } = *request;
            let id = forward.call_id.to_str().expect("an id").to_owned();
            taken.borrow_mut().push(id.clone());
            spawn_local(async move {
                if id != "first" {
                    sleep(takes).await;
                }
                let _ = reply.send(Answer::Served(id.into())); // the client may have left
            });
        }
    });
    ids
}

/// What a peer that sends this and no more is answered, and how long after it has connected that ends.
fn told(sends: &str) -> (String, Duration) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        let (front, _inbox) = front(CONFIG);
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let mut peer = TcpStream::connect(listener.local_addr().expect("its address")).await.expect("a peer");
        let (stream, _) = listener.accept().await.expect("the peer");
        peer.write_all(sends.as_bytes()).await.expect("room for it");
        // All has come before the clock stands still, and then only moves when nothing else does.
        let mut come = vec![0; sends.len()];
        while !sends.is_empty() && stream.peek(&mut come).await.expect("what it sends") < sends.len() {}
        tokio::time::pause();
        let connected = Instant::now();
        front.serve(stream);
        let mut answer = String::new();
        peer.read_to_string(&mut answer).await.expect("text, if anything");
        (answer.lines().next().unwrap_or_default().to_owned(), connected.elapsed())
    })
}

#[tokio::test(start_paused = true)]
async fn a_later_head_has_its_time_from_its_first_byte_on() {
    let client = Client::new(Liveness::default());
    let pass = async |ms| tokio::time::advance(Duration::from_millis(ms)).await;
    let waits = |client: &Client| matches!(client.lapse(), Lapse::Later(then) if then > Instant::now());
    // The first one has it from the connection on.
    pass(2000).await;
    client.read();
    assert!(waits(&client));
    pass(500).await;
    assert!(matches!(client.lapse(), Lapse::Cut));
    client.asked.set(true);
    client.begun.set(None);
    client.idle.set(None);
    assert!(waits(&client), "a request is held");
    client.idle.set(Some(Instant::now()));
    pass(2000).await;
    client.read();
    pass(2000).await;
    assert!(waits(&client), "4 s after the answer, 2 s after its first byte");
    client.read();
    pass(500).await;
    assert!(matches!(client.lapse(), Lapse::Leave));
    client.begun.set(None);
    client.idle.set(Some(Instant::now()));
    pass(2499).await;
    assert!(waits(&client));
    pass(1).await;
    assert!(matches!(client.lapse(), Lapse::Leave), "idle for so long it may go");
}

#[test]
fn when_places_run_out_the_longest_silent_goes_even_before_its_first_request() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        let (front, _inbox) = front(CONFIG);
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let mut peers = Vec::new();
        for sends in ["POST /sub", "", "POST /submit/1 HT"] {
            let mut peer =
                TcpStream::connect(listener.local_addr().expect("its address")).await.expect("a peer");
            front.serve(listener.accept().await.expect("the peer").0);
            peer.write_all(sends.as_bytes()).await.expect("room for it");
            let client = front.clients.borrow().values().next_back().cloned().expect("just come");
            while !sends.is_empty() && client.begun.get().is_none() {
                tokio::task::yield_now().await;
            }
            peers.push((peer, client));
        }
        // The first one goes on with its request: no longer is it the longest silent.
        let since = peers[0].1.moved.get();
        peers[0].0.write_all(b"mit").await.expect("room for it");
        while peers[0].1.moved.get() == since {
            tokio::task::yield_now().await;
        }
        for gone in [1, 2, 0] {
            front.shed_longest_silent();
            let (peer, client) = &mut peers[gone];
            assert!(client.shed.get(), "{gone}");
            // At once, and not when its time for a request is over.
            let there = || front.clients.borrow().values().any(|other| Rc::ptr_eq(other, client));
            for _ in 0..1000 {
                if there() {
                    tokio::task::yield_now().await;
                }
            }
            assert!(!there(), "{gone} is still there");
            assert_eq!(peer.read(&mut [0; 9]).await.unwrap_or_default(), 0, "{gone} has ended");
        }
    });
}

#[test]
fn a_peer_that_sends_no_whole_request_is_sent_off_in_3_s() {
    let head = "POST /submit/1 HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n";
    let cases = [("", ""), (head, ""), (&format!("{head}\r\nhalf"), "HTTP/1.1 408 Request Timeout")];
    for (sends, expected) in cases {
        let (answer, after) = told(sends);
        assert_eq!(answer, expected, "{sends}");
        assert!(after < Duration::from_secs(3), "{sends}: {after:?}");
    }
}

fn request(id: &str) -> String {
    format!(
        "POST /submit/1 HTTP/1.1\r\nHost: a\r\nX-Call-Id: {id}\r\nX-Budget-Ms: 3000\r\nContent-Length: 5\r\n\r\nsheet"
    )
}

/// The whole answers in what a client has read: status, whether the connection closes, body. `None` if one is cut.
fn answers(mut read: &str) -> Option<Vec<(u16, bool, String)>> {
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

/// All that comes until the connection ends, however it does.
async fn rest(peer: &mut TcpStream) -> String {
    let mut all = Vec::new();
    let _ = peer.read_to_end(&mut all).await; // a reset ends it too
    String::from_utf8(all).expect("text")
}

async fn one_answer(peer: &mut TcpStream) {
    let mut read = String::new();
    while answers(&read).is_none_or(|all| all.is_empty()) {
        read.push(char::from(peer.read_u8().await.expect("an answer")));
    }
}

/// A request that the kernel has, and the runtime has not asked for yet, when its connection is told to close: whether it
/// is the first one on it or not, at the end of a grace or to make room.
#[test]
fn a_request_that_has_come_unnoticed_is_answered() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    for (kept, shed) in [(true, false), (true, true), (false, false), (false, true)] {
        LocalSet::new().block_on(&runtime, async {
            let (front, inbox) = front(CONFIG);
            let _ids = node_behind(inbox, Duration::ZERO);
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
            let address = listener.local_addr().expect("its address");
            let mut peer = TcpStream::connect(address).await.expect("a peer");
            front.serve(listener.accept().await.expect("the peer").0);
            if kept {
                peer.write_all(request("1").as_bytes()).await.expect("room for it");
                one_answer(&mut peer).await;
            }
            let client = front.clients.borrow().values().next().cloned().expect("just come");
            while kept && client.idle.get().is_none() {
                tokio::task::yield_now().await;
            }
            tokio::task::yield_now().await;
            peer.writable().await.expect("room for it");
            // From here to the close nothing waits.
            assert_eq!(peer.try_write(request("2").as_bytes()).ok(), Some(request("2").len()));
            match shed {
                true => front.shed_longest_silent(),
                false => client.close.notify_one(),
            }
            let read = timeout(Duration::from_secs(30), rest(&mut peer)).await.expect("an end");
            assert_eq!(answers(&read), Some(vec![(200, true, "2".into())]), "kept {kept}, shed {shed}");
        });
    }
}

/// What a client does after SIGTERM.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Does {
    /// Sends a request on a connection that it has used.
    Again,
    /// Opens one.
    Anew,
    /// Has sent half a head before, or half a body, on a new connection, or half a head on a used one.
    HalfHead,
    HalfBody,
    HalfAgain,
    /// Sends two at once.
    Two,
}

/// Every way of sending, at every time after SIGTERM: what is taken is answered whole and in time, what is not taken ends
/// without a byte of an answer, what comes while new connections come is taken, and the process ends before SIGKILL.
#[test]
fn after_sigterm_nothing_is_lost_whenever_it_comes() {
    use Does::*;
    const KILL: Duration = Duration::from_millis(3700);
    let config = CONFIG.replace(r#""Target": 1, "GiveUp": 1"#, r#""Target": 3000, "GiveUp": 3000"#);
    for takes in [5, 2900] {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
        LocalSet::new().block_on(&runtime, async {
            let (front, inbox) = front(&config);
            let ids = node_behind(inbox, Duration::from_millis(takes));
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
            let address = listener.local_addr().expect("its address");
            tokio::time::pause();
            // The clock moves when nothing else does: not before all is prepared.
            let busy = spawn_local(async {
                loop {
                    tokio::task::yield_now().await;
                }
            });
            let mut open = Vec::new();
            for at in (0..=850).step_by(25) {
                for does in [Again, HalfHead, HalfBody, HalfAgain, Two, Anew] {
                    open.push((at, does, TcpStream::connect(address).await.expect("a peer")));
                    front.serve(listener.accept().await.expect("the peer").0);
                }
            }
            for (at, does, peer) in &mut open {
                let id = format!("{does:?}-{at}");
                let half = request(&id);
                if matches!(does, Again | HalfAgain | Two) {
                    peer.write_all(request("first").as_bytes()).await.expect("room for it");
                    one_answer(peer).await;
                }
                match does {
                    HalfHead | HalfAgain => peer.write_all(&half.as_bytes()[..30]).await.expect("room"),
                    HalfBody => peer.write_all(&half.as_bytes()[..half.len() - 2]).await.expect("room"),
                    _ => {}
                }
            }
            busy.abort();
            let told = Instant::now();
            assert!(front.node.lifecycle.enter(ProcessState::Terminating));
            let ran = spawn_local(front.clone().run(listener));
            let all: Vec<_> = open
                .into_iter()
                .map(|(at, does, mut peer)| {
                    spawn_local(async move {
                        sleep_until(told + Duration::from_millis(at)).await;
                        let id = format!("{does:?}-{at}");
                        let whole = request(&id);
                        let sends = match does {
                            Again | Anew => whole,
                            HalfHead | HalfAgain => whole[30..].to_owned(),
                            HalfBody => whole[whole.len() - 2..].to_owned(),
                            Two => format!("{whole}{}", request(&format!("{id}-second"))),
                        };
                        if does == Anew {
                            drop(peer);
                            let Ok(new) = TcpStream::connect(address).await else {
                                return (at, does, id, String::new(), Instant::now());
                            };
                            peer = new;
                        }
                        let _ = peer.write_all(sends.as_bytes()).await; // it may be closed
                        let read = rest(&mut peer).await;
                        (at, does, id, read, Instant::now())
                    })
                })
                .collect();
            let mut ended = Vec::new();
            for client in all {
                ended.push(client.await.expect("a client"));
            }
            ran.await.expect("the front");
            assert!(told.elapsed() <= KILL, "it ends {:?} after SIGTERM", told.elapsed());
            for (at, does, id, read, when) in ended {
                let what = format!("{takes} ms, {id}: {read:?}, {:?} after SIGTERM", when - told);
                let all = answers(&read).expect("no half answer");
                let taken = ids.borrow().contains(&id);
                let expected = if taken { vec![(200, true, id.clone())] } else { Vec::new() };
                let refused = !taken && matches!(all[..], [(503 | 408, true, _)]) && does == HalfBody;
                assert!(all == expected || refused, "{what}");
                assert!(!ids.borrow().contains(&format!("{id}-second")), "{what}");
                assert!(when <= told + KILL, "{what}");
                assert!(taken || at > 425 || does == HalfAgain, "{what}");
            }
        });
    }
}
