//! The rig: real node processes on loopback, stand-ins of servers and discovery, clients, and a relay on every path, so
//! that processes and paths can be made to fail. It is bounded in load, count and time by its file's limits, touches no
//! process that it has not started, and leaves none behind.

pub(crate) mod books;
pub(crate) mod clients;
pub(crate) mod discovery;
pub(crate) mod process;
pub(crate) mod relay;
pub(crate) mod servers;
pub mod spec;
pub mod throughput;

pub use process::Program;

use crate::cold::ColdModel;
use crate::dist::Sampler;
use crate::judge::{Judge, Outcome, Run};
use crate::spec::{Direction, Repeat};
use crate::time::{Nanos, SECOND, secs};
use books::{Books, Zones};
use clients::{Class, Clients, Door};
use discovery::{Discovery, Status};
use process::Process;
use rand::Rng;
use rand::seq::SliceRandom;
use rand_distr::{Distribution, Exp1};
use relay::{Datagrams, Path, Relay, Target, Way, Ways};
use servers::Server;
use spec::{Between, Down, Fault, How, Rig};
use std::io;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::sync::Mutex;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, sleep_until, timeout};

/// Servers of one zone that drop repeats together.
const CELL: usize = 4;
/// The rule on drains, as the settings tell it.
const DRAIN_GRACE: Duration = Duration::from_secs(2);
/// All nodes are ready after so long, or the rig does not start.
const READY: Duration = Duration::from_secs(60);
/// The front asks so often whether a node is ready.
const FRONT: Duration = Duration::from_millis(100);
/// SIGKILL comes so long after the longest deadline (the protocol's figure), and a little for slow machines: a node
/// that has not ended by then is at fault.
const KILL_AFTER: Duration = Duration::from_millis(700);
/// Requests open at a time; beyond that clients wait outside, and the judge hears of it as a node that can't be reached.
const OPEN: usize = 20_000;

/// A node's place: its process, when it runs, and what is needed to start it again.
struct Host {
    number: usize,
    program: Program,
    config: PathBuf,
    temporary: PathBuf,
    target: Target,
    /// Where datagrams for it go.
    peers: Target,
    door: Arc<Door>,
    process: Option<Process>,
    /// Of processes that have ended: processor time in s, and the most memory in MB.
    used: (f64, f64),
    /// Ends that nobody asked for.
    crashes: u32,
}

impl Host {
    async fn start(&mut self, discovery: &Discovery) -> io::Result<()> {
        discovery.begin(self.number);
        let process = Process::start(&self.program, &self.config, &self.temporary).await?;
        *self.target.lock().expect("a target") = Some(process.address);
        *self.peers.lock().expect("a target") = process.peers;
        self.process = Some(process);
        Ok(())
    }

    fn count(&mut self) {
        if let Some((cpu, memory)) = self.process.as_ref().and_then(Process::usage) {
            self.used = (self.used.0 + cpu, self.used.1.max(memory));
        }
    }

    async fn kill(&mut self) {
        self.count();
        *self.target.lock().expect("a target") = None;
        if let Some(mut process) = self.process.take() {
            process.kill().await;
        }
        self.door.forget_connections();
    }

    /// Told to stop, and killed if it has not ended when the protocol's time is over.
    async fn terminate(&mut self, longest: Duration) -> bool {
        self.count();
        let Some(mut process) = self.process.take() else { return true };
        process.terminate();
        let ended = process.ends(longest + KILL_AFTER).await;
        *self.target.lock().expect("a target") = None;
        if !ended {
            process.kill().await;
        }
        self.door.forget_connections();
        ended
    }
}

/// All that runs.
struct Running {
    rig: Rig,
    books: Arc<Books>,
    hosts: Vec<Arc<Mutex<Host>>>,
    doors: Vec<Arc<Door>>,
    servers: Vec<Arc<Mutex<Server>>>,
    discovery: Arc<Discovery>,
    node_zones: Vec<usize>,
    server_zones: Vec<usize>,
    to_servers: Vec<Vec<Path>>,
    to_discovery: Vec<Path>,
    /// Connections that nodes have opened to servers, by the relays between.
    connections: Vec<Arc<AtomicU64>>,
    datagrams: Datagrams,
    longest: Duration,
}

