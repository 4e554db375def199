//! The node's table of requests, on a clock that the test moves, before listeners that play backends.

use super::*;
use crate::body::{BodyChunk, MAX_BUFFERED_BYTES};
use crate::messages::RequestBody;
use bytes::Bytes;
use hillpick::control::config::LiveSettings;
use hillpick::control::updates::{Backend, ListUpdate};
use hyper::Method;
use hyper::header::HeaderValue;
use hyper::http::uri::PathAndQuery;
use std::cell::Cell;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::error::TryRecvError;
use tokio::task::{LocalSet, yield_now};

const CONFIG: &str = r#"{"listen": "127.0.0.1:0", "discovery": "127.0.0.1:1",
    "settings": {"Classes": [{"Name": "read", "Target": 400, "GiveUp": 1000, "Idempotency": "free"}],
    "Permissions": {"Cancel": true, "Probes": true}}}"#;

/// A node whose list is empty, on a clock that the test moves.
fn with_node(test: impl AsyncFnOnce(Node)) {
    with_inbox(CONFIG, async |node, _inbox| test(node).await);
}

/// With what its attempts tell it, which the test takes to it.
fn with_inbox(config: &str, test: impl AsyncFnOnce(Node, mpsc::Receiver<Message>)) {
    let mut runtime = tokio::runtime::Builder::new_current_thread();
    let runtime = runtime.enable_all().start_paused(true).build().expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        let (clock, config) = (Clock::start(), Config::parse(config).expect("good"));
        let ((messages, inbox), (orders, _orders)) = (mpsc::channel(16), mpsc::channel(16));
        let pool =
            ConnectionPool::start(clock, &config, LiveSettings::new(config.site.clone()), Rc::default());
        test(Node::new(clock, &config, pool, messages, orders), inbox).await
    });
}

fn request(node: &mut Node, number: u64) -> oneshot::Receiver<Answer> {
    let (at, remaining) = (node.clock.now(), Duration::from_secs(1));
    let new = NewRequest { id: RequestId(number), remaining, ..NewRequest::default() };
    let forward = ForwardedRequest {
        method: Method::GET,
        path: PathAndQuery::from_static("/read/1"),
        call_id: HeaderValue::from_static("1"),
        idempotency_key: None,
        body: RequestBody::Buffered(Bytes::new()),
        buffer_permit: None,
        budget: remaining,
        deadline: Cell::new(at + remaining),
        dedup_window: None,
        first_byte_at: Cell::new(None),
        finished: Cell::new(false),
        client: Rc::default(),
    };
    let (reply, answer) = oneshot::channel();
    node.take(Message::Request(Box::new(AcceptedRequest { request: new, received_at: at, forward, reply })));
    answer
}

#[test]
fn a_request_that_a_timer_refuses_is_forgotten() {
    with_node(async |mut node| {
        let mut answer = request(&mut node, 1);
        assert_eq!(node.held.len(), 1, "it waits for a backend to be listed");
        for _ in 0..1000 {
            tokio::time::advance(node.site.settings.timer_resolution).await;
            node.fire();
        }
        assert!(matches!(answer.try_recv(), Ok(Answer::Refused(_))));
        assert_eq!(node.held.len(), 0);
    });
}

// ---- The start of an answer, and what would stop its attempt --------------------------------------

const LENGTH: usize = 2 * MAX_BUFFERED_BYTES;
/// Ends a test that waits in vain, on the machine's clock.
const PATIENCE: Duration = Duration::from_secs(30);

/// Waits without moving the clock: what loopback brings, it brings at the same moment.
async fn until<T>(mut look: impl FnMut() -> Option<T>) -> T {
    let end = std::time::Instant::now() + PATIENCE;
    loop {
        if let Some(seen) = look() {
            return seen;
        }
        assert!(std::time::Instant::now() < end, "waited in vain");
        yield_now().await;
    }
}

async fn told(inbox: &mut mpsc::Receiver<Message>) -> Message {
    until(|| inbox.try_recv().ok()).await
}

/// Puts so many listeners on the node's list.
async fn list(node: &mut Node, count: u64) -> Vec<TcpListener> {
    let (mut listeners, mut backends) = (Vec::new(), Vec::new());
    for id in 1..=count {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let entry = ServerEntry { id: ServerId(id), state: ServerState::Ready, ..ServerEntry::default() };
        backends.push(Backend { entry, address: listener.local_addr().expect("its address") });
        listeners.push(listener);
    }
    node.take(Message::List(ListUpdate { kind: ListKind::Full, backends }));
    listeners
}

/// Waits for a request at any of them.
async fn asked(listeners: &[TcpListener]) -> TcpStream {
    let polled = async {
        let mut accepts: Vec<_> = listeners.iter().map(|listener| Box::pin(listener.accept())).collect();
        std::future::poll_fn(move |cx| {
            let mut ready = accepts.iter_mut().filter_map(|accept| match accept.as_mut().poll(cx) {
                std::task::Poll::Ready(accepted) => Some(accepted.expect("a dial").0),
                std::task::Poll::Pending => None,
            });
            ready.next().map_or(std::task::Poll::Pending, std::task::Poll::Ready)
        })
        .await
    };
    let mut stream = held(polled).await;
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(held(stream.read_u8()).await.expect("a request"));
    }
    stream
}

