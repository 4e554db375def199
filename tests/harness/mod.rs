//! A node under test, run as its users run it, and scripted peers round it: backends, discovery, clients.
//! Everything waits for events; TEST_TIMEOUT only ends a test that has gone wrong.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::thread::spawn;
use std::time::{Duration, Instant};

pub const TEST_TIMEOUT: Duration = Duration::from_secs(30);

/// A message as a peer sees it.
#[derive(Clone, Debug)]
pub struct Message {
    /// Its first line.
    pub start_line: String,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn status(&self) -> u16 {
        self.start_line.split(' ').nth(1).and_then(|status| status.parse().ok()).expect("a status")
    }
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).map(String::as_str)
    }
}

/// Reads one message with a length or in chunks; `None` if the connection ends first.
pub fn read_message(stream: &mut impl BufRead) -> Option<Message> {
    let mut line = || {
        let mut line = String::new();
        stream.read_line(&mut line).ok().filter(|n| *n > 0).map(|_| line.trim_end().to_owned())
    };
    let start = line()?;
    let mut headers = BTreeMap::new();
    loop {
        let header = line()?;
        let Some((name, value)) = header.split_once(": ") else { break };
        headers.insert(name.to_lowercase(), value.to_owned());
    }
    let mut body = Vec::new();
    let mut take = |stream: &mut dyn BufRead, length: usize| {
        let before = body.len();
        body.resize(before + length, 0);
        stream.read_exact(&mut body[before..]).ok()
    };
    if headers.get("transfer-encoding").is_some_and(|encoding| encoding == "chunked") {
        loop {
            let mut line = String::new();
            stream.read_line(&mut line).ok().filter(|n| *n > 0)?;
            let length = usize::from_str_radix(line.trim_end(), 16).expect("a chunk's length");
            take(stream, length)?;
            let mut end = [0; 2];
            stream.read_exact(&mut end).ok()?;
            assert_eq!(end, *b"\r\n", "the end of a chunk; no trailers are sent on");
            if length == 0 {
                break;
            }
        }
    } else {
        take(stream, headers.get("content-length").map_or(0, |length| length.parse().expect("a length")))?;
    }
    Some(Message { start_line: start, headers, body })
}

// ---- Backends -----------------------------------------------------------------------------------

/// What a scripted backend does with a request.
pub enum Reply {
    /// A whole answer: status line after the version, headers, body.
    Answer(&'static str, &'static str, Vec<u8>),
    /// These bytes, and then the connection ends.
    Close(Vec<u8>),
    /// Nothing, for as long as the node waits.
    Silence,
    /// What it writes itself, over which it may take its time; the connection ends then.
    Write(Box<dyn FnOnce(&mut TcpStream) + Send>),
}

pub fn ok(body: &str) -> Reply {
    Reply::Answer("200 OK", "", body.into())
}

pub enum BackendEvent {
    Request { connection: usize, message: Message },
    Closed { connection: usize },
}

pub struct Backend {
    pub address: SocketAddr,
    seen: Receiver<BackendEvent>,
    pub requests: Arc<AtomicUsize>,
}

impl Backend {
    pub fn start(script: impl Fn(&Message) -> Reply + Send + Sync + 'static) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("its address");
        let (saw, seen) = channel();
        let requests = Arc::new(AtomicUsize::new(0));
        let (script, count) = (Arc::new(script), requests.clone());
        spawn(move || {
            for (connection, stream) in listener.incoming().enumerate() {
                let (stream, saw) = (stream.expect("a connection"), saw.clone());
                let (script, count) = (script.clone(), count.clone());
                spawn(move || serve(stream, connection, &saw, &count, &*script));
            }
        });
        Backend { address, seen, requests }
    }

