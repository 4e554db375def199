//! The control side of a node, apart from the requests that it serves: its configuration, the service
//! discovery client, the server table, membership, and state saved on disk.
//!
//! It is used by the node, and by test programs that simulate many nodes without serving requests. It makes
//! no load-balancing decisions; those are in [`crate::Balancer`].

pub mod clock;
pub mod config;
pub mod discovery;
pub mod log;
pub mod peers;
pub mod process;
pub mod saved_file;
pub mod server_table;
pub mod tcp;
pub mod transfer_coding;
pub mod updates;
