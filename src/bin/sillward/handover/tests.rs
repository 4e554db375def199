//! One process and the next at the place where they meet, both in this one.

use super::*;
use tokio::task::LocalSet;

/// A place of this test's own to meet at, short enough for a Unix socket's name.
struct Place(PathBuf);

impl Place {
    fn new(name: &str) -> Self {
        let directory = std::env::temp_dir().join(format!("sw-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&directory).expect("a directory");
        Place(directory)
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn at(name: &str, test: impl AsyncFnOnce(PathBuf)) {
    let place = Place::new(name);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, test(place.0.join(NAME)));
}

fn alive() -> Rc<Lifecycle> {
    Rc::new(Lifecycle::new())
}

async fn until(holds: impl Fn() -> bool) {
    let looks = async {
        while !holds() {
            sleep(Duration::from_millis(2)).await;
        }
    };
    timeout(Duration::from_secs(30), looks).await.expect("it holds in the end");
}

#[test]
fn a_socket_is_passed_on_with_its_queue_and_both_share_until_one_goes() {
    at("pass", async |place| {
        let first = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = first.local_addr().expect("its address");
        let socket = first.as_fd().try_clone_to_owned().expect("a handle");
        let (old, new) = (Rc::<HotRestart>::default(), Rc::<HotRestart>::default());
        let offers = spawn_local(offer(place.clone(), socket, None, old.clone(), alive()));
        until(|| place.exists()).await;
        // It waits in the queue, and the first listener is closed before anybody accepts it.
        let _waits = tokio::net::TcpStream::connect(address).await.expect("room in the queue");
        let elsewhere = "127.0.0.1:1".parse().expect("an address");
        assert!(take_over(&place, elsewhere, &new, &alive()).await.is_none(), "not the address asked for");
        let second = take_over(&place, address, &new, &alive()).await.expect("the socket").listener;
        drop(first);
        timeout(PATIENCE, second.accept()).await.expect("what waited").expect("a connection");
        until(|| old.has_successor()).await;
        assert!(new.has_predecessor() && !new.has_successor() && !old.has_predecessor());
        assert_eq!((old.share_of_limit(100), new.share_of_limit(100), new.share_of_limit(9)), (38, 38, 1));
        offers.abort();
        until(|| !new.has_predecessor()).await;
        assert_eq!(new.share_of_limit(9), 9);
    });
}

#[test]
fn a_leftover_and_a_process_at_a_standstill_hold_up_nobody() {
    at("left", async |place| {
        let pair = Rc::<HotRestart>::default();
        let address = "127.0.0.1:1".parse().expect("an address");
        assert!(take_over(&place, address, &pair, &alive()).await.is_none(), "nobody was ever there");
        drop(UnixListener::bind(&place).expect("a name"));
        assert!(take_over(&place, address, &pair, &alive()).await.is_none(), "a leftover");
        std::fs::remove_file(&place).expect("a leftover");
        let _silent = UnixListener::bind(&place).expect("a name");
        assert!(take_over(&place, address, &pair, &alive()).await.is_none(), "it accepts nobody");
        assert!(!pair.has_predecessor());
        meet(&place).expect("the name, all the same");
    });
}

/// Reads to the end of the first line of an answer, or of the connection.
async fn first_line(stream: &mut tokio::net::TcpStream) -> String {
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer).await; // a reset is an end
    String::from_utf8_lossy(&answer).lines().next().unwrap_or_default().to_owned()
}

#[test]
fn each_process_hears_how_the_other_one_stands_and_a_drain_goes_on_in_the_new_one() {
    at("stand", async |place| {
        let first = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = first.local_addr().expect("its address");
        let socket = first.as_fd().try_clone_to_owned().expect("a handle");
        let (old, new) = (Rc::<HotRestart>::default(), Rc::<HotRestart>::default());
        let (before, after) = (alive(), alive());
        old.accept();
        before.enter(ProcessState::Standby);
        let offers = spawn_local(offer(place.clone(), socket, None, old.clone(), before.clone()));
        until(|| place.exists()).await;
        let taken = take_over(&place, address, &new, &after).await.expect("the sockets");
        assert!(taken.meeting.is_some());
        assert_eq!(after.now().state, ProcessState::Standby, "with the socket, not after it");
        assert!(new.other_serves());
        until(|| old.has_successor()).await;
        assert!(!old.other_serves(), "it does not accept yet");
        new.accept();
        until(|| old.other_serves()).await;
        before.enter(ProcessState::Active);
        until(|| after.now().state == ProcessState::Active).await;
        // The new one's own drain is its own, and is not ended by the other's end.
        after.enter(ProcessState::Standby);
        before.enter(ProcessState::Terminating);
        until(|| !new.other_serves()).await;
        assert_eq!((after.now().state, new.has_predecessor()), (ProcessState::Standby, true));
        after.enter(ProcessState::Terminating);
        until(|| !old.other_serves()).await;
        offers.abort();
        until(|| !new.has_predecessor()).await;
    });
}

/// A process is told to stop, and the other one ends before that, with it, or after it; the last of them takes what is
/// in the queue.
#[test]
fn what_is_in_the_queue_is_taken_by_one_of_two_processes_whichever_ends_first() {
    const CONFIG: &str = r#"{"listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "settings":
        {"Classes": [{"Name": "submit", "Target": 1, "GiveUp": 1, "Idempotency": "single_shot"}]}}"#;
    let serves = Some(Told { state: ProcessState::Active, accepts: true });
    let ends = Some(Told { state: ProcessState::Terminating, accepts: true });
    for (is_successor, then) in [(true, None), (true, ends), (false, None), (false, ends)] {
        for other_first in [true, false] {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
            LocalSet::new().block_on(&runtime.expect("a runtime"), async {
                let config = hillpick::control::config::Config::parse(CONFIG).expect("good");
                let current = hillpick::control::config::LiveSettings::new(config.site.clone());
                let (messages, _inbox) = tokio::sync::mpsc::channel(16);
                let (pair, lifecycle) = (Rc::<HotRestart>::default(), alive());
                let node = crate::frontend::Node {
                    ready: Rc::new(std::cell::Cell::new(true)),
                    lifecycle: lifecycle.clone(),
                    pair: pair.clone(),
                };
                let clock = hillpick::control::clock::Clock::start();
                let front = crate::frontend::Frontend::new(clock, &config, current, messages, node);
                let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
                let address = listener.local_addr().expect("its address");
                let mut client = tokio::net::TcpStream::connect(address).await.expect("room in the queue");
                client.write_all(b"GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n").await.expect("room");
                tokio::time::pause();
                let set = |told| {
                    pair.set(|others| match is_successor {
                        true => others.successor = told,
                        false => others.predecessor = told,
                    });
                };
                set(serves);
                if other_first {
                    set(then);
                }
                lifecycle.enter(ProcessState::Terminating);
                let run = spawn_local(front.run(listener));
                if !other_first {
                    for _ in 0..20 {
                        tokio::task::yield_now().await; // it has let go of the queue by then
                    }
                    set(then);
                }
                let line = first_line(&mut client).await;
                assert!(line.starts_with("HTTP/1.1 503"), "{is_successor} {then:?} {other_first}: {line:?}");
                run.await.expect("its end");
            });
        }
    }
}

#[test]
fn a_process_that_ends_leaves_the_queue_to_one_that_serves() {
    let told = |byte| Told::of(byte).expect("a state");
    for byte in *b"asTtAS" {
        assert_eq!(told(byte).byte(), byte);
        let pair = HotRestart::default();
        for successor in [true, false] {
            let told = Some(told(byte));
            pair.set(|others| {
                (others.successor, others.predecessor) = if successor { (told, None) } else { (None, told) }
            });
            assert_eq!(pair.other_serves(), byte == b'A' || byte == b'S');
            assert_eq!(pair.share_of_limit(100), 38, "it holds connections, whether it accepts more or not");
        }
    }
    assert_eq!(Told::of(b'L'), None, "what an earlier program says");
}

/// Clients that all hold a request can't be shed as the second process comes: those beyond the half go with their answers.
#[test]
fn clients_beyond_the_half_leave_with_their_answers_if_all_were_busy_as_the_other_process_came() {
    const CLIENTS: usize = 20;
    const CONFIG: &str = r#"{"listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "limits": {"sockets": 90},
        "settings": {"Classes": [{"Name": "read", "Target": 60000, "GiveUp": 60000, "Idempotency": "free"}]}}"#;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    LocalSet::new().block_on(&runtime.expect("a runtime"), async {
        let config = hillpick::control::config::Config::parse(CONFIG).expect("good");
        let most = config.max_client_connections;
        let current = hillpick::control::config::LiveSettings::new(config.site.clone());
        let (messages, mut inbox) = tokio::sync::mpsc::channel(256);
        let (pair, lifecycle) = (Rc::<HotRestart>::default(), alive());
        let node = crate::frontend::Node {
            ready: Rc::new(std::cell::Cell::new(true)),
            lifecycle: lifecycle.clone(),
            pair: pair.clone(),
        };
        let front = crate::frontend::Frontend::new(
            hillpick::control::clock::Clock::start(),
            &config,
            current,
            messages,
            node,
        );
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("its address");
        let run = spawn_local(front.run(listener));
        let (mut clients, mut held) = (Vec::new(), Vec::new());
        for _ in 0..CLIENTS {
            let mut client = tokio::net::TcpStream::connect(address).await.expect("room");
            let head = "GET /read/1 HTTP/1.1\r\nHost: a\r\nX-Call-Id: 1\r\nX-Budget-Ms: 60000\r\n\r\n";
            client.write_all(head.as_bytes()).await.expect("room");
            clients.push(client);
            while let Some(message) = inbox.recv().await {
                if let crate::messages::Message::Request(taken) = message {
                    held.push(taken.reply);
                    break;
                }
            }
        }
        pair.set(|others| others.successor = Some(Told { state: ProcessState::Active, accepts: false }));
        let half = pair.share_of_limit(most);
        assert!(half < CLIENTS && CLIENTS <= most, "{half} of {most}");
        let mut stay = 0;
        for (client, reply) in clients.iter_mut().zip(held) {
            assert!(reply.send(crate::messages::Answer::Failed).is_ok(), "the client waits");
            let mut answer = Vec::new();
            while !answer.ends_with(b"\r\n\r\n") {
                answer.push(client.read_u8().await.expect("an answer"));
            }
            if String::from_utf8_lossy(&answer).contains("connection: close") {
                assert_eq!(client.read(&mut [0]).await.expect("an end"), 0);
            } else {
                stay += 1;
            }
        }
        assert_eq!(stay, half);
        run.abort();
    });
}

