//! The log of a replica in memory: a snapshot and the entries after it.
//!
//! Log Matching (Ongaro's thesis, section 3.5): two logs with an entry of one index and term are equal up to it. It
//! holds as a leader gives an index once a term, and a follower appends only behind the entry that came before.

use std::collections::VecDeque;

use crate::entry::{Entry, Index, LogPosition, Payload, Term};
use crate::record::Snapshot;
use crate::voters::VoterSet;

/// Which of the entries that a snapshot covers stay in the log.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Retention {
    /// The newest of them, up to this size.
    pub bytes: usize,
    /// All from this one on, whatever their size.
    pub first: Option<Index>,
}

/// A set of voters and the index of the entry that brought it.
#[derive(Clone, Debug)]
struct VoterSetAt {
    index: Index,
    voters: VoterSet,
}

/// The log. Entries are kept without gaps from `base` on; some may also be covered by the snapshot.
#[derive(Clone, Debug, Default)]
pub(crate) struct Log {
    snapshot: Option<Snapshot>,
    /// The entry before the first that is kept.
    base: LogPosition,
    entries: VecDeque<Entry>,
    /// Sets of voters, oldest first: the snapshot's, then those of entries after it.
    voter_sets: Vec<VoterSetAt>,
    /// The voters of an empty log.
    no_voters: VoterSet,
}

impl Log {
    /// The last entry.
    pub fn last(&self) -> LogPosition {
        self.entries.back().map_or(self.base, Entry::position)
    }

    /// The snapshot, if there is one.
    pub fn snapshot(&self) -> Option<&Snapshot> {
        self.snapshot.as_ref()
    }

    /// Index of the last entry in the snapshot, 0 if there is none.
    pub fn snapshot_index(&self) -> Index {
        self.snapshot.as_ref().map_or(0, Snapshot::index)
    }

    /// Term and index of an entry, if it is kept or directly before those that are.
    pub fn position(&self, index: Index) -> Option<LogPosition> {
        if index == self.base.index {
            return Some(self.base);
        }
        self.get(index).map(Entry::position)
    }

    /// An entry, if it is kept.
    pub fn get(&self, index: Index) -> Option<&Entry> {
        let offset = index.checked_sub(self.base.index + 1)?;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    /// Whether an entry of this index and term is in the log.
    pub fn contains(&self, position: LogPosition) -> bool {
        self.position(position.index) == Some(position)
    }

    /// The last index up to `index` whose term is not over `term`, or the base's: no later entry can match one of
    /// `term` or before.
    pub fn find_conflict_by_term(&self, index: Index, term: Term) -> Index {
        let mut index = index.min(self.last().index);
        while self.get(index).is_some_and(|entry| entry.term > term) {
            index -= 1;
        }
        index.max(self.base.index)
    }

    /// Appends an entry; it must follow on the last.
    pub fn push(&mut self, entry: Entry) {
        debug_assert_eq!(entry.index, self.last().index + 1);
        if let Payload::Voters(voters) = &entry.payload {
            self.voter_sets.push(VoterSetAt { index: entry.index, voters: voters.clone() });
        }
        self.entries.push_back(entry);
    }

    /// Drops all entries from `index` on; what a snapshot covers stays.
    pub fn truncate(&mut self, index: Index) {
        let index = index.max(self.snapshot_index() + 1);
        while self.entries.back().is_some_and(|entry| entry.index >= index) {
            self.entries.pop_back();
        }
        while self.voter_sets.last().is_some_and(|set| set.index >= index) {
            self.voter_sets.pop();
        }
    }

    /// Replaces all entries from the first's index on, as a restored record says. Entries that would leave a gap
    /// or let terms sink are left out.
    pub fn restore(&mut self, entries: Vec<Entry>) {
        let covered = self.snapshot_index();
        let mut entries = entries.into_iter().skip_while(|entry| entry.index <= covered).peekable();
        if let Some(first) = entries.peek() {
            self.truncate(first.index);
        }
        for entry in entries {
            let last = self.last();
            if entry.index == last.index + 1 && entry.term >= last.term {
                self.push(entry);
            }
        }
    }

    /// Entries from `from` on, up to `limit` bytes; one larger entry alone where `at_least_one` is set.
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

    /// Size of the entries after `index`, in bytes.
    pub fn bytes_after(&self, index: Index) -> usize {
        self.entries.iter().rev().take_while(|entry| entry.index > index).map(Entry::size).sum()
    }

    /// The voters in force: those of the last entry that names any.
    pub fn voters(&self) -> &VoterSet {
        self.voter_sets.last().map_or(&self.no_voters, |set| &set.voters)
    }

    /// Index of the entry that brought the voters in force.
    pub fn voters_index(&self) -> Index {
        self.voter_sets.last().map_or(0, |set| set.index)
    }

    /// The voters as of an index.
    pub fn voters_at(&self, index: Index) -> &VoterSet {
        let set = self.voter_sets.iter().rev().find(|set| set.index <= index);
        set.map_or(&self.no_voters, |set| &set.voters)
    }

    /// Takes over a snapshot. Entries after it stay where its last entry is in the log; else all are dropped.
    /// Entries that it covers stay as far as `retention` says. One older than the present is left out.
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

    /// Drops the entries that a snapshot covers, but for those that are retained.
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
