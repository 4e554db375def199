//! Clients that disconnect while attempts are made for them: frontend, node and connection pool in one
//! runtime, with backends that the test plays.

use super::*;
use crate::backend::ConnectionPool;
use crate::liveness::tests::{Disconnect, disconnect};
use hillpick::control::updates::{Backend, ListUpdate};
use hillpick::{ListKind, ServerEntry, ServerId, ServerState};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::task::LocalSet;

const CONFIG: &str = r#"{"listen": "127.0.0.1:0", "discovery": "127.0.0.1:1",
    "settings": {"Classes": [{"Name": "read", "Target": 20000, "GiveUp": 20000, "Idempotency": "free"},
    {"Name": "submit", "Target": 20000, "GiveUp": 20000, "Idempotency": "guarded", "Group": "zone", "Window": 60000}],
    "Permissions": {"Cancel": true, "AttemptsCap": 3}}}"#;
/// A test that takes longer has failed.
const TEST_TIMEOUT: Duration = Duration::from_secs(30);

/// What keeps the node from learning at once that a client has disconnected.
#[derive(Clone, Copy, Debug, PartialEq)]
enum NoticeDelay {
    /// Nothing: it learns of it on the event loop's next turn.
    None,
    /// The message waits behind others.
    Queued,
    /// Part of another request is unread before the end of the stream.
    Hidden,
}

/// The frontend under test, and what the test controls and observes around it.
struct Rig {
    frontend: Rc<Frontend>,
    listener: TcpListener,
    /// The ids of the requests that backends received, and how often the node was told that a client has
    /// disconnected.
    received: Rc<RefCell<Vec<String>>>,
    disconnects: Rc<Cell<usize>>,
    /// Requests whose id begins with `held` are rejected once this is notified.
    release: Rc<Notify>,
    /// Whether messages about disconnected clients are held back.
    hold_disconnects: Rc<Cell<bool>>,
}

/// Runs a test with two backends and a node that has nothing in progress.
fn with_rig(test: impl AsyncFnOnce(Rig)) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        let config = Config::parse(CONFIG).expect("a valid configuration");
        let (clock, live_settings) = (Clock::start(), LiveSettings::new(config.site.clone()));
        let (messages, mut from_frontend) = mpsc::channel(4096);
        let (to_node, inbox) = mpsc::channel(4096);
        let (commands, mut received_commands) = mpsc::channel(16);
        spawn_local(async move { while received_commands.recv().await.is_some() {} });
        let memory = MemoryBudget::new(config.buffer_bytes);
        let pool =
            ConnectionPool::start(clock, &config, live_settings.clone(), Rc::default(), memory.clone());
        let node = crate::node::Node::new(clock, &config, pool, to_node.clone(), commands, Rc::default());
        spawn_local(node.run(inbox));
        let (disconnects, hold_disconnects) = (Rc::<Cell<usize>>::default(), Rc::<Cell<bool>>::default());
        let (counter, hold_flag) = (disconnects.clone(), hold_disconnects.clone());
        spawn_local(async move {
            let mut held_back = Vec::new();
            while let Some(message) = from_frontend.recv().await {
                if matches!(message, Message::ClientGone(_)) {
                    counter.set(counter.get() + 1);
                    held_back.push(message);
                } else {
                    let _ = to_node.send(message).await;
                }
                if !hold_flag.get() {
                    for message in held_back.drain(..) {
                        let _ = to_node.send(message).await;
                    }
                }
            }
        });
        let (received, release) = (Rc::<RefCell<Vec<String>>>::default(), Rc::new(Notify::new()));
        let mut backends = Vec::new();
        for id in [1, 2] {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
            let address = listener.local_addr().expect("its address");
            let entry = ServerEntry { id: ServerId(id), state: ServerState::Ready, ..ServerEntry::default() };
            backends.push(Backend { entry, address });
            let (received, release) = (received.clone(), release.clone());
            spawn_local(async move {
                while let Ok((stream, _)) = listener.accept().await {
                    spawn_local(serve_backend(stream, received.clone(), release.clone()));
                }
            });
        }
        let node = NodeState {
            ready: Rc::new(Cell::new(true)),
            lifecycle: Rc::new(Lifecycle::new()),
            hot_restart: Rc::default(),
        };
        let frontend = Frontend::new(clock, &config, live_settings, messages.clone(), memory, node);
        let list_update = ListUpdate { kind: ListKind::Full, backends };
        messages.send(Message::List(list_update)).await.unwrap_or_else(|_| panic!("the node runs"));
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let rig = Rig { frontend, listener, received, disconnects, release, hold_disconnects };
        timeout(TEST_TIMEOUT, test(rig)).await.expect("an end");
    });
}

