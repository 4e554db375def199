//! The clients' side of the node: accepts connections, reads and validates requests, and writes the final
//! responses.

use crate::arrival;
use crate::body::{Download, IdleBudget, STALL_TIMEOUT};
use crate::client::{Client, CloseMode, READ_TIMEOUT, TimeoutAction};
use crate::client_stream::ClientStream;
use crate::handover::HotRestart;
use crate::head_refusal::refuse_head;
use crate::lifecycle::{DRAIN_ACCEPT_PERIOD, FINAL_REQUEST_GRACE, Lifecycle, Phase, ProcessState};
use crate::liveness::{Liveness, PeerState, peer_state};
use crate::memory::{EXCHANGE_BYTES, MAX_UNREAD_WAIT, MemoryBudget, Reservation};
use crate::messages::{AcceptedRequest, Answer, ClientPresence, Message, RequestBody};
use crate::read_chunk::READ_BUFFER_BYTES;
use crate::request_body::{
    BodyReader, MEMORY_WAIT_DIVISOR, OUT_OF_MEMORY, ReadBody, TOO_MUCH_PIPELINED, discard, discard_later,
};
use crate::request_head::{Rejection, RequestHead};
use crate::upload::{Upload, UploadProgress};
use bytes::Bytes;
use hillpick::control::clock::Clock;
use hillpick::control::config::{Config, LiveSettings};
use hillpick::control::log::log;
use hillpick::control::tcp;
use hillpick::settings::SiteSettings;
use hillpick::{NewRequest, RequestId, RequestPolicy};
use http_body_util::{Either, Full};
use hyper::body::{Body, Incoming};
use hyper::header::{CONNECTION, HeaderValue, RETRY_AFTER};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use rustix::net::{Shutdown, shutdown};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::fmt;
use std::future::{Future, pending, poll_fn};
use std::rc::Rc;
use std::sync::Arc;
use std::task::Poll;
use std::time::Duration;
use tokio::io::Interest;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, mpsc, oneshot};
use tokio::task::{spawn_local, yield_now};
use tokio::time::{Instant, sleep, sleep_until, timeout, timeout_at};

/// Deadline of a request whose streamed body is still arriving: none in effect, as an idle sender ends it
/// earlier.
const UPLOAD_DEADLINE: Duration = Duration::from_secs(86_400);
/// Pause after an accept that failed, for example for lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);
/// How long a shutdown waits for bodies that are still being streamed: long enough for the longest body at a
/// rate that clients are known to keep up.
const STREAMING_SHUTDOWN_LIMIT: Duration = Duration::from_secs(60);
/// How often connections that can be shed are looked for while there is no free slot.
const SHED_INTERVAL: Duration = Duration::from_millis(20);
/// How often a process that starts beside another checks whether it holds a server list and can accept
/// clients.
const READINESS_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// The path of the readiness check.
const READINESS_PATH: &str = "/health/ready";
/// The least time between two lines of the log on refusals for lack of memory.
const REFUSAL_LOG_INTERVAL: Duration = Duration::from_secs(1);

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
    /// The memory for buffers, and how much of it a process has that is alone.
    memory: Arc<MemoryBudget>,
    memory_limit: usize,
    /// Requests that were refused for lack of memory and stand in no line of the log yet, and when the last line
    /// was written.
    unlogged_refusals: Cell<(usize, Option<Instant>)>,
    /// A connection that has been accepted and waits for a free slot. It is kept here so that a cancelled
    /// accept does not drop it: it may carry a request.
    pending_accept: RefCell<Option<TcpStream>>,
    /// Notified when a connection closes or becomes idle: one that waits for a free slot can go on then.
    slot_freed: Notify,
}

