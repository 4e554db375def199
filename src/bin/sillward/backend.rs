//! The backend side: the connection pool, and the attempts and probes that are sent over its connections.

use crate::backend_stream::{BackendStream, ExchangeState, Quarantine};
use crate::body::{BodyChunk, MAX_BUFFERED_BYTES, STALL_TIMEOUT};
use crate::handover::HotRestart;
use crate::messages::{Attempt, AttemptResult, Message, ResponseStart, StopReason};
use crate::upload::AttemptBody;
use bytes::{Bytes, BytesMut};
use hillpick::control::clock::Clock;
use hillpick::control::config::{Config, LiveSettings};
use hillpick::control::log::log;
use hillpick::control::tcp;
use hillpick::control::updates::Backend;
use hillpick::settings::ReportColumn;
use hillpick::{ListKind, LoadReport, Outcome, ReportSource, ServerId, ServerState};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{HOST, HeaderMap, HeaderValue};
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::task::{AbortHandle, spawn_local};
use tokio::time::{timeout, timeout_at};

// Linux error numbers.
const EMFILE: i32 = 24;
const ENFILE: i32 = 23;
const EADDRNOTAVAIL: i32 = 99;
/// The most that a connection may buffer, and so the longest head of a response.
const READ_BUFFER_BYTES: usize = 32 * 1024;
/// The result of a slower probe would no longer be current.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);
/// How many connections an attempt may find broken in a row before its request is written to one of them.
const MAX_BROKEN_CONNECTIONS: usize = 4;
/// How long a failed connect that no attempt waited for counts against its backend; after that the backend
/// may be back.
const CONNECT_FAILURE_TTL: Duration = Duration::from_secs(1);
/// How long attempts on one backend wait for quarantined connections, in sum, before one of them opens a new
/// connection instead: about the cost of a handshake to them and the backend. Each sweep halves the sum, so
/// that the waits of few requests open no connections and those of many open enough.
const MAX_QUARANTINE_WAIT: Duration = Duration::from_millis(100);

/// A connection to a backend. It closes at once when it is dropped, whatever exchange is in progress on it.
struct Connection {
    server: ServerId,
    /// The backend's epoch when it was opened; see [`BackendPool::epoch`].
    epoch: u64,
    sender: SendRequest<AttemptBody>,
    exchange: Rc<ExchangeState>,
    /// The task that drives the connection.
    task: AbortHandle,
    /// The pool's number of open connections.
    open_count: Rc<Cell<usize>>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
        self.open_count.set(self.open_count.get() - 1);
    }
}

/// A connection, or how an attempt ends that gets none.
type Delivery = Result<Connection, Outcome>;

/// What the pool holds for one backend.
#[derive(Default)]
struct BackendPool {
    address: Option<SocketAddr>,
    state: ServerState,
    /// When the backend started, according to the list.
    started: Option<Duration>,
    /// Counts the times that the idle connections were dropped. Connections of an earlier epoch are not
    /// reused: they lead to an earlier generation of the backend, or it takes nothing new.
    epoch: u64,
    /// Counts the backend's restarts and changes of address according to the list. An attempt is valid only
    /// for the generation for which it was decided.
    generation: u64,
    /// When this node was told that the backend drains or is gone.
    draining_since: Option<Duration>,
    /// Idle keep-alive connections, each with the time since which it is idle; the most recently used comes
    /// last.
    idle: Vec<(Connection, Duration)>,
    /// The quarantine that all connections to the backend share.
    quarantine: Option<Rc<Quarantine>>,
    /// How long attempts have waited for quarantined connections, in sum, since one opened a connection
    /// instead. Each sweep halves it.
    quarantine_wait: Duration,
    /// Attempts that wait for a connection.
    waiters: VecDeque<oneshot::Sender<Delivery>>,
    /// Connects in progress: never fewer than waiting attempts.
    connecting: usize,
    /// When a connect failed that no attempt waited for any more: the next attempt fails with it.
    connect_failed_at: Option<Duration>,
}

impl BackendPool {
    /// Drops what belongs to the present epoch and begins another.
    fn drop_idle(&mut self) {
        self.epoch += 1;
        self.quarantine = None;
        self.connect_failed_at = None;
        self.idle.clear();
    }

