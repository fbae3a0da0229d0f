//! Wanted voters of a shard: the difference between who votes and who should, one change at a time.

use shaletrail_cluster::Membership;
use shaletrail_consensus::{Index, Replica};
use shaletrail_protocol::internal::MemberState;
use shaletrail_protocol::{Millis, NodeId};

use super::Coordinator;
use crate::interface::{Action, StateChange};

/// Between two looks at who should vote.
const VOTERS_EVERY: Millis = 50;
/// Entries by which a newcomer may be behind what is committed: under steady load it always is by some, and it has
/// them before anything is committed that needs it.
const NEARLY: Index = 16;

/// What a leader sees of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// The node.
    pub node: NodeId,
    /// Taken to be away by the membership.
    pub absent: bool,
    /// Alive, readmitted if its disk is new, and its synced log nearly as long as what is committed.
    pub caught_up: bool,
}

/// The voters that a shard should have, if they differ from those it has.
///
/// Voters are added up to `size`; one that is absent makes way for a node that is not, once that has caught up.
/// With nobody to take its place an absent voter stays, as it may come back.
pub fn wanted(voters: &[NodeId], candidates: &[Candidate], size: usize) -> Option<Vec<NodeId>> {
    let newcomer = candidates
        .iter()
        .find(|candidate| candidate.caught_up && !candidate.absent && !voters.contains(&candidate.node))?;
    let mut next = voters.to_vec();
    if voters.len() >= size {
        let absent = |node: &NodeId| candidates.iter().any(|other| other.node == *node && other.absent);
        let leaving = voters.iter().position(absent)?;
        next.remove(leaving);
    }
    next.push(newcomer.node);
    next.sort();
    Some(next)
}

/// Brings newcomers up to date at the leader of a shard, and changes its voters where others should vote. The voters
/// that are on their way to being in force, if a change has begun.
pub fn review(
    replica: &mut Replica,
    membership: &Membership,
    size: usize,
    now: Millis,
) -> Option<Vec<NodeId>> {
    let present: Vec<NodeId> = replica.voters().members().collect();
    let mut known: Vec<NodeId> = membership.members().iter().map(|member| member.node).collect();
    known.extend(present.iter().copied().filter(|voter| membership.record(*voter).is_none()));
    let is_alive = |node: NodeId| membership.state(node) == Some(MemberState::Alive);
    for node in known.iter().copied().filter(|node| is_alive(*node) && !present.contains(node)) {
        // Refused where there are too many already.
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
        absent: membership.is_unreachable(node),
        caught_up: is_alive(node) && is_caught_up(replica, node),
    };
    let candidates: Vec<Candidate> = known.into_iter().map(candidate).collect();
    let wanted = wanted(&present, &candidates, size)?;
    replica.change_voters(now, wanted.clone()).ok().map(|()| wanted)
}

fn is_caught_up(replica: &Replica, node: NodeId) -> bool {
    replica
        .peer(node)
        .is_some_and(|peer| peer.counts_towards_quorum && peer.matched + NEARLY >= replica.commit_index())
}

/// The number of voters that a shard needs so that `hosts_lost` of them may be lost.
pub fn group_size(hosts_lost: u32) -> usize {
    2 * hosts_lost as usize + 1
}

impl Coordinator {
    /// Compares who votes with who should, shard by shard, where this node leads.
    pub(super) fn update_voters(&mut self, now: Millis, actions: &mut Vec<Action>) {
        if now < self.next_voter_review {
            return;
        }
        self.next_voter_review = now + VOTERS_EVERY;
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
