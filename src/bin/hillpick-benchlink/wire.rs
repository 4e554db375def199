//! The simulator's frame format: batches of events in, one reply of actions for each batch out.
//!
//! All numbers are big-endian. A batch is a header, records of a fixed size and a tail to which records point
//! for parts of variable size. A record begins with its code (1 byte) and the number of its instance (2
//! bytes); the fields that follow depend on the code. A reply has a shorter header, and records and a tail
//! likewise.

use hillpick::settings::{ReportColumn, millis};
use hillpick::{
    Action, AttemptEnd, Event, ListKind, LoadReport, NewRequest, Outcome, ProbeEnd, RequestId, ServerEntry,
    ServerId, ServerState,
};
use std::io::{self, Read};
use std::time::Duration;

const BATCH_HEADER_BYTES: usize = 20;
const EVENT_BYTES: usize = 48;
const ACTION_BYTES: usize = 32;
const ENTRY_BYTES: usize = 23;

/// What one record of a batch says.
#[derive(Debug, PartialEq)]
pub enum Input {
    /// The instance starts, with a seed and the text of its settings.
    Start { seed: u64, settings: Vec<u8> },
    /// The instance was killed.
    Stop,
    /// An event for the instance. Its load report, if it has one, is named by the columns of the instance's
    /// settings.
    Event(Event, Option<RawReport>),
}

/// The values of a load report, not yet named, and how many of them are set.
pub type RawReport = ([f32; 4], usize);

/// A batch of events.
#[derive(Debug)]
pub struct Batch {
    /// Its number, which the reply repeats.
    pub number: u32,
    /// The time of the simulator's clock.
    pub clock: Duration,
    /// The number of records.
    count: usize,
    /// The records, and the tail after them.
    body: Vec<u8>,
}

/// Reads one batch; `None` at the end of the input.
pub fn read_batch(input: &mut impl Read) -> Result<Option<Batch>, String> {
    let mut header = Vec::new();
    let failed = |e: io::Error| format!("cannot read: {e}");
    input.by_ref().take(BATCH_HEADER_BYTES as u64).read_to_end(&mut header).map_err(failed)?;
    if header.is_empty() {
        return Ok(None);
    }
    if header.len() < BATCH_HEADER_BYTES {
        return Err(format!("batch header: {} of {BATCH_HEADER_BYTES} bytes", header.len()));
    }
    let fields = Fields(&header);
    let (number, count, length) = (fields.u32(0), fields.u32(4) as usize, fields.u32(8) as usize);
    let clock = fields.f64(12);
    if !clock.is_finite() {
        return Err(format!("batch {number}: the clock is not a finite number"));
    }
    // The stated length may be wrong: with `take`, memory grows only with the bytes that arrive.
    let mut body = Vec::new();
    input.by_ref().take(length as u64).read_to_end(&mut body).map_err(failed)?;
    if body.len() < length {
        return Err(format!("batch {number}: {} of {length} bytes", body.len()));
    }
    if count.checked_mul(EVENT_BYTES).is_none_or(|records| records > length) {
        return Err(format!("batch {number}: {count} records do not fit in {length} bytes"));
    }
    Ok(Some(Batch { number, clock: millis(clock), count, body }))
}

impl Batch {
    /// The records in order, each with the number of its instance.
    pub fn records(&self) -> impl Iterator<Item = Result<(u16, Input), String>> + '_ {
        let (records, tail) = self.body.split_at(self.count * EVENT_BYTES);
        records.chunks_exact(EVENT_BYTES).enumerate().map(move |(i, record)| {
            let fields = Fields(record);
            parse_record(fields, tail)
                .map(|input| (fields.u16(1), input))
                .map_err(|error| format!("batch {}: record {i}: {error}", self.number))
        })
    }
}

