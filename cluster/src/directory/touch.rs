//! Whether this coordinator may conclude from silence that a server is not there.

use shaletrail_protocol::Millis;

/// Since when this coordinator has been able to hear servers and the others.
#[derive(Debug)]
pub(super) struct Touch {
    in_touch: bool,
    since: Millis,
    last_call: Millis,
}

impl Touch {
    pub(super) fn new(now: Millis) -> Self {
        Touch { in_touch: true, since: now, last_call: now }
    }

    pub(super) fn set(&mut self, now: Millis, in_touch: bool) {
        if in_touch && !self.in_touch {
            self.since = now;
        }
        self.in_touch = in_touch;
    }

    /// Notes a call. After a pause of more than `stall_ms` the process has stood still itself, and what was said
    /// meanwhile waits to be read.
    pub(super) fn observe(&mut self, now: Millis, stall_ms: Millis) {
        if now.saturating_sub(self.last_call) > stall_ms {
            self.since = now;
        }
        self.last_call = self.last_call.max(now);
    }

    /// Whether it has been in touch for at least `span` milliseconds.
    pub(super) fn lasts(&self, now: Millis, span: Millis) -> bool {
        self.in_touch && now.saturating_sub(self.since) >= span
    }
}