    /// Puts a connection among the idle ones, in the order of their use.
    fn add_idle(&mut self, connection: Connection, since: Duration) {
        let index = self.idle.partition_point(|(_, other)| *other <= since);
        self.idle.insert(index, (connection, since));
    }

    /// Takes the most recently used idle connection that is not quarantined, with the time since which it is
    /// idle.
    fn take_available(&mut self) -> Option<(Connection, Duration)> {
        let index =
            self.idle.iter().rposition(|(connection, _)| connection.exchange.quarantine_left().is_zero())?;
        Some(self.idle.remove(index))
    }
}

/// The connection pool of all backends.
pub struct ConnectionPool {
    clock: Clock,
    backends: RefCell<BTreeMap<ServerId, BackendPool>>,
    /// Connections that are open or being opened.
    open_count: Rc<Cell<usize>>,
    /// The most of them, of which two processes in a hot restart have a share each.
    max_open: usize,
    settings: LiveSettings,
    hot_restart: Rc<HotRestart>,
}

impl ConnectionPool {
    /// Creates the pool and starts the task that closes connections which have been idle for too long.
    pub fn start(
        clock: Clock,
        config: &Config,
        settings: LiveSettings,
        hot_restart: Rc<HotRestart>,
    ) -> Rc<Self> {
        let pool = Rc::new(ConnectionPool {
            clock,
            backends: RefCell::default(),
            open_count: Rc::default(),
            max_open: config.max_backend_connections,
            settings,
            hot_restart,
        });
        let sweeper = pool.clone();
        let mut changes = pool.hot_restart.changes();
        spawn_local(async move {
            loop {
                // Also when a hot restart begins: idle connections beyond this process's share of the limit
                // are closed before the other process needs them.
                tokio::select! {
                    () = tokio::time::sleep((sweeper.idle_limit() / 8).max(Duration::from_millis(5))) => {}
                    () = changes.next() => {}
                }
                sweeper.sweep();
            }
        });
        pool
    }

    /// How long a connection may stay idle: three quarters of the backend's own limit, because a request
    /// written just when the backend closes the connection would end as a reset.
    fn idle_limit(&self) -> Duration {
        self.settings.get().server_idle_timeout * 3 / 4
    }

    fn drain_grace(&self) -> Duration {
        self.settings.get().settings.rules.drain_grace
    }

    fn report_source(&self) -> ReportSource {
        self.settings.get().settings.report_source
    }

    /// Closes connections that have been idle for too long, before the backend does. Forgets backends that
    /// have been gone for ten times the drain grace.
    fn sweep(&self) {
        let (now, idle_limit, drain_grace) = (self.clock.now(), self.idle_limit(), self.drain_grace());
        for backend in self.backends.borrow_mut().values_mut() {
            backend.idle.retain(|(connection, since)| {
                !connection.sender.is_closed() && now.saturating_sub(*since) < idle_limit
            });
            backend.quarantine_wait /= 2; // a further connection saves waits only as long as it stays open
        }
        while self.open_count.get() > self.hot_restart.share_of_limit(self.max_open)
            && self.close_longest_idle()
        {}
        let unused = |backend: &BackendPool| backend.state == ServerState::Gone && backend.connecting == 0;
        let gone_long_ago =
            |backend: &BackendPool| backend.draining_since.is_some_and(|at| now > at + 10 * drain_grace);
        self.backends.borrow_mut().retain(|_, backend| !(unused(backend) && gone_long_ago(backend)));
    }

    /// Applies a change of the server list: addresses and states of backends.
    pub fn update(&self, kind: ListKind, entries: &[Backend], now: Duration) {
        let mut backends = self.backends.borrow_mut();
        if matches!(kind, ListKind::Full | ListKind::Cached) {
            let listed: std::collections::BTreeSet<_> =
                entries.iter().map(|listed| listed.entry.id).collect();
            for (_, backend) in backends.iter_mut().filter(|(id, _)| !listed.contains(id)) {
                backend.state = ServerState::Gone;
                backend.draining_since.get_or_insert(now);
                backend.drop_idle();
            }
        }
        for Backend { entry, address } in entries {
            let backend = backends.entry(entry.id).or_default();
            let moved = backend.address != Some(*address) || backend.started != entry.started;
            (backend.started, backend.state) = (entry.started, entry.state);
            // The list may not give the address of a backend that is gone.
            if entry.state != ServerState::Gone {
                backend.address = Some(*address);
            }
            if entry.state == ServerState::Ready {
                backend.draining_since = None;
            } else {
                backend.draining_since.get_or_insert(now);
            }
            // Connections to an earlier generation, or to a backend that takes nothing new, are not reused.
            backend.generation += u64::from(moved);
            if moved || entry.state != ServerState::Ready {
                backend.drop_idle();
            }
        }
    }

