//! Framing of the watch's stream: splits its bytes into whole JSON values, whatever their layout. The content
//! of a value is not interpreted here, unless it is so long that `incremental` parses it entry by entry.
//!
//! `serde_json` finds the end of a value, and starts from the beginning at each attempt. So an attempt is
//! made only where a value may end, and the bytes that failed attempts have parsed are counted: on average
//! each byte is parsed at most [`EAGER_REPARSE_FACTOR`] times, and the watch is abandoned at
//! [`MAX_REPARSE_FACTOR`] times.

use super::entry::{EntryReader, ListMarker};
use super::error::WatchError;
use super::incremental::{IncrementalListParser, LongList, ParseEnd};
use bytes::{Buf, Bytes, BytesMut};
use serde_json::Deserializer;
use serde_json::value::RawValue;

/// The longest value that is buffered as text: nearly 2,000 servers. A longer one is parsed incrementally if
/// it is an object.
pub const MAX_SHORT_LIST_BYTES: usize = 256 << 10;
/// How many bytes of a malformed line may be skipped, for each server that a list may have: more than an
/// entry takes.
const MAX_SKIPPED_BYTES_PER_SERVER: usize = 512;
/// Parsing is attempted at each likely end of a value while failed attempts have parsed no more than this
/// many times the bytes received since the last valid value. A list as discovery writes it takes one attempt;
/// one with unbalanced braces in its names and a line for each entry takes two attempts an entry.
const EAGER_REPARSE_FACTOR: usize = 8;
/// The same limit for attempts at empty lines, which come every 2 s, and after malformed values. Beyond it
/// the watch is abandoned.
const MAX_REPARSE_FACTOR: usize = 64;
/// Failed attempts may always parse this much, so that the limits don't apply to short values.
const FREE_REPARSE_BYTES: usize = 64 << 10;

/// Splits the stream of a watch into values; holds the bytes that don't form a whole value yet.
pub struct StreamFramer {
    entry_reader: EntryReader,
    /// The most servers that a list may hold.
    max_servers: usize,
    /// The parser of a value that is too long to be buffered; `buffer` is empty meanwhile.
    incremental: Option<Box<IncrementalListParser>>,
    buffer: BytesMut,
    /// How many bytes of the buffer have been scanned.
    scanned: usize,
    /// Opening braces among the scanned bytes, in strings or not: where they balance, a value may end.
    open_braces: usize,
    /// Closing braces among the scanned bytes.
    close_braces: usize,
    /// The last scanned byte that is not whitespace.
    last_byte: u8,
    /// The last scanned byte is a line break.
    line_ended: bool,
    /// A byte other than whitespace was scanned since the last attempt.
    untried: bool,
    /// Bytes received since the last valid value.
    received_bytes: usize,
    /// Bytes of them that failed attempts have parsed, in all.
    reparsed_bytes: usize,
    /// While the rest of a malformed line is being skipped: how long it has been so far.
    skipped_bytes: Option<usize>,
    /// The malformed value has been reported.
    error_reported: bool,
}

/// The result of feeding some bytes.
#[derive(Debug, Default)]
pub struct FeedOutput {
    /// The values that were completed, in order, and why malformed ones between them were dropped.
    pub values: Vec<Result<ListValue, String>>,
    /// Whether the bytes show that the watch is alive: any byte of a value, or an empty line between values.
    /// Whitespace within an unfinished value or after a malformed one does not: it may follow half of a list,
    /// and the rest of that can only be had from another watch.
    pub active: bool,
}

/// A complete value.
#[derive(Debug)]
pub enum ListValue {
    /// The text of a short value.
    Text(Bytes),
    /// A long list, which has been parsed.
    Long(Box<LongList>),
}

impl StreamFramer {
    /// An empty framer. `entry_reader` parses the entries of long lists, which may have `max_servers`
    /// entries.
    pub fn new(entry_reader: EntryReader, max_servers: usize) -> Self {
        StreamFramer {
            entry_reader,
            max_servers,
            incremental: None,
            buffer: BytesMut::new(),
            scanned: 0,
            open_braces: 0,
            close_braces: 0,
            last_byte: 0,
            line_ended: false,
            untried: false,
            received_bytes: 0,
            reparsed_bytes: 0,
            skipped_bytes: None,
            error_reported: false,
        }
    }

