//! Two events that cross, on real sockets: a server or the test itself holds the one back until the other was seen.

mod common;

use std::io::Read;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

use common::*;
use serde_json::json;
use socket2::{Domain, Socket, Type};

/// A server whose queue is full: who connects waits until it is emptied.
struct FullQueue {
    listener: TcpListener,
    fill: Vec<TcpStream>,
}

impl FullQueue {
    fn start() -> FullQueue {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).expect("a free port");
        socket.listen(0).unwrap();
        let listener = TcpListener::from(socket);
        let addr = listener.local_addr().unwrap();
        let more = || TcpStream::connect_timeout(&addr, Duration::from_millis(300)).ok();
        let fill = std::iter::from_fn(more).take(64).collect::<Vec<_>>();
        assert!(fill.len() < 64, "a queue without an end");
        FullQueue { listener, fill }
    }

    fn addr(&self) -> SocketAddr {
        self.listener.local_addr().unwrap()
    }

    /// The first connection from without.
    fn accept(&self) -> TcpStream {
        let own: Vec<_> = self.fill.iter().map(|stream| stream.local_addr().unwrap()).collect();
        loop {
            let (stream, from) = self.listener.accept().unwrap();
            if !own.contains(&from) {
                stream.set_read_timeout(Some(PATIENCE)).unwrap();
                return stream;
            }
        }
    }
}

fn in_flight(node: &Node, requests: u64) {
    let inflight =
        || serde_json::from_str::<serde_json::Value>(&node.call("GET", "/-/metrics").body).unwrap();
    wait_until("its requests", || (inflight()["inflight"] == requests).then_some(()));
}

/// Where the settings don't let attempts be called off, one that still waits for its connection is not sent all the
/// same.
#[test]
fn a_client_that_leaves_during_the_connect_is_not_sent_on_where_nothing_may_be_called_off() {
    let server = FullQueue::start();
    let discovery = Discovery::start();
    let mut config = config(discovery.server.addr, &[entry("s-1", server.addr(), "active")]);
    config["settings"]["limits"]["cancel"] = json!(false);
    config["settings"]["limits"]["dial-timeout-s"] = json!(60.0);
    config["ops"] = json!("127.0.0.1:0");
    let node = Node::start(&config);
    let mut client = node.client();
    client.send("GET", "/read/a", "X-Deadline-Ms: 100000\r\n", "");
    in_flight(&node, 1);
    drop(client);
    in_flight(&node, 0);
    let mut seen = String::new();
    server.accept().read_to_string(&mut seen).expect("the node closes it");
    assert_eq!(seen, "");
}

/// The request, what lies behind it and the end come in one moment, as on a node that was held up.
#[test]
fn a_client_that_left_before_its_request_was_read_is_not_sent_on() {
    let behind = "GET /read/behind HTTP/1.1\r\nHost: a\r\nX-Request-Id: 1\r\n\r\n";
    for behind in ["", behind, &behind.repeat(1000)] {
        let cache = Server::start(|_| hit("value"));
        let discovery = Discovery::start();
        let node = Node::start(&config(discovery.server.addr, &[entry("s-1", cache.addr, "active")]));
        let mut gone = resting(&node, 10);
        while cache.requests.try_recv().is_ok() {}
        node.standing_still(|| {
            for client in &mut gone {
                client.send("GET", "/read/gone", "X-Deadline-Ms: 20000\r\n", "");
                client.write(behind);
            }
            drop(gone);
            in_the_kernel(&node, CLOSE_WAIT, 10);
        });
        resting(&node, 1);
        let sent: Vec<_> = cache.requests.try_iter().map(|request| request.path().to_owned()).collect();
        assert_eq!(sent, ["/read/a"]);
    }
}

const ESTABLISHED: &str = "01";
const CLOSE_WAIT: &str = "08";

/// Waits until the kernel has so many of a node's connections in this state with something unread, or with their end.
fn in_the_kernel(node: &Node, state: &str, count: usize) {
    let own = format!("0100007F:{:04X}", node.addr.port());
    wait_until("what was sent is in the kernel", || {
        let list = std::fs::read_to_string("/proc/net/tcp").expect("the kernel's list");
        let fields = list.lines().map(|line| line.split_whitespace().collect::<Vec<_>>());
        // Local address, state, and what is unsent and unread.
        let so = |fields: &Vec<&str>| {
            let unread = fields.get(4).and_then(|queues| queues.split(':').nth(1));
            fields.get(1) == Some(&own.as_str())
                && fields.get(3) == Some(&state)
                && unread.is_some_and(|unread| unread != "00000000")
        };
        (fields.filter(so).count() == count).then_some(())
    });
}

