//! Measures what many tenants and classes cost one real node: time and processor time until it is ready,
//! memory, and the latency of requests while SIGHUP makes it reload a configuration of the same size.
//! `cargo bench --bench settings` measures the node built from this tree.
//! `SILLWARDS=before=PATH,after=PATH` measures other binaries in one run, so that their results can be
//! compared.

use std::fs::{read_to_string, write};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{Receiver, channel};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

/// The numbers of tenants and of classes in each measurement.
const SIZES: [(usize, usize); 8] = [
    (1, 2),
    (1_000, 2),
    (16_000, 2),
    (110_000, 2),
    (1, 1_000),
    (1, 22_000),
    (16_000, 1_000),
    (110_000, 22_000),
];
/// The longest wait for a node to become ready or to reload its settings.
const NODE_TIMEOUT: Duration = Duration::from_secs(40);
/// Time between two requests: 500 a second, five times the rate of a node in the planned deployment.
const REQUEST_INTERVAL: Duration = Duration::from_millis(2);
/// How often the node reloads its settings.
const RELOADS: usize = 8;
/// A node that takes longer than this to become ready reloads [`RELOADS_WHEN_SLOW`] times.
const SLOW_READY: Duration = Duration::from_secs(3);
const RELOADS_WHEN_SLOW: usize = 1;
/// Pause before memory is read, so that freed memory is returned to the system, and before each reload, so
/// that there are requests before it.
const PAUSE: Duration = Duration::from_millis(700);

type Failure = Box<dyn std::error::Error>;

/// Reads the head of a message that has no body; false if the connection has ended.
fn read_head(stream: &mut impl BufRead) -> bool {
    let mut line = String::new();
    while stream.read_line(&mut line).is_ok_and(|length| length > 0) {
        if line.trim().is_empty() {
            return true;
        }
        line.clear();
    }
    false
}

/// Serves each connection on a thread of its own.
fn serve_connections(
    handle: impl Fn(BufReader<TcpStream>) + Clone + Send + 'static,
) -> Result<SocketAddr, Failure> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let handle = handle.clone();
            spawn(move || handle(BufReader::new(stream)));
        }
    });
    Ok(address)
}

fn serve_backend(mut stream: BufReader<TcpStream>) {
    while read_head(&mut stream) {
        let response = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
        if stream.get_mut().write_all(response).is_err() {
            return;
        }
    }
}

/// Serves a discovery watch: the whole list once, then heartbeats for as long as the watch is open.
fn serve_watch(mut stream: BufReader<TcpStream>, backend: SocketAddr) {
    read_head(&mut stream);
    let entry = format!(
        r#"{{"name":"s","address":"{backend}","zone":"a","type":"m","group":1,"status":"in_service","weight":1.0,"since_ms":0}}"#
    );
    let list = format!(r#"{{"index":8,"snapshot":true,"endpoints":[{entry}]}}"#) + "\n";
    let chunk = |text: &str| format!("{:x}\r\n{text}\r\n", text.len());
    let mut next = format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{}", chunk(&list));
    while stream.get_mut().write_all(next.as_bytes()).is_ok() {
        sleep(Duration::from_millis(500));
        next = chunk("\n");
    }
}

/// The configuration for the given numbers of tenants and classes. `round` is how often it was replaced
/// before: the tenants' rate limits differ in each round.
fn config(discovery: SocketAddr, (tenants, classes): (usize, usize), round: usize) -> String {
    let tenant =
        |i| format!(r#"{{"Name":"tenant-{i:06}","AllowancePerS":{},"Share":0.00001}}"#, 1_000 + round);
    let class = |i| {
        format!(
            r#"{{"Name":"route-{i:05}","Target":400,"GiveUp":5000,"Idempotency":"free","Group":"zone","Window":60000,"Credit":1}}"#
        )
    };
    let tenants = (0..tenants).map(tenant).collect::<Vec<_>>().join(",");
    let classes = (0..classes).map(class).collect::<Vec<_>>().join(",");
    format!(
        r#"{{"name":"n0","listen":"127.0.0.1:0","discovery":"{discovery}","seed":"1","limits":{{"memory_mb":192,"sockets":1024}},
        "settings":{{"Classes":[{classes}],"Projects":[{tenants}],"Localities":["a"],"HostTypes":["m"],"Quantum":1,
        "Rules":{{"DrainGrace":2000}},"Goal":{{"Whole":1}},"Permissions":{{"AttemptsCap":2,"ConnectTimeout":250}}}}}}"#
    )
}

