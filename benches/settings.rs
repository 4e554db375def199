//! What many tenants and classes cost one real node: time and processor time until it is ready, memory, and what requests
//! wait while SIGHUP has it take in a file of the same size. `cargo bench --bench settings` measures the node of this
//! tree; `SILLWARDS=before=PATH,after=PATH` others, in one run, so that they can be held against one another.

use std::fs::{read_to_string, write};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{Receiver, channel};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

/// Tenants and classes.
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
/// A node that is not ready after so long is given up.
const LONGEST_START: Duration = Duration::from_secs(40);
/// Between two requests: 500 a second, five times as many as a node of the size to come is sent.
const GAP: Duration = Duration::from_millis(2);
/// How often the file is taken in; once where a start is slow.
const CHANGES: usize = 8;
const SLOW_START: Duration = Duration::from_secs(3);
const CHANGES_OF_SLOW: usize = 1;
/// For the system to have its memory back, and for the requests before a change.
const REST: Duration = Duration::from_millis(700);

type Failure = Box<dyn std::error::Error>;

/// Reads a message without a body; false where the connection has ended.
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
fn serve(handle: impl Fn(BufReader<TcpStream>) + Clone + Send + 'static) -> Result<SocketAddr, Failure> {
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

fn backend(mut stream: BufReader<TcpStream>) {
    while read_head(&mut stream) {
        let answer = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
        if stream.get_mut().write_all(answer).is_err() {
            return;
        }
    }
}

/// Discovery: the list, and a sign of life for as long as somebody listens.
fn agent(mut stream: BufReader<TcpStream>, backend: SocketAddr) {
    read_head(&mut stream);
    let entry = format!(
        r#"{{"name":"s","address":"{backend}","zone":"a","type":"m","group":1,"status":"in_service","weight":1.0,"since_ms":0}}"#
    );
    let line = format!(r#"{{"index":8,"snapshot":true,"endpoints":[{entry}]}}"#) + "\n";
    let chunk = |text: &str| format!("{:x}\r\n{text}\r\n", text.len());
    let mut next = format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{}", chunk(&line));
    while stream.get_mut().write_all(next.as_bytes()).is_ok() {
        sleep(Duration::from_millis(500));
        next = chunk("\n");
    }
}

/// `round` says how often the file was replaced: the allowances change each time.
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

/// A node under measurement; it ends with this.
struct Node {
    child: Child,
    config: PathBuf,
    lines: Receiver<String>,
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
        let (logged, lines) = channel();
        spawn(move || log.lines().map_while(Result::ok).try_for_each(|line| logged.send(line)));
        Ok(Node { child, config, lines, started })
    }

    /// Waits for a line of its log.
    fn logged(&self, text: &str, longest: Duration) -> Result<String, Failure> {
        let until = Instant::now() + longest;
        loop {
            let line = self.lines.recv_timeout(until.saturating_duration_since(Instant::now()))?;
            if line.contains(text) {
                return Ok(line);
            }
        }
    }

    /// Processor time until now, of the thread that serves.
    fn processor(&self) -> Result<Duration, Failure> {
        let stat = read_to_string(format!("/proc/{}/schedstat", self.child.id()))?;
        Ok(Duration::from_nanos(stat.split(' ').next().unwrap_or_default().parse()?))
    }

    /// A figure of its memory, in MB.
    fn memory(&self, key: &str) -> Result<f64, Failure> {
        let status = read_to_string(format!("/proc/{}/status", self.child.id()))?;
        let line = status.lines().find(|line| line.starts_with(key)).ok_or("no such figure")?;
        let kib: f64 = line.split_whitespace().nth(1).ok_or("no figure")?.parse()?;
        Ok(kib / 1024.0)
    }

    fn hang_up(&self) -> Result<(), Failure> {
        let id = self.child.id().to_string();
        Command::new("kill").args(["-HUP", &id]).status()?.success().then_some(()).ok_or("no signal")?;
        Ok(())
    }
}

/// One call over a connection that stays open: its status.
fn call(stream: &mut BufReader<TcpStream>, head: &str) -> Result<u16, Failure> {
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

/// When a request was due, and how long after that it had its answer.
type Sample = (Instant, Duration);

/// Sends requests at an even pace until it is told to end. One that is held up does not hold up the time of the next one.
fn load(address: SocketAddr, (tenants, classes): (usize, usize), end: Receiver<()>) -> Vec<Sample> {
    let Ok(stream) = TcpStream::connect(address) else { return Vec::new() };
    let _ = stream.set_nodelay(true);
    let (mut stream, mut samples, mut due) = (BufReader::new(stream), Vec::new(), Instant::now());
    while end.try_recv().is_err() {
        sleep(due.saturating_duration_since(Instant::now()));
        // Those whose names stand last, and others by turns.
        let (class, tenant) = (classes - 1 - samples.len() % classes, tenants - 1 - samples.len() % tenants);
        let head = format!(
            "GET /route-{class:05}/1 HTTP/1.1\r\nHost: n\r\nX-Call-Id: 1\r\nX-Budget-Ms: 5000\r\nX-Caller: tenant-{tenant:06}\r\n\r\n"
        );
        match call(&mut stream, &head) {
            // A refusal is an answer too, and waits as long.
            Ok(200 | 503) => samples.push((due, due.elapsed())),
            other => {
                eprintln!("a request was answered otherwise: {other:?}");
                return samples;
            }
        }
        due += GAP;
    }
    samples
}

/// In ms; the part of all that waited no longer.
fn quantile(samples: &[Duration], part: f64) -> f64 {
    let mut sorted = samples.to_vec();
    sorted.sort();
    let place = ((sorted.len() as f64 * part).ceil() as usize).clamp(1, sorted.len().max(1)) - 1;
    sorted.get(place).map_or(f64::NAN, |wait| wait.as_secs_f64() * 1e3)
}

fn measure(name: &str, binary: &Path, size: (usize, usize)) -> Result<(), Failure> {
    let backend = serve(backend)?;
    let discovery = serve(move |stream| agent(stream, backend))?;
    let text = config(discovery, size, 0);
    let node = Node::start(binary, &text)?;
    let listens = node.logged(" listens on ", LONGEST_START).map_err(|_| "never ready")?;
    let address: SocketAddr = listens.rsplit(' ').next().unwrap_or_default().parse()?;
    let mut probe = BufReader::new(TcpStream::connect(address)?);
    while call(&mut probe, "GET /health/ready HTTP/1.1\r\nHost: n\r\n\r\n")? != 200 {
        sleep(Duration::from_millis(1));
    }
    let (ready, processor) = (node.started.elapsed(), node.processor()?);
    sleep(REST);
    let (steady, peak) = (node.memory("VmRSS")?, node.memory("VmHWM")?);

    let (end, ends) = channel();
    let requests = spawn(move || load(address, size, ends));
    let mut windows = Vec::new();
    let changes = if ready > SLOW_START { CHANGES_OF_SLOW } else { CHANGES };
    for round in 1..=changes {
        sleep(REST);
        write(&node.config, config(discovery, size, round))?;
        let begun = Instant::now();
        node.hang_up()?;
        node.logged("told to look again", LONGEST_START)?;
        windows.push((begun, Instant::now() + 4 * GAP));
    }
    sleep(REST);
    let (steady_after, peak_after) = (node.memory("VmRSS")?, node.memory("VmHWM")?);
    end.send(())?;
    let samples = requests.join().map_err(|_| "the requests broke off")?;
    let meets = |(due, wait): &Sample| windows.iter().any(|(from, to)| *due + *wait >= *from && due <= to);
    let (during, apart): (Vec<_>, Vec<_>) = samples.into_iter().partition(meets);
    let waits = |samples: Vec<Sample>| samples.into_iter().map(|(_, wait)| wait).collect::<Vec<_>>();
    let (during, apart) = (waits(during), waits(apart));
    let lasted: Duration = windows.iter().map(|(from, to)| *to - *from).sum();
    println!(
        "| {name} | {} | {} | {:.1} | {:.2} | {:.2} | {steady:.1} ({peak:.1}) | {steady_after:.1} ({peak_after:.1}) | {:.0} | {} | {:.2} | {:.2} | {:.2} | {:.2} |",
        size.0,
        size.1,
        text.len() as f64 / 1e6,
        ready.as_secs_f64(),
        processor.as_secs_f64(),
        lasted.as_secs_f64() * 1e3 / changes as f64,
        during.len(),
        quantile(&apart, 0.99),
        quantile(&during, 0.5),
        quantile(&during, 0.99),
        quantile(&during, 1.0),
    );
    Ok(())
}

fn main() {
    let named =
        std::env::var("SILLWARDS").unwrap_or_else(|_| format!("this={}", env!("CARGO_BIN_EXE_sillward")));
    println!(
        "| node | tenants | classes | file MB | ready s | processor s | memory MB (peak) | after changes (peak) | change ms | requests meanwhile | else p99 ms | p50 ms | p99 ms | longest ms |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    for size in SIZES {
        for (name, binary) in named.split(',').filter_map(|binary| binary.split_once('=')) {
            if let Err(failure) = measure(name, Path::new(binary), size) {
                println!("| {name} | {} | {} | {failure} |", size.0, size.1);
            }
        }
    }
}
