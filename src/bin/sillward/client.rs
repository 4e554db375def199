//! The state of a client's connection: when bytes last moved on it, and whether a request is in progress.

use crate::body::{IDLE_TIMEOUT, STALL_TIMEOUT};
use crate::head_refusal::HeadRefusal;
use crate::liveness::Liveness;
use crate::memory::{MAX_UNREAD_WAIT, Reservation};
use crate::read_chunk::READ_CHUNK_BYTES;
use crate::upload::UploadProgress;
use crate::write_backlog::WriteBacklog;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// How long the first request on a connection may make no progress, and how long a later request head may
/// take in all. Any peer may connect, and must get an error or a close within 3 s of that. A connection that
/// has been idle for this long may be closed as well.
pub const READ_TIMEOUT: Duration = IDLE_TIMEOUT;

/// A head up to this length fits into the read buffer that a connection begins with.
const SHORT_HEAD_BYTES: usize = READ_CHUNK_BYTES;

/// A client that sends nothing of its request's body for this long may be shed to make room for others.
const BODY_STALL: Duration = Duration::from_millis(200);

/// The state of a client's connection.
pub struct Client {
    /// When it was accepted.
    pub connected: Instant,
    /// Whether a request has been received on it.
    pub had_request: Cell<bool>,
    /// Since when no request is in progress; `None` while one is.
    pub idle_since: Cell<Option<Instant>>,
    /// When the first bytes of the next request arrived, if they have.
    pub next_begun: Cell<Option<Instant>>,
    /// Whether the request in progress is answered with a streamed body: from here on the client sets the
    /// pace.
    pub streaming: Cell<bool>,
    /// When bytes last moved on it, in either direction.
    pub last_activity: Cell<Instant>,
    /// Whether it was told to close, to make room for other connections.
    pub shed: Cell<bool>,
    /// Tells the connection to close, as [`Client::close_mode`] allows.
    pub close: Notify,
    /// Asks the kernel whether the client is still connected.
    pub liveness: Liveness,
    /// What the response in progress has given the connection to write.
    pub write_backlog: Rc<WriteBacklog>,
    /// The bytes that were read since the last request or chunk of a body: those of the next head.
    pub head_bytes: Rc<Cell<usize>>,
    /// Whether the request's body is being read and its next bytes have not come.
    pub awaiting_body: Cell<bool>,
    /// How far a streamed request body has got.
    pub upload: RefCell<Option<Rc<UploadProgress>>>,
    /// When a long head had arrived whole that waited for memory unread: its request's time runs since then.
    /// Taken when the request is handled.
    pub head_arrived_at: Cell<Option<Instant>>,
    /// The refusal of a head that got no memory.
    pub head_refusal: HeadRefusal,
    /// The memory of a long head. hyper keeps the larger buffer as long as the connection.
    pub head_memory: RefCell<Option<Reservation>>,
    /// The memory of the request in progress. It is held until the response has been written.
    pub exchange_memory: RefCell<Option<Rc<Reservation>>>,
}

/// What a connection's timeouts require now.
pub enum TimeoutAction {
    /// Nothing; check again at this time.
    Recheck(Instant),
    /// It is idle between requests, or its next head is slow: close it gracefully.
    CloseGracefully,
    /// The client took too long to send its first request, or to read a response: close it at once.
    CloseNow,
}

/// How a connection that is told to close closes.
#[derive(Debug, PartialEq)]
pub enum CloseMode {
    /// At once: before the first request is complete no graceful close is possible.
    Immediate,
    /// After the response to the request in progress, or at once if there is none.
    Graceful,
    /// Not yet: part of a request has arrived, and there is time for the rest.
    Deferred,
}

impl Client {
    /// A connection that has just been accepted.
    pub fn new(liveness: Liveness) -> Self {
        let now = Instant::now();
        Client {
            connected: now,
            had_request: Cell::new(false),
            idle_since: Cell::new(Some(now)),
            next_begun: Cell::new(None),
            streaming: Cell::new(false),
            last_activity: Cell::new(now),
            shed: Cell::new(false),
            close: Notify::new(),
            liveness,
            write_backlog: Rc::default(),
            head_bytes: Rc::default(),
            awaiting_body: Cell::new(false),
            upload: RefCell::default(),
            head_arrived_at: Cell::default(),
            head_refusal: HeadRefusal::default(),
            head_memory: RefCell::default(),
            exchange_memory: RefCell::default(),
        }
    }

