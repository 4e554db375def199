//! The backend side: the connection pool, and in its modules the attempts and probes that are sent over its
//! connections.

mod exchange;
mod response;

use crate::backend_stream::{BackendStream, ExchangeState, Quarantine};
use crate::handover::HotRestart;
use crate::memory::MemoryBudget;
use crate::upload::AttemptBody;
use hillpick::control::clock::Clock;
use hillpick::control::config::{Config, LiveSettings};
use hillpick::control::log::log;
use hillpick::control::tcp;
use hillpick::control::updates::Backend;
use hillpick::{ListKind, Outcome, ReportSource, ServerId, ServerState};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::task::{AbortHandle, spawn_local};
use tokio::time::timeout;

// Linux error numbers.
const EMFILE: i32 = 24;
const ENFILE: i32 = 23;
const EADDRNOTAVAIL: i32 = 99;
/// The most that a connection may buffer, and so the longest head of a response.
const READ_BUFFER_BYTES: usize = 32 * 1024;
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
    memory: Arc<MemoryBudget>,
}

impl ConnectionPool {
    /// Creates the pool and starts the task that closes connections which have been idle for too long.
    pub fn start(
        clock: Clock,
        config: &Config,
        settings: LiveSettings,
        hot_restart: Rc<HotRestart>,
        memory: Arc<MemoryBudget>,
    ) -> Rc<Self> {
        let pool = Rc::new(ConnectionPool {
            clock,
            backends: RefCell::default(),
            open_count: Rc::default(),
            max_open: config.max_backend_connections,
            settings,
            hot_restart,
            memory,
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
