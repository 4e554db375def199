//! Races between two events: each order is forced, and a peer of the node checks the result.
//! `docs/races.md` has a row for each race. Orders that only a paused clock can force are tested next to
//! the module that they concern.

mod backends;
mod client_gone;
mod client_side;
mod floods;
mod handover;
mod lists;
mod repeats;
mod retries;
mod settings;
