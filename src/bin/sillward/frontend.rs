//! The clients' side of the node: accepts connections, reads and validates requests, and writes the final
//! responses.

use crate::arrival;
use crate::body::{Download, IdleBudget, MAX_BODY_BYTES, MAX_BUFFERED_BYTES, STALL_TIMEOUT};
use crate::client::{Client, CloseMode, READ_BUFFER_BYTES, READ_TIMEOUT, TimeoutAction};
use crate::client_stream::ClientStream;
use crate::handover::HotRestart;
use crate::lifecycle::{DRAIN_ACCEPT_PERIOD, FINAL_REQUEST_GRACE, Lifecycle, Phase, ProcessState};
use crate::liveness::{Liveness, PeerState, peer_state};
use crate::messages::{AcceptedRequest, Answer, ClientPresence, ForwardedRequest, Message, RequestBody};
use crate::upload::{Upload, UploadProgress};
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
use std::convert::Infallible;
use std::fmt;
use std::future::{Future, pending, poll_fn};
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

/// Deadline of a request whose streamed body is still arriving: none in effect, as an idle sender ends it
/// earlier.
const UPLOAD_DEADLINE: Duration = Duration::from_secs(86_400);
/// Pause after an accept that failed, for example for lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);
/// How long a shutdown waits for bodies that are still being streamed: long enough for the longest body at a
/// rate that clients are known to keep up.
const STREAMING_SHUTDOWN_LIMIT: Duration = Duration::from_secs(60);
/// How often a process that starts beside another checks whether it holds a server list and can accept
/// clients.
const READINESS_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Bodies up to this length need no reserved buffer memory: a connection's buffers hold as much anyway.
const UNRESERVED_BODY_BYTES: usize = 8 * 1024;
/// Largest `X-Budget-Ms` that is accepted.
const MAX_BUDGET_MS: u64 = 600_000;
/// Longest `X-Call-Id` that is accepted.
const MAX_CALL_ID_BYTES: usize = 256;

/// Keeps a connection from counting as idle while a request on it is in progress.
struct InProgress(Rc<Client>, Rc<Frontend>);

impl Drop for InProgress {
    fn drop(&mut self) {
        self.0.idle_since.set(Some(Instant::now()));
        self.1.slot_freed.notify_one(); // a connection that waits for a free slot may now shed this one
    }
}

/// What is written to a client: a buffered body or a streamed one.
type ClientResponse = Response<Either<Full<Bytes>, Download<Option<InProgress>>>>;

/// The state of the node that the frontend goes by.
pub struct NodeState {
    /// Whether it holds a list of backends.
    pub ready: Rc<Cell<bool>>,
    /// Whether it serves, drains or shuts down.
    pub lifecycle: Rc<Lifecycle>,
    /// The processes beside it during a hot restart.
    pub hot_restart: Rc<HotRestart>,
}

/// Serves the clients' connections.
pub struct Frontend {
    clock: Clock,
    live_settings: LiveSettings,
    messages: mpsc::Sender<Message>,
    node: NodeState,
    /// The last id that was given to a request or a connection.
    last_id: Cell<u64>,
    clients: RefCell<BTreeMap<u64, Rc<Client>>>,
    max_clients: usize,
    /// Memory for buffered bodies, a permit per KiB. A body that gets none is not read until it does.
    buffer_memory: Arc<Semaphore>,
    /// A connection that has been accepted and waits for a free slot. It is kept here so that a cancelled
    /// accept does not drop it: it may carry a request.
    pending_accept: RefCell<Option<TcpStream>>,
    /// Notified when a connection closes or becomes idle: one that waits for a free slot can go on then.
    slot_freed: Notify,
}

/// The buffered part of a body, the unread rest if it is to be streamed, and the memory reserved for the
/// first.
type ReadBody = (Bytes, Option<Incoming>, Option<OwnedSemaphorePermit>);