/// Waits for this without letting the clock move.
async fn held<T>(future: impl Future<Output = T>) -> T {
    let mut future = std::pin::pin!(future);
    let end = std::time::Instant::now() + PATIENCE;
    std::future::poll_fn(|cx| {
        assert!(std::time::Instant::now() < end, "waited in vain");
        cx.waker().wake_by_ref(); // the runtime is never idle, so its clock stands
        future.as_mut().poll(cx)
    })
    .await
}

async fn begin(stream: &mut TcpStream) {
    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {LENGTH}\r\n\r\nbegun");
    held(stream.write_all(head.as_bytes())).await.expect("the node reads");
}

/// Writes the rest while the pieces are taken: how many bytes there were, and whether nothing was missing.
async fn whole(stream: &mut TcpStream, answer: &mut oneshot::Receiver<Answer>) -> bool {
    let Ok(Answer::Streamed(Some(length), mut pieces)) = answer.try_recv() else { return false };
    let rest = vec![0; LENGTH - "begun".len()];
    let taken = async {
        let mut taken = 0;
        while taken < length {
            match pieces.recv().await {
                Some(BodyChunk::Data(data)) => taken += data.len() as u64,
                Some(BodyChunk::End) | None => break,
            }
        }
        taken
    };
    let (_, taken) = held(async { tokio::join!(stream.write_all(&rest), taken) }).await;
    (length, taken) == (LENGTH as u64, LENGTH as u64)
}

/// What the timer of an attempt does.
fn time_out(node: &mut Node) {
    node.stop(RequestId(1), 0, Stop::TimedOut);
}

/// Lets whatever has been told to stop do so.
async fn turns() {
    for _ in 0..100 {
        yield_now().await;
    }
}

/// All that the node still hears; then it holds nothing.
async fn forgets(node: &mut Node, inbox: &mut mpsc::Receiver<Message>) {
    while !node.held.is_empty() {
        let message = told(inbox).await;
        node.take(message);
    }
    assert!(matches!(inbox.try_recv(), Err(TryRecvError::Empty)));
}

#[test]
fn an_answer_whose_start_is_on_its_way_when_its_time_ends_is_passed_on_whole() {
    for started_first in [false, true] {
        with_inbox(CONFIG, async |mut node, mut inbox| {
            let listeners = list(&mut node, 1).await;
            let mut answer = request(&mut node, 1);
            let mut stream = asked(&listeners).await;
            begin(&mut stream).await;
            let started = told(&mut inbox).await;
            assert!(matches!(started, Message::Started(_)));
            if started_first {
                node.take(started);
                time_out(&mut node);
                turns().await;
            } else {
                time_out(&mut node);
                turns().await;
                node.take(started);
            }
            assert!(whole(&mut stream, &mut answer).await, "started first: {started_first}");
            forgets(&mut node, &mut inbox).await;
        });
    }
}

#[test]
fn an_attempt_whose_time_ends_before_its_answer_starts_is_stopped() {
    with_inbox(CONFIG, async |mut node, mut inbox| {
        let listeners = list(&mut node, 1).await;
        let _answer = request(&mut node, 1);
        let mut stream = asked(&listeners).await;
        time_out(&mut node);
        let ended = told(&mut inbox).await;
        assert!(matches!(&ended, Message::Attempt(ended) if ended.outcome == Outcome::TimedOut));
        assert_eq!(held(stream.read(&mut [0])).await.unwrap_or(0), 0, "its connection is closed");
    });
}

/// The other ways to stop an attempt: the request's own end, and the end of the process's patience with long ones.
#[test]
fn an_answer_that_starts_as_its_request_ends_costs_nothing_more() {
    for way in ["the client leaves", "the deadline", "the last byte"] {
        for started_first in [false, true] {
            with_inbox(CONFIG, async |mut node, mut inbox| {
                let listeners = list(&mut node, 1).await;
                let mut answer = request(&mut node, 1);
                let mut stream = asked(&listeners).await;
                begin(&mut stream).await;
                let mut started = Some(told(&mut inbox).await);
                if started_first {
                    node.take(started.take().expect("it came"));
                }
                match way {
                    "the client leaves" => node.take(Message::ClientGone(RequestId(1))),
                    "the deadline" => {
                        tokio::time::advance(Duration::from_secs(1)).await;
                        node.overdue(RequestId(1));
                    }
                    _ => node.take(Message::BodyDeadline),
                }
                turns().await;
                if let Some(started) = started {
                    node.take(started);
                }
                // Where it has no other answer it is the client's.
                if started_first || way == "the last byte" {
                    let served = whole(&mut stream, &mut answer).await;
                    assert!(served, "{way}, started first: {started_first}");
                } else {
                    let other = answer.try_recv();
                    assert!(!matches!(other, Ok(Answer::Streamed(..))), "{way}: {other:?}");
                }
                forgets(&mut node, &mut inbox).await;
            });
        }
    }
}
