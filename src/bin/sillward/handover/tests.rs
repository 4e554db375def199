//! A predecessor and its successor at their Unix socket, both played in one process.

use super::*;
use tokio::task::LocalSet;

/// The memory for buffers that this configuration gives.
fn memory_budget(config: &hillpick::control::config::Config) -> std::sync::Arc<crate::memory::MemoryBudget> {
    crate::memory::MemoryBudget::new(config.buffer_bytes)
}

/// A directory for this test's Unix socket, with a path short enough for one.
struct SocketDir(PathBuf);

impl SocketDir {
    fn new(name: &str) -> Self {
        let directory = std::env::temp_dir().join(format!("sw-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&directory).expect("a directory");
        SocketDir(directory)
    }
}

impl Drop for SocketDir {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn with_socket_path(name: &str, test: impl AsyncFnOnce(PathBuf)) {
    let directory = SocketDir::new(name);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, test(directory.0.join(SOCKET_NAME)));
}

fn active_lifecycle() -> Rc<Lifecycle> {
    Rc::new(Lifecycle::new())
}

async fn wait_until(condition: impl Fn() -> bool) {
    let polling = async {
        while !condition() {
            sleep(Duration::from_millis(2)).await;
        }
    };
    timeout(Duration::from_secs(30), polling).await.expect("the condition holds in the end");
}

#[test]
fn a_passed_socket_keeps_its_queue_and_both_processes_share_limits_until_one_ends() {
    with_socket_path("pass", async |path| {
        let first = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = first.local_addr().expect("its address");
        let socket = first.as_fd().try_clone_to_owned().expect("a handle");
        let (old, new) = (Rc::<HotRestart>::default(), Rc::<HotRestart>::default());
        let offer_task =
            spawn_local(offer_sockets(path.clone(), socket, None, old.clone(), active_lifecycle()));
        wait_until(|| path.exists()).await;
        // This connection waits in the accept queue while the first listener is closed.
        let _queued = tokio::net::TcpStream::connect(address).await.expect("room in the queue");
        let elsewhere = "127.0.0.1:1".parse().expect("an address");
        assert!(
            take_over(&path, elsewhere, &new, &active_lifecycle()).await.is_none(),
            "not the address asked for"
        );
        let second = take_over(&path, address, &new, &active_lifecycle()).await.expect("the socket").listener;
        drop(first);
        timeout(HANDOVER_TIMEOUT, second.accept())
            .await
            .expect("the queued connection")
            .expect("a connection");
        wait_until(|| old.has_successor()).await;
        assert!(new.has_predecessor() && !new.has_successor() && !old.has_predecessor());
        assert_eq!((old.share_of_limit(100), new.share_of_limit(100), new.share_of_limit(9)), (38, 38, 1));
        offer_task.abort();
        wait_until(|| !new.has_predecessor()).await;
        assert_eq!(new.share_of_limit(9), 9);
    });
}

#[test]
fn a_leftover_socket_or_a_hanging_process_does_not_delay_a_start() {
    with_socket_path("left", async |path| {
        let hot_restart = Rc::<HotRestart>::default();
        let address = "127.0.0.1:1".parse().expect("an address");
        assert!(
            take_over(&path, address, &hot_restart, &active_lifecycle()).await.is_none(),
            "no process was ever there"
        );
        drop(UnixListener::bind(&path).expect("a name"));
        assert!(take_over(&path, address, &hot_restart, &active_lifecycle()).await.is_none(), "a leftover");
        std::fs::remove_file(&path).expect("a leftover");
        let _silent = UnixListener::bind(&path).expect("a name");
        assert!(
            take_over(&path, address, &hot_restart, &active_lifecycle()).await.is_none(),
            "it accepts nobody"
        );
        assert!(!hot_restart.has_predecessor());
        bind_unix_socket(&path).expect("the path can be bound all the same");
    });
}

/// Reads until the connection is closed; returns the first line of the response.
async fn first_line(stream: &mut tokio::net::TcpStream) -> String {
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer).await; // a reset counts as an end
    String::from_utf8_lossy(&answer).lines().next().unwrap_or_default().to_owned()
}

#[test]
fn each_process_learns_the_state_of_the_other_and_the_successor_stays_drained() {
    with_socket_path("stand", async |path| {
        let first = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = first.local_addr().expect("its address");
        let socket = first.as_fd().try_clone_to_owned().expect("a handle");
        let (old, new) = (Rc::<HotRestart>::default(), Rc::<HotRestart>::default());
        let (old_lifecycle, new_lifecycle) = (active_lifecycle(), active_lifecycle());
        old.start_accepting();
        old_lifecycle.enter(ProcessState::Standby);
        let offer_task =
            spawn_local(offer_sockets(path.clone(), socket, None, old.clone(), old_lifecycle.clone()));
        wait_until(|| path.exists()).await;
        let received = take_over(&path, address, &new, &new_lifecycle).await.expect("the sockets");
        assert!(received.handover_listener.is_some());
        assert_eq!(new_lifecycle.now().state, ProcessState::Standby, "the state arrives with the socket");
        assert!(new.sibling_accepts());
        wait_until(|| old.has_successor()).await;
        assert!(!old.sibling_accepts(), "it does not accept yet");
        new.start_accepting();
        wait_until(|| old.sibling_accepts()).await;
        old_lifecycle.enter(ProcessState::Active);
        wait_until(|| new_lifecycle.now().state == ProcessState::Active).await;
        // The successor's own drain doesn't end when the predecessor terminates.
        new_lifecycle.enter(ProcessState::Standby);
        old_lifecycle.enter(ProcessState::Terminating);
        wait_until(|| !new.sibling_accepts()).await;
        assert_eq!((new_lifecycle.now().state, new.has_predecessor()), (ProcessState::Standby, true));
        new_lifecycle.enter(ProcessState::Terminating);
        wait_until(|| !old.sibling_accepts()).await;
        offer_task.abort();
        wait_until(|| !new.has_predecessor()).await;
    });
}

/// One process terminates while its sibling serves, and the sibling terminates or exits before that or after
/// it. What is in the accept queue must be answered by the process that stops accepting last.
#[test]
fn connections_in_the_accept_queue_are_served_whichever_process_ends_first() {
    const CONFIG: &str = r#"{"listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "settings":
        {"Classes": [{"Name": "submit", "Target": 1, "GiveUp": 1, "Idempotency": "single_shot"}]}}"#;
    let serving = Some(ProcessStatus { state: ProcessState::Active, accepting: true });
    let terminating = Some(ProcessStatus { state: ProcessState::Terminating, accepting: true });
    for (is_successor, sibling_then) in
        [(true, None), (true, terminating), (false, None), (false, terminating)]
    {
        for other_first in [true, false] {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
            LocalSet::new().block_on(&runtime.expect("a runtime"), async {
                let config = hillpick::control::config::Config::parse(CONFIG).expect("a valid configuration");
                let live_settings = hillpick::control::config::LiveSettings::new(config.site.clone());
                let (messages, _inbox) = tokio::sync::mpsc::channel(16);
                let (hot_restart, lifecycle) = (Rc::<HotRestart>::default(), active_lifecycle());
                let node = crate::frontend::NodeState {
                    ready: Rc::new(std::cell::Cell::new(true)),
                    lifecycle: lifecycle.clone(),
                    hot_restart: hot_restart.clone(),
                };
                let clock = hillpick::control::clock::Clock::start();
                let frontend = crate::frontend::Frontend::new(
                    clock,
                    &config,
                    live_settings,
                    messages,
                    memory_budget(&config),
                    node,
                );
                let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
                let address = listener.local_addr().expect("its address");
                let mut client = tokio::net::TcpStream::connect(address).await.expect("room in the queue");
                client.write_all(b"GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n").await.expect("written");
                tokio::time::pause();
                let set = |status| {
                    hot_restart.update_siblings(|siblings| match is_successor {
                        true => siblings.successor = status,
                        false => siblings.predecessor = status,
                    });
                };
                set(serving);
                if other_first {
                    set(sibling_then);
                }
                lifecycle.enter(ProcessState::Terminating);
                let run_task = spawn_local(frontend.run(listener));
                if !other_first {
                    for _ in 0..20 {
                        tokio::task::yield_now().await; // by then it has stopped accepting
                    }
                    set(sibling_then);
                }
                let line = first_line(&mut client).await;
                assert!(
                    line.starts_with("HTTP/1.1 503"),
                    "{is_successor} {sibling_then:?} {other_first}: {line:?}"
                );
                run_task.await.expect("the frontend ends");
            });
        }
    }
}

