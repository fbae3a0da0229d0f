//! The table of all known servers, and the rules by which records merge.

use std::collections::BTreeMap;

use shaletrail_protocol::internal::{Presence, ServerRecord};
use shaletrail_protocol::Millis;

use super::messages::ServerDigest;
use super::server_entry::{LifecycleStage, ServerEntry, ServerKey};

/// The source of a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RecordSource {
    /// The server itself.
    Server,
    /// Another coordinator, or this coordinator's disk.
    Peer,
}

/// The effect of merging a record or a digest entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum MergeOutcome {
    /// None, as the record was not newer than the known one.
    Stale,
    /// The last contact was updated; edges need no update.
    Refreshed,
    /// The record changed in a way that edges must learn of.
    Changed,
    /// The server has become draining or removed, which is final.
    StageAdvanced,
}

impl MergeOutcome {
    /// Whether edges must learn of the outcome.
    pub(super) fn is_change(self) -> bool {
        matches!(self, MergeOutcome::Changed | MergeOutcome::StageAdvanced)
    }
}

/// All known servers by key, and the owner of each address.
#[derive(Debug, Default)]
pub(super) struct ServerTable {
    entries: BTreeMap<ServerKey, ServerEntry>,
    /// The server that owns each address. Another server with the same address replaces it only after it has lost
    /// contact.
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

    /// Removes a server from the table, and releases its address.
    pub(super) fn remove(&mut self, key: ServerKey) {
        if let Some(entry) = self.entries.remove(&key) {
            self.release_address(key, &entry.record.heartbeat.address);
        }
    }

    /// Merges a record. The later stage wins and, independently of it, the higher sequence number.
    ///
    /// The result does not depend on the order in which records arrive, so that all coordinators converge.
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
        let proves_contact = is_newer && record.presence != Presence::TimedOut;
        let stage_advanced = stage > entry.stage();
        let previous_address = entry.record.heartbeat.address.clone();
        let mut changed = entry.apply_overlay(record.overlay);
        if is_newer || (previous_address.is_empty() && !record.heartbeat.address.is_empty()) {
            changed |= entry.apply_heartbeat(now, record.heartbeat);
        }
        if proves_contact {
            entry.last_contact = now;
        }
        if stage_advanced {
            entry.set_presence(now, record.presence);
        } else if proves_contact && entry.is_timed_out() {
            changed |= entry.set_presence(now, Presence::Ready);
        }
        if entry.record.heartbeat.address != previous_address {
            self.release_address(key, &previous_address);
        }
        match (stage_advanced, changed, proves_contact) {
            (true, _, _) => MergeOutcome::StageAdvanced,
            (_, true, _) => MergeOutcome::Changed,
            (_, _, true) => MergeOutcome::Refreshed,
            _ => MergeOutcome::Stale,
        }
    }

    /// Merges the last contact from a digest entry. The sequence number is raised only if the content is the same;
    /// otherwise the record must still be requested, and its heartbeat must count as newer when it arrives.
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

    /// Makes a server the owner of its address, unless a server that is not removed already owns it.
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

    /// Makes a server that has just sent a heartbeat the owner of its address and removes the previous owner, whose key
    /// is returned. This is done only if the previous owner's last contact is earlier than the claimant's first contact
    /// and at least `address_takeover_ms` ago; otherwise returns `None`.
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

    /// The server to evict from a full table, never `protected`. Removed servers are evicted first, then timed-out
    /// ones, then all others; among equals the one with the earliest last contact.
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
