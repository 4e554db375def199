//! Real nodes beside the hollow ones, under real requests from the rig's clients to the rig's servers.

use super::configuration::{GIVE_UP_MS, Own, ROUTES_USED, Settings, WORK_MS};
use super::usage;
use crate::cold::ColdModel;
use crate::dist::Work;
use crate::judge::{Judge, Outcome, Run};
use crate::rig::Program;
use crate::rig::books::{Books, Zones};
use crate::rig::clients::{self, Class, Clients, Door};
use crate::rig::process::Process;
use crate::rig::relay::{Path as Way, Target};
use crate::rig::servers::{self, Server};
use crate::time::{Nanos, SECOND, secs};
use hillpick::RetrySafety;
use rand_distr::{Distribution, Exp1};
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, timeout};

/// Between two looks at whether a node is ready.
const LOOK: Duration = Duration::from_millis(10);
/// Requests that are open at a time, at the most.
const OPEN: usize = 5_000;
/// Random numbers of arrivals and clients.
const ARRIVALS: u64 = 96;
const CLIENTS: u64 = 97;

/// Servers that answer for all that the list names, which share their addresses.
pub struct StandIns {
    books: Arc<Books>,
    _servers: Vec<Server>,
    /// Where they listen.
    pub addresses: Vec<SocketAddr>,
}

fn judge(seed: u64, seconds: f64, classes: usize) -> Judge {
    Judge::new(seed, secs(seconds), classes, 1)
}

impl StandIns {
    /// So many of them, for so many real nodes.
    ///
    /// # Errors
    /// If one can't listen.
    pub async fn start(count: u32, nodes: u32, seed: u64, seconds: f64, routes: u32) -> io::Result<Self> {
        let cold = ColdModel {
            factor: 3.0,
            over: 3 * SECOND,
            unit: WORK_MS / 1e3,
            cold_share: servers::COLD_SHARE,
            warm: servers::WARM.as_nanos() as Nanos,
        };
        let zones = Zones { nodes: vec![0; nodes as usize], servers: vec![0; count as usize] };
        let classes = routes.min(ROUTES_USED) as usize;
        let repeats = vec![RetrySafety::Idempotent; classes];
        let grace = Duration::from_secs_f64(super::configuration::DRAIN_GRACE_MS / 1e3);
        let books = Arc::new(Books::new(judge(seed, seconds, classes), repeats, grace, cold, zones));
        let (mut all, mut addresses) = (Vec::new(), Vec::new());
        for number in 0..count as usize {
            let target = Target::default();
            all.push(Server::start(number, (0, 0), books.clone(), target.clone()).await?);
            let address = *target.lock().expect("a target");
            addresses.push(address.ok_or_else(|| io::Error::other("a server that does not listen"))?);
        }
        Ok(StandIns { books, _servers: all, addresses })
    }
}

/// Real nodes.
pub struct RealNodes {
    processes: Vec<Process>,
    doors: Vec<Arc<Door>>,
    /// How long each took to be ready, in s.
    pub ready_s: Vec<f64>,
}

