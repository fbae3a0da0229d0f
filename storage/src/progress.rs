//! What a writer has been given and has not finished, seen from both of its ends.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// A steady clock: the time since some fixed moment.
pub type Clock = Arc<dyn Fn() -> Duration + Send + Sync>;

/// The clock of the system.
pub(crate) fn system_clock() -> Clock {
    let start = Instant::now();
    Arc::new(move || start.elapsed())
}

struct Unfinished {
    ticket: u64,
    since: Duration,
    bytes: usize,
}

#[derive(Default)]
struct State {
    appends: VecDeque<Unfinished>,
    bytes: usize,
    checkpoint: bool,
}

/// Appends that are not safe yet, and whether a checkpoint is under way.
pub(crate) struct Progress {
    clock: Clock,
    most_bytes: usize,
    state: Mutex<State>,
}

impl Progress {
    pub fn new(clock: Clock, most_bytes: usize) -> Self {
        Progress { clock, most_bytes, state: Mutex::default() }
    }

    /// Counts an append in, unless too much is unfinished.
    pub fn begin(&self, ticket: u64, bytes: usize) -> bool {
        let since = (self.clock)();
        let mut state = self.lock();
        if !state.appends.is_empty() && state.bytes.saturating_add(bytes) > self.most_bytes {
            return false;
        }
        state.bytes += bytes;
        state.appends.push_back(Unfinished { ticket, since, bytes });
        true
    }

    /// Takes back the newest append: it was not handed over.
    pub fn take_back(&self) {
        let mut state = self.lock();
        if let Some(append) = state.appends.pop_back() {
            state.bytes -= append.bytes;
        }
    }

    /// All appends up to this ticket are safe.
    pub fn finish(&self, ticket: u64) {
        let mut state = self.lock();
        while let Some(append) = state.appends.pop_front() {
            if append.ticket > ticket {
                state.appends.push_front(append);
                break;
            }
            state.bytes -= append.bytes;
        }
    }

    /// Counts a checkpoint in, unless one is under way.
    pub fn begin_checkpoint(&self) -> bool {
        !std::mem::replace(&mut self.lock().checkpoint, true)
    }

    pub fn finish_checkpoint(&self) {
        self.lock().checkpoint = false;
    }

    /// How long the oldest append has been waiting.
    pub fn oldest(&self) -> Option<Duration> {
        let since = self.lock().appends.front()?.since;
        Some((self.clock)().saturating_sub(since))
    }

    pub fn now(&self) -> Duration {
        (self.clock)()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
