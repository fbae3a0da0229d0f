//! Holders of orders that follow one another, on the way from a plan to a server.

mod common;

use common::holder;
use shaletrail_coordinator::core::shards::shard_of;
use shaletrail_coordinator::interface::StateChange;
use shaletrail_protocol::{Millis, NodeId};
use shaletrail_simulation::network::Conditions;
use shaletrail_simulation::site::{self, AGAIN};
use shaletrail_simulation::{Fleet, FleetOptions};

const SEEDS: std::ops::RangeInclusive<u64> = 1..=8;
/// Models of the usual site.
const MODELS: usize = 6;

/// A fleet with one server of models, all of whose orders go there, and a holder that has been at work for a while.
fn settled(seed: u64) -> Fleet {
    let options = FleetOptions { holds: vec![vec![0, 1]], seed, ..FleetOptions::default() };
    let mut fleet = Fleet::ready(options);
    fleet.run(10_000);
    fleet
}

/// Asks for ever other adapters of a model that is there, so that there is something to order all the time.
fn press(fleet: &mut Fleet, duration: Millis) {
    let edge = fleet.edges()[0];
    let end = fleet.world.now + duration;
    while fleet.world.now < end {
        let turn = fleet.world.now / 50;
        let adapter = format!("a{}", 1 + turn % 9);
        fleet.ask_model(edge, AGAIN, (turn % 2) as usize, Some(&adapter));
        if turn.is_multiple_of(10) {
            fleet.ask_model(edge, AGAIN, (turn / 10) as usize % MODELS, None);
        }
        fleet.run(50);
    }
}

/// Presses until a holder has an order whose connection is coming up; whether that came about.
fn order_is_on_its_way(fleet: &mut Fleet, node: NodeId) -> bool {
    let edge = fleet.edges()[0];
    for number in 0..200 {
        let adapter = format!("a{}", 1 + number % 9);
        fleet.ask_model(edge, AGAIN, number / 9 % 2, Some(&adapter));
        let unsent = |fleet: &Fleet| fleet.coordinator(node).is_some_and(|core| core.has_unsent_orders());
        if fleet.run_until(100, unsent) {
            return true;
        }
    }
    false
}

fn orders_from(fleet: &Fleet, node: NodeId) -> usize {
    fleet.world.witness.orders.iter().filter(|order| order.from == node).count()
}

#[test]
fn given_a_holder_frozen_before_it_writes_an_order_when_it_thaws_after_its_lease_then_it_writes_nothing() {
    for seed in SEEDS {
        // given
        let mut fleet = settled(seed);
        let first = holder(&fleet);
        assert!(order_is_on_its_way(&mut fleet, first), "{}", fleet.describe());

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
fn given_a_holder_that_is_told_to_end_when_an_order_s_connection_comes_up_then_it_writes_nothing() {
    for seed in SEEDS {
        // given
        let mut fleet = settled(seed);
        let first = holder(&fleet);
        assert!(order_is_on_its_way(&mut fleet, first), "{}", fleet.describe());
        let before = orders_from(&fleet, first);

        // when
        fleet.terminate(first);
        fleet.run(400);

        // then: what it has written lately may still arrive, what was not written is not
        assert_eq!(orders_from(&fleet, first), before, "{}", fleet.describe());
        fleet.check();
    }
}

#[test]
fn given_a_slow_way_to_a_server_when_the_holder_hands_over_then_a_lease_lies_between_the_orders_that_arrive()
{
    for seed in SEEDS {
        // given
        let mut fleet = settled(seed);
        let first = holder(&fleet);
        let slow = Conditions { delay: 500..=500, loss: 0.0 };
        fleet.world.network.set_special((first, site::server(0)), slow);
        press(&mut fleet, 3_000);

        // when
        fleet.terminate(first);
        press(&mut fleet, 8_000);

        // then
        assert!(fleet.world.witness.orders.iter().any(|order| order.from != first), "{}", fleet.describe());
        fleet.check();
    }
}

#[test]
fn given_a_new_holder_that_is_killed_while_it_waits_when_it_is_elected_again_then_it_waits_for_the_first_one_too(
) {
    for seed in SEEDS {
        // given: the first holder has just ordered, and another one has begun its turn
        let mut fleet = settled(seed);
        let first = holder(&fleet);
        press(&mut fleet, 2_000);
        fleet.lose_power(first);
        let followed = |fleet: &Fleet| holds(fleet).is_some_and(|node| node != first);
        assert!(fleet.run_until(5_000, followed), "{}", fleet.describe());
        let second = holds(&fleet).expect("a holder");

        // when
        fleet.kill(second);
        fleet.start(second);
        press(&mut fleet, 9_000);

        // then
        let later = fleet.world.witness.orders.iter().filter(|order| order.from != first).count();
        assert!(later > 0, "{}", fleet.describe());
        fleet.check();
    }
}

/// The node whose turn it is by its own entry, if it leads.
fn holds(fleet: &Fleet) -> Option<NodeId> {
    let shard = shard_of(site::LLM);
    let leader = fleet.leader_of(shard)?;
    let notes = fleet.world.witness.notes.iter().rev();
    let holding = notes.into_iter().find_map(|(_, node, note)| match note {
        StateChange::OrderLeaseAcquired { shard: held, .. } if *held == shard => Some(*node),
        _ => None,
    });
    holding.filter(|node| *node == leader)
}
