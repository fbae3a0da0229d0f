//! The state machine's side of the log: committed entries, snapshots of its state, and compaction.

use crate::effect::Effect;
use crate::entry::Index;
use crate::log::Retention;
use crate::record::{Record, Snapshot};
use crate::replica::Replica;
use crate::restore::BOOTSTRAP_INDEX;

impl Replica {
    /// Replaces the log up to `index` by `state`, the state machine's as it is after that entry. Without effect where
    /// the entry was not handed out yet, or is covered already.
    pub fn compact(&mut self, index: Index, state: Vec<u8>) {
        if index > self.applied_index || index <= self.log.snapshot_index() {
            return;
        }
        let Some(position) = self.log.position(index) else { return };
        // Not the newest voters: a change after the snapshot may still be replaced.
        let voters = self.log.voters_at(index).clone();
        let snapshot = Snapshot { position, voters, state: state.into() };
        self.persistence.record(Record::Snapshot(snapshot.clone()));
        let retention = Retention { bytes: self.options.retain_bytes, first: self.first_needed_by_peers() };
        self.log.install(snapshot, retention);
    }

    /// All that must be kept, for a checkpoint that replaces all earlier records, those included that are still
    /// on their way to the disk. Records of tickets that are not synced yet may follow it once more.
    pub fn records(&self) -> Vec<Record> {
        let mut records = vec![Record::HardState(self.hard_state.clone())];
        records.extend(self.log.snapshot().cloned().map(Record::Snapshot));
        let entries = self.log.batch(self.log.snapshot_index() + 1, usize::MAX, false);
        if !entries.is_empty() {
            records.push(Record::Entries(entries));
        }
        records
    }

    /// Takes over a snapshot that is ahead of the state machine. The log counts as not synced until the snapshot is.
    pub(crate) fn install_snapshot(&mut self, snapshot: Snapshot) {
        self.persistence.record(Record::Snapshot(snapshot.clone()));
        self.persistence.on_truncated(0);
        self.log.install(snapshot.clone(), Retention::default());
        self.commit_index = snapshot.index();
        self.applied_index = snapshot.index();
        self.apply_snapshot(snapshot);
    }

    /// Hands the state of a snapshot to the state machine, but for the empty one of the bootstrap.
    pub(crate) fn apply_snapshot(&mut self, snapshot: Snapshot) {
        if snapshot.index() > BOOTSTRAP_INDEX {
            self.effects.push(Effect::InstallSnapshot(snapshot));
        }
    }

    /// Raises the commit index, as far as the log reaches, and hands the entries out.
    pub(crate) fn commit_to(&mut self, index: Index) {
        self.commit_index = self.commit_index.max(index.min(self.log.last().index));
        while self.applied_index < self.commit_index {
            let Some(entry) = self.log.get(self.applied_index + 1).cloned() else { return };
            self.applied_index += 1;
            self.effects.push(Effect::Apply(entry));
        }
    }
}