impl Frontend {
    /// A frontend that has no connections yet.
    pub fn new(
        clock: Clock,
        config: &Config,
        live_settings: LiveSettings,
        messages: mpsc::Sender<Message>,
        memory: Arc<MemoryBudget>,
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
            memory,
            memory_limit: config.buffer_bytes,
            unlogged_refusals: Cell::default(),
            pending_accept: RefCell::default(),
            slot_freed: Notify::new(),
        })
    }

    /// Serves clients until the node terminates, then shuts down gracefully.
    pub async fn run(self: Rc<Self>, listener: TcpListener) {
        spawn_local(self.clone().close_idle_when_draining());
        spawn_local(self.clone().enforce_share());
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
        while self.clients.borrow().values().any(|client| client.is_idle()) {
            self.shed_longest_idle();
        }
    }

    /// During a hot restart each of the two processes has half of the connections and of the memory: sheds
    /// idle connections beyond that half.
    async fn enforce_share(self: Rc<Self>) {
        let mut changes = self.node.hot_restart.changes();
        loop {
            self.memory.set_limit(self.node.hot_restart.share_of_memory(self.memory_limit));
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

    /// Tells the connection that has been idle for longest to close, or where none is idle the one that has
    /// stopped for longest in the middle of a request. Closing may take a moment, so an idle connection that has
    /// been told is skipped.
    fn shed_longest_idle(&self) {
        let clients = self.clients.borrow();
        let idle = clients.values().filter(|client| client.is_idle());
        let stalled = || clients.values().filter(|client| client.is_stalled());
        let longest = idle.min_by_key(|client| client.last_activity.get());
        if let Some(client) = longest.or_else(|| stalled().min_by_key(|client| client.last_activity.get())) {
            client.shed.set(true);
            client.close.notify_one();
        }
    }

    /// Sheds idle connections until there is a free slot.
    async fn free_slot(&self) {
        while self.is_full() {
            self.shed_longest_idle();
            // A connection may stall without any notice of that.
            let _ = timeout(SHED_INTERVAL, self.slot_freed.notified()).await;
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
        let io = TokioIo::new(ClientStream::new(stream.clone(), client.clone(), self.memory.clone()));
        let mut server = http1::Builder::new();
        let connection = server.max_buf_size(READ_BUFFER_BYTES).serve_connection(io, service);
        let mut connection = std::pin::pin!(connection);
        let mut next_check = Instant::now();
        // Biased: a request that has arrived is read before the connection is told to close.
        loop {
            tokio::select! {
                biased;
                _ = connection.as_mut() => return true,
                () = client.head_refusal.due() => {
                    self.log_refusal(&OUT_OF_MEMORY);
                    let (status, text) = OUT_OF_MEMORY;
                    client.last_activity.set(Instant::now());
                    return matches!(timeout(READ_TIMEOUT, refuse_head(stream, status, text)).await, Ok(Ok(())));
                }
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
        let first = client.begin_request();
        let is_readiness_check = request.uri().path() == READINESS_PATH;
        let since = if first { client.connected } else { Instant::now() };
        let mut in_progress = Some(InProgress(client.clone(), self.clone()));
        // Boxed, so that a connection without a request is small.
        let handled = Box::pin(self.handle(request, IdleBudget::until(since + READ_TIMEOUT), &client)).await;
        let may_have_left = matches!(handled, Err(TOO_MUCH_PIPELINED));
        let mut response = match handled {
            Ok(response) => response.ok_or(ClientDisconnected)?,
            Err((status, text)) => plain_response(status, Bytes::from_static(text.as_bytes())),
        };
        if response.status() != StatusCode::OK || is_readiness_check {
            yield_now().await; // the other connections have their turn before this one's next request
        }
        if let Either::Right(download) = response.body_mut() {
            client.streaming.set(true);
            download.guard = in_progress.take();
        }
        // The buffer of a long head is kept as long as the connection.
        let holds_scarce_memory = client.head_memory.borrow().is_some() && self.memory.is_short();
        // A connection with a request in progress could not be shed when a sibling process took half of the
        // slots.
        let over_share = self.clients.borrow().len() > self.node.hot_restart.share_of_limit(self.max_clients);
        if self.node.lifecycle.now().is_draining() || over_share || holds_scarce_memory || may_have_left {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        Ok(response)
    }

    /// Reads, validates and forwards a request. `None` if its client has disconnected.
    async fn handle(
        &self,
        request: Request<Incoming>,
        idle_budget: IdleBudget,
        client_connection: &Client,
    ) -> Result<Option<ClientResponse>, Rejection> {
        let head_arrived_at = client_connection.head_arrived_at.take();
        let (head, body) = request.into_parts();
        // The settings may change while the body arrives: the request goes by those in force when it began.
        let site = self.live_settings.get();
        if head.uri.path() == READINESS_PATH {
            discard_later(body, client_connection);
            return Ok(Some(self.readiness()));
        }
        let parsed = RequestHead::parse(&site, &head);
        drop(head);
        let budget = parsed.as_ref().map_or(Duration::ZERO, |head| head.budget);
        let mut reader = BodyReader {
            client: client_connection,
            head_arrived_at,
            idle_budget,
            memory_wait: budget / MEMORY_WAIT_DIVISOR,
            memory: &self.memory,
            lifecycle: &self.node.lifecycle,
        };
        let head = match parsed {
            Ok(head) => head,
            Err(rejection) => return Err(reader.reject(body, rejection).await),
        };
        let body = reader.read(body).await.inspect_err(|rejection| self.log_refusal(rejection))?;
        if !head.allows_body() && !body.is_empty() {
            body.rest.into_iter().for_each(|rest| discard_later(rest, client_connection));
            return Err((StatusCode::BAD_REQUEST, "a body where none belongs"));
        }
        let (body, exchange_memory) = self.reserve_exchange(body, &mut reader).await?;
        if body.rest.is_none() && client_connection.liveness.may_be_disconnected() {
            return Err(TOO_MUCH_PIPELINED);
        }
        client_connection.exchange_memory.replace(Some(exchange_memory.clone()));
        let idle_budget = reader.idle_budget;
        let received_at = self.clock.now().saturating_sub(body.received_at.elapsed());
        let (mut new_request, mut forward) = head.into_request(RequestId(self.next_id()), received_at);
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
        let arrived = body.rest.as_ref().is_some_and(Incoming::is_end_stream);
        forward.body = match body.rest {
            None => RequestBody::Buffered(body.read.into_iter().next().unwrap_or_default()),
            Some(rest) => {
                (new_request.body_streaming, forward.deadline) =
                    (true, Cell::new(received_at + UPLOAD_DEADLINE));
                let id = new_request.id;
                let on_received = Box::new(move |at| {
                    exchange_memory.set_arrived();
                    body_permit.send(Message::BodyReceived { id, at });
                });
                let (upload, unread_rest) = Upload::new(body.read, rest, idle_budget, on_received);
                upload.progress().record_caught_up(body.received_at);
                client_connection.upload.replace(Some(upload.progress().clone()));
                progress = Some(upload.progress().clone());
                unread = Some(unread_rest);
                RequestBody::streamed(upload)
            }
        };
        // No await from here to the send: the decision module has the settings that are in force now.
        self.carry_over_settings(&site, &mut new_request);
        let liveness = client_connection.liveness.clone();
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
            never = watch_client(&client, progress.as_deref(), budget) => match never {},
        };
        let answer = match (answer, disconnect_guard.0.finish()) {
            (Ok(answer), _) => answer,
            (Err(_), true) => Answer::Failed,
            (Err(_), false) => return Ok(None), // an attempt noticed the disconnect before the runtime did
        };
        if let Some(unread) = unread {
            let head_bytes = client_connection.head_bytes.clone();
            // If the rest of the body stayed unread, closing the connection would reset it and lose the
            // response.
            spawn_local(async move {
                if let Ok((rest, idle_budget)) = unread.await {
                    discard(rest, idle_budget, head_bytes).await;
                }
            });
        }
        Ok(Some(client_response(answer, client_connection)))
    }

    /// Reserves the memory that a request takes on its way. A whole request waits for it for a part of its
    /// time; the time that one which is still arriving has waited is charged to its client.
    async fn reserve_exchange(
        &self,
        body: ReadBody,
        reader: &mut BodyReader<'_>,
    ) -> Result<(ReadBody, Rc<Reservation>), Rejection> {
        let reserved = match &body.rest {
            None => {
                let wait_until = body.received_at + reader.memory_wait;
                let reserved = timeout_at(wait_until, self.memory.reserve(EXCHANGE_BYTES)).await;
                reserved.map_err(|_| OUT_OF_MEMORY)
            }
            Some(_) => {
                reader.memory_wait = reader.memory_wait.min(MAX_UNREAD_WAIT);
                reader.wait(self.memory.reserve_arriving(EXCHANGE_BYTES)).await
            }
        };
        match reserved {
            Ok(reservation) => Ok((body, Rc::new(reservation))),
            Err(rejection) => {
                body.rest.into_iter().for_each(|rest| discard_later(rest, reader.client));
                self.log_refusal(&rejection);
                Err(rejection)
            }
        }
    }

    /// Logs refusals for lack of memory, at most one line in each interval.
    fn log_refusal(&self, rejection: &Rejection) {
        if *rejection != OUT_OF_MEMORY {
            return;
        }
        let (count, logged_at) = self.unlogged_refusals.get();
        let count = count + 1;
        if logged_at.is_some_and(|at| at.elapsed() < REFUSAL_LOG_INTERVAL) {
            return self.unlogged_refusals.set((count, logged_at));
        }
        self.unlogged_refusals.set((0, Some(Instant::now())));
        let (reserved, limit) = (self.memory.reserved(), self.memory.limit());
        log(format_args!("refused {count} requests: {reserved} of {limit} bytes for buffers are in use"));
    }

    /// The response to a readiness check.
    fn readiness(&self) -> ClientResponse {
        let ready = self.node.ready.get() && !self.node.lifecycle.now().is_draining();
        plain_response(if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE }, Bytes::new())
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
}

/// Watches what the runtime does not see while a request is in progress: when the last byte of a streamed body
/// arrives, and that the client disconnects behind unread bytes. Tells the node of both.
async fn watch_client(
    client: &ClientPresence,
    upload: Option<&UploadProgress>,
    budget: Duration,
) -> Infallible {
    if let Some(progress) = upload {
        arrival::watch(progress, client, budget).await;
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

/// The response that gives the client this answer.
fn client_response(answer: Answer, client: &Client) -> ClientResponse {
    match answer {
        Answer::Served(body) => plain_response(StatusCode::OK, body),
        Answer::Streamed(length, chunks) => {
            let write_backlog = client.write_backlog.clone();
            Response::new(Either::Right(Download { chunks, length, write_backlog, guard: None }))
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
mod long_heads;
#[cfg(test)]
mod tests;
