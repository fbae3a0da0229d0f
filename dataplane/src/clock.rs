//! The monotonic clock that the router and the connection pools go by.

use std::time::{Duration, Instant};

use shaletrail_protocol::Millis;

/// Milliseconds of a monotonic clock that starts with the process.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// A clock that reads 0 now.
    pub fn start() -> Self {
        Clock { start: Instant::now() }
    }

    /// Milliseconds since the start.
    pub fn now(&self) -> Millis {
        Millis::try_from(self.start.elapsed().as_millis()).unwrap_or(Millis::MAX)
    }

    /// The runtime's instant for the reading `at` of this clock, to sleep until it.
    pub fn instant(&self, at: Millis) -> tokio::time::Instant {
        tokio::time::Instant::from_std(self.start + Duration::from_millis(at))
    }
}
