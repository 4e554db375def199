//! Discovery: the list of backends, the watch that keeps it fresh, and the backends' numbers. `framing` finds the values of
//! a watch, `incremental` takes in those too long to be kept, `entry` reads an entry, `timeouts` says when a watch is broken,
//! `versions` which lists are news, `chunks` passes on long ones; docs/discovery.md says why so.

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
use crate::control::updates::{DiscoveryCommand, ListUpdate};
use apply::{PIECE, Taken, read_long};
use bytes::{Bytes, BytesMut};
use chunks::Slices;
use entry::EntryReader;
use error::BadWatch;
use framing::{Lines, ListValue, SHORT_LIMIT};
use http_body_util::{BodyExt, Empty};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::header::HOST;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use incremental::LongReader;
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
use timeouts::{FIRST_PAUSE, LASTED, OVERLONG_PAUSE, SILENCE};
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpStream;
use tokio::sync::{mpsc, watch};
use tokio::task::{JoinHandle, spawn_local, yield_now};
use tokio::time::{Instant, sleep, sleep_until, timeout_at};
use versions::Versions;

const LIST: &str = "/registry/instances";
/// A node that knows backends from before is ready at the latest when its first call has taken so long.
const READY_AFTER: Duration = Duration::from_secs(1);

/// How the agent is reached.
pub trait Dial {
    /// A connection.
    type Stream: AsyncRead + AsyncWrite + Unpin + 'static;
    /// Opens one.
    fn dial(&self, address: SocketAddr) -> impl Future<Output = io::Result<Self::Stream>>;
}

/// By TCP.
pub struct Tcp;

impl Dial for Tcp {
    type Stream = TcpStream;
    async fn dial(&self, address: SocketAddr) -> io::Result<TcpStream> {
        tcp::connect(address).await
    }
}

/// The discovery client of one node. It sends [`ListUpdate`]s, as messages `M` of its owner.
pub struct DiscoveryClient<M, D = Tcp> {
    dial: D,
    /// Where discovery is now; it may move.
    address: watch::Receiver<SocketAddr>,
    current: LiveSettings,
    messages: mpsc::Sender<M>,
    known: Option<String>,
    entries: EntryReader,
    /// The most servers in a list.
    most: usize,
    random: Pcg32,
    ready: Rc<Cell<bool>>,
    versions: Versions,
    /// A long list of which the node has a part. It gets the rest whatever becomes of the watch.
    slices: Option<Slices>,
    /// The last watch told of more servers than there is room for.
    overlong: bool,
    /// Why the last call failed, until one is answered.
    broken: String,
}

impl<M: From<ListUpdate>> DiscoveryClient<M> {
    /// Reached by TCP at `address`, which may change; lists go to `messages`.
    pub fn new(
        config: &Config,
        current: LiveSettings,
        address: watch::Receiver<SocketAddr>,
        messages: mpsc::Sender<M>,
    ) -> Self {
        DiscoveryClient::with(Tcp, config, current, address, messages)
    }
}

impl<M: From<ListUpdate>, D: Dial> DiscoveryClient<M, D> {
    fn with(
        dial: D,
        config: &Config,
        current: LiveSettings,
        address: watch::Receiver<SocketAddr>,
        messages: mpsc::Sender<M>,
    ) -> Self {
        DiscoveryClient {
            dial,
            address,
            entries: EntryReader::new(current.clone()),
            most: config.max_listed_servers,
            current,
            messages,
            known: config.known_list.clone(),
            random: Pcg32::seed_from_u64(!config.seed),
            ready: Rc::default(),
            versions: Versions::default(),
            slices: None,
            overlong: false,
            broken: String::new(),
        }
    }

    /// Whether the node knows enough to serve.
    pub fn ready(&self) -> Rc<Cell<bool>> {
        self.ready.clone()
    }

    /// Follows the list for as long as the process runs.
    pub async fn run(mut self, orders: mpsc::Receiver<DiscoveryCommand>) {
        if let Some(known) = self.known.take() {
            let some = self.take_known(known).await == Taken::News(true);
            // It may be old: the first call may still bring a newer one before clients come.
            let ready = self.ready.clone();
            spawn_local(async move {
                sleep(READY_AFTER).await;
                ready.set(ready.get() || some);
            });
        }
        self.follow(orders).await;
    }

