//! Settings of a replica: its identity, timeouts, and limits of messages, proposals and memory.

use shaletrail_protocol::{Millis, NodeId};

/// Settings of a replica. All times in milliseconds, all sizes in bytes.
#[derive(Clone, Debug)]
pub struct Options {
    /// The replica's own node.
    pub node: NodeId,
    /// Seed of its randomness; must differ between nodes and between starts of one node.
    pub seed: u64,
    /// Whether an earlier disk of this node may have been lost: true wherever the process doesn't know that
    /// the whole system starts for the first time. Without effect where a hard state is restored.
    pub recovering: bool,
    /// The interval between two heartbeats of a leader.
    pub heartbeat_ms: Millis,
    /// The shortest election timeout; for as long no voter helps to replace a leader that it received a message of.
    pub election_min_ms: Millis,
    /// The longest election timeout; a leader that no majority responds to for as long steps down.
    pub election_max_ms: Millis,
    /// The shortest election timeout of a group that was just bootstrapped and never had a leader.
    pub bootstrap_election_min_ms: Millis,
    /// The longest election timeout of such a group.
    pub bootstrap_election_max_ms: Millis,
    /// How long a lease lasts from the sending of the message that was responded to. Cut to nine tenths of
    /// `election_min_ms`.
    pub lease_ms: Millis,
    /// A replica whose disk has not synced for as long does not campaign.
    pub disk_stall_ms: Millis,
    /// Size of the entries in one message, but for a single larger one.
    pub max_append_bytes: usize,
    /// Size of the entries in a probe of a follower.
    pub max_probe_bytes: usize,
    /// Size of the entries in flight to one follower, but for a single larger one.
    pub max_in_flight_bytes: usize,
    /// Messages with entries in flight to one follower.
    pub max_in_flight_messages: usize,
    /// A message with entries counts as lost no sooner than this after it was sent, ...
    pub resend_after_ms: Millis,
    /// ... plus one millisecond for each of these bytes: the slowest link that is expected.
    pub resend_bytes_per_ms: usize,
    /// The size of the largest command.
    pub max_command_bytes: usize,
    /// Proposals that may be uncommitted at a time.
    pub max_uncommitted_entries: u64,
    /// Size of those proposals, but for a single larger one.
    pub max_uncommitted_bytes: usize,
    /// Reads that may be unconfirmed at a time.
    pub max_pending_reads: usize,
    /// Voters, and learners, at a time.
    pub max_peers: usize,
    /// Size of the entries kept in memory behind a snapshot, for followers that are a little behind.
    pub retain_bytes: usize,
    /// Size of the entries kept by a leader for a replica that is catching up, while it makes progress.
    pub max_catch_up_bytes: usize,
    /// A replica that acknowledges no further entries for so long, beyond the time that they need on the slowest link, is
    /// not waited for.
    pub catch_up_stall_ms: Millis,
}

impl Options {
    /// The usual settings for a node, with the seed of its randomness.
    pub fn new(node: NodeId, seed: u64) -> Self {
        Options {
            node,
            seed,
            recovering: false,
            heartbeat_ms: 150,
            election_min_ms: 600,
            election_max_ms: 1000,
            bootstrap_election_min_ms: 50,
            bootstrap_election_max_ms: 250,
            lease_ms: 500,
            disk_stall_ms: 400,
            max_append_bytes: 1 << 20,
            max_probe_bytes: 4 << 10,
            max_in_flight_bytes: 8 << 20,
            max_in_flight_messages: 16,
            resend_after_ms: 250,
            resend_bytes_per_ms: 4000,
            max_command_bytes: 8 << 20,
            max_uncommitted_entries: 256,
            max_uncommitted_bytes: 32 << 20,
            max_pending_reads: 1024,
            max_peers: 64,
            retain_bytes: 1 << 20,
            max_catch_up_bytes: 24 << 20,
            catch_up_stall_ms: 10_000,
        }
    }

    /// How long a message of this size may take on the slowest link that is expected.
    pub(crate) fn transfer_ms(&self, bytes: usize) -> Millis {
        (bytes / self.resend_bytes_per_ms.max(1)) as Millis
    }
}
