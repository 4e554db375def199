//! Stand-in servers, written from the platform's protocol: they serve a request for its work on one core, first come
//! first served, start cold, can be slow, err, drain and die, and fall over while cold. They know nothing of balancing.

use super::books::Books;
use super::relay::Target;
use crate::judge::Cause;
use crate::time::{Nanos, duration};
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::convert::Infallible;
use std::io;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{Notify, Semaphore};
use tokio::task::JoinSet;

/// Requests that a server holds; beyond that it turns them away.
const HELD: usize = 64;
/// Capacity at a cold start, and how long it rises: as the settings tell the nodes.
pub const COLD_SHARE: f64 = 0.12;
/// Likewise.
pub const WARM: Duration = Duration::from_secs(23);

/// How a server is.
#[derive(Clone, Copy, Debug)]
struct Health {
    draining: bool,
    slow: f64,
    errors: f64,
    /// When its process started; `None` for long ago.
    started: Option<Nanos>,
    life: u32,
}

/// A stand-in server. Its process is a set of tasks, which die with it.
pub struct Server {
    number: usize,
    zone: usize,
    cell: usize,
    books: Arc<Books>,
    target: Target,
    health: Arc<Mutex<Health>>,
    process: Option<JoinSet<()>>,
}

impl Server {
    /// One of long standing. `target` is told where it listens.
    pub async fn start(
        number: usize,
        (zone, cell): (usize, usize),
        books: Arc<Books>,
        target: Target,
    ) -> io::Result<Self> {
        let health = Health { draining: false, slow: 1.0, errors: 0.0, started: None, life: 0 };
        let health = Arc::new(Mutex::new(health));
        let mut server = Server { number, zone, cell, books, target, health, process: None };
        server.listen().await?;
        Ok(server)
    }

    async fn listen(&mut self) -> io::Result<()> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        *self.target.lock().expect("a target") = Some(listener.local_addr()?);
        let (books, health) = (self.books.clone(), self.health.clone());
        let (number, zone, cell) = (self.number, self.zone, self.cell);
        let place = Place {
            number,
            zone,
            cell,
            books,
            health,
            core: Arc::new(Semaphore::new(1)),
            held: Arc::default(),
            target: self.target.clone(),
            fallen: Arc::default(),
        };
        let mut process = JoinSet::new();
        let fallen = place.fallen.clone();
        let serves = async move {
            let mut connections = JoinSet::new();
            while let Ok((stream, _)) = listener.accept().await {
                while connections.try_join_next().is_some() {}
                let _ = stream.set_nodelay(true);
                let place = place.clone();
                connections.spawn(async move {
                    let service = service_fn(move |request| {
                        let place = place.clone();
                        async move { Ok::<_, Infallible>(place.serve(request).await) }
                    });
                    let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
                });
            }
        };
        // Whoever falls over is gone with all that it holds, until a new process is started in its place.
        process.spawn(async move {
            tokio::select! {
                () = serves => {}
                () = fallen.notified() => {}
            }
        });
        self.process = Some(process);
        Ok(())
    }

    fn change(&self, change: impl FnOnce(&mut Health)) {
        change(&mut self.health.lock().expect("a server's health"));
    }

    /// It dies: its connections break, and new ones are refused.
    pub fn crash(&mut self) {
        *self.target.lock().expect("a target") = None;
        self.process = None;
    }

    /// It starts anew, cold. Returns when.
    pub async fn restart(&mut self) -> io::Result<Nanos> {
        let now = self.books.now();
        self.change(|health| {
            *health = Health { draining: false, started: Some(now), life: health.life + 1, ..*health };
        });
        self.listen().await?;
        Ok(now)
    }

    /// It takes nothing new, or does again.
    pub fn drain(&self, draining: bool) {
        self.change(|health| health.draining = draining);
    }

    /// It takes longer by a factor.
    pub fn slow(&self, factor: f64) {
        self.change(|health| health.slow = factor);
    }

    /// It errs on a part of the requests.
    pub fn err(&self, errors: f64) {
        self.change(|health| health.errors = errors);
    }
}

#[derive(Clone)]
struct Place {
    number: usize,
    zone: usize,
    cell: usize,
    books: Arc<Books>,
    health: Arc<Mutex<Health>>,
    core: Arc<Semaphore>,
    held: Arc<AtomicUsize>,
    target: Target,
    /// Told when it falls over.
    fallen: Arc<Notify>,
}

/// A request that is held, until this is dropped.
struct Hold(Arc<AtomicUsize>);

impl Drop for Hold {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

fn answer(status: StatusCode, body: String) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(body)));
    *response.status_mut() = status;
    response
}

impl Place {
    fn warmth(&self, health: &Health) -> f64 {
        let Some(started) = health.started else { return 1.0 };
        let grown = duration(self.books.now().saturating_sub(started)).as_secs_f64() / WARM.as_secs_f64();
        (COLD_SHARE + (1.0 - COLD_SHARE) * grown).min(1.0)
    }

