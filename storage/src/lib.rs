//! A write-ahead log: checksummed records in a ring of preallocated segment files.
//!
//! A [`Journal`] keeps the records of several streams across restarts and power losses. A [`Writer`] owns a journal on
//! a thread of its own, commits appends in groups and reports when they are durable. Both work over a [`Disk`]:
//! [`FolderDisk`] is a directory of the operating system, [`fault_injection::MemoryDisk`] a test double in memory that
//! loses power, fills up, stalls and fails on demand.
//!
//! # Layout
//!
//! A file of the ring holds one *segment* at a time: a header ([`mod@segment_header`]) in the file's first page, and
//! record fragments ([`mod@fragment`]) after it. The header names the segment's *generation*, which is one higher for
//! each segment begun, and the sequence number of its first fragment. A record that does not fit into the rest of a
//! segment continues in the next one as a further fragment. A fragment carries its generation, its own sequence number,
//! and the newest sequence number that was synced when it was encoded.
//!
//! # Invariants
//!
//! 1. A segment header is synced before the first fragment of its segment is written. So no two segments with fragments
//!    share a generation, and the previous content of a recycled file cannot be taken for new: its generation differs.
//! 2. Before a header is written, all fragments below its first sequence number have been synced. So a fragment that is
//!    missing below the first one of a later segment is corruption. In the newest segment a missing fragment is
//!    corruption if a later fragment says that it was synced; otherwise it is a torn write at the end of the log.
//! 3. A header *truncates* the log: fragments of older segments from its first sequence number on are void. After a
//!    failed write or sync nothing more is written to that segment. The next one begins after the last record known to
//!    be durable, and the records that were not durable are written there again.
//! 4. A checkpoint begins with a segment of its own. Older files are recycled only after its end marker was synced;
//!    until then recovery falls back to the previous checkpoint.
//! 5. A journal is *fresh* only if no record has ever been durable in it: nothing removes the segments from the newest
//!    complete checkpoint on, and a fragment in a file without a valid header is corruption, not freshness.
//!
//! Opening a journal syncs what recovery has read, since a process that crashed may have left records that no sync
//! covered. One case stays open: a disk that fails a sync, drops the data, and then keeps showing it to a new process.

mod checkpoint;
mod disk;
mod disk_io;
mod erase;
mod error;
pub mod fault_injection;
mod folder_disk;
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

pub use disk::Disk;
pub use erase::erase;
pub use error::{Corruption, StorageError};
pub use folder_disk::FolderDisk;
pub use journal::{Journal, OpenedJournal};
pub use options::Options;
pub use stored_record::StoredRecord;
pub use writer::{Clock, Command, RejectReason, RejectedCommand, Writer, WriterEvent, WriterOptions};
