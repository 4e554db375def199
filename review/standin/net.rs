//! Plumbing that all cases share: the record, child processes, the stand-in for discovery, and a small HTTP
//! client.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{self, BufRead, BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

extern "C" {
    fn prctl(option: i32, ...) -> i32;
    fn kill(pid: i32, signal: i32) -> i32;
    fn ioctl(fd: i32, request: u64, ...) -> i32;
}
pub const SIGKILL: i32 = 9;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

/// Sends a signal to a process that this test started.
pub fn signal(pid: u32, signal: i32) {
    unsafe { kill(pid as i32, signal) };
}

/// Bytes that were written to a socket and that the peer's machine has not acknowledged yet.
pub fn unacknowledged(stream: &TcpStream) -> usize {
    const TIOCOUTQ: u64 = 0x5411;
    let mut bytes: i32 = 0;
    if unsafe { ioctl(stream.as_raw_fd(), TIOCOUTQ, &mut bytes as *mut i32) } != 0 {
        return usize::MAX;
    }
    bytes as usize
}

// The record -------------------------------------------------------------------------------------------------

static START: OnceLock<Instant> = OnceLock::new();
static RECORD: OnceLock<Mutex<File>> = OnceLock::new();

/// Milliseconds since the start of the test.
pub fn ms() -> f64 {
    START.get_or_init(Instant::now).elapsed().as_secs_f64() * 1e3
}

pub fn open_record(path: &str) {
    ms();
    let _ = RECORD.set(Mutex::new(File::create(path).expect("the record can be written")));
}

/// Adds a line to `record.txt`.
pub fn record(line: impl AsRef<str>) {
    if let Some(file) = RECORD.get() {
        let _ = writeln!(file.lock().unwrap(), "{:10.1} {}", ms(), line.as_ref());
    }
}

/// Adds a line to `record.txt` and prints it.
pub fn say(line: impl AsRef<str>) {
    println!("{}", line.as_ref());
    record(line);
}

// Random numbers ---------------------------------------------------------------------------------------------

/// SplitMix64.
pub struct Random(pub u64);

impl Random {
    pub fn new(seed: u64) -> Self {
        let time = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_nanos() as u64;
        Random(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ time)
    }
    pub fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let z = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }
    /// From 0 to 1.
    pub fn unit(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1u64 << 53) as f64
    }
    pub fn between(&mut self, low: f64, high: f64) -> f64 {
        low + (high - low) * self.unit()
    }
}

// Child processes --------------------------------------------------------------------------------------------

static CHILDREN: Mutex<Vec<Child>> = Mutex::new(Vec::new());

/// Starts a process that dies with this one.
pub fn spawn(command: &mut Command) -> (u32, Option<std::process::ChildStdout>) {
    unsafe {
        command.pre_exec(|| {
            prctl(1, SIGKILL); // PR_SET_PDEATHSIG
            Ok(())
        });
    }
    let mut child = command.spawn().expect("a process can be started");
    let (pid, stdout) = (child.id(), child.stdout.take());
    CHILDREN.lock().unwrap().push(child);
    (pid, stdout)
}

/// Whether a process that this test started has ended.
pub fn has_ended(pid: u32) -> bool {
    let mut children = CHILDREN.lock().unwrap();
    let child = children.iter_mut().find(|child| child.id() == pid);
    child.is_none_or(|child| matches!(child.try_wait(), Ok(Some(_))))
}

/// Ends all processes that this test started, and then this one.
pub fn finish(code: i32) -> ! {
    for child in CHILDREN.lock().unwrap().iter_mut() {
        let _ = child.kill();
        let _ = child.wait();
    }
    remove_folder();
    say(format!("exit {code}"));
    std::process::exit(code)
}

/// Ends everything with 2 if the test takes too long.
pub fn watchdog(limit: Duration) {
    thread::spawn(move || {
        thread::sleep(limit);
        say("the test took too long");
        finish(2)
    });
}

static FOLDER: OnceLock<PathBuf> = OnceLock::new();

/// Removes the temporary folder of this run.
pub fn remove_folder() {
    if let Some(folder) = FOLDER.get() {
        let _ = std::fs::remove_dir_all(folder);
    }
}

