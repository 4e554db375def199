//! The service discovery client: it keeps the node's server list up to date over a streaming watch of the
//! agent, a long poll whose response never ends, and reconnects with backoff and jitter when the watch fails.
//! Lists are pushed, and the watch is always open; or, with the registry mode `ask`, they are requested, and
//! the decision module subscribes when it needs them.
//!
//! `framing` splits the stream into JSON values, `incremental` parses long lists while they arrive, `entry`
//! parses one entry, `versions` detects stale lists, `apply` applies a list, `chunks` sends a long one in
//! parts, and `timeouts` has the liveness timeout and the backoff. The reasons are in docs/discovery.md.

mod apply;
mod chunks;
mod entry;
mod error;
mod framing;
mod incremental;
#[cfg(test)]
mod tests;
mod timeouts;
mod versions;

use crate::ListKind;
use crate::control::config::{Config, LiveSettings};
use crate::control::log::log;
use crate::control::tcp;
use crate::control::transfer_coding;
use crate::control::updates::{DiscoveryCommand, ListUpdate};
use apply::{ApplyOutcome, READ_CHUNK_BYTES, parse_long};
use bytes::{Bytes, BytesMut};
use chunks::PendingChunks;
use entry::EntryReader;
use error::WatchError;
use framing::{ListValue, MAX_SHORT_LIST_BYTES, StreamFramer};
use http_body_util::{BodyExt, Empty};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::header::HOST;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use incremental::IncrementalListParser;
use rand_pcg::Pcg32;
use rand_pcg::rand_core::{RngCore, SeedableRng};
use std::cell::Cell;
use std::future::{Future, pending, poll_fn};
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;
use timeouts::{LIST_TOO_LONG_BACKOFF, LIVENESS_TIMEOUT, MIN_BACKOFF, STABLE_AFTER};
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpStream;
use tokio::sync::{mpsc, watch};
use tokio::task::{JoinHandle, spawn_local, yield_now};
use tokio::time::{Instant, sleep, sleep_until, timeout_at};
use versions::HeldList;

const LIST_PATH: &str = "/registry/instances";
/// A node with a cached list waits this long at most for a newer one before it is ready.
const CACHED_LIST_READY_DELAY: Duration = Duration::from_secs(1);

/// Opens connections to the discovery agent.
pub trait Connector {
    /// An open connection.
    type Stream: AsyncRead + AsyncWrite + Unpin + 'static;
    /// Opens a connection.
    fn connect(&self, address: SocketAddr) -> impl Future<Output = io::Result<Self::Stream>>;
}

/// Connects by TCP.
pub struct TcpConnector;

impl Connector for TcpConnector {
    type Stream = TcpStream;
    async fn connect(&self, address: SocketAddr) -> io::Result<TcpStream> {
        tcp::connect(address).await
    }
}

/// The discovery client of one node. It sends [`ListUpdate`]s to its owner, as messages of the owner's type
/// `M`.
pub struct DiscoveryClient<M, D = TcpConnector> {
    connector: D,
    /// The agent's address, which a reload of the configuration may change.
    address: watch::Receiver<SocketAddr>,
    settings: LiveSettings,
    messages: mpsc::Sender<M>,
    cached_list: Option<String>,
    entry_reader: EntryReader,
    /// The most servers in a list.
    max_servers: usize,
    rng: Pcg32,
    ready: Rc<Cell<bool>>,
    held: HeldList,
    /// A long list that has been sent in part. The rest is sent even if the watch fails.
    pending_chunks: Option<PendingChunks>,
    /// The last watch failed because its list had too many servers.
    list_too_long: bool,
    /// Why the last request or watch failed; empty once a watch is active again.
    last_error: String,
}

impl<M: From<ListUpdate>> DiscoveryClient<M> {
    /// A client of the agent at `address`, which may change, over TCP. Lists are sent to `messages`.
    pub fn new(
        config: &Config,
        settings: LiveSettings,
        address: watch::Receiver<SocketAddr>,
        messages: mpsc::Sender<M>,
    ) -> Self {
        DiscoveryClient::with_connector(TcpConnector, config, settings, address, messages)
    }
}

