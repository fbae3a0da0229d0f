//! The control API and the internal port of a coordinator over loopback: each caller gets the response to its own call,
//! and responses keep their text.

use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use shaletrail_coordinator::driver::coordinator_driver::CoordinatorDriver;
use shaletrail_coordinator::driver::frames::read_frame;
use shaletrail_coordinator::driver::{control_api, internal_api, journal, sockets};
use shaletrail_coordinator::interface::{CoordinatorOptions, Event};
use shaletrail_protocol::frame;
use shaletrail_protocol::internal::{
    CoordinatorMessage, EdgeIdentity, EdgeRequest, Handshake, PollRequest, PollResponse,
};
use shaletrail_protocol::settings::Settings;
use shaletrail_protocol::{Incarnation, NodeId};
use slog::{o, Discard, Logger};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

mod common;
mod local_runtime;

use local_runtime::run_within;

/// Timeout of a test, far longer than a successful run takes.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// Interval between ticks, and between attempts of a call.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// The only coordinator of its system.
struct TestCoordinator {
    control: SocketAddr,
    internal: SocketAddr,
    folder: PathBuf,
}

impl Drop for TestCoordinator {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl TestCoordinator {
    fn start(name: &str) -> TestCoordinator {
        TestCoordinator::with_seeds(name, "127.0.0.1:8146")
    }

    fn with_seeds(name: &str, seeds: &str) -> TestCoordinator {
        let folder = std::env::temp_dir().join(format!("shaletrail-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("the directory is accessible");
        let text = format!(
            "nodeName=core-1\nip=127.0.0.1\nzone=a\nephemeralPorts=7660,7675\nseedNodes={seeds}\n\
             bootstrap=true\nfaultTolerance.hostsLost=0\nheartbeatMs=1200\n"
        );
        let settings: Settings = text.parse().expect("the settings are read");
        let log = Logger::root(Discard, o!());
        let opened = journal::open_journal(&folder, &settings, &log).expect("the journal is opened");
        let options = CoordinatorOptions::from_settings(&settings, Incarnation(7));
        let driver = CoordinatorDriver::start(options, &settings, opened, log.clone());
        let listen = || {
            let listener =
                sockets::listen(SocketAddr::from((Ipv4Addr::LOCALHOST, 0))).expect("a port is bound");
            let address = listener.local_addr().expect("the address is known");
            (listener, address)
        };
        let ((control_listener, control), (internal_listener, internal)) = (listen(), listen());
        tokio::task::spawn_local(control_api::serve(Rc::clone(&driver), control_listener, log.clone()));
        tokio::task::spawn_local(internal_api::serve(Rc::clone(&driver), internal_listener, log));
        tokio::task::spawn_local(async move {
            loop {
                driver.handle(Event::Tick);
                tokio::time::sleep(TICK_INTERVAL).await;
            }
        });
        TestCoordinator { control, internal, folder }
    }

    async fn connect(&self) -> TcpStream {
        TcpStream::connect(self.control).await.expect("the connection is established")
    }

    /// Sends a call on a separate connection, and retries it until the status is not 503.
    async fn call(&self, method: &str, path: &str, base: u64, body: &str) -> (u16, String) {
        loop {
            let mut stream = self.connect().await;
            send(&mut stream, method, path, base, body).await;
            let (status, body) = read_response(&mut stream).await;
            if status != 503 {
                return (status, body);
            }
            tokio::time::sleep(TICK_INTERVAL).await;
        }
    }
}

async fn send(stream: &mut TcpStream, method: &str, path: &str, base: u64, body: &str) {
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: control\r\nBase-Version: {base}\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all(format!("{head}{body}").as_bytes()).await.expect("the call is written");
}

/// Reads one response, whose length is given in its head.
async fn read_response(stream: &mut TcpStream) -> (u16, String) {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.expect("a response is received"));
    }
    let head = String::from_utf8(head).expect("the bytes are UTF-8").to_ascii_lowercase();
    let status = head
        .split(' ')
        .nth(1)
        .and_then(|status| status.parse().ok())
        .expect("the head contains a status code");
    let length = head.split("content-length: ").nth(1).and_then(|rest| rest.split("\r\n").next());
    let mut body =
        vec![0; length.and_then(|length| length.parse().ok()).expect("the head contains a content length")];
    stream.read_exact(&mut body).await.expect("the response is complete");
    (status, String::from_utf8(body).expect("the bytes are UTF-8"))
}

fn heartbeat(sequence: u64) -> String {
    format!(
        r#"{{"service":"web","address":"127.0.0.1:9","zone":"a","version":"v1","slots":4,"state":"ready",
        "coldRemainingMs":0,"sequence":{sequence}}}"#
    )
}