/// Plays a backend on one connection: holds requests whose id begins with `held` and then rejects them,
/// serves others.
async fn serve_backend(mut stream: TcpStream, received: Rc<RefCell<Vec<String>>>, release: Rc<Notify>) {
    let mut read = String::new();
    let mut buffer = [0; 4096];
    while let Ok(length @ 1..) = stream.read(&mut buffer).await {
        read.push_str(&String::from_utf8_lossy(&buffer[..length]));
        while let Some((head, rest)) = read.split_once("\r\n\r\n") {
            let id =
                head.lines().find_map(|line| line.strip_prefix("x-call-id: ")).expect("an id").to_owned();
            received.borrow_mut().push(id.clone());
            read = rest.to_owned();
            let answer = if id.starts_with("held") {
                release.notified().await;
                "HTTP/1.1 503 Busy\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n".to_owned()
            } else {
                format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{id}", id.len())
            };
            let _ = stream.write_all(answer.as_bytes()).await;
        }
    }
}

fn request(id: &str) -> String {
    format!("GET /read/1 HTTP/1.1\r\nHost: a\r\nX-Call-Id: {id}\r\nX-Budget-Ms: 20000\r\n\r\n")
}

impl Rig {
    /// A client that has sent this, and its accepted connection. All is in the kernel; the node has had no
    /// turn yet.
    async fn connect_and_send(&self, request_text: &str) -> (TcpStream, TcpStream) {
        let address = self.listener.local_addr().expect("its address");
        let mut client = TcpStream::connect(address).await.expect("a client");
        let connection = self.listener.accept().await.expect("the client").0;
        client.write_all(request_text.as_bytes()).await.expect("written");
        (client, connection)
    }

    /// Lets the node run until the condition holds.
    async fn wait_until(&self, condition: impl Fn() -> bool) {
        while !condition() {
            yield_now().await;
        }
    }

    /// How many requests whose id begins with this the backends received.
    fn received_count(&self, id: &str) -> usize {
        self.received.borrow().iter().filter(|received| received.starts_with(id)).count()
    }

    /// Other clients are served. Their responses take the node many turns, so that pending work is done
    /// afterwards.
    async fn serve_others(&self) {
        for _ in 0..20 {
            let (mut client, connection) = self.connect_and_send(&request("other")).await;
            self.frontend.serve(connection);
            let mut status = [0; 12];
            client.read_exact(&mut status).await.expect("an answer");
            assert_eq!(status, *b"HTTP/1.1 200");
        }
    }

    async fn all_closed(&self) {
        self.wait_until(|| self.frontend.clients.borrow().is_empty()).await;
    }
}

