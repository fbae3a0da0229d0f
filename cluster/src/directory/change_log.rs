//! The numbered changes from which edges are updated incrementally.

use std::collections::VecDeque;

use shaletrail_protocol::internal::DirectoryCursor;
use shaletrail_protocol::Incarnation;

use super::server_entry::ServerKey;

/// A change of one server's record; the record itself is in the table.
#[derive(Clone, Copy, Debug)]
pub(super) struct Change {
    pub(super) number: u64,
    pub(super) server: ServerKey,
}

/// The latest changes, numbered from 1 in each incarnation of the coordinator.
#[derive(Debug)]
pub(super) struct ChangeLog {
    epoch: Incarnation,
    last_number: u64,
    changes: VecDeque<Change>,
    capacity: usize,
}

impl ChangeLog {
    /// An empty log that keeps at most `capacity` changes.
    pub(super) fn new(epoch: Incarnation, capacity: usize) -> Self {
        ChangeLog { epoch, last_number: 0, changes: VecDeque::new(), capacity }
    }

    /// Appends a change and returns its number. Beyond the capacity the oldest change is dropped.
    pub(super) fn append(&mut self, server: ServerKey) -> u64 {
        self.last_number += 1;
        self.changes.push_back(Change { number: self.last_number, server });
        if self.changes.len() > self.capacity {
            self.changes.pop_front();
        }
        self.last_number
    }

    /// Drops all changes, so that every cursor returned so far is answered with a full snapshot.
    pub(super) fn invalidate_cursors(&mut self) {
        self.last_number += 1;
        self.changes.clear();
    }

    /// The cursor after the latest change.
    pub(super) fn cursor(&self) -> DirectoryCursor {
        DirectoryCursor { epoch: self.epoch, revision: self.last_number }
    }

    /// The changes after the cursor; `None` if some of them are no longer in the log or the cursor belongs to another
    /// incarnation, so that a full snapshot is needed.
    pub(super) fn since(&self, cursor: DirectoryCursor) -> Option<impl Iterator<Item = &Change> + '_> {
        let oldest = self.changes.front().map_or(self.last_number + 1, |change| change.number);
        let is_covered = cursor.epoch == self.epoch
            && cursor.revision <= self.last_number
            && cursor.revision + 1 >= oldest;
        let later = self.changes.iter().filter(move |change| change.number > cursor.revision);
        is_covered.then_some(later)
    }
}
