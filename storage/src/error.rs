//! What can go wrong with a journal.

use std::io;

use snafu::Snafu;

/// Why a journal cannot be opened, or records are not safe.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum StorageError {
    /// The disk refused. May pass: try again later.
    #[snafu(display("cannot {operation} {file}: {source}"))]
    Io {
        /// What was tried.
        operation: &'static str,
        /// The file, or `the folder`.
        file: String,
        /// What the system said.
        source: io::Error,
    },
    /// Records that were once safe are damaged or gone: what is left must not be relied on.
    #[snafu(display("{file} is damaged at byte {offset}: {problem}"))]
    Corrupt {
        /// The file.
        file: String,
        /// Where in the file, in bytes.
        offset: u64,
        /// What is wrong there.
        problem: &'static str,
    },
    /// More files are needed than may be used for this. Appends go on after a checkpoint; a checkpoint itself is too
    /// long.
    #[snafu(display("{needed} files are needed, {limit} may be used"))]
    RingFull {
        /// Files needed.
        needed: usize,
        /// Files that may be used.
        limit: usize,
    },
    /// A record is over the limit of the options.
    #[snafu(display("a record of {length} bytes is over the limit of {longest}"))]
    TooLong {
        /// Its length in bytes.
        length: usize,
        /// The limit in bytes.
        longest: usize,
    },
    /// Options that no journal can work with.
    #[snafu(display("{name}: {found} found, expected at least {least}"))]
    Options {
        /// The option.
        name: &'static str,
        /// Its value.
        found: u64,
        /// The least value.
        least: u64,
    },
}
