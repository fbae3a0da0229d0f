//! A write-ahead log of checksummed records, stored in a ring of preallocated segment files.
//!
//! A [`Journal`] keeps the records of several streams across process restarts and power losses. A [`Writer`] runs a
//! journal on its own thread, groups appends into commits, and reports when they are durable. Both work over a
//! [`Disk`]: either [`DirectoryDisk`], a directory of the operating system, or [`fault_injection::MemoryDisk`], an
//! in-memory test double that can lose power, fill up, stall and fail calls on demand.
//!
//! # Layout
//!
//! Each file of the ring holds one *segment* at a time: a header ([`mod@segment_header`]) in the first page of the
//! file, followed by record fragments ([`mod@fragment`]). The header stores the *generation* of the segment and the
//! sequence number of its first fragment. The generation increases by one with every new segment. A record that does
//! not fit into the rest of a segment continues as a further fragment in the next segment. Each fragment stores its
//! generation, its own sequence number, and the highest sequence number that had been synced when the fragment was
//! encoded.
//!
//! # Invariants
//!
//! 1. A segment header is synced before the first fragment of its segment is written. Therefore no two segments that
//!    contain fragments share a generation, and the old content of a recycled file cannot be mistaken for new content,
//!    because its generation differs.
//! 2. Before a header is written, all fragments below its first sequence number have been synced. Therefore a fragment
//!    that is missing before the first fragment of a later segment indicates corruption. In the newest segment, a
//!    missing fragment indicates corruption if a later fragment states that it had been synced; otherwise it is a torn
//!    write at the end of the log.
//! 3. A header *truncates* the log: fragments in older segments with its first sequence number or a higher one are
//!    ignored. After a failed write or sync, nothing more is written to that segment. The next segment starts after the
//!    last record known to be durable, and the records that were not durable are written again there.
//! 4. A checkpoint starts a new segment. Older files are recycled only after the end marker of the checkpoint has been
//!    synced; until then, recovery falls back to the previous checkpoint.
//! 5. A journal is *fresh* only if no record has ever been durable in it. The segments since the newest complete
//!    checkpoint are never removed, and a fragment in a file without a valid header is reported as corruption instead
//!    of making the journal fresh.
//!
//! Opening a journal syncs the data that recovery has read, because a crashed process may have left records that were
//! written but not synced. One case is not covered: a disk that fails a sync, discards the data, and still returns that
//! data to a new process.

mod checkpoint;
mod directory_disk;
mod disk;
mod disk_io;
mod erase;
mod error;
pub mod fault_injection;
pub mod fragment;
mod journal;
mod little_endian;
mod options;
mod recovery;
pub mod segment_header;
mod segment_ring;
mod segment_writer;
mod stored_record;
mod writer;

pub use directory_disk::DirectoryDisk;
pub use disk::Disk;
pub use erase::erase;
pub use error::{Corruption, StorageError};
pub use journal::{Journal, OpenedJournal};
pub use options::Options;
pub use stored_record::StoredRecord;
pub use writer::{Clock, Command, RejectReason, RejectedCommand, Writer, WriterEvent, WriterOptions};
