//! The operator API, and the effect of its calls on a node in service.

mod common;

use std::time::Instant;

use common::*;
use serde_json::{json, Value};

/// Starts a node with an operator API.
fn start(known: &[Value]) -> (Node, Discovery) {
    let discovery = Discovery::start();
    let mut config = config(discovery.server.addr, known);
    config["ops"] = json!("127.0.0.1:0");
    (Node::start(&config), discovery)
}

fn status(node: &Node, method: &str, path: &str) -> u16 {
    node.operator_call(method, path).status()
}

// ---- Access and limits -----------------------------------------------------------------------------------

#[test]
fn the_operator_api_serves_operators_only_and_refuses_unknown_calls() {
    let cache = Server::start(|_| hit("value"));
    let (node, _discovery) = start(&[entry("s-1", cache.addr, "active")]);
    assert_eq!(status(&node, "GET", "/-/ready"), 200);
    for (method, path, refusal) in [
        ("GET", "/", 404),
        ("GET", "/health/ready", 404),
        ("GET", "/read/a", 404),
        ("GET", "/-/nothing", 404),
        ("POST", "/-/ready", 405),
        ("GET", "/-/drain", 405),
        ("PUT", "/-/resume", 405),
    ] {
        assert_eq!(status(&node, method, path), refusal, "{method} {path}");
    }
    let response_status = |text: &str| {
        let mut operator = node.operator();
        operator.write(text);
        operator.read().map(|answer| answer.status())
    };
    assert_eq!(response_status("\x01\x02 nonsense\r\n\r\n"), Some(400));
    let overlong = format!("GET /-/ready HTTP/1.1\r\nX-Long: {}\r\n\r\n", "a".repeat(20_000));
    // Data that the node does not read may reset the connection before the response is received.
    assert!(response_status(&overlong).is_none_or(|status| status == 431));
    assert_eq!(node.get("/-/ready").status(), 404, "clients can't use the operator API");
    assert!(cache.requests.try_recv().is_err(), "a call was forwarded to a server");
}

#[test]
fn the_operator_api_refuses_outdated_and_incomplete_fences() {
    let (node, _discovery) = start(&[entry("s-1", refusing_addr(), "active")]);
    let disable_with_fence = |fence: &str| {
        let mut operator = node.operator();
        operator.write(&format!("POST /-/cache-servers/s-1/disable HTTP/1.1\r\nHost: door\r\n{fence}\r\n"));
        operator.read().map(|answer| answer.status())
    };
    assert_eq!(disable_with_fence("X-Duty: release\r\nX-Fence: 7\r\n"), Some(200));
    assert_eq!(disable_with_fence("X-Duty: release\r\nX-Fence: 6\r\n"), Some(412));
    assert_eq!(
        disable_with_fence("X-Duty: backup\r\nX-Fence: 6\r\n"),
        Some(200),
        "each duty has its own number"
    );
    for half in ["X-Duty: release\r\n", "X-Fence: 9\r\n", "X-Duty: release\r\nX-Fence: many\r\n"] {
        assert_eq!(disable_with_fence(half), Some(400), "{half}");
    }
    assert_eq!(disable_with_fence(""), Some(200), "an operator's own call needs none");
}

#[test]
fn callers_that_hold_connections_do_not_shut_out_operators() {
    let (node, _discovery) = start(&[entry("s-1", refusing_addr(), "active")]);
    let mut stalled: Vec<Client> = (0..100).map(|_| node.operator()).collect();
    for half in stalled.iter_mut().step_by(2) {
        half.write("POST /-/drain HTTP/1.1\r\nHost:");
    }
    let began = Instant::now();
    for _ in 0..10 {
        assert_eq!(status(&node, "GET", "/-/ready"), 200, "an incomplete call has no effect");
    }
    for caller in &mut stalled {
        assert!(caller.read().is_none_or(|answer| answer.status() == 408));
    }
    assert!(began.elapsed() < TEST_TIMEOUT, "{:?}", began.elapsed());
    let mut slow = node.operator();
    slow.write("GET /-/rea");
    slow.write("dy HTTP/1.1\r\nHost: door\r\n\r\n");
    assert_eq!(slow.read().map(|answer| answer.status()), Some(200));
}

