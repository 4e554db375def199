//! Why a watch is of no more use, for what it says. Each tells what an operator can do.

use thiserror::Error;

/// A watch that says what a node can't take in.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum BadWatch {
    /// More servers than the node has memory for.
    #[error(
        "the list has more than {most} servers, the most for which limits.memory_mb leaves room: raise it, or have \
         discovery list fewer to this node"
    )]
    TooManyServers {
        /// The bound, from the configuration.
        most: usize,
    },
    /// A single entry, or what stands round the entries, is longer than any that could be meant.
    #[error(
        "a value has a part without end, over {most} bytes: look at what the agent sends to \
         /registry/instances?stream=1"
    )]
    Endless {
        /// The bound, in bytes.
        most: usize,
    },
    /// Tries to find where values end have read too much.
    #[error(
        "its values have no end that can be found: look at what the agent sends to /registry/instances?stream=1"
    )]
    NoEndFound,
    /// An answer that is one value is no list.
    #[error("it is no list: {0}: look at what the agent answers to /registry/instances")]
    NoList(String),
}