fn parse_record(fields: Fields, tail: &[u8]) -> Result<Input, String> {
    let id = || RequestId(fields.u64(3));
    let without_report = |event| Ok(Input::Event(event, None));
    match fields.u8(0) {
        1 => Ok(Input::Start { seed: fields.u64(3), settings: slice(tail, fields, 11, 1)?.to_vec() }),
        2 => without_report(Event::List {
            kind: list_kind(fields.u8(3))?,
            entries: entries(slice(tail, fields, 8, ENTRY_BYTES)?)?,
        }),
        3 => {
            let flags = fields.u8(39);
            without_report(Event::Request(NewRequest {
                id: id(),
                class: fields.u16(11).into(),
                policy: None,
                body_streaming: false,
                tenant: fields.u16(13).into(),
                key: fields.u64(15),
                remaining: millis(fields.f64(23)),
                cost: (flags & 1 != 0).then(|| millis(fields.f64(31))),
                client_retry: flags & 2 != 0,
            }))
        }
        4 => without_report(Event::AnswerStarted {
            id: id(),
            attempt: fields.u8(19).into(),
            server: fields.server(20),
        }),
        5 => Ok(Input::Event(
            Event::AttemptEnded(AttemptEnd {
                id: id(),
                attempt: fields.u8(11).into(),
                server: fields.server(12),
                outcome: outcome(fields.u8(18))?,
                elapsed: millis(fields.f64(19)),
                finished: fields.u8(27) != 0,
                report: None,
                body_consumed: false,
            }),
            fields.report(28)?,
        )),
        6 => without_report(Event::ClientGone { id: id() }),
        7 => without_report(Event::Timer { token: fields.u64(3) }),
        8 => Ok(Input::Event(
            Event::ProbeEnded(ProbeEnd {
                server: fields.server(3),
                outcome: outcome(fields.u8(9))?,
                elapsed: millis(fields.f64(10)),
                report: None,
            }),
            fields.report(18)?,
        )),
        9 => without_report(Event::PeerMessage {
            from: fields.u32(3),
            data: slice(tail, fields, 7, 1)?.to_vec(),
        }),
        10 => Ok(Input::Stop),
        code => Err(format!("unknown event code {code}")),
    }
}

/// The part of the tail that the field at `offset` points to: a start and a count of items of `size` bytes.
fn slice<'a>(tail: &'a [u8], fields: Fields, offset: usize, size: usize) -> Result<&'a [u8], String> {
    let (start, count) = (fields.u32(offset) as usize, fields.u32(offset + 4) as usize);
    let end = count.checked_mul(size).and_then(|length| start.checked_add(length));
    end.and_then(|end| tail.get(start..end))
        .ok_or_else(|| format!("{count} x {size} bytes at {start} exceed the tail of {} bytes", tail.len()))
}

fn list_kind(code: u8) -> Result<ListKind, String> {
    match code {
        0 => Ok(ListKind::Changes),
        1 => Ok(ListKind::Full),
        2 => Ok(ListKind::Cached),
        3 => Ok(ListKind::Failed),
        _ => Err(format!("unknown list kind {code}")),
    }
}

fn outcome(code: u8) -> Result<Outcome, String> {
    match code {
        0 => Ok(Outcome::Error),
        1 => Ok(Outcome::Served),
        2 => Ok(Outcome::Rejected),
        3 => Ok(Outcome::TimedOut),
        4 => Ok(Outcome::ConnectFailed),
        5 => Ok(Outcome::Reset),
        6 => Ok(Outcome::Cancelled),
        7 => Ok(Outcome::NotSent),
        _ => Err(format!("unknown outcome {code}")),
    }
}

fn entries(bytes: &[u8]) -> Result<Vec<ServerEntry>, String> {
    bytes.chunks_exact(ENTRY_BYTES).map(|entry| Fields(entry).entry()).collect()
}

/// Names the values of a load report by the columns of the settings.
pub fn named_report((values, count): RawReport, columns: &[ReportColumn]) -> LoadReport {
    let mut report = LoadReport::default();
    for (column, value) in columns.iter().zip(&values[..count]) {
        column.set(&mut report, *value);
    }
    report
}

/// Big-endian fields at fixed offsets of a record or header.
#[derive(Clone, Copy)]
struct Fields<'a>(&'a [u8]);

impl Fields<'_> {
    fn bytes<const N: usize>(self, offset: usize) -> [u8; N] {
        let mut bytes = [0; N];
        bytes.copy_from_slice(&self.0[offset..offset + N]);
        bytes
    }
    fn u8(self, offset: usize) -> u8 {
        self.0[offset]
    }
    fn u16(self, offset: usize) -> u16 {
        u16::from_be_bytes(self.bytes(offset))
    }
    fn u32(self, offset: usize) -> u32 {
        u32::from_be_bytes(self.bytes(offset))
    }
    fn u64(self, offset: usize) -> u64 {
        u64::from_be_bytes(self.bytes(offset))
    }
    fn f32(self, offset: usize) -> f32 {
        f32::from_be_bytes(self.bytes(offset))
    }
    fn f64(self, offset: usize) -> f64 {
        f64::from_be_bytes(self.bytes(offset))
    }
    /// A server, named by its IPv4 address and port.
    fn server(self, offset: usize) -> ServerId {
        ServerId(u64::from(self.u32(offset)) << 16 | u64::from(self.u16(offset + 4)))
    }
    fn report(self, offset: usize) -> Result<Option<RawReport>, String> {
        let count = usize::from(self.u8(offset));
        if count > 4 {
            return Err(format!("a load report of {count} values"));
        }
        let values = [0, 1, 2, 3].map(|i| self.f32(offset + 1 + 4 * i));
        Ok((count > 0).then_some((values, count)))
    }
    fn entry(self) -> Result<ServerEntry, String> {
        let started_ms = self.f64(15);
        Ok(ServerEntry {
            id: self.server(0),
            zone: self.u8(6),
            kind: self.u8(7),
            cell: self.u16(8),
            state: match self.u8(10) {
                0 => ServerState::Gone,
                1 => ServerState::Draining,
                2 => ServerState::Ready,
                code => return Err(format!("unknown server state {code}")),
            },
            weight: self.f32(11),
            started: (started_ms > 0.0).then(|| millis(started_ms)),
        })
    }
}

