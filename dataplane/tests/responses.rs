//! Which answer belongs to whom: late, early, surplus and broken answers on connections to servers.

mod common;

use common::http::{Connection, Message};
use common::{configuration, configuration_within, first_asked, route, run, Edge, Server};

/// More than the buffers of both ends of a connection hold.
const LONG_BODY: usize = 16 << 20;
/// How much of it a server reads that answers before the rest.
const READ_BEFORE_ANSWER: usize = 1000;

/// An edge with one server, whose requests may run once, and a client.
async fn edge_with_one(server: &Server) -> (Edge, Connection) {
    let edge = Edge::with(&configuration(&[route("r", "/x/", "non_idempotent")]), &[server]).await;
    let client = edge.connect().await;
    (edge, client)
}

/// The connection that has carried a first request, and that request.
async fn served_once(server: &Server, client: &mut Connection) -> (Connection, Message) {
    client.request("/x/", "t1", "").await;
    let (mut upstream, request) = server.accept_request().await;
    upstream.answer(&request, "one").await;
    assert_eq!(client.read_answer().await.body, "one");
    (upstream, request)
}

#[test]
fn given_a_connection_used_again_when_the_former_answer_comes_once_more_then_the_next_caller_does_not_get_it()
{
    run(async {
        // given
        let server = Server::start("i-1").await;
        let (_edge, mut client) = edge_with_one(&server).await;
        let (mut upstream, first) = served_once(&server, &mut client).await;

        // when
        client.request("/x/", "t2", "").await;
        let second = upstream.read_request().await;
        upstream.answer(&first, "one").await;
        let answer = client.read_answer().await;
        client.request("/x/", "t3", "").await;
        let (_other, third) = server.accept_request().await;

        // then
        assert_eq!(second.header("attempt-id"), Some("t2"));
        assert_eq!((answer.status(), answer.body.as_str()), (502, ""));
        assert_eq!(answer.header("server-stamp"), None);
        assert_eq!(third.header("attempt-id"), Some("t3"));
        upstream.closed().await;
        assert!(!server.has_caller().await);
    });
}

#[test]
fn given_an_answer_with_bytes_after_its_end_when_the_next_request_comes_then_it_goes_over_another_connection()
{
    run(async {
        for surplus in
            ["x", "HTTP/1.1 200 OK\r\nattempt-id: t2\r\nserver-stamp: st\r\ncontent-length: 0\r\n\r\n"]
        {
            // given
            let server = Server::start("i-1").await;
            let (_edge, mut client) = edge_with_one(&server).await;
            client.request("/x/", "t1", "").await;
            let (mut upstream, _) = server.accept_request().await;

            // when
            let head = "HTTP/1.1 200 OK\r\nattempt-id: t1\r\nserver-stamp: st\r\ncontent-length: 3\r\n\r\n";
            upstream.write(&format!("{head}one{surplus}")).await;
            let first = client.read_answer().await;
            client.request("/x/", "t2", "").await;
            let (mut other, request) = server.accept_request().await;
            other.answer(&request, "two").await;
            let second = client.read_answer().await;

            // then
            assert_eq!((first.body.as_str(), second.body.as_str()), ("one", "two"));
            upstream.closed().await;
        }
    });
}

#[test]
fn given_a_request_sent_again_to_the_same_server_when_its_first_rejection_comes_twice_then_that_is_no_verdict(
) {
    run(async {
        // given
        const REJECTION: &str = "not-executed: 1\r\nretry-after: 0.05\r\ncontent-length: 0\r\n";
        let server = Server::start("i-1").await;
        let (_edge, mut client) = edge_with_one(&server).await;
        client.request("/x/", "t1", "body").await;
        let (mut upstream, request) = server.accept_request().await;
        upstream.head(&request, 503, REJECTION).await;

        // when
        let again = tokio::select! {
            // Over the same connection, the copy would be taken for the answer to the second sending.
            again = upstream.next_request() => {
                assert!(again.is_some(), "closed");
                upstream.head(&request, 503, REJECTION).await;
                None
            }
            accepted = server.accept_request() => Some(accepted),
        };

        // then
        let (mut other, again) = again.expect("a connection of its own");
        other.answer(&again, "taken").await;
        let answer = client.read_answer().await;
        assert_eq!(again.header("attempt-id"), Some("t1"));
        assert_eq!((answer.status(), answer.body.as_str()), (200, "taken"));
    });
}

