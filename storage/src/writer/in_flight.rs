//! Tracks unfinished commands. Shared by the writer's handle and its thread.

use std::collections::VecDeque;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use super::options::Clock;

/// An append that is not durable yet.
struct InFlightAppend {
    ticket: u64,
    submitted_at: Duration,
    bytes: usize,
}

#[derive(Default)]
struct State {
    /// Ordered by ticket.
    appends: VecDeque<InFlightAppend>,
    /// Sum over all appends.
    bytes: usize,
    has_checkpoint: bool,
}

/// Appends that are not durable yet, and whether a checkpoint is in flight.
pub(super) struct InFlight {
    clock: Clock,
    max_bytes: usize,
    state: Mutex<State>,
}

impl InFlight {
    /// Creates a tracker without commands. `max_bytes` limits the payload bytes of the appends in flight.
    pub fn new(clock: Clock, max_bytes: usize) -> Self {
        InFlight { clock, max_bytes, state: Mutex::default() }
    }

    /// Adds an append, unless it would exceed the limit on bytes in flight. If no append is in flight, one of any size
    /// is accepted. Returns whether it was added.
    pub fn try_add_append(&self, ticket: u64, bytes: usize) -> bool {
        let submitted_at = (self.clock)();
        let mut state = self.lock();
        if !state.appends.is_empty() && state.bytes.saturating_add(bytes) > self.max_bytes {
            return false;
        }
        state.bytes += bytes;
        state.appends.push_back(InFlightAppend { ticket, submitted_at, bytes });
        true
    }

    /// Removes the newest append, after the command queue has rejected it.
    pub fn remove_newest_append(&self) {
        let mut state = self.lock();
        if let Some(append) = state.appends.pop_back() {
            state.bytes -= append.bytes;
        }
    }

    /// Removes all appends up to and including `ticket`, which are durable now.
    pub fn finish_appends(&self, ticket: u64) {
        let mut state = self.lock();
        while let Some(append) = state.appends.pop_front() {
            if append.ticket > ticket {
                state.appends.push_front(append);
                break;
            }
            state.bytes -= append.bytes;
        }
    }

    /// Marks a checkpoint as in flight. Returns false if one already is.
    pub fn try_begin_checkpoint(&self) -> bool {
        !std::mem::replace(&mut self.lock().has_checkpoint, true)
    }

    /// Marks the checkpoint as finished after it succeeded, failed or was rejected.
    pub fn end_checkpoint(&self) {
        self.lock().has_checkpoint = false;
    }

    /// Returns how long the oldest append has been in flight; `None` if there is none.
    pub fn oldest_age(&self) -> Option<Duration> {
        let submitted_at = self.lock().appends.front()?.submitted_at;
        Some((self.clock)().saturating_sub(submitted_at))
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
