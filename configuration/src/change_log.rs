//! Which items the latest changes touched, so that updates since a version hold only those.

use std::collections::{BTreeSet, VecDeque};

use bitcode::{Decode, Encode};
use shaletrail_protocol::internal::ItemKey;

/// Bound of the log: the number of keys and entries together.
const MAX_KEYS_AND_ENTRIES: usize = 4096;

/// The latest changes with the items that each of them touched, oldest first.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct ChangeLog {
    entries: VecDeque<ChangeLogEntry>,
    keys_and_entries: usize,
}

/// The items that one change added, replaced or removed.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub(crate) struct ChangeLogEntry {
    /// The version that the change built on; rises from entry to entry.
    pub(crate) base_version: u64,
    /// Keys of the items.
    pub(crate) keys: Vec<ItemKey>,
}

impl ChangeLogEntry {
    /// The entry's part of [`MAX_KEYS_AND_ENTRIES`].
    fn weight(&self) -> usize {
        self.keys.len() + 1
    }
}

impl ChangeLog {
    /// Appends an entry, and drops the oldest ones while the log is over its bound.
    pub(crate) fn push(&mut self, entry: ChangeLogEntry) {
        self.keys_and_entries += entry.weight();
        self.entries.push_back(entry);
        while self.keys_and_entries > MAX_KEYS_AND_ENTRIES {
            let Some(oldest) = self.entries.pop_front() else { return };
            self.keys_and_entries -= oldest.weight();
        }
    }

    /// Keys of the items touched since a version, each once; `None` if no change in the log built on that version.
    pub(crate) fn keys_since(&self, version: u64) -> Option<BTreeSet<&ItemKey>> {
        let first = self.entries.binary_search_by_key(&version, |entry| entry.base_version).ok()?;
        Some(self.entries.range(first..).flat_map(|entry| &entry.keys).collect())
    }

    /// All entries, oldest first.
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
