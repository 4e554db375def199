//! The requests that may have run, shared by the processes of a hot restart.

use hillpick::{ExecutedRequests, RequestFingerprint, RequestId};
use std::cell::RefCell;
use std::collections::VecDeque;
use std::hash::{DefaultHasher, Hash, Hasher};
use tokio::sync::Notify;

/// The length of a message to the sibling process.
pub const CHANGE_BYTES: usize = 11;
/// Begin a message. Neither they nor the bytes after them are a process status, so that earlier versions of the
/// program pass over them.
const EXECUTED_MARK: u8 = 1;
const FORGOTTEN_MARK: u8 = 2;
/// Set in each byte of a fingerprint.
const FINGERPRINT_FLAG: u8 = 0x80;
const BITS_PER_BYTE: usize = 7;

/// A change that the sibling process is told of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// An attempt is made for a request.
    Executed(RequestFingerprint),
    /// No attempt of the request has run.
    Forgotten(RequestFingerprint),
}

impl Change {
    /// The change on the wire: a mark, then the fingerprint, seven bits a byte.
    pub fn to_bytes(self) -> [u8; CHANGE_BYTES] {
        let (mark, fingerprint) = match self {
            Change::Executed(fingerprint) => (EXECUTED_MARK, fingerprint.0),
            Change::Forgotten(fingerprint) => (FORGOTTEN_MARK, fingerprint.0),
        };
        let mut bytes = [mark; CHANGE_BYTES];
        for (i, byte) in bytes[1..].iter_mut().enumerate() {
            *byte = FINGERPRINT_FLAG | (fingerprint >> (i * BITS_PER_BYTE)) as u8;
        }
        bytes
    }
}

/// Puts changes together from the bytes that a sibling sends.
#[derive(Default)]
pub struct ChangeReader {
    pending: Vec<u8>,
}

impl ChangeReader {
    /// Takes the next byte; returns the change that it completes.
    pub fn push(&mut self, byte: u8) -> Option<Change> {
        let continues = !self.pending.is_empty() && byte & FINGERPRINT_FLAG != 0;
        if !continues {
            self.pending.clear();
        }
        if continues || matches!(byte, EXECUTED_MARK | FORGOTTEN_MARK) {
            self.pending.push(byte);
        }
        if self.pending.len() < CHANGE_BYTES {
            return None;
        }
        let bits = |byte: u8| u64::from(byte & !FINGERPRINT_FLAG);
        let fingerprint = self.pending[1..]
            .iter()
            .enumerate()
            .fold(0, |fingerprint, (i, byte)| fingerprint | bits(*byte) << (i * BITS_PER_BYTE));
        let mark = self.pending[0];
        self.pending.clear();
        let fingerprint = RequestFingerprint(fingerprint);
        Some(if mark == EXECUTED_MARK {
            Change::Executed(fingerprint)
        } else {
            Change::Forgotten(fingerprint)
        })
    }
}

/// The requests that may have run, and the changes that the sibling process has not been told.
#[derive(Default)]
pub struct SharedExecutedRequests {
    requests: RefCell<ExecutedRequests>,
    /// `None` without a sibling.
    untold: RefCell<Option<VecDeque<Change>>>,
    changed: Notify,
}

impl SharedExecutedRequests {
    /// The fingerprint of a request with this id.
    pub fn fingerprint(call_id: &[u8]) -> RequestFingerprint {
        let mut hasher = DefaultHasher::new();
        call_id.hash(&mut hasher);
        RequestFingerprint(hasher.finish())
    }

    /// Whether another request with the same id may have run.
    pub fn is_repeat(&self, fingerprint: RequestFingerprint, id: RequestId) -> bool {
        self.requests.borrow().is_repeat(fingerprint, id)
    }

    /// An attempt is made for a request.
    pub fn record(&self, fingerprint: RequestFingerprint, id: RequestId) {
        if self.requests.borrow_mut().record(fingerprint, Some(id)) {
            self.tell(Change::Executed(fingerprint));
        }
    }

    /// No attempt of a request has run.
    pub fn forget(&self, fingerprint: RequestFingerprint, id: RequestId) {
        if self.requests.borrow_mut().forget(fingerprint, Some(id)) {
            self.tell(Change::Forgotten(fingerprint));
        }
    }

    fn tell(&self, change: Change) {
        if let Some(untold) = &mut *self.untold.borrow_mut() {
            untold.push_back(change);
            self.changed.notify_one();
        }
    }

    /// A sibling process is there: it is told of all requests, and of each change from now on.
    pub fn begin_telling(&self) {
        let all = self.requests.borrow().fingerprints().map(Change::Executed).collect();
        self.untold.replace(Some(all));
        self.changed.notify_one();
    }

    /// The sibling process has gone.
    pub fn end_telling(&self) {
        self.untold.take();
    }

    /// Waits until there are changes to tell, and takes them.
    pub async fn next_changes(&self) -> Vec<u8> {
        loop {
            let changes: Vec<u8> = match &mut *self.untold.borrow_mut() {
                Some(untold) => untold.drain(..).flat_map(Change::to_bytes).collect(),
                None => Vec::new(),
            };
            if !changes.is_empty() {
                return changes;
            }
            self.changed.notified().await;
        }
    }

    /// The sibling process tells of a change.
    pub fn apply(&self, change: Change) {
        let mut requests = self.requests.borrow_mut();
        match change {
            Change::Executed(fingerprint) => requests.record(fingerprint, None),
            Change::Forgotten(fingerprint) => requests.forget(fingerprint, None),
        };
    }
}

#[cfg(test)]
mod tests;