#[test]
fn pipelined_calls_get_their_own_responses() {
    run_within(TEST_TIMEOUT, async {
        // given
        let coordinator = TestCoordinator::start("kept-alive");
        let configuration = common::configuration(3, "a.example");
        assert_eq!(coordinator.call("POST", "/Config.Replace", 0, &configuration).await.0, 200);

        // when: all calls are written before the first response is read
        let mut stream = coordinator.connect().await;
        send(&mut stream, "POST", "/Instances.Heartbeat/i-1", 0, &heartbeat(1)).await;
        send(&mut stream, "POST", "/Config.Replace", 0, &common::configuration(3, "b.example")).await;
        send(&mut stream, "GET", "/Config.Read", 0, "").await;
        send(&mut stream, "POST", "/Config.Replace", 3, "{").await;
        send(&mut stream, "POST", "/Nothing", 0, "").await;

        // then
        let (status, body) = read_response(&mut stream).await;
        assert_eq!(
            (status, body.as_str()),
            (200, "{}"),
            "the response names no endpoint for later heartbeats"
        );
        assert_eq!(read_response(&mut stream).await, (412, "version 3 is current\n".to_owned()));
        let (status, body) = read_response(&mut stream).await;
        assert!(status == 200 && body.contains("a.example") && !body.contains("b.example"), "{body}");
        assert_eq!(read_response(&mut stream).await.0, 400);
        assert_eq!(read_response(&mut stream).await.0, 404);
    });
}

/// Sends one call and returns the status, the headers `content-type` and `retry-after` if present, and the body.
async fn full_response(
    coordinator: &TestCoordinator,
    (method, path, base, body): (&str, &str, &str, &str),
) -> (String, Vec<String>, String) {
    let mut stream = coordinator.connect().await;
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: control\r\nConnection: close\r\nBase-Version: {base}\r\n\
         Content-Length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all(format!("{head}{body}").as_bytes()).await.expect("the call is written");
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await.expect("the response is complete");
    let (head, body) = answer.split_once("\r\n\r\n").expect("the response has a head");
    let mut lines = head.lines();
    let status = lines
        .next()
        .and_then(|line| line.strip_prefix("HTTP/1.1 "))
        .expect("the head starts with a status line");
    let headers = lines.filter(|line| line.starts_with("content-type") || line.starts_with("retry-after"));
    (status.to_owned(), headers.map(str::to_owned).collect(), body.to_owned())
}

/// Programs of server and operator teams rely on these responses. If this test fails, restore the response.
#[test]
fn responses_keep_status_headers_and_text() {
    run_within(TEST_TIMEOUT, async {
        // given
        let coordinator = TestCoordinator::start("answers");
        let configuration = common::configuration(3, "a.example");
        assert_eq!(coordinator.call("POST", "/Config.Replace", 0, &configuration).await.0, 200);
        let replace = "/Config.Replace";
        let long = format!("{}{}", heartbeat(1), " ".repeat(4096));
        let json: &[&str] = &["content-type: application/json"];

        // when, then
        let heartbeat = heartbeat(1);
        let calls = [
            (("POST", "/Instances.Heartbeat/i-1", "", &*heartbeat), "200 OK", json, "{}"),
            (("POST", "/Instances.Deregister/i-1", "", ""), "200 OK", json, "{}"),
            (("POST", replace, "0", &configuration), "200 OK", json, "{}"),
            (
                ("POST", replace, "1", "{\"version\":4}"),
                "412 Precondition Failed",
                &[],
                "version 3 is current\n",
            ),
            (("POST", replace, "3", "{"), "400 Bad Request", &[], "body: not JSON from byte 0 on\n"),
            (
                ("POST", replace, "3", "{}"),
                "400 Bad Request",
                &[],
                "body: version: missing, expected a whole number\n",
            ),
            (("POST", replace, "x", ""), "400 Bad Request", &[], "Base-Version: expected a whole number\n"),
            (("GET", replace, "0", ""), "405 Method Not Allowed", &[], "another method is expected here\n"),
            (
                ("POST", "/Config.Read", "0", ""),
                "405 Method Not Allowed",
                &[],
                "another method is expected here\n",
            ),
            (("GET", "/Nothing", "0", ""), "404 Not Found", &[], "there is no such call\n"),
            (
                ("POST", "/Instances.Heartbeat/i-1", "", &long),
                "413 Payload Too Large",
                &[],
                "a heartbeat holds at most 4096 bytes\n",
            ),
        ];
        for (call, status, headers, body) in calls {
            let expected =
                (status.to_owned(), headers.iter().map(|line| (*line).to_owned()).collect(), body.to_owned());
            assert_eq!(full_response(&coordinator, call).await, expected, "{} {}", call.0, call.1);
        }
    });
}

#[test]
fn unavailable_response_has_retry_after() {
    run_within(TEST_TIMEOUT, async {
        let coordinator =
            TestCoordinator::with_seeds("unclear", "127.0.0.1:8146,127.0.0.2:8146,127.0.0.3:8146");
        let call = ("POST", "/Instances.Deregister/i-1", "", "");
        let expected = (
            "503 Service Unavailable".to_owned(),
            vec!["retry-after: 0.2".to_owned()],
            "no clear answer: ask another node\n".to_owned(),
        );
        assert_eq!(full_response(&coordinator, call).await, expected);
    });
}

