//! The journal on a node's disk: synced records, and pending writes that a crash may lose.

use std::collections::VecDeque;

use shaletrail_consensus::Record;

/// An in-memory disk that syncs writes in the order in which they began.
#[derive(Clone, Debug, Default)]
pub(crate) struct Disk {
    synced: Vec<Record>,
    /// Writes that are not synced, each with the ticket that the replica assigned to it.
    pending: VecDeque<(u64, Vec<Record>)>,
}

impl Disk {
    /// Starts a write, which stays pending until [`Disk::sync`].
    pub fn write(&mut self, ticket: u64, records: Vec<Record>) {
        self.pending.push_back((ticket, records));
    }

    /// Completes the oldest pending write and returns its ticket; `None` if no write is pending.
    pub fn sync(&mut self) -> Option<u64> {
        let (ticket, records) = self.pending.pop_front()?;
        self.synced.extend(records);
        Some(ticket)
    }

    /// Discards all pending writes. If the oldest one is torn, its first record is kept as synced.
    pub fn crash(&mut self, torn_write: bool) {
        if let Some((_, records)) = self.pending.pop_front().filter(|_| torn_write) {
            self.synced.extend(records.into_iter().take(1));
        }
        self.pending.clear();
    }

    /// The records that a process reads when it starts.
    pub fn synced(&self) -> &[Record] {
        &self.synced
    }

    /// Whether a write is pending.
    pub fn is_syncing(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Whether a crash can tear the oldest pending write, which requires more than one record.
    pub fn can_tear(&self) -> bool {
        self.pending.front().is_some_and(|(_, records)| records.len() > 1)
    }

    /// Whether the last synced hard state marks the replica as recovering; `None` if no hard state is synced.
    pub fn is_recovering(&self) -> Option<bool> {
        self.synced.iter().rev().find_map(|record| match record {
            Record::HardState(hard_state) => Some(hard_state.recovering),
            _ => None,
        })
    }
}