impl<M: From<ListUpdate>, D: Connector> DiscoveryClient<M, D> {
    fn with_connector(
        connector: D,
        config: &Config,
        settings: LiveSettings,
        address: watch::Receiver<SocketAddr>,
        messages: mpsc::Sender<M>,
    ) -> Self {
        DiscoveryClient {
            connector,
            address,
            entry_reader: EntryReader::new(settings.clone()),
            max_servers: config.max_listed_servers,
            settings,
            messages,
            cached_list: config.known_list.clone(),
            rng: Pcg32::seed_from_u64(!config.seed),
            ready: Rc::default(),
            held: HeldList::default(),
            pending_chunks: None,
            list_too_long: false,
            last_error: String::new(),
        }
    }

    /// Whether the node has a list to serve by; shared, and never false again once true.
    pub fn ready(&self) -> Rc<Cell<bool>> {
        self.ready.clone()
    }

    /// Applies the cached list, and then keeps the list up to date for as long as the process runs.
    pub async fn run(mut self, commands: mpsc::Receiver<DiscoveryCommand>) {
        if let Some(cached) = self.cached_list.take() {
            let has_entries = self.apply_cached(cached).await == ApplyOutcome::Applied(true);
            // The cached list may be old: the first watch may bring a newer one before clients connect.
            let ready = self.ready.clone();
            spawn_local(async move {
                sleep(CACHED_LIST_READY_DELAY).await;
                ready.set(ready.get() || has_entries);
            });
        }
        self.watch_loop(commands).await;
    }

    /// Runs the watch: from the start where lists are pushed, and once the decision module subscribes where
    /// they are requested. When the watch fails, the node keeps its list, and the client reconnects after a
    /// backoff that is the same in both modes. When the agent's address changes, it reconnects there at once.
    async fn watch_loop(&mut self, mut commands: mpsc::Receiver<DiscoveryCommand>) {
        let on_request = self.settings.get().settings.list_on_request;
        let (mut state, mut address_changes) =
            (if on_request { WatchState::Unsubscribed } else { WatchState::Open }, self.address.clone());
        let mut backoff = MIN_BACKOFF;
        loop {
            self.send_pending_chunks().await;
            let started = Instant::now();
            let subscribed = !matches!(state, WatchState::Unsubscribed);
            let event = tokio::select! {
                command = next_command(&mut commands, subscribed) => Event::Command(command),
                Ok(()) = address_changes.changed() => Event::AddressChanged,
                error = self.run_state(&state) => Event::StateEnded(error),
            };
            state = match event {
                Event::Command(Some(DiscoveryCommand::Subscribe(true))) => WatchState::Open,
                Event::Command(Some(DiscoveryCommand::Subscribe(false))) => WatchState::Unsubscribed,
                Event::Command(Some(DiscoveryCommand::Fetch)) => {
                    if let Err(error) = self.fetch().await {
                        self.log_once("fetching the list failed", error);
                        self.send(ListKind::Failed, Vec::new()).await;
                    }
                    state
                }
                Event::Command(None) => return,
                Event::AddressChanged => {
                    backoff = MIN_BACKOFF;
                    if subscribed { WatchState::Open } else { WatchState::Unsubscribed }
                }
                Event::StateEnded(None) => WatchState::Open,
                Event::StateEnded(Some(error)) => {
                    let max_backoff = timeouts::max_backoff(self.grace(), on_request);
                    let was_stable = started.elapsed() > STABLE_AFTER;
                    backoff = if was_stable { MIN_BACKOFF } else { (backoff * 2).min(max_backoff) };
                    self.log_once("the watch broke", error);
                    let list_too_long = std::mem::take(&mut self.list_too_long);
                    let delay = self.with_jitter(if list_too_long { LIST_TOO_LONG_BACKOFF } else { backoff });
                    WatchState::BackingOff(Instant::now() + delay)
                }
            };
        }
    }

    /// Waits until a state ends by itself; returns why if it was an open watch that failed.
    async fn run_state(&mut self, state: &WatchState) -> Option<String> {
        match state {
            WatchState::Unsubscribed => pending().await,
            WatchState::Open => Some(self.watch_until_error().await),
            WatchState::BackingOff(deadline) => {
                sleep_until(*deadline).await;
                None
            }
        }
    }

