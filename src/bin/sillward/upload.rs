//! Request bodies as attempts send them: buffered ones, and streamed ones ([`Upload`]). A streamed body passes
//! from the client to the attempt that takes it, and how far it has got is known to its request
//! ([`UploadProgress`]).

use crate::body::{BodyError, IdleBudget, MAX_BODY_BYTES, STALL_TIMEOUT};
use crate::write_backlog::WriteBacklog;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use std::cell::Cell;
use std::collections::VecDeque;
use std::fmt;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::{Instant, Sleep, sleep, sleep_until};

/// How often an attempt checks whether its backend still takes the body.
const STALL_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// The most that a client's machine holds of what its client has written: what Linux allows a connection by
/// default.
const MAX_SEND_BUFFER_BYTES: u64 = 4 << 20;

/// Runs when the last byte of a body has arrived, with the time of that.
pub type OnReceived = Box<dyn FnOnce(Instant)>;

/// How far a streamed request body has got. The body and its request share it.
pub struct UploadProgress {
    /// The body's length, where its head gives it.
    length: Option<u64>,
    /// The bytes that have been read from the client so far.
    read: Cell<u64>,
    /// The bytes that an attempt has taken so far.
    forwarded: Cell<u64>,
    /// Whether an attempt has taken the last byte.
    complete: Cell<bool>,
    /// Whether the attempt waits for the client's next bytes.
    awaiting_client: Cell<bool>,
    /// When the attempt last asked for bytes, which it does only when its backend takes more.
    last_polled: Cell<Instant>,
    /// When all that the client had written had last arrived, as far as that is known.
    caught_up_at: Cell<Instant>,
    /// Since when the rest of the body may be in the buffers of the client's machine.
    tail_since: Cell<Option<Instant>>,
    /// The callback for when the last byte has arrived; `None` once it has run.
    on_received: Cell<Option<OnReceived>>,
}

impl UploadProgress {
    fn new(length: Option<u64>, read: usize, on_received: OnReceived) -> Self {
        let now = Instant::now();
        let may_be_tail = length.is_none_or(|length| length <= read as u64 + MAX_SEND_BUFFER_BYTES);
        UploadProgress {
            length,
            read: Cell::new(read as u64),
            forwarded: Cell::new(0),
            complete: Cell::new(false),
            awaiting_client: Cell::new(false),
            last_polled: Cell::new(now),
            caught_up_at: Cell::new(now),
            tail_since: Cell::new(may_be_tail.then_some(now)),
            on_received: Cell::new(Some(on_received)),
        }
    }

    /// Bytes have been read from the client.
    fn record_read(&self, bytes: usize) {
        self.read.set(self.read.get() + bytes as u64);
    }

    /// An attempt takes these bytes. The last ones of a known length complete the body: it is not polled for
    /// its end after them.
    fn record_forwarded(&self, bytes: usize) {
        self.forwarded.set(self.forwarded.get() + bytes as u64);
        if self.length == Some(self.forwarded.get()) {
            self.finish();
        }
    }

    /// An attempt has taken the last byte.
    fn finish(&self) {
        self.complete.set(true);
        self.record_received(Instant::now());
    }

    /// The last byte has arrived from the client at this time. Runs the callback, the first time, with the time
    /// at which the client may have sent it.
    pub fn record_received(&self, at: Instant) {
        if let Some(on_received) = self.on_received.take() {
            on_received(at.min(self.possibly_sent_at()));
        }
    }

    /// This many bytes of the body have arrived by now, as far as that can be seen.
    pub fn record_arrived(&self, bytes: u64, at: Instant) {
        let may_be_tail = self.length.is_none_or(|length| length <= bytes + MAX_SEND_BUFFER_BYTES);
        if may_be_tail && self.tail_since.get().is_none() {
            self.tail_since.set(Some(at));
        }
    }

    /// At this time all that the client had written had arrived.
    pub fn record_caught_up(&self, at: Instant) {
        self.caught_up_at.set(at);
    }

    /// The earliest time at which the client may have sent its last byte. While the backend takes nothing, the
    /// client's machine buffers what the client writes, and this machine can't see that.
    pub fn possibly_sent_at(&self) -> Instant {
        let tail_since = self.tail_since.get().unwrap_or_else(Instant::now);
        self.caught_up_at.get().max(tail_since)
    }

    /// The body's length, where its head gives it.
    pub fn length(&self) -> Option<u64> {
        self.length
    }

    /// The bytes that have been read from the client so far.
    pub fn bytes_read(&self) -> u64 {
        self.read.get()
    }

    /// Whether the attempt has taken all that has come and waits for the client's next bytes.
    pub fn is_awaiting_client(&self) -> bool {
        self.awaiting_client.get()
    }

    /// Whether an attempt has begun to take the body.
    pub fn has_begun(&self) -> bool {
        self.forwarded.get() > 0
    }

    /// How long the backend has taken nothing of what it could have.
    fn stalled_for(&self) -> Duration {
        if !self.has_begun() || self.is_complete() || self.is_awaiting_client() {
            return Duration::ZERO;
        }
        self.last_polled.get().elapsed()
    }

    /// Waits until the backend has taken nothing for [`STALL_TIMEOUT`].
    pub async fn stalled(&self) {
        while self.stalled_for() < STALL_TIMEOUT {
            sleep(STALL_CHECK_INTERVAL).await;
        }
    }

