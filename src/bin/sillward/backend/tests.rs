//! The pool by itself, on a runtime that the test drives, before a listener that plays the backend.

use super::*;
use crate::backend_stream::REST;
use crate::messages::{ForwardedRequest, RequestBody};
use hillpick::RequestId;
use hillpick::ServerEntry;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::LocalSet;

const CONFIG: &str = r#"{"listen": "127.0.0.1:0", "discovery": "127.0.0.1:1",
    "settings": {"Classes": [{"Name": "read", "Target": 1, "GiveUp": 1, "Idempotency": "free"}],
    "LoadReport": {"Columns": ["concurrent", "depth"], "Via": "pull"},
    "Rules": {"DrainGrace": 0}}}"#;
const SERVER: ServerId = ServerId(1);
const MINUTE: Duration = Duration::from_secs(60);

/// A pool that knows one backend, which listens.
fn with_pool<T>(test: impl AsyncFnOnce(Rc<ConnectionPool>, TcpListener, Backend) -> T) -> T {
    with_pool_of(CONFIG, test)
}

fn with_pool_of<T>(config: &str, test: impl AsyncFnOnce(Rc<ConnectionPool>, TcpListener, Backend) -> T) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let config = Config::parse(config).expect("good");
        let pool = ConnectionPool::start(
            Clock::start(),
            &config,
            LiveSettings::new(config.site.clone()),
            Rc::default(),
        );
        let entry = ServerEntry { id: SERVER, state: ServerState::Ready, ..ServerEntry::default() };
        let backend = Backend { entry, address: listener.local_addr().expect("its address") };
        pool.update(ListKind::Full, std::slice::from_ref(&backend), pool.clock.now());
        test(pool, listener, backend).await
    })
}

/// An attempt at a request with such an id.
fn asks(pool: &ConnectionPool, id: &'static str) -> Attempt {
    let now = pool.clock.now();
    let forward = ForwardedRequest {
        method: Method::POST,
        path: hyper::http::uri::PathAndQuery::from_static("/submit/1"),
        call_id: HeaderValue::from_static(id),
        idempotency_key: None,
        body: RequestBody::Buffered(Bytes::new()),
        buffer_permit: None,
        budget: MINUTE,
        deadline: Cell::new(now + MINUTE),
        dedup_window: Some(MINUTE),
        first_byte_at: Cell::new(None),
        finished: Cell::new(false),
        client: Rc::default(),
    };
    Attempt { id: RequestId(1), number: 0, server: SERVER, until: now + MINUTE, forward: Rc::new(forward) }
}

