//! What a directory sends the other coordinators, and when.

use shaletrail_protocol::internal::Presence;
use shaletrail_protocol::{Millis, NodeId};

use super::entry::ServerKey;
use super::options::MAX_DIGEST_SERVERS;
use super::outbox::Hint;
use super::{Directory, DirectoryMessage, ServerDigest};

/// Messages waiting to be taken, at most; further ones are dropped, as on a lossy link.
const SENDS_KEPT: usize = 1024;

impl Directory {
    pub(super) fn queue_everything(&mut self, peer: NodeId) {
        let keys: Vec<ServerKey> = self.table.iter().map(|(key, _)| key).collect();
        keys.into_iter().for_each(|key| self.queue(peer, key));
    }

    pub(super) fn queue_for_all(&mut self, key: ServerKey, except: &[NodeId]) {
        let peers: Vec<NodeId> = self.peers.keys().copied().filter(|peer| !except.contains(peer)).collect();
        peers.into_iter().for_each(|peer| self.queue(peer, key));
    }

    pub(super) fn queue(&mut self, peer: NodeId, key: ServerKey) {
        let version = self.table.get(key).map(|entry| entry.version);
        if let (Some(outbox), Some(version)) = (self.peers.get_mut(&peer), version) {
            outbox.queue(Hint { key, version });
        }
    }

    /// Sends what waits for the others, as far as they keep up.
    pub(super) fn flush(&mut self, now: Millis) {
        let peers: Vec<NodeId> = self.peers.keys().copied().collect();
        for peer in peers {
            while let Some(hints) = self.next_batch(now, peer) {
                let entries = hints.iter().filter_map(|hint| self.table.get(hint.key));
                let records =
                    entries.map(|entry| entry.for_peer(now, self.options.heartbeat_timeout_ms)).collect();
                self.send(peer, DirectoryMessage::Batch { batch: self.last_batch, records });
            }
        }
    }

    fn next_batch(&mut self, now: Millis, peer: NodeId) -> Option<Vec<Hint>> {
        let hints = self.peers.get_mut(&peer)?.next_batch(now, self.last_batch + 1)?;
        self.last_batch += 1;
        Some(hints)
    }

    pub(super) fn send_digests(&mut self, now: Millis) {
        let summary = self.next_summary <= now;
        if !summary && now < self.next_digest {
            return;
        }
        self.next_digest = now + self.options.digest_interval_ms;
        let heard = std::mem::take(&mut self.heard);
        let servers = if summary {
            self.next_summary = now + self.options.full_digest_interval_ms;
            self.summary(now)
        } else {
            let entries = heard.into_iter().filter_map(|key| Some((key, self.table.get(key)?)));
            entries.map(|(key, entry)| ServerDigest::of(key, entry, now)).take(MAX_DIGEST_SERVERS).collect()
        };
        if servers.is_empty() {
            return;
        }
        let answering = self.peers.iter().filter(|(_, outbox)| outbox.is_answering());
        let receivers: Vec<NodeId> = answering.map(|(peer, _)| *peer).collect();
        for peer in receivers {
            self.send(peer, DirectoryMessage::Digest { servers: servers.clone() });
        }
    }

    /// All servers with a sign of life, and those that have lately left.
    fn summary(&self, now: Millis) -> Vec<ServerDigest> {
        let told = self.table.iter().filter(|(_, entry)| match entry.record.presence {
            Presence::TimedOut => false,
            Presence::Ready => now.saturating_sub(entry.heard) < self.options.heartbeat_timeout_ms,
            Presence::Draining | Presence::Removed => {
                now.saturating_sub(entry.since.max(entry.heard)) < self.options.tombstone_gossip_ms
            }
        });
        told.map(|(key, entry)| ServerDigest::of(key, entry, now)).take(MAX_DIGEST_SERVERS).collect()
    }

    pub(super) fn send(&mut self, to: NodeId, message: DirectoryMessage) {
        if self.sends.len() < SENDS_KEPT {
            self.sends.push((to, message));
        }
    }
}
