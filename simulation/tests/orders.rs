//! Loads of models and adapters on request, by orders of one lease holder at a time.

mod common;

use std::collections::BTreeSet;

use common::{order_lease_holder, ready, time_to_execution};
use shaletrail_simulation::fixtures::{self, Models, IDEMPOTENT_PATH, NON_IDEMPOTENT_PATH};
use shaletrail_simulation::{Fleet, FleetOptions};

const SEEDS: std::ops::RangeInclusive<u64> = 1..=8;
/// `loadTimeS` of the default models, in milliseconds.
const LOAD_TIME: u64 = 600;
/// Number of concurrent loads from the weight store at which each load takes much longer.
const OVERLOADED_STORE_LOADS: u32 = 120;

/// A fleet whose lease holder has led long enough to know its load budget.
fn ready_with_budget(seed: u64) -> Fleet {
    let mut fleet = ready(seed);
    fleet.run(10_000);
    fleet
}

#[test]
fn missing_model_is_loaded_on_request() {
    for seed in SEEDS {
        // given
        let mut fleet = ready_with_budget(seed);

        // when
        let request = fleet.request_model(fleet.edges()[(seed % 2) as usize], NON_IDEMPOTENT_PATH, 4, None);
        fleet.run(4_000);

        // then
        let waited = time_to_execution(&fleet, request);
        assert!(waited.is_some_and(|waited| waited <= LOAD_TIME + 1_000), "{waited:?}\n{}", fleet.describe());
        assert_eq!(fleet.status(request), Some(200));
        fleet.check();
    }
}

#[test]
fn missing_adapter_is_loaded_within_300_ms() {
    for seed in SEEDS {
        // given
        let mut fleet = ready_with_budget(seed);

        // when
        let request =
            fleet.request_model(fleet.edges()[(seed % 2) as usize], NON_IDEMPOTENT_PATH, 1, Some("a3"));
        fleet.run(2_000);

        // then
        let waited = time_to_execution(&fleet, request);
        assert!(waited.is_some_and(|waited| waited <= 300), "{waited:?}\n{}", fleet.describe());
        assert_eq!(fleet.status(request), Some(200));
        fleet.check();
    }
}

#[test]
fn excess_models_respect_rate_and_capacity() {
    for seed in SEEDS {
        // given
        let mut fleet = ready_with_budget(seed);
        let edges = fleet.edges();

        // when
        let mut requests = Vec::new();
        for round in 0..200 {
            let model = (round * 7 + round / 13) % 6;
            let adapter = (round % 3 == 0).then(|| format!("a{}", 1 + round % 9));
            requests.push(fleet.request_model(edges[round % 2], IDEMPOTENT_PATH, model, adapter.as_deref()));
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
fn loads_continue_after_lease_holder_loss() {
    for seed in SEEDS {
        // given: a single server for models, which gets all orders
        let options = FleetOptions { initial_models: vec![vec![0, 1]], seed, ..FleetOptions::default() };
        let mut fleet = Fleet::ready(options);
        fleet.run(10_000);
        let edge = fleet.edges()[0];
        fleet.request_model(edge, NON_IDEMPOTENT_PATH, 4, None);
        fleet.run(1_000);
        let first = order_lease_holder(&fleet);

        // when
        match seed % 3 {
            0 => fleet.lose_power(first),
            1 => fleet.freeze(first),
            _ => fleet.kill(first),
        }
        let mut requests = Vec::new();
        for _ in 0..40 {
            requests.push(fleet.request_model(edge, IDEMPOTENT_PATH, 5, None));
            fleet.run(250);
        }
        fleet.thaw(first);
        fleet.run(3_000);

        // then
        let holders: BTreeSet<&str> =
            fleet.world.observer.orders.iter().map(|order| order.lease_holder.as_str()).collect();
        assert!(holders.len() >= 2, "{holders:?}\n{}", fleet.describe());
        let last = *requests.last().expect("at least one request was sent");
        assert_eq!(fleet.status(last), Some(200), "{}", fleet.describe());
        fleet.check();
    }
}

#[test]
fn restarted_server_reloads_from_disk() {
    for seed in SEEDS {
        // given
        let mut fleet = ready_with_budget(seed);
        let node = fixtures::server(0);
        let loads = fleet.world.observer.store_loads.len();
        fleet.crash_server(node);
        fleet.run(500);

        // when
        fleet.start_server(node, fixtures::LLM_SERVICE, Vec::new());
        for _ in 0..80 {
            for edge in fleet.edges() {
                fleet.request_model(edge, IDEMPOTENT_PATH, 1, None);
            }
            fleet.run(100);
        }

        // then
        let is_loaded = fleet
            .servers()
            .iter()
            .filter_map(|node| fleet.server(*node))
            .any(|server| server.loaded().contains_key("m1"));
        assert!(is_loaded, "{}", fleet.describe());
        let from_store = fleet.world.observer.store_loads.len() - loads;
        assert!(from_store <= 2, "{from_store} loads from the weight store instead of at most 2");
        fleet.check();
    }
}

#[test]
fn load_rate_holds_across_lease_holders() {
    for seed in SEEDS {
        // given
        let models = Models { count: 16, load_per_s: 0.6, ..Models::default() };
        let initial_models = vec![vec![0, 1], vec![2, 3], vec![4], vec![5]];
        let mut fleet =
            Fleet::ready(FleetOptions { models, initial_models, seed, ..FleetOptions::default() });
        let edges = fleet.edges();

        // when
        for round in 0..400 {
            fleet.request_model(edges[round % 2], IDEMPOTENT_PATH, round * 5 % 16, None);
            fleet.run(60);
            if round == 200 {
                let first = order_lease_holder(&fleet);
                fleet.lose_power(first);
            }
        }

        // then
        assert!(
            fleet.world.observer.store_loads.len() >= 8,
            "{:?}\n{}",
            fleet.world.observer.store_loads,
            fleet.describe()
        );
        fleet.check();
    }
}

#[test]
fn load_outlasting_lease_holder_keeps_capacity() {
    for seed in SEEDS {
        // given: a server with memory for one more model loads it from an overloaded store, and the lease holder fails during
        // the load
        let mut fleet =
            Fleet::ready(FleetOptions { initial_models: vec![vec![0, 1]], seed, ..FleetOptions::default() });
        fleet.run(10_000);
        fleet.world.loading = OVERLOADED_STORE_LOADS;
        let edge = fleet.edges()[0];
        fleet.request_model(edge, NON_IDEMPOTENT_PATH, 4, None);
        let begun = fleet.run_until(2_000, |fleet| !fleet.world.observer.store_loads.is_empty());
        assert!(begun, "{}", fleet.describe());
        let first = order_lease_holder(&fleet);
        fleet.lose_power(first);

        // when: another model is requested before a heartbeat reports the end of the load
        let server = fixtures::server(0);
        let ends =
            |fleet: &Fleet| fleet.server(server).is_some_and(|server| server.loaded().contains_key("m4"));
        assert!(fleet.run_until(120_000, ends), "{}", fleet.describe());
        fleet.world.loading = 0;
        let mut requests = Vec::new();
        for _ in 0..40 {
            requests.push(fleet.request_model(edge, IDEMPOTENT_PATH, 5, None));
            fleet.run(200);
        }
        fleet.run(2_000);

        // then
        fleet.check();
        let last = *requests.last().expect("at least one request was sent");
        assert_eq!(fleet.status(last), Some(200), "{}", fleet.describe());
    }
}
