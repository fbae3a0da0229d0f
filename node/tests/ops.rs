//! The operators' door, and what its calls do to a node in service.

mod common;

use std::time::Instant;

use common::*;
use serde_json::{json, Value};

/// A node with a door.
fn start(known: &[Value]) -> (Node, Discovery) {
    let discovery = Discovery::start();
    let mut config = config(discovery.server.addr, known);
    config["ops"] = json!("127.0.0.1:0");
    (Node::start(&config), discovery)
}

fn status(node: &Node, method: &str, path: &str) -> u16 {
    node.call(method, path).status()
}

// ---- The door -------------------------------------------------------------------------------------------

#[test]
fn the_door_answers_operators_alone_and_says_no_to_what_it_does_not_know() {
    let cache = Server::start(|_| hit("value"));
    let (node, _discovery) = start(&[entry("s-1", cache.addr, "active")]);
    assert_eq!(status(&node, "GET", "/-/ready"), 200);
    for (method, path, no) in [
        ("GET", "/", 404),
        ("GET", "/health/ready", 404),
        ("GET", "/read/a", 404),
        ("GET", "/-/nothing", 404),
        ("POST", "/-/ready", 405),
        ("GET", "/-/drain", 405),
        ("PUT", "/-/resume", 405),
    ] {
        assert_eq!(status(&node, method, path), no, "{method} {path}");
    }
    let told = |text: &str| {
        let mut operator = node.operator();
        operator.write(text);
        operator.read().map(|answer| answer.status())
    };
    assert_eq!(told("\x01\x02 nonsense\r\n\r\n"), Some(400));
    let overlong = format!("GET /-/ready HTTP/1.1\r\nX-Long: {}\r\n\r\n", "a".repeat(20_000));
    // What it does not read may end the connection before the answer is seen.
    assert!(told(&overlong).is_none_or(|status| status == 431));
    assert_eq!(node.get("/-/ready").status(), 404, "clients can't call");
    assert!(cache.requests.try_recv().is_err(), "a call went on to a server");
}

#[test]
fn the_door_refuses_an_old_holder_of_a_duty_and_half_a_fence() {
    let (node, _discovery) = start(&[entry("s-1", refusing(), "active")]);
    let under = |fence: &str| {
        let mut operator = node.operator();
        operator.write(&format!("POST /-/cache-servers/s-1/disable HTTP/1.1\r\nHost: door\r\n{fence}\r\n"));
        operator.read().map(|answer| answer.status())
    };
    assert_eq!(under("X-Duty: release\r\nX-Fence: 7\r\n"), Some(200));
    assert_eq!(under("X-Duty: release\r\nX-Fence: 6\r\n"), Some(412));
    assert_eq!(under("X-Duty: backup\r\nX-Fence: 6\r\n"), Some(200), "each duty has its own");
    for half in ["X-Duty: release\r\n", "X-Fence: 9\r\n", "X-Duty: release\r\nX-Fence: many\r\n"] {
        assert_eq!(under(half), Some(400), "{half}");
    }
    assert_eq!(under(""), Some(200), "an operator's own call needs none");
}

#[test]
fn callers_that_hold_connections_shut_no_operator_out() {
    let (node, _discovery) = start(&[entry("s-1", refusing(), "active")]);
    let mut stalled: Vec<Client> = (0..100).map(|_| node.operator()).collect();
    for half in stalled.iter_mut().step_by(2) {
        half.write("POST /-/drain HTTP/1.1\r\nHost:");
    }
    let began = Instant::now();
    for _ in 0..10 {
        assert_eq!(status(&node, "GET", "/-/ready"), 200, "half a call is none");
    }
    for caller in &mut stalled {
        assert!(caller.read().is_none_or(|answer| answer.status() == 408));
    }
    assert!(began.elapsed() < PATIENCE, "{:?}", began.elapsed());
    let mut slow = node.operator();
    slow.write("GET /-/rea");
    slow.write("dy HTTP/1.1\r\nHost: door\r\n\r\n");
    assert_eq!(slow.read().map(|answer| answer.status()), Some(200));
}

#[test]
fn an_address_for_operators_that_is_of_no_use_ends_the_start_with_one_line() {
    let taken = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    for ops in [json!("somewhere"), json!(9800), json!(taken.local_addr().unwrap().to_string())] {
        let mut config = config(refusing(), &[]);
        config["ops"] = ops;
        let output = command(&ConfigFile::new(&config.to_string())).output().unwrap();
        assert!(!output.status.success());
        let said = String::from_utf8(output.stderr).unwrap();
        assert!(said.lines().count() == 1 && said.contains("operators") || said.contains("ops"), "{said}");
    }
}

// ---- Figures --------------------------------------------------------------------------------------------

fn figures(node: &Node) -> Value {
    let answer = node.call("GET", "/-/metrics");
    assert_eq!((answer.status(), answer.header("content-type")), (200, Some("application/json")));
    serde_json::from_str(&answer.body).expect("JSON")
}