    /// Closes the idle connections to a backend.
    pub fn close_idle(&self, server: ServerId) {
        if let Some(backend) = self.backends.borrow_mut().get_mut(&server) {
            backend.idle.clear();
        }
    }

    /// Takes the most recently used idle connection that is not quarantined. Without one, waits for a
    /// quarantined one if the wait costs less than a new connection, else for whichever comes first: a
    /// released connection or a new one.
    async fn acquire(self: &Rc<Self>, server: ServerId) -> Delivery {
        loop {
            match self.find_or_connect(server)? {
                Lookup::Available(connection) => return Ok(connection),
                Lookup::Quarantined(quarantined, remaining) => {
                    tokio::time::sleep(remaining).await;
                    if let Some(connection) = quarantined.take() {
                        return Ok(connection);
                    }
                }
                Lookup::Pending(delivery) => {
                    let mut waiter = Waiter { pool: self, delivery };
                    return (&mut waiter.delivery).await.unwrap_or(Err(Outcome::NotSent));
                }
            }
        }
    }

    /// What there is for an attempt now. Where that is nothing, opens a connection if fewer are being opened
    /// than attempts wait.
    fn find_or_connect<'a>(self: &'a Rc<Self>, server: ServerId) -> Result<Lookup<'a>, Outcome> {
        let mut backends = self.backends.borrow_mut();
        let backend = backends.get_mut(&server).ok_or(Outcome::NotSent)?;
        let now = self.clock.now();
        backend.idle.retain(|(connection, since)| {
            !connection.sender.is_closed() && now.saturating_sub(*since) < self.idle_limit()
        });
        if let Some((connection, _)) = backend.take_available() {
            return Ok(Lookup::Available(connection));
        }
        let at_limit = self.open_count.get() >= self.hot_restart.share_of_limit(self.max_open);
        if let Some(remaining) =
            backend.idle.first().map(|(connection, _)| connection.exchange.quarantine_left())
        {
            if at_limit || backend.quarantine_wait + remaining <= MAX_QUARANTINE_WAIT {
                backend.quarantine_wait += remaining;
                let (connection, since) = backend.idle.remove(0);
                return Ok(Lookup::Quarantined(
                    QuarantinedConnection { pool: self, entry: Some((connection, since)) },
                    remaining,
                ));
            }
            backend.quarantine_wait = Duration::ZERO;
        }
        // Attempts time out before connects do. Without this, a backend that is unreachable would never count
        // as failing.
        if backend.connect_failed_at.take().is_some_and(|at| now < at + CONNECT_FAILURE_TTL) {
            return Err(Outcome::ConnectFailed);
        }
        backend.waiters.retain(|waiter| !waiter.is_closed());
        if backend.connecting <= backend.waiters.len() {
            let address = backend.address.ok_or(Outcome::NotSent)?;
            let epoch = backend.epoch;
            drop(backends);
            if at_limit && !self.close_longest_idle() {
                log("connection limit reached: an attempt was not sent");
                return Err(Outcome::NotSent);
            }
            self.open_count.set(self.open_count.get() + 1);
            backends = self.backends.borrow_mut();
            let backend = backends.get_mut(&server).ok_or(Outcome::NotSent)?;
            backend.connecting += 1;
            let quarantine = backend.quarantine.get_or_insert_with(|| Quarantine::new(server)).clone();
            let pool = self.clone();
            spawn_local(async move {
                let result = pool.open_connection(server, address, epoch, quarantine).await;
                pool.finish_connect(server, result);
            });
        }
        let (waiter, delivery) = oneshot::channel();
        backends.get_mut(&server).ok_or(Outcome::NotSent)?.waiters.push_back(waiter);
        Ok(Lookup::Pending(delivery))
    }

    /// Closes the connection that has been idle for longest, of all backends; false if none is idle.
    fn close_longest_idle(&self) -> bool {
        let mut backends = self.backends.borrow_mut();
        let oldest = backends.values_mut().filter(|backend| !backend.idle.is_empty());
        let oldest = oldest.min_by_key(|backend| backend.idle.first().map(|(_, since)| *since));
        oldest.map(|backend| drop(backend.idle.remove(0))).is_some()
    }

    /// Opens a connection, which the caller has counted among the open ones already.
    async fn open_connection(
        self: &Rc<Self>,
        server: ServerId,
        address: SocketAddr,
        epoch: u64,
        quarantine: Rc<Quarantine>,
    ) -> Delivery {
        let exchange = ExchangeState::new(quarantine);
        let connected =
            timeout(self.settings.get().settings.limits.connect_timeout, tcp::connect(address)).await;
        let opened = match connected {
            Ok(Ok(stream)) => {
                let stream = TokioIo::new(BackendStream::new(stream, exchange.clone()));
                let opened = http1::Builder::new().max_buf_size(READ_BUFFER_BYTES).handshake(stream);
                opened.await.map_err(|_| Outcome::ConnectFailed)
            }
            // If this node lacks descriptors or ports, that says nothing about the backend.
            Ok(Err(e)) if matches!(e.raw_os_error(), Some(EMFILE | ENFILE | EADDRNOTAVAIL)) => {
                log(format_args!("cannot dial: {e}"));
                self.close_longest_idle();
                Err(Outcome::NotSent)
            }
            Ok(Err(_)) | Err(_) => Err(Outcome::ConnectFailed),
        };
        let (sender, connection) = match opened {
            Ok(opened) => opened,
            Err(outcome) => {
                self.open_count.set(self.open_count.get() - 1);
                return Err(outcome);
            }
        };
        let task = spawn_local(async move {
            let _ = connection.await; // an error shows in the request on it
        });
        let (task, open_count) = (task.abort_handle(), self.open_count.clone());
        Ok(Connection { server, epoch, sender, exchange, task, open_count })
    }

    /// Takes the result of a connect: adds the connection to the pool, or fails attempts that wait for it.
    fn finish_connect(self: &Rc<Self>, server: ServerId, result: Delivery) {
        if let Some(backend) = self.backends.borrow_mut().get_mut(&server) {
            backend.connecting -= 1;
        }
        let failure = match result {
            Ok(connection) => {
                self.release(connection);
                Outcome::NotSent // for a connection of an earlier epoch: not the backend's fault
            }
            Err(outcome) => outcome,
        };
        if let Some(backend) = self.backends.borrow_mut().get_mut(&server) {
            // More attempts wait than there are connects in progress: the one that has waited longest fails.
            backend.waiters.retain(|waiter| !waiter.is_closed());
            if backend.waiters.is_empty() && failure == Outcome::ConnectFailed {
                backend.connect_failed_at = Some(self.clock.now());
            }
            while backend.waiters.len() > backend.connecting {
                let Some(waiter) = backend.waiters.pop_front() else { break };
                let _ = waiter.send(Err(failure));
            }
        }
    }

    /// Returns a connection to the pool, also one that was opened too late for its attempt. The attempt that
    /// has waited longest gets it, once its quarantine is over.
    fn release(self: &Rc<Self>, connection: Connection) {
        connection.exchange.end();
        let (server, remaining) = (connection.server, connection.exchange.quarantine_left());
        let since = self.clock.now();
        if !self.add_idle(connection, since) {
            return;
        }
        if remaining.is_zero() {
            self.serve_waiters(server);
        } else if self.backends.borrow().get(&server).is_some_and(|backend| !backend.waiters.is_empty()) {
            // At most one task for each connection: it stays idle until then.
            let pool = self.clone();
            spawn_local(async move {
                tokio::time::sleep(remaining).await;
                pool.serve_waiters(server);
            });
        }
    }

    /// Adds a connection to the idle ones; false if it has closed or belongs to an earlier epoch.
    fn add_idle(&self, connection: Connection, since: Duration) -> bool {
        let mut backends = self.backends.borrow_mut();
        let Some(backend) = backends.get_mut(&connection.server) else { return false };
        let usable = !connection.sender.is_closed() && connection.epoch == backend.epoch;
        if usable {
            backend.connect_failed_at = None;
            backend.add_idle(connection, since);
        }
        usable
    }

    /// Gives idle connections that are not quarantined to waiting attempts.
    fn serve_waiters(&self, server: ServerId) {
        let mut backends = self.backends.borrow_mut();
        let Some(backend) = backends.get_mut(&server) else { return };
        while !backend.waiters.is_empty() {
            let Some((connection, since)) = backend.take_available() else { return };
            let Some(waiter) = backend.waiters.pop_front() else { return };
            if let Err(Ok(connection)) = waiter.send(Ok(connection)) {
                backend.add_idle(connection, since); // the attempt has gone
            }
        }
    }

    /// Makes an attempt, until it ends or is stopped. It is valid for the generation of its backend that is
    /// listed at this call, whenever the future is polled: a backend that has restarted since then is cold,
    /// and not the one that was chosen.
    pub fn attempt(
        self: Rc<Self>,
        attempt: Attempt,
        stopped: oneshot::Receiver<StopReason>,
        messages: mpsc::Sender<Message>,
    ) -> impl Future<Output = AttemptResult> {
        let generation = self.generation_of(attempt.server);
        self.attempt_on(generation, attempt, stopped, messages)
    }

    fn generation_of(&self, server: ServerId) -> Option<u64> {
        self.backends.borrow().get(&server).map(|backend| backend.generation)
    }

    async fn attempt_on(
        self: Rc<Self>,
        generation: Option<u64>,
        attempt: Attempt,
        stopped: oneshot::Receiver<StopReason>,
        messages: mpsc::Sender<Message>,
    ) -> AttemptResult {
        let stage = Cell::new(Stage::Unwritten);
        // When the node stops the attempt, the start of its response may still be queued for the node. The
        // response is the client's then; if the client has another answer, the chunks are dropped and the
        // exchange ends by itself.
        let stopped = async {
            match stopped.await {
                _ if stage.get() == Stage::ResponseStarted => std::future::pending().await,
                stop => stop,
            }
        };
        // A backend that takes no more of a body which is still arriving; once it has arrived the request has
        // a deadline.
        let stalled = async {
            match attempt.forward.body.upload_progress() {
                Some(progress) => progress.stalled().await,
                None => std::future::pending().await,
            }
        };
        let (outcome, report, body) = tokio::select! {
            biased;
            result = self.send_attempt(generation, &attempt, &stage, &messages) => result,
            // The exchange is dropped, which closes its connection.
            stop = stopped => (match stop {
                _ if stage.get() == Stage::Unwritten => Outcome::NotSent,
                Ok(StopReason::TimedOut) => Outcome::TimedOut,
                Ok(StopReason::Cancelled) | Err(_) => Outcome::Cancelled,
            }, None, None),
            () = stalled => (Outcome::TimedOut, None, None),
        };
        if let Some(progress) = attempt.forward.body.upload_progress().filter(|_| outcome != Outcome::Served)
        {
            log(format_args!(
                "request {}: server {:x}, streamed body, {outcome:?}: {progress}",
                attempt.id.0, attempt.server.0
            ));
        }
        // A request that was not written in full never ran, whichever side aborted it.
        let broken = matches!(outcome, Outcome::Reset | Outcome::TimedOut | Outcome::Cancelled);
        let outcome = if broken && attempt.forward.body.is_incomplete() { Outcome::NotSent } else { outcome };
        let body_consumed = attempt.forward.body.is_consumed();
        AttemptResult { id: attempt.id, attempt: attempt.number, outcome, report, body, body_consumed }
    }

    /// Sends an attempt's request and reads the response: the outcome, a load report if there is one, and the
    /// body of a buffered response.
    async fn send_attempt(
        self: &Rc<Self>,
        generation: Option<u64>,
        attempt: &Attempt,
        stage: &Cell<Stage>,
        messages: &mpsc::Sender<Message>,
    ) -> (Outcome, Option<LoadReport>, Option<Bytes>) {
        for _ in 0..MAX_BROKEN_CONNECTIONS {
            let mut connection = match self.acquire(attempt.server).await {
                Ok(connection) => connection,
                Err(outcome) => return (outcome, None, None),
            };
            if connection.sender.ready().await.is_err() {
                continue;
            }
            // Time has passed since the decision: the attempt may no longer be permitted.
            let Some(request) = self.build_request(generation, attempt) else {
                self.release(connection);
                return (Outcome::NotSent, None, None);
            };
            stage.set(Stage::Written);
            connection.exchange.begin();
            match connection.sender.try_send_request(request).await {
                Ok(response) => return self.receive(attempt, connection, response, (stage, messages)).await,
                // hyper returns the request: no byte of it was written, so another connection can take it.
                Err(mut e) => match e.take_message() {
                    Some(request) => {
                        attempt.forward.body.put_back(request.into_body());
                        stage.set(Stage::Unwritten);
                    }
                    // The connection failed before the first byte was written.
                    None if connection.exchange.is_unwritten() => {
                        stage.set(Stage::Unwritten);
                        if attempt.forward.body.is_consumed() {
                            return (Outcome::NotSent, None, None);
                        }
                    }
                    None => return (Outcome::Reset, None, None),
                },
            }
        }
        (Outcome::ConnectFailed, None, None)
    }

    /// The request with its current headers, or `None` if it may no longer be sent: after the attempt's
    /// deadline, the backend's drain grace or the deduplication window; to another generation of the backend;
    /// or once the request has its answer or its client has disconnected.
    fn build_request(&self, generation: Option<u64>, attempt: &Attempt) -> Option<Request<AttemptBody>> {
        let (now, deadline, forward) = (self.clock.now(), attempt.deadline(), &attempt.forward);
        let backends = self.backends.borrow();
        let backend =
            backends.get(&attempt.server).filter(|backend| Some(backend.generation) == generation)?;
        let window_over = forward
            .dedup_window
            .zip(forward.first_byte_at.get())
            .is_some_and(|(window, first)| now >= first + window);
        let grace_over = backend.draining_since.is_some_and(|since| now >= since + self.drain_grace());
        if forward.finished.get()
            || now >= deadline
            || grace_over
            || window_over
            || forward.client.check_disconnected()
        {
            return None;
        }
        // While the body is being received, the client's time has not begun: the backend gets the whole
        // budget.
        let remaining_ms = (deadline - now).min(forward.budget).as_millis().max(1) as u64;
        let address = backend.address?;
        let mut request = Request::new(forward.body.take()?);
        *request.method_mut() = forward.method.clone();
        *request.uri_mut() = forward.path.clone().into();
        let headers = request.headers_mut();
        headers.insert(HOST, host_header(address));
        headers.insert("x-call-id", forward.call_id.clone());
        headers.insert("x-budget-ms", remaining_ms.into());
        if let Some(key) = &forward.idempotency_key {
            headers.insert("idempotency-key", key.clone());
        }
        if forward.first_byte_at.get().is_none() {
            forward.first_byte_at.set(Some(now));
        }
        Some(request)
    }

    /// Reads the response of an attempt. A response short enough to be buffered is read in full, so that a
    /// truncated one is an outcome of the attempt and the client never gets part of it.
    async fn receive(
        self: &Rc<Self>,
        attempt: &Attempt,
        connection: Connection,
        response: Response<Incoming>,
        (stage, messages): (&Cell<Stage>, &mpsc::Sender<Message>),
    ) -> (Outcome, Option<LoadReport>, Option<Bytes>) {
        let (head, mut body) = response.into_parts();
        let length = body.size_hint().exact();
        if head.status != StatusCode::OK || length.is_some_and(|length| length <= MAX_BUFFERED_BYTES as u64) {
            let response = self.read_short_response(attempt.server, Response::from_parts(head, body)).await;
            if response.is_complete() {
                self.release_after(attempt, connection);
            }
            return response.into_served();
        }
        let report = self.header_report(&head.headers);
        // The response may be long. Without a known length it is buffered until half of the remaining time is
        // over, so that the client gets its first bytes in time.
        let now = self.clock.now();
        let deadline = attempt.deadline();
        let buffer_until = self.clock.instant(now + deadline.saturating_sub(now) / 2);
        let mut buffered = BytesMut::new();
        while buffered.is_empty() || length.is_none() && buffered.len() <= MAX_BUFFERED_BYTES {
            let frame = match timeout_at(buffer_until, body.frame()).await {
                Err(_) if buffered.is_empty() => body.frame().await,
                Err(_) => break,
                Ok(frame) => frame,
            };
            match frame {
                Some(Ok(frame)) => buffered.extend_from_slice(&frame.into_data().unwrap_or_default()),
                Some(Err(_)) => return (Outcome::Reset, None, None),
                None => {
                    self.release_after(attempt, connection);
                    return (Outcome::Served, report, Some(buffered.freeze()));
                }
            }
        }
        let (sender, chunks) = mpsc::channel(1);
        let start = ResponseStart { id: attempt.id, attempt: attempt.number, length, chunks };
        if messages.send(Message::ResponseStarted(start)).await.is_err() {
            return (Outcome::Cancelled, report, None);
        }
        stage.set(Stage::ResponseStarted);
        let mut bytes_left = length.map(|length| length.saturating_sub(buffered.len() as u64));
        let mut chunk = BodyChunk::Data(buffered.freeze());
        loop {
            // With a known length the receiver does not wait for an end: the last byte is the end.
            let is_last = matches!(chunk, BodyChunk::End) || bytes_left == Some(0);
            match timeout(STALL_TIMEOUT, sender.send(chunk)).await {
                Ok(Ok(())) if is_last => break,
                Ok(Ok(())) => {}
                // The client has disconnected, has stopped reading, or has another answer.
                Ok(Err(_)) | Err(_) => return (Outcome::Cancelled, report, None),
            }
            let frame = tokio::select! {
                biased;
                frame = timeout(STALL_TIMEOUT, body.frame()) => frame,
                () = sender.closed() => return (Outcome::Cancelled, report, None),
            };
            chunk = match frame {
                Ok(Some(Ok(frame))) => {
                    let data = frame.into_data().unwrap_or_default();
                    bytes_left = bytes_left.map(|left| left.saturating_sub(data.len() as u64));
                    BodyChunk::Data(data)
                }
                Ok(None) => BodyChunk::End,
                Ok(Some(Err(_))) | Err(_) => return (Outcome::Reset, report, None),
            };
        }
        self.release_after(attempt, connection);
        (Outcome::Served, report, None)
    }

    /// Returns a connection to the pool, unless only part of the request has been written to it.
    fn release_after(self: &Rc<Self>, attempt: &Attempt, connection: Connection) {
        if !attempt.forward.body.is_incomplete() {
            self.release(connection);
        }
    }

    /// Reads a response that is short enough to be buffered.
    async fn read_short_response(
        self: &Rc<Self>,
        server: ServerId,
        response: Response<Incoming>,
    ) -> ShortResponse {
        let (head, body) = response.into_parts();
        let report = self.header_report(&head.headers);
        let body = match Limited::new(body, MAX_BUFFERED_BYTES).collect().await {
            Ok(body) => body.to_bytes(),
            Err(e) if e.is::<LengthLimitError>() => {
                log(format_args!(
                    "server {:x}: dropped a response of more than {MAX_BUFFERED_BYTES} bytes",
                    server.0
                ));
                return ShortResponse { outcome: Outcome::Error, report, body: None };
            }
            Err(_) => return ShortResponse { outcome: Outcome::Reset, report: None, body: None },
        };
        let rejected = head.headers.get("x-rejected").is_some_and(|value| value == "1");
        let outcome = match head.status {
            StatusCode::OK => Outcome::Served,
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if rejected => Outcome::Rejected,
            // No other response promises that the request never ran.
            _ => Outcome::Error,
        };
        ShortResponse { outcome, report, body: Some(body) }
    }

    /// Probes a backend: asks for its load, or for its health if the settings have no load reports.
    pub async fn probe(self: Rc<Self>, server: ServerId) -> (Outcome, Option<LoadReport>) {
        timeout(PROBE_TIMEOUT, self.send_probe(server)).await.unwrap_or((Outcome::TimedOut, None))
    }

    async fn send_probe(self: &Rc<Self>, server: ServerId) -> (Outcome, Option<LoadReport>) {
        let mut connection = match self.acquire(server).await {
            Ok(connection) => connection,
            Err(outcome) => return (outcome, None),
        };
        let mut request = Request::new(AttemptBody::Buffered(Full::default()));
        *request.method_mut() = Method::GET;
        let reports_load = self.report_source() != ReportSource::None;
        *request.uri_mut() = hyper::Uri::from_static(if reports_load { "/stats" } else { "/health/live" });
        let address = self.backends.borrow().get(&server).and_then(|backend| backend.address);
        let Some(address) = address else { return (Outcome::NotSent, None) };
        request.headers_mut().insert(HOST, host_header(address));
        connection.exchange.begin();
        let Ok(response) = connection.sender.send_request(request).await else {
            return (Outcome::Reset, None);
        };
        let response = self.read_short_response(server, response).await;
        if response.is_complete() {
            self.release(connection);
        }
        let body_report = || {
            let body =
                response.body.as_ref().filter(|_| reports_load && response.outcome == Outcome::Served)?;
            self.parse_report(std::str::from_utf8(body).ok()?)
        };
        (response.outcome, body_report().or(response.report))
    }

    /// The load report in a response's headers, if there is a valid one.
    fn header_report(&self, headers: &HeaderMap) -> Option<LoadReport> {
        let value = headers.get("x-load-report").filter(|_| self.report_source() != ReportSource::None)?;
        let report = value.to_str().ok().and_then(|text| self.parse_report(text));
        if report.is_none() {
            log(format_args!("dropped a malformed load report: {value:?}"));
        }
        report
    }

    /// Parses a report such as `inflight=7,queue=2`; `None` if any part of it is malformed.
    fn parse_report(&self, text: &str) -> Option<LoadReport> {
        let (mut report, site) = (LoadReport::default(), self.settings.get());
        for field in text.trim().split(',') {
            let (name, value) = field.split_once('=')?;
            let column = ReportColumn::from_wire_name(name.trim());
            let value: f32 = value.trim().parse().ok().filter(|v: &f32| v.is_finite() && *v >= 0.0)?;
            if site.columns.contains(&column) {
                column.set(&mut report, value);
            }
        }
        Some(report)
    }
}

