//! Limits, back-off and clock of a writer.

use std::sync::Arc;
use std::time::{Duration, Instant};

/// A monotonic clock: returns the time elapsed since a fixed starting point.
pub type Clock = Arc<dyn Fn() -> Duration + Send + Sync>;

/// Settings of a [`Writer`](crate::Writer).
#[derive(Clone)]
pub struct WriterOptions {
    /// Maximum number of queued commands.
    pub queue_capacity: usize,
    /// Maximum number of payload bytes in flight. A single append may exceed it if nothing else is in flight.
    pub max_in_flight_bytes: usize,
    /// A group commit takes no further appends once its batch holds at least this many bytes.
    pub max_batch_bytes: usize,
    /// Delay after the first failed attempt. It doubles with each further failure.
    pub initial_backoff: Duration,
    /// Maximum delay between attempts.
    pub max_backoff: Duration,
    /// Measures the duration of syncs and the age of appends in flight.
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
