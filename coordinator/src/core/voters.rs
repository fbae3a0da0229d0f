//! The voters of each shard. Its leader compares the present voters with the desired ones and proposes one change at a
//! time.

pub mod selection;
pub mod tolerance;

use std::collections::BTreeMap;

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

/// The assessments of the shards that this node leads, as far as they are logged.
#[derive(Debug, Default)]
pub struct LoggedAssessments {
    by_shard: BTreeMap<u32, LossAssessment>,
}

impl LoggedAssessments {
    /// Records an assessment. Returns whether it is to be logged: it has changed, or is the first one and the losses are
    /// not tolerated.
    fn record(&mut self, shard: u32, assessment: LossAssessment) -> bool {
        match self.by_shard.insert(shard, assessment) {
            Some(previous) => {
                previous != assessment && !(previous.is_tolerated() && assessment.is_tolerated())
            }
            None => !assessment.is_tolerated(),
        }
    }

    /// Forgets a shard that this node does not lead.
    fn remove(&mut self, shard: u32) {
        self.by_shard.remove(&shard);
    }
}

/// Updates learners and voters at the leader of a shard from the membership: nodes that are alive become learners, dead
/// learners are removed, and a change of voters is proposed if it is needed. Returns the voters after that change, if
/// one was proposed.
pub fn review(replica: &mut Replica, context: VoterContext<'_>, now: Millis) -> Option<Vec<NodeId>> {
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
    let desired = desired_voters(&voters, &candidates, tolerance)?;
    replica.change_voters(now, desired.clone()).ok().map(|()| desired)
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
                self.logged_assessments.remove(shard);
                continue;
            };
            let context = VoterContext {
                membership: &self.membership,
                attributes: &self.node_attributes,
                tolerance: self.options.fault_tolerance,
            };
            if let Some(target_voters) = review(replica, context, now) {
                actions.push(Action::LogStateChange(StateChange::VotersChanging { shard, target_voters }));
            } else if !replica.is_changing_voters() {
                let assessment = assess_voters(replica, context);
                if self.logged_assessments.record(shard, assessment) {
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
