//! The operations address, an admin interface for operators: reports the node's state, and takes the calls
//! that drain it and end the drain. It shares only the lifecycle with the clients' side, so that load there
//! delays no answer here.

use crate::lifecycle::{Lifecycle, ProcessState};
use crate::messages::{EvacuationCommand, Message, ZoneStatus};
use bytes::Bytes;
use hillpick::control::log::log;
use hillpick::control::peers::membership_view::MembershipView;
use hillpick::control::tcp;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::{ALLOW, CONTENT_TYPE, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use serde_json::{Value, json};
use std::cell::Cell;
use std::collections::VecDeque;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot};
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::{sleep, timeout};

/// Calls that are served at a time; their file descriptors are among those that the configuration reserves.
const MAX_CALLS: usize = 16;
/// Time limit of a call: a caller that has not sent a whole request by then gets no answer.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest body of a call that is accepted; no call has a body with a meaning.
const BODY_LIMIT_BYTES: usize = 4096;
/// Read buffer of a call: the smallest that hyper allows.
const BUFFER_BYTES: usize = 8192;
/// Pause after an accept that failed, for example for lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Serves the calls to the operations address.
pub struct Ops {
    lifecycle: Rc<Lifecycle>,
    /// Whether the node holds a list of backends.
    ready: Rc<Cell<bool>>,
    /// What the node knows of the other nodes.
    view: MembershipView,
    /// How long an evacuation lasts if the call does not say; `None` if no zones are configured.
    evacuation: Option<Duration>,
    messages: mpsc::Sender<Message>,
}

