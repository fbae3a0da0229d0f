//! Rendezvous hashing (highest random weight).
//!
//! Processes that know the same nodes rank them identically for a key. A node that joins or leaves changes the
//! assignment of only those keys for which it ranks first.

use shaletrail_protocol::NodeId;

use crate::stable_hash::mix;

/// All distinct nodes sorted by their weight for `key`, the highest first.
pub fn rank(key: u64, nodes: &[NodeId]) -> Vec<NodeId> {
    let mut weighted: Vec<(u64, NodeId)> = nodes.iter().map(|node| (weight(key, *node), *node)).collect();
    weighted.sort_unstable_by(|left, right| right.cmp(left));
    weighted.dedup();
    weighted.into_iter().map(|(_, node)| node).collect()
}

/// The `count` nodes with the highest weight for `key`, or all nodes where there are fewer.
pub fn choose(key: u64, nodes: &[NodeId], count: usize) -> Vec<NodeId> {
    let mut ranked = rank(key, nodes);
    ranked.truncate(count);
    ranked
}

/// The key for which other nodes are ranked on behalf of `node`, such as for an edge that chooses its coordinator.
pub fn node_key(node: NodeId) -> u64 {
    mix(u64::from(node.0).wrapping_add(0x9e37_79b9_7f4a_7c15))
}

fn weight(key: u64, node: NodeId) -> u64 {
    mix(mix(key) ^ node_key(node).rotate_left(17))
}
