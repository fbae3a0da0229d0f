//! Requests whose responses are not event streams: forwarding, routing, limits, retries and malformed
//! responses.

mod common;

use common::{
    config_update, configuration, configuration_with_limits, first_contacted, route, route_to_service, run,
    Edge, Server,
};

#[test]
fn request_is_forwarded_without_hop_by_hop_headers() {
    run(async {
        // given
        let server = Server::start("i-1").await;
        let edge = Edge::start_with(&configuration(&[route("r", "/x/", "idempotent")]), &[&server]).await;
        let mut client = edge.connect().await;

        // when
        client
            .write(
                "POST /x/y?q=1&r=%20 HTTP/1.1\r\nHost: a.example:80\r\nAttempt-Id: t1\r\nDeadline-Ms: 5000\r\n\
                 Model: m/a1\r\nConnection: keep-alive, Secret\r\nSecret: s\r\nKeep-Alive: 3\r\n\
                 Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n",
            )
            .await;
        let (mut upstream, request) = server.accept_request().await;
        upstream.respond(&request, "hello").await;
        let response = client.read_response().await;

        // then
        assert_eq!(request.start_line, "POST /x/y?q=1&r=%20 HTTP/1.1");
        assert_eq!(request.body, "abc");
        assert_eq!(request.header("content-length"), Some("3"));
        assert_eq!(request.header("host"), Some("a.example:80"));
        assert_eq!(request.header("attempt-id"), Some("t1"));
        assert_eq!(request.header("model"), Some("m/a1"));
        assert_eq!(request.header("expected-instance"), Some("i-1"));
        assert!(request.header("priority").is_some());
        let deadline: u64 =
            request.header("deadline-ms").and_then(|text| text.parse().ok()).expect("number of milliseconds");
        assert!((1..=5000).contains(&deadline), "{deadline}");
        for dropped in ["secret", "keep-alive", "connection", "transfer-encoding"] {
            assert_eq!(request.header(dropped), None, "{dropped}");
        }
        assert_eq!(response.status(), 200);
        assert_eq!(response.body, "hello");
        assert_eq!(response.header("server-stamp"), Some("st"));
        assert_eq!(response.header("attempt-id"), Some("t1"));
        assert_eq!(response.header("content-length"), Some("5"));
    });
}

#[test]
fn unknown_route_is_404() {
    run(async {
        // given
        let server = Server::start("i-1").await;
        let edge = Edge::start_with(&configuration(&[route("r", "/x/", "idempotent")]), &[&server]).await;
        let mut client = edge.connect().await;

        // when
        client.write("GET /y/ HTTP/1.1\r\nhost: a.example\r\n\r\n").await;
        let by_path = client.read_response().await;
        client.write("GET /x/ HTTP/1.1\r\nhost: b.example\r\n\r\n").await;
        let by_host = client.read_response().await;

        // then
        assert_eq!((by_path.status(), by_host.status()), (404, 404));
        assert!(!server.has_unaccepted_connection().await);
    });
}

#[test]
fn longest_prefix_selects_service() {
    run(async {
        // given
        let one = Server::start_for("s1", "i-1").await;
        let two = Server::start_for("s2", "i-2").await;
        let routes = [
            route_to_service("s1", "r1", "/x/", "idempotent"),
            route_to_service("s2", "r2", "/x/y/", "idempotent"),
        ];
        let edge = Edge::start_with(&configuration(&routes), &[&one, &two]).await;
        let mut client = edge.connect().await;

        // when
        client.send_request("/x/a", "t1", "").await;
        let (mut upstream, request) = one.accept_request().await;
        upstream.respond(&request, "from s1").await;
        let first = client.read_response().await;
        client.send_request("/x/y/a", "t2", "").await;
        let (mut upstream, request) = two.accept_request().await;
        upstream.respond(&request, "from s2").await;
        let second = client.read_response().await;

        // then
        assert_eq!((first.body.as_str(), second.body.as_str()), ("from s1", "from s2"));
    });
}

#[test]
fn edge_without_configuration_is_unready_and_rejects() {
    run(async {
        // given
        let edge = Edge::start().await;
        let mut client = edge.connect().await;

        // when
        client.send_request("/x/", "t1", "").await;
        let response = client.read_response().await;

        // then
        assert_eq!(response.status(), 503);
        assert_eq!(response.header("retry-after"), Some("0.200"));
        assert_eq!(response.header("server-stamp"), None);
        assert_eq!(edge.readiness_status().await, 503);
    });
}

#[test]
fn edge_with_configuration_and_servers_is_ready() {
    run(async {
        // given
        let server = Server::start("i-1").await;
        let edge = Edge::start_with(&configuration(&[route("r", "/x/", "idempotent")]), &[&server]).await;

        // when
        let status = edge.readiness_status().await;

        // then
        assert_eq!(status, 200);
    });
}