/// The reply to a batch, under construction.
#[derive(Default)]
pub struct Reply {
    count: u32,
    records: Vec<u8>,
    tail: Vec<u8>,
}

impl Reply {
    /// Appends an action of an instance.
    pub fn push(&mut self, instance: u16, action: &Action) {
        match action {
            Action::Fail { id } => self.record(65, instance).u64(id.0),
            Action::Probe { server } => self.record(66, instance).server(*server),
            Action::Log { text } => self.text(67, instance, text),
            Action::SetTimer { after, token } => self.record(68, instance).millis(*after).u64(*token),
            Action::Cancel { id, attempt } => self.record(69, instance).u64(id.0).u8(*attempt as u8),
            Action::Subscribe { on } => self.record(70, instance).u8((*on).into()),
            Action::FetchList => self.record(72, instance),
            Action::SendToPeer { to, data } => {
                let start = self.tail.len() as u32;
                self.tail.extend(data);
                let to = to.map_or(u16::MAX, |to| to as u16);
                self.record(73, instance).u16(to).u32(start).u32(data.len() as u32)
            }
            Action::CloseIdle { server } => self.record(74, instance).server(*server),
            Action::Refuse { id, retry_after } => {
                self.record(75, instance).u64(id.0).millis(retry_after.unwrap_or_default())
            }
            Action::Send { id, server, timeout } => {
                self.record(76, instance).u64(id.0).server(*server).millis(*timeout)
            }
        };
        self.close_record();
    }

    /// Appends the message of a panic in an instance's decision module.
    pub fn push_fault(&mut self, instance: u16, text: &str) {
        self.text(71, instance, text);
        self.close_record();
    }

    /// The reply's frame.
    pub fn frame(mut self, number: u32) -> Vec<u8> {
        let mut frame = Vec::with_capacity(12 + self.records.len() + self.tail.len());
        frame.extend(number.to_be_bytes());
        frame.extend(((self.records.len() + self.tail.len()) as u32).to_be_bytes());
        frame.extend(self.count.to_be_bytes());
        frame.append(&mut self.records);
        frame.append(&mut self.tail);
        frame
    }

    /// Begins a record.
    fn record(&mut self, code: u8, instance: u16) -> &mut Self {
        self.u8(code).u16(instance)
    }
    /// Ends a record: pads it with zeros to its full size.
    fn close_record(&mut self) {
        self.count += 1;
        self.records.resize(self.count as usize * ACTION_BYTES, 0);
    }
    /// Writes a record that points to a text in the tail.
    fn text(&mut self, code: u8, instance: u16, text: &str) -> &mut Self {
        let start = self.tail.len() as u32;
        self.tail.extend(text.as_bytes());
        self.record(code, instance).u32(start).u32(text.len() as u32)
    }
    fn put(&mut self, bytes: &[u8]) -> &mut Self {
        self.records.extend(bytes);
        self
    }
    fn u8(&mut self, value: u8) -> &mut Self {
        self.put(&[value])
    }
    fn u16(&mut self, value: u16) -> &mut Self {
        self.put(&value.to_be_bytes())
    }
    fn u32(&mut self, value: u32) -> &mut Self {
        self.put(&value.to_be_bytes())
    }
    fn u64(&mut self, value: u64) -> &mut Self {
        self.put(&value.to_be_bytes())
    }
    fn millis(&mut self, value: Duration) -> &mut Self {
        self.put(&(value.as_micros() as f64 / 1000.0).to_be_bytes())
    }
    fn server(&mut self, server: ServerId) -> &mut Self {
        self.u32((server.0 >> 16) as u32).u16(server.0 as u16)
    }
}

#[cfg(test)]
#[path = "wire_tests.rs"]
mod tests;
