//! Machines of the core are lost, replaced and exchanged.

mod common;

use common::{assert_in_service, others, ready, ACKNOWLEDGED_WITHIN};
use shaletrail_simulation::network::Conditions;
use shaletrail_simulation::{site, Fleet, FleetOptions};

/// How long a machine that is back counts as lost (`syncS`).
const SYNC: u64 = 4_000;
const SEEDS: std::ops::RangeInclusive<u64> = 1..=6;

#[test]
fn given_a_change_just_acknowledged_when_the_leader_loses_power_then_nothing_is_lost() {
    for seed in SEEDS {
        // given
        let mut fleet = ready(seed);
        let leader = fleet.await_leader();
        let change = fleet.replace_within(1_000);

        // when
        fleet.lose_power(leader);

        // then
        assert_eq!(fleet.read_within(ACKNOWLEDGED_WITHIN), change, "{}", fleet.describe());
        assert_in_service(&mut fleet);
        fleet.check();
    }
}

#[test]
fn given_a_change_just_acknowledged_when_the_leader_loses_its_disk_then_nothing_is_lost_and_it_votes_again() {
    for seed in SEEDS {
        // given
        let mut fleet = ready(seed);
        let leader = fleet.await_leader();
        let change = fleet.replace_within(1_000);

        // when
        fleet.lose_power(leader);
        fleet.wipe(leader);
        fleet.start(leader);

        // then
        assert_eq!(fleet.read_within(ACKNOWLEDGED_WITHIN), change, "{}", fleet.describe());
        fleet.run(SYNC);
        for lost in others(&fleet, leader) {
            fleet.lose_power(lost);
            assert_in_service(&mut fleet);
            fleet.start(lost);
            fleet.run(SYNC);
        }
        fleet.check();
    }
}

#[test]
fn given_a_change_just_acknowledged_when_all_lose_power_or_are_killed_then_it_is_read_back_and_in_force() {
    for seed in SEEDS {
        for power in [true, false] {
            // given: disks that are slower than links
            let options = FleetOptions { disk: 15..=40, seed, ..FleetOptions::default() };
            let mut fleet = Fleet::ready(options);
            let change = fleet.replace_within(1_000);

            // when
            fleet.lose_all(power);
            fleet.run(700);
            fleet.start_missing();

            // then
            assert_eq!(fleet.read_within(ACKNOWLEDGED_WITHIN), change, "{}", fleet.describe());
            let in_force = fleet.run_until(2_000, |fleet| fleet.is_in_force(change));
            assert!(in_force, "{}", fleet.describe());
            assert_in_service(&mut fleet);
            fleet.check();
        }
    }
}

#[test]
fn given_all_lost_power_when_one_of_them_comes_back_with_an_empty_disk_then_nothing_is_lost() {
    for seed in SEEDS {
        // given
        let mut fleet = ready(seed);
        let change = fleet.replace_within(1_000);
        fleet.lose_all(true);
        fleet.run(500);

        // when
        let wiped = fleet.coordinators()[(seed % 3) as usize];
        fleet.wipe(wiped);
        fleet.start_missing();

        // then
        assert_eq!(fleet.read_within(6_000), change, "{}", fleet.describe());
        fleet.run(SYNC);
        assert_in_service(&mut fleet);
        fleet.check();
    }
}

#[test]
fn given_a_change_that_one_voter_has_not_heard_when_all_lose_power_and_another_its_disk_then_it_is_not_lost()
{
    for seed in 1..=30 {
        // given
        let mut fleet = ready(seed);
        let leader = fleet.await_leader();
        let (late, wiped) = (others(&fleet, leader)[0], others(&fleet, leader)[1]);
        fleet.world.network.set_special((leader, late), Conditions { delay: 80..=90, loss: 0.0 });
        let change = fleet.replace_within(1_000);

        // when
        fleet.lose_all(true);
        fleet.wipe(wiped);
        fleet.world.network.clear_special();
        fleet.run(500);
        fleet.start_missing();

        // then
        assert_eq!(fleet.read_within(6_000), change, "{}", fleet.describe());
        assert_in_service(&mut fleet);
        fleet.check();
    }
}

