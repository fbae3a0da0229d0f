//! Races between two events on real sockets: a server or the test holds one event back until the other has
//! been observed.

mod common;

use std::io::Read;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

use common::*;
use serde_json::json;
use socket2::{Domain, Socket, Type};

/// A server whose accept backlog is full, so that further connects wait until it is emptied.
struct FullBacklog {
    listener: TcpListener,
    fillers: Vec<TcpStream>,
}

impl FullBacklog {
    fn start() -> FullBacklog {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).expect("a free port");
        socket.listen(0).unwrap();
        let listener = TcpListener::from(socket);
        let addr = listener.local_addr().unwrap();
        let more = || TcpStream::connect_timeout(&addr, Duration::from_millis(300)).ok();
        let fillers = std::iter::from_fn(more).take(64).collect::<Vec<_>>();
        assert!(fillers.len() < 64, "the backlog never filled up");
        FullBacklog { listener, fillers }
    }

    fn addr(&self) -> SocketAddr {
        self.listener.local_addr().unwrap()
    }

    /// Accepts the first connection that is not one of the fillers.
    fn accept(&self) -> TcpStream {
        let own: Vec<_> = self.fillers.iter().map(|stream| stream.local_addr().unwrap()).collect();
        loop {
            let (stream, from) = self.listener.accept().unwrap();
            if !own.contains(&from) {
                stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
                return stream;
            }
        }
    }
}

fn wait_for_in_flight(node: &Node, requests: u64) {
    let inflight =
        || serde_json::from_str::<serde_json::Value>(&node.operator_call("GET", "/-/metrics").body).unwrap();
    wait_until("the expected number of requests in flight", || {
        (inflight()["inflight"] == requests).then_some(())
    });
}

/// Guards against sending an attempt whose request has ended while the attempt waited for its connection.
/// The settings forbid the cancellation of attempts here.
#[test]
fn a_request_whose_client_disconnects_during_the_connect_is_not_sent_without_cancellation() {
    let server = FullBacklog::start();
    let discovery = Discovery::start();
    let mut config = config(discovery.server.addr, &[entry("s-1", server.addr(), "active")]);
    config["settings"]["limits"]["cancel"] = json!(false);
    config["settings"]["limits"]["dial-timeout-s"] = json!(60.0);
    config["ops"] = json!("127.0.0.1:0");
    let node = Node::start(&config);
    let mut client = node.client();
    client.send("GET", "/read/a", "X-Deadline-Ms: 100000\r\n", "");
    wait_for_in_flight(&node, 1);
    drop(client);
    wait_for_in_flight(&node, 0);
    let mut seen = String::new();
    server.accept().read_to_string(&mut seen).expect("the node closes it");
    assert_eq!(seen, "");
}

/// The request, pipelined data and the disconnect arrive at once, as on a node that was held up.
#[test]
fn a_request_whose_client_disconnected_before_it_was_read_is_not_sent() {
    let pipelined = "GET /read/behind HTTP/1.1\r\nHost: a\r\nX-Request-Id: 1\r\n\r\n";
    for pipelined in ["", pipelined, &pipelined.repeat(1000)] {
        let cache = Server::start(|_| hit("value"));
        let discovery = Discovery::start();
        let node = Node::start(&config(discovery.server.addr, &[entry("s-1", cache.addr, "active")]));
        let mut disconnecting = idle_clients(&node, 10);
        while cache.requests.try_recv().is_ok() {}
        node.while_stopped(|| {
            for client in &mut disconnecting {
                client.send("GET", "/read/gone", "X-Deadline-Ms: 20000\r\n", "");
                client.write(pipelined);
            }
            drop(disconnecting);
            wait_until_queued(&node, CLOSE_WAIT, 10);
        });
        idle_clients(&node, 1);
        let sent: Vec<_> = cache.requests.try_iter().map(|request| request.path().to_owned()).collect();
        assert_eq!(sent, ["/read/a"]);
    }
}

const ESTABLISHED: &str = "01";
const CLOSE_WAIT: &str = "08";

/// Waits until the kernel has this number of the node's connections in this state with unread data. A
/// received close counts as unread data.
fn wait_until_queued(node: &Node, state: &str, count: usize) {
    let own = format!("0100007F:{:04X}", node.addr.port());
    wait_until("the data is in the kernel's queues", || {
        let list = std::fs::read_to_string("/proc/net/tcp").expect("the kernel's connection list");
        let fields = list.lines().map(|line| line.split_whitespace().collect::<Vec<_>>());
        // Fields: local address, state, and the sizes of the send and receive queues.
        let matches = |fields: &Vec<&str>| {
            let unread = fields.get(4).and_then(|queues| queues.split(':').nth(1));
            fields.get(1) == Some(&own.as_str())
                && fields.get(3) == Some(&state)
                && unread.is_some_and(|unread| unread != "00000000")
        };
        (fields.filter(matches).count() == count).then_some(())
    });
}

