//! A stand-in for a roster server, a process of its own: one core, a short queue, answers with what was asked.
//! It writes what it does to its standard output, a line each:
//!
//!     LISTEN port
//!     HEAD id key length      the head of a request has come
//!     RUN id key length       its last byte has come and work on it begins
//!     DONE id                 it is answered with 200
//!     REJECT id               it is turned away unseen, with X-Rejected
//!     SECOND id ms            its answer is sent once more, so many ms after the first

use crate::net::{Random, header, read_body, read_head};
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::Duration;

/// A connection that stands idle for so long is closed: the time in the settings.
const IDLE_CLOSE: Duration = Duration::from_millis(5000);

#[derive(Clone)]
struct Options {
    /// Work of a request, in ms.
    work_ms: (f64, f64),
    /// How many requests may wait for the core.
    queue: usize,
    /// The share of answers that are sent a second time, and how many ms later.
    second: Option<(f64, f64, f64)>,
}

/// The core: requests are served one after another, in the order in which they came.
#[derive(Default)]
struct Core {
    next_ticket: u64,
    serving: u64,
}

pub fn line(text: String) {
    let mut out = std::io::stdout().lock();
    let _ = out.write_all(format!("{text}\n").as_bytes()).and_then(|()| out.flush());
}

/// `server WORK_LOW WORK_HIGH QUEUE [SHARE LOW_MS HIGH_MS]`
pub fn run(arguments: &[String]) {
    let numbers: Vec<f64> = arguments.iter().map(|text| text.parse().expect("a number")).collect();
    let options = Options {
        work_ms: (numbers[0], numbers[1]),
        queue: numbers[2] as usize,
        second: (numbers.len() > 5).then(|| (numbers[3], numbers[4], numbers[5])),
    };
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    line(format!("LISTEN {}", listener.local_addr().unwrap().port()));
    thread::spawn(|| {
        // The test holds the other end: when it has gone, so does this process.
        let _ = std::io::stdin().read(&mut [0]);
        std::process::exit(0)
    });
    let core = Arc::new((Mutex::new(Core::default()), Condvar::new()));
    for stream in listener.incoming().flatten() {
        let (core, options) = (core.clone(), options.clone());
        thread::spawn(move || serve(stream, &core, &options));
    }
}

/// Waits for the first byte of the next request; false once the connection has ended or stood idle too long.
fn wait_for_request(reader: &mut BufReader<TcpStream>) -> bool {
    let _ = reader.get_ref().set_read_timeout(Some(IDLE_CLOSE));
    loop {
        match reader.fill_buf() {
            Ok(bytes) => return !bytes.is_empty(),
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(_) => return false,
        }
    }
}

fn serve(stream: TcpStream, core: &(Mutex<Core>, Condvar), options: &Options) {
    let _ = stream.set_nodelay(true);
    let writer = Arc::new(Mutex::new(stream.try_clone().expect("a handle")));
    let mut random = Random::new(stream.peer_addr().map_or(0, |address| address.port().into()));
    let mut reader = BufReader::new(stream);
    while wait_for_request(&mut reader) {
        let _ = reader.get_ref().set_read_timeout(None);
        let Some(head) = read_head(&mut reader) else { return };
        let answer = |status: &str, headers: &str, body: &[u8]| {
            let head = format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n", body.len());
            [head.as_bytes(), body].concat()
        };
        let send = |bytes: &[u8]| writer.lock().unwrap().write_all(bytes).is_ok();
        let (mutex, condvar) = core;
        let path = head[0].split(' ').nth(1).unwrap_or_default().to_owned();
        if path == "/stats" || path == "/health/live" {
            let held = {
                let core = mutex.lock().unwrap();
                core.next_ticket - core.serving
            };
            let report = format!("inflight={held},queue={}", held.saturating_sub(1));
            if !send(&answer("200 OK", "", report.as_bytes())) {
                return;
            }
            continue;
        }
        let Some(id) = header(&head, "x-call-id").map(str::to_owned) else {
            let _ = send(&answer("404 Not Found", "", b""));
            return;
        };
        let key = header(&head, "idempotency-key").unwrap_or("-").to_owned();
        let length = header(&head, "content-length").unwrap_or("-").to_owned();
        if key != "-" {
            line(format!("HEAD {id} {key} {length}"));
        }
        let Ok(body) = read_body(&mut reader, &head, false) else { return };
        let ticket = {
            let mut core = mutex.lock().unwrap();
            let ticket = core.next_ticket;
            let taken = ticket - core.serving <= options.queue as u64;
            core.next_ticket += u64::from(taken);
            taken.then_some(ticket)
        };
        let Some(ticket) = ticket else {
            line(format!("REJECT {id}"));
            if !send(&answer("503 Service Unavailable", "X-Rejected: 1\r\n", b"")) {
                return;
            }
            continue;
        };
        let mut waiting = mutex.lock().unwrap();
        while waiting.serving != ticket {
            waiting = condvar.wait(waiting).unwrap();
        }
        drop(waiting);
        line(format!("RUN {id} {key} {}", body.len()));
        thread::sleep(Duration::from_secs_f64(random.between(options.work_ms.0, options.work_ms.1) / 1e3));
        mutex.lock().unwrap().serving += 1;
        condvar.notify_all();
        line(format!("DONE {id}"));
        let bytes = answer("200 OK", "", format!("made for {id}").as_bytes());
        if !send(&bytes) {
            return;
        }
        if let Some((share, low, high)) = options.second.filter(|(share, ..)| random.unit() < *share) {
            let (delay, writer) = (random.between(low, high), writer.clone());
            let _ = share;
            thread::spawn(move || {
                thread::sleep(Duration::from_secs_f64(delay / 1e3));
                if writer.lock().unwrap().write_all(&bytes).is_ok() {
                    line(format!("SECOND {id} {delay:.1}"));
                }
            });
        }
    }
}
