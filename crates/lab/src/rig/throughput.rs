//! The node's throughput and processor time a request against a bare pass-through written with the same hyper: what
//! the decisions and the protocol cost on sockets. The two run in turn, so that a drift of the machine hits both.

use super::books::{Books, Zones};
use super::discovery::Discovery;
use super::process::{Process, Program};
use super::relay::Target;
use super::servers::Server;
use super::spec::Rig;
use crate::cold::ColdModel;
use crate::judge::Judge;
use crate::stats::Mean;
use crate::time::SECOND;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self as client, SendRequest};
use hyper::server::conn::http1 as server;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::cell::RefCell;
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{JoinSet, LocalSet, spawn_local};

/// Rounds of each, in turn.
const ROUNDS: u32 = 5;
/// Clients at a time, each with one request at a time.
const CLIENTS: usize = 16;
const SERVERS: usize = 16;

/// A round: requests a second, and processor time a request in us.
#[derive(Clone, Copy, Debug)]
pub struct Round {
    /// Requests served a second.
    pub per_s: f64,
    /// Processor time of a request, in us.
    pub cpu_us: f64,
}

/// The rounds of the node and of the pass-through.
pub struct Compared {
    /// The node's.
    pub node: Vec<Round>,
    /// The pass-through's.
    pub bare: Vec<Round>,
}

impl Compared {
    /// The node's figure over the pass-through's, round by round.
    pub fn ratio(&self, of: fn(&Round) -> f64) -> Mean {
        let ratios: Vec<_> = self.node.iter().zip(&self.bare).map(|(a, b)| of(a) / of(b)).collect();
        Mean::of(&ratios)
    }
}

/// Runs both in turn, `seconds` each time.
pub async fn compare(program: &Program, lab: &Path, folder: &Path, seconds: f64) -> io::Result<Compared> {
    std::fs::create_dir_all(folder)?;
    let compared = compare_in(program, lab, folder, seconds).await;
    std::fs::remove_dir_all(folder)?;
    compared
}

async fn compare_in(program: &Program, lab: &Path, folder: &Path, seconds: f64) -> io::Result<Compared> {
    let text = format!(
        "name='x'\nabout='x'\nnodes=1\nservers={SERVERS}\nzones=['a']\nseconds=1\nrequests_per_s=1\nwork_ms=100\n\
         [[classes]]\nname='view'\nshare=1.0\nwork='fixed'\naim=10.0\ndeadline=20.0\nrepeat='safe'"
    );
    let rig = Rig::parse("throughput", &text).map_err(io::Error::other)?;
    let zones = Zones { nodes: vec![0], servers: vec![0; SERVERS] };
    let judge = Judge::new(1, SECOND, 1, 1);
    let books = Arc::new(Books::new(
        judge,
        vec![hillpick::RetrySafety::Idempotent],
        Duration::ZERO,
        ColdModel::NEVER,
        zones,
    ));
    let mut servers = Vec::new();
    let targets: Vec<Target> = (0..SERVERS).map(|_| Target::default()).collect();
    for (number, target) in targets.iter().enumerate() {
        servers.push(Server::start(number, (0, 0), books.clone(), target.clone()).await?);
    }
    let addresses: Vec<SocketAddr> =
        targets.iter().filter_map(|target| *target.lock().expect("a target")).collect();
    let discovery = Discovery::new(books.clone(), rig.zones.clone(), vec![(0, 0); SERVERS], 1, rig.list_form);
    let discovery = Arc::new(discovery);
    let list = Target::default();
    let _answering = discovery.answer(0, addresses.clone(), &list).await?;
    let config = folder.join("n0.json");
    let here = *list.lock().expect("a target");
    let text = serde_json::json!({
        "name": "n0", "listen": "127.0.0.1:0", "discovery": here, "settings": super::settings(&rig, 0, 0)
    });
    std::fs::write(&config, text.to_string())?;
    let mut node = Process::start(program, &config, folder).await?;
    let bare = Program { node: lab.to_path_buf(), guard: None };
    let to = addresses.iter().map(ToString::to_string).collect::<Vec<_>>().join(",");
    let mut bare = Process::start_with(&bare, &["pass", &to], &config, folder).await?;
    let mut compared = Compared { node: Vec::new(), bare: Vec::new() };
    // The first round of each is not counted: connections open, and caches fill.
    for round in 0..=ROUNDS {
        let (a, b) = (load(&books, &node, seconds).await?, load(&books, &bare, seconds).await?);
        if round > 0 {
            compared.node.push(a);
            compared.bare.push(b);
        }
    }
    node.kill().await;
    bare.kill().await;
    Ok(compared)
}

