//! A stand-in of discovery, written from the platform's protocol: the whole list, and a watch that tells changes and an
//! empty line every 2 s. Each node sees the servers at addresses of its own.

use super::books::Books;
use super::relay::Target;
use crate::time::Nanos;
use bytes::Bytes;
use http_body_util::Either;
use http_body_util::Full;
use hyper::body::{Body, Frame, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use serde::Serialize;
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;

/// A watch says something so often (the protocol's figure).
const HEARTBEAT: Duration = Duration::from_secs(2);

/// A server's state on the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Status {
    /// It takes requests.
    InService,
    /// It finishes what it has.
    Terminating,
    /// It has gone.
    Terminated,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    status: Status,
    started: Option<Nanos>,
    /// The version with which it changed last.
    changed: u64,
}

#[derive(Serialize)]
struct Line<'a> {
    name: String,
    address: SocketAddr,
    zone: &'a str,
    r#type: &'static str,
    group: usize,
    status: Status,
    weight: f64,
    since_ms: u64,
}

#[derive(Serialize)]
struct List<'a> {
    index: u64,
    snapshot: bool,
    endpoints: Vec<Line<'a>>,
}

/// The list, and who is told of it.
pub struct Discovery {
    books: Arc<Books>,
    /// Unix time at the begin of the rig.
    epoch: Duration,
    zones: Vec<String>,
    /// By server: its zone and cell.
    places: Vec<(usize, usize)>,
    entries: Mutex<Vec<Entry>>,
    version: watch::Sender<u64>,
}

impl Discovery {
    /// All servers are in service.
    pub fn new(books: Arc<Books>, zones: Vec<String>, places: Vec<(usize, usize)>) -> Self {
        let entry = Entry { status: Status::InService, started: None, changed: 1 };
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let epoch = since.saturating_sub(books.started().elapsed());
        let entries = Mutex::new(vec![entry; places.len()]);
        Discovery { books, epoch, zones, places, entries, version: watch::Sender::new(1) }
    }

    /// A server's entry changes.
    pub fn change(&self, server: usize, status: Status, started: Option<Nanos>) {
        let mut entries = self.entries.lock().expect("the list");
        let version = *self.version.borrow() + 1;
        entries[server] = Entry { status, started, changed: version };
        drop(entries);
        self.version.send_replace(version);
    }

    /// What has changed for a node after a version: all of it for version 0. With the new version and the servers told
    /// of, by whether they stop and when they started.
    fn since(&self, after: u64, addresses: &[SocketAddr]) -> (String, u64, Vec<Told>) {
        let entries = self.entries.lock().expect("the list");
        let index = *self.version.borrow();
        let snapshot = after == 0;
        let all = entries.iter().enumerate();
        let those = all.filter(|(_, entry)| entry.changed > after);
        let those: Vec<_> =
            those.filter(|(_, entry)| !snapshot || entry.status != Status::Terminated).collect();
        let told =
            those.iter().map(|(server, entry)| (*server, entry.status != Status::InService, entry.started));
        let told = told.collect();
        let endpoints = those
            .iter()
            .map(|(server, entry)| {
                let (zone, cell) = self.places[*server];
                let since = entry.started.map(|at| self.epoch + Duration::from_nanos(at));
                Line {
                    name: format!("s-{server:04}"),
                    address: addresses[*server],
                    zone: &self.zones[zone],
                    r#type: "std",
                    group: cell,
                    status: entry.status,
                    weight: 1.0,
                    since_ms: since.map_or(0, |since| since.as_millis() as u64),
                }
            })
            .collect();
        let text =
            serde_json::to_string(&List { index, snapshot, endpoints }).expect("a list that can be written");
        (text, index, told)
    }

    /// Answers one node, which sees the servers at these addresses. Ends with the returned tasks.
    pub async fn answer(
        self: &Arc<Self>,
        node: usize,
        addresses: Vec<SocketAddr>,
        target: &Target,
    ) -> io::Result<JoinSet<()>> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        *target.lock().expect("a target") = Some(listener.local_addr()?);
        let (this, addresses) = (self.clone(), Arc::new(addresses));
        let mut tasks = JoinSet::new();
        tasks.spawn(async move {
            let mut connections = JoinSet::new();
            while let Ok((stream, _)) = listener.accept().await {
                while connections.try_join_next().is_some() {}
                let _ = stream.set_nodelay(true);
                let (this, addresses) = (this.clone(), addresses.clone());
                connections.spawn(async move {
                    let service = service_fn(move |request| {
                        let response = this.clone().serve(node, addresses.clone(), &request);
                        async move { Ok::<_, Infallible>(response) }
                    });
                    let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
                });
            }
        });
        Ok(tasks)
    }

    fn serve(
        self: Arc<Self>,
        node: usize,
        addresses: Arc<Vec<SocketAddr>>,
        request: &Request<Incoming>,
    ) -> Response<Either<Full<Bytes>, Lines>> {
        if request.uri().path() != "/registry/instances" {
            let mut response = Response::new(Either::Left(Full::default()));
            *response.status_mut() = StatusCode::NOT_FOUND;
            return response;
        }
        let query = request.uri().query().unwrap_or_default();
        let index = query.split('&').find_map(|part| part.strip_prefix("index=")?.parse().ok()).unwrap_or(0);
        if !query.contains("stream=1") {
            let (text, _, told) = self.since(0, &addresses);
            self.tell(node, &told);
            return Response::new(Either::Left(Full::new(text.into())));
        }
        // One line may wait: a node that does not read holds up its own watch alone.
        let (lines, written) = mpsc::channel(1);
        tokio::spawn(self.clone().watch(addresses, index, lines));
        Response::new(Either::Right(Lines { lines: written, node, discovery: self }))
    }

    fn tell(&self, node: usize, told: &[Told]) {
        for (server, stops, started) in told {
            self.books.tell(node, *server, *stops, *started);
        }
    }

    async fn watch(
        self: Arc<Self>,
        addresses: Arc<Vec<SocketAddr>>,
        mut index: u64,
        lines: mpsc::Sender<(Bytes, Vec<Told>)>,
    ) {
        let mut version = self.version.subscribe();
        if index > *version.borrow() {
            index = 0;
        }
        loop {
            let (text, told) = if *version.borrow_and_update() > index || index == 0 {
                let (text, now, told) = self.since(index, &addresses);
                index = now;
                (text, told)
            } else {
                (String::new(), Vec::new())
            };
            if lines.send((Bytes::from(text + "\n"), told)).await.is_err() {
                return;
            }
            let _ = tokio::time::timeout(HEARTBEAT, version.wait_for(|version| *version > index)).await;
        }
    }
}

/// A server that a node is told of: whether to send there nothing new, and when it started.
type Told = (usize, bool, Option<Nanos>);

/// The lines of a watch. What they say counts as told when they are written.
struct Lines {
    lines: mpsc::Receiver<(Bytes, Vec<Told>)>,
    node: usize,
    discovery: Arc<Discovery>,
}

impl Body for Lines {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        self.lines.poll_recv(cx).map(|line| {
            let (line, told) = line?;
            self.discovery.tell(self.node, &told);
            Some(Ok(Frame::data(line)))
        })
    }
}
