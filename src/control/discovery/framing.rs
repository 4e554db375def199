//! Where the values of a watch begin and end: bytes in, whole JSON values out, however they are laid out. What a value
//! says is not looked at here, unless it is so long that `long` takes it in entry by entry.
//!
//! The JSON is read by `serde_json`, which starts anew at each try. So a try is made only where a value may end, and
//! what failed tries read is counted: all bytes are read [`EAGER`] times in the mean at most, or [`MOST`] times before
//! the watch is given up.

use super::entry::{EntryReader, Whole};
use super::error::BadWatch;
use super::incremental::{End, LongList, LongReader};
use bytes::{Buf, Bytes, BytesMut};
use serde_json::Deserializer;
use serde_json::value::RawValue;

/// The longest value that is kept as text, in bytes: nearly 2,000 servers. A longer one is read while it comes, if it
/// is an object.
pub const SHORT_LIMIT: usize = 256 << 10;
/// What may be dropped of a broken line, for each server that may be listed: more than any entry takes.
const SKIPPED_PER_SERVER: usize = 512;
/// A value is tried at each likely end while failed tries have read no more than so many times what came since the
/// last good value. A list as discovery writes it is tried once; one with odd braces in its names and a line for each
/// entry twice an entry.
const EAGER: usize = 8;
/// The same for tries at an empty line, which comes every 2 s, and for what is left of a broken value.
const MOST: usize = 64;
/// Short values may always be tried again.
const FREE: usize = 64 << 10;

/// The bytes of a watch that have not made a whole value yet.
pub struct Lines {
    entries: EntryReader,
    /// The most servers that a list may hold.
    most: usize,
    /// A value that was too long to be kept; then nothing is unread.
    long: Option<Box<LongReader>>,
    unread: BytesMut,
    /// So many bytes of it have been looked at.
    seen: usize,
    /// Braces in these, in strings or not: where they pair, a value may end.
    opened: usize,
    closed: usize,
    /// The last of these that is no white space.
    last: u8,
    /// The last of these, of any kind, is the end of a line.
    line_ended: bool,
    /// Something came since the last try.
    fresh: bool,
    /// What came since the last good value, and what failed tries read of it.
    came: usize,
    wasted: usize,
    /// The rest of a broken line is dropped; so long it has been.
    skipped: Option<usize>,
    /// What is broken has been told of.
    told: bool,
}

/// What pieces have brought.
#[derive(Debug, Default)]
pub struct Fed {
    /// Whole values in their order, and why something between them was dropped.
    pub values: Vec<Result<ListValue, String>>,
    /// Whether the watch has spoken: any byte of a value, or an empty line between values. White space within a value
    /// that does not go on is silence, and so it is after a broken one: that may be half of a list, whose rest is only
    /// to be had from another watch.
    pub heard: bool,
}

/// A whole value.
#[derive(Debug)]
pub enum ListValue {
    /// The text of a short one.
    Text(Bytes),
    /// A long one, which has been read.
    Long(Box<LongList>),
}

impl Lines {
    /// Nothing yet. `entries` reads the entries of long lists, which have `most` at most.
    pub fn new(entries: EntryReader, most: usize) -> Self {
        Lines {
            entries,
            most,
            long: None,
            unread: BytesMut::new(),
            seen: 0,
            opened: 0,
            closed: 0,
            last: 0,
            line_ended: false,
            fresh: false,
            came: 0,
            wasted: 0,
            skipped: None,
            told: false,
        }
    }

    /// Takes in the next piece of any length.
    ///
    /// # Errors
    /// If a value is too long, or its end costs too much to find: the watch is of no use then.
    pub fn feed(&mut self, mut piece: &[u8]) -> Result<Fed, BadWatch> {
        let mut fed = Fed::default();
        while !piece.is_empty() {
            let taken = if self.long.is_some() {
                self.feed_long(piece, &mut fed)?
            } else {
                let taken = piece.len().min(SHORT_LIMIT);
                self.feed_short(&piece[..taken], &mut fed)?;
                if self.unread.len() > SHORT_LIMIT {
                    self.turn_long(&mut fed)?;
                }
                taken
            };
            piece = &piece[taken..];
        }
        Ok(fed)
    }