/// A temporary folder of this run.
pub fn folder() -> &'static Path {
    FOLDER.get_or_init(|| {
        let folder = std::env::temp_dir().join(format!("hillpick-review-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a temporary folder");
        folder
    })
}

/// A loopback port that is free now.
pub fn free_port() -> u16 {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap().port()
}

// The roster servers -----------------------------------------------------------------------------------------

/// A stand-in for a roster server: a process of its own, see `server.rs`.
pub struct Server {
    pub name: String,
    pub port: u16,
    pub pid: u32,
    pub zone: &'static str,
    pub rack: u16,
}

/// One line of a roster server: when it came, which server, and its words.
pub type Event = (f64, usize, Vec<String>);

/// Starts a roster server. Its lines go to the record and to `events`.
pub fn start_server(
    index: usize,
    zone: &'static str,
    rack: u16,
    options: &[String],
    events: &Arc<Mutex<Vec<Event>>>,
) -> Server {
    let name = format!("s-{index:02}");
    let this = std::env::current_exe().expect("this program");
    let mut command = Command::new(this);
    command.arg("server").args(options).stdin(Stdio::piped()).stdout(Stdio::piped());
    let (pid, stdout) = spawn(&mut command);
    let mut lines = BufReader::new(stdout.expect("its output"));
    let mut first = String::new();
    lines.read_line(&mut first).expect("its port");
    let port = first.trim().strip_prefix("LISTEN ").and_then(|port| port.parse().ok()).expect("its port");
    let (events, label) = (events.clone(), name.clone());
    thread::spawn(move || {
        for line in lines.lines() {
            let Ok(line) = line else { return };
            record(format!("server {label} {line}"));
            let words = line.split(' ').map(str::to_owned).collect();
            events.lock().unwrap().push((ms(), index, words));
        }
    });
    Server { name, port, pid, zone, rack }
}

// Discovery --------------------------------------------------------------------------------------------------

struct DiscoveryState {
    index: u64,
    entries: BTreeMap<String, String>,
    watches: Vec<TcpStream>,
}

/// A stand-in for the agent of discovery: it answers at once with what it has.
#[derive(Clone)]
pub struct Discovery {
    pub port: u16,
    state: Arc<Mutex<DiscoveryState>>,
}

fn chunk(stream: &mut TcpStream, text: &str) -> io::Result<()> {
    stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())
}

impl Discovery {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let port = listener.local_addr().unwrap().port();
        let state = DiscoveryState { index: 1, entries: BTreeMap::new(), watches: Vec::new() };
        let discovery = Discovery { port, state: Arc::new(Mutex::new(state)) };
        let shared = discovery.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = shared.clone();
                thread::spawn(move || shared.serve(stream));
            }
        });
        discovery
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut reader) = stream.try_clone().map(BufReader::new) else { return };
        let Some(head) = read_head(&mut reader) else { return };
        {
            let mut state = self.state.lock().unwrap();
            let entries: Vec<_> = state.entries.values().cloned().collect();
            let list = format!(
                "{{\"index\":{},\"snapshot\":true,\"endpoints\":[{}]}}\n",
                state.index,
                entries.join(",")
            );
            if !head[0].contains("stream=1") {
                let _ = write!(stream, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len());
                return;
            }
            if stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").is_err() {
                return;
            }
            let _ = chunk(&mut stream, &list);
            if let Ok(watch) = stream.try_clone() {
                state.watches.push(watch);
            }
        }
        loop {
            thread::sleep(Duration::from_millis(2000));
            let _state = self.state.lock().unwrap();
            if chunk(&mut stream, "\n").is_err() {
                return;
            }
        }
    }

    /// Tells a change of the list to all nodes.
    pub fn tell(&self, server: &Server, status: &str, since_ms: u64) {
        let entry = format!(
            "{{\"name\":\"{}\",\"address\":\"127.0.0.1:{}\",\"zone\":\"{}\",\"type\":\"std-a\",\"group\":{},\
             \"status\":\"{status}\",\"weight\":1.0,\"since_ms\":{since_ms}}}",
            server.name, server.port, server.zone, server.rack
        );
        record(format!("discovery tells {entry}"));
        let mut state = self.state.lock().unwrap();
        state.index += 1;
        let line = format!("{{\"index\":{},\"snapshot\":false,\"endpoints\":[{entry}]}}\n", state.index);
        if status == "terminated" {
            state.entries.remove(&server.name);
        } else {
            state.entries.insert(server.name.clone(), entry);
        }
        state.watches.retain_mut(|watch| chunk(watch, &line).is_ok());
    }
}

