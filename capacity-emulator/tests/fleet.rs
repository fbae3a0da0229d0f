//! Tests that the emulated fleet behaves like a real one in the respects on which its measurements depend.

mod common;

use common::small_fleet_options;
use shaletrail_capacity_emulator::activity::Activity;
use shaletrail_capacity_emulator::initial_models::{initial_models, MODELS_PER_SERVER};
use shaletrail_capacity_emulator::popularity::Popularity;
use shaletrail_capacity_emulator::{measurement, Fleet, Options};

#[test]
fn a_started_fleet_serves_requests_and_knows_all_servers() {
    // given
    let mut fleet = Fleet::new(small_fleet_options(6, 30));
    // when
    assert!(fleet.run_until(6_000, None));
    // then
    assert!(fleet.is_ready());
    assert!((0..3).all(|shard| fleet.leader_of(shard).is_some()), "each shard has a leader");
    let (received, served) = fleet
        .edges
        .iter()
        .map(|edge| &edge.requests)
        .fold((0, 0), |(received, served), edge| (received + edge.received, served + edge.served));
    assert!(received > 200, "{received} requests");
    assert!(served * 10 >= received * 9, "{served} of {received} requests are served");
}

#[test]
fn equal_seeds_give_equal_counts() {
    // given
    let counts = || {
        let mut fleet = Fleet::new(small_fleet_options(6, 30));
        // when
        assert!(fleet.run_until(5_000, None));
        let coordinators = fleet
            .coordinators
            .iter()
            .map(|coordinator| (coordinator.usage.sent.clone(), coordinator.usage.received.clone()));
        let edges = fleet.edges.iter().map(|edge| (edge.usage.sent.clone(), edge.usage.received.clone()));
        coordinators.chain(edges).collect::<Vec<_>>()
    };
    // then
    assert_eq!(counts(), counts());
}

#[test]
fn every_sent_message_is_received() {
    // given
    let mut fleet = Fleet::new(small_fleet_options(6, 30));
    assert!(fleet.run_until(4_000, None));
    // when
    fleet.reset_usage();
    assert!(fleet.run_until(8_000, None));
    // then
    let mut sent = 0;
    let mut received = 0;
    for coordinator in &fleet.coordinators {
        sent += coordinator.usage.sent.get(&Activity::Demand).map_or(0, |traffic| traffic.messages);
        received += coordinator.usage.received.get(&Activity::Demand).map_or(0, |traffic| traffic.messages);
    }
    // At either end of the interval, at most one message per ordered pair of coordinators is in flight and counted
    // once.
    let pairs = 5 * 4;
    assert!(sent > 0 && sent.abs_diff(received) <= pairs, "{sent} sent, {received} received");
}

#[test]
fn operator_changes_reach_all_edges() {
    // given
    let mut fleet = Fleet::new(Options { change_rate: 5.0, ..small_fleet_options(6, 30) });
    // when
    assert!(fleet.run_until(8_000, None));
    // then
    let acknowledged = fleet.environment.acknowledged_version();
    assert!(acknowledged > 10, "{acknowledged} changes");
    let behind = fleet.edges.iter().filter(|edge| edge.version() + 1 < acknowledged).count();
    assert_eq!(behind, 0);
}

#[test]
fn requests_for_idle_models_lead_to_loads() {
    // given
    let mut fleet = Fleet::new(Options { idle_model_rate: 2.0, ..small_fleet_options(6, 30) });
    assert!(fleet.run_until(6_000, None));
    let before = fleet.environment.completed_loads;
    // when
    assert!(fleet.run_until(14_000, None));
    // then
    let loads = fleet.environment.completed_loads - before;
    assert!((2..=64).contains(&loads), "{loads} loads for about 16 requests for idle models");
}

#[test]
fn fleet_recovers_from_restarts_of_edges_and_leader() {
    // when a run goes through all phases
    let measurement = measurement::run(small_fleet_options(24, 48), None);
    // then
    assert!(!measurement.timed_out);
    assert_eq!(measurement.phases.len(), 3);
    let recovery = measurement.recovery;
    assert!(recovery.first_start.is_some(), "{recovery:?}");
    assert!(recovery.herd.is_some(), "{recovery:?}");
    assert!(recovery.edges_reconnected.is_some(), "{recovery:?}");
    assert!(recovery.configuration.is_some(), "{recovery:?}");
    assert!(recovery.directory.is_some(), "{recovery:?}");
    // and the herd got complete responses
    let herd = measurement.phases[1].all_coordinators();
    assert!(herd.sent.get(&Activity::FullResponse).is_some_and(|traffic| traffic.messages >= 2));
}

#[test]
fn edges_without_routers_report_like_those_with_one() {
    // given
    let polls = |routing_edges| {
        let mut fleet =
            Fleet::new(Options { routing_edges, idle_model_rate: 0.0, ..small_fleet_options(12, 30) });
        assert!(fleet.run_until(4_000, None));
        fleet.reset_usage();
        // when
        assert!(fleet.run_until(8_000, None));
        let received = fleet
            .coordinators
            .iter()
            .filter_map(|coordinator| coordinator.usage.received.get(&Activity::Poll));
        received.map(|traffic| traffic.bytes).sum::<u64>() as f64
    };
    // then
    let (all, few) = (polls(12), polls(4));
    assert!((0.8..1.25).contains(&(few / all)), "{few} bytes of polls instead of {all}");
}

#[test]
fn initial_models_cover_all_models_without_duplicates() {
    // given
    let options = small_fleet_options(1, 60);
    // when
    let models_by_server = initial_models(&options);
    // then
    assert!(models_by_server.iter().all(|models| models.len() <= MODELS_PER_SERVER));
    let mut named = std::collections::BTreeSet::new();
    for models in &models_by_server {
        let names: std::collections::BTreeSet<&String> = models.iter().map(|model| &model.name).collect();
        assert_eq!(names.len(), models.len());
        named.extend(names);
    }
    assert_eq!(named.len(), options.models);
}

#[test]
fn popularity_falls_with_rank() {
    // given
    let popularity = Popularity::of(10);
    // when
    let picked: Vec<usize> =
        (0..1_000).map(|part| popularity.rank_at_quantile(f64::from(part) / 1_000.0)).collect();
    // then
    let count = |rank: usize| picked.iter().filter(|picked| **picked == rank).count();
    assert!((0..9).all(|rank| count(rank) >= count(rank + 1)));
    assert!(count(9) > 0);
    assert_eq!(popularity.request_fraction(10), 0.0);
    let shares: f64 = (0..10).map(|rank| popularity.request_fraction(rank)).sum();
    assert!((shares - 1.0).abs() < 1e-9);
}
