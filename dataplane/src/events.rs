//! Cuts the bytes of a `text/event-stream` into whole events, so that each is passed on whole or not at all.

use bytes::{Bytes, BytesMut};
use snafu::Snafu;

/// The longest event held while its end has not come, in bytes.
pub const LONGEST_EVENT: usize = 256 << 10;

/// Why a stream cannot be cut.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum CutError {
    /// An event has no end within [`LONGEST_EVENT`].
    #[snafu(display("an event is longer than {LONGEST_EVENT} bytes"))]
    TooLong,
}

/// Takes the bytes of a stream as they come and gives out whole events.
#[derive(Debug, Default)]
pub struct EventCutter {
    /// Bytes of an event whose end has not come.
    partial: BytesMut,
    /// Events up to this id are dropped: the client has them already.
    passed_before: Option<u64>,
    /// The newest id given out, or the one the stream was taken up after.
    last_id: Option<u64>,
}

impl EventCutter {
    /// A cutter for a stream that is taken up after the event `last_id`, where there is one.
    pub fn after(last_id: Option<u64>) -> Self {
        EventCutter { partial: BytesMut::new(), passed_before: last_id, last_id }
    }

    /// Takes more bytes and returns the events that are whole now, in one piece; empty where there are none.
    pub fn push(&mut self, bytes: Bytes) -> Result<Bytes, CutError> {
        if self.partial.is_empty() {
            return self.cut(bytes);
        }
        self.partial.extend_from_slice(&bytes);
        let joined = self.partial.split().freeze();
        self.cut(joined)
    }

    /// The id of the newest event given out.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Whether a part of an event is held.
    pub fn holds_part(&self) -> bool {
        !self.partial.is_empty()
    }

    /// The bytes after the last whole event, for a stream that has ended as its server meant it to.
    pub fn finish(&mut self) -> Bytes {
        self.partial.split().freeze()
    }

    fn cut(&mut self, mut bytes: Bytes) -> Result<Bytes, CutError> {
        let mut end = 0;
        let mut dropped = 0;
        while let Some(event) = EventEnd::find(&bytes, end) {
            end = event.end;
            let repeated = matches!((event.id, self.passed_before), (Some(id), Some(passed)) if id <= passed);
            if repeated {
                dropped = end;
            } else if event.id.is_some() {
                self.last_id = event.id;
            }
        }
        let rest = bytes.split_off(end);
        if rest.len() > LONGEST_EVENT {
            return TooLongSnafu.fail();
        }
        self.partial.extend_from_slice(&rest);
        Ok(bytes.split_off(dropped))
    }
}

/// Where an event ends, and the id in it.
struct EventEnd {
    end: usize,
    id: Option<u64>,
}

impl EventEnd {
    /// The end of the event that begins at `start`, if it is there.
    fn find(bytes: &[u8], start: usize) -> Option<EventEnd> {
        let mut id = None;
        let mut line_start = start;
        loop {
            let rest = bytes.get(line_start..)?;
            let length = rest.iter().position(|byte| *byte == b'\n')?;
            let line = rest.get(..length)?;
            let line = line.strip_suffix(b"\r").unwrap_or(line);
            line_start += length + 1;
            if line.is_empty() {
                return Some(EventEnd { end: line_start, id });
            }
            id = event_id(line).or(id);
        }
    }
}

/// The number in a line `id: N`.
fn event_id(line: &[u8]) -> Option<u64> {
    let value = line.strip_prefix(b"id:")?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
