//! All servers known, and how what is said of one merges.

use std::collections::BTreeMap;

use shaletrail_protocol::internal::{Presence, ServerRecord};
use shaletrail_protocol::Millis;

use super::digest::ServerDigest;
use super::entry::{Entry, ServerKey, Stage};
use super::Options;

/// Who tells of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Source {
    /// The server itself.
    Server,
    /// Another coordinator.
    Peer,
}

/// What a record has changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Merged {
    /// Nothing: it was old.
    Stale,
    /// The server lives on as it was.
    Refreshed,
    /// Something that edges care about.
    Changed,
    /// The server is now draining or gone, which is final.
    Finished,
}

/// All servers known.
#[derive(Debug, Default)]
pub(super) struct Table {
    entries: BTreeMap<ServerKey, Entry>,
    /// Which server is taken to be at an address.
    addresses: BTreeMap<String, ServerKey>,
}

impl Table {
    pub(super) fn get(&self, key: ServerKey) -> Option<&Entry> {
        self.entries.get(&key)
    }

    pub(super) fn get_mut(&mut self, key: ServerKey) -> Option<&mut Entry> {
        self.entries.get_mut(&key)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = (ServerKey, &Entry)> {
        self.entries.iter().map(|(key, entry)| (*key, entry))
    }

    pub(super) fn iter_mut(&mut self) -> impl Iterator<Item = (ServerKey, &mut Entry)> {
        self.entries.iter_mut().map(|(key, entry)| (*key, entry))
    }

    pub(super) fn len(&self) -> usize {
        self.entries.len()
    }

    pub(super) fn remove(&mut self, key: ServerKey) {
        if let Some(entry) = self.entries.remove(&key) {
            self.release_address(key, &entry.record.heartbeat.address);
        }
    }

    /// Merges a record: the later stage and the higher sequence win, each for itself.
    pub(super) fn merge(
        &mut self,
        now: Millis,
        key: ServerKey,
        record: ServerRecord,
        source: Source,
    ) -> Merged {
        let Some(entry) = self.entries.get_mut(&key) else {
            let stage = Stage::from(record.presence);
            self.entries.insert(key, Entry::new(now, record));
            return if stage == Stage::Present { Merged::Changed } else { Merged::Finished };
        };
        let sequence = record.heartbeat.sequence;
        let newer = sequence > entry.sequence() || (source == Source::Server && sequence == entry.sequence());
        let alive = newer && record.presence != Presence::TimedOut;
        let later_stage = Stage::from(record.presence) > entry.stage();
        let mut changed = false;
        let former_address = entry.record.heartbeat.address.clone();
        changed |= entry.take_note(record.overlay);
        if newer || (entry.record.heartbeat.address.is_empty() && !record.heartbeat.address.is_empty()) {
            changed |= entry.update(now, record.heartbeat);
        }
        if alive {
            entry.heard = now;
        }
        if later_stage {
            entry.enter(now, record.presence);
        } else if alive && entry.is_silent() {
            changed |= entry.enter(now, Presence::Ready);
        }
        let moved = entry.record.heartbeat.address != former_address;
        if moved {
            self.release_address(key, &former_address);
        }
        match (later_stage, changed, alive) {
            (true, _, _) => Merged::Finished,
            (_, true, _) => Merged::Changed,
            (_, _, true) => Merged::Refreshed,
            _ => Merged::Stale,
        }
    }

    /// Takes a sign of life from a digest whose content is known already.
    pub(super) fn refresh(&mut self, now: Millis, said: &ServerDigest, options: &Options) -> Merged {
        let Some(entry) = self.entries.get_mut(&said.key) else { return Merged::Stale };
        if said.sequence <= entry.sequence() {
            return Merged::Stale;
        }
        entry.heard = entry.heard.max(now.saturating_sub(Millis::from(said.age_ms)));
        if said.fingerprint == entry.fingerprint {
            entry.record.heartbeat.sequence = said.sequence;
        }
        let recent = now.saturating_sub(entry.heard) < options.heartbeat_timeout_ms;
        if recent && entry.is_silent() && entry.enter(now, Presence::Ready) {
            return Merged::Changed;
        }
        Merged::Refreshed
    }

    /// Gives a server its address if nobody is there.
    pub(super) fn occupy_address(&mut self, key: ServerKey) {
        let Some(entry) = self.get(key).filter(|entry| entry.stage() != Stage::Gone) else { return };
        let address = entry.record.heartbeat.address.clone();
        let holder = self.addresses.get(&address).and_then(|holder| self.get(*holder));
        let free = holder.is_none_or(|holder| holder.stage() == Stage::Gone);
        if free && !address.is_empty() {
            self.addresses.insert(address, key);
        }
    }

    /// Makes the server gone that was at the address of another one which has just spoken itself: it must have been
    /// silent since before that one was first heard, and for at least `address_takeover_ms`. Its key is returned.
    pub(super) fn displace(
        &mut self,
        now: Millis,
        by: ServerKey,
        address_takeover_ms: Millis,
    ) -> Option<ServerKey> {
        let claimant = self.get(by).filter(|entry| entry.stage() != Stage::Gone)?;
        let (address, first_heard) = (claimant.record.heartbeat.address.clone(), claimant.first_heard);
        let holder = self.addresses.get(&address).copied().filter(|holder| *holder != by)?;
        let rival = self.get_mut(holder)?;
        if rival.heard >= first_heard || now.saturating_sub(rival.heard) < address_takeover_ms {
            return None;
        }
        rival.enter(now, Presence::Removed);
        self.addresses.insert(address, by);
        Some(holder)
    }

    /// The server that can best be spared, other than `kept`: gone before silent before all others, and the one
    /// that was heard of longest ago.
    pub(super) fn spare(&self, kept: ServerKey) -> Option<ServerKey> {
        let worth = |entry: &Entry| match entry.record.presence {
            Presence::Removed => 0,
            Presence::TimedOut => 1,
            Presence::Ready | Presence::Draining => 2,
        };
        let others = self.iter().filter(|(key, _)| *key != kept);
        others.min_by_key(|(_, entry)| (worth(entry), entry.heard)).map(|(key, _)| key)
    }

    fn release_address(&mut self, key: ServerKey, address: &str) {
        if self.addresses.get(address) == Some(&key) {
            self.addresses.remove(address);
        }
    }
}
