//! Whether a client is still there, asked of the kernel at the moment that counts. The runtime learns of a leaving when it
//! next reads, and reads nothing while what came after a request lies unread: an attempt must not wait for that.

use rustix::event::{PollFd, PollFlags, Timespec, poll};
use rustix::io::Errno;
use rustix::net::{RecvFlags, recv};
use std::cell::RefCell;
use std::rc::{Rc, Weak};
use tokio::net::TcpStream;

/// A client's connection as seen by what is done for it; it doesn't keep it open. By default that of nobody, who never
/// leaves.
#[derive(Clone, Default)]
pub struct Liveness(Option<Weak<RefCell<TcpStream>>>);

impl Liveness {
    pub fn of(stream: &Rc<RefCell<TcpStream>>) -> Self {
        Liveness(Some(Rc::downgrade(stream)))
    }

    /// It has closed its connection or ended its sending, or the connection is broken: HTTP has no word for a client that
    /// sends no more but still waits, and the protocol takes its end for a close.
    pub fn is_disconnected(&self) -> bool {
        let Some(stream) = &self.0 else { return false };
        let Some(stream) = stream.upgrade() else { return true };
        ask(&stream.borrow()) == Peer::Left
    }
}

/// The other end of a client's connection.
#[derive(Debug, PartialEq)]
pub enum Peer {
    /// All that it has sent has been read.
    Silent,
    /// Bytes of it are unread.
    Unread,
    Left,
}

pub fn ask(stream: &TcpStream) -> Peer {
    match recv(stream, &mut [0; 1][..], RecvFlags::PEEK | RecvFlags::DONTWAIT) {
        Ok((0, _)) | Err(Errno::CONNRESET | Errno::CONNABORTED | Errno::PIPE | Errno::TIMEDOUT) => Peer::Left,
        // Bytes stand before an end, if there is one: that shows only here.
        Ok(_) => {
            let mut asked = [PollFd::new(stream, PollFlags::RDHUP)];
            let now = Timespec { tv_sec: 0, tv_nsec: 0 };
            let told = poll(&mut asked, Some(&now)).is_ok();
            let ended = asked[0].revents().intersects(PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR);
            if told && ended { Peer::Left } else { Peer::Unread }
        }
        // Nothing has come, or this can't be asked here: no reason to turn anybody down.
        Err(_) => Peer::Silent,
    }
}

#[cfg(test)]
pub mod tests;
