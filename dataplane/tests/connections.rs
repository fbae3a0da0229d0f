//! Client and server connections: reuse, time-outs and closing.

mod common;

use std::time::Duration;

use common::{configuration, route, run, Edge, Server};

#[test]
fn idle_connection_is_reused() {
    run(async {
        // given
        let server = Server::start("i-1").await;
        let edge = Edge::start_with(&configuration(&[route("r", "/x/", "idempotent")]), &[&server]).await;
        let mut client = edge.connect().await;
        client.send_request("/x/", "t1", "").await;
        let (mut upstream, request) = server.accept_request().await;
        upstream.respond(&request, "one").await;
        client.read_response().await;

        // when
        client.send_request("/x/", "t2", "").await;
        let request = upstream.read_request().await;
        upstream
            .send_head(&request, 200, "server-stamp: st\r\nconnection: close\r\ncontent-length: 3\r\n")
            .await;
        upstream.write("two").await;
        let second = client.read_response().await;
        client.send_request("/x/", "t3", "").await;
        let (mut third_upstream, request) = server.accept_request().await;
        third_upstream.respond(&request, "three").await;
        let third = client.read_response().await;

        // then
        assert_eq!((second.body.as_str(), third.body.as_str()), ("two", "three"));
        assert_eq!(second.header("connection"), None);
    });
}

#[test]
fn connection_is_reused_after_any_complete_response() {
    const LONG: usize = 300_000;
    run(async {
        // given
        let server = Server::start("i-1").await;
        let edge = Edge::start_with(&configuration(&[route("r", "/x/", "idempotent")]), &[&server]).await;
        let mut client = edge.connect().await;
        client.send_request("/x/", "t1", "body").await;
        let (mut upstream, request) = server.accept_request().await;

        // when
        upstream.respond(&request, "").await;
        let empty = client.read_response().await;
        client.send_request("/x/", "t2", "body").await;
        let request = upstream.read_request().await;
        upstream.respond(&request, &"y".repeat(LONG)).await;
        let long = client.read_response().await;
        client.send_request("/x/", "t3", &"b".repeat(4096)).await;
        let request = upstream.read_request().await;
        upstream.send_head(&request, 200, "server-stamp: st\r\ntransfer-encoding: chunked\r\n").await;
        upstream.send_chunk("three").await;
        upstream.send_last_chunk().await;
        let chunked = client.read_response().await;
        client.send_request("/x/", "t4", "").await;
        let request = upstream.read_request().await;
        upstream.send_head(&request, 404, "content-length: 4\r\n").await;
        upstream.write("none").await;
        let failure = client.read_response().await;
        client.send_request("/x/", "t5", "").await;
        let request = upstream.read_request().await;
        upstream.send_stream_head(&request, "st").await;
        upstream.send_chunk("id: 1\n\n").await;
        upstream.send_last_chunk().await;
        let stream = client.read_response().await;
        client.send_request("/x/", "t6", "").await;
        let last = upstream.read_request().await;

        // then
        assert_eq!((empty.body.len(), long.body.len()), (0, LONG));
        assert_eq!((chunked.body.as_str(), failure.body.as_str()), ("three", "none"));
        assert_eq!(stream.body, "id: 1\n\n");
        assert_eq!(last.header("attempt-id"), Some("t6"));
        assert!(!server.has_unaccepted_connection().await);
    });
}

#[test]
fn client_disconnect_closes_server_connection() {
    run(async {
        // given
        let server = Server::start("i-1").await;
        let edge = Edge::start_with(&configuration(&[route("r", "/x/", "idempotent")]), &[&server]).await;
        let mut client = edge.connect().await;
        client.send_request("/x/", "t1", "").await;
        let (mut upstream, _) = server.accept_request().await;

        // when
        drop(client);

        // then
        upstream.expect_closed().await;
    });
}

#[test]
fn client_disconnect_drops_queued_request() {
    run(async {
        // given
        let server = Server::start("i-1").await;
        let edge = Edge::start_with(&configuration(&[route("r", "/x/", "idempotent")]), &[]).await;
        let (mut leaving, mut staying) = (edge.connect().await, edge.connect().await);
        leaving.send_request("/x/", "t1", "").await;
        staying.send_request("/x/", "t2", "").await;

        // when
        drop(leaving);
        // Once it has answered this check, the edge has noticed that the client disconnected.
        edge.readiness_status().await;
        edge.coordinator.publish_servers(vec![server.record()]);
        let (mut upstream, request) = server.accept_request().await;
        upstream.respond(&request, "two").await;
        let response = staying.read_response().await;

        // then
        assert_eq!((request.header("attempt-id"), response.body.as_str()), (Some("t2"), "two"));
        assert!(!server.has_unaccepted_connection().await);
    });
}

#[test]
fn truncated_request_body_is_not_sent() {
    run(async {
        // given
        let server = Server::start("i-1").await;
        let edge = Edge::start_with(&configuration(&[route("r", "/x/", "idempotent")]), &[&server]).await;
        let mut client = edge.connect().await;

        // when
        let head = "POST /x/ HTTP/1.1\r\nhost: a.example\r\nattempt-id: t1\r\ncontent-length: 9\r\n\r\n";
        client.write(&format!("{head}part")).await;
        edge.readiness_status().await;
        drop(client);
        edge.readiness_status().await;

        // then
        assert!(!server.has_unaccepted_connection().await);
    });
}