/// Plays a rig. `folder` is for configurations and the nodes' own files; it is made, and removed at the end.
pub async fn run(rig: &Rig, program: &Program, folder: &std::path::Path) -> io::Result<Outcome> {
    std::fs::create_dir_all(folder)?;
    let ended = play(rig, program, folder).await;
    let removed = std::fs::remove_dir_all(folder);
    ended.and_then(|outcome| removed.map(|()| outcome))
}

fn classes(rig: &Rig) -> Vec<Class> {
    let all: f64 = rig.classes.iter().map(|class| class.share).sum();
    let mut up_to = 0.0;
    let unit = Duration::from_secs_f64(rig.work_ms / 1e3);
    let class = |class: &crate::spec::Class| {
        up_to += class.share / all;
        let sampler: Sampler = class.work.sampler();
        Class {
            name: class.name.clone(),
            up_to,
            mean: unit.mul_f64(class.mean),
            work: sampler,
            worth: class.worth,
            unit,
            aim: unit.mul_f64(class.aim),
            deadline: unit.mul_f64(class.deadline),
            repeat: crate::emu::repeat(class.repeat, class.window_s),
        }
    };
    rig.classes.iter().map(class).collect()
}

/// The settings, in the wire's words.
fn settings(rig: &Rig, node: usize, zone: usize) -> serde_json::Value {
    let ms = |units: f64| units * rig.work_ms;
    let classes = rig.classes.iter().map(|class| {
        let (idempotency, group) = match class.repeat {
            Repeat::Safe => ("free", "all"),
            Repeat::Unsafe => ("single_shot", "all"),
            Repeat::KeyedAll => ("guarded", "all"),
            Repeat::KeyedZone => ("guarded", "zone"),
            Repeat::KeyedCell => ("guarded", "cell"),
        };
        serde_json::json!({
            "Name": class.name, "Target": ms(class.aim), "GiveUp": ms(class.deadline), "Credit": class.worth,
            "Idempotency": idempotency, "Group": group, "Window": class.window_s * 1e3, "LateWorth": 0.0,
            "Stream": false
        })
    });
    serde_json::json!({
        "NInstances": rig.nodes, "Ordinal": node, "Zone": zone, "Localities": rig.zones, "HostTypes": ["std"],
        "Classes": classes.collect::<Vec<_>>(), "CountedBy": "work",
        "LoadReport": {"Via": "pull", "Columns": ["concurrent", "depth"]},
        "Permissions": {"AttemptsCap": 3, "Cancel": true, "ConnectTimeout": 250.0, "IdleClose": 5000.0,
            "MaxRetryAfter": 2000.0, "ParallelTries": true, "Peers": true, "Probes": true, "RetryAfter": true},
        "Prices": {"Probe": 0.002, "CrossZone": 0.005, "Waste": 0.05, "LateFail": 0.05},
        "Goal": {"Whole": 0.55, "WorstClass": 0.3, "WorstTenant": 0.0, "WorstWindow": 0.15},
        "Rules": {"ColdFrom": servers::COLD_SHARE, "DrainGrace": DRAIN_GRACE.as_millis() as f64,
            "OverloadFactor": 3.0, "RampTime": servers::WARM.as_millis() as f64, "TipAfter": 3000.0,
            "MustAskIn": 10000.0},
        "Quantum": 1.0, "RegistryMode": "push"
    })
}

