//! Splits a `text/event-stream` into events, so that each event is forwarded completely or not at all.

use bytes::{Bytes, BytesMut};
use snafu::Snafu;

/// An incomplete event longer than this many bytes is an error.
pub const MAX_EVENT_BYTES: usize = 256 << 10;

/// Why a stream cannot be split.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum SplitError {
    /// An event does not end within [`MAX_EVENT_BYTES`].
    #[snafu(display("event is longer than {MAX_EVENT_BYTES} bytes"))]
    TooLong,
}

/// Accepts the bytes of an event stream as they arrive and returns the events that are complete.
#[derive(Debug, Default)]
pub struct EventSplitter {
    /// The bytes received of an event that is not complete yet.
    partial: BytesMut,
    /// Events up to this id are dropped: the client has already received them.
    resume_after: Option<u64>,
    /// The id of the last event returned; before that, the id after which the stream is resumed.
    last_id: Option<u64>,
}

impl EventSplitter {
    /// Creates a splitter for a stream that is resumed after the event `last_id`, or for a new stream if that
    /// is `None`.
    pub fn resuming_after(last_id: Option<u64>) -> Self {
        EventSplitter { partial: BytesMut::new(), resume_after: last_id, last_id }
    }

    /// Adds received bytes and returns the events that are now complete, as one chunk; empty if there are
    /// none.
    ///
    /// # Errors
    ///
    /// If an event is longer than [`MAX_EVENT_BYTES`].
    pub fn push(&mut self, bytes: Bytes) -> Result<Bytes, SplitError> {
        if self.partial.is_empty() {
            return self.split(bytes);
        }
        self.partial.extend_from_slice(&bytes);
        let joined = self.partial.split().freeze();
        self.split(joined)
    }

    /// The id of the last event returned or, before that, the id after which the stream is resumed.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Whether part of an event is buffered.
    pub fn has_partial_event(&self) -> bool {
        !self.partial.is_empty()
    }

    /// Takes the bytes after the last complete event, once the stream has ended without an error.
    pub fn finish(&mut self) -> Bytes {
        self.partial.split().freeze()
    }

    fn split(&mut self, mut bytes: Bytes) -> Result<Bytes, SplitError> {
        let mut end = 0;
        let mut dropped_end = 0;
        while let Some(event) = EventEnd::find(&bytes, end) {
            end = event.end;
            let is_duplicate =
                matches!((event.id, self.resume_after), (Some(id), Some(resume_after)) if id <= resume_after);
            if is_duplicate {
                dropped_end = end;
            } else if event.id.is_some() {
                self.last_id = event.id;
            }
        }
        let rest = bytes.split_off(end);
        if rest.len() > MAX_EVENT_BYTES {
            return TooLongSnafu.fail();
        }
        self.partial.extend_from_slice(&rest);
        Ok(bytes.split_off(dropped_end))
    }
}

struct EventEnd {
    /// Index of the first byte after the event.
    end: usize,
    /// The event's id, if it has a numeric one.
    id: Option<u64>,
}

impl EventEnd {
    /// Finds the end of the event that begins at `start`; `None` if it has not arrived.
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

/// Parses a line `id: N`.
fn event_id(line: &[u8]) -> Option<u64> {
    let value = line.strip_prefix(b"id:")?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