/// The response to a request that is not accepted: a 4xx, which promises nothing, or a 503 for a request that
/// was still incomplete when the process was about to end.
type Rejection = (StatusCode, &'static str);

impl Frontend {
    /// A frontend that has no connections yet.
    pub fn new(
        clock: Clock,
        config: &Config,
        live_settings: LiveSettings,
        messages: mpsc::Sender<Message>,
        node: NodeState,
    ) -> Rc<Self> {
        Rc::new(Frontend {
            clock,
            live_settings,
            messages,
            node,
            last_id: Cell::new(0),
            clients: RefCell::default(),
            max_clients: config.max_client_connections,
            buffer_memory: Arc::new(Semaphore::new(config.body_buffer_kib)),
            pending_accept: RefCell::default(),
            slot_freed: Notify::new(),
        })
    }

    /// Serves clients until the node terminates, then shuts down gracefully.
    pub async fn run(self: Rc<Self>, listener: TcpListener) {
        spawn_local(self.clone().close_idle_when_draining());
        spawn_local(self.clone().enforce_connection_share());
        spawn_local(self.clone().enforce_body_deadline());
        let mut phase = self.node.lifecycle.watch();
        tokio::select! {
            () = self.accept_when_ready(&listener) => {}
            _ = phase.wait_for(|phase| phase.state == ProcessState::Terminating) => {}
        }
        self.serve_pending();
        // A sibling process that shares the accept queue and goes on serving accepts what is in it. If that
        // process terminates as well, even at the same time, this one accepts again.
        let hot_restart = &self.node.hot_restart;
        let (mut changes, accept_until) =
            (hot_restart.changes(), self.node.lifecycle.now().since + DRAIN_ACCEPT_PERIOD);
        while Instant::now() < accept_until {
            tokio::select! {
                () = self.accept(&listener), if !hot_restart.sibling_accepts() => {}
                () = changes.next() => {}
                () = sleep_until(accept_until) => {}
            }
        }
        self.serve_pending();
        // A connection in the accept queue may already carry a request: closing the listener would reset it.
        while !hot_restart.sibling_accepts()
            && let Ok(Ok((stream, _))) = timeout(Duration::ZERO, listener.accept()).await
        {
            self.serve(stream);
            if timeout(FINAL_REQUEST_GRACE, self.free_slot()).await.is_err() {
                break;
            }
        }
        drop(listener);
        sleep_until(self.node.lifecycle.now().since + DRAIN_ACCEPT_PERIOD + FINAL_REQUEST_GRACE).await;
        let all_closed = async {
            while !self.clients.borrow().is_empty() {
                self.slot_freed.notified().await;
            }
        };
        // Every request is answered by its deadline. A connection that is still open then has sent an
        // incomplete request at most, or its body is still being streamed.
        let site = self.live_settings.get();
        let max_deadline = site.settings.classes.iter().map(|class| class.deadline).max().unwrap_or_default();
        if timeout(max_deadline, all_closed).await.is_err() {
            let any_streaming =
                || self.clients.borrow().values().any(|client| client.idle_since.get().is_none());
            let streams_ended = async {
                while any_streaming() {
                    self.slot_freed.notified().await;
                }
            };
            let all_streamed = timeout(STREAMING_SHUTDOWN_LIMIT, streams_ended).await.is_ok();
            log(if all_streamed {
                "shutdown: closing connections that their clients keep open"
            } else {
                "shutdown: cutting off a body that is still being streamed"
            });
        }
    }

    /// At the shutdown's body deadline, drops the requests that are incomplete: they do not count as
    /// accepted.
    async fn enforce_body_deadline(self: Rc<Self>) {
        self.node.lifecycle.body_deadline().await;
        let _ = self.messages.send(Message::BodyDeadline).await;
        while self
            .clients
            .borrow()
            .values()
            .any(|client| client.idle_since.get().is_some() && !client.shed.get())
        {
            self.shed_longest_idle();
        }
    }

    /// During a hot restart each of the two processes has half of the connections: sheds idle ones beyond
    /// that half.
    async fn enforce_connection_share(self: Rc<Self>) {
        let mut changes = self.node.hot_restart.changes();
        loop {
            changes.next().await;
            let share = self.node.hot_restart.share_of_limit(self.max_clients);
            let excess = self.clients.borrow().len().saturating_sub(share);
            (0..excess).for_each(|_| self.shed_longest_idle());
        }
    }

    /// Whenever the node drains, for whatever reason, responses ask their clients to close. A connection that
    /// carries no request by the end of the grace period is closed here.
    async fn close_idle_when_draining(self: Rc<Self>) {
        let mut phase = self.node.lifecycle.watch();
        while let Ok(Phase { since, .. }) =
            phase.wait_for(|phase| phase.is_draining()).await.map(|phase| *phase)
        {
            tokio::select! {
                () = sleep_until(since + DRAIN_ACCEPT_PERIOD + FINAL_REQUEST_GRACE) => {
                    self.clients.borrow().values().for_each(|client| client.close.notify_one());
                    let _ = phase.changed().await;
                }
                _ = phase.changed() => {}
            }
        }
    }

    /// Accepts clients, but leaves them to the predecessor, if there is one, until this process can serve
    /// them as well.
    async fn accept_when_ready(self: &Rc<Self>, listener: &TcpListener) {
        while self.node.hot_restart.has_predecessor() && !self.node.ready.get() {
            sleep(READINESS_POLL_INTERVAL).await;
        }
        self.node.hot_restart.start_accepting();
        self.accept(listener).await;
    }

    /// Accepts connections; each is served once there is a free slot for it.
    async fn accept(self: &Rc<Self>, listener: &TcpListener) {
        loop {
            if self.pending_accept.borrow().is_none() {
                match listener.accept().await {
                    Ok((stream, _)) => drop(self.pending_accept.borrow_mut().replace(stream)),
                    Err(e) => {
                        // Out of descriptors, or the client has disconnected already: neither is a reason to
                        // stop.
                        log(format_args!("cannot accept: {e}"));
                        self.shed_longest_idle();
                        sleep(ACCEPT_RETRY_DELAY).await;
                    }
                }
            }
            self.free_slot().await;
            self.serve_pending();
        }
    }

    fn is_full(&self) -> bool {
        self.clients.borrow().len() >= self.node.hot_restart.share_of_limit(self.max_clients)
    }

    fn serve_pending(self: &Rc<Self>) {
        let pending = self.pending_accept.borrow_mut().take();
        pending.into_iter().for_each(|stream| self.serve(stream));
    }

    /// Tells the connection that has been idle for longest to close. Closing may take a moment, so a
    /// connection that has been told is skipped.
    fn shed_longest_idle(&self) {
        let clients = self.clients.borrow();
        let idle = clients.values().filter(|client| client.idle_since.get().is_some() && !client.shed.get());
        if let Some(client) = idle.min_by_key(|client| client.last_activity.get()) {
            client.shed.set(true);
            client.close.notify_one();
        }
    }

    /// Sheds idle connections until there is a free slot.
    async fn free_slot(&self) {
        while self.is_full() {
            self.shed_longest_idle();
            self.slot_freed.notified().await;
        }
    }

    /// Serves a connection in a task of its own until it is closed.
    fn serve(self: &Rc<Self>, stream: TcpStream) {
        let stream = Rc::new(RefCell::new(tcp::with_nodelay(stream)));
        let client = Rc::new(Client::new(Liveness::of(&stream)));
        let id = self.next_id();
        self.clients.borrow_mut().insert(id, client.clone());
        let frontend = self.clone();
        spawn_local(async move {
            let completed = frontend.clone().serve_connection(&stream, &client).await;
            if let Some(stream) = Rc::into_inner(stream).filter(|_| completed) {
                frontend.lingering_close(stream.into_inner(), &client).await;
            }
            frontend.clients.borrow_mut().remove(&id);
            frontend.slot_freed.notify_one();
        });
    }

    /// Serves requests on a connection until it is to be closed. Returns true if all responses have been
    /// written, false if the connection timed out or is to be closed at once.
    async fn serve_connection(self: Rc<Self>, stream: &Rc<RefCell<TcpStream>>, client: &Rc<Client>) -> bool {
        let service = service_fn(|request| self.clone().respond(client.clone(), request));
        let stream = TokioIo::new(ClientStream::new(stream.clone(), client.clone()));
        let mut server = http1::Builder::new();
        let connection = server.max_buf_size(READ_BUFFER_BYTES).serve_connection(stream, service);
        let mut connection = std::pin::pin!(connection);
        let mut next_check = Instant::now();
        // Biased: a request that has arrived is read before the connection is told to close.
        loop {
            tokio::select! {
                biased;
                _ = connection.as_mut() => return true,
                () = client.close.notified() => {
                    let activity_before = client.last_activity.get();
                    // Bytes in the kernel are seen only once the runtime has polled it. That comes first;
                    // otherwise a request that has arrived would be reset.
                    yield_now().await;
                    let polled = poll_fn(|cx| Poll::Ready(connection.as_mut().poll(cx))).await;
                    if polled.is_ready() {
                        return true;
                    }
                    match client.close_mode(
                        activity_before,
                        self.node.lifecycle.now().state == ProcessState::Terminating,
                    ) {
                        CloseMode::Immediate => return false,
                        CloseMode::Graceful => {
                            connection.as_mut().graceful_shutdown();
                            self.slot_freed.notify_one(); // a request may be in progress: shed another one
                        }
                        CloseMode::Deferred => {
                            // Another connection has to be shed instead.
                            client.shed.set(false);
                            self.slot_freed.notify_one();
                        }
                    }
                }
                () = sleep_until(next_check) => match client.check_timeout() {
                    TimeoutAction::Recheck(time) => next_check = time,
                    TimeoutAction::CloseGracefully
                        if client.last_activity.get().elapsed() < STALL_TIMEOUT =>
                    {
                        connection.as_mut().graceful_shutdown();
                        next_check = client.last_activity.get() + STALL_TIMEOUT;
                    }
                    TimeoutAction::CloseGracefully | TimeoutAction::CloseNow => return false,
                },
            }
        }
    }

    /// Lingering close: closing a socket with unread bytes resets the connection, and the client loses what
    /// it has not yet read of its response. So where there are such bytes the sending side is shut down, and
    /// the client's close is waited for. Nothing more is read: a request that arrives now has raced with the
    /// close.
    async fn lingering_close(&self, stream: TcpStream, client: &Client) {
        if peer_state(&stream) != PeerState::UnreadData {
            return;
        }
        // After an error hyper has not shut it down. Fails if the connection has just broken.
        let _ = shutdown(&stream, Shutdown::Write);
        // If the socket's receive buffer is full, the client's close cannot arrive: the wait ends with the
        // read timeout.
        let wait_end = client.last_activity.get() + READ_TIMEOUT;
        loop {
            tokio::select! {
                // Ready once the client has shut down its side, even with unread bytes before that.
                _ = stream.ready(Interest::PRIORITY) => return,
                () = sleep_until(wait_end) => return,
                () = client.close.notified() => {
                    if self.is_full() {
                        return;
                    }
                    client.shed.set(false); // there are free slots
                }
            }
        }
    }

    fn next_id(&self) -> u64 {
        self.last_id.set(self.last_id.get() + 1);
        self.last_id.get()
    }

    /// Answers a request, and asks the client to close its connection if the node drains or has too many.
    async fn respond(
        self: Rc<Self>,
        client: Rc<Client>,
        request: Request<Incoming>,
    ) -> Result<ClientResponse, ClientDisconnected> {
        client.idle_since.set(None);
        client.next_begun.set(None);
        client.streaming.set(false);
        let first = !client.had_request.replace(true);
        let since = if first { client.connected } else { Instant::now() };
        let liveness = client.liveness.clone();
        let mut in_progress = Some(InProgress(client, self.clone()));
        let handled = self.handle(request, IdleBudget::until(since + READ_TIMEOUT), liveness).await;
        let mut response = match handled {
            Ok(response) => response.ok_or(ClientDisconnected)?,
            Err((status, text)) => plain_response(status, Bytes::from_static(text.as_bytes())),
        };
        if let Either::Right(download) = response.body_mut() {
            in_progress.iter().for_each(|InProgress(client, _)| client.streaming.set(true));
            download.guard = in_progress.take();
        }
        // A connection with a request in progress could not be shed when a sibling process took half of the
        // slots.
        let over_share = self.clients.borrow().len() > self.node.hot_restart.share_of_limit(self.max_clients);
        if self.node.lifecycle.now().is_draining() || over_share {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        Ok(response)
    }

    /// Reads, validates and forwards a request. `None` if its client has disconnected.
    async fn handle(
        &self,
        request: Request<Incoming>,
        mut idle_budget: IdleBudget,
        liveness: Liveness,
    ) -> Result<Option<ClientResponse>, Rejection> {
        let (head, body) = request.into_parts();
        // The settings may change while the body arrives: the request goes by those in force when it began.
        let site = self.live_settings.get();
        let (body, rest, buffer_permit) = self.read_body(body, &mut idle_budget).await?;
        let received_at = self.clock.now();
        if head.uri.path() == "/health/ready" {
            let ready = self.node.ready.get() && !self.node.lifecycle.now().is_draining();
            let status = if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
            return Ok(Some(plain_response(status, Bytes::new())));
        }
        let validated = self.validate(&site, head, body.is_empty() && rest.is_none(), received_at);
        let (mut new_request, mut forward) = match validated {
            Ok(validated) => validated,
            Err(rejection) => {
                if let Some(rest) = rest {
                    spawn_local(discard_body(rest, idle_budget));
                }
                return Err(rejection);
            }
        };
        let (reply, answer) = oneshot::channel();
        // Queue slots for the later messages are reserved now: neither a drop nor a body's last byte can wait
        // for one.
        let reserve = async || self.messages.clone().reserve_owned().await;
        let (Ok(disconnect_permit), Ok(body_permit), Ok(request_permit)) =
            (reserve().await, reserve().await, reserve().await)
        else {
            return Ok(Some(plain_response(StatusCode::BAD_GATEWAY, Bytes::new())));
        };
        let (mut unread, mut progress) = (None, None);
        let arrived = rest.as_ref().is_some_and(Incoming::is_end_stream);
        forward.body = match rest {
            None => {
                forward.buffer_permit = buffer_permit;
                RequestBody::Buffered(body)
            }
            Some(rest) => {
                (new_request.body_streaming, forward.deadline) =
                    (true, Cell::new(received_at + UPLOAD_DEADLINE));
                let id = new_request.id;
                let on_received =
                    Box::new(move |at| drop(body_permit.send(Message::BodyReceived { id, at })));
                let (upload, unread_rest) =
                    Upload::new((body, buffer_permit), rest, idle_budget, on_received);
                progress = Some(upload.progress().clone());
                unread = Some(unread_rest);
                RequestBody::streamed(upload)
            }
        };
        // No await from here to the send: the decision module has the settings that are in force now.
        self.carry_over_settings(&site, &mut new_request);
        let client = Rc::new(ClientPresence::new(new_request.id, liveness, disconnect_permit));
        forward.client = client.clone();
        let disconnect_guard = DisconnectGuard(client.clone());
        request_permit.send(Message::Request(Box::new(AcceptedRequest {
            request: new_request,
            received_at,
            forward,
            reply,
        })));
        // The chunk that made the body too long to buffer may also be its last.
        if let Some(progress) = progress.as_ref().filter(|_| arrived) {
            progress.record_received(self.clock.instant(received_at));
        }
        let answer = tokio::select! {
            biased;
            answer = answer => answer,
            never = watch_client(&client, progress.as_deref()) => match never {},
        };
        let answer = match (answer, disconnect_guard.0.finish()) {
            (Ok(answer), _) => answer,
            (Err(_), true) => Answer::Failed,
            (Err(_), false) => return Ok(None), // an attempt noticed the disconnect before the runtime did
        };
        if let Some(unread) = unread {
            // If the rest of the body stayed unread, closing the connection would reset it and lose the
            // response.
            spawn_local(async move {
                if let Ok((rest, idle_budget)) = unread.await {
                    discard_body(rest, idle_budget).await;
                }
            });
        }
        Ok(Some(client_response(answer)))
    }

    /// If the settings have changed since the request began, it keeps the policy that it began under, and its
    /// class and tenant are found by name in the present settings.
    fn carry_over_settings(&self, site: &Arc<SiteSettings>, request: &mut NewRequest) {
        let current_site = self.live_settings.get();
        if Arc::ptr_eq(site, &current_site) {
            return;
        }
        let class = site.settings.classes[request.class].clone();
        request.policy = Some(RequestPolicy { class, max_attempts: site.settings.limits.max_attempts });
        let class = site.class_names.get(request.class);
        request.class = class.and_then(|name| current_site.class_names.position(name)).unwrap_or(usize::MAX);
        let tenant = site.tenant_names.get(request.tenant);
        request.tenant =
            tenant.map_or(0, |name| current_site.tenant_names.position(name).unwrap_or(usize::MAX));
    }

    /// Validates a request's head. A request that breaks the protocol never reaches a backend.
    fn validate(
        &self,
        site: &SiteSettings,
        head: Parts,
        body_is_empty: bool,
        received_at: Duration,
    ) -> Result<(NewRequest, ForwardedRequest), Rejection> {
        const BAD_REQUEST: StatusCode = StatusCode::BAD_REQUEST;
        let path = head.uri.path_and_query().ok_or((BAD_REQUEST, "no path"))?.clone();
        let mut parts = path.path().strip_prefix('/').ok_or((BAD_REQUEST, "no path"))?.split('/');
        let name = parts.next().unwrap_or_default();
        let class = site.class_names.position(name);
        let class = class.ok_or((StatusCode::NOT_FOUND, "unknown class"))?;
        let key = parts.next_back().filter(|key| !key.is_empty()).map_or(0, request_key);
        let class_settings = &site.settings.classes[class];

        let idempotency_key = head.headers.get("idempotency-key").cloned();
        let method =
            if class_settings.retry_safety == RetrySafety::Idempotent { Method::GET } else { Method::POST };
        if head.method != method {
            return Err((StatusCode::METHOD_NOT_ALLOWED, "wrong method for this class"));
        }
        if method == Method::GET && !body_is_empty {
            return Err((BAD_REQUEST, "a body where none belongs"));
        }
        let dedup_window = match class_settings.retry_safety {
            RetrySafety::Keyed { window, .. } if idempotency_key.is_some() => Some(window),
            RetrySafety::Keyed { .. } => return Err((BAD_REQUEST, "no Idempotency-Key")),
            _ => None,
        };
        let call_id = head.headers.get("x-call-id").filter(|id| (1..=MAX_CALL_ID_BYTES).contains(&id.len()));
        let call_id = call_id.ok_or((BAD_REQUEST, "no X-Call-Id"))?.clone();
        let budget = header_text(&head.headers, "x-budget-ms").and_then(|text| text.parse::<u64>().ok());
        let budget = budget.filter(|ms| (1..=MAX_BUDGET_MS).contains(ms));
        let remaining =
            Duration::from_millis(budget.ok_or((BAD_REQUEST, "no X-Budget-Ms that makes sense"))?);
        let caller = header_text(&head.headers, "x-caller");
        let tenant = caller.and_then(|caller| site.tenant_names.position(caller));
        if tenant.is_none() && !site.tenant_names.is_empty() {
            return Err((StatusCode::FORBIDDEN, "unknown tenant"));
        }
        let cost = header_text(&head.headers, "x-call-cost").and_then(|text| text.parse().ok());
        let new_request = NewRequest {
            id: RequestId(self.next_id()),
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
            deadline: Cell::new(received_at + remaining),
            dedup_window,
            buffer_permit: None,
            first_byte_at: Cell::new(None),
            finished: Cell::new(false),
            client: Rc::default(),
        };
        Ok((new_request, forward))
    }

    /// Reads a body as far as it is buffered. A longer one is returned with its unread rest, to be streamed.
    async fn read_body(
        &self,
        mut body: Incoming,
        idle_budget: &mut IdleBudget,
    ) -> Result<ReadBody, Rejection> {
        let (mut buffered, mut buffer_permit) = (BytesMut::new(), None);
        if body.size_hint().lower() > MAX_BODY_BYTES {
            spawn_local(discard_body(body, IdleBudget::until(Instant::now() + READ_TIMEOUT)));
            return Err((StatusCode::PAYLOAD_TOO_LARGE, "body over 32 MiB"));
        }
        loop {
            let waited_since = Instant::now();
            let frame = tokio::select! {
                biased;
                frame = timeout(idle_budget.remaining(), body.frame()) => frame,
                () = self.node.lifecycle.body_deadline() => {
                    spawn_local(discard_body(body, IdleBudget::until(Instant::now() + READ_TIMEOUT)));
                    return Err((StatusCode::SERVICE_UNAVAILABLE, "terminating"));
                }
            };
            let frame = match frame.map_err(|_| (StatusCode::REQUEST_TIMEOUT, "too slow"))? {
                Some(frame) => frame.map_err(|_| (StatusCode::BAD_REQUEST, "broken body"))?,
                None => return Ok((buffered.freeze(), None, buffer_permit)),
            };
            let data = frame.into_data().unwrap_or_default();
            idle_budget.record(waited_since.elapsed(), data.len());
            buffered.extend_from_slice(&data);
            if buffered.len() > MAX_BUFFERED_BYTES {
                return Ok((buffered.freeze(), Some(body), buffer_permit));
            }
            if buffered.len() > UNRESERVED_BODY_BYTES && buffer_permit.is_none() {
                buffer_permit = self
                    .buffer_memory
                    .clone()
                    .acquire_many_owned((MAX_BUFFERED_BYTES / 1024) as u32)
                    .await
                    .ok();
            }
        }
    }
}

/// Watches what the runtime does not see while a request is in progress: when the last byte of a streamed body
/// arrives, and that the client disconnects behind unread bytes. Tells the node of both.
async fn watch_client(client: &ClientPresence, upload: Option<&UploadProgress>) -> Infallible {
    if let Some(progress) = upload {
        arrival::watch(progress, client).await;
    }
    client.disconnected().await;
    pending().await
}

/// Reports the disconnect of a client: it drops the future that serves the request, and this guard with it.
struct DisconnectGuard(Rc<ClientPresence>);

impl Drop for DisconnectGuard {
    fn drop(&mut self) {
        self.0.report_disconnected();
    }
}

/// The error that ends the connection of a client that has disconnected: no response is written.
#[derive(Debug)]
struct ClientDisconnected;

impl fmt::Display for ClientDisconnected {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.write_str("the client has disconnected")
    }
}

impl std::error::Error for ClientDisconnected {}

/// Reads a body to its end, up to the longest allowed, and discards it, so that its sender sees the response
/// instead of a reset.
async fn discard_body(mut body: Incoming, mut idle_budget: IdleBudget) {
    let mut length = 0;
    while length <= MAX_BODY_BYTES {
        let waited_since = Instant::now();
        let Ok(Some(Ok(frame))) = timeout(idle_budget.remaining(), body.frame()).await else { return };
        let data = frame.into_data().unwrap_or_default();
        idle_budget.record(waited_since.elapsed(), data.len());
        length += data.len() as u64;
    }
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// The key of a request as the decision module's number. The same text gives the same number at every node.
fn request_key(text: &str) -> u64 {
    u64::from_str_radix(text, 16).unwrap_or_else(|_| {
        let mut hasher = DefaultHasher::new();
        text.hash(&mut hasher);
        hasher.finish()
    })
}

/// The response that gives the client this answer.
fn client_response(answer: Answer) -> ClientResponse {
    match answer {
        Answer::Served(body) => plain_response(StatusCode::OK, body),
        Answer::Streamed(length, chunks) => {
            Response::new(Either::Right(Download { chunks, length, guard: None }))
        }
        Answer::Refused(retry_after) => {
            let mut response = plain_response(StatusCode::SERVICE_UNAVAILABLE, Bytes::new());
            let retry_after = retry_after.map(|retry_after| format!("{:.3}", retry_after.as_secs_f64()));
            if let Some(Ok(retry_after)) = retry_after.map(HeaderValue::try_from) {
                response.headers_mut().insert(RETRY_AFTER, retry_after);
            }
            response
        }
        Answer::Failed => plain_response(StatusCode::BAD_GATEWAY, Bytes::new()),
        Answer::TimedOut => plain_response(StatusCode::GATEWAY_TIMEOUT, Bytes::new()),
    }
}

fn plain_response(status: StatusCode, body: Bytes) -> ClientResponse {
    let mut response = Response::new(Either::Left(Full::new(body)));
    *response.status_mut() = status;
    response
}

#[cfg(test)]
mod disconnects;
#[cfg(test)]
mod tests;
