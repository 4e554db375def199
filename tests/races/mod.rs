//! Two events that cross, each order forced: what a peer of the node sees. `docs/crossings.md` has a row for each; the
//! moments that only a clock can force are tested beside the part of the node that owns them.

mod backends;
mod client_gone;
mod client_side;
mod floods;
mod handover;
mod lists;
mod retries;
mod settings;