    /// The drain grace: how long after its announcement a drain is enforced.
    fn grace(&self) -> Duration {
        self.settings.get().settings.rules.drain_grace
    }

    /// Logs an error unless it is the same as the last one: while discovery is down there are several a
    /// second.
    fn log_once(&mut self, what: &str, error: String) {
        if self.last_error != error {
            log(format_args!("{what}: {error}"));
            self.last_error = error;
        }
    }

    /// Adds jitter: between half and all of the backoff, so that nodes whose watches failed together don't
    /// reconnect together.
    fn with_jitter(&mut self, backoff: Duration) -> Duration {
        backoff.mul_f64(0.5 + f64::from(self.rng.next_u32()) / 2f64.powi(33))
    }

    /// Requests a full list once.
    async fn fetch(&mut self) -> Result<(), String> {
        self.send_pending_chunks().await;
        let (response, _connection) = self.get(LIST_PATH).await?;
        match self.read_response(response.into_body()).await? {
            ListValue::Text(text) => self.apply_text(&text, Some(ListKind::Full)).await,
            ListValue::Long(list) => self.apply_long(*list, Some(ListKind::Full)).await,
        }
        .map(|_| ())
        .map_err(|e| e.to_string())
    }

    /// Reads a response that is a single list. The liveness timeout is granted once for each
    /// [`MAX_SHORT_LIST_BYTES`] received, and once more.
    async fn read_response(&self, mut body: Incoming) -> Result<ListValue, String> {
        let (mut text, mut received, started) = (BytesMut::new(), 0, Instant::now());
        let mut parser = None;
        loop {
            let periods =
                u32::try_from(received / MAX_SHORT_LIST_BYTES).unwrap_or(u32::MAX).saturating_add(1);
            let frame = before_deadline(started + LIVENESS_TIMEOUT.saturating_mul(periods), body.frame())
                .await
                .ok_or("timed out")?;
            let Some(frame) = frame else { break };
            let Ok(data) = frame.map_err(|e| e.to_string())?.into_data() else { continue };
            received += data.len();
            match &mut parser {
                None => text.extend_from_slice(&data),
                Some(parser) => {
                    if let Some(list) = parse_long(parser, &data).await.map_err(|e| e.to_string())? {
                        return Ok(list);
                    }
                }
            }
            if parser.is_none() && text.len() > MAX_SHORT_LIST_BYTES {
                let mut new_parser = IncrementalListParser::new(
                    self.entry_reader.clone(),
                    self.max_servers,
                    MAX_SHORT_LIST_BYTES,
                );
                if let Some(list) = parse_long(&mut new_parser, &std::mem::take(&mut text))
                    .await
                    .map_err(|e| e.to_string())?
                {
                    return Ok(list);
                }
                parser = Some(new_parser);
            }
        }
        if parser.is_some() {
            Err("the list is truncated".to_owned())
        } else {
            Ok(ListValue::Text(text.freeze()))
        }
    }

    /// Runs one watch until it fails; returns why.
    async fn watch_until_error(&mut self) -> String {
        match self.read_watch().await {
            Ok(()) => "the agent ended the stream".to_owned(),
            Err(error) => error,
        }
    }

    /// Opens a watch and applies what it receives; `Ok` if the agent ends the stream.
    async fn read_watch(&mut self) -> Result<(), String> {
        let path = format!("{LIST_PATH}?stream=1&index={}", self.held.index);
        let (response, _connection) = self.get(&path).await?;
        let (mut body, mut framer) =
            (response.into_body(), StreamFramer::new(self.entry_reader.clone(), self.max_servers));
        let (mut last_activity, mut saw_stale) = (Instant::now(), false);
        loop {
            let liveness_deadline = last_activity + LIVENESS_TIMEOUT;
            let accept_at = self.held.accept_stale_at().filter(|at| saw_stale && *at < liveness_deadline);
            let Some(frame) = before_deadline(accept_at.unwrap_or(liveness_deadline), body.frame()).await
            else {
                if accept_at.is_none() {
                    return Err("timed out".to_owned());
                }
                self.held.reset();
                return Err(
                    "the agent sends only older lists: discovery must have restarted its version numbers"
                        .to_owned(),
                );
            };
            let Some(frame) = frame else { return Ok(()) };
            let Ok(data) = frame.map_err(|e| e.to_string())?.into_data() else { continue };
            let mut active = false;
            for bytes in data.chunks(READ_CHUNK_BYTES) {
                let output = framer.feed(bytes).map_err(|e| self.record_watch_error(e))?;
                active |= output.active;
                for value in output.values {
                    saw_stale |= self.apply_value(value).await.map_err(|e| self.record_watch_error(e))?
                        == ApplyOutcome::Stale;
                }
                if bytes.len() == READ_CHUNK_BYTES {
                    yield_now().await;
                }
            }
            if !active {
                continue;
            }
            last_activity = Instant::now();
            if data.trim_ascii().is_empty() && !saw_stale {
                self.held.clear_stale(); // the agent has nothing newer than the held version
            }
            if !self.last_error.is_empty() {
                log("the watch is open again");
                self.last_error.clear();
            }
        }
    }

