//! Where the values of a watch begin and end: bytes in, whole JSON values out, however they are laid out. What a value
//! says is not looked at here.
//!
//! The JSON is read by `serde_json`, which starts anew at each try. So a try is made only where a value may end, and
//! what failed tries read is counted: all bytes are read [`EAGER`] times in the mean at most, or [`MOST`] times before
//! the watch is given up.

use bytes::{Buf, Bytes, BytesMut};
use serde::Deserialize;
use serde::de::IgnoredAny;
use serde_json::Deserializer;
use serde_json::value::RawValue;

/// The longest value that is taken in.
pub const LINE_LIMIT: usize = 4 << 20;
/// A value is tried at each likely end while failed tries have read no more than so many times what came since the
/// last good value. A list as discovery writes it is tried once; one with odd braces in its names and a line for each
/// entry twice an entry.
const EAGER: usize = 8;
/// The same for tries at an empty line, which comes every 2 s, and for what is left of a broken value.
const MOST: usize = 64;
/// Short values may always be tried again.
const FREE: usize = 64 << 10;

/// The bytes of a watch that have not made a whole value yet.
#[derive(Default)]
pub struct Lines {
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
#[derive(Debug, Default, PartialEq)]
pub struct Fed {
    /// Whole values in their order, and why something between them was dropped.
    pub values: Vec<Result<Bytes, String>>,
    /// Whether the watch has spoken: any byte of a value, or an empty line between values. White space within a value
    /// that does not go on is silence, and so it is after a broken one: that may be half of a list, whose rest is only
    /// to be had from another watch.
    pub heard: bool,
}

/// What a list has and nothing within a list has.
#[derive(Deserialize)]
struct Whole {
    #[serde(rename = "endpoints")]
    _endpoints: IgnoredAny,
}

impl Lines {
    /// Takes in the next piece of any length.
    ///
    /// # Errors
    /// If a value has no end within [`LINE_LIMIT`], or its end costs too much to find: the watch is of no use then.
    pub fn feed(&mut self, piece: &[u8]) -> Result<Fed, String> {
        let mut fed = Fed::default();
        self.unread.extend_from_slice(piece);
        while let Some(byte) = self.unread.get(self.seen).copied() {
            self.came += 1;
            self.seen += 1;
            let blank = matches!(byte, b' ' | b'\t' | b'\r' | b'\n');
            fed.heard |= !blank || self.seen == 1 && !self.told;
            if let Some(skipped) = &mut self.skipped {
                *skipped += 1;
                if *skipped > LINE_LIMIT {
                    return Err("a line without end".to_owned());
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
        // Only here: many values may come in one piece.
        if self.unread.len() > LINE_LIMIT {
            return Err("a line without end".to_owned());
        }
        Ok(fed)
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

    fn try_all(&mut self, byte: u8, values: &mut Vec<Result<Bytes, String>>) -> Result<(), String> {
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
                        values.push(Ok(value));
                        (self.came, self.wasted, self.told) = (self.seen, 0, false);
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
    fn tell(&mut self, values: &mut Vec<Result<Bytes, String>>, why: &str) {
        if !std::mem::replace(&mut self.told, true) {
            values.push(Err(why.to_owned()));
        }
    }

    fn bounded(&self) -> Result<(), String> {
        if self.wasted > MOST * self.came + FREE {
            return Err("its values have no end that can be found".to_owned());
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

/// How far a failed try has read.
fn place(text: &[u8], broken: &serde_json::Error) -> usize {
    let before = broken.line().saturating_sub(1);
    let lines = text.split_inclusive(|byte| *byte == b'\n').take(before).map(<[u8]>::len).sum::<usize>();
    (lines + broken.column()).min(text.len())
}
