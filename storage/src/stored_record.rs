//! The unit of data that a journal stores and recovers.

/// A record as it was appended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredRecord {
    /// The stream that it was appended to. The journal keeps the order of records over all streams.
    pub stream: u32,
    /// Its payload, opaque to the journal.
    pub bytes: Vec<u8>,
}