#[test]
fn given_an_answer_before_the_whole_request_was_read_when_the_next_comes_then_no_byte_of_it_is_in_the_body() {
    run(async {
        // given
        let server = Server::start("i-1").await;
        let routes = [route("r", "/x/", "non_idempotent")];
        let edge = Edge::with(&configuration_within(&routes, 15_000, LONG_BODY), &[&server]).await;
        let mut client = edge.connect().await;
        client.request("/x/", "t1", &"b".repeat(LONG_BODY)).await;
        let mut upstream = server.accept().await;
        let request = upstream.read_head().await;
        let mut read = upstream.read_up_to(READ_BEFORE_ANSWER).await;
        upstream.answer(&request, "early").await;
        let first = client.read_answer().await;

        // when
        client.request("/x/", "t2", "").await;
        let (mut other, request) = server.accept_request().await;
        other.answer(&request, "two").await;
        let second = client.read_answer().await;
        read.push_str(&upstream.read_rest().await);

        // then
        assert_eq!((first.body.as_str(), second.body.as_str()), ("early", "two"));
        assert!(read.len() < LONG_BODY && read.bytes().all(|byte| byte == b'b'), "other bytes in the body");
    });
}

#[test]
fn given_a_rejection_before_the_whole_request_was_read_when_it_is_sent_again_then_no_byte_of_it_is_in_the_body(
) {
    run(async {
        // given
        let (one, two) = (Server::start("i-1").await, Server::start("i-2").await);
        let routes = [route("r", "/x/", "non_idempotent")];
        let edge = Edge::with(&configuration_within(&routes, 15_000, LONG_BODY), &[&one, &two]).await;
        let mut client = edge.connect().await;
        client.request("/x/", "t1", &"b".repeat(LONG_BODY)).await;
        let (mut upstream, other) = tokio::select! {
            upstream = one.accept() => (upstream, &two),
            upstream = two.accept() => (upstream, &one),
        };
        let request = upstream.read_head().await;

        // when
        upstream.head(&request, 503, "not-executed: 1\r\ncontent-length: 0\r\n").await;
        let (mut second, request) = other.accept_request().await;
        second.answer(&request, "taken").await;
        let answer = client.read_answer().await;
        let read = upstream.read_rest().await;

        // then
        assert_eq!((answer.status(), request.body.len()), (200, LONG_BODY));
        assert!(read.len() < LONG_BODY && read.bytes().all(|byte| byte == b'b'), "other bytes in the body");
    });
}

#[test]
fn given_heads_that_are_not_final_when_they_come_first_then_only_the_final_answer_is_passed_on() {
    run(async {
        // given
        let server = Server::start("i-1").await;
        let (_edge, mut client) = edge_with_one(&server).await;
        client.request("/x/", "t1", "").await;
        let (mut upstream, request) = server.accept_request().await;

        // when
        upstream.write("HTTP/1.1 100 Continue\r\n\r\n").await;
        upstream.write("HTTP/1.1 103 Early Hints\r\nattempt-id: t0\r\nserver-stamp: no\r\n\r\n").await;
        upstream.answer(&request, "final").await;
        let answer = client.read_answer().await;

        // then
        assert_eq!((answer.status(), answer.body.as_str()), (200, "final"));
        assert_eq!(answer.header("server-stamp"), Some("st"));
    });
}

#[test]
fn given_an_answer_that_switches_protocols_when_it_comes_then_it_is_none_and_its_connection_closed() {
    run(async {
        // given
        let server = Server::start("i-1").await;
        let (_edge, mut client) = edge_with_one(&server).await;
        client.request("/x/", "t1", "").await;
        let (mut upstream, request) = server.accept_request().await;

        // when
        upstream
            .head(
                &request,
                101,
                "server-stamp: st\r\nupgrade: other\r\nconnection: upgrade\r\ncontent-length: 0\r\n",
            )
            .await;
        let answer = client.read_answer().await;

        // then
        assert_eq!(answer.status(), 502);
        upstream.closed().await;
        assert!(!server.has_caller().await);
    });
}

