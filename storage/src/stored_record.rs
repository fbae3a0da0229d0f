//! The record type that a journal stores and recovers.

/// A record as it was appended to a journal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredRecord {
    /// The stream that the record belongs to. The journal preserves the order of records across all streams.
    pub stream: u32,
    /// The payload. The journal does not interpret it.
    pub bytes: Vec<u8>,
}
