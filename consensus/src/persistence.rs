//! Records on their way to the disk, and messages that wait for them.
//!
//! Records leave in batches. A batch has a ticket, and a ticket counts as synced when the driver has reported it or a
//! later one.

use std::collections::VecDeque;

use shaletrail_protocol::{Millis, NodeId};

use crate::entry::Index;
use crate::message::Message;
use crate::record::Record;

/// Messages that may wait for the disk; more are dropped, as they could be on a link.
const MAX_DEFERRED_MESSAGES: usize = 512;

/// A batch that the driver has not reported as synced yet.
#[derive(Clone, Debug)]
struct UnsyncedBatch {
    ticket: u64,
    /// The end of the log as these records leave it, or less where entries of it were dropped since.
    last_index: Index,
    flushed_at: Millis,
}

/// A message that rests on the records up to a ticket.
#[derive(Clone, Debug)]
pub(crate) struct DeferredMessage {
    ticket: u64,
    /// The receiver; this node itself for its vote for itself.
    pub to: NodeId,
    pub message: Message,
}

/// Records that are handed to the driver together.
pub(crate) struct Batch {
    /// Rises by one with each batch.
    pub ticket: u64,
    /// In the order in which they have to be restored.
    pub records: Vec<Record>,
}

/// What is recorded, handed to the driver, and synced.
#[derive(Clone, Debug, Default)]
pub(crate) struct Persistence {
    /// The next batch.
    records: Vec<Record>,
    /// The last ticket that was given to a batch.
    issued_ticket: u64,
    /// The last ticket that is synced.
    synced_ticket: u64,
    /// Batches that the driver has, oldest first.
    unsynced: VecDeque<UnsyncedBatch>,
    /// How far the log in memory is synced.
    synced_index: Index,
    /// Messages that wait for a ticket, oldest first.
    deferred: VecDeque<DeferredMessage>,
}

impl Persistence {
    /// For a log that was restored up to `last_index`.
    pub fn restored(last_index: Index) -> Self {
        Persistence { synced_index: last_index, ..Persistence::default() }
    }

    /// Adds a record to the next batch. A hard state takes the place of one directly before it.
    pub fn record(&mut self, record: Record) {
        match (self.records.last_mut(), record) {
            (Some(Record::HardState(last)), Record::HardState(newer)) => *last = newer,
            (_, record) => self.records.push(record),
        }
    }

    /// The ticket that covers all that was recorded so far.
    pub fn covering_ticket(&self) -> u64 {
        self.issued_ticket + u64::from(!self.records.is_empty())
    }

    /// Whether all records up to a ticket are synced.
    pub fn is_synced(&self, ticket: u64) -> bool {
        self.synced_ticket >= ticket
    }

    /// How far the log in memory is synced.
    pub fn synced_index(&self) -> Index {
        self.synced_index
    }

    /// Entries from `index` on were dropped from the log in memory.
    pub fn on_truncated(&mut self, index: Index) {
        let last = index.saturating_sub(1);
        self.synced_index = self.synced_index.min(last);
        for unsynced in &mut self.unsynced {
            unsynced.last_index = unsynced.last_index.min(last);
        }
    }

    /// The records since the last batch as the next one, if there are any.
    pub fn flush(&mut self, now: Millis, last_index: Index) -> Option<Batch> {
        if self.records.is_empty() {
            return None;
        }
        self.issued_ticket += 1;
        self.unsynced.push_back(UnsyncedBatch { ticket: self.issued_ticket, last_index, flushed_at: now });
        Some(Batch { ticket: self.issued_ticket, records: std::mem::take(&mut self.records) })
    }

    /// The driver reports all records up to a ticket as synced.
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

    /// The next message whose ticket is synced.
    pub fn next_sendable(&mut self) -> Option<DeferredMessage> {
        let position = self.deferred.iter().position(|deferred| deferred.ticket <= self.synced_ticket)?;
        self.deferred.remove(position)
    }

    /// Whether a batch has been with the driver for `limit` milliseconds or longer.
    pub fn is_stalled(&self, now: Millis, limit: Millis) -> bool {
        self.unsynced.front().is_some_and(|first| now >= first.flushed_at + limit)
    }
}