fn host_header(address: SocketAddr) -> HeaderValue {
    HeaderValue::from_str(&address.to_string()).unwrap_or(HeaderValue::from_static("backend"))
}

/// A response that is read in full before any of it is forwarded.
struct ShortResponse {
    outcome: Outcome,
    report: Option<LoadReport>,
    /// The body, whatever the status was; `None` if the response is incomplete.
    body: Option<Bytes>,
}

impl ShortResponse {
    /// Whether the response is complete, so that its connection can be reused.
    fn is_complete(&self) -> bool {
        self.body.is_some()
    }

    /// The result of the attempt, with the body only if the request was served.
    fn into_served(self) -> (Outcome, Option<LoadReport>, Option<Bytes>) {
        let body = self.body.filter(|_| self.outcome == Outcome::Served);
        (self.outcome, self.report, body)
    }
}

/// How far an attempt has got.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Stage {
    /// Certainly no byte of it has been written.
    Unwritten,
    /// Some of it may have been written, so the request may run.
    Written,
    /// The start of its response has been sent to the node, and the response is the client's.
    ResponseStarted,
}

/// What the pool has for an attempt.
enum Lookup<'a> {
    /// An idle connection.
    Available(Connection),
    /// An idle connection that is quarantined for this long.
    Quarantined(QuarantinedConnection<'a>, Duration),
    /// Whichever comes first: a connection that is released or one that is being opened.
    Pending(oneshot::Receiver<Delivery>),
}

