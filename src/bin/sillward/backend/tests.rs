//! Tests of the connection pool alone, against listeners that act as its backend, on a runtime whose clock
//! the tests pause.

use super::*;
use crate::backend_stream::MIN_QUARANTINE;
use crate::body::MAX_BUFFERED_BYTES;
use crate::messages::{Attempt, ForwardedRequest, RequestBody};
use crate::upload::tests::upload;
use bytes::Bytes;
use hillpick::LoadReport;
use hillpick::RequestId;
use hillpick::ServerEntry;
use hyper::Method;
use hyper::header::HeaderValue;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::LocalSet;

const CONFIG: &str = r#"{"listen": "127.0.0.1:0", "discovery": "127.0.0.1:1",
    "settings": {"Classes": [{"Name": "read", "Target": 1, "GiveUp": 1, "Idempotency": "free"}],
    "LoadReport": {"Columns": ["concurrent", "depth"], "Via": "pull"},
    "Rules": {"DrainGrace": 0}}}"#;
const SERVER: ServerId = ServerId(1);
const MINUTE: Duration = Duration::from_secs(60);

/// A pool whose list holds one backend, with that backend's listener.
fn with_pool<T>(test: impl AsyncFnOnce(Rc<ConnectionPool>, TcpListener, Backend) -> T) -> T {
    with_pool_of(CONFIG, test)
}

fn with_pool_of<T>(config: &str, test: impl AsyncFnOnce(Rc<ConnectionPool>, TcpListener, Backend) -> T) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let config = Config::parse(config).expect("a valid configuration");
        let pool = ConnectionPool::start(
            Clock::start(),
            &config,
            LiveSettings::new(config.site.clone()),
            Rc::default(),
            MemoryBudget::new(config.buffer_bytes),
        );
        let entry = ServerEntry { id: SERVER, state: ServerState::Ready, ..ServerEntry::default() };
        let backend = Backend { entry, address: listener.local_addr().expect("its address") };
        pool.update(ListKind::Full, std::slice::from_ref(&backend), pool.clock.now());
        test(pool, listener, backend).await
    })
}

/// An attempt of a request with this `X-Call-Id`.
fn attempt_with_id(pool: &ConnectionPool, id: &'static str) -> Attempt {
    let now = pool.clock.now();
    let forward = ForwardedRequest {
        method: Method::POST,
        path: hyper::http::uri::PathAndQuery::from_static("/submit/1"),
        call_id: HeaderValue::from_static(id),
        idempotency_key: None,
        body: RequestBody::Buffered(Bytes::new()),
        budget: MINUTE,
        deadline: Cell::new(now + MINUTE),
        dedup_window: Some(MINUTE),
        first_byte_at: Cell::new(None),
        finished: Cell::new(false),
        client: Rc::default(),
    };
    Attempt {
        id: RequestId(1),
        number: 0,
        server: SERVER,
        initial_deadline: now + MINUTE,
        forward: Rc::new(forward),
    }
}

/// Makes an attempt after `change`, which happens between the decision and the attempt. Returns its outcome
/// and what its backend received.
fn attempt_after(change: impl FnOnce(&ConnectionPool, &mut Attempt, Backend, Duration)) -> (Outcome, String) {
    with_pool(async |pool, listener, backend| {
        let now = pool.clock.now();
        let mut attempt = attempt_with_id(&pool, "1");
        change(&pool, &mut attempt, backend, now);
        let (_stop, stopped) = oneshot::channel();
        let served = spawn_local(async move {
            let (mut stream, _) = listener.accept().await.expect("a connection");
            let mut sent = [0; 15];
            let read = stream.read(&mut sent).await.unwrap_or_default();
            String::from_utf8_lossy(&sent[..read]).into_owned()
        });
        let (messages, _inbox) = mpsc::channel(1);
        let ended = pool.clone().attempt(attempt, stopped, messages).await;
        pool.close_idle(SERVER);
        (ended.outcome, served.await.expect("the backend's part"))
    })
}

/// The number of idle connections to the backend.
fn idle_count(pool: &ConnectionPool) -> usize {
    pool.backends.borrow().get(&SERVER).map_or(0, |backend| backend.idle.len())
}

