//! The in-memory log of a replica: a snapshot and the entries after it.
//!
//! Log Matching (Ongaro's thesis, section 3.5): if two logs contain an entry with the same index and term, they are
//! identical up to that entry. This holds because a leader creates at most one entry per index in its term, and a
//! follower appends an entry only after the entry that precedes it in the leader's log.

use std::collections::VecDeque;

use crate::entry::{Entry, Index, LogPosition, Payload, Term};
use crate::record::Snapshot;
use crate::voters::VoterSet;

/// Which entries that are covered by a snapshot are kept in the log.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Retention {
    /// Keeps the latest covered entries up to this total size, in bytes.
    pub bytes: usize,
    /// Keeps all covered entries from this index on, whatever their size.
    pub first: Option<Index>,
}

/// A voter set and the index of the entry that introduced it.
#[derive(Clone, Debug)]
struct VoterSetAt {
    index: Index,
    voters: VoterSet,
}

/// The log. `entries` holds all entries after `base` without gaps. Some of them may also be covered by the snapshot.
#[derive(Clone, Debug, Default)]
pub(crate) struct Log {
    snapshot: Option<Snapshot>,
    /// Position of the entry before the first one in `entries`.
    base: LogPosition,
    entries: VecDeque<Entry>,
    /// Voter sets, oldest first: that of the snapshot, then those introduced by entries after it.
    voter_sets: Vec<VoterSetAt>,
    /// The voter set of a log that contains none; always empty.
    no_voters: VoterSet,
}

impl Log {
    /// Position of the last entry.
    pub fn last_position(&self) -> LogPosition {
        self.entries.back().map_or(self.base, Entry::position)
    }

    /// The latest snapshot; `None` if there is none.
    pub fn snapshot(&self) -> Option<&Snapshot> {
        self.snapshot.as_ref()
    }

    /// Index of the last entry covered by the snapshot, 0 if there is no snapshot.
    pub fn snapshot_index(&self) -> Index {
        self.snapshot.as_ref().map_or(0, Snapshot::index)
    }

    /// Term and index of an entry. `None` unless the entry is kept or is the one directly before the kept entries.
    pub fn position(&self, index: Index) -> Option<LogPosition> {
        if index == self.base.index {
            return Some(self.base);
        }
        self.get(index).map(Entry::position)
    }

    /// The entry at `index`, if it is kept.
    pub fn get(&self, index: Index) -> Option<&Entry> {
        let offset = index.checked_sub(self.base.index + 1)?;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    /// Whether the log contains an entry with this index and term.
    pub fn contains(&self, position: LogPosition) -> bool {
        self.position(position.index) == Some(position)
    }

    /// The last index up to `index` whose term is at most `term`, or the index of `base` if there is none. Entries of a
    /// higher term cannot match a log whose terms up to `index` are at most `term`.
    pub fn find_conflict_by_term(&self, index: Index, term: Term) -> Index {
        let mut index = index.min(self.last_position().index);
        while self.get(index).is_some_and(|entry| entry.term > term) {
            index -= 1;
        }
        index.max(self.base.index)
    }

    /// Appends an entry, which must directly follow the last one.
    pub fn push(&mut self, entry: Entry) {
        debug_assert_eq!(entry.index, self.last_position().index + 1);
        if let Payload::Voters(voters) = &entry.payload {
            self.voter_sets.push(VoterSetAt { index: entry.index, voters: voters.clone() });
        }
        self.entries.push_back(entry);
    }

    /// Removes all entries from `index` on, except those covered by the snapshot.
    pub fn truncate(&mut self, index: Index) {
        let index = index.max(self.snapshot_index() + 1);
        while self.entries.back().is_some_and(|entry| entry.index >= index) {
            self.entries.pop_back();
        }
        while self.voter_sets.last().is_some_and(|set| set.index >= index) {
            self.voter_sets.pop();
        }
    }

    /// Replays a stored record of entries: they replace all entries from the index of the first one on. Entries that
    /// would leave a gap or decrease the term are skipped.
    pub fn restore(&mut self, entries: Vec<Entry>) {
        let covered = self.snapshot_index();
        let mut entries = entries.into_iter().skip_while(|entry| entry.index <= covered).peekable();
        if let Some(first) = entries.peek() {
            self.truncate(first.index);
        }
        for entry in entries {
            let last = self.last_position();
            if entry.index == last.index + 1 && entry.term >= last.term {
                self.push(entry);
            }
        }
    }

    /// Entries from `from` on, up to a total of `limit` bytes. If `at_least_one` is set, returns the first entry even
    /// if it is larger.
    pub fn batch(&self, from: Index, limit: usize, at_least_one: bool) -> Vec<Entry> {
        let mut batch = Vec::new();
        let mut size = 0;
        let mut index = from;
        while let Some(entry) = self.get(index) {
            size += entry.size();
            if size > limit && !(at_least_one && batch.is_empty()) {
                break;
            }
            batch.push(entry.clone());
            index += 1;
        }
        batch
    }

    /// Total size of the entries after `index`, in bytes.
    pub fn bytes_after(&self, index: Index) -> usize {
        self.entries.iter().rev().take_while(|entry| entry.index > index).map(Entry::size).sum()
    }

    /// The voter set in effect: that of the last entry that introduced one.
    pub fn voters(&self) -> &VoterSet {
        self.voter_sets.last().map_or(&self.no_voters, |set| &set.voters)
    }

    /// Index of the entry that introduced the voter set in effect.
    pub fn voters_index(&self) -> Index {
        self.voter_sets.last().map_or(0, |set| set.index)
    }

    /// The voter set in effect at `index`.
    pub fn voters_at(&self, index: Index) -> &VoterSet {
        let set = self.voter_sets.iter().rev().find(|set| set.index <= index);
        set.map_or(&self.no_voters, |set| &set.voters)
    }

    /// Installs a snapshot. Entries after it are kept if the log contains its last entry, and dropped otherwise.
    /// Entries covered by it are kept as specified by `retention`. A snapshot older than the current one is ignored.
    pub fn install(&mut self, snapshot: Snapshot, retention: Retention) {
        if snapshot.index() < self.snapshot_index() {
            return;
        }
        if self.contains(snapshot.position) {
            self.trim_covered(&snapshot, retention);
        } else {
            self.entries.clear();
            self.voter_sets.clear();
            self.base = snapshot.position;
        }
        self.voter_sets.retain(|set| set.index > snapshot.index());
        self.voter_sets.insert(0, VoterSetAt { index: snapshot.index(), voters: snapshot.voters.clone() });
        self.snapshot = Some(snapshot);
    }

    /// Drops the entries covered by a snapshot, except those to be retained.
    fn trim_covered(&mut self, snapshot: &Snapshot, retention: Retention) {
        let mut size = 0;
        let covered = self.entries.iter().rev().skip_while(|entry| entry.index > snapshot.index());
        let retained = covered.take_while(|entry| {
            size += entry.size();
            size <= retention.bytes
        });
        let first_by_size = retained.last().map_or(snapshot.index() + 1, |entry| entry.index);
        let first_retained = retention.first.map_or(first_by_size, |first| first.min(first_by_size));
        while self.entries.front().is_some_and(|entry| entry.index < first_retained) {
            if let Some(entry) = self.entries.pop_front() {
                self.base = entry.position();
            }
        }
    }
}