impl RealNodes {
    /// Starts them, and waits until each is ready.
    ///
    /// # Errors
    /// If one does not start or is not ready in time.
    pub async fn start(
        program: &Program,
        folder: &Path,
        settings: &Settings,
        places: &[Own<'_>],
        within: Duration,
    ) -> io::Result<Self> {
        let mut all = RealNodes { processes: Vec::new(), doors: Vec::new(), ready_s: Vec::new() };
        for own in places {
            let temporary = folder.join(format!("n{}", own.number));
            std::fs::create_dir_all(&temporary)?;
            let config = folder.join(format!("n{}.json", own.number));
            std::fs::write(&config, settings.text(own))?;
            let begun = Instant::now();
            let process = Process::start(program, &config, &temporary).await?;
            let door = Arc::new(Door::new(process.address, Way::default(), 0));
            let ready = async {
                while !door.is_ready().await {
                    sleep(LOOK).await;
                }
            };
            let late = |_| io::Error::other(format!("real node {} was not ready in time", own.number));
            timeout(within, ready).await.map_err(late)?;
            all.ready_s.push(begun.elapsed().as_secs_f64());
            all.processes.push(process);
            all.doors.push(door);
        }
        Ok(all)
    }

    /// Their processes.
    pub fn ids(&self) -> Vec<u32> {
        self.processes.iter().map(Process::id).collect()
    }

    /// Where they hear each other.
    pub fn peers(&self) -> Vec<SocketAddr> {
        self.processes.iter().filter_map(|process| process.peers).collect()
    }

    /// Those that have ended by themselves.
    pub fn ended(&mut self) -> usize {
        self.processes.iter_mut().filter_map(|process| process.has_ended().then_some(())).count()
    }

    /// How each sees the members, in the hollow nodes' form.
    pub async fn views(&self) -> Vec<String> {
        let mut views = Vec::new();
        for process in &self.processes {
            let view = match process.operators {
                Some(address) => clients::members(address).await,
                None => None,
            };
            views.push(view.map_or("none".into(), |(members, digest)| format!("{members} {digest}")));
        }
        views
    }

    /// The most memory of each so far, in bytes, and what is resident now.
    pub fn memory(&self) -> Vec<(f64, f64)> {
        let one = |process: &Process| {
            let (_, peak_mb) = process.usage()?;
            Some((peak_mb * 1024.0 * 1024.0, usage::resident(process.id())? as f64))
        };
        self.processes.iter().filter_map(one).collect()
    }

    /// Ends them.
    pub async fn end(mut self) {
        for process in &mut self.processes {
            process.kill().await;
        }
    }
}

/// Clients that come to the real nodes until they are told to stop.
pub struct Load {
    coming: JoinSet<()>,
    over: Arc<AtomicBool>,
    books: Arc<Books>,
    begun: Nanos,
    classes: usize,
    nodes: usize,
    seed: u64,
}

impl Load {
    /// So many requests a second, over all nodes.
    pub fn start(
        stand_ins: &StandIns,
        nodes: &RealNodes,
        per_s: f64,
        seed: u64,
        routes: u32,
        tenants: u32,
    ) -> Self {
        let used = routes.min(ROUTES_USED);
        let unit = Duration::from_secs_f64(WORK_MS / 1e3);
        let class = |route: u32| Class {
            name: format!("route-{route}"),
            up_to: f64::from(route + 1) / f64::from(used),
            mean: unit,
            work: Work::Exponential.sampler(),
            worth: 1.0,
            unit,
            aim: Duration::from_millis(200),
            deadline: Duration::from_secs_f64(GIVE_UP_MS / 1e3),
            repeat: RetrySafety::Idempotent,
        };
        let clients = Arc::new(Clients {
            books: stand_ins.books.clone(),
            classes: (0..used).map(class).collect(),
            doors: nodes.doors.clone(),
            zones: 1,
            retries: 1,
            tries: AtomicU64::new(0),
            seed,
            caller: (tenants > 0).then(|| "tenant-0".into()),
        });
        let over = Arc::new(AtomicBool::new(false));
        let begun = stand_ins.books.begin();
        let mut coming = JoinSet::new();
        if per_s > 0.0 && !nodes.doors.is_empty() {
            coming.spawn(come(clients, per_s, seed, over.clone()));
        }
        let (books, nodes) = (stand_ins.books.clone(), nodes.doors.len());
        Load { coming, over, books, begun, classes: used as usize, nodes, seed }
    }

    /// Waits until each client has had its end, and says what came of them: requests a second, and the judge's figures.
    pub async fn end(mut self) -> (f64, Outcome) {
        self.over.store(true, Ordering::Relaxed);
        while self.coming.join_next().await.is_some() {}
        let seconds = (self.books.now() - self.begun) as f64 / SECOND as f64;
        let (judge, server_work) = self.books.close(judge(self.seed, 1.0, self.classes));
        let tries = judge.tally.tries as f64;
        let names: Vec<_> =
            (0..self.classes).map(|route| (format!("route-{route}"), RetrySafety::Idempotent)).collect();
        let outcome = judge.outcome(Run {
            strategy: "sillward".into(),
            size: format!("{}x0", self.nodes),
            nodes: self.nodes,
            classes: &names,
            zones: &["all".into()],
            faults: Vec::new(),
            server_work,
            events: 0,
            processes: Vec::new(),
        });
        (tries / seconds.max(1e-9), outcome)
    }
}

async fn come(clients: Arc<Clients>, per_s: f64, seed: u64, over: Arc<AtomicBool>) {
    let mut arrivals = crate::emu::chance(seed, ARRIVALS, 0);
    let mut open = JoinSet::new();
    let mut number = 0;
    while !over.load(Ordering::Relaxed) {
        let gap: f64 = Exp1.sample(&mut arrivals);
        sleep(Duration::from_secs_f64(gap / per_s)).await;
        while open.try_join_next().is_some() {}
        if open.len() >= OPEN {
            open.join_next().await;
        }
        number += 1;
        open.spawn(clients.clone().come(crate::emu::chance(seed, CLIENTS, number)));
    }
    while open.join_next().await.is_some() {}
}
