//! Streamed bodies: those that are too long to buffer. They pass through chunk by chunk with backpressure: a
//! slow reader slows the writer down, and only the chunks in transit are held in memory.

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use std::cell::Cell;
use std::fmt;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::sync::{OwnedSemaphorePermit, mpsc, oneshot};
use tokio::time::{Instant, Sleep, sleep_until};

/// Bodies up to this length are buffered, in both directions; longer ones are streamed.
pub const MAX_BUFFERED_BYTES: usize = hillpick::control::config::MAX_BUFFERED_BODY_BYTES;
/// Longest request body that is accepted: the operators' traffic has none over 32 MB.
pub const MAX_BODY_BYTES: u64 = 32 << 20;
/// How long a peer may be idle in the middle of a message.
pub const IDLE_TIMEOUT: Duration = Duration::from_millis(2500);
/// Rate at which received bytes earn back idle time. Bodies arrive at 64 kB/s or more; at a quarter of that a
/// trickle does not count as progress.
const MIN_BYTES_PER_S: f64 = 16_000.0;
/// A reader that has taken no chunk for this long, or a sender that has sent none, is given up.
pub const STALL_TIMEOUT: Duration = Duration::from_secs(10);

/// How long the sender of a request body may still be idle. Received bytes earn idle time back, up to
/// [`IDLE_TIMEOUT`].
pub struct IdleBudget(Duration);

impl IdleBudget {
    /// A budget that, if nothing arrives, lasts until `end`.
    pub fn until(end: Instant) -> Self {
        IdleBudget(end.saturating_duration_since(Instant::now()))
    }

    /// The idle time that is left.
    pub fn remaining(&self) -> Duration {
        self.0
    }

    /// Records that `bytes` arrived after a wait of `waited`.
    pub fn record(&mut self, waited: Duration, bytes: usize) {
        let earned = Duration::from_secs_f64(bytes as f64 / MIN_BYTES_PER_S);
        self.0 = (self.0.saturating_sub(waited) + earned).min(IDLE_TIMEOUT);
    }
}

/// Why a body could not be read to its end.
#[derive(Debug)]
pub enum BodyError {
    /// Its sender was idle for too long.
    IdleSender,
    /// It is longer than [`MAX_BODY_BYTES`].
    TooLong,
    /// The connection that it is read from broke.
    Disconnected,
}

impl fmt::Display for BodyError {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.write_str(match self {
            BodyError::IdleSender => "the body's sender is idle",
            BodyError::TooLong => "the body is too long",
            BodyError::Disconnected => "the body's connection broke",
        })
    }
}

impl std::error::Error for BodyError {}

/// The request body that an attempt writes.
pub enum AttemptBody {
    /// The whole body.
    Buffered(Full<Bytes>),
    /// A body that is read from the client while it is written.
    Streamed(Box<Upload>),
}

impl Body for AttemptBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        match &mut *self {
            AttemptBody::Buffered(body) => Pin::new(body).poll_frame(cx).map_err(|never| match never {}),
            AttemptBody::Streamed(body) => Pin::new(&mut **body).poll_frame(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            AttemptBody::Buffered(body) => body.is_end_stream(),
            AttemptBody::Streamed(body) => body.on_last_byte.is_none(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            AttemptBody::Buffered(body) => body.size_hint(),
            AttemptBody::Streamed(body) => body.size_hint(),
        }
    }
}

/// A streamed request body on its way from the client. It is read once, by the attempt that holds it.
pub struct Upload {
    /// The part that was read before streaming began, and the buffer memory reserved for it.
    prefix: Bytes,
    buffer_permit: Option<OwnedSemaphorePermit>,
    rest: Option<Incoming>,
    total_bytes: u64,
    idle_budget: IdleBudget,
    idle_timer: Option<(Instant, Pin<Box<Sleep>>)>,
    /// Whether the last byte has arrived, and the callback to run when it does.
    fully_read: Rc<Cell<bool>>,
    on_last_byte: Option<Box<dyn FnOnce()>>,
    /// On drop, returns the unread rest to the frontend.
    return_unread: Option<oneshot::Sender<(Incoming, IdleBudget)>>,
}