    fn turned_away(&self, id: &str) -> Response<Full<Bytes>> {
        self.books.blame(id, Cause::TurnedAway);
        let mut response = answer(StatusCode::SERVICE_UNAVAILABLE, String::new());
        response.headers_mut().insert("x-rejected", hyper::header::HeaderValue::from_static("1"));
        response
    }

    async fn serve(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let health = *self.health.lock().expect("a server's health");
        if request.uri().path() == "/stats" {
            self.books.judge(|judge| judge.tally.probes += 1);
            let held = self.held.load(Ordering::Relaxed);
            return answer(StatusCode::OK, format!("inflight={held},queue={}", held.saturating_sub(1)));
        }
        let id = request.headers().get("x-call-id").and_then(|id| id.to_str().ok()).map(String::from);
        let Some(id) = id else { return answer(StatusCode::NOT_FOUND, String::new()) };
        // A request begins with its last byte.
        if http_body_util::BodyExt::collect(request.into_body()).await.is_err() {
            return answer(StatusCode::BAD_REQUEST, String::new());
        }
        let warmth = self.warmth(&health);
        if self.books.arrive(&id, self.number, health.started) {
            *self.target.lock().expect("a target") = None;
            self.fallen.notify_one();
            // Its connection breaks under this.
            return std::future::pending().await;
        }
        let Some(asked) = self.books.asked(&id) else {
            return answer(StatusCode::BAD_REQUEST, String::new());
        };
        if health.draining || self.held.load(Ordering::Relaxed) >= HELD {
            return self.turned_away(&id);
        }
        self.books.run(&id, self.number, self.zone, self.cell);
        // Which of the requests err is a matter of their ids, which are random.
        let errs = u64::from_str_radix(&id, 16).unwrap_or_default() % 1000 < (health.errors * 1000.0) as u64;
        if errs {
            self.books.blame(&id, Cause::Erring);
            return answer(StatusCode::INTERNAL_SERVER_ERROR, String::new());
        }
        if health.slow > 1.0 {
            self.books.blame(&id, Cause::Slow);
        }
        self.held.fetch_add(1, Ordering::Relaxed);
        let _hold = Hold(self.held.clone());
        let Ok(_core) = self.core.acquire().await else {
            return answer(StatusCode::INTERNAL_SERVER_ERROR, String::new());
        };
        tokio::time::sleep(asked.work.mul_f64(health.slow / warmth)).await;
        let body = format!("{id} by {} in life {}", self.number, health.life);
        self.books.answered(&id, self.number, &body, asked.work);
        answer(StatusCode::OK, body)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::cold::ColdModel;
    use crate::judge::Judge;
    use crate::rig::books::Zones;
    use crate::time::SECOND;
    use std::net::SocketAddr;
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    use tokio::net::TcpStream;

    /// What comes of one request on a connection of its own; `None` if that is refused, or ends without an answer.
    async fn ask(address: SocketAddr) -> Option<String> {
        let mut stream = TcpStream::connect(address).await.ok()?;
        let request = b"GET /view HTTP/1.1\r\nhost: rig\r\nx-call-id: 1\r\nconnection: close\r\n\r\n";
        stream.write_all(request).await.ok()?;
        let mut answer = String::new();
        let _ = stream.read_to_string(&mut answer).await; // a reset leaves it empty
        (!answer.is_empty()).then_some(answer)
    }

    /// Three times 12 % of a core over 3 s are 1.08 s of work: with 0.1 s a request, 10.8 and 12.9 more. The 24th makes
    /// it fall; from then on it is not there, until a new process starts.
    #[tokio::test]
    async fn one_that_falls_over_stays_down() {
        let cold = ColdModel {
            factor: 3.0,
            over: 3600 * SECOND,
            unit: 120.0,
            cold_share: COLD_SHARE,
            warm: 1_000_000 * SECOND,
        };
        let judge = Judge::new(1, SECOND, 1, 1);
        let zones = Zones { nodes: vec![0], servers: vec![0] };
        let repeats = vec![hillpick::RetrySafety::Idempotent];
        let books = Arc::new(Books::new(judge, repeats, Duration::ZERO, cold, zones));
        books.ask("1", 0, 0, Duration::from_secs(120));
        let target = Target::default();
        let address = || target.lock().expect("a target");
        let mut server = Server::start(0, (0, 0), books.clone(), target.clone()).await.unwrap();
        server.restart().await.unwrap();
        server.drain(true); // what it turns away counts as well
        let first = address().expect("it listens");
        let mut answered = 0;
        while let Some(answer) = ask(first).await {
            assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
            answered += 1;
        }
        assert_eq!(answered, 19);
        assert!(ask(first).await.is_none() && address().is_none());
        assert_eq!(books.judge(|judge| judge.tally.fallen), 1);
        server.restart().await.unwrap();
        server.drain(true);
        let again = address().expect("a new process listens");
        assert!(ask(again).await.is_some());
    }
}