// The nodes --------------------------------------------------------------------------------------------------

/// A real node, started by the command `run` of the deploy file.
pub struct Node {
    pub name: String,
    pub port: u16,
    pub pid: u32,
}

/// What a test chooses of a node's configuration.
pub struct NodeOptions<'a> {
    pub settings: &'a str,
    pub memory_mb: u32,
    pub sockets: u32,
}

/// The command `run` of deploy/balancer.toml.
fn run_command() -> String {
    let text = std::fs::read_to_string("deploy/balancer.toml").expect("the deploy file");
    let line = text.lines().find_map(|line| line.strip_prefix("run = \"")).expect("the command `run`");
    line.split('"').next().unwrap_or_default().to_owned()
}

pub fn start_node(index: usize, discovery: &Discovery, options: &NodeOptions) -> Node {
    let (name, port) = (format!("n{index}"), free_port());
    let own = folder().join(&name);
    std::fs::create_dir_all(&own).expect("a folder");
    let config = format!(
        "{{\"name\":\"{name}\",\"listen\":\"127.0.0.1:{port}\",\"discovery\":\"127.0.0.1:{}\",\
         \"seed\":\"{:x}\",\"limits\":{{\"cores\":1.0,\"memory_mb\":{},\"sockets\":{}}},\
         \"known\":{{\"index\":0,\"snapshot\":true,\"endpoints\":[]}},\"settings\":{}}}",
        discovery.port,
        Random::new(index as u64).next(),
        options.memory_mb,
        options.sockets,
        options.settings.replace("$ORDINAL", &index.to_string())
    );
    let path = own.join("config.json");
    std::fs::write(&path, &config).expect("its configuration");
    record(format!("configuration of {name}: {config}"));
    let mut command = Command::new("/bin/sh");
    command.arg("-c").arg(run_command());
    command.env("PROXY_CONFIG", &path).env("PROXY_NAME", &name).env("TMPDIR", &own);
    command.env("PROXY_LISTEN", format!("127.0.0.1:{port}"));
    command.env("PROXY_DISCOVERY", format!("127.0.0.1:{}", discovery.port));
    let log = File::create(own.join("log")).expect("its log");
    command.stdin(Stdio::null()).stdout(log.try_clone().unwrap()).stderr(log);
    let (pid, _) = spawn(&mut command);
    Node { name, port, pid }
}

/// Waits until all nodes say that they are ready; ends the test with 2 if they don't.
pub fn wait_ready(nodes: &[Node]) {
    let end = Instant::now() + Duration::from_secs(20);
    for node in nodes {
        while !is_ready(node) {
            if Instant::now() > end {
                say(format!("{} is not ready", node.name));
                finish(2);
            }
            thread::sleep(Duration::from_millis(50));
        }
        record(format!("{} is ready", node.name));
    }
}

pub fn is_ready(node: &Node) -> bool {
    let Ok(mut client) = Client::open(node.port) else { return false };
    let asked = client.write(b"GET /health/ready HTTP/1.1\r\nHost: service.internal\r\n\r\n");
    asked.is_ok() && client.answer(Duration::from_secs(1)).is_ok_and(|answer| answer.status == 200)
}

/// Copies the end of each node's log to the record.
pub fn record_logs(nodes: &[Node]) {
    for node in nodes {
        let log = std::fs::read_to_string(folder().join(&node.name).join("log")).unwrap_or_default();
        let lines: Vec<_> = log.lines().collect();
        for line in &lines[lines.len().saturating_sub(30)..] {
            record(format!("log of {}: {line}", node.name));
        }
        if has_ended(node.pid) {
            say(format!("{} has ended by itself", node.name));
        }
    }
}

// HTTP -------------------------------------------------------------------------------------------------------

/// The lines of a message's head; `None` at the end of the stream.
pub fn read_head(reader: &mut impl BufRead) -> Option<Vec<String>> {
    let mut lines = Vec::new();
    loop {
        let mut line = Vec::new();
        if reader.read_until(b'\n', &mut line).ok()? == 0 {
            return None;
        }
        let line = String::from_utf8_lossy(&line).trim_end().to_owned();
        if line.is_empty() {
            if lines.is_empty() {
                continue;
            }
            return Some(lines);
        }
        lines.push(line);
    }
}

