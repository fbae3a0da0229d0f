//! The voters of a shard: its leader reconciles those that vote with those that should, one change at a time.

use shaletrail_cluster::Membership;
use shaletrail_consensus::{Index, Replica};
use shaletrail_protocol::internal::MemberState;
use shaletrail_protocol::{Millis, NodeId};

use super::Coordinator;
use crate::interface::{Action, StateChange};

/// Interval between two reviews of the voters.
const VOTER_REVIEW_INTERVAL: Millis = 50;
/// Entries by which a learner may lag behind the commit index and still become a voter: under steady load it always lags
/// by some, and it has them before anything is committed that needs its vote.
const MAX_LEARNER_LAG: Index = 16;

/// A node that votes or could, as the leader of a shard sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// The node.
    pub node: NodeId,
    /// Whether the membership takes it to be unreachable.
    pub unreachable: bool,
    /// Whether it is alive, counts towards quorums, and its synced log lags by [`MAX_LEARNER_LAG`] entries at most.
    pub caught_up: bool,
}

/// The voters that a shard should have, if they differ from those that it has.
///
/// Voters are added up to `size`. Beyond that an unreachable voter is replaced by a learner that has caught up; without
/// one it stays, as it may come back.
pub fn desired_voters(voters: &[NodeId], candidates: &[Candidate], size: usize) -> Option<Vec<NodeId>> {
    let joining = candidates.iter().find(|candidate| {
        candidate.caught_up && !candidate.unreachable && !voters.contains(&candidate.node)
    })?;
    let mut desired = voters.to_vec();
    if voters.len() >= size {
        let unreachable =
            |node: &NodeId| candidates.iter().any(|other| other.node == *node && other.unreachable);
        let leaving = voters.iter().position(unreachable)?;
        desired.remove(leaving);
    }
    desired.push(joining.node);
    desired.sort();
    Some(desired)
}

/// Reconciles learners and voters at the leader of a shard with the membership: nodes that are alive become learners, dead
/// learners are removed, and a change of voters is proposed if others should vote. The voters after that change, if one
/// was proposed.
pub fn review(
    replica: &mut Replica,
    membership: &Membership,
    size: usize,
    now: Millis,
) -> Option<Vec<NodeId>> {
    let voters: Vec<NodeId> = replica.voters().members().collect();
    let mut known: Vec<NodeId> = membership.members().iter().map(|member| member.node).collect();
    known.extend(voters.iter().copied().filter(|voter| membership.record(*voter).is_none()));
    let is_alive = |node: NodeId| membership.state(node) == Some(MemberState::Alive);
    for node in known.iter().copied().filter(|node| is_alive(*node) && !voters.contains(node)) {
        // Rejected where there are too many learners already.
        let _ = replica.add_learner(node);
    }
    for learner in replica.learners() {
        if matches!(membership.state(learner), None | Some(MemberState::Dead)) {
            replica.remove_learner(learner);
        }
    }
    if replica.is_changing_voters() {
        return None;
    }
    let candidate = |node: NodeId| Candidate {
        node,
        unreachable: membership.is_unreachable(node),
        caught_up: is_alive(node) && is_caught_up(replica, node),
    };
    let candidates: Vec<Candidate> = known.into_iter().map(candidate).collect();
    let desired = desired_voters(&voters, &candidates, size)?;
    replica.change_voters(now, desired.clone()).ok().map(|()| desired)
}

fn is_caught_up(replica: &Replica, node: NodeId) -> bool {
    replica.peer_status(node).is_some_and(|peer| {
        peer.counts_towards_quorum && peer.matched + MAX_LEARNER_LAG >= replica.commit_index()
    })
}

/// The number of voters that a shard needs so that `hosts_lost` of them may be lost at once.
pub fn group_size(hosts_lost: u32) -> usize {
    2 * hosts_lost as usize + 1
}

impl Coordinator {
    /// Reviews the voters of each shard that this node leads, when due.
    pub(super) fn update_voters(&mut self, now: Millis, actions: &mut Vec<Action>) {
        if now < self.next_voter_review {
            return;
        }
        self.next_voter_review = now + VOTER_REVIEW_INTERVAL;
        let size = group_size(self.options.hosts_lost);
        for shard in self.shards.numbers() {
            let Some(replica) = self.shards.replica_mut(shard).filter(|replica| replica.is_leader()) else {
                continue;
            };
            if let Some(wanted) = review(replica, &self.membership, size, now) {
                actions.push(Action::LogStateChange(StateChange::VotersChanging { shard, wanted }));
            }
        }
    }
}
