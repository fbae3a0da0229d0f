//! Bootstrap of a system.

mod common;

use common::assert_in_service;
use shaletrail_simulation::{Fleet, FleetOptions};

#[test]
fn three_seeds_bootstrap_one_group() {
    for seed in 1..=12 {
        // given, when
        let mut fleet = common::ready(seed);

        // then
        assert_in_service(&mut fleet);
        fleet.check();
    }
}

#[test]
fn five_coordinators_bootstrap_one_group() {
    for seed in 1..=8 {
        // given
        let options = FleetOptions { coordinators: 5, hosts_lost: 2, seed, ..FleetOptions::default() };

        // when
        let mut fleet = Fleet::ready(options);

        // then: two failures are tolerated
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
fn late_seed_joins_running_group() {
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

        // then: it makes up for the failure of another coordinator
        let lost = common::others(&fleet, late)[0];
        fleet.lose_power(lost);
        assert_in_service(&mut fleet);
        fleet.check();
    }
}

#[test]
fn same_seed_gives_same_history() {
    let play = || {
        let mut fleet = common::ready(7);
        common::send_requests_for(&mut fleet, 2_000);
        let leader = fleet.await_leader();
        fleet.lose_power(leader);
        assert_in_service(&mut fleet);
        fleet.describe()
    };
    assert_eq!(play(), play());
}
