//! Orders over loopback: when they are written, what they carry, what becomes of the answer.

use std::cell::Cell;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

use shaletrail_coordinator::driver::orders::{connect_for_order, deliver, Outgoing};
use shaletrail_coordinator::interface::OrderOutcome;
use shaletrail_protocol::external::{Operation, Order};
use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// The end of the lease, on the clock that a test sets.
const LEASE_END: u64 = 500;

fn order_to(address: String) -> Outgoing {
    let body = Order {
        operation: Operation::Load,
        model: "m1".to_owned(),
        adapter: None,
        if_revision: Some(2),
        lease_holder: "core-1".to_owned(),
        fencing_token: 41,
    };
    Outgoing { server: "i-7f3a".to_owned(), address, body }
}

async fn listener() -> (TcpListener, String) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address").to_string();
    (listener, address)
}

/// Runs a test on a thread of its own loop, as the process does.
fn on_one_thread(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let bounded = async { tokio::time::timeout(Duration::from_secs(10), test).await };
    tokio::task::LocalSet::new().block_on(&runtime, bounded).expect("the test ends in time");
}

/// Reads a request with its body.
async fn read_request(stream: &mut TcpStream) -> String {
    let mut text = Vec::new();
    let mut buffer = [0; 1024];
    loop {
        let read = stream.read(&mut buffer).await.expect("the connection is up");
        text.extend_from_slice(&buffer[..read]);
        if read == 0 || text.ends_with(b"}") {
            return String::from_utf8(text).expect("text");
        }
    }
}

async fn answered(status: &'static str) -> (OrderOutcome, String) {
    let (listener, address) = listener().await;
    let server = tokio::task::spawn_local(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let request = read_request(&mut stream).await;
        let answer = format!("HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n");
        stream.write_all(answer.as_bytes()).await.expect("the answer is written");
        request
    });
    let outcome = deliver(&order_to(address), || true).await;
    (outcome, server.await.expect("the server has ended"))
}

#[test]
fn given_a_lease_that_holds_when_an_order_is_sent_then_it_names_server_holder_fence_and_revision() {
    on_one_thread(async {
        let (outcome, request) = answered("202 Accepted").await;

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
fn given_a_server_s_status_when_it_answers_then_the_outcome_says_what_is_known() {
    on_one_thread(async {
        for (status, outcome) in [
            ("200 OK", OrderOutcome::AlreadyDone),
            ("409 Conflict", OrderOutcome::Busy),
            ("412 Precondition Failed", OrderOutcome::Fenced),
            ("400 Bad Request", OrderOutcome::Rejected),
            ("421 Misdirected Request", OrderOutcome::WrongInstance),
            ("500 Internal Server Error", OrderOutcome::Unknown),
            ("503 Service Unavailable", OrderOutcome::Unknown),
        ] {
            assert_eq!(answered(status).await.0, outcome, "{status}");
        }
    });
}

#[test]
fn given_a_lease_that_ends_while_the_connection_comes_up_when_it_is_up_then_not_a_byte_is_written() {
    on_one_thread(async {
        // given: the lease holds when the connection is asked for
        let (listener, address) = listener().await;
        let clock = Rc::new(Cell::new(LEASE_END - 1));
        let asked = Rc::clone(&clock);
        let outgoing = order_to(address);
        let delivering = deliver(&outgoing, move || asked.get() < LEASE_END);
        tokio::pin!(delivering);
        let begun = std::future::poll_fn(|context| {
            assert!(delivering.as_mut().poll(context).is_pending());
            std::task::Poll::Ready(())
        });
        begun.await;

        // when
        clock.set(LEASE_END);
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let outcome = delivering.await;

        // then
        assert_eq!(outcome, OrderOutcome::NotSent);
        let mut bytes = Vec::new();
        stream.read_to_end(&mut bytes).await.expect("the connection is closed");
        assert_eq!(bytes, b"");
    });
}

#[test]
fn given_an_order_when_it_is_sent_then_the_lease_is_asked_for_at_the_write_and_not_before() {
    on_one_thread(async {
        let (listener, address) = listener().await;
        let asked = Rc::new(Cell::new(0));
        let counted = Rc::clone(&asked);
        let outgoing = order_to(address);
        let delivering = deliver(&outgoing, move || {
            counted.set(counted.get() + 1);
            false
        });
        assert_eq!(delivering.await, OrderOutcome::NotSent);
        assert_eq!(asked.get(), 1, "each write asks, and the first was refused");
        drop(listener);
    });
}

#[test]
fn given_a_server_that_takes_an_order_and_closes_without_an_answer_then_it_is_unknown_and_not_sent_again() {
    on_one_thread(async {
        let (listener, address) = listener().await;
        let server = tokio::task::spawn_local(async move {
            let (mut stream, _) = listener.accept().await.expect("a connection");
            let request = read_request(&mut stream).await;
            drop(stream);
            (listener, request)
        });

        let outcome = deliver(&order_to(address), || true).await;

        assert_eq!(outcome, OrderOutcome::Unknown);
        let (listener, request) = server.await.expect("the server has ended");
        assert!(request.contains("fencingToken"));
        let another = tokio::time::timeout(Duration::from_millis(200), listener.accept()).await;
        assert!(another.is_err(), "nothing connects again");
    });
}

#[test]
fn given_nobody_at_the_address_when_an_order_is_sent_then_it_was_surely_not() {
    on_one_thread(async {
        let (listener, address) = listener().await;
        drop(listener);
        assert_eq!(deliver(&order_to(address), || true).await, OrderOutcome::NotSent);
        assert_eq!(deliver(&order_to("nowhere".to_owned()), || true).await, OrderOutcome::NotSent);
    });
}

#[test]
fn given_a_connection_for_an_order_when_it_is_up_then_the_system_gives_its_bytes_up_within_the_margin_of_a_turn(
) {
    on_one_thread(async {
        let (_listener, address) = listener().await;
        let stream = connect_for_order(&address).await.expect("a connection");
        let given_up = SockRef::from(&stream).tcp_user_timeout().expect("the option is read");
        assert_eq!(given_up, Some(Duration::from_millis(400)));
    });
}
