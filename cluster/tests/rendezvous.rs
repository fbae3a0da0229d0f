//! Tests of rendezvous hashing: agreement between nodes, minimal reassignment, and even distribution.

use shaletrail_cluster::rendezvous::{choose, node_key, rank};
use shaletrail_protocol::NodeId;

fn nodes(count: u32) -> Vec<NodeId> {
    (1..=count).map(NodeId).collect()
}

#[test]
fn rank_does_not_depend_on_order_of_nodes() {
    let forwards = nodes(9);
    let backwards: Vec<NodeId> = forwards.iter().rev().copied().chain([NodeId(3)]).collect();
    for key in 0..100 {
        assert_eq!(rank(key, &forwards), rank(key, &backwards));
        assert_eq!(rank(key, &forwards).len(), 9);
    }
}

#[test]
fn removed_node_moves_only_its_own_keys() {
    let all = nodes(6);
    let rest: Vec<NodeId> = all.iter().copied().filter(|node| *node != NodeId(4)).collect();
    for key in 0..1000 {
        let before: Vec<NodeId> = rank(key, &all).into_iter().filter(|node| *node != NodeId(4)).collect();
        assert_eq!(before, rank(key, &rest));
    }
}

#[test]
fn keys_spread_evenly_over_nodes() {
    let all = nodes(6);
    for node in &all {
        let first = (0..6000).filter(|key| choose(*key, &all, 1) == [*node]).count();
        assert!((850..1150).contains(&first), "{node} is first for {first} keys of 6000");
    }
}

#[test]
fn neighbouring_edges_spread_over_coordinators() {
    let coordinators = nodes(3);
    for node in &coordinators {
        let edges = (0x0a01_0020..0x0a01_0020 + 300).map(NodeId);
        let first = edges.filter(|edge| choose(node_key(*edge), &coordinators, 1) == [*node]).count();
        assert!((70..130).contains(&first), "{node} is first for {first} edges of 300");
    }
}
