//! Tests of the node's request table, on a paused clock that the tests advance, against listeners that act as
//! backends.

use super::*;
use crate::body::{BodyChunk, MAX_BUFFERED_BYTES};
use crate::memory::MemoryBudget;
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

/// Runs a test with a node whose server list is empty, on a paused clock.
fn with_node(test: impl AsyncFnOnce(Node)) {
    with_inbox(CONFIG, async |node, _inbox| test(node).await);
}

/// The same with the node's inbox: the test decides when the node handles a message.
fn with_inbox(config: &str, test: impl AsyncFnOnce(Node, mpsc::Receiver<Message>)) {
    let mut runtime = tokio::runtime::Builder::new_current_thread();
    let runtime = runtime.enable_all().start_paused(true).build().expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        let (clock, config) = (Clock::start(), Config::parse(config).expect("a valid configuration"));
        let ((messages, inbox), (commands, _commands)) = (mpsc::channel(16), mpsc::channel(16));
        let pool = ConnectionPool::start(
            clock,
            &config,
            LiveSettings::new(config.site.clone()),
            Rc::default(),
            MemoryBudget::new(config.buffer_bytes),
        );
        test(Node::new(clock, &config, pool, messages, commands, Rc::default()), inbox).await
    });
}

fn request(node: &mut Node, number: u64) -> oneshot::Receiver<Answer> {
    request_with(node, number, false)
}

/// A request, whose body may still be arriving.
fn request_with(node: &mut Node, number: u64, body_streaming: bool) -> oneshot::Receiver<Answer> {
    let (at, remaining) = (node.clock.now(), Duration::from_secs(1));
    let new = NewRequest { id: RequestId(number), remaining, body_streaming, ..NewRequest::default() };
    let forward = ForwardedRequest {
        method: Method::GET,
        path: PathAndQuery::from_static("/read/1"),
        call_id: HeaderValue::from_static("1"),
        idempotency_key: None,
        body: RequestBody::Buffered(Bytes::new()),
        budget: remaining,
        deadline: Cell::new(at + remaining),
        dedup_window: None,
        first_byte_at: Cell::new(None),
        finished: Cell::new(false),
        client: Rc::default(),
    };
    let (reply, answer) = oneshot::channel();
    node.handle_message(Message::Request(Box::new(AcceptedRequest {
        request: new,
        received_at: at,
        forward,
        reply,
    })));
    answer
}

#[test]
fn a_request_that_a_timer_refuses_is_removed() {
    with_node(async |mut node| {
        let mut answer = request(&mut node, 1);
        assert_eq!(node.requests.len(), 1, "it waits until a backend is listed");
        for _ in 0..1000 {
            tokio::time::advance(node.site.settings.timer_resolution).await;
            node.fire_timers();
        }
        assert!(matches!(answer.try_recv(), Ok(Answer::Refused(_))));
        assert_eq!(node.requests.len(), 0);
    });
}

/// Guards against a body that is accepted in the moment in which a shutdown lets go of those that still arrive.
#[test]
fn a_request_whose_body_still_arrives_is_refused_after_the_body_deadline() {
    with_node(async |mut node| {
        let _listeners = list_backends(&mut node, 1).await;
        node.handle_message(Message::BodyDeadline);
        let mut refused = request_with(&mut node, 1, true);
        assert!(matches!(refused.try_recv(), Ok(Answer::Refused(_))));
        assert_eq!(node.requests.len(), 0);
        let mut whole = request(&mut node, 2);
        assert!(matches!(whole.try_recv(), Err(oneshot::error::TryRecvError::Empty)), "it is sent on");
        assert_eq!(node.requests.len(), 1);
    });
}

// ---- Races between the start of a response and the end of its attempt -----------------------------

const LENGTH: usize = 2 * MAX_BUFFERED_BYTES;
/// How long a test waits for an event before it fails, on the machine's clock.
const TEST_TIMEOUT: Duration = Duration::from_secs(30);

/// Polls until there is a value, without advancing the paused clock.
async fn wait_for<T>(mut poll: impl FnMut() -> Option<T>) -> T {
    let end = std::time::Instant::now() + TEST_TIMEOUT;
    loop {
        if let Some(value) = poll() {
            return value;
        }
        assert!(std::time::Instant::now() < end, "timed out");
        yield_now().await;
    }
}

/// The next message to the node.
async fn next_message(inbox: &mut mpsc::Receiver<Message>) -> Message {
    wait_for(|| inbox.try_recv().ok()).await
}

/// Starts this many backends and puts them on the node's list.
async fn list_backends(node: &mut Node, count: u64) -> Vec<TcpListener> {
    let (mut listeners, mut backends) = (Vec::new(), Vec::new());
    for id in 1..=count {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let entry = ServerEntry { id: ServerId(id), state: ServerState::Ready, ..ServerEntry::default() };
        backends.push(Backend { entry, address: listener.local_addr().expect("its address") });
        listeners.push(listener);
    }
    node.handle_message(Message::List(ListUpdate { kind: ListKind::Full, backends }));
    listeners
}

/// Accepts the next connection at any of the backends and reads the head of a request.
async fn accept_request(listeners: &[TcpListener]) -> TcpStream {
    let accepted = async {
        let mut accepts: Vec<_> = listeners.iter().map(|listener| Box::pin(listener.accept())).collect();
        std::future::poll_fn(move |cx| {
            let mut ready = accepts.iter_mut().filter_map(|accept| match accept.as_mut().poll(cx) {
                std::task::Poll::Ready(accepted) => Some(accepted.expect("a connection").0),
                std::task::Poll::Pending => None,
            });
            ready.next().map_or(std::task::Poll::Pending, std::task::Poll::Ready)
        })
        .await
    };
    let mut stream = without_advance(accepted).await;
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(without_advance(stream.read_u8()).await.expect("a request"));
    }
    stream
}

