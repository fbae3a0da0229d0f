//! A data plane on loopback addresses, between a scripted coordinator and scripted servers. Helpers wait for
//! an event at the other side, not for a fixed time.
#![allow(dead_code)]

pub mod coordinator;
pub mod http;

use std::future::Future;
use std::path::PathBuf;
use std::time::Duration;

use shaletrail_configuration::{Change, ChangeKind, ChangeOutcome, ConfigState};
use shaletrail_dataplane::{Control, Dataplane};
use shaletrail_protocol::external::Heartbeat;
use shaletrail_protocol::internal::{ConfigUpdate, Presence, ServerRecord};
use tokio::net::TcpListener;
use tokio::task::{JoinHandle, LocalSet};

use coordinator::Coordinator;
use http::{Connection, Message};

const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// Runs a test on a single-threaded runtime.
pub fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("build runtime");
    let bounded = async { tokio::time::timeout(TEST_TIMEOUT, test).await.expect("test timed out") };
    LocalSet::new().block_on(&runtime, bounded);
}

/// A running data plane and its coordinator.
pub struct Edge {
    pub coordinator: Coordinator,
    pub control: Control,
    pub ingress: std::net::SocketAddr,
    pub readiness: std::net::SocketAddr,
    pub serving: JoinHandle<()>,
}

impl Edge {
    /// Starts an edge without configuration.
    pub async fn start() -> Edge {
        let coordinator = Coordinator::start().await;
        Edge::start_with_seeds(coordinator, &["127.0.0.2"], "no-such-file")
    }

    /// Starts an edge without configuration. `seeds` are its coordinators; `path` is the settings file that
    /// it reloads.
    pub fn start_with_seeds(coordinator: Coordinator, seeds: &[&str], path: &str) -> Edge {
        let settings = settings(coordinator.port, seeds);
        Edge::start_with_settings(coordinator, &settings, path)
    }

    fn start_with_settings(coordinator: Coordinator, settings: &str, path: &str) -> Edge {
        let settings = settings.parse().expect("valid settings");
        let log = slog::Logger::root(slog::Discard, slog::o!());
        let dataplane = Dataplane::bind(settings, PathBuf::from(path), 7, log).expect("bind listeners");
        let control = dataplane.control();
        let ingress = dataplane.ingress_address().expect("address of listener");
        let readiness = dataplane.readiness_address().expect("address of listener");
        let serving = tokio::task::spawn_local(dataplane.serve());
        Edge { coordinator, control, ingress, readiness, serving }
    }

    /// Like [`Edge::start_with`], with a memory limit of `memory_mb`.
    pub async fn start_with_memory(configuration: &str, servers: &[&Server], memory_mb: u64) -> Edge {
        let coordinator = Coordinator::start().await;
        let settings = settings(coordinator.port, &["127.0.0.2"]);
        let settings = format!("{settings}\nlimits.memoryMb={memory_mb}\n");
        let edge = Edge::start_with_settings(coordinator, &settings, "/nowhere");
        edge.publish(configuration, servers).await;
        edge
    }

    /// Starts an edge and waits until it has applied the configuration and the list of servers.
    pub async fn start_with(configuration: &str, servers: &[&Server]) -> Edge {
        let edge = Edge::start().await;
        edge.publish(configuration, servers).await;
        edge
    }

    async fn publish(&self, configuration: &str, servers: &[&Server]) {
        self.coordinator.publish_configuration(config_update(configuration));
        self.coordinator.publish_servers(servers.iter().map(|server| server.record()).collect());
        self.coordinator.wait_until_applied().await;
    }

    /// Opens a client connection.
    pub async fn connect(&self) -> Connection {
        Connection::open(self.ingress).await
    }

    /// The status code that a readiness check returns.
    pub async fn readiness_status(&self) -> u16 {
        let mut connection = Connection::open(self.readiness).await;
        connection.write("GET /readyz HTTP/1.1\r\nhost: edge\r\n\r\n").await;
        connection.read_response().await.status()
    }
}

/// The text of a settings file. `port` is the port of the coordinators.
pub fn settings(port: u16, seeds: &[&str]) -> String {
    let seeds: Vec<String> = seeds.iter().map(|seed| format!("{seed}:1")).collect();
    let lines = [
        "nodeName=edge-1".to_owned(),
        "ip=127.0.0.1".to_owned(),
        "zone=z1".to_owned(),
        "listenersMap.ingress=127.0.0.1:0".to_owned(),
        "listenersMap.readiness=127.0.0.1:0".to_owned(),
        format!("ephemeralPorts={port},{port}"),
        format!("seedNodes={}", seeds.join(",")),
        "bounds.graceS=1.6".to_owned(),
        "bounds.retryRatio=10".to_owned(),
        "bounds.retrySlack=100".to_owned(),
    ];
    lines.join("\n")
}

/// The update that gives a complete configuration to an edge without one.
pub fn config_update(configuration: &str) -> ConfigUpdate {
    updates_since(0, &[(true, 0, configuration)])
}

