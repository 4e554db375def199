//! The list of servers as a list server or an agent has it: entries as the JSON that nodes read, and what changed with
//! which version, for a bounded number of changes.

use super::plan::State;
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use std::collections::{HashMap, VecDeque};
use std::fmt::Write;
use std::net::SocketAddr;

/// Changes that are kept: who is further behind gets the whole list.
const CHANGES_KEPT: usize = 20_000;

/// A line of the list, as it is written.
#[derive(Serialize)]
pub struct Line<'a> {
    /// The server.
    pub name: &'a str,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: String,
    /// Its machine kind.
    pub r#type: &'static str,
    /// Its cell.
    pub group: u16,
    /// Its state.
    pub status: State,
    /// Its weight.
    pub weight: f64,
    /// When it last started, in ms of Unix time; 0 for long ago.
    pub since_ms: u64,
}

#[derive(Deserialize)]
struct Text<'a> {
    index: u64,
    snapshot: bool,
    #[serde(borrow)]
    endpoints: Vec<&'a RawValue>,
}

#[derive(Deserialize)]
struct Key<'a> {
    name: &'a str,
    status: State,
}

struct Entry {
    line: Box<str>,
    gone: bool,
    changed: u64,
}

/// A list and its versions.
#[derive(Default)]
pub struct List {
    entries: Vec<Entry>,
    places: HashMap<Box<str>, u32>,
    index: u64,
    /// Versions and the entries that changed with them, oldest first.
    changes: VecDeque<(u64, u32)>,
    /// The whole list of that version, as it was last written.
    whole: Option<(u64, Bytes)>,
    /// What followed the first version up to the second, as it was last written.
    news: Option<(u64, u64, Bytes)>,
}

/// What somebody who holds a version has to be sent.
#[derive(Clone, Debug, PartialEq)]
pub struct News {
    /// The text, a line with its end.
    pub text: Bytes,
    /// The version that it brings.
    pub index: u64,
    /// It is the whole list.
    pub whole: bool,
}

impl List {
    /// The version; 0 while there is none.
    #[must_use]
    pub fn index(&self) -> u64 {
        self.index
    }

    /// Entries change, all with one new version.
    pub fn change<'a>(&mut self, lines: impl Iterator<Item = Line<'a>>) {
        self.index += 1;
        for line in lines {
            let text = serde_json::to_string(&line).expect("a line that can be written");
            self.put(line.name, text.into(), line.status == State::Terminated);
        }
    }

    fn put(&mut self, name: &str, line: Box<str>, gone: bool) {
        let entry = Entry { line, gone, changed: self.index };
        let place = match self.places.get(name) {
            Some(place) => {
                self.entries[*place as usize] = entry;
                *place
            }
            None => {
                let place = self.entries.len() as u32;
                self.entries.push(entry);
                self.places.insert(name.into(), place);
                place
            }
        };
        self.changes.push_back((self.index, place));
        if self.changes.len() > CHANGES_KEPT {
            self.changes.pop_front();
        }
    }

    /// Takes in a text of a watch.
    ///
    /// # Errors
    /// If it is no list.
    pub fn take(&mut self, text: &[u8]) -> Result<(), serde_json::Error> {
        let text: Text = serde_json::from_slice(text)?;
        if text.snapshot {
            *self = List::default();
        }
        self.index = text.index;
        for line in text.endpoints {
            let key: Key = serde_json::from_str(line.get())?;
            self.put(key.name, line.get().into(), key.status == State::Terminated);
        }
        if text.snapshot {
            // Who asks for what came after an earlier version can't be told by changes.
            self.changes.clear();
        }
        Ok(())
    }

    /// What came after a version: the whole list where that is 0 or too long ago.
    pub fn since(&mut self, after: u64) -> News {
        let index = self.index;
        let oldest = self.changes.front().map_or(u64::MAX, |(version, _)| *version);
        if after == 0 || (after < index && after + 1 < oldest) {
            return self.all();
        }
        if let Some((from, to, text)) = &self.news
            && (*from, *to) == (after, index)
        {
            return News { text: text.clone(), index, whole: false };
        }
        let first = self.changes.partition_point(|(version, _)| *version <= after);
        // An entry that changed again later stands there alone.
        let last = |(version, place): &&(u64, u32)| self.entries[*place as usize].changed == *version;
        let changed =
            self.changes.range(first..).filter(last).map(|(_, place)| &self.entries[*place as usize]);
        let text = written(index, false, changed);
        self.news = Some((after, index, text.clone()));
        News { text, index, whole: false }
    }

    fn all(&mut self) -> News {
        let index = self.index;
        match &self.whole {
            Some((of, text)) if *of == index => News { text: text.clone(), index, whole: true },
            _ => {
                let text = written(index, true, self.entries.iter().filter(|entry| !entry.gone));
                self.whole = Some((index, text.clone()));
                News { text, index, whole: true }
            }
        }
    }
}

fn written<'a>(index: u64, snapshot: bool, entries: impl Iterator<Item = &'a Entry>) -> Bytes {
    let mut text = String::new();
    let _ = write!(text, "{{\"index\":{index},\"snapshot\":{snapshot},\"endpoints\":["); // strings take all
    for (number, entry) in entries.enumerate() {
        text.push_str(if number == 0 { "" } else { "," });
        text.push_str(&entry.line);
    }
    text.push_str("]}\n");
    Bytes::from(text)
}

#[cfg(test)]
mod tests;
