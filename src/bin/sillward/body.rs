//! Streamed bodies: those that are too long to buffer. They pass through chunk by chunk with backpressure: a
//! slow reader slows the writer down, and only the chunks in transit are held in memory. [`Upload`] is a
//! request body, [`Download`] a response body.

use crate::write_backlog::WriteBacklog;
use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use std::fmt;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::Instant;

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
#[derive(Clone)]
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

/// A chunk of a streamed response. A channel that closes without an `End` means that the response broke off.
pub enum BodyChunk {
    /// The next bytes.
    Data(Bytes),
    /// The response is complete.
    End,
}

/// A streamed response on its way to the client, with a guard that is dropped together with it. The client's
/// connection gets the next chunk once it has written the one before.
pub struct Download<T> {
    /// The body.
    pub chunks: mpsc::Receiver<BodyChunk>,
    /// The number of bytes still to come, where it is known.
    pub length: Option<u64>,
    /// What the client's connection has not written yet.
    pub write_backlog: Rc<WriteBacklog>,
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
        ready!(self.write_backlog.poll_written(cx));
        Poll::Ready(match ready!(self.chunks.poll_recv(cx)) {
            Some(BodyChunk::Data(data)) => {
                self.write_backlog.add(data.len());
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
