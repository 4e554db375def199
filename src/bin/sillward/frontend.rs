//! The clients' side: takes requests, checks them, and writes the final answers that the node gives.

use crate::body::{Download, IdleBudget, LONGEST, MAX_BUFFERED_BYTES, STALL_TIMEOUT, Upload};
use crate::client::{Client, Lapse, Leaves, READ_TIMEOUT};
use crate::client_stream::ClientStream;
use crate::handover::HotRestart;
use crate::lifecycle::{ACCEPT_ON, LAST_WORDS, Lifecycle, Phase, ProcessState};
use crate::liveness::{Liveness, Peer, ask};
use crate::messages::{AcceptedRequest, Answer, ClientPresence, ForwardedRequest, Message, RequestBody};
use bytes::{Bytes, BytesMut};
use hillpick::control::clock::Clock;
use hillpick::control::config::{Config, LiveSettings};
use hillpick::control::log::log;
use hillpick::control::tcp;
use hillpick::settings::SiteSettings;
use hillpick::{NewRequest, RequestId, RequestPolicy, RetrySafety};
use http_body_util::{BodyExt, Either, Full};
use hyper::body::{Body, Incoming};
use hyper::header::{CONNECTION, HeaderMap, HeaderValue, RETRY_AFTER};
use hyper::http::request::Parts;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use rustix::net::{Shutdown, shutdown};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::fmt;
use std::future::{Future, poll_fn};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::rc::Rc;
use std::sync::Arc;
use std::task::Poll;
use std::time::Duration;
use tokio::io::Interest;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, OwnedSemaphorePermit, Semaphore, mpsc, oneshot};
use tokio::task::{spawn_local, yield_now};
use tokio::time::{Instant, sleep, sleep_until, timeout};

/// Until its last byte has come, a request has no deadline; its sender's silence ends it.
const ARRIVING: Duration = Duration::from_secs(86_400);
/// What a connection may buffer: no head is longer.
const READ_BUFFER: usize = 32 * 1024;
/// After an accept that failed for want of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);
/// A process that is told to stop waits so long for bodies that still pass through: the longest of them, at a rate
/// that clients are known to keep up.
const LONGEST_PASSAGE: Duration = Duration::from_secs(60);
/// How soon after it holds a list a process takes up clients beside another.
const READY_PAUSE: Duration = Duration::from_millis(5);
/// Smaller bodies need no room of their own: a connection's buffers hold as much anyway.
const SMALL: usize = 8 * 1024;
const LONGEST_BUDGET_MS: u64 = 600_000;
const LONGEST_ID: usize = 256;

/// As long as a request is held, its connection is not idle.
struct Busy(Rc<Client>, Rc<Frontend>);

impl Drop for Busy {
    fn drop(&mut self) {
        self.0.idle.set(Some(Instant::now()));
        self.1.left.notify_one(); // whoever waits to come in finds this one idle
    }
}

/// What is written to a client.
type Reply = Response<Either<Full<Bytes>, Download<Option<Busy>>>>;

/// How the node stands as a whole.
pub struct Node {
    /// Whether it holds a list of backends.
    pub ready: Rc<Cell<bool>>,
    pub lifecycle: Rc<Lifecycle>,
    pub pair: Rc<HotRestart>,
}

pub struct Frontend {
    clock: Clock,
    current: LiveSettings,
    messages: mpsc::Sender<Message>,
    node: Node,
    /// The last number that a request or a connection was given.
    numbers: Cell<u64>,
    clients: RefCell<BTreeMap<u64, Rc<Client>>>,
    most_clients: usize,
    /// Room for bodies that are kept, in KiB. Who finds none waits to be read.
    room: Arc<Semaphore>,
    /// A connection that is accepted, and waits for another to make room. It outlives a cancelled accept:
    /// it may hold a request.
    waiting: RefCell<Option<TcpStream>>,
    left: Notify,
}

/// What has been read of a body, what is unread of a long one, and the room that the first takes.
type Read = (Bytes, Option<Incoming>, Option<OwnedSemaphorePermit>);

