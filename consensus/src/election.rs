//! Elections: pre-votes and votes (Ongaro's thesis, sections 3.4, 3.6 and 9.6).

use std::collections::BTreeSet;

use shaletrail_protocol::{Millis, NodeId};

use crate::entry::{LogPosition, Term};
use crate::message::Message;
use crate::replica::{Replica, RoleState};

/// Beyond the shortest election timeout, since voters that received the same message of a leader a little later still
/// reject a candidate.
const CAMPAIGN_SOON_MARGIN_MS: Millis = 30;

impl Replica {
    /// Starts an election with a pre-vote, which raises no term: a replica that was partitioned off does not depose
    /// the leader when it is back.
    pub(crate) fn on_election_timeout(&mut self) {
        self.reset_election_timeout();
        self.leader = None;
        if !self.is_promotable() || self.is_disk_stalled() {
            self.role_state = RoleState::Follower;
            return;
        }
        self.role_state = RoleState::PreCandidate { granted: BTreeSet::from([self.options.node]) };
        let pre_vote = Message::PreVoteRequest { term: self.hard_state.term + 1, last: self.log.last() };
        for node in self.other_voters() {
            self.send(node, pre_vote.clone());
        }
        self.campaign_if_pre_vote_won();
    }

    /// Whether the disk hasn't synced for so long that this replica could not lead.
    pub(crate) fn is_disk_stalled(&self) -> bool {
        self.persistence.is_stalled(self.now, self.options.disk_stall_ms)
    }

    /// All voters but this replica, of both halves in a joint phase.
    pub(crate) fn other_voters(&self) -> Vec<NodeId> {
        self.log.voters().members().filter(|node| *node != self.options.node).collect()
    }

    /// A rejection names the newer term, so it waits for that to be synced; nothing rests on a granted pre-vote.
    pub(crate) fn on_pre_vote_request(&mut self, from: NodeId, term: Term, last: LogPosition) {
        if term <= self.hard_state.term {
            let response = Message::PreVoteResponse { term: self.hard_state.term, granted: false };
            self.send_in_term(from, response);
        } else if !self.hard_state.recovering && !self.in_leader_lease() && last >= self.log.last() {
            self.send(from, Message::PreVoteResponse { term, granted: true });
        }
    }

    pub(crate) fn on_pre_vote_response(&mut self, from: NodeId, term: Term, granted: bool) {
        if !granted {
            self.adopt_newer_term(term);
            return;
        }
        let requested_term = self.hard_state.term + 1;
        let RoleState::PreCandidate { granted } = &mut self.role_state else { return };
        if term == requested_term {
            granted.insert(from);
            self.campaign_if_pre_vote_won();
        }
    }

    fn campaign_if_pre_vote_won(&mut self) {
        let RoleState::PreCandidate { granted } = &self.role_state else { return };
        if self.log.voters().has_quorum(|node| granted.contains(&node)) {
            self.campaign(false);
        }
    }

    /// Asks for votes in a new term. The own vote counts when it is synced, and the requests leave then: they name the
    /// new term.
    pub(crate) fn campaign(&mut self, leadership_transfer: bool) {
        self.become_follower(self.hard_state.term + 1, None);
        self.hard_state.voted_for = Some(self.options.node);
        self.record_hard_state();
        self.role_state = RoleState::Candidate { granted: BTreeSet::new() };
        let term = self.hard_state.term;
        let request = Message::VoteRequest { term, last: self.log.last(), leadership_transfer };
        for node in self.other_voters() {
            self.send_after_sync(node, request.clone());
        }
        self.send_after_sync(self.options.node, Message::VoteResponse { term, granted: true });
    }

    /// Votes for one candidate a term (Election Safety), whose log is at least as up to date as this replica's
    /// (Leader Completeness; Ongaro's thesis, section 3.6).
    pub(crate) fn on_vote_request(
        &mut self,
        from: NodeId,
        term: Term,
        last: LogPosition,
        leadership_transfer: bool,
    ) {
        // The lease is checked again, as the leader may have been in contact since the pre-vote. A transfer passes over
        // it, as the former leader has stopped.
        if term >= self.hard_state.term && self.in_leader_lease() && !leadership_transfer {
            return;
        }
        self.adopt_newer_term(term);
        let can_vote = self.hard_state.voted_for.is_none_or(|node| node == from);
        let granted = term == self.hard_state.term
            && can_vote
            && !self.hard_state.recovering
            && last >= self.log.last();
        if granted {
            self.reset_election_timeout();
            if self.hard_state.voted_for.is_none() {
                self.hard_state.voted_for = Some(from);
                self.record_hard_state();
            }
        }
        let response = Message::VoteResponse { term: self.hard_state.term, granted };
        self.send_after_sync(from, response);
    }

    pub(crate) fn on_vote_response(&mut self, from: NodeId, term: Term, granted: bool) {
        if term != self.hard_state.term || !granted {
            self.adopt_newer_term(term);
            return;
        }
        let RoleState::Candidate { granted } = &mut self.role_state else { return };
        granted.insert(from);
        let RoleState::Candidate { granted } = &self.role_state else { return };
        if self.log.voters().has_quorum(|node| granted.contains(&node)) {
            self.become_leader();
        }
    }

    /// Campaigns as soon as voters may grant it, for a node that should rather lead than others: its owner has to wait
    /// for something where another one leads.
    pub fn campaign_soon(&mut self, now: Millis) {
        self.set_now(now);
        if !self.is_leader() {
            let soonest = self.now + self.options.election_min_ms + CAMPAIGN_SOON_MARGIN_MS;
            self.election_at = self.election_at.min(soonest);
        }
    }
}
