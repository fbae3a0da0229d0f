//! Wanted voters of a shard: the difference between who votes and who should, one change at a time.

use shaletrail_protocol::inside::MemberState;
use shaletrail_protocol::{Millis, NodeId};

use super::Core;
use crate::interface::{Action, Note};

/// Between two looks at who should vote.
const VOTERS_EVERY: Millis = 200;

/// What a leader sees of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// The node.
    pub node: NodeId,
    /// Taken to be away by the membership.
    pub absent: bool,
    /// Alive, and its log as good as the leader's.
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

/// The number of voters that a shard needs so that `hosts_lost` of them may be lost.
pub fn group_size(hosts_lost: u32) -> usize {
    2 * hosts_lost as usize + 1
}

impl Core {
    /// Compares who votes with who should, shard by shard, where this node leads.
    pub(super) fn update_voters(&mut self, now: Millis, actions: &mut Vec<Action>) {
        if now < self.next_voter_review {
            return;
        }
        self.next_voter_review = now + VOTERS_EVERY;
        let size = group_size(self.options.hosts_lost);
        let members: Vec<(NodeId, MemberState)> =
            self.membership.members().iter().map(|member| (member.node, member.state)).collect();
        for shard in self.shards.numbers() {
            let Some(replica) = self.shards.replica_mut(shard).filter(|replica| replica.is_leader()) else {
                continue;
            };
            let present: Vec<NodeId> = replica.voters().members().collect();
            // Newcomers are brought up to date first.
            for (node, state) in &members {
                if *state == MemberState::Alive && !present.contains(node) {
                    let _ = replica.add_learner(*node);
                }
            }
            for learner in replica.learners() {
                let there =
                    members.iter().any(|(node, state)| *node == learner && *state != MemberState::Absent);
                if !there {
                    replica.remove_learner(learner);
                }
            }
            if replica.is_changing_voters() {
                continue;
            }
            let candidate = |node: NodeId, state: MemberState| Candidate {
                node,
                absent: state == MemberState::Absent,
                caught_up: replica
                    .peer(node)
                    .is_some_and(|peer| peer.counts && peer.matched >= replica.commit_index()),
            };
            let candidates: Vec<Candidate> =
                members.iter().map(|(node, state)| candidate(*node, *state)).collect();
            if let Some(wanted) = wanted(&present, &candidates, size) {
                if replica.change_voters(now, wanted.clone()).is_ok() {
                    actions.push(Action::Note(Note::Voters { shard, wanted }));
                }
            }
        }
    }
}
