//! The backends' side: attempts, the pool of connections, probes.

use crate::backend_stream::{BackendStream, ExchangeState, Quarantine};
use crate::body::{AttemptBody, BodyChunk, MAX_BUFFERED_BYTES, STALL_TIMEOUT};
use crate::handover::HotRestart;
use crate::messages::{Attempt, Ended, Message, Started, Stop};
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

const EMFILE: i32 = 24;
const ENFILE: i32 = 23;
const EADDRNOTAVAIL: i32 = 99;
/// No head of an answer is longer; it also bounds what a connection may buffer.
const READ_BUFFER: usize = 32 * 1024;
/// A probe that is not answered by then tells nothing that is still true.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);
/// So many connections in a row may turn out broken before a request was written to them.
const BROKEN_IN_A_ROW: usize = 4;
/// For so long a dial that failed tells of its backend; then it may be back.
const UNREACHABLE: Duration = Duration::from_secs(1);
/// Attempts on one backend wait for so long in all for connections that rest before one dials instead: about what a
/// handshake costs them and the backend. Each sweep forgets half of it. So the waits of few requests open nothing, and
/// those of many open enough.
const WORTH_A_DIAL: Duration = Duration::from_millis(100);

/// A connection to a backend. Dropped, it closes at once, whatever is under way on it.
struct Connection {
    server: ServerId,
    /// Which run of the backend, at which address, it leads to.
    epoch: u64,
    sender: SendRequest<AttemptBody>,
    exchange: Rc<ExchangeState>,
    task: AbortHandle,
    open: Rc<Cell<usize>>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
        self.open.set(self.open.get() - 1);
    }
}

type Delivery = Result<Connection, Outcome>;

#[derive(Default)]
struct Place {
    address: Option<SocketAddr>,
    state: ServerState,
    started: Option<Duration>,
    epoch: u64,
    /// Counts the backend's starts and moves that the list has told of. An attempt is for the run that it was decided on.
    run: u64,
    /// When it was told that the backend drains or is gone.
    told: Option<Duration>,
    /// Idle connections, each with when it fell idle; the last used comes last.
    idle: Vec<(Connection, Duration)>,
    /// What all connections to it know of it.
    quarantine: Option<Rc<Quarantine>>,
    /// How long attempts have waited for connections to rest since one dialled instead.
    rested: Duration,
    /// Attempts that wait for a connection, and dials under way: never fewer dials than waiting attempts.
    waiting: VecDeque<oneshot::Sender<Delivery>>,
    dialling: usize,
    /// When a dial failed that nobody waited for any more: whoever comes next is told.
    unreachable: Option<Duration>,
}

impl Place {
    fn drop_idle(&mut self) {
        self.epoch += 1;
        self.quarantine = None;
        self.unreachable = None;
        self.idle.clear();
    }

    /// Back to its place among the idle.
    fn keep(&mut self, connection: Connection, since: Duration) {
        let place = self.idle.partition_point(|(_, other)| *other <= since);
        self.idle.insert(place, (connection, since));
    }

    /// The most recently used idle connection that has rested, with since when it is idle.
    fn rested(&mut self) -> Option<(Connection, Duration)> {
        let place = self.idle.iter().rposition(|(connection, _)| connection.exchange.rests().is_zero())?;
        Some(self.idle.remove(place))
    }
}

pub struct ConnectionPool {
    clock: Clock,
    places: RefCell<BTreeMap<ServerId, Place>>,
    open: Rc<Cell<usize>>,
    most_open: usize,
    current: LiveSettings,
    pair: Rc<HotRestart>,
}

impl ConnectionPool {
    pub fn start(clock: Clock, config: &Config, current: LiveSettings, pair: Rc<HotRestart>) -> Rc<Self> {
        let pool = Rc::new(ConnectionPool {
            clock,
            places: RefCell::default(),
            open: Rc::default(),
            most_open: config.max_backend_connections,
            current,
            pair,
        });
        let sweeper = pool.clone();
        let mut changes = pool.pair.changes();
        spawn_local(async move {
            loop {
                // Also once there are two processes: what is idle beyond its half leaves before the other needs it.
                tokio::select! {
                    () = tokio::time::sleep((sweeper.idle_limit() / 8).max(Duration::from_millis(5))) => {}
                    () = changes.next() => {}
                }
                sweeper.sweep();
            }
        });
        pool
    }

