//! The memory limit of the settings, with crowds of clients and backends that make the node hold parts of
//! requests and responses.

use crate::harness::*;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

/// The least memory that a deployment gives a node.
const MEMORY_LIMIT_MB: usize = 32;
/// The least and the most descriptors that a deployment gives a node.
const SOCKET_LIMITS: [usize; 2] = [256, 1024];
/// The threads that connect a crowd's clients.
const CONNECTING_THREADS: usize = 8;
/// A node that is new to a backend sends it one request at once.
const BACKENDS: usize = 400;
const BUDGET_MS: u64 = 20_000;
/// How long a crowd stays once all of it has sent its part.
const CROWD_STAY: Duration = Duration::from_secs(2);
/// How often a client of a crowd sends or reads a further piece.
const PIECE_INTERVAL: Duration = Duration::from_millis(100);
const PIECE_BYTES: usize = 1000;
/// A write that takes longer shows that the node reads no more.
const WRITE_LIMIT: Duration = Duration::from_millis(20);

/// What the clients of a crowd do while they stay.
#[derive(Clone, Copy)]
enum Staying {
    /// Nothing.
    Idle,
    /// Write a piece now and then.
    Writing,
    /// Read a piece now and then.
    Reading,
}

/// A crowd of clients, each of which sends the same bytes.
struct Crowd<'a> {
    what: &'a str,
    backends: &'a Backends,
    sends: &'a (dyn Fn() -> Vec<u8> + Sync),
    staying: Staying,
}

/// Backends that share what they do with a connection.
struct Backends(Vec<TcpListener>);

impl Backends {
    /// Backends that accept connections and read nothing.
    fn hanging() -> Self {
        Backends((0..BACKENDS).map(|_| TcpListener::bind("127.0.0.1:0").expect("a port")).collect())
    }

    /// Backends that handle each connection by this function, in a thread of its own.
    fn handling(handle: fn(TcpStream)) -> Self {
        let backends = Backends::hanging();
        for listener in &backends.0 {
            let listener = listener.try_clone().expect("a handle");
            spawn(move || {
                for stream in listener.incoming() {
                    let stream = stream.expect("a connection");
                    spawn(move || handle(stream));
                }
            });
        }
        backends
    }

