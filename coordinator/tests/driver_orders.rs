//! Sending orders over loopback: the lease check before the write, the request, and the outcome.

use std::cell::Cell;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

use shaletrail_coordinator::driver::order_client::{connect_for_order, send_order, OutgoingOrder};
use shaletrail_coordinator::interface::OrderOutcome;
use shaletrail_protocol::external::{Operation, Order};
use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

mod local_runtime;

use local_runtime::run_within;

/// Timeout of a test, far longer than a successful run takes.
const TEST_TIMEOUT: Duration = Duration::from_secs(10);

/// End of the lease on the clock of the test, in milliseconds.
const LEASE_END: u64 = 500;

fn order_to(address: String) -> OutgoingOrder {
    let body = Order {
        operation: Operation::Load,
        model: "m1".to_owned(),
        adapter: None,
        if_revision: Some(2),
        lease_holder: "core-1".to_owned(),
        fencing_token: 41,
    };
    OutgoingOrder { server: "i-7f3a".to_owned(), address, body }
}

async fn listener() -> (TcpListener, String) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is bound");
    let address = listener.local_addr().expect("the address is known").to_string();
    (listener, address)
}

/// Reads a request with its body.
async fn read_request(stream: &mut TcpStream) -> String {
    let mut text = Vec::new();
    let mut buffer = [0; 1024];
    loop {
        let read = stream.read(&mut buffer).await.expect("the connection is up");
        text.extend_from_slice(&buffer[..read]);
        if read == 0 || text.ends_with(b"}") {
            return String::from_utf8(text).expect("the bytes are UTF-8");
        }
    }
}

async fn response_to_order(status: &'static str) -> (OrderOutcome, String) {
    let (listener, address) = listener().await;
    let server = tokio::task::spawn_local(async move {
        let (mut stream, _) = listener.accept().await.expect("the connection is established");
        let request = read_request(&mut stream).await;
        let response = format!("HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n");
        stream.write_all(response.as_bytes()).await.expect("the response is written");
        request
    });
    let outcome = send_order(&order_to(address), || true).await;
    (outcome, server.await.expect("the server has ended"))
}

#[test]
fn order_names_server_lease_holder_token_and_revision() {
    run_within(TEST_TIMEOUT, async {
        let (outcome, request) = response_to_order("202 Accepted").await;

        assert_eq!(outcome, OrderOutcome::Accepted);
        let head = request.to_ascii_lowercase();
        assert!(head.starts_with("post /order http/1.1\r\n"), "{request}");
        assert!(head.contains("\r\nexpected-instance: i-7f3a\r\n"), "{request}");
        assert!(head.contains("\r\nconnection: close\r\n"), "{request}");
        for field in [r#""leaseHolder":"core-1""#, r#""fencingToken":41"#, r#""ifRevision":2"#] {
            assert!(request.contains(field), "{field} in {request}");
        }
    });
}

#[test]
fn outcome_follows_from_response_status() {
    run_within(TEST_TIMEOUT, async {
        for (status, outcome) in [
            ("200 OK", OrderOutcome::AlreadyDone),
            ("409 Conflict", OrderOutcome::Busy),
            ("412 Precondition Failed", OrderOutcome::Fenced),
            ("400 Bad Request", OrderOutcome::Rejected),
            ("421 Misdirected Request", OrderOutcome::WrongInstance),
            ("500 Internal Server Error", OrderOutcome::Unknown),
            ("503 Service Unavailable", OrderOutcome::Unknown),
        ] {
            assert_eq!(response_to_order(status).await.0, outcome, "{status}");
        }
    });
}

#[test]
fn lease_that_ends_while_connecting_prevents_the_write() {
    run_within(TEST_TIMEOUT, async {
        // given: the lease is valid when the connection is requested
        let (listener, address) = listener().await;
        let clock = Rc::new(Cell::new(LEASE_END - 1));
        let now = Rc::clone(&clock);
        let outgoing = order_to(address);
        let sending = send_order(&outgoing, move || now.get() < LEASE_END);
        tokio::pin!(sending);
        let begin = std::future::poll_fn(|context| {
            assert!(sending.as_mut().poll(context).is_pending());
            std::task::Poll::Ready(())
        });
        begin.await;

        // when
        clock.set(LEASE_END);
        let (mut stream, _) = listener.accept().await.expect("the connection is established");
        let outcome = sending.await;

        // then
        assert_eq!(outcome, OrderOutcome::NotSent);
        let mut bytes = Vec::new();
        stream.read_to_end(&mut bytes).await.expect("the connection is closed");
        assert_eq!(bytes, b"");
    });
}

#[test]
fn lease_is_checked_at_the_write_only() {
    run_within(TEST_TIMEOUT, async {
        let (listener, address) = listener().await;
        let checks = Rc::new(Cell::new(0));
        let counted = Rc::clone(&checks);
        let outgoing = order_to(address);
        let sending = send_order(&outgoing, move || {
            counted.set(counted.get() + 1);
            false
        });
        assert_eq!(sending.await, OrderOutcome::NotSent);
        assert_eq!(checks.get(), 1, "the first write was denied, and no other was attempted");
        drop(listener);
    });
}

#[test]
fn order_without_response_is_unknown_and_not_retried() {
    run_within(TEST_TIMEOUT, async {
        let (listener, address) = listener().await;
        let server = tokio::task::spawn_local(async move {
            let (mut stream, _) = listener.accept().await.expect("the connection is established");
            let request = read_request(&mut stream).await;
            drop(stream);
            (listener, request)
        });

        let outcome = send_order(&order_to(address), || true).await;

        assert_eq!(outcome, OrderOutcome::Unknown);
        let (listener, request) = server.await.expect("the server has ended");
        assert!(request.contains("fencingToken"));
        let another = tokio::time::timeout(Duration::from_millis(200), listener.accept()).await;
        assert!(another.is_err(), "nothing connects again");
    });
}

#[test]
fn order_without_connection_is_not_sent() {
    run_within(TEST_TIMEOUT, async {
        let (listener, address) = listener().await;
        drop(listener);
        assert_eq!(send_order(&order_to(address), || true).await, OrderOutcome::NotSent);
        assert_eq!(send_order(&order_to("nowhere".to_owned()), || true).await, OrderOutcome::NotSent);
    });
}

#[test]
fn connection_for_order_limits_unacknowledged_time() {
    run_within(TEST_TIMEOUT, async {
        let (_listener, address) = listener().await;
        let stream = connect_for_order(&address).await.expect("the connection is established");
        let timeout = SockRef::from(&stream).tcp_user_timeout().expect("the option is read");
        assert_eq!(timeout, Some(Duration::from_millis(400)));
    });
}
