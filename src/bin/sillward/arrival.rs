//! Detects in the kernel's receive buffer that the last byte of a streamed request body has arrived.
//!
//! A request's time starts when its last byte reaches this machine. The node reads a streamed body only as fast
//! as the backend takes it, so the last bytes may stay unread in the kernel for as long as a backend hangs, or
//! in the buffers of the client's machine, where nothing shows them. Nor would the node notice meanwhile that
//! the client has disconnected.

use crate::messages::ClientPresence;
use crate::read_chunk::READ_BUFFER_BYTES;
use crate::upload::UploadProgress;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// How often the kernel is asked.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Without growth for this long, a body that may be whole is taken to be whole.
const QUIET_PERIOD: Duration = Duration::from_millis(100);
/// The most body bytes that are neither in the kernel nor read: hyper reads one chunk ahead.
const MAX_READ_AHEAD_BYTES: u64 = READ_BUFFER_BYTES as u64;

/// An upload that may have been sent whole is given up this long before its time is over, so that the client is
/// told in time.
const ANSWER_TIME: Duration = Duration::from_millis(50);

/// What has arrived of a body, in the kernel or read.
struct Arrival {
    bytes: u64,
    /// After this time the latest of these bytes arrived.
    since: Instant,
}

/// Watches a streamed body until an attempt has taken all of it or its client disconnects. Tells the request
/// when the last byte arrived, and that the client has disconnected. A body that its backend has held back for
/// as long as the client waits, `budget`, counts as sent whole.
pub async fn watch(progress: &UploadProgress, client: &ClientPresence, budget: Duration) {
    let mut checked_at = Instant::now();
    let mut arrival = Arrival { bytes: 0, since: checked_at };
    while !progress.is_complete() {
        sleep(CHECK_INTERVAL).await;
        if client.check_disconnected() {
            return;
        }
        let unread = client.unread_bytes();
        let bytes = progress.bytes_read() + unread;
        if bytes > arrival.bytes {
            arrival = Arrival { bytes, since: checked_at };
        } else if unread == 0 {
            // The client's machine may send, and nothing has come.
            progress.record_caught_up(checked_at);
        }
        progress.record_arrived(bytes, checked_at);
        checked_at = Instant::now();
        if arrival.is_whole(progress) {
            progress.record_received(arrival.since);
        }
        let possibly_sent_at = progress.possibly_sent_at();
        if possibly_sent_at.elapsed() + ANSWER_TIME >= budget {
            progress.record_received(possibly_sent_at);
        }
    }
}

impl Arrival {
    /// Whether the last byte has arrived. The chunk that hyper has read ahead is not seen, and neither is the
    /// end of a chunked body before it is read: where they could make a difference, a body that has stopped
    /// growing while its backend takes nothing counts as whole.
    fn is_whole(&self, progress: &UploadProgress) -> bool {
        if progress.is_awaiting_client() {
            return false; // all that has arrived was read, and the end was not among it
        }
        let (certain, possible) = match progress.length() {
            Some(length) => (self.bytes >= length, self.bytes + MAX_READ_AHEAD_BYTES >= length),
            None => (false, progress.has_begun()),
        };
        certain || possible && self.since.elapsed() >= QUIET_PERIOD
    }
}

#[cfg(test)]
mod tests;
