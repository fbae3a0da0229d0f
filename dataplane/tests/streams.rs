//! Event streams: forwarding, resumption on another server, truncation and stalls.

mod common;

use common::{configuration, first_contacted, route, run, Edge, Server};

const FIRST: &str = "id: 1\ndata: a\n\n";
const SECOND: &str = "versions: 2\nid: 2\ndata: b\n\n";
const THIRD: &str = "id: 3\ndata: c\n\n";

#[test]
fn event_is_forwarded_at_once() {
    run(async {
        // given
        let server = Server::start("i-1").await;
        let edge = Edge::start_with(&configuration(&[route("r", "/x/", "streaming")]), &[&server]).await;
        let mut client = edge.connect().await;
        client.send_request("/x/", "t1", "").await;
        let (mut upstream, request) = server.accept_request().await;
        upstream.send_stream_head(&request, "st-1").await;

        // when
        upstream.send_chunk(FIRST).await;
        let head = client.read_head().await;
        let first = client.read_chunk().await;
        upstream.send_chunk(SECOND).await;
        let second = client.read_chunk().await;
        upstream.send_last_chunk().await;
        let end = client.read_chunk().await;

        // then
        assert_eq!(head.status(), 200);
        assert_eq!(head.header("server-stamp"), Some("st-1"));
        assert_eq!(head.header("content-type"), Some("text/event-stream"));
        assert_eq!((first.as_deref(), second.as_deref(), end), (Some(FIRST), Some(SECOND), None));
    });
}

#[test]
fn partial_events_are_forwarded_complete() {
    run(async {
        // given
        let server = Server::start("i-1").await;
        let edge = Edge::start_with(&configuration(&[route("r", "/x/", "streaming")]), &[&server]).await;
        let mut client = edge.connect().await;
        client.send_request("/x/", "t1", "").await;
        let (mut upstream, request) = server.accept_request().await;
        upstream.send_stream_head(&request, "st-1").await;

        // when
        upstream.send_chunk(&format!("{FIRST}versions: 2\nid")).await;
        client.read_head().await;
        let first = client.read_chunk().await;
        upstream.send_chunk(": 2\ndata: b\n\n").await;
        let second = client.read_chunk().await;

        // then
        assert_eq!((first.as_deref(), second.as_deref()), (Some(FIRST), Some(SECOND)));
    });
}

#[test]
fn truncated_stream_is_resumed_in_same_response() {
    run(async {
        // given
        let (one, two) = (Server::start("i-1").await, Server::start("i-2").await);
        let edge = Edge::start_with(&configuration(&[route("r", "/x/", "resumable")]), &[&one, &two]).await;
        let mut client = edge.connect().await;
        client.send_request("/x/", "t1", "prompt").await;
        let (mut upstream, request, _, other) = first_contacted(&one, &two).await;
        upstream.send_stream_head(&request, "st-1").await;
        upstream.send_chunk(FIRST).await;
        let head = client.read_head().await;
        let first = client.read_chunk().await;

        // when
        upstream.send_chunk("id: 2\ndata: hal").await;
        drop(upstream);
        let (mut upstream, resumed) = other.accept_request().await;
        upstream.send_stream_head(&resumed, "st-2").await;
        upstream.send_chunk(&format!("{FIRST}{SECOND}")).await;
        let second = client.read_chunk().await;
        upstream.send_chunk(THIRD).await;
        upstream.send_last_chunk().await;
        let third = client.read_chunk().await;
        let end = client.read_chunk().await;

        // then
        assert_eq!(head.header("server-stamp"), Some("st-1"));
        assert_eq!(resumed.header("last-event-id"), Some("1"));
        assert_eq!(resumed.header("attempt-id"), Some("t1"));
        assert_eq!(resumed.body, "prompt");
        assert_eq!(
            (first.as_deref(), second.as_deref(), third.as_deref()),
            (Some(FIRST), Some(SECOND), Some(THIRD))
        );
        assert_eq!(end, None);
    });
}