#[test]
fn an_unusable_operator_address_fails_the_start_with_one_line() {
    let taken = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    for ops in [json!("somewhere"), json!(9800), json!(taken.local_addr().unwrap().to_string())] {
        let mut config = config(refusing_addr(), &[]);
        config["ops"] = ops;
        let output = command(&ConfigFile::new(&config.to_string())).output().unwrap();
        assert!(!output.status.success());
        let stderr = String::from_utf8(output.stderr).unwrap();
        assert!(
            stderr.lines().count() == 1 && stderr.contains("operators") || stderr.contains("ops"),
            "{stderr}"
        );
    }
}

// ---- Metrics --------------------------------------------------------------------------------------------

fn metrics(node: &Node) -> Value {
    let answer = node.operator_call("GET", "/-/metrics");
    assert_eq!((answer.status(), answer.header("content-type")), (200, Some("application/json")));
    serde_json::from_str(&answer.body).expect("JSON")
}

#[test]
fn metrics_match_what_clients_and_servers_saw() {
    let (cache, release) = Server::with_gate(
        |request| request.path() == "/read/slow",
        |request| match request.path() {
            "/read/missing" => miss(),
            "/order/broken" => Reply::Close(String::new()),
            _ => hit("value"),
        },
    );
    let origin = Server::start(|request| match request.path() {
        "/read/missing" => hit("from origin"),
        _ => Reply::KeepAlive(response_text("503 Service Unavailable", "X-Not-Run: 1\r\n", "")),
    });
    let (node, _discovery) =
        start(&[entry("s-1", cache.addr, "active"), entry("origin", origin.addr, "active")]);
    let classes = |read: u64, store: u64, order: u64| json!({"read": read, "store": store, "order": order});
    let before = metrics(&node);
    for result in ["success", "busy", "failure"] {
        assert_eq!(before[result], classes(0, 0, 0), "{result}");
    }
    for (metric, value) in [("inflight", 0), ("backend_calls", 0), ("hosts_listed", 1), ("hosts_down", 0)] {
        assert_eq!(before[metric], json!(value), "{metric}");
    }
    assert_eq!(before["state"], "serving");
    assert_eq!(node.get("/read/a").status(), 200);
    assert_eq!(node.get("/read/missing").status(), 200);
    assert_eq!(node.get("/order/broken").status(), 502);
    let mut client = node.client();
    client.send("PUT", "/store/a", "X-Deadline-Ms: 6000\r\n", "value");
    assert_eq!(client.read().unwrap().status(), 503);
    // These are not load-balanced requests and are not counted.
    assert_eq!(node.get("/unheard/of").status(), 404);
    assert_eq!(node.get("/health/ready").status(), 200);
    let mut slow = node.client();
    slow.send("GET", "/read/slow", "X-Deadline-Ms: 8000\r\n", "");
    let seen = |server: &Server| -> usize { server.requests.try_iter().count() };
    let mut calls = seen(&cache) + seen(&origin);
    wait_until("the slow request is in flight", || {
        calls += seen(&cache) + seen(&origin);
        (metrics(&node)["backend_calls"] == json!(calls) && metrics(&node)["inflight"] == json!(1))
            .then_some(())
    });
    release.send(()).unwrap();
    assert_eq!(slow.read().unwrap().status(), 200);
    let after = metrics(&node);
    assert_eq!(after["success"], classes(3, 0, 0));
    assert_eq!(after["busy"], classes(0, 1, 0));
    assert_eq!(after["failure"], classes(0, 0, 1));
    assert_eq!(after["inflight"], json!(0));
}

#[test]
fn a_request_is_not_in_flight_after_its_client_disconnects() {
    let cache = Server::start(|_| Reply::NoResponse);
    let (node, _discovery) = start(&[entry("s-1", cache.addr, "active")]);
    let mut client = node.client();
    client.send("GET", "/read/a", "X-Deadline-Ms: 100000\r\n", "");
    cache.next_request();
    assert_eq!(metrics(&node)["inflight"], 1);
    drop(client);
    wait_until("the request is no longer in flight", || (metrics(&node)["inflight"] == 0).then_some(()));
}

