//! Matching of responses to requests: early, surplus and truncated responses on connections to servers.

mod common;

use common::http::{Connection, Message};
use common::{configuration, configuration_with_limits, first_contacted, route, run, Edge, Server};

/// More than the socket buffers at both ends of a connection hold.
const LONG_BODY: usize = 16 << 20;
/// How much of [`LONG_BODY`] a server reads before it responds.
const READ_BEFORE_RESPONSE_BYTES: usize = 1000;

/// An edge with one server and a non-idempotent route, and a client connection.
async fn edge_with_one_server(server: &Server) -> (Edge, Connection) {
    let edge = Edge::start_with(&configuration(&[route("r", "/x/", "non_idempotent")]), &[server]).await;
    let client = edge.connect().await;
    (edge, client)
}

/// Has the server respond to a first request. Returns the server's connection and the request.
async fn serve_one_request(server: &Server, client: &mut Connection) -> (Connection, Message) {
    client.send_request("/x/", "t1", "").await;
    let (mut upstream, request) = server.accept_request().await;
    upstream.respond(&request, "one").await;
    assert_eq!(client.read_response().await.body, "one");
    (upstream, request)
}

#[test]
fn duplicate_response_is_not_given_to_next_request() {
    run(async {
        // given
        let server = Server::start("i-1").await;
        let (_edge, mut client) = edge_with_one_server(&server).await;
        let (mut upstream, first) = serve_one_request(&server, &mut client).await;

        // when
        client.send_request("/x/", "t2", "").await;
        let second = upstream.read_request().await;
        upstream.respond(&first, "one").await;
        let response = client.read_response().await;
        client.send_request("/x/", "t3", "").await;
        let (_other, third) = server.accept_request().await;

        // then
        assert_eq!(second.header("attempt-id"), Some("t2"));
        assert_eq!((response.status(), response.body.as_str()), (502, ""));
        assert_eq!(response.header("server-stamp"), None);
        assert_eq!(third.header("attempt-id"), Some("t3"));
        upstream.expect_closed().await;
        assert!(!server.has_unaccepted_connection().await);
    });
}

#[test]
fn surplus_bytes_prevent_connection_reuse() {
    run(async {
        for surplus in
            ["x", "HTTP/1.1 200 OK\r\nattempt-id: t2\r\nserver-stamp: st\r\ncontent-length: 0\r\n\r\n"]
        {
            // given
            let server = Server::start("i-1").await;
            let (_edge, mut client) = edge_with_one_server(&server).await;
            client.send_request("/x/", "t1", "").await;
            let (mut upstream, _) = server.accept_request().await;

            // when
            let head = "HTTP/1.1 200 OK\r\nattempt-id: t1\r\nserver-stamp: st\r\ncontent-length: 3\r\n\r\n";
            upstream.write(&format!("{head}one{surplus}")).await;
            let first = client.read_response().await;
            client.send_request("/x/", "t2", "").await;
            let (mut other, request) = server.accept_request().await;
            other.respond(&request, "two").await;
            let second = client.read_response().await;

            // then
            assert_eq!((first.body.as_str(), second.body.as_str()), ("one", "two"));
            upstream.expect_closed().await;
        }
    });
}

#[test]
fn duplicate_rejection_is_not_taken_for_response_to_retry() {
    run(async {
        // given
        const REJECTION: &str = "not-executed: 1\r\nretry-after: 0.05\r\ncontent-length: 0\r\n";
        let server = Server::start("i-1").await;
        let (_edge, mut client) = edge_with_one_server(&server).await;
        client.send_request("/x/", "t1", "body").await;
        let (mut upstream, request) = server.accept_request().await;
        upstream.send_head(&request, 503, REJECTION).await;

        // when
        let again = tokio::select! {
            // On the same connection, the duplicate would be taken for the response to the retry.
            again = upstream.next_request() => {
                assert!(again.is_some(), "connection closed before the retry");
                upstream.send_head(&request, 503, REJECTION).await;
                None
            }
            accepted = server.accept_request() => Some(accepted),
        };

        // then
        let (mut other, again) = again.expect("retry on another connection");
        other.respond(&again, "taken").await;
        let response = client.read_response().await;
        assert_eq!(again.header("attempt-id"), Some("t1"));
        assert_eq!((response.status(), response.body.as_str()), (200, "taken"));
    });
}

