//! Clients that leave, against the attempts made for them: front, node and pool in one runtime that the test drives,
//! before a backend that it plays.

use super::*;
use crate::backend::ConnectionPool;
use crate::liveness::tests::{Parts, part};
use hillpick::control::updates::{Backend, ListUpdate};
use hillpick::{ListKind, ServerEntry, ServerId, ServerState};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::task::LocalSet;

const CONFIG: &str = r#"{"listen": "127.0.0.1:0", "discovery": "127.0.0.1:1",
    "settings": {"Classes": [{"Name": "read", "Target": 20000, "GiveUp": 20000, "Idempotency": "free"},
    {"Name": "submit", "Target": 20000, "GiveUp": 20000, "Idempotency": "guarded", "Group": "zone", "Window": 60000}],
    "Permissions": {"Cancel": true, "AttemptsCap": 3}}}"#;
/// A test that takes longer has gone wrong.
const PATIENCE: Duration = Duration::from_secs(30);

/// Why the node does not learn at once that a client has left.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Late {
    /// It does, as soon as it has a turn.
    Not,
    /// The news waits behind others.
    Queued,
    /// Part of another request stands before the end.
    Hidden,
}

struct Rig {
    front: Rc<Frontend>,
    listener: TcpListener,
    /// The ids that backends were sent, each with its connection; and how many clients the node was told have left.
    ran: Rc<RefCell<Vec<String>>>,
    told: Rc<Cell<usize>>,
    /// Those who ask for `held` are turned away once this is said.
    release: Rc<Notify>,
    /// Whether news of leavings is held back.
    holds: Rc<Cell<bool>>,
}

/// Two backends, a node that has a connection to each, and nothing under way.
fn with_rig(test: impl AsyncFnOnce(Rig)) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        let config = Config::parse(CONFIG).expect("good");
        let (clock, current) = (Clock::start(), LiveSettings::new(config.site.clone()));
        let (messages, mut sent) = mpsc::channel(4096);
        let (passed, inbox) = mpsc::channel(4096);
        let (orders, mut ordered) = mpsc::channel(16);
        spawn_local(async move { while ordered.recv().await.is_some() {} });
        let pool = ConnectionPool::start(clock, &config, current.clone(), Rc::default());
        spawn_local(crate::node::Node::new(clock, &config, pool, passed.clone(), orders).run(inbox));
        let (told, holds) = (Rc::<Cell<usize>>::default(), Rc::<Cell<bool>>::default());
        let (counted, held) = (told.clone(), holds.clone());
        spawn_local(async move {
            let mut kept = Vec::new();
            while let Some(message) = sent.recv().await {
                if matches!(message, Message::ClientGone(_)) {
                    counted.set(counted.get() + 1);
                    kept.push(message);
                } else {
                    let _ = passed.send(message).await;
                }
                if !held.get() {
                    for message in kept.drain(..) {
                        let _ = passed.send(message).await;
                    }
                }
            }
        });
        let (ran, release) = (Rc::<RefCell<Vec<String>>>::default(), Rc::new(Notify::new()));
        let mut backends = Vec::new();
        for id in [1, 2] {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
            let address = listener.local_addr().expect("its address");
            let entry = ServerEntry { id: ServerId(id), state: ServerState::Ready, ..ServerEntry::default() };
            backends.push(Backend { entry, address });
            let (ran, release) = (ran.clone(), release.clone());
            spawn_local(async move {
                while let Ok((stream, _)) = listener.accept().await {
                    spawn_local(answer_all(stream, ran.clone(), release.clone()));
                }
            });
        }
        let node = Node {
            ready: Rc::new(Cell::new(true)),
            lifecycle: Rc::new(Lifecycle::new()),
            pair: Rc::default(),
        };
        let front = Frontend::new(clock, &config, current, messages.clone(), node);
        let news = ListUpdate { kind: ListKind::Full, backends };
        messages.send(Message::List(news)).await.unwrap_or_else(|_| panic!("a node"));
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let rig = Rig { front, listener, ran, told, release, holds };
        timeout(PATIENCE, test(rig)).await.expect("an end");
    });
}

