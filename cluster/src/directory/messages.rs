//! Messages between the directories of two coordinators.

use bitcode::{Decode, Encode};
use shaletrail_protocol::internal::{Presence, ServerRecord};
use shaletrail_protocol::Millis;

use super::server_entry::{ServerEntry, ServerKey};

/// The state of one server in a digest, without its record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct ServerDigest {
    /// The server.
    pub key: ServerKey,
    /// The sequence of the newest heartbeat that the sender knows.
    pub sequence: u64,
    /// A hash of what edges need from that heartbeat; two records with the same hash need no transfer.
    pub fingerprint: u32,
    /// How the sender sees the server.
    pub presence: Presence,
    /// Milliseconds since the sender's last contact with the server, directly or by other coordinators.
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

/// What one directory sends another, apart from acknowledgements (`CoordinatorMessage::DirectoryAck`).
///
/// The encoding goes by the position of variants and fields: they may be renamed, not moved, added or removed.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum DirectoryMessage {
    /// Records that changed. The receiver acknowledges the batch by its number.
    Batch {
        /// Identifies the batch; not reused by this incarnation or the one before.
        batch: u64,
        /// The changed records.
        records: Vec<ServerRecord>,
    },
    /// Servers that the sender has had contact with. Answered by a [`DirectoryMessage::Request`] where the receiver
    /// lacks a record, otherwise not at all.
    Digest {
        /// The servers.
        servers: Vec<ServerDigest>,
    },
    /// Requests the records of servers that a digest showed to differ; answered by batches.
    Request {
        /// The servers.
        servers: Vec<ServerKey>,
    },
}
