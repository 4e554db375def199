//! Test harness: runs a node as a process and provides scripted peers for it, that is backends, discovery and
//! clients. Tests wait for events; `TEST_TIMEOUT` only ends a test that hangs.

pub mod held_requests;
pub mod tcp_connections;

use rustix::fd::OwnedFd;
use rustix::net::{AddressFamily, SocketFlags, SocketType, bind, getsockname, socket_with};
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
use tcp_connections::{TcpState, tcp_connections};

/// How long a test waits for an event before it fails.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(30);

/// An HTTP message as a peer receives it.
#[derive(Clone, Debug)]
pub struct Message {
    /// The request line or status line.
    pub start_line: String,
    /// The headers, with names in lower case.
    pub headers: BTreeMap<String, String>,
    /// The body, without its framing.
    pub body: Vec<u8>,
}

impl Message {
    /// The status code of a response.
    pub fn status(&self) -> u16 {
        self.start_line.split(' ').nth(1).and_then(|status| status.parse().ok()).expect("a status")
    }
    /// The value of a header, by its name in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).map(String::as_str)
    }
}

/// Reads one message with a `Content-Length` or a chunked body; `None` if the connection ends first.
pub fn read_message(stream: &mut impl BufRead) -> Option<Message> {
    let mut line = || {
        let mut line = String::new();
        stream.read_line(&mut line).ok().filter(|n| *n > 0).map(|_| line.trim_end().to_owned())
    };
    let start_line = line()?;
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
            assert_eq!(end, *b"\r\n", "the end of a chunk; trailers are not forwarded");
            if length == 0 {
                break;
            }
        }
    } else {
        take(stream, headers.get("content-length").map_or(0, |length| length.parse().expect("a length")))?;
    }
    Some(Message { start_line, headers, body })
}

// ---- Backends -----------------------------------------------------------------------------------

/// What a scripted backend does with a request.
pub enum Reply {
    /// A complete response: the status line after the version, headers, body.
    Answer(&'static str, &'static str, Vec<u8>),
    /// Sends these bytes and closes the connection.
    Close(Vec<u8>),
    /// Sends nothing and keeps the connection open.
    Silence,
    /// Runs a function that writes to the connection, then closes it.
    Write(Box<dyn FnOnce(&mut TcpStream) + Send>),
}

/// A `200 OK` response with this body.
pub fn ok(body: &str) -> Reply {
    Reply::Answer("200 OK", "", body.into())
}

/// What a backend has seen on a connection, by the connection's number.
pub enum BackendEvent {
    /// A request has been received.
    Request { connection: usize, message: Message },
    /// The connection has ended.
    Closed { connection: usize },
}

/// A scripted backend.
pub struct Backend {
    /// Where it listens.
    pub address: SocketAddr,
    events: Receiver<BackendEvent>,
    /// How many requests it has received.
    pub requests: Arc<AtomicUsize>,
}

impl Backend {
    /// Starts a backend that answers each request as the script says.
    pub fn start(script: impl Fn(&Message) -> Reply + Send + Sync + 'static) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("its address");
        let (sender, events) = channel();
        let requests = Arc::new(AtomicUsize::new(0));
        let (script, count) = (Arc::new(script), requests.clone());
        spawn(move || {
            for (connection, stream) in listener.incoming().enumerate() {
                let (stream, sender) = (stream.expect("a connection"), sender.clone());
                let (script, count) = (script.clone(), count.clone());
                spawn(move || serve(stream, connection, &sender, &count, &*script));
            }
        });
        Backend { address, events, requests }
    }