/// A long body is not read ahead of who takes it, and its client's end lies behind it.
#[test]
fn a_client_that_leaves_a_long_body_behind_during_the_connect_is_not_sent_on() {
    for cancel in [true, false] {
        let origin = FullQueue::start();
        let discovery = Discovery::start();
        let mut config = config(discovery.server.addr, &[entry("origin", origin.addr(), "active")]);
        config["settings"]["limits"]["cancel"] = json!(cancel);
        config["settings"]["limits"]["dial-timeout-s"] = json!(60.0);
        config["ops"] = json!("127.0.0.1:0");
        let node = Node::start(&config);
        let mut client = node.client();
        client.send("PUT", "/order/a", "X-Deadline-Ms: 100000\r\n", &"x".repeat(100_000));
        in_flight(&node, 1);
        drop(client);
        in_flight(&node, 0);
        if !cancel {
            let mut seen = String::new();
            origin.accept().read_to_string(&mut seen).expect("the node closes it");
            assert_eq!(seen, "");
        }
    }
}

/// At the limit of connections one more waits in the kernel's queue, with a request in it that counts as taken, while
/// the node is told to end.
#[test]
fn who_waits_in_the_queue_at_the_limit_when_the_node_stops_is_answered() {
    let origin = Server::start(|_| hit("value"));
    let (mut node, _discovery) =
        small(&[entry("s-1", origin.addr, "active"), entry("origin", origin.addr, "active")]);
    // Each of these is in the middle of its body.
    let half = "PUT /store/a HTTP/1.1\r\nHost: a\r\nX-Request-Id: 1\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\n";
    let mut busy: Vec<_> = (0..20).map(|_| node.client()).collect();
    for client in &mut busy {
        client.write(half);
        assert_eq!(client.read().expect("it may go on").status(), 100);
    }
    let mut queued = node.client();
    queued.send("GET", "/read/a", "X-Deadline-Ms: 8000\r\n", "");
    node.terminate();
    // Before the mend the listener was closed, queue and all, 0.6 s after the signal.
    let signalled = Instant::now();
    while signalled.elapsed() < Duration::from_secs(1) && TcpStream::connect(node.addr).is_ok() {
        std::thread::sleep(Duration::from_millis(20));
    }
    for client in &mut busy {
        client.write("body");
        assert!(client.read().is_some(), "what was taken is answered");
    }
    assert_eq!(queued.read().expect("an answer").status(), 200);
    assert_eq!(node.exit().code(), Some(0));
}

/// What comes while the node closes its listener, 0.6 s after the signal: it stands still for that time, and then has
/// both the end of the time and a queue of connections before it.
#[test]
fn who_lies_in_the_queue_as_the_listener_is_closed_is_answered() {
    let (cache, release) = Server::gated(|request| request.path() == "/read/slow", |_| hit("value"));
    let discovery = Discovery::start();
    let config = config(discovery.server.addr, &[entry("s-1", cache.addr, "active")]);
    for _ in 0..10 {
        let mut node = Node::start(&config);
        let mut resting = resting(&node, 1);
        // It keeps the node from its end.
        let mut slow = node.client();
        slow.send("GET", "/read/slow", "X-Deadline-Ms: 60000\r\n", "");
        while cache.next().path() != "/read/slow" {}
        node.terminate();
        assert!(resting[0].read().is_none(), "the signal was heard");
        let mut queued = node.standing_still(|| {
            if TcpStream::connect(node.addr).is_err() {
                return Vec::new();
            }
            let mut queued: Vec<_> = (0..12).map(|_| node.client()).collect();
            ask(&mut queued);
            std::thread::sleep(Duration::from_millis(700));
            queued
        });
        answered(&mut queued);
        release.send(()).unwrap();
        assert_eq!(slow.read().expect("what was taken is answered").status(), 200);
        assert_eq!(node.exit().code(), Some(0));
        if !queued.is_empty() {
            return;
        }
        // On a busy machine the listener may have been closed before the node stood still: once more.
    }
    panic!("the node never stood still in time");
}

/// A node with as few descriptors as may be: clients have 20 of them.
fn small(known: &[serde_json::Value]) -> (Node, Discovery) {
    let discovery = Discovery::start();
    let mut config = config(discovery.server.addr, known);
    config["limits"]["sockets"] = json!(64);
    (Node::start(&config), discovery)
}

#[test]
fn at_the_limit_nobody_gives_way_before_somebody_waits() {
    let cache = Server::start(|_| hit("value"));
    let (node, _discovery) = small(&[entry("s-1", cache.addr, "active")]);
    let mut clients: Vec<_> = (0..20).map(|_| node.client()).collect();
    for _ in 0..2 {
        for client in &mut clients {
            client.send("GET", "/read/a", "X-Deadline-Ms: 8000\r\n", "");
            assert_eq!(client.read().expect("it is still open").status(), 200);
        }
    }
}

/// The node stands still until more connections than it may have lie in its queue, each with a request.
#[test]
fn a_request_that_lies_in_the_kernel_is_read_before_its_connection_gives_way() {
    let cache = Server::start(|_| hit("value"));
    let (node, _discovery) = small(&[entry("s-1", cache.addr, "active")]);
    let mut clients = node.standing_still(|| {
        let mut clients: Vec<_> = (0..40).map(|_| node.client()).collect();
        ask(&mut clients);
        in_the_kernel(&node, ESTABLISHED, 40);
        clients
    });
    answered(&mut clients);
}

