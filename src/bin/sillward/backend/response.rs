//! Reads the responses to attempts: short ones whole, long ones as streams.

use super::exchange::{AttemptEnd, Stage};
use super::{Connection, ConnectionPool};
use crate::body::{BodyChunk, MAX_BUFFERED_BYTES, STALL_TIMEOUT};
use crate::memory::ReservedBuffer;
use crate::messages::{Attempt, Message, ResponseStart};
use crate::read_chunk::READ_CHUNK_BYTES;
use bytes::Bytes;
use hillpick::control::log::log;
use hillpick::control::transfer_coding;
use hillpick::{LoadReport, Outcome, ServerId};
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming};
use hyper::header::HeaderMap;
use hyper::{Response, StatusCode};
use std::cell::Cell;
use std::rc::Rc;
use tokio::sync::mpsc;
use tokio::time::{Instant, timeout, timeout_at};

/// The body of a response, as far as it was buffered.
enum BufferedResponse {
    /// All of it.
    Whole(Bytes),
    /// The parts that have come, in order; the rest is to be streamed.
    Part(Vec<Bytes>),
    /// The connection broke.
    Broken,
}

impl ConnectionPool {
    /// Reads the response of an attempt. A response short enough to be buffered is read in full, so that a
    /// truncated one is an outcome of the attempt and the client never gets part of it.
    pub(super) async fn receive(
        self: &Rc<Self>,
        attempt: &Attempt,
        connection: Connection,
        response: Response<Incoming>,
        (stage, messages): (&Cell<Stage>, &mpsc::Sender<Message>),
    ) -> AttemptEnd {
        // hyper keeps the larger buffer of a long head as long as the connection.
        let is_reusable = header_bytes(response.headers()) <= READ_CHUNK_BYTES;
        if response.status() != StatusCode::OK {
            let response = self.read_short_response(attempt.server, response).await;
            if response.is_complete() && is_reusable {
                self.release_after(attempt, connection);
            }
            return response.into_served();
        }
        if !is_readable(attempt.server, response.headers()) {
            return (Outcome::Reset, None, None);
        }
        let report = self.header_report(response.headers());
        let mut body = response.into_body();
        let length = body.size_hint().exact();
        match self.buffer_response(attempt, &mut body, length).await {
            BufferedResponse::Whole(bytes) => {
                if is_reusable {
                    self.release_after(attempt, connection);
                }
                (Outcome::Served, report, Some(bytes))
            }
            BufferedResponse::Broken => (Outcome::Reset, None, None),
            BufferedResponse::Part(parts) => {
                let (sender, chunks) = mpsc::channel(1);
                let start = ResponseStart { id: attempt.id, attempt: attempt.number, length, chunks };
                if messages.send(Message::ResponseStarted(start)).await.is_err() {
                    return (Outcome::Cancelled, report, None);
                }
                stage.set(Stage::ResponseStarted);
                let now = self.clock.now();
                let time_left = attempt.forward.deadline.get().saturating_sub(now);
                let first_chunk_by = self.clock.instant(now + time_left.min(attempt.forward.budget));
                let outcome = stream_response(parts, body, length, sender, first_chunk_by).await;
                if outcome == Outcome::Served && is_reusable {
                    self.release_after(attempt, connection);
                }
                (outcome, report, None)
            }
        }
    }

    /// Buffers a response that is short, or may be. A long one, or one without a length, is streamed before the
    /// time of its attempt is over: at the latest when half of what is left is, also if no byte of its body has
    /// come. From then on only its client's time counts. A response for which there is no memory is streamed
    /// as well.
    async fn buffer_response(
        &self,
        attempt: &Attempt,
        body: &mut Incoming,
        length: Option<u64>,
    ) -> BufferedResponse {
        let is_short = length.is_some_and(|length| length <= MAX_BUFFERED_BYTES as u64);
        let now = self.clock.now();
        // While the request's body still arrives, its deadline is not known.
        let time_left = attempt.deadline().saturating_sub(now).min(attempt.forward.budget);
        let stream_at = self.clock.instant(now + time_left / 2);
        let mut buffer = ReservedBuffer::default();
        loop {
            let frame = match timeout_at(stream_at, body.frame()).await {
                Ok(frame) => frame,
                Err(_) if is_short => body.frame().await,
                Err(_) => return BufferedResponse::Part(vec![buffer.finish()]),
            };
            let data = match frame.map(|frame| frame.map(Frame::into_data)) {
                Some(Ok(data)) => data.unwrap_or_default(),
                Some(Err(_)) => return BufferedResponse::Broken,
                None => return BufferedResponse::Whole(buffer.finish()),
            };
            if length.is_some() && !is_short {
                return BufferedResponse::Part(vec![data]);
            }
            if buffer.needs_reservation(data.len()) {
                let wanted = length.map_or(MAX_BUFFERED_BYTES, |length| length as usize);
                if let Some(reservation) = self.memory.try_reserve(wanted) {
                    buffer.set_reservation(reservation);
                }
            }
            if buffer.needs_reservation(data.len()) || buffer.len() + data.len() > MAX_BUFFERED_BYTES {
                return BufferedResponse::Part(vec![buffer.finish(), data]);
            }
            buffer.append(&data);
        }
    }

