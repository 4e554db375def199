//! Incremental parsing of a list that is too long to be buffered as text, in bounded memory.
//!
//! This scanner only tracks strings and nesting to find where each entry ends. `serde_json` parses the
//! entry's text, of which only the [`Backend`] is kept. In the rest of the list, the skeleton, a placeholder
//! stands for each entry, and `serde_json` parses the skeleton at the end.

use super::entry::{EntryError, EntryReader, ListMarker};
use super::error::WatchError;
use crate::ServerId;
use crate::control::updates::Backend;
use serde::Deserialize;
use serde::de::IgnoredAny;
use std::collections::BTreeMap;
use std::collections::btree_map::Entry;

/// The longest text of one entry; an entry of discovery takes 140 bytes.
pub const MAX_ENTRY_BYTES: usize = 64 << 10;
/// Stands for an entry in the skeleton.
const ENTRY_PLACEHOLDER: u8 = b'0';
/// The most that one entry adds to the skeleton: the placeholder, a comma and whitespace.
const SKELETON_BYTES_PER_ENTRY: usize = 4;
/// How many dropped entries are reported one by one; of the others only the count is.
const MAX_REPORTED_REASONS: usize = 8;

/// A list that was parsed entry by entry. If a backend is listed twice, it holds the entry with the later
/// start.
#[derive(Debug, Default)]
pub struct LongList {
    /// Its resource version.
    pub index: Option<u64>,
    /// Whether it is a full snapshot.
    pub snapshot: bool,
    /// The entries, each backend once.
    pub backends: BTreeMap<ServerId, Backend>,
    /// Why entries were dropped, for the first [`MAX_REPORTED_REASONS`].
    pub reasons: Vec<String>,
    /// How many entries were dropped.
    pub dropped: usize,
}

impl LongList {
    /// Of entries with the same start the last one counts.
    fn add(&mut self, backend: Backend) {
        match self.backends.entry(backend.entry.id) {
            Entry::Vacant(slot) => drop(slot.insert(backend)),
            Entry::Occupied(mut slot) if backend.entry.started >= slot.get().entry.started => {
                slot.insert(backend);
            }
            Entry::Occupied(_) => {}
        }
    }

    fn drop_entry(&mut self, reason: String) {
        self.dropped += 1;
        if self.reasons.len() < MAX_REPORTED_REASONS {
            self.reasons.push(reason);
        }
    }
}

/// A list without its entries.
#[derive(Deserialize)]
struct ListSkeleton {
    index: Option<u64>,
    #[serde(default)]
    snapshot: bool,
    endpoints: Vec<IgnoredAny>,
}

/// How a long value ended.
#[derive(Debug)]
pub enum ParseEnd {
    /// It is a list.
    List(LongList),
    /// It is not a list, or not valid JSON.
    Malformed {
        /// What is wrong.
        reason: String,
        /// Whether its line has ended as well; otherwise the rest of the line is to be skipped.
        line_ended: bool,
    },
    /// It was truncated, and this text of a list follows it.
    Truncated(Vec<u8>),
}

/// Parses one long value while it arrives.
pub struct IncrementalListParser {
    entry_reader: EntryReader,
    /// The most entries.
    max_servers: usize,
    /// The most bytes of skeleton, besides those for each entry.
    max_skeleton_bytes: usize,
    list: LongList,
    /// Entries so far, including dropped ones.
    entry_count: usize,
    skeleton: Vec<u8>,
    /// The text of the current entry.
    entry: Vec<u8>,
    /// How many braces and brackets are open.
    depth: usize,
    in_string: bool,
    escaped: bool,
    in_entry: bool,
    in_endpoints: bool,
}

impl IncrementalListParser {
    /// A parser for one value with at most `max_servers` entries, and `max_skeleton_bytes` besides the
    /// entries.
    pub fn new(entry_reader: EntryReader, max_servers: usize, max_skeleton_bytes: usize) -> Self {
        IncrementalListParser {
            entry_reader,
            max_servers,
            max_skeleton_bytes,
            list: LongList::default(),
            entry_count: 0,
            skeleton: Vec::new(),
            entry: Vec::new(),
            depth: 0,
            in_string: false,
            escaped: false,
            in_entry: false,
            in_endpoints: false,
        }
    }

    /// Parses the next bytes. Returns how many of them belong to the value, and how the value ended if it
    /// did.
    ///
    /// # Errors
    /// If the list has too many servers.
    pub fn feed(&mut self, bytes: &[u8]) -> Result<(usize, Option<ParseEnd>), WatchError> {
        for (position, byte) in bytes.iter().enumerate() {
            let end = match self.push_byte(*byte) {
                // A value with a part that is too long to buffer can still be skipped.
                Err(error @ WatchError::PartTooLong { .. }) => {
                    Some(ParseEnd::Malformed { reason: error.to_string(), line_ended: false })
                }
                step => step?,
            };
            if end.is_some() {
                return Ok((position + 1, end));
            }
        }
        Ok((bytes.len(), None))
    }

    /// How many bytes of text are buffered.
    #[cfg(test)]
    pub fn buffered_bytes(&self) -> usize {
        self.skeleton.len() + self.entry.len()
    }

