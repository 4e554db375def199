//! Discovery: the list of backends, the watch that keeps it fresh, and the backends' numbers. `lines` finds the values of
//! a watch, `silence` says when it is broken, `versions` which lists are news; docs/discovery.md says why so.

mod lines;
mod silence;
#[cfg(test)]
mod tests;
mod versions;

use crate::control::config::{Config, Current};
use crate::control::log::log;
use crate::control::tcp;
use crate::control::updates::{Backend, DiscoveryCommand, ListUpdate};
use crate::settings::millis;
use crate::{ListKind, ServerEntry, ServerId, ServerState};
use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::header::HOST;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use lines::{LINE_LIMIT, Lines};
use rand_pcg::Pcg32;
use rand_pcg::rand_core::{RngCore, SeedableRng};
use serde::Deserialize;
use serde_json::Value;
use silence::{FIRST_PAUSE, LASTED, SILENCE};
use std::cell::Cell;
use std::collections::HashMap;
use std::future::{Future, pending, poll_fn};
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpStream;
use tokio::sync::{mpsc, watch};
use tokio::task::{JoinHandle, spawn_local, yield_now};
use tokio::time::{Instant, sleep, sleep_until, timeout_at};
use versions::Versions;

const LIST: &str = "/registry/instances";
/// A node that knows backends from before is ready at the latest when its first call has taken so long.
const READY_AFTER: Duration = Duration::from_secs(1);

#[derive(Deserialize)]
struct List {
    index: Option<u64>,
    #[serde(default)]
    snapshot: bool,
    endpoints: Vec<Value>,
}

