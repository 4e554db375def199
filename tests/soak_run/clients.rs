//! Clients that send one request after the other on connections that they keep, and some that leave.

use super::{Dice, Run};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread::sleep;
use std::time::{Duration, Instant};

/// How long a client waits past its time before it calls a request lost: what is allowed and room to measure.
const LAST_CALL: Duration = Duration::from_millis(1500);
const PAUSE: Duration = Duration::from_millis(40);
const BODY_LENGTHS: [usize; 6] = [5, 300, 9_000, 60_000, 150_000, 600_000];
const MAX_SHORT_ANSWER_BYTES: usize = 64 * 1024;

static NUMBER: AtomicU64 = AtomicU64::new(0);

/// The class of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Class {
    Read,
    Submit,
    Correct,
}

/// How a request ended for its client.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Ending {
    /// A whole answer with this status; whether it is this request's own.
    Answered { status: u16, own: bool },
    /// An answer began and broke off.
    Truncated,
    /// The connection ended with no byte of an answer.
    Closed,
    /// The client has left, at this time.
    Left,
    /// Nothing came.
    Silence,
}

/// A request as its client saw it.
#[derive(Clone, Debug)]
pub struct RequestRecord {
    pub id: String,
    pub class: Class,
    /// When its last byte was written.
    pub sent: Instant,
    /// The time of the answer: its first byte if it is long, else its last; or of the connection's end.
    pub ended: Instant,
    pub ending: Ending,
    /// Whether all of it was written.
    pub whole: bool,
}

/// Sends requests until the run ends.
pub fn send_requests(run: &Run, address: SocketAddr, number: u64) {
    let mut dice = Dice::new(run.plan.seed, 100 + number);
    let mut connection = None;
    while !run.ended.load(Ordering::SeqCst) {
        let stream = match connection.take().map_or_else(|| TcpStream::connect(address), Ok) {
            Ok(stream) => stream,
            Err(_) => {
                sleep(PAUSE); // the node restarts
                continue;
            }
        };
        let (record, kept) = request(run, stream, &mut dice);
        connection = kept;
        run.requests.lock().expect("the records").push(record);
        sleep(dice.up_to(PAUSE));
    }
}

/// Makes a request; returns the connection if it can be used again.
fn request(run: &Run, mut stream: TcpStream, dice: &mut Dice) -> (RequestRecord, Option<TcpStream>) {
    let class = dice.pick(&[Class::Read, Class::Submit, Class::Correct]);
    let id = format!("{:x}-{:x}", run.plan.seed, NUMBER.fetch_add(1, Ordering::SeqCst));
    let message = message(run, class, &id, dice);
    let budget = run.plan.budget();
    let _ = stream.set_nodelay(true);
    let _ = stream.set_write_timeout(Some(budget + LAST_CALL));
    let whole = stream.write_all(&message).is_ok();
    let sent = Instant::now();
    let mut record = RequestRecord { id, class, sent, ended: sent, ending: Ending::Silence, whole };
    if whole && dice.percent(6) {
        sleep(dice.up_to(budget / 2));
        record.ended = Instant::now();
        record.ending = Ending::Left;
        return (record, None);
    }
    let mut answer = AnswerReader::new(&stream, sent + budget + LAST_CALL);
    record.ending = answer.read(&record.id);
    record.ended = answer.counted_at.unwrap_or_else(Instant::now);
    let reusable = matches!(record.ending, Ending::Answered { .. }) && !answer.closes && whole;
    (record, reusable.then_some(stream))
}

