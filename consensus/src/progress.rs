//! What a leader knows of another replica.

use std::collections::VecDeque;

use shaletrail_protocol::Millis;

use crate::entry::Index;
use crate::message::{RoundStamp, VoterStatus};
use crate::options::Options;

/// What a leader says of another replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerStatus {
    /// How far its log is known to be the leader's and synced.
    pub matched: Index,
    /// Whether it counts for majorities: false until it was heard and, if recovering, readmitted.
    pub counts_towards_quorum: bool,
    /// When the newest message was sent that it has answered, by the leader's clock.
    pub last_contact: Option<Millis>,
}

/// A message with entries that was not acknowledged yet.
#[derive(Clone, Debug)]
struct InFlight {
    last: Index,
    bytes: usize,
}

/// Whether the other log's end is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mode {
    /// It is being looked for: one message at a time.
    Probe,
    /// It is known: several messages may be under way.
    Stream,
}

/// How an answer's standing fits to what is known of the replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Heard {
    /// It speaks for the disk that is known.
    Known,
    /// It is from before a loss, or from before a readmission.
    Stale,
    /// It tells of a loss that was not known: a readmission point is needed.
    NewlyRecovering,
}

/// A leader's book on another replica.
#[derive(Clone, Debug)]
pub(crate) struct Progress {
    matched: Index,
    next: Index,
    mode: Mode,
    in_flight: VecDeque<InFlight>,
    in_flight_bytes: usize,
    sent: RoundStamp,
    sent_bytes: usize,
    answered: Option<RoundStamp>,
    /// The newest round answered, whether it counts or not.
    heard_round: u64,
    boot: Option<u64>,
    /// The readmission point, while the replica is recovering.
    readmission: Option<Index>,
}

impl Progress {
    /// Of a replica of which nothing is known, in a log that ends before `next`.
    pub fn new(next: Index) -> Self {
        Progress {
            matched: 0,
            next,
            mode: Mode::Probe,
            in_flight: VecDeque::new(),
            in_flight_bytes: 0,
            sent: RoundStamp::default(),
            sent_bytes: 0,
            answered: None,
            heard_round: 0,
            boot: None,
            readmission: None,
        }
    }

    /// For reports.
    pub fn status(&self) -> PeerStatus {
        PeerStatus {
            matched: self.matched,
            counts_towards_quorum: self.counts(),
            last_contact: self.answered.map(|stamp| stamp.sent_at),
        }
    }

    /// Whether it may count for majorities.
    pub fn counts(&self) -> bool {
        self.boot.is_some() && self.readmission.is_none()
    }

    /// How far it counts for commits.
    pub fn counted_match(&self) -> Index {
        if self.counts() {
            self.matched
        } else {
            0
        }
    }

    /// The newest stamp that counts for reads, leases and contact.
    pub fn counted_answer(&self) -> RoundStamp {
        self.answered.filter(|_| self.counts()).unwrap_or_default()
    }

    /// The first entry that was not sent.
    pub fn next(&self) -> Index {
        self.next
    }

    /// Whether one more message with entries may go out now.
    pub fn is_open(&self, options: &Options) -> bool {
        match self.mode {
            Mode::Probe => self.in_flight.is_empty(),
            Mode::Stream => {
                self.in_flight.len() < options.max_in_flight_messages
                    && (self.in_flight.is_empty() || self.in_flight_bytes < options.max_in_flight_bytes)
            }
        }
    }

    /// Whether the end of its log is being looked for and no message is out to find it.
    pub fn needs_probe(&self) -> bool {
        self.mode == Mode::Probe && self.in_flight.is_empty()
    }

    /// Whether the other log's end is known.
    pub fn is_streaming(&self) -> bool {
        self.mode == Mode::Stream
    }

    /// The boot to readmit, where the point is reached and committed.
    pub fn readmittable(&self, commit: Index) -> Option<u64> {
        let point = self.readmission?;
        self.boot.filter(|_| point <= commit && point <= self.matched)
    }

