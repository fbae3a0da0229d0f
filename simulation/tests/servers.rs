//! Model servers that start, drain, crash, restart, or are replaced by a server at the same address.

mod common;

use common::{ready, send_requests_for, sent_after, DRAIN};
use shaletrail_simulation::fixtures::{IDEMPOTENT_PATH, NON_IDEMPOTENT_PATH};
use shaletrail_simulation::{fixtures, Fleet};

/// Time after which the first `retryWindowS` of an edge is over and it has its share of the retry budget, in milliseconds.
const FIRST_RETRY_WINDOW: u64 = 10_500;
const SEEDS: std::ops::RangeInclusive<u64> = 1..=8;

fn assert_all_served(fleet: &Fleet, requests: &[u64]) {
    for request in requests {
        let seen = fleet.world.observer.requests.get(request);
        assert_eq!(fleet.status(*request), Some(200), "{seen:?}\n{}", fleet.describe());
    }
}

#[test]
fn servers_survive_restart_of_all_coordinators() {
    for seed in SEEDS {
        // given
        let mut fleet = ready(seed);

        // when
        for node in fleet.coordinators() {
            fleet.restart(node);
        }
        let requests = send_requests_for(&mut fleet, 6_000);
        fleet.run(1_000);

        // then
        assert_all_served(&fleet, &requests);
        let rejections =
            fleet.world.observer.requests.values().filter(|request| !request.rejections.is_empty());
        assert_eq!(rejections.count(), 0);
        fleet.check();
    }
}

#[test]
fn servers_survive_restart_of_polled_coordinator() {
    for seed in SEEDS {
        // given
        let mut fleet = ready(seed);
        let edge = fleet.edges()[0];
        let polled = fleet
            .edge(edge)
            .and_then(|edge| edge.polled_coordinator())
            .expect("the edge polls a coordinator");

        // when
        fleet.restart(polled);
        let requests = send_requests_for(&mut fleet, 5_000);
        fleet.run(1_000);

        // then
        assert_all_served(&fleet, &requests);
        fleet.check();
    }
}

#[test]
fn drained_server_gets_no_requests() {
    for seed in SEEDS {
        // given
        let mut fleet = ready(seed);
        let node = fixtures::server(2);
        let server = fleet.server(node).expect("the server runs").id().clone();

        // when
        fleet.drain_server(node, None);
        let requests = send_requests_for(&mut fleet, 8_000);
        fleet.run(1_000);

        // then
        let acknowledged = fleet.world.observer.acknowledged_drains[0].at;
        assert_eq!(sent_after(&fleet, &server, acknowledged + DRAIN), 0);
        assert!(fleet.server(node).is_none(), "the server has exited");
        assert_all_served(&fleet, &requests);
        fleet.check();
    }
}

#[test]
fn acknowledged_drain_survives_power_loss() {
    for seed in SEEDS {
        // given
        let mut fleet = ready(seed);
        let node = fixtures::server(2);
        let server = fleet.server(node).expect("the server runs").id().clone();
        fleet.drain_server(node, None);
        let acknowledged =
            fleet.run_until(3_000, |fleet| !fleet.world.observer.acknowledged_drains.is_empty());
        assert!(acknowledged, "{}", fleet.describe());

        // when
        let drained = fleet.world.observer.acknowledged_drains[0].clone();
        fleet.lose_power(drained.by);
        let requests = send_requests_for(&mut fleet, 6_000);
        fleet.run(1_000);

        // then
        assert_eq!(sent_after(&fleet, &server, drained.at + DRAIN), 0, "{}", fleet.describe());
        assert_all_served(&fleet, &requests);
        fleet.check();
    }
}

#[test]
fn short_notice_drain_diverts_requests() {
    for seed in SEEDS {
        // given
        let mut fleet = ready(seed);
        let node = fixtures::server(2);
        let server = fleet.server(node).expect("the server runs").id().clone();

        // when
        fleet.drain_server(node, Some(2_500));
        let requests = send_requests_for(&mut fleet, 4_000);
        fleet.run(1_000);

        // then
        assert!(fleet.server(node).is_none(), "the server has exited");
        let acknowledged = fleet.world.observer.acknowledged_drains[0].at;
        assert_eq!(sent_after(&fleet, &server, acknowledged + DRAIN), 0);
        assert_all_served(&fleet, &requests);
        fleet.check();
    }
}

#[test]
fn reused_address_executes_no_old_request() {
    for seed in SEEDS {
        // given: edges with a filled retry budget
        let mut fleet = ready(seed);
        send_requests_for(&mut fleet, FIRST_RETRY_WINDOW);
        let node = fixtures::server(2);
        fleet.crash_server(node);
        fleet.run(2_000);

        // when
        let new_server = fleet.start_server(node, fixtures::LLM_SERVICE, vec![3]);
        let requests = send_requests_for(&mut fleet, 6_000);
        fleet.run(1_000);

        // then
        let seen = requests.iter().filter_map(|request| fleet.world.observer.requests.get(request));
        let ran_there =
            seen.filter(|request| request.executions.iter().any(|(_, server)| *server == new_server));
        assert_eq!(ran_there.count(), 0);
        assert_all_served(&fleet, &requests);
        fleet.check();
    }
}

#[test]
fn restarted_server_gets_requests_again() {
    for seed in SEEDS {
        // given
        let mut fleet = ready(seed);
        let node = fixtures::server(2);
        fleet.crash_server(node);

        // when
        let requests = send_requests_for(&mut fleet, 8_000);
        let server = fleet.start_server(node, fixtures::WEB_SERVICE, Vec::new());
        let more = send_requests_for(&mut fleet, 4_000);
        fleet.run(1_000);

        // then
        assert_all_served(&fleet, &requests);
        assert_all_served(&fleet, &more);
        assert!(sent_after(&fleet, &server, 0) > 0, "the restarted server gets no requests");
        fleet.check();
    }
}

#[test]
fn server_crash_retries_only_idempotent_requests() {
    for seed in SEEDS {
        // given: edges with a filled retry budget
        let mut fleet = ready(seed);
        send_requests_for(&mut fleet, FIRST_RETRY_WINDOW);
        let edge = fleet.edges()[0];
        let requests: Vec<(bool, u64)> = (0..6)
            .map(|number| {
                (number % 2 == 0, if number % 2 == 0 { IDEMPOTENT_PATH } else { NON_IDEMPOTENT_PATH })
            })
            .map(|(idempotent, path)| (idempotent, fleet.request_model(edge, path, 0, None)))
            .collect();
        fleet.run(10);

        // when
        let seen = |fleet: &Fleet, request: u64| fleet.world.observer.requests[&request].clone();
        let crashed = seen(&fleet, requests[0].1).attempts[0].1.clone();
        let node = fleet
            .servers()
            .into_iter()
            .find(|node| fleet.server(*node).map(|server| server.id()) == Some(&crashed));
        fleet.crash_server(node.expect("the server runs"));
        fleet.run(7_000);

        // then
        for (idempotent, request) in requests {
            let seen = seen(&fleet, request);
            let on_crashed = seen.attempts[0].1 == crashed;
            let status = fleet.status(request);
            match (idempotent, on_crashed) {
                (false, true) => {
                    assert!(!matches!(status, Some(200..=299 | 408 | 421 | 429 | 503)), "{seen:?}")
                }
                _ => assert_eq!(status, Some(200), "{seen:?}"),
            }
            assert!(idempotent || seen.executions.len() == 1, "{seen:?}");
        }
        fleet.check();
    }
}