/// A call, by its path.
enum Call<'a> {
    Status,
    Members,
    Zones,
    Subset,
    Evacuate(&'a str),
    Restore(&'a str),
    Enter(ProcessState),
}

impl<'a> Call<'a> {
    fn from_path(path: &'a str) -> Option<Self> {
        Some(match path {
            "/status" => Call::Status,
            "/members" => Call::Members,
            "/zones" => Call::Zones,
            "/subset" => Call::Subset,
            "/standby" => Call::Enter(ProcessState::Standby),
            "/active" => Call::Enter(ProcessState::Active),
            _ => match path.strip_prefix("/zones/")?.split_once('/')? {
                (zone, "evacuate") => Call::Evacuate(zone),
                (zone, "restore") => Call::Restore(zone),
                _ => return None,
            },
        })
    }

    fn method(&self) -> Method {
        match self {
            Call::Status | Call::Members | Call::Zones | Call::Subset => Method::GET,
            Call::Evacuate(_) | Call::Restore(_) | Call::Enter(_) => Method::POST,
        }
    }
}

impl Ops {
    /// An admin interface of the node with this lifecycle, readiness and membership.
    pub fn new(
        lifecycle: Rc<Lifecycle>,
        ready: Rc<Cell<bool>>,
        view: MembershipView,
        evacuation: Option<Duration>,
        messages: mpsc::Sender<Message>,
    ) -> Rc<Self> {
        Rc::new(Ops { lifecycle, ready, view, evacuation, messages })
    }

    /// Serves calls for as long as the node runs, also while it drains.
    pub async fn run(self: Rc<Self>, listener: TcpListener) {
        let mut calls: VecDeque<JoinHandle<()>> = VecDeque::new();
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    calls.retain(|call| !call.is_finished());
                    if calls.len() >= MAX_CALLS {
                        // Answering takes only moments, so the oldest call is idle or incomplete: it is
                        // dropped.
                        calls.pop_front().into_iter().for_each(|call| call.abort());
                    }
                    calls.push_back(spawn_local(self.clone().serve(stream)));
                }
                Err(e) => {
                    log(format_args!("cannot accept a connection at the operations address: {e}"));
                    sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }

    async fn serve(self: Rc<Self>, stream: TcpStream) {
        let service = service_fn(|request| self.answer(request));
        let mut server = http1::Builder::new();
        let server = server.keep_alive(false).max_buf_size(BUFFER_BYTES);
        // hyper answers what is not HTTP; an incomplete call is closed without an answer.
        let _ =
            timeout(CALL_TIMEOUT, server.serve_connection(TokioIo::new(tcp::with_nodelay(stream)), service))
                .await;
    }

    async fn answer(&self, request: Request<Incoming>) -> Result<Response<Full<Bytes>>, Infallible> {
        let (head, body) = request.into_parts();
        let Some(call) = Call::from_path(head.uri.path()) else {
            return Ok(respond(StatusCode::NOT_FOUND, "no such call"));
        };
        let allowed = call.method();
        if head.method != allowed {
            let mut response = respond(StatusCode::METHOD_NOT_ALLOWED, "wrong method for this call");
            let allowed = HeaderValue::from_static(if allowed == Method::GET { "GET" } else { "POST" });
            response.headers_mut().insert(ALLOW, allowed);
            return Ok(response);
        }
        if Limited::new(body, BODY_LIMIT_BYTES).collect().await.is_err() {
            return Ok(respond(StatusCode::BAD_REQUEST, "a body that is broken or too long"));
        }
        Ok(match call {
            Call::Status => self.status(),
            Call::Members => self.members(),
            Call::Zones => self.zones(None).await,
            Call::Subset => self.subset().await,
            Call::Evacuate(zone) => match self.evacuation_duration(head.uri.query()) {
                Ok(duration) => self.zones(Some((zone, Some(duration)))).await,
                Err(message) => respond(StatusCode::BAD_REQUEST, message),
            },
            Call::Restore(zone) => self.zones(Some((zone, None))).await,
            Call::Enter(state) => self.enter(state),
        })
    }

    /// The duration of an evacuation: the call's `for_s`, or as configured.
    fn evacuation_duration(&self, query: Option<&str>) -> Result<Duration, &'static str> {
        let default_duration = self.evacuation.unwrap_or_default();
        let Some(text) = query else { return Ok(default_duration) };
        let seconds = text.strip_prefix("for_s=").and_then(|text| text.parse().ok());
        let seconds = seconds.filter(|seconds| (1..=86_400).contains(seconds));
        seconds.map(Duration::from_secs).ok_or("expected for_s=SECONDS, 1 to 86400")
    }

    /// Reports how much of the list the node holds.
    async fn subset(&self) -> Response<Full<Bytes>> {
        let (reply, answer) = oneshot::channel();
        if self.messages.send(Message::SubsetQuery(reply)).await.is_err() {
            return respond(StatusCode::SERVICE_UNAVAILABLE, "terminating");
        }
        match answer.await.ok().flatten() {
            Some(subset) => json_response(&json!(subset)),
            None => respond(StatusCode::NOT_FOUND, "no subset is configured: the node holds the whole list"),
        }
    }

    /// Carries out the command, if there is one, and reports the state of the zones.
    async fn zones(&self, command: Option<(&str, Option<Duration>)>) -> Response<Full<Bytes>> {
        let (reply, answer) = oneshot::channel();
        let evacuation = command.map(|(zone, duration)| EvacuationCommand { zone: zone.into(), duration });
        if self.messages.send(Message::ZoneQuery(evacuation, reply)).await.is_err() {
            return respond(StatusCode::SERVICE_UNAVAILABLE, "terminating");
        }
        let zones = answer.await.ok().flatten();
        let Some(zones) =
            zones.filter(|zones| command.is_none_or(|(name, _)| zones.iter().any(|z| z.name == name)))
        else {
            return respond(StatusCode::NOT_FOUND, "no such zone, or no zones are configured");
        };
        let was_refused = |(name, duration): (&str, Option<Duration>)| {
            duration.is_some() && zones.iter().any(|zone| zone.name == name && zone.evacuation_left.is_none())
        };
        if command.is_some_and(was_refused) {
            return respond(StatusCode::CONFLICT, "no other zone works: it stays in use");
        }
        let all: Vec<_> = zones.iter().map(zone_json).collect();
        json_response(&json!({ "zones": all }))
    }

    /// OK once this process can serve clients: it listens before it takes calls here, so only the list is
    /// checked.
    fn status(&self) -> Response<Full<Bytes>> {
        match (self.lifecycle.now().state, self.ready.get()) {
            (ProcessState::Terminating, _) => respond(StatusCode::SERVICE_UNAVAILABLE, "terminating"),
            (_, false) => respond(StatusCode::SERVICE_UNAVAILABLE, "starting: no list of servers yet"),
            (ProcessState::Active, true) => respond(StatusCode::OK, "active"),
            (ProcessState::Standby, true) => respond(StatusCode::OK, "standby"),
        }
    }

    /// Reports what this node knows of the others.
    fn members(&self) -> Response<Full<Bytes>> {
        let Some(view) = self.view.to_json() else {
            return respond(StatusCode::NOT_FOUND, "no fleet is configured");
        };
        json_response(&view)
    }

    /// Drains the node or ends the drain.
    fn enter(&self, state: ProcessState) -> Response<Full<Bytes>> {
        let previous_state = self.lifecycle.now().state;
        if previous_state == ProcessState::Terminating {
            // Connections are being closed already, and that can't be undone.
            let status = if state == ProcessState::Standby { StatusCode::OK } else { StatusCode::CONFLICT };
            return respond(status, "terminating");
        }
        self.lifecycle.enter(state);
        if previous_state != state {
            log(format_args!(
                "the operations address: the state changes from {previous_state:?} to {state:?}"
            ));
        }
        respond(StatusCode::OK, if state == ProcessState::Standby { "standby" } else { "active" })
    }
}

fn zone_json(zone: &ZoneStatus) -> Value {
    let view = &zone.view;
    json!({"name": zone.name, "share": view.share, "ready": view.ready_servers, "ill": view.unhealthy_share,
        "slow": view.latency_ratio,
        "standing": format!("{}", view.state).to_lowercase(), "for_ms": zone.state_age.as_millis() as u64,
        "evacuated_for_ms": zone.evacuation_left.map(|left| left.as_millis() as u64)})
}

fn json_response(value: &Value) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(format!("{value}\n"))));
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

fn respond(status: StatusCode, text: &'static str) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(format!("{text}\n"))));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    response
}
