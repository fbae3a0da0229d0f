//! Records that are being written to disk, and messages that wait for them.
//!
//! Records are handed to the driver in batches, each identified by a ticket. A ticket counts as synced when the driver
//! has reported that ticket or a later one.

use std::collections::VecDeque;

use shaletrail_protocol::{Millis, NodeId};

use crate::entry::Index;
use crate::message::Message;
use crate::record::Record;

/// Maximum number of messages that wait for the disk. Further messages are dropped, which the protocol tolerates like a
/// loss on the network.
const MAX_DEFERRED_MESSAGES: usize = 512;

/// A batch that the driver has not reported as synced yet.
#[derive(Clone, Debug)]
struct UnsyncedBatch {
    ticket: u64,
    /// Last index of the log after these records; lowered if the log has been truncated below it since.
    last_index: Index,
    flushed_at: Millis,
}

/// A message that may be sent once the records up to a ticket are synced.
#[derive(Clone, Debug)]
pub(crate) struct DeferredMessage {
    ticket: u64,
    /// The receiver. This node itself for the vote that a candidate gives itself.
    pub to: NodeId,
    pub message: Message,
}

/// Records that are handed to the driver together.
pub(crate) struct Batch {
    /// Increases by one with each batch.
    pub ticket: u64,
    /// In the order in which they have to be replayed on restart.
    pub records: Vec<Record>,
}

/// Tracks which records were recorded, handed to the driver, and synced.
#[derive(Clone, Debug, Default)]
pub(crate) struct Persistence {
    /// The records of the next batch.
    records: Vec<Record>,
    /// The ticket of the latest batch.
    issued_ticket: u64,
    /// The latest ticket that is synced.
    synced_ticket: u64,
    /// Batches that the driver has not reported as synced, oldest first.
    unsynced: VecDeque<UnsyncedBatch>,
    /// Last index up to which the in-memory log is synced.
    synced_index: Index,
    /// Messages that wait for a ticket, oldest first.
    deferred: VecDeque<DeferredMessage>,
}

impl Persistence {
    /// The state after a restart, for a log that was restored up to `last_index`.
    pub fn restored(last_index: Index) -> Self {
        Persistence { synced_index: last_index, ..Persistence::default() }
    }

    /// Adds a record to the next batch. A hard state replaces a hard state directly before it in the batch.
    pub fn record(&mut self, record: Record) {
        match (self.records.last_mut(), record) {
            (Some(Record::HardState(last)), Record::HardState(newer)) => *last = newer,
            (_, record) => self.records.push(record),
        }
    }

    /// The ticket that covers everything recorded so far.
    pub fn covering_ticket(&self) -> u64 {
        self.issued_ticket + u64::from(!self.records.is_empty())
    }

    /// Whether the records up to a ticket are synced.
    pub fn is_synced(&self, ticket: u64) -> bool {
        self.synced_ticket >= ticket
    }

    /// Last index up to which the in-memory log is synced.
    pub fn synced_index(&self) -> Index {
        self.synced_index
    }

    /// Accounts for the removal of all entries from `index` on from the in-memory log.
    pub fn on_truncated(&mut self, index: Index) {
        let last = index.saturating_sub(1);
        self.synced_index = self.synced_index.min(last);
        for unsynced in &mut self.unsynced {
            unsynced.last_index = unsynced.last_index.min(last);
        }
    }

    /// Turns the records added since the last batch into the next batch; `None` if there are none.
    pub fn flush(&mut self, now: Millis, last_index: Index) -> Option<Batch> {
        if self.records.is_empty() {
            return None;
        }
        self.issued_ticket += 1;
        self.unsynced.push_back(UnsyncedBatch { ticket: self.issued_ticket, last_index, flushed_at: now });
        Some(Batch { ticket: self.issued_ticket, records: std::mem::take(&mut self.records) })
    }

    /// Marks all records up to a ticket as synced.
    pub fn on_persisted(&mut self, ticket: u64) {
        self.synced_ticket = self.synced_ticket.max(ticket.min(self.issued_ticket));
        while let Some(first) = self.unsynced.front().filter(|first| first.ticket <= self.synced_ticket) {
            self.synced_index = first.last_index;
            self.unsynced.pop_front();
        }
    }

    /// Holds a message back until a ticket is synced.
    pub fn defer(&mut self, ticket: u64, to: NodeId, message: Message) {
        if self.deferred.len() < MAX_DEFERRED_MESSAGES {
            self.deferred.push_back(DeferredMessage { ticket, to, message });
        }
    }

    /// Removes and returns the oldest message whose ticket is synced.
    pub fn next_sendable(&mut self) -> Option<DeferredMessage> {
        let position = self.deferred.iter().position(|deferred| deferred.ticket <= self.synced_ticket)?;
        self.deferred.remove(position)
    }

    /// Whether the driver has had an unsynced batch for at least `limit` milliseconds.
    pub fn is_stalled(&self, now: Millis, limit: Millis) -> bool {
        self.unsynced.front().is_some_and(|first| now >= first.flushed_at + limit)
    }
}