async fn play(rig: &Rig, program: &Program, folder: &std::path::Path) -> io::Result<Outcome> {
    let classes = classes(rig);
    let longest = classes.iter().map(|class| class.deadline).max().unwrap_or_default();
    let names: Vec<_> = classes.iter().map(|class| (class.name.clone(), class.repeat)).collect();
    let zones = rig.zones.len();
    let (node_zones, server_zones): (Vec<_>, Vec<_>) =
        ((0..rig.nodes).map(|n| n % zones).collect(), (0..rig.servers).map(|s| s % zones).collect());
    let judge = || Judge::new(rig.seed, secs(rig.seconds), rig.classes.len(), zones);
    let cold = ColdModel {
        factor: 3.0,
        over: 3 * SECOND,
        unit: rig.work_ms / 1e3,
        cold_share: servers::COLD_SHARE,
        warm: servers::WARM.as_nanos() as Nanos,
    };
    let books = Arc::new(Books::new(
        judge(),
        classes.iter().map(|class| class.repeat).collect(),
        DRAIN_GRACE,
        cold,
        Zones { nodes: node_zones.clone(), servers: server_zones.clone() },
    ));
    let cell = |server: usize| (server / zones / CELL) * zones + server % zones;
    let targets: Vec<Target> = (0..rig.servers).map(|_| Target::default()).collect();
    let mut all_servers = Vec::new();
    for (server, target) in targets.iter().enumerate() {
        let place = (server_zones[server], cell(server));
        let it = Server::start(server, place, books.clone(), target.clone()).await?;
        all_servers.push(Arc::new(Mutex::new(it)));
    }
    let places = (0..rig.servers).map(|server| (server_zones[server], cell(server))).collect();
    let discovery =
        Arc::new(Discovery::new(books.clone(), rig.zones.clone(), places, rig.nodes, rig.list_form));
    let datagrams = Datagrams::start(rig.nodes, rig.seed).await?;
    let (mut relays, mut answering, mut connections) = (Vec::new(), Vec::new(), Vec::new());
    let (mut hosts, mut doors, mut to_servers, mut to_discovery) =
        (Vec::new(), Vec::new(), Vec::new(), Vec::new());
    for (node, zone) in node_zones.iter().copied().enumerate() {
        let (mut addresses, mut paths) = (Vec::new(), Vec::new());
        for target in &targets {
            let relay = Relay::start(target.clone(), Path::default()).await?;
            addresses.push(relay.address);
            paths.push(relay.path.clone());
            connections.push(relay.taken.clone());
            relays.push(relay);
        }
        to_servers.push(paths);
        let list = Target::default();
        answering.push(discovery.answer(node, addresses, &list).await?);
        let list = Relay::start(list, Path::default()).await?;
        to_discovery.push(list.path.clone());
        let target = Target::default();
        let front = Relay::start(target.clone(), Path::default()).await?;
        let door = Arc::new(Door::new(front.address, front.path.clone(), zone));
        let temporary = folder.join(format!("n{node}"));
        std::fs::create_dir_all(&temporary)?;
        let config = folder.join(format!("n{node}.json"));
        let seed: u64 = crate::emu::chance(rig.seed, 72, node as u64).random();
        let mut text = serde_json::json!({
            "name": format!("n{node}"), "listen": "127.0.0.1:0", "discovery": list.address,
            "seed": format!("{seed:016x}"), "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "peer_listen": "127.0.0.1:0", "peers": datagrams.addresses[node], "peers_all": datagrams.to_all[node],
            "settings": settings(rig, node, zone)
        });
        if let Some(probe_ms) = rig.probe_ms {
            text["fleet"] = serde_json::json!({"cluster": "rig", "probe_ms": probe_ms});
            // Where its staff call, of which the rig asks what it knows of the others.
            text["ops"] = serde_json::json!("127.0.0.1:0");
        }
        if rig.by_zone {
            text["zones"] = serde_json::json!({"regions": {"rig": rig.zones}, "return_s": 5});
        }
        std::fs::write(&config, text.to_string())?;
        relays.extend([list, front]);
        doors.push(door.clone());
        hosts.push(Host {
            number: node,
            program: program.clone(),
            config,
            temporary,
            target,
            peers: datagrams.targets[node].clone(),
            door,
            process: None,
            used: (0.0, 0.0),
            crashes: 0,
        });
    }
    for host in &mut hosts {
        host.start(&discovery).await?;
    }
    for door in &doors {
        let ready = async {
            while !door.is_ready().await {
                sleep(Duration::from_millis(20)).await;
            }
        };
        timeout(READY, ready).await.map_err(|_| io::Error::other("a node was not ready in time"))?;
    }
    let hosts: Vec<_> = hosts.into_iter().map(|host| Arc::new(Mutex::new(host))).collect();
    let running = Arc::new(Running {
        rig: rig.clone(),
        books: books.clone(),
        hosts,
        doors: doors.clone(),
        servers: all_servers,
        discovery,
        node_zones,
        server_zones,
        to_servers,
        to_discovery,
        connections,
        datagrams,
        longest,
    });
    let clients = Arc::new(Clients {
        books: books.clone(),
        classes,
        doors,
        zones,
        retries: rig.retries,
        tries: AtomicU64::new(0),
        seed: rig.seed,
        caller: None,
    });
    if let Some(within) = rig.one_view_s {
        running.one_view(within).await?;
    }
    // The day begins now, and the books count from here.
    let begun = books.begin();
    let mut tasks = JoinSet::new();
    for (fault, it) in rig.faults.iter().enumerate() {
        tasks.spawn(running.clone().fault(fault, it.clone(), begun));
    }
    for node in 0..rig.nodes {
        tasks.spawn(running.clone().front(node));
    }
    come(rig, clients, begun).await;
    let seen = match rig.one_view_s {
        Some(within) => running.one_view(within).await,
        None => Ok(()),
    };
    tasks.shutdown().await;
    if let Err(what) = seen {
        books.judge(|judge| judge.broke(crate::judge::Rule::View, 0, 0, 0, what.to_string()));
    }
    running.end(judge(), names).await
}