#[derive(Deserialize)]
struct Line {
    name: String,
    address: SocketAddr,
    #[serde(default)]
    zone: String,
    #[serde(default, rename = "type")]
    kind: String,
    #[serde(default)]
    group: u16,
    status: Status,
    #[serde(default = "one")]
    weight: f32,
    #[serde(default)]
    since_ms: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum Status {
    InService,
    Terminating,
    Terminated,
}

fn one() -> f32 {
    1.0
}

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
pub struct Discovery<M, D = Tcp> {
    dial: D,
    /// Where discovery is now; it may move.
    address: watch::Receiver<SocketAddr>,
    current: Current,
    messages: mpsc::Sender<M>,
    known: Option<String>,
    random: Pcg32,
    ready: Rc<Cell<bool>>,
    versions: Versions,
    /// Why the last call failed, until one is answered.
    broken: String,
}

impl<M: From<ListUpdate>> Discovery<M> {
    /// Reached by TCP at `address`, which may change; lists go to `messages`.
    pub fn new(
        config: &Config,
        current: Current,
        address: watch::Receiver<SocketAddr>,
        messages: mpsc::Sender<M>,
    ) -> Self {
        Discovery::with(Tcp, config, current, address, messages)
    }
}

impl<M: From<ListUpdate>, D: Dial> Discovery<M, D> {
    fn with(
        dial: D,
        config: &Config,
        current: Current,
        address: watch::Receiver<SocketAddr>,
        messages: mpsc::Sender<M>,
    ) -> Self {
        Discovery {
            dial,
            address,
            current,
            messages,
            known: config.known.clone(),
            random: Pcg32::seed_from_u64(!config.seed),
            ready: Rc::default(),
            versions: Versions::default(),
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
            let some = self.take(known.as_bytes(), Some(ListKind::Cached)).await == Taken::News(true);
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
                    let longest = silence::longest_pause(self.grace(), asked);
                    let lasted = begun.elapsed() > LASTED;
                    pause = if lasted { FIRST_PAUSE } else { (pause * 2).min(longest) };
                    self.complain("the watch broke", broken);
                    State::Rests(Instant::now() + self.jittered(pause))
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
        let (response, _connection) = self.get(LIST).await?;
        let whole = Limited::new(response.into_body(), LINE_LIMIT).collect();
        let body = by(Instant::now() + SILENCE, whole).await;
        let body = body.ok_or("silent")?.map_err(|e| e.to_string())?;
        self.take(&body.to_bytes(), Some(ListKind::Full)).await;
        Ok(())
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
        let (mut body, mut lines) = (response.into_body(), Lines::default());
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
            let fed = lines.feed(&data)?;
            for value in fed.values {
                match value {
                    Ok(text) => refused |= self.take(&text, None).await == Taken::Refused,
                    Err(why) => log(format_args!("a malformed list was dropped: {why}")),
                }
            }
            if !fed.heard {
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
        by(Instant::now() + silence::call(self.grace()), call).await.ok_or("silent")?
    }

    /// Takes in a list. What is malformed is dropped, a line of it alone where the rest can be read.
    async fn take(&mut self, text: &[u8], kind: Option<ListKind>) -> Taken {
        let list: List = match serde_json::from_slice(text) {
            Ok(list) => list,
            Err(e) => {
                log(format_args!("a malformed list was dropped: {e}"));
                return Taken::Malformed;
            }
        };
        let mut backends = Vec::new();
        for line in list.endpoints {
            match serde_json::from_value(line).map_err(|e| e.to_string()).and_then(|line| self.read(line)) {
                Ok(backend) => backends.push(backend),
                Err(e) => log(format_args!("a malformed line of the list was dropped: {e}")),
            }
        }
        keep_latest_lives(&mut backends);
        let listed = if list.snapshot { ListKind::Full } else { ListKind::Changes };
        let kind = kind.unwrap_or(listed);
        let by_agent = kind != ListKind::Cached;
        if by_agent && self.versions.is_old(list.index, kind == ListKind::Full, Instant::now()) {
            let (index, held, all) = (list.index.unwrap_or_default(), self.versions.index, backends.len());
            self.versions.keep_certain(&mut backends);
            let kept = backends.len();
            log(format_args!(
                "an older list was refused: version {index} after {held}, {kept} of {all} taken"
            ));
            if kept > 0 {
                self.pass_on(ListKind::Changes, backends).await;
            }
            return Taken::Refused;
        }
        let some = !backends.is_empty();
        self.pass_on(kind, backends).await;
        // Not before: a watch that is left half-way must ask for this again.
        self.versions.hold(list.index.unwrap_or_default(), by_agent);
        self.ready
            .set(self.ready.get() || kind != ListKind::Cached || self.current.get().settings.list_on_request);
        Taken::News(some)
    }

    async fn pass_on(&mut self, kind: ListKind, backends: Vec<Backend>) {
        let entries = backends.iter().map(|backend| &backend.entry);
        let noted: Vec<_> = entries.map(|entry| (entry.id, entry.state, entry.started)).collect();
        self.tell(kind, backends).await;
        if kind != ListKind::Cached {
            self.versions.note(kind, &noted);
        }
    }

    fn read(&self, line: Line) -> Result<Backend, String> {
        let site = self.current.get();
        let place = |names: &[String], name: &str| names.iter().position(|known| known == name);
        let zone = if line.zone.is_empty() { Some(0) } else { place(&site.zone_names, &line.zone) };
        let zone = zone.and_then(|zone| u8::try_from(zone).ok());
        // A new kind of machine serves like any other, but the zone decides where repeats may go.
        let kind = place(&site.kind_names, &line.kind).and_then(|kind| u8::try_from(kind).ok());
        let state = match line.status {
            Status::InService => ServerState::Ready,
            Status::Terminating => ServerState::Draining,
            Status::Terminated => ServerState::Gone,
        };
        let entry = ServerEntry {
            id: number(&line.name),
            zone: zone.ok_or_else(|| format!("{}: unknown zone {}", line.name, line.zone))?,
            kind: kind.unwrap_or(u8::MAX),
            cell: line.group,
            state,
            weight: line.weight,
            started: (line.since_ms > 0.0).then(|| millis(line.since_ms)),
        };
        Ok(Backend { entry, address: line.address })
    }

    async fn tell(&self, kind: ListKind, backends: Vec<Backend>) {
        let _ = self.messages.send(ListUpdate { kind, backends }.into()).await; // or the node has ended
    }
}

/// What came of a list; for news, whether it names a backend.
#[derive(PartialEq)]
enum Taken {
    Malformed,
    Refused,
    News(bool),
}

/// A backend that stopped and started again since the list before may stand twice, in any order: its later life counts,
/// and of one life what stands last.
fn keep_latest_lives(backends: &mut Vec<Backend>) {
    let mut latest = HashMap::new();
    for (place, Backend { entry, .. }) in backends.iter().enumerate() {
        let held = latest.entry(entry.id).or_insert((entry.started, place));
        *held = (*held).max((entry.started, place));
    }
    let mut places = 0..;
    backends.retain(|backend| latest.get(&backend.entry.id).map(|(_, place)| *place) == places.next());
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

/// A backend's number: made from its name alone, so that it is the same at every node (FNV-1a).
fn number(name: &str) -> ServerId {
    ServerId(name.bytes().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3)
    }))
}

/// A connection to discovery, which closes when it is dropped.
struct Connection(JoinHandle<()>);

impl Drop for Connection {
    fn drop(&mut self) {
        self.0.abort();
    }
}