#[test]
fn reconfigurations_are_counted() {
    let (node, discovery) = start(&[]);
    node.reconfigure("{");
    wait_until("the failure shows", || (metrics(&node)["reconfig_failed"] == 1).then_some(()));
    node.reconfigure(&config(discovery.server.addr, &[]).to_string());
    wait_until("the success shows", || (metrics(&node)["reconfig_ok"] == 1).then_some(()));
}

// ---- Disabled cache servers ------------------------------------------------------------------------------

fn set_disabled(node: &Node, id: &str, call: &str) -> u16 {
    status(node, "POST", &format!("/-/cache-servers/{id}/{call}"))
}

#[test]
fn a_disabled_server_gets_no_requests_until_it_is_enabled() {
    let (one, two) = (Server::start(|_| hit("one")), Server::start(|_| hit("two")));
    let origin = Server::start(|_| hit("origin"));
    let listed = |state: &str| {
        [
            entry("s-1", one.addr, state),
            entry("s-2", two.addr, "active"),
            entry("origin", origin.addr, "active"),
        ]
    };
    let (node, discovery) = start(&listed("active"));
    let keys_at_one =
        || (0..40).map(|key| node.get(&format!("/read/{key}")).body).filter(|body| body == "one").count();
    assert!(keys_at_one() > 0);
    assert_eq!(set_disabled(&node, "nobody", "disable"), 404);
    assert_eq!(set_disabled(&node, "nobody", "enable"), 404);
    assert_eq!(set_disabled(&node, "origin", "disable"), 404, "the origin is no cache server");
    assert_eq!(set_disabled(&node, "s-1", "explode"), 404);
    assert_eq!(status(&node, "GET", "/-/cache-servers/s-1/disable"), 405);
    assert_eq!(set_disabled(&node, "s-1", "enable"), 200, "enabled already");
    assert_eq!(set_disabled(&node, "s%2d1", "disable"), 200);
    one.ended.recv_timeout(TEST_TIMEOUT).expect("idle connections are closed");
    assert_eq!(set_disabled(&node, "s-1", "disable"), 200, "the call is idempotent");
    assert_eq!((keys_at_one(), &metrics(&node)["hosts_down"]), (0, &json!(1)));
    // The server leaves the list, is still known to be disabled, and is listed again.
    discovery.publish(2, &list(2, true, &listed("active")[1..]).to_string());
    discovery.wait_until_read(2);
    assert_eq!(
        (metrics(&node)["hosts_listed"].clone(), metrics(&node)["hosts_down"].clone()),
        (json!(1), json!(0))
    );
    assert_eq!(set_disabled(&node, "s-1", "disable"), 200);
    discovery.publish(3, &list(3, true, &listed("active")).to_string());
    discovery.wait_until_read(3);
    assert_eq!((keys_at_one(), &metrics(&node)["hosts_down"]), (0, &json!(1)));
    assert_eq!(set_disabled(&node, "s-1", "enable"), 200);
    assert_eq!(metrics(&node)["hosts_down"], 0);
    wait_until("the server is used again", || (keys_at_one() > 0).then_some(()));
}

#[test]
fn a_disabled_server_can_be_enabled_after_it_left_the_list() {
    let cache = Server::start(|_| hit("value"));
    let (node, discovery) =
        start(&[entry("s-1", cache.addr, "active"), entry("s-2", refusing_addr(), "active")]);
    assert_eq!(set_disabled(&node, "s-2", "disable"), 200);
    discovery.publish(2, &list(2, true, &[entry("s-1", cache.addr, "active")]).to_string());
    discovery.wait_until_read(2);
    assert_eq!(set_disabled(&node, "s-2", "enable"), 200);
    assert_eq!(set_disabled(&node, "s-2", "enable"), 404, "no server has that name any more");
}

