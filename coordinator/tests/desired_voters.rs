//! The voters that a shard should have, derived from the state of the nodes as seen by its leader.

mod common;

use std::sync::LazyLock;

use common::{node, nodes};
use shaletrail_cluster::node_attributes::NodeAttributes;
use shaletrail_coordinator::core::voters::selection::{desired_voters, Candidate};
use shaletrail_protocol::settings::FaultTolerance;

/// One machine may be lost, so that three are to vote.
const ONE_HOST: FaultTolerance = FaultTolerance { hosts: 1, zones: 0, regions: 0 };

/// The attributes of all nodes.
static ATTRIBUTES: LazyLock<NodeAttributes> = LazyLock::new(|| NodeAttributes::new("a", "north", true));

fn caught_up(number: u8) -> Candidate<'static> {
    Candidate { node: node(number), unreachable: false, caught_up: true, attributes: Some(&ATTRIBUTES) }
}

fn lagging(number: u8) -> Candidate<'static> {
    Candidate { caught_up: false, ..caught_up(number) }
}

fn unreachable(number: u8) -> Candidate<'static> {
    Candidate { unreachable: true, ..lagging(number) }
}

#[test]
fn caught_up_node_is_added() {
    let candidates = [caught_up(1), caught_up(2), lagging(3)];
    assert_eq!(desired_voters(&nodes(&[1]), &candidates, ONE_HOST), Some(nodes(&[1, 2])));
    assert_eq!(desired_voters(&nodes(&[1, 2]), &candidates, ONE_HOST), None, "the third has not caught up");
}

#[test]
fn unreachable_voter_stays_without_replacement() {
    let candidates = [caught_up(1), unreachable(2), caught_up(3)];
    assert_eq!(desired_voters(&nodes(&[1, 2, 3]), &candidates, ONE_HOST), None);
    let with_learner = [&candidates[..], &[caught_up(4)]].concat();
    assert_eq!(desired_voters(&nodes(&[1, 2, 3]), &with_learner, ONE_HOST), Some(nodes(&[1, 3, 4])));
}

#[test]
fn complete_group_is_unchanged() {
    let candidates: Vec<Candidate> = (1..=4).map(caught_up).collect();
    assert_eq!(desired_voters(&nodes(&[1, 2, 3]), &candidates, ONE_HOST), None);
}

#[test]
fn unreachable_candidate_is_not_added() {
    let unreachable_but_caught_up = Candidate { unreachable: true, ..caught_up(4) };
    let candidates = [caught_up(1), unreachable(2), unreachable_but_caught_up];
    assert_eq!(desired_voters(&nodes(&[1, 2, 3]), &candidates, ONE_HOST), None);
}
