//! Sets of voters and their quorums (Ongaro's thesis, section 4.3).

use bitcode::{Decode, Encode};
use shaletrail_protocol::NodeId;

/// Size of an encoded node, in bytes.
const NODE_BYTES: usize = 4;

/// The voters of a group. While they are being changed the set is joint: a majority is one of both the incoming
/// and the outgoing voters.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct VoterSet {
    incoming: Vec<NodeId>,
    outgoing: Vec<NodeId>,
}

impl VoterSet {
    /// A set that isn't joint; order and repetition don't matter.
    pub fn new(voters: &[NodeId]) -> Self {
        VoterSet { incoming: sorted(voters), outgoing: Vec::new() }
    }

    /// The joint set on the way from this one's voters to `next`.
    pub fn joint_with(&self, next: &[NodeId]) -> Self {
        VoterSet { incoming: sorted(next), outgoing: self.incoming.clone() }
    }

    /// The set that follows on the joint one: the incoming voters alone.
    pub fn leave_joint(&self) -> Self {
        VoterSet { incoming: self.incoming.clone(), outgoing: Vec::new() }
    }

    /// Whether the voters are being changed.
    pub fn is_joint(&self) -> bool {
        !self.outgoing.is_empty()
    }

    /// Whether there are no voters at all.
    pub fn is_empty(&self) -> bool {
        self.incoming.is_empty()
    }

    /// The voters that stay or come, sorted.
    pub fn incoming(&self) -> &[NodeId] {
        &self.incoming
    }

    /// Whether a node votes, in either half.
    pub fn contains(&self, node: NodeId) -> bool {
        self.incoming.contains(&node) || self.outgoing.contains(&node)
    }

    /// All voters of both halves, each once.
    pub fn members(&self) -> impl Iterator<Item = NodeId> + '_ {
        let only_outgoing = self.outgoing.iter().filter(|node| !self.incoming.contains(node));
        self.incoming.iter().chain(only_outgoing).copied()
    }

    /// Whether those that agree are a majority, of both halves where the set is joint. Never for an empty set.
    pub fn has_quorum(&self, agrees: impl Fn(NodeId) -> bool) -> bool {
        let majority = |half: &[NodeId]| half.iter().filter(|node| agrees(**node)).count() * 2 > half.len();
        !self.is_empty() && majority(&self.incoming) && (self.outgoing.is_empty() || majority(&self.outgoing))
    }

    /// The greatest value that a majority has reached, of both halves where the set is joint; 0 for an empty set.
    pub fn quorum_value(&self, value: impl Fn(NodeId) -> u64) -> u64 {
        let is_reached = |minimum: u64| self.has_quorum(|node| value(node) >= minimum);
        self.members().map(&value).filter(|minimum| is_reached(*minimum)).max().unwrap_or(0)
    }

    /// Its size in bytes, roughly.
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
