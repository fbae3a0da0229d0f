//! A log of the items that recent changes modified, so that an update since a version contains only those items.

use std::collections::{BTreeSet, VecDeque};

use bitcode::{Decode, Encode};
use shaletrail_protocol::internal::ItemKey;

/// Limit on the number of keys plus the number of entries in the log.
const MAX_KEYS_AND_ENTRIES: usize = 4096;

/// Limit on the total length of the keys in the log, in bytes. Every snapshot contains the log.
const MAX_KEY_BYTES: usize = 1 << 20;

/// The most recent changes and the items that each of them modified, oldest first.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct ChangeLog {
    entries: VecDeque<ChangeLogEntry>,
    /// Number of keys plus number of entries; at most [`MAX_KEYS_AND_ENTRIES`].
    keys_and_entries: usize,
    /// Total length of the keys; at most [`MAX_KEY_BYTES`].
    key_bytes: usize,
}

/// The items that one change added, replaced or removed.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub(crate) struct ChangeLogEntry {
    /// The version that the change was based on; strictly increasing from entry to entry.
    pub(crate) base_version: u64,
    pub(crate) keys: Vec<ItemKey>,
}

impl ChangeLogEntry {
    /// The entry's contribution to [`MAX_KEYS_AND_ENTRIES`].
    fn keys_and_entries(&self) -> usize {
        self.keys.len() + 1
    }

    /// The entry's contribution to [`MAX_KEY_BYTES`].
    fn key_bytes(&self) -> usize {
        self.keys.iter().map(|key| key.list.len() + key.name.len()).sum()
    }
}

impl ChangeLog {
    /// Appends an entry and evicts the oldest entries while the log exceeds a limit.
    pub(crate) fn push(&mut self, entry: ChangeLogEntry) {
        self.keys_and_entries += entry.keys_and_entries();
        self.key_bytes += entry.key_bytes();
        self.entries.push_back(entry);
        while self.keys_and_entries > MAX_KEYS_AND_ENTRIES || self.key_bytes > MAX_KEY_BYTES {
            let Some(oldest) = self.entries.pop_front() else { return };
            self.keys_and_entries -= oldest.keys_and_entries();
            self.key_bytes -= oldest.key_bytes();
        }
    }

    /// Returns the distinct keys of the items that were modified since a version, or `None` if no change in the log was
    /// based on that version.
    pub(crate) fn keys_since(&self, version: u64) -> Option<BTreeSet<&ItemKey>> {
        let first = self.entries.binary_search_by_key(&version, |entry| entry.base_version).ok()?;
        Some(self.entries.range(first..).flat_map(|entry| &entry.keys).collect())
    }

    /// Returns all entries, oldest first.
    pub(crate) fn entries(&self) -> impl Iterator<Item = &ChangeLogEntry> {
        self.entries.iter()
    }
}

impl FromIterator<ChangeLogEntry> for ChangeLog {
    fn from_iter<I: IntoIterator<Item = ChangeLogEntry>>(entries: I) -> Self {
        let mut log = ChangeLog::default();
        entries.into_iter().for_each(|entry| log.push(entry));
        log
    }
}
