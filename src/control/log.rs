//! Logging to standard error.

use std::fmt::Display;
use std::io::{self, Write};

/// Writes a line to the log. Write errors are ignored: the node goes on serving when nobody reads its log.
pub fn log(text: impl Display) {
    let _ = writeln!(io::stderr().lock(), "sillward: {text}");
}
