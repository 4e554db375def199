//! The one owner of what the node is about: serving, drained for its staff, or on its way out.

pub use hillpick::control::process::ProcessState;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;

/// The front takes up to 0.2 s to see that the node is unready, and new connections go on coming for up to
/// 0.4 s: so long they may bring requests, and a little more.
pub const ACCEPT_ON: Duration = Duration::from_millis(450);
/// Then what was accepted last has so long to send its request before idle connections are closed.
pub const LAST_WORDS: Duration = Duration::from_millis(100);

/// A process that is told to stop may be killed once the longest deadline and 0.7 s are over: what comes in whole
/// after so long could find no answer in time, and is not taken.
pub const LAST_BYTE: Duration = Duration::from_millis(650);

/// A state, and since when.
#[derive(Clone, Copy, Debug)]
pub struct Phase {
    pub state: ProcessState,
    pub since: Instant,
}

impl Phase {
    /// Clients are to leave: told so with each answer.
    pub fn drains(self) -> bool {
        self.state != ProcessState::Active
    }
}

pub struct Lifecycle {
    phase: watch::Sender<Phase>,
    /// The state of that phase alone, for who runs outside of this program as well.
    state: watch::Sender<ProcessState>,
}

impl Lifecycle {
    pub fn new() -> Self {
        Lifecycle {
            phase: watch::Sender::new(Phase { state: ProcessState::Active, since: Instant::now() }),
            state: watch::Sender::new(ProcessState::Active),
        }
    }

    pub fn now(&self) -> Phase {
        *self.phase.borrow()
    }

    pub fn watch(&self) -> watch::Receiver<Phase> {
        self.phase.subscribe()
    }

    /// The state alone.
    pub fn watch_state(&self) -> watch::Receiver<ProcessState> {
        self.state.subscribe()
    }

    /// Returns when nothing further may be taken, if that ever comes.
    pub async fn last_byte(&self) {
        let mut phase = self.watch();
        let terminating =
            phase.wait_for(|phase| phase.state == ProcessState::Terminating).await.map(|phase| phase.since);
        match terminating {
            Ok(since) => tokio::time::sleep_until(since + LAST_BYTE).await,
            Err(_) => std::future::pending().await, // its owner has gone, and the process with it
        }
    }

    /// Enters a state, and says whether the node is in it now. To enter it again changes nothing, not even since
    /// when: a drain that is called for twice ends no later. Nothing follows termination.
    pub fn enter(&self, state: ProcessState) -> bool {
        self.phase.send_if_modified(|phase| {
            let changes = phase.state != state && phase.state != ProcessState::Terminating;
            if changes {
                *phase = Phase { state, since: Instant::now() };
            }
            changes
        });
        let now = self.now().state;
        self.state.send_if_modified(|told| std::mem::replace(told, now) != now);
        now == state
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[tokio::test(start_paused = true)]
    async fn repeated_calls_change_nothing_and_termination_is_final() {
        let lifecycle = Lifecycle::new();
        let told = lifecycle.watch_state();
        assert!(lifecycle.enter(ProcessState::Active) && !lifecycle.now().drains());
        assert!(lifecycle.enter(ProcessState::Standby) && lifecycle.now().drains());
        assert_eq!(*told.borrow(), ProcessState::Standby);
        let since = lifecycle.now().since;
        tokio::time::advance(Duration::from_secs(1)).await;
        assert!(lifecycle.enter(ProcessState::Standby));
        assert_eq!(lifecycle.now().since, since);
        assert!(lifecycle.enter(ProcessState::Active) && !lifecycle.now().drains());
        assert!(lifecycle.enter(ProcessState::Terminating));
        assert!(!lifecycle.enter(ProcessState::Active) && !lifecycle.enter(ProcessState::Standby));
        assert_eq!(
            (lifecycle.now().state, *told.borrow()),
            (ProcessState::Terminating, ProcessState::Terminating)
        );
    }
}