/// A long body is not read ahead of its receiver, so the client's disconnect lies behind unread data.
#[test]
fn a_long_request_whose_client_disconnects_during_the_connect_is_not_sent() {
    for cancel in [true, false] {
        let origin = FullBacklog::start();
        let discovery = Discovery::start();
        let mut config = config(discovery.server.addr, &[entry("origin", origin.addr(), "active")]);
        config["settings"]["limits"]["cancel"] = json!(cancel);
        config["settings"]["limits"]["dial-timeout-s"] = json!(60.0);
        config["ops"] = json!("127.0.0.1:0");
        let node = Node::start(&config);
        let mut client = node.client();
        client.send("PUT", "/order/a", "X-Deadline-Ms: 100000\r\n", &"x".repeat(100_000));
        wait_for_in_flight(&node, 1);
        drop(client);
        wait_for_in_flight(&node, 0);
        if !cancel {
            let mut seen = String::new();
            origin.accept().read_to_string(&mut seen).expect("the node closes it");
            assert_eq!(seen, "");
        }
    }
}

/// At the connection limit one more connection waits in the kernel's queue, with a request that counts as
/// accepted, when the node is told to stop.
#[test]
fn a_connection_queued_at_the_limit_is_answered_when_the_node_stops() {
    let origin = Server::start(|_| hit("value"));
    let (mut node, _discovery) = start_with_min_sockets(&[
        entry("s-1", origin.addr, "active"),
        entry("origin", origin.addr, "active"),
    ]);
    // Each of these clients is in the middle of its body.
    let half = "PUT /store/a HTTP/1.1\r\nHost: a\r\nX-Request-Id: 1\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\n";
    let mut busy: Vec<_> = (0..20).map(|_| node.client()).collect();
    for client in &mut busy {
        client.write(half);
        assert_eq!(client.read().expect("a 100 response").status(), 100);
    }
    let mut queued = node.client();
    queued.send("GET", "/read/a", "X-Deadline-Ms: 8000\r\n", "");
    node.terminate();
    // A faulty version closed the listener, including its queue, 0.6 s after the signal.
    let signalled = Instant::now();
    while signalled.elapsed() < Duration::from_secs(1) && TcpStream::connect(node.addr).is_ok() {
        std::thread::sleep(Duration::from_millis(20));
    }
    for client in &mut busy {
        client.write("body");
        assert!(client.read().is_some(), "an accepted request is answered");
    }
    assert_eq!(queued.read().expect("an answer").status(), 200);
    assert_eq!(node.exit().code(), Some(0));
}

/// Connections that arrive while the node closes its listener, 0.6 s after the signal. The node is stopped
/// during that time, so that it sees the end of the delay and the queued connections at once.
#[test]
fn connections_queued_when_the_listener_is_closed_are_answered() {
    let (cache, release) = Server::with_gate(|request| request.path() == "/read/slow", |_| hit("value"));
    let discovery = Discovery::start();
    let config = config(discovery.server.addr, &[entry("s-1", cache.addr, "active")]);
    for _ in 0..10 {
        let mut node = Node::start(&config);
        let mut idle_clients = idle_clients(&node, 1);
        // This request keeps the node from exiting.
        let mut slow = node.client();
        slow.send("GET", "/read/slow", "X-Deadline-Ms: 60000\r\n", "");
        while cache.next_request().path() != "/read/slow" {}
        node.terminate();
        assert!(idle_clients[0].read().is_none(), "the node has received the signal");
        let mut queued = node.while_stopped(|| {
            if TcpStream::connect(node.addr).is_err() {
                return Vec::new();
            }
            let mut queued: Vec<_> = (0..12).map(|_| node.client()).collect();
            send_reads(&mut queued);
            std::thread::sleep(Duration::from_millis(700));
            queued
        });
        expect_answers(&mut queued);
        release.send(()).unwrap();
        assert_eq!(slow.read().expect("an accepted request is answered").status(), 200);
        assert_eq!(node.exit().code(), Some(0));
        if !queued.is_empty() {
            return;
        }
        // On a busy machine the listener may have been closed before the node was stopped; then the test
        // tries again.
    }
    panic!("the node was never stopped in time");
}

/// Starts a node with the lowest possible descriptor limit, which leaves 20 connections for clients.
fn start_with_min_sockets(known: &[serde_json::Value]) -> (Node, Discovery) {
    let discovery = Discovery::start();
    let mut config = config(discovery.server.addr, known);
    config["limits"]["sockets"] = json!(64);
    (Node::start(&config), discovery)
}

#[test]
fn at_the_limit_no_connection_is_closed_before_another_one_waits() {
    let cache = Server::start(|_| hit("value"));
    let (node, _discovery) = start_with_min_sockets(&[entry("s-1", cache.addr, "active")]);
    let mut clients: Vec<_> = (0..20).map(|_| node.client()).collect();
    for _ in 0..2 {
        for client in &mut clients {
            client.send("GET", "/read/a", "X-Deadline-Ms: 8000\r\n", "");
            assert_eq!(client.read().expect("the connection is still open").status(), 200);
        }
    }
}

