//! Records on their way to the disk, and messages that wait for them.

use std::collections::VecDeque;

use shaletrail_protocol::{Millis, NodeId};

use crate::entry::Index;
use crate::message::Message;
use crate::record::Record;

/// Messages that may wait for the disk; more are dropped, as a link may do.
const MAX_WAITING: usize = 512;

/// Records handed to the driver that are not synced yet.
#[derive(Clone, Debug)]
struct Outstanding {
    ticket: u64,
    /// The end of the log as these records leave it.
    last_index: Index,
    since: Millis,
}

/// A message that promises what a ticket covers.
#[derive(Clone, Debug)]
pub(crate) struct Waiting {
    ticket: u64,
    /// Whom it is for; the own node for a vote for itself.
    pub to: NodeId,
    /// The message.
    pub message: Message,
}

/// Records handed over under one ticket.
pub(crate) struct Batch {
    /// The ticket.
    pub ticket: u64,
    /// The records, in order.
    pub records: Vec<Record>,
}

/// Keeps track of what is synced.
#[derive(Clone, Debug, Default)]
pub(crate) struct Persistence {
    records: Vec<Record>,
    issued: u64,
    done: u64,
    outstanding: VecDeque<Outstanding>,
    synced_index: Index,
    waiting: VecDeque<Waiting>,
}

impl Persistence {
    /// For a log that was restored up to `last_index`.
    pub fn restored(last_index: Index) -> Self {
        Persistence { synced_index: last_index, ..Persistence::default() }
    }

    /// Adds a record to the next batch. A hard state takes the place of one directly before it.
    pub fn record(&mut self, record: Record) {
        match (self.records.last_mut(), record) {
            (Some(Record::Hard(last)), Record::Hard(hard)) => *last = hard,
            (_, record) => self.records.push(record),
        }
    }

    /// The ticket that covers all that was recorded so far.
    pub fn covering(&self) -> u64 {
        self.issued + u64::from(!self.records.is_empty())
    }

    /// Whether all up to a ticket is synced.
    pub fn is_done(&self, ticket: u64) -> bool {
        self.done >= ticket
    }

    /// How far the log in memory is synced.
    pub fn synced_index(&self) -> Index {
        self.synced_index
    }

    /// Entries from `index` on were dropped from the log in memory.
    pub fn truncated(&mut self, index: Index) {
        let last = index.saturating_sub(1);
        self.synced_index = self.synced_index.min(last);
        for outstanding in &mut self.outstanding {
            outstanding.last_index = outstanding.last_index.min(last);
        }
    }

    /// The records since the last batch, if any.
    pub fn flush(&mut self, now: Millis, last_index: Index) -> Option<Batch> {
        if self.records.is_empty() {
            return None;
        }
        self.issued += 1;
        self.outstanding.push_back(Outstanding { ticket: self.issued, last_index, since: now });
        Some(Batch { ticket: self.issued, records: std::mem::take(&mut self.records) })
    }

    /// All up to a ticket is synced.
    pub fn persisted(&mut self, ticket: u64) {
        self.done = self.done.max(ticket.min(self.issued));
        while let Some(first) = self.outstanding.front().filter(|first| first.ticket <= self.done) {
            self.synced_index = first.last_index;
            self.outstanding.pop_front();
        }
    }

    /// Lets a message wait for a ticket.
    pub fn wait(&mut self, ticket: u64, to: NodeId, message: Message) {
        if self.waiting.len() < MAX_WAITING {
            self.waiting.push_back(Waiting { ticket, to, message });
        }
    }

    /// The next message that need not wait any longer.
    pub fn next_released(&mut self) -> Option<Waiting> {
        let place = self.waiting.iter().position(|waiting| waiting.ticket <= self.done)?;
        self.waiting.remove(place)
    }

    /// Whether records have been out for `limit` milliseconds or longer.
    pub fn is_stalled(&self, now: Millis, limit: Millis) -> bool {
        self.outstanding.front().is_some_and(|first| now >= first.since + limit)
    }
}
