//! The topology of the exchange of loads: which edge sends its updates to which others.
//!
//! Up to [`MAX_MESH_EDGES`] edges form a full mesh. Beyond that the work would grow with the square of their number, so
//! edges form about √n groups of √n: each sends to the relay of its group, relays send each other the sums of their
//! groups, and each sends its group the sum of all. Groups are runs of the edges in the order of their addresses, which
//! keeps edges of one zone together where zones are address ranges. All nodes compute the same groups from one list;
//! while lists differ, some loads are missing or counted twice until they expire.

use std::sync::Arc;

use shaletrail_protocol::NodeId;
use shaletrail_ring::mix;

/// Edges in a full mesh at most.
const MAX_MESH_EDGES: usize = 128;

/// The place of this edge in the topology.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum GossipTopology {
    /// Each edge sends to all others.
    Mesh {
        /// The other edges.
        others: Arc<[NodeId]>,
    },
    /// This edge sends to its relay, and receives the sum of all from it.
    Member {
        /// The relay of its group.
        relay: NodeId,
    },
    /// This edge is the relay of its group.
    Relay {
        /// The other edges of its group.
        members: Arc<[NodeId]>,
        /// The other groups' relays.
        relays: Arc<[NodeId]>,
    },
}

impl Default for GossipTopology {
    fn default() -> Self {
        GossipTopology::Mesh { others: Arc::default() }
    }
}

impl GossipTopology {
    /// The place of `own` among the edges at work.
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

    /// Whether loads received in one place still count in the other: they come from the same kind of edges, and for a
    /// member from the same relay.
    pub fn has_same_sources_as(&self, other: &GossipTopology) -> bool {
        match (self, other) {
            (GossipTopology::Member { relay }, GossipTopology::Member { relay: other }) => relay == other,
            _ => std::mem::discriminant(self) == std::mem::discriminant(other),
        }
    }
}

/// The relay of a group: the edge with the greatest hash, so that it stays the same while others come and go.
fn relay_of(group: &[NodeId], fallback: NodeId) -> NodeId {
    group.iter().copied().max_by_key(|edge| mix(u64::from(edge.0))).unwrap_or(fallback)
}

fn without(edges: &[NodeId], own: NodeId) -> Arc<[NodeId]> {
    edges.iter().copied().filter(|edge| *edge != own).collect()
}