fn ask(clients: &mut [Client]) {
    for client in clients {
        client.send("GET", "/read/a", "X-Deadline-Ms: 20000\r\n", "");
    }
}

fn answered(clients: &mut [Client]) {
    for client in clients {
        assert_eq!(client.read().expect("closed with its request unread").status(), 200);
    }
}

/// Clients that have had an answer each, and keep their connections.
fn resting(node: &Node, count: usize) -> Vec<Client> {
    let mut clients: Vec<_> = (0..count).map(|_| node.client()).collect();
    ask(&mut clients);
    answered(&mut clients);
    clients
}

/// The signal to end and requests on connections that rest come in one moment.
#[test]
fn a_request_that_lies_in_the_kernel_at_a_stop_is_read_before_its_connection_is_closed() {
    let cache = Server::start(|_| hit("value"));
    let discovery = Discovery::start();
    let mut node = Node::start(&config(discovery.server.addr, &[entry("s-1", cache.addr, "active")]));
    let mut clients = resting(&node, 20);
    node.standing_still(|| {
        ask(&mut clients);
        in_the_kernel(&node, ESTABLISHED, 20);
        node.terminate();
    });
    answered(&mut clients);
    assert_eq!(node.exit().code(), Some(0));
}

/// Connections that rest have had their time in the moment in which requests come on them. That time has to pass: the
/// node closes one after 2.2 s.
#[test]
fn a_request_that_lies_in_the_kernel_is_read_before_its_connection_is_closed_as_it_rested_for_long() {
    let cache = Server::start(|_| hit("value"));
    let discovery = Discovery::start();
    let node = Node::start(&config(discovery.server.addr, &[entry("s-1", cache.addr, "active")]));
    let mut clients = resting(&node, 20);
    node.standing_still(|| {
        ask(&mut clients);
        std::thread::sleep(Duration::from_millis(2300));
    });
    answered(&mut clients);
}

/// New connections want the places of some that rest, in the moment in which requests come on these.
#[test]
fn a_request_that_lies_in_the_kernel_is_read_before_its_resting_connection_gives_way() {
    let cache = Server::start(|_| hit("value"));
    let (node, _discovery) = small(&[entry("s-1", cache.addr, "active")]);
    let mut clients = resting(&node, 20);
    // The node looks at each again after 0.4 s: only then does it know that nothing more has come.
    std::thread::sleep(Duration::from_millis(500));
    let mut others = node.standing_still(|| {
        let mut others: Vec<_> = (0..10).map(|_| node.client()).collect();
        ask(&mut others);
        ask(&mut clients);
        in_the_kernel(&node, ESTABLISHED, 30);
        others
    });
    answered(&mut clients);
    answered(&mut others);
}

/// The signal comes while the file is being written; what is written then is followed without another one.
#[test]
fn a_file_that_is_half_written_at_the_hang_up_is_read_when_it_is_whole() {
    let cache = Server::start(|_| hit("value"));
    let (before, after) = (Discovery::start(), Discovery::start());
    let known = [entry("s-1", cache.addr, "active")];
    let mut config = config(before.server.addr, &known);
    config["ops"] = json!("127.0.0.1:0");
    let node = Node::start(&config);
    let whole = common::config(after.server.addr, &known).to_string();
    node.reconfigure(&whole[..whole.len() / 2]);
    let failed = || node.call("GET", "/-/metrics").body.contains("\"reconfig_failed\":1");
    wait_until("the half is seen", || failed().then_some(()));
    node.rewrite(&whole);
    assert_eq!(after.server.next().path(), "/registry/instances");
}

/// Also one that comes before there is anybody to send to, and a second one while answers are out.
#[test]
fn a_signal_to_end_that_comes_early_or_twice_loses_nothing() {
    let mut config = config(refusing(), &[]);
    config["known"] = serde_json::Value::Null;
    let mut early = Node::start(&config);
    early.terminate();
    assert_eq!(early.exit().code(), Some(0));

    let (cache, release) = Server::gated(|_| true, |_| hit("value"));
    let discovery = Discovery::start();
    let mut node = Node::start(&common::config(discovery.server.addr, &[entry("s-1", cache.addr, "active")]));
    let (mut idle, mut slow) = (node.client(), node.client());
    idle.get("/health/ready", "");
    slow.send("GET", "/read/a", "X-Deadline-Ms: 8000\r\n", "");
    cache.next();
    node.terminate();
    assert!(idle.read().is_none(), "the first signal was heard");
    node.terminate();
    release.send(()).unwrap();
    assert_eq!(slow.read().expect("what was taken is answered").body, "value");
    assert_eq!(node.exit().code(), Some(0));
}
