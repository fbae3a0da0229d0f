//! Handling of the messages that a leader sends.

use shaletrail_protocol::NodeId;

use crate::entry::{Entry, Index, LogPosition, Term};
use crate::message::{AppendOutcome, Message, RoundStamp};
use crate::record::{Record, Snapshot};
use crate::replica::{Replica, RoleState};

impl Replica {
    /// Follows the sender of a leader's message. Returns false if the message belongs to an earlier term.
    pub(crate) fn follow_leader(&mut self, from: NodeId, term: Term) -> bool {
        if term < self.hard_state.term || (term == self.hard_state.term && self.is_leader()) {
            return false;
        }
        if term > self.hard_state.term || !matches!(self.role_state, RoleState::Follower) {
            self.become_follower(term, Some(from));
        }
        self.bootstrapping = false;
        self.leader = Some(from);
        self.leader_lease_until = self.now + self.options.election_min_ms;
        self.reset_election_timeout();
        true
    }

    /// Like [`Replica::follow_leader`], but answers a sender of an earlier term with the current term.
    pub(crate) fn follow_or_reject(&mut self, from: NodeId, term: Term) -> bool {
        let follows = self.follow_leader(from, term);
        if !follows && term < self.hard_state.term {
            let response = self.heartbeat_response(RoundStamp::default());
            self.send_in_term(from, response);
        }
        follows
    }

    pub(crate) fn on_heartbeat(&mut self, from: NodeId, term: Term, commit: Index, stamp: RoundStamp) {
        if !self.follow_or_reject(from, term) {
            return;
        }
        self.commit_to(commit.min(self.leader_match_index));
        let response = self.heartbeat_response(stamp);
        self.send_in_term(from, response);
    }

    /// The response carries two indexes. Only synced entries may count towards commits, while the received index tells
    /// the leader whether entries were lost in transit.
    fn heartbeat_response(&self, stamp: RoundStamp) -> Message {
        Message::HeartbeatResponse {
            term: self.hard_state.term,
            stamp,
            received: self.leader_match_index,
            matched: self.leader_match_index.min(self.persistence.synced_index()),
            status: self.voter_status(),
        }
    }

    fn send_append_response(&mut self, to: NodeId, outcome: AppendOutcome, stamp: RoundStamp) {
        let status = self.voter_status();
        let response = Message::AppendResponse { term: self.hard_state.term, stamp, outcome, status };
        match outcome {
            AppendOutcome::Matched(_) => self.send_after_sync(to, response),
            AppendOutcome::Conflict(_) => self.send_in_term(to, response),
        }
    }

    /// Appends the entries if `previous` is in the log (Log Matching; Ongaro's thesis, section 3.5).
    pub(crate) fn on_append(
        &mut self,
        from: NodeId,
        previous: LogPosition,
        entries: Vec<Entry>,
        commit: Index,
        stamp: RoundStamp,
    ) {
        let in_order = (previous.index + 1..).zip(&entries).all(|(index, entry)| entry.index == index);
        if !in_order {
            return;
        }
        if !self.matches_log(previous) {
            let limit = previous.index.saturating_sub(1);
            let hint = self.log.find_conflict_by_term(limit, previous.term).min(limit);
            self.send_append_response(from, AppendOutcome::Conflict(hint), stamp);
            return;
        }
        let matched = previous.index + entries.len() as Index;
        if !self.append_from_leader(entries) {
            return;
        }
        self.leader_match_index = self.leader_match_index.max(matched);
        self.commit_to(commit.min(self.leader_match_index));
        self.send_append_response(from, AppendOutcome::Matched(matched), stamp);
    }

    /// Whether the entry is in the log, or at or below the commit index. A committed entry is the same in the leader's
    /// log (Leader Completeness).
    fn matches_log(&self, position: LogPosition) -> bool {
        position.index <= self.commit_index || self.log.contains(position)
    }

    /// Appends the missing entries and truncates the log at the first conflicting one. Returns false if the entries do
    /// not follow directly on the remaining log, which would mean dropping committed entries.
    fn append_from_leader(&mut self, entries: Vec<Entry>) -> bool {
        let is_new = |entry: &Entry| entry.index > self.commit_index && !self.log.contains(entry.position());
        let missing: Vec<Entry> = entries.into_iter().skip_while(|entry| !is_new(entry)).collect();
        let Some(first) = missing.first().map(|entry| entry.index) else { return true };
        if first <= self.log.last_position().index {
            self.log.truncate(first);
            self.persistence.on_truncated(first);
        }
        if first != self.log.last_position().index + 1 {
            return false;
        }
        self.persistence.record(Record::Entries(missing.clone()));
        for entry in missing {
            self.log.push(entry);
        }
        true
    }

    pub(crate) fn on_install_snapshot(&mut self, from: NodeId, snapshot: Snapshot, stamp: RoundStamp) {
        let index = snapshot.index();
        if self.log.contains(snapshot.position) {
            self.commit_to(index);
        } else if index > self.commit_index {
            self.install_snapshot(snapshot);
        }
        self.leader_match_index = self.leader_match_index.max(index);
        self.send_append_response(from, AppendOutcome::Matched(index), stamp);
    }

    /// Ends recovery if the message names the current disk. The vote of this term is recorded as given to the leader,
    /// because this voter may already have voted in this term before it lost its disk.
    pub(crate) fn on_rejoin(&mut self, from: NodeId, term: Term, disk_id: u64) {
        if !self.follow_leader(from, term)
            || !self.hard_state.recovering
            || disk_id != self.hard_state.disk_id
        {
            return;
        }
        self.hard_state.recovering = false;
        self.hard_state.voted_for = Some(from);
        self.record_hard_state();
    }
}
