//! What the rooms of the node tell one another: types alone, below all that use them.

use crate::body::{AttemptBody, BodyChunk, Upload};
use crate::liveness::Liveness;
use bytes::Bytes;
use hillpick::control::updates::ListUpdate;
use hillpick::settings::SettingsUpdate;
use hillpick::{FleetView, LoadReport, NewRequest, Outcome, RequestId, ServerId, ZoneView};
use http_body_util::Full;
use hyper::Method;
use hyper::header::HeaderValue;
use hyper::http::uri::PathAndQuery;
use serde::Serialize;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{OwnedSemaphorePermit, mpsc, oneshot};

/// What reaches the node.
pub enum Message {
    Request(Box<AcceptedRequest>),
    /// The last byte of a long one has come.
    BodyReceived(RequestId),
    Started(Started),
    ClientGone(RequestId),
    Attempt(Ended),
    Probe(ProbeEnded),
    List(ListUpdate),
    Settings(Box<SettingsUpdate>),
    /// What is known of the tier has changed.
    FleetView(FleetView),
    /// The staff ask how the zones stand, after an order if there is one.
    ZoneQuery(Option<EvacuationCommand>, oneshot::Sender<Option<Vec<ZoneStatus>>>),
    /// The staff ask how much of the list the node holds.
    SubsetQuery(oneshot::Sender<Option<SubsetStatus>>),
    /// The process is told to stop, and what has not come whole by now is not taken any more.
    BodyDeadline,
}

/// How much of the list a node holds, where it does not hold all of it.
#[derive(Serialize)]
pub struct SubsetStatus {
    /// Ready servers on the list.
    pub ready: usize,
    /// Servers that are held, those that drain among them.
    pub held: usize,
    /// By which place among how many nodes.
    pub node: usize,
    pub nodes: usize,
}

/// The staff want a zone of this name empty for so long, or not any more.
pub struct EvacuationCommand {
    pub zone: String,
    pub duration: Option<Duration>,
}

/// A zone by its name, as the module sees it, and for how long it has stood so.
pub struct ZoneStatus {
    pub name: String,
    pub view: ZoneView,
    pub state_age: Duration,
    /// So long it stays evacuated.
    pub evacuation_left: Option<Duration>,
}

/// A request that the front has taken.
pub struct AcceptedRequest {
    pub request: NewRequest,
    /// When its last byte had come.
    pub received_at: Duration,
    pub forward: ForwardedRequest,
    pub reply: oneshot::Sender<Answer>,
}

/// The first bytes of an answer that is too long to be kept; the rest follows in pieces.
pub struct Started {
    pub id: RequestId,
    pub number: u32,
    pub length: Option<u64>,
    pub pieces: mpsc::Receiver<BodyChunk>,
}

/// A final answer.
#[derive(Debug)]
pub enum Answer {
    Served(Bytes),
    Streamed(Option<u64>, mpsc::Receiver<BodyChunk>),
    Refused(Option<Duration>),
    Failed,
    TimedOut,
}

/// A request's body.
pub enum RequestBody {
    Buffered(Bytes),
    /// Too long for that: whoever takes it reads it from the client. It may be given back unread.
    Streamed(RefCell<Option<Box<Upload>>>, Rc<Cell<bool>>),
}

impl RequestBody {
    pub fn streamed(upload: Upload) -> Self {
        let read = upload.fully_read();
        RequestBody::Streamed(RefCell::new(Some(Box::new(upload))), read)
    }

    /// For an attempt to write; `None` if it has been used up.
    pub fn take(&self) -> Option<AttemptBody> {
        match self {
            RequestBody::Buffered(body) => Some(AttemptBody::Buffered(Full::new(body.clone()))),
            RequestBody::Streamed(upload, _) => Some(AttemptBody::Streamed(upload.borrow_mut().take()?)),
        }
    }

    /// Not a byte of it was written.
    pub fn put_back(&self, body: AttemptBody) {
        if let (RequestBody::Streamed(upload, _), AttemptBody::Streamed(body)) = (self, body) {
            *upload.borrow_mut() = Some(body);
        }
    }

    /// An attempt has taken it, and it was not kept.
    pub fn is_consumed(&self) -> bool {
        matches!(self, RequestBody::Streamed(upload, _) if upload.borrow().is_none())
    }

    /// Its last byte has not been passed on yet, and will not be if the attempt has ended.
    pub fn is_incomplete(&self) -> bool {
        matches!(self, RequestBody::Streamed(_, read) if !read.get())
    }
}

/// The client of a request, until that has its final answer. Whoever finds that it has left, its connection or an attempt,
/// says so here: the node is told once, ahead of all that comes of it.
#[derive(Default)]
pub struct ClientPresence {
    id: RequestId,
    liveness: Liveness,
    /// The place for that news in the node's queue, kept from the start.
    place: Cell<Option<mpsc::OwnedPermit<Message>>>,
}

impl ClientPresence {
    pub fn new(id: RequestId, liveness: Liveness, place: mpsc::OwnedPermit<Message>) -> Self {
        ClientPresence { id, liveness, place: Cell::new(Some(place)) }
    }

    /// Asks the kernel.
    pub fn check_disconnected(&self) -> bool {
        let left = self.liveness.is_disconnected();
        if left {
            self.report_disconnected();
        }
        left
    }

    pub fn report_disconnected(&self) {
        if let Some(place) = self.place.take() {
            place.send(Message::ClientGone(self.id));
        }
    }

    /// It has its final answer, and there is nothing more to tell. False if its leaving was told.
    pub fn finish(&self) -> bool {
        self.place.take().is_some()
    }
}

/// What all attempts of a request share: what goes on unchanged, and what binds them.
pub struct ForwardedRequest {
    pub method: Method,
    pub path: PathAndQuery,
    pub call_id: HeaderValue,
    pub idempotency_key: Option<HeaderValue>,
    pub body: RequestBody,
    /// The room that it takes, for as long as this lasts.
    pub buffer_permit: Option<OwnedSemaphorePermit>,
    /// How long the client waits once its request has come.
    pub budget: Duration,
    /// When it stops waiting: late, while its request is still coming.
    pub deadline: Cell<Duration>,
    /// How long backends remember a keyed request, from the first byte of the first attempt.
    pub dedup_window: Option<Duration>,
    pub first_byte_at: Cell<Option<Duration>>,
    /// It has its final answer, or its client has left: nothing more is sent for it.
    pub finished: Cell<bool>,
    pub client: Rc<ClientPresence>,
}

/// An attempt to be made.
pub struct Attempt {
    pub id: RequestId,
    pub number: u32,
    pub server: ServerId,
    /// When the node stops waiting for it.
    pub until: Duration,
    pub forward: Rc<ForwardedRequest>,
}

/// Why an attempt is stopped.
pub enum Stop {
    TimedOut,
    Cancelled,
}

/// How an attempt ended; with the body if it was served.
pub struct Ended {
    pub id: RequestId,
    pub number: u32,
    pub outcome: Outcome,
    pub report: Option<LoadReport>,
    pub body: Option<Bytes>,
    /// It has used up a body that is not kept.
    pub spent: bool,
}

/// How a probe ended.
pub struct ProbeEnded {
    pub server: ServerId,
    pub outcome: Outcome,
    pub sent: Duration,
    pub report: Option<LoadReport>,
}

impl From<ListUpdate> for Message {
    fn from(update: ListUpdate) -> Self {
        Message::List(update)
    }
}

impl From<FleetView> for Message {
    fn from(tier: FleetView) -> Self {
        Message::FleetView(tier)
    }
}
