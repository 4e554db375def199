//! Attempts and probes: writes a request to a connection of the pool and reads the response.

use super::{Connection, ConnectionPool};
use crate::messages::{Attempt, AttemptResult, ForwardedRequest, Message, StopReason};
use crate::upload::AttemptBody;
use bytes::Bytes;
use hillpick::control::log::log;
use hillpick::settings::ReportColumn;
use hillpick::{LoadReport, Outcome, ReportSource, ServerId};
use http_body_util::Full;
use hyper::header::{HOST, HeaderMap, HeaderValue};
use hyper::{Method, Request};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::time::timeout;

/// The result of a slower probe would no longer be current.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);
/// How many connections an attempt may find broken in a row before its request is written to one of them.
const MAX_BROKEN_CONNECTIONS: usize = 4;

/// How an attempt ended: its outcome, a load report if there is one, and the body of a buffered response.
pub(super) type AttemptEnd = (Outcome, Option<LoadReport>, Option<Bytes>);

impl ConnectionPool {
    /// Makes an attempt, until it ends or is stopped. It is valid for the generation of its backend that is
    /// listed at this call, whenever the future is polled: a backend that has restarted since then is cold,
    /// and not the one that was chosen.
    pub fn attempt(
        self: Rc<Self>,
        attempt: Attempt,
        stopped: oneshot::Receiver<StopReason>,
        messages: mpsc::Sender<Message>,
    ) -> impl Future<Output = AttemptResult> {
        let generation = self.generation_of(attempt.server);
        self.attempt_on(generation, attempt, stopped, messages)
    }

    fn generation_of(&self, server: ServerId) -> Option<u64> {
        self.backends.borrow().get(&server).map(|backend| backend.generation)
    }

    async fn attempt_on(
        self: Rc<Self>,
        generation: Option<u64>,
        attempt: Attempt,
        stopped: oneshot::Receiver<StopReason>,
        messages: mpsc::Sender<Message>,
    ) -> AttemptResult {
        let stage = Cell::new(Stage::Unwritten);
        // When the node stops the attempt, the start of its response may still be queued for the node. The
        // response is the client's then; if the client has another answer, the chunks are dropped and the
        // exchange ends by itself.
        let stopped = async {
            match stopped.await {
                _ if stage.get() == Stage::ResponseStarted => std::future::pending().await,
                stop => stop,
            }
        };
        // A backend that takes no more of a body which is still arriving; once it has arrived the request has
        // a deadline.
        let stalled = async {
            match attempt.forward.body.upload_progress() {
                Some(progress) => progress.stalled().await,
                None => std::future::pending().await,
            }
        };
        let (outcome, report, body) = tokio::select! {
            biased;
            result = self.send_attempt(generation, &attempt, &stage, &messages) => result,
            // The exchange is dropped, which closes its connection.
            stop = stopped => (match stop {
                _ if stage.get() == Stage::Unwritten => Outcome::NotSent,
                Ok(StopReason::TimedOut) => Outcome::TimedOut,
                Ok(StopReason::Cancelled) | Err(_) => Outcome::Cancelled,
            }, None, None),
            () = stalled => (Outcome::TimedOut, None, None),
        };
        if let Some(progress) = attempt.forward.body.upload_progress().filter(|_| outcome != Outcome::Served)
        {
            log(format_args!(
                "request {}: server {:x}, streamed body, {outcome:?}: {progress}",
                attempt.id.0, attempt.server.0
            ));
        }
        // A request that was not written in full never ran, whichever side aborted it.
        let broken = matches!(outcome, Outcome::Reset | Outcome::TimedOut | Outcome::Cancelled);
        let outcome = if broken && attempt.forward.body.is_incomplete() { Outcome::NotSent } else { outcome };
        let body_consumed = attempt.forward.body.is_consumed();
        AttemptResult { id: attempt.id, attempt: attempt.number, outcome, report, body, body_consumed }
    }

    /// Sends an attempt's request and reads the response: the outcome, a load report if there is one, and the
    /// body of a buffered response.
    async fn send_attempt(
        self: &Rc<Self>,
        generation: Option<u64>,
        attempt: &Attempt,
        stage: &Cell<Stage>,
        messages: &mpsc::Sender<Message>,
    ) -> AttemptEnd {
        for _ in 0..MAX_BROKEN_CONNECTIONS {
            let mut connection = match self.acquire(attempt.server).await {
                Ok(connection) => connection,
                Err(outcome) => return (outcome, None, None),
            };
            if connection.sender.ready().await.is_err() {
                continue;
            }
            // Time has passed since the decision: the attempt may no longer be permitted.
            let Some(mut request) = self.build_request(generation, attempt) else {
                self.release(connection);
                return (Outcome::NotSent, None, None);
            };
            stage.set(Stage::Written);
            connection.exchange.begin();
            if let AttemptBody::Streamed(upload) = request.body_mut() {
                upload.set_write_backlog(connection.exchange.write_backlog.clone());
            }
            match connection.sender.try_send_request(request).await {
                Ok(response) => return self.receive(attempt, connection, response, (stage, messages)).await,
                // hyper returns the request: no byte of it was written, so another connection can take it.
                Err(mut e) => match e.take_message() {
                    Some(request) => {
                        attempt.forward.body.put_back(request.into_body());
                        stage.set(Stage::Unwritten);
                    }
                    // The connection failed before the first byte was written.
                    None if connection.exchange.is_unwritten() => {
                        stage.set(Stage::Unwritten);
                        if attempt.forward.body.is_consumed() {
                            return (Outcome::NotSent, None, None);
                        }
                    }
                    None => return (Outcome::Reset, None, None),
                },
            }
        }
        (Outcome::ConnectFailed, None, None)
    }

