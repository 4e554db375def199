//! A TCP stream to a backend that detects unsolicited responses: bytes that arrive while no response is
//! expected.
//!
//! A faulty backend may answer a request twice, the second time some milliseconds later. HTTP/1.1 does not
//! say which request a response belongs to, so if the next request is already written, its client gets the
//! wrong response (response desynchronisation). Therefore unsolicited bytes end the connection, no request is
//! written to a connection that has unread bytes, and from then on that backend's connections are quarantined
//! for a while after each response before they are reused. `docs/restarts.md` has the alternatives that were
//! considered.

use crate::read_chunk::poll_read_chunk;
use crate::write_backlog::WriteBacklog;
use hillpick::ServerId;
use hillpick::control::log::log;
use rustix::io::Errno;
use rustix::net::{RecvFlags, recv};
use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::Instant;

/// The shortest quarantine after a response. A second response comes some milliseconds after the first,
/// according to the operators' description of the protocol: 20 ms covers that, and a quarter is added for
/// variation in network delay.
pub const MIN_QUARANTINE: Duration = Duration::from_millis(25);
/// The longest quarantine after a response. Bytes that arrive more than half of this after a response can't
/// be distinguished from those on a connection that is about to be closed for idleness.
pub const MAX_QUARANTINE: Duration = Duration::from_secs(1);

/// How long the connections of one backend are quarantined after a response; all of them share it.
pub struct Quarantine {
    server: ServerId,
    /// Zero until the backend has sent an unsolicited response.
    duration: Cell<Duration>,
}

impl Quarantine {
    /// No quarantine yet for this backend.
    pub fn new(server: ServerId) -> Rc<Self> {
        Rc::new(Quarantine { server, duration: Cell::new(Duration::ZERO) })
    }

    /// How long a connection may not be reused after a response.
    pub fn duration(&self) -> Duration {
        self.duration.get()
    }

    /// Unsolicited bytes came this long after the last response: from now on connections are quarantined for
    /// twice that, within [`MIN_QUARANTINE`] and [`MAX_QUARANTINE`]. The time never becomes shorter.
    pub fn record_unsolicited(&self, delay: Duration) {
        let first = self.duration.get().is_zero();
        self.duration.set(self.duration.get().max((2 * delay).clamp(MIN_QUARANTINE, MAX_QUARANTINE)));
        if first {
            log(format_args!(
                "server {:x} sent unsolicited bytes {delay:.1?} after its last response",
                self.server.0
            ));
        }
    }
}

/// The state of the exchange on a connection, shared by its stream and the pool.
pub struct ExchangeState {
    /// The quarantine of the connection's backend.
    pub quarantine: Rc<Quarantine>,
    /// A request is to be written, or a response is expected.
    in_exchange: Cell<bool>,
    /// No byte of that request has been written.
    unwritten: Cell<bool>,
    /// When the last response was complete, if there was one.
    last_response_at: Cell<Option<Instant>>,
    /// What a streamed request body has given the connection to write.
    pub write_backlog: Rc<WriteBacklog>,
}

impl ExchangeState {
    /// The state of a new connection.
    pub fn new(quarantine: Rc<Quarantine>) -> Rc<Self> {
        Rc::new(ExchangeState {
            quarantine,
            in_exchange: Cell::new(false),
            unwritten: Cell::new(true),
            last_response_at: Cell::new(None),
            write_backlog: Rc::default(),
        })
    }

    /// Begins an exchange: a request is handed to the connection.
    pub fn begin(&self) {
        self.in_exchange.set(true);
        self.unwritten.set(true);
        self.write_backlog.reset();
    }

    /// Ends an exchange: the response is complete, or the request was never handed over.
    pub fn end(&self) {
        if self.in_exchange.replace(false) && !self.unwritten.get() {
            self.last_response_at.set(Some(Instant::now()));
        }
    }

    /// Whether no byte of the current request has been written.
    pub fn is_unwritten(&self) -> bool {
        self.unwritten.get()
    }

    /// How much longer the connection is quarantined.
    pub fn quarantine_left(&self) -> Duration {
        self.last_response_at
            .get()
            .map_or(Duration::ZERO, |at| self.quarantine.duration().saturating_sub(at.elapsed()))
    }

    /// Whether bytes that arrive now are unsolicited.
    fn expects_no_response(&self) -> bool {
        !self.in_exchange.get() || self.unwritten.get()
    }

    /// Unsolicited bytes have arrived on this connection.
    fn record_unsolicited(&self) {
        self.quarantine
            .record_unsolicited(self.last_response_at.get().map(|at| at.elapsed()).unwrap_or_default());
    }
}

/// A connection to a backend that checks for unsolicited bytes when it is read and before a request is
/// written.
pub struct BackendStream {
    stream: TcpStream,
    exchange: Rc<ExchangeState>,
}

impl BackendStream {
    /// Wraps a connection.
    pub fn new(stream: TcpStream, exchange: Rc<ExchangeState>) -> Self {
        BackendStream { stream, exchange }
    }

    /// Called before the first byte of a request is written: fails if the kernel holds unread bytes or the
    /// end of the connection. The runtime may not have noticed them yet, because it polls the kernel only now
    /// and then. New connections are checked as well: what a backend writes before the first request would be
    /// read as the head of the first response.
    fn check_unread(&self) -> io::Result<()> {
        if !self.exchange.unwritten.get() {
            return Ok(());
        }
        match recv(&self.stream, &mut [0; 64][..], RecvFlags::empty()) {
            Err(Errno::AGAIN) => Ok(()),
            Ok((0, _)) => Err(io::ErrorKind::ConnectionAborted.into()),
            Ok(_) => {
                self.exchange.record_unsolicited();
                Err(io::ErrorKind::InvalidData.into())
            }
            Err(e) => Err(e.into()),
        }
    }

    /// Notes that part of a request has been written.
    fn record_written(&self, written: usize) -> Poll<io::Result<usize>> {
        if written > 0 {
            self.exchange.unwritten.set(false);
            self.exchange.write_backlog.record_written(written);
        }
        Poll::Ready(Ok(written))
    }
}

impl AsyncRead for BackendStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let read = ready!(poll_read_chunk(&mut self.stream, cx, buffer))?;
        if read > 0 && self.exchange.expects_no_response() {
            self.exchange.record_unsolicited();
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for BackendStream {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        self.check_unread()?;
        let written = ready!(Pin::new(&mut self.stream).poll_write(cx, bytes))?;
        self.record_written(written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        pieces: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.check_unread()?;
        let written = ready!(Pin::new(&mut self.stream).poll_write_vectored(cx, pieces))?;
        self.record_written(written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
