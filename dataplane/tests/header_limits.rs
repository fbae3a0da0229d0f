//! The limit on the head of a request, which the configuration may change while client connections are open.

mod common;

use common::http::{Connection, Message};
use common::{configuration_with_idle_timeout, route, run, updates_since, Edge, Server};

/// Length of a long head, in bytes: between the lower and the higher limit.
const LONG_HEAD_BYTES: usize = 6_000;
/// Longer than a test may take.
const IDLE_TIMEOUT_MS: u64 = 600_000;
const LOWER_LIMIT: usize = 4_096;
const HIGHER_LIMIT: usize = 16_384;

/// A configuration with this limit on the head of a request, in bytes.
fn with_limit(max_header_bytes: usize) -> String {
    let routes = [route("r", "/x/", "idempotent")];
    let limit = |bytes: usize| format!(r#""maxHeaderBytes":{bytes}"#);
    configuration_with_idle_timeout(&routes, IDLE_TIMEOUT_MS)
        .replace(&limit(HIGHER_LIMIT), &limit(max_header_bytes))
}

/// Makes a limit the one in force at an edge that has the configuration with another one.
async fn change_limit(edge: &Edge, from: usize, to: usize) {
    let (current, next) = (with_limit(from), with_limit(to).replace(r#""version":1"#, r#""version":2"#));
    let update = updates_since(1, &[(true, 0, current.as_str()), (true, 1, next.as_str())]);
    edge.coordinator.publish_configuration(update);
    edge.coordinator.wait_until_applied().await;
}

/// Sends a request whose head has this length exactly, and returns the response.
async fn request(client: &mut Connection, head_bytes: usize) -> Message {
    let head = |padding: &str| {
        format!("GET /x/ HTTP/1.1\r\nhost: a.example\r\nattempt-id: t\r\nx-context:{padding}\r\n\r\n")
    };
    let padding = head_bytes.saturating_sub(head("").len());
    client.write(&head(&"c".repeat(padding))).await;
    client.read_response().await
}

/// An edge with this limit, and a connection on which one short request was served.
async fn edge_with_open_connection(limit: usize) -> (Edge, Connection) {
    let server = Server::start("i-1").await;
    let edge = Edge::start_with(&with_limit(limit), &[&server]).await;
    server.echo();
    let mut client = edge.connect().await;
    assert_eq!(request(&mut client, 0).await.status(), 200);
    (edge, client)
}

/// Guards against a limit that is read once for each connection: proper requests on open connections were refused by the
/// limit of an older configuration.
#[test]
fn raised_header_limit_applies_to_open_connections() {
    run(async {
        // given
        let (edge, mut client) = edge_with_open_connection(LOWER_LIMIT).await;

        // when
        change_limit(&edge, LOWER_LIMIT, HIGHER_LIMIT).await;

        // then
        assert_eq!(request(&mut client, LONG_HEAD_BYTES).await.status(), 200);
        assert_eq!(request(&mut client, HIGHER_LIMIT).await.status(), 200);
        assert_eq!(request(&mut client, HIGHER_LIMIT + 100).await.status(), 431);
        client.expect_closed().await;
    });
}

#[test]
fn lowered_header_limit_applies_to_open_connections() {
    run(async {
        // given
        let (edge, mut client) = edge_with_open_connection(HIGHER_LIMIT).await;
        assert_eq!(request(&mut client, LONG_HEAD_BYTES).await.status(), 200);

        // when
        change_limit(&edge, HIGHER_LIMIT, LOWER_LIMIT).await;

        // then
        assert_eq!(request(&mut client, LOWER_LIMIT).await.status(), 200);
        assert_eq!(request(&mut client, LONG_HEAD_BYTES).await.status(), 431);
        client.expect_closed().await;
    });
}

#[test]
fn header_limit_of_first_configuration_applies_to_connections_opened_before() {
    for (limit, head_bytes, expected) in
        [(LOWER_LIMIT, LONG_HEAD_BYTES, 431), (2 * HIGHER_LIMIT, HIGHER_LIMIT + LONG_HEAD_BYTES, 200)]
    {
        run(async {
            // given
            let server = Server::start("i-1").await;
            let edge = Edge::start().await;
            let mut client = edge.connect().await;
            assert_eq!(request(&mut client, 0).await.status(), 503);

            // when
            edge.coordinator.publish_configuration(updates_since(0, &[(true, 0, &with_limit(limit))]));
            edge.coordinator.publish_servers(vec![server.record()]);
            edge.coordinator.wait_until_applied().await;
            server.echo();

            // then
            assert_eq!(request(&mut client, head_bytes).await.status(), expected);
        });
    }
}

/// A connection whose read buffer was sized for a much lower limit is closed between two requests.
#[test]
fn connection_with_too_small_read_buffer_is_closed_when_idle() {
    const VERY_HIGH_LIMIT: usize = 1 << 20;
    const VERY_LONG_HEAD_BYTES: usize = 300_000;
    run(async {
        // given
        let (edge, mut client) = edge_with_open_connection(HIGHER_LIMIT).await;

        // when
        change_limit(&edge, HIGHER_LIMIT, VERY_HIGH_LIMIT).await;

        // then
        client.expect_closed().await;
        let mut client = edge.connect().await;
        assert_eq!(request(&mut client, VERY_LONG_HEAD_BYTES).await.status(), 200);
    });
}
