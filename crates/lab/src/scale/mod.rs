//! The scale run: the nodes' control code at sizes that no machine holds as whole nodes. Hollow nodes run all of it without
//! the data path, many to a process, beside real ones; agents and list servers stand for the users' sites. `docs/scale.md`
//! is its page.

pub mod agent;
pub mod bounds;
pub mod configuration;
pub mod figures;
pub mod fits;
pub mod fleet;
pub mod hollow;
pub mod list;
pub mod measure;
pub mod messages;
pub mod part;
pub mod plan;
pub mod process;
pub mod real;
pub mod report;
pub mod results;
pub mod run;
pub mod spec;
pub mod usage;
pub mod watch_server;