    /// The configuration of a node with the least memory and this limit of descriptors.
    fn configuration(discovery: &Discovery, sockets: usize) -> String {
        let settings = settings(BUDGET_MS, "");
        let settings = settings.replace(r#""AllowancePerS":1000,"#, r#""AllowancePerS":1000000,"#);
        let config = config(discovery.address, &settings, sockets);
        config.replace(r#""memory_mb":192"#, &format!(r#""memory_mb":{MEMORY_LIMIT_MB}"#))
    }

    /// Starts a node that serves these backends, with this limit of descriptors.
    fn node(&self, sockets: usize) -> (Node, Watch, Discovery) {
        let discovery = Discovery::start();
        let config = Backends::configuration(&discovery, sockets);
        let (node, watch) = self.start(&discovery, &config, sockets);
        (node, watch, discovery)
    }

    /// Starts a node with this configuration.
    fn start(&self, discovery: &Discovery, config: &str, sockets: usize) -> (Node, Watch) {
        let node = Node::start(config, &format!("ulimit -n {sockets}; "));
        let watch = discovery.send_list_until(&self.list(), || node.is_ready(), "readiness");
        (node, watch)
    }

    /// The server list that names them.
    fn list(&self) -> String {
        let entries = self.0.iter().enumerate().map(|(i, listener)| {
            entry(&format!("s-{i}"), listener.local_addr().expect("its address"), "in_service")
        });
        list(8, true, &entries.collect::<Vec<_>>())
    }
}

/// Opens a connection and sends as much of these bytes as the node takes.
fn connect_and_send(node: &Node, bytes: &[u8]) -> TcpStream {
    let mut stream = node.client().write_handle();
    stream.set_write_timeout(Some(WRITE_LIMIT)).expect("an option");
    let _ = stream.write_all(bytes);
    stream
}

/// Connects the clients of a crowd.
fn connect_clients(node: &Node, count: usize, sends: &(dyn Fn() -> Vec<u8> + Sync)) -> Vec<TcpStream> {
    std::thread::scope(|scope| {
        let connect = || {
            let clients = 0..count / CONNECTING_THREADS;
            clients.map(|_| connect_and_send(node, &sends())).collect::<Vec<_>>()
        };
        let threads: Vec<_> = (0..CONNECTING_THREADS).map(|_| scope.spawn(connect)).collect();
        threads.into_iter().flat_map(|thread| thread.join().expect("its clients")).collect()
    })
}

/// Keeps the clients connected for a while.
fn stay(clients: &mut [TcpStream], staying: Staying) {
    let end = Instant::now() + CROWD_STAY;
    while Instant::now() < end {
        for client in &mut *clients {
            client.set_nonblocking(true).expect("an option");
            let _ = match staying {
                Staying::Idle => Ok(0),
                Staying::Writing => client.write(&[b'x'; PIECE_BYTES]),
                Staying::Reading => client.read(&mut [0; PIECE_BYTES]),
            };
        }
        sleep(PIECE_INTERVAL);
    }
}

/// Runs crowds against a node each, for each limit of descriptors, and checks the peaks of memory. Afterwards
/// the node has to serve.
fn check_crowds(crowds: &[Crowd]) {
    let mut over_limit = Vec::new();
    for sockets in SOCKET_LIMITS {
        for Crowd { what, backends, sends, staying } in crowds {
            let (node, _watch, _discovery) = backends.node(sockets);
            // More than the node admits: clients beyond that wait to be accepted.
            let mut clients = connect_clients(&node, sockets * 5 / 8, sends);
            stay(&mut clients, *staying);
            let figures = format!(
                "{what}: {} clients, {sockets} sockets, {} descriptors in use, {} kB",
                clients.len(),
                node.open_descriptors(),
                node.peak_memory() >> 10
            );
            eprintln!("{figures}");
            drop(clients);
            if node.peak_memory() >= MEMORY_LIMIT_MB << 20 {
                over_limit.push(figures);
            }
            wait_until(|| node.is_ready(), "the node to serve again");
        }
    }
    assert!(over_limit.is_empty(), "over {MEMORY_LIMIT_MB} MB: {over_limit:#?}");
}

/// A keyed request up to its body, with these headers added.
fn keyed_head(headers: &str) -> Vec<u8> {
    let common = common_headers(BUDGET_MS);
    format!("POST /submit/1 HTTP/1.1\r\nHost: a\r\nIdempotency-Key: 1\r\n{common}{headers}\r\n").into_bytes()
}

/// The first bytes of a keyed request whose body has this length.
fn part_of_request(sent: usize, length: usize) -> Vec<u8> {
    let head = keyed_head(&format!("Content-Length: {length}\r\n"));
    [head, vec![b'x'; sent]].concat()
}

/// A keyed request that sends its body in short chunks, without the last one.
fn part_of_chunked_request(chunks: usize) -> Vec<u8> {
    let chunk = [b"3e8\r\n", vec![b'x'; 1000].as_slice(), b"\r\n"].concat();
    [keyed_head("Transfer-Encoding: chunked\r\n"), chunk.repeat(chunks)].concat()
}

fn read_forever(mut stream: TcpStream) {
    let _ = std::io::copy(&mut stream, &mut std::io::sink());
}

/// Reads requests without bodies and answers each with `sent` bytes of a body of this length.
fn answer(mut stream: TcpStream, sent: usize, length: usize) {
    let mut request = Vec::new();
    let mut buffer = [0; 4096];
    while let Ok(read @ 1..) = stream.read(&mut buffer) {
        request.extend_from_slice(&buffer[..read]);
        if request.ends_with(b"\r\n\r\n") {
            request.clear();
            let _ = write!(stream, "HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n");
            let _ = stream.write_all(&vec![b'x'; sent]);
        }
    }
}

fn answer_at_length(stream: TcpStream) {
    answer(stream, 4 << 20, 4 << 20);
}

fn answer_shortly(stream: TcpStream) {
    answer(stream, 60_000, 60_000);
}

fn answer_without_an_end(stream: TcpStream) {
    answer(stream, 59_000, 60_000);
}

/// Guards against buffers of request bodies that are not counted against the limit.
#[test]
fn uploads_that_stop_or_come_slowly_stay_within_the_memory_limit() {
    let (hanging, reading) = (Backends::hanging(), Backends::handling(read_forever));
    let half = || part_of_request(300_000, 600_000);
    let half_in_chunks = || part_of_chunked_request(300);
    let half_of_a_short_one = || part_of_request(59_000, 60_000);
    let beginning = || part_of_request(6_000, 60_000);
    let crowd = |what, backends, sends, staying| Crowd { what, backends, sends, staying };
    check_crowds(&[
        crowd("half an upload to a hanging backend", &hanging, &half, Staying::Idle),
        crowd("half an upload", &reading, &half, Staying::Writing),
        crowd("half an upload in chunks to a hanging backend", &hanging, &half_in_chunks, Staying::Idle),
        crowd("half an upload in chunks", &reading, &half_in_chunks, Staying::Idle),
        crowd("part of a short body", &reading, &half_of_a_short_one, Staying::Idle),
        crowd("the beginning of a short body, then slowly", &reading, &beginning, Staying::Writing),
    ]);
}

/// Guards against heads that are kept, whole or in part, without being counted against the limit.
#[test]
fn heads_of_many_short_fields_stay_within_the_memory_limit() {
    let hanging = Backends::hanging();
    let field_lines = |count: usize, value: usize| {
        (0..count).map(|i| format!("a{}: {}\r\n", i % 90, "b".repeat(value))).collect::<String>()
    };
    // hyper answers a head of more than 100 fields at once.
    let endless = || [keyed_head("").trim_ascii_end(), b"\r\n", field_lines(90, 340).as_bytes()].concat();
    let whole = |headers: &str, body: usize| {
        let head = keyed_head(&format!("{}{headers}", field_lines(90, 300)));
        [head, vec![b'x'; body]].concat()
    };
    let waiting = || whole("Content-Length: 100\r\n", 100);
    let half = || whole("Content-Length: 60000\r\n", 100);
    let half_in_chunks = || whole("Transfer-Encoding: chunked\r\n", 0);
    let crowd = |what, sends| Crowd { what, backends: &hanging, sends, staying: Staying::Idle };
    check_crowds(&[
        crowd("a head without an end", &endless),
        crowd("a long head, waiting for its answer", &waiting),
        crowd("a long head, half a body", &half),
        crowd("a long head, half a body in chunks", &half_in_chunks),
    ]);
}

/// Guards against buffers of response bodies that are not counted against the limit.
#[test]
fn answers_that_are_read_or_written_slowly_stay_within_the_memory_limit() {
    let request = || {
        let head = format!("GET /read/1 HTTP/1.1\r\nHost: a\r\n{}\r\n", common_headers(BUDGET_MS));
        head.into_bytes()
    };
    let pipelined = || (0..60).flat_map(|_| request()).collect();
    let at_length = Backends::handling(answer_at_length);
    let shortly = Backends::handling(answer_shortly);
    let without_an_end = Backends::handling(answer_without_an_end);
    let crowd = |what, backends, sends, staying| Crowd { what, backends, sends, staying };
    check_crowds(&[
        crowd("long answers, read slowly", &at_length, &request, Staying::Reading),
        crowd("short answers, not read", &shortly, &pipelined, Staying::Idle),
        crowd("short answers, read slowly", &shortly, &pipelined, Staying::Reading),
        crowd("short answers that are not ended", &without_an_end, &request, Staying::Idle),
    ]);
}

/// Guards against several kinds of buffers that keep to the limit one by one but not together.
#[test]
fn a_mixed_crowd_stays_within_the_memory_limit() {
    let answering = Backends::handling(answer_shortly);
    let number = AtomicUsize::new(0);
    let fields = (0..90).map(|i| format!("a{i}: {}\r\n", "b".repeat(300))).collect::<String>();
    let mixed = || match number.fetch_add(1, Ordering::Relaxed) % 4 {
        0 => part_of_request(300_000, 600_000),
        1 => [keyed_head(&format!("{fields}Content-Length: 60000\r\n")), vec![b'x'; 50_000]].concat(),
        2 => part_of_chunked_request(300),
        _ => {
            format!("GET /read/1 HTTP/1.1\r\nHost: a\r\n{}\r\n", common_headers(BUDGET_MS)).repeat(60).into()
        }
    };
    let crowd = |what, staying| Crowd { what, backends: &answering, sends: &mixed, staying };
    check_crowds(&[crowd("a mixed crowd", Staying::Idle), crowd("a mixed crowd, slow", Staying::Writing)]);
}

/// Guards against a successor for which a crowd at its predecessor leaves no memory: the limit is that of both.
#[test]
fn a_successor_beside_a_crowd_stays_within_the_memory_limit() {
    const SOCKETS: usize = 1024;
    let answering = Backends::handling(answer_shortly);
    let request = || {
        let head = format!("GET /read/1 HTTP/1.1\r\nHost: a\r\n{}\r\n", common_headers(BUDGET_MS));
        head.repeat(60).into_bytes()
    };
    let discovery = Discovery::start();
    let config = with_ops(&Backends::configuration(&discovery, SOCKETS));
    let (mut old, _watch) = answering.start(&discovery, &config, SOCKETS);
    let mut clients = connect_clients(&old, SOCKETS * 5 / 8, &request);
    stay(&mut clients, Staying::Idle);
    let listen = format!(r#""listen":"{}""#, old.address);
    let config = config.replace(r#""listen":"127.0.0.1:0""#, &listen);
    let new = Node::start_in(&old.tmp, &config, &format!("ulimit -n {SOCKETS}; "));
    let ready = || new.ops_call("GET /status") == 200;
    let _list_watch = discovery.send_list_until(&answering.list(), ready, "the successor");
    let peaks = [&old, &new].map(|node| node.peak_memory() >> 10);
    eprintln!("peaks of both processes: {peaks:?} kB");
    assert!(peaks.iter().sum::<usize>() < MEMORY_LIMIT_MB << 10, "{peaks:?} kB");
    drop(clients);
    old.terminate();
    assert!(old.wait_for_exit().success());
    assert!(new.is_ready());
}