    pub fn next_event(&self) -> BackendEvent {
        self.seen.recv_timeout(TEST_TIMEOUT).expect("something at the backend")
    }
    /// The next request, and the number of its connection.
    pub fn next_request(&self) -> (usize, Message) {
        loop {
            if let BackendEvent::Request { connection, message } = self.next_event() {
                return (connection, message);
            }
        }
    }
    /// The number of the connection that ends next.
    pub fn next_closed(&self) -> usize {
        loop {
            if let BackendEvent::Closed { connection } = self.next_event() {
                return connection;
            }
        }
    }
    /// Whether a connection has ended; passes over what came before that.
    pub fn has_closed(&self) -> bool {
        self.seen.try_iter().any(|seen| matches!(seen, BackendEvent::Closed { .. }))
    }
    pub fn request_count(&self) -> usize {
        self.requests.load(Ordering::SeqCst)
    }
}

fn serve(
    stream: TcpStream,
    connection: usize,
    saw: &Sender<BackendEvent>,
    count: &AtomicUsize,
    script: &impl Fn(&Message) -> Reply,
) {
    let mut reader = BufReader::new(stream.try_clone().expect("a handle"));
    let mut writer = stream;
    while let Some(message) = read_message(&mut reader) {
        count.fetch_add(1, Ordering::SeqCst);
        let _ = saw.send(BackendEvent::Request { connection, message: message.clone() });
        match script(&message) {
            Reply::Answer(status, headers, body) => {
                let head = format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n", body.len());
                let _ = writer.write_all(&[head.as_bytes(), &body].concat());
            }
            Reply::Close(bytes) => {
                let _ = writer.write_all(&bytes);
                let _ = writer.shutdown(Shutdown::Both);
                break;
            }
            Reply::Silence => {}
            Reply::Write(write) => {
                write(&mut writer);
                let _ = writer.shutdown(Shutdown::Both);
                break;
            }
        }
    }
    let _ = saw.send(BackendEvent::Closed { connection });
}

// ---- Discovery ----------------------------------------------------------------------------------

pub struct Discovery {
    pub address: SocketAddr,
    calls: Receiver<Watch>,
}

/// A call of the node's to discovery, answered by the test. Once it is open an empty line follows every half second, so
/// that a slow machine's test does not fall silent, until it is to be `hushed`.
pub struct Watch {
    pub start_line: String,
    stream: Arc<Mutex<TcpStream>>,
    hushed: Arc<AtomicBool>,
}

const BEAT: Duration = Duration::from_millis(500);

pub fn write_chunk(stream: &mut TcpStream, text: &str) -> std::io::Result<()> {
    stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())
}

impl Discovery {
    pub fn start() -> Self {
        Discovery::on(TcpListener::bind("127.0.0.1:0").expect("a port"))
    }
    pub fn on(listener: TcpListener) -> Self {
        let address = listener.local_addr().expect("its address");
        let (called, calls) = channel();
        spawn(move || {
            for stream in listener.incoming() {
                let stream = stream.expect("a connection");
                let mut reader = BufReader::new(stream.try_clone().expect("a handle"));
                let Some(message) = read_message(&mut reader) else { continue };
                let watch = Watch {
                    start_line: message.start_line,
                    stream: Arc::new(Mutex::new(stream)),
                    hushed: Arc::default(),
                };
                if called.send(watch).is_err() {
                    return;
                }
            }
        });
        Discovery { address, calls }
    }
    pub fn next_call(&self) -> Watch {
        self.calls.recv_timeout(TEST_TIMEOUT).expect("a call to discovery")
    }
    /// Tells a node its list, and waits until that shows. A call that the node gave up meanwhile, on a busy machine, it
    /// makes again: that one is told the same.
    pub fn send_list_until(&self, line: &str, shows: impl Fn() -> bool, what: &str) -> Watch {
        let mut watch = self.next_call();
        let told = |watch: &Watch| {
            watch.try_with(|stream| {
                stream.write_all(OPEN.as_bytes()).and_then(|()| write_chunk(stream, line))
            });
            watch.start_heartbeat();
        };
        told(&watch);
        wait_until(
            || {
                if let Ok(again) = self.calls.try_recv() {
                    watch = again;
                    told(&watch);
                }
                shows()
            },
            what,
        );
        watch
    }
    /// Answers every call with this line from now on, those that nobody waits for any more as well.
    pub fn answer_all_calls(self, line: &str) {
        let line = line.to_owned();
        spawn(move || {
            let mut open = Vec::new();
            for watch in self.calls {
                watch.try_with(|stream| {
                    stream.write_all(OPEN.as_bytes()).and_then(|()| write_chunk(stream, &line))
                });
                watch.start_heartbeat();
                open.push(watch);
            }
        });
    }
}

