//! Requests that come again: a request that must not be repeated is recognised by its client's id, also when
//! its client has left and comes again on another connection, or to another process of the node.

use crate::interface::{DedupScope, RequestId, RetrySafety};
use std::collections::{HashMap, VecDeque};

/// The number of ids that are remembered. The oldest are forgotten first.
pub const MAX_REMEMBERED_REQUESTS: usize = 8192;

/// A hash of the id that a client gave its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RequestFingerprint(pub u64);

/// The requests that may have run and must not be repeated.
#[derive(Default)]
pub struct ExecutedRequests {
    /// With the request of this process that has run; `None` if another process has run it.
    requests: HashMap<RequestFingerprint, Option<RequestId>>,
    /// In the order in which they were sent.
    order: VecDeque<RequestFingerprint>,
}

impl ExecutedRequests {
    /// Whether requests of this kind must be remembered. Repeats of the others are harmless.
    pub fn concerns(retry_safety: &RetrySafety) -> bool {
        !matches!(retry_safety, RetrySafety::Idempotent | RetrySafety::Keyed { scope: DedupScope::All, .. })
    }

    /// Whether a request with this fingerprint may have run for another one with the same id.
    pub fn is_repeat(&self, fingerprint: RequestFingerprint, id: RequestId) -> bool {
        self.requests.get(&fingerprint).is_some_and(|runner| *runner != Some(id))
    }

    /// An attempt is made for a request of this process, or was made by another process. False if that was
    /// known.
    pub fn record(&mut self, fingerprint: RequestFingerprint, id: Option<RequestId>) -> bool {
        if self.requests.contains_key(&fingerprint) {
            return false;
        }
        if self.order.len() >= MAX_REMEMBERED_REQUESTS
            && let Some(oldest) = self.order.pop_front()
        {
            self.requests.remove(&oldest);
        }
        self.order.push_back(fingerprint);
        self.requests.insert(fingerprint, id);
        true
    }

    /// No attempt of the request has run: it may come again. False if it is not remembered as this one's.
    pub fn forget(&mut self, fingerprint: RequestFingerprint, id: Option<RequestId>) -> bool {
        if self.requests.get(&fingerprint) != Some(&id) {
            return false;
        }
        self.requests.remove(&fingerprint);
        self.order.retain(|other| *other != fingerprint);
        true
    }

    /// All that are remembered, the oldest first.
    pub fn fingerprints(&self) -> impl Iterator<Item = RequestFingerprint> {
        self.order.iter().copied()
    }
}
