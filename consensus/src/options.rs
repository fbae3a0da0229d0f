//! Settings of a replica: its identity, timeouts, and limits on messages, proposals and memory.

use shaletrail_protocol::{Millis, NodeId};

/// Settings of a replica. All times are in milliseconds and all sizes in bytes.
#[derive(Clone, Debug)]
pub struct Options {
    /// The node that this replica runs on.
    pub node: NodeId,
    /// Seed of the random number generator. Must differ between nodes and between starts of the same node.
    pub seed: u64,
    /// Whether a previous disk of this node may have been lost. Set unless the process knows that the whole system is
    /// starting for the first time. Ignored if a hard state is restored from disk.
    pub recovering: bool,
    /// Interval between heartbeats of a leader.
    pub heartbeat_ms: Millis,
    /// Shortest election timeout. For this long after a message from a leader, a voter does not help to replace that
    /// leader.
    pub election_min_ms: Millis,
    /// Longest election timeout. A leader that no majority has responded to for this long steps down.
    pub election_max_ms: Millis,
    /// Shortest election timeout of a newly bootstrapped group that has not had a leader yet.
    pub bootstrap_election_min_ms: Millis,
    /// Longest election timeout of a newly bootstrapped group that has not had a leader yet.
    pub bootstrap_election_max_ms: Millis,
    /// Duration of a leader's lease, counted from the time at which the acknowledged message was sent. Limited to nine
    /// tenths of `election_min_ms`.
    pub lease_ms: Millis,
    /// A replica whose disk has not completed a sync for this long does not campaign.
    pub disk_stall_ms: Millis,
    /// Maximum total size of the entries in one message. A single larger entry is sent alone.
    pub max_append_bytes: usize,
    /// Maximum total size of the entries in a probe. If the next entry is larger, the probe contains none.
    pub max_probe_bytes: usize,
    /// Once the entries in flight to one follower reach this total size, no further message with entries is sent to it.
    pub max_in_flight_bytes: usize,
    /// Maximum number of messages with entries in flight to one follower.
    pub max_in_flight_messages: usize,
    /// Minimum time after sending before a message with entries may be considered lost. The expected transfer time of
    /// the message is added; see `min_link_bytes_per_ms`.
    pub resend_after_ms: Millis,
    /// Bandwidth of the slowest expected link, in bytes per millisecond. Used to estimate how long a message may take.
    pub min_link_bytes_per_ms: usize,
    /// Maximum size of a command.
    pub max_command_bytes: usize,
    /// Maximum number of uncommitted entries; further proposals are rejected.
    pub max_uncommitted_entries: u64,
    /// Maximum total size of uncommitted entries. A single larger proposal is accepted if nothing else is uncommitted.
    pub max_uncommitted_bytes: usize,
    /// Maximum number of unconfirmed reads.
    pub max_pending_reads: usize,
    /// Maximum number of voters, and maximum number of learners.
    pub max_peers: usize,
    /// Total size of the entries kept in memory although a snapshot covers them, for followers that lag slightly.
    pub retain_bytes: usize,
    /// Maximum total size of the entries that a leader keeps for a replica that is catching up and making progress.
    pub max_catch_up_bytes: usize,
    /// A replica that acknowledges no new entries for this long, plus the time that they need on the slowest expected
    /// link, is considered stalled, and the leader stops waiting for it.
    pub catch_up_stall_ms: Millis,
}

impl Options {
    /// Default settings for a node. `seed` seeds the random number generator.
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
            min_link_bytes_per_ms: 4000,
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

    /// Transfer time of a message of this size on the slowest expected link, in milliseconds.
    pub(crate) fn transfer_ms(&self, bytes: usize) -> Millis {
        (bytes / self.min_link_bytes_per_ms.max(1)) as Millis
    }
}