    /// How many bytes of text it holds now.
    #[cfg(test)]
    pub fn kept(&self) -> usize {
        self.unread.len() + self.long.as_ref().map_or(0, |long| long.kept())
    }

    fn feed_short(&mut self, piece: &[u8], fed: &mut Fed) -> Result<(), BadWatch> {
        self.unread.extend_from_slice(piece);
        while let Some(byte) = self.unread.get(self.seen).copied() {
            self.came += 1;
            self.seen += 1;
            let blank = is_blank(byte);
            fed.heard |= !blank || self.seen == 1 && !self.told;
            if let Some(skipped) = &mut self.skipped {
                *skipped += 1;
                let most = self.most.saturating_mul(SKIPPED_PER_SERVER);
                if *skipped > most {
                    return Err(BadWatch::Endless { most });
                }
                if byte == b'\n' {
                    self.skipped = None;
                }
                self.drop_front(self.seen);
            } else if blank && self.seen == 1 {
                self.drop_front(1); // between values
            } else {
                self.note(byte, blank);
                if self.may_end(byte) {
                    self.try_all(byte, &mut fed.values)?;
                }
                self.line_ended = byte == b'\n';
            }
        }
        Ok(())
    }

    /// What is unread is too long to be kept. All of it has been looked at.
    fn turn_long(&mut self, fed: &mut Fed) -> Result<(), BadWatch> {
        let start = std::mem::take(&mut self.unread);
        (self.seen, self.line_ended, self.fresh) = (0, false, false);
        self.count();
        if !start.starts_with(b"{") {
            self.skipped = Some(0);
            self.tell(&mut fed.values, "it is no list");
            return Ok(());
        }
        self.long = Some(Box::new(LongReader::new(self.entries.clone(), self.most, SHORT_LIMIT)));
        let taken = self.feed_long(&start, fed)?;
        // It had no end that could be found: what follows one is seldom more than a few bytes.
        self.feed_short(&start[taken..], fed)
    }

    /// Returns how much of the piece belongs to the long value.
    fn feed_long(&mut self, piece: &[u8], fed: &mut Fed) -> Result<usize, BadWatch> {
        let Some(long) = &mut self.long else { return Ok(0) };
        let (taken, end) = long.feed(piece)?;
        fed.heard |= !piece[..taken].iter().copied().all(is_blank);
        let Some(end) = end else { return Ok(taken) };
        self.long = None;
        match end {
            End::List(list) => self.pass_on(ListValue::Long(Box::new(list)), &mut fed.values),
            End::Broken { why, line_ended } => {
                self.skipped = (!line_ended).then_some(0);
                self.tell(&mut fed.values, &why);
            }
            End::CutShort(text) => {
                self.tell(&mut fed.values, "it was cut short");
                self.pass_on(ListValue::Text(text.into()), &mut fed.values);
            }
        }
        Ok(taken)
    }

    fn pass_on(&mut self, value: ListValue, values: &mut Vec<Result<ListValue, String>>) {
        values.push(Ok(value));
        (self.came, self.wasted, self.told) = (self.seen, 0, false);
    }

    fn note(&mut self, byte: u8, blank: bool) {
        self.opened += usize::from(byte == b'{');
        self.closed += usize::from(byte == b'}');
        if !blank {
            (self.last, self.fresh) = (byte, true);
        }
    }

    /// Whether what has been looked at may be whole now. It is if the braces pair, unless names hold odd ones; then the
    /// end of its line tells, or at the latest the empty line that follows.
    fn may_end(&self, byte: u8) -> bool {
        let likely = match byte {
            b'}' => self.closed >= self.opened,
            b'\n' => self.last == b'}' && self.fresh,
            _ => return false,
        };
        let spent = |times: usize| self.wasted > times * self.came + FREE;
        let empty = byte == b'\n' && self.line_ended && self.fresh;
        (likely && !spent(EAGER)) || empty || (likely && byte == b'\n' && self.line_is_whole())
    }