pub fn header<'a>(head: &'a [String], name: &str) -> Option<&'a str> {
    head.iter().skip(1).find_map(|line| {
        let (key, value) = line.split_once(':')?;
        key.trim().eq_ignore_ascii_case(name).then_some(value.trim())
    })
}

/// A body with a length or in chunks. An answer with neither ends with its connection.
pub fn read_body(reader: &mut impl BufRead, head: &[String], until_end: bool) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    if header(head, "transfer-encoding").is_some_and(|value| value.eq_ignore_ascii_case("chunked")) {
        loop {
            let mut line = String::new();
            reader.read_line(&mut line)?;
            let size = line.trim().split(';').next().unwrap_or_default();
            let size = usize::from_str_radix(size, 16).map_err(|_| io::ErrorKind::InvalidData)?;
            let start = body.len();
            body.resize(start + size, 0);
            reader.read_exact(&mut body[start..])?;
            reader.read_line(&mut line)?;
            if size == 0 {
                return Ok(body);
            }
        }
    }
    match header(head, "content-length").map(str::parse::<usize>) {
        Some(Ok(length)) => {
            body.resize(length, 0);
            reader.read_exact(&mut body)?;
        }
        Some(Err(_)) => return Err(io::ErrorKind::InvalidData.into()),
        None if until_end => drop(reader.read_to_end(&mut body)?),
        None => {}
    }
    Ok(body)
}

pub struct Answer {
    pub status: u16,
    pub close: bool,
    pub body: Vec<u8>,
}

/// A client's connection.
pub struct Client {
    pub stream: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Client {
    pub fn open(port: u16) -> io::Result<Self> {
        let stream = TcpStream::connect(("127.0.0.1", port))?;
        stream.set_nodelay(true)?;
        let reader = BufReader::new(stream.try_clone()?);
        Ok(Client { stream, reader })
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// The answer, if it comes whole within this time.
    pub fn answer(&mut self, within: Duration) -> io::Result<Answer> {
        self.stream.set_read_timeout(Some(within))?;
        if self.reader.fill_buf()?.is_empty() {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let head = read_head(&mut self.reader).ok_or(io::ErrorKind::UnexpectedEof)?;
        let status = head[0].split(' ').nth(1).and_then(|status| status.parse().ok());
        let status = status.ok_or(io::ErrorKind::InvalidData)?;
        let body = read_body(&mut self.reader, &head, true)?;
        let close = header(&head, "connection").is_some_and(|value| value.eq_ignore_ascii_case("close"));
        Ok(Answer { status, close, body })
    }
}

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// A new id for a request or a key, of 16 hexadecimal digits.
pub fn new_id() -> String {
    let number = NEXT_ID.fetch_add(1, Ordering::Relaxed);
    format!("{:04x}{number:012x}", std::process::id() & 0xffff)
}

/// The text of a request that is safe to repeat. `cost_ms` is the client's guess at the work.
pub fn view(id: &str, budget_ms: u64, cost_ms: u64) -> Vec<u8> {
    record(format!("client sends {id}, a view, budget {budget_ms} ms"));
    format!(
        "GET /view-shifts/{id} HTTP/1.1\r\nHost: service.internal\r\nX-Call-Id: {id}\r\n\
         X-Budget-Ms: {budget_ms}\r\nX-Call-Cost: {cost_ms}000\r\n\r\n"
    )
    .into_bytes()
}

/// The text of a keyed request. `cost_ms` is the client's guess at the work.
pub fn claim(id: &str, key: &str, budget_ms: u64, cost_ms: u64, length: usize) -> Vec<u8> {
    record(format!("client sends {id}, a claim, key {key}, {length} bytes, budget {budget_ms} ms"));
    let head = format!(
        "POST /claim-shift/{key} HTTP/1.1\r\nHost: service.internal\r\nX-Call-Id: {id}\r\n\
         X-Budget-Ms: {budget_ms}\r\nX-Call-Cost: {cost_ms}000\r\nIdempotency-Key: {key}\r\nContent-Length: {length}\r\n\r\n"
    );
    let mut text = head.into_bytes();
    text.resize(text.len() + length, b'c');
    text
}
