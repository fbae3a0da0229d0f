//! Anti-entropy: digests that report recent contact with servers and reveal records that differ.

use shaletrail_protocol::internal::Presence;
use shaletrail_protocol::{Millis, NodeId};

use super::messages::{DirectoryMessage, ServerDigest};
use super::options::MAX_DIGEST_SERVERS;
use super::server_entry::{LifecycleStage, ServerEntry, ServerKey};
use super::server_table::MergeOutcome;
use super::Directory;

impl Directory {
    /// Merges a digest from another coordinator, and requests the records for which the sender has newer data.
    pub fn receive_digest(&mut self, now: Millis, from: NodeId, servers: Vec<ServerDigest>) {
        self.record_activity(now);
        self.record_contact(from);
        let digests = servers.iter().take(MAX_DIGEST_SERVERS);
        let requested: Vec<ServerKey> = digests
            .filter(|digest| self.merge_digest_entry(now, from, digest))
            .map(|digest| digest.key)
            .collect();
        if !requested.is_empty() {
            self.send_queue.push(from, DirectoryMessage::Request { servers: requested });
        }
        self.flush_hints(now);
    }

    /// Queues the records that another coordinator requests, to be sent in batches.
    pub fn receive_request(&mut self, now: Millis, from: NodeId, servers: Vec<ServerKey>) {
        self.record_activity(now);
        self.record_contact(from);
        for key in servers.into_iter().take(MAX_DIGEST_SERVERS) {
            self.push_hint(from, key);
        }
        self.flush_hints(now);
    }

    /// Merges the entry for one server; returns whether its record must be requested.
    fn merge_digest_entry(&mut self, now: Millis, from: NodeId, digest: &ServerDigest) -> bool {
        let Some(entry) = self.table.get(digest.key) else { return digest.presence != Presence::TimedOut };
        let reported = LifecycleStage::from(digest.presence);
        let has_later_stage = reported > entry.stage();
        let has_newer_record = digest.sequence > entry.sequence() && digest.fingerprint != entry.fingerprint;
        match self.table.merge_digest(now, digest, self.options.heartbeat_timeout_ms) {
            MergeOutcome::Stale => {}
            MergeOutcome::Refreshed => self.claim_address_and_evict(digest.key),
            MergeOutcome::Changed | MergeOutcome::StageAdvanced => {
                self.publish_change(digest.key);
                self.claim_address_and_evict(digest.key);
            }
        }
        self.push_if_peer_is_behind(from, digest.key, reported);
        self.record_reported_stage(from, digest.key, reported);
        has_later_stage || has_newer_record
    }

    /// Sends a digest to all responsive peers if one is due: either of all servers, or of those that have sent this
    /// coordinator an unchanged heartbeat.
    pub(super) fn send_digests(&mut self, now: Millis) {
        let is_full_due = self.next_full_digest <= now;
        if !is_full_due && now < self.next_digest {
            return;
        }
        self.next_digest = now + self.options.digest_interval_ms;
        let refreshed = std::mem::take(&mut self.refreshed_servers);
        let servers = if is_full_due {
            self.next_full_digest = now + self.options.full_digest_interval_ms;
            self.full_digest(now)
        } else {
            // Peers treat a stage in a digest as acknowledged, so it must be on disk here.
            let synced = refreshed.into_iter().filter(|key| self.durability.is_synced(*key));
            let entries = synced.filter_map(|key| Some((key, self.table.get(key)?)));
            entries.map(|(key, entry)| ServerDigest::of(key, entry, now)).take(MAX_DIGEST_SERVERS).collect()
        };
        if servers.is_empty() {
            return;
        }
        let responsive = self.hint_queues.iter().filter(|(_, queue)| queue.is_responsive());
        for (peer, _) in responsive {
            self.send_queue.push(*peer, DirectoryMessage::Digest { servers: servers.clone() });
        }
    }

    /// The digests of all servers with recent contact, and of recent tombstones.
    fn full_digest(&self, now: Millis) -> Vec<ServerDigest> {
        let included = self.table.iter().filter(|(key, entry)| {
            self.belongs_in_full_digest(now, entry) && self.durability.is_synced(*key)
        });
        included.map(|(key, entry)| ServerDigest::of(key, entry, now)).take(MAX_DIGEST_SERVERS).collect()
    }

    fn belongs_in_full_digest(&self, now: Millis, entry: &ServerEntry) -> bool {
        match entry.record.presence {
            Presence::TimedOut => false,
            Presence::Ready => now.saturating_sub(entry.last_contact) < self.options.heartbeat_timeout_ms,
            Presence::Draining | Presence::Removed => {
                let since = entry.presence_since.max(entry.last_contact);
                now.saturating_sub(since) < self.options.tombstone_gossip_ms
            }
        }
    }
}
