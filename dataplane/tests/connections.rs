//! Connections of clients and to servers: reuse, time-outs and closing.

mod common;

use std::time::Duration;

use common::{configuration, route, run, Edge, Server};

#[test]
fn idle_connection_is_reused() {
    run(async {
        // given
        let server = Server::start("i-1").await;
        let edge = Edge::with(&configuration(&[route("r", "/x/", "idempotent")]), &[&server]).await;
        let mut client = edge.connect().await;
        client.request("/x/", "t1", "").await;
        let (mut upstream, request) = server.accept_request().await;
        upstream.respond(&request, "one").await;
        client.read_response().await;

        // when
        client.request("/x/", "t2", "").await;
        let request = upstream.read_request().await;
        upstream.head(&request, 200, "server-stamp: st\r\nconnection: close\r\ncontent-length: 3\r\n").await;
        upstream.write("two").await;
        let second = client.read_response().await;
        client.request("/x/", "t3", "").await;
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
        let edge = Edge::with(&configuration(&[route("r", "/x/", "idempotent")]), &[&server]).await;
        let mut client = edge.connect().await;
        client.request("/x/", "t1", "body").await;
        let (mut upstream, request) = server.accept_request().await;

        // when
        upstream.respond(&request, "").await;
        let empty = client.read_response().await;
        client.request("/x/", "t2", "body").await;
        let request = upstream.read_request().await;
        upstream.respond(&request, &"y".repeat(LONG)).await;
        let long = client.read_response().await;
        client.request("/x/", "t3", &"b".repeat(4096)).await;
        let request = upstream.read_request().await;
        upstream.head(&request, 200, "server-stamp: st\r\ntransfer-encoding: chunked\r\n").await;
        upstream.chunk("three").await;
        upstream.end_chunks().await;
        let chunked = client.read_response().await;
        client.request("/x/", "t4", "").await;
        let request = upstream.read_request().await;
        upstream.head(&request, 404, "content-length: 4\r\n").await;
        upstream.write("none").await;
        let failure = client.read_response().await;
        client.request("/x/", "t5", "").await;
        let request = upstream.read_request().await;
        upstream.stream_head(&request, "st").await;
        upstream.chunk("id: 1\n\n").await;
        upstream.end_chunks().await;
        let stream = client.read_response().await;
        client.request("/x/", "t6", "").await;
        let last = upstream.read_request().await;

        // then
        assert_eq!((empty.body.len(), long.body.len()), (0, LONG));
        assert_eq!((chunked.body.as_str(), failure.body.as_str()), ("three", "none"));
        assert_eq!(stream.body, "id: 1\n\n");
        assert_eq!(last.header("attempt-id"), Some("t6"));
        assert!(!server.is_contacted().await);
    });
}

#[test]
fn client_disconnect_closes_server_connection() {
    run(async {
        // given
        let server = Server::start("i-1").await;
        let edge = Edge::with(&configuration(&[route("r", "/x/", "idempotent")]), &[&server]).await;
        let mut client = edge.connect().await;
        client.request("/x/", "t1", "").await;
        let (mut upstream, _) = server.accept_request().await;

        // when
        drop(client);

        // then
        upstream.closed().await;
    });
}

#[test]
fn client_disconnect_drops_queued_request() {
    run(async {
        // given
        let server = Server::start("i-1").await;
        let edge = Edge::with(&configuration(&[route("r", "/x/", "idempotent")]), &[]).await;
        let (mut leaving, mut staying) = (edge.connect().await, edge.connect().await);
        leaving.request("/x/", "t1", "").await;
        staying.request("/x/", "t2", "").await;

        // when
        drop(leaving);
        // By its answer the edge has seen the end of the other connection.
        edge.readiness_status().await;
        edge.coordinator.publish_servers(vec![server.record()]);
        let (mut upstream, request) = server.accept_request().await;
        upstream.respond(&request, "two").await;
        let response = staying.read_response().await;

        // then
        assert_eq!((request.header("attempt-id"), response.body.as_str()), (Some("t2"), "two"));
        assert!(!server.is_contacted().await);
    });
}

#[test]
fn truncated_request_body_is_not_sent() {
    run(async {
        // given
        let server = Server::start("i-1").await;
        let edge = Edge::with(&configuration(&[route("r", "/x/", "idempotent")]), &[&server]).await;
        let mut client = edge.connect().await;

        // when
        let head = "POST /x/ HTTP/1.1\r\nhost: a.example\r\nattempt-id: t1\r\ncontent-length: 9\r\n\r\n";
        client.write(&format!("{head}part")).await;
        edge.readiness_status().await;
        drop(client);
        edge.readiness_status().await;

        // then
        assert!(!server.is_contacted().await);
    });
}