#[test]
fn early_response_does_not_mix_requests() {
    run(async {
        // given
        let server = Server::start("i-1").await;
        let routes = [route("r", "/x/", "non_idempotent")];
        let edge = Edge::start_with(&configuration_with_limits(&routes, 15_000, LONG_BODY), &[&server]).await;
        let mut client = edge.connect().await;
        client.send_request("/x/", "t1", &"b".repeat(LONG_BODY)).await;
        let mut upstream = server.accept().await;
        let request = upstream.read_head().await;
        let mut read = upstream.read_up_to(READ_BEFORE_RESPONSE_BYTES).await;
        upstream.respond(&request, "early").await;
        let first = client.read_response().await;

        // when
        client.send_request("/x/", "t2", "").await;
        let (mut other, request) = server.accept_request().await;
        other.respond(&request, "two").await;
        let second = client.read_response().await;
        read.push_str(&upstream.read_to_end().await);

        // then
        assert_eq!((first.body.as_str(), second.body.as_str()), ("early", "two"));
        assert!(
            read.len() < LONG_BODY && read.bytes().all(|byte| byte == b'b'),
            "bytes of another request in the body"
        );
    });
}

#[test]
fn early_rejection_does_not_mix_requests() {
    run(async {
        // given
        let (one, two) = (Server::start("i-1").await, Server::start("i-2").await);
        let routes = [route("r", "/x/", "non_idempotent")];
        let edge =
            Edge::start_with(&configuration_with_limits(&routes, 15_000, LONG_BODY), &[&one, &two]).await;
        let mut client = edge.connect().await;
        client.send_request("/x/", "t1", &"b".repeat(LONG_BODY)).await;
        let (mut upstream, other) = tokio::select! {
            upstream = one.accept() => (upstream, &two),
            upstream = two.accept() => (upstream, &one),
        };
        let request = upstream.read_head().await;

        // when
        upstream.send_head(&request, 503, "not-executed: 1\r\ncontent-length: 0\r\n").await;
        let (mut second, request) = other.accept_request().await;
        second.respond(&request, "taken").await;
        let response = client.read_response().await;
        let read = upstream.read_to_end().await;

        // then
        assert_eq!((response.status(), request.body.len()), (200, LONG_BODY));
        assert!(
            read.len() < LONG_BODY && read.bytes().all(|byte| byte == b'b'),
            "bytes of another request in the body"
        );
    });
}

#[test]
fn only_final_response_is_forwarded() {
    run(async {
        // given
        let server = Server::start("i-1").await;
        let (_edge, mut client) = edge_with_one_server(&server).await;
        client.send_request("/x/", "t1", "").await;
        let (mut upstream, request) = server.accept_request().await;

        // when
        upstream.write("HTTP/1.1 100 Continue\r\n\r\n").await;
        upstream.write("HTTP/1.1 103 Early Hints\r\nattempt-id: t0\r\nserver-stamp: no\r\n\r\n").await;
        upstream.respond(&request, "final").await;
        let response = client.read_response().await;

        // then
        assert_eq!((response.status(), response.body.as_str()), (200, "final"));
        assert_eq!(response.header("server-stamp"), Some("st"));
    });
}

#[test]
fn switching_protocols_is_malformed() {
    run(async {
        // given
        let server = Server::start("i-1").await;
        let (_edge, mut client) = edge_with_one_server(&server).await;
        client.send_request("/x/", "t1", "").await;
        let (mut upstream, request) = server.accept_request().await;

        // when
        upstream
            .send_head(
                &request,
                101,
                "server-stamp: st\r\nupgrade: other\r\nconnection: upgrade\r\ncontent-length: 0\r\n",
            )
            .await;
        let response = client.read_response().await;

        // then
        assert_eq!(response.status(), 502);
        upstream.expect_closed().await;
        assert!(!server.has_unaccepted_connection().await);
    });
}

