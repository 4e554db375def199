//! A connection to a backend as a stream that knows whether an answer is due on it. A backend may answer twice, the
//! second time some milliseconds late; HTTP/1.1 has no word for whose answer that is. So bytes that come when none are
//! due end the connection, a request is not written over them, and from then on that backend's connections rest before
//! the next request.
//! `docs/restarts.md` has the ways that were weighed.

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

/// Connections of a backend that has written out of turn rest at least so long. A second answer comes some milliseconds
/// after the first (the operators' exchange page); 20 ms is taken for that, and a quarter more for paths that don't take
/// the same time twice.
pub const REST: Duration = Duration::from_millis(25);
/// No connection rests longer: whatever comes later than half of this is not told from one that is closed for idleness.
pub const LONGEST_REST: Duration = Duration::from_secs(1);

/// What is known of one backend's connections; all of them share it.
pub struct Quarantine {
    server: ServerId,
    /// Nothing until it has written what nobody had asked for.
    rest: Cell<Duration>,
}

impl Quarantine {
    pub fn new(server: ServerId) -> Rc<Self> {
        Rc::new(Quarantine { server, rest: Cell::new(Duration::ZERO) })
    }

    /// How long a connection rests after an answer.
    pub fn rest(&self) -> Duration {
        self.rest.get()
    }

    /// Bytes came so long after the last answer: from now on connections rest for twice that, within bounds.
    pub fn stray(&self, after: Duration) {
        let first = self.rest.get().is_zero();
        self.rest.set(self.rest.get().max((2 * after).clamp(REST, LONGEST_REST)));
        if first {
            log(format_args!("server {:x} sent what nobody had asked for, {after:.1?} late", self.server.0));
        }
    }
}

/// Where a connection stands, for its stream and for the pool.
pub struct ExchangeState {
    pub quarantine: Rc<Quarantine>,
    /// A request is to be written, or an answer is due.
    asked: Cell<bool>,
    /// Not a byte of that request has been written.
    unwritten: Cell<bool>,
    /// When the last answer had come, if there was one.
    answered: Cell<Option<Instant>>,
}

impl ExchangeState {
    pub fn new(quarantine: Rc<Quarantine>) -> Rc<Self> {
        Rc::new(ExchangeState {
            quarantine,
            asked: Cell::new(false),
            unwritten: Cell::new(true),
            answered: Cell::new(None),
        })
    }

    /// A request is handed to it.
    pub fn ask(&self) {
        self.asked.set(true);
        self.unwritten.set(true);
    }

    /// Its answer has come whole, or it was never handed over.
    pub fn fall_idle(&self) {
        if self.asked.replace(false) && !self.unwritten.get() {
            self.answered.set(Some(Instant::now()));
        }
    }

    pub fn is_unwritten(&self) -> bool {
        self.unwritten.get()
    }

    /// How long it has yet to rest.
    pub fn rests(&self) -> Duration {
        self.answered.get().map_or(Duration::ZERO, |at| self.quarantine.rest().saturating_sub(at.elapsed()))
    }

    /// Whether bytes that come now are nobody's answer.
    fn is_free(&self) -> bool {
        !self.asked.get() || self.unwritten.get()
    }

    fn stray(&self) {
        self.quarantine.stray(self.answered.get().map(|at| at.elapsed()).unwrap_or_default());
    }
}

pub struct BackendStream {
    stream: TcpStream,
    exchange: Rc<ExchangeState>,
}

impl BackendStream {
    pub fn new(stream: TcpStream, exchange: Rc<ExchangeState>) -> Self {
        BackendStream { stream, exchange }
    }

    /// Before the first byte of a request: what has come may not have been noticed yet, since the runtime asks the kernel
    /// only now and then. So it is asked here, at once. On a new connection as well: what a backend writes there before it
    /// was asked anything would be read as the head of the first answer.
    fn look(&self) -> io::Result<()> {
        if !self.exchange.unwritten.get() {
            return Ok(());
        }
        match recv(&self.stream, &mut [0; 64][..], RecvFlags::empty()) {
            Err(Errno::AGAIN) => Ok(()),
            Ok((0, _)) => Err(io::ErrorKind::ConnectionAborted.into()),
            Ok(_) => {
                self.exchange.stray();
                Err(io::ErrorKind::InvalidData.into())
            }
            Err(e) => Err(e.into()),
        }
    }

    fn written(&self, written: usize) -> Poll<io::Result<usize>> {
        if written > 0 {
            self.exchange.unwritten.set(false);
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
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buffer))?;
        if buffer.filled().len() > before && self.exchange.is_free() {
            self.exchange.stray();
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for BackendStream {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        self.look()?;
        let written = ready!(Pin::new(&mut self.stream).poll_write(cx, bytes))?;
        self.written(written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        pieces: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.look()?;
        let written = ready!(Pin::new(&mut self.stream).poll_write_vectored(cx, pieces))?;
        self.written(written)
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
