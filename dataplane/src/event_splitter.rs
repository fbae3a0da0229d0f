//! Splits the bytes of a `text/event-stream` into events, so that each is forwarded completely or not at all.

use bytes::{Bytes, BytesMut};
use snafu::Snafu;

/// The longest event that is buffered until its end arrives, in bytes.
pub const MAX_EVENT_BYTES: usize = 256 << 10;

/// Why a stream cannot be split.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum SplitError {
    /// An event has no end within [`MAX_EVENT_BYTES`].
    #[snafu(display("an event is longer than {MAX_EVENT_BYTES} bytes"))]
    TooLong,
}

/// Takes the bytes of a stream as they arrive and returns complete events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    /// Bytes of an event whose end has not arrived.
    partial: BytesMut,
    /// Events up to this id are dropped, as the client has them already.
    resume_after: Option<u64>,
    /// The last id returned, or the one after which the stream is resumed.
    last_id: Option<u64>,
}

impl EventSplitter {
    /// A splitter for a stream that is resumed after the event `last_id`, where there is one.
    pub fn after(last_id: Option<u64>) -> Self {
        EventSplitter { partial: BytesMut::new(), resume_after: last_id, last_id }
    }

    /// Takes more bytes and returns the events that are complete now, in one chunk; empty where there are none.
    ///
    /// # Errors
    ///
    /// If an event is too long.
    pub fn push(&mut self, bytes: Bytes) -> Result<Bytes, SplitError> {
        if self.partial.is_empty() {
            return self.split(bytes);
        }
        self.partial.extend_from_slice(&bytes);
        let joined = self.partial.split().freeze();
        self.split(joined)
    }

    /// The id of the last event returned.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Whether a part of an event is buffered.
    pub fn has_partial_event(&self) -> bool {
        !self.partial.is_empty()
    }

    /// The bytes after the last complete event, for a stream that has ended properly.
    pub fn finish(&mut self) -> Bytes {
        self.partial.split().freeze()
    }

    fn split(&mut self, mut bytes: Bytes) -> Result<Bytes, SplitError> {
        let mut end = 0;
        let mut dropped = 0;
        while let Some(event) = EventEnd::find(&bytes, end) {
            end = event.end;
            let is_duplicate =
                matches!((event.id, self.resume_after), (Some(id), Some(resume_after)) if id <= resume_after);
            if is_duplicate {
                dropped = end;
            } else if event.id.is_some() {
                self.last_id = event.id;
            }
        }
        let rest = bytes.split_off(end);
        if rest.len() > MAX_EVENT_BYTES {
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
    /// The end of the event that begins at `start`, if it has arrived.
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
