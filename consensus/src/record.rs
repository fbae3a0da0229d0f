//! What a replica keeps on disk.

use std::sync::Arc;

use bitcode::{Decode, Encode};
use shaletrail_protocol::NodeId;
use snafu::Snafu;

use crate::entry::{Entry, Index, LogPosition, Term};
use crate::voters::VoterSet;

/// What a replica must not forget besides its log (Ongaro's thesis, section 3.8).
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct HardState {
    /// The newest term seen.
    pub term: Term,
    /// The candidate that has its vote in that term.
    pub voted_for: Option<NodeId>,
    /// Whether votes and acknowledgements may have been lost with a former disk.
    pub recovering: bool,
    /// Identifies the disk: drawn at random when the first record is written.
    pub disk_id: u64,
}

/// The applied state at an index, in place of the log up to there (Ongaro's thesis, chapter 5).
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Snapshot {
    /// The last entry that the state holds.
    pub position: LogPosition,
    /// The voters at that entry.
    pub voters: VoterSet,
    /// The state machine's state, as its owner encodes it.
    pub state: Arc<[u8]>,
}

impl Snapshot {
    /// Index of the last entry that the state holds.
    pub fn index(&self) -> Index {
        self.position.index
    }
}

/// One record of a replica. Restored records are replayed in the order in which they were written.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum Record {
    /// Replaces the hard state.
    HardState(HardState),
    /// Replaces all entries from the index of the first on.
    Entries(Vec<Entry>),
    /// Replaces the entries that it covers, and all entries where its last one isn't in the log.
    Snapshot(Snapshot),
}

/// The error of [`Record::decode`]: bytes that are not a record.
#[derive(Debug, Snafu, PartialEq, Eq)]
#[snafu(display("{length} bytes are not a record of a replica"))]
pub struct MalformedRecord {
    /// How many bytes there were.
    pub length: usize,
}

impl Record {
    /// The record as bytes.
    pub fn encode(&self) -> Vec<u8> {
        bitcode::encode(self)
    }

    /// A record from bytes made by [`Record::encode`].
    ///
    /// # Errors
    ///
    /// [`MalformedRecord`] for any other bytes.
    pub fn decode(bytes: &[u8]) -> Result<Record, MalformedRecord> {
        bitcode::decode(bytes).map_err(|_| MalformedRecord { length: bytes.len() })
    }
}
