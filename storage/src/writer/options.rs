//! Limits, backoff and clock of a writer.

use std::sync::Arc;
use std::time::{Duration, Instant};

/// A monotonic clock: the time since some fixed moment.
pub type Clock = Arc<dyn Fn() -> Duration + Send + Sync>;

/// Limits, backoff and clock of a writer.
#[derive(Clone)]
pub struct WriterOptions {
    /// Commands that the queue holds.
    pub queue_capacity: usize,
    /// Limit on the bytes of appends in flight. A single append may be larger.
    pub max_in_flight_bytes: usize,
    /// Bytes from which on a batch takes no more appends (group commit).
    pub max_batch_bytes: usize,
    /// The backoff after the first failed attempt; doubled after each further one.
    pub initial_backoff: Duration,
    /// The longest backoff between attempts.
    pub max_backoff: Duration,
    /// Measures how long syncs take and appends are in flight.
    pub clock: Clock,
}

impl Default for WriterOptions {
    fn default() -> Self {
        WriterOptions {
            queue_capacity: 1024,
            max_in_flight_bytes: 32 << 20,
            max_batch_bytes: 1 << 20,
            initial_backoff: Duration::from_millis(20),
            max_backoff: Duration::from_millis(500),
            clock: system_clock(),
        }
    }
}

fn system_clock() -> Clock {
    let start = Instant::now();
    Arc::new(move || start.elapsed())
}
