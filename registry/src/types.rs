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

pub type Raft = openraft::Raft<Types>;
pub type LogId = openraft::LogId<u64>;
pub type Vote = openraft::Vote<u64>;
pub type LogEntry = openraft::Entry<Types>;
pub type StorageError = openraft::StorageError<u64>;
pub type StoredMembership = openraft::StoredMembership<u64, Member>;
pub type SnapshotMeta = openraft::SnapshotMeta<u64, Member>;