    /// Lists that are pushed are watched for good, others from when the module asks on. A broken watch is no news: the
    /// list stays as it is, and the watch is opened anew on the one clock, whoever wanted it. Where discovery has moved,
    /// it is taken up there at once.
    async fn follow(&mut self, mut orders: mpsc::Receiver<DiscoveryCommand>) {
        let asked = self.current.get().settings.list_on_request;
        let (mut state, mut moved) =
            (if asked { State::Unwanted } else { State::Open }, self.address.clone());
        let mut pause = FIRST_PAUSE;
        loop {
            self.pass_on_slices().await;
            let begun = Instant::now();
            let wanted = !matches!(state, State::Unwanted);
            let event = tokio::select! {
                order = next_order(&mut orders, wanted) => Event::Ordered(order),
                Ok(()) = moved.changed() => Event::Moved,
                broken = self.pass(&state) => Event::Passed(broken),
            };
            state = match event {
                Event::Ordered(Some(DiscoveryCommand::Subscribe(true))) => State::Open,
                Event::Ordered(Some(DiscoveryCommand::Subscribe(false))) => State::Unwanted,
                Event::Ordered(Some(DiscoveryCommand::Fetch)) => {
                    if let Err(broken) = self.fetch().await {
                        self.complain("the list did not come", broken);
                        self.tell(ListKind::Failed, Vec::new()).await;
                    }
                    state
                }
                Event::Ordered(None) => return,
                Event::Moved => {
                    pause = FIRST_PAUSE;
                    if wanted { State::Open } else { State::Unwanted }
                }
                Event::Passed(None) => State::Open,
                Event::Passed(Some(broken)) => {
                    let longest = timeouts::longest_pause(self.grace(), asked);
                    let lasted = begun.elapsed() > LASTED;
                    pause = if lasted { FIRST_PAUSE } else { (pause * 2).min(longest) };
                    self.complain("the watch broke", broken);
                    let overlong = std::mem::take(&mut self.overlong);
                    let rest = self.jittered(if overlong { OVERLONG_PAUSE } else { pause });
                    State::Rests(Instant::now() + rest)
                }
            };
        }
    }

    /// Until a state ends by itself: a watch that was open says why.
    async fn pass(&mut self, state: &State) -> Option<String> {
        match state {
            State::Unwanted => pending().await,
            State::Open => Some(self.watch().await),
            State::Rests(until) => {
                sleep_until(*until).await;
                None
            }
        }
    }

    /// The rule on drains: what is told binds so much later.
    fn grace(&self) -> Duration {
        self.current.get().settings.rules.drain_grace
    }

    /// Once for each reason, not for each call: while discovery is down there are some a second.
    fn complain(&mut self, what: &str, broken: String) {
        if self.broken != broken {
            log(format_args!("{what}: {broken}"));
            self.broken = broken;
        }
    }

    /// Between half and all of it, so that nodes whose watches broke together do not call together.
    fn jittered(&mut self, pause: Duration) -> Duration {
        pause.mul_f64(0.5 + f64::from(self.random.next_u32()) / 2f64.powi(33))
    }

    async fn fetch(&mut self) -> Result<(), String> {
        self.pass_on_slices().await;
        let (response, _connection) = self.get(LIST).await?;
        match self.read_whole(response.into_body()).await? {
            ListValue::Text(text) => self.take(&text, Some(ListKind::Full)).await,
            ListValue::Long(list) => self.take_long(*list, Some(ListKind::Full)).await,
        }
        .map(|_| ())
        .map_err(|e| e.to_string())
    }

    /// Reads an answer that is one value. For each [`SHORT_LIMIT`] bytes there is as much time as for a short answer.
    async fn read_whole(&self, mut body: Incoming) -> Result<ListValue, String> {
        let (mut text, mut came, begun) = (BytesMut::new(), 0, Instant::now());
        let mut long = None;
        loop {
            let parts = u32::try_from(came / SHORT_LIMIT).unwrap_or(u32::MAX).saturating_add(1);
            let frame = by(begun + SILENCE.saturating_mul(parts), body.frame()).await.ok_or("silent")?;
            let Some(frame) = frame else { break };
            let Ok(data) = frame.map_err(|e| e.to_string())?.into_data() else { continue };
            came += data.len();
            match &mut long {
                None => text.extend_from_slice(&data),
                Some(long) => {
                    if let Some(list) = read_long(long, &data).await.map_err(|e| e.to_string())? {
                        return Ok(list);
                    }
                }
            }
            if long.is_none() && text.len() > SHORT_LIMIT {
                let mut reader = LongReader::new(self.entries.clone(), self.most, SHORT_LIMIT);
                if let Some(list) =
                    read_long(&mut reader, &std::mem::take(&mut text)).await.map_err(|e| e.to_string())?
                {
                    return Ok(list);
                }
                long = Some(reader);
            }
        }
        if long.is_some() {
            Err("the list was cut short".to_owned())
        } else {
            Ok(ListValue::Text(text.freeze()))
        }
    }

