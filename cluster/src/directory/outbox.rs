//! What one other coordinator still has to be told: hints that stay until it has acknowledged them.
//!
//! A hint is the name of a server; its record is read when it is sent. So however long a coordinator is away, the
//! hints for it are no more than the servers.

use std::collections::{BTreeMap, VecDeque};

use shaletrail_protocol::{Incarnation, Millis};

use super::entry::ServerKey;
use super::options::{MAX_BATCHES_IN_FLIGHT, MAX_BATCH_RECORDS, MAX_RETRY_RECORDS};
use super::Options;

/// Batches that may still be acknowledged late, at most.
const BATCHES_REMEMBERED: usize = 2 * MAX_BATCHES_IN_FLIGHT;

/// A server and the version of its record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Hint {
    pub(super) key: ServerKey,
    pub(super) version: u64,
}

#[derive(Clone, Debug)]
struct Batch {
    number: u64,
    sent: Millis,
    overdue: bool,
    hints: Vec<Hint>,
}

/// What one other coordinator still has to be told.
#[derive(Clone, Debug, Default)]
pub(super) struct Outbox {
    incarnation: Option<Incarnation>,
    acknowledged_any: bool,
    waiting: BTreeMap<ServerKey, u64>,
    batches: VecDeque<Batch>,
    misses: u32,
    not_before: Millis,
}

impl Outbox {
    /// Keeps a hint, unless this version is on its way already.
    pub(super) fn queue(&mut self, hint: Hint) {
        if !self.in_flight().any(|batch| batch.hints.contains(&hint)) {
            self.keep(hint);
        }
    }

    /// The hints of the next batch, the newest first, if one may be sent now.
    pub(super) fn next_batch(&mut self, now: Millis, number: u64) -> Option<Vec<Hint>> {
        let (batches, records) = if self.misses == 0 {
            (MAX_BATCHES_IN_FLIGHT, MAX_BATCH_RECORDS)
        } else {
            (1, MAX_RETRY_RECORDS)
        };
        if self.waiting.is_empty() || now < self.not_before || self.in_flight().count() >= batches {
            return None;
        }
        let mut hints: Vec<Hint> =
            self.waiting.iter().map(|(key, version)| Hint { key: *key, version: *version }).collect();
        hints.sort_unstable_by_key(|hint| std::cmp::Reverse(hint.version));
        hints.truncate(records);
        hints.iter().for_each(|hint| {
            self.waiting.remove(&hint.key);
        });
        if self.batches.len() >= BATCHES_REMEMBERED {
            self.batches.pop_front();
        }
        self.batches.push_back(Batch { number, sent: now, overdue: false, hints: hints.clone() });
        Some(hints)
    }

    /// Takes an acknowledgement; the hints that are now known there.
    pub(super) fn acknowledge(&mut self, number: u64) -> Vec<Hint> {
        let place = self.batches.iter().position(|batch| batch.number == number);
        let Some(batch) = place.and_then(|place| self.batches.remove(place)) else { return Vec::new() };
        self.acknowledged_any = true;
        for hint in &batch.hints {
            if self.waiting.get(&hint.key).is_some_and(|version| *version <= hint.version) {
                self.waiting.remove(&hint.key);
            }
        }
        batch.hints
    }

    /// Any message of the other coordinator: it answers.
    pub(super) fn heard(&mut self) {
        self.misses = 0;
        self.not_before = 0;
    }

    pub(super) fn is_answering(&self) -> bool {
        self.misses == 0
    }

    /// Takes back the hints of batches that were not acknowledged in time.
    pub(super) fn expire(&mut self, now: Millis, options: &Options) {
        let mut missed = Vec::new();
        for batch in self.batches.iter_mut().filter(|batch| !batch.overdue) {
            if batch.sent + options.retry_interval_ms <= now {
                batch.overdue = true;
                missed.extend(batch.hints.iter().copied());
            }
        }
        if missed.is_empty() {
            return;
        }
        let pause = options.retry_interval_ms << self.misses.min(4);
        self.not_before = if self.misses == 0 { now } else { now + pause.min(options.max_backoff_ms) };
        self.misses = self.misses.saturating_add(1);
        missed.into_iter().for_each(|hint| self.keep(hint));
    }

    /// When the next batch is due or overdue.
    pub(super) fn next_wake(&self, options: &Options) -> Option<Millis> {
        let overdue = self.in_flight().map(|batch| batch.sent + options.retry_interval_ms).min();
        let idle = self.in_flight().next().is_none() && !self.waiting.is_empty();
        overdue.into_iter().chain(idle.then_some(self.not_before)).min()
    }

    /// Notes the incarnation; true if all must be told anew.
    pub(super) fn is_new_start(&mut self, incarnation: Incarnation) -> bool {
        let known = self.incarnation.replace(incarnation);
        known.map_or(self.acknowledged_any, |known| known != incarnation)
    }

    /// Drops all that was on its way or waiting, so that late acknowledgements mean nothing any more.
    pub(super) fn clear(&mut self) {
        *self = Outbox { incarnation: self.incarnation, ..Outbox::default() };
    }

    fn in_flight(&self) -> impl Iterator<Item = &Batch> {
        self.batches.iter().filter(|batch| !batch.overdue)
    }

    fn keep(&mut self, hint: Hint) {
        let version = self.waiting.entry(hint.key).or_insert(hint.version);
        *version = (*version).max(hint.version);
    }
}