#[test]
fn given_answers_without_a_length_when_their_connection_ends_or_is_reset_then_neither_counts_as_whole() {
    run(async {
        for head in ["", "transfer-encoding: identity\r\ncontent-length: 3\r\n"] {
            for is_reset in [false, true] {
                // given
                let server = Server::start("i-1").await;
                let (_edge, mut client) = edge_with_one(&server).await;
                client.request("/x/", "t1", "").await;
                let (mut upstream, request) = server.accept_request().await;

                // when
                upstream.head(&request, 200, &format!("server-stamp: st\r\n{head}")).await;
                upstream.write("one").await;
                if is_reset {
                    upstream.reset();
                } else {
                    drop(upstream);
                }
                let answer = client.read_answer().await;

                // then
                assert_eq!((answer.status(), answer.body.as_str()), (502, ""), "{head:?} {is_reset}");
                assert!(!server.has_caller().await);
            }
        }
    });
}

#[test]
fn given_a_connection_that_rests_when_its_server_closes_it_then_the_next_request_goes_over_another() {
    run(async {
        // given
        let server = Server::start("i-1").await;
        let (_edge, mut client) = edge_with_one(&server).await;
        let (upstream, _) = served_once(&server, &mut client).await;

        // when
        drop(upstream);
        client.request("/x/", "t2", "").await;
        let (mut upstream, request) = server.accept_request().await;
        upstream.answer(&request, "two").await;
        let answer = client.read_answer().await;

        // then
        assert_eq!((answer.status(), answer.body.as_str()), (200, "two"));
    });
}

#[test]
fn given_a_connection_that_ends_with_a_request_on_it_when_that_may_not_repeat_then_it_is_sent_no_second_time()
{
    run(async {
        // given
        let (one, two) = (Server::start("i-1").await, Server::start("i-2").await);
        let edge = Edge::with(&configuration(&[route("r", "/x/", "non_idempotent")]), &[&one, &two]).await;
        let mut client = edge.connect().await;
        client.request("/x/", "t1", "").await;
        let (mut upstream, request, ..) = first_asked(&one, &two).await;
        upstream.answer(&request, "one").await;
        client.read_answer().await;

        // when
        client.request("/x/", "t2", "").await;
        let request = upstream.read_request().await;
        drop(upstream);
        let answer = client.read_answer().await;

        // then
        assert_eq!(request.header("attempt-id"), Some("t2"));
        assert_eq!((answer.status(), answer.header("retry-after")), (502, None));
        assert!(!one.has_caller().await && !two.has_caller().await);
    });
}

#[test]
fn given_a_server_that_says_that_its_connection_is_over_when_the_next_request_comes_then_it_opens_another() {
    run(async {
        // given
        let server = Server::start("i-1").await;
        let (_edge, mut client) = edge_with_one(&server).await;
        client.request("/x/", "t1", "").await;
        let (mut upstream, request) = server.accept_request().await;

        // when
        let headers = "server-stamp: st\r\nkeep-alive: timeout=0\r\ncontent-length: 3\r\n";
        upstream.head(&request, 200, headers).await;
        upstream.write("one").await;
        client.read_answer().await;
        client.request("/x/", "t2", "").await;
        let (mut other, request) = server.accept_request().await;
        other.answer(&request, "two").await;
        let answer = client.read_answer().await;

        // then
        assert_eq!(answer.body, "two");
    });
}

#[test]
fn given_a_request_when_another_instance_answers_at_the_address_then_the_one_that_was_meant_is_named() {
    run(async {
        // given
        let server = Server::start("i-1").await;
        let (_edge, mut client) = edge_with_one(&server).await;

        // when
        client.request("/x/", "t1", "").await;
        let (mut upstream, request) = server.accept_request().await;
        upstream.head(&request, 421, "instance-id: i-2\r\ncontent-length: 0\r\n").await;
        let answer = client.read_answer().await;

        // then
        assert_eq!(request.header("expected-instance"), Some("i-1"));
        assert_eq!(answer.status(), 503);
        assert!(answer.header("retry-after").is_some());
    });
}

