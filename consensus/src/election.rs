//! Elections: pre-votes, votes, hand-over.

use std::collections::BTreeSet;

use shaletrail_protocol::{Millis, NodeId};

use crate::entry::{Position, Term};
use crate::message::Message;
use crate::replica::{Replica, State};

/// Voters that start at the same time help a little later than their shortest timeout.
const HASTE_MARGIN: Millis = 30;
/// Longest election timeouts that a leader waits before it stands again after it handed over.
const STAND_BACK: Millis = 2;

impl Replica {
    pub(crate) fn on_election_timeout(&mut self) {
        self.reset_election();
        self.leader = None;
        if !self.is_eligible() || self.disk_stalls() {
            self.state = State::Follower;
            return;
        }
        self.state = State::PreCandidate { granted: BTreeSet::from([self.options.node]) };
        let pre_vote = Message::PreVoteRequest { term: self.hard.term + 1, last: self.log.last() };
        for node in self.others() {
            self.send(node, pre_vote.clone());
        }
        self.stand_if_backed();
    }

    fn disk_stalls(&self) -> bool {
        self.persistence.is_stalled(self.now, self.options.disk_stall_ms)
    }

    /// All other voters.
    fn others(&self) -> Vec<NodeId> {
        self.log.voters().members().filter(|node| *node != self.options.node).collect()
    }

    /// Whether a leader that may hold a lease was heard, or is this replica.
    fn is_loyal(&self) -> bool {
        match &self.state {
            State::Leader(leadership) => {
                let contact = leadership.contact_since(self.log.voters(), self.options.node);
                contact.saturating_add(self.options.election_min_ms) > self.now
            }
            _ => self.now < self.loyal_until,
        }
    }

    pub(crate) fn on_pre_vote(&mut self, from: NodeId, term: Term, last: Position) {
        if term <= self.hard.term {
            self.send_in_term(from, Message::PreVoteResponse { term: self.hard.term, granted: false });
        } else if !self.hard.recovering && !self.is_loyal() && last >= self.log.last() {
            self.send(from, Message::PreVoteResponse { term, granted: true });
        }
    }

    pub(crate) fn on_pre_vote_answer(&mut self, from: NodeId, term: Term, granted: bool) {
        if !granted {
            self.adopt_newer(term);
            return;
        }
        let asked = self.hard.term + 1;
        let State::PreCandidate { granted } = &mut self.state else { return };
        if term == asked {
            granted.insert(from);
            self.stand_if_backed();
        }
    }

    fn stand_if_backed(&mut self) {
        let State::PreCandidate { granted } = &self.state else { return };
        if self.log.voters().has_quorum(|node| granted.contains(&node)) {
            self.stand(false);
        }
    }

    /// Asks for votes in a new term. The own vote counts when it is synced, and the requests leave then.
    fn stand(&mut self, leadership_transfer: bool) {
        self.become_follower(self.hard.term + 1, None);
        self.hard.voted_for = Some(self.options.node);
        self.record_hard();
        self.state = State::Candidate { granted: BTreeSet::new() };
        let term = self.hard.term;
        let request = Message::VoteRequest { term, last: self.log.last(), leadership_transfer };
        for node in self.others() {
            self.send_promise(node, request.clone());
        }
        self.send_promise(self.options.node, Message::VoteResponse { term, granted: true });
    }

    pub(crate) fn on_vote(&mut self, from: NodeId, term: Term, last: Position, leadership_transfer: bool) {
        if term >= self.hard.term && self.is_loyal() && !leadership_transfer {
            return;
        }
        self.adopt_newer(term);
        let is_free = self.hard.voted_for.is_none_or(|node| node == from);
        let granted = term == self.hard.term && is_free && !self.hard.recovering && last >= self.log.last();
        if granted {
            self.reset_election();
            if self.hard.voted_for.is_none() {
                self.hard.voted_for = Some(from);
                self.record_hard();
            }
        }
        let answer = Message::VoteResponse { term: self.hard.term, granted };
        self.send_promise(from, answer);
    }

    pub(crate) fn on_vote_answer(&mut self, from: NodeId, term: Term, granted: bool) {
        if term != self.hard.term || !granted {
            self.adopt_newer(term);
            return;
        }
        let State::Candidate { granted } = &mut self.state else { return };
        granted.insert(from);
        let State::Candidate { granted } = &self.state else { return };
        if self.log.voters().has_quorum(|node| granted.contains(&node)) {
            self.lead();
        }
    }

    /// Goes on to a newer term of which an answer told.
    pub(crate) fn adopt_newer(&mut self, term: Term) {
        if term > self.hard.term {
            self.become_follower(term, None);
        }
    }

    pub(crate) fn on_timeout_now(&mut self, term: Term) {
        let is_current = term == self.hard.term && !self.is_leader();
        if is_current && self.is_eligible() && !self.disk_stalls() {
            self.stand(true);
        }
    }

    /// Stands for election as soon as voters may help, for a node that should rather lead than others: its owner has to
    /// wait for something where another one leads.
    pub fn campaign_soon(&mut self, now: Millis) {
        self.set_now(now);
        if !self.is_leader() {
            let soonest = self.now + self.options.election_min_ms + HASTE_MARGIN;
            self.election_at = self.election_at.min(soonest);
        }
    }

    /// Stops leading and prompts the most advanced other voter to stand at once, for a driver whose disk is sick.
    /// Without effect where there is no other voter.
    pub fn transfer_leadership(&mut self, now: Millis) {
        self.set_now(now);
        self.replicate();
        if self.others().iter().any(|node| self.log.voters().incoming().contains(node)) {
            self.step_aside();
        }
    }

    /// Stops leading, and only then prompts another voter.
    pub(crate) fn step_aside(&mut self) {
        let State::Leader(leadership) = &self.state else { return };
        let in_touch_since = self.now.saturating_sub(self.options.election_max_ms);
        let heir = leadership.best_voter(self.log.voters(), in_touch_since);
        let term = self.hard.term;
        self.become_follower(term, None);
        self.election_at = self.now + STAND_BACK * self.options.election_max_ms;
        if let Some(heir) = heir {
            self.send(heir, Message::TimeoutNow { term });
        }
    }
}
