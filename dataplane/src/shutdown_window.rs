//! Which requests are still accepted during graceful shutdown.
//!
//! Requests are accepted for a moment longer, as the platform needs two health checks a second apart to notice that the
//! process is unready. Later ones come over connections that clients kept alive. Such a request is accepted only if its
//! deadline passes before the process ends, whatever its server does: a response that would be aborted is better given
//! by another edge.

use shaletrail_protocol::Millis;

/// Every request is accepted for this long after the start of shutdown: two health checks of the platform and the time
/// that it takes to act on them. Half of the window, where that is shorter.
const ACCEPT_ALL_MS: Millis = 2_700;

/// The time between the start of graceful shutdown and the end of the process, on the caller's clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShutdownWindow {
    /// When shutdown began, in milliseconds.
    pub started_at: Millis,
    /// When responses that are still open are aborted, in milliseconds.
    pub aborts_at: Millis,
}

impl ShutdownWindow {
    /// Whether a request is accepted that arrives now and lasts `max_duration_ms` milliseconds at most.
    pub fn accepts(&self, now: Millis, max_duration_ms: Millis) -> bool {
        let accept_all_ms = ACCEPT_ALL_MS.min(self.aborts_at.saturating_sub(self.started_at) / 2);
        now < self.started_at + accept_all_ms || now.saturating_add(max_duration_ms) <= self.aborts_at
    }
}