/// The node is stopped until its queue holds more connections than the limit, each with a request.
#[test]
fn a_queued_request_is_read_before_its_new_connection_is_evicted() {
    let cache = Server::start(|_| hit("value"));
    let (node, _discovery) = start_with_min_sockets(&[entry("s-1", cache.addr, "active")]);
    let mut clients = node.while_stopped(|| {
        let mut clients: Vec<_> = (0..40).map(|_| node.client()).collect();
        send_reads(&mut clients);
        wait_until_queued(&node, ESTABLISHED, 40);
        clients
    });
    expect_answers(&mut clients);
}

fn send_reads(clients: &mut [Client]) {
    for client in clients {
        client.send("GET", "/read/a", "X-Deadline-Ms: 20000\r\n", "");
    }
}

fn expect_answers(clients: &mut [Client]) {
    for client in clients {
        assert_eq!(client.read().expect("the connection was closed with its request unread").status(), 200);
    }
}

/// Clients that have had one response each and keep their connections.
fn idle_clients(node: &Node, count: usize) -> Vec<Client> {
    let mut clients: Vec<_> = (0..count).map(|_| node.client()).collect();
    send_reads(&mut clients);
    expect_answers(&mut clients);
    clients
}

/// The stop signal and requests on idle connections arrive at once.
#[test]
fn a_queued_request_is_read_before_its_connection_is_closed_at_a_stop() {
    let cache = Server::start(|_| hit("value"));
    let discovery = Discovery::start();
    let mut node = Node::start(&config(discovery.server.addr, &[entry("s-1", cache.addr, "active")]));
    let mut clients = idle_clients(&node, 20);
    node.while_stopped(|| {
        send_reads(&mut clients);
        wait_until_queued(&node, ESTABLISHED, 20);
        node.terminate();
    });
    expect_answers(&mut clients);
    assert_eq!(node.exit().code(), Some(0));
}

/// The idle time-out and requests on idle connections arrive at once. The node closes an idle connection
/// after 2.2 s.
#[test]
fn a_queued_request_is_read_before_its_connection_is_closed_by_the_idle_timeout() {
    let cache = Server::start(|_| hit("value"));
    let discovery = Discovery::start();
    let node = Node::start(&config(discovery.server.addr, &[entry("s-1", cache.addr, "active")]));
    let mut clients = idle_clients(&node, 20);
    node.while_stopped(|| {
        send_reads(&mut clients);
        std::thread::sleep(Duration::from_millis(2300));
    });
    expect_answers(&mut clients);
}

/// New connections at the limit and requests on idle connections arrive at once.
#[test]
fn a_queued_request_is_read_before_its_idle_connection_is_evicted() {
    let cache = Server::start(|_| hit("value"));
    let (node, _discovery) = start_with_min_sockets(&[entry("s-1", cache.addr, "active")]);
    let mut clients = idle_clients(&node, 20);
    // The node checks each connection again after 0.4 s; only then does it know that nothing more has
    // arrived.
    std::thread::sleep(Duration::from_millis(500));
    let mut others = node.while_stopped(|| {
        let mut others: Vec<_> = (0..10).map(|_| node.client()).collect();
        send_reads(&mut others);
        send_reads(&mut clients);
        wait_until_queued(&node, ESTABLISHED, 30);
        others
    });
    expect_answers(&mut clients);
    expect_answers(&mut others);
}

/// The signal arrives while the file is being written. The complete file must be read without another
/// signal.
#[test]
fn a_file_that_is_incomplete_at_the_hang_up_signal_is_reread_until_complete() {
    let cache = Server::start(|_| hit("value"));
    let (before, after) = (Discovery::start(), Discovery::start());
    let known = [entry("s-1", cache.addr, "active")];
    let mut config = config(before.server.addr, &known);
    config["ops"] = json!("127.0.0.1:0");
    let node = Node::start(&config);
    let whole = common::config(after.server.addr, &known).to_string();
    node.reconfigure(&whole[..whole.len() / 2]);
    let failed = || node.operator_call("GET", "/-/metrics").body.contains("\"reconfig_failed\":1");
    wait_until("the node has read the incomplete file", || failed().then_some(()));
    node.rewrite(&whole);
    assert_eq!(after.server.next_request().path(), "/registry/instances");
}

/// The stop signal also arrives before any server is known, and a second time while a response is being
/// sent.
#[test]
fn an_early_or_repeated_stop_signal_loses_no_request() {
    let mut config = config(refusing_addr(), &[]);
    config["known"] = serde_json::Value::Null;
    let mut early = Node::start(&config);
    early.terminate();
    assert_eq!(early.exit().code(), Some(0));

    let (cache, release) = Server::with_gate(|_| true, |_| hit("value"));
    let discovery = Discovery::start();
    let mut node = Node::start(&common::config(discovery.server.addr, &[entry("s-1", cache.addr, "active")]));
    let (mut idle, mut slow) = (node.client(), node.client());
    idle.get("/health/ready", "");
    slow.send("GET", "/read/a", "X-Deadline-Ms: 8000\r\n", "");
    cache.next_request();
    node.terminate();
    assert!(idle.read().is_none(), "the node has received the first signal");
    node.terminate();
    release.send(()).unwrap();
    assert_eq!(slow.read().expect("an accepted request is answered").body, "value");
    assert_eq!(node.exit().code(), Some(0));
}
