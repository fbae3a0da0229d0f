//! Messages between the directories of two coordinators.

use bitcode::{Decode, Encode};
use shaletrail_protocol::internal::{Presence, ServerRecord};
use shaletrail_protocol::Millis;

use super::server_entry::{ServerEntry, ServerKey};

/// The state of one server in a digest, without its record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct ServerDigest {
    /// The key of the server.
    pub key: ServerKey,
    /// The sequence number of the latest heartbeat that the sender knows.
    pub sequence: u64,
    /// A hash of the record's content that edges use. Records with the same hash need not be transferred.
    pub fingerprint: u32,
    /// The presence of the server according to the sender.
    pub presence: Presence,
    /// Milliseconds since the server's last contact that the sender knows of, directly or through other coordinators.
    pub age_ms: u32,
}

impl ServerDigest {
    pub(super) fn of(key: ServerKey, entry: &ServerEntry, now: Millis) -> Self {
        ServerDigest {
            key,
            sequence: entry.sequence(),
            fingerprint: entry.fingerprint,
            presence: entry.record.presence,
            age_ms: u32::try_from(now.saturating_sub(entry.last_contact)).unwrap_or(u32::MAX),
        }
    }
}

/// A message from one directory to another. Acknowledgements are a message of their own
/// (`CoordinatorMessage::DirectoryAck`).
///
/// Variants and fields are encoded by their position: they may be renamed, but not moved, added or removed.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum DirectoryMessage {
    /// Records that changed. The receiver acknowledges the batch by returning its number.
    Batch {
        /// Identifies the batch; used neither by another batch of this incarnation nor by the previous incarnation.
        batch: u64,
        /// The changed records, each with the server's present state.
        records: Vec<ServerRecord>,
    },
    /// The states of servers with recent contact, and of recent tombstones. Answered by a
    /// [`DirectoryMessage::Request`] only if the receiver lacks a record or has an older one.
    Digest {
        /// The states, at most [`MAX_DIGEST_SERVERS`](super::MAX_DIGEST_SERVERS).
        servers: Vec<ServerDigest>,
    },
    /// Requests the records of servers that a digest showed to differ; answered by batches.
    Request {
        /// The keys of the requested servers.
        servers: Vec<ServerKey>,
    },
}