/// Waits for a future without letting the paused clock advance.
async fn without_advance<T>(future: impl Future<Output = T>) -> T {
    let mut future = std::pin::pin!(future);
    let end = std::time::Instant::now() + TEST_TIMEOUT;
    std::future::poll_fn(|cx| {
        assert!(std::time::Instant::now() < end, "timed out");
        cx.waker().wake_by_ref(); // the runtime is never idle, so its clock does not advance
        future.as_mut().poll(cx)
    })
    .await
}

/// Sends the head and the first bytes of a response that is too long to be buffered.
async fn start_response(stream: &mut TcpStream) {
    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {LENGTH}\r\n\r\nbegun");
    without_advance(stream.write_all(head.as_bytes())).await.expect("the node reads");
}

/// Sends the rest of the response while its chunks are received. Whether the client got all of it.
async fn finish_response(stream: &mut TcpStream, answer: &mut oneshot::Receiver<Answer>) -> bool {
    let Ok(Answer::Streamed(Some(length), mut chunks)) = answer.try_recv() else { return false };
    let rest = vec![0; LENGTH - "begun".len()];
    let receive = async {
        let mut received = 0;
        while received < length {
            match chunks.recv().await {
                Some(BodyChunk::Data(data)) => received += data.len() as u64,
                Some(BodyChunk::End) | None => break,
            }
        }
        received
    };
    let (_, received) = without_advance(async { tokio::join!(stream.write_all(&rest), receive) }).await;
    (length, received) == (LENGTH as u64, LENGTH as u64)
}

/// Stops the attempt as its timer does.
fn time_out(node: &mut Node) {
    node.stop_attempt(RequestId(1), 0, StopReason::TimedOut);
}

/// Lets the tasks run, so that stopped attempts end.
async fn run_tasks() {
    for _ in 0..100 {
        yield_now().await;
    }
}

/// Handles messages until the node has removed all requests; nothing may follow.
async fn drain_messages(node: &mut Node, inbox: &mut mpsc::Receiver<Message>) {
    while !node.requests.is_empty() {
        let message = next_message(inbox).await;
        node.handle_message(message);
    }
    assert!(matches!(inbox.try_recv(), Err(TryRecvError::Empty)));
}

#[test]
fn a_response_that_starts_as_its_attempt_times_out_is_forwarded_completely() {
    for started_first in [false, true] {
        with_inbox(CONFIG, async |mut node, mut inbox| {
            let listeners = list_backends(&mut node, 1).await;
            let mut answer = request(&mut node, 1);
            let mut stream = accept_request(&listeners).await;
            start_response(&mut stream).await;
            let started = next_message(&mut inbox).await;
            assert!(matches!(started, Message::ResponseStarted(_)));
            if started_first {
                node.handle_message(started);
                time_out(&mut node);
                run_tasks().await;
            } else {
                time_out(&mut node);
                run_tasks().await;
                node.handle_message(started);
            }
            assert!(finish_response(&mut stream, &mut answer).await, "started first: {started_first}");
            drain_messages(&mut node, &mut inbox).await;
        });
    }
}

#[test]
fn an_attempt_that_times_out_before_its_response_starts_is_stopped() {
    with_inbox(CONFIG, async |mut node, mut inbox| {
        let listeners = list_backends(&mut node, 1).await;
        let _answer = request(&mut node, 1);
        let mut stream = accept_request(&listeners).await;
        time_out(&mut node);
        let ended = next_message(&mut inbox).await;
        assert!(matches!(&ended, Message::AttemptEnded(result) if result.outcome == Outcome::TimedOut));
        assert_eq!(without_advance(stream.read(&mut [0])).await.unwrap_or(0), 0, "its connection is closed");
    });
}

/// The other events that stop an attempt: the client disconnects, its deadline passes, or the shutdown gives
/// up request bodies that are incomplete.
#[test]
fn a_response_that_starts_as_its_request_ends_leaves_nothing_behind() {
    for way in ["client gone", "deadline", "body deadline"] {
        for started_first in [false, true] {
            with_inbox(CONFIG, async |mut node, mut inbox| {
                let listeners = list_backends(&mut node, 1).await;
                let mut answer = request(&mut node, 1);
                let mut stream = accept_request(&listeners).await;
                start_response(&mut stream).await;
                let mut started = Some(next_message(&mut inbox).await);
                if started_first {
                    node.handle_message(started.take().expect("the start of a response"));
                }
                match way {
                    "client gone" => node.handle_message(Message::ClientGone(RequestId(1))),
                    "deadline" => {
                        tokio::time::advance(Duration::from_secs(1)).await;
                        node.on_deadline(RequestId(1));
                    }
                    _ => node.handle_message(Message::BodyDeadline),
                }
                run_tasks().await;
                if let Some(started) = started {
                    node.handle_message(started);
                }
                // Unless the client has another answer, the response is the client's.
                if started_first || way == "body deadline" {
                    let served = finish_response(&mut stream, &mut answer).await;
                    assert!(served, "{way}, started first: {started_first}");
                } else {
                    let other = answer.try_recv();
                    assert!(!matches!(other, Ok(Answer::Streamed(..))), "{way}: {other:?}");
                }
                drain_messages(&mut node, &mut inbox).await;
            });
        }
    }
}