#[test]
fn given_a_coordinator_removed_for_good_when_another_replaces_it_then_one_more_may_be_lost() {
    for seed in SEEDS {
        // given
        let mut fleet = ready(seed);
        let leader = fleet.await_leader();
        let removed = if seed % 2 == 0 { leader } else { others(&fleet, leader)[0] };
        let change = fleet.replace_within(1_000);
        fleet.remove_coordinator(removed);
        fleet.run(1_000);

        // when
        let newcomer = site::coordinator(10);
        fleet.join_coordinator(newcomer);
        fleet.run(SYNC);

        // then
        assert_eq!(fleet.read_within(ACKNOWLEDGED_WITHIN), change);
        let lost = others(&fleet, newcomer)[0];
        fleet.lose_power(lost);
        assert_in_service(&mut fleet);
        fleet.check();
    }
}

#[test]
fn given_a_planned_replacement_when_the_new_one_joins_before_the_old_one_goes_then_one_more_may_be_lost() {
    for seed in SEEDS {
        // given
        let mut fleet = ready(seed);
        let leader = fleet.await_leader();
        let newcomer = site::coordinator(10);
        fleet.join_coordinator(newcomer);
        fleet.run(2_000);

        // when
        fleet.remove_coordinator(leader);
        fleet.run(SYNC);

        // then
        let lost = others(&fleet, newcomer)[0];
        fleet.lose_power(lost);
        assert_in_service(&mut fleet);
        fleet.check();
    }
}

#[test]
fn given_replacements_one_after_the_other_when_all_first_coordinators_are_gone_then_the_system_goes_on() {
    for seed in SEEDS {
        // given
        let mut fleet = ready(seed);
        let first = fleet.coordinators();

        // when
        for (number, old) in first.iter().enumerate() {
            fleet.remove_coordinator(*old);
            fleet.run(500);
            fleet.join_coordinator(site::coordinator(10 + number as u8));
            fleet.run(SYNC);
            assert_in_service(&mut fleet);
        }

        // then: edges that start anew find them by seeds that were exchanged
        let seeds = fleet.coordinators();
        for edge in fleet.edges() {
            fleet.set_seeds(edge, seeds.clone());
            fleet.restart(edge);
        }
        assert_in_service(&mut fleet);
        fleet.check();
    }
}

#[test]
fn given_edges_whose_seeds_are_all_gone_when_the_seeds_are_exchanged_then_they_find_the_new_ones() {
    for seed in SEEDS {
        // given
        let mut fleet = Fleet::new(FleetOptions { seed, ..FleetOptions::default() });
        let nowhere = vec![site::coordinator(100), site::coordinator(101)];
        for edge in fleet.edges() {
            fleet.set_seeds(edge, nowhere.clone());
        }
        fleet.start_all();
        fleet.replace_within(ACKNOWLEDGED_WITHIN);
        fleet.run(2_000);

        // when
        let seeds = fleet.coordinators();
        for edge in fleet.edges() {
            fleet.set_seeds(edge, seeds.clone());
        }

        // then
        fleet.run(2_000);
        assert_in_service(&mut fleet);
        fleet.check();
    }
}

#[test]
fn given_a_leader_that_is_told_to_end_when_changes_come_then_they_are_acknowledged_without_an_election_s_delay(
) {
    for seed in SEEDS {
        // given
        let mut fleet = ready(seed);
        for _ in 0..3 {
            let leader = fleet.await_leader();

            // when
            fleet.terminate(leader);
            let change = fleet.replace_within(800);

            // then
            assert_ne!(fleet.leader(), Some(leader), "{}", fleet.describe());
            fleet.run(1_000);
            fleet.start(leader);
            assert_eq!(fleet.read_within(ACKNOWLEDGED_WITHIN), change);
            fleet.run(SYNC);
        }
        fleet.check();
    }
}