/// Makes an attempt that something has overtaken since it was decided on; returns how it ended and what
/// its backend was sent.
fn overtaken(by: impl FnOnce(&ConnectionPool, &mut Attempt, Backend, Duration)) -> (Outcome, String) {
    with_pool(async |pool, listener, backend| {
        let now = pool.clock.now();
        let mut attempt = asks(&pool, "1");
        by(&pool, &mut attempt, backend, now);
        let (_stop, stopped) = oneshot::channel();
        let served = spawn_local(async move {
            let (mut stream, _) = listener.accept().await.expect("a dial");
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

/// How many connections to the backend are idle in the pool.
fn idle(pool: &ConnectionPool) -> usize {
    pool.places.borrow().get(&SERVER).map_or(0, |place| place.idle.len())
}

#[test]
fn who_waits_for_a_dial_takes_what_falls_free_and_the_late_dial_is_kept() {
    with_pool(async |pool, _listener, _| {
        let first = pool.take(SERVER).await.expect("a connection");
        let freed = first.task.id();
        let mut second = std::pin::pin!(pool.take(SERVER));
        tokio::select! {
            biased;
            _ = &mut second => panic!("the dial has not been up yet"),
            () = std::future::ready(()) => pool.put(first),
        }
        let taken = second.await.expect("a connection");
        assert_eq!(taken.task.id(), freed);
        while idle(&pool) == 0 {
            tokio::task::yield_now().await;
        }
        let late = pool.take(SERVER).await.expect("a connection");
        assert_ne!(late.task.id(), freed);
        assert_eq!(pool.open.get(), 2, "nothing further was dialled");
    });
}

#[test]
fn a_connection_delivered_to_who_has_left_goes_back_to_the_pool() {
    with_pool(async |pool, _listener, _| {
        let first = pool.take(SERVER).await.expect("a connection");
        let freed = first.task.id();
        let mut second = Box::pin(pool.take(SERVER));
        tokio::select! {
            biased;
            _ = &mut second => panic!("the dial has not been up yet"),
            () = std::future::ready(()) => pool.put(first),
        }
        assert_eq!(idle(&pool), 0);
        drop(second);
        assert_eq!(idle(&pool), 1);
        assert_eq!(pool.take(SERVER).await.ok().map(|back| back.task.id()), Some(freed));
    });
}

#[test]
fn a_dial_that_fails_when_its_attempt_has_been_given_up_is_told_to_the_next_one() {
    with_pool(async |pool, listener, _| {
        tokio::time::pause();
        drop(listener);
        for _ in 0..2 {
            let mut given_up = Box::pin(pool.take(SERVER));
            tokio::select! {
                biased;
                _ = &mut given_up => panic!("the dial has not failed yet"),
                () = std::future::ready(()) => drop(given_up),
            }
            while pool.open.get() > 0 {
                tokio::task::yield_now().await;
            }
            tokio::select! {
                biased;
                told = pool.take(SERVER) => assert_eq!(told.err(), Some(Outcome::ConnectFailed)),
                () = std::future::ready(()) => panic!("nobody was told"),
            }
        }
    });
}

#[test]
fn a_probe_reads_a_report_in_the_words_of_the_settings_and_of_the_protocol() {
    for body in ["concurrent=2.5,depth=1", "inflight=2.5,queue=1"] {
        let (outcome, report) = with_pool(async |pool, listener, _| {
            let served = spawn_local(async move {
                let (mut stream, _) = listener.accept().await.expect("a dial");
                let mut asked = [0; 10];
                stream.read_exact(&mut asked).await.expect("a probe");
                let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
                stream.write_all(answer.as_bytes()).await.expect("the pool reads");
                (asked, stream)
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
fn an_attempt_that_nothing_has_overtaken_is_written() {
    assert_eq!(overtaken(|_, _, _, _| {}), (Outcome::Reset, "POST /submit/1 ".to_owned()));
}

#[test]
fn what_was_overtaken_while_it_waited_for_a_connection_is_never_sent() {
    let nothing = || (Outcome::NotSent, String::new());
    let late = overtaken(|_, attempt, _, now| attempt.until = now);
    assert_eq!(late, nothing(), "its time is over");
    let over = overtaken(|_, attempt, _, _| attempt.forward.finished.set(true));
    assert_eq!(over, nothing(), "the request has its answer");
    let forgotten = overtaken(|_, attempt, _, now| attempt.forward.first_byte_at.set(Some(now - 2 * MINUTE)));
    assert_eq!(forgotten, nothing(), "backends have forgotten the first attempt of a keyed request");
    let drained = overtaken(|pool, _, mut backend, now| {
        backend.entry.state = ServerState::Draining;
        pool.update(ListKind::Changes, &[backend], now);
    });
    assert_eq!(drained, nothing(), "the grace after the news of a drain is over");
}

// ---- What nobody asked for ----------------------------------------------------------------------

const MS: Duration = Duration::from_millis(1);

/// Decides on an attempt at once, and makes it when it is polled: how it ended, and its answer.
fn served(pool: &Rc<ConnectionPool>, id: &'static str) -> impl Future<Output = (Outcome, String)> + use<> {
    let (stop, stopped) = oneshot::channel();
    let (messages, inbox) = mpsc::channel(1);
    let attempt = pool.clone().attempt(asks(pool, id), stopped, messages);
    async move {
        let (_stop, _inbox) = (stop, inbox);
        let ended = attempt.await;
        (ended.outcome, String::from_utf8_lossy(&ended.body.unwrap_or_default()).into_owned())
    }
}

fn right(id: &str) -> (Outcome, String) {
    (Outcome::Served, id.to_owned())
}

/// Reads a request: its id, unless the connection ends.
async fn asked(stream: &mut TcpStream) -> Option<String> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.ok()?);
    }
    let head = String::from_utf8(head).expect("a head");
    let id = head.lines().find_map(|line| line.strip_prefix("x-call-id: ")).unwrap_or("probe");
    Some(id.to_owned())
}

fn answer(id: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{id}", id.len())
}

/// Its backend has been seen to write out of turn, so that its connections rest.
fn mark(pool: &ConnectionPool) {
    let quarantine = pool.places.borrow()[&SERVER].quarantine.clone();
    quarantine.expect("it was dialled").stray(Duration::ZERO);
}

/// A backend that answers each request with its id, after so long. Its first answer is followed by something else,
/// if there is anything. Returns how many connections it has had.
fn plays(listener: TcpListener, takes: Duration, then: Option<(Duration, String)>) -> Rc<Cell<usize>> {
    let connections = Rc::new(Cell::new(0));
    let (count, then) = (connections.clone(), Rc::new(RefCell::new(then)));
    spawn_local(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            count.set(count.get() + 1);
            let then = then.clone();
            spawn_local(async move {
                while let Some(id) = asked(&mut stream).await {
                    tokio::time::sleep(takes).await;
                    let _ = stream.write_all(answer(&id).as_bytes()).await; // the pool may have left
                    let then = then.borrow_mut().take();
                    if let Some((late, then)) = then {
                        tokio::time::sleep(late).await;
                        let _ = stream.write_all(then.as_bytes()).await;
                    }
                }
            });
        }
    });
    connections
}

#[test]
fn a_second_answer_that_comes_late_is_not_the_next_ones() {
    for late in [1, 2, 5, 10, 20, 24] {
        let strays = [answer("1"), "HTTP/1.1 200".to_owned(), "\r\n".to_owned()];
        for (i, stray) in strays.into_iter().enumerate() {
            with_pool(async |pool, listener, _| {
                tokio::time::pause();
                let connections = plays(listener, MS, Some((late * MS, stray)));
                let first = pool.take(SERVER).await.expect("a connection");
                pool.put(first);
                mark(&pool);
                // A probe is answered like any other request.
                match i {
                    0 => assert_eq!(served(&pool, "1").await, right("1")),
                    _ => assert_eq!(pool.clone().probe(SERVER).await.0, Outcome::Served),
                }
                assert_eq!(served(&pool, "2").await, right("2"), "{late} ms, case {i}");
                assert_eq!(served(&pool, "3").await, right("3"), "{late} ms, case {i}");
                assert_eq!(connections.get(), 2, "the connection is dropped: {late} ms, case {i}");
            });
        }
    }
}

/// What the kernel holds already, and the runtime has not looked for yet, is found before a request is written over it.
#[test]
fn what_has_come_unnoticed_costs_no_request() {
    for ends in [false, true] {
        with_pool(async |pool, listener, _| {
            tokio::time::pause();
            let (first, (mut stream, _)) =
                tokio::join!(pool.take(SERVER), async { listener.accept().await.expect("a dial") });
            pool.put(first.expect("a connection"));
            let (one, ()) = tokio::join!(served(&pool, "1"), async {
                asked(&mut stream).await.expect("a request");
                stream.write_all(answer("1").as_bytes()).await.expect("the pool reads");
            });
            assert_eq!(one, right("1"));
            let connections = plays(listener, MS, None);
            tokio::time::sleep(2 * REST).await;
            // From here to the second request nothing waits.
            let kept = match ends {
                true => {
                    drop(stream);
                    None
                }
                false => {
                    let stray = answer("1");
                    assert_eq!(stream.try_write(stray.as_bytes()).ok(), Some(stray.len()));
                    Some(stream)
                }
            };
            assert_eq!(served(&pool, "2").await, right("2"), "ends: {ends}");
            assert_eq!(connections.get(), 1);
            drop(kept);
        });
    }
}

#[test]
fn a_backend_that_was_late_by_more_has_its_connections_rest_for_longer() {
    with_pool(async |pool, listener, _| {
        tokio::time::pause();
        let connections = plays(listener, MS, Some((60 * MS, answer("1"))));
        assert_eq!(served(&pool, "1").await, right("1"));
        tokio::time::sleep(100 * MS).await;
        let quarantine = pool.places.borrow()[&SERVER].quarantine.clone().expect("it was dialled");
        assert!((120 * MS..130 * MS).contains(&quarantine.rest()), "{:?}", quarantine.rest());
        assert_eq!(served(&pool, "2").await, right("2"));
        assert_eq!(served(&pool, "3").await, right("3"));
        assert_eq!(connections.get(), 3, "the second one rests for longer than a dial is worth");
        tokio::time::sleep(130 * MS).await;
        assert_eq!(served(&pool, "4").await, right("4"));
        assert_eq!(connections.get(), 3);
    });
}

#[test]
fn few_requests_wait_for_the_rest_and_many_dial() {
    const IDS: [&str; 10] = ["0", "1", "2", "3", "4", "5", "6", "7", "8", "9"];
    with_pool(async |pool, listener, _| {
        tokio::time::pause();
        let connections = plays(listener, MS, None);
        for (id, expected) in IDS.into_iter().zip([1, 1, 1, 1, 1, 2]) {
            assert_eq!(served(&pool, id).await, right(id));
            assert_eq!(connections.get(), expected, "{id}");
            mark(&pool);
        }
    });
    // One connection is all that there is: it is waited for, and never closed for another.
    let config = CONFIG.replacen('{', r#"{"limits": {"sockets": 52},"#, 1);
    with_pool_of(&config, async |pool, listener, _| {
        tokio::time::pause();
        let connections = plays(listener, MS, None);
        for id in IDS {
            assert_eq!(served(&pool, id).await, right(id));
            mark(&pool);
        }
        assert_eq!(connections.get(), 1);
    });
    // Who leaves while a connection rests leaves it to others.
    with_pool(async |pool, listener, _| {
        tokio::time::pause();
        let _connections = plays(listener, MS, None);
        assert_eq!(served(&pool, "1").await, right("1"));
        mark(&pool);
        tokio::select! {
            biased;
            _ = pool.take(SERVER) => panic!("it has not rested"),
            () = std::future::ready(()) => {}
        }
        assert_eq!(idle(&pool), 1);
    });
}

/// The danger: each request on a calm day waits for the connection before it, or dials.
#[test]
fn connections_of_a_backend_that_never_wrote_out_of_turn_need_no_rest() {
    with_pool(async |pool, listener, _| {
        tokio::time::pause();
        let connections = plays(listener, MS, None);
        let since = pool.clock.now();
        for id in ["1", "2", "3", "4"] {
            assert_eq!(served(&pool, id).await, right(id));
        }
        assert!(pool.clock.now() - since < REST);
        assert_eq!(connections.get(), 1);
    });
}

// ---- Two events that meet on a connection ---------------------------------------------------------

/// What a backend writes on a new connection before it was asked is nobody's answer.
#[test]
fn what_has_come_unnoticed_on_a_new_connection_is_not_its_first_answer() {
    with_pool(async |pool, listener, _| {
        tokio::time::pause();
        let (dialled, (stream, _)) =
            tokio::join!(pool.take(SERVER), async { listener.accept().await.expect("a dial") });
        pool.put(dialled.expect("a connection"));
        let connections = plays(listener, MS, None);
        // From here to the request nothing waits.
        let stray = answer("1");
        assert_eq!(stream.try_write(stray.as_bytes()).ok(), Some(stray.len()));
        assert_eq!(served(&pool, "2").await, right("2"));
        assert_eq!(connections.get(), 1, "on a connection of its own");
    });
}

/// The backend starts anew, perhaps at another address.
fn restart(pool: &ConnectionPool, backend: &Backend) {
    let mut backend = backend.clone();
    backend.entry.started = Some(pool.clock.now());
    pool.update(ListKind::Changes, &[backend], pool.clock.now());
}

#[test]
fn an_attempt_is_for_the_run_of_its_backend_that_it_was_decided_on() {
    // The news comes first: the attempt is for the new run.
    with_pool(async |pool, listener, backend| {
        let connections = plays(listener, Duration::ZERO, None);
        restart(&pool, &backend);
        assert_eq!(served(&pool, "1").await, right("1"));
        assert_eq!(connections.get(), 1);
    });
    // The attempt was decided on first, and has not begun.
    with_pool(async |pool, listener, backend| {
        let connections = plays(listener, Duration::ZERO, None);
        assert_eq!(served(&pool, "1").await, right("1"));
        let attempt = served(&pool, "2");
        restart(&pool, &backend);
        assert_eq!(attempt.await, (Outcome::NotSent, String::new()));
        assert_eq!(served(&pool, "3").await, right("3"));
        assert_eq!(connections.get(), 2);
    });
    // It waits for its dial, which comes up after the news.
    with_pool(async |pool, listener, backend| {
        let mut attempt = std::pin::pin!(served(&pool, "1"));
        tokio::select! {
            biased;
            _ = &mut attempt => panic!("the dial has not been up yet"),
            () = std::future::ready(()) => restart(&pool, &backend),
        }
        let _connections = plays(listener, Duration::ZERO, None);
        assert_eq!(attempt.await, (Outcome::NotSent, String::new()));
    });
    // A drain is no new run: within the grace it is sent.
    with_pool_of(
        &CONFIG.replacen("\"DrainGrace\": 0", "\"DrainGrace\": 2000", 1),
        async |pool, listener, mut backend| {
            let _connections = plays(listener, Duration::ZERO, None);
            let attempt = served(&pool, "1");
            backend.entry.state = ServerState::Draining;
            pool.update(ListKind::Changes, &[backend], pool.clock.now());
            assert_eq!(attempt.await, right("1"));
        },
    );
}

/// A request body of this length that a client has begun to send, and the client's end.
async fn upload(length: usize, begun: usize) -> (crate::body::Upload, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let mut client =
        TcpStream::connect(listener.local_addr().expect("its address")).await.expect("a connection");
    let (stream, _) = listener.accept().await.expect("the client");
    let (bodies, mut came) = mpsc::channel(1);
    spawn_local(async move {
        let service = hyper::service::service_fn(move |request: Request<Incoming>| {
            let bodies = bodies.clone();
            async move {
                let _ = bodies.send(request.into_body()).await;
                std::future::pending::<Result<Response<Full<Bytes>>, std::convert::Infallible>>().await
            }
        });
        let _ =
            hyper::server::conn::http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
    });
    let head = format!("POST /submit/1 HTTP/1.1\r\nHost: node\r\nContent-Length: {length}\r\n\r\n");
    client.write_all(head.as_bytes()).await.expect("it is read");
    client.write_all(&vec![b'x'; begun]).await.expect("it is read");
    let body = came.recv().await.expect("a request");
    let patience = crate::body::IdleBudget::until(tokio::time::Instant::now() + MINUTE);
    let (upload, _unread) = crate::body::Upload::new((Bytes::new(), None), body, patience, Box::new(|| {}));
    (upload, client)
}

/// A short answer may come while the request is still being sent. Its connection is of use for another request only once
/// all of the first has been written.
#[test]
fn a_connection_on_which_half_a_request_was_written_carries_no_other() {
    const LENGTH: usize = 2 * MAX_BUFFERED_BYTES;
    for begun in [100, LENGTH] {
        let whole = begun == LENGTH;
        with_pool(async |pool, listener, _| {
            let (body, _client) = upload(LENGTH, begun).await;
            let mut attempt = asks(&pool, "1");
            let forward = Rc::get_mut(&mut attempt.forward).expect("nobody else has it");
            forward.body = RequestBody::streamed(body);
            let (_stop, stopped) = oneshot::channel();
            let (messages, _inbox) = mpsc::channel(1);
            let backend = async {
                let (mut stream, _) = listener.accept().await.expect("a dial");
                asked(&mut stream).await.expect("a request");
                let mut body = vec![0; begun];
                stream.read_exact(&mut body).await.expect("what has been sent of the body");
                stream.write_all(answer("1").as_bytes()).await.expect("the pool reads");
                stream
            };
            let (ended, _stream) = tokio::join!(pool.clone().attempt(attempt, stopped, messages), backend);
            assert_eq!(ended.outcome, Outcome::Served);
            assert_eq!(idle(&pool), usize::from(whole), "{begun} of {LENGTH} bytes were written");
            let connections = plays(listener, Duration::ZERO, None);
            if !whole {
                assert_eq!(served(&pool, "2").await, right("2"));
                assert_eq!(connections.get(), 1);
            }
        });
    }
}