#[test]
fn a_waiting_attempt_takes_a_released_connection_and_its_own_connect_is_pooled() {
    with_pool(async |pool, _listener, _| {
        let first = pool.acquire(SERVER).await.expect("a connection");
        let freed = first.task.id();
        let mut second = std::pin::pin!(pool.acquire(SERVER));
        tokio::select! {
            biased;
            _ = &mut second => panic!("the connection is not open yet"),
            () = std::future::ready(()) => pool.release(first),
        }
        let taken = second.await.expect("a connection");
        assert_eq!(taken.task.id(), freed);
        while idle_count(&pool) == 0 {
            tokio::task::yield_now().await;
        }
        let late = pool.acquire(SERVER).await.expect("a connection");
        assert_ne!(late.task.id(), freed);
        assert_eq!(pool.open_count.get(), 2, "no further connection was opened");
    });
}

#[test]
fn a_connection_delivered_to_a_cancelled_attempt_returns_to_the_pool() {
    with_pool(async |pool, _listener, _| {
        let first = pool.acquire(SERVER).await.expect("a connection");
        let freed = first.task.id();
        let mut second = Box::pin(pool.acquire(SERVER));
        tokio::select! {
            biased;
            _ = &mut second => panic!("the connection is not open yet"),
            () = std::future::ready(()) => pool.release(first),
        }
        assert_eq!(idle_count(&pool), 0);
        drop(second);
        assert_eq!(idle_count(&pool), 1);
        assert_eq!(pool.acquire(SERVER).await.ok().map(|back| back.task.id()), Some(freed));
    });
}

#[test]
fn a_connect_failure_after_its_attempt_was_cancelled_fails_the_next_attempt() {
    with_pool(async |pool, listener, _| {
        tokio::time::pause();
        drop(listener);
        for _ in 0..2 {
            let mut cancelled = Box::pin(pool.acquire(SERVER));
            tokio::select! {
                biased;
                _ = &mut cancelled => panic!("the connect has not failed yet"),
                () = std::future::ready(()) => drop(cancelled),
            }
            while pool.open_count.get() > 0 {
                tokio::task::yield_now().await;
            }
            tokio::select! {
                biased;
                next = pool.acquire(SERVER) => assert_eq!(next.err(), Some(Outcome::ConnectFailed)),
                () = std::future::ready(()) => panic!("the next attempt did not fail"),
            }
        }
    });
}

#[test]
fn a_probe_reads_load_reports_by_settings_names_and_by_protocol_names() {
    for body in ["concurrent=2.5,depth=1", "inflight=2.5,queue=1"] {
        let (outcome, report) = with_pool(async |pool, listener, _| {
            let served = spawn_local(async move {
                let (mut stream, _) = listener.accept().await.expect("a connection");
                let mut request_line = [0; 10];
                stream.read_exact(&mut request_line).await.expect("a probe");
                let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
                stream.write_all(answer.as_bytes()).await.expect("the pool reads");
                (request_line, stream)
            });
            let probed = pool.probe(SERVER).await;
            assert_eq!(&served.await.expect("the backend's part").0, b"GET /stats");
            probed
        });
        let expected = LoadReport { in_flight: Some(2.5), queue: Some(1.0), ..LoadReport::default() };
        assert_eq!((outcome, report), (Outcome::Served, Some(expected)), "{body}");
    }
}

#[test]
fn an_attempt_that_is_still_permitted_is_written() {
    assert_eq!(attempt_after(|_, _, _, _| {}), (Outcome::Reset, "POST /submit/1 ".to_owned()));
}

#[test]
fn an_attempt_that_is_no_longer_permitted_is_not_sent() {
    let nothing = || (Outcome::NotSent, String::new());
    let late = attempt_after(|_, attempt, _, now| attempt.initial_deadline = now);
    assert_eq!(late, nothing(), "its deadline has passed");
    let over = attempt_after(|_, attempt, _, _| attempt.forward.finished.set(true));
    assert_eq!(over, nothing(), "the request has its answer");
    let forgotten =
        attempt_after(|_, attempt, _, now| attempt.forward.first_byte_at.set(Some(now - 2 * MINUTE)));
    assert_eq!(forgotten, nothing(), "the deduplication window of a keyed request is over");
    let drained = attempt_after(|pool, _, mut backend, now| {
        backend.entry.state = ServerState::Draining;
        pool.update(ListKind::Changes, &[backend], now);
    });
    assert_eq!(drained, nothing(), "the drain grace is over");
}

// ---- Unsolicited responses ----------------------------------------------------------------------

const MS: Duration = Duration::from_millis(1);

