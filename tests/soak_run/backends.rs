//! Backends that answer, fail, hang and are slow as their dice say.

use super::{Dice, Run};
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{Scope, sleep};
use std::time::{Duration, Instant};

const BACKENDS: u64 = 8;
const ZONES: [&str; 2] = ["a", "b"];
/// A backend that reads slowly takes a piece of this length at a time.
const SLOW_READ_BYTES: usize = 16 * 1024;
const SLOW_READ_INTERVAL: Duration = Duration::from_millis(50);
const LONG_ANSWER_BYTES: usize = 300_000;
const LONG_ANSWER_PIECES: usize = 10;
/// How often a backend that waits looks whether the run has ended.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// A request, or the beginning of one, at a backend.
#[derive(Clone, Debug)]
pub struct Receipt {
    /// The backend's zone.
    pub zone: &'static str,
    /// When its first bytes were read.
    pub begun: Instant,
    /// Whether all of it came, and the backend did not turn it away.
    pub ran: bool,
}

/// How an answer's end is marked.
#[derive(Clone, Copy)]
enum Framing {
    Length,
    Chunked,
    UntilClosed,
}

/// The backends of a run.
pub struct Backends {
    addresses: Vec<SocketAddr>,
    stopped: Arc<AtomicBool>,
}

impl Backends {
    /// Starts the backends.
    pub fn start<'scope>(run: &'scope Run, scope: &'scope Scope<'scope, '_>) -> Self {
        let stopped = Arc::new(AtomicBool::new(false));
        let mut addresses = Vec::new();
        for number in 0..BACKENDS {
            let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
            addresses.push(listener.local_addr().expect("its address"));
            listener.set_nonblocking(true).expect("an option");
            let stopped = stopped.clone();
            scope.spawn(move || {
                let mut connections = 0;
                while !stopped.load(Ordering::SeqCst) {
                    let Ok((stream, _)) = listener.accept() else {
                        sleep(Duration::from_millis(2));
                        continue;
                    };
                    connections += 1;
                    let dice = Dice::new(run.plan.seed, 1000 * (number + 1) + connections);
                    let stopped = stopped.clone();
                    let zone = ZONES[number as usize % ZONES.len()];
                    scope.spawn(move || Connection::new(run, stream, zone, dice, stopped).serve());
                }
            });
        }
        Backends { addresses, stopped }
    }

    /// Their entries in the server list.
    pub fn entries(&self) -> Vec<String> {
        let entry = |(i, address): (usize, &SocketAddr)| {
            crate::harness::entry(&format!("s-{i}"), *address, "in_service")
                .replace(r#""zone":"a""#, &format!(r#""zone":"{}""#, ZONES[i % ZONES.len()]))
        };
        self.addresses.iter().enumerate().map(entry).collect()
    }

    /// Ends all connections.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::SeqCst);
    }
}

/// A connection of the node.
struct Connection<'a> {
    run: &'a Run,
    reader: BufReader<TcpStream>,
    writer: TcpStream,
    zone: &'static str,
    dice: Dice,
    stopped: Arc<AtomicBool>,
}

impl<'a> Connection<'a> {
    fn new(
        run: &'a Run,
        stream: TcpStream,
        zone: &'static str,
        dice: Dice,
        stopped: Arc<AtomicBool>,
    ) -> Self {
        stream.set_nonblocking(false).expect("an option");
        stream.set_nodelay(true).expect("an option");
        stream.set_read_timeout(Some(POLL_INTERVAL)).expect("an option");
        stream.set_write_timeout(Some(Duration::from_secs(5))).expect("an option");
        let reader = BufReader::with_capacity(4096, stream.try_clone().expect("a handle"));
        Connection { run, reader, writer: stream, zone, dice, stopped }
    }

    /// Serves requests until the connection or the run ends.
    fn serve(mut self) {
        while self.serve_one().unwrap_or(false) {}
        let _ = self.writer.shutdown(Shutdown::Both);
    }

    /// Repeats a read until it succeeds; `None` if the connection or the run has ended.
    fn retry<T>(
        &mut self,
        mut read: impl FnMut(&mut BufReader<TcpStream>) -> std::io::Result<T>,
    ) -> Option<T> {
        loop {
            match read(&mut self.reader) {
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
                other => return other.ok(),
            }
            if self.stopped.load(Ordering::SeqCst) {
                return None;
            }
        }
    }

    fn read_line(&mut self) -> Option<String> {
        let mut line = String::new();
        self.retry(|reader| reader.read_line(&mut line)).filter(|read| *read > 0)?;
        Some(line.trim_end().to_owned())
    }

    fn read_bytes(&mut self, mut length: usize, slowly: bool) -> Option<()> {
        let mut buffer = vec![0; SLOW_READ_BYTES];
        while length > 0 {
            let wanted = length.min(SLOW_READ_BYTES);
            length -= self.retry(|reader| reader.read(&mut buffer[..wanted])).filter(|read| *read > 0)?;
            // After the run the rest of what was sent is taken at once: whether it was all of a request is recorded.
            if slowly && !self.stopped.load(Ordering::SeqCst) {
                sleep(SLOW_READ_INTERVAL);
            }
        }
        Some(())
    }

