//! Validation of a request's head. What is kept of a head is copied: its header values share hyper's read
//! buffer and would hold all of it for as long as the request lasts.

use crate::messages::{ForwardedRequest, RequestBody};
use bytes::Bytes;
use hillpick::control::transfer_coding;
use hillpick::settings::SiteSettings;
use hillpick::{NewRequest, RequestId, RetrySafety};
use hyper::header::{HOST, HeaderMap, HeaderValue};
use hyper::http::request::Parts;
use hyper::http::uri::{Authority, PathAndQuery};
use hyper::{Method, StatusCode, Version};
use std::cell::Cell;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::rc::Rc;
use std::time::Duration;

/// Largest `X-Budget-Ms` that is accepted.
const MAX_BUDGET_MS: u64 = 600_000;
/// Longest `X-Call-Id` that is accepted.
const MAX_CALL_ID_BYTES: usize = 256;
/// Headers that identify a request or set its limits. With two values it would be another request at the server than
/// at the node.
const SINGLE_FIELDS: [&str; 4] = ["x-call-id", "idempotency-key", "x-budget-ms", "x-caller"];
const BAD_REQUEST: StatusCode = StatusCode::BAD_REQUEST;

/// The response to a request that is not accepted: a 4xx, which promises nothing, or a 503, which promises
/// that the request was not forwarded.
pub type Rejection = (StatusCode, &'static str);

/// What a request's head says.
pub struct RequestHead {
    method: Method,
    path: PathAndQuery,
    class: usize,
    tenant: usize,
    key: u64,
    call_id: HeaderValue,
    idempotency_key: Option<HeaderValue>,
    dedup_window: Option<Duration>,
    /// How long the client waits once it has sent the whole request.
    pub budget: Duration,
    cost: Option<Duration>,
    client_retry: bool,
}

impl RequestHead {
    /// Validates a head by these settings. A request that breaks the protocol never reaches a backend.
    pub fn parse(site: &SiteSettings, head: &Parts) -> Result<Self, Rejection> {
        if !transfer_coding::is_decoded(&head.headers) {
            return Err((StatusCode::NOT_IMPLEMENTED, "unsupported transfer coding"));
        }
        check_host(head)?;
        if SINGLE_FIELDS.iter().any(|name| head.headers.get_all(*name).iter().nth(1).is_some()) {
            return Err((BAD_REQUEST, "a header that may stand once stands twice"));
        }
        let path = head.uri.path_and_query().ok_or((BAD_REQUEST, "no path"))?;
        let mut segments = path.path().strip_prefix('/').ok_or((BAD_REQUEST, "no path"))?.split('/');
        let class_name = segments.next().unwrap_or_default();
        let class = site.class_names.position(class_name).ok_or((StatusCode::NOT_FOUND, "unknown class"))?;
        let key = segments.next_back().filter(|key| !key.is_empty()).map_or(0, request_key);
        let retry_safety = &site.settings.classes[class].retry_safety;
        let method = if *retry_safety == RetrySafety::Idempotent { Method::GET } else { Method::POST };
        if head.method != method {
            return Err((StatusCode::METHOD_NOT_ALLOWED, "wrong method for this class"));
        }
        let idempotency_key =
            head.headers.get("idempotency-key").filter(|key| !key.is_empty()).map(copy_value);
        let dedup_window = match retry_safety {
            RetrySafety::Keyed { window, .. } if idempotency_key.is_some() => Some(*window),
            RetrySafety::Keyed { .. } => return Err((BAD_REQUEST, "no Idempotency-Key")),
            _ => None,
        };
        let call_id = head.headers.get("x-call-id").filter(|id| (1..=MAX_CALL_ID_BYTES).contains(&id.len()));
        let call_id = copy_value(call_id.ok_or((BAD_REQUEST, "no X-Call-Id"))?);
        let budget = header_text(&head.headers, "x-budget-ms").and_then(|text| text.parse::<u64>().ok());
        let budget = budget.filter(|ms| (1..=MAX_BUDGET_MS).contains(ms));
        let budget = budget.ok_or((BAD_REQUEST, "no X-Budget-Ms that makes sense"))?;
        let caller = header_text(&head.headers, "x-caller");
        let tenant = caller.and_then(|caller| site.tenant_names.position(caller));
        if tenant.is_none() && !site.tenant_names.is_empty() {
            return Err((StatusCode::FORBIDDEN, "unknown tenant"));
        }
        let cost = header_text(&head.headers, "x-call-cost").and_then(|text| text.parse().ok());
        Ok(RequestHead {
            method,
            path: copy_path(path)?,
            class,
            tenant: tenant.unwrap_or_default(),
            key,
            call_id,
            idempotency_key,
            dedup_window,
            budget: Duration::from_millis(budget),
            cost: cost.map(Duration::from_micros),
            client_retry: head.headers.get("x-again").is_some_and(|value| value == "1"),
        })
    }

    /// Whether a body belongs to the request.
    pub fn allows_body(&self) -> bool {
        self.method != Method::GET
    }

    /// The request with this id, received at this time, for the decision module and for attempts; its body is
    /// still to be added.
    pub fn into_request(self, id: RequestId, received_at: Duration) -> (NewRequest, ForwardedRequest) {
        let new_request = NewRequest {
            id,
            class: self.class,
            policy: None,
            body_streaming: false,
            tenant: self.tenant,
            key: self.key,
            remaining: self.budget,
            cost: self.cost,
            client_retry: self.client_retry,
        };
        let forward = ForwardedRequest {
            method: self.method,
            path: self.path,
            call_id: self.call_id,
            idempotency_key: self.idempotency_key,
            body: RequestBody::Buffered(Bytes::new()),
            budget: self.budget,
            deadline: Cell::new(received_at + self.budget),
            dedup_window: self.dedup_window,
            first_byte_at: Cell::new(None),
            finished: Cell::new(false),
            client: Rc::default(),
        };
        (new_request, forward)
    }
}

/// Checks `Host` as HTTP/1.1 requires: one valid value. HTTP/1.0 permits none.
fn check_host(head: &Parts) -> Result<(), Rejection> {
    let mut values = head.headers.get_all(HOST).iter();
    let is_valid = match (values.next(), values.next()) {
        (None, _) => head.version < Version::HTTP_11,
        (Some(host), None) => {
            host.is_empty()
                || Authority::try_from(host.as_bytes()).is_ok() && !host.as_bytes().contains(&b'@')
        }
        (Some(_), Some(_)) => false,
    };
    if is_valid { Ok(()) } else { Err((BAD_REQUEST, "no valid Host, or more than one")) }
}

fn copy_value(value: &HeaderValue) -> HeaderValue {
    HeaderValue::from_bytes(value.as_bytes()).unwrap_or_else(|_| value.clone())
}

fn copy_path(path: &PathAndQuery) -> Result<PathAndQuery, Rejection> {
    let copy = Bytes::copy_from_slice(path.as_str().as_bytes());
    PathAndQuery::from_maybe_shared(copy).map_err(|_| (BAD_REQUEST, "no path"))
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// The key of a request as the decision module's number. The same text gives the same number at every node.
fn request_key(text: &str) -> u64 {
    u64::from_str_radix(text, 16).unwrap_or_else(|_| {
        let mut hasher = DefaultHasher::new();
        text.hash(&mut hasher);
        hasher.finish()
    })
}
