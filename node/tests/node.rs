//! The node's program over loopback sockets: forwarding, connection reuse, failures, discovery, invalid
//! input, start and stop.

mod common;

use std::net::{TcpListener, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use common::*;
use serde_json::{json, Value};

fn start(known: &[Value]) -> (Node, Discovery) {
    let discovery = Discovery::start();
    (Node::start(&config(discovery.server.addr, known)), discovery)
}

// ---- Forwarding -----------------------------------------------------------------------------------------

#[test]
fn a_hit_and_its_request_are_forwarded_unchanged() {
    let cache = Server::start(|_| hit("value"));
    let (node, _discovery) = start(&[entry("s-1", cache.addr, "active")]);
    let answer = node.client().get("/read/7f3a?lang=pl", "X-Tenant: acme\r\nX-Deadline-Ms: 6000\r\n");
    assert_eq!((answer.status(), answer.body.as_str()), (200, "value"));
    let request = cache.next_request();
    assert_eq!(request.first, "GET /read/7f3a?lang=pl HTTP/1.1");
    assert_eq!(request.header("x-request-id"), Some("9b1f03aa5c7e2d41"));
    let wait: u64 = request.header("x-deadline-ms").unwrap().parse().unwrap();
    assert!(wait > 0 && wait < 6000, "{wait}");
}

#[test]
fn misses_and_writes_go_to_the_origin() {
    let (cache, origin) = (Server::start(|_| miss()), Server::start(|_| hit("from origin")));
    let (node, _discovery) =
        start(&[entry("s-1", cache.addr, "active"), entry("origin", origin.addr, "active")]);
    assert_eq!(node.get("/read/a").body, "from origin");
    assert_eq!(cache.next_request().path(), "/read/a");
    assert_eq!(origin.next_request().path(), "/read/a");
    let mut client = node.client();
    client.send("PUT", "/store/b", "Idempotency-Key: k1\r\n", "new value");
    assert_eq!(client.read().unwrap().status(), 200);
    let write = origin.next_request();
    assert_eq!((write.first.as_str(), write.body.as_str()), ("PUT /store/b HTTP/1.1", "new value"));
    assert_eq!(write.header("idempotency-key"), Some("k1"));
    assert!(cache.requests.try_recv().is_err(), "a write was sent to a cache");
}

#[test]
fn key_placement_depends_on_server_ids_not_addresses() {
    let homes = || {
        let servers: Vec<_> =
            ["s-1", "s-2", "s-3", "s-4"].map(|id| (id, Server::start(move |_| hit(id)))).into();
        let known: Vec<_> = servers.iter().map(|(id, server)| entry(id, server.addr, "active")).collect();
        let (node, _discovery) = start(&known);
        (0..12).map(|key| node.get(&format!("/read/{key:x}")).body).collect::<Vec<_>>()
    };
    let seen = homes();
    assert_eq!(seen, homes());
    assert!(seen.iter().any(|home| *home != seen[0]), "all keys have the same home server");
}

// ---- Connections ----------------------------------------------------------------------------------------

#[test]
fn connections_are_reused_and_a_close_by_the_server_is_no_failure() {
    // Only one attempt per request, so that a retry can't hide a failure.
    let cache = Server::start(|request| match request.path() {
        // Closes without announcing it, as a server does after its idle time-out.
        "/read/last" => Reply::Close(response_text("200 OK", "", "closed")),
        _ => hit("kept"),
    });
    let mut config = config(refusing_addr(), &[entry("s-1", cache.addr, "active")]);
    config["settings"]["limits"]["max-attempts"] = json!(1);
    let node = Node::start(&config);
    assert_eq!(node.get("/read/a").status(), 200);
    assert_eq!(node.get("/read/last").status(), 200);
    cache.ended.recv_timeout(TEST_TIMEOUT).expect("the first connection carried both requests");
    assert_eq!(node.get("/read/b").status(), 200);
}

#[test]
fn idle_connections_are_closed_before_the_server_would() {
    let cache = Server::start(|_| hit("value"));
    let mut config = config(refusing_addr(), &[entry("s-1", cache.addr, "active")]);
    config["settings"]["limits"]["idle-close-s"] = json!(3.0);
    let node = Node::start(&config);
    assert_eq!(node.get("/read/a").status(), 200);
    let idle = Instant::now();
    cache.ended.recv_timeout(TEST_TIMEOUT).expect("the node closes it");
    assert!(idle.elapsed() < Duration::from_secs(3), "{:?}", idle.elapsed());
}

#[test]
fn a_client_disconnect_ends_its_attempt() {
    let cache = Server::start(|_| Reply::NoResponse);
    let (node, _discovery) = start(&[entry("s-1", cache.addr, "active")]);
    let mut client = node.client();
    client.send("GET", "/read/a", "X-Deadline-Ms: 100000\r\n", "");
    cache.next_request();
    drop(client);
    cache.ended.recv_timeout(TEST_TIMEOUT).expect("the attempt's connection is closed");
}

/// hyper notices a disconnect only while the connection has no unread data.
#[test]
fn a_client_disconnect_behind_pipelined_data_ends_its_attempt() {
    let ahead = "GET /read/b HTTP/1.1\r\nHost: a\r\nX-Request-Id: 2\r\n\r\n";
    // Pipelined data that is read with the request, read after it, longer than hyper's read-ahead, and
    // longer than a head may be.
    for (with, later_data) in [
        (ahead, ""),
        ("", ahead),
        ("", &ahead.repeat(90)),
        ("", &ahead.repeat(1600)),
        ("GET /re", "ad/b HTTP/1.1\r\n"),
    ] {
        let cache = Server::start(|_| Reply::NoResponse);
        let (node, _discovery) = start(&[entry("s-1", cache.addr, "active")]);
        let mut client = node.client();
        let first = "GET /read/a HTTP/1.1\r\nHost: a\r\nX-Request-Id: 1\r\nX-Deadline-Ms: 100000\r\n\r\n";
        client.write(&format!("{first}{with}"));
        assert_eq!(cache.next_request().path(), "/read/a");
        client.write(later_data);
        drop(client);
        cache.ended.recv_timeout(TEST_TIMEOUT).expect("the attempt's connection is closed");
        assert!(cache.requests.try_recv().is_err(), "the pipelined request was forwarded");
    }
}

/// Data that was read ahead while a request waited must be neither lost nor reordered.
#[test]
fn pipelined_requests_are_answered_in_order() {
    let (cache, release) =
        Server::with_gate(|request| request.path() == "/read/0", |request| hit(request.path()));
    let (node, _discovery) = start(&[entry("s-1", cache.addr, "active")]);
    let mut client = node.client();
    client.send("GET", "/read/0", "X-Deadline-Ms: 20000\r\n", "");
    cache.next_request();
    for key in 1..300 {
        client.send("GET", &format!("/read/{key}"), "X-Deadline-Ms: 20000\r\n", "");
    }
    release.send(()).unwrap();
    for key in 0..300 {
        assert_eq!(client.read().expect("an answer").body, format!("/read/{key}"));
    }
}

// ---- Outcomes -------------------------------------------------------------------------------------------

/// Starts servers of which the first one asked responds as given and the others serve. Returns the client's
/// response and the number of requests that reached all servers.
fn send_to_failing_server(
    first: impl Fn() -> Reply + Send + Sync + 'static,
    method: &str,
    path: &str,
    body: &str,
) -> (Message, usize) {
    let asked = std::sync::Mutex::new(0);
    let shared = std::sync::Arc::new(move || {
        let mut asked = asked.lock().unwrap();
        *asked += 1;
        if *asked == 1 {
            first()
        } else {
            hit("second")
        }
    });
    let servers = ["s-1", "s-2", "origin"].map(|id| {
        let reply = std::sync::Arc::clone(&shared);
        (id, Server::start(move |_| reply()))
    });
    let known: Vec<_> = servers.iter().map(|(id, server)| entry(id, server.addr, "active")).collect();
    let (node, _discovery) = start(&known);
    let mut client = node.client();
    client.send(method, path, "X-Deadline-Ms: 6000\r\n", body);
    let answer = client.read().expect("an answer");
    (answer, servers.iter().map(|(_, server)| server.requests.try_iter().count()).sum())
}

#[test]
fn an_unsafe_request_is_retried_only_if_it_did_not_run() {
    let not_run = || Reply::KeepAlive(response_text("503 Service Unavailable", "X-Not-Run: 1\r\n", ""));
    let (answer, tries) = send_to_failing_server(not_run, "GET", "/order/a", "");
    assert_eq!((answer.status(), tries), (200, 2));
    // Written completely, then closed: the request may have run, so the client gets a failure and not a
    // refusal.
    let (answer, tries) = send_to_failing_server(|| Reply::Close(String::new()), "GET", "/order/a", "");
    assert_eq!((answer.status(), tries), (502, 1));
    let failed = || Reply::KeepAlive(common::response_text("500 Internal Server Error", "", ""));
    let (answer, tries) = send_to_failing_server(failed, "PUT", "/order/a", "body");
    assert_eq!((answer.status(), tries), (502, 1));
}

#[test]
fn a_truncated_response_is_not_forwarded() {
    let half = || Reply::Close("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf".into());
    let (answer, tries) = send_to_failing_server(half, "GET", "/read/a", "");
    assert_eq!((answer.status(), answer.body.as_str(), tries), (200, "second", 2));
}

#[test]
fn a_refused_connection_counts_as_not_run() {
    let origin = Server::start(|_| hit("value"));
    let (node, _discovery) =
        start(&[entry("s-1", refusing_addr(), "active"), entry("origin", origin.addr, "active")]);
    // An unsafe request is retried only if the first attempt is known not to have run. No other server has
    // the key, so the client must get a refusal, which says that a repeat is harmless.
    assert_eq!(node.get("/order/a").status(), 503);
}

#[test]
fn a_request_to_a_silent_server_is_answered() {
    let cache = Server::start(|_| Reply::NoResponse);
    let (node, _discovery) = start(&[entry("s-1", cache.addr, "active")]);
    let asked = Instant::now();
    let answer = node.client().get("/order/a", "X-Deadline-Ms: 700\r\n");
    assert_eq!(answer.status(), 502);
    assert!(asked.elapsed() < TEST_TIMEOUT);
    cache.ended.recv_timeout(TEST_TIMEOUT).expect("a time-out closes its connection");
}

#[test]
fn a_request_without_servers_is_refused_at_once_with_retry_advice() {
    let (node, _discovery) = start(&[entry("s-1", refusing_addr(), "leaving")]);
    let asked = Instant::now();
    let answer = node.client().get("/read/a", "X-Deadline-Ms: 100000\r\n");
    assert_eq!(answer.status(), 503);
    assert!(asked.elapsed() < TEST_TIMEOUT);
    let advice: f64 = answer.header("retry-after").expect("advice").parse().unwrap();
    assert!(advice > 0.0 && advice <= 0.75, "{advice}");
}

// ---- Discovery ------------------------------------------------------------------------------------------

#[test]
fn the_node_is_ready_once_it_has_servers_and_follows_changes() {
    let (old, new) = (Server::start(|_| hit("old")), Server::start(|_| hit("new")));
    let discovery = Discovery::start();
    let mut config = config(discovery.server.addr, &[]);
    config["known"] = Value::Null;
    let node = Node::start(&config);
    assert_eq!(node.get("/health/ready").status(), 503);
    assert_eq!(discovery.server.next_request().path(), "/registry/instances");
    discovery.publish(2, &list(2, true, &[entry("s-1", old.addr, "active")]).to_string());
    wait_until("ready", || (node.get("/health/ready").status() == 200).then_some(()));
    assert_eq!(node.get("/read/a").body, "old");
    // The server moves to another address, so its idle connection must not be used any more.
    discovery.publish(3, &list(3, false, &[entry("s-1", new.addr, "active")]).to_string());
    discovery.wait_until_read(3);
    assert_eq!(node.get("/read/a").body, "new");
    discovery.publish(4, &list(4, false, &[entry("s-1", new.addr, "left")]).to_string());
    discovery.wait_until_read(4);
    assert_eq!(node.get("/health/ready").status(), 503);
    assert_eq!(node.get("/read/a").status(), 503);
}

/// Guards against a node that never opened a watch for pushed lists and so kept sending to a server that had
/// left.
#[test]
fn a_pushed_list_is_followed_from_the_start_and_after_each_failure() {
    let (old, new) = (Server::start(|_| hit("old")), Server::start(|_| hit("new")));
    let discovery = Discovery::start();
    let mut config = config(discovery.server.addr, &[entry("s-1", old.addr, "active")]);
    config["settings"]["membership-mode"] = json!("pushed");
    // The initial list may be outdated.
    discovery.publish(2, &list(2, true, &[entry("s-2", new.addr, "active")]).to_string());
    let node = Node::start(&config);
    assert!(
        discovery.server.next_request().path().contains("from=1&"),
        "the node watches without being asked to"
    );
    discovery.wait_until_read(2);
    assert_eq!(node.get("/read/a").body, "new");
    // The watch fails, and so does the next call.
    for _ in 0..2 {
        discovery.publish(3, "invalid");
        while discovery.server.requests.try_recv().is_ok() {}
        discovery.server.next_request();
    }
    discovery.publish(3, &list(3, true, &[entry("s-1", old.addr, "active")]).to_string());
    discovery.wait_until_read(3);
    assert_eq!(node.get("/read/a").body, "old");
}

#[test]
fn an_invalid_list_counts_as_a_failed_call_and_changes_nothing() {
    let cache = Server::start(|_| hit("value"));
    let (node, discovery) = start(&[entry("s-1", cache.addr, "active")]);
    for invalid in
        ["{\"version\":2,\"full\":tr", "[]", "{\"version\":2,\"full\":true,\"servers\":[{\"id\":7}]}"]
    {
        discovery.publish(2, invalid);
        while discovery.server.requests.try_recv().is_ok() {}
        // The first call may still belong to the watch in progress; later ones ask whether version 1 is
        // known at all.
        let asked = discovery.server.next_request();
        assert!(["from=1&", "from=0&"].iter().any(|from| asked.path().contains(from)), "{}", asked.path());
        assert_eq!(node.get("/read/a").status(), 200);
    }
    discovery.publish(2, &list(2, true, &[]).to_string());
    discovery.wait_until_read(2);
    assert_eq!(node.get("/health/ready").status(), 503);
}

/// Each unusable response leaves the current list in place, is logged with one line, and the watch is
/// reopened. The next response is held back until that line has been logged.
#[test]
fn each_invalid_or_older_list_is_logged_once_and_the_next_valid_one_applies() {
    let (old, new) = (Server::start(|_| hit("old")), Server::start(|_| hit("new")));
    let (script, answers) = std::sync::mpsc::channel::<Reply>();
    let answers = std::sync::Mutex::new(answers);
    let discovery = Server::start(move |_| answers.lock().unwrap().recv().unwrap_or(Reply::NoResponse));
    let dir = TempDir::new();
    let log = dir.0.join("log");
    let config = config(discovery.addr, &[entry("s-1", old.addr, "active")]);
    let node = Node::start_with(&config, |command| command.stderr(std::fs::File::create(&log).unwrap()));
    let log_lines = || -> Vec<String> {
        let text = std::fs::read_to_string(&log).unwrap();
        text.lines().filter(|line| line.starts_with("discovery: ")).map(str::to_owned).collect()
    };
    let respond = |status: &str, body: &str| Reply::KeepAlive(response_text(status, "", body));
    let whole = list(2, true, &[entry("s-2", new.addr, "active")]);
    let half =
        format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{{\"version\":2,", whole.to_string().len());
    for (count, (reply, what)) in [
        (respond("200 OK", "nonsense"), "response is not a valid list"),
        (Reply::Close(half), "broke off"),
        (respond("503 Service Unavailable", ""), "503"),
        (respond("200 OK", &list(0, false, &[]).to_string()), "outdated list, version 0"),
    ]
    .into_iter()
    .enumerate()
    {
        discovery.next_request();
        script.send(reply).unwrap();
        wait_until("the log line", || (log_lines().len() > count).then_some(()));
        assert!(
            log_lines().len() == count + 1 && log_lines()[count].contains(what),
            "{what}: {:?}",
            log_lines()
        );
        assert_eq!(node.get("/read/a").body, "old", "{what}");
    }
    let indented = serde_json::to_string_pretty(&whole).unwrap();
    script.send(respond("200 OK", &indented)).unwrap();
    wait_until("the new list", || (node.get("/read/a").body == "new").then_some(()));
    assert_eq!(log_lines().len(), 4, "{:?}", log_lines());
}

/// Without a handler the signal would end the process.
#[test]
fn on_sighup_the_node_follows_discovery_to_the_address_in_the_file() {
    let (old, new) = (Server::start(|_| hit("old")), Server::start(|_| hit("new")));
    let (node, before) = start(&[entry("s-1", old.addr, "active")]);
    before.server.next_request();
    node.reconfigure("{");
    assert_eq!(node.get("/read/a").body, "old", "an invalid file changes nothing");
    let after = Discovery::start();
    // The versions at the new address need not continue those of the old one.
    after.publish(0, &list(0, true, &[entry("s-2", new.addr, "active")]).to_string());
    node.reconfigure(&config(after.server.addr, &[]).to_string());
    assert_eq!(after.server.next_request().path(), "/registry/instances", "the whole list comes first");
    after.wait_until_read(0);
    assert_eq!(node.get("/read/a").body, "new");
    after.publish(1, &list(1, false, &[entry("s-2", old.addr, "active")]).to_string());
    after.wait_until_read(1);
    assert_eq!(node.get("/read/a").body, "old", "changes at the new address are followed");
}

// ---- Bad input ------------------------------------------------------------------------------------------

#[test]
fn invalid_requests_are_answered_without_harm_to_others() {
    let cache = Server::start(|_| hit("value"));
    let (node, _discovery) = start(&[entry("s-1", cache.addr, "active")]);
    let status = |text: &str| {
        let mut client = node.client();
        client.write(text);
        client.read().map(|answer| answer.status())
    };
    let with = |path: &str, headers: &str| format!("GET {path} HTTP/1.1\r\nHost: a\r\n{headers}\r\n");
    let id = "X-Request-Id: 1\r\n";
    assert_eq!(status("\x01\x02 nonsense\r\n\r\n"), Some(400));
    assert_eq!(status(&with("/", id)), Some(404));
    assert_eq!(status(&with("/unheard/of", id)), Some(404));
    assert_eq!(status(&with("/read/", id)), Some(404));
    assert_eq!(status(&with("/read/a", "")), Some(400));
    assert_eq!(status(&with("/read/a", &format!("{id}X-Deadline-Ms: soon\r\n"))), Some(400));
    assert_eq!(status(&with("/read/a", &format!("{id}X-Deadline-Ms: -5\r\n"))), Some(400));
    assert_eq!(status(&format!("DELETE /read/a HTTP/1.1\r\nHost: a\r\n{id}\r\n")), Some(405));
    let long = format!("PUT /store/a HTTP/1.1\r\nHost: a\r\n{id}Content-Length: 40000000\r\n\r\n");
    assert_eq!(status(&long), Some(413));
    assert!(cache.requests.try_recv().is_err(), "an invalid request was forwarded to a server");
    // Unusual, but valid.
    for headers in ["X-Class: odd\r\nX-Tenant: nobody\r\n", "X-Deadline-Ms: 18446744073709551615\r\n", ""] {
        assert_eq!(status(&with("/read/a", &format!("{id}{headers}"))), Some(200), "{headers}");
    }
    // No time is left: the request is refused or fails, but is answered.
    assert!(status(&with("/read/a", &format!("{id}X-Deadline-Ms: 0\r\n"))).is_some_and(|s| s >= 500));
    let mut half = node.client();
    half.write("GET /read/a HT");
    assert_eq!(node.get("/read/a").status(), 200);
}

#[test]
fn an_incomplete_body_times_out() {
    let (node, _discovery) = start(&[entry("s-1", refusing_addr(), "active")]);
    let mut client = node.client();
    client.write("PUT /store/a HTTP/1.1\r\nHost: a\r\nX-Request-Id: 1\r\nX-Deadline-Ms: 300\r\nContent-Length: 9\r\n\r\nhalf");
    assert_eq!(client.read().map(|answer| answer.status()), Some(408));
}

/// Guards against clients that send nothing or an incomplete request and hold their connection for 30 s, or
/// for as long as their own deadline. Such a client must be disconnected within 3 s; the limit here is far
/// above that and far below 30 s.
#[test]
fn clients_that_never_finish_a_request_are_disconnected() {
    let (node, _discovery) = start(&[entry("s-1", refusing_addr(), "active")]);
    let began = Instant::now();
    let head = "PUT /store/a HTTP/1.1\r\nHost: a\r\nX-Request-Id: 1\r\nX-Deadline-Ms: 60000\r\n";
    let peers = ["", "GET /read/a HT", head, &format!("{head}Content-Length: 9\r\n\r\nhalf")];
    let mut clients: Vec<Client> = peers.iter().map(|_| node.client()).collect();
    for (client, text) in clients.iter_mut().zip(peers) {
        client.write(text);
    }
    for (client, text) in clients.iter_mut().zip(peers) {
        let status = client.read().map(|answer| answer.status());
        assert!(status.is_none_or(|status| status == 408), "{text:?} got {status:?}");
    }
    assert!(began.elapsed() < TEST_TIMEOUT / 2, "{:?}", began.elapsed());
}

#[test]
fn invalid_datagrams_are_dropped() {
    let cache = Server::start(|_| hit("value"));
    let peer = UdpSocket::bind("127.0.0.1:0").unwrap();
    // Finds a free port by binding and releasing it.
    let own = UdpSocket::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let mut config = config(refusing_addr(), &[entry("s-1", cache.addr, "active")]);
    config["peer_listen"] = json!(own.to_string());
    config["peers"] = json!([own.to_string(), peer.local_addr().unwrap().to_string()]);
    let node = Node::start(&config);
    let stranger = UdpSocket::bind("127.0.0.1:0").unwrap();
    for datagram in [&b""[..], b"\xff\xfe", &[7; 256], &[7; 300]] {
        peer.send_to(datagram, own).unwrap();
        stranger.send_to(datagram, own).unwrap();
    }
    assert_eq!(node.get("/read/a").status(), 200);
}

#[test]
fn an_invalid_configuration_fails_the_start_with_one_line() {
    let mut without_classes = config(refusing_addr(), &[]);
    without_classes["settings"]["grades"] = json!([]);
    let mut bad_address = config(refusing_addr(), &[]);
    bad_address["listen"] = json!("somewhere");
    for text in ["", "{", "{}", &without_classes.to_string(), &bad_address.to_string()] {
        let output = command(&ConfigFile::new(text)).output().unwrap();
        assert!(!output.status.success(), "{text}");
        let stderr = String::from_utf8(output.stderr).unwrap();
        assert_eq!(stderr.lines().count(), 1, "{stderr}");
    }
}

// ---- Start and stop -------------------------------------------------------------------------------------

#[test]
fn on_sigterm_the_node_answers_accepted_and_late_requests_then_exits() {
    let (cache, release) = Server::with_gate(|request| request.path() == "/read/slow", |_| hit("value"));
    let (mut node, _discovery) = start(&[entry("s-1", cache.addr, "active")]);
    // The fresh connection is accepted before the others and has sent nothing yet when the signal arrives.
    let (mut fresh, mut idle, mut slow) = (node.client(), node.client(), node.client());
    assert_eq!(idle.get("/read/a", "").header("connection"), None);
    cache.next_request();
    slow.send("GET", "/read/slow", "X-Deadline-Ms: 8000\r\n", "");
    cache.next_request();
    node.terminate();
    assert!(idle.read().is_none(), "an idle connection is closed");
    for late in [&mut fresh, &mut node.client()] {
        let answer = late.get("/read/b", "");
        assert_eq!((answer.status(), answer.header("connection")), (200, Some("close")));
    }
    release.send(()).unwrap();
    let answer = slow.read().expect("an accepted request is answered");
    assert_eq!((answer.status(), answer.header("connection")), (200, Some("close")));
    assert_eq!(node.exit().code(), Some(0));
    assert!(TcpListener::bind(node.addr).is_ok(), "the node has released its address");
}

/// Guards against a node that ignored a restarted discovery with lower versions: a node at version 51
/// followed nothing for 25 s, because discovery came back at version 2 and held its calls.
#[test]
fn a_restarted_discovery_with_lower_versions_is_followed_again() {
    let (old, new) = (Server::start(|_| hit("old")), Server::start(|_| hit("new")));
    let (was, is) = (old.addr, new.addr);
    let restarted = Arc::new(AtomicBool::new(false));
    let back = Arc::clone(&restarted);
    let discovery = Server::start(move |request| {
        let query = |name: &str| {
            let (_, query) = request.path().split_once('?')?;
            query.split('&').find_map(|pair| pair.strip_prefix(name)?.parse::<u64>().ok())
        };
        let (from, hold) = (query("from="), query("hold_ms=").unwrap_or(0));
        let (version, addr) = if back.load(Ordering::Relaxed) { (2, is) } else { (51, was) };
        if from.is_none_or(|from| from < version) {
            let whole = list(version, true, &[entry("s-1", addr, "active")]);
            return Reply::KeepAlive(response_text("200 OK", "", &whole.to_string()));
        }
        if !back.load(Ordering::Relaxed) {
            // The end of the old discovery ends its watches.
            while !back.load(Ordering::Relaxed) {
                std::thread::sleep(Duration::from_millis(5));
            }
            return Reply::Close(String::new());
        }
        // The new discovery holds calls from versions that it has not reached, and then reports no change.
        std::thread::sleep(Duration::from_millis(hold));
        Reply::KeepAlive(response_text("200 OK", "", &list(from.unwrap_or(0), false, &[]).to_string()))
    });
    let mut config = config(discovery.addr, &[]);
    config["known"] = Value::Null;
    let node = Node::start(&config);
    wait_until("ready", || (node.get("/health/ready").status() == 200).then_some(()));
    assert_eq!(node.get("/read/a").body, "old");
    restarted.store(true, Ordering::Relaxed);
    wait_until("the new list is followed", || (node.get("/read/a").body == "new").then_some(()));
    std::thread::sleep(Duration::from_millis(500));
    let whole = discovery.requests.try_iter().filter(|request| !request.path().contains("from=")).count();
    assert_eq!(whole, 2, "the whole list at the start and once after the break");
}
