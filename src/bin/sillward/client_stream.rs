//! A client's TCP stream that records reads and writes: only they tell a slow request head from an idle
//! connection.

use crate::client::Client;
use std::cell::RefCell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// A client's TCP stream, and the connection state that its reads and writes update.
pub struct ClientStream {
    stream: Rc<RefCell<TcpStream>>,
    client: Rc<Client>,
}

impl ClientStream {
    /// Wraps the stream of `client`.
    pub fn new(stream: Rc<RefCell<TcpStream>>, client: Rc<Client>) -> Self {
        ClientStream { stream, client }
    }

    fn finish_write(&self, written: usize) -> Poll<io::Result<usize>> {
        self.client.record_write();
        Poll::Ready(Ok(written))
    }
}

impl AsyncRead for ClientStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut *self.stream.borrow_mut()).poll_read(cx, buffer))?;
        if buffer.filled().len() > before {
            self.client.record_read();
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for ClientStream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        let written = ready!(Pin::new(&mut *self.stream.borrow_mut()).poll_write(cx, bytes))?;
        self.finish_write(written)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = ready!(Pin::new(&mut *self.stream.borrow_mut()).poll_write_vectored(cx, slices))?;
        self.finish_write(written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.borrow().is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.stream.borrow_mut()).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.stream.borrow_mut()).poll_shutdown(cx)
    }
}