#[test]
fn too_long_request_body_is_413() {
    run(async {
        // given
        let server = Server::start("i-1").await;
        let edge = Edge::start_with(&configuration(&[route("r", "/x/", "idempotent")]), &[&server]).await;
        let long = "x".repeat(4097);

        // when
        let mut client = edge.connect().await;
        client.send_request("/x/", "t1", &long).await;
        let with_length = client.read_response().await;
        let mut client = edge.connect().await;
        client
            .write(&format!(
                "POST /x/ HTTP/1.1\r\nhost: a.example\r\ntransfer-encoding: chunked\r\n\r\n1001\r\n{long}\r\n0\r\n\r\n"
            ))
            .await;
        let chunked = client.read_response().await;

        // then
        assert_eq!((with_length.status(), chunked.status()), (413, 413));
        assert!(!server.has_unaccepted_connection().await);
    });
}

#[test]
fn reset_does_not_retry_non_idempotent() {
    run(async {
        // given
        let (one, two) = (Server::start("i-1").await, Server::start("i-2").await);
        let edge =
            Edge::start_with(&configuration(&[route("r", "/x/", "non_idempotent")]), &[&one, &two]).await;
        let mut client = edge.connect().await;

        // when
        client.send_request("/x/", "t1", "body").await;
        let (upstream, ..) = first_contacted(&one, &two).await;
        upstream.reset();
        let response = client.read_response().await;

        // then
        assert_eq!(response.status(), 502);
        assert_eq!(response.header("server-stamp"), None);
        assert!(!one.has_unaccepted_connection().await && !two.has_unaccepted_connection().await);
    });
}

#[test]
fn reset_retries_idempotent_on_another_server() {
    run(async {
        // given
        let (one, two) = (Server::start("i-1").await, Server::start("i-2").await);
        let edge = Edge::start_with(&configuration(&[route("r", "/x/", "idempotent")]), &[&one, &two]).await;
        let mut client = edge.connect().await;

        // when
        client.send_request("/x/", "t1", "body").await;
        let (upstream, _, _, other) = first_contacted(&one, &two).await;
        upstream.reset();
        let (mut upstream, request) = other.accept_request().await;
        upstream.respond(&request, "second").await;
        let response = client.read_response().await;

        // then
        assert_eq!(request.body, "body");
        assert_eq!(request.header("attempt-id"), Some("t1"));
        assert_eq!((response.status(), response.body.as_str()), (200, "second"));
    });
}

#[test]
fn rejection_retries_non_idempotent_on_another_server() {
    run(async {
        for rejection in [(503, "not-executed: 1\r\ncontent-length: 4\r\n"), (421, "content-length: 4\r\n")] {
            // given
            let (one, two) = (Server::start("i-1").await, Server::start("i-2").await);
            let edge =
                Edge::start_with(&configuration(&[route("r", "/x/", "non_idempotent")]), &[&one, &two]).await;
            let mut client = edge.connect().await;

            // when
            client.send_request("/x/", "t1", "body").await;
            let (mut upstream, request, _, other) = first_contacted(&one, &two).await;
            upstream.send_head(&request, rejection.0, rejection.1).await;
            upstream.write("full").await;
            let (mut upstream, request) = other.accept_request().await;
            upstream.respond(&request, "taken").await;
            let response = client.read_response().await;

            // then
            assert_eq!((response.status(), response.body.as_str()), (200, "taken"), "{rejection:?}");
        }
    });
}

#[test]
fn unconfirmed_503_does_not_imply_not_executed() {
    run(async {
        // given
        let (one, two) = (Server::start("i-1").await, Server::start("i-2").await);
        let edge =
            Edge::start_with(&configuration(&[route("r", "/x/", "non_idempotent")]), &[&one, &two]).await;
        let mut client = edge.connect().await;

        // when
        client.send_request("/x/", "t1", "body").await;
        let (mut upstream, request, ..) = first_contacted(&one, &two).await;
        upstream.send_head(&request, 503, "content-length: 0\r\n").await;
        let response = client.read_response().await;

        // then
        assert_eq!(response.status(), 502);
        assert!(!one.has_unaccepted_connection().await && !two.has_unaccepted_connection().await);
    });
}

#[test]
fn failure_of_non_idempotent_is_forwarded_unchanged() {
    run(async {
        // given
        let server = Server::start("i-1").await;
        let edge = Edge::start_with(&configuration(&[route("r", "/x/", "non_idempotent")]), &[&server]).await;
        let mut client = edge.connect().await;

        // when
        client.send_request("/x/", "t1", "body").await;
        let (mut upstream, request) = server.accept_request().await;
        upstream.send_head(&request, 500, "server-stamp: st\r\ncontent-length: 3\r\n").await;
        upstream.write("sad").await;
        let response = client.read_response().await;

        // then
        assert_eq!((response.status(), response.body.as_str()), (500, "sad"));
        assert_eq!(response.header("server-stamp"), Some("st"));
    });
}

