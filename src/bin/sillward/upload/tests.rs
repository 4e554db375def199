//! Streamed request bodies alone, from clients on loopback sockets.

use super::*;
use crate::client::Client;
use crate::client_stream::ClientStream;
use crate::liveness::Liveness;
use crate::memory::MemoryBudget;
use crate::read_chunk::READ_BUFFER_BYTES;
use http_body_util::{BodyExt, Full};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use std::cell::RefCell;
use std::convert::Infallible;
use std::future::{pending, poll_fn};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::{LocalSet, spawn_local};

const MINUTE: Duration = Duration::from_secs(60);

/// A request body as the node gets it from a client.
pub struct ClientBody {
    pub body: Incoming,
    /// The client's end of its connection.
    pub client: TcpStream,
    pub liveness: Liveness,
}

/// A request body with this framing header, of which a client has sent `sent`.
pub async fn incoming(framing: &str, sent: &[u8]) -> ClientBody {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let mut client =
        TcpStream::connect(listener.local_addr().expect("its address")).await.expect("a connection");
    let stream = Rc::new(RefCell::new(listener.accept().await.expect("the client").0));
    let liveness = Liveness::of(&stream);
    let (bodies, mut received) = mpsc::channel(1);
    let connection = Rc::new(Client::new(liveness.clone()));
    spawn_local(async move {
        let service = service_fn(move |request: Request<Incoming>| {
            let bodies = bodies.clone();
            async move {
                let _ = bodies.send(request.into_body()).await;
                pending::<Result<Response<Full<Bytes>>, Infallible>>().await
            }
        });
        let stream = TokioIo::new(ClientStream::new(stream, connection, MemoryBudget::new(usize::MAX)));
        let mut server = http1::Builder::new();
        let _ = server.max_buf_size(READ_BUFFER_BYTES).serve_connection(stream, service).await;
    });
    let head = format!("POST /submit/1 HTTP/1.1\r\nHost: node\r\n{framing}\r\n\r\n");
    client.write_all(head.as_bytes()).await.expect("it is read");
    client.write_all(sent).await.expect("it is read");
    ClientBody { body: received.recv().await.expect("a request"), client, liveness }
}

/// A streamed body of `length` bytes without a prefix, of which a client has sent the first `sent`; with the
/// client's connection.
pub async fn upload(length: usize, sent: usize) -> (Upload, TcpStream) {
    let framing = format!("Content-Length: {length}");
    let ClientBody { body, client, .. } = incoming(&framing, &vec![b'x'; sent]).await;
    (Upload::new([], body, idle_budget(), Box::new(|_| {})).0, client)
}

/// More than a test takes.
pub fn idle_budget() -> IdleBudget {
    IdleBudget::until(Instant::now() + MINUTE)
}

/// The length of the next chunk; `None` at the end.
pub async fn next_chunk(upload: &mut Upload) -> Option<usize> {
    let frame = poll_fn(|cx| Pin::new(&mut *upload).poll_frame(cx)).await?;
    Some(frame.expect("no error").into_data().expect("data").len())
}

/// Guards against a body that ends in the chunk that made it too long to buffer: an attempt that has written
/// all of it counted as one that had not, because nothing polls a body of known length for its end.
#[test]
fn a_body_is_complete_once_its_last_byte_is_taken_wherever_streaming_began() {
    const LENGTH: usize = 70_000;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        for prefix_length in [1, LENGTH / 2, LENGTH] {
            let framing = format!("Content-Length: {LENGTH}");
            let ClientBody { mut body, client: _client, .. } = incoming(&framing, &[b'x'; LENGTH]).await;
            let mut prefix = Vec::new();
            while prefix.len() < prefix_length {
                let frame = body.frame().await.expect("more").expect("no error");
                prefix.extend_from_slice(&frame.into_data().expect("data"));
            }
            let received = Rc::new(Cell::new(0));
            let counter = received.clone();
            let on_received = Box::new(move |_| counter.set(counter.get() + 1));
            let (mut upload, _unread) = Upload::new([prefix.into()], body, idle_budget(), on_received);
            assert!(!upload.progress().is_complete(), "nothing has been taken");
            let mut taken = 0;
            while taken < LENGTH {
                assert!(!upload.progress().is_complete(), "{taken} of {LENGTH} bytes were taken");
                taken += next_chunk(&mut upload).await.expect("more");
            }
            assert!(upload.progress().is_complete(), "{prefix_length} bytes were buffered");
            assert_eq!(received.get(), 1, "{prefix_length} bytes were buffered");
            upload.progress().record_received(Instant::now());
            assert_eq!(received.get(), 1, "it is told once");
        }
    });
}

/// Guards against an attempt that waits for ever because its backend takes no more of a body.
#[test]
fn a_body_that_is_not_taken_for_long_is_stalled_unless_its_client_keeps_it_waiting() {
    const LENGTH: usize = 500_000;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        for (sent, taken) in [(LENGTH, 0), (LENGTH, 1), (LENGTH, LENGTH), (1, 1)] {
            let (mut upload, _client) = upload(LENGTH, sent).await;
            let mut left = taken;
            while left > 0 {
                left = left.saturating_sub(next_chunk(&mut upload).await.expect("more"));
            }
            // An attempt that has taken all that the client sent asks for more.
            if sent < LENGTH {
                let asked = poll_fn(|cx| Poll::Ready(Pin::new(&mut upload).poll_frame(cx))).await;
                assert!(asked.is_pending());
            }
            tokio::time::pause();
            let just_before = STALL_TIMEOUT - Duration::from_millis(1);
            assert!(tokio::time::timeout(just_before, upload.progress().stalled()).await.is_err());
            let stalled = tokio::time::timeout(STALL_TIMEOUT, upload.progress().stalled()).await.is_ok();
            assert_eq!(stalled, (1..sent).contains(&taken), "{taken} bytes of {sent} were taken");
            tokio::time::resume();
        }
    });
}