    /// A request written just when the backend closes the connection would end as a reset.
    fn idle_limit(&self) -> Duration {
        self.current.get().server_idle_timeout * 3 / 4
    }

    fn drain_grace(&self) -> Duration {
        self.current.get().settings.rules.drain_grace
    }

    fn reports(&self) -> ReportSource {
        self.current.get().settings.report_source
    }

    /// Closes what has been idle for too long, before the backend would.
    fn sweep(&self) {
        let (now, idle_limit, drain_grace) = (self.clock.now(), self.idle_limit(), self.drain_grace());
        for place in self.places.borrow_mut().values_mut() {
            place.idle.retain(|(connection, since)| {
                !connection.sender.is_closed() && now.saturating_sub(*since) < idle_limit
            });
            place.rested /= 2; // what a further connection saves it saves while it is kept
        }
        while self.open.get() > self.pair.share_of_limit(self.most_open) && self.close_longest_idle() {}
        let unused = |place: &Place| place.state == ServerState::Gone && place.dialling == 0;
        let told_long_ago = |place: &Place| place.told.is_some_and(|at| now > at + 10 * drain_grace);
        self.places.borrow_mut().retain(|_, place| !(unused(place) && told_long_ago(place)));
    }

    /// Takes in news of the list: addresses, and when a backend was told to drain or to be gone.
    pub fn update(&self, kind: ListKind, backends: &[Backend], now: Duration) {
        let mut places = self.places.borrow_mut();
        if matches!(kind, ListKind::Full | ListKind::Cached) {
            let listed: std::collections::BTreeSet<_> = backends.iter().map(|b| b.entry.id).collect();
            for (_, place) in places.iter_mut().filter(|(id, _)| !listed.contains(id)) {
                place.state = ServerState::Gone;
                place.told.get_or_insert(now);
                place.drop_idle();
            }
        }
        for Backend { entry, address } in backends {
            let place = places.entry(entry.id).or_default();
            let moved = place.address != Some(*address) || place.started != entry.started;
            (place.started, place.state) = (entry.started, entry.state);
            // Where one that is gone has listened nobody may say any more.
            if entry.state != ServerState::Gone {
                place.address = Some(*address);
            }
            if entry.state == ServerState::Ready {
                place.told = None;
            } else {
                place.told.get_or_insert(now);
            }
            // What leads to an earlier run, or to a backend that wants nothing new, is of no more use.
            place.run += u64::from(moved);
            if moved || entry.state != ServerState::Ready {
                place.drop_idle();
            }
        }
    }

    pub fn close_idle(&self, server: ServerId) {
        if let Some(place) = self.places.borrow_mut().get_mut(&server) {
            place.idle.clear();
        }
    }

    /// Takes the most recently used connection that has rested, or waits for one that rests yet, if that is worth it;
    /// else whichever comes first: one that falls free or a new one.
    async fn take(self: &Rc<Self>, server: ServerId) -> Delivery {
        loop {
            match self.find(server)? {
                Found::Free(connection) => return Ok(connection),
                Found::Resting(resting, rest) => {
                    tokio::time::sleep(rest).await;
                    if let Some(connection) = resting.take() {
                        return Ok(connection);
                    }
                }
                Found::Coming(deliver) => {
                    let mut waiter = Waiter { pool: self, deliver };
                    return (&mut waiter.deliver).await.unwrap_or(Err(Outcome::NotSent));
                }
            }
        }
    }

