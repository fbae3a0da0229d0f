//! Coordinators that lose power or their disks, are replaced, or shut down.

mod common;

use common::{assert_in_service, others, ready, ACKNOWLEDGED_WITHIN};
use shaletrail_simulation::network::Conditions;
use shaletrail_simulation::{fixtures, Fleet, FleetOptions};

/// How long a machine counts as unavailable after its restart, in milliseconds (`syncS`).
const CATCH_UP_PERIOD: u64 = 4_000;
const SEEDS: std::ops::RangeInclusive<u64> = 1..=6;

#[test]
fn acknowledged_change_survives_leader_power_loss() {
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
fn acknowledged_change_survives_leader_disk_loss() {
    for seed in SEEDS {
        // given
        let mut fleet = ready(seed);
        let leader = fleet.await_leader();
        let change = fleet.replace_within(1_000);

        // when
        fleet.lose_power(leader);
        fleet.lose_disk(leader);
        fleet.start(leader);

        // then
        assert_eq!(fleet.read_within(ACKNOWLEDGED_WITHIN), change, "{}", fleet.describe());
        fleet.run(CATCH_UP_PERIOD);
        for lost in others(&fleet, leader) {
            fleet.lose_power(lost);
            assert_in_service(&mut fleet);
            fleet.start(lost);
            fleet.run(CATCH_UP_PERIOD);
        }
        fleet.check();
    }
}

#[test]
fn acknowledged_change_survives_total_outage() {
    for seed in SEEDS {
        for power_loss in [true, false] {
            // given: disks that are slower than links
            let options = FleetOptions { disk_latency: 15..=40, seed, ..FleetOptions::default() };
            let mut fleet = Fleet::ready(options);
            let change = fleet.replace_within(1_000);

            // when
            fleet.stop_all(power_loss);
            fleet.run(700);
            fleet.start_stopped();

            // then
            assert_eq!(fleet.read_within(ACKNOWLEDGED_WITHIN), change, "{}", fleet.describe());
            let is_applied = fleet.run_until(2_000, |fleet| fleet.is_applied_everywhere(change));
            assert!(is_applied, "{}", fleet.describe());
            assert_in_service(&mut fleet);
            fleet.check();
        }
    }
}

#[test]
fn one_disk_loss_in_total_outage_loses_nothing() {
    for seed in SEEDS {
        // given
        let mut fleet = ready(seed);
        let change = fleet.replace_within(1_000);
        fleet.stop_all(true);
        fleet.run(500);

        // when
        let without_disk = fleet.coordinators()[(seed % 3) as usize];
        fleet.lose_disk(without_disk);
        fleet.start_stopped();

        // then
        assert_eq!(fleet.read_within(6_000), change, "{}", fleet.describe());
        fleet.run(CATCH_UP_PERIOD);
        assert_in_service(&mut fleet);
        fleet.check();
    }
}

#[test]
fn change_unknown_to_one_voter_survives_outage() {
    for seed in 1..=30 {
        // given
        let mut fleet = ready(seed);
        let leader = fleet.await_leader();
        let (late, without_disk) = (others(&fleet, leader)[0], others(&fleet, leader)[1]);
        fleet.world.network.set_link_conditions((leader, late), Conditions { delay: 80..=90, loss: 0.0 });
        let change = fleet.replace_within(1_000);

        // when
        fleet.stop_all(true);
        fleet.lose_disk(without_disk);
        fleet.world.network.clear_link_conditions();
        fleet.run(500);
        fleet.start_stopped();

        // then
        assert_eq!(fleet.read_within(6_000), change, "{}", fleet.describe());
        assert_in_service(&mut fleet);
        fleet.check();
    }
}

#[test]
fn replacement_restores_fault_tolerance() {
    for seed in SEEDS {
        // given
        let mut fleet = ready(seed);
        let leader = fleet.await_leader();
        let removed = if seed % 2 == 0 { leader } else { others(&fleet, leader)[0] };
        let change = fleet.replace_within(1_000);
        fleet.remove_coordinator(removed);
        fleet.run(1_000);

        // when
        let joining = fixtures::coordinator(10);
        fleet.join_coordinator(joining);
        fleet.run(CATCH_UP_PERIOD);

        // then
        assert_eq!(fleet.read_within(ACKNOWLEDGED_WITHIN), change);
        let lost = others(&fleet, joining)[0];
        fleet.lose_power(lost);
        assert_in_service(&mut fleet);
        fleet.check();
    }
}

#[test]
fn planned_replacement_keeps_fault_tolerance() {
    for seed in SEEDS {
        // given
        let mut fleet = ready(seed);
        let leader = fleet.await_leader();
        let joining = fixtures::coordinator(10);
        fleet.join_coordinator(joining);
        fleet.run(2_000);

        // when
        fleet.remove_coordinator(leader);
        fleet.run(CATCH_UP_PERIOD);

        // then
        let lost = others(&fleet, joining)[0];
        fleet.lose_power(lost);
        assert_in_service(&mut fleet);
        fleet.check();
    }
}

#[test]
fn all_coordinators_can_be_replaced() {
    for seed in SEEDS {
        // given
        let mut fleet = ready(seed);
        let first = fleet.coordinators();

        // when
        for (number, old) in first.iter().enumerate() {
            fleet.remove_coordinator(*old);
            fleet.run(500);
            fleet.join_coordinator(fixtures::coordinator(10 + number as u8));
            fleet.run(CATCH_UP_PERIOD);
            assert_in_service(&mut fleet);
        }

        // then: restarted edges reach the new coordinators by the new seeds
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
fn edges_follow_replaced_seeds() {
    for seed in SEEDS {
        // given
        let mut fleet = Fleet::new(FleetOptions { seed, ..FleetOptions::default() });
        let unreachable_seeds = vec![fixtures::coordinator(100), fixtures::coordinator(101)];
        for edge in fleet.edges() {
            fleet.set_seeds(edge, unreachable_seeds.clone());
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
fn leader_shutdown_needs_no_election_timeout() {
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
            fleet.run(CATCH_UP_PERIOD);
        }
        fleet.check();
    }
}
