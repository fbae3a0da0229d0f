//! Tracks whether this coordinator can conclude from missing heartbeats that a server is down.

use shaletrail_protocol::Millis;

/// How long this coordinator has had contact with a quorum, without an interruption or a stall of its process.
///
/// A partitioned or stalled coordinator receives neither heartbeats nor digests, so that it must not conclude from
/// their absence that a server is down.
#[derive(Debug)]
pub(super) struct QuorumContact {
    connected: bool,
    since: Millis,
    last_activity: Millis,
}

impl QuorumContact {
    /// Starts with contact that has begun at `now`.
    pub(super) fn new(now: Millis) -> Self {
        QuorumContact { connected: true, since: now, last_activity: now }
    }

    /// Sets whether a quorum is reachable. If it becomes reachable again, contact begins at `now`.
    pub(super) fn set(&mut self, now: Millis, connected: bool) {
        if connected && !self.connected {
            self.since = now;
        }
        self.connected = connected;
    }

    /// Records that the process is running at `now`. A gap of more than `stall_ms` is treated as a stall: messages that
    /// arrived during the stall may not have been processed yet, so that contact begins again at `now`.
    pub(super) fn record_activity(&mut self, now: Millis, stall_ms: Millis) {
        if now.saturating_sub(self.last_activity) > stall_ms {
            self.since = now;
        }
        self.last_activity = self.last_activity.max(now);
    }

    /// Whether contact has lasted for at least `duration` milliseconds.
    pub(super) fn has_lasted(&self, now: Millis, duration: Millis) -> bool {
        self.connected && now.saturating_sub(self.since) >= duration
    }
}
