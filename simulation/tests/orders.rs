//! Models and adapters come where they are asked for, by the orders of one holder at a time.

mod common;

use std::collections::BTreeSet;

use common::{holder, ready, sent_within};
use shaletrail_simulation::site::{self, Models, AGAIN, ONCE};
use shaletrail_simulation::{Fleet, FleetOptions};

const SEEDS: std::ops::RangeInclusive<u64> = 1..=8;
/// `loadTimeS` of the usual site, in milliseconds.
const LOAD_TIME: u64 = 600;
/// Other loads from the weight store, which slow each one.
const CROWDED: u32 = 120;

/// A fleet whose holder has been at work for long enough to know what it may load.
fn settled(seed: u64) -> Fleet {
    let mut fleet = ready(seed);
    fleet.run(10_000);
    fleet
}

#[test]
fn given_a_model_that_nobody_holds_when_it_is_asked_for_then_it_is_loaded_and_the_request_is_served() {
    for seed in SEEDS {
        // given
        let mut fleet = settled(seed);

        // when
        let request = fleet.ask_model(fleet.edges()[(seed % 2) as usize], ONCE, 4, None);
        fleet.run(4_000);

        // then
        let waited = sent_within(&fleet, request);
        assert!(waited.is_some_and(|waited| waited <= LOAD_TIME + 1_000), "{waited:?}\n{}", fleet.describe());
        assert_eq!(fleet.status(request), Some(200));
        fleet.check();
    }
}

#[test]
fn given_an_adapter_that_nobody_holds_when_it_is_asked_for_then_the_request_is_sent_within_300_ms() {
    for seed in SEEDS {
        // given
        let mut fleet = settled(seed);

        // when
        let request = fleet.ask_model(fleet.edges()[(seed % 2) as usize], ONCE, 1, Some("a3"));
        fleet.run(2_000);

        // then
        let waited = sent_within(&fleet, request);
        assert!(waited.is_some_and(|waited| waited <= 300), "{waited:?}\n{}", fleet.describe());
        assert_eq!(fleet.status(request), Some(200));
        fleet.check();
    }
}

#[test]
fn given_more_models_than_there_is_room_for_when_all_are_asked_for_then_rates_and_room_are_kept() {
    for seed in SEEDS {
        // given
        let mut fleet = settled(seed);
        let edges = fleet.edges();

        // when
        let mut requests = Vec::new();
        for round in 0..200 {
            let model = (round * 7 + round / 13) % 6;
            let adapter = (round % 3 == 0).then(|| format!("a{}", 1 + round % 9));
            requests.push(fleet.ask_model(edges[round % 2], AGAIN, model, adapter.as_deref()));
            fleet.run(100);
        }
        fleet.run(7_000);

        // then
        let served = requests.iter().filter(|request| fleet.status(**request) == Some(200)).count();
        assert!(
            served * 10 >= requests.len() * 7,
            "{served} of {} served\n{}",
            requests.len(),
            fleet.describe()
        );
        fleet.check();
    }
}

#[test]
fn given_a_holder_that_is_lost_when_another_takes_over_then_the_lease_lies_between_and_loads_go_on() {
    for seed in SEEDS {
        // given: all orders go to one server
        let options = FleetOptions { holds: vec![vec![0, 1]], seed, ..FleetOptions::default() };
        let mut fleet = Fleet::ready(options);
        fleet.run(10_000);
        let edge = fleet.edges()[0];
        fleet.ask_model(edge, ONCE, 4, None);
        fleet.run(1_000);
        let first = holder(&fleet);

        // when
        match seed % 3 {
            0 => fleet.lose_power(first),
            1 => fleet.freeze(first),
            _ => fleet.kill(first),
        }
        let mut requests = Vec::new();
        for _ in 0..40 {
            requests.push(fleet.ask_model(edge, AGAIN, 5, None));
            fleet.run(250);
        }
        fleet.thaw(first);
        fleet.run(3_000);

        // then
        let holders: BTreeSet<&str> =
            fleet.world.witness.orders.iter().map(|order| order.holder.as_str()).collect();
        assert!(holders.len() >= 2, "{holders:?}\n{}", fleet.describe());
        let last = *requests.last().expect("requests were made");
        assert_eq!(fleet.status(last), Some(200), "{}", fleet.describe());
        fleet.check();
    }
}

