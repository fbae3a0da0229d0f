//! The numbered changes that edges are told.

use std::collections::VecDeque;

use shaletrail_protocol::internal::DirectoryCursor;
use shaletrail_protocol::Incarnation;

use super::entry::ServerKey;

/// A change of one server.
#[derive(Clone, Copy, Debug)]
pub(super) struct Change {
    pub(super) number: u64,
    pub(super) server: ServerKey,
}

/// The newest changes, numbered from 1 in this incarnation.
#[derive(Debug)]
pub(super) struct ChangeLog {
    epoch: Incarnation,
    newest: u64,
    kept: VecDeque<Change>,
    limit: usize,
}

impl ChangeLog {
    pub(super) fn new(epoch: Incarnation, limit: usize) -> Self {
        ChangeLog { epoch, newest: 0, kept: VecDeque::new(), limit }
    }

    /// Notes a change; its number.
    pub(super) fn note(&mut self, server: ServerKey) -> u64 {
        self.newest += 1;
        self.kept.push_back(Change { number: self.newest, server });
        if self.kept.len() > self.limit {
            self.kept.pop_front();
        }
        self.newest
    }

    pub(super) fn cursor(&self) -> DirectoryCursor {
        DirectoryCursor { epoch: self.epoch, revision: self.newest }
    }

    /// The changes after the cursor; `None` if it is too old or another incarnation's, so that all must be told.
    pub(super) fn since(&self, cursor: DirectoryCursor) -> Option<impl Iterator<Item = &Change> + '_> {
        let oldest = self.kept.front().map_or(self.newest + 1, |change| change.number);
        let known =
            cursor.epoch == self.epoch && cursor.revision <= self.newest && cursor.revision + 1 >= oldest;
        let news = self.kept.iter().filter(move |change| change.number > cursor.revision);
        known.then_some(news)
    }
}
