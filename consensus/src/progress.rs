//! What a leader knows about another replica: how far its log matches, which messages are in flight, and whether it
//! counts towards quorums.

use std::collections::VecDeque;

use shaletrail_protocol::Millis;

use crate::entry::Index;
use crate::message::{RoundStamp, VoterStatus};
use crate::options::Options;

/// The part of a leader's knowledge about another replica that is visible to the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerStatus {
    /// Highest index up to which its log is known to match the leader's and to be synced.
    pub matched: Index,
    /// Whether it counts towards quorums. False until it has responded in this term and, if it was recovering, has
    /// rejoined.
    pub counts_towards_quorum: bool,
    /// Send time of the latest message that it has responded to, in milliseconds by the leader's clock. `None` if it
    /// has not responded yet.
    pub last_contact: Option<Millis>,
}

/// An unacknowledged message with entries or a snapshot.
#[derive(Clone, Debug)]
struct InFlightMessage {
    last: Index,
    bytes: usize,
}

/// Whether the leader knows where the other replica's log starts to differ from its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ProgressState {
    /// Not known yet. The leader sends one message at a time to find out.
    Probe,
    /// Known. Several messages may be in flight.
    Replicate,
}

/// How the status in a response relates to what is known about the replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StatusCheck {
    /// The response comes from the known disk.
    Current,
    /// The response was sent before the disk was lost, or before the replica rejoined.
    Stale,
    /// The response reveals that a disk was lost. The leader has to append a rejoin point.
    NewlyRecovering,
}

/// A leader's view of another replica's progress during the leader's term.
#[derive(Clone, Debug)]
pub(crate) struct Progress {
    /// Highest index up to which its log matches the leader's and is synced.
    matched: Index,
    /// Index of the next entry to send.
    next: Index,
    state: ProgressState,
    /// Unacknowledged messages, oldest first.
    in_flight: VecDeque<InFlightMessage>,
    in_flight_bytes: usize,
    /// Stamp of the latest message with entries or a snapshot.
    last_sent: RoundStamp,
    last_sent_bytes: usize,
    /// Last index covered by the snapshot in flight.
    pending_snapshot: Option<Index>,
    /// Since when it has acknowledged no new entries although some are in flight. Reset when it comes back into
    /// contact.
    no_progress_since: Option<Millis>,
    /// The latest stamp acknowledged by the known disk.
    last_ack: Option<RoundStamp>,
    /// The latest round responded to, whether or not the response counts towards quorums.
    last_response_round: u64,
    /// The disk that the replica responds with; `None` until it has responded in this term.
    disk_id: Option<u64>,
    /// The rejoin point, while the replica is recovering; [`Index::MAX`] until it is appended. `None` for a replica
    /// that is not recovering.
    rejoin_index: Option<Index>,
}

