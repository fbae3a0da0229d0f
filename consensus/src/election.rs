//! Elections: pre-vote and vote (Ongaro's thesis, sections 3.4, 3.6 and 9.6).

use std::collections::BTreeSet;

use shaletrail_protocol::{Millis, NodeId};

use crate::entry::{LogPosition, Term};
use crate::message::Message;
use crate::replica::{Replica, RoleState};

/// Added to the shortest election timeout by [`Replica::campaign_soon`], in milliseconds. Other voters may have
/// received the leader's last message slightly later than this replica, and reject candidates until their own timeout
/// has passed.
const CAMPAIGN_SOON_MARGIN_MS: Millis = 30;

impl Replica {
    /// Starts an election with a pre-vote. A pre-vote does not increase the term, so a replica that was partitioned
    /// does not depose the leader when the partition heals.
    pub(crate) fn on_election_timeout(&mut self) {
        self.reset_election_timeout();
        self.leader = None;
        if !self.is_promotable() || self.is_disk_stalled() {
            self.role_state = RoleState::Follower;
            return;
        }
        self.role_state = RoleState::PreCandidate { granted: BTreeSet::from([self.options.node]) };
        let pre_vote =
            Message::PreVoteRequest { term: self.hard_state.term + 1, last: self.log.last_position() };
        for node in self.other_voters() {
            self.send(node, pre_vote.clone());
        }
        self.campaign_if_pre_vote_won();
    }

    /// Whether the disk has not completed a sync for so long that this replica would be unable to lead.
    pub(crate) fn is_disk_stalled(&self) -> bool {
        self.persistence.is_stalled(self.now, self.options.disk_stall_ms)
    }

    /// All voters except this replica; in a joint phase, those of both voter sets.
    pub(crate) fn other_voters(&self) -> Vec<NodeId> {
        self.log.voters().members().filter(|node| *node != self.options.node).collect()
    }

    /// A rejection carries the newer term, so it is sent only after that term is synced. A granted pre-vote depends on
    /// no stored state and is sent immediately.
    pub(crate) fn on_pre_vote_request(&mut self, from: NodeId, term: Term, last: LogPosition) {
        if term <= self.hard_state.term {
            let response = Message::PreVoteResponse { term: self.hard_state.term, granted: false };
            self.send_in_term(from, response);
        } else if !self.hard_state.recovering && !self.in_leader_lease() && last >= self.log.last_position() {
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

    /// Requests votes in a new term. The vote for itself counts only after it is synced. The requests carry the new
    /// term, so they are sent only after the sync as well.
    pub(crate) fn campaign(&mut self, leadership_transfer: bool) {
        self.become_follower(self.hard_state.term + 1, None);
        self.hard_state.voted_for = Some(self.options.node);
        self.record_hard_state();
        self.role_state = RoleState::Candidate { granted: BTreeSet::new() };
        let term = self.hard_state.term;
        let request = Message::VoteRequest { term, last: self.log.last_position(), leadership_transfer };
        for node in self.other_voters() {
            self.send_after_sync(node, request.clone());
        }
        self.send_after_sync(self.options.node, Message::VoteResponse { term, granted: true });
    }

    /// Grants its vote to at most one candidate per term (Election Safety), and only if the candidate's log is at least
    /// as up to date as its own (Leader Completeness; Ongaro's thesis, section 3.6).
    pub(crate) fn on_vote_request(
        &mut self,
        from: NodeId,
        term: Term,
        last: LogPosition,
        leadership_transfer: bool,
    ) {
        // The lease is checked again because the leader may have contacted this voter since the pre-vote. A leadership
        // transfer bypasses the check, as the former leader has already stopped leading.
        if term >= self.hard_state.term && self.in_leader_lease() && !leadership_transfer {
            return;
        }
        self.adopt_newer_term(term);
        let can_vote = self.hard_state.voted_for.is_none_or(|node| node == from);
        let granted = term == self.hard_state.term
            && can_vote
            && !self.hard_state.recovering
            && last >= self.log.last_position();
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

    /// Shortens the election timeout to the earliest time at which voters may grant their votes. For a node that should
    /// be preferred as leader, because its owner would have to wait if another node led.
    pub fn campaign_soon(&mut self, now: Millis) {
        self.set_now(now);
        if !self.is_leader() {
            let soonest = self.now + self.options.election_min_ms + CAMPAIGN_SOON_MARGIN_MS;
            self.election_at = self.election_at.min(soonest);
        }
    }
}
