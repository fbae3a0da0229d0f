//! What a leader knows of another replica: how far its log matches, which messages are in flight, and whether it counts
//! towards a quorum.

use std::collections::VecDeque;

use shaletrail_protocol::Millis;

use crate::entry::Index;
use crate::message::{RoundStamp, VoterStatus};
use crate::options::Options;

/// What a leader reports of another replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerStatus {
    /// How far its log is known to match the leader's and to be synced.
    pub matched: Index,
    /// Whether it counts for majorities: false until it has responded in this term and, if recovering, has rejoined.
    pub counts_towards_quorum: bool,
    /// When the newest message was sent that it has responded to, by the leader's clock, in milliseconds.
    pub last_contact: Option<Millis>,
}

/// A message with entries that was not acknowledged yet.
#[derive(Clone, Debug)]
struct InFlight {
    last: Index,
    bytes: usize,
}

/// Whether it is known where the other log begins to differ.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ProgressState {
    /// It is being looked for, with one message at a time.
    Probe,
    /// It is known; several messages may be in flight.
    Replicate,
}

/// How the status in a response fits to what is known of the replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StatusCheck {
    /// It speaks for the disk that is known.
    Current,
    /// It was sent before the disk was lost, or before the replica rejoined.
    Stale,
    /// The disk was lost, which was not known: the leader has to append a rejoin point.
    NewlyRecovering,
}

/// A leader's progress with another replica in its term.
#[derive(Clone, Debug)]
pub(crate) struct Progress {
    /// How far the log matches and is synced.
    matched: Index,
    /// The first entry that was not sent.
    next: Index,
    state: ProgressState,
    /// Messages with entries, oldest first.
    in_flight: VecDeque<InFlight>,
    in_flight_bytes: usize,
    /// The stamp and size of the last message with entries.
    last_sent: RoundStamp,
    last_sent_bytes: usize,
    /// The last entry of the snapshot that is in flight.
    pending_snapshot: Option<Index>,
    /// Since when it has acknowledged no further entries although some are on their way to it and it responds.
    waiting_since: Option<Millis>,
    /// The newest stamp acknowledged by the disk that is known.
    last_ack: Option<RoundStamp>,
    /// The newest round responded to, whether that counts or not.
    last_response_round: u64,
    /// The disk that the replica speaks for; `None` until it has responded in this term.
    disk_id: Option<u64>,
    /// The rejoin point, while the replica is recovering; [`Index::MAX`] until it is appended.
    rejoin_index: Option<Index>,
}

impl Progress {
    /// Of a replica of which nothing is known, in a log that ends before `next`.
    pub fn new(next: Index) -> Self {
        Progress {
            matched: 0,
            next,
            state: ProgressState::Probe,
            in_flight: VecDeque::new(),
            in_flight_bytes: 0,
            last_sent: RoundStamp::default(),
            last_sent_bytes: 0,
            pending_snapshot: None,
            waiting_since: None,
            last_ack: None,
            last_response_round: 0,
            disk_id: None,
            rejoin_index: None,
        }
    }

    /// What the owner of the leader may see.
    pub fn status(&self) -> PeerStatus {
        PeerStatus {
            matched: self.matched,
            counts_towards_quorum: self.counts_towards_quorum(),
            last_contact: self.last_ack.map(|stamp| stamp.sent_at),
        }
    }

    /// Whether it may count for majorities: what an unknown or a lost disk holds is not known.
    pub fn counts_towards_quorum(&self) -> bool {
        self.disk_id.is_some() && self.rejoin_index.is_none()
    }

    /// How far it counts for commits.
    pub fn quorum_matched(&self) -> Index {
        if self.counts_towards_quorum() {
            self.matched
        } else {
            0
        }
    }

    /// The newest stamp that counts for reads, leases and contact.
    pub fn quorum_ack(&self) -> RoundStamp {
        self.last_ack.filter(|_| self.counts_towards_quorum()).unwrap_or_default()
    }

    /// The first entry that was not sent.
    pub fn next(&self) -> Index {
        self.next
    }

    /// Whether one more message with entries may leave now.
    pub fn can_send_entries(&self, options: &Options) -> bool {
        match self.state {
            ProgressState::Probe => self.in_flight.is_empty(),
            ProgressState::Replicate => {
                self.in_flight.len() < options.max_in_flight_messages
                    && (self.in_flight.is_empty() || self.in_flight_bytes < options.max_in_flight_bytes)
            }
        }
    }

    /// Whether a probe has to be sent, also where the log has no entry to go with it.
    pub fn needs_probe(&self) -> bool {
        self.state == ProgressState::Probe && self.in_flight.is_empty()
    }

    /// Whether it is known where the other log begins to differ.
    pub fn is_replicating(&self) -> bool {
        self.state == ProgressState::Replicate
    }

    /// The disk that may rejoin: the rejoin point is committed by the others, and synced on that disk.
    pub fn disk_ready_to_rejoin(&self, commit: Index) -> Option<u64> {
        let point = self.rejoin_index?;
        self.disk_id.filter(|_| point <= commit && point <= self.matched)
    }

    /// The first entry that it needs next; `None` while it is not known how far its log matches.
    pub fn first_needed(&self) -> Option<Index> {
        let held = self.pending_snapshot.or((self.matched > 0).then_some(self.matched));
        held.map(|index| index + 1)
    }

    /// Whether a snapshot is on its way to it.
    pub fn is_receiving_snapshot(&self) -> bool {
        self.pending_snapshot.is_some()
    }

