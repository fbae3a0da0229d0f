//! Disks are slow, hang, or are full.

mod common;

use common::{assert_in_service, ready, ACKNOWLEDGED_WITHIN};
use shaletrail_storage::fault_injection::Faults;

const SEEDS: std::ops::RangeInclusive<u64> = 1..=6;
const FULL: Faults = Faults { full: true, writes_fail: false, syncs_fail: false, reads_fail: false };
const UNSYNCED: Faults = Faults { full: false, writes_fail: false, syncs_fail: true, reads_fail: false };

#[test]
fn given_a_leader_whose_disk_hangs_when_changes_come_then_another_leads_and_acknowledges() {
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
fn given_a_leader_whose_disk_refuses_when_changes_come_then_another_leads_and_acknowledges() {
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
fn given_a_leader_whose_disk_is_slow_when_changes_come_then_they_are_acknowledged() {
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
fn given_a_disk_that_hangs_while_the_leader_is_lost_when_it_goes_on_then_nothing_is_lost() {
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
fn given_hundreds_of_changes_when_journals_fill_and_all_lose_power_then_the_last_is_read_back() {
    // given
    let mut fleet = ready(3);

    // when
    let mut last = 0;
    for number in 0..400 {
        last = fleet.update();
        let acknowledged = fleet.run_until(1_000, |fleet| fleet.world.witness.is_acknowledged(last));
        assert!(acknowledged, "{number}\n{}", fleet.describe());
    }
    fleet.lose_all(true);
    fleet.run(100);
    fleet.start_missing();

    // then
    assert_eq!(fleet.read_within(ACKNOWLEDGED_WITHIN), last);
    assert_in_service(&mut fleet);
    fleet.check();
}