/// A node under measurement. Its process is killed when this is dropped.
struct Node {
    child: Child,
    config: PathBuf,
    log_lines: Receiver<String>,
    started: Instant,
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.config);
    }
}

impl Node {
    fn start(binary: &Path, text: &str) -> Result<Self, Failure> {
        let config = std::env::temp_dir().join(format!("settings-bench-{}.json", std::process::id()));
        write(&config, text)?;
        let mut command = Command::new(binary);
        command.env("PROXY_CONFIG", &config).stdin(Stdio::null()).stdout(Stdio::null());
        let started = Instant::now();
        let mut child = command.stderr(Stdio::piped()).spawn()?;
        let log = BufReader::new(child.stderr.take().ok_or("no log")?);
        let (line_sender, log_lines) = channel();
        spawn(move || log.lines().map_while(Result::ok).try_for_each(|line| line_sender.send(line)));
        Ok(Node { child, config, log_lines, started })
    }

    /// Waits for a line of its log that contains the text.
    fn wait_for_log(&self, text: &str, timeout: Duration) -> Result<String, Failure> {
        let deadline = Instant::now() + timeout;
        loop {
            let line = self.log_lines.recv_timeout(deadline.saturating_duration_since(Instant::now()))?;
            if line.contains(text) {
                return Ok(line);
            }
        }
    }

    /// The processor time that its main thread, which serves requests, has used so far.
    fn processor_time(&self) -> Result<Duration, Failure> {
        let stat = read_to_string(format!("/proc/{}/schedstat", self.child.id()))?;
        Ok(Duration::from_nanos(stat.split(' ').next().unwrap_or_default().parse()?))
    }

    /// A value of its memory status in MiB, by its key in `/proc/PID/status`.
    fn memory_mib(&self, key: &str) -> Result<f64, Failure> {
        let status = read_to_string(format!("/proc/{}/status", self.child.id()))?;
        let line =
            status.lines().find(|line| line.starts_with(key)).ok_or("key is missing in /proc/PID/status")?;
        let kib: f64 =
            line.split_whitespace().nth(1).ok_or("value is missing in /proc/PID/status")?.parse()?;
        Ok(kib / 1024.0)
    }

    fn send_sighup(&self) -> Result<(), Failure> {
        let pid = self.child.id().to_string();
        Command::new("kill").args(["-HUP", &pid]).status()?.success().then_some(()).ok_or("kill failed")?;
        Ok(())
    }
}

/// Sends a request over a keep-alive connection and reads the response. Returns its status code.
fn request(stream: &mut BufReader<TcpStream>, head: &str) -> Result<u16, Failure> {
    stream.get_mut().write_all(head.as_bytes())?;
    let (mut line, mut status, mut length) = (String::new(), 0, 0);
    loop {
        line.clear();
        stream.read_line(&mut line)?;
        let text = line.trim().to_lowercase();
        match text.split_once(' ') {
            _ if text.is_empty() => break,
            Some(("http/1.1", rest)) => status = rest.split(' ').next().unwrap_or_default().parse()?,
            Some(("content-length:", rest)) => length = rest.parse()?,
            _ => {}
        }
    }
    stream.read_exact(&mut vec![0; length])?;
    Ok(status)
}

/// When a request was due to be sent, and the time from then to its answer.
type Sample = (Instant, Duration);

/// Sends requests at a constant rate until `stop` receives a message. Latency is counted from the time at
/// which a request was due, so that a delayed answer does not hide the delay of the requests after it.
fn generate_load(address: SocketAddr, (tenants, classes): (usize, usize), stop: Receiver<()>) -> Vec<Sample> {
    let Ok(stream) = TcpStream::connect(address) else { return Vec::new() };
    let _ = stream.set_nodelay(true);
    let (mut stream, mut samples, mut due) = (BufReader::new(stream), Vec::new(), Instant::now());
    while stop.try_recv().is_err() {
        sleep(due.saturating_duration_since(Instant::now()));
        // All classes and tenants in turn, beginning with the last ones.
        let (class, tenant) = (classes - 1 - samples.len() % classes, tenants - 1 - samples.len() % tenants);
        let head = format!(
            "GET /route-{class:05}/1 HTTP/1.1\r\nHost: n\r\nX-Call-Id: 1\r\nX-Budget-Ms: 5000\r\nX-Caller: tenant-{tenant:06}\r\n\r\n"
        );
        match request(&mut stream, &head) {
            // A refusal counts as an answer too, since it waits as long.
            Ok(200 | 503) => samples.push((due, due.elapsed())),
            other => {
                eprintln!("unexpected answer to a request: {other:?}");
                return samples;
            }
        }
        due += REQUEST_INTERVAL;
    }
    samples
}

