//! Coordinators with slow, stalled, full and failing disks.

mod common;

use common::{assert_in_service, ready, ACKNOWLEDGED_WITHIN};
use shaletrail_storage::fault_injection::Faults;

const SEEDS: std::ops::RangeInclusive<u64> = 1..=6;
const FULL: Faults = Faults { full: true, writes_fail: false, syncs_fail: false, reads_fail: false };
const UNSYNCED: Faults = Faults { full: false, writes_fail: false, syncs_fail: true, reads_fail: false };

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
        for faults in [FULL, UNSYNCED] {
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
        fleet.set_disk_speed(leader, 150..=350);

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