/// Clients that send their next request when they have the answer to the last.
async fn load(books: &Arc<Books>, process: &Process, seconds: f64) -> io::Result<Round> {
    let before = process.usage().map_or(0.0, |(cpu, _)| cpu);
    let (begun, address) = (Instant::now(), process.address);
    let mut clients = JoinSet::new();
    for number in 0..CLIENTS {
        let books = books.clone();
        clients.spawn(async move {
            let mut sender = connect(address).await?;
            let mut served = 0u64;
            while begun.elapsed().as_secs_f64() < seconds {
                let id =
                    format!("{:04x}{:012x}", number, begun.elapsed().as_nanos() as u64 & 0xffff_ffff_ffff);
                books.ask(&id, 0, 0, Duration::ZERO);
                let request = Request::get("/view")
                    .header("host", "service.internal")
                    .header("x-call-id", id)
                    .header("x-budget-ms", "1000")
                    .body(Full::<Bytes>::default())
                    .map_err(io::Error::other)?;
                let response = sender.send_request(request).await.map_err(io::Error::other)?;
                let status = response.status();
                response.into_body().collect().await.map_err(io::Error::other)?;
                served += u64::from(status == StatusCode::OK);
            }
            Ok::<_, io::Error>(served)
        });
    }
    let mut served = 0;
    while let Some(ended) = clients.join_next().await {
        served += ended.map_err(io::Error::other)??;
    }
    let after = process.usage().map_or(0.0, |(cpu, _)| cpu);
    let served = served as f64;
    Ok(Round { per_s: served / begun.elapsed().as_secs_f64(), cpu_us: (after - before) * 1e6 / served })
}

async fn connect(address: SocketAddr) -> io::Result<SendRequest<Full<Bytes>>> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let (sender, connection) = client::handshake(TokioIo::new(stream)).await.map_err(io::Error::other)?;
    tokio::spawn(connection);
    Ok(sender)
}

/// A bare pass-through: one thread, connections kept, requests and answers passed on whole, to the targets in turn.
pub fn pass(targets: Vec<SocketAddr>) -> io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, async {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        eprintln!("pass listens on {}", listener.local_addr()?);
        let pool: Rc<Pool> = Rc::new(Pool { targets, turn: RefCell::default(), idle: RefCell::default() });
        loop {
            let (stream, _) = listener.accept().await?;
            stream.set_nodelay(true)?;
            let pool = pool.clone();
            spawn_local(async move {
                let service = service_fn(move |request| {
                    let pool = pool.clone();
                    async move { Ok::<_, Infallible>(pool.pass(request).await) }
                });
                let _ = server::Builder::new().serve_connection(TokioIo::new(stream), service).await;
            });
        }
    })
}

type Sender = SendRequest<Full<Bytes>>;

struct Pool {
    targets: Vec<SocketAddr>,
    turn: RefCell<usize>,
    idle: RefCell<Vec<(SocketAddr, Sender)>>,
}

impl Pool {
    async fn pass(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        self.try_to(request).await.unwrap_or_else(|_| {
            let mut response = Response::new(Full::default());
            *response.status_mut() = StatusCode::BAD_GATEWAY;
            response
        })
    }

    async fn try_to(&self, request: Request<Incoming>) -> Result<Response<Full<Bytes>>, io::Error> {
        let target = {
            let mut turn = self.turn.borrow_mut();
            *turn += 1;
            self.targets[*turn % self.targets.len()]
        };
        let kept = {
            let mut idle = self.idle.borrow_mut();
            let at = idle.iter().position(|(address, sender)| *address == target && sender.is_ready());
            at.map(|at| idle.swap_remove(at).1)
        };
        let mut sender = match kept {
            Some(sender) => sender,
            None => {
                let stream = TcpStream::connect(target).await?;
                stream.set_nodelay(true)?;
                let (sender, connection) =
                    client::handshake(TokioIo::new(stream)).await.map_err(io::Error::other)?;
                spawn_local(async move {
                    let _ = connection.await; // its end shows at whoever sends on it
                });
                sender
            }
        };
        let (head, body) = request.into_parts();
        let body = body.collect().await.map_err(io::Error::other)?.to_bytes();
        let response = sender.send_request(Request::from_parts(head, Full::new(body))).await;
        let (head, body) = response.map_err(io::Error::other)?.into_parts();
        let body = body.collect().await.map_err(io::Error::other)?.to_bytes();
        self.idle.borrow_mut().push((target, sender));
        Ok(Response::from_parts(head, Full::new(body)))
    }
}