#[test]
fn truncated_non_resumable_stream_does_not_look_complete() {
    run(async {
        // given
        let (one, two) = (Server::start("i-1").await, Server::start("i-2").await);
        let edge = Edge::start_with(&configuration(&[route("r", "/x/", "streaming")]), &[&one, &two]).await;
        let mut client = edge.connect().await;
        client.send_request("/x/", "t1", "prompt").await;
        let (mut upstream, request, ..) = first_contacted(&one, &two).await;
        upstream.send_stream_head(&request, "st-1").await;
        upstream.send_chunk(FIRST).await;
        client.read_head().await;
        client.read_chunk().await;

        // when
        upstream.send_chunk("id: 2\ndata: hal").await;
        drop(upstream);
        let rest = client.read_to_end().await;

        // then
        assert_eq!(rest, "");
        assert!(!one.has_unaccepted_connection().await && !two.has_unaccepted_connection().await);
    });
}

#[test]
fn stream_failed_before_first_event_is_retried() {
    run(async {
        // given
        let (one, two) = (Server::start("i-1").await, Server::start("i-2").await);
        let edge = Edge::start_with(&configuration(&[route("r", "/x/", "resumable")]), &[&one, &two]).await;
        let mut client = edge.connect().await;
        client.send_request("/x/", "t1", "").await;
        let (mut upstream, request, _, other) = first_contacted(&one, &two).await;
        upstream.send_stream_head(&request, "st-1").await;

        // when
        drop(upstream);
        let (mut upstream, request) = other.accept_request().await;
        upstream.send_stream_head(&request, "st-2").await;
        upstream.send_chunk(FIRST).await;
        upstream.send_last_chunk().await;
        let response = client.read_response().await;

        // then
        assert_eq!(request.header("last-event-id"), None);
        assert_eq!(response.header("server-stamp"), Some("st-2"));
        assert_eq!(response.body, FIRST);
    });
}

#[test]
fn last_event_id_of_client_is_forwarded() {
    run(async {
        // given
        let server = Server::start("i-1").await;
        let edge = Edge::start_with(&configuration(&[route("r", "/x/", "resumable")]), &[&server]).await;
        let mut client = edge.connect().await;

        // when
        client
            .write("POST /x/ HTTP/1.1\r\nhost: a.example\r\nattempt-id: t1\r\nlast-event-id: 2\r\ncontent-length: 0\r\n\r\n")
            .await;
        let (mut upstream, request) = server.accept_request().await;
        upstream.send_stream_head(&request, "st-1").await;
        upstream.send_chunk(THIRD).await;
        upstream.send_last_chunk().await;
        let response = client.read_response().await;

        // then
        assert_eq!(request.header("last-event-id"), Some("2"));
        assert_eq!(response.body, THIRD);
    });
}

#[test]
fn client_disconnect_closes_server_stream() {
    run(async {
        // given
        let server = Server::start("i-1").await;
        let edge = Edge::start_with(&configuration(&[route("r", "/x/", "streaming")]), &[&server]).await;
        let mut client = edge.connect().await;
        client.send_request("/x/", "t1", "").await;
        let (mut upstream, request) = server.accept_request().await;
        upstream.send_stream_head(&request, "st-1").await;
        upstream.send_chunk(FIRST).await;
        client.read_head().await;
        client.read_chunk().await;

        // when
        drop(client);

        // then
        upstream.expect_closed().await;
    });
}

#[test]
fn stalled_stream_is_resumed_on_another_server() {
    run(async {
        // given
        let (one, two) = (Server::start("i-1").await, Server::start("i-2").await);
        let route = route("r", "/x/", "resumable").replace(r#""gap_aim_ms":2000"#, r#""gap_aim_ms":100"#);
        let edge = Edge::start_with(&configuration(&[route]), &[&one, &two]).await;
        let mut client = edge.connect().await;
        client.send_request("/x/", "t1", "").await;
        let (mut silent, request, _, other) = first_contacted(&one, &two).await;
        silent.send_stream_head(&request, "st-1").await;
        silent.send_chunk(FIRST).await;
        client.read_head().await;
        client.read_chunk().await;

        // when
        let (mut upstream, resumed) = other.accept_request().await;
        upstream.send_stream_head(&resumed, "st-2").await;
        upstream.send_chunk(SECOND).await;
        upstream.send_last_chunk().await;
        let rest = (client.read_chunk().await, client.read_chunk().await);

        // then
        assert_eq!(resumed.header("last-event-id"), Some("1"));
        assert_eq!(rest, (Some(SECOND.to_owned()), None));
        silent.expect_closed().await;
    });
}
