//! The journal of a node's disk: records that are synced and records that a crash may lose.

use std::collections::VecDeque;

use shaletrail_consensus::Record;

/// A disk. Writes sync in their order.
#[derive(Clone, Debug, Default)]
pub(crate) struct Disk {
    synced: Vec<Record>,
    /// Writes that are not synced, each with the ticket by which the replica knows it.
    pending: VecDeque<(u64, Vec<Record>)>,
}

impl Disk {
    /// Begins a write.
    pub fn write(&mut self, ticket: u64, records: Vec<Record>) {
        self.pending.push_back((ticket, records));
    }

    /// Completes the oldest write, if any is pending; its ticket.
    pub fn sync(&mut self) -> Option<u64> {
        let (ticket, records) = self.pending.pop_front()?;
        self.synced.extend(records);
        Some(ticket)
    }

    /// Loses what isn't synced, but for the first record of the oldest write where it is torn.
    pub fn crash(&mut self, torn_write: bool) {
        if let Some((_, records)) = self.pending.pop_front().filter(|_| torn_write) {
            self.synced.extend(records.into_iter().take(1));
        }
        self.pending.clear();
    }

    /// The records that a process finds when it starts.
    pub fn synced(&self) -> &[Record] {
        &self.synced
    }

    /// Whether a write is pending.
    pub fn is_syncing(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Whether the oldest write has several records, of which a crash may keep the first.
    pub fn can_tear(&self) -> bool {
        self.pending.front().is_some_and(|(_, records)| records.len() > 1)
    }

    /// Whether the replica is recovering according to its last synced hard state; `None` if none is synced.
    pub fn is_recovering(&self) -> Option<bool> {
        self.synced.iter().rev().find_map(|record| match record {
            Record::HardState(hard_state) => Some(hard_state.recovering),
            _ => None,
        })
    }
}
