//! The directory of servers: one coordinator's replica of the table that all coordinators share.
//!
//! A heartbeat reaches one coordinator. A change that it brings is pushed to all peers at once and kept as a hint
//! for those that do not acknowledge it (`hinted_handoff`); unchanged servers are only named in digests
//! (`anti_entropy`). There is no leader: records merge alike everywhere, as draining and removed are final for an
//! id and otherwise the higher sequence wins (`server_table`). A heartbeat with `draining` and a deregistration
//! are answered once a majority of the voters knows of them (`majority`) and has them on disk (`durability`).
//!
//! Time-outs are not replicated (`expiry`): each coordinator concludes them by itself, and none while it has
//! recently started, lacks contact with a quorum, or has stalled (`quorum_contact`).

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

/// Between two scans for servers that expire, in milliseconds.
const EXPIRY_SCAN_INTERVAL_MS: Millis = 200;

/// What an edge has missed.
#[derive(Clone, Debug, PartialEq)]
pub struct DirectoryUpdate {
    /// The changed servers, or all of them.
    pub records: Vec<ServerRecord>,
    /// Whether `records` is the whole directory, so that the edge drops all others.
    pub complete: bool,
    /// The edge's cursor once it has applied the records.
    pub cursor: DirectoryCursor,
}

/// One coordinator's replica of the directory of servers.
#[derive(Debug)]
pub struct Directory {
    options: Options,
    node: NodeId,
    table: ServerTable,
    change_log: ChangeLog,
    /// One queue for each peer, unreachable ones included.
    hint_queues: BTreeMap<NodeId, HintQueue>,
    voters: BTreeSet<NodeId>,
    pending_calls: PendingCalls,
    durability: Durability,
    quorum_contact: QuorumContact,
    started_at: Millis,
    last_version: u64,
    last_batch: u64,
    /// Servers with unchanged heartbeats that this coordinator itself has received since its last digest.
    refreshed_servers: BTreeSet<ServerKey>,
    next_digest: Millis,
    next_full_digest: Millis,
    next_expiry_scan: Millis,
    sends: SendQueue<DirectoryMessage>,
}

impl Directory {
    /// An empty directory for one incarnation of a coordinator.
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
            sends: SendQueue::default(),
            options,
        }
    }

    /// Names all other coordinators, unreachable ones included, for which hints are kept. A new one is sent the whole
    /// directory.
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

    /// Sets whether this coordinator reaches a quorum. While it does not, no server times out here.
    pub fn set_quorum_contact(&mut self, now: Millis, has_quorum_contact: bool) {
        self.quorum_contact.set(now, has_quorum_contact);
    }

    /// Handles the incarnation of another coordinator; a new one has lost its directory and is sent the whole.
    pub fn on_peer_started(&mut self, now: Millis, peer: NodeId, incarnation: Incarnation) {
        let Some(queue) = self.hint_queues.get_mut(&peer) else { return };
        if !queue.observe_incarnation(incarnation) {
            return;
        }
        queue.reset();
        self.drop_acknowledgements_of(peer);
        self.push_full_table(peer);
        self.flush_hints(now);
    }

    /// Expires servers, calls and batches, and sends what is due. To be called at [`Directory::next_wake`].
    pub fn tick(&mut self, now: Millis) {
        self.record_call(now);
        self.pending_calls.expire(now);
        if self.next_expiry_scan <= now {
            self.next_expiry_scan = now + EXPIRY_SCAN_INTERVAL_MS;
            self.expire_servers(now);
        }
        self.send_digests(now);
        self.hint_queues.values_mut().for_each(|queue| queue.expire_batches(now, &self.options));
        self.flush_hints(now);
    }

    /// When [`Directory::tick`] should be called next.
    pub fn next_wake(&self) -> Millis {
        let batches = self.hint_queues.values().filter_map(|queue| queue.next_wake(&self.options)).min();
        let digest = (!self.refreshed_servers.is_empty()).then_some(self.next_digest);
        let others = digest.into_iter().chain(batches).chain(self.pending_calls.next_deadline());
        others.fold(self.next_expiry_scan.min(self.next_full_digest), Millis::min)
    }

    /// Takes the messages to send.
    pub fn take_sends(&mut self) -> Vec<(NodeId, DirectoryMessage)> {
        self.sends.take()
    }

    /// The cursor of an edge that knows all changes so far.
    pub fn cursor(&self) -> DirectoryCursor {
        self.change_log.cursor()
    }

    /// The servers that changed after the cursor, each once, or all servers if the log does not reach back so far.
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

    /// All known servers, tombstones included.
    pub fn records(&self) -> impl Iterator<Item = &ServerRecord> {
        self.table.iter().map(|(_, entry)| &entry.record)
    }

    /// The record of one server; `None` if it is unknown.
    pub fn record(&self, id: &str) -> Option<&ServerRecord> {
        self.table.get(ServerKey::of(id)).map(|entry| &entry.record)
    }

    /// Whether this coordinator has started so recently that the directory may lack live servers.
    pub fn is_recently_started(&self, now: Millis) -> bool {
        now.saturating_sub(self.started_at) < self.options.heartbeat_timeout_ms
    }

    /// Records that the process runs, for the detection of stalls; every timed call begins with it.
    fn record_call(&mut self, now: Millis) {
        self.quorum_contact.record_call(now, self.options.stall_ms);
    }

    /// Gives a server its address if that is free, and evicts others while the table is too large.
    fn admit(&mut self, key: ServerKey) {
        self.table.claim_address_if_free(key);
        while self.table.len() > self.options.max_servers {
            let Some(evicted) = self.table.eviction_candidate(key) else { return };
            self.forget(evicted);
            // Edges that follow by cursor never heard that it is gone: they get the whole directory.
            self.change_log.forget_changes();
        }
    }

    /// Appends a change of a server to the log that edges follow.
    fn publish_change(&mut self, key: ServerKey) {
        if let Some(entry) = self.table.get_mut(key) {
            entry.last_change = self.change_log.append(key);
        }
    }

    /// Gives a changed server a new version, by which peers acknowledge it.
    fn advance_version(&mut self, key: ServerKey, outcome: MergeOutcome) {
        if let Some(entry) = self.table.get_mut(key) {
            self.last_version += 1;
            entry.version = self.last_version;
            if outcome == MergeOutcome::StageAdvanced {
                entry.stage_version = self.last_version;
                if self.options.waits_for_disk {
                    self.durability.record_stage(key);
                }
            }
        }
    }

    /// Drops a server from the directory.
    fn forget(&mut self, key: ServerKey) {
        self.table.remove(key);
        self.durability.forget(key);
    }
}
