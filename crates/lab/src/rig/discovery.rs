//! A stand-in of discovery, written from the platform's protocol: the whole list, and a watch that tells changes and an
//! empty line every 2 s. Each node sees the servers at addresses of its own, by an agent that can be made to fail. What an
//! agent has counts as told, whether or not it is asked; when it fails, [`SILENCE`] later.

use super::books::Books;
use super::relay::Target;
use super::spec::{Down, ListForm};
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
pub const HEARTBEAT: Duration = Duration::from_secs(2);

/// What a silent agent has to tell counts as told so long after it fell silent (the platform's figure).
pub const SILENCE: Duration = Duration::from_secs(6);
/// How often an empty line follows half a list, so that any byte alone is no sign of life.
const EMPTY: Duration = Duration::from_millis(500);

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
    form: ListForm,
    /// By node: how its agent fails.
    down: Vec<watch::Sender<Option<Down>>>,
}

impl Discovery {
    /// All servers are in service.
    pub fn new(
        books: Arc<Books>,
        zones: Vec<String>,
        places: Vec<(usize, usize)>,
        nodes: usize,
        form: ListForm,
    ) -> Self {
        let entry = Entry { status: Status::InService, started: None, changed: 1 };
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let epoch = since.saturating_sub(books.started().elapsed());
        let entries = Mutex::new(vec![entry; places.len()]);
        let down = (0..nodes).map(|_| watch::Sender::new(None)).collect();
        Discovery { books, epoch, zones, places, entries, version: watch::Sender::new(1), form, down }
    }

    /// A node starts: what its agent has counts as told from its first moment on.
    pub fn begin(&self, node: usize) {
        let entries = self.entries.lock().expect("the list");
        self.books.forget(node);
        for (server, entry) in entries.iter().enumerate() {
            self.books.tell(node, server, entry.status != Status::InService, entry.started);
        }
    }

    /// A node's agent fails, or is sound again.
    pub fn fail(&self, node: usize, how: Option<Down>) {
        self.down[node].send_replace(how);
    }

    /// A server's entry changes, and counts as told to every node.
    pub fn change(&self, server: usize, status: Status, started: Option<Nanos>) {
        let mut entries = self.entries.lock().expect("the list");
        let version = *self.version.borrow() + 1;
        entries[server] = Entry { status, started, changed: version };
        for node in 0..self.down.len() {
            self.books.tell(node, server, status != Status::InService, started);
        }
        drop(entries);
        self.version.send_replace(version);
    }

    /// What has changed for a node after a version: all of it for version 0. With the new version.
    fn since(&self, after: u64, addresses: &[SocketAddr]) -> (String, u64) {
        let entries = self.entries.lock().expect("the list");
        let index = *self.version.borrow();
        let snapshot = after == 0;
        let all = entries.iter().enumerate();
        let those = all.filter(|(_, entry)| entry.changed > after);
        let those: Vec<_> =
            those.filter(|(_, entry)| !snapshot || entry.status != Status::Terminated).collect();
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
        let list = List { index, snapshot, endpoints };
        let text = match self.form {
            ListForm::Indented => serde_json::to_string_pretty(&list),
            ListForm::Lines | ListForm::Bytes => serde_json::to_string(&list),
        };
        (text.expect("a list that can be written"), index)
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
                if *this.down[node].borrow() == Some(Down::Refuse) {
                    let _ = stream.set_zero_linger(); // or it has ended already
                    continue;
                }
                let _ = stream.set_nodelay(true);
                let (this, addresses) = (this.clone(), addresses.clone());
                connections.spawn(async move {
                    let service = service_fn(move |request| {
                        let (this, addresses) = (this.clone(), addresses.clone());
                        async move {
                            let mut down = this.down[node].subscribe();
                            let _ = down.wait_for(|how| *how != Some(Down::Silent)).await; // or the rig ends
                            Ok::<_, Infallible>(this.clone().serve(node, addresses, &request))
                        }
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
            let (text, _) = self.since(0, &addresses);
            return Response::new(Either::Left(Full::new(text.into())));
        }
        // One line may wait: a node that does not read holds up its own watch alone.
        let (lines, written) = mpsc::channel(1);
        tokio::spawn(async move {
            tokio::select! {
                () = lines.closed() => {}
                _ = self.watch(node, &addresses, index, &lines) => {}
            }
        });
        Response::new(Either::Right(Lines(written)))
    }

    /// Returns when the watch ends.
    async fn watch(
        &self,
        node: usize,
        addresses: &[SocketAddr],
        mut index: u64,
        lines: &mpsc::Sender<Bytes>,
    ) -> Option<()> {
        let (mut version, mut down) = (self.version.subscribe(), self.down[node].subscribe());
        if index > *version.borrow() {
            index = 0;
        }
        loop {
            let how = *down.borrow_and_update();
            match how {
                None => {}
                Some(Down::Silent) => {
                    down.changed().await.ok()?;
                    continue;
                }
                Some(Down::Refuse) => return None,
                Some(Down::MuteAfterHead) => std::future::pending().await,
                Some(Down::MidLine) => {
                    let (text, _) = self.since(0, addresses);
                    lines.send(Bytes::from(text[..text.len() / 2].to_owned())).await.ok()?;
                    loop {
                        tokio::time::sleep(EMPTY).await;
                        lines.send(Bytes::from_static(b"\n")).await.ok()?;
                    }
                }
            }
            let mut text = String::new();
            if *version.borrow_and_update() > index || index == 0 {
                (text, index) = self.since(index, addresses);
            }
            let text = Bytes::from(text + "\n");
            let piece = if self.form == ListForm::Bytes { 1 } else { text.len() };
            for at in (0..text.len()).step_by(piece) {
                lines.send(text.slice(at..at + piece)).await.ok()?;
            }
            tokio::select! {
                _ = tokio::time::timeout(HEARTBEAT, version.wait_for(|version| *version > index)) => {}
                _ = down.changed() => {}
            }
        }
    }
}

/// The lines of a watch.
pub struct Lines(pub mpsc::Receiver<Bytes>);

impl Body for Lines {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        self.0.poll_recv(cx).map(|line| Some(Ok(Frame::data(line?))))
    }
}
