//! The scale run: nodes without a data path, many to a process, beside real ones, and what they cost by size.

pub mod results;
