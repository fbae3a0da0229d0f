//! The voters of each shard. Its leader compares the present voters with the desired ones and proposes one change at a
//! time.

use shaletrail_cluster::Membership;
use shaletrail_consensus::{Index, Replica};
use shaletrail_protocol::internal::MemberState;
use shaletrail_protocol::{Millis, NodeId};

use super::Coordinator;
use crate::interface::{Action, StateChange};

/// Interval between reviews of the voters.
const VOTER_REVIEW_INTERVAL: Millis = 50;
/// Number of entries by which a learner may lag behind the commit index and still become a voter. Under steady load it
/// always lags by some entries, and it receives them before anything that needs its vote is committed.
const MAX_LEARNER_LAG: Index = 16;

/// A voter or a node that could become one, as seen by the leader of a shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// The node.
    pub node: NodeId,
    /// Whether the node is unreachable according to the membership.
    pub unreachable: bool,
    /// Whether the node is alive, counts towards quorums, and its synced log lags by at most `MAX_LEARNER_LAG` entries.
    pub caught_up: bool,
}

/// Returns the voters that a shard should have; `None` if no change is needed or possible.
///
/// Nodes that have caught up are added until there are `size` voters. From then on, an unreachable voter is replaced by
/// a node that has caught up. Without such a node the voter stays, as it may become reachable again.
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

/// Updates learners and voters at the leader of a shard from the membership: nodes that are alive become learners, dead
/// learners are removed, and a change of voters is proposed if it is needed. Returns the voters after that change, if
/// one was proposed.
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
        // An error means that there are too many learners already; the node is added in a later review.
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

/// Returns the number of voters that a shard needs to tolerate the loss of `tolerated_host_losses` of them at the same time.
pub fn voter_count(tolerated_host_losses: u32) -> usize {
    2 * tolerated_host_losses as usize + 1
}

impl Coordinator {
    /// Reviews the voters of each shard that this node leads, if a review is due.
    pub(super) fn update_voters(&mut self, now: Millis, actions: &mut Vec<Action>) {
        if now < self.next_voter_review {
            return;
        }
        self.next_voter_review = now + VOTER_REVIEW_INTERVAL;
        let size = voter_count(self.options.tolerated_host_losses);
        for shard in self.shards.numbers() {
            let Some(replica) = self.shards.replica_mut(shard).filter(|replica| replica.is_leader()) else {
                continue;
            };
            if let Some(target_voters) = review(replica, &self.membership, size, now) {
                actions.push(Action::LogStateChange(StateChange::VotersChanging { shard, target_voters }));
            }
        }
    }
}
