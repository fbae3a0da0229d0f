//! Errors of a journal.

use std::io;

use snafu::Snafu;

/// Why a journal cannot be opened, or records are not durable.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum StorageError {
    /// A call of the disk failed. May be transient: retry later.
    #[snafu(display("cannot {operation} {file}: {source}"))]
    Io {
        /// The call: `create`, `read`, `write`, `sync`, `remove` or `list`.
        operation: &'static str,
        /// The file, or `the folder`.
        file: String,
        /// The error of the operating system.
        source: io::Error,
    },
    /// Records that were once durable are damaged or missing: the rest must not be relied on.
    #[snafu(display("{file} is damaged at byte {offset}: {source}"))]
    Corrupt {
        /// The file.
        file: String,
        /// Where in the file, in bytes from its start.
        offset: u64,
        /// What is wrong there.
        source: Corruption,
    },
    /// More files are needed than may be used for this. After a refused append a checkpoint frees files; a refused
    /// checkpoint is too large for the ring.
    #[snafu(display("{needed} files are needed, {limit} may be used"))]
    RingFull {
        /// Files needed.
        needed: usize,
        /// Files that may be used.
        limit: usize,
    },
    /// A record exceeds [`Options::max_record_bytes`](crate::Options::max_record_bytes).
    #[snafu(display("a record of {length} bytes is over the limit of {limit}"))]
    RecordTooLarge {
        /// Its length in bytes.
        length: usize,
        /// The limit in bytes.
        limit: usize,
    },
    /// Options that no journal can work with.
    #[snafu(display("{name}: {found} found, expected at least {min}"))]
    InvalidOption {
        /// The field of [`Options`](crate::Options).
        name: &'static str,
        /// Its value.
        found: u64,
        /// The smallest valid value.
        min: u64,
    },
}

/// What recovery found wrong in a file.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum Corruption {
    /// A header that was synced before these fragments is gone.
    #[snafu(display("records of a newer generation without a header"))]
    MissingHeader,
    /// Neither the log's beginning nor a complete checkpoint precedes the newest records.
    #[snafu(display("no complete checkpoint leads here"))]
    NoCompleteCheckpoint,
    /// A later segment begins with a sequence number that the log does not reach.
    #[snafu(display("records before those of a later file are missing"))]
    MissingBeforeLaterSegment,
    /// A later fragment of the same segment proves that the missing one had been synced.
    #[snafu(display("a record that was synced is missing, later ones are there"))]
    MissingSyncedRecord,
    /// Fragments that follow one another belong to different records.
    #[snafu(display("parts of a record do not fit together"))]
    MismatchedFragments,
    /// A record's kind is impossible after those before it, such as the end of a checkpoint that never began.
    #[snafu(display("a record that does not belong there"))]
    UnexpectedRecord,
}