impl Upload {
    /// A body that begins with the buffered `prefix`, and the channel that returns what stays unread of
    /// `rest`.
    pub fn new(
        (prefix, buffer_permit): (Bytes, Option<OwnedSemaphorePermit>),
        rest: Incoming,
        idle_budget: IdleBudget,
        on_last_byte: Box<dyn FnOnce()>,
    ) -> (Self, oneshot::Receiver<(Incoming, IdleBudget)>) {
        let (return_unread, unread) = oneshot::channel();
        let upload = Upload {
            total_bytes: prefix.len() as u64,
            prefix,
            buffer_permit,
            rest: Some(rest),
            idle_budget,
            idle_timer: None,
            fully_read: Rc::default(),
            on_last_byte: Some(on_last_byte),
            return_unread: Some(return_unread),
        };
        (upload, unread)
    }

    /// A flag that becomes true once the last byte has arrived.
    pub fn fully_read(&self) -> Rc<Cell<bool>> {
        self.fully_read.clone()
    }

    /// The last byte has arrived, and is forwarded with the current chunk or has been before.
    fn finish(&mut self) {
        self.fully_read.set(true);
        if let Some(on_last_byte) = self.on_last_byte.take() {
            on_last_byte();
        }
    }

    /// The length that is still to be written, the buffered prefix included.
    fn size_hint(&self) -> SizeHint {
        let rest = self.rest.as_ref().map(Incoming::size_hint).unwrap_or_default();
        match rest.exact() {
            Some(exact) => SizeHint::with_exact(exact + self.prefix.len() as u64),
            None => SizeHint::default(),
        }
    }

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if !self.prefix.is_empty() {
            self.buffer_permit = None;
            return Poll::Ready(Some(Ok(Frame::data(std::mem::take(&mut self.prefix)))));
        }
        let Some(rest) = &mut self.rest else { return Poll::Ready(None) };
        let frame = match Pin::new(rest).poll_frame(cx) {
            Poll::Ready(frame) => frame,
            Poll::Pending => {
                let remaining = self.idle_budget.remaining();
                let now = Instant::now();
                let (_, timer) =
                    self.idle_timer.get_or_insert_with(|| (now, Box::pin(sleep_until(now + remaining))));
                ready!(timer.as_mut().poll(cx));
                return Poll::Ready(Some(Err(BodyError::IdleSender)));
            }
        };
        let waited = self.idle_timer.take().map_or(Duration::ZERO, |(since, _)| since.elapsed());
        let Some(frame) = frame else {
            self.finish();
            return Poll::Ready(None);
        };
        let Ok(frame) = frame else { return Poll::Ready(Some(Err(BodyError::Disconnected))) };
        // Trailers are dropped: backends need none.
        let data = frame.into_data().unwrap_or_default();
        self.idle_budget.record(waited, data.len());
        self.total_bytes += data.len() as u64;
        if self.total_bytes > MAX_BODY_BYTES {
            return Poll::Ready(Some(Err(BodyError::TooLong)));
        }
        // If the length is known, the body is not polled again after its last chunk.
        if self.rest.as_ref().is_some_and(Incoming::is_end_stream) {
            self.finish();
        }
        Poll::Ready(Some(Ok(Frame::data(data))))
    }
}

impl Drop for Upload {
    fn drop(&mut self) {
        let unread = self.rest.take().filter(|_| self.on_last_byte.is_some());
        if let (Some(rest), Some(return_unread)) = (unread, self.return_unread.take()) {
            // Fails if the client has disconnected.
            let _ = return_unread.send((rest, IdleBudget(self.idle_budget.0)));
        }
    }
}

/// A chunk of a streamed response. A channel that closes without an `End` means that the response broke off.
pub enum BodyChunk {
    /// The next bytes.
    Data(Bytes),
    /// The response is complete.
    End,
}

/// A streamed response on its way to the client, with a guard that is dropped together with it.
pub struct Download<T> {
    /// The body.
    pub chunks: mpsc::Receiver<BodyChunk>,
    /// The number of bytes still to come, where it is known.
    pub length: Option<u64>,
    /// Dropped with the response.
    pub guard: T,
}

impl<T: Unpin> Body for Download<T> {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        Poll::Ready(match ready!(self.chunks.poll_recv(cx)) {
            Some(BodyChunk::Data(data)) => {
                self.length = self.length.map(|length| length.saturating_sub(data.len() as u64));
                Some(Ok(Frame::data(data)))
            }
            Some(BodyChunk::End) => None,
            None => Some(Err(BodyError::Disconnected)),
        })
    }

    fn size_hint(&self) -> SizeHint {
        self.length.map(SizeHint::with_exact).unwrap_or_default()
    }
}
