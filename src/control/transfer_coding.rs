//! The transfer codings of a received message. hyper removes a final `chunked` and leaves all other codings in
//! the body, and a response whose last coding it does not know it reads until the connection closes. Whoever
//! uses a body therefore has to know first whether any coding is left in it.

use hyper::header::{HeaderMap, TRANSFER_ENCODING};

/// Whether the body of a message with these headers holds no transfer coding once hyper has read it: either
/// none was applied to it, or `chunked` alone. Empty elements of the list are permitted before it.
pub fn is_decoded(headers: &HeaderMap) -> bool {
    let lines = headers.get_all(TRANSFER_ENCODING).iter();
    let mut last_first = lines.flat_map(|line| line.as_bytes().split(|byte| *byte == b',')).rev();
    let is_chunked = |coding: &[u8]| coding.trim_ascii().eq_ignore_ascii_case(b"chunked");
    last_first.next().is_none_or(is_chunked) && last_first.all(|other| other.trim_ascii().is_empty())
}

#[cfg(test)]
mod tests;
