//! Whether a missing heartbeat proves anything about the server.

use shaletrail_protocol::Millis;

/// For how long this coordinator has had contact with a quorum without a break or a stall of its own process.
///
/// A coordinator that is partitioned or stalled receives neither heartbeats nor digests, so it must not conclude
/// from their absence that a server is down.
#[derive(Debug)]
pub(super) struct QuorumContact {
    connected: bool,
    since: Millis,
    last_call: Millis,
}

impl QuorumContact {
    /// Contact that begins at `now`.
    pub(super) fn new(now: Millis) -> Self {
        QuorumContact { connected: true, since: now, last_call: now }
    }

    /// Sets whether a quorum is reachable; contact that is regained starts at `now`.
    pub(super) fn set(&mut self, now: Millis, connected: bool) {
        if connected && !self.connected {
            self.since = now;
        }
        self.connected = connected;
    }

    /// Records that the process runs at `now`. A gap of more than `stall_ms` since the last call is a stall:
    /// messages that arrived meanwhile may still be unread, so contact starts again at `now`.
    pub(super) fn record_call(&mut self, now: Millis, stall_ms: Millis) {
        if now.saturating_sub(self.last_call) > stall_ms {
            self.since = now;
        }
        self.last_call = self.last_call.max(now);
    }

    /// Whether contact has lasted for at least `duration` milliseconds.
    pub(super) fn has_lasted(&self, now: Millis, duration: Millis) -> bool {
        self.connected && now.saturating_sub(self.since) >= duration
    }
}
