//! Upgrades under load: a second process on the listening socket that the platform holds.

mod common;

use std::net::{TcpListener, UdpSocket};
use std::os::fd::OwnedFd;
use std::process::Stdio;
use std::sync::atomic::{AtomicBool, Ordering};

use common::*;
use serde_json::{json, Value};

/// What every process of the node is started with: the listener, the state directory and the configuration.
struct Platform {
    listener: TcpListener,
    dir: TempDir,
    config: Value,
    _discovery: Discovery,
}

impl Platform {
    fn new(known: &[Value]) -> Platform {
        let discovery = Discovery::start();
        let mut config = config(discovery.server.addr, known);
        config["ops"] = json!("127.0.0.1:0");
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        Platform { listener, dir: TempDir::new(), config, _discovery: discovery }
    }

    /// Starts a process with the listener as its descriptor 0.
    fn run(&self) -> Node {
        let listener = OwnedFd::from(self.listener.try_clone().unwrap());
        Node::start_with(&self.config, |command| {
            command.stdin(Stdio::from(listener)).env("LB_SOCKET_FD", "0").env("TMPDIR", &self.dir.0)
        })
    }
}

fn wait_until_ready(node: &Node) {
    wait_until("ready", || (node.operator_call("GET", "/-/ready").status() == 200).then_some(()));
}

#[test]
fn no_request_is_lost_when_a_second_process_takes_over() {
    let cache = Server::start(|_| hit("value"));
    let platform = Platform::new(&[entry("s-1", cache.addr, "active")]);
    let mut old = platform.run();
    assert_eq!(old.addr, platform.listener.local_addr().unwrap());
    wait_until_ready(&old);
    let (addr, stop_clients) = (old.addr, AtomicBool::new(false));
    // One client reconnects for each request, the others only when the node asks for it.
    let client = |keep_alive: bool| {
        let (mut client, mut served) = (Client::connect(addr), 0);
        while !stop_clients.load(Ordering::Relaxed) || served == 0 {
            let answer = client.get("/read/a", "X-Deadline-Ms: 20000\r\n");
            assert_eq!((answer.status(), answer.body.as_str()), (200, "value"));
            served += 1;
            if !keep_alive || answer.header("connection") == Some("close") {
                client = Client::connect(addr);
            }
        }
    };
    // The new process must outlive the clients.
    let _new = std::thread::scope(|scope| {
        for keep_alive in [true, true, true, false] {
            scope.spawn(move || client(keep_alive));
        }
        let new = platform.run();
        wait_until_ready(&new);
        old.terminate();
        assert_eq!(old.exit().code(), Some(0));
        assert_eq!(new.operator_call("GET", "/-/ready").status(), 200);
        assert_eq!(new.get("/read/b").status(), 200);
        stop_clients.store(true, Ordering::Relaxed);
        new
    });
}

#[test]
fn the_old_process_stops_accepting_at_once_and_closes_idle_connections_later() {
    let cache = Server::start(|_| hit("value"));
    let platform = Platform::new(&[entry("s-1", cache.addr, "active")]);
    let old = platform.run();
    wait_until_ready(&old);
    let (mut used, mut idle) = (old.client(), old.client());
    for client in [&mut used, &mut idle] {
        assert_eq!(client.get("/read/a", "").status(), 200);
    }
    old.terminate();
    wait_until("the stop shows", || {
        (old.operator_call("GET", "/-/ready").body == "stopping\n").then_some(())
    });
    let answer = used.get("/read/b", "");
    assert_eq!(
        (answer.status(), answer.header("connection")),
        (200, Some("close")),
        "the connection is still served"
    );
    // This connection stays in the queue until another process accepts it.
    let mut queued = old.client();
    queued.send("GET", "/read/c", "X-Deadline-Ms: 20000\r\n", "");
    assert!(idle.read().is_none(), "closed while no response is due");
    let new = platform.run();
    assert_eq!(queued.read().expect("an answer").status(), 200);
    assert_eq!(new.get("/read/d").status(), 200);
}

#[test]
fn a_new_process_does_not_accept_connections_before_it_is_ready() {
    let cache = Server::start(|_| hit("value"));
    let mut platform = Platform::new(&[entry("s-1", cache.addr, "active")]);
    let old = platform.run();
    wait_until_ready(&old);
    platform.config["known"] = Value::Null;
    platform.config["discovery"] = json!(refusing_addr().to_string());
    let new = platform.run();
    assert_eq!(new.operator_call("GET", "/-/ready").status(), 503);
    for key in 0..50 {
        assert_eq!(old.get(&format!("/read/{key}")).status(), 200);
    }
    drop(new);
    assert_eq!(old.get("/read/a").status(), 200, "the old process still serves after the new one has died");
}

#[test]
fn the_new_process_takes_over_the_peer_address() {
    let cache = Server::start(|_| hit("value"));
    let own = UdpSocket::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let mut platform = Platform::new(&[entry("s-1", cache.addr, "active")]);
    platform.config["peer_listen"] = json!(own.to_string());
    platform.config["peers"] = json!([own.to_string()]);
    let is_bound = || UdpSocket::bind(own).is_err();
    let old = platform.run();
    wait_until_ready(&old);
    let mut new = platform.run();
    wait_until_ready(&new);
    assert!(is_bound());
    drop(old);
    wait_until("the new process has the address", || is_bound().then_some(()));
    new.terminate();
    new.exit();
    assert!(!is_bound());
}

#[test]
fn an_invalid_listener_descriptor_fails_the_start_with_one_line() {
    let config = config(refusing_addr(), &[]);
    let stranger = UdpSocket::bind("127.0.0.1:0").unwrap();
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let connected = std::net::TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let sockets = [OwnedFd::from(stranger), OwnedFd::from(connected)];
    let inputs = sockets.map(Stdio::from).into_iter().chain([Stdio::null(), Stdio::piped()]);
    let cases = inputs.map(|input| (input, "0"));
    let numbers = ["", "seven", "-1", "99999"].map(|number| (Stdio::null(), number));
    for (input, number) in cases.chain(numbers) {
        let file = ConfigFile::new(&config.to_string());
        let output = command(&file).stdin(input).env("LB_SOCKET_FD", number).output().unwrap();
        assert!(!output.status.success(), "{number}");
        let stderr = String::from_utf8(output.stderr).unwrap();
        assert!(stderr.lines().count() == 1 && stderr.contains("descriptor"), "{number}: {stderr}");
    }
}
