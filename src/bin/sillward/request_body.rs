//! Reads request bodies from clients: short ones into memory that is reserved for them, the beginning of those
//! that are streamed, and those that are discarded.

use crate::body::{IdleBudget, MAX_BODY_BYTES, MAX_BUFFERED_BYTES};
use crate::client::{Client, READ_TIMEOUT};
use crate::lifecycle::Lifecycle;
use crate::memory::{MemoryBudget, Reservation, ReservedBuffer, UNRESERVED_BYTES};
use crate::request_head::Rejection;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::StatusCode;
use hyper::body::{Body, Incoming};
use std::cell::Cell;
use std::future::Future;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::{Instant, timeout};

/// A chunk that takes longer to read had not arrived before.
const READ_DELAY: Duration = Duration::from_millis(20);
/// The response to a request for whose buffers there is no memory.
pub const OUT_OF_MEMORY: Rejection = (StatusCode::SERVICE_UNAVAILABLE, "out of buffer memory");
/// The response to a request behind which so much is unread that its client may have left.
pub const TOO_MUCH_PIPELINED: Rejection =
    (StatusCode::SERVICE_UNAVAILABLE, "too many requests behind this one");
const TERMINATING: Rejection = (StatusCode::SERVICE_UNAVAILABLE, "terminating");

/// A request waits for memory for this part of its time.
pub const MEMORY_WAIT_DIVISOR: u32 = 4;

/// A body as far as it has been read.
pub struct ReadBody {
    /// What has been read, in order.
    pub read: Vec<Bytes>,
    /// The unread rest, if the body is to be streamed.
    pub rest: Option<Incoming>,
    /// When the last of these bytes may have arrived.
    pub received_at: Instant,
}

impl ReadBody {
    /// Whether the body has no bytes.
    pub fn is_empty(&self) -> bool {
        self.rest.is_none() && self.read.iter().all(Bytes::is_empty)
    }
}

/// Reads one request's body.
pub struct BodyReader<'a> {
    /// The client's connection.
    pub client: &'a Client,
    /// When the request's head had arrived, if it was read later than that.
    pub head_arrived_at: Option<Instant>,
    /// The idle time that the client has left.
    pub idle_budget: IdleBudget,
    /// How long the body may wait for memory.
    pub memory_wait: Duration,
    /// The memory for buffers.
    pub memory: &'a Arc<MemoryBudget>,
    /// The process's lifecycle: a shutdown lets go of requests that are incomplete.
    pub lifecycle: &'a Lifecycle,
}