/// Decides on an attempt at once and makes it when the future is polled. Returns its outcome and the
/// response's body.
fn run_attempt(
    pool: &Rc<ConnectionPool>,
    id: &'static str,
) -> impl Future<Output = (Outcome, String)> + use<> {
    let (stop, stopped) = oneshot::channel();
    let (messages, inbox) = mpsc::channel(1);
    let attempt = pool.clone().attempt(attempt_with_id(pool, id), stopped, messages);
    async move {
        let (_stop, _inbox) = (stop, inbox);
        let ended = attempt.await;
        (ended.outcome, String::from_utf8_lossy(&ended.body.unwrap_or_default()).into_owned())
    }
}

fn served_as(id: &str) -> (Outcome, String) {
    (Outcome::Served, id.to_owned())
}

/// Reads a request and returns its id; `None` if the connection ends first.
async fn read_request_id(stream: &mut TcpStream) -> Option<String> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.ok()?);
    }
    let head = String::from_utf8(head).expect("a head");
    let id = head.lines().find_map(|line| line.strip_prefix("x-call-id: ")).unwrap_or("probe");
    Some(id.to_owned())
}

fn response_with(id: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{id}", id.len())
}

/// Quarantines the backend's connections, as if it had sent unsolicited bytes.
fn quarantine_backend(pool: &ConnectionPool) {
    let quarantine = pool.backends.borrow()[&SERVER].quarantine.clone();
    quarantine.expect("the pool has connected to it").record_unsolicited(Duration::ZERO);
}

/// Starts a backend that answers each request with its id after `delay`. After its first response it also
/// sends `unsolicited`, if there is any, that much later. Returns the count of its connections.
fn spawn_backend(
    listener: TcpListener,
    delay: Duration,
    unsolicited: Option<(Duration, String)>,
) -> Rc<Cell<usize>> {
    let connections = Rc::new(Cell::new(0));
    let (count, unsolicited) = (connections.clone(), Rc::new(RefCell::new(unsolicited)));
    spawn_local(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            count.set(count.get() + 1);
            let unsolicited = unsolicited.clone();
            spawn_local(async move {
                while let Some(id) = read_request_id(&mut stream).await {
                    tokio::time::sleep(delay).await;
                    let _ = stream.write_all(response_with(&id).as_bytes()).await; // or it is closed
                    let next = unsolicited.borrow_mut().take();
                    if let Some((later, bytes)) = next {
                        tokio::time::sleep(later).await;
                        let _ = stream.write_all(bytes.as_bytes()).await;
                    }
                }
            });
        }
    });
    connections
}

#[test]
fn a_late_second_response_is_not_taken_for_that_of_the_next_request() {
    for late in [1, 2, 5, 10, 20, 24] {
        let cases = [response_with("1"), "HTTP/1.1 200".to_owned(), "\r\n".to_owned()];
        for (i, unsolicited) in cases.into_iter().enumerate() {
            with_pool(async |pool, listener, _| {
                tokio::time::pause();
                let connections = spawn_backend(listener, MS, Some((late * MS, unsolicited)));
                let first = pool.acquire(SERVER).await.expect("a connection");
                pool.release(first);
                quarantine_backend(&pool);
                // A probe's response is followed by unsolicited bytes as well.
                match i {
                    0 => assert_eq!(run_attempt(&pool, "1").await, served_as("1")),
                    _ => assert_eq!(pool.clone().probe(SERVER).await.0, Outcome::Served),
                }
                assert_eq!(run_attempt(&pool, "2").await, served_as("2"), "{late} ms, case {i}");
                assert_eq!(run_attempt(&pool, "3").await, served_as("3"), "{late} ms, case {i}");
                assert_eq!(connections.get(), 2, "the connection is dropped: {late} ms, case {i}");
            });
        }
    }
}

/// Bytes or a close that the kernel holds and the runtime has not polled yet are found before a request is
/// written. Without that check the request would get the unsolicited response, or end as a reset.
#[test]
fn unread_bytes_or_a_close_in_the_kernel_fail_no_request() {
    for closed in [false, true] {
        with_pool(async |pool, listener, _| {
            tokio::time::pause();
            let (first, (mut stream, _)) =
                tokio::join!(pool.acquire(SERVER), async { listener.accept().await.expect("a connection") });
            pool.release(first.expect("a connection"));
            let (one, ()) = tokio::join!(run_attempt(&pool, "1"), async {
                read_request_id(&mut stream).await.expect("a request");
                stream.write_all(response_with("1").as_bytes()).await.expect("the pool reads");
            });
            assert_eq!(one, served_as("1"));
            let connections = spawn_backend(listener, MS, None);
            tokio::time::sleep(2 * MIN_QUARANTINE).await;
            // No await from here to the second request, so that the runtime can't poll the socket before it.
            let open_stream = match closed {
                true => {
                    drop(stream);
                    None
                }
                false => {
                    let unsolicited = response_with("1");
                    assert_eq!(stream.try_write(unsolicited.as_bytes()).ok(), Some(unsolicited.len()));
                    Some(stream)
                }
            };
            assert_eq!(run_attempt(&pool, "2").await, served_as("2"), "closed: {closed}");
            assert_eq!(connections.get(), 1);
            drop(open_stream);
        });
    }
}

