//! The pings to one node and their answers.

use std::collections::VecDeque;

use shaletrail_protocol::Millis;

use super::options::Options;

/// Unanswered pings that are tracked; an answer to an older one is ignored.
const MAX_UNANSWERED_PINGS: usize = 16;
/// Unanswered pings before a node can be suspected.
const MIN_MISSES_TO_SUSPECT: u32 = 2;

#[derive(Clone, Copy, Debug)]
struct UnansweredPing {
    number: u64,
    sent_at: Millis,
}

/// The probe of one node: when it is pinged next, and which pings it has answered.
#[derive(Clone, Debug)]
pub(super) struct Probe {
    next_ping: Millis,
    interval: Millis,
    unanswered: VecDeque<UnansweredPing>,
    /// When the newest answered ping was sent.
    answered_ping_sent_at: Option<Millis>,
    /// When the first ping without an answer was sent.
    missing_since: Option<Millis>,
    misses: u32,
    cooldown_until: Millis,
}

impl Probe {
    /// A probe that is due at once.
    pub(super) fn new(now: Millis, options: &Options) -> Self {
        Probe {
            next_ping: now,
            interval: options.ping_interval_ms,
            unanswered: VecDeque::new(),
            answered_ping_sent_at: None,
            missing_since: None,
            misses: 0,
            cooldown_until: 0,
        }
    }

    pub(super) fn next_ping(&self) -> Millis {
        self.next_ping
    }

    /// When the newest answered ping was sent. The time of sending counts, not that of receipt: an answer that lay
    /// in the socket of a stalled process proves nothing about the present.
    pub(super) fn answered_ping_sent_at(&self) -> Option<Millis> {
        self.answered_ping_sent_at
    }

    pub(super) fn is_due(&self, now: Millis) -> bool {
        self.next_ping <= now
    }

    /// Records a sent ping. With `backs_off` the interval doubles up to `max_backoff_ms`.
    pub(super) fn record_ping(&mut self, now: Millis, number: u64, backs_off: bool, options: &Options) {
        if self.unanswered.len() == MAX_UNANSWERED_PINGS {
            self.unanswered.pop_front();
        }
        self.unanswered.push_back(UnansweredPing { number, sent_at: now });
        self.missing_since.get_or_insert(now);
        self.misses = self.misses.saturating_add(1);
        self.interval = if backs_off {
            (self.interval * 2).min(options.max_backoff_ms)
        } else {
            options.ping_interval_ms
        };
        self.next_ping = now + self.interval;
    }

    /// Records the answer to a ping, which covers all earlier ones; false if the number is unknown.
    pub(super) fn record_pong(&mut self, number: u64) -> bool {
        let Some(index) = self.unanswered.iter().position(|ping| ping.number == number) else {
            return false;
        };
        for ping in self.unanswered.drain(..=index) {
            self.answered_ping_sent_at = self.answered_ping_sent_at.max(Some(ping.sent_at));
        }
        self.missing_since = self.unanswered.front().map(|ping| ping.sent_at);
        self.misses = u32::try_from(self.unanswered.len()).unwrap_or(u32::MAX);
        true
    }

    /// Whether the node has missed enough answers to be suspected.
    pub(super) fn has_timed_out(&self, now: Millis, options: &Options) -> bool {
        let overdue = self.missing_since.is_some_and(|since| since + options.ping_timeout_ms <= now);
        overdue && self.misses >= MIN_MISSES_TO_SUSPECT && self.cooldown_until <= now
    }

    /// Suppresses suspicions until a time, as others reach the node though this one does not.
    pub(super) fn cool_down(&mut self, until: Millis) {
        self.cooldown_until = until;
    }

    /// Makes a ping due at once, and resets the backoff.
    pub(super) fn expedite(&mut self, now: Millis, options: &Options) {
        self.next_ping = self.next_ping.min(now);
        self.interval = options.ping_interval_ms;
    }

    /// After a stall of this process answers may still be unread, so that misses are counted from now.
    pub(super) fn reset_misses(&mut self, now: Millis) {
        self.missing_since = self.missing_since.map(|_| now);
        self.misses = self.misses.min(1);
    }
}
