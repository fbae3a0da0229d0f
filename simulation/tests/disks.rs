//! Coordinators whose disks are slow, stall, are full or fail.

mod common;

use common::{assert_in_service, ready, ACKNOWLEDGED_WITHIN};
use shaletrail_simulation::{Fleet, FleetOptions};
use shaletrail_storage::fault_injection::Faults;

const SEEDS: std::ops::RangeInclusive<u64> = 1..=6;
const FULL: Faults = Faults { full: true, writes_fail: false, syncs_fail: false, reads_fail: false };
const SYNC_FAILURE: Faults = Faults { full: false, writes_fail: false, syncs_fail: true, reads_fail: false };

#[test]
fn stalled_leader_disk_changes_leader() {
    for seed in SEEDS {
        // given
        let mut fleet = ready(seed);
        let leader = fleet.await_leader();

        // when
        fleet.set_disk_stalled(leader, true);

        // then
        for _ in 0..3 {
            fleet.replace_within(ACKNOWLEDGED_WITHIN);
            fleet.run(400);
        }
        assert_ne!(fleet.leader(), Some(leader), "{}", fleet.describe());
        fleet.set_disk_stalled(leader, false);
        fleet.run(3_000);
        assert_in_service(&mut fleet);
        fleet.check();
    }
}

#[test]
fn failing_leader_disk_changes_leader() {
    for seed in SEEDS {
        for faults in [FULL, SYNC_FAILURE] {
            // given
            let mut fleet = ready(seed);
            let leader = fleet.await_leader();

            // when
            fleet.set_disk_faults(leader, faults);

            // then
            for _ in 0..3 {
                fleet.replace_within(ACKNOWLEDGED_WITHIN);
                fleet.run(400);
            }
            assert_ne!(fleet.leader(), Some(leader), "{}", fleet.describe());
            fleet.set_disk_faults(leader, Faults::default());
            fleet.run(3_000);
            assert_in_service(&mut fleet);
            fleet.check();
        }
    }
}

#[test]
fn slow_leader_disk_acknowledges_in_time() {
    for seed in SEEDS {
        // given
        let mut fleet = ready(seed);
        let leader = fleet.await_leader();

        // when
        fleet.set_disk_latency(leader, 150..=350);

        // then
        for _ in 0..5 {
            fleet.replace_within(ACKNOWLEDGED_WITHIN);
        }
        fleet.check();
    }
}

#[test]
fn stalled_follower_recovers_after_leader_loss() {
    for seed in SEEDS {
        // given
        let mut fleet = ready(seed);
        let leader = fleet.await_leader();
        let slow = common::others(&fleet, leader)[0];
        fleet.set_disk_stalled(slow, true);
        let change = fleet.replace_within(ACKNOWLEDGED_WITHIN);

        // when
        let leader = fleet.await_leader();
        fleet.lose_power(leader);
        fleet.run(500);
        fleet.set_disk_stalled(slow, false);
        fleet.start(leader);

        // then
        assert_eq!(fleet.read_within(6_000), change, "{}", fleet.describe());
        fleet.run(3_000);
        assert_in_service(&mut fleet);
        fleet.check();
    }
}

#[test]
fn full_journals_survive_power_loss_of_all() {
    // given
    let mut fleet = ready(3);

    // when
    let mut last = 0;
    for number in 0..400 {
        last = fleet.update();
        let acknowledged = fleet.run_until(1_000, |fleet| fleet.world.observer.is_acknowledged(last));
        assert!(acknowledged, "{number}\n{}", fleet.describe());
    }
    fleet.stop_all(true);
    fleet.run(100);
    fleet.start_stopped();

    // then
    assert_eq!(fleet.read_within(ACKNOWLEDGED_WITHIN), last);
    assert_in_service(&mut fleet);
    fleet.check();
}

#[test]
fn bootstrap_succeeds_despite_full_disk_of_one_seed() {
    for seed in SEEDS {
        // given
        let mut fleet = Fleet::new(FleetOptions { seed, ..FleetOptions::default() });
        let full = fleet.coordinators()[(seed % 3) as usize];
        fleet.set_disk_faults(full, FULL);

        // when
        let nodes: Vec<_> = fleet.coordinators().into_iter().chain(fleet.edges()).collect();
        nodes.iter().for_each(|node| fleet.start(*node));
        fleet.start_servers();

        // then
        assert_in_service(&mut fleet);
        fleet.set_disk_faults(full, Faults::default());
        fleet.run(6_000);
        let lost = common::others(&fleet, full)[0];
        fleet.lose_power(lost);
        assert_in_service(&mut fleet);
        fleet.check();
    }
}

#[test]
fn snapshot_install_completes_once_full_disk_has_space() {
    for seed in SEEDS {
        // given: a follower that needs a snapshot but has no disk space for it
        let mut fleet = ready(seed);
        let leader = fleet.await_leader();
        let behind = common::others(&fleet, leader)[0];
        fleet.lose_power(behind);
        for _ in 0..40 {
            fleet.replace_within(ACKNOWLEDGED_WITHIN);
        }
        fleet.set_disk_faults(behind, FULL);
        fleet.start(behind);

        // when: changes continue, and the disk has space again
        for _ in 0..10 {
            fleet.replace_within(ACKNOWLEDGED_WITHIN);
            fleet.run(300);
        }
        fleet.set_disk_faults(behind, Faults::default());
        fleet.run(4_000);

        // then: the follower counts towards the quorum, so that another failure is tolerated
        let third = common::others(&fleet, behind).into_iter().find(|node| Some(*node) != fleet.leader());
        fleet.lose_power(third.expect("another follower"));
        assert_in_service(&mut fleet);
        fleet.check();
    }
}
