//! Why a watch, or a fetched list, had to be given up because of its content. Each message says what an
//! operator can do.

use thiserror::Error;

/// Why the content of a watch or of a fetched list can't be applied.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum WatchError {
    /// The list has more servers than the node's memory limit allows.
    #[error(
        "the list has more than {max_servers} servers, the limit that limits.memory_mb sets: raise it, or have \
         discovery list fewer servers to this node"
    )]
    TooManyServers {
        /// The limit, from the configuration.
        max_servers: usize,
    },
    /// A single entry, or the text outside the entries, is longer than in any valid list.
    #[error(
        "one part of a value is longer than {max_bytes} bytes: check what the agent sends to \
         /registry/instances?stream=1"
    )]
    PartTooLong {
        /// The limit, in bytes.
        max_bytes: usize,
    },
    /// Repeated attempts to find the end of a value have parsed too many bytes.
    #[error("the end of a value can't be found: check what the agent sends to /registry/instances?stream=1")]
    NoValueEnd,
    /// A fetched response is not a list.
    #[error("the response is not a list: {0}: check what the agent answers to /registry/instances")]
    NotAList(String),
}