#[test]
fn disabled_servers_survive_the_process_and_a_damaged_file_is_ignored() {
    let dir = TempDir::new();
    let (one, two) = (Server::start(|_| hit("one")), Server::start(|_| hit("two")));
    let known = [entry("s-1", one.addr, "active"), entry("s-2", two.addr, "active")];
    let discovery = Discovery::start();
    let mut config = config(discovery.server.addr, &known);
    config["ops"] = json!("127.0.0.1:0");
    let run = || Node::start_with(&config, |command| command.env("TMPDIR", &dir.0));
    let keys_at_one =
        |node: &Node| (0..40).filter(|key| node.get(&format!("/read/{key}")).body == "one").count();
    // Two processes run at once, as in an upgrade, and a third one starts later.
    let (old, new) = (run(), run());
    assert_eq!(set_disabled(&old, "s-1", "disable"), 200);
    for node in [&old, &new] {
        wait_until("the server is disabled", || (metrics(node)["hosts_down"] == 1).then_some(()));
        assert_eq!(keys_at_one(node), 0);
    }
    drop(old);
    let later = run();
    assert_eq!((keys_at_one(&later), &metrics(&later)["hosts_down"]), (0, &json!(1)));
    assert_eq!(set_disabled(&new, "s-1", "enable"), 200);
    wait_until("the server is enabled again", || (metrics(&later)["hosts_down"] == 0).then_some(()));
    for file in std::fs::read_dir(&dir.0).unwrap() {
        std::fs::write(file.unwrap().path(), "{\"out\":").unwrap();
    }
    assert_eq!(metrics(&run())["hosts_down"], 0);
}

// ---- Drains ---------------------------------------------------------------------------------------------

#[test]
fn a_draining_node_serves_requests_closes_connections_and_can_be_resumed() {
    let cache = Server::start(|_| hit("value"));
    let (node, _discovery) = start(&[entry("s-1", cache.addr, "active")]);
    assert_eq!(status(&node, "POST", "/-/resume"), 200, "serving already");
    let (mut used, mut idle) = (node.client(), node.client());
    for client in [&mut used, &mut idle] {
        assert_eq!(client.get("/read/a", "").header("connection"), None);
    }
    assert_eq!(status(&node, "POST", "/-/drain"), 200);
    assert_eq!(status(&node, "POST", "/-/drain"), 200, "the call is idempotent");
    assert_eq!(status(&node, "GET", "/-/ready"), 503);
    assert_eq!(node.get("/health/ready").status(), 503);
    for client in [&mut used, &mut node.client()] {
        let answer = client.get("/read/b", "");
        assert_eq!((answer.status(), answer.header("connection")), (200, Some("close")));
        assert!(client.read().is_none());
    }
    assert!(idle.read().is_none(), "an idle connection is closed");
    assert_eq!(status(&node, "POST", "/-/resume"), 200);
    assert_eq!(status(&node, "GET", "/-/ready"), 200);
    assert_eq!(node.get("/health/ready").status(), 200);
    let mut client = node.client();
    assert_eq!(client.get("/read/a", "").header("connection"), None);
    assert_eq!(client.get("/read/b", "").status(), 200);
}

#[test]
fn a_connection_that_outlasts_a_short_drain_is_kept() {
    let (cache, release) = Server::with_gate(|_| true, |_| hit("value"));
    let (node, _discovery) = start(&[entry("s-1", cache.addr, "active")]);
    let mut client = node.client();
    client.send("GET", "/read/a", "X-Deadline-Ms: 8000\r\n", "");
    cache.next_request();
    assert_eq!(status(&node, "POST", "/-/drain"), 200);
    assert_eq!(status(&node, "POST", "/-/resume"), 200);
    release.send(()).unwrap();
    let answer = client.read().expect("an answer");
    assert_eq!((answer.status(), answer.header("connection")), (200, None));
    release.send(()).unwrap();
    assert_eq!(client.get("/read/b", "").status(), 200);
}

#[test]
fn sigterm_in_a_drain_stops_the_node_for_good() {
    let (cache, release) = Server::with_gate(|_| true, |_| hit("value"));
    let (mut node, _discovery) = start(&[entry("s-1", cache.addr, "active")]);
    let mut client = node.client();
    client.send("GET", "/read/a", "X-Deadline-Ms: 8000\r\n", "");
    cache.next_request();
    assert_eq!(status(&node, "POST", "/-/drain"), 200);
    node.terminate();
    wait_until("the stop shows", || {
        (node.operator_call("GET", "/-/ready").body == "stopping\n").then_some(())
    });
    for call in ["/-/resume", "/-/drain"] {
        assert_eq!(status(&node, "POST", call), 409, "{call}");
    }
    release.send(()).unwrap();
    assert_eq!(client.read().expect("an accepted request is answered").status(), 200);
    assert_eq!(node.exit().code(), Some(0));
}