impl BodyReader<'_> {
    /// Reads a body as far as it is buffered. One that is longer is to be streamed.
    pub async fn read(&mut self, mut body: Incoming) -> Result<ReadBody, Rejection> {
        if body.size_hint().lower() > MAX_BODY_BYTES {
            discard_later(body, self.client);
            return Err((StatusCode::PAYLOAD_TOO_LARGE, "body over 32 MiB"));
        }
        let length = body.size_hint().exact().map(|length| length as usize);
        let threshold = streaming_threshold(length);
        let mut buffer = ReservedBuffer::default();
        let mut arrived_by = self.head_arrived_at;
        loop {
            let (data, waited) = match self.next_chunk(&mut body).await {
                Ok(Some(chunk)) => chunk,
                Ok(None) => {
                    let received_at = arrived_by.unwrap_or_else(Instant::now);
                    return Ok(ReadBody { read: vec![buffer.finish()], rest: None, received_at });
                }
                Err(rejection) => return Err(drop_or_discard(body, self.client, rejection)),
            };
            arrived_by = arrived_by.filter(|_| waited < READ_DELAY);
            if buffer.len() + data.len() > threshold {
                let read = vec![buffer.finish(), data];
                let received_at = arrived_by.unwrap_or_else(Instant::now);
                return Ok(ReadBody { read, rest: Some(body), received_at });
            }
            if buffer.needs_reservation(data.len()) {
                arrived_by = Some(Instant::now());
                let wanted = length.unwrap_or(MAX_BUFFERED_BYTES);
                match self.wait(self.memory.reserve_arriving(wanted)).await {
                    Ok(reservation) => buffer.set_reservation(reservation),
                    Err(rejection) => {
                        discard_later(body, self.client);
                        return Err(rejection);
                    }
                }
            }
            buffer.append(&data);
        }
    }

    /// Reads the body of a request that is rejected, and returns the rejection. A long body is discarded in the
    /// background, so that its sender need not send all of it before it learns of that.
    pub async fn reject(mut self, mut body: Incoming, rejection: Rejection) -> Rejection {
        let mut length = 0;
        loop {
            let data = match self.next_chunk(&mut body).await {
                Ok(Some((data, _))) => data,
                Ok(None) => return rejection,
                Err(error) => return drop_or_discard(body, self.client, error),
            };
            length += data.len();
            if length > MAX_BUFFERED_BYTES {
                discard_later(body, self.client);
                return rejection;
            }
        }
    }

    /// The next chunk, and how long it was waited for; `None` at the body's end.
    async fn next_chunk(&mut self, body: &mut Incoming) -> Result<Option<(Bytes, Duration)>, Rejection> {
        let begun = Instant::now();
        self.client.awaiting_body.set(true);
        let frame = tokio::select! {
            biased;
            frame = timeout(self.idle_budget.remaining(), body.frame()) => frame,
            () = self.lifecycle.body_deadline() => return Err(TERMINATING),
        };
        self.client.awaiting_body.set(false);
        let Some(frame) = frame.map_err(|_| (StatusCode::REQUEST_TIMEOUT, "too slow"))? else {
            return Ok(None);
        };
        let frame = frame.map_err(|_| (StatusCode::BAD_REQUEST, "broken body"))?;
        let (data, waited) = (frame.into_data().unwrap_or_default(), begun.elapsed());
        self.idle_budget.record(waited, data.len());
        Ok(Some((data, waited)))
    }

    /// Waits for memory while the body is incomplete. The wait counts as idle time of the client: whether it
    /// still sends is not known while nothing is read.
    pub async fn wait(
        &mut self,
        reservation: impl Future<Output = Reservation>,
    ) -> Result<Reservation, Rejection> {
        let begun = Instant::now();
        let limit = self.memory_wait.min(self.idle_budget.remaining());
        let reserved = tokio::select! {
            biased;
            reserved = timeout(limit, reservation) => reserved.map_err(|_| OUT_OF_MEMORY),
            () = self.lifecycle.body_deadline() => Err(TERMINATING),
        };
        self.idle_budget.record(begun.elapsed(), 0);
        reserved
    }
}

/// The length above which a body is streamed once that much of it has come: one of known length as soon as it is
/// worth an attempt, another one when it is too long to buffer.
fn streaming_threshold(length: Option<usize>) -> usize {
    let is_long = length.is_some_and(|length| length > MAX_BUFFERED_BYTES);
    if is_long { UNRESERVED_BYTES } else { MAX_BUFFERED_BYTES }
}

/// Ends the reading of a body for this reason. Unless it is its client's fault, the rest is discarded.
fn drop_or_discard(body: Incoming, client: &Client, rejection: Rejection) -> Rejection {
    if rejection == TERMINATING {
        discard_later(body, client);
    }
    rejection
}

/// Discards a body whose request has been answered, in the background.
pub fn discard_later(body: Incoming, client: &Client) {
    let idle_budget = IdleBudget::until(Instant::now() + READ_TIMEOUT);
    spawn_local(discard(body, idle_budget, client.head_bytes.clone()));
}

/// Reads a body to its end, up to the longest allowed, and discards it, so that its sender sees the response
/// instead of a reset. What is discarded is no part of the next request's head, whose length so far is in
/// `head_bytes`.
pub async fn discard(mut body: Incoming, mut idle_budget: IdleBudget, head_bytes: Rc<Cell<usize>>) {
    let mut length = 0;
    while length <= MAX_BODY_BYTES {
        let waited_since = Instant::now();
        let Ok(Some(Ok(frame))) = timeout(idle_budget.remaining(), body.frame()).await else { return };
        let data = frame.into_data().unwrap_or_default();
        head_bytes.set(0);
        idle_budget.record(waited_since.elapsed(), data.len());
        length += data.len() as u64;
    }
}
