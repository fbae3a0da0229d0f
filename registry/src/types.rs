//! The types with which openraft is parameterized.

use std::io::Cursor;

use serde::{Deserialize, Serialize};

use crate::catalogue::{Command, Outcome};

/// A replica's entry in the membership.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    pub name: String,
    /// The address at which it listens for other replicas; empty for a replica that runs alone.
    pub replica: String,
}

impl std::fmt::Display for Member {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{} at {}", self.name, self.replica)
    }
}

openraft::declare_raft_types!(
    pub Types:
        D = Command,
        R = Outcome,
        NodeId = u64,
        Node = Member,
        Entry = openraft::Entry<Types>,
        SnapshotData = Cursor<Vec<u8>>,
);

/// The registry's Raft node.
pub type Raft = openraft::Raft<Types>;
/// A log entry's position: the term of its leader, the leader's id, and the index.
pub type LogId = openraft::LogId<u64>;
/// The vote that a replica stores: a term, the replica voted for, and whether that one became leader.
pub type Vote = openraft::Vote<u64>;
/// A Raft log entry whose payload is a command of the registry, a membership change or blank.
pub type LogEntry = openraft::Entry<Types>;
/// An error of the log or the state machine, as openraft expects it.
pub type StorageError = openraft::StorageError<u64>;
/// A membership together with the id of the log entry that set it.
pub type StoredMembership = openraft::StoredMembership<u64, Member>;
/// What a snapshot covers: the last log entry in it, the membership, and the snapshot's id.
pub type SnapshotMeta = openraft::SnapshotMeta<u64, Member>;
