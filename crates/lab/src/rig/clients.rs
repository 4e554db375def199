//! The load: clients that come whether or not they are answered, in their zones, by the platform's protocol.

use super::books::Books;
use super::relay::Path;
use crate::judge::{Cause, Closed};
use crate::time::{FOREVER, Nanos, duration, secs};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::{Method, Request, StatusCode};
use hyper_util::rt::TokioIo;
use rand::Rng;
use rand_pcg::Pcg64Mcg;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// A class as clients know it.
pub struct Class {
    /// Its name, the first part of a path.
    pub name: String,
    /// The sum of the shares up to it.
    pub up_to: f64,
    /// Mean work and its spread.
    pub mean: Duration,
    /// Likewise.
    pub work: crate::dist::Sampler,
    /// What one of the mean work is worth.
    pub worth: f64,
    /// The unit of worth: the mean request's work.
    pub unit: Duration,
    /// An answer within this counts.
    pub aim: Duration,
    /// How long a client waits in all.
    pub deadline: Duration,
    /// How far it may be repeated.
    pub repeat: hillpick::RetrySafety,
}

/// A node as the front sees it.
pub struct Door {
    /// The relay before it.
    pub address: SocketAddr,
    /// That relay's path.
    pub path: Path,
    /// Its zone.
    pub zone: usize,
    /// The front sends clients there.
    pub open: AtomicBool,
    /// Something is done to its process, so that broken connections are no fault of its own.
    pub excused: AtomicBool,
    idle: Mutex<Vec<SendRequest<Full<Bytes>>>>,
}

impl Door {
    /// One that is open.
    pub fn new(address: SocketAddr, path: Path, zone: usize) -> Self {
        Door {
            address,
            path,
            zone,
            open: AtomicBool::new(true),
            excused: AtomicBool::new(false),
            idle: Mutex::default(),
        }
    }

    /// Connections that are kept are of no more use.
    pub fn forget_connections(&self) {
        self.idle.lock().expect("connections").clear();
    }

    async fn connect(&self) -> Result<SendRequest<Full<Bytes>>, Failure> {
        let stream = TcpStream::connect(self.address).await.map_err(|_| Failure::Unreachable)?;
        let _ = stream.set_nodelay(true);
        let (sender, connection) = handshake(TokioIo::new(stream)).await.map_err(|_| Failure::Unreachable)?;
        tokio::spawn(async move {
            let _ = connection.await; // its end shows at whoever sends on it
        });
        Ok(sender)
    }

    /// Whether the node says that it is ready.
    pub async fn is_ready(&self) -> bool {
        let asked = async {
            let mut sender = self.connect().await.ok()?;
            let request = Request::get("/health/ready").header("host", "front").body(Full::default()).ok()?;
            Some(sender.send_request(request).await.ok()?.status() == StatusCode::OK)
        };
        timeout(Duration::from_secs(1), asked).await.ok().flatten().unwrap_or(false)
    }
}

/// What a node says of its members, where its staff call: how many, and the digest of its view.
pub async fn members(address: SocketAddr) -> Option<(usize, String)> {
    let asked = async {
        let stream = TcpStream::connect(address).await.ok()?;
        let (mut sender, connection) = handshake(TokioIo::new(stream)).await.ok()?;
        tokio::spawn(async move {
            let _ = connection.await; // its end shows in the answer
        });
        let request = Request::get("/members").header("host", "rig").body(Full::<Bytes>::default()).ok()?;
        let response = sender.send_request(request).await.ok()?;
        let body = response.into_body().collect().await.ok()?.to_bytes();
        let view: serde_json::Value = serde_json::from_slice(&body).ok()?;
        let agreement = &view["agreement"];
        Some((agreement["members"].as_u64()? as usize, agreement["digest"].as_str()?.to_string()))
    };
    timeout(Duration::from_secs(2), asked).await.ok().flatten()
}

