//! The platform: starts the node by the command of the deploy file, signals it and ends it.

use crate::http::{Client, Message};
use crate::record;
use std::fs::{self, OpenOptions};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

// The C library, which every program of the standard library is linked with, and Linux numbers, the same on x86-64 and
// arm64.
unsafe extern "C" {
    fn prctl(option: i32, signal: usize) -> i32;
}
const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: usize = 9;

/// The processes that were started, each with its temporary folder.
static STARTED: Mutex<Vec<(Child, PathBuf)>> = Mutex::new(Vec::new());

/// A node that is ready.
pub struct Node {
    pub address: SocketAddr,
    pid: u32,
    folder: PathBuf,
}

/// Asks for a path on a connection of its own.
fn get(address: SocketAddr, path: &str) -> io::Result<Message> {
    let mut client = Client::connect(address)?;
    client.send(format!("GET {path} HTTP/1.1\r\nHost: service.internal\r\nConnection: close\r\n\r\n"))?;
    client.answer(Duration::from_secs(1))
}

/// What differs from case to case in a configuration.
pub struct Setup {
    pub discovery: SocketAddr,
    /// The JSON of `Classes`.
    pub classes: String,
    pub memory_mb: u32,
    pub sockets: u32,
    /// The second address, where there is one.
    pub ops: Option<SocketAddr>,
}

impl Setup {
    /// The configuration file: the settings of the site file, with this case's classes.
    fn to_json(&self, listen: SocketAddr) -> String {
        let Setup { discovery, classes, memory_mb, sockets, ops } = self;
        let ops = ops.map(|ops| format!(r#""ops":"{ops}","#)).unwrap_or_default();
        format!(
            r#"{{"name":"n0","listen":"{listen}",{ops}"discovery":"{discovery}","seed":"8c1f30d27a5be964",
"limits":{{"cores":1.0,"memory_mb":{memory_mb},"sockets":{sockets}}},
"known":{{"index":1,"snapshot":true,"endpoints":[]}},
"settings":{{"Callers":{{"MarksRetry":false}},"Classes":{classes},"CountedBy":"work","Family":"proxy",
"Goal":{{"Whole":0.55,"WorstClass":0.3,"WorstTenant":0.0,"WorstWindow":0.15}},"HostTypes":["std-a","std-b","std-c"],
"Layer":0,"Layers":["turnos-web"],"LoadReport":{{"Columns":["concurrent","depth"],"Via":"silent"}},
"Localities":["hall-a","hall-b","hall-c"],"NInstances":1,"Ordinal":0,"OverShareWorth":0.1,
"Permissions":{{"AttemptsCap":3,"Cancel":true,"ConnectTimeout":250.0,"CpuUsPerRequest":0.0,"CpuUsPerS":800000,
"IdleClose":5000.0,"MaxRetryAfter":2000.0,"MostHeld":20000,"ParallelTries":false,"Peers":false,"Probes":false,
"RetryAfter":true,"StreamsPerConn":1}},
"Prices":{{"Connection":0.0,"CrossZone":0.005,"Handshake":0.0,"LateFail":0.05,"Moves":0.0,"Origin":0.0,"Peer":0.01,
"Probe":0.002,"RegistryMode":0.0,"Waste":0.05}},"Projects":[],"Quantum":1.0,"RegistryMode":"push",
"Rules":{{"AnswerSlack":5.0,"ColdFrom":0.12,"DrainGrace":2000.0,"MustAskIn":10000.0,"OverloadFactor":3.0,
"RampTime":23000.0,"TipAfter":3000.0}},"Specifics":{{"WarmKeys":false}},"Weights":"silent","Zone":0}}}}
"#
        )
    }
}

/// The command that the deploy file names.
fn run_command() -> Result<String, String> {
    let text =
        fs::read_to_string("deploy/balancer.toml").map_err(|e| format!("deploy/balancer.toml: {e}"))?;
    let line = text.lines().find_map(|line| line.strip_prefix("run = \""));
    line.and_then(|line| line.split('"').next()).map(str::to_owned).ok_or("no run in the deploy file".into())
}

/// An address on which nothing listens.
pub fn free_address() -> Result<SocketAddr, String> {
    TcpListener::bind("127.0.0.1:0").and_then(|listener| listener.local_addr()).map_err(|e| e.to_string())
}

