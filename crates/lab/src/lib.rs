//! The lab: a fleet of hillpick nodes in virtual time, or of real processes, with faults between them, and one judge
//! for both. `docs/lab.md` is its page.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod capacity;
pub mod cold;
pub mod dist;
pub mod emu;
pub mod expect;
pub mod judge;
pub mod late;
pub mod paper;
pub mod report;
pub mod results;
pub mod rig;
pub mod scale;
pub mod shares;
pub mod size;
pub mod spec;
pub mod stats;
pub mod strategy;
pub mod time;
