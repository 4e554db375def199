//! The refusal of a request whose head is not read for lack of memory. hyper has no whole head to answer then, so
//! the response is written beside it, once hyper has written the response before.

use crate::read_chunk::{READ_BUFFER_BYTES, READ_CHUNK_BYTES};
use hyper::StatusCode;
use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::io;
use std::pin::Pin;
use std::task::{Poll, ready};
use tokio::io::AsyncWrite;
use tokio::net::TcpStream;
use tokio::sync::Notify;

/// Whether the next head of a connection is refused, and whether that can be written.
#[derive(Default)]
pub struct HeadRefusal {
    decided: Cell<bool>,
    /// Part of a response may not have been written.
    unflushed: Cell<bool>,
    /// Notified when the refusal can be written.
    due: Notify,
}

impl HeadRefusal {
    /// The head is not read any further: its request is refused, and its connection closes.
    pub fn decide(&self) {
        self.decided.set(true);
        self.notify_if_due();
    }

    /// Whether the head is refused.
    pub fn is_decided(&self) -> bool {
        self.decided.get()
    }

    /// All that hyper has given to the connection has been written, or no more so.
    pub fn set_flushed(&self, flushed: bool) {
        self.unflushed.set(!flushed);
        self.notify_if_due();
    }

    fn notify_if_due(&self) {
        if self.decided.get() && !self.unflushed.get() {
            self.due.notify_one();
        }
    }

    /// Waits until the head is refused and the response before has been written.
    pub async fn due(&self) {
        self.due.notified().await;
    }
}

/// Refuses the request whose head has arrived on this connection and is not read: drops what has arrived of it,
/// since unread bytes would reset the connection when it closes, and writes the response.
pub async fn refuse_head(stream: &RefCell<TcpStream>, status: StatusCode, text: &str) -> io::Result<()> {
    discard_unread(&stream.borrow());
    let length = text.len();
    let response =
        format!("HTTP/1.1 {status}\r\nconnection: close\r\ncontent-length: {length}\r\n\r\n{text}");
    let mut unwritten = response.as_bytes();
    poll_fn(|cx| {
        while !unwritten.is_empty() {
            let written = ready!(Pin::new(&mut *stream.borrow_mut()).poll_write(cx, unwritten))?;
            unwritten = &unwritten[written..];
        }
        Poll::Ready(Ok(()))
    })
    .await
}

/// Reads and drops as much as a head may have.
fn discard_unread(stream: &TcpStream) {
    let mut chunk = [0; READ_CHUNK_BYTES];
    let mut discarded = 0;
    while discarded < READ_BUFFER_BYTES {
        match stream.try_read(&mut chunk) {
            Ok(0) | Err(_) => return,
            Ok(read) => discarded += read,
        }
    }
}

#[cfg(test)]
mod tests;
