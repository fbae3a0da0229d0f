//! A hollow fleet does what a real one does, as far as its figures rest on that.

mod common;

use common::small;
use shaletrail_capacity_emulator::ledger::Kind;
use shaletrail_capacity_emulator::site::{first_contents, Popularity, MODELS_A_SERVER};
use shaletrail_capacity_emulator::{measure, Fleet, Options};

#[test]
fn given_a_first_start_when_seconds_have_passed_then_edges_serve_and_coordinators_know_all_servers() {
    // Given
    let mut fleet = Fleet::new(small(6, 30));
    // When
    assert!(fleet.run_until(6_000, None));
    // Then
    assert!(fleet.is_complete());
    assert!((0..3).all(|shard| fleet.leader_of(shard).is_some()), "each shard has a leader");
    let (asked, served) = fleet
        .edges
        .iter()
        .map(|edge| &edge.requests)
        .fold((0, 0), |(asked, served), edge| (asked + edge.asked, served + edge.served));
    assert!(asked > 200, "{asked} requests");
    assert!(served * 10 >= asked * 9, "{served} of {asked} requests are served");
}

#[test]
fn given_one_seed_when_a_fleet_runs_twice_then_all_counts_are_equal() {
    // Given
    let counts = || {
        let mut fleet = Fleet::new(small(6, 30));
        // When
        assert!(fleet.run_until(5_000, None));
        let cores = fleet.cores.iter().map(|core| (core.ledger.sent.clone(), core.ledger.received.clone()));
        let edges = fleet.edges.iter().map(|edge| (edge.ledger.sent.clone(), edge.ledger.received.clone()));
        cores.chain(edges).collect::<Vec<_>>()
    };
    // Then
    assert_eq!(counts(), counts());
}

#[test]
fn given_links_that_lose_nothing_when_all_has_arrived_then_as_much_came_as_was_sent() {
    // Given
    let mut fleet = Fleet::new(small(6, 30));
    assert!(fleet.run_until(4_000, None));
    // When
    fleet.clear_ledgers();
    assert!(fleet.run_until(8_000, None));
    // Then
    let mut sent = 0;
    let mut received = 0;
    for core in &fleet.cores {
        sent += core.ledger.sent.get(&Kind::Demand).map_or(0, |tally| tally.messages);
        received += core.ledger.received.get(&Kind::Demand).map_or(0, |tally| tally.messages);
    }
    // Both windows cut off what is on its way: one message a pair of coordinators.
    let pairs = 5 * 4;
    assert!(sent > 0 && sent.abs_diff(received) <= pairs, "{sent} sent, {received} received");
}

#[test]
fn given_changes_by_the_operator_when_time_passes_then_they_are_in_force_at_all_edges() {
    // Given
    let mut fleet = Fleet::new(Options { change_rate: 5.0, ..small(6, 30) });
    // When
    assert!(fleet.run_until(8_000, None));
    // Then
    let acknowledged = fleet.world.operator_version();
    assert!(acknowledged > 10, "{acknowledged} changes");
    let behind = fleet.edges.iter().filter(|edge| edge.version() + 1 < acknowledged).count();
    assert_eq!(behind, 0);
}

#[test]
fn given_requests_for_what_is_idle_when_time_passes_then_servers_are_ordered_to_load_it() {
    // Given
    let mut fleet = Fleet::new(Options { cold_rate: 2.0, ..small(6, 30) });
    assert!(fleet.run_until(6_000, None));
    let before = fleet.world.loads;
    // When
    assert!(fleet.run_until(14_000, None));
    // Then
    let loads = fleet.world.loads - before;
    assert!((2..=64).contains(&loads), "{loads} loads for about 16 cold requests");
}

#[test]
fn given_a_steady_fleet_when_a_zone_of_edges_and_a_leader_start_anew_then_all_is_back() {
    // Given a run through all phases
    let measurement = measure::run(small(24, 48), None);
    // Then
    assert!(!measurement.given_up);
    assert_eq!(measurement.phases.len(), 3);
    let recovery = measurement.recovery;
    assert!(recovery.first_start.is_some(), "{recovery:?}");
    assert!(recovery.herd.is_some(), "{recovery:?}");
    assert!(recovery.edges_moved.is_some(), "{recovery:?}");
    assert!(recovery.configuration.is_some(), "{recovery:?}");
    assert!(recovery.directory.is_some(), "{recovery:?}");
    // And the herd was told everything anew.
    let herd = measurement.phases[1].all_cores();
    assert!(herd.sent.get(&Kind::ReplyWhole).is_some_and(|tally| tally.messages >= 2));
}

#[test]
fn given_edges_without_routers_when_they_poll_then_coordinators_see_the_demand_of_one_that_has_one() {
    // Given
    let polls = |full_edges| {
        let mut fleet = Fleet::new(Options { full_edges, cold_rate: 0.0, ..small(12, 30) });
        assert!(fleet.run_until(4_000, None));
        fleet.clear_ledgers();
        // When
        assert!(fleet.run_until(8_000, None));
        let received = fleet.cores.iter().filter_map(|core| core.ledger.received.get(&Kind::Poll));
        received.map(|tally| tally.bytes).sum::<u64>() as f64
    };
    // Then
    let (all, few) = (polls(12), polls(4));
    assert!((0.8..1.25).contains(&(few / all)), "{few} bytes of polls instead of {all}");
}

#[test]
fn given_more_places_than_models_when_contents_are_drawn_then_each_model_is_somewhere_and_none_twice() {
    // Given
    let options = small(1, 60);
    // When
    let contents = first_contents(&options);
    // Then
    assert!(contents.iter().all(|held| held.len() <= MODELS_A_SERVER));
    let mut named = std::collections::BTreeSet::new();
    for held in &contents {
        let names: std::collections::BTreeSet<&String> = held.iter().map(|model| &model.name).collect();
        assert_eq!(names.len(), held.len());
        named.extend(names);
    }
    assert_eq!(named.len(), options.models);
}

#[test]
fn given_a_popularity_when_parts_are_picked_then_the_first_is_picked_most_and_the_last_can_be() {
    // Given
    let popularity = Popularity::of(10);
    // When
    let picked: Vec<usize> = (0..1_000).map(|part| popularity.pick(f64::from(part) / 1_000.0)).collect();
    // Then
    let count = |rank: usize| picked.iter().filter(|picked| **picked == rank).count();
    assert!((0..9).all(|rank| count(rank) >= count(rank + 1)));
    assert!(count(9) > 0);
    assert_eq!(popularity.share(10), 0.0);
    let shares: f64 = (0..10).map(|rank| popularity.share(rank)).sum();
    assert!((shares - 1.0).abs() < 1e-9);
}
