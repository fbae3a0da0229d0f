//! All known servers, and how records of different sources merge.

use std::collections::BTreeMap;

use shaletrail_protocol::internal::{Presence, ServerRecord};
use shaletrail_protocol::Millis;

use super::messages::ServerDigest;
use super::server_entry::{LifecycleStage, ServerEntry, ServerKey};

/// Who sent a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RecordSource {
    /// The server itself.
    Server,
    /// Another coordinator, or this one's own storage.
    Peer,
}

/// The effect of a merged record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum MergeOutcome {
    /// None: the record was old.
    Stale,
    /// A sign of life, without other changes.
    Refreshed,
    /// A change that edges need to know.
    Changed,
    /// The server has become draining or was removed, which is final.
    StageAdvanced,
}

impl MergeOutcome {
    /// Whether edges need to know.
    pub(super) fn is_change(self) -> bool {
        matches!(self, MergeOutcome::Changed | MergeOutcome::StageAdvanced)
    }
}

/// All known servers by their keys, and who owns which address.
#[derive(Debug, Default)]
pub(super) struct ServerTable {
    entries: BTreeMap<ServerKey, ServerEntry>,
    /// The server that owns each address.
    address_owners: BTreeMap<String, ServerKey>,
}

impl ServerTable {
    pub(super) fn get(&self, key: ServerKey) -> Option<&ServerEntry> {
        self.entries.get(&key)
    }

    pub(super) fn get_mut(&mut self, key: ServerKey) -> Option<&mut ServerEntry> {
        self.entries.get_mut(&key)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = (ServerKey, &ServerEntry)> {
        self.entries.iter().map(|(key, entry)| (*key, entry))
    }

    pub(super) fn iter_mut(&mut self) -> impl Iterator<Item = (ServerKey, &mut ServerEntry)> {
        self.entries.iter_mut().map(|(key, entry)| (*key, entry))
    }

    pub(super) fn len(&self) -> usize {
        self.entries.len()
    }

    /// Removes a server and releases its address.
    pub(super) fn remove(&mut self, key: ServerKey) {
        if let Some(entry) = self.entries.remove(&key) {
            self.release_address(key, &entry.record.heartbeat.address);
        }
    }

    /// Merges a record: the later stage and the higher sequence win, independently of each other.
    ///
    /// The result does not depend on the order in which records arrive, so all coordinators converge.
    pub(super) fn merge(
        &mut self,
        now: Millis,
        key: ServerKey,
        record: ServerRecord,
        source: RecordSource,
    ) -> MergeOutcome {
        let stage = LifecycleStage::from(record.presence);
        let Some(entry) = self.entries.get_mut(&key) else {
            self.entries.insert(key, ServerEntry::new(now, record));
            return match stage {
                LifecycleStage::Active => MergeOutcome::Changed,
                LifecycleStage::Draining | LifecycleStage::Removed => MergeOutcome::StageAdvanced,
            };
        };
        let sequence = record.heartbeat.sequence;
        let is_newer =
            sequence > entry.sequence() || (source == RecordSource::Server && sequence == entry.sequence());
        let is_alive = is_newer && record.presence != Presence::TimedOut;
        let stage_advanced = stage > entry.stage();
        let former_address = entry.record.heartbeat.address.clone();
        let mut changed = entry.apply_overlay(record.overlay);
        if is_newer || (former_address.is_empty() && !record.heartbeat.address.is_empty()) {
            changed |= entry.apply_heartbeat(now, record.heartbeat);
        }
        if is_alive {
            entry.last_contact = now;
        }
        if stage_advanced {
            entry.set_presence(now, record.presence);
        } else if is_alive && entry.is_timed_out() {
            changed |= entry.set_presence(now, Presence::Ready);
        }
        if entry.record.heartbeat.address != former_address {
            self.release_address(key, &former_address);
        }
        match (stage_advanced, changed, is_alive) {
            (true, _, _) => MergeOutcome::StageAdvanced,
            (_, true, _) => MergeOutcome::Changed,
            (_, _, true) => MergeOutcome::Refreshed,
            _ => MergeOutcome::Stale,
        }
    }

    /// Merges the sign of life in a digest. The sequence is raised only where the record is the same, as otherwise
    /// the record itself must still be requested.
    pub(super) fn merge_digest(
        &mut self,
        now: Millis,
        digest: &ServerDigest,
        heartbeat_timeout_ms: Millis,
    ) -> MergeOutcome {
        let Some(entry) = self.entries.get_mut(&digest.key) else { return MergeOutcome::Stale };
        if digest.sequence <= entry.sequence() {
            return MergeOutcome::Stale;
        }
        entry.last_contact = entry.last_contact.max(now.saturating_sub(Millis::from(digest.age_ms)));
        if digest.fingerprint == entry.fingerprint {
            entry.record.heartbeat.sequence = digest.sequence;
        }
        let is_recent = now.saturating_sub(entry.last_contact) < heartbeat_timeout_ms;
        if is_recent && entry.is_timed_out() && entry.set_presence(now, Presence::Ready) {
            return MergeOutcome::Changed;
        }
        MergeOutcome::Refreshed
    }

    /// Makes a server the owner of its address, unless another one that is not removed owns it.
    pub(super) fn claim_address_if_free(&mut self, key: ServerKey) {
        let Some(entry) = self.get(key).filter(|entry| entry.stage() != LifecycleStage::Removed) else {
            return;
        };
        let address = entry.record.heartbeat.address.clone();
        let owner = self.address_owners.get(&address).and_then(|owner| self.get(*owner));
        let is_free = owner.is_none_or(|owner| owner.stage() == LifecycleStage::Removed);
        if is_free && !address.is_empty() {
            self.address_owners.insert(address, key);
        }
    }

    /// Gives a server that has just sent a heartbeat its address, and removes the former owner, whose key is
    /// returned. The former owner's last contact must be older than the claimant's first one, and at least
    /// `address_takeover_ms` ago.
    pub(super) fn take_over_address(
        &mut self,
        now: Millis,
        claimant_key: ServerKey,
        address_takeover_ms: Millis,
    ) -> Option<ServerKey> {
        let claimant = self.get(claimant_key).filter(|entry| entry.stage() != LifecycleStage::Removed)?;
        let address = claimant.record.heartbeat.address.clone();
        let first_contact = claimant.first_contact;
        let owner_key =
            self.address_owners.get(&address).copied().filter(|owner_key| *owner_key != claimant_key)?;
        let owner = self.get_mut(owner_key)?;
        let is_overdue = now.saturating_sub(owner.last_contact) >= address_takeover_ms;
        if owner.last_contact >= first_contact || !is_overdue {
            return None;
        }
        owner.set_presence(now, Presence::Removed);
        self.address_owners.insert(address, claimant_key);
        Some(owner_key)
    }

    /// The server to evict from a full table, other than `protected`: removed ones before timed-out ones before all
    /// others, and among these the one with the oldest contact.
    pub(super) fn eviction_candidate(&self, protected: ServerKey) -> Option<ServerKey> {
        let rank = |entry: &ServerEntry| match entry.record.presence {
            Presence::Removed => 0,
            Presence::TimedOut => 1,
            Presence::Ready | Presence::Draining => 2,
        };
        let others = self.iter().filter(|(key, _)| *key != protected);
        others.min_by_key(|(_, entry)| (rank(entry), entry.last_contact)).map(|(key, _)| key)
    }

    fn release_address(&mut self, key: ServerKey, address: &str) {
        if self.address_owners.get(address) == Some(&key) {
            self.address_owners.remove(address);
        }
    }
}
