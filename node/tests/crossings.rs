//! Two events that cross, on real sockets: a server or the test itself holds the one back until the other was seen.

mod common;

use std::io::Read;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

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