#[test]
fn response_without_length_is_malformed() {
    run(async {
        for head in ["", "transfer-encoding: identity\r\ncontent-length: 3\r\n"] {
            for is_reset in [false, true] {
                // given
                let server = Server::start("i-1").await;
                let (_edge, mut client) = edge_with_one_server(&server).await;
                client.send_request("/x/", "t1", "").await;
                let (mut upstream, request) = server.accept_request().await;

                // when
                upstream.send_head(&request, 200, &format!("server-stamp: st\r\n{head}")).await;
                upstream.write("one").await;
                if is_reset {
                    upstream.reset();
                } else {
                    drop(upstream);
                }
                let response = client.read_response().await;

                // then
                assert_eq!((response.status(), response.body.as_str()), (502, ""), "{head:?} {is_reset}");
                assert!(!server.has_unaccepted_connection().await);
            }
        }
    });
}

#[test]
fn closed_idle_connection_is_not_reused() {
    run(async {
        // given
        let server = Server::start("i-1").await;
        let (_edge, mut client) = edge_with_one_server(&server).await;
        let (upstream, _) = serve_one_request(&server, &mut client).await;

        // when
        drop(upstream);
        client.send_request("/x/", "t2", "").await;
        let (mut upstream, request) = server.accept_request().await;
        upstream.respond(&request, "two").await;
        let response = client.read_response().await;

        // then
        assert_eq!((response.status(), response.body.as_str()), (200, "two"));
    });
}

#[test]
fn lost_reused_connection_does_not_retry_non_idempotent() {
    run(async {
        // given
        let (one, two) = (Server::start("i-1").await, Server::start("i-2").await);
        let edge =
            Edge::start_with(&configuration(&[route("r", "/x/", "non_idempotent")]), &[&one, &two]).await;
        let mut client = edge.connect().await;
        client.send_request("/x/", "t1", "").await;
        let (mut upstream, request, ..) = first_contacted(&one, &two).await;
        upstream.respond(&request, "one").await;
        client.read_response().await;

        // when
        client.send_request("/x/", "t2", "").await;
        let request = upstream.read_request().await;
        drop(upstream);
        let response = client.read_response().await;

        // then
        assert_eq!(request.header("attempt-id"), Some("t2"));
        assert_eq!((response.status(), response.header("retry-after")), (502, None));
        assert!(!one.has_unaccepted_connection().await && !two.has_unaccepted_connection().await);
    });
}

#[test]
fn expired_keep_alive_prevents_connection_reuse() {
    run(async {
        // given
        let server = Server::start("i-1").await;
        let (_edge, mut client) = edge_with_one_server(&server).await;
        client.send_request("/x/", "t1", "").await;
        let (mut upstream, request) = server.accept_request().await;

        // when
        let headers = "server-stamp: st\r\nkeep-alive: timeout=0\r\ncontent-length: 3\r\n";
        upstream.send_head(&request, 200, headers).await;
        upstream.write("one").await;
        client.read_response().await;
        client.send_request("/x/", "t2", "").await;
        let (mut other, request) = server.accept_request().await;
        other.respond(&request, "two").await;
        let response = client.read_response().await;

        // then
        assert_eq!(response.body, "two");
    });
}

#[test]
fn request_names_expected_instance() {
    run(async {
        // given
        let server = Server::start("i-1").await;
        let (_edge, mut client) = edge_with_one_server(&server).await;

        // when
        client.send_request("/x/", "t1", "").await;
        let (mut upstream, request) = server.accept_request().await;
        upstream.send_head(&request, 421, "instance-id: i-2\r\ncontent-length: 0\r\n").await;
        let response = client.read_response().await;

        // then
        assert_eq!(request.header("expected-instance"), Some("i-1"));
        assert_eq!(response.status(), 503);
        assert!(response.header("retry-after").is_some());
    });
}

