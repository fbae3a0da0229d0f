//! Successive holders of an order lease: none may send an order after its lease has expired.

mod common;

use common::order_lease_holder;
use shaletrail_coordinator::core::shards::shard_of;
use shaletrail_coordinator::interface::StateChange;
use shaletrail_protocol::{Millis, NodeId};
use shaletrail_simulation::fixtures::{self, IDEMPOTENT_PATH};
use shaletrail_simulation::network::Conditions;
use shaletrail_simulation::{Fleet, FleetOptions};

const SEEDS: std::ops::RangeInclusive<u64> = 1..=8;
/// An order lease that outlasts an election, a restart, and the first heartbeats and reports after it, in milliseconds.
const LONG_LEASE: Millis = 9_000;
/// Number of models of the default fixtures.
const MODELS: usize = 6;

/// A fleet with a single server for models, which gets all orders, and a lease holder that has led long enough to know its load
/// budget.
fn ready_with_budget(seed: u64) -> Fleet {
    let options = FleetOptions { initial_models: vec![vec![0, 1]], seed, ..FleetOptions::default() };
    let mut fleet = Fleet::ready(options);
    fleet.run(10_000);
    fleet
}

/// Requests alternating adapters and models, so that orders are needed throughout.
fn request_continuously(fleet: &mut Fleet, duration: Millis) {
    let edge = fleet.edges()[0];
    let end = fleet.world.now + duration;
    while fleet.world.now < end {
        let round = fleet.world.now / 50;
        let adapter = format!("a{}", 1 + round % 9);
        fleet.request_model(edge, IDEMPOTENT_PATH, (round % 2) as usize, Some(&adapter));
        if round.is_multiple_of(10) {
            fleet.request_model(edge, IDEMPOTENT_PATH, (round / 10) as usize % MODELS, None);
        }
        fleet.run(50);
    }
}

/// Sends requests until the node connects to a server to send an order; false if it does not within 20 s.
fn await_order_connection(fleet: &mut Fleet, node: NodeId) -> bool {
    let edge = fleet.edges()[0];
    for number in 0..200 {
        let adapter = format!("a{}", 1 + number % 9);
        fleet.request_model(edge, IDEMPOTENT_PATH, number / 9 % 2, Some(&adapter));
        let unsent = |fleet: &Fleet| {
            fleet.coordinator(node).is_some_and(|coordinator| coordinator.has_unsent_orders())
        };
        if fleet.run_until(100, unsent) {
            return true;
        }
    }
    false
}

fn orders_from(fleet: &Fleet, node: NodeId) -> usize {
    fleet.world.observer.orders.iter().filter(|order| order.from == node).count()
}

#[test]
fn thawed_lease_holder_sends_no_order() {
    for seed in SEEDS {
        // given
        let mut fleet = ready_with_budget(seed);
        let first = order_lease_holder(&fleet);
        assert!(await_order_connection(&mut fleet, first), "{}", fleet.describe());

        // when
        fleet.freeze(first);
        fleet.run(12_000);
        let before = orders_from(&fleet, first);
        fleet.thaw(first);
        fleet.run(400);

        // then
        assert_eq!(orders_from(&fleet, first), before, "{}", fleet.describe());
        fleet.check();
    }
}

#[test]
fn stopping_lease_holder_sends_no_order() {
    for seed in SEEDS {
        // given
        let mut fleet = ready_with_budget(seed);
        let first = order_lease_holder(&fleet);
        assert!(await_order_connection(&mut fleet, first), "{}", fleet.describe());
        let before = orders_from(&fleet, first);

        // when
        fleet.terminate(first);
        fleet.run(400);

        // then: no order is written after the shutdown began
        assert_eq!(orders_from(&fleet, first), before, "{}", fleet.describe());
        fleet.check();
    }
}

#[test]
fn delayed_orders_keep_lease_apart() {
    for seed in SEEDS {
        // given
        let mut fleet = ready_with_budget(seed);
        let first = order_lease_holder(&fleet);
        let slow = Conditions { delay: 500..=500, loss: 0.0 };
        fleet.world.network.set_link_conditions((first, fixtures::server(0)), slow);
        request_continuously(&mut fleet, 3_000);

        // when
        fleet.terminate(first);
        request_continuously(&mut fleet, 8_000);

        // then
        assert!(fleet.world.observer.orders.iter().any(|order| order.from != first), "{}", fleet.describe());
        fleet.check();
    }
}

#[test]
fn reelected_lease_holder_waits_again() {
    for seed in SEEDS {
        // given: the first lease holder has just sent orders, and a second one has acquired the lease. The second one must wait
        // for the end of the first lease, which outlasts its restart and the first report of the server.
        let options = FleetOptions {
            initial_models: vec![vec![0, 1]],
            order_lease: LONG_LEASE,
            seed,
            ..FleetOptions::default()
        };
        let mut fleet = Fleet::ready(options);
        fleet.run(10_000);
        let first = order_lease_holder(&fleet);
        request_continuously(&mut fleet, 2_000);
        fleet.lose_power(first);
        let has_successor = |fleet: &Fleet| current_lease_holder(fleet).is_some_and(|node| node != first);
        assert!(fleet.run_until(5_000, has_successor), "{}", fleet.describe());
        let second = current_lease_holder(&fleet).expect("a lease holder");

        // when
        fleet.kill(second);
        fleet.start(second);
        request_continuously(&mut fleet, LONG_LEASE + 6_000);

        // then
        let later = fleet.world.observer.orders.iter().filter(|order| order.from != first).count();
        assert!(later > 0, "{}", fleet.describe());
        fleet.check();
    }
}

/// The node that acquired the order lease last, if it still leads.
fn current_lease_holder(fleet: &Fleet) -> Option<NodeId> {
    let shard = shard_of(fixtures::LLM_SERVICE);
    let leader = fleet.leader_of(shard)?;
    let changes = fleet.world.observer.state_changes.iter().rev();
    let holding = changes.into_iter().find_map(|(_, node, change)| match change {
        StateChange::OrderLeaseAcquired { shard: held, .. } if *held == shard => Some(*node),
        _ => None,
    });
    holding.filter(|node| *node == leader)
}
