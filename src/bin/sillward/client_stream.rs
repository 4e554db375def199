//! A client's TCP stream that records reads and writes: only they tell a slow request head from an idle
//! connection. It reads in short chunks, and a long head only as far as memory has been reserved for it.

use crate::client::Client;
use crate::head_memory::{HeadMemory, TAIL_BYTES, UnreadHead};
use crate::memory::MemoryBudget;
use crate::read_chunk::poll_read_chunk;
use std::cell::RefCell;
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

type PendingHeadMemory = Pin<Box<dyn Future<Output = HeadMemory>>>;

/// A client's TCP stream, and the connection state that its reads and writes update.
pub struct ClientStream {
    stream: Rc<RefCell<TcpStream>>,
    client: Rc<Client>,
    memory: Arc<MemoryBudget>,
    pending_head_memory: Option<PendingHeadMemory>,
    /// The last bytes that were read.
    read_tail: [u8; TAIL_BYTES],
}

impl ClientStream {
    /// Wraps the stream of `client`.
    pub fn new(stream: Rc<RefCell<TcpStream>>, client: Rc<Client>, memory: Arc<MemoryBudget>) -> Self {
        ClientStream { stream, client, memory, pending_head_memory: None, read_tail: [0; TAIL_BYTES] }
    }

    fn finish_write(&self, written: usize) -> Poll<io::Result<usize>> {
        self.client.record_write(written);
        Poll::Ready(Ok(written))
    }

    /// Ready once memory is reserved for the next chunk, if that belongs to a long head. Never, once the head is
    /// refused for lack of memory.
    fn poll_head_memory(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        if !self.client.expects_long_head() || self.client.head_memory.borrow().is_some() {
            self.pending_head_memory = None;
            return Poll::Ready(());
        }
        if self.client.head_refusal.is_decided() {
            return Poll::Pending;
        }
        let (stream, client, read_tail) = (&self.stream, &self.client, self.read_tail);
        let pending = self.pending_head_memory.get_or_insert_with(|| {
            let unread = UnreadHead::new(stream.clone(), client.clone(), read_tail);
            Box::pin(unread.reserve(self.memory.clone()))
        });
        let ended = ready!(pending.as_mut().poll(cx));
        self.pending_head_memory = None;
        match ended {
            HeadMemory::Reserved(reservation) => drop(self.client.head_memory.replace(Some(reservation))),
            HeadMemory::NotNeeded => {}
            HeadMemory::OutOfMemory => {
                self.client.head_refusal.decide();
                return Poll::Pending;
            }
        }
        Poll::Ready(())
    }

    /// Keeps the last of the bytes that were read.
    fn record_tail(&mut self, read: &[u8]) {
        self.read_tail = match *read {
            [.., before_last, last] => [before_last, last],
            [only] => [self.read_tail[TAIL_BYTES - 1], only],
            [] => self.read_tail,
        };
    }
}

impl AsyncRead for ClientStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        ready!(self.poll_head_memory(cx));
        let before = buffer.filled().len();
        let read = ready!(poll_read_chunk(&mut self.stream.borrow_mut(), cx, buffer))?;
        if read > 0 {
            self.client.record_read(read);
            self.record_tail(&buffer.filled()[before..]);
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for ClientStream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        self.client.head_refusal.set_flushed(false);
        let written = ready!(Pin::new(&mut *self.stream.borrow_mut()).poll_write(cx, bytes))?;
        self.finish_write(written)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.client.head_refusal.set_flushed(false);
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
