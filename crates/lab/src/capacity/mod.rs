//! The capacity page: what a fleet of the operators' size asks of each part, reckoned from the recorded scale runs and from
//! closed forms. `docs/CAPACITY.md` has its tables between markers; they are written here and its prose is by hand.

mod day;
pub mod decisions;
mod first_look;
mod forms;
mod page;
mod questions;
mod roles;
pub mod runs;
pub mod size;
mod table;

pub use page::{Markers, differences, filled, without_tables};
pub use roles::{Count, count};
pub use table::{Table, number};

use runs::Runs;
use size::Capacity;

/// All tables of the page, in no order that matters: each stands at its markers.
pub fn tables(capacity: &Capacity, runs: &Runs) -> Vec<Table> {
    let mut tables = vec![
        roles::summary(capacity, runs),
        roles::counted(capacity, runs),
        runs::listed(runs),
        runs::at_one_size(runs),
    ];
    tables.extend(roles::by_role(capacity, runs));
    tables.extend(first_look::tables(capacity));
    tables.extend(day::tables(capacity));
    tables.extend(questions::tables(capacity, runs));
    tables.extend(forms::tables(capacity));
    tables
}