    fn read_body(&mut self, length: Option<usize>, slowly: bool) -> Option<()> {
        if let Some(length) = length {
            return self.read_bytes(length, slowly);
        }
        loop {
            let chunk = usize::from_str_radix(&self.read_line()?, 16).ok()?;
            self.read_bytes(chunk, slowly)?;
            self.read_line()?;
            if chunk == 0 {
                return Some(());
            }
        }
    }

    /// Serves a request; false if the connection is to be closed, `None` if it has broken.
    fn serve_one(&mut self) -> Option<bool> {
        self.read_line()?;
        let begun = Instant::now();
        let (mut id, mut length) = (String::new(), Some(0));
        loop {
            let line = self.read_line()?;
            match line.split_once(": ") {
                Some(("x-call-id", value)) => id = value.to_owned(),
                Some(("content-length", value)) => length = value.parse().ok(),
                Some(("transfer-encoding", _)) => length = None,
                Some(_) => {}
                None => break,
            }
        }
        let slowly = self.dice.percent(5);
        let rejects = self.dice.percent(4);
        let receipt = Receipt { zone: self.zone, begun, ran: false };
        let number = self.record(&id, receipt);
        self.read_body(length, slowly)?;
        if rejects {
            return self
                .write(b"HTTP/1.1 503 Busy\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n")
                .then_some(true);
        }
        self.run.receipts.lock().expect("the receipts").get_mut(&id)?[number].ran = true;
        Some(self.answer(&id))
    }

    fn record(&self, id: &str, receipt: Receipt) -> usize {
        let mut receipts = self.run.receipts.lock().expect("the receipts");
        let receipts = receipts.entry(id.to_owned()).or_default();
        receipts.push(receipt);
        receipts.len() - 1
    }

    /// Answers a request; false if the connection is to be closed.
    fn answer(&mut self, id: &str) -> bool {
        let budget = self.run.plan.budget();
        match self.dice.below(100) {
            0..66 => self.answer_shortly(id),
            66..76 => {
                sleep(self.dice.up_to(budget / 2));
                self.answer_shortly(id)
            }
            76..86 => {
                let delay =
                    if self.dice.percent(50) { self.dice.up_to(budget * 3 / 4) } else { Duration::ZERO };
                let framing = self.dice.pick(&[Framing::Length, Framing::Chunked, Framing::UntilClosed]);
                self.answer_at_length(id, framing, delay)
            }
            86..91 => self.write(b"HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n"),
            91..94 => false,
            94..97 => {
                let head = format!("HTTP/1.1 200 OK\r\nContent-Length: 20000\r\n\r\n{id}");
                self.write(head.as_bytes());
                false
            }
            _ => {
                self.hang();
                false
            }
        }
    }

    /// Does nothing until the node closes the connection.
    fn hang(&mut self) {
        let mut buffer = [0; 64];
        while self.retry(|reader| reader.read(&mut buffer)).is_some_and(|read| read > 0) {}
    }

    fn write(&mut self, bytes: &[u8]) -> bool {
        self.writer.write_all(bytes).is_ok()
    }

    fn answer_shortly(&mut self, id: &str) -> bool {
        let length = self.dice.pick(&[id.len(), 1000, 60_000]);
        let body = padded(id, length);
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
        self.write(&[head.as_bytes(), &body].concat())
    }

    fn answer_at_length(&mut self, id: &str, framing: Framing, delay: Duration) -> bool {
        let header = match framing {
            Framing::Length => format!("Content-Length: {LONG_ANSWER_BYTES}\r\n"),
            Framing::Chunked => "Transfer-Encoding: chunked\r\n".to_owned(),
            Framing::UntilClosed => String::new(),
        };
        self.write(format!("HTTP/1.1 200 OK\r\n{header}\r\n").as_bytes());
        sleep(delay);
        let body = padded(id, LONG_ANSWER_BYTES);
        let pause = self.dice.up_to(Duration::from_millis(60));
        for piece in body.chunks(LONG_ANSWER_BYTES / LONG_ANSWER_PIECES) {
            let written = match framing {
                Framing::Chunked => {
                    let size = format!("{:x}\r\n", piece.len());
                    self.write(&[size.as_bytes(), piece, b"\r\n"].concat())
                }
                Framing::Length | Framing::UntilClosed => self.write(piece),
            };
            if !written {
                return false;
            }
            sleep(pause);
        }
        match framing {
            Framing::Length => true,
            Framing::Chunked => self.write(b"0\r\n\r\n"),
            Framing::UntilClosed => false,
        }
    }
}

/// A body of this length that begins with a request's id.
fn padded(id: &str, length: usize) -> Vec<u8> {
    let mut body = id.as_bytes().to_vec();
    body.resize(length, b'.');
    body
}