    /// Processes the next bytes of the stream, which may be split anywhere.
    ///
    /// # Errors
    /// If a value is too long, or its end takes too many attempts to find: the watch can't be used any more.
    pub fn feed(&mut self, mut bytes: &[u8]) -> Result<FeedOutput, WatchError> {
        let mut output = FeedOutput::default();
        while !bytes.is_empty() {
            let consumed = if self.incremental.is_some() {
                self.feed_incremental(bytes, &mut output)?
            } else {
                let consumed = bytes.len().min(MAX_SHORT_LIST_BYTES);
                self.scan_short(&bytes[..consumed], &mut output)?;
                if self.buffer.len() > MAX_SHORT_LIST_BYTES {
                    self.switch_to_incremental(&mut output)?;
                }
                consumed
            };
            bytes = &bytes[consumed..];
        }
        Ok(output)
    }

    /// How many bytes of text are buffered.
    #[cfg(test)]
    pub fn buffered_bytes(&self) -> usize {
        self.buffer.len() + self.incremental.as_ref().map_or(0, |parser| parser.buffered_bytes())
    }

    fn scan_short(&mut self, bytes: &[u8], output: &mut FeedOutput) -> Result<(), WatchError> {
        self.buffer.extend_from_slice(bytes);
        while let Some(byte) = self.buffer.get(self.scanned).copied() {
            self.received_bytes += 1;
            self.scanned += 1;
            let whitespace = is_json_whitespace(byte);
            output.active |= !whitespace || self.scanned == 1 && !self.error_reported;
            if let Some(skipped_bytes) = &mut self.skipped_bytes {
                *skipped_bytes += 1;
                let max_bytes = self.max_servers.saturating_mul(MAX_SKIPPED_BYTES_PER_SERVER);
                if *skipped_bytes > max_bytes {
                    return Err(WatchError::PartTooLong { max_bytes });
                }
                if byte == b'\n' {
                    self.skipped_bytes = None;
                }
                self.discard(self.scanned);
            } else if whitespace && self.scanned == 1 {
                self.discard(1); // whitespace between values
            } else {
                self.record_byte(byte, whitespace);
                if self.may_be_complete(byte) {
                    self.parse_available(byte, &mut output.values)?;
                }
                self.line_ended = byte == b'\n';
            }
        }
        Ok(())
    }

    /// Hands the buffered start of a long value, all of which has been scanned, to the incremental parser.
    fn switch_to_incremental(&mut self, output: &mut FeedOutput) -> Result<(), WatchError> {
        let start = std::mem::take(&mut self.buffer);
        (self.scanned, self.line_ended, self.untried) = (0, false, false);
        self.recount_braces();
        if !start.starts_with(b"{") {
            self.skipped_bytes = Some(0);
            self.report_error(&mut output.values, "it is not a list");
            return Ok(());
        }
        self.incremental = Some(Box::new(IncrementalListParser::new(
            self.entry_reader.clone(),
            self.max_servers,
            MAX_SHORT_LIST_BYTES,
        )));
        let consumed = self.feed_incremental(&start, output)?;
        // If the value ends within the buffer, its end had not been found; usually only a few bytes follow
        // it.
        self.scan_short(&start[consumed..], output)
    }

    /// Feeds the incremental parser; returns how many of the bytes belong to the long value.
    fn feed_incremental(&mut self, bytes: &[u8], output: &mut FeedOutput) -> Result<usize, WatchError> {
        let Some(parser) = &mut self.incremental else { return Ok(0) };
        let (consumed, end) = parser.feed(bytes)?;
        output.active |= !bytes[..consumed].iter().copied().all(is_json_whitespace);
        let Some(end) = end else { return Ok(consumed) };
        self.incremental = None;
        match end {
            ParseEnd::List(list) => self.emit(ListValue::Long(Box::new(list)), &mut output.values),
            ParseEnd::Malformed { reason, line_ended } => {
                self.skipped_bytes = (!line_ended).then_some(0);
                self.report_error(&mut output.values, &reason);
            }
            ParseEnd::Truncated(text) => {
                self.report_error(&mut output.values, "it is truncated");
                self.emit(ListValue::Text(text.into()), &mut output.values);
            }
        }
        Ok(consumed)
    }

    fn emit(&mut self, value: ListValue, values: &mut Vec<Result<ListValue, String>>) {
        values.push(Ok(value));
        (self.received_bytes, self.reparsed_bytes, self.error_reported) = (self.scanned, 0, false);
    }

    fn record_byte(&mut self, byte: u8, whitespace: bool) {
        self.open_braces += usize::from(byte == b'{');
        self.close_braces += usize::from(byte == b'}');
        if !whitespace {
            (self.last_byte, self.untried) = (byte, true);
        }
    }