#[test]
fn unsolicited_response_prevents_connection_reuse() {
    run(async {
        // given
        let server = Server::start("i-1").await;
        let edge = Edge::with(&configuration(&[route("r", "/x/", "non_idempotent")]), &[&server]).await;
        let mut client = edge.connect().await;
        client.request("/x/", "t1", "").await;
        let (mut upstream, request) = server.accept_request().await;
        upstream.respond(&request, "one").await;
        client.read_response().await;

        // when
        upstream.respond(&request, "one more").await;
        upstream.closed().await;
        client.request("/x/", "t2", "").await;
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
        let edge = Edge::with(&configuration(&[route("r", "/x/", "idempotent")]), &[&one, &two]).await;
        one.echo();
        two.echo();

        // when
        let clients = (0..CLIENTS).map(|client| {
            let connection = edge.connect();
            async move {
                let mut connection = connection.await;
                for number in 0..REQUESTS {
                    let (id, body) = (format!("t{client}-{number}"), format!("body {client} {number}"));
                    connection.request(&format!("/x/{client}"), &id, &body).await;
                    let response = connection.read_response().await;

                    // then
                    assert_eq!((response.status(), response.body.as_str()), (200, body.as_str()));
                    assert_eq!(response.header("attempt-id"), Some(id.as_str()));
                }
            }
        });
        futures_join(clients).await;
    });
}

/// Runs futures concurrently, and waits until all are complete.
async fn futures_join<F: std::future::Future<Output = ()>>(futures: impl Iterator<Item = F>) {
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
        let edge = Edge::with(&common::configuration_with(&routes, 200), &[&server]).await;
        let mut busy = edge.connect().await;
        busy.request("/x/", "t1", "").await;
        let (mut upstream, request) = server.accept_request().await;
        let mut resting = edge.connect().await;

        // when
        resting.closed().await;
        upstream.respond(&request, "still there").await;
        let response = busy.read_response().await;

        // then
        assert_eq!(response.body, "still there");
    });
}

#[test]
fn pipelined_request_of_departed_client_is_not_sent() {
    run(async {
        // given: a client that sends two requests at once
        let server = Server::start("i-1").await;
        let edge = Edge::with(&configuration(&[route("r", "/x/", "non_idempotent")]), &[&server]).await;
        let mut client = edge.connect().await;
        client.pipeline("/x/", &["t1", "t2"]).await;
        let (mut upstream, first) = server.accept_request().await;
        assert_eq!(first.header("attempt-id"), Some("t1"));

        // when
        drop(client);

        // then: the first is given up long before its time is over, and the second never sent
        let closed = tokio::time::timeout(Duration::from_secs(1), upstream.closed()).await;
        assert!(closed.is_ok(), "the server works on for a client that has left");
        edge.readiness_status().await;
        assert!(!server.is_contacted().await);
    });
}

#[test]
fn request_answered_after_its_client_left_sends_no_pipelined_one() {
    run(async {
        // given
        let server = Server::start("i-1").await;
        let edge = Edge::with(&configuration(&[route("r", "/x/", "non_idempotent")]), &[&server]).await;
        let mut client = edge.connect().await;
        client.pipeline("/x/", &["t1", "t2"]).await;
        let (mut upstream, first) = server.accept_request().await;

        // when: the client leaves at the moment of the response
        drop(client);
        upstream.respond(&first, "one").await;

        // then
        assert!(upstream.next_request().await.is_none(), "a second request was sent");
        edge.readiness_status().await;
        assert!(!server.is_contacted().await);
    });
}

#[test]
fn attempt_id_used_twice_never_meets_on_one_connection() {
    run(async {
        // given
        let server = Server::start("i-1").await;
        let edge = Edge::with(&configuration(&[route("r", "/x/", "non_idempotent")]), &[&server]).await;
        let mut client = edge.connect().await;
        client.request("/x/", "t1", "").await;
        let (mut first, request) = server.accept_request().await;
        first.respond(&request, "one").await;
        client.read_response().await;

        // when: another try with the same id, and then one with its own
        client.request("/x/", "t1", "").await;
        let (mut second, request) = server.accept_request().await;
        second.respond(&request, "two").await;
        let response = client.read_response().await;
        client.request("/x/", "t2", "").await;
        let third = second.read_request().await;

        // then
        assert_eq!(response.body, "two");
        assert_eq!(third.header("attempt-id"), Some("t2"));
    });
}