async fn answer_all(mut stream: TcpStream, ran: Rc<RefCell<Vec<String>>>, release: Rc<Notify>) {
    let mut read = String::new();
    let mut more = [0; 4096];
    while let Ok(length @ 1..) = stream.read(&mut more).await {
        read.push_str(&String::from_utf8_lossy(&more[..length]));
        while let Some((head, rest)) = read.split_once("\r\n\r\n") {
            let id =
                head.lines().find_map(|line| line.strip_prefix("x-call-id: ")).expect("an id").to_owned();
            ran.borrow_mut().push(id.clone());
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
    /// A client that has sent this, all of which the kernel has; the node has had no turn yet.
    async fn sent(&self, sends: &str) -> (TcpStream, TcpStream) {
        let address = self.listener.local_addr().expect("its address");
        let mut client = TcpStream::connect(address).await.expect("a client");
        let accepted = self.listener.accept().await.expect("the client").0;
        client.write_all(sends.as_bytes()).await.expect("room for it");
        (client, accepted)
    }

    async fn until(&self, holds: impl Fn() -> bool) {
        while !holds() {
            yield_now().await;
        }
    }

    fn times(&self, id: &str) -> usize {
        self.ran.borrow().iter().filter(|ran| ran.starts_with(id)).count()
    }

    /// Whoever asks now is served. The answer takes the node many turns: what it would do by itself it has done.
    async fn serves(&self) {
        for _ in 0..20 {
            let (mut client, accepted) = self.sent(&request("other")).await;
            self.front.serve(accepted);
            let mut status = [0; 12];
            client.read_exact(&mut status).await.expect("an answer");
            assert_eq!(status, *b"HTTP/1.1 200");
        }
    }

    async fn all_left(&self) {
        self.until(|| self.front.clients.borrow().is_empty()).await;
    }
}

/// The answer that allows another attempt, and the end of the client, in one turn and in both orders. Whether the node
/// knows already or not, it sends nothing more.
#[test]
fn a_client_that_leaves_between_two_attempts_gets_no_further_one() {
    for how in [Parts::Close, Parts::Reset, Parts::Half] {
        for (late, first) in
            [Late::Not, Late::Queued, Late::Hidden].into_iter().flat_map(|late| [(late, true), (late, false)])
        {
            with_rig(async |rig| {
                let what = format!("{how:?}, {late:?}, leaves first: {first}");
                rig.serves().await;
                rig.all_left().await;
                let (mut client, accepted) = rig.sent(&request("held")).await;
                rig.front.serve(accepted);
                rig.until(|| rig.times("held") == 1).await;
                if late == Late::Hidden {
                    let held = rig.front.clients.borrow().values().next().cloned().expect("one is held");
                    let before = held.moved.get();
                    client.write_all(b"GET /re").await.expect("room for it");
                    rig.until(|| held.moved.get() != before).await;
                }
                rig.holds.set(late == Late::Queued);
                if first {
                    let _half = part(client, how);
                    rig.release.notify_one();
                } else {
                    rig.release.notify_one();
                    yield_now().await; // the backend writes
                    let _half = part(client, how);
                }
                rig.all_left().await;
                rig.serves().await;
                rig.holds.set(false);
                rig.serves().await;
                rig.all_left().await;
                assert_eq!((rig.times("held"), rig.told.get()), (1, 1), "{what}");
            });
        }
    }
}

/// All of a request and the end of its client are there before the node has its first turn.
#[test]
fn a_client_that_has_left_before_the_first_attempt_gets_none() {
    let long = format!(
        "POST /submit/1 HTTP/1.1\r\nHost: a\r\nX-Call-Id: held\r\nX-Budget-Ms: 20000\r\nIdempotency-Key: 1\r\n\
        Content-Length: 100000\r\n\r\n{}",
        "b".repeat(90_000)
    );
    let cases = [request("held"), format!("{}GET /re", request("held")), long];
    for how in [Parts::Close, Parts::Reset, Parts::Half] {
        for sends in &cases {
            with_rig(async |rig| {
                rig.serves().await;
                rig.all_left().await;
                let (client, accepted) = rig.sent(sends).await;
                let half = part(client, how);
                rig.front.serve(accepted);
                rig.all_left().await;
                rig.serves().await;
                rig.all_left().await;
                let what = format!("{how:?}: {} bytes", sends.len());
                assert_eq!(rig.times("held"), 0, "{what}");
                assert!(rig.told.get() <= 1, "{what}");
                if let Some(mut half) = half {
                    let mut told = Vec::new();
                    half.set_nonblocking(false).expect("an option");
                    let _ = std::io::Read::read_to_end(&mut half, &mut told);
                    assert!(told.is_empty(), "{what}: {}", String::from_utf8_lossy(&told));
                }
            });
        }
    }
}

/// Hundreds leave while the node has no turn, in the moment in which each may be sent again.
#[test]
fn a_burst_of_clients_that_leave_between_two_attempts_gets_none() {
    const CROWD: usize = 300;
    for late in [Late::Not, Late::Hidden] {
        with_rig(async |rig| {
            let mut crowd = Vec::new();
            for i in 0..CROWD {
                let sends = format!(
                    "{}{}",
                    request(&format!("held-{i}")),
                    if late == Late::Hidden { "GET" } else { "" }
                );
                let (client, accepted) = rig.sent(&sends).await;
                rig.front.serve(accepted);
                crowd.push(client);
            }
            rig.until(|| rig.times("held") > 0).await;
            for _ in 0..CROWD {
                yield_now().await;
            }
            let before = rig.times("held");
            crowd.into_iter().for_each(|client| drop(part(client, Parts::Close)));
            rig.release.notify_waiters();
            rig.all_left().await;
            rig.serves().await;
            rig.all_left().await;
            assert_eq!(rig.times("held"), before, "{late:?}");
            assert!(rig.told.get() <= CROWD, "{late:?}");
        });
    }
}
