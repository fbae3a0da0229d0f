//! Changes of voters and learners.

use shaletrail_protocol::{Millis, NodeId};

use crate::effect::ReplicaError;
use crate::entry::Payload;
use crate::leadership::Leadership;
use crate::progress::{PeerStatus, Progress};
use crate::replica::{Replica, State};
use crate::voters::VoterSet;

impl Replica {
    /// Starts to replace the voters, by a joint phase that ends by itself. New voters should have been learners
    /// that are caught up, else they hold up commits. Nothing happens where the voters are these already.
    pub fn change_voters(&mut self, now: Millis, voters: Vec<NodeId>) -> Result<(), ReplicaError> {
        self.set_now(now);
        let State::Leader(leadership) = &self.state else { return self.not_leader() };
        if voters.is_empty() || voters.len() > self.options.max_peers {
            return Err(ReplicaError::InvalidVoters);
        }
        let present = self.log.voters();
        let is_settled = !present.is_joint() && self.log.voters_index() <= self.commit;
        if !is_settled || self.commit < leadership.first_index {
            return Err(ReplicaError::ChangePending);
        }
        let joint = present.joint_with(&voters);
        if joint.incoming() != present.incoming() {
            self.append_voters(joint);
        }
        Ok(())
    }

    /// Whether a change of voters is under way here.
    pub fn is_changing_voters(&self) -> bool {
        self.log.voters().is_joint() || self.log.voters_index() > self.commit
    }

    /// Starts to send entries to a replica that does not vote. Forgotten when the leadership ends.
    pub fn add_learner(&mut self, node: NodeId) -> Result<(), ReplicaError> {
        let next = self.log.last().index + 1;
        let own = self.options.node;
        let State::Leader(leadership) = &mut self.state else { return self.not_leader() };
        if node == own || leadership.learners.contains(&node) {
            return Ok(());
        }
        if leadership.learners.len() >= self.options.max_peers {
            return Err(ReplicaError::Busy);
        }
        leadership.learners.insert(node);
        leadership.add_peer(node, next);
        leadership.wants_round = true;
        Ok(())
    }

    /// Stops sending to a replica that does not vote.
    pub fn remove_learner(&mut self, node: NodeId) {
        if let State::Leader(leadership) = &mut self.state {
            leadership.learners.remove(&node);
        }
        self.release_peers();
    }

    /// The learners of this leader.
    pub fn learners(&self) -> Vec<NodeId> {
        match &self.state {
            State::Leader(leadership) => leadership.learners.iter().copied().collect(),
            _ => Vec::new(),
        }
    }

    /// What this leader knows of another replica.
    pub fn peer(&self, node: NodeId) -> Option<PeerStatus> {
        match &self.state {
            State::Leader(leadership) => leadership.peers.get(&node).map(Progress::status),
            _ => None,
        }
    }

    /// Goes on with a change of voters whose present step is committed.
    pub(crate) fn settle_voters(&mut self) {
        let voters = self.log.voters();
        if voters.is_joint() && self.log.voters_index() <= self.commit {
            let settled = voters.leave_joint();
            self.append_voters(settled);
        }
    }

    fn append_voters(&mut self, voters: VoterSet) {
        let next = self.log.last().index + 1;
        let own = self.options.node;
        if let State::Leader(leadership) = &mut self.state {
            for node in voters.members().filter(|node| *node != own) {
                leadership.add_peer(node, next);
            }
        }
        self.append_own(Payload::Voters(voters));
        self.advance_commit();
    }

    /// Forgets peers that neither vote nor learn, once they were told so, and stops leading where that holds for
    /// this replica itself.
    pub(crate) fn release_peers(&mut self) {
        if self.is_changing_voters() {
            return;
        }
        let State::Leader(leadership) = &mut self.state else { return };
        let voters = self.log.voters();
        let Leadership { peers, learners, has_commit_news, .. } = leadership.as_mut();
        if *has_commit_news {
            return;
        }
        peers.retain(|node, _| voters.contains(*node) || learners.contains(node));
        if !voters.contains(self.options.node) {
            self.step_aside();
        }
    }
}

impl Leadership {
    fn add_peer(&mut self, node: NodeId, next: crate::entry::Index) {
        self.peers.entry(node).or_insert_with(|| Progress::new(next));
    }
}