/// A quarantined connection that an attempt waits for. If the attempt goes away, the connection returns to
/// the pool unchanged.
struct QuarantinedConnection<'a> {
    pool: &'a ConnectionPool,
    /// With the time since which it is idle; `None` once it has been taken.
    entry: Option<(Connection, Duration)>,
}

impl QuarantinedConnection<'_> {
    /// `None` if the connection has closed meanwhile or its quarantine has become longer.
    fn take(mut self) -> Option<Connection> {
        let available = |(connection, _): &(Connection, Duration)| {
            !connection.sender.is_closed() && connection.exchange.quarantine_left().is_zero()
        };
        if self.entry.as_ref().is_some_and(available) {
            self.entry.take().map(|(connection, _)| connection)
        } else {
            None
        }
    }
}

impl Drop for QuarantinedConnection<'_> {
    fn drop(&mut self) {
        if let Some((connection, since)) = self.entry.take() {
            self.pool.add_idle(connection, since);
        }
    }
}

/// An attempt that waits for a connection. A connection that was delivered but not taken returns to the pool,
/// because it has cost its backend a handshake.
struct Waiter<'a> {
    pool: &'a Rc<ConnectionPool>,
    delivery: oneshot::Receiver<Delivery>,
}

impl Drop for Waiter<'_> {
    fn drop(&mut self) {
        self.delivery.close();
        if let Ok(Ok(connection)) = self.delivery.try_recv() {
            self.pool.release(connection);
        }
    }
}

#[cfg(test)]
mod tests;
