//! Leadership transfer (Ongaro's thesis, section 3.10).
//!
//! In this implementation, the leader steps down *before* it asks its successor to campaign. The successor's vote
//! requests may therefore bypass the voters' leader lease, because the lease that it protects has already ended.

use shaletrail_protocol::{Millis, NodeId};

use crate::entry::Term;
use crate::leader_state::LeaderState;
use crate::message::Message;
use crate::progress::Progress;
use crate::replica::{Replica, RoleState};
use crate::voters::VoterSet;

/// Time for which a former leader does not campaign after a leadership transfer, in multiples of the longest election
/// timeout.
const CAMPAIGN_BACKOFF_TIMEOUTS: Millis = 2;

impl Replica {
    /// Steps down and asks the most up-to-date other voter to campaign immediately. For a driver whose disk is degraded
    /// or which is shutting down. Does nothing if there is no other voter.
    pub fn transfer_leadership(&mut self, now: Millis) {
        self.set_now(now);
        self.replicate();
        if self.other_voters().iter().any(|node| self.log.voters().incoming().contains(node)) {
            self.step_down();
        }
    }

    /// Steps down, and only then asks another voter to campaign, if one has been in contact recently.
    pub(crate) fn step_down(&mut self) {
        let RoleState::Leader(leader_state) = &self.role_state else { return };
        let min_last_contact = self.now.saturating_sub(self.options.election_max_ms);
        let target = leader_state.transfer_target(self.log.voters(), min_last_contact);
        let term = self.hard_state.term;
        self.become_follower(term, None);
        self.election_at = self.now + CAMPAIGN_BACKOFF_TIMEOUTS * self.options.election_max_ms;
        if let Some(target) = target {
            self.send(target, Message::TimeoutNow { term });
        }
    }

    /// Campaigns without a pre-vote, but only in the term of the transfer. A delayed message from an earlier term must
    /// not bypass the lease of a later leader.
    pub(crate) fn on_timeout_now(&mut self, term: Term) {
        let is_current = term == self.hard_state.term && !self.is_leader();
        if is_current && self.is_promotable() && !self.is_disk_stalled() {
            self.campaign(true);
        }
    }
}

impl LeaderState {
    /// The voter with the highest matched index among those that acknowledged a message sent at `min_last_contact` or
    /// later.
    fn transfer_target(&self, voters: &VoterSet, min_last_contact: Millis) -> Option<NodeId> {
        let is_eligible = |node: &NodeId, peer: &Progress| {
            voters.incoming().contains(node)
                && peer.counts_towards_quorum()
                && peer.quorum_ack().sent_at >= min_last_contact
        };
        let eligible = self.peers.iter().filter(|(node, peer)| is_eligible(node, peer));
        eligible.max_by_key(|(_, peer)| peer.quorum_matched()).map(|(node, _)| *node)
    }
}