/// Clients come until the day is over; returns when each has had its end.
async fn come(rig: &Rig, clients: Arc<Clients>, begun: Nanos) {
    let mut arrivals = crate::emu::chance(rig.seed, 73, 0);
    let mut coming = JoinSet::new();
    let start = Instant::from_std(clients.books.started()) + Duration::from_nanos(begun);
    let (mut at, mut number) = (0.0, 0);
    loop {
        let gap: f64 = Exp1.sample(&mut arrivals);
        at += gap / rig.requests_per_s;
        if at >= rig.seconds {
            break;
        }
        sleep_until(start + Duration::from_secs_f64(at)).await;
        while coming.try_join_next().is_some() {}
        if coming.len() >= OPEN {
            coming.join_next().await;
        }
        number += 1;
        coming.spawn(clients.clone().come(crate::emu::chance(rig.seed, 74, number)));
    }
    while coming.join_next().await.is_some() {}
}

impl Running {
    /// Waits until all nodes that run hold the same view of all of them.
    async fn one_view(&self, within: f64) -> io::Result<()> {
        let begun = Instant::now();
        loop {
            let amiss = self.amiss().await;
            match amiss {
                None => return Ok(()),
                Some(what) if begun.elapsed().as_secs_f64() > within => {
                    return Err(io::Error::other(format!("after {within} s: {what}")));
                }
                Some(_) => sleep(Duration::from_millis(100)).await,
            }
        }
    }

    async fn amiss(&self) -> Option<String> {
        let mut views = Vec::new();
        for host in &self.hosts {
            let host = host.lock().await;
            let Some(process) = &host.process else { continue };
            let address = process.operators?;
            views.push((host.number, clients::members(address).await));
        }
        let live = views.len();
        let mut first = None;
        for (node, view) in views {
            let Some((members, digest)) = view else { return Some(format!("node {node} does not say")) };
            if members != live {
                return Some(format!("node {node} holds {members} members, and {live} run"));
            }
            if *first.get_or_insert(digest.clone()) != digest {
                return Some(format!("node {node} holds other lives than others"));
            }
        }
        None
    }

    /// The front: asks a node now and then whether it is ready, and sends clients there or not.
    async fn front(self: Arc<Self>, node: usize) {
        let door = &self.doors[node];
        loop {
            let ready = door.is_ready().await;
            door.open.store(ready, Ordering::Relaxed);
            if ready && !door.path.is_faulty() {
                door.excused.store(false, Ordering::Relaxed);
            }
            sleep(FRONT).await;
        }
    }

    fn some(&self, fault: usize, mut all: Vec<usize>, part: f64) -> Vec<usize> {
        let count = (all.len() as f64 * part).round() as usize;
        all.shuffle(&mut crate::emu::chance(self.rig.seed, 75, fault as u64));
        all.truncate(count);
        all
    }

    async fn until(&self, at: Nanos) {
        sleep_until(Instant::from_std(self.books.started()) + Duration::from_nanos(at)).await;
    }