#[test]
fn pipelined_requests_are_answered_in_order() {
    run(async {
        // given
        let server = Server::start("i-1").await;
        let (_edge, mut client) = edge_with_one_server(&server).await;

        // when
        client.send_pipelined("/x/", &["t1", "t2"]).await;
        let (mut upstream, first) = server.accept_request().await;
        assert!(!server.has_unaccepted_connection().await);
        upstream.respond(&first, "one").await;
        let first_response = client.read_response().await;
        let second = upstream.read_request().await;
        upstream.respond(&second, "two").await;
        let second_response = client.read_response().await;

        // then
        assert_eq!((first_response.header("attempt-id"), first_response.body.as_str()), (Some("t1"), "one"));
        assert_eq!(
            (second_response.header("attempt-id"), second_response.body.as_str()),
            (Some("t2"), "two")
        );
    });
}

#[test]
fn rejection_after_silent_server_does_not_imply_not_executed() {
    run(async {
        // given
        let (one, two) = (Server::start("i-1").await, Server::start("i-2").await);
        let route =
            route("r", "/x/", "idempotent").replace(r#""targetLatencyMs":4000"#, r#""targetLatencyMs":100"#);
        let edge = Edge::start_with(&configuration(&[route]), &[&one, &two]).await;
        let mut client = edge.connect().await;
        client.send_request("/x/", "t1", "").await;
        let (mut silent, _, _, other) = first_contacted(&one, &two).await;

        // when
        let (mut upstream, request) = other.accept_request().await;
        silent.expect_closed().await;
        upstream.send_head(&request, 503, "not-executed: 1\r\ncontent-length: 0\r\n").await;
        let response = client.read_response().await;

        // then
        assert_eq!((response.status(), response.header("retry-after")), (502, None));
    });
}

#[test]
fn truncated_rejection_is_accepted_but_truncated_failure_is_not_forwarded() {
    run(async {
        let cases = [(500, "server-stamp: st\r\n", 502), (503, "not-executed: 1\r\n", 503)];
        for (status, headers, expected) in cases {
            // given
            let server = Server::start("i-1").await;
            let routes =
                [route("r", "/x/", "non_idempotent").replace(r#""maxAttempts":2"#, r#""maxAttempts":1"#)];
            let edge = Edge::start_with(&configuration(&routes), &[&server]).await;
            let mut client = edge.connect().await;
            client.send_request("/x/", "t1", "").await;
            let (mut upstream, request) = server.accept_request().await;

            // when
            upstream.send_head(&request, status, &format!("{headers}content-length: 9\r\n")).await;
            upstream.write("cut").await;
            drop(upstream);
            let response = loop {
                // A rejected request has not run, so it may be retried even though it is not idempotent.
                tokio::select! {
                    response = client.read_response() => break response,
                    (mut upstream, request) = server.accept_request() => {
                        assert_eq!(status, 503, "failure was retried");
                        upstream.send_head(&request, status, &format!("{headers}content-length: 0\r\n")).await;
                    }
                }
            };

            // then
            assert_eq!((response.status(), response.body.as_str()), (expected, ""));
            assert_eq!(response.header("server-stamp"), None);
        }
    });
}

#[test]
fn requests_without_attempt_id_use_fresh_connections() {
    run(async {
        // given
        const REQUEST: &str = "POST /x/ HTTP/1.1\r\nhost: a.example\r\ncontent-length: 0\r\n\r\n";
        const RESPONSE: &str = "HTTP/1.1 200 OK\r\nserver-stamp: st\r\ncontent-length: 3\r\n\r\n";
        let server = Server::start("i-1").await;
        let (_edge, mut client) = edge_with_one_server(&server).await;

        // when
        let (mut bodies, mut upstreams) = (Vec::new(), Vec::new());
        for body in ["one", "two"] {
            client.write(REQUEST).await;
            let (mut upstream, _) = server.accept_request().await;
            upstream.write(&format!("{RESPONSE}{body}")).await;
            bodies.push(client.read_response().await.body);
            upstreams.push(upstream);
        }

        // then
        assert_eq!(bodies, ["one", "two"]);
    });
}
