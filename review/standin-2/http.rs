//! HTTP/1.1 messages as clients and roster servers read and write them.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::os::fd::AsRawFd;
use std::time::Duration;

/// A message that was read whole.
#[derive(Clone, Debug)]
pub struct Message {
    /// The request line or the status line.
    pub start: String,
    headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// When its first byte came, in milliseconds since the case began.
    pub begun_ms: f64,
}

impl Message {
    /// The first header of this name, which is given in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(other, _)| other == name).map(|(_, value)| value.as_str())
    }

    /// The status of an answer; 0 if this is none.
    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or_default()
    }

    /// The id of a request.
    pub fn id(&self) -> String {
        self.header("x-call-id").unwrap_or("without an id").to_owned()
    }
}

fn read_line(reader: &mut impl BufRead) -> io::Result<String> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 || !line.ends_with('\n') {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(line.trim_end().to_owned())
}

/// Reads a message. `UnexpectedEof` if the stream ends before it is whole; the only messages that may end with
/// the stream are those that the protocol delimits by nothing else, and the node writes none of these.
pub fn read_message(reader: &mut impl BufRead) -> io::Result<Message> {
    let mut message =
        Message { start: read_line(reader)?, headers: Vec::new(), body: Vec::new(), begun_ms: 0.0 };
    loop {
        let line = read_line(reader)?;
        let Some((name, value)) = line.split_once(':') else { break };
        message.headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
    }
    let broken = || io::Error::from(io::ErrorKind::InvalidData);
    if message.header("transfer-encoding").is_some_and(|value| value.eq_ignore_ascii_case("chunked")) {
        loop {
            let line = read_line(reader)?;
            let size = usize::from_str_radix(line.split(';').next().unwrap_or_default().trim(), 16);
            let size = size.map_err(|_| broken())?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk)?;
            message.body.extend_from_slice(&chunk[..size]);
            if size == 0 {
                return Ok(message);
            }
        }
    }
    let length =
        message.header("content-length").map_or(Ok(0), |value| value.parse().map_err(|_| broken()))?;
    message.body.resize(length, 0);
    reader.read_exact(&mut message.body)?;
    Ok(message)
}

// The C library, which every program of the standard library is linked with.
unsafe extern "C" {
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
}
// Linux numbers, the same on x86-64 and arm64.
const SOL_SOCKET: i32 = 1;
const SO_RCVBUF: i32 = 8;

/// A client's connection.
pub struct Client {
    pub stream: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Client {
    /// Connects to a node.
    pub fn connect(address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect(address)?;
        stream.set_nodelay(true)?;
        let reader = BufReader::new(stream.try_clone()?);
        Ok(Client { stream, reader })
    }

    /// Lets the client's machine take no more than some kB ahead of what the client reads.
    pub fn limit_read_ahead(&self) {
        let bytes = 4096;
        // Without the limit a slow reader only looks less slow to the node.
        unsafe { setsockopt(self.stream.as_raw_fd(), SOL_SOCKET, SO_RCVBUF, &bytes, 4) };
    }

    /// Sends bytes.
    pub fn send(&mut self, bytes: impl AsRef<[u8]>) -> io::Result<()> {
        self.stream.write_all(bytes.as_ref())
    }

    /// Reads an answer; an error if it is not whole by then.
    pub fn answer(&mut self, within: Duration) -> io::Result<Message> {
        self.stream.set_read_timeout(Some(within))?;
        read_message(&mut self.reader)
    }
}

/// Says how a request ended.
pub fn describe(answer: &io::Result<Message>) -> String {
    match answer {
        Ok(answer) => format!("{} with {} bytes", answer.start, answer.body.len()),
        Err(e) if e.kind() == io::ErrorKind::WouldBlock => "no answer".to_owned(),
        Err(e) => format!("the connection ended without a whole answer ({:?})", e.kind()),
    }
}