/// A backend's response that allows a retry and the client's disconnect arrive in one turn of the event loop,
/// in both orders.
/// Whether the node has learned of the disconnect or not, it must make no further attempt.
#[test]
fn a_disconnect_between_two_attempts_prevents_the_second() {
    for kind in [Disconnect::Close, Disconnect::Reset, Disconnect::HalfClose] {
        for (delay, disconnect_first) in [NoticeDelay::None, NoticeDelay::Queued, NoticeDelay::Hidden]
            .into_iter()
            .flat_map(|delay| [(delay, true), (delay, false)])
        {
            with_rig(async |rig| {
                let context = format!("{kind:?}, {delay:?}, disconnect first: {disconnect_first}");
                rig.serve_others().await;
                rig.all_closed().await;
                let (mut client, connection) = rig.connect_and_send(&request("held")).await;
                rig.frontend.serve(connection);
                rig.wait_until(|| rig.received_count("held") == 1).await;
                if delay == NoticeDelay::Hidden {
                    let held =
                        rig.frontend.clients.borrow().values().next().cloned().expect("the held connection");
                    let before = held.last_activity.get();
                    client.write_all(b"GET /re").await.expect("written");
                    rig.wait_until(|| held.last_activity.get() != before).await;
                }
                rig.hold_disconnects.set(delay == NoticeDelay::Queued);
                if disconnect_first {
                    let _half_closed = disconnect(client, kind);
                    rig.release.notify_one();
                } else {
                    rig.release.notify_one();
                    yield_now().await; // the backend writes
                    let _half_closed = disconnect(client, kind);
                }
                rig.all_closed().await;
                rig.serve_others().await;
                rig.hold_disconnects.set(false);
                rig.serve_others().await;
                rig.all_closed().await;
                assert_eq!((rig.received_count("held"), rig.disconnects.get()), (1, 1), "{context}");
            });
        }
    }
}

/// A complete request and its client's disconnect have both arrived before the node's first turn.
#[test]
fn a_disconnect_before_the_first_attempt_prevents_it() {
    let long = format!(
        "POST /submit/1 HTTP/1.1\r\nHost: a\r\nX-Call-Id: held\r\nX-Budget-Ms: 20000\r\nIdempotency-Key: 1\r\n\
        Content-Length: 100000\r\n\r\n{}",
        "b".repeat(90_000)
    );
    let cases = [request("held"), format!("{}GET /re", request("held")), long];
    for kind in [Disconnect::Close, Disconnect::Reset, Disconnect::HalfClose] {
        for request_text in &cases {
            with_rig(async |rig| {
                rig.serve_others().await;
                rig.all_closed().await;
                let (client, connection) = rig.connect_and_send(request_text).await;
                let half_closed = disconnect(client, kind);
                rig.frontend.serve(connection);
                rig.all_closed().await;
                rig.serve_others().await;
                rig.all_closed().await;
                let context = format!("{kind:?}: {} bytes", request_text.len());
                assert_eq!(rig.received_count("held"), 0, "{context}");
                assert!(rig.disconnects.get() <= 1, "{context}");
                if let Some(mut half_closed) = half_closed {
                    let mut response = Vec::new();
                    half_closed.set_nonblocking(false).expect("an option");
                    let _ = std::io::Read::read_to_end(&mut half_closed, &mut response);
                    assert!(response.is_empty(), "{context}: {}", String::from_utf8_lossy(&response));
                }
            });
        }
    }
}

/// Hundreds of clients disconnect while the node has no turn, just when a retry of each request is allowed.
#[test]
fn a_burst_of_disconnects_between_two_attempts_prevents_the_second() {
    const CLIENTS: usize = 300;
    for delay in [NoticeDelay::None, NoticeDelay::Hidden] {
        with_rig(async |rig| {
            let mut clients = Vec::new();
            for i in 0..CLIENTS {
                let request_text = format!(
                    "{}{}",
                    request(&format!("held-{i}")),
                    if delay == NoticeDelay::Hidden { "GET" } else { "" }
                );
                let (client, connection) = rig.connect_and_send(&request_text).await;
                rig.frontend.serve(connection);
                clients.push(client);
            }
            rig.wait_until(|| rig.received_count("held") > 0).await;
            for _ in 0..CLIENTS {
                yield_now().await;
            }
            let before = rig.received_count("held");
            clients.into_iter().for_each(|client| drop(disconnect(client, Disconnect::Close)));
            rig.release.notify_waiters();
            rig.all_closed().await;
            rig.serve_others().await;
            rig.all_closed().await;
            assert_eq!(rig.received_count("held"), before, "{delay:?}");
            assert!(rig.disconnects.get() <= CLIENTS, "{delay:?}");
        });
    }
}
