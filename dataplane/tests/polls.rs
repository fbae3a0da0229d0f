//! Answers of coordinators: which poll they answer, and what is taken from them.

mod common;

use common::coordinator::Coordinator;
use common::{configuration, news, route, run, Edge, Server};
use shaletrail_protocol::internal::{DirectoryCursor, PollResponse};
use shaletrail_protocol::Incarnation;

#[test]
fn given_a_poll_that_was_given_up_when_its_reply_comes_late_then_it_answers_no_later_poll() {
    run(async {
        // given
        let edge = Edge::start().await;
        let coordinator = edge.coordinator.clone();
        coordinator.publish_configuration(news(&configuration(&[route("r", "/x/", "idempotent")])));
        coordinator.all_taken().await;
        let cursor = DirectoryCursor { epoch: Incarnation(9), revision: 9 };
        coordinator.publish_late(PollResponse { cursor, ..PollResponse::default() });
        coordinator.is_late().await;

        // when
        let polled = coordinator.polls().len();
        coordinator.greeted_times(2).await;
        coordinator.release();
        coordinator.polled_times(polled + 3).await;

        // then
        assert!(coordinator.polls().iter().all(|poll| poll.cursor != cursor));
    });
}

#[test]
fn given_a_configuration_when_an_older_one_is_told_then_the_newer_stays_in_force() {
    run(async {
        // given
        let server = Server::start("i-1").await;
        let newer =
            configuration(&[route("new", "/y/", "idempotent")]).replace(r#""version":1"#, r#""version":5"#);
        let edge = Edge::with(&newer, &[&server]).await;

        // when
        edge.coordinator.publish_configuration(news(&configuration(&[route("old", "/x/", "idempotent")])));
        edge.coordinator.all_taken().await;
        let mut client = edge.connect().await;
        client.request("/x/", "t1", "").await;
        let by_old = client.read_answer().await;

        // then
        assert_eq!(by_old.status(), 404);
        assert!(edge.coordinator.polls().last().is_some_and(|poll| poll.config_version == 5));
    });
}

#[test]
fn given_a_configuration_when_a_coordinator_out_of_touch_tells_a_newer_one_then_it_is_not_taken() {
    run(async {
        // given
        let server = Server::start("i-1").await;
        let edge = Edge::with(&configuration(&[route("r", "/x/", "idempotent")]), &[&server]).await;
        let newer =
            configuration(&[route("r", "/y/", "idempotent")]).replace(r#""version":1"#, r#""version":5"#);

        // when
        let polled = edge.coordinator.polls().len();
        edge.coordinator.publish(PollResponse {
            config: Some(news(&newer)),
            isolated: true,
            ..PollResponse::default()
        });
        edge.coordinator.greeted_times(2).await;
        edge.coordinator.polled_times(polled + 2).await;

        // then
        assert!(edge.coordinator.polls().iter().all(|poll| poll.config_version <= 1));
    });
}

#[test]
fn given_no_configuration_when_a_coordinator_out_of_touch_tells_one_then_it_is_not_taken() {
    run(async {
        // given
        let remembered = news(&configuration(&[route("r", "/x/", "idempotent")]));
        let edge = Edge::start().await;

        // when
        edge.coordinator.publish(PollResponse {
            config: Some(remembered),
            isolated: true,
            ..PollResponse::default()
        });
        edge.coordinator.greeted_times(2).await;
        edge.coordinator.all_taken().await;

        let mut client = edge.connect().await;
        client.request("/x/", "t1", "").await;

        // then
        assert_eq!(edge.coordinator.polls().last().map(|poll| poll.config_version), Some(0));
        assert_eq!(client.read_answer().await.status(), 503);
    });
}

#[test]
fn given_news_that_build_on_another_version_when_they_come_then_the_whole_configuration_is_asked_for() {
    run(async {
        // given
        let server = Server::start("i-1").await;
        let first = configuration(&[route("r", "/x/", "idempotent")]);
        let edge = Edge::with(&first, &[&server]).await;
        let mut odd = news(&first);
        (odd.base, odd.version) = (Some(4), 5);

        // when
        let polled = edge.coordinator.polls().len();
        edge.coordinator.publish_configuration(odd);
        edge.coordinator.all_taken().await;
        edge.coordinator.publish_configuration(news(&first.replace(r#""version":1"#, r#""version":6"#)));
        edge.coordinator.all_taken().await;

        // then
        let versions: Vec<u64> =
            edge.coordinator.polls().iter().skip(polled).map(|poll| poll.config_version).collect();
        assert!(versions.starts_with(&[0]), "{versions:?}");
        assert_eq!(versions.last(), Some(&6));
    });
}

#[test]
fn given_a_coordinator_that_has_started_anew_when_its_cursor_comes_then_the_next_poll_names_that() {
    run(async {
        // given
        let server = Server::start("i-1").await;
        let edge = Edge::with(&configuration(&[route("r", "/x/", "idempotent")]), &[&server]).await;
        let anew = DirectoryCursor { epoch: Incarnation(2), revision: 0 };

        // when
        edge.coordinator.publish(PollResponse { cursor: anew, ..PollResponse::default() });
        edge.coordinator.all_taken().await;

        // then
        assert_eq!(edge.coordinator.polls().last().map(|poll| poll.cursor), Some(anew));
        // What it does not list yet is kept.
        assert_eq!(edge.readiness_status().await, 200);
    });
}

#[test]
fn given_no_configuration_when_requests_come_then_none_is_told_that_its_route_is_not_there() {
    run(async {
        // given
        let coordinator = Coordinator::start().await;
        let edge = Edge::with_seeds(coordinator, &["127.0.0.2"], "no-such-file");
        let mut client = edge.connect().await;

        // when
        for path in ["/", "/x/", "/never-there/"] {
            client.request(path, "t1", "").await;
            let answer = client.read_answer().await;

            // then
            assert_eq!(answer.status(), 503, "{path}");
        }
    });
}