fn message(run: &Run, class: Class, id: &str, dice: &mut Dice) -> Vec<u8> {
    let common =
        format!("Host: a\r\nX-Call-Id: {id}\r\nX-Caller: acme\r\nX-Budget-Ms: {}\r\n", run.plan.budget_ms);
    let start_line = match class {
        Class::Read => return format!("GET /read/1f HTTP/1.1\r\n{common}\r\n").into_bytes(),
        Class::Submit => "POST /submit/1f",
        Class::Correct => "POST /correct/1f",
    };
    let body = vec![b'x'; dice.pick(&BODY_LENGTHS)];
    let head = format!("{start_line} HTTP/1.1\r\n{common}Idempotency-Key: {id}\r\n");
    if dice.percent(40) {
        let mut message = format!("{head}Transfer-Encoding: chunked\r\n\r\n").into_bytes();
        for chunk in body.chunks(1 + dice.below(50_000) as usize) {
            message.extend_from_slice(format!("{:x}\r\n", chunk.len()).as_bytes());
            message.extend_from_slice(chunk);
            message.extend_from_slice(b"\r\n");
        }
        message.extend_from_slice(b"0\r\n\r\n");
        return message;
    }
    [format!("{head}Content-Length: {}\r\n\r\n", body.len()).as_bytes(), &body].concat()
}

/// Reads an answer of any framing.
struct AnswerReader<'a> {
    stream: &'a TcpStream,
    bytes: Vec<u8>,
    deadline: Instant,
    /// The time that counts for the answer.
    counted_at: Option<Instant>,
    /// The node closes the connection after this answer.
    closes: bool,
}

/// What a read brought.
enum More {
    Bytes,
    End,
    Timeout,
}

impl<'a> AnswerReader<'a> {
    fn new(stream: &'a TcpStream, deadline: Instant) -> Self {
        AnswerReader { stream, bytes: Vec::new(), deadline, counted_at: None, closes: false }
    }

    fn more(&mut self) -> More {
        let mut buffer = [0; 32 * 1024];
        loop {
            let left = self.deadline.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
            let _ = self.stream.set_read_timeout(Some(left));
            match (&*self.stream).read(&mut buffer) {
                Ok(0) => return More::End,
                Ok(read) => {
                    self.bytes.extend_from_slice(&buffer[..read]);
                    return More::Bytes;
                }
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                    return More::Timeout;
                }
                Err(_) => return More::End,
            }
        }
    }

    /// Reads until this finds its end; an ending if the answer breaks off before.
    fn until<T>(&mut self, mut find: impl FnMut(&[u8]) -> Option<T>) -> Result<T, Ending> {
        loop {
            if let Some(found) = find(&self.bytes) {
                return Ok(found);
            }
            match self.more() {
                More::Bytes => {}
                More::End if self.bytes.is_empty() => return Err(Ending::Closed),
                More::End => return Err(Ending::Truncated),
                More::Timeout => return Err(Ending::Silence),
            }
        }
    }

    fn read(&mut self, id: &str) -> Ending {
        self.read_whole(id).unwrap_or_else(|ending| ending)
    }

    fn read_whole(&mut self, id: &str) -> Result<Ending, Ending> {
        let head_end = |bytes: &[u8]| bytes.windows(4).position(|end| end == b"\r\n\r\n").map(|at| at + 4);
        let head_length = self.until(head_end)?;
        let head = String::from_utf8_lossy(&self.bytes[..head_length]).to_lowercase();
        let status = head.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or_default();
        self.closes = head.contains("connection: close");
        let length =
            head.lines().find_map(|line| line.strip_prefix("content-length: ")?.parse::<usize>().ok());
        let is_long = length.is_none_or(|length| length > MAX_SHORT_ANSWER_BYTES);
        if is_long {
            // From the first bytes of a long answer on its server sets the pace.
            self.until(|bytes| (bytes.len() > head_length).then_some(()))?;
            self.counted_at = Some(Instant::now());
            self.deadline = Instant::now() + Duration::from_secs(20);
        }
        let body = match length {
            Some(length) => {
                self.until(|bytes| (bytes.len() >= head_length + length).then_some(()))?;
                self.bytes[head_length..].to_vec()
            }
            None => {
                self.until(|bytes| bytes.ends_with(b"\r\n0\r\n\r\n").then_some(()))?;
                let first =
                    self.bytes[head_length..].iter().position(|byte| *byte == b'\n').unwrap_or_default();
                self.bytes[head_length + first + 1..].to_vec()
            }
        };
        self.counted_at.get_or_insert_with(Instant::now);
        let own = status != 200 || body.starts_with(id.as_bytes());
        Ok(Ending::Answered { status, own })
    }
}