impl Progress {
    /// The progress of a replica about which nothing is known, for a leader's log that ends before `next`.
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
            no_progress_since: None,
            last_ack: None,
            last_response_round: 0,
            disk_id: None,
            rejoin_index: None,
        }
    }

    /// The part of the progress that is visible to the caller.
    pub fn status(&self) -> PeerStatus {
        PeerStatus {
            matched: self.matched,
            counts_towards_quorum: self.counts_towards_quorum(),
            last_contact: self.last_ack.map(|stamp| stamp.sent_at),
        }
    }

    /// Whether it may count towards quorums. It may not if its disk is unknown or was lost, because then what it holds
    /// is unknown.
    pub fn counts_towards_quorum(&self) -> bool {
        self.disk_id.is_some() && self.rejoin_index.is_none()
    }

    /// The highest index up to which it counts towards commits; 0 if it does not count.
    pub fn quorum_matched(&self) -> Index {
        if self.counts_towards_quorum() {
            self.matched
        } else {
            0
        }
    }

    /// The latest stamp that counts towards reads, leases and quorum contact; the zero stamp if it does not count.
    pub fn quorum_ack(&self) -> RoundStamp {
        self.last_ack.filter(|_| self.counts_towards_quorum()).unwrap_or_default()
    }

    /// Index of the next entry to send.
    pub fn next(&self) -> Index {
        self.next
    }

    /// Whether another message with entries may be sent now.
    pub fn can_send_entries(&self, options: &Options) -> bool {
        match self.state {
            ProgressState::Probe => self.in_flight.is_empty(),
            ProgressState::Replicate => {
                self.in_flight.len() < options.max_in_flight_messages
                    && (self.in_flight.is_empty() || self.in_flight_bytes < options.max_in_flight_bytes)
            }
        }
    }

    /// Whether a probe has to be sent, even if there are no entries to send with it.
    pub fn needs_probe(&self) -> bool {
        self.state == ProgressState::Probe && self.in_flight.is_empty()
    }

    /// Whether it is known where its log starts to differ from the leader's.
    pub fn is_replicating(&self) -> bool {
        self.state == ProgressState::Replicate
    }

    /// The disk that may rejoin: the other voters have committed the rejoin point, and that disk has synced it.
    pub fn disk_ready_to_rejoin(&self, commit: Index) -> Option<u64> {
        let point = self.rejoin_index?;
        self.disk_id.filter(|_| point <= commit && point <= self.matched)
    }

    /// Index of the first entry that it still needs; `None` if it is not known how far its log matches.
    pub fn first_needed(&self) -> Option<Index> {
        let held = self.pending_snapshot.or((self.matched > 0).then_some(self.matched));
        held.map(|index| index + 1)
    }

    /// Whether a snapshot is in flight to it: sent, but neither acknowledged nor given up by a new probe.
    pub fn is_receiving_snapshot(&self) -> bool {
        self.pending_snapshot.is_some()
    }

    /// Whether it responds, and its disk keeps acknowledging the entries sent to it.
    pub fn is_making_progress(&self, now: Millis, options: &Options) -> bool {
        let stall_ms = options.catch_up_stall_ms + options.transfer_ms(self.in_flight_bytes);
        let is_stalled = self.no_progress_since.is_some_and(|since| now >= since + stall_ms);
        self.is_in_contact(now, options) && !is_stalled
    }

    /// Whether it has responded recently. The limit includes the transfer time of the entries in flight, because
    /// responses queue up behind them.
    fn is_in_contact(&self, now: Millis, options: &Options) -> bool {
        let limit = options.election_max_ms + options.transfer_ms(self.in_flight_bytes);
        self.last_ack.is_some_and(|stamp| now <= stamp.sent_at + limit)
    }

    /// Records that a message ending with the entry at `last` was sent.
    pub fn record_sent(&mut self, last: Index, bytes: usize, stamp: RoundStamp) {
        self.in_flight.push_back(InFlightMessage { last, bytes });
        self.in_flight_bytes += bytes;
        self.next = last + 1;
        self.last_sent = stamp;
        self.last_sent_bytes = bytes;
        self.no_progress_since.get_or_insert(stamp.sent_at);
    }

    /// Records that a snapshot ending with the entry at `last` was sent.
    pub fn record_snapshot_sent(&mut self, last: Index, bytes: usize, stamp: RoundStamp) {
        self.record_sent(last, bytes, stamp);
        self.pending_snapshot = Some(last);
    }

    /// Checks the status in a response, and starts over if it comes from a new disk. `next` is the index after the
    /// leader's last entry.
    pub fn check_status(&mut self, status: VoterStatus, stamp: RoundStamp, next: Index) -> StatusCheck {
        let check = match self.disk_id {
            Some(disk_id) if disk_id == status.disk_id => self.check_known_disk(status.recovering),
            // A response from an earlier disk. A new disk is recovering at first, and responds to later rounds.
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
            // Acknowledgements from the time when it was recovering do not count.
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

    /// Sets the rejoin point of a recovering replica: the index of an entry that the leader appends for it.
    pub fn set_rejoin_index(&mut self, point: Index) {
        self.rejoin_index = Some(point);
    }

    /// Records the stamp of a response. A stamp from the future cannot have been sent by this leader and is ignored.
    pub fn record_ack(&mut self, stamp: RoundStamp, now: Millis, options: &Options) {
        let newest = self.last_ack.unwrap_or_default();
        if stamp.round < newest.round || stamp.sent_at > now {
            return;
        }
        if !self.is_in_contact(now, options) {
            // Messages sent while it was unreachable do not show whether its disk makes progress.
            self.no_progress_since = self.no_progress_since.map(|_| now);
        }
        self.last_ack = Some(stamp);
    }

    /// Records that its log matches the leader's and is synced up to `index`.
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
            self.no_progress_since = None;
        } else if is_advance {
            self.no_progress_since = Some(now);
        }
    }

    /// Records that its log matches the leader's up to `hint` at most. A response to a probe before the latest one is
    /// ignored.
    pub fn on_conflict(&mut self, hint: Index, stamp: RoundStamp) {
        if self.state == ProgressState::Replicate || stamp.round >= self.last_sent.round {
            self.become_probe(hint);
        }
    }

    /// Resends entries that were lost. They are considered lost if a response to a later message shows that they were
    /// not received, and enough time has passed for a message of their size.
    pub fn resend_if_lost(&mut self, received: Index, stamp: RoundStamp, now: Millis, options: &Options) {
        let Some(last) = self.in_flight.back() else { return };
        let transfer_ms = options.transfer_ms(self.last_sent_bytes);
        let lost_at = self.last_sent.sent_at + options.resend_after_ms + transfer_ms;
        if last.last > received && stamp.round > self.last_sent.round && now >= lost_at {
            self.become_probe(received);
        }
    }

    /// Probes a replica whose received index is lower than what it has acknowledged. It has restarted during this term,
    /// and commits nothing beyond that index until a probe tells it that its log matches.
    pub fn probe_if_restarted(&mut self, received: Index) {
        if received < self.matched && self.in_flight.is_empty() {
            self.become_probe(self.matched);
        }
    }

    /// Returns to probing, starting with the entry after `index`.
    fn become_probe(&mut self, index: Index) {
        self.in_flight.clear();
        self.in_flight_bytes = 0;
        self.pending_snapshot = None;
        self.state = ProgressState::Probe;
        self.next = index.min(self.next.saturating_sub(1)).max(self.matched) + 1;
    }
}
