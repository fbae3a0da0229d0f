//! The monotonic clock used by the router and the connection pool.

use std::time::{Duration, Instant};

use shaletrail_protocol::Millis;

/// A monotonic clock in milliseconds, which reads 0 at the start of the process.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// Returns a clock that reads 0 now.
    pub fn start() -> Self {
        Clock { start: Instant::now() }
    }

    /// Milliseconds since the clock was started, rounded down.
    pub fn now(&self) -> Millis {
        Millis::try_from(self.start.elapsed().as_millis()).unwrap_or(Millis::MAX)
    }

    /// Converts a reading of this clock to an instant that tokio timers accept.
    pub fn instant(&self, at: Millis) -> tokio::time::Instant {
        tokio::time::Instant::from_std(self.start + Duration::from_millis(at))
    }
}
