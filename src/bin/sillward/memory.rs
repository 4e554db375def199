//! The memory budget: what the node may hold in buffers whose number or size grows with its clients. Every
//! such buffer is reserved before it is filled. What a connection costs while it does nothing is not part of
//! the budget: the configuration sets that aside for each connection that it admits.

use crate::read_chunk::READ_CHUNK_BYTES;
use bytes::{Bytes, BytesMut};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;
use tokio::sync::Notify;

/// Messages up to this length need no reservation: their connections are counted with room for that.
pub const UNRESERVED_BYTES: usize = 2 * 1024;
/// What a request holds on its way, beside a body that is buffered: a chunk in each stage that a streamed
/// body passes through.
pub const EXCHANGE_BYTES: usize = 3 * (READ_CHUNK_BYTES + 1);
/// What has arrived of a message waits unread for memory no longer than this: its client may leave meanwhile
/// without that being visible.
pub const MAX_UNREAD_WAIT: Duration = Duration::from_millis(100);

/// The bytes that buffers may hold in all, and those that they hold.
pub struct MemoryBudget {
    limit: AtomicUsize,
    reserved: AtomicUsize,
    /// The part of `reserved` that is held for messages whose senders have not sent all of them.
    arriving: AtomicUsize,
    released: Notify,
}

impl MemoryBudget {
    /// A budget of this many bytes, of which none are reserved.
    pub fn new(limit: usize) -> Arc<Self> {
        Arc::new(MemoryBudget {
            limit: AtomicUsize::new(limit),
            reserved: AtomicUsize::new(0),
            arriving: AtomicUsize::new(0),
            released: Notify::new(),
        })
    }

    /// Changes the limit. What is reserved beyond a lower one stays so until it is released.
    pub fn set_limit(&self, limit: usize) {
        self.limit.store(limit, Ordering::Relaxed);
        self.released.notify_waiters();
    }

    /// The bytes that are reserved.
    pub fn reserved(&self) -> usize {
        self.reserved.load(Ordering::Relaxed)
    }

    /// The bytes that may be reserved in all.
    pub fn limit(&self) -> usize {
        self.limit.load(Ordering::Relaxed)
    }

    /// Whether less than half of the budget is left.
    pub fn is_short(&self) -> bool {
        self.reserved() > self.limit() / 2
    }

    /// Reserves memory; `None` if there is not that much left.
    pub fn try_reserve(self: &Arc<Self>, bytes: usize) -> Option<Reservation> {
        if self.reserved() + bytes > self.limit() {
            return None;
        }
        self.reserved.fetch_add(bytes, Ordering::Relaxed);
        Some(Reservation { budget: self.clone(), bytes, arriving: AtomicBool::new(false) })
    }

    /// Reserves memory for a message that is still arriving. Such messages get half of the budget at most, so
    /// that senders which stop in the middle leave room for whole requests.
    pub fn try_reserve_arriving(self: &Arc<Self>, bytes: usize) -> Option<Reservation> {
        let arriving = self.arriving.load(Ordering::Relaxed);
        if arriving + bytes > self.limit() / 2 {
            return None;
        }
        let reservation = self.try_reserve(bytes)?;
        self.arriving.fetch_add(bytes, Ordering::Relaxed);
        reservation.arriving.store(true, Ordering::Relaxed);
        Some(reservation)
    }

    /// Waits until memory can be reserved by `reserve`.
    async fn wait_for(&self, reserve: impl Fn() -> Option<Reservation>) -> Reservation {
        loop {
            let released = self.released.notified();
            if let Some(reservation) = reserve() {
                return reservation;
            }
            released.await;
        }
    }

    /// Waits until this much memory can be reserved. The caller bounds the wait.
    pub async fn reserve(self: &Arc<Self>, bytes: usize) -> Reservation {
        self.wait_for(|| self.try_reserve(bytes)).await
    }

    /// The same for a message that is still arriving, see [`MemoryBudget::try_reserve_arriving`].
    pub async fn reserve_arriving(self: &Arc<Self>, bytes: usize) -> Reservation {
        self.wait_for(|| self.try_reserve_arriving(bytes)).await
    }
}

/// Reserved memory, released on drop.
pub struct Reservation {
    budget: Arc<MemoryBudget>,
    bytes: usize,
    arriving: AtomicBool,
}

impl Reservation {
    /// The message for which it is held has arrived whole.
    pub fn set_arrived(&self) {
        if self.arriving.swap(false, Ordering::Relaxed) {
            self.budget.arriving.fetch_sub(self.bytes, Ordering::Relaxed);
            self.budget.released.notify_waiters();
        }
    }

    /// These bytes, with the reservation held until the last reference to them is dropped.
    pub fn hold(self, bytes: Bytes) -> Bytes {
        Bytes::from_owner(ReservedBytes { bytes, _reservation: self })
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.set_arrived();
        self.budget.reserved.fetch_sub(self.bytes, Ordering::Relaxed);
        self.budget.released.notify_waiters();
    }
}

/// A message as far as it has been buffered: up to [`UNRESERVED_BYTES`] without a reservation.
#[derive(Default)]
pub struct ReservedBuffer {
    bytes: BytesMut,
    reservation: Option<Reservation>,
}

impl ReservedBuffer {
    /// The bytes that it holds.
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Whether memory has to be reserved before this many bytes more are appended.
    pub fn needs_reservation(&self, more: usize) -> bool {
        self.reservation.is_none() && self.bytes.len() + more > UNRESERVED_BYTES
    }

    /// Makes room for as many bytes as are reserved.
    pub fn set_reservation(&mut self, reservation: Reservation) {
        self.bytes.reserve(reservation.bytes.saturating_sub(self.bytes.len()));
        self.reservation = Some(reservation);
    }

    /// Appends what came next.
    pub fn append(&mut self, data: &[u8]) {
        self.bytes.extend_from_slice(data);
    }

    /// What was buffered. The memory is held until the last reference is dropped.
    pub fn finish(self) -> Bytes {
        let bytes = self.bytes.freeze();
        match self.reservation {
            Some(reservation) => {
                reservation.set_arrived();
                reservation.hold(bytes)
            }
            None => bytes,
        }
    }
}

struct ReservedBytes {
    bytes: Bytes,
    _reservation: Reservation,
}

impl AsRef<[u8]> for ReservedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

#[cfg(test)]
mod tests;