impl Node {
    /// Starts a node and waits until it is ready.
    pub fn start(setup: &Setup) -> Result<Self, String> {
        let started = STARTED.lock().unwrap_or_else(|broken| broken.into_inner()).len();
        let name = format!("hillpick-review-{}-{started}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        fs::create_dir_all(&folder).map_err(|e| e.to_string())?;
        let node = Node { address: free_address()?, pid: 0, folder }.run(setup)?;
        node.wait_until(|| node.is_ready())?;
        record::line("the node is ready");
        Ok(node)
    }

    /// Starts the node's program again beside this process, with the same addresses and another second address, and
    /// waits until that says yes.
    pub fn upgrade(&self, setup: &Setup) -> Result<Self, String> {
        let next = Node { address: self.address, pid: 0, folder: self.folder.clone() }.run(setup)?;
        let ops = setup.ops.ok_or("an upgrade needs a second address")?;
        next.wait_until(|| get(ops, "/status").is_ok_and(|answer| answer.status() == 200))?;
        record::line("the new process says yes");
        Ok(next)
    }

    fn run(mut self, setup: &Setup) -> Result<Self, String> {
        let error = |e: std::io::Error| e.to_string();
        self.configure(setup)?;
        let mut command = Command::new("/bin/sh");
        command.arg("-c").arg(run_command()?);
        for name in ["SILLWARD_FLEET", "SILLWARD_ZONES", "SILLWARD_SUBSET", "LD_PRELOAD"] {
            command.env_remove(name);
        }
        command
            .env("TMPDIR", &self.folder)
            .env("PROXY_NAME", "n0")
            .env("PROXY_LISTEN", self.address.to_string());
        command.env("PROXY_DISCOVERY", setup.discovery.to_string());
        command.env("PROXY_CONFIG", self.folder.join("config.json"));
        let log =
            OpenOptions::new().create(true).append(true).open(self.folder.join("log")).map_err(error)?;
        command.stdin(Stdio::null()).stdout(log.try_clone().map_err(error)?).stderr(log);
        // The node ends with this process, however that ends. The main thread starts the nodes and lives as long.
        let end_with_parent = || match unsafe { prctl(PR_SET_PDEATHSIG, SIGKILL) } {
            0 => Ok(()),
            _ => Err(io::Error::last_os_error()),
        };
        unsafe { command.pre_exec(end_with_parent) };
        let child = command.spawn().map_err(error)?;
        self.pid = child.id();
        let mut started = STARTED.lock().unwrap_or_else(|broken| broken.into_inner());
        started.push((child, self.folder.clone()));
        Ok(self)
    }

    fn wait_until(&self, condition: impl Fn() -> bool) -> Result<(), String> {
        let begun = Instant::now();
        while !condition() {
            if begun.elapsed() > Duration::from_secs(20) || self.has_ended() {
                return Err("the node did not get ready; is it built?".into());
            }
            thread::sleep(Duration::from_millis(20));
        }
        Ok(())
    }

    /// The process's memory in KiB: its own pages, and its part of those that it shares with others.
    pub fn memory_kib(&self) -> u64 {
        let rollup = fs::read_to_string(format!("/proc/{}/smaps_rollup", self.pid)).unwrap_or_default();
        let line = rollup.lines().find_map(|line| line.strip_prefix("Pss:"));
        line.and_then(|line| line.trim().split(' ').next())
            .and_then(|kib| kib.parse().ok())
            .unwrap_or_default()
    }

    /// Replaces the configuration file.
    pub fn configure(&self, setup: &Setup) -> Result<(), String> {
        let (next, path) = (self.folder.join("config.next"), self.folder.join("config.json"));
        let written = fs::write(&next, setup.to_json(self.address));
        written.and_then(|()| fs::rename(&next, &path)).map_err(|e| e.to_string())
    }

    fn is_ready(&self) -> bool {
        get(self.address, "/health/ready").is_ok_and(|answer| answer.status() == 200)
    }

    /// Sends a signal, such as `TERM`.
    pub fn signal(&self, name: &str) -> Result<(), String> {
        record::line(format!("SIG{name} to the node"));
        let sent = Command::new("/bin/sh").arg("-c").arg(format!("kill -{name} {}", self.pid)).status();
        sent.map_err(|e| e.to_string()).map(drop)
    }

    /// Whether the process has ended.
    pub fn has_ended(&self) -> bool {
        let mut started = STARTED.lock().unwrap_or_else(|broken| broken.into_inner());
        let child = started.iter_mut().find(|(child, _)| child.id() == self.pid);
        child.is_none_or(|(child, _)| !matches!(child.try_wait(), Ok(None)))
    }
}

/// Ends all processes that were started, and removes their folders; their logs go into the record.
pub fn kill_all() {
    let mut started = STARTED.lock().unwrap_or_else(|broken| broken.into_inner());
    for (mut child, folder) in started.drain(..) {
        let _ = child.kill();
        let _ = child.wait();
        for line in fs::read_to_string(folder.join("log")).unwrap_or_default().lines().take(40) {
            record::line(format!("the node's log: {line}"));
        }
        let _ = fs::remove_dir_all(folder);
    }
}
