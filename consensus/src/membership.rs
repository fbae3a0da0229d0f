//! Membership changes: voters change by joint consensus (Ongaro's thesis, section 4.3), and new voters are learners
//! first (section 4.2.1).

use shaletrail_protocol::{Millis, NodeId};

use crate::entry::Payload;
use crate::error::ReplicaError;
use crate::leader_state::LeaderState;
use crate::progress::{PeerStatus, Progress};
use crate::replica::{Replica, RoleState};
use crate::voters::VoterSet;

impl Replica {
    /// Starts replacing the voters, through a joint phase that ends on its own. New voters should be learners that have
    /// caught up, otherwise they delay commits. Does nothing if `voters` are the current voters.
    ///
    /// # Errors
    ///
    /// [`ReplicaError::NotLeader`]; [`ReplicaError::InvalidVoters`]; and [`ReplicaError::ChangePending`] until both the
    /// previous change and an entry of the leader's own term are committed.
    pub fn change_voters(&mut self, now: Millis, voters: Vec<NodeId>) -> Result<(), ReplicaError> {
        self.set_now(now);
        let RoleState::Leader(leader_state) = &self.role_state else { return self.not_leader() };
        if voters.is_empty() || voters.len() > self.options.max_peers {
            return Err(ReplicaError::InvalidVoters);
        }
        let current = self.log.voters();
        let is_change_committed = !current.is_joint() && self.log.voters_index() <= self.commit_index;
        if !is_change_committed || self.commit_index < leader_state.term_start_index {
            return Err(ReplicaError::ChangePending);
        }
        let joint = current.joint_with(&voters);
        if joint.incoming() != current.incoming() {
            self.append_voter_change(joint);
        }
        Ok(())
    }

    /// Whether this replica's log contains a membership change that is still in progress.
    pub fn is_changing_voters(&self) -> bool {
        self.log.voters().is_joint() || self.log.voters_index() > self.commit_index
    }

    /// Starts replicating to a node that does not vote. The leader forgets its learners when it stops leading.
    ///
    /// # Errors
    ///
    /// [`ReplicaError::NotLeader`], and [`ReplicaError::Busy`] if there are already [`Options::max_peers`] learners.
    ///
    /// [`Options::max_peers`]: crate::Options::max_peers
    pub fn add_learner(&mut self, node: NodeId) -> Result<(), ReplicaError> {
        let next = self.log.last_position().index + 1;
        let own_node = self.options.node;
        let RoleState::Leader(leader_state) = &mut self.role_state else { return self.not_leader() };
        if node == own_node || leader_state.learners.contains(&node) {
            return Ok(());
        }
        if leader_state.learners.len() >= self.options.max_peers {
            return Err(ReplicaError::Busy);
        }
        leader_state.learners.insert(node);
        leader_state.add_peer(node, next);
        leader_state.heartbeat_pending = true;
        Ok(())
    }

    /// Stops replicating to a learner. Does nothing for voters, or if this replica does not lead.
    pub fn remove_learner(&mut self, node: NodeId) {
        if let RoleState::Leader(leader_state) = &mut self.role_state {
            leader_state.learners.remove(&node);
        }
        self.remove_departed_peers();
    }

    /// The learners of this leader, in ascending order; empty if this replica does not lead.
    pub fn learners(&self) -> Vec<NodeId> {
        match &self.role_state {
            RoleState::Leader(leader_state) => leader_state.learners.iter().copied().collect(),
            _ => Vec::new(),
        }
    }

    /// What this leader knows about another replica. `None` if this replica does not lead, or does not replicate to
    /// that node.
    pub fn peer_status(&self, node: NodeId) -> Option<PeerStatus> {
        match &self.role_state {
            RoleState::Leader(leader_state) => leader_state.peers.get(&node).map(Progress::status),
            _ => None,
        }
    }

    /// Ends the joint phase once its entry is committed by majorities of both voter sets.
    pub(crate) fn leave_joint_if_committed(&mut self) {
        let voters = self.log.voters();
        if voters.is_joint() && self.log.voters_index() <= self.commit_index {
            let final_voters = voters.leave_joint();
            self.append_voter_change(final_voters);
        }
    }

    fn append_voter_change(&mut self, voters: VoterSet) {
        let next = self.log.last_position().index + 1;
        let own_node = self.options.node;
        if let RoleState::Leader(leader_state) = &mut self.role_state {
            for node in voters.members().filter(|node| *node != own_node) {
                leader_state.add_peer(node, next);
            }
        }
        self.append_entry(Payload::Voters(voters));
        self.advance_commit();
    }

    /// Removes peers that are neither voters nor learners, once they have been told that their removal is committed.
    /// Steps down if this replica itself was removed (Ongaro's thesis, section 4.2.2).
    pub(crate) fn remove_departed_peers(&mut self) {
        if self.is_changing_voters() {
            return;
        }
        let RoleState::Leader(leader_state) = &mut self.role_state else { return };
        let voters = self.log.voters();
        let LeaderState { peers, learners, commit_broadcast_pending, .. } = leader_state.as_mut();
        if *commit_broadcast_pending {
            return;
        }
        peers.retain(|node, _| voters.contains(*node) || learners.contains(node));
        if !voters.contains(self.options.node) {
            self.step_down();
        }
    }
}
