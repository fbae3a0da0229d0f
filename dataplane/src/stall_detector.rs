//! Detects that a stream has stalled. The timer is reset only when it fires, not with each event, which would
//! cost more.

use std::future::pending;
use std::pin::Pin;
use std::time::Duration;

use tokio::time::{sleep_until, Instant, Sleep};

/// Measures the time since a stream's last progress; see [`StallDetector::stalled`].
pub struct StallDetector {
    timeout: Option<Duration>,
    last_progress_at: Instant,
    timer: Option<Pin<Box<Sleep>>>,
}

impl StallDetector {
    /// Detects pauses of at least `timeout`; none if that is `None`.
    pub fn new(timeout: Option<Duration>) -> Self {
        StallDetector { timeout, last_progress_at: Instant::now(), timer: None }
    }

    /// Restarts the measurement of the pause, as when bytes have arrived.
    pub fn record_progress(&mut self) {
        if self.timeout.is_some() {
            self.last_progress_at = Instant::now();
        }
    }

    /// Waits until the stream has paused for the time-out. When called again, waits until another time-out
    /// has passed.
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