    /// The request with its current headers, or `None` if it may no longer be sent: after the attempt's
    /// deadline, the backend's drain grace or the deduplication window; to another generation of the backend;
    /// or once the request has its answer or its client has disconnected, or may have.
    fn build_request(&self, generation: Option<u64>, attempt: &Attempt) -> Option<Request<AttemptBody>> {
        let (now, deadline, forward) = (self.clock.now(), attempt.deadline(), &attempt.forward);
        let backends = self.backends.borrow();
        let backend =
            backends.get(&attempt.server).filter(|backend| Some(backend.generation) == generation)?;
        let window_over = forward
            .dedup_window
            .zip(forward.first_byte_at.get())
            .is_some_and(|(window, first)| now >= first + window);
        let grace_over = backend.draining_since.is_some_and(|since| now >= since + self.drain_grace());
        if forward.finished.get()
            || now >= deadline
            || grace_over
            || window_over
            || forward.client.check_disconnected()
            || may_have_left(forward)
        {
            return None;
        }
        // While the body is being received, the client's time has not begun: the backend gets the whole
        // budget.
        let remaining_ms = (deadline - now).min(forward.budget).as_millis().max(1) as u64;
        let address = backend.address?;
        let mut request = Request::new(forward.body.take()?);
        *request.method_mut() = forward.method.clone();
        *request.uri_mut() = forward.path.clone().into();
        let headers = request.headers_mut();
        headers.insert(HOST, host_header(address));
        headers.insert("x-call-id", forward.call_id.clone());
        headers.insert("x-budget-ms", remaining_ms.into());
        if let Some(key) = &forward.idempotency_key {
            headers.insert("idempotency-key", key.clone());
        }
        if forward.first_byte_at.get().is_none() {
            forward.first_byte_at.set(Some(now));
        }
        Some(request)
    }

    /// Returns a connection to the pool, unless only part of the request has been written to it.
    pub(super) fn release_after(self: &Rc<Self>, attempt: &Attempt, connection: Connection) {
        if !attempt.forward.body.is_incomplete() {
            self.release(connection);
        }
    }

    /// Probes a backend: asks for its load, or for its health if the settings have no load reports.
    pub async fn probe(self: Rc<Self>, server: ServerId) -> (Outcome, Option<LoadReport>) {
        timeout(PROBE_TIMEOUT, self.send_probe(server)).await.unwrap_or((Outcome::TimedOut, None))
    }

    async fn send_probe(self: &Rc<Self>, server: ServerId) -> (Outcome, Option<LoadReport>) {
        let mut connection = match self.acquire(server).await {
            Ok(connection) => connection,
            Err(outcome) => return (outcome, None),
        };
        let mut request = Request::new(AttemptBody::Buffered(Full::default()));
        *request.method_mut() = Method::GET;
        let reports_load = self.report_source() != ReportSource::None;
        *request.uri_mut() = hyper::Uri::from_static(if reports_load { "/stats" } else { "/health/live" });
        let address = self.backends.borrow().get(&server).and_then(|backend| backend.address);
        let Some(address) = address else { return (Outcome::NotSent, None) };
        request.headers_mut().insert(HOST, host_header(address));
        connection.exchange.begin();
        let Ok(response) = connection.sender.send_request(request).await else {
            return (Outcome::Reset, None);
        };
        let response = self.read_short_response(server, response).await;
        if response.is_complete() {
            self.release(connection);
        }
        let body_report = || {
            let body =
                response.body.as_ref().filter(|_| reports_load && response.outcome == Outcome::Served)?;
            self.parse_report(std::str::from_utf8(body).ok()?)
        };
        (response.outcome, body_report().or(response.report))
    }

    /// The load report in a response's headers, if there is a valid one.
    pub(super) fn header_report(&self, headers: &HeaderMap) -> Option<LoadReport> {
        let value = headers.get("x-load-report").filter(|_| self.report_source() != ReportSource::None)?;
        let report = value.to_str().ok().and_then(|text| self.parse_report(text));
        if report.is_none() {
            log(format_args!("dropped a malformed load report: {value:?}"));
        }
        report
    }

    /// Parses a report such as `inflight=7,queue=2`; `None` if any part of it is malformed.
    fn parse_report(&self, text: &str) -> Option<LoadReport> {
        let (mut report, site) = (LoadReport::default(), self.settings.get());
        for field in text.trim().split(',') {
            let (name, value) = field.split_once('=')?;
            let column = ReportColumn::from_wire_name(name.trim());
            let value: f32 = value.trim().parse().ok().filter(|v: &f32| v.is_finite() && *v >= 0.0)?;
            if site.columns.contains(&column) {
                column.set(&mut report, value);
            }
        }
        Some(report)
    }
}

/// Whether the client may have closed its connection behind later requests for which the kernel has no room.
fn may_have_left(forward: &ForwardedRequest) -> bool {
    forward.body.upload_progress().is_none() && forward.client.may_be_disconnected()
}

fn host_header(address: SocketAddr) -> HeaderValue {
    HeaderValue::from_str(&address.to_string()).unwrap_or(HeaderValue::from_static("backend"))
}

/// How far an attempt has got.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum Stage {
    /// Certainly no byte of it has been written.
    Unwritten,
    /// Some of it may have been written, so the request may run.
    Written,
    /// The start of its response has been sent to the node, and the response is the client's.
    ResponseStarted,
}