    /// A request has been received: it is in progress from now on. Whether it is the connection's first.
    pub fn begin_request(&self) -> bool {
        self.idle_since.set(None);
        self.next_begun.set(None);
        self.streaming.set(false);
        self.head_bytes.set(0);
        self.awaiting_body.set(false);
        self.upload.take();
        self.write_backlog.reset();
        self.head_memory.borrow().iter().for_each(Reservation::set_arrived);
        !self.had_request.replace(true)
    }

    /// Whether the client owes the next bytes of its request's body.
    fn is_awaiting_body(&self) -> bool {
        self.awaiting_body.get()
            || self.upload.borrow().as_ref().is_some_and(|upload| upload.is_awaiting_client())
    }

    /// Whether the client has stopped in the middle of its request's body.
    pub fn is_stalled(&self) -> bool {
        self.is_awaiting_body() && self.last_activity.get().elapsed() >= BODY_STALL
    }

    /// Whether the next bytes are those of a head, not of a body.
    pub fn expects_head(&self) -> bool {
        self.idle_since.get().is_some()
    }

    /// Whether the next bytes are those of a head that is longer than the read buffer.
    pub fn expects_long_head(&self) -> bool {
        self.expects_head() && self.head_bytes.get() >= SHORT_HEAD_BYTES
    }

    /// Whether a whole head waits for memory.
    fn has_waiting_head(&self) -> bool {
        self.expects_head()
            && self.head_arrived_at.get().is_some()
            && self.head_memory.borrow().is_none()
            && !self.head_refusal.is_decided()
    }

    /// Whether the connection can be told to close to make room: it has no request in progress and none that has
    /// arrived, and has not been told yet.
    pub fn is_idle(&self) -> bool {
        self.idle_since.get().is_some() && !self.has_waiting_head() && !self.shed.get()
    }

    /// All that was given to the connection has been written.
    pub fn record_flushed(&self) {
        self.head_refusal.set_flushed(true);
        if self.idle_since.get().is_some() {
            self.exchange_memory.take();
        }
    }

    /// Bytes were received: the first ones after a response begin another request.
    pub fn record_read(&self, bytes: usize) {
        let now = Instant::now();
        self.liveness.record_read(bytes);
        if self.expects_head() {
            self.head_bytes.set(self.head_bytes.get() + bytes);
        }
        self.last_activity.set(now);
        if self.idle_since.get().is_some() && self.next_begun.get().is_none() {
            self.next_begun.set(Some(now));
        }
    }

    /// Bytes were sent.
    pub fn record_write(&self, bytes: usize) {
        self.write_backlog.record_written(bytes);
        self.last_activity.set(Instant::now());
    }

    /// How the connection closes now that it is told to; `activity_before` is its last activity when it was
    /// told. During a shutdown connections are shed only once no further request is accepted: half a request
    /// keeps none open then.
    pub fn close_mode(&self, activity_before: Instant, terminating: bool) -> CloseMode {
        let in_progress = self.idle_since.get().is_none();
        let (next_begun, shed) = (self.next_begun.get().is_some(), self.shed.get());
        let still_arriving = self.has_waiting_head()
            || next_begun && (!shed || (self.last_activity.get() != activity_before && !terminating));
        match self.had_request.get() {
            // The request is incomplete and has not been accepted.
            _ if in_progress && shed && self.is_stalled() => CloseMode::Immediate,
            _ if in_progress => CloseMode::Graceful,
            _ if still_arriving => CloseMode::Deferred,
            false if shed => CloseMode::Immediate,
            _ => CloseMode::Graceful,
        }
    }

    /// Checks the connection against its timeouts.
    pub fn check_timeout(&self) -> TimeoutAction {
        let now = Instant::now();
        let Some(idle_since) = self.idle_since.get() else {
            // A client that reads nothing keeps the runtime from polling the response body, or seeing its
            // end.
            let stalled = self.streaming.get() && now >= self.last_activity.get() + STALL_TIMEOUT;
            return if stalled {
                TimeoutAction::CloseNow
            } else {
                TimeoutAction::Recheck(now + READ_TIMEOUT)
            };
        };
        if self.has_waiting_head() {
            return TimeoutAction::Recheck(now + MAX_UNREAD_WAIT);
        }
        let (since, action) = match (self.had_request.get(), self.next_begun.get()) {
            (false, _) => (self.connected, TimeoutAction::CloseNow),
            (true, Some(next_begun)) => (next_begun, TimeoutAction::CloseGracefully),
            (true, None) => (idle_since, TimeoutAction::CloseGracefully),
        };
        if now < since + READ_TIMEOUT { TimeoutAction::Recheck(since + READ_TIMEOUT) } else { action }
    }
}
