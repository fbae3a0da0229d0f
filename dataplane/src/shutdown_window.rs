//! Decides which requests are accepted during graceful shutdown.
//!
//! At first every request is accepted, because the platform needs two health checks, one second apart, to
//! notice that the process is unready. Later requests arrive on connections that clients have kept alive.
//! They are accepted only if their deadline is before the end of the process; otherwise the response might
//! have to be aborted, and another edge can serve the request better.

use shaletrail_protocol::Millis;

/// Every request is accepted for this long after the start of shutdown, or for half of the window if that is
/// shorter. Covers two health checks of the platform and the time until the platform acts on them.
const ACCEPT_ALL_MS: Millis = 2_700;

/// The time between the start of graceful shutdown and the end of the process, as readings of the caller's
/// clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShutdownWindow {
    /// When shutdown began, in milliseconds.
    pub started_at: Millis,
    /// When responses that are still in flight are aborted, in milliseconds.
    pub aborts_at: Millis,
}

impl ShutdownWindow {
    /// Whether to accept a request that arrives at `now` and takes at most `max_duration_ms` milliseconds.
    pub fn accepts(&self, now: Millis, max_duration_ms: Millis) -> bool {
        let accept_all_ms = ACCEPT_ALL_MS.min(self.aborts_at.saturating_sub(self.started_at) / 2);
        now < self.started_at + accept_all_ms || now.saturating_add(max_duration_ms) <= self.aborts_at
    }
}
