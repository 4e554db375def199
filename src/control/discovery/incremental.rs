//! A list too long to be kept as text: it is taken in while it comes. Where an entry ends, its text is read by `serde_json`
//! and only the [`Backend`] stays; in what is left of the list a short word stands for each entry, and `serde_json` reads
//! that at the end. Here braces and quotes are counted, and nothing is read.

use super::entry::{BadEntry, EntryReader, Whole};
use super::error::BadWatch;
use crate::ServerId;
use crate::control::updates::Backend;
use serde::Deserialize;
use serde::de::IgnoredAny;
use std::collections::BTreeMap;
use std::collections::btree_map::Entry;

/// The longest text of one entry, in bytes; discovery's take 140.
pub const ENTRY_LIMIT: usize = 64 << 10;
/// What stands for an entry in the rest of the list.
const STAND_IN: u8 = b'0';
/// What an entry may leave in the rest: the word for it, a comma, white space.
const REST_PER_ENTRY: usize = 4;
/// So many bad entries are told of by themselves.
const REASONS: usize = 8;

/// A list that was read entry by entry. Of two lives of a backend it holds the later one.
#[derive(Debug, Default)]
pub struct LongList {
    /// Its version.
    pub index: Option<u64>,
    /// Whether it is the whole list.
    pub snapshot: bool,
    /// The entries, each backend once.
    pub backends: BTreeMap<ServerId, Backend>,
    /// Why entries were dropped; the first few.
    pub reasons: Vec<String>,
    /// How many entries were dropped.
    pub dropped: usize,
}

impl LongList {
    /// Of one life, what stands last counts.
    fn add(&mut self, backend: Backend) {
        match self.backends.entry(backend.entry.id) {
            Entry::Vacant(place) => drop(place.insert(backend)),
            Entry::Occupied(mut place) if backend.entry.started >= place.get().entry.started => {
                place.insert(backend);
            }
            Entry::Occupied(_) => {}
        }
    }

    fn drop_entry(&mut self, why: String) {
        self.dropped += 1;
        if self.reasons.len() < REASONS {
            self.reasons.push(why);
        }
    }
}

/// What is left of a list once its entries are taken out.
#[derive(Deserialize)]
struct Rest {
    index: Option<u64>,
    #[serde(default)]
    snapshot: bool,
    endpoints: Vec<IgnoredAny>,
}

/// How a long value ends.
#[derive(Debug)]
pub enum End {
    /// A list.
    List(LongList),
    /// It is none.
    Broken {
        /// What is wrong.
        why: String,
        /// Its line has ended as well.
        line_ended: bool,
    },
    /// It was cut short, and this list follows.
    CutShort(Vec<u8>),
}

/// A long value of which the end has not come yet.
pub struct LongReader {
    entries: EntryReader,
    /// The most entries.
    most: usize,
    /// The most bytes outside of entries.
    most_rest: usize,
    list: LongList,
    /// Entries so far, dropped ones as well.
    count: usize,
    rest: Vec<u8>,
    entry: Vec<u8>,
    /// How many braces and brackets are open.
    depth: usize,
    in_string: bool,
    escaped: bool,
    in_entry: bool,
    in_endpoints: bool,
}

impl LongReader {
    /// A value that begins now, of at most so many entries and so many bytes apart from them.
    pub fn new(entries: EntryReader, most: usize, most_rest: usize) -> Self {
        LongReader {
            entries,
            most,
            most_rest,
            list: LongList::default(),
            count: 0,
            rest: Vec::new(),
            entry: Vec::new(),
            depth: 0,
            in_string: false,
            escaped: false,
            in_entry: false,
            in_endpoints: false,
        }
    }

    /// Takes in the next piece; returns how much of it belongs to the value, and how that ends if it does.
    ///
    /// # Errors
    /// If it can't be held.
    pub fn feed(&mut self, piece: &[u8]) -> Result<(usize, Option<End>), BadWatch> {
        for (at, byte) in piece.iter().enumerate() {
            let end = match self.step(*byte) {
                // What is too long to be kept can still be passed over.
                Err(problem @ BadWatch::Endless { .. }) => {
                    Some(End::Broken { why: problem.to_string(), line_ended: false })
                }
                step => step?,
            };
            if end.is_some() {
                return Ok((at + 1, end));
            }
        }
        Ok((piece.len(), None))
    }

    /// How many bytes of text it holds now.
    #[cfg(test)]
    pub fn kept(&self) -> usize {
        self.rest.len() + self.entry.len()
    }

