//! The operations address, for the staff: the node's state, and the calls that drain it and end the drain.
//! It shares nothing with the clients' side but the lifecycle, so that no load there delays an answer here.

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

/// So many calls at a time; they are part of the descriptors that `config` spares.
const MOST_CALLS: usize = 16;
/// A whole call takes so long at most: who has not asked by then does not wait for the answer.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// No call has a body that says anything.
const BODY_LIMIT: usize = 4096;
/// What a call may buffer; the least that hyper allows.
const BUFFER: usize = 8192;
/// After an accept that failed for want of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

pub struct Ops {
    lifecycle: Rc<Lifecycle>,
    /// Whether the node holds a list of backends.
    ready: Rc<Cell<bool>>,
    /// What it knows of the other nodes.
    view: MembershipView,
    /// How long an evacuation lasts if the call does not say, where the node goes by zones.
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
    fn of(path: &'a str) -> Option<Self> {
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
    pub fn new(
        lifecycle: Rc<Lifecycle>,
        ready: Rc<Cell<bool>>,
        view: MembershipView,
        evacuation: Option<Duration>,
        messages: mpsc::Sender<Message>,
    ) -> Rc<Self> {
        Rc::new(Ops { lifecycle, ready, view, evacuation, messages })
    }

    /// Takes calls for as long as the node runs, also while it drains.
    pub async fn run(self: Rc<Self>, listener: TcpListener) {
        let mut calls: VecDeque<JoinHandle<()>> = VecDeque::new();
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    calls.retain(|call| !call.is_finished());
                    if calls.len() >= MOST_CALLS {
                        // An answer takes a moment: the oldest call is silent, or half a call.
                        calls.pop_front().into_iter().for_each(|call| call.abort());
                    }
                    calls.push_back(spawn_local(self.clone().serve(stream)));
                }
                Err(e) => {
                    log(format_args!("cannot accept a call of the operators': {e}"));
                    sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    async fn serve(self: Rc<Self>, stream: TcpStream) {
        let service = service_fn(|request| self.answer(request));
        let mut server = http1::Builder::new();
        let server = server.keep_alive(false).max_buf_size(BUFFER);
        // What is no HTTP is answered by hyper, and what is no whole call just ends.
        let _ =
            timeout(CALL_TIMEOUT, server.serve_connection(TokioIo::new(tcp::with_nodelay(stream)), service))
                .await;
    }

    async fn answer(&self, request: Request<Incoming>) -> Result<Response<Full<Bytes>>, Infallible> {
        let (head, body) = request.into_parts();
        let Some(call) = Call::of(head.uri.path()) else {
            return Ok(told(StatusCode::NOT_FOUND, "no such call"));
        };
        let allowed = call.method();
        if head.method != allowed {
            let mut response = told(StatusCode::METHOD_NOT_ALLOWED, "wrong method for this call");
            let allowed = HeaderValue::from_static(if allowed == Method::GET { "GET" } else { "POST" });
            response.headers_mut().insert(ALLOW, allowed);
            return Ok(response);
        }
        if Limited::new(body, BODY_LIMIT).collect().await.is_err() {
            return Ok(told(StatusCode::BAD_REQUEST, "a body that is broken or too long"));
        }
        Ok(match call {
            Call::Status => self.status(),
            Call::Members => self.members(),
            Call::Zones => self.zones(None).await,
            Call::Subset => self.subset().await,
            Call::Evacuate(zone) => match self.lasting(head.uri.query()) {
                Ok(lasts) => self.zones(Some((zone, Some(lasts)))).await,
                Err(what) => told(StatusCode::BAD_REQUEST, what),
            },
            Call::Restore(zone) => self.zones(Some((zone, None))).await,
            Call::Enter(state) => self.enter(state),
        })
    }

    /// How long an evacuation is to last: `for_s` of the call, or as configured.
    fn lasting(&self, query: Option<&str>) -> Result<Duration, &'static str> {
        let usual = self.evacuation.unwrap_or_default();
        let Some(text) = query else { return Ok(usual) };
        let seconds = text.strip_prefix("for_s=").and_then(|text| text.parse().ok());
        let seconds = seconds.filter(|seconds| (1..=86_400).contains(seconds));
        seconds.map(Duration::from_secs).ok_or("expected for_s=SECONDS, 1 to 86400")
    }

    /// How much of the list the node holds.
    async fn subset(&self) -> Response<Full<Bytes>> {
        let (reply, answer) = oneshot::channel();
        if self.messages.send(Message::SubsetQuery(reply)).await.is_err() {
            return told(StatusCode::SERVICE_UNAVAILABLE, "terminating");
        }
        match answer.await.ok().flatten() {
            Some(subset) => json(&json!(subset)),
            None => told(StatusCode::NOT_FOUND, "no subset is configured: the node holds the whole list"),
        }
    }

    /// How the zones stand, after an order if there is one.
    async fn zones(&self, order: Option<(&str, Option<Duration>)>) -> Response<Full<Bytes>> {
        let (reply, answer) = oneshot::channel();
        let evacuation = order.map(|(zone, lasts)| EvacuationCommand { zone: zone.into(), duration: lasts });
        if self.messages.send(Message::ZoneQuery(evacuation, reply)).await.is_err() {
            return told(StatusCode::SERVICE_UNAVAILABLE, "terminating");
        }
        let zones = answer.await.ok().flatten();
        let Some(zones) =
            zones.filter(|zones| order.is_none_or(|(at, _)| zones.iter().any(|z| z.name == at)))
        else {
            return told(StatusCode::NOT_FOUND, "no such zone, or no zones are configured");
        };
        let kept = |(at, lasts): (&str, Option<Duration>)| {
            lasts.is_some() && zones.iter().any(|zone| zone.name == at && zone.evacuation_left.is_none())
        };
        if order.is_some_and(kept) {
            return told(StatusCode::CONFLICT, "no other zone works: it stays in use");
        }
        let all: Vec<_> = zones.iter().map(told_of).collect();
        json(&json!({ "zones": all }))
    }

    /// Yes once this process can serve: it listens before it takes calls here, so that the list decides.
    fn status(&self) -> Response<Full<Bytes>> {
        match (self.lifecycle.now().state, self.ready.get()) {
            (ProcessState::Terminating, _) => told(StatusCode::SERVICE_UNAVAILABLE, "terminating"),
            (_, false) => told(StatusCode::SERVICE_UNAVAILABLE, "starting: no list of servers yet"),
            (ProcessState::Active, true) => told(StatusCode::OK, "active"),
            (ProcessState::Standby, true) => told(StatusCode::OK, "standby"),
        }
    }

    /// What this node knows of the others.
    fn members(&self) -> Response<Full<Bytes>> {
        let Some(view) = self.view.to_json() else {
            return told(StatusCode::NOT_FOUND, "no fleet is configured");
        };
        json(&view)
    }

    fn enter(&self, state: ProcessState) -> Response<Full<Bytes>> {
        let before = self.lifecycle.now().state;
        if before == ProcessState::Terminating {
            // Clients are being sent away already, and that can't be undone.
            let status = if state == ProcessState::Standby { StatusCode::OK } else { StatusCode::CONFLICT };
            return told(status, "terminating");
        }
        self.lifecycle.enter(state);
        if before != state {
            log(format_args!("the operators' call: from {before:?} to {state:?}"));
        }
        told(StatusCode::OK, if state == ProcessState::Standby { "standby" } else { "active" })
    }
}

fn told_of(zone: &ZoneStatus) -> Value {
    let view = &zone.view;
    json!({"name": zone.name, "share": view.share, "ready": view.ready_servers, "ill": view.unhealthy_share, "slow": view.latency_ratio,
        "standing": format!("{}", view.state).to_lowercase(), "for_ms": zone.state_age.as_millis() as u64,
        "evacuated_for_ms": zone.evacuation_left.map(|left| left.as_millis() as u64)})
}

fn json(value: &Value) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(format!("{value}\n"))));
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

fn told(status: StatusCode, text: &'static str) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(format!("{text}\n"))));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    response
}