#[test]
fn abandoned_calls_do_not_affect_others() {
    run_within(TEST_TIMEOUT, async {
        let coordinator = TestCoordinator::start("leaving");
        assert_eq!(
            coordinator.call("POST", "/Config.Replace", 0, &common::configuration(2, "a.example")).await.0,
            200
        );
        for version in 3..20 {
            let mut abandoned = coordinator.connect().await;
            let body = common::configuration(version, "left.example");
            send(&mut abandoned, "POST", "/Config.Replace", 0, &body).await;
            drop(abandoned);
            let (status, body) = coordinator.call("GET", "/Config.Read", 0, "").await;
            assert!(status == 200 && body.contains("a.example"), "{status} {body}");
        }
    });
}

#[test]
fn oversized_and_malformed_bodies_are_rejected() {
    run_within(TEST_TIMEOUT, async {
        let coordinator = TestCoordinator::start("bounds");
        let long = format!("{}{}", heartbeat(1), " ".repeat(4096));
        assert_eq!(coordinator.call("POST", "/Instances.Heartbeat/i-1", 0, &long).await.0, 413);
        assert_eq!(coordinator.call("POST", "/Instances.Heartbeat/i-1", 0, "{}x").await.0, 400);
        assert_eq!(coordinator.call("GET", "/Config.Replace", 0, "").await.0, 405);
    });
}

#[test]
fn broken_frames_of_peers_do_not_affect_polls() {
    run_within(TEST_TIMEOUT, async {
        // given
        let coordinator = TestCoordinator::start("frames");
        assert_eq!(
            coordinator.call("POST", "/Config.Replace", 0, &common::configuration(5, "a.example")).await.0,
            200
        );
        let handshake = Handshake::Coordinator {
            node: NodeId::from(Ipv4Addr::new(127, 0, 0, 8)),
            incarnation: Incarnation(3),
        };
        let message = frame::encode(&CoordinatorMessage::DirectoryAck { batch: 1 });
        for rest in [&message[..message.len() - 1], b"\xff\xff\xff\xffgarbage", b"\x00\x00\x00\x02\xff\xff"] {
            let mut stream =
                TcpStream::connect(coordinator.internal).await.expect("the connection is established");
            stream.write_all(&frame::encode(&handshake)).await.expect("the handshake is written");
            stream.write_all(rest).await.expect("the bytes are written");
            stream.shutdown().await.expect("the end is written");
            let mut answer = Vec::new();
            let _ = stream.read_to_end(&mut answer).await;
            assert_eq!(answer, b"", "such a connection gets no response");
        }

        // when
        let edge = EdgeIdentity { node: NodeId(100), incarnation: Incarnation(1), zone: "a".to_owned() };
        let mut stream =
            TcpStream::connect(coordinator.internal).await.expect("the connection is established");
        let poll = EdgeRequest::Poll(PollRequest { max_wait_ms: 200, ..PollRequest::default() });
        let call = [frame::encode(&Handshake::Edge(edge)), frame::encode(&poll)].concat();
        stream.write_all(&call).await.expect("the poll is written");

        // then
        let response: PollResponse = read_frame(&mut stream).await.expect("a response is received");
        assert!(!response.isolated);
        assert!(response.config.is_some());
    });
}

#[test]
fn later_handshake_of_a_peer_ends_its_earlier_connection() {
    run_within(TEST_TIMEOUT, async {
        // given: a peer that has opened a second connection, as after a restart
        let coordinator = TestCoordinator::start("handshakes");
        let connect = |incarnation| async move {
            let node = NodeId::from(Ipv4Addr::new(127, 0, 0, 8));
            let mut stream =
                TcpStream::connect(coordinator.internal).await.expect("the connection is established");
            let handshake = Handshake::Coordinator { node, incarnation: Incarnation(incarnation) };
            stream.write_all(&frame::encode(&handshake)).await.expect("the handshake is written");
            stream
        };
        let mut earlier = connect(3).await;
        tokio::time::sleep(TICK_INTERVAL).await;
        let mut later = connect(4).await;
        tokio::time::sleep(TICK_INTERVAL).await;

        // when: a late message arrives on the earlier connection
        let message = frame::encode(&CoordinatorMessage::DirectoryAck { batch: 1 });
        earlier.write_all(&message).await.expect("the message is written");

        // then: the earlier connection is closed, the later one stays open
        let mut answer = Vec::new();
        let _ = earlier.read_to_end(&mut answer).await;
        assert_eq!(answer, b"");
        later.write_all(&message).await.expect("the message is written");
        let read = tokio::time::timeout(4 * TICK_INTERVAL, later.read_to_end(&mut answer)).await;
        assert!(read.is_err(), "the later connection has ended");
    });
}
