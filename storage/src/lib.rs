//! Checksummed records in a ring of preallocated files.
//!
//! A [`Journal`] keeps records of several streams over restarts and losses of power. A [`Writer`] owns a journal on
//! a thread of its own and tells when appended records are safe. Both work over a [`Disk`]: [`FolderDisk`] is a
//! folder of the system, [`memory::MemoryDisk`] one in memory that loses power, fills up, stalls and fails on
//! demand.
//!
//! # Layout
//!
//! A ring file holds one *segment* at a time: a header ([`mod@self::header`]) in the file's first page, and records
//! after it. The header names the segment's *generation*, which rises with each segment begun, and the sequence
//! number of its first record. A record carries its generation, its own sequence number, and the newest sequence
//! number that was synced when it was written. A record that does not fit into what is left of a segment goes on in
//! the next one, in parts.
//!
//! # What holds
//!
//! 1. A header is synced before the first record of its segment is written. So no generation is used by records of
//!    two segments, and what a recycled file held before cannot pass for new: it has another generation.
//! 2. Before a header is written, all records before its first sequence number have been synced. So a record that is
//!    missing before the first one of a later segment is damage. In the newest segment a missing record is damage
//!    where a later record says that it was synced; otherwise it is the torn end of the journal.
//! 3. A header *cuts*: records of older segments from its first sequence number on are void. After a failed write or
//!    sync nothing more is written to that segment. The next one begins after the last record known to be safe, and
//!    what was not safe is written there again.
//! 4. A checkpoint begins with a segment. Older files are used again only after its end mark was synced; until then
//!    opening falls back to the checkpoint before.
//! 5. A journal is *fresh* only if no record has ever been safe in it: nothing removes the segments from the newest
//!    complete checkpoint on, and a record found in a file without a valid header is damage, not freshness.
//!
//! Opening syncs what it has read, since a process that died may have left records that no sync covered. One case
//! stays open: a disk that fails a sync, drops the data, and then keeps showing it to a new process.

mod appender;
mod disk;
mod erase;
mod error;
mod folder;
pub mod header;
mod journal;
pub mod memory;
mod options;
mod progress;
pub mod record;
mod replay;
mod ring;
mod segment_reader;
mod writer;

pub use disk::Disk;
pub use erase::erase;
pub use error::StorageError;
pub use folder::FolderDisk;
pub use journal::{Journal, Opened};
pub use options::Options;
pub use progress::Clock;
pub use replay::StoredRecord;
pub use writer::{Command, RejectReason, RejectedCommand, Report, Writer, WriterOptions};
