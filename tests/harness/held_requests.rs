//! Requests that backends hold until the test releases them.

use super::{Message, TEST_TIMEOUT};
use std::collections::BTreeSet;
use std::sync::{Condvar, Mutex};

/// Holds each request that has arrived at a backend until its own path is released. With one gate for several
/// requests any of them could take the release of another.
#[derive(Default)]
pub struct HeldRequests {
    paths: Mutex<Paths>,
    released: Condvar,
}

#[derive(Default)]
struct Paths {
    arrived: Vec<String>,
    released: BTreeSet<String>,
}

impl HeldRequests {
    /// Called by a backend: returns when the request's path has been released.
    pub fn hold(&self, message: &Message) {
        let path = message.start_line.split(' ').nth(1).expect("a path");
        let mut paths = self.paths.lock().expect("the paths");
        paths.arrived.push(path.to_owned());
        let is_held = |paths: &mut Paths| !paths.released.contains(path);
        let _ = self.released.wait_timeout_while(paths, TEST_TIMEOUT, is_held);
    }

    /// Lets the requests for this path go on.
    pub fn release(&self, path: &str) {
        self.paths.lock().expect("the paths").released.insert(path.to_owned());
        self.released.notify_all();
    }

    /// The paths of the requests that have arrived, in this order.
    pub fn arrived(&self) -> Vec<String> {
        self.paths.lock().expect("the paths").arrived.clone()
    }
}
