//! Notices that a stream hangs, with a timer that is set anew once in a pause rather than with each event.

use std::future::pending;
use std::pin::Pin;
use std::time::Duration;

use tokio::time::{sleep_until, Instant, Sleep};

/// Watches the pauses of one stream.
pub struct StallWatch {
    longest: Option<Duration>,
    moved_at: Instant,
    timer: Option<Pin<Box<Sleep>>>,
}

impl StallWatch {
    /// A watch that reports pauses over `longest`, or none.
    pub fn new(longest: Option<Duration>) -> Self {
        StallWatch { longest, moved_at: Instant::now(), timer: None }
    }

    /// Something has come.
    pub fn moved(&mut self) {
        if self.longest.is_some() {
            self.moved_at = Instant::now();
        }
    }

    /// Waits until nothing has come for too long; reports it anew each time that this has passed once more.
    pub async fn stalled(&mut self) {
        let Some(longest) = self.longest else { return pending().await };
        loop {
            let due = self.moved_at + longest;
            let timer = self.timer.get_or_insert_with(|| Box::pin(sleep_until(due)));
            timer.as_mut().await;
            self.timer = None;
            let now = Instant::now();
            if now >= self.moved_at + longest {
                self.moved_at = now;
                return;
            }
        }
    }
}
