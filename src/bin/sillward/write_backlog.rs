//! Backpressure between a streamed body and the connection that it is written to: the next chunk is taken
//! from the body once the connection has written what it was given. hyper alone would take chunks until its
//! write buffer is full.

use std::cell::{Cell, RefCell};
use std::task::{Context, Poll, Waker};

/// The bytes that a connection was given and has not written. The connection's stream and the body share it.
#[derive(Default)]
pub struct WriteBacklog {
    bytes: Cell<usize>,
    waiting: RefCell<Option<Waker>>,
}

impl WriteBacklog {
    /// Ready once the connection has written all that it was given.
    pub fn poll_written(&self, cx: &mut Context<'_>) -> Poll<()> {
        if self.bytes.get() == 0 {
            return Poll::Ready(());
        }
        self.waiting.replace(Some(cx.waker().clone()));
        Poll::Pending
    }

    /// The connection is given these bytes.
    pub fn add(&self, bytes: usize) {
        self.bytes.set(self.bytes.get() + bytes);
    }

    /// The connection has written this many bytes, heads and framing included.
    pub fn record_written(&self, bytes: usize) {
        self.bytes.set(self.bytes.get().saturating_sub(bytes));
        if self.bytes.get() == 0 {
            self.waiting.take().into_iter().for_each(Waker::wake);
        }
    }

    /// Forgets what an earlier message on the connection left.
    pub fn reset(&self) {
        self.bytes.set(0);
        self.waiting.take().into_iter().for_each(Waker::wake);
    }
}
