//! How a process of a node stands, and which other processes of the same node there are: types alone.

/// How a process stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessState {
    /// It serves.
    Active,
    /// It drains, and may be called back.
    Standby,
    /// It is told to stop. Nothing follows.
    Terminating,
}

/// The processes of the same node beside this one, in an upgrade.
pub trait Siblings {
    /// A process that started earlier is still there.
    fn has_predecessor(&self) -> bool;
    /// A process that started later has taken over.
    fn has_successor(&self) -> bool;
}

/// For a node whose processes are never upgraded in place.
pub struct NoSiblings;

impl Siblings for NoSiblings {
    fn has_predecessor(&self) -> bool {
        false
    }

    fn has_successor(&self) -> bool {
        false
    }
}