    /// One fault, from its begin to its end.
    async fn fault(self: Arc<Self>, fault: usize, it: Fault, begun: Nanos) {
        let (at, lasts, part) = it.times();
        let (begin, end) = (begun + secs(at), begun + secs(at + lasts));
        let zone = match &it {
            Fault::Path { zone: Some(zone), .. } => self.rig.zones.iter().position(|name| name == zone),
            _ => None,
        };
        let nodes = (0..self.rig.nodes).filter(|node| zone.is_none_or(|zone| self.node_zones[*node] == zone));
        let nodes = self.some(fault, nodes.collect(), part);
        let servers = self.some(fault, (0..self.rig.servers).collect(), part);
        self.until(begin).await;
        match &it {
            Fault::Kill { .. } => {
                for node in &nodes {
                    self.doors[*node].excused.store(true, Ordering::Relaxed);
                    self.hosts[*node].lock().await.kill().await;
                }
            }
            Fault::Term { .. } => {
                for node in &nodes {
                    let mut host = self.hosts[*node].lock().await;
                    if !host.terminate(self.longest.min(Duration::from_secs(3))).await {
                        self.doors[*node].excused.store(true, Ordering::Relaxed);
                        host.crashes += 1;
                        tracing::warn!(node, "did not end after SIGTERM");
                    }
                }
            }
            Fault::Stop { .. } => {
                for node in &nodes {
                    self.hosts[*node].lock().await.process.iter().for_each(Process::stop);
                }
            }
            Fault::Crash { .. } => {
                for server in &servers {
                    self.servers[*server].lock().await.crash();
                    self.discovery.change(*server, Status::Terminated, None);
                }
            }
            Fault::Drain { .. } => {
                for server in &servers {
                    self.servers[*server].lock().await.drain(true);
                    self.discovery.change(*server, Status::Terminating, None);
                }
            }
            Fault::Slow { factor, .. } => {
                for server in &servers {
                    self.servers[*server].lock().await.slow(*factor);
                }
            }
            Fault::Erring { errors, .. } => {
                for server in &servers {
                    self.servers[*server].lock().await.err(*errors);
                }
            }
            Fault::Discovery { how, .. } => {
                for node in &nodes {
                    self.books.deafen(*node, begin, begin + discovery::SILENCE.as_nanos() as Nanos);
                    self.discovery.fail(*node, Some(*how));
                }
            }
            Fault::Path { .. } => self.paths(&nodes, &it, true, begin),
        }
        self.until(end).await;
        match &it {
            Fault::Kill { .. } | Fault::Term { .. } => {
                for node in &nodes {
                    let started = self.hosts[*node].lock().await.start(&self.discovery).await;
                    if let Err(what) = started {
                        self.hosts[*node].lock().await.crashes += 1;
                        tracing::error!(node, "{what}");
                    }
                }
            }
            Fault::Stop { .. } => {
                for node in &nodes {
                    self.hosts[*node].lock().await.process.iter().for_each(Process::go_on);
                }
            }
            Fault::Crash { .. } | Fault::Drain { .. } => {
                for server in &servers {
                    let mut it = self.servers[*server].lock().await;
                    it.crash();
                    match it.restart().await {
                        Ok(started) => self.discovery.change(*server, Status::InService, Some(started)),
                        Err(what) => tracing::error!(server, "{what}"),
                    }
                }
            }
            Fault::Slow { .. } => {
                for server in &servers {
                    self.servers[*server].lock().await.slow(1.0);
                }
            }
            Fault::Erring { .. } => {
                for server in &servers {
                    self.servers[*server].lock().await.err(0.0);
                }
            }
            Fault::Discovery { how, .. } => {
                let silent = begin + discovery::SILENCE.as_nanos() as Nanos;
                // What an agent has when it returns counts at once; a watch that is silent for good is no return.
                let told = match how {
                    Down::Silent | Down::Refuse => silent.min(self.books.now()),
                    Down::MuteAfterHead | Down::MidLine => silent,
                };
                for node in &nodes {
                    self.discovery.fail(*node, None);
                    self.books.deafen(*node, begin, told);
                }
            }
            Fault::Path { .. } => self.paths(&nodes, &it, false, begin),
        }
    }