    /// Whether it responds, and its disk goes on acknowledging what was sent.
    pub fn is_making_progress(&self, now: Millis, options: &Options) -> bool {
        let stall_ms = options.catch_up_stall_ms + options.transfer_ms(self.in_flight_bytes);
        let is_stalled = self.waiting_since.is_some_and(|since| now >= since + stall_ms);
        self.is_in_contact(now, options) && !is_stalled
    }

    /// Whether it has responded lately. Responses queue up behind the entries that are in flight.
    fn is_in_contact(&self, now: Millis, options: &Options) -> bool {
        let limit = options.election_max_ms + options.transfer_ms(self.in_flight_bytes);
        self.last_ack.is_some_and(|stamp| now <= stamp.sent_at + limit)
    }

    /// A message that ends with `last` was sent.
    pub fn record_sent(&mut self, last: Index, bytes: usize, stamp: RoundStamp) {
        self.in_flight.push_back(InFlight { last, bytes });
        self.in_flight_bytes += bytes;
        self.next = last + 1;
        self.last_sent = stamp;
        self.last_sent_bytes = bytes;
        self.waiting_since.get_or_insert(stamp.sent_at);
    }

    /// A snapshot that ends with `last` was sent.
    pub fn record_snapshot_sent(&mut self, last: Index, bytes: usize, stamp: RoundStamp) {
        self.record_sent(last, bytes, stamp);
        self.pending_snapshot = Some(last);
    }

    /// Checks the status in a response, and starts anew with a new disk. `next` is the entry after the leader's last.
    pub fn check_status(&mut self, status: VoterStatus, stamp: RoundStamp, next: Index) -> StatusCheck {
        let check = match self.disk_id {
            Some(disk_id) if disk_id == status.disk_id => self.check_known_disk(status.recovering),
            // An older disk's response: the newest disk is recovering at first, and responds to newer rounds.
            Some(_) if !status.recovering || stamp.round <= self.last_response_round => StatusCheck::Stale,
            _ => self.adopt_disk(status, next),
        };
        if check != StatusCheck::Stale {
            self.last_response_round = self.last_response_round.max(stamp.round);
        }
        check
    }

    fn check_known_disk(&mut self, recovering: bool) -> StatusCheck {
        if recovering && self.rejoin_index.is_none() {
            return StatusCheck::Stale;
        }
        if !recovering && self.rejoin_index.take().is_some() {
            // What it acknowledged while recovering counts for nothing.
            self.last_ack = None;
        }
        StatusCheck::Current
    }

    fn adopt_disk(&mut self, status: VoterStatus, next: Index) -> StatusCheck {
        if self.disk_id.is_some() {
            *self = Progress::new(next);
        }
        self.disk_id = Some(status.disk_id);
        if !status.recovering {
            return StatusCheck::Current;
        }
        self.rejoin_index = Some(Index::MAX);
        StatusCheck::NewlyRecovering
    }

    /// Sets the rejoin point of a replica that is recovering.
    pub fn set_rejoin_index(&mut self, point: Index) {
        self.rejoin_index = Some(point);
    }

    /// Records the stamp of a response; one from the future is none of this leader's.
    pub fn record_ack(&mut self, stamp: RoundStamp, now: Millis, options: &Options) {
        let newest = self.last_ack.unwrap_or_default();
        if stamp.round < newest.round || stamp.sent_at > now {
            return;
        }
        if !self.is_in_contact(now, options) {
            // What was sent while it was unreachable says nothing of its disk.
            self.waiting_since = self.waiting_since.map(|_| now);
        }
        self.last_ack = Some(stamp);
    }

    /// Its log matches up to `index`, and is synced.
    pub fn on_matched(&mut self, index: Index, now: Millis) {
        let is_advance = index > self.matched;
        while let Some(first) = self.in_flight.front().filter(|first| first.last <= index) {
            self.in_flight_bytes -= first.bytes;
            self.in_flight.pop_front();
            self.state = ProgressState::Replicate;
        }
        self.matched = self.matched.max(index);
        self.next = self.next.max(index + 1);
        self.pending_snapshot = self.pending_snapshot.filter(|snapshot| *snapshot > index);
        if self.in_flight.is_empty() {
            self.waiting_since = None;
        } else if is_advance {
            self.waiting_since = Some(now);
        }
    }

    /// Its log matches up to `hint` at most. A response to an older probe than the last says nothing new.
    pub fn on_conflict(&mut self, hint: Index, stamp: RoundStamp) {
        if self.state == ProgressState::Replicate || stamp.round >= self.last_sent.round {
            self.restart_at(hint);
        }
    }

    /// Sends again what got lost, by a response to a later message that says how far entries were received. The time
    /// that the last message may take rises with its size.
    pub fn resend_if_lost(&mut self, received: Index, stamp: RoundStamp, now: Millis, options: &Options) {
        let Some(last) = self.in_flight.back() else { return };
        let transfer_ms = options.transfer_ms(self.last_sent_bytes);
        let lost_at = self.last_sent.sent_at + options.resend_after_ms + transfer_ms;
        if last.last > received && stamp.round > self.last_sent.round && now >= lost_at {
            self.restart_at(received);
        }
    }

    /// Probes a replica that knows its log to match up to `received` only, less than it has acknowledged: it has
    /// restarted in this term, and commits nothing beyond that until a probe tells it.
    pub fn probe_if_restarted(&mut self, received: Index) {
        if received < self.matched && self.in_flight.is_empty() {
            self.restart_at(self.matched);
        }
    }

    /// Probes from the entry after `index` on.
    fn restart_at(&mut self, index: Index) {
        self.in_flight.clear();
        self.in_flight_bytes = 0;
        self.pending_snapshot = None;
        self.state = ProgressState::Probe;
        self.next = index.min(self.next.saturating_sub(1)).max(self.matched) + 1;
    }
}