#[test]
fn a_later_unsolicited_response_lengthens_the_quarantine() {
    with_pool(async |pool, listener, _| {
        tokio::time::pause();
        let connections = spawn_backend(listener, MS, Some((60 * MS, response_with("1"))));
        assert_eq!(run_attempt(&pool, "1").await, served_as("1"));
        tokio::time::sleep(100 * MS).await;
        let quarantine =
            pool.backends.borrow()[&SERVER].quarantine.clone().expect("the pool has connected to it");
        assert!((120 * MS..130 * MS).contains(&quarantine.duration()), "{:?}", quarantine.duration());
        assert_eq!(run_attempt(&pool, "2").await, served_as("2"));
        assert_eq!(run_attempt(&pool, "3").await, served_as("3"));
        assert_eq!(connections.get(), 3, "the wait for the second one would cost more than a new connection");
        tokio::time::sleep(130 * MS).await;
        assert_eq!(run_attempt(&pool, "4").await, served_as("4"));
        assert_eq!(connections.get(), 3);
    });
}

#[test]
fn few_requests_wait_for_quarantined_connections_and_many_open_new_ones() {
    const IDS: [&str; 10] = ["0", "1", "2", "3", "4", "5", "6", "7", "8", "9"];
    with_pool(async |pool, listener, _| {
        tokio::time::pause();
        let connections = spawn_backend(listener, MS, None);
        for (id, expected) in IDS.into_iter().zip([1, 1, 1, 1, 1, 2]) {
            assert_eq!(run_attempt(&pool, id).await, served_as(id));
            assert_eq!(connections.get(), expected, "{id}");
            quarantine_backend(&pool);
        }
    });
    // With a limit of one connection, attempts always wait for it and it is never closed for a new one.
    let config = CONFIG.replacen('{', r#"{"limits": {"sockets": 52},"#, 1);
    with_pool_of(&config, async |pool, listener, _| {
        tokio::time::pause();
        let connections = spawn_backend(listener, MS, None);
        for id in IDS {
            assert_eq!(run_attempt(&pool, id).await, served_as(id));
            quarantine_backend(&pool);
        }
        assert_eq!(connections.get(), 1);
    });
    // A cancelled attempt that waited for a quarantined connection leaves it in the pool.
    with_pool(async |pool, listener, _| {
        tokio::time::pause();
        let _connections = spawn_backend(listener, MS, None);
        assert_eq!(run_attempt(&pool, "1").await, served_as("1"));
        quarantine_backend(&pool);
        tokio::select! {
            biased;
            _ = pool.acquire(SERVER) => panic!("it is quarantined"),
            () = std::future::ready(()) => {}
        }
        assert_eq!(idle_count(&pool), 1);
    });
}

/// Guards against a quarantine for every backend: each request would wait for the connection of the one
/// before it, or open a new one.
#[test]
fn a_backend_without_unsolicited_responses_has_no_quarantine() {
    with_pool(async |pool, listener, _| {
        tokio::time::pause();
        let connections = spawn_backend(listener, MS, None);
        let since = pool.clock.now();
        for id in ["1", "2", "3", "4"] {
            assert_eq!(run_attempt(&pool, id).await, served_as(id));
        }
        assert!(pool.clock.now() - since < MIN_QUARANTINE);
        assert_eq!(connections.get(), 1);
    });
}

// ---- Races on a connection ------------------------------------------------------------------------

/// Bytes that a backend sends on a new connection before its first request would be read as the response to
/// that request.
#[test]
fn unread_bytes_on_a_new_connection_are_not_taken_for_its_first_response() {
    with_pool(async |pool, listener, _| {
        tokio::time::pause();
        let (opened, (stream, _)) =
            tokio::join!(pool.acquire(SERVER), async { listener.accept().await.expect("a connection") });
        pool.release(opened.expect("a connection"));
        let connections = spawn_backend(listener, MS, None);
        // No await from here to the request, so that the runtime can't poll the socket before it.
        let unsolicited = response_with("1");
        assert_eq!(stream.try_write(unsolicited.as_bytes()).ok(), Some(unsolicited.len()));
        assert_eq!(run_attempt(&pool, "2").await, served_as("2"));
        assert_eq!(connections.get(), 1, "on a new connection");
    });
}

/// The list says that the backend has restarted.
fn restart(pool: &ConnectionPool, backend: &Backend) {
    let mut backend = backend.clone();
    backend.entry.started = Some(pool.clock.now());
    pool.update(ListKind::Changes, &[backend], pool.clock.now());
}

#[test]
fn an_attempt_is_sent_only_to_the_generation_it_was_decided_for() {
    // The restart is listed before the decision: the attempt goes to the new generation.
    with_pool(async |pool, listener, backend| {
        let connections = spawn_backend(listener, Duration::ZERO, None);
        restart(&pool, &backend);
        assert_eq!(run_attempt(&pool, "1").await, served_as("1"));
        assert_eq!(connections.get(), 1);
    });
    // The restart is listed after the decision, before the attempt begins.
    with_pool(async |pool, listener, backend| {
        let connections = spawn_backend(listener, Duration::ZERO, None);
        assert_eq!(run_attempt(&pool, "1").await, served_as("1"));
        let attempt = run_attempt(&pool, "2");
        restart(&pool, &backend);
        assert_eq!(attempt.await, (Outcome::NotSent, String::new()));
        assert_eq!(run_attempt(&pool, "3").await, served_as("3"));
        assert_eq!(connections.get(), 2);
    });
    // The restart is listed while the attempt waits for its connect.
    with_pool(async |pool, listener, backend| {
        let mut attempt = std::pin::pin!(run_attempt(&pool, "1"));
        tokio::select! {
            biased;
            _ = &mut attempt => panic!("the connection is not open yet"),
            () = std::future::ready(()) => restart(&pool, &backend),
        }
        let _connections = spawn_backend(listener, Duration::ZERO, None);
        assert_eq!(attempt.await, (Outcome::NotSent, String::new()));
    });
    // A drain is not a restart: within the drain grace the attempt is sent.
    with_pool_of(
        &CONFIG.replacen("\"DrainGrace\": 0", "\"DrainGrace\": 2000", 1),
        async |pool, listener, mut backend| {
            let _connections = spawn_backend(listener, Duration::ZERO, None);
            let attempt = run_attempt(&pool, "1");
            backend.entry.state = ServerState::Draining;
            pool.update(ListKind::Changes, &[backend], pool.clock.now());
            assert_eq!(attempt.await, served_as("1"));
        },
    );
}

/// A short response may arrive while the request's body is still being sent. The connection can be reused
/// only if the whole request has been written.
#[test]
fn a_connection_with_a_partly_written_request_is_not_reused() {
    const LENGTH: usize = 2 * MAX_BUFFERED_BYTES;
    for sent in [100, LENGTH] {
        let whole = sent == LENGTH;
        with_pool(async |pool, listener, _| {
            let (body, _client) = upload(LENGTH, sent).await;
            let mut attempt = attempt_with_id(&pool, "1");
            let forward = Rc::get_mut(&mut attempt.forward).expect("the only reference");
            forward.body = RequestBody::streamed(body);
            let (_stop, stopped) = oneshot::channel();
            let (messages, _inbox) = mpsc::channel(1);
            let backend = async {
                let (mut stream, _) = listener.accept().await.expect("a connection");
                read_request_id(&mut stream).await.expect("a request");
                let mut body = vec![0; sent];
                stream.read_exact(&mut body).await.expect("what has been sent of the body");
                stream.write_all(response_with("1").as_bytes()).await.expect("the pool reads");
                stream
            };
            let (ended, _stream) = tokio::join!(pool.clone().attempt(attempt, stopped, messages), backend);
            assert_eq!(ended.outcome, Outcome::Served);
            assert_eq!(idle_count(&pool), usize::from(whole), "{sent} of {LENGTH} bytes were written");
            let connections = spawn_backend(listener, Duration::ZERO, None);
            if !whole {
                assert_eq!(run_attempt(&pool, "2").await, served_as("2"));
                assert_eq!(connections.get(), 1);
            }
        });
    }
}