const OPEN: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

impl Watch {
    pub fn open(&mut self) {
        self.write(OPEN);
        self.start_heartbeat();
    }
    pub fn send_line(&mut self, line: &str) {
        self.send_chunk(&format!("{line}\n"));
    }
    /// Any piece of a line, or of several.
    pub fn send_chunk(&mut self, text: &str) {
        assert!(self.try_with(|stream| write_chunk(stream, text)), "the node listens to discovery");
    }
    pub fn write(&mut self, text: &str) {
        let wrote = self.try_with(|stream| stream.write_all(text.as_bytes()));
        assert!(wrote, "the node listens to discovery");
    }
    /// Nothing more comes by itself.
    pub fn stop_heartbeat(&self) {
        let _stream = self.stream.lock().expect("the stream"); // nothing is on its way
        self.hushed.store(true, Ordering::SeqCst);
    }
    /// Ends the connection.
    pub fn close(&self) {
        self.try_with(|stream| stream.shutdown(Shutdown::Both));
    }
    /// Resets it, if the test holds nothing else of it.
    pub fn reset(self) {
        self.stop_heartbeat();
        let lingers_not = Some(Duration::ZERO);
        self.try_with(|stream| Ok(rustix::net::sockopt::set_socket_linger(stream, lingers_not)?));
    }
    pub fn try_with(&self, act: impl FnOnce(&mut TcpStream) -> std::io::Result<()>) -> bool {
        act(&mut self.stream.lock().expect("the stream")).is_ok()
    }
    /// For as long as the test holds this.
    pub fn start_heartbeat(&self) {
        let (stream, hushed) = (Arc::downgrade(&self.stream), self.hushed.clone());
        spawn(move || {
            loop {
                std::thread::sleep(BEAT);
                let Some(stream) = stream.upgrade() else { return };
                let mut stream = stream.lock().expect("the stream");
                if hushed.load(Ordering::SeqCst) || write_chunk(&mut stream, "\n").is_err() {
                    return;
                }
            }
        });
    }
}

pub fn entry(name: &str, address: SocketAddr, status: &str) -> String {
    format!(
        r#"{{"name":"{name}","address":"{address}","zone":"a","type":"m","group":1,"status":"{status}","weight":1.0,"since_ms":0}}"#
    )
}

pub fn list(index: u64, snapshot: bool, entries: &[String]) -> String {
    format!(r#"{{"index":{index},"snapshot":{snapshot},"endpoints":[{}]}}"#, entries.join(","))
}

// ---- The node -----------------------------------------------------------------------------------

/// Classes `read` (safe), `submit` (keyed) and `correct` (unsafe), all with the same times.
pub fn settings(aim_ms: u64, permissions: &str) -> String {
    let class = |name: &str, kind: &str| {
        format!(
            r#"{{"Name":"{name}","Target":{aim_ms},"GiveUp":{aim_ms},"Idempotency":"{kind}","Group":"zone","Window":60000}}"#
        )
    };
    let classes =
        [class("read", "free"), class("submit", "guarded"), class("correct", "single_shot")].join(",");
    format!(
        r#"{{"Classes":[{classes}],"Projects":[{{"Name":"acme","AllowancePerS":1000,"Share":1}}],
        "Localities":["a","b"],"HostTypes":["m"],"Quantum":5,"OverShareWorth":1,"Rules":{{"DrainGrace":2000}},
        "Goal":{{"Whole":1}},"LoadReport":{{"Columns":["concurrent","depth"],"Via":"piggyback"}},
        "Permissions":{{"AttemptsCap":3,"Cancel":true,"ConnectTimeout":2000,"MaxRetryAfter":1500,
        "RetryAfter":true{permissions}}}}}"#
    )
}

