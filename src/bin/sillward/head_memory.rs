//! The memory of a long request head, which is reserved before the head is read. A head that is still arriving
//! waits for as long as its client may take to send it. One that has arrived whole may use the memory that senders
//! which stop in the middle leave free, and waits for that for a limited time only: its request has been taken.

use crate::client::Client;
use crate::memory::{MAX_UNREAD_WAIT, MemoryBudget, Reservation};
use crate::read_chunk::READ_BUFFER_BYTES;
use rustix::net::{RecvFlags, recv};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout, timeout_at};

/// How often the kernel is asked whether the rest of a waiting head has arrived.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// As much of what was read as can hold the beginning of a head's end.
pub const TAIL_BYTES: usize = 2;

/// How a wait for the memory of a head ended.
pub enum HeadMemory {
    /// The rest of the head may be read.
    Reserved(Reservation),
    /// What arrives next belongs to no long head.
    NotNeeded,
    /// A head that has arrived whole has waited for as long as it may.
    OutOfMemory,
}

/// The unread rest of a long head.
pub struct UnreadHead {
    stream: Rc<RefCell<TcpStream>>,
    client: Rc<Client>,
    /// The last bytes of the part that has been read.
    read_tail: [u8; TAIL_BYTES],
    /// The bytes that were unread when they were last looked at.
    unread_before: Cell<u64>,
}

impl UnreadHead {
    /// The rest of the head that `client` is sending.
    pub fn new(stream: Rc<RefCell<TcpStream>>, client: Rc<Client>, read_tail: [u8; TAIL_BYTES]) -> Self {
        UnreadHead { stream, client, read_tail, unread_before: Cell::new(0) }
    }

    /// Waits for the memory to read it.
    pub async fn reserve(self, memory: Arc<MemoryBudget>) -> HeadMemory {
        let mut checked_at = Instant::now();
        while self.client.expects_long_head() {
            if self.has_arrived() {
                self.client.head_arrived_at.set(Some(checked_at));
                let wait_end = checked_at + MAX_UNREAD_WAIT;
                let reserved = timeout_at(wait_end, memory.reserve(READ_BUFFER_BYTES)).await;
                return reserved.map_or(HeadMemory::OutOfMemory, HeadMemory::Reserved);
            }
            checked_at = Instant::now();
            let reserved = timeout(CHECK_INTERVAL, memory.reserve_arriving(READ_BUFFER_BYTES)).await;
            if let Ok(reservation) = reserved {
                return HeadMemory::Reserved(reservation);
            }
        }
        HeadMemory::NotNeeded
    }

    /// Whether the kernel holds the rest of the head, or all that a connection may buffer of it.
    fn has_arrived(&self) -> bool {
        let unread = self.client.liveness.unread_bytes();
        if unread <= self.unread_before.get() {
            return false;
        }
        let room = READ_BUFFER_BYTES.saturating_sub(self.client.head_bytes.get());
        let mut bytes = vec![0; TAIL_BYTES + room];
        let (tail, rest) = bytes.split_at_mut(TAIL_BYTES);
        tail.copy_from_slice(&self.read_tail);
        let flags = RecvFlags::PEEK | RecvFlags::DONTWAIT;
        let Ok((peeked, _)) = recv(&*self.stream.borrow(), rest, flags) else { return false };
        self.unread_before.set(peeked as u64);
        peeked >= room || contains_head_end(&bytes[..TAIL_BYTES + peeked])
    }
}

/// Whether an empty line is among these bytes. A line may end without a carriage return.
fn contains_head_end(bytes: &[u8]) -> bool {
    bytes.windows(2).any(|pair| pair == b"\n\n") || bytes.windows(3).any(|three| three == b"\n\r\n")
}

#[cfg(test)]
mod tests;
