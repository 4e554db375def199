//! The state of a node's process, and which other processes of the same node there are: types only.

/// The state of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessState {
    /// It serves requests.
    Active,
    /// It drains, and may become active again.
    Standby,
    /// It has been told to stop. This state is final.
    Terminating,
}

/// The other processes of the same node, during a hot restart.
pub trait Siblings {
    /// Whether a process that started earlier is still running.
    fn has_predecessor(&self) -> bool;
    /// Whether a process that started later has taken over.
    fn has_successor(&self) -> bool;
}

/// Implements [`Siblings`] for nodes that are never restarted hot: there are no other processes.
pub struct NoSiblings;

impl Siblings for NoSiblings {
    fn has_predecessor(&self) -> bool {
        false
    }

    fn has_successor(&self) -> bool {
        false
    }
}