#[test]
fn given_requests_sent_together_on_one_connection_when_answers_come_then_they_come_in_order() {
    run(async {
        // given
        let server = Server::start("i-1").await;
        let (_edge, mut client) = edge_with_one(&server).await;

        // when
        let request = |id: &str| {
            format!("POST /x/ HTTP/1.1\r\nhost: a.example\r\nattempt-id: {id}\r\ncontent-length: 0\r\n\r\n")
        };
        client.write(&format!("{}{}", request("t1"), request("t2"))).await;
        let (mut upstream, first) = server.accept_request().await;
        assert!(!server.has_caller().await);
        upstream.answer(&first, "one").await;
        let first_answer = client.read_answer().await;
        let second = upstream.read_request().await;
        upstream.answer(&second, "two").await;
        let second_answer = client.read_answer().await;

        // then
        assert_eq!((first_answer.header("attempt-id"), first_answer.body.as_str()), (Some("t1"), "one"));
        assert_eq!((second_answer.header("attempt-id"), second_answer.body.as_str()), (Some("t2"), "two"));
    });
}

#[test]
fn given_a_server_given_up_for_its_silence_when_the_other_rejects_the_request_then_there_is_no_promise() {
    run(async {
        // given
        let (one, two) = (Server::start("i-1").await, Server::start("i-2").await);
        let route =
            route("r", "/x/", "idempotent").replace(r#""targetLatencyMs":4000"#, r#""targetLatencyMs":100"#);
        let edge = Edge::with(&configuration(&[route]), &[&one, &two]).await;
        let mut client = edge.connect().await;
        client.request("/x/", "t1", "").await;
        let (mut silent, _, _, other) = first_asked(&one, &two).await;

        // when
        let (mut upstream, request) = other.accept_request().await;
        silent.closed().await;
        upstream.head(&request, 503, "not-executed: 1\r\ncontent-length: 0\r\n").await;
        let answer = client.read_answer().await;

        // then
        assert_eq!((answer.status(), answer.header("retry-after")), (502, None));
    });
}

#[test]
fn given_answers_that_break_off_when_they_are_failures_or_rejections_then_only_the_rejection_counts() {
    run(async {
        let cases = [(500, "server-stamp: st\r\n", 502), (503, "not-executed: 1\r\n", 503)];
        for (status, headers, expected) in cases {
            // given
            let server = Server::start("i-1").await;
            let routes =
                [route("r", "/x/", "non_idempotent").replace(r#""maxAttempts":2"#, r#""maxAttempts":1"#)];
            let edge = Edge::with(&configuration(&routes), &[&server]).await;
            let mut client = edge.connect().await;
            client.request("/x/", "t1", "").await;
            let (mut upstream, request) = server.accept_request().await;

            // when
            upstream.head(&request, status, &format!("{headers}content-length: 9\r\n")).await;
            upstream.write("cut").await;
            drop(upstream);
            let answer = loop {
                // It has surely not run where it was rejected, and may be sent again.
                tokio::select! {
                    answer = client.read_answer() => break answer,
                    (mut upstream, request) = server.accept_request() => {
                        assert_eq!(status, 503, "sent a second time");
                        upstream.head(&request, status, &format!("{headers}content-length: 0\r\n")).await;
                    }
                }
            };

            // then
            assert_eq!((answer.status(), answer.body.as_str()), (expected, ""));
            assert_eq!(answer.header("server-stamp"), None);
        }
    });
}

#[test]
fn given_requests_without_an_id_when_a_surplus_answer_may_come_then_each_has_a_connection_of_its_own() {
    run(async {
        // given
        const REQUEST: &str = "POST /x/ HTTP/1.1\r\nhost: a.example\r\ncontent-length: 0\r\n\r\n";
        const ANSWER: &str = "HTTP/1.1 200 OK\r\nserver-stamp: st\r\ncontent-length: 3\r\n\r\n";
        let server = Server::start("i-1").await;
        let (_edge, mut client) = edge_with_one(&server).await;

        // when
        let (mut bodies, mut upstreams) = (Vec::new(), Vec::new());
        for body in ["one", "two"] {
            client.write(REQUEST).await;
            let (mut upstream, _) = server.accept_request().await;
            upstream.write(&format!("{ANSWER}{body}")).await;
            bodies.push(client.read_answer().await.body);
            upstreams.push(upstream);
        }

        // then
        assert_eq!(bodies, ["one", "two"]);
    });
}