pub struct Node {
    child: Child,
    config: PathBuf,
    /// Where its processes meet: a directory of its own.
    pub tmp: PathBuf,
    pub address: SocketAddr,
    log: Arc<Mutex<Vec<String>>>,
}

static NUMBER: AtomicUsize = AtomicUsize::new(0);

/// The node's command, with its configuration in a file. `shell` goes before it.
pub fn command(config: &str, shell: &str) -> Command {
    let number = NUMBER.fetch_add(1, Ordering::SeqCst);
    let name = format!("config-{}-{number}.json", std::process::id());
    let path = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, config).expect("a place for the configuration");
    let mut command = Command::new("/bin/sh");
    command.arg("-c").arg(format!("{shell}exec \"$0\"")).arg(env!("CARGO_BIN_EXE_sillward"));
    command.env("PROXY_CONFIG", &path).stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::piped());
    command
}

pub fn config(discovery: SocketAddr, settings: &str, sockets: usize) -> String {
    format!(
        r#"{{"name":"n0","listen":"127.0.0.1:0","discovery":"{discovery}","seed":"8c1f30d27a5be964",
        "limits":{{"cores":1.0,"memory_mb":192,"sockets":{sockets}}},
        "known":{{"index":7,"snapshot":true,"endpoints":[]}},"settings":{settings}}}"#
    )
}

/// With an address for the operators' calls.
pub fn with_ops(config: &str) -> String {
    config.replacen('{', r#"{"ops":"127.0.0.1:0","#, 1)
}

impl Node {
    pub fn start(config: &str, shell: &str) -> Self {
        // A short name: that of a Unix socket has a narrow bound.
        let number = NUMBER.fetch_add(1, Ordering::SeqCst);
        let tmp = std::env::temp_dir().join(format!("sw-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&tmp).expect("a directory");
        Node::start_in(&tmp, config, shell)
    }

    pub fn start_in(tmp: &std::path::Path, config: &str, shell: &str) -> Self {
        let mut command = command(config, shell);
        command.env("TMPDIR", tmp);
        let config = command.get_envs().find_map(|(name, value)| value.filter(|_| name == "PROXY_CONFIG"));
        let config = PathBuf::from(config.expect("its configuration"));
        let mut child = command.spawn().expect("the node starts");
        let mut lines = BufReader::new(child.stderr.take().expect("its log")).lines().map_while(Result::ok);
        let mut before = Vec::new();
        let address = loop {
            let line = lines.next().unwrap_or_else(|| panic!("no address: {before:?}"));
            let address = line.contains(" listens on ").then(|| line.rsplit(' ').next()?.parse().ok());
            before.push(line);
            if let Some(address) = address.flatten() {
                break address;
            }
        };
        let log = Arc::new(Mutex::new(before));
        let kept = log.clone();
        spawn(move || lines.for_each(|line| kept.lock().expect("the log").push(line)));
        Node { child, config, tmp: tmp.to_owned(), address, log }
    }

    pub fn client(&self) -> Client {
        Client::connect(self.address)
    }

    pub fn is_ready(&self) -> bool {
        self.client().request("GET /health/ready", "", b"").status() == 200
    }

    /// Waits until the log holds such a line, and returns it.
    pub fn wait_for_log(&self, text: &str) -> String {
        let mut found = None;
        let mut find = || {
            found = self.log.lock().expect("the log").iter().find(|line| line.contains(text)).cloned();
            found.is_some()
        };
        wait_until(&mut find, text);
        found.expect("just found")
    }

    /// Where it takes the operators' calls.
    pub fn ops_address(&self) -> SocketAddr {
        let line = self.wait_for_log("takes the operators' calls on");
        line.rsplit(' ').next().and_then(|address| address.parse().ok()).expect("an address")
    }

    /// Makes a call of the operators': the status it is answered with.
    pub fn ops_call(&self, start: &str) -> u16 {
        Client::connect(self.ops_address()).request(start, "", b"").status()
    }

    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    /// Where it looks for its configuration.
    pub fn config(&self) -> &std::path::Path {
        &self.config
    }

    /// Replaces the configuration and says so.
    pub fn reload(&self, config: &str) {
        std::fs::write(&self.config, config).expect("a place for the configuration");
        self.signal("-HUP");
    }

    /// It gets no turn, until it does again.
    pub fn set_stopped(&self, still: bool) {
        self.signal(if still { "-STOP" } else { "-CONT" });
    }

    pub fn signal(&self, signal: &str) {
        let id = self.child.id().to_string();
        assert!(Command::new("kill").args([signal, &id]).status().expect("kill runs").success());
    }

    /// Stops it as a machine does that gives it no turn, until it is to go on.
    pub fn suspend(&self) {
        self.signal("-STOP");
        let stat = format!("/proc/{}/stat", self.child.id());
        let stopped = || std::fs::read_to_string(&stat).is_ok_and(|stat| stat.contains(") T "));
        wait_until(stopped, "the node to stop");
    }
    pub fn resume(&self) {
        self.signal("-CONT");
    }

    /// Whether the log holds such a line by now.
    pub fn has_logged(&self, text: &str) -> bool {
        self.log.lock().expect("the log").iter().any(|line| line.contains(text))
    }

    /// How many descriptors it has open.
    pub fn open_descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.child.id())).expect("its descriptors").count()
    }

    /// What the system tells of it, under `/proc`.
    pub fn proc_file(&self, name: &str) -> String {
        std::fs::read_to_string(format!("/proc/{}/{name}", self.child.id())).expect("its state")
    }

    /// The most memory that it has had, in bytes.
    pub fn peak_memory(&self) -> usize {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).expect("its state");
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).expect("its memory");
        line.trim().trim_end_matches(" kB").parse::<usize>().expect("a number") * 1024
    }

    pub fn wait_for_exit(&mut self) -> ExitStatus {
        let mut status = None;
        wait_until(
            || {
                status = self.child.try_wait().expect("its state");
                status.is_some()
            },
            "the node's end",
        );
        status.expect("just seen")
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.tmp);
    }
}