    /// Watches until that breaks; returns why.
    async fn watch(&mut self) -> String {
        match self.lines().await {
            Ok(()) => "it ended".to_owned(),
            Err(broken) => broken,
        }
    }

    async fn lines(&mut self) -> Result<(), String> {
        let path = format!("{LIST}?stream=1&index={}", self.versions.index);
        let (response, _connection) = self.get(&path).await?;
        let (mut body, mut lines) = (response.into_body(), Lines::new(self.entries.clone(), self.most));
        let (mut heard, mut refused) = (Instant::now(), false);
        loop {
            let silent = heard + SILENCE;
            let believed = self.versions.believed_at().filter(|at| refused && *at < silent);
            let Some(frame) = by(believed.unwrap_or(silent), body.frame()).await else {
                if believed.is_none() {
                    return Err("silent".to_owned());
                }
                self.versions.start_anew();
                return Err("it tells older lists for good: discovery has begun anew".to_owned());
            };
            let Some(frame) = frame else { return Ok(()) };
            let Ok(data) = frame.map_err(|e| e.to_string())?.into_data() else { continue };
            let mut spoke = false;
            for piece in data.chunks(PIECE) {
                let fed = lines.feed(piece).map_err(|e| self.refuse(e))?;
                spoke |= fed.heard;
                for value in fed.values {
                    refused |= self.take_value(value).await.map_err(|e| self.refuse(e))? == Taken::Refused;
                }
                if piece.len() == PIECE {
                    yield_now().await;
                }
            }
            if !spoke {
                continue;
            }
            heard = Instant::now();
            if data.trim_ascii().is_empty() && !refused {
                self.versions.trust(); // it waits for what is newer than the node's
            }
            if !self.broken.is_empty() {
                log("the watch is open again");
                self.broken.clear();
            }
        }
    }

    /// A list that can't be taken in is not asked for again at once: it costs as much each time.
    fn refuse(&mut self, problem: BadWatch) -> String {
        self.overlong = matches!(problem, BadWatch::TooManyServers { .. });
        problem.to_string()
    }

    async fn get(&self, path: &str) -> Result<(Response<Incoming>, Connection), String> {
        let call = async {
            let address = *self.address.borrow();
            let stream = self.dial.dial(address).await.map_err(|e| e.to_string())?;
            let (mut sender, connection) =
                http1::handshake(TokioIo::new(stream)).await.map_err(|e| e.to_string())?;
            let connection = Connection(spawn_local(async move {
                let _ = connection.await; // its end shows in the answer
            }));
            let request = Request::get(path).header(HOST, address.to_string());
            let request = request.body(Empty::<Bytes>::new()).map_err(|e| e.to_string())?;
            let response = sender.send_request(request).await.map_err(|e| e.to_string())?;
            match response.status() {
                StatusCode::OK => Ok((response, connection)),
                status => Err(format!("answered {status}")),
            }
        };
        by(Instant::now() + timeouts::call(self.grace()), call).await.ok_or("silent")?
    }
}

/// How the watch stands.
enum State {
    /// The module has not asked for lists yet.
    Unwanted,
    /// From its call on.
    Open,
    /// It broke, and is opened anew then.
    Rests(Instant),
}

/// What ends a state.
enum Event {
    Ordered(Option<DiscoveryCommand>),
    Moved,
    /// It ended by itself; why, if it was a watch.
    Passed(Option<String>),
}

/// The next order that changes something: the module asks again where no list has come, and none comes while nothing
/// changes.
async fn next_order(orders: &mut mpsc::Receiver<DiscoveryCommand>, wanted: bool) -> Option<DiscoveryCommand> {
    loop {
        match orders.recv().await {
            Some(DiscoveryCommand::Subscribe(on)) if on == wanted => {}
            order => return order,
        }
    }
}

/// Waits until then. A node that had no turn for a while finds the time over and the answer in the kernel: what is there
/// is looked at before anything is given up.
async fn by<T>(until: Instant, future: impl Future<Output = T>) -> Option<T> {
    let mut future = pin!(future);
    if let Ok(done) = timeout_at(until, future.as_mut()).await {
        return Some(done);
    }
    yield_now().await; // the connection reads
    poll_fn(|cx| match future.as_mut().poll(cx) {
        Poll::Ready(done) => Poll::Ready(Some(done)),
        Poll::Pending => Poll::Ready(None),
    })
    .await
}

/// A connection to discovery, which closes when it is dropped.
struct Connection(JoinHandle<()>);

impl Drop for Connection {
    fn drop(&mut self) {
        self.0.abort();
    }
}
