//! The hints for one peer: the changes that it has not acknowledged yet.
//!
//! A hint consists of a server key and a version; the record itself is read when a batch is sent. At most one hint for
//! each server waits to be sent, no matter how long the peer is unreachable.

use std::collections::{BTreeMap, VecDeque};

use shaletrail_protocol::{Incarnation, Millis};

use super::options::{Options, MAX_BATCHES_IN_FLIGHT, MAX_BATCH_RECORDS, MAX_RETRY_RECORDS};
use super::server_entry::ServerKey;

/// Limit on the batches whose acknowledgement is still accepted, those that have timed out included.
const MAX_TRACKED_BATCHES: usize = 2 * MAX_BATCHES_IN_FLIGHT;
/// Limit on the doublings of the backoff; [`Options::max_backoff_ms`] limits the result as well.
const MAX_BACKOFF_DOUBLINGS: u32 = 4;

/// A server, and the version of its record that must reach a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Hint {
    pub(super) key: ServerKey,
    pub(super) version: u64,
}

/// A batch that has been sent and not acknowledged. After a time-out it is kept, as a late acknowledgement still
/// counts.
#[derive(Clone, Debug)]
struct SentBatch {
    number: u64,
    sent_at: Millis,
    timed_out: bool,
    hints: Vec<Hint>,
}

/// The hints for one peer: those that wait to be sent, and those in batches that were sent.
#[derive(Clone, Debug, Default)]
pub(super) struct HintQueue {
    incarnation: Option<Incarnation>,
    has_acknowledged: bool,
    /// The version to send for each server.
    pending: BTreeMap<ServerKey, u64>,
    batches: VecDeque<SentBatch>,
    /// Number of scans that found expired batches since the peer's last message; zero while the peer responds.
    timeouts: u32,
    backoff_until: Millis,
}

impl HintQueue {
    /// Adds a hint, unless the same version is already in flight.
    pub(super) fn push(&mut self, hint: Hint) {
        if !self.in_flight().any(|batch| batch.hints.contains(&hint)) {
            self.add_pending(hint);
        }
    }

    /// Moves the hints with the highest versions into a batch with this number; `None` if no batch may be sent at
    /// `now`.
    ///
    /// A peer that does not respond is sent one small batch at a time.
    pub(super) fn next_batch(&mut self, now: Millis, number: u64) -> Option<Vec<Hint>> {
        let (max_batches, max_records) = if self.is_responsive() {
            (MAX_BATCHES_IN_FLIGHT, MAX_BATCH_RECORDS)
        } else {
            (1, MAX_RETRY_RECORDS)
        };
        if self.pending.is_empty() || now < self.backoff_until || self.in_flight().count() >= max_batches {
            return None;
        }
        let hints = self.take_newest(max_records);
        if self.batches.len() >= MAX_TRACKED_BATCHES {
            self.batches.pop_front();
        }
        self.batches.push_back(SentBatch { number, sent_at: now, timed_out: false, hints: hints.clone() });
        Some(hints)
    }

    /// Removes an acknowledged batch and returns its hints; an unknown number gives none.
    pub(super) fn acknowledge(&mut self, number: u64) -> Vec<Hint> {
        let index = self.batches.iter().position(|batch| batch.number == number);
        let Some(batch) = index.and_then(|index| self.batches.remove(index)) else { return Vec::new() };
        self.has_acknowledged = true;
        for hint in &batch.hints {
            if self.pending.get(&hint.key).is_some_and(|version| *version <= hint.version) {
                self.pending.remove(&hint.key);
            }
        }
        batch.hints
    }

    /// Records that a message of any kind has arrived from the peer, which ends the backoff.
    pub(super) fn record_contact(&mut self) {
        self.timeouts = 0;
        self.backoff_until = 0;
    }

    /// Whether no batch has timed out since the last message from the peer.
    pub(super) fn is_responsive(&self) -> bool {
        self.timeouts == 0
    }

    /// Queues the hints of batches that were not acknowledged in time for another attempt, and backs off.
    pub(super) fn expire_batches(&mut self, now: Millis, options: &Options) {
        let mut expired = Vec::new();
        for batch in self.batches.iter_mut().filter(|batch| !batch.timed_out) {
            if batch.sent_at + options.retry_interval_ms <= now {
                batch.timed_out = true;
                expired.extend(batch.hints.iter().copied());
            }
        }
        if expired.is_empty() {
            return;
        }
        let backoff = options.retry_interval_ms << self.timeouts.min(MAX_BACKOFF_DOUBLINGS);
        // The first retry is sent at once; only further time-outs back off.
        self.backoff_until =
            if self.is_responsive() { now } else { now + backoff.min(options.max_backoff_ms) };
        self.timeouts = self.timeouts.saturating_add(1);
        expired.into_iter().for_each(|hint| self.add_pending(hint));
    }

    /// The next time at which a batch may be sent or times out; `None` if there is nothing to wait for.
    pub(super) fn next_wake(&self, options: &Options) -> Option<Millis> {
        let timeout = self.in_flight().map(|batch| batch.sent_at + options.retry_interval_ms).min();
        let idle = self.in_flight().next().is_none() && !self.pending.is_empty();
        timeout.into_iter().chain(idle.then_some(self.backoff_until)).min()
    }

    /// Stores the peer's incarnation; returns whether the peer has restarted and has therefore lost what it
    /// acknowledged.
    pub(super) fn observe_incarnation(&mut self, incarnation: Incarnation) -> bool {
        let known = self.incarnation.replace(incarnation);
        known.map_or(self.has_acknowledged, |known| known != incarnation)
    }

    /// Drops all hints and batches, so that late acknowledgements by the previous incarnation are ignored.
    pub(super) fn reset(&mut self) {
        *self = HintQueue { incarnation: self.incarnation, ..HintQueue::default() };
    }

    fn take_newest(&mut self, max_records: usize) -> Vec<Hint> {
        let mut hints: Vec<Hint> =
            self.pending.iter().map(|(key, version)| Hint { key: *key, version: *version }).collect();
        hints.sort_unstable_by_key(|hint| std::cmp::Reverse(hint.version));
        hints.truncate(max_records);
        for hint in &hints {
            self.pending.remove(&hint.key);
        }
        hints
    }

    fn in_flight(&self) -> impl Iterator<Item = &SentBatch> {
        self.batches.iter().filter(|batch| !batch.timed_out)
    }

    fn add_pending(&mut self, hint: Hint) {
        let version = self.pending.entry(hint.key).or_insert(hint.version);
        *version = (*version).max(hint.version);
    }
}