    /// Waits for the next event.
    pub fn next_event(&self) -> BackendEvent {
        self.events.recv_timeout(TEST_TIMEOUT).expect("an event at the backend")
    }
    /// Waits for the next request; with the number of its connection.
    pub fn next_request(&self) -> (usize, Message) {
        loop {
            if let BackendEvent::Request { connection, message } = self.next_event() {
                return (connection, message);
            }
        }
    }
    /// Waits until a connection ends; returns its number.
    pub fn next_closed(&self) -> usize {
        loop {
            if let BackendEvent::Closed { connection } = self.next_event() {
                return connection;
            }
        }
    }
    /// Whether a connection has ended. Discards the events before that.
    pub fn has_closed(&self) -> bool {
        self.events.try_iter().any(|event| matches!(event, BackendEvent::Closed { .. }))
    }
    /// How many requests it has received.
    pub fn request_count(&self) -> usize {
        self.requests.load(Ordering::SeqCst)
    }
}

/// Serves one connection of a backend.
fn serve(
    stream: TcpStream,
    connection: usize,
    events: &Sender<BackendEvent>,
    count: &AtomicUsize,
    script: &impl Fn(&Message) -> Reply,
) {
    let mut reader = BufReader::new(stream.try_clone().expect("a handle"));
    let mut writer = stream;
    while let Some(message) = read_message(&mut reader) {
        count.fetch_add(1, Ordering::SeqCst);
        let _ = events.send(BackendEvent::Request { connection, message: message.clone() });
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
    let _ = events.send(BackendEvent::Closed { connection });
}

// ---- Discovery ----------------------------------------------------------------------------------

/// A discovery agent that the test scripts.
pub struct Discovery {
    /// Where it listens.
    pub address: SocketAddr,
    calls: Receiver<Watch>,
}

/// A watch request of the node to discovery, answered by the test. Once it is open, a heartbeat (an empty
/// line) is sent every half second, so that the node does not take the watch for stalled when a slow machine
/// runs the test.
pub struct Watch {
    /// The request line.
    pub start_line: String,
    stream: Arc<Mutex<TcpStream>>,
    /// No more heartbeats are sent.
    heartbeat_stopped: Arc<AtomicBool>,
}

const HEARTBEAT_PERIOD: Duration = Duration::from_millis(500);

/// Writes one chunk of a chunked body.
pub fn write_chunk(stream: &mut TcpStream, text: &str) -> std::io::Result<()> {
    stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())
}

impl Discovery {
    /// Starts discovery on a port of its own.
    pub fn start() -> Self {
        Discovery::on(TcpListener::bind("127.0.0.1:0").expect("a port"))
    }
    /// Starts discovery on this listener.
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
                    heartbeat_stopped: Arc::default(),
                };
                if called.send(watch).is_err() {
                    return;
                }
            }
        });
        Discovery { address, calls }
    }
    /// Waits for the next request of a node.
    pub fn next_call(&self) -> Watch {
        self.calls.recv_timeout(TEST_TIMEOUT).expect("a call to discovery")
    }
    /// Sends a line to a node and waits until `shows` holds. A node on a busy machine may give up its request
    /// meanwhile and repeat it; the new one is sent the same line.
    pub fn send_list_until(&self, line: &str, shows: impl Fn() -> bool, what: &str) -> Watch {
        let mut watch = self.next_call();
        let send = |watch: &Watch| {
            watch.try_with(|s| s.write_all(OPEN.as_bytes()).and_then(|()| write_chunk(s, line)));
            watch.start_heartbeat();
        };
        send(&watch);
        wait_until(
            || {
                if let Ok(repeated) = self.calls.try_recv() {
                    watch = repeated;
                    send(&watch);
                }
                shows()
            },
            what,
        );
        watch
    }
    /// Answers all requests with this line from now on, including those that the node has given up.
    pub fn answer_all_calls(self, line: &str) {
        let line = line.to_owned();
        spawn(move || {
            let mut open = Vec::new();
            for watch in self.calls {
                watch.try_with(|s| s.write_all(OPEN.as_bytes()).and_then(|()| write_chunk(s, &line)));
                watch.start_heartbeat();
                open.push(watch);
            }
        });
    }
}

/// The head of a watch's response.
const OPEN: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

