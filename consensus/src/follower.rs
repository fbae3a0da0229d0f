//! What a replica does with the messages of a leader.

use shaletrail_protocol::NodeId;

use crate::entry::{Entry, Index, Position, Term};
use crate::message::{AppendOutcome, Message, RoundStamp};
use crate::record::{Record, Snapshot};
use crate::replica::{Replica, State};

impl Replica {
    /// Follows the sender of a leader's message, or returns false where its term is over.
    fn follow(&mut self, from: NodeId, term: Term) -> bool {
        if term < self.hard.term || (term == self.hard.term && self.is_leader()) {
            return false;
        }
        if term > self.hard.term || !matches!(self.state, State::Follower) {
            self.become_follower(term, Some(from));
        }
        self.founding = false;
        self.leader = Some(from);
        self.loyal_until = self.now + self.options.election_min_ms;
        self.reset_election();
        true
    }

    /// As `follow`; a sender whose term is over is told the present one.
    pub(crate) fn follow_or_reject(&mut self, from: NodeId, term: Term) -> bool {
        let follows = self.follow(from, term);
        if !follows && term < self.hard.term {
            let answer = self.heartbeat_answer(RoundStamp::default());
            self.send_in_term(from, answer);
        }
        follows
    }

    pub(crate) fn on_heartbeat(&mut self, from: NodeId, term: Term, commit: Index, stamp: RoundStamp) {
        if !self.follow_or_reject(from, term) {
            return;
        }
        self.commit_to(commit.min(self.verified));
        let answer = self.heartbeat_answer(stamp);
        self.send_in_term(from, answer);
    }

    fn heartbeat_answer(&self, stamp: RoundStamp) -> Message {
        Message::HeartbeatResponse {
            term: self.hard.term,
            stamp,
            received: self.verified,
            matched: self.verified.min(self.persistence.synced_index()),
            status: self.standing(),
        }
    }

    fn answer_append(&mut self, to: NodeId, outcome: AppendOutcome, stamp: RoundStamp) {
        let answer =
            Message::AppendResponse { term: self.hard.term, stamp, outcome, status: self.standing() };
        match outcome {
            AppendOutcome::Matched(_) => self.send_promise(to, answer),
            AppendOutcome::Conflict(_) => self.send_in_term(to, answer),
        }
    }

    pub(crate) fn on_append(
        &mut self,
        from: NodeId,
        previous: Position,
        entries: Vec<Entry>,
        commit: Index,
        stamp: RoundStamp,
    ) {
        let in_order = (previous.index + 1..).zip(&entries).all(|(index, entry)| entry.index == index);
        if !in_order {
            return;
        }
        if !self.holds(previous) {
            let limit = previous.index.saturating_sub(1);
            let hint = self.log.last_with_term_up_to(limit, previous.term).min(limit);
            self.answer_append(from, AppendOutcome::Conflict(hint), stamp);
            return;
        }
        let matched = previous.index + entries.len() as Index;
        if !self.take_entries(entries) {
            return;
        }
        self.verified = self.verified.max(matched);
        self.commit_to(commit.min(self.verified));
        self.answer_append(from, AppendOutcome::Matched(matched), stamp);
    }

    /// Whether an entry is in the log, or so old that it is surely the same as the leader's.
    fn holds(&self, position: Position) -> bool {
        position.index <= self.commit || self.log.contains(position)
    }

    /// Adds what is missing, and drops what differs. False where that would drop a committed entry.
    fn take_entries(&mut self, entries: Vec<Entry>) -> bool {
        let is_new = |entry: &Entry| entry.index > self.commit && !self.log.contains(entry.position());
        let missing: Vec<Entry> = entries.into_iter().skip_while(|entry| !is_new(entry)).collect();
        let Some(first) = missing.first().map(|entry| entry.index) else { return true };
        if first <= self.log.last().index {
            self.log.truncate(first);
            self.persistence.truncated(first);
        }
        if first != self.log.last().index + 1 {
            return false;
        }
        self.persistence.record(Record::Entries(missing.clone()));
        for entry in missing {
            self.log.push(entry);
        }
        true
    }

    pub(crate) fn on_install(&mut self, from: NodeId, snapshot: Snapshot, stamp: RoundStamp) {
        let index = snapshot.index();
        if self.log.contains(snapshot.position) {
            self.commit_to(index);
        } else if index > self.commit {
            self.install(snapshot);
        }
        self.verified = self.verified.max(index);
        self.answer_append(from, AppendOutcome::Matched(index), stamp);
    }

    pub(crate) fn on_readmit(&mut self, from: NodeId, term: Term, boot: u64) {
        if !self.follow(from, term) || !self.hard.recovering || boot != self.hard.disk_id {
            return;
        }
        self.hard.recovering = false;
        self.hard.voted_for = Some(from);
        self.record_hard();
    }
}