#[test]
fn figures_agree_with_what_clients_and_servers_saw() {
    let (cache, release) = Server::gated(
        |request| request.path() == "/read/slow",
        |request| match request.path() {
            "/read/missing" => miss(),
            "/order/broken" => Reply::Close(String::new()),
            _ => hit("value"),
        },
    );
    let origin = Server::start(|request| match request.path() {
        "/read/missing" => hit("from origin"),
        _ => Reply::Keep(answer("503 Service Unavailable", "X-Not-Run: 1\r\n", "")),
    });
    let (node, _discovery) =
        start(&[entry("s-1", cache.addr, "active"), entry("origin", origin.addr, "active")]);
    let classes = |read: u64, store: u64, order: u64| json!({"read": read, "store": store, "order": order});
    let before = figures(&node);
    for ends in ["success", "busy", "failure"] {
        assert_eq!(before[ends], classes(0, 0, 0), "{ends}");
    }
    for (figure, value) in [("inflight", 0), ("backend_calls", 0), ("hosts_listed", 1), ("hosts_down", 0)] {
        assert_eq!(before[figure], json!(value), "{figure}");
    }
    assert_eq!(before["state"], "serving");
    assert_eq!(node.get("/read/a").status(), 200);
    assert_eq!(node.get("/read/missing").status(), 200);
    assert_eq!(node.get("/order/broken").status(), 502);
    let mut client = node.client();
    client.send("PUT", "/store/a", "X-Deadline-Ms: 6000\r\n", "value");
    assert_eq!(client.read().unwrap().status(), 503);
    // Not taken, so they count nowhere.
    assert_eq!(node.get("/unheard/of").status(), 404);
    assert_eq!(node.get("/health/ready").status(), 200);
    let mut slow = node.client();
    slow.send("GET", "/read/slow", "X-Deadline-Ms: 8000\r\n", "");
    let seen = |server: &Server| -> usize { server.requests.try_iter().count() };
    let mut calls = seen(&cache) + seen(&origin);
    wait_until("the slow one is out", || {
        calls += seen(&cache) + seen(&origin);
        (figures(&node)["backend_calls"] == json!(calls) && figures(&node)["inflight"] == json!(1))
            .then_some(())
    });
    release.send(()).unwrap();
    assert_eq!(slow.read().unwrap().status(), 200);
    let after = figures(&node);
    assert_eq!(after["success"], classes(3, 0, 0));
    assert_eq!(after["busy"], classes(0, 1, 0));
    assert_eq!(after["failure"], classes(0, 0, 1));
    assert_eq!(after["inflight"], json!(0));
}

#[test]
fn a_client_that_goes_away_is_no_longer_in_flight() {
    let cache = Server::start(|_| Reply::Silence);
    let (node, _discovery) = start(&[entry("s-1", cache.addr, "active")]);
    let mut client = node.client();
    client.send("GET", "/read/a", "X-Deadline-Ms: 100000\r\n", "");
    cache.next();
    assert_eq!(figures(&node)["inflight"], 1);
    drop(client);
    wait_until("it is gone", || (figures(&node)["inflight"] == 0).then_some(()));
}

#[test]
fn reconfigurations_are_counted() {
    let (node, discovery) = start(&[]);
    node.reconfigure("{");
    wait_until("the failure shows", || (figures(&node)["reconfig_failed"] == 1).then_some(()));
    node.reconfigure(&config(discovery.server.addr, &[]).to_string());
    wait_until("the success shows", || (figures(&node)["reconfig_ok"] == 1).then_some(()));
}

// ---- Cache servers out by hand --------------------------------------------------------------------------

fn hand(node: &Node, id: &str, call: &str) -> u16 {
    status(node, "POST", &format!("/-/cache-servers/{id}/{call}"))
}

#[test]
fn a_server_out_by_hand_is_sent_nothing_until_one_call_back() {
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
    let keys =
        || (0..40).map(|key| node.get(&format!("/read/{key}")).body).filter(|body| body == "one").count();
    assert!(keys() > 0);
    assert_eq!(hand(&node, "nobody", "disable"), 404);
    assert_eq!(hand(&node, "nobody", "enable"), 404);
    assert_eq!(hand(&node, "origin", "disable"), 404, "the origin is no cache server");
    assert_eq!(hand(&node, "s-1", "explode"), 404);
    assert_eq!(status(&node, "GET", "/-/cache-servers/s-1/disable"), 405);
    assert_eq!(hand(&node, "s-1", "enable"), 200, "in use already");
    assert_eq!(hand(&node, "s%2d1", "disable"), 200);
    one.ended.recv_timeout(PATIENCE).expect("idle connections are closed");
    assert_eq!(hand(&node, "s-1", "disable"), 200, "twice is harmless");
    assert_eq!((keys(), &figures(&node)["hosts_down"]), (0, &json!(1)));
    // It leaves the list, is still known to be out, and comes back to the list.
    discovery.publish(2, &list(2, true, &listed("active")[1..]).to_string());
    discovery.heard(2);
    assert_eq!(
        (figures(&node)["hosts_listed"].clone(), figures(&node)["hosts_down"].clone()),
        (json!(1), json!(0))
    );
    assert_eq!(hand(&node, "s-1", "disable"), 200);
    discovery.publish(3, &list(3, true, &listed("active")).to_string());
    discovery.heard(3);
    assert_eq!((keys(), &figures(&node)["hosts_down"]), (0, &json!(1)));
    assert_eq!(hand(&node, "s-1", "enable"), 200);
    assert_eq!(figures(&node)["hosts_down"], 0);
    wait_until("it is used again", || (keys() > 0).then_some(()));
}

