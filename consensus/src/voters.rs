//! Voter sets and their quorums (Ongaro's thesis, section 4.3).

use bitcode::{Decode, Encode};
use shaletrail_protocol::NodeId;

/// Size of an encoded node identifier, in bytes.
const NODE_BYTES: usize = 4;

/// The voters of a group. During a membership change the set is joint, and a quorum needs a majority of the incoming
/// and a majority of the outgoing voters.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct VoterSet {
    incoming: Vec<NodeId>,
    outgoing: Vec<NodeId>,
}

impl VoterSet {
    /// A voter set that is not joint. Order and duplicates in `voters` do not matter.
    pub fn new(voters: &[NodeId]) -> Self {
        VoterSet { incoming: sorted(voters), outgoing: Vec::new() }
    }

    /// The joint set for a change from this set's voters to `next`.
    pub fn joint_with(&self, next: &[NodeId]) -> Self {
        VoterSet { incoming: sorted(next), outgoing: self.incoming.clone() }
    }

    /// The set after the joint phase: the incoming voters alone.
    pub fn leave_joint(&self) -> Self {
        VoterSet { incoming: self.incoming.clone(), outgoing: Vec::new() }
    }

    /// Whether a change of voters is in progress.
    pub fn is_joint(&self) -> bool {
        !self.outgoing.is_empty()
    }

    /// Whether the set has no voters.
    pub fn is_empty(&self) -> bool {
        self.incoming.is_empty()
    }

    /// The voters after the change, in ascending order; all voters if the set is not joint.
    pub fn incoming(&self) -> &[NodeId] {
        &self.incoming
    }

    /// Whether a node is an incoming or an outgoing voter.
    pub fn contains(&self, node: NodeId) -> bool {
        self.incoming.contains(&node) || self.outgoing.contains(&node)
    }

    /// All incoming and outgoing voters, each once.
    pub fn members(&self) -> impl Iterator<Item = NodeId> + '_ {
        let only_outgoing = self.outgoing.iter().filter(|node| !self.incoming.contains(node));
        self.incoming.iter().chain(only_outgoing).copied()
    }

    /// Whether the nodes for which `agrees` holds form a quorum: a majority, or in a joint set a majority of both
    /// halves. Always false for an empty set.
    pub fn has_quorum(&self, agrees: impl Fn(NodeId) -> bool) -> bool {
        let majority = |half: &[NodeId]| half.iter().filter(|node| agrees(**node)).count() * 2 > half.len();
        !self.is_empty() && majority(&self.incoming) && (self.outgoing.is_empty() || majority(&self.outgoing))
    }

    /// The highest value that a quorum has reached; 0 for an empty set.
    pub fn quorum_value(&self, value: impl Fn(NodeId) -> u64) -> u64 {
        let is_reached = |minimum: u64| self.has_quorum(|node| value(node) >= minimum);
        self.members().map(&value).filter(|minimum| is_reached(*minimum)).max().unwrap_or(0)
    }

    /// Approximate size in bytes.
    pub(crate) fn size(&self) -> usize {
        (self.incoming.len() + self.outgoing.len()) * NODE_BYTES
    }
}

fn sorted(nodes: &[NodeId]) -> Vec<NodeId> {
    let mut nodes = nodes.to_vec();
    nodes.sort_unstable();
    nodes.dedup();
    nodes
}