#[test]
fn a_terminating_process_leaves_the_queue_to_a_sibling_that_serves() {
    let status = |byte| ProcessStatus::from_byte(byte).expect("a state");
    for byte in *b"asTtAS" {
        assert_eq!(status(byte).to_byte(), byte);
        let hot_restart = HotRestart::default();
        for successor in [true, false] {
            let status = Some(status(byte));
            hot_restart.update_siblings(|siblings| {
                (siblings.successor, siblings.predecessor) =
                    if successor { (status, None) } else { (None, status) }
            });
            assert_eq!(hot_restart.sibling_accepts(), byte == b'A' || byte == b'S');
            assert_eq!(
                hot_restart.share_of_limit(100),
                38,
                "it holds connections, whether it accepts more or not"
            );
        }
    }
    assert_eq!(ProcessStatus::from_byte(b'L'), None, "sent by an earlier version of the program");
}

/// Connections with a request in progress can't be shed when a second process starts: those beyond this
/// process's half close with their responses.
#[test]
fn busy_connections_beyond_this_process_half_close_with_their_responses() {
    const CLIENTS: usize = 20;
    const CONFIG: &str = r#"{"listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "limits": {"sockets": 90},
        "settings": {"Classes": [{"Name": "read", "Target": 60000, "GiveUp": 60000, "Idempotency": "free"}]}}"#;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    LocalSet::new().block_on(&runtime.expect("a runtime"), async {
        let config = hillpick::control::config::Config::parse(CONFIG).expect("a valid configuration");
        let max_clients = config.max_client_connections;
        let live_settings = hillpick::control::config::LiveSettings::new(config.site.clone());
        let (messages, mut inbox) = tokio::sync::mpsc::channel(256);
        let (hot_restart, lifecycle) = (Rc::<HotRestart>::default(), active_lifecycle());
        let node = crate::frontend::NodeState {
            ready: Rc::new(std::cell::Cell::new(true)),
            lifecycle: lifecycle.clone(),
            hot_restart: hot_restart.clone(),
        };
        let frontend = crate::frontend::Frontend::new(
            hillpick::control::clock::Clock::start(),
            &config,
            live_settings,
            messages,
            memory_budget(&config),
            node,
        );
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("its address");
        let run_task = spawn_local(frontend.run(listener));
        let (mut clients, mut replies) = (Vec::new(), Vec::new());
        for _ in 0..CLIENTS {
            let mut client = tokio::net::TcpStream::connect(address).await.expect("a client");
            let head = "GET /read/1 HTTP/1.1\r\nHost: a\r\nX-Call-Id: 1\r\nX-Budget-Ms: 60000\r\n\r\n";
            client.write_all(head.as_bytes()).await.expect("written");
            clients.push(client);
            while let Some(message) = inbox.recv().await {
                if let crate::messages::Message::Request(request) = message {
                    replies.push(request.reply);
                    break;
                }
            }
        }
        hot_restart.update_siblings(|siblings| {
            siblings.successor = Some(ProcessStatus { state: ProcessState::Active, accepting: false })
        });
        let half = hot_restart.share_of_limit(max_clients);
        assert!(half < CLIENTS && CLIENTS <= max_clients, "{half} of {max_clients}");
        let mut kept_open = 0;
        for (client, reply) in clients.iter_mut().zip(replies) {
            assert!(reply.send(crate::messages::Answer::Failed).is_ok(), "the client waits");
            let mut answer = Vec::new();
            while !answer.ends_with(b"\r\n\r\n") {
                answer.push(client.read_u8().await.expect("an answer"));
            }
            if String::from_utf8_lossy(&answer).contains("connection: close") {
                assert_eq!(client.read(&mut [0]).await.expect("an end"), 0);
            } else {
                kept_open += 1;
            }
        }
        assert_eq!(kept_open, half);
        run_task.abort();
    });
}

