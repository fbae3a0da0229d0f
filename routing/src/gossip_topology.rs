//! The topology of the load exchange among edges: which edges each edge sends its updates to.
//!
//! Up to [`MAX_MESH_EDGES`] edges form a full mesh. In a larger mesh the number of messages would grow with
//! the square of the number of edges n. The edges therefore form about √n groups of √n edges. Each edge sends
//! its loads to the relay of its group, relays send each other the sums of their groups, and each relay sends
//! the sum over all edges to its group. A group is a range of edges in the order of their addresses, so that
//! edges of one zone stay together if zones are address ranges. All nodes compute the same groups from the
//! same list of edges. While their lists differ, some loads are missing or counted twice until they expire.

use std::sync::Arc;

use shaletrail_protocol::NodeId;
use shaletrail_ring::mix;

/// Maximum number of edges in a full mesh.
const MAX_MESH_EDGES: usize = 128;

/// This edge's role in the topology, and the edges that it sends updates to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum GossipTopology {
    /// Every edge sends its loads to all others.
    Mesh { others: Arc<[NodeId]> },
    /// This edge sends its loads to the relay of its group and receives the sum over all edges from it.
    Member { relay: NodeId },
    /// This edge is the relay of its group.
    Relay {
        /// The other edges of the group.
        members: Arc<[NodeId]>,
        /// The relays of the other groups.
        relays: Arc<[NodeId]>,
    },
}

impl Default for GossipTopology {
    fn default() -> Self {
        GossipTopology::Mesh { others: Arc::default() }
    }
}

impl GossipTopology {
    /// The role of the edge `own` among all active edges.
    pub fn for_edge(own: NodeId, edges: &[NodeId]) -> GossipTopology {
        let mut edges = edges.to_vec();
        edges.sort_unstable();
        edges.dedup();
        if edges.len() <= MAX_MESH_EDGES {
            return GossipTopology::Mesh { others: without(&edges, own) };
        }
        let group_size = edges.len().isqrt();
        let groups: Vec<&[NodeId]> = edges.chunks(group_size).collect();
        let position = edges.partition_point(|edge| *edge < own).min(edges.len() - 1);
        let own_group = position / group_size;
        let relays: Vec<NodeId> = groups.iter().map(|group| relay_of(group, own)).collect();
        match relays.get(own_group) {
            Some(relay) if *relay != own => GossipTopology::Member { relay: *relay },
            _ => GossipTopology::Relay {
                members: without(groups.get(own_group).copied().unwrap_or_default(), own),
                relays: without(&relays, own),
            },
        }
    }

    /// Whether loads received in one role are still valid in the other. That is so if both receive loads from
    /// the same kind of senders and, for a member, from the same relay.
    pub fn has_same_sources_as(&self, other: &GossipTopology) -> bool {
        match (self, other) {
            (GossipTopology::Member { relay }, GossipTopology::Member { relay: other }) => relay == other,
            _ => std::mem::discriminant(self) == std::mem::discriminant(other),
        }
    }
}

/// The relay of a group: the edge with the greatest hash, so that other edges that join or leave rarely
/// change it.
fn relay_of(group: &[NodeId], fallback: NodeId) -> NodeId {
    group.iter().copied().max_by_key(|edge| mix(u64::from(edge.0))).unwrap_or(fallback)
}

fn without(edges: &[NodeId], own: NodeId) -> Arc<[NodeId]> {
    edges.iter().copied().filter(|edge| *edge != own).collect()
}