#[test]
fn response_with_other_attempt_id_is_malformed() {
    run(async {
        // given
        let server = Server::start("i-1").await;
        let edge = Edge::start_with(&configuration(&[route("r", "/x/", "non_idempotent")]), &[&server]).await;
        let mut client = edge.connect().await;

        // when
        client.send_request("/x/", "t1", "body").await;
        let (mut upstream, _) = server.accept_request().await;
        upstream
            .write("HTTP/1.1 200 OK\r\nattempt-id: t0\r\nserver-stamp: st\r\ncontent-length: 5\r\n\r\nother")
            .await;
        let response = client.read_response().await;

        // then
        assert_eq!(response.status(), 502);
        assert_eq!(response.body, "");
        upstream.expect_closed().await;
    });
}

#[test]
fn malformed_successes_are_not_forwarded() {
    run(async {
        let responses = [
            ("no stamp", "HTTP/1.1 200 OK\r\nattempt-id: t1\r\ncontent-length: 1\r\n\r\nx"),
            ("no length", "HTTP/1.1 200 OK\r\nattempt-id: t1\r\nserver-stamp: st\r\n\r\nx"),
            (
                "truncated",
                "HTTP/1.1 200 OK\r\nattempt-id: t1\r\nserver-stamp: st\r\ncontent-length: 9\r\n\r\nx",
            ),
            ("not HTTP", "\u{1}\u{2}what is this\r\n\r\n"),
        ];
        for (case, text) in responses {
            // given
            let server = Server::start("i-1").await;
            let edge =
                Edge::start_with(&configuration(&[route("r", "/x/", "non_idempotent")]), &[&server]).await;
            let mut client = edge.connect().await;

            // when
            client.send_request("/x/", "t1", "body").await;
            let (mut upstream, _) = server.accept_request().await;
            upstream.write(text).await;
            drop(upstream);
            let response = client.read_response().await;

            // then
            assert_eq!(response.status(), 502, "{case}");
            assert!(!server.has_unaccepted_connection().await, "{case}");
        }
    });
}

#[test]
fn truncated_long_response_does_not_look_complete() {
    run(async {
        // given
        let server = Server::start("i-1").await;
        let edge = Edge::start_with(&configuration(&[route("r", "/x/", "idempotent")]), &[&server]).await;
        let mut client = edge.connect().await;

        // when
        client.send_request("/x/", "t1", "").await;
        let (mut upstream, request) = server.accept_request().await;
        upstream.send_head(&request, 200, "server-stamp: st\r\ncontent-length: 400000\r\n").await;
        upstream.write(&"y".repeat(1000)).await;
        let head = client.read_head().await;
        drop(upstream);
        let rest = client.read_to_end().await;

        // then
        assert_eq!(head.status(), 200);
        assert_eq!(head.header("content-length"), Some("400000"));
        assert!(rest.len() < 400_000);
    });
}

#[test]
fn configuration_update_is_applied() {
    run(async {
        // given
        let server = Server::start("i-1").await;
        let first = configuration(&[route("old", "/x/", "idempotent")]);
        let edge = Edge::start_with(&first, &[&server]).await;
        let update = format!(
            r#"{{"version":5,"upsert":{{"routes":[{}]}},"remove":{{"routes":["old"]}}}}"#,
            route("new", "/y/", "idempotent")
        );
        let delta = common::updates_since(1, &[(true, 0, &first), (false, 1, &update)]);
        assert_eq!(delta.base, Some(1));

        // when
        edge.coordinator.publish_configuration(delta);
        edge.coordinator.publish_configuration(config_update(&first));
        edge.coordinator.wait_until_applied().await;
        let mut client = edge.connect().await;
        client.send_request("/x/", "t1", "").await;
        let removed = client.read_response().await;
        client.send_request("/y/", "t2", "").await;
        let (mut upstream, request) = server.accept_request().await;
        upstream.respond(&request, "new").await;
        let added = client.read_response().await;

        // then
        assert_eq!(removed.status(), 404);
        assert_eq!(added.body, "new");
        assert_eq!(edge.coordinator.polls().last().map(|poll| poll.config_version), Some(5));
    });
}

#[test]
fn chunked_bodies_are_limited_while_they_arrive() {
    run(async {
        // given: a memory limit of 1 MB, a quarter of which is for bodies; an unfinished body uses most of
        // that
        let server = Server::start("i-1").await;
        let routes = configuration_with_limits(&[route("r", "/x/", "idempotent")], 15_000, 1 << 20);
        let edge = Edge::start_with_memory(&routes, &[&server], 1).await;
        let head = |id: &str| {
            format!("POST /x/ HTTP/1.1\r\nhost: a.example\r\nattempt-id: {id}\r\ntransfer-encoding: chunked\r\n\r\n")
        };
        let part = "b".repeat(100_000);
        let mut first = edge.connect().await;
        first.write(&head("t1")).await;
        first.send_chunk(&part).await;
        first.send_chunk(&part).await;

        // when: a second unfinished body exceeds the rest
        let mut second = edge.connect().await;
        second.write(&head("t2")).await;
        second.send_chunk(&part).await;
        let response = second.read_response().await;

        // then
        assert_eq!(response.status(), 503);
        first.send_last_chunk().await;
        let (mut upstream, request) = server.accept_request().await;
        assert_eq!(request.body.len(), 200_000);
        upstream.respond(&request, "whole").await;
        assert_eq!(first.read_response().await.body, "whole");
    });
}