    /// Notes whether a list had too many servers: it is not requested again at once, since reading it up to
    /// the limit costs the same each time.
    fn record_watch_error(&mut self, error: WatchError) -> String {
        self.list_too_long = matches!(error, WatchError::TooManyServers { .. });
        error.to_string()
    }

    /// Opens a connection, sends a request and waits for the head of the response, within the response
    /// timeout.
    async fn get(&self, path: &str) -> Result<(Response<Incoming>, Connection), String> {
        let request = async {
            let address = *self.address.borrow();
            let stream = self.connector.connect(address).await.map_err(|e| e.to_string())?;
            let (mut sender, connection) =
                http1::handshake(TokioIo::new(stream)).await.map_err(|e| e.to_string())?;
            let connection = Connection(spawn_local(async move {
                let _ = connection.await; // an error here also shows in the response
            }));
            let request = Request::get(path).header(HOST, address.to_string());
            let request = request.body(Empty::<Bytes>::new()).map_err(|e| e.to_string())?;
            let response = sender.send_request(request).await.map_err(|e| e.to_string())?;
            match response.status() {
                StatusCode::OK if !transfer_coding::is_decoded(response.headers()) => {
                    Err("the agent answered in an unsupported transfer coding".to_owned())
                }
                StatusCode::OK => Ok((response, connection)),
                status => Err(format!("the agent answered {status}")),
            }
        };
        before_deadline(Instant::now() + timeouts::response_timeout(self.grace()), request)
            .await
            .ok_or("timed out")?
    }
}

/// The state of the watch.
enum WatchState {
    /// Lists are requested, and the decision module has not subscribed.
    Unsubscribed,
    /// A watch is open or being opened.
    Open,
    /// The last watch failed; the next one is opened at this time.
    BackingOff(Instant),
}

/// What ends a state of the watch.
enum Event {
    /// A command of the node; `None` once the node has ended.
    Command(Option<DiscoveryCommand>),
    /// The agent's address has changed.
    AddressChanged,
    /// The state ended by itself; why, if it was an open watch.
    StateEnded(Option<String>),
}

/// Waits for the next command that changes something. The decision module subscribes again while no list
/// comes, and none comes as long as nothing changes.
async fn next_command(
    commands: &mut mpsc::Receiver<DiscoveryCommand>,
    subscribed: bool,
) -> Option<DiscoveryCommand> {
    loop {
        match commands.recv().await {
            Some(DiscoveryCommand::Subscribe(on)) if on == subscribed => {}
            command => return command,
        }
    }
}

/// Runs a future until a deadline, and polls it once more after that: if the process got no CPU time for a
/// while, the deadline has passed although the response has already reached the kernel.
async fn before_deadline<T>(deadline: Instant, future: impl Future<Output = T>) -> Option<T> {
    let mut future = pin!(future);
    if let Ok(done) = timeout_at(deadline, future.as_mut()).await {
        return Some(done);
    }
    yield_now().await; // lets the connection's task read
    poll_fn(|cx| match future.as_mut().poll(cx) {
        Poll::Ready(done) => Poll::Ready(Some(done)),
        Poll::Pending => Poll::Ready(None),
    })
    .await
}

/// The task of a connection to the agent; dropping it closes the connection.
struct Connection(JoinHandle<()>);

impl Drop for Connection {
    fn drop(&mut self) {
        self.0.abort();
    }
}