    fn push_byte(&mut self, byte: u8) -> Result<Option<ParseEnd>, WatchError> {
        if self.in_string {
            return self.push_string_byte(byte);
        }
        match byte {
            b' ' | b'\t' | b'\r' => {
                if !self.current_text().last().is_some_and(u8::is_ascii_whitespace) {
                    self.append(byte)?;
                }
            }
            b'\n' => return self.finish_line(),
            b'"' => {
                self.in_string = true;
                self.append(byte)?;
            }
            b'{' | b'[' => self.open_bracket(byte)?,
            b'}' | b']' => return self.close_bracket(byte),
            _ => self.append(byte)?,
        }
        Ok(None)
    }

    fn push_string_byte(&mut self, byte: u8) -> Result<Option<ParseEnd>, WatchError> {
        match byte {
            // JSON allows no line break in a string, so the value is truncated.
            b'\n' => {
                let reason = "it is truncated within a string".to_owned();
                return Ok(Some(ParseEnd::Malformed { reason, line_ended: true }));
            }
            _ if self.escaped => self.escaped = false,
            b'\\' => self.escaped = true,
            b'"' => self.in_string = false,
            _ => {}
        }
        self.append(byte)?;
        Ok(None)
    }

    fn open_bracket(&mut self, byte: u8) -> Result<(), WatchError> {
        self.in_entry |= byte == b'{' && self.in_endpoints && self.depth == 2;
        self.in_endpoints |= byte == b'[' && self.depth == 1 && self.follows_endpoints_key();
        self.depth += 1;
        self.append(byte)
    }

    fn close_bracket(&mut self, byte: u8) -> Result<Option<ParseEnd>, WatchError> {
        self.append(byte)?;
        self.depth = self.depth.saturating_sub(1);
        if self.in_entry && self.depth == 2 {
            return self.finish_entry();
        }
        self.in_endpoints &= self.depth >= 2;
        Ok((self.depth == 0).then(|| self.finish()))
    }

    /// Whether the array that opens here is the value of `endpoints`.
    fn follows_endpoints_key(&self) -> bool {
        let before = self.skeleton.trim_ascii_end().strip_suffix(b":");
        before.is_some_and(|before| before.trim_ascii_end().ends_with(b"\"endpoints\""))
    }

    fn finish_entry(&mut self) -> Result<Option<ParseEnd>, WatchError> {
        let text = std::mem::take(&mut self.entry);
        self.in_entry = false;
        match self.entry_reader.read(&text) {
            Ok(backend) => self.list.add(backend),
            Err(EntryError::Invalid(reason)) => self.list.drop_entry(reason),
            Err(EntryError::NotJson(reason)) => {
                return Ok(Some(ParseEnd::Malformed { reason, line_ended: false }));
            }
            Err(EntryError::NestedList) => return Ok(Some(ParseEnd::Truncated(text))),
        }
        self.entry = text;
        self.entry.clear();
        self.entry_count += 1;
        if self.entry_count > self.max_servers {
            return Err(WatchError::TooManyServers { max_servers: self.max_servers });
        }
        self.append(ENTRY_PLACEHOLDER)?;
        Ok(None)
    }

    /// If the line that ends here is a whole list by itself, the value around it was truncated.
    fn finish_line(&mut self) -> Result<Option<ParseEnd>, WatchError> {
        let text = self.current_text();
        let start = text.iter().rposition(|byte| *byte == b'\n').map(|position| position + 1);
        let line = text[start.unwrap_or_default()..].trim_ascii();
        let closed = line.starts_with(b"{") && line.ends_with(b"}");
        if closed && start.is_some() && serde_json::from_slice::<ListMarker>(line).is_ok() {
            return Ok(Some(ParseEnd::Truncated(line.to_vec())));
        }
        if text.last() != Some(&b'\n') {
            self.append(b'\n')?;
        }
        Ok(None)
    }

    fn finish(&mut self) -> ParseEnd {
        let mut list = std::mem::take(&mut self.list);
        let skeleton: ListSkeleton = match serde_json::from_slice(&self.skeleton) {
            Ok(skeleton) => skeleton,
            Err(e) => return ParseEnd::Malformed { reason: e.to_string(), line_ended: false },
        };
        (list.index, list.snapshot) = (skeleton.index, skeleton.snapshot);
        for _ in self.entry_count..skeleton.endpoints.len() {
            list.drop_entry("an entry is not an object".to_owned());
        }
        ParseEnd::List(list)
    }

    /// The text that the next byte is appended to: the current entry or the skeleton.
    fn current_text(&self) -> &[u8] {
        if self.in_entry { &self.entry } else { &self.skeleton }
    }

    fn append(&mut self, byte: u8) -> Result<(), WatchError> {
        let (text, max_bytes) = if self.in_entry {
            (&mut self.entry, MAX_ENTRY_BYTES)
        } else {
            (&mut self.skeleton, self.max_skeleton_bytes + SKELETON_BYTES_PER_ENTRY * self.entry_count)
        };
        if text.len() >= max_bytes {
            return Err(WatchError::PartTooLong { max_bytes });
        }
        text.push(byte);
        Ok(())
    }
}
