//! Request deadlines: the `Deadline-Ms` header sent to servers, and the response when a deadline passes.

mod common;

use std::time::{Duration, Instant};

use common::http::Message;
use common::{configuration, first_contacted, route, run, Edge, Server};

/// The final response must arrive within this time after the route's time-out.
const MAX_RESPONSE_DELAY: Duration = Duration::from_millis(500);
const SHORT_TIMEOUT_MS: u64 = 150;

fn route_with_short_timeout(kind: &str) -> String {
    route("r", "/x/", kind).replace(r#""timeoutMs":8000"#, &format!(r#""timeoutMs":{SHORT_TIMEOUT_MS}"#))
}

fn deadline_ms(request: &Message) -> u64 {
    request.header("deadline-ms").and_then(|text| text.parse().ok()).expect("number of milliseconds")
}

#[test]
fn timeout_with_silent_server_does_not_imply_not_executed() {
    run(async {
        for kind in ["non_idempotent", "idempotent", "streaming", "resumable"] {
            // given
            let server = Server::start("i-1").await;
            let edge = Edge::start_with(&configuration(&[route_with_short_timeout(kind)]), &[&server]).await;
            let mut client = edge.connect().await;

            // when
            let sent_at = Instant::now();
            client.send_request("/x/", "t1", "").await;
            let (mut upstream, request) = server.accept_request().await;
            let response = client.read_response().await;
            let elapsed = sent_at.elapsed();

            // then
            let timeout = Duration::from_millis(SHORT_TIMEOUT_MS);
            assert_eq!((response.status(), response.header("retry-after")), (504, None), "{kind}");
            assert!(elapsed >= timeout && elapsed < timeout + MAX_RESPONSE_DELAY, "{kind}: {elapsed:?}");
            assert!(deadline_ms(&request) <= SHORT_TIMEOUT_MS, "{kind}");
            upstream.expect_closed().await;
        }
    });
}

#[test]
fn timeout_aborts_endless_stream() {
    run(async {
        // given
        let server = Server::start("i-1").await;
        let edge =
            Edge::start_with(&configuration(&[route_with_short_timeout("streaming")]), &[&server]).await;
        let mut client = edge.connect().await;
        let sent_at = Instant::now();
        client.send_request("/x/", "t1", "").await;
        let (mut upstream, request) = server.accept_request().await;

        // when
        upstream.send_stream_head(&request, "st-1").await;
        upstream.send_chunk("id: 1\ndata: a\n\n").await;
        client.read_head().await;
        client.read_chunk().await;
        let rest = client.read_to_end().await;
        let elapsed = sent_at.elapsed();

        // then
        assert_eq!(rest, "");
        assert!(elapsed < Duration::from_millis(SHORT_TIMEOUT_MS) + MAX_RESPONSE_DELAY, "{elapsed:?}");
        upstream.expect_closed().await;
    });
}

#[test]
fn timeout_without_server_implies_not_executed() {
    run(async {
        // given
        let edge = Edge::start_with(&configuration(&[route_with_short_timeout("non_idempotent")]), &[]).await;
        let mut client = edge.connect().await;

        // when
        let sent_at = Instant::now();
        client.send_request("/x/", "t1", "").await;
        let response = client.read_response().await;

        // then
        assert_eq!(response.status(), 503);
        assert!(sent_at.elapsed() < Duration::from_millis(SHORT_TIMEOUT_MS) + MAX_RESPONSE_DELAY);
    });
}

#[test]
fn deadline_header_deducts_body_reading_time() {
    run(async {
        // given
        const PAUSE: Duration = Duration::from_millis(60);
        let server = Server::start("i-1").await;
        let edge = Edge::start_with(&configuration(&[route("r", "/x/", "non_idempotent")]), &[&server]).await;
        let mut client = edge.connect().await;
        let head = "POST /x/ HTTP/1.1\r\nhost: a.example\r\nattempt-id: t1\r\ndeadline-ms: 5000\r\n\
                    content-length: 1\r\nexpect: 100-continue\r\n\r\n";

        // when
        client.write(head).await;
        // `100 Continue` shows that the edge has received the head.
        assert_eq!(client.read_head().await.status(), 100);
        tokio::time::sleep(PAUSE).await;
        client.write("b").await;
        let (_upstream, request) = server.accept_request().await;

        // then
        let remaining = Duration::from_millis(deadline_ms(&request));
        assert!(remaining <= Duration::from_millis(5000) - PAUSE, "{remaining:?}");
    });
}

#[test]
fn deadline_header_of_retry_deducts_elapsed_time() {
    run(async {
        // given
        const PAUSE: Duration = Duration::from_millis(60);
        let (one, two) = (Server::start("i-1").await, Server::start("i-2").await);
        let edge = Edge::start_with(&configuration(&[route("r", "/x/", "idempotent")]), &[&one, &two]).await;
        let mut client = edge.connect().await;
        client.send_request("/x/", "t1", "").await;
        let (upstream, first, _, other) = first_contacted(&one, &two).await;

        // when
        tokio::time::sleep(PAUSE).await;
        upstream.reset();
        let (_upstream, second) = other.accept_request().await;

        // then
        let (first, second) = (deadline_ms(&first), deadline_ms(&second));
        assert!(second + PAUSE.as_millis() as u64 <= first, "{first} then {second}");
    });
}
