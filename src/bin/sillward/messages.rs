//! Messages between the node's tasks: the types that the client side, the backend side and the operations
//! address exchange with the node's event loop. Types alone, so that every other module can depend on them.

use crate::body::BodyChunk;
use crate::liveness::Liveness;
use crate::upload::{AttemptBody, Upload, UploadProgress};
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
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, sleep};

/// How often the kernel is asked whether the client of a request in progress has disconnected. Mostly the runtime
/// sees it at once; it does not while bytes behind the request are unread.
const DISCONNECT_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// A message to the node's event loop.
pub enum Message {
    /// A client's request has been accepted.
    Request(Box<AcceptedRequest>),
    /// The last byte of a streamed request body has arrived.
    BodyReceived {
        /// The request.
        id: RequestId,
        /// When the byte arrived.
        at: Instant,
    },
    /// The first bytes of a streamed response have been received.
    ResponseStarted(ResponseStart),
    /// The client has disconnected before its final answer.
    ClientGone(RequestId),
    /// An attempt has ended.
    AttemptEnded(AttemptResult),
    /// A probe has ended.
    ProbeEnded(ProbeResult),
    /// The server list has changed.
    List(ListUpdate),
    /// New settings apply from here on.
    Settings(Box<SettingsUpdate>),
    /// What the node knows of the number of nodes has changed.
    FleetView(FleetView),
    /// An operator asks for the state of all zones, after a command has been carried out if there is one. The
    /// reply is `None` where no zones are configured or the command names an unknown zone.
    ZoneQuery(Option<EvacuationCommand>, oneshot::Sender<Option<Vec<ZoneStatus>>>),
    /// An operator asks how much of the server list the node holds. The reply is `None` without a subset.
    SubsetQuery(oneshot::Sender<Option<SubsetStatus>>),
    /// The process shuts down, and request bodies that are still incomplete are given up.
    BodyDeadline,
}

/// How much of the server list a node holds, where it holds a subset. `GET /subset` prints the fields by
/// their names.
#[derive(Serialize)]
pub struct SubsetStatus {
    /// Servers on the whole list that are in service.
    pub ready: usize,
    /// Servers that this node holds, draining ones included.
    pub held: usize,
    /// This node's position among the nodes, from 0.
    pub node: usize,
    /// The number of nodes that divide the list among them.
    pub nodes: usize,
}

/// An operator's command to evacuate a zone or to restore it.
pub struct EvacuationCommand {
    /// The zone's name.
    pub zone: String,
    /// How long the evacuation lasts at most; `None` restores the zone.
    pub duration: Option<Duration>,
}

/// A zone's state, for the operators.
pub struct ZoneStatus {
    /// The zone's name.
    pub name: String,
    /// The zone as the decision module sees it.
    pub view: ZoneView,
    /// How long the zone has been in its present state.
    pub state_age: Duration,
    /// How long it stays evacuated, if an operator has evacuated it.
    pub evacuation_left: Option<Duration>,
}

/// A request that the client side has accepted.
pub struct AcceptedRequest {
    /// The request, as it is given to the decision module.
    pub request: NewRequest,
    /// When it was received: whole, or as much of it as is buffered if the body is streamed.
    pub received_at: Duration,
    /// What attempts send to backends.
    pub forward: ForwardedRequest,
    /// Where the final answer goes.
    pub reply: oneshot::Sender<Answer>,
}

/// The start of a response that is too long to be buffered; its body follows in chunks.
pub struct ResponseStart {
    /// The request.
    pub id: RequestId,
    /// The attempt's number.
    pub attempt: u32,
    /// The body's length, where the response gives it.
    pub length: Option<u64>,
    /// The body.
    pub chunks: mpsc::Receiver<BodyChunk>,
}

/// The final answer to a client.
#[derive(Debug)]
pub enum Answer {
    /// A buffered response body.
    Served(Bytes),
    /// A streamed response body, with its length where that is known.
    Streamed(Option<u64>, mpsc::Receiver<BodyChunk>),
    /// The request never ran and may be retried, after this time if there is one.
    Refused(Option<Duration>),
    /// The request failed; it may have run.
    Failed,
    /// The request got no answer before its deadline; it may have run.
    TimedOut,
}

/// The body of a request that is forwarded.
pub enum RequestBody {
    /// The whole body, which every attempt can send.
    Buffered(Bytes),
    /// A body too long to be buffered: the attempt that takes it reads it from the client, and may put it
    /// back unread. The second field tells how far it has got.
    Streamed(RefCell<Option<Box<Upload>>>, Rc<UploadProgress>),
}

impl RequestBody {
    /// A body that is read from the client while it is sent.
    pub fn streamed(upload: Upload) -> Self {
        let progress = upload.progress().clone();
        RequestBody::Streamed(RefCell::new(Some(Box::new(upload))), progress)
    }

    /// The body for an attempt to send; `None` if another attempt has taken a streamed one.
    pub fn take(&self) -> Option<AttemptBody> {
        match self {
            RequestBody::Buffered(body) => Some(AttemptBody::Buffered(Full::new(body.clone()))),
            RequestBody::Streamed(upload, _) => Some(AttemptBody::Streamed(upload.borrow_mut().take()?)),
        }
    }

    /// Gives a body back of which no byte has been sent.
    pub fn put_back(&self, body: AttemptBody) {
        if let (RequestBody::Streamed(upload, _), AttemptBody::Streamed(body)) = (self, body) {
            *upload.borrow_mut() = Some(body);
        }
    }

    /// Whether an attempt has taken a streamed body, so that no other attempt can send it.
    pub fn is_consumed(&self) -> bool {
        matches!(self, RequestBody::Streamed(upload, _) if upload.borrow().is_none())
    }