    /// Reads a response that is no answer for a client, up to the longest that is buffered. Only its beginning
    /// is kept.
    pub(super) async fn read_short_response(
        self: &Rc<Self>,
        server: ServerId,
        response: Response<Incoming>,
    ) -> ShortResponse {
        if !is_readable(server, response.headers()) {
            return ShortResponse { outcome: Outcome::Reset, report: None, body: None };
        }
        let (head, mut body) = response.into_parts();
        let report = self.header_report(&head.headers);
        let (mut buffer, mut length) = (ReservedBuffer::default(), 0);
        while let Some(frame) = body.frame().await {
            let Ok(frame) = frame else {
                return ShortResponse { outcome: Outcome::Reset, report: None, body: None };
            };
            let data = frame.into_data().unwrap_or_default();
            length += data.len();
            if length > MAX_BUFFERED_BYTES {
                log(format_args!(
                    "server {:x}: dropped a response of more than {MAX_BUFFERED_BYTES} bytes",
                    server.0
                ));
                return ShortResponse { outcome: Outcome::Error, report, body: None };
            }
            if !buffer.needs_reservation(data.len()) {
                buffer.append(&data);
            }
        }
        let body = buffer.finish();
        let rejected = head.headers.get("x-rejected").is_some_and(|value| value == "1");
        let outcome = match head.status {
            StatusCode::OK => Outcome::Served,
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if rejected => Outcome::Rejected,
            // No other response promises that the request never ran.
            _ => Outcome::Error,
        };
        ShortResponse { outcome, report, body: Some(body) }
    }
}

/// Whether a response can be read. One in an unsupported transfer coding can't be, like one with a malformed
/// head: whatever its status says, the request may have run.
fn is_readable(server: ServerId, headers: &HeaderMap) -> bool {
    let readable = transfer_coding::is_decoded(headers);
    if !readable {
        log(format_args!("server {:x}: dropped a response in an unsupported transfer coding", server.0));
    }
    readable
}

fn header_bytes(headers: &HeaderMap) -> usize {
    headers.iter().map(|(name, value)| name.as_str().len() + value.len()).sum()
}

/// Streams a response: what has been read, then the rest of its body. Its first bytes are due at
/// `first_chunk_by`, the later ones whenever they come.
async fn stream_response(
    parts: Vec<Bytes>,
    mut body: Incoming,
    length: Option<u64>,
    sender: mpsc::Sender<BodyChunk>,
    first_chunk_by: Instant,
) -> Outcome {
    let mut begun = false;
    let mut bytes_left = length;
    let mut parts = parts.into_iter().filter(|part| !part.is_empty());
    loop {
        // The next chunk is read when there is room for it.
        let permit = match timeout(STALL_TIMEOUT, sender.reserve()).await {
            Ok(Ok(permit)) => permit,
            // The client has disconnected, has stopped reading, or has another answer.
            Ok(Err(_)) | Err(_) => return Outcome::Cancelled,
        };
        let data = match parts.next() {
            Some(part) => part,
            None => {
                let stalled_at = Instant::now() + STALL_TIMEOUT;
                let chunk_by = if begun { stalled_at } else { stalled_at.min(first_chunk_by) };
                let frame = tokio::select! {
                    biased;
                    frame = timeout_at(chunk_by, body.frame()) => frame,
                    () = sender.closed() => return Outcome::Cancelled,
                };
                match frame {
                    Ok(Some(Ok(frame))) => frame.into_data().unwrap_or_default(),
                    Ok(None) => {
                        permit.send(BodyChunk::End);
                        return Outcome::Served;
                    }
                    Ok(Some(Err(_))) => return Outcome::Reset,
                    Err(_) => return Outcome::TimedOut,
                }
            }
        };
        begun |= !data.is_empty();
        bytes_left = bytes_left.map(|left| left.saturating_sub(data.len() as u64));
        permit.send(BodyChunk::Data(data));
        // With a known length the receiver does not wait for an end: the last byte is the end.
        if bytes_left == Some(0) {
            return Outcome::Served;
        }
    }
}

/// A response that is read in full and not forwarded.
pub(super) struct ShortResponse {
    pub(super) outcome: Outcome,
    pub(super) report: Option<LoadReport>,
    /// The beginning of the body, whatever the status was; `None` if the response is incomplete.
    pub(super) body: Option<Bytes>,
}

impl ShortResponse {
    /// Whether the response is complete, so that its connection can be reused.
    pub(super) fn is_complete(&self) -> bool {
        self.body.is_some()
    }

    /// The result of the attempt, with the body only if the request was served.
    fn into_served(self) -> AttemptEnd {
        let body = self.body.filter(|_| self.outcome == Outcome::Served);
        (self.outcome, self.report, body)
    }
}