/// Waits until the kernel has delivered the ends of the connections from these ports to an address: on a busy machine they
/// may lag behind the call that sent them.
pub fn wait_for_closes(ports: &[u16], to: SocketAddr) {
    const UNTOLD: [&str; 2] = ["01", "04"]; // established, or an end that is not acknowledged
    wait_until(
        || {
            let table = std::fs::read_to_string("/proc/net/tcp").expect("the connections");
            !table.lines().skip(1).any(|line| {
                let mut fields = line.split_whitespace().skip(1);
                let mut port = || {
                    let port = fields.next().and_then(|address| address.rsplit(':').next());
                    port.and_then(|port| u16::from_str_radix(port, 16).ok())
                };
                // Others may have connections from the same ports, to elsewhere.
                port().is_some_and(|port| ports.contains(&port))
                    && port() == Some(to.port())
                    && fields.next().is_some_and(|state| UNTOLD.contains(&state))
            })
        },
        "the ends of connections",
    );
}

/// For what sends no event: looks again and again.
pub fn wait_until(mut holds: impl FnMut() -> bool, what: &str) {
    let end = Instant::now() + TEST_TIMEOUT;
    while !holds() {
        assert!(Instant::now() < end, "waited in vain for {what}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// A node whose list holds these backends, and the watch that told it.
pub fn serving_node(settings: &str, backends: &[&Backend]) -> (Node, Watch, Discovery) {
    serving_node_with(settings, backends, 1024, "")
}

pub fn serving_node_with(
    settings: &str,
    backends: &[&Backend],
    sockets: usize,
    shell: &str,
) -> (Node, Watch, Discovery) {
    let discovery = Discovery::start();
    let config = with_ops(&config(discovery.address, settings, sockets));
    let node = Node::start(&config, shell);
    let entries = backends.iter().enumerate().map(|(i, b)| entry(&format!("s-{i}"), b.address, "in_service"));
    let line = list(8, true, &entries.collect::<Vec<_>>());
    let watch = discovery.send_list_until(&line, || node.is_ready(), "readiness");
    (node, watch, discovery)
}

// ---- Clients ------------------------------------------------------------------------------------

pub struct Client(BufReader<TcpStream>);

impl Client {
    pub fn connect(address: SocketAddr) -> Self {
        Client::from_stream(TcpStream::connect(address).expect("the node accepts"))
    }
    /// Over a connection that is open.
    pub fn from_stream(stream: TcpStream) -> Self {
        stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("a time-out");
        Client(BufReader::new(stream))
    }
    /// Sends a request without a body; false if the connection has ended.
    pub fn try_send(&mut self, start: &str, headers: &str) -> bool {
        let head = format!("{start} HTTP/1.1\r\nHost: service.internal\r\n{headers}\r\n");
        self.0.get_mut().write_all(head.as_bytes()).is_ok()
    }
    /// The answer; nothing if the connection ends before its first byte, and an error if it does within it.
    pub fn try_answer(&mut self) -> Result<Option<Message>, String> {
        while self.0.fill_buf().is_err_and(|e| e.kind() == std::io::ErrorKind::Interrupted) {}
        match self.0.fill_buf() {
            Ok([]) => Ok(None),
            Err(e) if e.kind() == std::io::ErrorKind::ConnectionReset => Ok(None),
            Err(e) => Err(format!("no answer: {e}")),
            Ok(_) => read_message(&mut self.0).ok_or("half an answer".into()).map(Some),
        }
    }
    pub fn send(&mut self, start: &str, headers: &str, body: &[u8]) {
        let length =
            if body.is_empty() { String::new() } else { format!("Content-Length: {}\r\n", body.len()) };
        let head = format!("{start} HTTP/1.1\r\nHost: service.internal\r\n{headers}{length}\r\n");
        self.0.get_mut().write_all(&[head.as_bytes(), body].concat()).expect("the node reads");
    }
    /// The answer; `None` if the connection ends without one.
    pub fn answer(&mut self) -> Option<Message> {
        read_message(&mut self.0)
    }
    pub fn request(&mut self, start: &str, headers: &str, body: &[u8]) -> Message {
        self.send(start, headers, body);
        self.answer().expect("an answer")
    }
    pub fn request_read(&mut self) -> Message {
        self.request("GET /read/1f", &common_headers(20_000), b"")
    }
    pub fn send_correct(&mut self) {
        self.send("POST /correct/1f", &common_headers(20_000), b"sheet");
    }
    pub fn request_correct(&mut self) -> Message {
        self.send_correct();
        self.answer().expect("an answer")
    }
    pub fn write(&mut self, bytes: &[u8]) {
        self.0.get_mut().write_all(bytes).expect("the node reads");
    }
    pub fn local_port(&self) -> u16 {
        self.0.get_ref().local_addr().expect("its address").port()
    }
    /// A second handle, to write by.
    pub fn write_handle(&self) -> TcpStream {
        self.0.get_ref().try_clone().expect("a handle")
    }
    pub fn read_line(&mut self) -> String {
        let mut line = String::new();
        self.0.read_line(&mut line).expect("a line");
        line
    }
    /// All that still comes, however that ends.
    pub fn read_to_end(&mut self) -> Vec<u8> {
        let mut all = Vec::new();
        let _ = self.0.read_to_end(&mut all);
        all
    }
    /// Whether the node has ended this connection.
    pub fn is_closed(&mut self) -> bool {
        self.answer().is_none()
    }
}

pub fn common_headers(budget_ms: u64) -> String {
    let number = NUMBER.fetch_add(1, Ordering::SeqCst);
    format!("X-Call-Id: {number:016x}\r\nX-Caller: acme\r\nX-Budget-Ms: {budget_ms}\r\n")
}