    /// Whether the last byte of a streamed body has not been forwarded yet. If the attempt has ended it never
    /// will be.
    pub fn is_incomplete(&self) -> bool {
        self.upload_progress().is_some_and(|progress| !progress.is_complete())
    }

    /// How far a streamed body has got.
    pub fn upload_progress(&self) -> Option<&UploadProgress> {
        match self {
            RequestBody::Buffered(_) => None,
            RequestBody::Streamed(_, progress) => Some(progress),
        }
    }
}

/// Whether the client of a request is still connected, until the request has its final answer. Both the
/// client's connection and an attempt may find that it has disconnected: the node is told once, before any
/// result of that.
#[derive(Default)]
pub struct ClientPresence {
    id: RequestId,
    liveness: Liveness,
    /// A slot for that message in the node's queue, reserved in advance because a drop can't wait for one.
    /// Taken when it is used or no longer needed.
    queue_slot: Cell<Option<mpsc::OwnedPermit<Message>>>,
}

impl ClientPresence {
    /// The client of this request, with the queue slot for the message that it has disconnected.
    pub fn new(id: RequestId, liveness: Liveness, queue_slot: mpsc::OwnedPermit<Message>) -> Self {
        ClientPresence { id, liveness, queue_slot: Cell::new(Some(queue_slot)) }
    }

    /// Asks the kernel whether the client has disconnected, and tells the node if so.
    pub fn check_disconnected(&self) -> bool {
        let disconnected = self.liveness.is_disconnected();
        if disconnected {
            self.report_disconnected();
        }
        disconnected
    }

    /// Whether the client may have disconnected behind later requests, see [`Liveness::may_be_disconnected`].
    pub fn may_be_disconnected(&self) -> bool {
        self.liveness.may_be_disconnected()
    }

    /// Waits until the kernel knows that the client has disconnected, and tells the node.
    pub async fn disconnected(&self) {
        sleep(DISCONNECT_CHECK_INTERVAL).await;
        while !self.check_disconnected() {
            sleep(DISCONNECT_CHECK_INTERVAL).await;
        }
    }

    /// The bytes that the client has sent and the node has not read yet.
    pub fn unread_bytes(&self) -> u64 {
        self.liveness.unread_bytes()
    }

    /// Tells the node that the client has disconnected, unless it has been told or the request is finished.
    pub fn report_disconnected(&self) {
        if let Some(queue_slot) = self.queue_slot.take() {
            queue_slot.send(Message::ClientGone(self.id));
        }
    }

    /// The request has its final answer: a disconnect is not reported any more. False if one was reported
    /// before.
    pub fn finish(&self) -> bool {
        self.queue_slot.take().is_some()
    }
}

/// What all attempts of a request share: the parts that are forwarded unchanged, and the limits on sending
/// them.
pub struct ForwardedRequest {
    /// The request's method.
    pub method: Method,
    /// The request's path and query.
    pub path: PathAndQuery,
    /// The value of `X-Call-Id`.
    pub call_id: HeaderValue,
    /// The value of `Idempotency-Key`.
    pub idempotency_key: Option<HeaderValue>,
    /// The request's body.
    pub body: RequestBody,
    /// How long the client waits once its whole request has been received.
    pub budget: Duration,
    /// When the client stops waiting. Far in the future while its request body is still being received.
    pub deadline: Cell<Duration>,
    /// How long backends deduplicate the attempts of a keyed request, from the first byte of the first
    /// attempt.
    pub dedup_window: Option<Duration>,
    /// When the first byte of the first attempt was sent.
    pub first_byte_at: Cell<Option<Duration>>,
    /// The request has its final answer or its client has disconnected: nothing more is sent for it.
    pub finished: Cell<bool>,
    /// The client that waits for the answer.
    pub client: Rc<ClientPresence>,
}

/// An attempt that is to be sent to a server.
pub struct Attempt {
    /// The request.
    pub id: RequestId,
    /// The attempt's number, in the order of sending, from 0.
    pub number: u32,
    /// The server.
    pub server: ServerId,
    /// When the node stops waiting for it, as far as is known when it is decided on; see
    /// [`Attempt::deadline`].
    pub initial_deadline: Duration,
    /// What is sent.
    pub forward: Rc<ForwardedRequest>,
}

impl Attempt {
    /// When the node stops waiting for it. The deadline of a request with a streamed body is known only once
    /// the last byte has arrived.
    pub fn deadline(&self) -> Duration {
        self.initial_deadline.min(self.forward.deadline.get())
    }
}

/// Why an attempt is stopped.
pub enum StopReason {
    /// Its time is over.
    TimedOut,
    /// The node needs it no more.
    Cancelled,
}

/// How an attempt ended.
pub struct AttemptResult {
    /// The request.
    pub id: RequestId,
    /// The attempt's number.
    pub attempt: u32,
    /// How it ended.
    pub outcome: Outcome,
    /// The server's load report, if one came with the response.
    pub report: Option<LoadReport>,
    /// The response's body, if the request was served and the body was buffered.
    pub body: Option<Bytes>,
    /// Whether it has consumed a streamed request body, so that no other attempt can send it.
    pub body_consumed: bool,
}

/// How a probe ended.
pub struct ProbeResult {
    /// The server.
    pub server: ServerId,
    /// How it ended.
    pub outcome: Outcome,
    /// When it was sent.
    pub sent_at: Duration,
    /// The server's load report, if there was one.
    pub report: Option<LoadReport>,
}

impl From<ListUpdate> for Message {
    fn from(update: ListUpdate) -> Self {
        Message::List(update)
    }
}

impl From<FleetView> for Message {
    fn from(view: FleetView) -> Self {
        Message::FleetView(view)
    }
}
