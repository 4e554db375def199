//! Streamed bodies whose last bytes nothing reads, from clients on loopback sockets.

use super::*;
use crate::liveness::tests::{Disconnect, disconnect};
use crate::messages::Message;
use crate::upload::Upload;
use crate::upload::tests::{ClientBody, idle_budget, incoming, next_chunk};
use hillpick::RequestId;
use std::cell::Cell;
use std::rc::Rc;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::timeout;

/// Far longer than the watch takes to notice something.
const LONG: Duration = Duration::from_secs(10);
/// How long the clients wait.
const BUDGET: Duration = Duration::from_secs(60);
/// Longer than a body may take to count as whole once it has stopped growing.
const NOTICED: Duration = Duration::from_millis(300);

/// A streamed body that is watched, and that only the test reads.
struct WatchedBody {
    upload: Upload,
    client: TcpStream,
    received_at: Rc<Cell<Option<Instant>>>,
    messages: mpsc::Receiver<Message>,
}

impl WatchedBody {
    /// Watches a body with this framing header, of which nothing has been sent.
    async fn start(framing: &str) -> Self {
        let ClientBody { body, client, liveness } = incoming(framing, b"").await;
        let received_at = Rc::<Cell<Option<Instant>>>::default();
        let told = received_at.clone();
        let on_received = Box::new(move |at| told.set(Some(at)));
        let (upload, _unread) = Upload::new([], body, idle_budget(), on_received);
        let (sender, messages) = mpsc::channel(1);
        let queue_slot = sender.reserve_owned().await.expect("a slot");
        let presence = ClientPresence::new(RequestId(1), liveness, queue_slot);
        let progress = upload.progress().clone();
        spawn_local(async move { watch(&progress, &presence, BUDGET).await });
        WatchedBody { upload, client, received_at, messages }
    }

    async fn send(&mut self, bytes: &[u8]) {
        self.client.write_all(bytes).await.expect("it is open");
    }

    /// When its last byte arrived, as soon as that is known; `None` if that takes too long.
    async fn received(&self) -> Option<Instant> {
        let told = async {
            loop {
                match self.received_at.get() {
                    Some(at) => return at,
                    None => sleep(CHECK_INTERVAL).await,
                }
            }
        };
        timeout(LONG, told).await.ok()
    }
}

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, test);
}

/// Guards against a request that never gets a deadline, because its backend hangs while its last bytes are in
/// the kernel.
#[test]
fn a_body_of_known_length_has_arrived_once_the_kernel_has_its_last_byte() {
    const REST: usize = READ_BUFFER_BYTES + 1;
    run(async {
        let mut body = WatchedBody::start(&format!("Content-Length: {}", 10 + REST)).await;
        let begun = Instant::now();
        body.send(&[b'x'; 10]).await;
        sleep(NOTICED).await;
        assert_eq!(body.received_at.get(), None, "the client has more to send");
        body.send(&[b'x'; REST]).await;
        let at = body.received().await.expect("the last byte is noticed");
        assert!(at > begun && at <= Instant::now());
        assert!(!body.upload.progress().is_complete(), "no attempt has taken it");
    });
}

/// The same where the length is not known and the backend has taken part of the body.
#[test]
fn a_chunked_body_that_its_backend_does_not_take_has_arrived_once_it_stops_growing() {
    run(async {
        let mut body = WatchedBody::start("Transfer-Encoding: chunked").await;
        body.send(b"5\r\nfirst\r\n").await;
        assert_eq!(next_chunk(&mut body.upload).await, Some(5));
        let mut asks_for_more = Box::pin(next_chunk(&mut body.upload));
        assert!(timeout(NOTICED, &mut asks_for_more).await.is_err());
        drop(asks_for_more);
        assert_eq!(body.received_at.get(), None, "the backend waits for the client");
        body.send(b"6\r\nsecond\r\n").await;
        assert_eq!(next_chunk(&mut body.upload).await, Some(6));
        body.send(b"4\r\nlast\r\n0\r\n\r\n").await;
        assert!(body.received().await.is_some(), "the last byte is noticed");
        assert!(!body.upload.progress().is_complete(), "no attempt has taken it");
    });
}

/// Guards against holding both connections of a request whose client has gone while its backend hangs.
#[test]
fn a_client_that_disconnects_while_its_body_is_not_taken_is_noticed() {
    run(async {
        for kind in [Disconnect::Close, Disconnect::Reset, Disconnect::HalfClose] {
            let mut body = WatchedBody::start("Content-Length: 1000000").await;
            body.send(&[b'x'; 100_000]).await;
            let _half_closed = disconnect(body.client, kind);
            let message = timeout(LONG, body.messages.recv()).await.expect("it is noticed");
            assert!(matches!(message, Some(Message::ClientGone(RequestId(1)))), "{kind:?}");
        }
    });
}
