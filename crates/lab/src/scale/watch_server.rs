//! Answers calls for a list, by the platform's protocol: the whole list, or a watch that tells changes and writes an empty
//! line every 2 s. List servers and agents both do this.

use super::list::List;
use super::messages::Traffic;
use crate::rig::discovery::{HEARTBEAT, Lines};
use bytes::Bytes;
use http_body_util::{Either, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::rc::Rc;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::task::{JoinSet, spawn_local};

/// A list that is answered from.
pub struct Source {
    list: RefCell<List>,
    version: watch::Sender<u64>,
    /// What has been sent.
    pub sent: Cell<Traffic>,
}

impl Source {
    /// One that has no list yet: calls wait for it.
    pub fn new() -> Rc<Self> {
        let sent = Cell::default();
        Rc::new(Source { list: RefCell::default(), version: watch::Sender::new(0), sent })
    }

    /// The version of the list.
    pub fn index(&self) -> u64 {
        self.list.borrow().index()
    }

    /// Changes the list, and wakes the watches.
    pub fn change<T>(&self, change: impl FnOnce(&mut List) -> T) -> T {
        let changed = change(&mut self.list.borrow_mut());
        self.version.send_replace(self.index());
        changed
    }

    fn count(&self, count: impl FnOnce(&mut Traffic)) {
        let mut sent = self.sent.get();
        count(&mut sent);
        self.sent.set(sent);
    }

    /// Answers whoever connects, for as long as the listener's task runs.
    pub async fn answer(self: Rc<Self>, listener: TcpListener) {
        let mut connections = JoinSet::new();
        while let Ok((stream, _)) = listener.accept().await {
            while connections.try_join_next().is_some() {}
            let _ = stream.set_nodelay(true); // or it has ended already
            let this = self.clone();
            connections.spawn_local(async move {
                let service = service_fn(move |request| {
                    let this = this.clone();
                    async move { Ok::<_, Infallible>(this.serve(&request).await) }
                });
                let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
            });
        }
    }

    async fn serve(self: Rc<Self>, request: &Request<Incoming>) -> Response<Either<Full<Bytes>, Lines>> {
        if request.uri().path() != "/registry/instances" {
            let mut response = Response::new(Either::Left(Full::default()));
            *response.status_mut() = StatusCode::NOT_FOUND;
            return response;
        }
        self.count(|sent| sent.calls += 1);
        let query = request.uri().query().unwrap_or_default();
        let index = query.split('&').find_map(|part| part.strip_prefix("index=")?.parse().ok()).unwrap_or(0);
        let stream = query.contains("stream=1");
        let mut version = self.version.subscribe();
        let _ = version.wait_for(|version| *version > 0).await; // or the process ends
        if !stream {
            let news = self.list.borrow_mut().since(0);
            self.count(|sent| sent.list(&news));
            return Response::new(Either::Left(Full::new(news.text)));
        }
        // One line may wait: who does not read holds up its own watch alone.
        let (lines, written) = mpsc::channel(1);
        spawn_local(async move {
            tokio::select! {
                () = lines.closed() => {}
                _ = self.watch(version, index, &lines) => {}
            }
        });
        Response::new(Either::Right(Lines(written)))
    }

    /// Until who watches has gone.
    async fn watch(
        &self,
        mut version: watch::Receiver<u64>,
        mut index: u64,
        lines: &mpsc::Sender<Bytes>,
    ) -> Option<()> {
        loop {
            let text = if *version.borrow_and_update() > index || index == 0 {
                let news = self.list.borrow_mut().since(index);
                self.count(|sent| sent.list(&news));
                index = news.index;
                news.text
            } else {
                self.count(|sent| sent.heartbeats += 1);
                Bytes::from_static(b"\n")
            };
            lines.send(text).await.ok()?;
            let _ = tokio::time::timeout(HEARTBEAT, version.wait_for(|version| *version > index)).await;
        }
    }
}
