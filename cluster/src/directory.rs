//! The directory of servers: one coordinator's replica of the table that all coordinators share.
//!
//! A server sends each heartbeat to one coordinator. If the heartbeat changes the server's record, the coordinator
//! pushes the record to all peers at once and keeps a hint for each peer until it acknowledges (`hinted_handoff`).
//! Servers that have not changed are only listed in digests (`anti_entropy`).
//!
//! There is no leader. Merging gives the same result on every coordinator: draining and removed are final for a server
//! id, and otherwise the higher sequence number wins (`server_table`). A draining heartbeat or a deregistration is
//! answered once a majority of the voters knows of it (`majority`) and has it on disk (`durability`).
//!
//! Time-outs of servers are not replicated (`expiry`). Each coordinator detects them itself, except while it has
//! recently started, lacks contact with a quorum, or has recently stalled (`quorum_contact`).

mod anti_entropy;
mod change_log;
mod durability;
mod expiry;
mod heartbeats;
mod hint_queue;
mod hinted_handoff;
mod majority;
mod messages;
mod options;
mod pending_calls;
mod quorum_contact;
mod server_entry;
mod server_table;

use std::collections::{BTreeMap, BTreeSet};

use shaletrail_protocol::internal::{DirectoryCursor, ServerRecord};
use shaletrail_protocol::{Incarnation, Millis, NodeId};

pub use durability::UnsyncedRecords;
pub use heartbeats::HeartbeatOutcome;
pub use messages::{DirectoryMessage, ServerDigest};
pub use options::{
    Options, MAX_BATCHES_IN_FLIGHT, MAX_BATCH_RECORDS, MAX_DIGEST_SERVERS, MAX_PENDING_CALLS,
    MAX_RETRY_RECORDS, MAX_SERVERS,
};
pub use pending_calls::{CallOutcome, CallToken};
pub use server_entry::ServerKey;

use change_log::ChangeLog;
use durability::Durability;
use hint_queue::HintQueue;
use pending_calls::PendingCalls;
use quorum_contact::QuorumContact;
use server_table::{MergeOutcome, ServerTable};

use crate::send_queue::SendQueue;
use crate::stable_hash::first_message_number;

/// The interval between two scans for expired servers, in milliseconds.
const EXPIRY_SCAN_INTERVAL_MS: Millis = 200;

/// The changes that an edge has not received yet.
#[derive(Clone, Debug, PartialEq)]
pub struct DirectoryUpdate {
    /// The changed servers, or all of them.
    pub records: Vec<ServerRecord>,
    /// Whether `records` is the whole directory, so that the edge must drop all servers that are not in it.
    pub complete: bool,
    /// The cursor that the edge holds once it has applied the records.
    pub cursor: DirectoryCursor,
}

/// One coordinator's replica of the directory of servers.
#[derive(Debug)]
pub struct Directory {
    options: Options,
    node: NodeId,
    table: ServerTable,
    change_log: ChangeLog,
    /// The hint queue of each peer, unreachable peers included.
    hint_queues: BTreeMap<NodeId, HintQueue>,
    voters: BTreeSet<NodeId>,
    pending_calls: PendingCalls,
    durability: Durability,
    quorum_contact: QuorumContact,
    started_at: Millis,
    last_version: u64,
    last_batch: u64,
    /// Servers that have sent this coordinator an unchanged heartbeat since its last digest.
    refreshed_servers: BTreeSet<ServerKey>,
    next_digest: Millis,
    next_full_digest: Millis,
    next_expiry_scan: Millis,
    send_queue: SendQueue<DirectoryMessage>,
}

impl Directory {
    /// An empty directory for one incarnation of the coordinator `node`.
    pub fn new(options: Options, node: NodeId, incarnation: Incarnation, now: Millis) -> Self {
        Directory {
            node,
            table: ServerTable::default(),
            change_log: ChangeLog::new(incarnation, options.max_changes),
            hint_queues: BTreeMap::new(),
            voters: BTreeSet::new(),
            pending_calls: PendingCalls::default(),
            durability: Durability::default(),
            quorum_contact: QuorumContact::new(now),
            started_at: now,
            last_version: 0,
            last_batch: first_message_number(incarnation),
            refreshed_servers: BTreeSet::new(),
            next_digest: now + options.digest_interval_ms,
            next_full_digest: now + options.full_digest_interval_ms,
            next_expiry_scan: now + EXPIRY_SCAN_INTERVAL_MS,
            send_queue: SendQueue::default(),
            options,
        }
    }

    /// Sets the other coordinators, for which hints are kept even while they are unreachable. A new peer is sent the
    /// whole directory.
    pub fn set_peers(&mut self, now: Millis, peers: &[NodeId]) {
        let peers: BTreeSet<NodeId> = peers.iter().copied().filter(|peer| *peer != self.node).collect();
        let known: BTreeSet<NodeId> = self.hint_queues.keys().copied().collect();
        for peer in known.difference(&peers) {
            self.hint_queues.remove(peer);
            self.drop_acknowledgements_of(*peer);
        }
        for peer in peers.difference(&known) {
            self.hint_queues.insert(*peer, HintQueue::default());
            self.push_full_table(*peer);
        }
        self.flush_hints(now);
    }