    /// A message that ends with `last` was sent.
    pub fn sent(&mut self, last: Index, bytes: usize, stamp: RoundStamp) {
        self.in_flight.push_back(InFlight { last, bytes });
        self.in_flight_bytes += bytes;
        self.next = last + 1;
        self.sent = stamp;
        self.sent_bytes = bytes;
    }

    /// Judges an answer's standing, and starts anew with a new disk. `next` is the entry after the leader's last.
    pub fn hear(&mut self, standing: VoterStatus, stamp: RoundStamp, next: Index) -> Heard {
        let heard = match self.boot {
            Some(boot) if boot == standing.disk_id => self.hear_same_disk(standing.recovering),
            Some(_) if !standing.recovering || stamp.round <= self.heard_round => Heard::Stale,
            _ => self.hear_new_disk(standing, next),
        };
        if heard != Heard::Stale {
            self.heard_round = self.heard_round.max(stamp.round);
        }
        heard
    }

    fn hear_same_disk(&mut self, recovering: bool) -> Heard {
        if recovering && self.readmission.is_none() {
            return Heard::Stale;
        }
        if !recovering && self.readmission.take().is_some() {
            self.answered = None;
        }
        Heard::Known
    }

    fn hear_new_disk(&mut self, standing: VoterStatus, next: Index) -> Heard {
        if self.boot.is_some() {
            *self = Progress::new(next);
        }
        self.boot = Some(standing.disk_id);
        if !standing.recovering {
            return Heard::Known;
        }
        self.readmission = Some(Index::MAX);
        Heard::NewlyRecovering
    }

    /// Sets the readmission point of a replica that is recovering.
    pub fn readmit_at(&mut self, point: Index) {
        self.readmission = Some(point);
    }

    /// Notes the stamp of an answer; one from the future is none.
    pub fn answered(&mut self, stamp: RoundStamp, now: Millis) {
        let newest = self.answered.unwrap_or_default();
        if stamp.round >= newest.round && stamp.sent_at <= now {
            self.answered = Some(stamp);
        }
    }

    /// Its log is the leader's up to `index`, and synced.
    pub fn on_matched(&mut self, index: Index) {
        while let Some(first) = self.in_flight.front().filter(|first| first.last <= index) {
            self.in_flight_bytes -= first.bytes;
            self.in_flight.pop_front();
            self.mode = Mode::Stream;
        }
        self.matched = self.matched.max(index);
        self.next = self.next.max(index + 1);
    }

    /// Its log is the leader's up to `hint` at most. An answer to an older probe than the last says nothing new.
    pub fn on_conflict(&mut self, hint: Index, stamp: RoundStamp) {
        if self.mode == Mode::Stream || stamp.round >= self.sent.round {
            self.restart_at(hint);
        }
    }

    /// An answer to a later message says how far it has received entries: sends again what got lost.
    pub fn on_received(&mut self, received: Index, stamp: RoundStamp, now: Millis, options: &Options) {
        let Some(last) = self.in_flight.back() else { return };
        let wait = options.resend_after_ms + (self.sent_bytes / options.resend_bytes_per_ms.max(1)) as Millis;
        if last.last > received && stamp.round > self.sent.round && now >= self.sent.sent_at + wait {
            self.restart_at(received);
        }
    }

    /// It tells that it knows its log to be the leader's up to `verified` only, less than it has acknowledged: it has
    /// started anew in this term. A probe tells it, as commits count for it only as far as it knows.
    pub fn on_verified(&mut self, verified: Index) {
        if verified < self.matched && self.in_flight.is_empty() {
            self.restart_at(self.matched);
        }
    }

    fn restart_at(&mut self, index: Index) {
        self.in_flight.clear();
        self.in_flight_bytes = 0;
        self.mode = Mode::Probe;
        self.next = index.min(self.next.saturating_sub(1)).max(self.matched) + 1;
    }
}