    fn find<'a>(self: &'a Rc<Self>, server: ServerId) -> Result<Found<'a>, Outcome> {
        let mut places = self.places.borrow_mut();
        let place = places.get_mut(&server).ok_or(Outcome::NotSent)?;
        let now = self.clock.now();
        place.idle.retain(|(connection, since)| {
            !connection.sender.is_closed() && now.saturating_sub(*since) < self.idle_limit()
        });
        if let Some((connection, _)) = place.rested() {
            return Ok(Found::Free(connection));
        }
        let full = self.open.get() >= self.pair.share_of_limit(self.most_open);
        if let Some(rest) = place.idle.first().map(|(connection, _)| connection.exchange.rests()) {
            if full || place.rested + rest <= WORTH_A_DIAL {
                place.rested += rest;
                let (connection, since) = place.idle.remove(0);
                return Ok(Found::Resting(Resting { pool: self, kept: Some((connection, since)) }, rest));
            }
            place.rested = Duration::ZERO;
        }
        // Attempts are shorter than the connect time-out: else a silent backend would pass for a sound one.
        if place.unreachable.take().is_some_and(|at| now < at + UNREACHABLE) {
            return Err(Outcome::ConnectFailed);
        }
        place.waiting.retain(|waiting| !waiting.is_closed());
        if place.dialling <= place.waiting.len() {
            let address = place.address.ok_or(Outcome::NotSent)?;
            let epoch = place.epoch;
            drop(places);
            if full && !self.close_longest_idle() {
                log("no connection is left for an attempt: it was not sent");
                return Err(Outcome::NotSent);
            }
            self.open.set(self.open.get() + 1);
            places = self.places.borrow_mut();
            let place = places.get_mut(&server).ok_or(Outcome::NotSent)?;
            place.dialling += 1;
            let quarantine = place.quarantine.get_or_insert_with(|| Quarantine::new(server)).clone();
            let pool = self.clone();
            spawn_local(async move {
                let dialled = pool.dial(server, address, epoch, quarantine).await;
                pool.dialled(server, dialled);
            });
        }
        let (waiting, deliver) = oneshot::channel();
        places.get_mut(&server).ok_or(Outcome::NotSent)?.waiting.push_back(waiting);
        Ok(Found::Coming(deliver))
    }

    fn close_longest_idle(&self) -> bool {
        let mut places = self.places.borrow_mut();
        let oldest = places.values_mut().filter(|place| !place.idle.is_empty());
        let oldest = oldest.min_by_key(|place| place.idle.first().map(|(_, since)| *since));
        oldest.map(|place| drop(place.idle.remove(0))).is_some()
    }

    /// Opens a connection; its place among the open ones is taken already.
    async fn dial(
        self: &Rc<Self>,
        server: ServerId,
        address: SocketAddr,
        epoch: u64,
        quarantine: Rc<Quarantine>,
    ) -> Delivery {
        let exchange = ExchangeState::new(quarantine);
        let connected =
            timeout(self.current.get().settings.limits.connect_timeout, tcp::connect(address)).await;
        let opened = match connected {
            Ok(Ok(stream)) => {
                let stream = TokioIo::new(BackendStream::new(stream, exchange.clone()));
                let opened = http1::Builder::new().max_buf_size(READ_BUFFER).handshake(stream);
                opened.await.map_err(|_| Outcome::ConnectFailed)
            }
            // This node's own want of descriptors or ports says nothing of the backend.
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
                self.open.set(self.open.get() - 1);
                return Err(outcome);
            }
        };
        let task = spawn_local(async move {
            let _ = connection.await; // its end shows in the request on it
        });
        let (task, open) = (task.abort_handle(), self.open.clone());
        Ok(Connection { server, epoch, sender, exchange, task, open })
    }

    fn dialled(self: &Rc<Self>, server: ServerId, dialled: Delivery) {
        if let Some(place) = self.places.borrow_mut().get_mut(&server) {
            place.dialling -= 1;
        }
        let failed = match dialled {
            Ok(connection) => {
                self.put(connection);
                Outcome::NotSent // it led to where the backend no longer is: no fault of the backend's
            }
            Err(outcome) => outcome,
        };
        if let Some(place) = self.places.borrow_mut().get_mut(&server) {
            // More wait than dials can serve: the longest waiting learns that its dial has failed.
            place.waiting.retain(|waiting| !waiting.is_closed());
            if place.waiting.is_empty() && failed == Outcome::ConnectFailed {
                place.unreachable = Some(self.clock.now());
            }
            while place.waiting.len() > place.dialling {
                let Some(waiting) = place.waiting.pop_front() else { break };
                let _ = waiting.send(Err(failed));
            }
        }
    }

    /// Gives a free connection to whoever has waited longest, once it has rested, or keeps it: a dial that came too
    /// late serves the next request.
    fn put(self: &Rc<Self>, connection: Connection) {
        connection.exchange.fall_idle();
        let (server, rest) = (connection.server, connection.exchange.rests());
        let since = self.clock.now();
        if !self.keep(connection, since) {
            return;
        }
        if rest.is_zero() {
            self.offer(server);
        } else if self.places.borrow().get(&server).is_some_and(|place| !place.waiting.is_empty()) {
            // One for each connection at most: it is idle until then.
            let pool = self.clone();
            spawn_local(async move {
                tokio::time::sleep(rest).await;
                pool.offer(server);
            });
        }
    }

    /// Whether it is of use yet.
    fn keep(&self, connection: Connection, since: Duration) -> bool {
        let mut places = self.places.borrow_mut();
        let Some(place) = places.get_mut(&connection.server) else { return false };
        let sound = !connection.sender.is_closed() && connection.epoch == place.epoch;
        if sound {
            place.unreachable = None;
            place.keep(connection, since);
        }
        sound
    }

    /// Gives what has rested to those who wait.
    fn offer(&self, server: ServerId) {
        let mut places = self.places.borrow_mut();
        let Some(place) = places.get_mut(&server) else { return };
        while !place.waiting.is_empty() {
            let Some((connection, since)) = place.rested() else { return };
            let Some(waiting) = place.waiting.pop_front() else { return };
            if let Err(Ok(back)) = waiting.send(Ok(connection)) {
                place.keep(back, since); // whoever waited has left
            }
        }
    }

    /// Makes an attempt, until it ends or is stopped. It is for the run of its backend that is listed at this call, whenever
    /// the future is polled: a backend that has started anew since then was not what was decided on, and is cold.
    pub fn attempt(
        self: Rc<Self>,
        attempt: Attempt,
        stopped: oneshot::Receiver<Stop>,
        messages: mpsc::Sender<Message>,
    ) -> impl Future<Output = Ended> {
        let run = self.run_of(attempt.server);
        self.attempt_at(run, attempt, stopped, messages)
    }

    fn run_of(&self, server: ServerId) -> Option<u64> {
        self.places.borrow().get(&server).map(|place| place.run)
    }

    async fn attempt_at(
        self: Rc<Self>,
        run: Option<u64>,
        attempt: Attempt,
        stopped: oneshot::Receiver<Stop>,
        messages: mpsc::Sender<Message>,
    ) -> Ended {
        let stage = Cell::new(Stage::Unwritten);
        // The start of an answer may still be on its way to the node when that stops the attempt. It is the client's: if
        // that has had another answer, nobody takes the pieces, and the exchange ends by itself.
        let stopped = async {
            match stopped.await {
                _ if stage.get() == Stage::Started => std::future::pending().await,
                stop => stop,
            }
        };
        let (outcome, report, body) = tokio::select! {
            biased;
            ended = self.exchange(run, &attempt, &stage, &messages) => ended,
            // The exchange is dropped, and its connection closes.
            stop = stopped => (match stop {
                _ if stage.get() == Stage::Unwritten => Outcome::NotSent,
                Ok(Stop::TimedOut) => Outcome::TimedOut,
                Ok(Stop::Cancelled) | Err(_) => Outcome::Cancelled,
            }, None, None),
        };
        // It never ran if it was not written whole, whichever side broke it off.
        let broken = matches!(outcome, Outcome::Reset | Outcome::TimedOut | Outcome::Cancelled);
        let outcome = if broken && attempt.forward.body.is_incomplete() { Outcome::NotSent } else { outcome };
        let spent = attempt.forward.body.is_consumed();
        Ended { id: attempt.id, number: attempt.number, outcome, report, body, spent }
    }

    async fn exchange(
        self: &Rc<Self>,
        run: Option<u64>,
        attempt: &Attempt,
        stage: &Cell<Stage>,
        messages: &mpsc::Sender<Message>,
    ) -> (Outcome, Option<LoadReport>, Option<Bytes>) {
        for _ in 0..BROKEN_IN_A_ROW {
            let mut connection = match self.take(attempt.server).await {
                Ok(connection) => connection,
                Err(outcome) => return (outcome, None, None),
            };
            if connection.sender.ready().await.is_err() {
                continue;
            }
            // Time has passed since the decision: what was permitted then may not be any more.
            let Some(request) = self.request(run, attempt) else {
                self.put(connection);
                return (Outcome::NotSent, None, None);
            };
            stage.set(Stage::Written);
            connection.exchange.ask();
            match connection.sender.try_send_request(request).await {
                Ok(response) => return self.served(attempt, connection, response, (stage, messages)).await,
                // Given back: not a byte of it was written, so another connection may have it.
                Err(mut e) => match e.take_message() {
                    Some(request) => {
                        attempt.forward.body.put_back(request.into_body());
                        stage.set(Stage::Unwritten);
                    }
                    // What stood in the way was seen before its first byte.
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

    /// The request as it is written now, if it may still be: not past its time, the backend's grace or the
    /// window in which backends drop its repeats, not to another run of the backend, and not once it has its answer or its
    /// client has left.
    fn request(&self, run: Option<u64>, attempt: &Attempt) -> Option<Request<AttemptBody>> {
        let (now, forward) = (self.clock.now(), &attempt.forward);
        let places = self.places.borrow();
        let place = places.get(&attempt.server).filter(|place| Some(place.run) == run)?;
        let forgotten =
            forward.dedup_window.zip(forward.first_byte_at.get()).is_some_and(|(w, first)| now >= first + w);
        let drained = place.told.is_some_and(|told| now >= told + self.drain_grace());
        if forward.finished.get()
            || now >= attempt.until
            || drained
            || forgotten
            || forward.client.check_disconnected()
        {
            return None;
        }
        // Where the body still comes, the time begins with its last byte.
        let left = (attempt.until - now).min(forward.budget).as_millis().max(1) as u64;
        let address = place.address?;
        let mut request = Request::new(forward.body.take()?);
        *request.method_mut() = forward.method.clone();
        *request.uri_mut() = forward.path.clone().into();
        let headers = request.headers_mut();
        headers.insert(HOST, host(address));
        headers.insert("x-call-id", forward.call_id.clone());
        headers.insert("x-budget-ms", left.into());
        if let Some(key) = &forward.idempotency_key {
            headers.insert("idempotency-key", key.clone());
        }
        if forward.first_byte_at.get().is_none() {
            forward.first_byte_at.set(Some(now));
        }
        Some(request)
    }

    /// Reads what came back for an attempt. An answer that is not too long to be kept is read whole, so that a broken
    /// one is still an outcome and not a half answer to the client.
    async fn served(
        self: &Rc<Self>,
        attempt: &Attempt,
        connection: Connection,
        response: Response<Incoming>,
        (stage, messages): (&Cell<Stage>, &mpsc::Sender<Message>),
    ) -> (Outcome, Option<LoadReport>, Option<Bytes>) {
        let (head, mut body) = response.into_parts();
        let length = body.size_hint().exact();
        if head.status != StatusCode::OK || length.is_some_and(|length| length <= MAX_BUFFERED_BYTES as u64) {
            let answered = self.answered(attempt.server, Response::from_parts(head, body)).await;
            if answered.is_whole() {
                self.put_after(attempt, connection);
            }
            return answered.into_served();
        }
        let report = self.report_in(&head.headers);
        // Perhaps it is long: then its first bytes are what counts, and half of the time is left for them.
        let now = self.clock.now();
        let until = attempt.until.min(attempt.forward.deadline.get());
        let hold = self.clock.instant(now + until.saturating_sub(now) / 2);
        let mut start = BytesMut::new();
        while start.is_empty() || length.is_none() && start.len() <= MAX_BUFFERED_BYTES {
            let frame = match timeout_at(hold, body.frame()).await {
                Err(_) if start.is_empty() => body.frame().await,
                Err(_) => break,
                Ok(frame) => frame,
            };
            match frame {
                Some(Ok(frame)) => start.extend_from_slice(&frame.into_data().unwrap_or_default()),
                Some(Err(_)) => return (Outcome::Reset, None, None),
                None => {
                    self.put_after(attempt, connection);
                    return (Outcome::Served, report, Some(start.freeze()));
                }
            }
        }
        let (passing, pieces) = mpsc::channel(1);
        let started = Started { id: attempt.id, number: attempt.number, length, pieces };
        if messages.send(Message::Started(started)).await.is_err() {
            return (Outcome::Cancelled, report, None);
        }
        stage.set(Stage::Started);
        let mut left = length.map(|length| length.saturating_sub(start.len() as u64));
        let mut piece = BodyChunk::Data(start.freeze());
        loop {
            // Where the length is known nobody asks for an end: the last byte is one.
            let ends = matches!(piece, BodyChunk::End) || left == Some(0);
            match timeout(STALL_TIMEOUT, passing.send(piece)).await {
                Ok(Ok(())) if ends => break,
                Ok(Ok(())) => {}
                // The client has left, or reads nothing more, or has had another answer.
                Ok(Err(_)) | Err(_) => return (Outcome::Cancelled, report, None),
            }
            let frame = tokio::select! {
                biased;
                frame = timeout(STALL_TIMEOUT, body.frame()) => frame,
                () = passing.closed() => return (Outcome::Cancelled, report, None),
            };
            piece = match frame {
                Ok(Some(Ok(frame))) => {
                    let data = frame.into_data().unwrap_or_default();
                    left = left.map(|left| left.saturating_sub(data.len() as u64));
                    BodyChunk::Data(data)
                }
                Ok(None) => BodyChunk::End,
                Ok(Some(Err(_))) | Err(_) => return (Outcome::Reset, report, None),
            };
        }
        self.put_after(attempt, connection);
        (Outcome::Served, report, None)
    }

    /// A connection on which half a request has been written is of no more use.
    fn put_after(self: &Rc<Self>, attempt: &Attempt, connection: Connection) {
        if !attempt.forward.body.is_incomplete() {
            self.put(connection);
        }
    }

    /// Reads a short answer, whole.
    async fn answered(self: &Rc<Self>, server: ServerId, response: Response<Incoming>) -> ShortAnswer {
        let (head, body) = response.into_parts();
        let report = self.report_in(&head.headers);
        let body = match Limited::new(body, MAX_BUFFERED_BYTES).collect().await {
            Ok(body) => body.to_bytes(),
            Err(e) if e.is::<LengthLimitError>() => {
                log(format_args!(
                    "server {:x}: an answer over {MAX_BUFFERED_BYTES} bytes was dropped",
                    server.0
                ));
                return ShortAnswer { outcome: Outcome::Error, report, body: None };
            }
            Err(_) => return ShortAnswer { outcome: Outcome::Reset, report: None, body: None },
        };
        let turned_away = head.headers.get("x-rejected").is_some_and(|value| value == "1");
        let outcome = match head.status {
            StatusCode::OK => Outcome::Served,
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if turned_away => Outcome::Rejected,
            // Nothing else promises that the request never ran.
            _ => Outcome::Error,
        };
        ShortAnswer { outcome, report, body: Some(body) }
    }

    /// Asks a backend for its load, or for a sign of life where it reports none.
    pub async fn probe(self: Rc<Self>, server: ServerId) -> (Outcome, Option<LoadReport>) {
        timeout(PROBE_TIMEOUT, self.probed(server)).await.unwrap_or((Outcome::TimedOut, None))
    }

    async fn probed(self: &Rc<Self>, server: ServerId) -> (Outcome, Option<LoadReport>) {
        let mut connection = match self.take(server).await {
            Ok(connection) => connection,
            Err(outcome) => return (outcome, None),
        };
        let mut request = Request::new(AttemptBody::Buffered(Full::default()));
        *request.method_mut() = Method::GET;
        let reports = self.reports() != ReportSource::None;
        *request.uri_mut() = hyper::Uri::from_static(if reports { "/stats" } else { "/health/live" });
        let address = self.places.borrow().get(&server).and_then(|place| place.address);
        let Some(address) = address else { return (Outcome::NotSent, None) };
        request.headers_mut().insert(HOST, host(address));
        connection.exchange.ask();
        let Ok(response) = connection.sender.send_request(request).await else {
            return (Outcome::Reset, None);
        };
        let answered = self.answered(server, response).await;
        if answered.is_whole() {
            self.put(connection);
        }
        let in_body = || {
            let body = answered.body.as_ref().filter(|_| reports && answered.outcome == Outcome::Served)?;
            self.report(std::str::from_utf8(body).ok()?)
        };
        (answered.outcome, in_body().or(answered.report))
    }

    fn report_in(&self, headers: &HeaderMap) -> Option<LoadReport> {
        let value = headers.get("x-load-report").filter(|_| self.reports() != ReportSource::None)?;
        let report = value.to_str().ok().and_then(|text| self.report(text));
        if report.is_none() {
            log(format_args!("a malformed load report was dropped: {value:?}"));
        }
        report
    }

    /// Reads `inflight=7,queue=2`; `None` unless all of it reads as told.
    fn report(&self, text: &str) -> Option<LoadReport> {
        let (mut report, site) = (LoadReport::default(), self.current.get());
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

fn host(address: SocketAddr) -> HeaderValue {
    HeaderValue::from_str(&address.to_string()).unwrap_or(HeaderValue::from_static("backend"))
}

/// An answer that is read whole before anything of it is passed on.
struct ShortAnswer {
    outcome: Outcome,
    report: Option<LoadReport>,
    /// Whatever the status was; `None` if the answer did not come whole.
    body: Option<Bytes>,
}

impl ShortAnswer {
    /// Whether its connection can carry another request.
    fn is_whole(&self) -> bool {
        self.body.is_some()
    }

    /// The body, if it is the request's answer.
    fn into_served(self) -> (Outcome, Option<LoadReport>, Option<Bytes>) {
        let body = self.body.filter(|_| self.outcome == Outcome::Served);
        (self.outcome, self.report, body)
    }
}

/// How far an attempt has come.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Stage {
    /// Surely not a byte of it has gone out.
    Unwritten,
    /// It may run.
    Written,
    /// The start of its answer has been handed over, and the answer is the client's.
    Started,
}

/// What there is for an attempt.
enum Found<'a> {
    Free(Connection),
    /// For so long it rests.
    Resting(Resting<'a>, Duration),
    Coming(oneshot::Receiver<Delivery>),
}

/// A connection that rests, and that somebody waits for. If they leave it goes back as it was.
struct Resting<'a> {
    pool: &'a ConnectionPool,
    kept: Option<(Connection, Duration)>,
}

impl Resting<'_> {
    /// Nothing, if it has ended meanwhile or its backend has been seen to answer later yet.
    fn take(mut self) -> Option<Connection> {
        let rested = |(connection, _): &(Connection, Duration)| {
            !connection.sender.is_closed() && connection.exchange.rests().is_zero()
        };
        if self.kept.as_ref().is_some_and(rested) {
            self.kept.take().map(|(connection, _)| connection)
        } else {
            None
        }
    }
}

impl Drop for Resting<'_> {
    fn drop(&mut self) {
        if let Some((connection, since)) = self.kept.take() {
            self.pool.keep(connection, since);
        }
    }
}

/// An attempt that waits for a connection. One that was delivered but not fetched goes back to the pool: it
/// has cost its backend a handshake.
struct Waiter<'a> {
    pool: &'a Rc<ConnectionPool>,
    deliver: oneshot::Receiver<Delivery>,
}

impl Drop for Waiter<'_> {
    fn drop(&mut self) {
        self.deliver.close();
        if let Ok(Ok(connection)) = self.deliver.try_recv() {
            self.pool.put(connection);
        }
    }
}

#[cfg(test)]
mod tests;