#[test]
fn given_a_server_that_restarts_when_it_is_back_with_its_disk_then_it_holds_models_again_without_the_store() {
    for seed in SEEDS {
        // given
        let mut fleet = settled(seed);
        let node = site::server(0);
        let loads = fleet.world.witness.loads.len();
        fleet.crash_server(node);
        fleet.run(500);

        // when
        fleet.start_server(node, site::LLM, Vec::new());
        for _ in 0..80 {
            for edge in fleet.edges() {
                fleet.ask_model(edge, AGAIN, 1, None);
            }
            fleet.run(100);
        }

        // then
        let holds = fleet
            .servers()
            .iter()
            .filter_map(|node| fleet.server(*node))
            .any(|server| server.held().contains_key("m1"));
        assert!(holds, "{}", fleet.describe());
        let from_store = fleet.world.witness.loads.len() - loads;
        assert!(from_store <= 2, "{from_store} loads from the store");
        fleet.check();
    }
}

#[test]
fn given_many_models_and_a_slow_store_when_all_are_asked_for_then_its_rate_is_kept_over_a_change_of_holder_too(
) {
    for seed in SEEDS {
        // given
        let models = Models { count: 16, load_per_s: 0.6, ..Models::default() };
        let holds = vec![vec![0, 1], vec![2, 3], vec![4], vec![5]];
        let mut fleet = Fleet::ready(FleetOptions { models, holds, seed, ..FleetOptions::default() });
        let edges = fleet.edges();

        // when
        for round in 0..400 {
            fleet.ask_model(edges[round % 2], AGAIN, round * 5 % 16, None);
            fleet.run(60);
            if round == 200 {
                let first = holder(&fleet);
                fleet.lose_power(first);
            }
        }

        // then
        assert!(
            fleet.world.witness.loads.len() >= 8,
            "{:?}\n{}",
            fleet.world.witness.loads,
            fleet.describe()
        );
        fleet.check();
    }
}

#[test]
fn given_a_load_that_outlasts_a_change_of_holder_when_it_has_just_ended_then_its_room_is_not_given_away() {
    for seed in SEEDS {
        // given: a server with room for one more model loads it while the store is crowded, and the holder is lost
        let mut fleet =
            Fleet::ready(FleetOptions { holds: vec![vec![0, 1]], seed, ..FleetOptions::default() });
        fleet.run(10_000);
        fleet.world.loading = CROWDED;
        let edge = fleet.edges()[0];
        fleet.ask_model(edge, ONCE, 4, None);
        let begun = fleet.run_until(2_000, |fleet| !fleet.world.witness.loads.is_empty());
        assert!(begun, "{}", fleet.describe());
        let first = holder(&fleet);
        fleet.lose_power(first);

        // when: another model is asked for before a heartbeat tells of the load's end
        let server = site::server(0);
        let ends =
            |fleet: &Fleet| fleet.server(server).is_some_and(|server| server.held().contains_key("m4"));
        assert!(fleet.run_until(120_000, ends), "{}", fleet.describe());
        fleet.world.loading = 0;
        let mut requests = Vec::new();
        for _ in 0..40 {
            requests.push(fleet.ask_model(edge, AGAIN, 5, None));
            fleet.run(200);
        }
        fleet.run(2_000);

        // then
        fleet.check();
        let last = *requests.last().expect("requests were made");
        assert_eq!(fleet.status(last), Some(200), "{}", fleet.describe());
    }
}
