//! Entries of the replicated log.

use std::sync::Arc;

use bitcode::{Decode, Encode};

use crate::voters::VoterSet;

/// Index of a log entry, starting at 1.
pub type Index = u64;
/// Term number. Each term has at most one leader (Election Safety; Ongaro's thesis, section 3.4).
pub type Term = u64;

/// Approximate size of an entry without its payload, in bytes.
const ENTRY_OVERHEAD_BYTES: usize = 32;

/// The content of a log entry.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum Payload {
    /// No content: the first entry of a term, or a rejoin point.
    Empty,
    /// A state machine command, as encoded by its owner.
    Command(Arc<[u8]>),
    /// A new voter set. It takes effect as soon as the entry is in the log, whether committed or not.
    Voters(VoterSet),
}

/// An entry of the replicated log.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Entry {
    /// Position in the log, starting at 1.
    pub index: Index,
    /// The term of the leader that created the entry.
    pub term: Term,
    /// The content of the entry.
    pub payload: Payload,
}

impl Entry {
    /// Approximate size in bytes, used for the limits in [`Options`](crate::Options).
    pub fn size(&self) -> usize {
        match &self.payload {
            Payload::Empty => ENTRY_OVERHEAD_BYTES,
            Payload::Command(command) => ENTRY_OVERHEAD_BYTES + command.len(),
            Payload::Voters(voters) => ENTRY_OVERHEAD_BYTES + voters.size(),
        }
    }

    /// Term and index of the entry.
    pub fn position(&self) -> LogPosition {
        LogPosition { term: self.term, index: self.index }
    }
}

/// Term and index of an entry. Ordered by term first: the greater position belongs to the more up-to-date log in an
/// election.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Encode, Decode)]
pub struct LogPosition {
    /// Term of the leader that created the entry.
    pub term: Term,
    /// Position in the log, starting at 1.
    pub index: Index,
}
