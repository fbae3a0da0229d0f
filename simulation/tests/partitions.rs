//! Partitions between machines, and frozen coordinators.

mod common;

use common::{assert_in_service, others, ready, send_requests_for, sent_after, ACKNOWLEDGED_WITHIN, DRAIN};
use shaletrail_protocol::NodeId;
use shaletrail_simulation::{fixtures, Fleet};

const SEEDS: std::ops::RangeInclusive<u64> = 1..=6;

/// Partitions one coordinator from the others, or heals the partition. Direction 0 is both, 1 outgoing, others incoming.
fn isolate(fleet: &mut Fleet, node: NodeId, direction: u64, partitioned: bool) {
    for other in others(fleet, node) {
        match direction {
            0 => fleet.partition(node, other, partitioned),
            1 => fleet.partition_one_way(node, other, partitioned),
            _ => fleet.partition_one_way(other, node, partitioned),
        }
    }
}

#[test]
fn only_majority_side_acknowledges() {
    for seed in SEEDS {
        // given
        let mut fleet = ready(seed);
        let leader = fleet.await_leader();
        isolate(&mut fleet, leader, seed % 3, true);

        // when: each side of the partition gets a change of the same base version
        let (here, there) = (fleet.create_change(), fleet.create_change());
        fleet.send_only_to(leader, here);
        fleet.run(1_500);
        let other = others(&fleet, leader)[0];
        fleet.send_only_to(other, there);

        // then: if the isolated leader can still send, its change may have been committed without an acknowledgement
        let answered =
            fleet.run_until(ACKNOWLEDGED_WITHIN, |fleet| fleet.world.observer.outcome(there).is_some());
        assert!(answered, "{}", fleet.describe());
        assert!(!fleet.world.observer.is_acknowledged(here), "{}", fleet.describe());
        let leader_sends = seed % 3 == 2;
        let won = if fleet.world.observer.is_acknowledged(there) { there } else { here };
        assert!(won == there || leader_sends, "{}", fleet.describe());
        let is_applied = fleet.run_until(2_000, |fleet| fleet.is_applied_everywhere(won));
        assert!(is_applied, "not all edges apply the change of the majority\n{}", fleet.describe());

        // then: the former leader catches up once the partition heals
        isolate(&mut fleet, leader, seed % 3, false);
        fleet.run(2_000);
        assert_in_service(&mut fleet);
        fleet.check();
    }
}

#[test]
fn drain_is_obeyed_across_partition() {
    for seed in SEEDS {
        // given
        let mut fleet = ready(seed);
        let partitioned = fleet.coordinators()[(seed % 3) as usize];
        isolate(&mut fleet, partitioned, seed / 3 % 3, true);
        send_requests_for(&mut fleet, 4_000);

        // when
        let node = fixtures::server(3);
        let server = fleet.server(node).expect("the server runs").id().clone();
        fleet.drain_server(node, None);
        send_requests_for(&mut fleet, 5_000);

        // then
        let drained =
            fleet.world.observer.acknowledged_drains.iter().find(|drained| drained.server == server);
        let acknowledged =
            drained.unwrap_or_else(|| panic!("draining not acknowledged\n{}", fleet.describe())).at;
        assert_eq!(sent_after(&fleet, &server, acknowledged + DRAIN), 0, "{}", fleet.describe());
        fleet.check();
    }
}

#[test]
fn thawed_leader_serves_no_stale_read() {
    for seed in 1..=20 {
        // given
        let mut fleet = ready(seed);
        let leader = fleet.await_leader();
        let (old, new) = (fleet.create_change(), fleet.create_change());
        fleet.freeze(leader);
        fleet.send_only_to(leader, old);
        let other = others(&fleet, leader)[0];
        fleet.send_only_to(other, new);
        let acknowledged =
            fleet.run_until(ACKNOWLEDGED_WITHIN, |fleet| fleet.world.observer.is_acknowledged(new));
        assert!(acknowledged, "{}", fleet.describe());

        // when: one read arrives while the leader is frozen, another one right after the thaw
        fleet.operator.read(&mut fleet.world, Some(leader));
        fleet.run(30);
        fleet.thaw(leader);
        fleet.operator.read(&mut fleet.world, Some(leader));
        fleet.run(6_000);

        // then
        assert!(!fleet.world.observer.is_acknowledged(old), "{}", fleet.describe());
        assert_in_service(&mut fleet);
        fleet.check();
    }
}

#[test]
fn repeated_leader_freezes_keep_service() {
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
fn edge_behind_isolated_coordinator_keeps_serving() {
    for seed in SEEDS {
        // given
        let mut fleet = ready(seed);
        let edge = fleet.edges()[0];
        let partitioned = fleet.coordinators()[(seed % 3) as usize];
        for other in others(&fleet, partitioned) {
            fleet.partition(edge, other, true);
        }
        isolate(&mut fleet, partitioned, 0, true);
        fleet.run(3_000);

        // when
        let requests = send_requests_for(&mut fleet, 1_000);
        fleet.run(1_000);

        // then
        for request in requests {
            assert_eq!(fleet.status(request), Some(200), "{}", fleet.describe());
        }
        fleet.heal_partitions();
        fleet.run(2_000);
        assert_in_service(&mut fleet);
        fleet.check();
    }
}

#[test]
fn isolated_leader_serves_no_stale_read() {
    for seed in 1..=12 {
        // given
        let mut fleet = ready(seed);
        let leader = fleet.await_leader();
        let other = others(&fleet, leader)[0];
        isolate(&mut fleet, leader, seed % 3, true);
        let change = fleet.create_change();
        fleet.send_only_to(other, change);

        // when
        for _ in 0..150 {
            fleet.operator.read(&mut fleet.world, Some(leader));
            fleet.run(20);
        }
        isolate(&mut fleet, leader, seed % 3, false);
        fleet.run(3_000);

        // then
        assert!(fleet.world.observer.is_acknowledged(change), "{}", fleet.describe());
        assert!(!fleet.world.observer.reads.is_empty());
        assert_in_service(&mut fleet);
        fleet.check();
    }
}
