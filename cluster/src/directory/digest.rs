//! Short messages on servers whose records have not changed.

use bitcode::{Decode, Encode};
use shaletrail_protocol::internal::{Presence, ServerRecord};
use shaletrail_protocol::Millis;

use super::entry::{Entry, ServerKey};

/// One server in a digest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct ServerDigest {
    /// The server.
    pub key: ServerKey,
    /// Of its newest heartbeat known to the sender.
    pub sequence: u64,
    /// A hash of what edges care about in that heartbeat.
    pub fingerprint: u32,
    /// How the sender sees it.
    pub presence: Presence,
    /// Milliseconds since the sender last had a sign of life.
    pub age_ms: u32,
}

impl ServerDigest {
    pub(super) fn of(key: ServerKey, entry: &Entry, now: Millis) -> Self {
        ServerDigest {
            key,
            sequence: entry.sequence(),
            fingerprint: entry.fingerprint,
            presence: entry.record.presence,
            age_ms: u32::try_from(now.saturating_sub(entry.heard)).unwrap_or(u32::MAX),
        }
    }
}

/// What the directory of one coordinator sends another, apart from acknowledgements.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum DirectoryMessage {
    /// Records that changed; to be acknowledged (`CoordinatorMessage::Directory`).
    Batch {
        /// Names the batch; never used twice by one incarnation, nor by the one before.
        batch: u64,
        /// What changed.
        records: Vec<ServerRecord>,
    },
    /// Servers that live on, as far as the sender knows. Needs no answer but for an [`DirectoryMessage::Ask`].
    Digest {
        /// The servers.
        servers: Vec<ServerDigest>,
    },
    /// Asks for the records of servers of which a digest told something new; answered by batches.
    Ask {
        /// The servers.
        servers: Vec<ServerKey>,
    },
}
