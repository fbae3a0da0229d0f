//! Entries of the replicated log.

use std::sync::Arc;

use bitcode::{Decode, Encode};

use crate::voters::VoterSet;

/// Index of an entry in the log; the first is 1.
pub type Index = u64;
/// Number of a term; each has one leader at most (Election Safety; Ongaro's thesis, section 3.4).
pub type Term = u64;

/// Bytes that an entry takes besides its payload, roughly.
const ENTRY_OVERHEAD_BYTES: usize = 32;

/// What an entry holds.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum Payload {
    /// Nothing: the first of a term, or a rejoin point.
    Empty,
    /// A command of the state machine, as its owner encodes it.
    Command(Arc<[u8]>),
    /// The voters from here on; in force as soon as the entry is in the log, committed or not.
    Voters(VoterSet),
}

/// One entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Entry {
    /// Its index in the log.
    pub index: Index,
    /// The term of the leader that appended it.
    pub term: Term,
    /// What it holds.
    pub payload: Payload,
}

impl Entry {
    /// Its size in bytes, roughly, for the limits of [`Options`](crate::Options).
    pub fn size(&self) -> usize {
        match &self.payload {
            Payload::Empty => ENTRY_OVERHEAD_BYTES,
            Payload::Command(command) => ENTRY_OVERHEAD_BYTES + command.len(),
            Payload::Voters(voters) => ENTRY_OVERHEAD_BYTES + voters.size(),
        }
    }

    /// Its term and index.
    pub fn position(&self) -> LogPosition {
        LogPosition { term: self.term, index: self.index }
    }
}

/// An entry's term and index. Greater means more up to date, as elections compare logs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Encode, Decode)]
pub struct LogPosition {
    /// Term of the entry.
    pub term: Term,
    /// Index of the entry.
    pub index: Index,
}
