//! Connections of clients and to servers: kept, used again, closed.

mod common;

use common::{configuration, route, run, Edge, Server};

#[test]
fn given_a_connection_that_has_served_when_the_next_request_comes_then_it_is_used_again() {
    run(async {
        // given
        let server = Server::start("i-1").await;
        let edge = Edge::with(&configuration(&[route("r", "/x/", "idempotent")]), &[&server]).await;
        let mut client = edge.connect().await;
        client.request("/x/", "t1", "").await;
        let (mut upstream, request) = server.accept_request().await;
        upstream.answer(&request, "one").await;
        client.read_answer().await;

        // when
        client.request("/x/", "t2", "").await;
        let request = upstream.read_request().await;
        upstream.head(&request, 200, "server-stamp: st\r\nconnection: close\r\ncontent-length: 3\r\n").await;
        upstream.write("two").await;
        let second = client.read_answer().await;
        client.request("/x/", "t3", "").await;
        let (mut third_upstream, request) = server.accept_request().await;
        third_upstream.answer(&request, "three").await;
        let third = client.read_answer().await;

        // then
        assert_eq!((second.body.as_str(), third.body.as_str()), ("two", "three"));
        assert_eq!(second.header("connection"), None);
    });
}

#[test]
fn given_whole_answers_of_all_shapes_when_the_next_request_comes_then_the_connection_is_used_again() {
    const LONG: usize = 300_000;
    run(async {
        // given
        let server = Server::start("i-1").await;
        let edge = Edge::with(&configuration(&[route("r", "/x/", "idempotent")]), &[&server]).await;
        let mut client = edge.connect().await;
        client.request("/x/", "t1", "body").await;
        let (mut upstream, request) = server.accept_request().await;

        // when
        upstream.answer(&request, "").await;
        let empty = client.read_answer().await;
        client.request("/x/", "t2", "body").await;
        let request = upstream.read_request().await;
        upstream.answer(&request, &"y".repeat(LONG)).await;
        let long = client.read_answer().await;
        client.request("/x/", "t3", &"b".repeat(4096)).await;
        let request = upstream.read_request().await;
        upstream.head(&request, 200, "server-stamp: st\r\ntransfer-encoding: chunked\r\n").await;
        upstream.chunk("three").await;
        upstream.end_chunks().await;
        let chunked = client.read_answer().await;
        client.request("/x/", "t4", "").await;
        let request = upstream.read_request().await;
        upstream.head(&request, 404, "content-length: 4\r\n").await;
        upstream.write("none").await;
        let failure = client.read_answer().await;
        client.request("/x/", "t5", "").await;
        let request = upstream.read_request().await;
        upstream.stream_head(&request, "st").await;
        upstream.chunk("id: 1\n\n").await;
        upstream.end_chunks().await;
        let stream = client.read_answer().await;
        client.request("/x/", "t6", "").await;
        let last = upstream.read_request().await;

        // then
        assert_eq!((empty.body.len(), long.body.len()), (0, LONG));
        assert_eq!((chunked.body.as_str(), failure.body.as_str()), ("three", "none"));
        assert_eq!(stream.body, "id: 1\n\n");
        assert_eq!(last.header("attempt-id"), Some("t6"));
        assert!(!server.has_caller().await);
    });
}

#[test]
fn given_a_request_under_way_when_the_client_leaves_then_the_servers_connection_is_closed() {
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
fn given_a_request_that_waits_for_a_server_when_its_client_leaves_then_the_server_that_comes_does_not_get_it()
{
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
        upstream.answer(&request, "two").await;
        let answer = staying.read_answer().await;

        // then
        assert_eq!((request.header("attempt-id"), answer.body.as_str()), (Some("t2"), "two"));
        assert!(!server.has_caller().await);
    });
}

#[test]
fn given_a_request_whose_body_breaks_off_when_its_client_leaves_then_no_server_gets_it() {
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
        assert!(!server.has_caller().await);
    });
}

#[test]
fn given_a_second_answer_nobody_asked_for_when_it_comes_late_then_its_connection_is_not_used_again() {
    run(async {
        // given
        let server = Server::start("i-1").await;
        let edge = Edge::with(&configuration(&[route("r", "/x/", "non_idempotent")]), &[&server]).await;
        let mut client = edge.connect().await;
        client.request("/x/", "t1", "").await;
        let (mut upstream, request) = server.accept_request().await;
        upstream.answer(&request, "one").await;
        client.read_answer().await;

        // when
        upstream.answer(&request, "one more").await;
        upstream.closed().await;
        client.request("/x/", "t2", "").await;
        let (mut upstream, request) = server.accept_request().await;
        upstream.answer(&request, "two").await;
        let answer = client.read_answer().await;

        // then
        assert_eq!(request.header("attempt-id"), Some("t2"));
        assert_eq!((answer.status(), answer.body.as_str()), (200, "two"));
    });
}

#[test]
fn given_many_clients_when_they_ask_at_once_then_each_gets_its_own_answers() {
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
                    let answer = connection.read_answer().await;

                    // then
                    assert_eq!((answer.status(), answer.body.as_str()), (200, body.as_str()));
                    assert_eq!(answer.header("attempt-id"), Some(id.as_str()));
                }
            }
        });
        futures_join(clients).await;
    });
}

/// Waits for all of them, each polled in a task's place.
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
fn given_a_connection_that_rests_when_it_rests_too_long_then_it_is_closed_but_no_busy_one_is() {
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
        upstream.answer(&request, "still there").await;
        let answer = busy.read_answer().await;

        // then
        assert_eq!(answer.body, "still there");
    });
}
