//! Connects the log to the state machine: applying committed entries, installing snapshots, and log compaction.

use crate::effect::Effect;
use crate::entry::Index;
use crate::log::Retention;
use crate::record::{Record, Snapshot};
use crate::replica::Replica;
use crate::restore::BOOTSTRAP_INDEX;

impl Replica {
    /// Compacts the log: replaces the entries up to `index` by a snapshot. `state` is the encoded state machine after
    /// the entry at `index` was applied. Does nothing if that entry has not been handed out as [`Effect::Apply`] yet,
    /// or if a snapshot already covers it.
    pub fn compact(&mut self, index: Index, state: Vec<u8>) {
        if index > self.applied_index || index <= self.log.snapshot_index() {
            return;
        }
        let Some(position) = self.log.position(index) else { return };
        // The voters as of `index`, not the latest ones: a membership change after the snapshot may still be rolled
        // back.
        let voters = self.log.voters_at(index).clone();
        let snapshot = Snapshot { position, voters, state: state.into() };
        self.persistence.record(Record::Snapshot(snapshot.clone()));
        let retention = Retention { bytes: self.options.retain_bytes, first: self.first_needed_by_peers() };
        self.log.install(snapshot, retention);
    }

    /// All state that has to be kept, for a checkpoint that replaces every earlier record, including records that are
    /// still being synced. Records of tickets that are not synced yet may be written again after the checkpoint.
    ///
    /// The entries are divided among records of up to [`Options::max_append_bytes`](crate::Options::max_append_bytes),
    /// because the whole log may exceed the maximum size of a stored record.
    pub fn records(&self) -> Vec<Record> {
        let mut records = vec![Record::HardState(self.hard_state.clone())];
        records.extend(self.log.snapshot().cloned().map(Record::Snapshot));
        let mut next = self.log.snapshot_index() + 1;
        loop {
            let entries = self.log.batch(next, self.options.max_append_bytes, true);
            if entries.is_empty() {
                return records;
            }
            next += entries.len() as Index;
            records.push(Record::Entries(entries));
        }
    }

    /// Installs a snapshot that is ahead of the state machine. The log counts as not synced until the snapshot is
    /// synced.
    pub(crate) fn install_snapshot(&mut self, snapshot: Snapshot) {
        self.persistence.record(Record::Snapshot(snapshot.clone()));
        self.persistence.on_truncated(0);
        self.log.install(snapshot.clone(), Retention::default());
        self.commit_index = snapshot.index();
        self.applied_index = snapshot.index();
        self.apply_snapshot(snapshot);
    }

    /// Passes the snapshot to the state machine, unless it is the empty bootstrap snapshot.
    pub(crate) fn apply_snapshot(&mut self, snapshot: Snapshot) {
        if snapshot.index() > BOOTSTRAP_INDEX {
            self.effects.push(Effect::InstallSnapshot(snapshot));
        }
    }

    /// Advances the commit index to `index`, or to the end of the log if that comes first, and hands the newly
    /// committed entries to the state machine.
    pub(crate) fn commit_to(&mut self, index: Index) {
        self.commit_index = self.commit_index.max(index.min(self.log.last_position().index));
        while self.applied_index < self.commit_index {
            let Some(entry) = self.log.get(self.applied_index + 1).cloned() else { return };
            self.applied_index += 1;
            self.effects.push(Effect::Apply(entry));
        }
    }
}
