//! The pings to one node and their acks.

use std::collections::VecDeque;

use shaletrail_protocol::Millis;

use super::options::Options;

/// Limit on the unanswered pings that are tracked for one node; an ack of an older ping is ignored.
const MAX_UNANSWERED_PINGS: usize = 16;
/// Number of unanswered pings from which a node can be suspected, so that one lost message is not enough.
const MIN_UNANSWERED_PINGS_TO_SUSPECT: u32 = 2;

#[derive(Clone, Copy, Debug)]
struct UnansweredPing {
    number: u64,
    sent_at: Millis,
}

/// The probe of one node: when it is pinged next, and which pings it has not answered yet.
#[derive(Clone, Debug)]
pub(super) struct Probe {
    next_ping: Millis,
    interval: Millis,
    unanswered: VecDeque<UnansweredPing>,
    /// When the newest answered ping was sent.
    answered_ping_sent_at: Option<Millis>,
    /// When the oldest unanswered ping was sent, or the end of a later stall.
    unanswered_since: Option<Millis>,
    /// Number of unanswered pings, including those that are no longer tracked.
    unanswered_count: u32,
    /// The node is not suspected before this time.
    cooldown_until: Millis,
}

impl Probe {
    /// A probe whose first ping is due at once.
    pub(super) fn new(now: Millis, options: &Options) -> Self {
        Probe {
            next_ping: now,
            interval: options.ping_interval_ms,
            unanswered: VecDeque::new(),
            answered_ping_sent_at: None,
            unanswered_since: None,
            unanswered_count: 0,
            cooldown_until: 0,
        }
    }

    pub(super) fn next_ping(&self) -> Millis {
        self.next_ping
    }

    /// When the newest answered ping was sent. The time at which the ping was sent counts, not the time at which its
    /// ack was processed: an ack that waited in the socket buffer of a stalled process does not prove that the node
    /// can be reached now.
    pub(super) fn answered_ping_sent_at(&self) -> Option<Millis> {
        self.answered_ping_sent_at
    }

    pub(super) fn is_due(&self, now: Millis) -> bool {
        self.next_ping <= now
    }

    /// Records a sent ping and schedules the next one. With `backs_off` the interval doubles, up to `max_backoff_ms`.
    pub(super) fn record_ping(&mut self, now: Millis, number: u64, backs_off: bool, options: &Options) {
        if self.unanswered.len() == MAX_UNANSWERED_PINGS {
            self.unanswered.pop_front();
        }
        self.unanswered.push_back(UnansweredPing { number, sent_at: now });
        self.unanswered_since.get_or_insert(now);
        self.unanswered_count = self.unanswered_count.saturating_add(1);
        self.interval = if backs_off {
            (self.interval * 2).min(options.max_backoff_ms)
        } else {
            options.ping_interval_ms
        };
        self.next_ping = now + self.interval;
    }

    /// Records the ack of a ping, which also covers all earlier pings; returns false if the number is not tracked.
    pub(super) fn record_ack(&mut self, number: u64) -> bool {
        let Some(index) = self.unanswered.iter().position(|ping| ping.number == number) else {
            return false;
        };
        for ping in self.unanswered.drain(..=index) {
            self.answered_ping_sent_at = self.answered_ping_sent_at.max(Some(ping.sent_at));
        }
        self.unanswered_since = self.unanswered.front().map(|ping| ping.sent_at);
        self.unanswered_count = u32::try_from(self.unanswered.len()).unwrap_or(u32::MAX);
        true
    }

    /// Whether the node has left enough pings unanswered, for long enough, to be suspected.
    pub(super) fn has_timed_out(&self, now: Millis, options: &Options) -> bool {
        let overdue = self.unanswered_since.is_some_and(|since| since + options.ping_timeout_ms <= now);
        overdue && self.unanswered_count >= MIN_UNANSWERED_PINGS_TO_SUSPECT && self.cooldown_until <= now
    }

    /// Suppresses suspicions until the given time, as a refutation has shown that other nodes reach the probed node.
    pub(super) fn cool_down(&mut self, until: Millis) {
        self.cooldown_until = until;
    }

    /// Makes a ping due at `now`, and resets the backoff.
    pub(super) fn expedite(&mut self, now: Millis, options: &Options) {
        self.next_ping = self.next_ping.min(now);
        self.interval = options.ping_interval_ms;
    }

    /// Restarts the time-out of unanswered pings at `now`. Used after a stall of this process, as acks that arrived
    /// during the stall may not have been processed yet.
    pub(super) fn reset_unanswered(&mut self, now: Millis) {
        self.unanswered_since = self.unanswered_since.map(|_| now);
        self.unanswered_count = self.unanswered_count.min(1);
    }
}
