//! Entries of the replicated log.

use std::sync::Arc;

use bitcode::{Decode, Encode};

use crate::voters::VoterSet;

/// Place of an entry in the log; the first is 1.
pub type Index = u64;
/// Number of a leadership; each has one leader at most.
pub type Term = u64;

/// Bytes that an entry takes besides its command, roughly.
const OVERHEAD: usize = 32;

/// What an entry says.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum Payload {
    /// Nothing: the start of a leadership, or a readmission point.
    Empty,
    /// A command of the state machine.
    Command(Arc<[u8]>),
    /// The voters from here on; in force as soon as it is in the log.
    Voters(VoterSet),
}

/// One entry.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Entry {
    /// Its place.
    pub index: Index,
    /// The term of the leader that appended it.
    pub term: Term,
    /// What it says.
    pub payload: Payload,
}

impl Entry {
    /// Its size in bytes, roughly.
    pub fn size(&self) -> usize {
        match &self.payload {
            Payload::Empty => OVERHEAD,
            Payload::Command(command) => OVERHEAD + command.len(),
            Payload::Voters(voters) => OVERHEAD + voters.size(),
        }
    }

    /// Where it stands.
    pub fn position(&self) -> Position {
        Position { term: self.term, index: self.index }
    }
}

/// An entry's term and index. Greater means more up to date, as elections compare logs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Encode, Decode)]
pub struct Position {
    /// Term of the entry.
    pub term: Term,
    /// Index of the entry.
    pub index: Index,
}