#[test]
fn unsolicited_response_prevents_connection_reuse() {
    run(async {
        // given
        let server = Server::start("i-1").await;
        let edge = Edge::start_with(&configuration(&[route("r", "/x/", "non_idempotent")]), &[&server]).await;
        let mut client = edge.connect().await;
        client.send_request("/x/", "t1", "").await;
        let (mut upstream, request) = server.accept_request().await;
        upstream.respond(&request, "one").await;
        client.read_response().await;

        // when
        upstream.respond(&request, "one more").await;
        upstream.expect_closed().await;
        client.send_request("/x/", "t2", "").await;
        let (mut upstream, request) = server.accept_request().await;
        upstream.respond(&request, "two").await;
        let response = client.read_response().await;

        // then
        assert_eq!(request.header("attempt-id"), Some("t2"));
        assert_eq!((response.status(), response.body.as_str()), (200, "two"));
    });
}

#[test]
fn concurrent_clients_get_their_own_responses() {
    const CLIENTS: usize = 40;
    const REQUESTS: usize = 10;
    run(async {
        // given
        let (one, two) = (Server::start("i-1").await, Server::start("i-2").await);
        let edge = Edge::start_with(&configuration(&[route("r", "/x/", "idempotent")]), &[&one, &two]).await;
        one.echo();
        two.echo();

        // when
        let clients = (0..CLIENTS).map(|client| {
            let connection = edge.connect();
            async move {
                let mut connection = connection.await;
                for number in 0..REQUESTS {
                    let (id, body) = (format!("t{client}-{number}"), format!("body {client} {number}"));
                    connection.send_request(&format!("/x/{client}"), &id, &body).await;
                    let response = connection.read_response().await;

                    // then
                    assert_eq!((response.status(), response.body.as_str()), (200, body.as_str()));
                    assert_eq!(response.header("attempt-id"), Some(id.as_str()));
                }
            }
        });
        join_all(clients).await;
    });
}

/// Runs futures concurrently, and waits until all are complete.
async fn join_all<F: std::future::Future<Output = ()>>(futures: impl Iterator<Item = F>) {
    let mut open: Vec<_> = futures.map(Box::pin).collect();
    std::future::poll_fn(|context| {
        open.retain_mut(|future| future.as_mut().poll(context).is_pending());
        if open.is_empty() {
            std::task::Poll::Ready(())
        } else {
            std::task::Poll::Pending
        }
    })
    .await;
}

#[test]
fn only_idle_client_connections_time_out() {
    run(async {
        // given
        let server = Server::start("i-1").await;
        let routes = [route("r", "/x/", "idempotent")];
        let edge = Edge::start_with(&common::configuration_with_idle_timeout(&routes, 200), &[&server]).await;
        let mut busy = edge.connect().await;
        busy.send_request("/x/", "t1", "").await;
        let (mut upstream, request) = server.accept_request().await;
        let mut idle = edge.connect().await;

        // when
        idle.expect_closed().await;
        upstream.respond(&request, "still there").await;
        let response = busy.read_response().await;

        // then
        assert_eq!(response.body, "still there");
    });
}

#[test]
fn pipelined_request_of_disconnected_client_is_not_sent() {
    run(async {
        // given: a client that pipelines two requests
        let server = Server::start("i-1").await;
        let edge = Edge::start_with(&configuration(&[route("r", "/x/", "non_idempotent")]), &[&server]).await;
        let mut client = edge.connect().await;
        client.send_pipelined("/x/", &["t1", "t2"]).await;
        let (mut upstream, first) = server.accept_request().await;
        assert_eq!(first.header("attempt-id"), Some("t1"));

        // when
        drop(client);

        // then: the first request is cancelled long before its deadline, and the second is never sent
        let closed = tokio::time::timeout(Duration::from_secs(1), upstream.expect_closed()).await;
        assert!(closed.is_ok(), "server connection still open after the client disconnected");
        edge.readiness_status().await;
        assert!(!server.has_unaccepted_connection().await);
    });
}

#[test]
fn response_after_client_disconnect_is_not_followed_by_pipelined_request() {
    run(async {
        // given
        let server = Server::start("i-1").await;
        let edge = Edge::start_with(&configuration(&[route("r", "/x/", "non_idempotent")]), &[&server]).await;
        let mut client = edge.connect().await;
        client.send_pipelined("/x/", &["t1", "t2"]).await;
        let (mut upstream, first) = server.accept_request().await;

        // when: the client disconnects just before the response arrives
        drop(client);
        upstream.respond(&first, "one").await;

        // then
        assert!(upstream.next_request().await.is_none(), "a second request was sent");
        edge.readiness_status().await;
        assert!(!server.has_unaccepted_connection().await);
    });
}

#[test]
fn request_with_repeated_attempt_id_uses_another_connection() {
    run(async {
        // given
        let server = Server::start("i-1").await;
        let edge = Edge::start_with(&configuration(&[route("r", "/x/", "non_idempotent")]), &[&server]).await;
        let mut client = edge.connect().await;
        client.send_request("/x/", "t1", "").await;
        let (mut first, request) = server.accept_request().await;
        first.respond(&request, "one").await;
        client.read_response().await;

        // when: a second request with the same id, and then a third with another id
        client.send_request("/x/", "t1", "").await;
        let (mut second, request) = server.accept_request().await;
        second.respond(&request, "two").await;
        let response = client.read_response().await;
        client.send_request("/x/", "t2", "").await;
        let third = second.read_request().await;

        // then
        assert_eq!(response.body, "two");
        assert_eq!(third.header("attempt-id"), Some("t2"));
    });
}
