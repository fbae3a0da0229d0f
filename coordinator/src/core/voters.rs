//! The voters of each shard. Its leader compares the present voters with the desired ones and proposes one change at a
//! time.

pub mod selection;
pub mod tolerance;

use shaletrail_cluster::node_attributes::NodeAttributes;
use shaletrail_cluster::{Membership, NodeAttributesTable};
use shaletrail_consensus::{Index, Replica};
use shaletrail_protocol::internal::MemberState;
use shaletrail_protocol::settings::FaultTolerance;
use shaletrail_protocol::{Millis, NodeId};

use super::Coordinator;
use crate::interface::{Action, StateChange};
use selection::{desired_voters, Candidate};
use tolerance::{assess, LossAssessment};

/// Interval between reviews of the voters.
const VOTER_REVIEW_INTERVAL: Millis = 50;
/// Number of entries by which a learner may lag behind the commit index and still become a voter. Under steady load it
/// always lags by some entries, and it receives them before anything that needs its vote is committed.
const MAX_LEARNER_LAG: Index = 16;

/// What a leader knows about the nodes among which it chooses voters.
#[derive(Clone, Copy, Debug)]
pub struct VoterContext<'a> {
    /// The coordinators and their liveness.
    pub membership: &'a Membership,
    /// Where the coordinators stand, and which of them may vote.
    pub attributes: &'a NodeAttributesTable,
    /// The losses to tolerate.
    pub tolerance: FaultTolerance,
}

/// What the choice of voters depends on, besides the settings.
#[derive(Debug, PartialEq, Eq)]
struct SelectionInputs {
    voters: Vec<NodeId>,
    nodes: Vec<NodeState>,
    /// The version of the table of attributes.
    attributes_version: u64,
}

#[derive(Debug, PartialEq, Eq)]
struct NodeState {
    node: NodeId,
    unreachable: bool,
    caught_up: bool,
}

/// What the leader of a shard remembers from one review of its voters to the next.
#[derive(Debug, Default)]
pub struct ReviewMemory {
    /// The inputs of the last selection, if it led to no change: the same inputs need not be searched again.
    without_change: Option<SelectionInputs>,
    /// The last assessment of the voters.
    assessment: Option<LossAssessment>,
}

impl ReviewMemory {
    /// Records an assessment. Returns whether it is to be logged: it has changed, or is the first one, and the losses are
    /// or were not all tolerated.
    fn record(&mut self, assessment: LossAssessment) -> bool {
        match self.assessment.replace(assessment) {
            Some(previous) => {
                previous != assessment && !(previous.is_tolerated() && assessment.is_tolerated())
            }
            None => !assessment.is_tolerated(),
        }
    }
}

/// Updates learners and voters at the leader of a shard from the membership: nodes that are alive become learners, dead
/// learners are removed, and a change of voters is proposed if it is needed. Returns the voters after that change, if
/// one was proposed.
pub fn review(
    replica: &mut Replica,
    context: VoterContext<'_>,
    memory: &mut ReviewMemory,
    now: Millis,
) -> Option<Vec<NodeId>> {
    let VoterContext { membership, attributes, tolerance } = context;
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
    // All leaders prefer nodes in the same order, so that the shards tend to have the same voters.
    known.sort_unstable();
    let candidate = |node: NodeId| Candidate {
        node,
        unreachable: membership.is_unreachable(node),
        caught_up: is_alive(node) && is_caught_up(replica, node),
        attributes: attributes.get(node),
    };
    let candidates: Vec<Candidate> = known.into_iter().map(candidate).collect();
    let inputs = SelectionInputs::new(voters, &candidates, attributes.version());
    if memory.without_change.as_ref() == Some(&inputs) {
        return None;
    }
    let desired = desired_voters(&inputs.voters, &candidates, tolerance);
    memory.without_change = desired.is_none().then_some(inputs);
    let desired = desired?;
    replica.change_voters(now, desired.clone()).ok().map(|()| desired)
}

impl SelectionInputs {
    fn new(voters: Vec<NodeId>, candidates: &[Candidate<'_>], attributes_version: u64) -> Self {
        let state = |candidate: &Candidate| NodeState {
            node: candidate.node,
            unreachable: candidate.unreachable,
            caught_up: candidate.caught_up,
        };
        SelectionInputs { voters, nodes: candidates.iter().map(state).collect(), attributes_version }
    }
}

fn is_caught_up(replica: &Replica, node: NodeId) -> bool {
    replica.peer_status(node).is_some_and(|peer| {
        peer.counts_towards_quorum && peer.matched + MAX_LEARNER_LAG >= replica.commit_index()
    })
}

impl Coordinator {
    /// Reviews the voters of each shard that this node leads, if a review is due.
    pub(super) fn update_voters(&mut self, now: Millis, actions: &mut Vec<Action>) {
        if now < self.next_voter_review {
            return;
        }
        self.next_voter_review = now + VOTER_REVIEW_INTERVAL;
        for shard in self.shards.numbers() {
            let Some(replica) = self.shards.replica_mut(shard).filter(|replica| replica.is_leader()) else {
                self.voter_reviews.remove(&shard);
                continue;
            };
            let context = VoterContext {
                membership: &self.membership,
                attributes: &self.node_attributes,
                tolerance: self.options.fault_tolerance,
            };
            let memory = self.voter_reviews.entry(shard).or_default();
            if let Some(target_voters) = review(replica, context, memory, now) {
                actions.push(Action::LogStateChange(StateChange::VotersChanging { shard, target_voters }));
            } else if !replica.is_changing_voters() {
                let assessment = assess_voters(replica, context);
                if memory.record(assessment) {
                    let change = StateChange::FaultToleranceChanged { shard, assessment };
                    actions.push(Action::LogStateChange(change));
                }
            }
        }
    }
}

/// Assesses the present voters of a shard.
fn assess_voters(replica: &Replica, context: VoterContext<'_>) -> LossAssessment {
    let attributes: Vec<Option<&NodeAttributes>> =
        replica.voters().members().map(|voter| context.attributes.get(voter)).collect();
    assess(attributes.into_iter(), context.tolerance)
}
