//! Pings to one node and what their answers tell.

use std::collections::VecDeque;

use shaletrail_protocol::Millis;

use super::Options;

/// Pings without an answer that are remembered, at most.
const OUTSTANDING_KEPT: usize = 16;
/// Unanswered pings that a suspicion needs at least.
const MISSES_TO_SUSPECT: u32 = 2;

#[derive(Clone, Copy, Debug)]
struct Outstanding {
    number: u64,
    sent: Millis,
}

/// Pings to one node.
#[derive(Clone, Debug)]
pub(super) struct Probe {
    next: Millis,
    interval: Millis,
    outstanding: VecDeque<Outstanding>,
    /// When the newest answered ping was sent.
    answered: Option<Millis>,
    /// When the first of the pings was sent that have found no answer since the last answer.
    missing_since: Option<Millis>,
    misses: u32,
    calm_until: Millis,
}

impl Probe {
    pub(super) fn new(now: Millis, options: &Options) -> Self {
        Probe {
            next: now,
            interval: options.ping_ms,
            outstanding: VecDeque::new(),
            answered: None,
            missing_since: None,
            misses: 0,
            calm_until: 0,
        }
    }

    pub(super) fn next(&self) -> Millis {
        self.next
    }

    /// When the newest ping was sent that has been answered.
    pub(super) fn answered(&self) -> Option<Millis> {
        self.answered
    }

    pub(super) fn is_due(&self, now: Millis) -> bool {
        self.next <= now
    }

    /// Notes a ping. `patient` nodes are pinged ever more rarely.
    pub(super) fn sent(&mut self, now: Millis, number: u64, patient: bool, options: &Options) {
        if self.outstanding.len() == OUTSTANDING_KEPT {
            self.outstanding.pop_front();
        }
        self.outstanding.push_back(Outstanding { number, sent: now });
        self.missing_since.get_or_insert(now);
        self.misses = self.misses.saturating_add(1);
        self.interval =
            if patient { (self.interval * 2).min(options.max_backoff_ms) } else { options.ping_ms };
        self.next = now + self.interval;
    }

    /// Takes an answer; false if it belongs to no ping that is remembered.
    pub(super) fn pong(&mut self, number: u64) -> bool {
        let Some(place) = self.outstanding.iter().position(|ping| ping.number == number) else {
            return false;
        };
        for ping in self.outstanding.drain(..=place) {
            self.answered = self.answered.max(Some(ping.sent));
        }
        self.missing_since = self.outstanding.front().map(|ping| ping.sent);
        self.misses = u32::try_from(self.outstanding.len()).unwrap_or(u32::MAX);
        true
    }

    /// Whether the node has missed enough answers to be suspected.
    pub(super) fn is_missing(&self, now: Millis, options: &Options) -> bool {
        let silent = self.missing_since.is_some_and(|since| since + options.suspect_ms <= now);
        silent && self.misses >= MISSES_TO_SUSPECT && self.calm_until <= now
    }

    /// Others have heard the node though this one has not: leaves it alone for a while.
    pub(super) fn calm(&mut self, until: Millis) {
        self.calm_until = until;
    }

    /// Asks for a ping at once.
    pub(super) fn hasten(&mut self, now: Millis, options: &Options) {
        self.next = self.next.min(now);
        self.interval = options.ping_ms;
    }

    /// This process stood still: answers may wait to be read, so that misses count anew from now.
    pub(super) fn forgive(&mut self, now: Millis) {
        self.missing_since = self.missing_since.map(|_| now);
        self.misses = self.misses.min(1);
    }
}
