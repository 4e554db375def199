//! The node's lifecycle state: serving, drained by its operators, or shutting down. Only this module changes
//! it.

pub use hillpick::control::process::ProcessState;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;

/// How long the node still accepts connections once it drains or shuts down. The load balancer in front of
/// the nodes takes up to 0.2 s to see that the node is unready, and new connections keep arriving for up to
/// 0.4 s: this is a little longer.
pub const DRAIN_ACCEPT_PERIOD: Duration = Duration::from_millis(450);
/// How long after that the connections accepted last may take to send a request, before idle connections are
/// closed.
pub const FINAL_REQUEST_GRACE: Duration = Duration::from_millis(100);

/// How long after the start of a shutdown a request may become complete and still be accepted. The process
/// may be killed 0.7 s plus the longest deadline after SIGTERM, so a later request could not be answered in
/// time.
pub const BODY_DEADLINE: Duration = Duration::from_millis(650);

/// A lifecycle state, and when it was entered.
#[derive(Clone, Copy, Debug)]
pub struct Phase {
    /// The state.
    pub state: ProcessState,
    /// When it was entered.
    pub since: Instant,
}

impl Phase {
    /// Whether connections are drained: each response asks its client to close.
    pub fn is_draining(self) -> bool {
        self.state != ProcessState::Active
    }
}

/// Holds the current phase, and tells its watchers of each change.
pub struct Lifecycle {
    phase: watch::Sender<Phase>,
    /// The state of that phase alone, for the library's tasks, which don't know of phases.
    state: watch::Sender<ProcessState>,
}

impl Lifecycle {
    /// A lifecycle in the state `Active`.
    pub fn new() -> Self {
        Lifecycle {
            phase: watch::Sender::new(Phase { state: ProcessState::Active, since: Instant::now() }),
            state: watch::Sender::new(ProcessState::Active),
        }
    }

    /// The current phase.
    pub fn now(&self) -> Phase {
        *self.phase.borrow()
    }

    /// Watches the phase.
    pub fn watch(&self) -> watch::Receiver<Phase> {
        self.phase.subscribe()
    }

    /// Watches the state alone.
    pub fn watch_state(&self) -> watch::Receiver<ProcessState> {
        self.state.subscribe()
    }

    /// Returns once no further request may be accepted; never, unless the node shuts down.
    pub async fn body_deadline(&self) {
        let mut phase = self.watch();
        let terminating =
            phase.wait_for(|phase| phase.state == ProcessState::Terminating).await.map(|phase| phase.since);
        match terminating {
            Ok(since) => tokio::time::sleep_until(since + BODY_DEADLINE).await,
            Err(_) => std::future::pending().await, // the owner was dropped: the process ends
        }
    }

    /// Enters a state, and returns whether the node is in it now. Entering the current state changes nothing,
    /// not even `since`, so that a drain requested twice ends no later. Termination is final.
    pub fn enter(&self, state: ProcessState) -> bool {
        self.phase.send_if_modified(|phase| {
            let changes = phase.state != state && phase.state != ProcessState::Terminating;
            if changes {
                *phase = Phase { state, since: Instant::now() };
            }
            changes
        });
        let now = self.now().state;
        self.state.send_if_modified(|published| std::mem::replace(published, now) != now);
        now == state
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[tokio::test(start_paused = true)]
    async fn repeated_calls_change_nothing_and_termination_is_final() {
        let lifecycle = Lifecycle::new();
        let watched = lifecycle.watch_state();
        assert!(lifecycle.enter(ProcessState::Active) && !lifecycle.now().is_draining());
        assert!(lifecycle.enter(ProcessState::Standby) && lifecycle.now().is_draining());
        assert_eq!(*watched.borrow(), ProcessState::Standby);
        let since = lifecycle.now().since;
        tokio::time::advance(Duration::from_secs(1)).await;
        assert!(lifecycle.enter(ProcessState::Standby));
        assert_eq!(lifecycle.now().since, since);
        assert!(lifecycle.enter(ProcessState::Active) && !lifecycle.now().is_draining());
        assert!(lifecycle.enter(ProcessState::Terminating));
        assert!(!lifecycle.enter(ProcessState::Active) && !lifecycle.enter(ProcessState::Standby));
        assert_eq!(
            (lifecycle.now().state, *watched.borrow()),
            (ProcessState::Terminating, ProcessState::Terminating)
        );
    }
}
