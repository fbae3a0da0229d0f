//! Detects that a stream has stalled, with a timer that is rearmed once a pause rather than with each event.

use std::future::pending;
use std::pin::Pin;
use std::time::Duration;

use tokio::time::{sleep_until, Instant, Sleep};

/// Watches one stream for pauses.
pub struct StallDetector {
    timeout: Option<Duration>,
    last_progress_at: Instant,
    timer: Option<Pin<Box<Sleep>>>,
}

impl StallDetector {
    /// A detector of pauses longer than `timeout`; of none without it.
    pub fn new(timeout: Option<Duration>) -> Self {
        StallDetector { timeout, last_progress_at: Instant::now(), timer: None }
    }

    /// Bytes have arrived.
    pub fn record_progress(&mut self) {
        if self.timeout.is_some() {
            self.last_progress_at = Instant::now();
        }
    }

    /// Waits until nothing has arrived for the timeout; completes again each time that it passes once more.
    pub async fn stalled(&mut self) {
        let Some(timeout) = self.timeout else { return pending().await };
        loop {
            let due = self.last_progress_at + timeout;
            let timer = self.timer.get_or_insert_with(|| Box::pin(sleep_until(due)));
            timer.as_mut().await;
            self.timer = None;
            let now = Instant::now();
            if now >= self.last_progress_at + timeout {
                self.last_progress_at = now;
                return;
            }
        }
    }
}