/// What a try came to, but for an answer.
enum Failure {
    /// No connection, or one that ended before anything was sent on.
    Unreachable,
    /// The connection ended with no whole answer.
    Broken,
}

/// What a try came to.
enum Tried {
    Served,
    Refused(Option<Duration>),
    Failed,
    Unanswered,
    Unreachable,
}

/// All clients.
pub struct Clients {
    /// The books.
    pub books: Arc<Books>,
    /// The classes.
    pub classes: Vec<Class>,
    /// The nodes.
    pub doors: Vec<Arc<Door>>,
    /// Zones.
    pub zones: usize,
    /// Further tries.
    pub retries: u32,
    /// Tries so far: each has an id of its own.
    pub tries: AtomicU64,
    /// Hidden in ids, so that two rigs have none in common.
    pub seed: u64,
    /// The tenant in whose name they come, where there are tenants.
    pub caller: Option<String>,
}

impl Clients {
    /// One client from its first try to its end.
    pub async fn come(self: Arc<Self>, mut random: Pcg64Mcg) {
        let draw: f64 = random.random();
        let class = self.classes.partition_point(|class| class.up_to <= draw).min(self.classes.len() - 1);
        let terms = &self.classes[class];
        let work = terms.mean.mul_f64(terms.work.draw(&mut random));
        let zone = random.random_range(0..self.zones);
        let asked = self.books.now();
        let ends = asked + terms.deadline.as_nanos() as Nanos;
        let (mut served, mut cause) = (None, Cause::default());
        for turn in 0..=self.retries {
            let now = self.books.now();
            if now >= ends {
                break;
            }
            let Some(node) = self.front(zone, &mut random) else {
                cause = Cause::NoNode;
                break;
            };
            let (id, tried) = self.try_it(class, node, work, duration(ends - now)).await;
            cause = cause.max(self.books.asked(&id).map_or(cause, |asked| asked.cause));
            let safe = terms.repeat == hillpick::RetrySafety::Idempotent;
            let wait = match tried {
                Tried::Served => {
                    let now = self.books.now();
                    served = Some(now).filter(|now| duration(now - asked) <= terms.aim);
                    let late = u64::from(served.is_none());
                    self.books.judge(|judge| judge.tally.late += late);
                    break;
                }
                Tried::Refused(wait) => wait.unwrap_or_default(),
                Tried::Failed if safe => Duration::ZERO,
                Tried::Failed | Tried::Unanswered => break,
                Tried::Unreachable => {
                    cause = cause.max(Cause::NoNode);
                    Duration::from_millis(10)
                }
            };
            if turn == self.retries || self.books.now() + wait.as_nanos() as Nanos >= ends {
                break;
            }
            tokio::time::sleep(wait).await;
        }
        let worth = terms.worth * work.as_secs_f64() / terms.unit.as_secs_f64();
        let (asked, served) = (self.books.of_day(asked), served.map(|at| self.books.of_day(at)));
        self.books.judge(|judge| {
            if served.is_some() {
                judge.tally.work_served += work.as_secs_f64();
            }
            judge.close(Closed {
                class,
                tenant: None,
                zone,
                asked,
                worth,
                work: work.as_secs_f64(),
                served,
                cause,
            });
        });
    }

    /// A node of the zone that is open, or else any other.
    fn front(&self, zone: usize, random: &mut Pcg64Mcg) -> Option<usize> {
        let open = |near: bool| {
            let doors = self.doors.iter().enumerate();
            let doors = doors.filter(move |(_, door)| door.open.load(Ordering::Relaxed));
            doors
                .filter(move |(_, door)| !near || door.zone == zone)
                .map(|(node, _)| node)
                .collect::<Vec<_>>()
        };
        let near = open(true);
        let among = if near.is_empty() { open(false) } else { near };
        (!among.is_empty()).then(|| among[random.random_range(0..among.len())])
    }