    /// Sets whether this coordinator has contact with a quorum. Without it, no server times out in this replica.
    pub fn set_quorum_contact(&mut self, now: Millis, has_quorum_contact: bool) {
        self.quorum_contact.set(now, has_quorum_contact);
    }

    /// Records the incarnation of another coordinator. If the peer has restarted, it has lost its directory and is sent
    /// the whole one.
    pub fn observe_peer_incarnation(&mut self, now: Millis, peer: NodeId, incarnation: Incarnation) {
        let Some(queue) = self.hint_queues.get_mut(&peer) else { return };
        if !queue.observe_incarnation(incarnation) {
            return;
        }
        queue.reset();
        self.drop_acknowledgements_of(peer);
        self.push_full_table(peer);
        self.flush_hints(now);
    }

    /// Expires servers, calls and batches, and queues the messages that are due. Must be called at the time that
    /// [`Directory::next_wake`] returns.
    pub fn tick(&mut self, now: Millis) {
        self.record_activity(now);
        self.pending_calls.expire(now);
        if self.next_expiry_scan <= now {
            self.next_expiry_scan = now + EXPIRY_SCAN_INTERVAL_MS;
            self.expire_servers(now);
        }
        self.send_digests(now);
        self.hint_queues.values_mut().for_each(|queue| queue.expire_batches(now, &self.options));
        self.flush_hints(now);
    }

    /// The time at which [`Directory::tick`] must be called next.
    pub fn next_wake(&self) -> Millis {
        let batches = self.hint_queues.values().filter_map(|queue| queue.next_wake(&self.options)).min();
        let digest = (!self.refreshed_servers.is_empty()).then_some(self.next_digest);
        let others = digest.into_iter().chain(batches).chain(self.pending_calls.next_deadline());
        others.fold(self.next_expiry_scan.min(self.next_full_digest), Millis::min)
    }

    /// Takes the queued messages, each with its receiver.
    pub fn take_messages(&mut self) -> Vec<(NodeId, DirectoryMessage)> {
        self.send_queue.take()
    }

    /// The cursor of an edge that has applied all changes so far.
    pub fn cursor(&self) -> DirectoryCursor {
        self.change_log.cursor()
    }

    /// The servers that changed after the cursor, each once, or all servers if the change log does not reach back that
    /// far.
    pub fn updates_since(&self, cursor: DirectoryCursor) -> DirectoryUpdate {
        let current = self.change_log.cursor();
        let Some(changes) = self.change_log.since(cursor) else {
            let records = self.records().cloned().collect();
            return DirectoryUpdate { records, complete: true, cursor: current };
        };
        let newest = changes.filter_map(|change| {
            self.table.get(change.server).filter(|entry| entry.last_change == change.number)
        });
        let records = newest.map(|entry| entry.record.clone()).collect();
        DirectoryUpdate { records, complete: false, cursor: current }
    }

    /// The records of all known servers, tombstones included.
    pub fn records(&self) -> impl Iterator<Item = &ServerRecord> {
        self.table.iter().map(|(_, entry)| &entry.record)
    }

    /// The record of the server with this id; `None` if it is unknown.
    pub fn record(&self, id: &str) -> Option<&ServerRecord> {
        self.table.get(ServerKey::of(id)).map(|entry| &entry.record)
    }

    /// Whether this coordinator has started so recently that some live servers may not be in its directory yet.
    pub fn is_recently_started(&self, now: Millis) -> bool {
        now.saturating_sub(self.started_at) < self.options.heartbeat_timeout_ms
    }

    /// Records that the process is running, for the detection of stalls.
    fn record_activity(&mut self, now: Millis) {
        self.quorum_contact.record_activity(now, self.options.stall_ms);
    }

    /// Makes a server the owner of its address if that is free, and evicts other servers while the table is too large.
    fn claim_address_and_evict(&mut self, key: ServerKey) {
        self.table.claim_address_if_free(key);
        while self.table.len() > self.options.max_servers {
            let Some(evicted) = self.table.eviction_candidate(key) else { return };
            self.forget(evicted);
            // The log has no entry for an eviction, so edges must fetch the whole directory to drop the server.
            self.change_log.invalidate_cursors();
        }
    }

    /// Appends a change of a server to the log from which edges are updated.
    fn publish_change(&mut self, key: ServerKey) {
        if let Some(entry) = self.table.get_mut(key) {
            entry.last_change = self.change_log.append(key);
        }
    }

    /// Gives a changed server a new version. Acknowledgements by peers refer to versions.
    fn advance_version(&mut self, key: ServerKey, outcome: MergeOutcome) {
        if let Some(entry) = self.table.get_mut(key) {
            self.last_version += 1;
            entry.version = self.last_version;
            if outcome == MergeOutcome::StageAdvanced {
                entry.stage_version = self.last_version;
                if self.options.sync_before_acknowledging {
                    self.durability.record_stage(key);
                }
            }
        }
    }

    fn forget(&mut self, key: ServerKey) {
        self.table.remove(key);
        self.durability.forget(key);
    }
}