impl Watch {
    /// Answers the request and starts the heartbeat.
    pub fn open(&mut self) {
        self.write(OPEN);
        self.start_heartbeat();
    }
    /// Sends a line.
    pub fn send_line(&mut self, line: &str) {
        self.send_chunk(&format!("{line}\n"));
    }
    /// Sends a text as one chunk: a part of a line or several lines.
    pub fn send_chunk(&mut self, text: &str) {
        assert!(self.try_with(|stream| write_chunk(stream, text)), "the node reads from discovery");
    }
    /// Sends raw bytes, outside a chunked body.
    pub fn write(&mut self, text: &str) {
        let written = self.try_with(|stream| stream.write_all(text.as_bytes()));
        assert!(written, "the node reads from discovery");
    }
    /// Stops the heartbeat, so that the watch stalls.
    pub fn stop_heartbeat(&self) {
        let _stream = self.stream.lock().expect("the stream"); // no heartbeat is being written
        self.heartbeat_stopped.store(true, Ordering::SeqCst);
    }
    /// Closes the connection.
    pub fn close(&self) {
        self.try_with(|stream| stream.shutdown(Shutdown::Both));
    }
    /// Resets the connection, if the test has no other handle to it.
    pub fn reset(self) {
        self.stop_heartbeat();
        let no_linger = Some(Duration::ZERO);
        self.try_with(|stream| Ok(rustix::net::sockopt::set_socket_linger(stream, no_linger)?));
    }
    /// Does something with the stream; false if it fails.
    pub fn try_with(&self, act: impl FnOnce(&mut TcpStream) -> std::io::Result<()>) -> bool {
        act(&mut self.stream.lock().expect("the stream")).is_ok()
    }
    /// Sends heartbeats for as long as the test holds this watch.
    pub fn start_heartbeat(&self) {
        let (stream, stopped) = (Arc::downgrade(&self.stream), self.heartbeat_stopped.clone());
        spawn(move || {
            loop {
                std::thread::sleep(HEARTBEAT_PERIOD);
                let Some(stream) = stream.upgrade() else { return };
                let mut stream = stream.lock().expect("the stream");
                if stopped.load(Ordering::SeqCst) || write_chunk(&mut stream, "\n").is_err() {
                    return;
                }
            }
        });
    }
}

/// An entry of the server list.
pub fn entry(name: &str, address: SocketAddr, status: &str) -> String {
    format!(
        r#"{{"name":"{name}","address":"{address}","zone":"a","type":"m","group":1,"status":"{status}","weight":1.0,"since_ms":0}}"#
    )
}

/// A server list, or changes of it if it is no snapshot.
pub fn list(index: u64, snapshot: bool, entries: &[String]) -> String {
    format!(r#"{{"index":{index},"snapshot":{snapshot},"endpoints":[{}]}}"#, entries.join(","))
}

// ---- The node -----------------------------------------------------------------------------------

/// Settings with the classes `read` (idempotent), `submit` (keyed) and `correct` (not idempotent), all with
/// the same latency target and deadline. `permissions` is appended to the permissions.
pub fn settings(target_ms: u64, permissions: &str) -> String {
    let class = |name: &str, kind: &str| {
        format!(
            r#"{{"Name":"{name}","Target":{target_ms},"GiveUp":{target_ms},"Idempotency":"{kind}","Group":"zone","Window":60000}}"#
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

/// A node under test.
pub struct Node {
    child: Child,
    config: PathBuf,
    /// The directory of its hot restart socket and saved files, not shared with other nodes.
    pub tmp: PathBuf,
    /// Where it listens for clients.
    pub address: SocketAddr,
    log: Arc<Mutex<Vec<String>>>,
}

/// Numbers configuration files, directories and requests.
static NUMBER: AtomicUsize = AtomicUsize::new(0);

/// The command that starts a node with this configuration, written to a file. `shell` is a shell prefix such
/// as `ulimit -n 30; `.
pub fn command(config: &str, shell: &str) -> Command {
    let number = NUMBER.fetch_add(1, Ordering::SeqCst);
    let name = format!("config-{}-{number}.json", std::process::id());
    let path = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, config).expect("the configuration is written");
    let mut command = Command::new("/bin/sh");
    command.arg("-c").arg(format!("{shell}exec \"$0\"")).arg(env!("CARGO_BIN_EXE_sillward"));
    command.env("PROXY_CONFIG", &path).stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::piped());
    command
}

/// A configuration for a node that listens on a port of its own.
pub fn config(discovery: SocketAddr, settings: &str, sockets: usize) -> String {
    format!(
        r#"{{"name":"n0","listen":"127.0.0.1:0","discovery":"{discovery}","seed":"8c1f30d27a5be964",
        "limits":{{"cores":1.0,"memory_mb":192,"sockets":{sockets}}},
        "known":{{"index":7,"snapshot":true,"endpoints":[]}},"settings":{settings}}}"#
    )
}