#[test]
fn a_server_out_by_hand_and_unlisted_can_be_called_back() {
    let cache = Server::start(|_| hit("value"));
    let (node, discovery) = start(&[entry("s-1", cache.addr, "active"), entry("s-2", refusing(), "active")]);
    assert_eq!(hand(&node, "s-2", "disable"), 200);
    discovery.publish(2, &list(2, true, &[entry("s-1", cache.addr, "active")]).to_string());
    discovery.heard(2);
    assert_eq!(hand(&node, "s-2", "enable"), 200);
    assert_eq!(hand(&node, "s-2", "enable"), 404, "nobody has it now");
}

#[test]
fn what_was_taken_out_by_hand_outlives_the_process_and_a_damaged_file_does_not_stop_the_next() {
    let folder = Folder::new();
    let (one, two) = (Server::start(|_| hit("one")), Server::start(|_| hit("two")));
    let known = [entry("s-1", one.addr, "active"), entry("s-2", two.addr, "active")];
    let discovery = Discovery::start();
    let mut config = config(discovery.server.addr, &known);
    config["ops"] = json!("127.0.0.1:0");
    let run = || Node::start_with(&config, |command| command.env("TMPDIR", &folder.0));
    let ones = |node: &Node| (0..40).filter(|key| node.get(&format!("/read/{key}")).body == "one").count();
    // Two processes at once, as in an upgrade, and then a later one.
    let (old, new) = (run(), run());
    assert_eq!(hand(&old, "s-1", "disable"), 200);
    for node in [&old, &new] {
        wait_until("it is out", || (figures(node)["hosts_down"] == 1).then_some(()));
        assert_eq!(ones(node), 0);
    }
    drop(old);
    let later = run();
    assert_eq!((ones(&later), &figures(&later)["hosts_down"]), (0, &json!(1)));
    assert_eq!(hand(&new, "s-1", "enable"), 200);
    wait_until("it is called back", || (figures(&later)["hosts_down"] == 0).then_some(()));
    for file in std::fs::read_dir(&folder.0).unwrap() {
        std::fs::write(file.unwrap().path(), "{\"out\":").unwrap();
    }
    assert_eq!(figures(&run())["hosts_down"], 0);
}

// ---- Drains ---------------------------------------------------------------------------------------------

#[test]
fn a_drain_serves_what_comes_keeps_no_connection_and_is_taken_back() {
    let cache = Server::start(|_| hit("value"));
    let (node, _discovery) = start(&[entry("s-1", cache.addr, "active")]);
    assert_eq!(status(&node, "POST", "/-/resume"), 200, "nothing to take back");
    let (mut used, mut idle) = (node.client(), node.client());
    for client in [&mut used, &mut idle] {
        assert_eq!(client.get("/read/a", "").header("connection"), None);
    }
    assert_eq!(status(&node, "POST", "/-/drain"), 200);
    assert_eq!(status(&node, "POST", "/-/drain"), 200, "twice is harmless");
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
fn a_connection_that_outlasts_a_short_drain_stays_in_use() {
    let (cache, release) = Server::gated(|_| true, |_| hit("value"));
    let (node, _discovery) = start(&[entry("s-1", cache.addr, "active")]);
    let mut client = node.client();
    client.send("GET", "/read/a", "X-Deadline-Ms: 8000\r\n", "");
    cache.next();
    assert_eq!(status(&node, "POST", "/-/drain"), 200);
    assert_eq!(status(&node, "POST", "/-/resume"), 200);
    release.send(()).unwrap();
    let answer = client.read().expect("an answer");
    assert_eq!((answer.status(), answer.header("connection")), (200, None));
    release.send(()).unwrap();
    assert_eq!(client.get("/read/b", "").status(), 200);
}

#[test]
fn sigterm_in_a_drain_ends_the_node_and_nothing_takes_it_back() {
    let (cache, release) = Server::gated(|_| true, |_| hit("value"));
    let (mut node, _discovery) = start(&[entry("s-1", cache.addr, "active")]);
    let mut client = node.client();
    client.send("GET", "/read/a", "X-Deadline-Ms: 8000\r\n", "");
    cache.next();
    assert_eq!(status(&node, "POST", "/-/drain"), 200);
    node.terminate();
    wait_until("the stop shows", || (node.call("GET", "/-/ready").body == "stopping\n").then_some(()));
    for call in ["/-/resume", "/-/drain"] {
        assert_eq!(status(&node, "POST", call), 409, "{call}");
    }
    release.send(()).unwrap();
    assert_eq!(client.read().expect("what was taken is answered").status(), 200);
    assert_eq!(node.exit().code(), Some(0));
}
