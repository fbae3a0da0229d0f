//! What the replicas agree on, in openraft's terms.

use std::io::Cursor;

use serde::{Deserialize, Serialize};

use crate::catalogue::{Command, Outcome};

/// A replica as the others know it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    pub name: String,
    /// Where it listens for replicas; empty for one that stands alone.
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