/// Why a request is turned down without being taken: a 4xx, which promises nothing, or a 503 for one that had
/// not come whole when the process was about to end.
type Bad = (StatusCode, &'static str);

impl Frontend {
    pub fn new(
        clock: Clock,
        config: &Config,
        current: LiveSettings,
        messages: mpsc::Sender<Message>,
        node: Node,
    ) -> Rc<Self> {
        Rc::new(Frontend {
            clock,
            current,
            messages,
            node,
            numbers: Cell::new(0),
            clients: RefCell::default(),
            most_clients: config.max_client_connections,
            room: Arc::new(Semaphore::new(config.body_buffer_kib)),
            waiting: RefCell::default(),
            left: Notify::new(),
        })
    }

    /// Serves clients until the node terminates, then ends in good order.
    pub async fn run(self: Rc<Self>, listener: TcpListener) {
        spawn_local(self.clone().see_out());
        spawn_local(self.clone().keep_to_share());
        spawn_local(self.clone().take_no_more());
        let mut phase = self.node.lifecycle.watch();
        tokio::select! {
            () = self.take_up(&listener) => {}
            _ = phase.wait_for(|phase| phase.state == ProcessState::Terminating) => {}
        }
        self.serve_waiting();
        // Whoever has the same queue and goes on serving takes what is in it. That one may go as well, or at the same
        // time: then this one accepts again.
        let pair = &self.node.pair;
        let (mut changes, until) = (pair.changes(), self.node.lifecycle.now().since + ACCEPT_ON);
        while Instant::now() < until {
            tokio::select! {
                () = self.accept(&listener), if !pair.other_serves() => {}
                () = changes.next() => {}
                () = sleep_until(until) => {}
            }
        }
        self.serve_waiting();
        // A connection that waits in the queue may hold a request already: closing the listener would reset it.
        while !pair.other_serves()
            && let Ok(Ok((stream, _))) = timeout(Duration::ZERO, listener.accept()).await
        {
            self.serve(stream);
            if timeout(LAST_WORDS, self.make_room()).await.is_err() {
                break;
            }
        }
        drop(listener);
        sleep_until(self.node.lifecycle.now().since + ACCEPT_ON + LAST_WORDS).await;
        let all_left = async {
            while !self.clients.borrow().is_empty() {
                self.left.notified().await;
            }
        };
        // Every request has its answer by its deadline. Who is left then has sent half a request at most, or a long
        // body is still passing through.
        let site = self.current.get();
        let longest = site.settings.classes.iter().map(|class| class.deadline).max().unwrap_or_default();
        if timeout(longest, all_left).await.is_err() {
            let passing = || self.clients.borrow().values().any(|client| client.idle.get().is_none());
            let passed = async {
                while passing() {
                    self.left.notified().await;
                }
            };
            let whole = timeout(LONGEST_PASSAGE, passed).await.is_ok();
            log(if whole { "a client would not end its connection" } else { "a long body was cut off" });
        }
    }

    /// What has not come whole in time is let go before it counts as taken.
    async fn take_no_more(self: Rc<Self>) {
        self.node.lifecycle.last_byte().await;
        let _ = self.messages.send(Message::BodyDeadline).await;
        while self.clients.borrow().values().any(|client| client.idle.get().is_some() && !client.shed.get()) {
            self.shed_longest_silent();
        }
    }

    /// Once there are two processes each has half: what is idle beyond that leaves, as far as it goes.
    async fn keep_to_share(self: Rc<Self>) {
        let mut changes = self.node.pair.changes();
        loop {
            changes.next().await;
            let share = self.node.pair.share_of_limit(self.most_clients);
            let beyond = self.clients.borrow().len().saturating_sub(share);
            (0..beyond).for_each(|_| self.shed_longest_silent());
        }
    }

    /// Whenever the node drains, for whatever reason: clients leave on an answer that says so, and who has not
    /// asked for anything by the end of the grace is sent off.
    async fn see_out(self: Rc<Self>) {
        let mut phase = self.node.lifecycle.watch();
        while let Ok(Phase { since, .. }) = phase.wait_for(|phase| phase.drains()).await.map(|phase| *phase) {
            tokio::select! {
                () = sleep_until(since + ACCEPT_ON + LAST_WORDS) => {
                    self.clients.borrow().values().for_each(|client| client.close.notify_one());
                    let _ = phase.changed().await;
                }
                _ = phase.changed() => {}
            }
        }
    }

    /// Beside a process that serves, clients are left to it until this one can serve them as well.
    async fn take_up(self: &Rc<Self>, listener: &TcpListener) {
        while self.node.pair.has_predecessor() && !self.node.ready.get() {
            sleep(READY_PAUSE).await;
        }
        self.node.pair.accept();
        self.accept(listener).await;
    }

    async fn accept(self: &Rc<Self>, listener: &TcpListener) {
        loop {
            if self.waiting.borrow().is_none() {
                match listener.accept().await {
                    Ok((stream, _)) => drop(self.waiting.borrow_mut().replace(stream)),
                    Err(e) => {
                        // Out of descriptors, or the client has left already: neither is a reason to end.
                        log(format_args!("cannot accept: {e}"));
                        self.shed_longest_silent();
                        sleep(ACCEPT_PAUSE).await;
                    }
                }
            }
            self.make_room().await;
            self.serve_waiting();
        }
    }

    fn is_full(&self) -> bool {
        self.clients.borrow().len() >= self.node.pair.share_of_limit(self.most_clients)
    }

    fn serve_waiting(self: &Rc<Self>) {
        let waiting = self.waiting.borrow_mut().take();
        waiting.into_iter().for_each(|stream| self.serve(stream));
    }

    /// Whoever holds no request and has been silent longest makes room. It may take a moment to go, so nobody is
    /// told twice: the next one is.
    fn shed_longest_silent(&self) {
        let clients = self.clients.borrow();
        let idle = clients.values().filter(|client| client.idle.get().is_some() && !client.shed.get());
        if let Some(client) = idle.min_by_key(|client| client.moved.get()) {
            client.shed.set(true);
            client.close.notify_one();
        }
    }

    async fn make_room(&self) {
        while self.is_full() {
            self.shed_longest_silent();
            self.left.notified().await;
        }
    }

    fn serve(self: &Rc<Self>, stream: TcpStream) {
        let stream = Rc::new(RefCell::new(tcp::with_nodelay(stream)));
        let client = Rc::new(Client::new(Liveness::of(&stream)));
        let number = self.next();
        self.clients.borrow_mut().insert(number, client.clone());
        let front = self.clone();
        spawn_local(async move {
            let told = front.clone().converse(&stream, &client).await;
            if let Some(stream) = Rc::into_inner(stream).filter(|_| told) {
                front.linger(stream.into_inner(), &client).await;
            }
            front.clients.borrow_mut().remove(&number);
            front.left.notify_one();
        });
    }

    /// Takes requests on a connection until it is to be closed. Whether all that the client is told has been written; else it
    /// has had its time.
    async fn converse(self: Rc<Self>, stream: &Rc<RefCell<TcpStream>>, client: &Rc<Client>) -> bool {
        let service = service_fn(|request| self.clone().respond(client.clone(), request));
        let stream = TokioIo::new(ClientStream::new(stream.clone(), client.clone()));
        let mut server = http1::Builder::new();
        let connection = server.max_buf_size(READ_BUFFER).serve_connection(stream, service);
        let mut connection = std::pin::pin!(connection);
        let mut look = Instant::now();
        // Biased: a request that has come is read before the connection is told to close.
        loop {
            tokio::select! {
                biased;
                _ = connection.as_mut() => return true,
                () = client.close.notified() => {
                    let moved = client.moved.get();
                    // What the kernel holds is seen once the runtime has asked it: that comes first, or a request
                    // that has come would end as a reset.
                    yield_now().await;
                    let polled = poll_fn(|cx| Poll::Ready(connection.as_mut().poll(cx))).await;
                    if polled.is_ready() {
                        return true;
                    }
                    match client.must_leave(moved, self.node.lifecycle.now().state == ProcessState::Terminating) {
                        Leaves::Now => return false,
                        Leaves::InOrder => {
                            connection.as_mut().graceful_shutdown();
                            self.left.notify_one(); // it may have begun to hold a request
                        }
                        Leaves::Later => {
                            // Somebody else makes room.
                            client.shed.set(false);
                            self.left.notify_one();
                        }
                    }
                }
                () = sleep_until(look) => match client.lapse() {
                    Lapse::Later(then) => look = then,
                    Lapse::Leave if client.moved.get().elapsed() < STALL_TIMEOUT => {
                        connection.as_mut().graceful_shutdown();
                        look = client.moved.get() + STALL_TIMEOUT;
                    }
                    Lapse::Leave | Lapse::Cut => return false,
                },
            }
        }
    }

    /// A close over unread bytes resets the connection, and what the client has not taken of its answer goes with it. So
    /// where there are such bytes the client is told of the end and waited for. Nothing more is read: what
    /// comes now has crossed the close.
    async fn linger(&self, stream: TcpStream, client: &Client) {
        if ask(&stream) != Peer::Unread {
            return;
        }
        let _ = shutdown(&stream, Shutdown::Write); // after an error the runtime has not done so; or it has just broken
        // Who has sent more than the system takes can't tell its end: it is not waited for beyond a peer's silence.
        let last = client.moved.get() + READ_TIMEOUT;
        loop {
            tokio::select! {
                // It is ready once the client has ended its side, whatever stands unread before that.
                _ = stream.ready(Interest::PRIORITY) => return,
                () = sleep_until(last) => return,
                () = client.close.notified() => {
                    if self.is_full() {
                        return;
                    }
                    client.shed.set(false); // there is room yet
                }
            }
        }
    }

    fn next(&self) -> u64 {
        self.numbers.set(self.numbers.get() + 1);
        self.numbers.get()
    }

    async fn respond(self: Rc<Self>, client: Rc<Client>, request: Request<Incoming>) -> Result<Reply, Left> {
        client.idle.set(None);
        client.begun.set(None);
        client.passing.set(false);
        let first = !client.asked.replace(true);
        let since = if first { client.connected } else { Instant::now() };
        let liveness = client.liveness.clone();
        let mut busy = Some(Busy(client, self.clone()));
        let handled = self.handle(request, IdleBudget::until(since + READ_TIMEOUT), liveness).await;
        let mut response = match handled {
            Ok(response) => response.ok_or(Left)?,
            Err((status, text)) => plain(status, Bytes::from_static(text.as_bytes())),
        };
        if let Either::Right(download) = response.body_mut() {
            busy.iter().for_each(|Busy(client, _)| client.passing.set(true));
            download.lasts = busy.take();
        }
        // Whoever held a request when this process came down to half of the places could not be shed then.
        let beyond = self.clients.borrow().len() > self.node.pair.share_of_limit(self.most_clients);
        if self.node.lifecycle.now().drains() || beyond {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        Ok(response)
    }

    /// Nothing if its client has left.
    async fn handle(
        &self,
        request: Request<Incoming>,
        mut patience: IdleBudget,
        liveness: Liveness,
    ) -> Result<Option<Reply>, Bad> {
        let (head, body) = request.into_parts();
        // The settings may change while the body comes: it is under those that held when it began.
        let site = self.current.get();
        let (body, rest, room) = self.read(body, &mut patience).await?;
        let at = self.clock.now();
        if head.uri.path() == "/health/ready" {
            let ready = self.node.ready.get() && !self.node.lifecycle.now().drains();
            let status = if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
            return Ok(Some(plain(status, Bytes::new())));
        }
        let checked = self.check(&site, head, body.is_empty() && rest.is_none(), at);
        let (mut new, mut forward) = match checked {
            Ok(checked) => checked,
            Err(bad) => {
                if let Some(rest) = rest {
                    spawn_local(read_out(rest, patience));
                }
                return Err(bad);
            }
        };
        let (reply, answer) = oneshot::channel();
        // The places for later news are kept now: neither a drop nor a body that is read can wait for one.
        let place = async || self.messages.clone().reserve_owned().await;
        let (Ok(left), Ok(arrived), Ok(place)) = (place().await, place().await, place().await) else {
            return Ok(Some(plain(StatusCode::BAD_GATEWAY, Bytes::new())));
        };
        let mut unread = None;
        forward.body = match rest {
            None => {
                forward.buffer_permit = room;
                RequestBody::Buffered(body)
            }
            Some(rest) => {
                (new.body_streaming, forward.deadline) = (true, Cell::new(at + ARRIVING));
                let message = Message::BodyReceived(new.id);
                let tell = Box::new(move || drop(arrived.send(message)));
                let (upload, back) = Upload::new((body, room), rest, patience, tell);
                unread = Some(back);
                RequestBody::streamed(upload)
            }
        };
        // From here to the sending nothing else happens: the module has the settings that hold now.
        let present = self.current.get();
        if !Arc::ptr_eq(&site, &present) {
            let class = site.settings.classes[new.class].clone();
            new.policy = Some(RequestPolicy { class, max_attempts: site.settings.limits.max_attempts });
            let class = site.class_names.get(new.class);
            new.class = class.and_then(|name| present.class_names.position(name)).unwrap_or(usize::MAX);
            let tenant = site.tenant_names.get(new.tenant);
            new.tenant = tenant.map_or(0, |name| present.tenant_names.position(name).unwrap_or(usize::MAX));
        }
        let client = Rc::new(ClientPresence::new(new.id, liveness, left));
        forward.client = client.clone();
        let gone = Gone(client);
        place.send(Message::Request(Box::new(AcceptedRequest {
            request: new,
            received_at: at,
            forward,
            reply,
        })));
        let answer = match (answer.await, gone.0.finish()) {
            (Ok(answer), _) => answer,
            (Err(_), true) => Answer::Failed,
            (Err(_), false) => return Ok(None), // an attempt saw it before the runtime did
        };
        if let Some(unread) = unread {
            // An answer over a body that is still being sent would end as a reset.
            spawn_local(async move {
                if let Ok((rest, patience)) = unread.await {
                    read_out(rest, patience).await;
                }
            });
        }
        Ok(Some(match answer {
            Answer::Served(body) => plain(StatusCode::OK, body),
            Answer::Streamed(length, pieces) => {
                Response::new(Either::Right(Download { pieces, length, lasts: None }))
            }
            Answer::Refused(after) => {
                let mut response = plain(StatusCode::SERVICE_UNAVAILABLE, Bytes::new());
                let after = after.map(|after| format!("{:.3}", after.as_secs_f64()));
                if let Some(Ok(after)) = after.map(HeaderValue::try_from) {
                    response.headers_mut().insert(RETRY_AFTER, after);
                }
                response
            }
            Answer::Failed => plain(StatusCode::BAD_GATEWAY, Bytes::new()),
            Answer::TimedOut => plain(StatusCode::GATEWAY_TIMEOUT, Bytes::new()),
        }))
    }

    /// Reads a request as the protocol words it. What does not fit never reaches a backend.
    fn check(
        &self,
        site: &SiteSettings,
        head: Parts,
        empty: bool,
        at: Duration,
    ) -> Result<(NewRequest, ForwardedRequest), Bad> {
        const BAD: StatusCode = StatusCode::BAD_REQUEST;
        let path = head.uri.path_and_query().ok_or((BAD, "no path"))?.clone();
        let mut parts = path.path().strip_prefix('/').ok_or((BAD, "no path"))?.split('/');
        let name = parts.next().unwrap_or_default();
        let class = site.class_names.position(name);
        let class = class.ok_or((StatusCode::NOT_FOUND, "unknown class"))?;
        let key = parts.next_back().filter(|key| !key.is_empty()).map_or(0, key_number);
        let terms = &site.settings.classes[class];

        let idempotency_key = head.headers.get("idempotency-key").cloned();
        let method = if terms.retry_safety == RetrySafety::Idempotent { Method::GET } else { Method::POST };
        if head.method != method {
            return Err((StatusCode::METHOD_NOT_ALLOWED, "wrong method for this class"));
        }
        if method == Method::GET && !empty {
            return Err((BAD, "a body where none belongs"));
        }
        let window = match terms.retry_safety {
            RetrySafety::Keyed { window, .. } if idempotency_key.is_some() => Some(window),
            RetrySafety::Keyed { .. } => return Err((BAD, "no Idempotency-Key")),
            _ => None,
        };
        let call_id = head.headers.get("x-call-id").filter(|id| (1..=LONGEST_ID).contains(&id.len()));
        let call_id = call_id.ok_or((BAD, "no X-Call-Id"))?.clone();
        let budget = text(&head.headers, "x-budget-ms").and_then(|text| text.parse::<u64>().ok());
        let budget = budget.filter(|ms| (1..=LONGEST_BUDGET_MS).contains(ms));
        let remaining = Duration::from_millis(budget.ok_or((BAD, "no X-Budget-Ms that makes sense"))?);
        let caller = text(&head.headers, "x-caller");
        let tenant = caller.and_then(|caller| site.tenant_names.position(caller));
        if tenant.is_none() && !site.tenant_names.is_empty() {
            return Err((StatusCode::FORBIDDEN, "unknown tenant"));
        }
        let cost = text(&head.headers, "x-call-cost").and_then(|text| text.parse().ok());
        let new = NewRequest {
            id: RequestId(self.next()),
            class,
            policy: None,
            body_streaming: false,
            tenant: tenant.unwrap_or_default(),
            key,
            remaining,
            cost: cost.map(Duration::from_micros),
            client_retry: head.headers.get("x-again").is_some_and(|value| value == "1"),
        };
        let forward = ForwardedRequest {
            method,
            path,
            call_id,
            idempotency_key,
            body: RequestBody::Buffered(Bytes::new()),
            budget: remaining,
            deadline: Cell::new(at + remaining),
            dedup_window: window,
            buffer_permit: None,
            first_byte_at: Cell::new(None),
            finished: Cell::new(false),
            client: Rc::default(),
        };
        Ok((new, forward))
    }

    /// Reads what is kept of a body; with the rest if there is more than that, and the room that it takes.
    async fn read(&self, mut body: Incoming, patience: &mut IdleBudget) -> Result<Read, Bad> {
        let (mut whole, mut room) = (BytesMut::new(), None);
        if body.size_hint().lower() > LONGEST {
            spawn_local(read_out(body, IdleBudget::until(Instant::now() + READ_TIMEOUT)));
            return Err((StatusCode::PAYLOAD_TOO_LARGE, "body over 32 MiB"));
        }
        loop {
            let asked = Instant::now();
            let frame = tokio::select! {
                biased;
                frame = timeout(patience.left(), body.frame()) => frame,
                () = self.node.lifecycle.last_byte() => {
                    spawn_local(read_out(body, IdleBudget::until(Instant::now() + READ_TIMEOUT)));
                    return Err((StatusCode::SERVICE_UNAVAILABLE, "terminating"));
                }
            };
            let frame = match frame.map_err(|_| (StatusCode::REQUEST_TIMEOUT, "too slow"))? {
                Some(frame) => frame.map_err(|_| (StatusCode::BAD_REQUEST, "broken body"))?,
                None => return Ok((whole.freeze(), None, room)),
            };
            let data = frame.into_data().unwrap_or_default();
            patience.came(asked.elapsed(), data.len());
            whole.extend_from_slice(&data);
            if whole.len() > MAX_BUFFERED_BYTES {
                return Ok((whole.freeze(), Some(body), room));
            }
            if whole.len() > SMALL && room.is_none() {
                room = self.room.clone().acquire_many_owned((MAX_BUFFERED_BYTES / 1024) as u32).await.ok();
            }
        }
    }
}

/// A client that leaves drops the future that serves it, and this with it.
struct Gone(Rc<ClientPresence>);

impl Drop for Gone {
    fn drop(&mut self) {
        self.0.report_disconnected();
    }
}

/// A client that has left is written nothing: its connection ends.
#[derive(Debug)]
struct Left;

impl fmt::Display for Left {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.write_str("the client has left")
    }
}

impl std::error::Error for Left {}

/// Reads a body to its end for nobody, as far as one may go, so that its sender sees the answer and not a reset.
async fn read_out(mut body: Incoming, mut patience: IdleBudget) {
    let mut length = 0;
    while length <= LONGEST {
        let asked = Instant::now();
        let Ok(Some(Ok(frame))) = timeout(patience.left(), body.frame()).await else { return };
        let data = frame.into_data().unwrap_or_default();
        patience.came(asked.elapsed(), data.len());
        length += data.len() as u64;
    }
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// What a request is about, as the module's number: the same text gives the same number at every node.
fn key_number(text: &str) -> u64 {
    u64::from_str_radix(text, 16).unwrap_or_else(|_| {
        let mut hasher = DefaultHasher::new();
        text.hash(&mut hasher);
        hasher.finish()
    })
}

fn plain(status: StatusCode, body: Bytes) -> Reply {
    let mut response = Response::new(Either::Left(Full::new(body)));
    *response.status_mut() = status;
    response
}

#[cfg(test)]
mod disconnects;
#[cfg(test)]
mod tests;
