//! Machines are cut off from each other, or frozen.

mod common;

use common::{ask_for, assert_in_service, others, ready, sent_after, ACKNOWLEDGED_WITHIN, DRAIN};
use shaletrail_protocol::NodeId;
use shaletrail_simulation::{site, Fleet};

const SEEDS: std::ops::RangeInclusive<u64> = 1..=6;

/// Cuts one coordinator from the others: both ways, or one way only.
fn cut_off(fleet: &mut Fleet, node: NodeId, way: u64, cut: bool) {
    for other in others(fleet, node) {
        match way {
            0 => fleet.cut(node, other, cut),
            1 => fleet.cut_one_way(node, other, cut),
            _ => fleet.cut_one_way(other, node, cut),
        }
    }
}

#[test]
fn given_a_leader_cut_off_when_changes_reach_either_side_then_only_the_majority_acknowledges() {
    for seed in SEEDS {
        // given
        let mut fleet = ready(seed);
        let leader = fleet.await_leader();
        cut_off(&mut fleet, leader, seed % 3, true);

        // when: each side gets a change on the same base
        let (here, there) = (fleet.write(), fleet.write());
        fleet.send_to(leader, here);
        fleet.run(1_500);
        let other = others(&fleet, leader)[0];
        fleet.send_to(other, there);

        // then: what the cut one could still send may have come into force, unacknowledged
        let answered =
            fleet.run_until(ACKNOWLEDGED_WITHIN, |fleet| fleet.world.witness.outcome(there).is_some());
        assert!(answered, "{}", fleet.describe());
        assert!(!fleet.world.witness.is_acknowledged(here), "{}", fleet.describe());
        let sends = seed % 3 == 2;
        let won = if fleet.world.witness.is_acknowledged(there) { there } else { here };
        assert!(won == there || sends, "{}", fleet.describe());
        let in_force = fleet.run_until(2_000, |fleet| fleet.is_in_force(won));
        assert!(in_force, "edges stay with the minority\n{}", fleet.describe());

        // and once they are joined
        cut_off(&mut fleet, leader, seed % 3, false);
        fleet.run(2_000);
        assert_in_service(&mut fleet);
        fleet.check();
    }
}

#[test]
fn given_a_coordinator_cut_off_when_a_server_drains_on_either_side_then_all_edges_obey() {
    for seed in SEEDS {
        // given
        let mut fleet = ready(seed);
        let cut = fleet.coordinators()[(seed % 3) as usize];
        cut_off(&mut fleet, cut, seed / 3 % 3, true);
        ask_for(&mut fleet, 4_000);

        // when
        let node = site::server(3);
        let server = fleet.server(node).expect("it runs").id().clone();
        fleet.drain_server(node, None);
        ask_for(&mut fleet, 5_000);

        // then
        let drained = fleet.world.witness.drains.iter().find(|drained| drained.server == server);
        let acknowledged = drained.unwrap_or_else(|| panic!("not acknowledged\n{}", fleet.describe())).at;
        assert_eq!(sent_after(&fleet, &server, acknowledged + DRAIN), 0, "{}", fleet.describe());
        fleet.check();
    }
}

#[test]
fn given_a_frozen_leader_when_it_is_thawed_then_it_neither_acknowledges_nor_serves_old_reads() {
    for seed in 1..=20 {
        // given
        let mut fleet = ready(seed);
        let leader = fleet.await_leader();
        let (old, new) = (fleet.write(), fleet.write());
        fleet.freeze(leader);
        fleet.send_to(leader, old);
        let other = others(&fleet, leader)[0];
        fleet.send_to(other, new);
        let acknowledged =
            fleet.run_until(ACKNOWLEDGED_WITHIN, |fleet| fleet.world.witness.is_acknowledged(new));
        assert!(acknowledged, "{}", fleet.describe());

        // when: reads wait at the frozen one, and more come right after
        fleet.operator.read(&mut fleet.world, Some(leader));
        fleet.run(30);
        fleet.thaw(leader);
        fleet.operator.read(&mut fleet.world, Some(leader));
        fleet.run(6_000);

        // then
        assert!(!fleet.world.witness.is_acknowledged(old), "{}", fleet.describe());
        assert_in_service(&mut fleet);
        fleet.check();
    }
}

#[test]
fn given_a_leader_that_freezes_again_and_again_when_changes_come_then_they_are_acknowledged_in_between() {
    for seed in SEEDS {
        // given
        let mut fleet = ready(seed);
        for _ in 0..4 {
            // when
            let leader = fleet.await_leader();
            fleet.freeze(leader);
            fleet.run(1_500);
            let change = fleet.replace_within(ACKNOWLEDGED_WITHIN);
            fleet.thaw(leader);

            // then
            assert_eq!(fleet.read_within(ACKNOWLEDGED_WITHIN), change);
        }
        fleet.run(4_000);
        assert_in_service(&mut fleet);
        fleet.check();
    }
}

#[test]
fn given_an_edge_that_reaches_one_coordinator_only_when_that_is_cut_off_then_it_keeps_serving_what_it_knows()
{
    for seed in SEEDS {
        // given
        let mut fleet = ready(seed);
        let edge = fleet.edges()[0];
        let cut = fleet.coordinators()[(seed % 3) as usize];
        for other in others(&fleet, cut) {
            fleet.cut(edge, other, true);
        }
        cut_off(&mut fleet, cut, 0, true);
        fleet.run(3_000);

        // when
        let requests = ask_for(&mut fleet, 1_000);
        fleet.run(1_000);

        // then
        for request in requests {
            assert_eq!(fleet.status(request), Some(200), "{}", fleet.describe());
        }
        fleet.join_all();
        fleet.run(2_000);
        assert_in_service(&mut fleet);
        fleet.check();
    }
}

#[test]
fn given_a_leader_cut_off_when_reads_come_to_it_all_the_while_then_none_is_older_than_what_was_acknowledged()
{
    for seed in 1..=12 {
        // given
        let mut fleet = ready(seed);
        let leader = fleet.await_leader();
        let other = others(&fleet, leader)[0];
        cut_off(&mut fleet, leader, seed % 3, true);
        let change = fleet.write();
        fleet.send_to(other, change);

        // when
        for _ in 0..150 {
            fleet.operator.read(&mut fleet.world, Some(leader));
            fleet.run(20);
        }
        cut_off(&mut fleet, leader, seed % 3, false);
        fleet.run(3_000);

        // then
        assert!(fleet.world.witness.is_acknowledged(change), "{}", fleet.describe());
        assert!(!fleet.world.witness.reads.is_empty());
        assert_in_service(&mut fleet);
        fleet.check();
    }
}