    fn try_all(&mut self, byte: u8, values: &mut Vec<Result<ListValue, String>>) -> Result<(), BadWatch> {
        loop {
            self.fresh = false;
            let text = &self.unread[..self.seen];
            let mut all = Deserializer::from_slice(text).into_iter::<&RawValue>();
            match all.next() {
                None => {
                    self.drop_front(self.seen); // white space is left
                    return Ok(());
                }
                Some(Ok(_)) => {
                    let end = all.byte_offset();
                    let value = self.unread.split_to(end).freeze();
                    self.seen -= end;
                    self.count();
                    // Words, and the entries of a broken list, are what that leaves behind.
                    let object = value.trim_ascii_start().starts_with(b"{");
                    if object && (!self.told || serde_json::from_slice::<Whole>(&value).is_ok()) {
                        self.pass_on(ListValue::Text(value), values);
                    }
                }
                Some(Err(broken)) if broken.is_eof() => {
                    self.wasted += self.seen;
                    if byte == b'\n' && self.line_is_whole() {
                        let start = self.last_line();
                        self.drop_front(start);
                        self.tell(values, "it was cut short");
                        continue;
                    }
                    return self.bounded();
                }
                Some(Err(broken)) => {
                    // What follows the line that it began on may be good.
                    let why = broken.to_string();
                    self.wasted += place(text, &broken);
                    match text.iter().position(|byte| *byte == b'\n') {
                        Some(end) => self.drop_front(end + 1),
                        None => {
                            self.drop_front(self.seen);
                            self.skipped = Some(0);
                        }
                    }
                    self.tell(values, &why);
                    self.bounded()?;
                }
            }
        }
    }

    /// Once for all that one break leaves behind.
    fn tell(&mut self, values: &mut Vec<Result<ListValue, String>>, why: &str) {
        if !std::mem::replace(&mut self.told, true) {
            values.push(Err(why.to_owned()));
        }
    }

    fn bounded(&self) -> Result<(), BadWatch> {
        if self.wasted > MOST * self.came + FREE {
            return Err(BadWatch::NoEndFound);
        }
        Ok(())
    }

    /// Where the last line begins of what has been looked at, itself ended.
    fn last_line(&self) -> usize {
        let before = &self.unread[..self.seen - 1];
        before.iter().rposition(|byte| *byte == b'\n').map_or(0, |at| at + 1)
    }

    /// Whether the last line is a list by itself, after something that is none: within a list nothing looks like one.
    fn line_is_whole(&self) -> bool {
        let start = self.last_line();
        let line = self.unread[start..self.seen].trim_ascii();
        start > 0 && line.starts_with(b"{") && serde_json::from_slice::<Whole>(line).is_ok()
    }

    fn drop_front(&mut self, count: usize) {
        self.unread.advance(count);
        self.seen -= count;
        self.count();
    }

    fn count(&mut self) {
        let seen = &self.unread[..self.seen];
        let count = |brace: u8| seen.iter().filter(|byte| **byte == brace).count();
        (self.opened, self.closed) = (count(b'{'), count(b'}'));
        self.last = seen.trim_ascii_end().last().copied().unwrap_or_default();
    }
}

fn is_blank(byte: u8) -> bool {
    matches!(byte, b' ' | b'\t' | b'\r' | b'\n')
}

/// How far a failed try has read.
fn place(text: &[u8], broken: &serde_json::Error) -> usize {
    let before = broken.line().saturating_sub(1);
    let lines = text.split_inclusive(|byte| *byte == b'\n').take(before).map(<[u8]>::len).sum::<usize>();
    (lines + broken.column()).min(text.len())
}