/// The configuration with an operations address added.
pub fn with_ops(config: &str) -> String {
    config.replacen('{', r#"{"ops":"127.0.0.1:0","#, 1)
}

impl Node {
    /// Starts a node in a directory of its own and waits until it listens.
    pub fn start(config: &str, shell: &str) -> Self {
        // A short name, because the path of a Unix socket is limited.
        let number = NUMBER.fetch_add(1, Ordering::SeqCst);
        let tmp = std::env::temp_dir().join(format!("sw-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&tmp).expect("a directory");
        Node::start_in(&tmp, config, shell)
    }

    /// Starts a node in this directory and waits until it listens.
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
        let shared = log.clone();
        spawn(move || lines.for_each(|line| shared.lock().expect("the log").push(line)));
        Node { child, config, tmp: tmp.to_owned(), address, log }
    }

    /// A new client connection.
    pub fn client(&self) -> Client {
        Client::connect(self.address)
    }

    /// Whether its readiness check succeeds.
    pub fn is_ready(&self) -> bool {
        self.client().request("GET /health/ready", "", b"").status() == 200
    }

    /// Waits until the log has a line that contains this text, and returns the line.
    pub fn wait_for_log(&self, text: &str) -> String {
        let mut found = None;
        let mut find = || {
            found = self.log.lock().expect("the log").iter().find(|line| line.contains(text)).cloned();
            found.is_some()
        };
        wait_until(&mut find, text);
        found.expect("just found")
    }

    /// Its operations address.
    pub fn ops_address(&self) -> SocketAddr {
        let line = self.wait_for_log("takes the operators' calls on");
        line.rsplit(' ').next().and_then(|address| address.parse().ok()).expect("an address")
    }

    /// Makes a request to the operations address and returns the status.
    pub fn ops_call(&self, start_line: &str) -> u16 {
        Client::connect(self.ops_address()).request(start_line, "", b"").status()
    }

    /// Sends SIGTERM.
    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    /// The path of its configuration file.
    pub fn config(&self) -> &std::path::Path {
        &self.config
    }

    /// Replaces the configuration file and sends SIGHUP.
    pub fn reload(&self, config: &str) {
        std::fs::write(&self.config, config).expect("the configuration is written");
        self.signal("-HUP");
    }

    /// Stops the process or lets it continue, without waiting for either.
    pub fn set_stopped(&self, stopped: bool) {
        self.signal(if stopped { "-STOP" } else { "-CONT" });
    }

    /// Sends a signal.
    pub fn signal(&self, signal: &str) {
        let id = self.child.id().to_string();
        assert!(Command::new("kill").args([signal, &id]).status().expect("kill runs").success());
    }

    /// Stops the process and waits until it has stopped.
    pub fn suspend(&self) {
        self.signal("-STOP");
        let stat = format!("/proc/{}/stat", self.child.id());
        let stopped = || std::fs::read_to_string(&stat).is_ok_and(|stat| stat.contains(") T "));
        wait_until(stopped, "the node to stop");
    }
    /// Lets a stopped process continue.
    pub fn resume(&self) {
        self.signal("-CONT");
    }

    /// Whether the log has a line that contains this text.
    pub fn has_logged(&self, text: &str) -> bool {
        self.log.lock().expect("the log").iter().any(|line| line.contains(text))
    }

    /// The number of its open file descriptors.
    pub fn open_descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.child.id())).expect("its descriptors").count()
    }

    /// A file of the process under `/proc`.
    pub fn proc_file(&self, name: &str) -> String {
        std::fs::read_to_string(format!("/proc/{}/{name}", self.child.id())).expect("its state")
    }

    /// Its peak resident memory in bytes.
    pub fn peak_memory(&self) -> usize {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).expect("its state");
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).expect("its memory");
        line.trim().trim_end_matches(" kB").parse::<usize>().expect("a number") * 1024
    }

    /// How the process has ended, if it has.
    pub fn try_exit(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().expect("its state")
    }

    /// Waits until the process has ended.
    pub fn wait_for_exit(&mut self) -> ExitStatus {
        let mut status = None;
        wait_until(
            || {
                status = self.try_exit();
                status.is_some()
            },
            "the node to exit",
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

/// An address that refuses connections. It is kept from others while this is held.
pub struct ClosedPort {
    /// The address.
    pub address: SocketAddr,
    _socket: OwnedFd,
}

impl ClosedPort {
    /// Binds a port and does not listen on it.
    pub fn bind() -> Self {
        let socket = socket_with(AddressFamily::INET, SocketType::STREAM, SocketFlags::CLOEXEC, None);
        let socket = socket.expect("a socket");
        let any_port: SocketAddr = "127.0.0.1:0".parse().expect("an address");
        bind(&socket, &any_port).expect("a port");
        let address =
            SocketAddr::try_from(getsockname(&socket).expect("its address")).expect("an IPv4 address");
        ClosedPort { address, _socket: socket }
    }
}

/// The bytes that were written to the connection from this local port to this address and that the peer's
/// machine has not acknowledged.
pub fn unacknowledged_bytes(port: u16, to: SocketAddr) -> u32 {
    let open = tcp_connections(&[TcpState::Established, TcpState::CloseWait]);
    let mut connections = open.into_iter().filter(|connection| connection.remote == to);
    let connection = connections.find(|connection| connection.local.port() == port);
    connection.expect("an open connection").unacknowledged_bytes
}

/// Waits until the kernel has delivered the close of the connections from these local ports to this address:
/// on a busy machine it may lag behind the system call.
pub fn wait_for_closes(ports: &[u16], to: SocketAddr) {
    const NOT_DELIVERED: [TcpState; 2] = [TcpState::Established, TcpState::FinWait1];
    let is_open = || {
        let mut connections = tcp_connections(&NOT_DELIVERED).into_iter();
        connections.any(|connection| connection.remote == to && ports.contains(&connection.local.port()))
    };
    wait_until(|| !is_open(), "closes to be delivered");
}

/// Polls until a condition holds, for changes that send no event.
pub fn wait_until(mut holds: impl FnMut() -> bool, what: &str) {
    let deadline = Instant::now() + TEST_TIMEOUT;
    while !holds() {
        assert!(Instant::now() < deadline, "timed out waiting for {what}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// Starts a node whose server list holds these backends. Returns it with its watch and discovery.
pub fn serving_node(settings: &str, backends: &[&Backend]) -> (Node, Watch, Discovery) {
    serving_node_with(settings, backends, 1024, "")
}

/// The same with a limit of sockets and a shell prefix.
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

/// A client connection.
pub struct Client(BufReader<TcpStream>);

impl Client {
    /// Connects to an address.
    pub fn connect(address: SocketAddr) -> Self {
        Client::from_stream(TcpStream::connect(address).expect("the node accepts"))
    }
    /// A client over an open connection.
    pub fn from_stream(stream: TcpStream) -> Self {
        stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("a time-out");
        Client(BufReader::new(stream))
    }
    /// Sends a request without a body; false if the connection is closed.
    pub fn try_send(&mut self, start_line: &str, headers: &str) -> bool {
        let head = format!("{start_line} HTTP/1.1\r\nHost: service.internal\r\n{headers}\r\n");
        self.0.get_mut().write_all(head.as_bytes()).is_ok()
    }
    /// The response: `None` if the connection ends before its first byte, an error if it ends within the
    /// response.
    pub fn try_answer(&mut self) -> Result<Option<Message>, String> {
        while self.0.fill_buf().is_err_and(|e| e.kind() == std::io::ErrorKind::Interrupted) {}
        match self.0.fill_buf() {
            Ok([]) => Ok(None),
            Err(e) if e.kind() == std::io::ErrorKind::ConnectionReset => Ok(None),
            Err(e) => Err(format!("no answer: {e}")),
            Ok(_) => read_message(&mut self.0).ok_or("a truncated answer".into()).map(Some),
        }
    }
    /// Sends a request.
    pub fn send(&mut self, start_line: &str, headers: &str, body: &[u8]) {
        let length =
            if body.is_empty() { String::new() } else { format!("Content-Length: {}\r\n", body.len()) };
        let head = format!("{start_line} HTTP/1.1\r\nHost: service.internal\r\n{headers}{length}\r\n");
        self.0.get_mut().write_all(&[head.as_bytes(), body].concat()).expect("the node reads");
    }
    /// The response; `None` if the connection ends first.
    pub fn answer(&mut self) -> Option<Message> {
        read_message(&mut self.0)
    }
    /// Sends a request and waits for the response.
    pub fn request(&mut self, start_line: &str, headers: &str, body: &[u8]) -> Message {
        self.send(start_line, headers, body);
        self.answer().expect("an answer")
    }
    /// Sends a request of the class `read` and waits for the response.
    pub fn request_read(&mut self) -> Message {
        self.request("GET /read/1f", &common_headers(20_000), b"")
    }
    /// Sends a request of the class `correct`.
    pub fn send_correct(&mut self) {
        self.send("POST /correct/1f", &common_headers(20_000), b"sheet");
    }
    /// Sends a request of the class `correct` and waits for the response.
    pub fn request_correct(&mut self) -> Message {
        self.send_correct();
        self.answer().expect("an answer")
    }
    /// Sends raw bytes.
    pub fn write(&mut self, bytes: &[u8]) {
        self.0.get_mut().write_all(bytes).expect("the node reads");
    }
    /// The connection's local port.
    pub fn local_port(&self) -> u16 {
        self.0.get_ref().local_addr().expect("its address").port()
    }
    /// A second handle to write to the connection.
    pub fn write_handle(&self) -> TcpStream {
        self.0.get_ref().try_clone().expect("a handle")
    }
    /// Reads a line.
    pub fn read_line(&mut self) -> String {
        let mut line = String::new();
        self.0.read_line(&mut line).expect("a line");
        line
    }
    /// All bytes until the connection ends, also if it ends with an error.
    pub fn read_to_end(&mut self) -> Vec<u8> {
        let mut all = Vec::new();
        let _ = self.0.read_to_end(&mut all);
        all
    }
    /// Whether the node closes this connection without another response.
    pub fn is_closed(&mut self) -> bool {
        self.answer().is_none()
    }
}

/// The headers that each request needs, with a call id of its own.
pub fn common_headers(budget_ms: u64) -> String {
    let number = NUMBER.fetch_add(1, Ordering::SeqCst);
    format!("X-Call-Id: {number:016x}\r\nX-Caller: acme\r\nX-Budget-Ms: {budget_ms}\r\n")
}
