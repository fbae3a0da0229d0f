//! The records that a replica stores on disk.

use std::sync::Arc;

use bitcode::{Decode, Encode};
use shaletrail_protocol::NodeId;
use snafu::Snafu;

use crate::entry::{Entry, Index, LogPosition, Term};
use crate::voters::VoterSet;

/// The state besides the log that a replica must not lose (Ongaro's thesis, section 3.8).
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct HardState {
    /// The latest term that the replica has seen.
    pub term: Term,
    /// The candidate that received this replica's vote in `term`.
    pub voted_for: Option<NodeId>,
    /// Whether votes and acknowledgements may have been lost with a previous disk.
    pub recovering: bool,
    /// Identifies the disk. Drawn at random when the first record is written.
    pub disk_id: u64,
}

/// The state machine at an index, replacing the log up to that index (Ongaro's thesis, chapter 5).
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Snapshot {
    /// The last entry covered by the snapshot.
    pub position: LogPosition,
    /// The voters as of that entry.
    pub voters: VoterSet,
    /// The state of the state machine, as encoded by its owner.
    pub state: Arc<[u8]>,
}

impl Snapshot {
    /// Index of the last entry covered by the snapshot.
    pub fn index(&self) -> Index {
        self.position.index
    }
}

/// A stored record. On restart, records are replayed in the order in which they were written.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum Record {
    /// Replaces the hard state.
    HardState(HardState),
    /// Replaces all entries from the index of the first one on.
    Entries(Vec<Entry>),
    /// Replaces the entries that it covers, and all entries if the log does not contain its last entry.
    Snapshot(Snapshot),
}

/// The error of [`Record::decode`]: the bytes are not a valid record.
#[derive(Debug, Snafu, PartialEq, Eq)]
#[snafu(display("{length} bytes are not a valid replica record"))]
pub struct MalformedRecord {
    /// Number of bytes that were to be decoded.
    pub length: usize,
}

impl Record {
    /// Encodes the record for storage.
    pub fn encode(&self) -> Vec<u8> {
        bitcode::encode(self)
    }

    /// Decodes a record encoded by [`Record::encode`].
    ///
    /// # Errors
    ///
    /// [`MalformedRecord`] if the bytes are not a valid record.
    pub fn decode(bytes: &[u8]) -> Result<Record, MalformedRecord> {
        bitcode::decode(bytes).map_err(|_| MalformedRecord { length: bytes.len() })
    }
}
