//! Graceful shutdown, and the change to another coordinator or to other settings.

mod common;

use common::coordinator::Coordinator;
use common::{configuration, route, run, settings, Edge, Server};
use shaletrail_protocol::internal::PollResponse;

#[test]
fn shutdown_completes_requests_in_flight() {
    run(async {
        // given
        let server = Server::start("i-1").await;
        let edge = Edge::start_with(&configuration(&[route("r", "/x/", "idempotent")]), &[&server]).await;
        let mut open = edge.connect().await;
        open.send_request("/x/", "t1", "").await;
        let (mut upstream, request) = server.accept_request().await;

        // when
        edge.control.stop();
        let mut late = edge.connect().await;
        late.send_request("/x/", "t2", "").await;
        let (mut late_upstream, late_request) = server.accept_request().await;
        let readiness = edge.readiness_status().await;
        let readiness_again = edge.readiness_status().await;
        late_upstream.respond(&late_request, "late").await;
        upstream.respond(&request, "open").await;
        let (open_response, late_response) = (open.read_response().await, late.read_response().await);

        // then
        assert_eq!((readiness, readiness_again), (503, 503));
        assert_eq!((open_response.body.as_str(), late_response.body.as_str()), ("open", "late"));
        assert_eq!(open_response.header("connection"), Some("close"));
        assert_eq!(late_response.header("connection"), Some("close"));
        edge.coordinator.wait_for_shutdown_notice().await;
        edge.serving.await.expect("data plane task finished");
    });
}

#[test]
fn shutdown_aborts_endless_request() {
    run(async {
        // given
        let server = Server::start("i-1").await;
        let edge = Edge::start_with(&configuration(&[route("r", "/x/", "idempotent")]), &[&server]).await;
        let mut client = edge.connect().await;
        client.send_request("/x/", "t1", "").await;
        let (mut upstream, _) = server.accept_request().await;

        // when
        edge.control.stop();
        edge.serving.await.expect("data plane task finished");

        // then
        client.expect_closed().await;
        upstream.expect_closed().await;
    });
}

#[test]
fn another_coordinator_is_polled_after_an_isolated_one() {
    run(async {
        // given
        let one = Coordinator::start().await;
        let other = Coordinator::start_at("127.0.0.3", one.port).await;
        one.publish(PollResponse { isolated: true, ..PollResponse::default() });
        other.publish(PollResponse { isolated: true, ..PollResponse::default() });

        // when
        let _edge = Edge::start_with_seeds(one.clone(), &["127.0.0.2", "127.0.0.3"], "no-such-file");

        // then
        one.wait_for_connection().await;
        other.wait_for_connection().await;
    });
}

#[test]
fn coordinators_learned_from_isolated_one_are_polled() {
    run(async {
        // given
        let one = Coordinator::start().await;
        let other = Coordinator::start_at("127.0.0.3", one.port).await;
        let coordinators = vec![std::net::Ipv4Addr::new(127, 0, 0, 3).into()];
        one.publish(PollResponse { coordinators, ..PollResponse::default() });
        one.publish(PollResponse { isolated: true, ..PollResponse::default() });

        // when
        let _edge = Edge::start_with_seeds(one, &["127.0.0.2"], "no-such-file");

        // then
        other.wait_for_connection().await;
    });
}

#[test]
fn settings_are_reloaded_when_all_seeds_fail() {
    run(async {
        // given
        let coordinator = Coordinator::start().await;
        let path = std::env::temp_dir().join(format!("shaletrail-dataplane-{}.conf", coordinator.port));
        std::fs::write(&path, settings(coordinator.port, &["127.0.0.2"])).expect("write settings file");

        // when
        let _edge =
            Edge::start_with_seeds(coordinator.clone(), &["127.0.0.5"], path.to_str().expect("UTF-8 path"));

        // then
        coordinator.wait_for_connection().await;
        std::fs::remove_file(&path).expect("remove settings file");
    });
}

#[test]
fn late_long_request_is_rejected_during_shutdown() {
    run(async {
        // given
        let server = Server::start("i-1").await;
        let edge = Edge::start_with(&configuration(&[route("r", "/x/", "non_idempotent")]), &[&server]).await;
        edge.control.stop();

        // when
        let mut attempts = 0;
        let rejection = loop {
            attempts += 1;
            let mut client = edge.connect().await;
            client.send_request("/x/", &format!("t{attempts}"), "").await;
            let serve_request = async {
                let (mut upstream, request) = server.accept_request().await;
                upstream.respond(&request, "early").await;
                std::future::pending::<()>().await;
            };
            let response = tokio::select! {
                response = client.read_response() => response,
                () = serve_request => unreachable!("the future never completes"),
            };
            if response.status() != 200 {
                break response;
            }
        };

        // then
        assert_eq!(rejection.status(), 503);
        assert_eq!(rejection.header("retry-after"), Some("0.200"));
        assert_eq!(rejection.header("connection"), Some("close"));
    });
}
