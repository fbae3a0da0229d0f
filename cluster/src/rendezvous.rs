//! Rendezvous hashing (highest random weight): everybody who knows the same nodes ranks them alike for a key, and
//! a node that comes or goes moves only the keys that it ranked first for.

use shaletrail_protocol::NodeId;

use crate::stable_hash::mix;

/// All distinct nodes, the best for `key` first.
pub fn rank(key: u64, nodes: &[NodeId]) -> Vec<NodeId> {
    let mut weighted: Vec<(u64, NodeId)> = nodes.iter().map(|node| (weight(key, *node), *node)).collect();
    weighted.sort_unstable_by(|left, right| right.cmp(left));
    weighted.dedup();
    weighted.into_iter().map(|(_, node)| node).collect()
}

/// The best `count` nodes for `key`, or all where there are fewer.
pub fn choose(key: u64, nodes: &[NodeId], count: usize) -> Vec<NodeId> {
    let mut ranked = rank(key, nodes);
    ranked.truncate(count);
    ranked
}

/// The key under which a node itself is ranked for, as by the edges that choose a coordinator.
pub fn node_key(node: NodeId) -> u64 {
    mix(u64::from(node.0).wrapping_add(0x9e37_79b9_7f4a_7c15))
}

fn weight(key: u64, node: NodeId) -> u64 {
    mix(mix(key) ^ node_key(node).rotate_left(17))
}
