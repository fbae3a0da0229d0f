//! Poll responses of coordinators: which poll they belong to, and which of their content is applied.

mod common;

use common::coordinator::Coordinator;
use common::{config_update, configuration, route, run, Edge, Server};
use shaletrail_protocol::internal::{DirectoryCursor, PollResponse};
use shaletrail_protocol::Incarnation;

#[test]
fn late_poll_response_is_not_taken_for_a_later_poll() {
    run(async {
        // given
        let edge = Edge::start().await;
        let coordinator = edge.coordinator.clone();
        coordinator.publish_configuration(config_update(&configuration(&[route("r", "/x/", "idempotent")])));
        coordinator.wait_until_applied().await;
        let cursor = DirectoryCursor { epoch: Incarnation(9), revision: 9 };
        coordinator.publish_delayed(PollResponse { cursor, ..PollResponse::default() });
        coordinator.wait_for_delayed_poll().await;

        // when
        let polled = coordinator.polls().len();
        coordinator.wait_for_connections(2).await;
        coordinator.release_delayed();
        coordinator.wait_for_polls(polled + 3).await;

        // then
        assert!(coordinator.polls().iter().all(|poll| poll.cursor != cursor));
    });
}

#[test]
fn older_configuration_is_ignored() {
    run(async {
        // given
        let server = Server::start("i-1").await;
        let newer =
            configuration(&[route("new", "/y/", "idempotent")]).replace(r#""version":1"#, r#""version":5"#);
        let edge = Edge::start_with(&newer, &[&server]).await;

        // when
        edge.coordinator.publish_configuration(config_update(&configuration(&[route(
            "old",
            "/x/",
            "idempotent",
        )])));
        edge.coordinator.wait_until_applied().await;
        let mut client = edge.connect().await;
        client.send_request("/x/", "t1", "").await;
        let response = client.read_response().await;

        // then
        assert_eq!(response.status(), 404);
        assert!(edge.coordinator.polls().last().is_some_and(|poll| poll.config_version == 5));
    });
}

#[test]
fn update_from_isolated_coordinator_is_ignored() {
    run(async {
        // given
        let server = Server::start("i-1").await;
        let edge = Edge::start_with(&configuration(&[route("r", "/x/", "idempotent")]), &[&server]).await;
        let newer =
            configuration(&[route("r", "/y/", "idempotent")]).replace(r#""version":1"#, r#""version":5"#);

        // when
        let polled = edge.coordinator.polls().len();
        edge.coordinator.publish(PollResponse {
            config: Some(config_update(&newer)),
            isolated: true,
            ..PollResponse::default()
        });
        edge.coordinator.wait_for_connections(2).await;
        edge.coordinator.wait_for_polls(polled + 2).await;

        // then
        assert!(edge.coordinator.polls().iter().all(|poll| poll.config_version <= 1));
    });
}

#[test]
fn first_configuration_from_isolated_coordinator_is_ignored() {
    run(async {
        // given
        let update = config_update(&configuration(&[route("r", "/x/", "idempotent")]));
        let edge = Edge::start().await;

        // when
        edge.coordinator.publish(PollResponse {
            config: Some(update),
            isolated: true,
            ..PollResponse::default()
        });
        edge.coordinator.wait_for_connections(2).await;
        edge.coordinator.wait_until_applied().await;

        let mut client = edge.connect().await;
        client.send_request("/x/", "t1", "").await;

        // then
        assert_eq!(edge.coordinator.polls().last().map(|poll| poll.config_version), Some(0));
        assert_eq!(client.read_response().await.status(), 503);
    });
}

#[test]
fn update_on_unknown_version_requests_full_configuration() {
    run(async {
        // given
        let server = Server::start("i-1").await;
        let first = configuration(&[route("r", "/x/", "idempotent")]);
        let edge = Edge::start_with(&first, &[&server]).await;
        let mut update = config_update(&first);
        (update.base, update.version) = (Some(4), 5);

        // when
        let polled = edge.coordinator.polls().len();
        edge.coordinator.publish_configuration(update);
        edge.coordinator.wait_until_applied().await;
        edge.coordinator
            .publish_configuration(config_update(&first.replace(r#""version":1"#, r#""version":6"#)));
        edge.coordinator.wait_until_applied().await;

        // then
        let versions: Vec<u64> =
            edge.coordinator.polls().iter().skip(polled).map(|poll| poll.config_version).collect();
        assert!(versions.starts_with(&[0]), "{versions:?}");
        assert_eq!(versions.last(), Some(&6));
    });
}

#[test]
fn poll_returns_cursor_of_restarted_coordinator() {
    run(async {
        // given
        let server = Server::start("i-1").await;
        let edge = Edge::start_with(&configuration(&[route("r", "/x/", "idempotent")]), &[&server]).await;
        let restarted_cursor = DirectoryCursor { epoch: Incarnation(2), revision: 0 };

        // when
        edge.coordinator.publish(PollResponse { cursor: restarted_cursor, ..PollResponse::default() });
        edge.coordinator.wait_until_applied().await;

        // then
        assert_eq!(edge.coordinator.polls().last().map(|poll| poll.cursor), Some(restarted_cursor));
        // Servers that the restarted coordinator does not list yet are kept.
        assert_eq!(edge.readiness_status().await, 200);
    });
}

#[test]
fn request_without_configuration_is_not_404() {
    run(async {
        // given
        let coordinator = Coordinator::start().await;
        let edge = Edge::start_with_seeds(coordinator, &["127.0.0.2"], "no-such-file");
        let mut client = edge.connect().await;

        // when
        for path in ["/", "/x/", "/never-there/"] {
            client.send_request(path, "t1", "").await;
            let response = client.read_response().await;

            // then
            assert_eq!(response.status(), 503, "{path}");
        }
    });
}
