//! A streamed request body: it passes from the client to the attempt that takes it, and how far it has got is
//! known to the request.

use crate::body::{BodyError, IdleBudget, MAX_BODY_BYTES};
use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use std::cell::Cell;
use std::fmt;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use tokio::sync::{OwnedSemaphorePermit, oneshot};
use tokio::time::{Instant, Sleep, sleep_until};

/// How far a streamed request body has got. The body and its request share it.
pub struct UploadProgress {
    /// The body's length, where its head gives it.
    length: Option<u64>,
    /// The bytes that an attempt has taken so far.
    forwarded: Cell<u64>,
    /// Whether an attempt has taken the last byte.
    complete: Cell<bool>,
}

impl UploadProgress {
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

/// A streamed request body on its way from the client. It is read once, by the attempt that holds it.
pub struct Upload {
    /// The part that was read before streaming began, and the buffer memory reserved for it.
    prefix: Bytes,
    buffer_permit: Option<OwnedSemaphorePermit>,
    rest: Option<Incoming>,
    idle_budget: IdleBudget,
    idle_timer: Option<(Instant, Pin<Box<Sleep>>)>,
    progress: Rc<UploadProgress>,
    /// The callback to run when the last byte has arrived.
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
        let length = rest.size_hint().exact().map(|rest| rest + prefix.len() as u64);
        let progress = UploadProgress { length, forwarded: Cell::new(0), complete: Cell::new(false) };
        let upload = Upload {
            prefix,
            buffer_permit,
            rest: Some(rest),
            idle_budget,
            idle_timer: None,
            progress: Rc::new(progress),
            on_last_byte: Some(on_last_byte),
            return_unread: Some(return_unread),
        };
        (upload, unread)
    }

    /// How far the body has got.
    pub fn progress(&self) -> &Rc<UploadProgress> {
        &self.progress
    }

    /// The last byte has arrived, and is forwarded with the current chunk or has been before.
    fn finish(&mut self) {
        self.progress.complete.set(true);
        if let Some(on_last_byte) = self.on_last_byte.take() {
            on_last_byte();
        }
    }

    /// The length that is still to be written, the buffered prefix included.
    pub fn size_hint(&self) -> SizeHint {
        let rest = self.rest.as_ref().map(Incoming::size_hint).unwrap_or_default();
        match rest.exact() {
            Some(exact) => SizeHint::with_exact(exact + self.prefix.len() as u64),
            None => SizeHint::default(),
        }
    }

    /// The next chunk. Trailers are dropped: backends need none.
    pub fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if !self.prefix.is_empty() {
            self.buffer_permit = None;
            let prefix = std::mem::take(&mut self.prefix);
            self.progress.forwarded.set(prefix.len() as u64);
            return Poll::Ready(Some(Ok(Frame::data(prefix))));
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
        let waited = self.idle_timer.take().map(|(since, _)| since.elapsed()).unwrap_or_default();
        let Some(frame) = frame else {
            self.finish();
            return Poll::Ready(None);
        };
        let Ok(frame) = frame else { return Poll::Ready(Some(Err(BodyError::Disconnected))) };
        let data = frame.into_data().unwrap_or_default();
        self.idle_budget.record(waited, data.len());
        let total_bytes = self.progress.forwarded.get() + data.len() as u64;
        if total_bytes > MAX_BODY_BYTES {
            return Poll::Ready(Some(Err(BodyError::TooLong)));
        }
        self.progress.forwarded.set(total_bytes);
        // If the length is known, the body is not polled again after its last chunk.
        if self.rest.as_ref().is_some_and(Incoming::is_end_stream) {
            self.finish();
        }
        Poll::Ready(Some(Ok(Frame::data(data))))
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
