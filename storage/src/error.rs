//! Error types of the journal.

use std::io;

use snafu::Snafu;

/// Why a journal cannot be opened or records could not be made durable.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum StorageError {
    /// A disk operation failed. The error may be transient, so the caller can retry later.
    #[snafu(display("cannot {operation} {file}: {source}"))]
    Io {
        /// The failed operation: `create`, `read`, `write`, `sync`, `remove` or `list`.
        operation: &'static str,
        /// The name of the file, or `the directory` for calls that concern the whole directory.
        file: String,
        /// The error returned by the operating system.
        source: io::Error,
    },
    /// Records that had been durable are damaged or missing. The remaining records must not be used.
    #[snafu(display("{file} is corrupt at byte {offset}: {source}"))]
    Corrupt {
        /// The name of the corrupt file.
        file: String,
        /// Position of the corruption, in bytes from the start of the file; 0 if it cannot be located more precisely.
        offset: u64,
        /// The kind of corruption.
        source: Corruption,
    },
    /// An operation needs more files than it may use. If an append was refused, a checkpoint frees files. If a
    /// checkpoint was refused, it is too large for the ring.
    #[snafu(display("journal ring is full: {needed} files needed, {limit} allowed"))]
    RingFull {
        /// Number of files needed.
        needed: usize,
        /// Number of files that the operation may use.
        limit: usize,
    },
    /// A record exceeds [`Options::max_record_bytes`](crate::Options::max_record_bytes).
    #[snafu(display("record of {length} bytes exceeds the limit of {limit} bytes"))]
    RecordTooLarge {
        /// Length of the record, in bytes.
        length: usize,
        /// Maximum length of a record, in bytes.
        limit: usize,
    },
    /// An option is below its minimum.
    #[snafu(display("invalid option {name}: got {found}, must be at least {min}"))]
    InvalidOption {
        /// Name of the field in [`Options`](crate::Options).
        name: &'static str,
        /// The rejected value.
        found: u64,
        /// The smallest valid value.
        min: u64,
    },
}

/// The kind of corruption that recovery found in a file.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum Corruption {
    /// The file has fragments of a newer generation than any valid header, so the header that was synced before them is
    /// lost.
    #[snafu(display("fragments of a newer generation found without a segment header"))]
    MissingHeader,
    /// Neither the start of the log nor a complete checkpoint precedes the newest records.
    #[snafu(display("no complete checkpoint precedes the newest records"))]
    NoCompleteCheckpoint,
    /// The log ends before the first sequence number of the next segment.
    #[snafu(display("records before the start of the next segment are missing"))]
    MissingBeforeLaterSegment,
    /// A fragment is missing although a later fragment of the same segment states that it had been synced.
    #[snafu(display("a synced record is missing but later records are present"))]
    MissingSyncedRecord,
    /// Consecutive fragments belong to different records.
    #[snafu(display("consecutive fragments belong to different records"))]
    MismatchedFragments,
    /// The kind of a record is invalid at its position, for example the end of a checkpoint that never began.
    #[snafu(display("unexpected record kind at this position"))]
    UnexpectedRecord,
}
