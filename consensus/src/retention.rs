//! What a leader keeps of its log for replicas that are catching up, and when it rejects proposals for their sake.
//!
//! A snapshot that takes longer to arrive and to be synced than the log takes to outgrow what is kept behind it would be
//! followed by another one, for ever. So a compaction keeps the entries that such a replica needs next, up to
//! [`Options::max_catch_up_bytes`](crate::Options::max_catch_up_bytes), for as long as it makes progress. What happens at
//! that bound depends on who needs them:
//!
//! - A voter, while those that are up to date are a bare quorum: the next loss would leave a group that hangs on this voter.
//!   Proposals are rejected until it has caught up, so it is never dropped.
//! - A learner, or a voter that a larger quorum can do without: the entries are dropped, and it gets another snapshot.
//!
//! A replica that stops responding or acknowledging is not waited for
//! ([`Options::catch_up_stall_ms`](crate::Options::catch_up_stall_ms)), so proposals are never rejected for longer.

use shaletrail_protocol::NodeId;

use crate::entry::Index;
use crate::leader_state::LeaderState;
use crate::progress::Progress;
use crate::replica::{Replica, RoleState};

impl Replica {
    /// The first entry that a compaction keeps for the sake of peers that make progress.
    pub(crate) fn first_needed_by_peers(&self) -> Option<Index> {
        let RoleState::Leader(leader_state) = &self.role_state else { return None };
        let first_kept_for = |(node, peer): (&NodeId, &Progress)| {
            let first = self.first_needed_by(peer)?;
            let is_held_for = leader_state.holds_proposals && self.log.voters().contains(*node);
            let fits = self.log.bytes_after(first - 1) <= self.options.max_catch_up_bytes;
            (fits || is_held_for).then_some(first)
        };
        leader_state.peers.iter().filter_map(first_kept_for).min()
    }

    /// Whether a proposal of this size has to wait until voters that are behind have caught up. Once that is so, it stays
    /// so until they have: else a voter that keeps pace at the bound would stay that far behind for ever.
    pub(crate) fn must_hold_proposals(&mut self, size: usize) -> bool {
        let must_hold = self.is_catch_up_full(size);
        if let RoleState::Leader(leader_state) = &mut self.role_state {
            leader_state.holds_proposals = must_hold;
        }
        must_hold
    }

    fn is_catch_up_full(&self, size: usize) -> bool {
        let RoleState::Leader(leader_state) = &self.role_state else { return false };
        let lagging = self.lagging_voters(leader_state);
        let Some(first) = lagging.iter().map(|voter| voter.first_needed).min() else { return false };
        if !self.is_bare_quorum_without(&lagging) {
            return false;
        }
        let needed_bytes = self.log.bytes_after(first - 1) + size;
        leader_state.holds_proposals || needed_bytes > self.options.max_catch_up_bytes
    }

    /// The voters that make progress and need entries which the snapshot covers.
    fn lagging_voters(&self, leader_state: &LeaderState) -> Vec<LaggingVoter> {
        let voters = leader_state.peers.iter().filter(|(node, _)| self.log.voters().contains(**node));
        let lagging = voters.filter_map(|(node, peer)| {
            let first_needed = self.first_needed_by(peer)?;
            let is_lagging = first_needed <= self.log.snapshot_index() || peer.is_receiving_snapshot();
            is_lagging.then_some(LaggingVoter { node: *node, first_needed })
        });
        lagging.collect()
    }

    fn first_needed_by(&self, peer: &Progress) -> Option<Index> {
        peer.first_needed().filter(|_| peer.is_making_progress(self.now, &self.options))
    }

    /// Whether one of the voters that are up to date is needed for their quorum.
    fn is_bare_quorum_without(&self, lagging: &[LaggingVoter]) -> bool {
        let voters = self.log.voters();
        let is_up_to_date = |node: NodeId| !lagging.iter().any(|voter| voter.node == node);
        voters
            .members()
            .filter(|lost| is_up_to_date(*lost))
            .any(|lost| !voters.has_quorum(|node| node != lost && is_up_to_date(node)))
    }
}

/// A voter that cannot take over yet where another one is lost.
struct LaggingVoter {
    node: NodeId,
    first_needed: Index,
}
