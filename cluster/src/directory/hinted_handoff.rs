//! Hinted handoff: changes are pushed to all peers at once, and kept as hints until each peer acknowledges them.

use shaletrail_protocol::internal::ServerRecord;
use shaletrail_protocol::{Millis, NodeId};

use super::hint_queue::Hint;
use super::messages::DirectoryMessage;
use super::server_entry::{LifecycleStage, ServerKey};
use super::server_table::{MergeOutcome, RecordSource};
use super::Directory;

impl Directory {
    /// Merges a batch from another coordinator; returns the batch number if it may be acknowledged at once. `None`
    /// means that the batch contains stages that must be on disk first; [`Directory::take_deferred_acknowledgements`] then
    /// returns the number later.
    pub fn receive_batch(
        &mut self,
        now: Millis,
        from: NodeId,
        batch: u64,
        records: Vec<ServerRecord>,
    ) -> Option<u64> {
        self.record_activity(now);
        self.record_contact(from);
        let servers: Vec<ServerKey> = records.iter().map(|record| ServerKey::of(&record.id)).collect();
        for record in records {
            self.merge_from_peer(now, from, record);
        }
        self.flush_hints(now);
        self.acknowledge_once_synced(from, batch, servers.into_iter())
    }

    /// Handles the acknowledgement of a batch by another coordinator. It covers only that batch, not earlier ones.
    pub fn receive_acknowledgement(&mut self, now: Millis, peer: NodeId, batch: u64) {
        self.record_activity(now);
        self.record_contact(peer);
        let hints = self.hint_queues.get_mut(&peer).map(|queue| queue.acknowledge(batch)).unwrap_or_default();
        for hint in hints {
            // A version below this was sent before the server entered its present stage.
            if self.table.get(hint.key).is_some_and(|entry| hint.version >= entry.stage_version) {
                self.record_acknowledgement(peer, hint.key);
            }
        }
        self.flush_hints(now);
    }

    fn merge_from_peer(&mut self, now: Millis, from: NodeId, record: ServerRecord) {
        let key = ServerKey::of(&record.id);
        let reported = LifecycleStage::from(record.presence);
        let outcome = self.table.merge(now, key, record, RecordSource::Peer);
        if outcome.is_change() {
            self.publish_change(key);
        }
        // Draining and removed are passed on, as the sender may be unable to reach the other peers. Other changes are
        // not.
        if outcome == MergeOutcome::StageAdvanced {
            self.advance_version(key, outcome);
            self.push_hints_to_all(key, &[from]);
        }
        if outcome != MergeOutcome::Stale {
            self.claim_address_and_evict(key);
        }
        self.push_if_peer_is_behind(from, key, reported);
        if !self.options.sync_before_acknowledging {
            // With `sync_before_acknowledging` a received record does not count: the sender may not have synced it yet. Only its
            // acknowledgements and digests show what it has on disk.
            self.record_reported_stage(from, key, reported);
        }
    }

    /// Queues the whole directory for a new or restarted peer.
    pub(super) fn push_full_table(&mut self, peer: NodeId) {
        let keys: Vec<ServerKey> = self.table.iter().map(|(key, _)| key).collect();
        keys.into_iter().for_each(|key| self.push_hint(peer, key));
    }

    /// Queues one server for all peers that are not in `except`.
    pub(super) fn push_hints_to_all(&mut self, key: ServerKey, except: &[NodeId]) {
        let peers: Vec<NodeId> =
            self.hint_queues.keys().copied().filter(|peer| !except.contains(peer)).collect();
        peers.into_iter().for_each(|peer| self.push_hint(peer, key));
    }

    pub(super) fn push_hint(&mut self, peer: NodeId, key: ServerKey) {
        let version = self.table.get(key).map(|entry| entry.version);
        if let (Some(queue), Some(version)) = (self.hint_queues.get_mut(&peer), version) {
            queue.push(Hint { key, version });
        }
    }

    /// Sends pending hints in batches, as many as each peer's limit on batches in flight allows.
    pub(super) fn flush_hints(&mut self, now: Millis) {
        let peers: Vec<NodeId> = self.hint_queues.keys().copied().collect();
        for peer in peers {
            while let Some(hints) = self.next_batch(now, peer) {
                let entries = hints.iter().filter_map(|hint| self.table.get(hint.key));
                let heartbeat_timeout_ms = self.options.heartbeat_timeout_ms;
                let records = entries.map(|entry| entry.record_for_peer(now, heartbeat_timeout_ms)).collect();
                self.send_queue.push(peer, DirectoryMessage::Batch { batch: self.last_batch, records });
            }
        }
    }

    fn next_batch(&mut self, now: Millis, peer: NodeId) -> Option<Vec<Hint>> {
        let hints = self.hint_queues.get_mut(&peer)?.next_batch(now, self.last_batch + 1)?;
        self.last_batch += 1;
        Some(hints)
    }

    pub(super) fn record_contact(&mut self, peer: NodeId) {
        if let Some(queue) = self.hint_queues.get_mut(&peer) {
            queue.record_contact();
        }
    }
}
