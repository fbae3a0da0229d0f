//! Exponential back-off between attempts to sync.

use std::time::Duration;

/// Computes the delays between attempts. The delay doubles with each attempt up to a maximum.
pub(super) struct Backoff {
    next: Duration,
    max: Duration,
}

impl Backoff {
    /// Creates a back-off whose first delay is `initial`. Later delays are at most `max`.
    pub fn new(initial: Duration, max: Duration) -> Self {
        Backoff { next: initial, max }
    }

    /// Returns the delay before the next attempt.
    pub fn next_delay(&mut self) -> Duration {
        let delay = self.next;
        self.next = (delay * 2).min(self.max);
        delay
    }
}
