//! What a leader retains of its log for replicas that are catching up, and when it rejects proposals on their behalf.
//!
//! If a snapshot takes longer to transfer and sync than the log needs to outgrow the retained entries, the follower
//! needs another snapshot as soon as it has installed one, and never catches up. So compaction keeps the entries that
//! such a replica needs next, up to [`Options::max_catch_up_bytes`](crate::Options::max_catch_up_bytes), as long as the
//! replica makes progress. What happens at that limit depends on the replica:
//!
//! - A voter, while the up-to-date voters are a minimal quorum: if one of them failed, the group could not commit
//!   without the lagging voter. Proposals are rejected until it has caught up, so its entries are not dropped.
//! - A learner, or a voter that the quorum does not depend on: the entries are dropped, and it receives another
//!   snapshot.
//!
//! The leader does not wait for a replica that stops responding or acknowledging
//! ([`Options::catch_up_stall_ms`](crate::Options::catch_up_stall_ms)), which limits how long proposals are rejected
//! for a stalled replica.

use shaletrail_protocol::NodeId;

use crate::entry::Index;
use crate::leader_state::LeaderState;
use crate::progress::Progress;
use crate::replica::{Replica, RoleState};

impl Replica {
    /// The first entry that compaction keeps for peers that are making progress.
    pub(crate) fn first_needed_by_peers(&self) -> Option<Index> {
        let RoleState::Leader(leader_state) = &self.role_state else { return None };
        let first_kept_for = |(node, peer): (&NodeId, &Progress)| {
            let first = self.first_needed_by(peer)?;
            let is_waited_for = leader_state.rejects_proposals && self.log.voters().contains(*node);
            let fits = self.log.bytes_after(first - 1) <= self.options.max_catch_up_bytes;
            (fits || is_waited_for).then_some(first)
        };
        leader_state.peers.iter().filter_map(first_kept_for).min()
    }

    /// Whether a proposal of this size must be rejected until lagging voters have caught up. Once it starts rejecting,
    /// the leader continues until they have caught up. Otherwise a voter that keeps pace at the limit would stay that
    /// far behind forever.
    pub(crate) fn must_reject_proposals(&mut self, size: usize) -> bool {
        let must_reject = self.is_catch_up_full(size);
        if let RoleState::Leader(leader_state) = &mut self.role_state {
            leader_state.rejects_proposals = must_reject;
        }
        must_reject
    }

    fn is_catch_up_full(&self, size: usize) -> bool {
        let RoleState::Leader(leader_state) = &self.role_state else { return false };
        let lagging = self.lagging_voters(leader_state);
        let Some(first) = lagging.iter().map(|voter| voter.first_needed).min() else { return false };
        if !self.is_minimal_quorum_without(&lagging) {
            return false;
        }
        let needed_bytes = self.log.bytes_after(first - 1) + size;
        leader_state.rejects_proposals || needed_bytes > self.options.max_catch_up_bytes
    }

    /// The voters that are making progress and need entries covered by the snapshot.
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

    /// Whether the up-to-date voters would lose their quorum if any one of them failed.
    fn is_minimal_quorum_without(&self, lagging: &[LaggingVoter]) -> bool {
        let voters = self.log.voters();
        let is_up_to_date = |node: NodeId| !lagging.iter().any(|voter| voter.node == node);
        voters
            .members()
            .filter(|lost| is_up_to_date(*lost))
            .any(|lost| !voters.has_quorum(|node| node != lost && is_up_to_date(node)))
    }
}

/// A voter that is too far behind to replace a failed one in the quorum.
struct LaggingVoter {
    node: NodeId,
    first_needed: Index,
}