    /// Whether an attempt has taken the last byte, so that its backend may get the whole request.
    pub fn is_complete(&self) -> bool {
        self.complete.get()
    }
}

impl fmt::Display for UploadProgress {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "{} of ", self.forwarded.get())?;
        match self.length {
            Some(length) => write!(out, "{length} bytes")?,
            None => out.write_str("unknown bytes")?,
        }
        out.write_str(if self.is_complete() { ", complete" } else { ", incomplete" })
    }
}

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
            AttemptBody::Streamed(body) => body.progress.is_complete(),
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
    /// The part that was read before streaming began, in the order of its arrival.
    prefix: VecDeque<Bytes>,
    /// What the connection that the body is written to has not written yet; `None` before an attempt has it.
    write_backlog: Option<Rc<WriteBacklog>>,
    rest: Option<Incoming>,
    idle_budget: IdleBudget,
    idle_timer: Option<(Instant, Pin<Box<Sleep>>)>,
    progress: Rc<UploadProgress>,
    /// On drop, returns the unread rest to the frontend.
    return_unread: Option<oneshot::Sender<(Incoming, IdleBudget)>>,
}

impl Upload {
    /// A body that begins with the buffered `prefix`, and the channel that returns what stays unread of
    /// `rest`. `on_received` runs once the last byte has arrived, see [`UploadProgress::record_received`].
    pub fn new(
        prefix: impl IntoIterator<Item = Bytes>,
        rest: Incoming,
        idle_budget: IdleBudget,
        on_received: OnReceived,
    ) -> (Self, oneshot::Receiver<(Incoming, IdleBudget)>) {
        let (return_unread, unread) = oneshot::channel();
        let prefix: VecDeque<_> = prefix.into_iter().filter(|part| !part.is_empty()).collect();
        let prefix_length = prefix.iter().map(Bytes::len).sum::<usize>();
        let length = rest.size_hint().exact().map(|rest| rest + prefix_length as u64);
        let progress = UploadProgress::new(length, prefix_length, on_received);
        let upload = Upload {
            prefix,
            write_backlog: None,
            rest: Some(rest),
            idle_budget,
            idle_timer: None,
            progress: Rc::new(progress),
            return_unread: Some(return_unread),
        };
        (upload, unread)
    }

    /// How far the body has got.
    pub fn progress(&self) -> &Rc<UploadProgress> {
        &self.progress
    }

    /// The length that is still to be written, the buffered prefix included.
    pub fn size_hint(&self) -> SizeHint {
        let rest = self.rest.as_ref().map(Incoming::size_hint).unwrap_or_default();
        match rest.exact() {
            Some(exact) => {
                SizeHint::with_exact(exact + self.prefix.iter().map(|part| part.len() as u64).sum::<u64>())
            }
            None => SizeHint::default(),
        }
    }

    /// The connection that the body is written to from now on gets the next chunk once it has written the one
    /// before.
    pub fn set_write_backlog(&mut self, write_backlog: Rc<WriteBacklog>) {
        self.write_backlog = Some(write_backlog);
    }

    /// Hands a chunk to the connection.
    fn forward(&self, data: Bytes) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        self.write_backlog.iter().for_each(|write_backlog| write_backlog.add(data.len()));
        self.progress.record_forwarded(data.len());
        Poll::Ready(Some(Ok(Frame::data(data))))
    }

    /// The next chunk. Trailers are dropped: backends need none.
    pub fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if let Some(write_backlog) = &self.write_backlog {
            ready!(write_backlog.poll_written(cx));
        }
        let now = Instant::now();
        self.progress.last_polled.set(now);
        if let Some(part) = self.prefix.pop_front() {
            return self.forward(part);
        }
        let Some(rest) = &mut self.rest else { return Poll::Ready(None) };
        let polled = Pin::new(rest).poll_frame(cx);
        self.progress.awaiting_client.set(polled.is_pending());
        let frame = match polled {
            Poll::Ready(frame) => frame,
            Poll::Pending => {
                let remaining = self.idle_budget.remaining();
                let (_, timer) =
                    self.idle_timer.get_or_insert_with(|| (now, Box::pin(sleep_until(now + remaining))));
                ready!(timer.as_mut().poll(cx));
                return Poll::Ready(Some(Err(BodyError::IdleSender)));
            }
        };
        let waited = self.idle_timer.take().map(|(since, _)| since.elapsed()).unwrap_or_default();
        let Some(frame) = frame else {
            self.progress.finish();
            return Poll::Ready(None);
        };
        let Ok(frame) = frame else { return Poll::Ready(Some(Err(BodyError::Disconnected))) };
        let data = frame.into_data().unwrap_or_default();
        self.idle_budget.record(waited, data.len());
        self.progress.record_read(data.len());
        if self.progress.bytes_read() > MAX_BODY_BYTES {
            return Poll::Ready(Some(Err(BodyError::TooLong)));
        }
        self.forward(data)
    }
}

impl Drop for Upload {
    fn drop(&mut self) {
        let unread = self.rest.take().filter(|_| !self.progress.is_complete());
        if let (Some(rest), Some(return_unread)) = (unread, self.return_unread.take()) {
            // Fails if the client has disconnected.
            let _ = return_unread.send((rest, self.idle_budget.clone()));
        }
    }
}

#[cfg(test)]
pub mod tests;
