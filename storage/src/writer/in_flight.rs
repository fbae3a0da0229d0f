//! Commands that were submitted and are not finished, shared by the writer's handle and its thread.

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
    /// In the order of their tickets.
    appends: VecDeque<InFlightAppend>,
    /// Of all appends.
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
    pub fn new(clock: Clock, max_bytes: usize) -> Self {
        InFlight { clock, max_bytes, state: Mutex::default() }
    }

    /// Adds an append. Whether the limit allows it; the first one is always allowed.
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

    /// Removes the newest append, which the queue has rejected.
    pub fn remove_newest_append(&self) {
        let mut state = self.lock();
        if let Some(append) = state.appends.pop_back() {
            state.bytes -= append.bytes;
        }
    }

    /// Removes all appends up to this ticket, which are durable.
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

    /// Begins a checkpoint. Whether none was in flight.
    pub fn try_begin_checkpoint(&self) -> bool {
        !std::mem::replace(&mut self.lock().has_checkpoint, true)
    }

    /// The checkpoint has succeeded, failed, or was rejected.
    pub fn end_checkpoint(&self) {
        self.lock().has_checkpoint = false;
    }

    /// How long the oldest append has been in flight.
    pub fn oldest_age(&self) -> Option<Duration> {
        let submitted_at = self.lock().appends.front()?.submitted_at;
        Some((self.clock)().saturating_sub(submitted_at))
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