/// A quantile of the latencies, in ms.
fn quantile_ms(latencies: &[Duration], quantile: f64) -> f64 {
    let mut sorted = latencies.to_vec();
    sorted.sort();
    let index = ((sorted.len() as f64 * quantile).ceil() as usize).clamp(1, sorted.len().max(1)) - 1;
    sorted.get(index).map_or(f64::NAN, |latency| latency.as_secs_f64() * 1e3)
}

fn measure(name: &str, binary: &Path, size: (usize, usize)) -> Result<(), Failure> {
    let backend = serve_connections(serve_backend)?;
    let discovery = serve_connections(move |stream| serve_watch(stream, backend))?;
    let text = config(discovery, size, 0);
    let node = Node::start(binary, &text)?;
    let listen_line =
        node.wait_for_log(" listens on ", NODE_TIMEOUT).map_err(|_| "did not start to listen in time")?;
    let address: SocketAddr = listen_line.rsplit(' ').next().unwrap_or_default().parse()?;
    let mut readiness = BufReader::new(TcpStream::connect(address)?);
    while request(&mut readiness, "GET /health/ready HTTP/1.1\r\nHost: n\r\n\r\n")? != 200 {
        sleep(Duration::from_millis(1));
    }
    let (ready_after, processor_time) = (node.started.elapsed(), node.processor_time()?);
    sleep(PAUSE);
    let (steady, peak) = (node.memory_mib("VmRSS")?, node.memory_mib("VmHWM")?);

    let (stop_sender, stop) = channel();
    let load = spawn(move || generate_load(address, size, stop));
    // The start and end of each reload, with a margin of four requests after it.
    let mut windows = Vec::new();
    let reloads = if ready_after > SLOW_READY { RELOADS_WHEN_SLOW } else { RELOADS };
    for round in 1..=reloads {
        sleep(PAUSE);
        write(&node.config, config(discovery, size, round))?;
        let start = Instant::now();
        node.send_sighup()?;
        node.wait_for_log("told to look again", NODE_TIMEOUT)?;
        windows.push((start, Instant::now() + 4 * REQUEST_INTERVAL));
    }
    sleep(PAUSE);
    let (steady_after, peak_after) = (node.memory_mib("VmRSS")?, node.memory_mib("VmHWM")?);
    stop_sender.send(())?;
    let samples = load.join().map_err(|_| "the load generator panicked")?;
    let overlaps_reload =
        |(due, latency): &Sample| windows.iter().any(|(start, end)| *due + *latency >= *start && due <= end);
    let (during, outside): (Vec<_>, Vec<_>) = samples.into_iter().partition(overlaps_reload);
    let latencies =
        |samples: Vec<Sample>| samples.into_iter().map(|(_, latency)| latency).collect::<Vec<_>>();
    let (during, outside) = (latencies(during), latencies(outside));
    let reload_time: Duration = windows.iter().map(|(start, end)| *end - *start).sum();
    println!(
        "| {name} | {} | {} | {:.1} | {:.2} | {:.2} | {steady:.1} ({peak:.1}) | {steady_after:.1} ({peak_after:.1}) | {:.0} | {} | {:.2} | {:.2} | {:.2} | {:.2} |",
        size.0,
        size.1,
        text.len() as f64 / 1e6,
        ready_after.as_secs_f64(),
        processor_time.as_secs_f64(),
        reload_time.as_secs_f64() * 1e3 / reloads as f64,
        during.len(),
        quantile_ms(&outside, 0.99),
        quantile_ms(&during, 0.5),
        quantile_ms(&during, 0.99),
        quantile_ms(&during, 1.0),
    );
    Ok(())
}

fn main() {
    let binaries =
        std::env::var("SILLWARDS").unwrap_or_else(|_| format!("this={}", env!("CARGO_BIN_EXE_sillward")));
    println!(
        "| node | tenants | classes | file MB | ready s | processor s | memory MiB (peak) | after reloads (peak) | reload ms | requests during reloads | p99 ms otherwise | p50 ms | p99 ms | max ms |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    for size in SIZES {
        for (name, binary) in binaries.split(',').filter_map(|binary| binary.split_once('=')) {
            if let Err(failure) = measure(name, Path::new(binary), size) {
                println!("| {name} | {} | {} | {failure} |", size.0, size.1);
            }
        }
    }
}
