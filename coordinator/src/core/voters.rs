//! Wanted voters of a shard: the difference between who votes and who should, one change at a time.

use shaletrail_protocol::NodeId;

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
