//! What was changed and what was taken, as far back as memory is given to it.

use std::collections::{BTreeSet, HashSet, VecDeque};

use bitcode::{Decode, Encode};
use shaletrail_protocol::internal::ItemKey;

use crate::content::ContentHash;

/// Changed items that are remembered.
const MOST_KEYS: usize = 4096;
/// Changes that are remembered as taken.
const MOST_TAKEN: usize = 4096;

/// Which items each of the latest changes touched.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct ChangeLog {
    entries: VecDeque<LogEntry>,
    weight: usize,
}

/// The items that one change added, replaced or removed.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub(crate) struct LogEntry {
    /// The version that the change built on.
    pub(crate) base: u64,
    /// The items.
    pub(crate) keys: Vec<ItemKey>,
}

impl LogEntry {
    /// Its share of [`MOST_KEYS`].
    fn weight(&self) -> usize {
        self.keys.len() + 1
    }
}

impl ChangeLog {
    /// Remembers a change; the oldest ones go where it gets too much.
    pub(crate) fn push(&mut self, entry: LogEntry) {
        self.weight += entry.weight();
        self.entries.push_back(entry);
        while self.weight > MOST_KEYS {
            let Some(oldest) = self.entries.pop_front() else { return };
            self.weight -= oldest.weight();
        }
    }

    /// Items touched since a version, each once; `None` if that version is not remembered.
    pub(crate) fn since(&self, version: u64) -> Option<BTreeSet<&ItemKey>> {
        let first = self.entries.binary_search_by_key(&version, |entry| entry.base).ok()?;
        Some(self.entries.range(first..).flat_map(|entry| &entry.keys).collect())
    }

    /// All that is remembered, oldest first.
    pub(crate) fn entries(&self) -> impl Iterator<Item = &LogEntry> {
        self.entries.iter()
    }
}

impl FromIterator<LogEntry> for ChangeLog {
    fn from_iter<I: IntoIterator<Item = LogEntry>>(entries: I) -> Self {
        let mut log = ChangeLog::default();
        entries.into_iter().for_each(|entry| log.push(entry));
        log
    }
}

/// A change that was taken.
#[derive(Clone, Copy, Debug, PartialEq, Encode, Decode)]
pub(crate) struct TakenChange {
    /// The version that it built on; rises from one taken change to the next.
    pub(crate) base: u64,
    /// What it was.
    pub(crate) content: ContentHash,
}

/// The latest changes that were taken.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Taken {
    order: VecDeque<TakenChange>,
    contents: HashSet<ContentHash>,
    /// The base of the newest change that was forgotten.
    forgotten: Option<u64>,
}

impl Taken {
    /// As it was saved: what is remembered, oldest first, and the base of the newest change that is not.
    pub(crate) fn restore(changes: Vec<TakenChange>, forgotten: Option<u64>) -> Self {
        let mut taken = Taken { forgotten, ..Taken::default() };
        changes.into_iter().for_each(|change| taken.push(change));
        taken
    }

    /// Whether a change was taken and is remembered.
    pub(crate) fn contains(&self, content: ContentHash) -> bool {
        self.contents.contains(&content)
    }

    /// Whether a change that built on `base` may have been taken and is not remembered any more.
    pub(crate) fn may_have_forgotten(&self, base: u64) -> bool {
        self.forgotten.is_some_and(|newest| base <= newest)
    }

    /// Remembers a change; the oldest one goes where there are too many.
    pub(crate) fn push(&mut self, change: TakenChange) {
        if !self.contents.insert(change.content) {
            return;
        }
        self.order.push_back(change);
        if self.order.len() > MOST_TAKEN {
            if let Some(oldest) = self.order.pop_front() {
                self.contents.remove(&oldest.content);
                self.forgotten = Some(oldest.base);
            }
        }
    }

    /// All that is remembered, oldest first.
    pub(crate) fn iter(&self) -> impl Iterator<Item = TakenChange> + '_ {
        self.order.iter().copied()
    }

    /// The base of the newest change that was forgotten.
    pub(crate) fn forgotten(&self) -> Option<u64> {
        self.forgotten
    }
}
