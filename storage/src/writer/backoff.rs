//! Exponential backoff between attempts to sync.

use std::time::Duration;

/// The delays before further attempts: doubled each time, up to a limit.
pub(super) struct Backoff {
    next: Duration,
    max: Duration,
}

impl Backoff {
    pub fn new(initial: Duration, max: Duration) -> Self {
        Backoff { next: initial, max }
    }

    /// The delay before the next attempt.
    pub fn next_delay(&mut self) -> Duration {
        let delay = self.next;
        self.next = (delay * 2).min(self.max);
        delay
    }
}
