//! A client's TCP stream that records reads and writes: only they tell a slow request head from an idle
//! connection. It reads in short chunks, and a long head only as far as memory has been reserved for it.

use crate::client::{Client, READ_BUFFER_BYTES};
use crate::memory::{MemoryBudget, Reservation};
use crate::read_chunk::{READ_CHUNK_BYTES, poll_read_chunk};
use std::cell::RefCell;
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// A head up to this length fits into the read buffer that a connection begins with.
const SHORT_HEAD_BYTES: usize = READ_CHUNK_BYTES;

type PendingReservation = Pin<Box<dyn Future<Output = Reservation>>>;

/// A client's TCP stream, and the connection state that its reads and writes update.
pub struct ClientStream {
    stream: Rc<RefCell<TcpStream>>,
    client: Rc<Client>,
    memory: Arc<MemoryBudget>,
    pending_head_memory: Option<PendingReservation>,
}

impl ClientStream {
    /// Wraps the stream of `client`.
    pub fn new(stream: Rc<RefCell<TcpStream>>, client: Rc<Client>, memory: Arc<MemoryBudget>) -> Self {
        ClientStream { stream, client, memory, pending_head_memory: None }
    }

    fn finish_write(&self, written: usize) -> Poll<io::Result<usize>> {
        self.client.record_write(written);
        Poll::Ready(Ok(written))
    }

    /// Ready once memory is reserved for the next chunk, if that belongs to a long head. The connection's
    /// timeouts end the wait.
    fn poll_head_memory(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let is_long = self.client.expects_head() && self.client.head_bytes.get() >= SHORT_HEAD_BYTES;
        if is_long && self.client.head_memory.borrow().is_none() {
            let memory = self.memory.clone();
            let pending = self.pending_head_memory.get_or_insert_with(|| {
                Box::pin(async move { memory.reserve_arriving(READ_BUFFER_BYTES).await })
            });
            let reservation = ready!(pending.as_mut().poll(cx));
            self.client.head_memory.replace(Some(reservation));
            self.pending_head_memory = None;
        }
        Poll::Ready(())
    }
}

impl AsyncRead for ClientStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        ready!(self.poll_head_memory(cx));
        let read = ready!(poll_read_chunk(&mut self.stream.borrow_mut(), cx, buffer))?;
        if read > 0 {
            self.client.record_read(read);
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

    /// hyper flushes once it has written all that it buffers.
    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.client.record_flushed();
        Pin::new(&mut *self.stream.borrow_mut()).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.stream.borrow_mut()).poll_shutdown(cx)
    }
}