    async fn try_it(&self, class: usize, node: usize, work: Duration, left: Duration) -> (String, Tried) {
        let number = self.tries.fetch_add(1, Ordering::Relaxed) + 1;
        let mut mixed = crate::emu::chance(self.seed, 71, number);
        let id = format!("{:016x}", mixed.random::<u64>());
        self.books.ask(&id, class, node, work);
        let tried = match timeout(left, self.send(&id, class, node, work, left)).await {
            Ok(tried) => tried,
            Err(_) => {
                self.books.blame(&id, Cause::Late);
                Tried::Unanswered
            }
        };
        (id, tried)
    }

    async fn send(&self, id: &str, class: usize, node: usize, work: Duration, left: Duration) -> Tried {
        let door = &self.doors[node];
        let kept = {
            let mut idle = door.idle.lock().expect("connections");
            std::iter::from_fn(|| idle.pop()).find(|sender| sender.is_ready())
        };
        let reused = kept.is_some();
        let mut fresh = !reused;
        let first = match kept {
            Some(sender) => self.send_on(sender, id, class, node, work, left).await,
            None => match door.connect().await {
                Ok(sender) => self.send_on(sender, id, class, node, work, left).await,
                Err(failure) => Err(failure),
            },
        };
        // A close that crosses a request which the node has not read: once more, on a new connection.
        let ran = || self.books.asked(id).is_some_and(|asked| asked.has_arrived());
        let last = match first {
            Err(Failure::Broken) if reused && !ran() => {
                fresh = true;
                match door.connect().await {
                    Ok(sender) => self.send_on(sender, id, class, node, work, left).await,
                    Err(failure) => Err(failure),
                }
            }
            other => other,
        };
        last.unwrap_or_else(|failure| {
            let excused = door.excused.load(Ordering::Relaxed) || door.path.is_faulty();
            if matches!(failure, Failure::Broken) && !excused && ran() {
                self.books.lost(id);
            }
            if matches!(failure, Failure::Broken) && !excused && fresh {
                self.books.closed_unanswered();
            }
            self.books.blame(id, Cause::NoNode);
            Tried::Unreachable
        })
    }

    async fn send_on(
        &self,
        mut sender: SendRequest<Full<Bytes>>,
        id: &str,
        class: usize,
        node: usize,
        work: Duration,
        left: Duration,
    ) -> Result<Tried, Failure> {
        let terms = &self.classes[class];
        let safe = terms.repeat == hillpick::RetrySafety::Idempotent;
        let mut request = Request::builder()
            .method(if safe { Method::GET } else { Method::POST })
            .uri(format!("/{}", terms.name))
            .header("host", "service.internal")
            .header("x-call-id", id)
            .header("x-budget-ms", left.as_millis().max(1).to_string())
            .header("x-call-cost", work.as_micros().to_string());
        if let Some(caller) = &self.caller {
            request = request.header("x-caller", caller);
        }
        if !safe {
            request = request.header("idempotency-key", format!("{id}{id}"));
        }
        let body = if safe { Full::default() } else { Full::new(Bytes::from_static(b"{}")) };
        let request = request.body(body).map_err(|_| Failure::Unreachable)?;
        let response = sender.send_request(request).await.map_err(|_| Failure::Broken)?;
        let (status, headers) = (response.status(), response.headers().clone());
        let body = response.into_body().collect().await.map_err(|_| Failure::Broken)?.to_bytes();
        let closes = headers.get("connection").is_some_and(|value| value == "close");
        if !closes {
            self.doors[node].idle.lock().expect("connections").push(sender);
        }
        Ok(match status {
            StatusCode::OK => {
                self.books.served(id, &body);
                Tried::Served
            }
            StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => {
                self.books.refused(id);
                let wait =
                    headers.get("retry-after").and_then(|wait| wait.to_str().ok()?.parse::<f64>().ok());
                Tried::Refused(wait.map(|wait| duration(secs(wait).min(FOREVER))))
            }
            _ => {
                self.books.failed(id);
                Tried::Failed
            }
        })
    }
}
