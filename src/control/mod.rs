//! The control side of a node, apart from the requests that it serves: its configuration, the discovery client,
//! its part in membership and the files that outlive a process. The node runs it, and so does whatever stands for many nodes
//! without serving requests. It decides nothing: decisions are in [`crate::Balancer`].

pub mod clock;
pub mod config;
pub mod discovery;
pub mod log;
pub mod peers;
pub mod process;
pub mod saved_file;
pub mod server_table;
pub mod tcp;
pub mod updates;
