//! How a system comes up for the first time.

mod common;

use common::assert_in_service;
use shaletrail_simulation::{Fleet, FleetOptions};

#[test]
fn given_three_seeds_when_they_start_in_any_order_then_one_group_takes_the_configuration_to_all_edges() {
    for seed in 1..=12 {
        // given, when
        let mut fleet = common::ready(seed);

        // then
        assert_in_service(&mut fleet);
        fleet.check();
    }
}

#[test]
fn given_five_coordinators_and_three_seeds_when_they_start_in_any_order_then_all_vote_in_one_group() {
    for seed in 1..=8 {
        // given
        let options = FleetOptions { coordinators: 5, hosts_lost: 2, seed, ..FleetOptions::default() };

        // when
        let mut fleet = Fleet::ready(options);

        // then: any two may be lost
        assert_in_service(&mut fleet);
        fleet.run(4_000);
        let leader = fleet.await_leader();
        let another = common::others(&fleet, leader)[0];
        fleet.lose_power(leader);
        fleet.lose_power(another);
        assert_in_service(&mut fleet);
        fleet.check();
    }
}

#[test]
fn given_one_seed_that_starts_late_when_the_others_are_up_then_they_serve_and_it_joins_them() {
    for seed in 1..=6 {
        // given
        let mut fleet = Fleet::new(FleetOptions { seed, ..FleetOptions::default() });
        let late = fleet.coordinators()[(seed % 3) as usize];
        let nodes: Vec<_> = fleet.coordinators().into_iter().chain(fleet.edges()).collect();
        nodes.iter().filter(|node| **node != late).for_each(|node| fleet.start(*node));
        fleet.start_servers();
        assert_in_service(&mut fleet);

        // when
        fleet.start(late);
        fleet.run(4_000);

        // then: it stands in for another
        let lost = common::others(&fleet, late)[0];
        fleet.lose_power(lost);
        assert_in_service(&mut fleet);
        fleet.check();
    }
}

#[test]
fn given_one_seed_of_luck_when_a_history_is_played_twice_then_both_are_the_same() {
    let play = || {
        let mut fleet = common::ready(7);
        common::ask_for(&mut fleet, 2_000);
        let leader = fleet.await_leader();
        fleet.lose_power(leader);
        assert_in_service(&mut fleet);
        fleet.describe()
    };
    assert_eq!(play(), play());
}