/// The update from `version` to the state after all changes. Each change is `(complete, base version, body)`.
pub fn updates_since(version: u64, changes: &[(bool, u64, &str)]) -> ConfigUpdate {
    let mut state = ConfigState::default();
    for (complete, base, body) in changes {
        let change = Change::parse(ChangeKind::from_replace_flag(*complete), *base, body.as_bytes())
            .expect("valid change");
        assert_eq!(state.apply(&change.encode()), ChangeOutcome::Accepted);
    }
    state.updates_since(version).expect("update since this version")
}

/// A route to the service `s1`; for its parameters see [`route_to_service`].
pub fn route(name: &str, path_prefix: &str, kind: &str) -> String {
    route_to_service("s1", name, path_prefix, kind)
}

/// A route to a service on the host `a.example`. `kind` is a route type or "resumable", a resumable streaming
/// route.
pub fn route_to_service(service: &str, name: &str, path_prefix: &str, kind: &str) -> String {
    let (kind, resumable) = match kind {
        "resumable" => ("streaming", true),
        kind => (kind, false),
    };
    format!(
        r#"{{"name":"{name}","host":"a.example","pathPrefix":"{path_prefix}","type":"{kind}","timeoutMs":8000,
        "targetLatencyMs":4000,"priority":1,"service":"{service}","maxAttempts":2,"affinity":false,
        "resumable":{resumable},"gap_aim_ms":2000}}"#
    )
}

/// A configuration of version 1 with these routes, an idle time-out of 15 s and bodies of up to 4096 bytes.
pub fn configuration(routes: &[String]) -> String {
    configuration_with_idle_timeout(routes, 15_000)
}

/// Like [`configuration`], with another idle time-out of client connections.
pub fn configuration_with_idle_timeout(routes: &[String], idle_timeout_ms: u64) -> String {
    configuration_with_limits(routes, idle_timeout_ms, 4096)
}

/// Like [`configuration`], with another idle time-out and another limit of request bodies.
pub fn configuration_with_limits(routes: &[String], idle_timeout_ms: u64, max_body_bytes: usize) -> String {
    let services = r#"{"name":"s1","healthPath":"/healthz","maxConnections":64,"protocol":"h1","tls":false},
        {"name":"s2","healthPath":"/healthz","maxConnections":64,"protocol":"h1","tls":false}"#;
    let limits = format!(
        r#"{{"maxHeaderBytes":16384,"maxBodyBytes":{max_body_bytes},"headerTimeoutMs":3000,"idleTimeoutMs":{idle_timeout_ms}}}"#
    );
    format!(r#"{{"version":1,"routes":[{}],"services":[{services}],"limits":{limits}}}"#, routes.join(","))
}

/// A server whose responses are scripted by the test.
pub struct Server {
    pub id: &'static str,
    service: &'static str,
    listener: TcpListener,
}

impl Server {
    /// Starts a server of the service `s1`.
    pub async fn start(id: &'static str) -> Server {
        Server::start_for("s1", id).await
    }

    pub async fn start_for(service: &'static str, id: &'static str) -> Server {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind listener");
        Server { id, service, listener }
    }

    /// Waits for the next connection from the data plane.
    pub async fn accept(&self) -> Connection {
        Connection::new(self.listener.accept().await.expect("open connection").0)
    }

    /// Waits for the next connection and the first request on it.
    pub async fn accept_request(&self) -> (Connection, Message) {
        let mut connection = self.accept().await;
        let request = connection.read_request().await;
        (connection, request)
    }

    /// Whether the data plane has opened a connection that has not been accepted.
    pub async fn has_unaccepted_connection(&self) -> bool {
        tokio::select! {
            biased;
            accepted = self.listener.accept() => accepted.is_ok(),
            () = tokio::task::yield_now() => false,
        }
    }

    /// From now on, responds to every request with the body of the request.
    pub fn echo(self) {
        tokio::task::spawn_local(async move {
            loop {
                let mut connection = self.accept().await;
                tokio::task::spawn_local(async move {
                    while let Some(request) = connection.next_request().await {
                        connection.respond(&request, &request.body).await;
                    }
                });
            }
        });
    }

    /// The server's record in the coordinator's directory.
    pub fn record(&self) -> ServerRecord {
        let address = self.listener.local_addr().expect("address of listener").to_string();
        let heartbeat = Heartbeat {
            service: self.service.to_owned(),
            address,
            zone: "z1".to_owned(),
            slots: 8,
            sequence: 1,
            ..Heartbeat::default()
        };
        ServerRecord {
            id: self.id.to_owned(),
            heartbeat,
            presence: Presence::Ready,
            ..ServerRecord::default()
        }
    }
}

/// Waits for the first request to either server. Returns its connection, the request, the server that
/// received it and the other server.
pub async fn first_contacted<'a>(
    one: &'a Server,
    other: &'a Server,
) -> (Connection, Message, &'a Server, &'a Server) {
    tokio::select! {
        (connection, request) = one.accept_request() => (connection, request, one, other),
        (connection, request) = other.accept_request() => (connection, request, other, one),
    }
}