    /// The paths of these nodes go wrong, or are sound again.
    fn paths(&self, nodes: &[usize], fault: &Fault, begins: bool, since: Nanos) {
        let Fault::Path { between, how, direction, across, delay_ms, loss, .. } = fault else { return };
        let delay = Duration::from_secs_f64(delay_ms / 1e3);
        let spoil = |way: &mut Way| {
            let count = |count: u32| if begins { count + 1 } else { count.saturating_sub(1) };
            match how {
                How::Delay if begins => way.delay += delay,
                How::Delay => way.delay = way.delay.saturating_sub(delay),
                How::Hold => way.held = count(way.held),
                How::Drop => way.dropped = count(way.dropped),
                How::Loss => way.loss = if begins { *loss } else { 0.0 },
                How::Reset => {}
            }
        };
        // `out` is what leaves the node; `opens` says whether that is also who opens the connection.
        let change = |path: &Path, opens: bool| {
            path.change(|ways: &mut Ways| {
                let (out, into) =
                    if opens { (&mut ways.out, &mut ways.back) } else { (&mut ways.back, &mut ways.out) };
                if *direction != Direction::In {
                    spoil(out);
                }
                if *direction != Direction::Out {
                    spoil(into);
                }
                ways.resets += u64::from(begins && *how == How::Reset);
            });
        };
        let now = self.books.now();
        for node in nodes.iter().copied() {
            let far = |zone: usize| !across || zone != self.node_zones[node];
            match between {
                Between::ClientNode => {
                    self.doors[node].excused.store(true, Ordering::Relaxed);
                    change(&self.doors[node].path, false);
                }
                Between::NodeServer => {
                    let paths = self.to_servers[node].iter().zip(&self.server_zones);
                    paths.filter(|(_, zone)| far(**zone)).for_each(|(path, _)| change(path, true));
                }
                Between::NodeDiscovery => {
                    change(&self.to_discovery[node], true);
                    // The agent itself is well: what it has counts when the path is, or the silence has lasted.
                    let silent = since + discovery::SILENCE.as_nanos() as Nanos;
                    let deaf = if begins { Nanos::MAX } else { now.max(silent) };
                    self.books.deafen(node, since, deaf);
                }
                Between::NodeNode => {
                    let others = (0..self.rig.nodes).filter(|other| *other != node);
                    for other in others.filter(|other| far(self.node_zones[*other])) {
                        if *direction != Direction::In {
                            self.datagrams.paths[node][other].change(|ways| spoil(&mut ways.out));
                        }
                        if *direction != Direction::Out {
                            self.datagrams.paths[other][node].change(|ways| spoil(&mut ways.out));
                        }
                    }
                }
            }
        }
    }

    /// The end of the day: every node is told to stop, and what came of it is added up.
    async fn end(&self, empty: Judge, names: Vec<(String, hillpick::RetrySafety)>) -> io::Result<Outcome> {
        let (mut processes, mut crashes) = (Vec::new(), 0);
        for host in &self.hosts {
            let mut host = host.lock().await;
            host.process.iter().for_each(Process::go_on);
            if host.process.as_mut().is_some_and(Process::has_ended) {
                crashes += 1;
            }
            if !host.terminate(self.longest.min(Duration::from_secs(3))).await {
                crashes += 1;
            }
            processes.push(host.used);
            crashes += host.crashes;
        }
        let (mut judge, server_work) = self.books.close(empty);
        judge.tally.connections = self.connections.iter().map(|taken| taken.load(Ordering::Relaxed)).sum();
        judge.tally.peer_bytes = self.datagrams.bytes.load(Ordering::Relaxed);
        for (node, length) in self.datagrams.too_long.lock().expect("the notes").iter() {
            let what = format!("a datagram of {length} bytes");
            judge.broke(crate::judge::Rule::Form, 0, *node as u32, 0, what);
        }
        for node in 0..crashes {
            judge.broke(
                crate::judge::Rule::Lost,
                0,
                node,
                0,
                "a node ended, or did not end, by itself".into(),
            );
        }
        let spans = self.rig.faults.iter().map(|fault| {
            let (at, lasts, _) = fault.times();
            (fault.name(), secs(at), secs(at + lasts))
        });
        Ok(judge.outcome(Run {
            strategy: "sillward".into(),
            size: format!("{}x{}", self.rig.nodes, self.rig.servers),
            nodes: self.rig.nodes,
            classes: &names,
            zones: &self.rig.zones,
            faults: spans.collect(),
            server_work,
            events: 0,
            processes,
        }))
    }
}