    /// Whether the scanned bytes may now hold a complete value: where the braces balance; for names with
    /// unbalanced braces, at the end of a line after a `}`, and at the latest at the empty line that follows.
    fn may_be_complete(&self, byte: u8) -> bool {
        let likely = match byte {
            b'}' => self.close_braces >= self.open_braces,
            b'\n' => self.last_byte == b'}' && self.untried,
            _ => return false,
        };
        let over_limit =
            |factor: usize| self.reparsed_bytes > factor * self.received_bytes + FREE_REPARSE_BYTES;
        let empty_line = byte == b'\n' && self.line_ended && self.untried;
        (likely && !over_limit(EAGER_REPARSE_FACTOR))
            || empty_line
            || (likely && byte == b'\n' && self.last_line_is_list())
    }

    /// Parses the scanned bytes, and emits all complete values in them.
    fn parse_available(
        &mut self,
        byte: u8,
        values: &mut Vec<Result<ListValue, String>>,
    ) -> Result<(), WatchError> {
        loop {
            self.untried = false;
            let text = &self.buffer[..self.scanned];
            let mut parsed = Deserializer::from_slice(text).into_iter::<&RawValue>();
            match parsed.next() {
                None => {
                    self.discard(self.scanned); // only whitespace is left
                    return Ok(());
                }
                Some(Ok(_)) => {
                    let end = parsed.byte_offset();
                    let value = self.buffer.split_to(end).freeze();
                    self.scanned -= end;
                    self.recount_braces();
                    // Scalars, and the entries of a malformed list, are remnants of malformed values.
                    let is_object = value.trim_ascii_start().starts_with(b"{");
                    if is_object
                        && (!self.error_reported || serde_json::from_slice::<ListMarker>(&value).is_ok())
                    {
                        self.emit(ListValue::Text(value), values);
                    }
                }
                Some(Err(error)) if error.is_eof() => {
                    self.reparsed_bytes += self.scanned;
                    if byte == b'\n' && self.last_line_is_list() {
                        let start = self.last_line_start();
                        self.discard(start);
                        self.report_error(values, "it is truncated");
                        continue;
                    }
                    return self.check_reparse_limit();
                }
                Some(Err(error)) => {
                    // The values after the line on which the malformed one began may be valid.
                    let reason = error.to_string();
                    self.reparsed_bytes += parsed_bytes(text, &error);
                    match text.iter().position(|byte| *byte == b'\n') {
                        Some(end) => self.discard(end + 1),
                        None => {
                            self.discard(self.scanned);
                            self.skipped_bytes = Some(0);
                        }
                    }
                    self.report_error(values, &reason);
                    self.check_reparse_limit()?;
                }
            }
        }
    }

    /// Reports a malformed value once, and not again for its remnants.
    fn report_error(&mut self, values: &mut Vec<Result<ListValue, String>>, reason: &str) {
        if !std::mem::replace(&mut self.error_reported, true) {
            values.push(Err(reason.to_owned()));
        }
    }

    fn check_reparse_limit(&self) -> Result<(), WatchError> {
        if self.reparsed_bytes > MAX_REPARSE_FACTOR * self.received_bytes + FREE_REPARSE_BYTES {
            return Err(WatchError::NoValueEnd);
        }
        Ok(())
    }

    /// Where the last scanned line begins, which has ended.
    fn last_line_start(&self) -> usize {
        let before = &self.buffer[..self.scanned - 1];
        before.iter().rposition(|byte| *byte == b'\n').map_or(0, |position| position + 1)
    }

    /// Whether the last line is a list by itself and follows other text: that text was truncated, since
    /// nothing within a list looks like a list.
    fn last_line_is_list(&self) -> bool {
        let start = self.last_line_start();
        let line = self.buffer[start..self.scanned].trim_ascii();
        start > 0 && line.starts_with(b"{") && serde_json::from_slice::<ListMarker>(line).is_ok()
    }

    /// Drops scanned bytes from the front of the buffer.
    fn discard(&mut self, count: usize) {
        self.buffer.advance(count);
        self.scanned -= count;
        self.recount_braces();
    }

    fn recount_braces(&mut self) {
        let scanned = &self.buffer[..self.scanned];
        let count = |brace: u8| scanned.iter().filter(|byte| **byte == brace).count();
        (self.open_braces, self.close_braces) = (count(b'{'), count(b'}'));
        self.last_byte = scanned.trim_ascii_end().last().copied().unwrap_or_default();
    }
}

fn is_json_whitespace(byte: u8) -> bool {
    matches!(byte, b' ' | b'\t' | b'\r' | b'\n')
}

/// How many bytes a failed attempt has parsed.
fn parsed_bytes(text: &[u8], error: &serde_json::Error) -> usize {
    let before = error.line().saturating_sub(1);
    let lines = text.split_inclusive(|byte| *byte == b'\n').take(before).map(<[u8]>::len).sum::<usize>();
    (lines + error.column()).min(text.len())
}
