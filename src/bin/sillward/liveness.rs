//! What the kernel knows of a client's connection: whether the client is still connected, asked just before an
//! attempt, and how much of what it sent is unread. The runtime learns of a
//! disconnect only when it next reads, and it reads nothing while bytes that follow a request are unread: an
//! attempt can't wait for that.

use rustix::event::{PollFd, PollFlags, Timespec, poll};
use rustix::io::{Errno, ioctl_fionread};
use rustix::net::{RecvFlags, recv};
use std::cell::{Cell, RefCell};
use std::rc::{Rc, Weak};
use tokio::net::TcpStream;

/// With this much sent and not known to be all, a client may have closed its connection without that being
/// visible: its close stands behind bytes for which the kernel has no room. This is half of the least that Linux
/// lets a peer send ahead.
const MAX_PIPELINED_BYTES: u64 = 32 * 1024;

/// A handle to a client's connection that doesn't keep it open. The default has no connection and never
/// counts as disconnected.
#[derive(Clone, Default)]
pub struct Liveness {
    stream: Option<Weak<RefCell<TcpStream>>>,
    bytes_read: Rc<Cell<u64>>,
    /// The number of bytes read when last nothing was unread.
    read_all_at: Rc<Cell<u64>>,
}

impl Liveness {
    /// The handle to this connection.
    pub fn of(stream: &Rc<RefCell<TcpStream>>) -> Self {
        Liveness { stream: Some(Rc::downgrade(stream)), ..Liveness::default() }
    }

    /// Whether the client has closed or half-closed its connection, or the connection is broken. HTTP cannot
    /// say that a client sends no more but still waits for its response, so the protocol takes a half-close
    /// for a close.
    pub fn is_disconnected(&self) -> bool {
        let Some(stream) = &self.stream else { return false };
        let Some(stream) = stream.upgrade() else { return true };
        peer_state(&stream.borrow()) == PeerState::Disconnected
    }

    /// This many bytes have been read from the client.
    pub fn record_read(&self, bytes: usize) {
        self.bytes_read.set(self.bytes_read.get() + bytes as u64);
    }

    /// Whether the client may have disconnected without that being visible, because it has sent more than the
    /// kernel takes. Asked when all of a request has been read: what is unread belongs to later ones.
    pub fn may_be_disconnected(&self) -> bool {
        let (read, unread) = (self.bytes_read.get(), self.unread_bytes());
        if unread == 0 {
            self.read_all_at.set(read);
        }
        read - self.read_all_at.get() + unread > MAX_PIPELINED_BYTES
    }

    /// The bytes from the client that the kernel holds unread; none if there is no connection.
    pub fn unread_bytes(&self) -> u64 {
        let stream = self.stream.as_ref().and_then(Weak::upgrade);
        stream.and_then(|stream| ioctl_fionread(&*stream.borrow()).ok()).unwrap_or_default()
    }
}

/// What the kernel knows of the peer of a connection.
#[derive(Debug, PartialEq)]
pub enum PeerState {
    /// It is connected, and all that it sent has been read.
    Idle,
    /// It is connected, and bytes that it sent are unread.
    UnreadData,
    /// It has closed or half-closed the connection, or the connection is broken.
    Disconnected,
}

/// Asks the kernel without reading anything.
pub fn peer_state(stream: &TcpStream) -> PeerState {
    match recv(stream, &mut [0; 1][..], RecvFlags::PEEK | RecvFlags::DONTWAIT) {
        Ok((0, _)) | Err(Errno::CONNRESET | Errno::CONNABORTED | Errno::PIPE | Errno::TIMEDOUT) => {
            PeerState::Disconnected
        }
        // The peek shows only unread bytes; whether the stream ends after them is known to poll.
        Ok(_) => {
            let mut poll_fds = [PollFd::new(stream, PollFlags::RDHUP)];
            let no_wait = Timespec { tv_sec: 0, tv_nsec: 0 };
            let polled = poll(&mut poll_fds, Some(&no_wait)).is_ok();
            let hung_up =
                poll_fds[0].revents().intersects(PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR);
            if polled && hung_up { PeerState::Disconnected } else { PeerState::UnreadData }
        }
        // Nothing was received, or the check isn't supported here: the client counts as connected.
        Err(_) => PeerState::Idle,
    }
}

#[cfg(test)]
pub mod tests;
