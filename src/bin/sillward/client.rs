//! A client's connection as it stands: when bytes moved on it, and whether it holds a request.

use crate::body::{SILENCE, STALL_TIMEOUT};
use crate::liveness::Liveness;
use std::cell::Cell;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Anyone may connect, and is owed an error or an end within 3 s of that: so long the first request may be without
/// progress, or a later head in all. A connection that has been idle for so long may be closed as well.
pub const READ_TIMEOUT: Duration = SILENCE;

/// A client's connection, as it stands.
pub struct Client {
    pub connected: Instant,
    /// Whether a request has come on it.
    pub asked: Cell<bool>,
    /// Since when no request of it is held.
    pub idle: Cell<Option<Instant>>,
    /// Since when part of a further request has come.
    pub begun: Cell<Option<Instant>>,
    /// The request that it holds is being answered with what passes through: from here on the pace is the client's.
    pub passing: Cell<bool>,
    /// When bytes last moved on it, either way.
    pub moved: Cell<Instant>,
    /// It is to make room, and has been told so.
    pub shed: Cell<bool>,
    pub close: Notify,
    pub liveness: Liveness,
}

/// What is to be done about a connection that sends nothing.
pub enum Lapse {
    /// Look again then.
    Later(Instant),
    /// It is between requests, and may be closed.
    Leave,
    /// It has had its time for a request, or for reading an answer.
    Cut,
}

/// How a connection that is told to close does so.
#[derive(Debug, PartialEq)]
pub enum Leaves {
    /// At once: before its first request has come whole there is no good order to close it in.
    Now,
    /// With the answer to what it holds, or at once if it holds nothing.
    InOrder,
    /// Not yet: part of a request has come, and there is time for the rest.
    Later,
}

impl Client {
    pub fn new(liveness: Liveness) -> Self {
        let now = Instant::now();
        Client {
            connected: now,
            asked: Cell::new(false),
            idle: Cell::new(Some(now)),
            begun: Cell::new(None),
            passing: Cell::new(false),
            moved: Cell::new(now),
            shed: Cell::new(false),
            close: Notify::new(),
            liveness,
        }
    }

    /// Bytes have come: the first ones after an answer begin another request.
    pub fn read(&self) {
        let now = Instant::now();
        self.moved.set(now);
        if self.idle.get().is_some() && self.begun.get().is_none() {
            self.begun.set(Some(now));
        }
    }

    pub fn written(&self) {
        self.moved.set(Instant::now());
    }

    /// How it closes now that it is told to, when bytes had moved on it last then. After SIGTERM whoever is to make room
    /// is told when nothing further is taken: half a request does not keep it.
    pub fn must_leave(&self, moved: Instant, terminating: bool) -> Leaves {
        let holds = self.idle.get().is_none();
        let (begun, shed) = (self.begun.get().is_some(), self.shed.get());
        let comes = begun && (!shed || (self.moved.get() != moved && !terminating));
        match self.asked.get() {
            _ if holds => Leaves::InOrder,
            _ if comes => Leaves::Later,
            false if shed => Leaves::Now,
            _ => Leaves::InOrder,
        }
    }

    pub fn lapse(&self) -> Lapse {
        let now = Instant::now();
        let Some(idle) = self.idle.get() else {
            // Who takes nothing of its answer keeps the runtime from asking for more, or for its end.
            let stalled = self.passing.get() && now >= self.moved.get() + STALL_TIMEOUT;
            return if stalled { Lapse::Cut } else { Lapse::Later(now + READ_TIMEOUT) };
        };
        let (since, lapse) = match (self.asked.get(), self.begun.get()) {
            (false, _) => (self.connected, Lapse::Cut),
            (true, Some(begun)) => (begun, Lapse::Leave),
            (true, None) => (idle, Lapse::Leave),
        };
        if now < since + READ_TIMEOUT { Lapse::Later(since + READ_TIMEOUT) } else { lapse }
    }
}