#[test]
fn connections_to_backends_come_down_to_the_half_as_the_other_process_comes() {
    const CONFIG: &str = r#"{"listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "limits": {"sockets": 78},
        "settings": {"Classes": [{"Name": "read", "Target": 1, "GiveUp": 1, "Idempotency": "free"}],
        "Permissions": {"IdleClose": 3600000}}}"#;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    LocalSet::new().block_on(&runtime.expect("a runtime"), async {
        let config = hillpick::control::config::Config::parse(CONFIG).expect("good");
        let current = hillpick::control::config::LiveSettings::new(config.site.clone());
        let pair = Rc::<HotRestart>::default();
        let clock = hillpick::control::clock::Clock::start();
        let pool = crate::backend::ConnectionPool::start(clock, &config, current, pair.clone());
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("its address");
        let entry =
            |id| hillpick::ServerEntry { id, state: hillpick::ServerState::Ready, ..Default::default() };
        let ids = (0..config.max_backend_connections as u64).map(hillpick::ServerId);
        let backends: Vec<_> =
            ids.map(|id| hillpick::control::updates::Backend { entry: entry(id), address }).collect();
        pool.update(hillpick::ListKind::Full, &backends, clock.now());
        let (open, closed) = (Rc::new(std::cell::Cell::new(0)), Rc::new(std::cell::Cell::new(0)));
        let (opens, closes) = (open.clone(), closed.clone());
        spawn_local(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                opens.set(opens.get() + 1);
                let closes = closes.clone();
                spawn_local(async move {
                    let mut heard = [0; 512];
                    while stream.read(&mut heard).await.is_ok_and(|read| read > 0) {
                        let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").await;
                    }
                    closes.set(closes.get() + 1);
                });
            }
        });
        for backend in &backends {
            assert_eq!(pool.clone().probe(backend.entry.id).await.0, hillpick::Outcome::Served);
        }
        let half = pair.share_of_limit(config.max_backend_connections);
        assert_eq!((open.get(), closed.get(), half), (backends.len(), 0, backends.len()));
        pair.set(|others| others.predecessor = Some(Told { state: ProcessState::Active, accepts: true }));
        let beyond = backends.len() - pair.share_of_limit(config.max_backend_connections);
        until(|| closed.get() >= beyond).await;
        assert_eq!(closed.get(), beyond);
    });
}
