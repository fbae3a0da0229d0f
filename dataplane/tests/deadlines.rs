//! The time that requests have: what servers are told of it, and what comes when it is over.

mod common;

use std::time::{Duration, Instant};

use common::http::Message;
use common::{configuration, first_asked, route, run, Edge, Server};

/// A final answer comes this long after a route's time at the latest.
const LATEST: Duration = Duration::from_millis(500);
/// The time of a short route, in milliseconds.
const SHORT_MS: u64 = 150;

fn short_route(kind: &str) -> String {
    route("r", "/x/", kind).replace(r#""timeoutMs":8000"#, &format!(r#""timeoutMs":{SHORT_MS}"#))
}

fn deadline_ms(request: &Message) -> u64 {
    request.header("deadline-ms").and_then(|text| text.parse().ok()).expect("a number")
}

#[test]
fn given_a_server_that_says_nothing_when_the_routes_time_is_over_then_the_answer_promises_nothing() {
    run(async {
        for kind in ["non_idempotent", "idempotent", "streaming", "resumable"] {
            // given
            let server = Server::start("i-1").await;
            let edge = Edge::with(&configuration(&[short_route(kind)]), &[&server]).await;
            let mut client = edge.connect().await;

            // when
            let sent_at = Instant::now();
            client.request("/x/", "t1", "").await;
            let (mut upstream, request) = server.accept_request().await;
            let answer = client.read_answer().await;
            let taken = sent_at.elapsed();

            // then
            let time = Duration::from_millis(SHORT_MS);
            assert_eq!((answer.status(), answer.header("retry-after")), (504, None), "{kind}");
            assert!(taken >= time && taken < time + LATEST, "{kind}: {taken:?}");
            assert!(deadline_ms(&request) <= SHORT_MS, "{kind}");
            upstream.closed().await;
        }
    });
}

#[test]
fn given_a_stream_without_end_when_the_routes_time_is_over_then_it_is_broken_off_and_the_server_called_off() {
    run(async {
        // given
        let server = Server::start("i-1").await;
        let edge = Edge::with(&configuration(&[short_route("streaming")]), &[&server]).await;
        let mut client = edge.connect().await;
        let sent_at = Instant::now();
        client.request("/x/", "t1", "").await;
        let (mut upstream, request) = server.accept_request().await;

        // when
        upstream.stream_head(&request, "st-1").await;
        upstream.chunk("id: 1\ndata: a\n\n").await;
        client.read_head().await;
        client.read_chunk().await;
        let rest = client.read_rest().await;
        let taken = sent_at.elapsed();

        // then
        assert_eq!(rest, "");
        assert!(taken < Duration::from_millis(SHORT_MS) + LATEST, "{taken:?}");
        upstream.closed().await;
    });
}

#[test]
fn given_no_server_when_the_time_is_over_then_the_answer_promises_that_it_has_not_run() {
    run(async {
        // given
        let edge = Edge::with(&configuration(&[short_route("non_idempotent")]), &[]).await;
        let mut client = edge.connect().await;

        // when
        let sent_at = Instant::now();
        client.request("/x/", "t1", "").await;
        let answer = client.read_answer().await;

        // then
        assert_eq!(answer.status(), 503);
        assert!(sent_at.elapsed() < Duration::from_millis(SHORT_MS) + LATEST);
    });
}

#[test]
fn given_a_body_that_comes_slowly_when_the_request_is_sent_on_then_the_server_is_told_what_is_left() {
    run(async {
        // given
        const PAUSE: Duration = Duration::from_millis(60);
        let server = Server::start("i-1").await;
        let edge = Edge::with(&configuration(&[route("r", "/x/", "non_idempotent")]), &[&server]).await;
        let mut client = edge.connect().await;
        let head = "POST /x/ HTTP/1.1\r\nhost: a.example\r\nattempt-id: t1\r\ndeadline-ms: 5000\r\n\
                    content-length: 1\r\nexpect: 100-continue\r\n\r\n";

        // when
        client.write(head).await;
        // The edge has the head.
        assert_eq!(client.read_head().await.status(), 100);
        tokio::time::sleep(PAUSE).await;
        client.write("b").await;
        let (_upstream, request) = server.accept_request().await;

        // then
        let left = Duration::from_millis(deadline_ms(&request));
        assert!(left <= Duration::from_millis(5000) - PAUSE, "{left:?}");
    });
}

#[test]
fn given_a_request_that_is_sent_again_when_time_has_passed_then_the_second_server_is_told_what_is_left() {
    run(async {
        // given
        const PAUSE: Duration = Duration::from_millis(60);
        let (one, two) = (Server::start("i-1").await, Server::start("i-2").await);
        let edge = Edge::with(&configuration(&[route("r", "/x/", "idempotent")]), &[&one, &two]).await;
        let mut client = edge.connect().await;
        client.request("/x/", "t1", "").await;
        let (upstream, first, _, other) = first_asked(&one, &two).await;

        // when
        tokio::time::sleep(PAUSE).await;
        upstream.reset();
        let (_upstream, second) = other.accept_request().await;

        // then
        let (first, second) = (deadline_ms(&first), deadline_ms(&second));
        assert!(second + PAUSE.as_millis() as u64 <= first, "{first} then {second}");
    });
}
