//! Bodies that are longer than the node keeps. They pass through in pieces: who reads slowly is a brake on who
//! writes, and no more of them is held than the pieces on their way.

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

/// The most bytes of a body that are kept, either way.
pub const MAX_BUFFERED_BYTES: usize = hillpick::control::config::MAX_BUFFERED_BODY_BYTES;
/// No body of a request is longer: the operators' days have none over 32 MB.
pub const LONGEST: u64 = 32 << 20;
/// A peer may be silent for so long in the midst of a message.
pub const SILENCE: Duration = Duration::from_millis(2500);
/// Bytes come at 64 kB a second or more. Silence is earned again at a quarter of that: a trickle is no progress.
const SLOWEST: f64 = 16_000.0;
/// Who has not taken a piece after so long takes no more, and who has not sent one sends no more.
pub const STALL_TIMEOUT: Duration = Duration::from_secs(10);

/// How long a client that sends a body may still be silent.
pub struct IdleBudget(Duration);

impl IdleBudget {
    pub fn until(end: Instant) -> Self {
        IdleBudget(end.saturating_duration_since(Instant::now()))
    }

    pub fn left(&self) -> Duration {
        self.0
    }

    /// It was waited for so long, and so much came.
    pub fn came(&mut self, waited: Duration, bytes: usize) {
        let earned = Duration::from_secs_f64(bytes as f64 / SLOWEST);
        self.0 = (self.0.saturating_sub(waited) + earned).min(SILENCE);
    }
}

/// Why a body ends before its end.
#[derive(Debug)]
pub enum Broken {
    /// Who sends it has fallen silent.
    Silent,
    /// It is longer than any may be.
    Long,
    /// Its connection has broken.
    Gone,
}

impl fmt::Display for Broken {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.write_str(match self {
            Broken::Silent => "its sender is silent",
            Broken::Long => "it is too long",
            Broken::Gone => "its connection broke",
        })
    }
}

impl std::error::Error for Broken {}

/// What an attempt writes after the head of its request.
pub enum AttemptBody {
    Buffered(Full<Bytes>),
    Streamed(Box<Upload>),
}

impl Body for AttemptBody {
    type Data = Bytes;
    type Error = Broken;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Broken>>> {
        match &mut *self {
            AttemptBody::Buffered(body) => Pin::new(body).poll_frame(cx).map_err(|never| match never {}),
            AttemptBody::Streamed(body) => Pin::new(&mut **body).poll_frame(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            AttemptBody::Buffered(body) => body.is_end_stream(),
            AttemptBody::Streamed(body) => body.arrived.is_none(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            AttemptBody::Buffered(body) => body.size_hint(),
            AttemptBody::Streamed(body) => body.size_hint(),
        }
    }
}

/// A long request body on its way from the client. It is read once, by whoever holds it.
pub struct Upload {
    /// What has been read of it already, and the room that this takes.
    start: Bytes,
    room: Option<OwnedSemaphorePermit>,
    rest: Option<Incoming>,
    passed: u64,
    patience: IdleBudget,
    waiting: Option<(Instant, Pin<Box<Sleep>>)>,
    /// Whether its last byte has come; and until then, what tells of it.
    read: Rc<Cell<bool>>,
    arrived: Option<Box<dyn FnOnce()>>,
    /// What is left unread goes back to the client's side when this is dropped.
    back: Option<oneshot::Sender<(Incoming, IdleBudget)>>,
}

impl Upload {
    pub fn new(
        (start, room): (Bytes, Option<OwnedSemaphorePermit>),
        rest: Incoming,
        patience: IdleBudget,
        arrived: Box<dyn FnOnce()>,
    ) -> (Self, oneshot::Receiver<(Incoming, IdleBudget)>) {
        let (back, unread) = oneshot::channel();
        let upload = Upload {
            passed: start.len() as u64,
            start,
            room,
            rest: Some(rest),
            patience,
            waiting: None,
            read: Rc::default(),
            arrived: Some(arrived),
            back: Some(back),
        };
        (upload, unread)
    }

    pub fn fully_read(&self) -> Rc<Cell<bool>> {
        self.read.clone()
    }

    /// Its last byte has come, and has been passed on with this piece or before it.
    fn end(&mut self) {
        self.read.set(true);
        if let Some(tell) = self.arrived.take() {
            tell();
        }
    }

    /// How much is to come, with what has been read already.
    fn size_hint(&self) -> SizeHint {
        let rest = self.rest.as_ref().map(Incoming::size_hint).unwrap_or_default();
        match rest.exact() {
            Some(exact) => SizeHint::with_exact(exact + self.start.len() as u64),
            None => SizeHint::default(),
        }
    }

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Broken>>> {
        if !self.start.is_empty() {
            self.room = None;
            return Poll::Ready(Some(Ok(Frame::data(std::mem::take(&mut self.start)))));
        }
        let Some(rest) = &mut self.rest else { return Poll::Ready(None) };
        let frame = match Pin::new(rest).poll_frame(cx) {
            Poll::Ready(frame) => frame,
            Poll::Pending => {
                let left = self.patience.left();
                let now = Instant::now();
                let (_, silent) =
                    self.waiting.get_or_insert_with(|| (now, Box::pin(sleep_until(now + left))));
                ready!(silent.as_mut().poll(cx));
                return Poll::Ready(Some(Err(Broken::Silent)));
            }
        };
        let waited = self.waiting.take().map_or(Duration::ZERO, |(since, _)| since.elapsed());
        let Some(frame) = frame else {
            self.end();
            return Poll::Ready(None);
        };
        let Ok(frame) = frame else { return Poll::Ready(Some(Err(Broken::Gone))) };
        // Trailers say nothing that a roster server is told.
        let data = frame.into_data().unwrap_or_default();
        self.patience.came(waited, data.len());
        self.passed += data.len() as u64;
        if self.passed > LONGEST {
            return Poll::Ready(Some(Err(Broken::Long)));
        }
        // With a length given, nobody asks again after the last piece.
        if self.rest.as_ref().is_some_and(Incoming::is_end_stream) {
            self.end();
        }
        Poll::Ready(Some(Ok(Frame::data(data))))
    }
}

impl Drop for Upload {
    fn drop(&mut self) {
        let unread = self.rest.take().filter(|_| self.arrived.is_some());
        if let (Some(rest), Some(back)) = (unread, self.back.take()) {
            let _ = back.send((rest, IdleBudget(self.patience.0))); // or the client has left
        }
    }
}

/// A piece of a long answer. Without an `End` the answer is broken.
pub enum BodyChunk {
    Data(Bytes),
    End,
}

/// A long answer on its way to the client, and what lasts for as long as it is.
pub struct Download<T> {
    pub pieces: mpsc::Receiver<BodyChunk>,
    pub length: Option<u64>,
    pub lasts: T,
}

impl<T: Unpin> Body for Download<T> {
    type Data = Bytes;
    type Error = Broken;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Broken>>> {
        Poll::Ready(match ready!(self.pieces.poll_recv(cx)) {
            Some(BodyChunk::Data(data)) => {
                self.length = self.length.map(|length| length.saturating_sub(data.len() as u64));
                Some(Ok(Frame::data(data)))
            }
            Some(BodyChunk::End) => None,
            None => Some(Err(Broken::Gone)),
        })
    }

    fn size_hint(&self) -> SizeHint {
        self.length.map(SizeHint::with_exact).unwrap_or_default()
    }
}