#[test]
fn idle_backend_connections_beyond_half_are_closed_when_a_hot_restart_begins() {
    const CONFIG: &str = r#"{"listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "limits": {"sockets": 78},
        "settings": {"Classes": [{"Name": "read", "Target": 1, "GiveUp": 1, "Idempotency": "free"}],
        "Permissions": {"IdleClose": 3600000}}}"#;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    LocalSet::new().block_on(&runtime.expect("a runtime"), async {
        let config = hillpick::control::config::Config::parse(CONFIG).expect("a valid configuration");
        let live_settings = hillpick::control::config::LiveSettings::new(config.site.clone());
        let hot_restart = Rc::<HotRestart>::default();
        let clock = hillpick::control::clock::Clock::start();
        let pool = crate::backend::ConnectionPool::start(
            clock,
            &config,
            live_settings,
            hot_restart.clone(),
            memory_budget(&config),
        );
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("its address");
        let entry =
            |id| hillpick::ServerEntry { id, state: hillpick::ServerState::Ready, ..Default::default() };
        let ids = (0..config.max_backend_connections as u64).map(hillpick::ServerId);
        let backends: Vec<_> =
            ids.map(|id| hillpick::control::updates::Backend { entry: entry(id), address }).collect();
        pool.update(hillpick::ListKind::Full, &backends, clock.now());
        let (open, closed) = (Rc::new(std::cell::Cell::new(0)), Rc::new(std::cell::Cell::new(0)));
        let (open_count, closed_count) = (open.clone(), closed.clone());
        spawn_local(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                open_count.set(open_count.get() + 1);
                let closed_count = closed_count.clone();
                spawn_local(async move {
                    let mut buffer = [0; 512];
                    while stream.read(&mut buffer).await.is_ok_and(|read| read > 0) {
                        let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").await;
                    }
                    closed_count.set(closed_count.get() + 1);
                });
            }
        });
        for backend in &backends {
            assert_eq!(pool.clone().probe(backend.entry.id).await.0, hillpick::Outcome::Served);
        }
        let share = hot_restart.share_of_limit(config.max_backend_connections);
        assert_eq!((open.get(), closed.get(), share), (backends.len(), 0, backends.len()));
        hot_restart.update_siblings(|siblings| {
            siblings.predecessor = Some(ProcessStatus { state: ProcessState::Active, accepting: true })
        });
        let excess = backends.len() - hot_restart.share_of_limit(config.max_backend_connections);
        wait_until(|| closed.get() >= excess).await;
        assert_eq!(closed.get(), excess);
    });
}