    fn step(&mut self, byte: u8) -> Result<Option<End>, BadWatch> {
        if self.in_string {
            return self.step_in_string(byte);
        }
        match byte {
            b' ' | b'\t' | b'\r' => {
                if !self.text().last().is_some_and(u8::is_ascii_whitespace) {
                    self.keep(byte)?;
                }
            }
            b'\n' => return self.end_line(),
            b'"' => {
                self.in_string = true;
                self.keep(byte)?;
            }
            b'{' | b'[' => self.open(byte)?,
            b'}' | b']' => return self.close(byte),
            _ => self.keep(byte)?,
        }
        Ok(None)
    }

    fn step_in_string(&mut self, byte: u8) -> Result<Option<End>, BadWatch> {
        match byte {
            // JSON has none within a string: it was cut short.
            b'\n' => {
                let why = "it was cut short within a string".to_owned();
                return Ok(Some(End::Broken { why, line_ended: true }));
            }
            _ if self.escaped => self.escaped = false,
            b'\\' => self.escaped = true,
            b'"' => self.in_string = false,
            _ => {}
        }
        self.keep(byte)?;
        Ok(None)
    }

    fn open(&mut self, byte: u8) -> Result<(), BadWatch> {
        self.in_entry |= byte == b'{' && self.in_endpoints && self.depth == 2;
        self.in_endpoints |= byte == b'[' && self.depth == 1 && self.follows_endpoints();
        self.depth += 1;
        self.keep(byte)
    }

    fn close(&mut self, byte: u8) -> Result<Option<End>, BadWatch> {
        self.keep(byte)?;
        self.depth = self.depth.saturating_sub(1);
        if self.in_entry && self.depth == 2 {
            return self.end_entry();
        }
        self.in_endpoints &= self.depth >= 2;
        Ok((self.depth == 0).then(|| self.end()))
    }

    /// Whether the array that begins is that of the entries.
    fn follows_endpoints(&self) -> bool {
        let before = self.rest.trim_ascii_end().strip_suffix(b":");
        before.is_some_and(|before| before.trim_ascii_end().ends_with(b"\"endpoints\""))
    }

    fn end_entry(&mut self) -> Result<Option<End>, BadWatch> {
        let text = std::mem::take(&mut self.entry);
        self.in_entry = false;
        match self.entries.read(&text) {
            Ok(backend) => self.list.add(backend),
            Err(BadEntry::Unusable(why)) => self.list.drop_entry(why),
            Err(BadEntry::NotJson(why)) => return Ok(Some(End::Broken { why, line_ended: false })),
            Err(BadEntry::List) => return Ok(Some(End::CutShort(text))),
        }
        self.entry = text;
        self.entry.clear();
        self.count += 1;
        if self.count > self.most {
            return Err(BadWatch::TooManyServers { most: self.most });
        }
        self.keep(STAND_IN)?;
        Ok(None)
    }

    /// A line that is a whole list by itself, within something else: that was cut short.
    fn end_line(&mut self) -> Result<Option<End>, BadWatch> {
        let text = self.text();
        let start = text.iter().rposition(|byte| *byte == b'\n').map(|at| at + 1);
        let line = text[start.unwrap_or_default()..].trim_ascii();
        let closed = line.starts_with(b"{") && line.ends_with(b"}");
        if closed && start.is_some() && serde_json::from_slice::<Whole>(line).is_ok() {
            return Ok(Some(End::CutShort(line.to_vec())));
        }
        if text.last() != Some(&b'\n') {
            self.keep(b'\n')?;
        }
        Ok(None)
    }

    fn end(&mut self) -> End {
        let mut list = std::mem::take(&mut self.list);
        let rest: Rest = match serde_json::from_slice(&self.rest) {
            Ok(rest) => rest,
            Err(e) => return End::Broken { why: e.to_string(), line_ended: false },
        };
        (list.index, list.snapshot) = (rest.index, rest.snapshot);
        for _ in self.count..rest.endpoints.len() {
            list.drop_entry("an entry is no object".to_owned());
        }
        End::List(list)
    }

    /// Where what comes now is kept: with its entry, or with the rest.
    fn text(&self) -> &[u8] {
        if self.in_entry { &self.entry } else { &self.rest }
    }

    fn keep(&mut self, byte: u8) -> Result<(), BadWatch> {
        let (text, most) = if self.in_entry {
            (&mut self.entry, ENTRY_LIMIT)
        } else {
            (&mut self.rest, self.most_rest + REST_PER_ENTRY * self.count)
        };
        if text.len() >= most {
            return Err(BadWatch::Endless { most });
        }
        text.push(byte);
        Ok(())
    }
}
