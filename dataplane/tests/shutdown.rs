//! The end of a process, and the coordinators that it asks.

mod common;

use common::coordinator::Coordinator;
use common::{configuration, route, run, settings, Edge, Server};
use shaletrail_protocol::internal::PollResponse;

#[test]
fn given_an_open_request_when_the_process_is_stopped_then_it_is_unready_and_answers_before_it_ends() {
    run(async {
        // given
        let server = Server::start("i-1").await;
        let edge = Edge::with(&configuration(&[route("r", "/x/", "idempotent")]), &[&server]).await;
        let mut open = edge.connect().await;
        open.request("/x/", "t1", "").await;
        let (mut upstream, request) = server.accept_request().await;

        // when
        edge.control.stop();
        let mut late = edge.connect().await;
        late.request("/x/", "t2", "").await;
        let (mut late_upstream, late_request) = server.accept_request().await;
        let readiness = edge.readiness_status().await;
        let asked_again = edge.readiness_status().await;
        late_upstream.answer(&late_request, "late").await;
        upstream.answer(&request, "open").await;
        let (open_answer, late_answer) = (open.read_answer().await, late.read_answer().await);

        // then
        assert_eq!((readiness, asked_again), (503, 503));
        assert_eq!((open_answer.body.as_str(), late_answer.body.as_str()), ("open", "late"));
        assert_eq!(open_answer.header("connection"), Some("close"));
        assert_eq!(late_answer.header("connection"), Some("close"));
        edge.coordinator.left().await;
        edge.serving.await.expect("a proper end");
    });
}

#[test]
fn given_a_request_without_end_when_the_process_is_stopped_then_it_ends_before_it_would_be_killed() {
    run(async {
        // given
        let server = Server::start("i-1").await;
        let edge = Edge::with(&configuration(&[route("r", "/x/", "idempotent")]), &[&server]).await;
        let mut client = edge.connect().await;
        client.request("/x/", "t1", "").await;
        let (mut upstream, _) = server.accept_request().await;

        // when
        edge.control.stop();
        edge.serving.await.expect("a proper end");

        // then
        client.closed().await;
        upstream.closed().await;
    });
}

#[test]
fn given_a_coordinator_out_of_touch_when_it_says_so_then_another_is_asked() {
    run(async {
        // given
        let one = Coordinator::start().await;
        let other = Coordinator::at("127.0.0.3", one.port).await;
        one.publish(PollResponse { isolated: true, ..PollResponse::default() });
        other.publish(PollResponse { isolated: true, ..PollResponse::default() });

        // when
        let _edge = Edge::with_seeds(one.clone(), &["127.0.0.2", "127.0.0.3"], "no-such-file");

        // then
        one.greeted().await;
        other.greeted().await;
    });
}

#[test]
fn given_a_coordinator_that_names_others_when_it_is_out_of_touch_then_they_are_asked() {
    run(async {
        // given
        let one = Coordinator::start().await;
        let other = Coordinator::at("127.0.0.3", one.port).await;
        let coordinators = vec![std::net::Ipv4Addr::new(127, 0, 0, 3).into()];
        one.publish(PollResponse { coordinators, ..PollResponse::default() });
        one.publish(PollResponse { isolated: true, ..PollResponse::default() });

        // when
        let _edge = Edge::with_seeds(one, &["127.0.0.2"], "no-such-file");

        // then
        other.greeted().await;
    });
}

#[test]
fn given_seeds_that_are_all_down_when_the_settings_file_names_another_then_it_is_asked() {
    run(async {
        // given
        let coordinator = Coordinator::start().await;
        let path = std::env::temp_dir().join(format!("shaletrail-dataplane-{}.conf", coordinator.port));
        std::fs::write(&path, settings(coordinator.port, &["127.0.0.2"])).expect("a settings file");

        // when
        let _edge = Edge::with_seeds(coordinator.clone(), &["127.0.0.5"], path.to_str().expect("a path"));

        // then
        coordinator.greeted().await;
        std::fs::remove_file(&path).expect("the settings file");
    });
}

#[test]
fn given_a_process_that_ends_when_a_request_comes_late_that_may_outlast_it_then_it_is_refused_unsent() {
    run(async {
        // given
        let server = Server::start("i-1").await;
        let edge = Edge::with(&configuration(&[route("r", "/x/", "non_idempotent")]), &[&server]).await;
        edge.control.stop();

        // when
        let mut attempts = 0;
        let refusal = loop {
            attempts += 1;
            let mut client = edge.connect().await;
            client.request("/x/", &format!("t{attempts}"), "").await;
            let taken = async {
                let (mut upstream, request) = server.accept_request().await;
                upstream.answer(&request, "early").await;
                std::future::pending::<()>().await;
            };
            let answer = tokio::select! {
                answer = client.read_answer() => answer,
                () = taken => unreachable!("a server that has answered waits"),
            };
            if answer.status() != 200 {
                break answer;
            }
        };

        // then
        assert_eq!(refusal.status(), 503);
        assert_eq!(refusal.header("retry-after"), Some("0.200"));
        assert_eq!(refusal.header("connection"), Some("close"));
    });
}
