//! The real processes of a run: nodes and registry replicas. Nodes read discovery through proxies, one per node and
//! replica, and exchange peer messages through UDP relays, so that the lab can apply faults between zones.

use std::collections::HashMap;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::os::fd::OwnedFd;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Response, StatusCode};
use serde_json::{json, Value};
use shaletrail_registry_client::call::{Call, HttpClient};
use shaletrail_registry_protocol::{List, State};
use tokio::net::UdpSocket;
use tokio::time::{sleep, sleep_until, Instant};

use crate::backends::{Backends, RunState, COLD_CRASH_MULTIPLE, COLD_CRASH_WINDOW_S};
use crate::loopback::{lock, serve};
use crate::net::{message_delay, SharedRng};
use crate::plan::quota;
use crate::process::{cpu_s, Process, TempFolder};
use crate::registry::{free_addr, RegistryCluster};
use crate::scenario::{Effect, FaultKind, Scenario};

/// How long a node may still send requests to a server after it has learned that the server leaves.
pub const DRAIN_GRACE_S: f64 = 0.5;
/// How long after the client's deadline a final response may arrive.
pub const ANSWER_GRACE_S: f64 = 0.02;
/// Size limit of a response from discovery, in bytes.
const MAX_LIST_BYTES: usize = 16 << 20;
/// Timeout of a read of discovery; longer than the 60 s for which a watch may be held.
const WATCH_TIMEOUT: Duration = Duration::from_secs(65);
/// How long a node may take to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(60);
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Buffer for a message between nodes, in bytes: the limit of 256, and one more to detect longer messages.
const MESSAGE_BUFFER: usize = 257;

/// Records that discovery told a node, at `at_s`, whether a server is active.
#[derive(Clone, Copy, Debug)]
pub struct StateNotice {
    pub node: u16,
    pub server: u16,
    /// Whether the server is leaving or gone; false when it is active.
    pub leaves: bool,
    /// Seconds since the start of the run.
    pub at_s: f64,
}

/// A node of the fleet. Its addresses and folder stay the same when its process is replaced.
pub struct Node {
    pub number: usize,
    pub name: String,
    pub zone: usize,
    pub listen: SocketAddr,
    /// Address of the operator endpoints (`/-/...`); changes with each upgrade.
    pub ops: Mutex<SocketAddr>,
    folder: PathBuf,
    config: PathBuf,
    process: Mutex<Option<Process>>,
    /// The listening socket, when it is kept across processes (socket activation), as in a scenario with upgrades.
    listener: Option<TcpListener>,
    /// Whether the load balancer in front of its zone sends connections to it.
    pub in_rotation: AtomicBool,
    /// Intervals in which its process was not running or was stopped. The last one ends at infinity while it lasts.
    pub downtimes: Mutex<Vec<(f64, f64)>>,
}

/// State shared by the discovery proxies: what they need to answer, and a record of what they sent to the nodes.
pub struct DiscoveryProxies {
    run_state: Arc<RunState>,
    backends: Arc<Backends>,
    /// Discovery addresses of the registry replicas.
    replicas: Vec<SocketAddr>,
    node_zones: Vec<usize>,
    pub notices: Mutex<Vec<StateNotice>>,
    /// When each version of the server list was first sent to a node: time and version.
    pub versions: Mutex<Vec<(f64, u64)>>,
    /// Number of messages between nodes that were longer than allowed, and dropped.
    pub long_messages: AtomicUsize,
}

/// The processes of a run. They are killed when it is dropped.
pub struct Fleet {
    pub nodes: Vec<Arc<Node>>,
    pub service: Mutex<RegistryCluster>,
    pub proxies: Arc<DiscoveryProxies>,
    /// The node's program.
    program: PathBuf,
    pub folder: TempFolder,
    /// Configuration of each node, without its operator address.
    configs: Mutex<Vec<Value>>,
}

impl Fleet {
    /// Starts the replicas. The nodes are started by [`Fleet::start_nodes`], once the servers are listed.
    ///
    /// # Errors
    /// When a socket, folder or thread can't be created.
    pub async fn start(
        run_state: &Arc<RunState>,
        backends: &Arc<Backends>,
        command: &Path,
        node: &Path,
    ) -> io::Result<Fleet> {
        let scenario = &run_state.scenario;
        let (program, replicas) = (command.to_owned(), scenario.fleet.replicas);
        let service = tokio::task::spawn_blocking(move || RegistryCluster::start(&program, "lab", replicas));
        let service = service.await.map_err(io::Error::other)?;
        let zones = scenario.fleet.zones.len();
        let proxies = Arc::new(DiscoveryProxies {
            run_state: Arc::clone(run_state),
            backends: Arc::clone(backends),
            replicas: service.discovery(),
            node_zones: (0..scenario.fleet.nodes).map(|n| n % zones).collect(),
            notices: Mutex::default(),
            versions: Mutex::default(),
            long_messages: AtomicUsize::new(0),
        });
        let folder = TempFolder::new("lab-nodes");
        let upgrades = scenario.faults.iter().any(|fault| matches!(fault.kind, FaultKind::UpgradeNodes {}));
        let mut nodes = Vec::new();
        for number in 0..scenario.fleet.nodes {
            let name = format!("n{number}");
            let listen = free_addr();
            let own = folder.0.join(&name);
            std::fs::create_dir_all(&own)?;
            nodes.push(Arc::new(Node {
                number,
                zone: number % zones,
                listen,
                ops: Mutex::new(free_addr()),
                config: own.join("config.json"),
                folder: own,
                process: Mutex::default(),
                listener: if upgrades { Some(TcpListener::bind(listen)?) } else { None },
                in_rotation: AtomicBool::new(true),
                downtimes: Mutex::default(),
                name,
            }));
        }
        let mut configs = Vec::new();
        let relays = if scenario.fleet.peers { open_relays(&proxies, &nodes).await? } else { HashMap::new() };
        for node in &nodes {
            let peers = relays.get(&node.number);
            configs.push(config(scenario, node, &proxies.open(node.number).await?, peers));
        }
        let (service, configs) = (Mutex::new(service), Mutex::new(configs));
        Ok(Fleet { nodes, service, proxies, program: node.to_owned(), folder, configs })
    }

    /// Starts all nodes and waits until they are ready.
    ///
    /// # Errors
    /// Names the first node that does not become ready, with its log.
    pub async fn start_nodes(&self) -> io::Result<()> {
        for node in &self.nodes {
            self.launch(node)?;
        }
        for node in &self.nodes {
            wait_until_ready(node.listen, CLIENT_READY_PATH).await.map_err(|e| {
                let log = std::fs::read_to_string(self.log(node)).unwrap_or_default();
                io::Error::other(format!("{}: {e}; log of the node:\n{log}", node.name))
            })?;
        }
        Ok(())
    }

    fn log(&self, node: &Node) -> PathBuf {
        self.folder.0.join(format!("{}.log", node.name))
    }

    /// Each node's name and its whole log.
    pub fn logs(&self) -> Vec<(String, String)> {
        let read = |node: &Arc<Node>| std::fs::read_to_string(self.log(node)).unwrap_or_default();
        self.nodes.iter().map(|node| (node.name.clone(), read(node))).collect()
    }

    fn spawn(&self, node: &Node) -> io::Result<Process> {
        let mut settings = lock(&self.configs)[node.number].clone();
        settings["ops"] = json!(lock(&node.ops).to_string());
        write_config(&node.config, &settings)?;
        let mut command = Command::new(&self.program);
        command.env_clear().env("LB_CONFIG", &node.config).env("TMPDIR", &node.folder);
        let input = match &node.listener {
            None => Stdio::null(),
            Some(listener) => {
                command.env("LB_SOCKET_FD", "0");
                Stdio::from(OwnedFd::from(listener.try_clone()?))
            }
        };
        Ok(Process::start_with(&mut command, &self.log(node), input))
    }

    /// Starts a node's process, without waiting until it is ready.
    pub fn launch(&self, node: &Node) -> io::Result<()> {
        let process = self.spawn(node)?;
        *lock(&node.process) = Some(process);
        Ok(())
    }

    /// Sends SIGKILL to a node and waits until it has ended.
    pub fn kill(&self, node: &Node) {
        let process = lock(&node.process).take();
        drop(process);
    }

    /// Sends a signal by its short name, such as `STOP`, to a node's process, if it is running.
    pub fn signal(&self, node: &Node, name: &str) {
        if let Some(process) = &*lock(&node.process) {
            process.signal(name);
        }
    }

    /// Names of the nodes whose processes ended without being killed by the lab.
    pub fn crashed(&self) -> Vec<String> {
        let ended = |node: &&Arc<Node>| lock(&node.process).as_mut().is_some_and(Process::has_ended);
        self.nodes.iter().filter(ended).map(|node| node.name.clone()).collect()
    }

    /// CPU time used by the running nodes and by the running replicas, in seconds.
    pub fn cpu_s(&self) -> (f64, f64) {
        let of = |process: &Process| cpu_s(process.id()).unwrap_or(0.0);
        let nodes = self.nodes.iter().filter_map(|node| lock(&node.process).as_ref().map(of)).sum();
        let service = lock(&self.service);
        let replicas = service.replicas.iter().filter_map(|replica| replica.process.as_ref().map(of)).sum();
        (nodes, replicas)
    }

    /// Starts a new process on the same listening socket, waits until it is ready, then ends the old one by SIGTERM.
    ///
    /// # Errors
    /// When the new process does not become ready; the old one keeps running.
    pub async fn upgrade(&self, node: &Arc<Node>) -> io::Result<()> {
        *lock(&node.ops) = free_addr();
        let ops = *lock(&node.ops);
        let new = self.spawn(node)?;
        wait_until_ready(ops, "/-/ready").await?;
        let old = lock(&node.process).replace(new);
        if let Some(mut old) = old {
            old.signal("TERM");
            let ended = tokio::task::spawn_blocking(move || old.wait_for_exit());
            ended.await.map_err(io::Error::other)?;
        }
        Ok(())
    }

    /// Opens new discovery proxies for all nodes and announces their addresses by configuration file and SIGHUP.
    ///
    /// # Errors
    /// When a socket can't be opened or a file not written.
    pub async fn move_discovery(&self) -> io::Result<()> {
        for node in &self.nodes {
            let proxies = self.proxies.open(node.number).await?;
            {
                let mut configs = lock(&self.configs);
                let settings = &mut configs[node.number];
                settings["discovery"] = json!(proxies[0].to_string());
                let also: Vec<String> = proxies[1..].iter().map(ToString::to_string).collect();
                settings["discovery_also"] = json!(also);
                settings["ops"] = json!(lock(&node.ops).to_string());
                write_config(&node.config, settings)?;
            }
            self.signal(node, "HUP");
        }
        Ok(())
    }

    /// Calls `disable` or `enable` for a server at a node's operator endpoint. Returns whether the call succeeded.
    pub async fn set_by_operator(&self, node: &Node, server: &str, call: &str) -> bool {
        let path = format!("/-/cache-servers/{server}/{call}");
        let call = Call { method: hyper::Method::POST, ..Call::get(&path, 1 << 10) };
        let ops = *lock(&node.ops);
        let answer = HttpClient::new(ops).send(Duration::from_secs(5), call).await;
        answer.is_ok_and(|answer| answer.status.is_success())
    }
}

/// Replaces a configuration file atomically, so that a node never reads half of it.
fn write_config(file: &Path, settings: &Value) -> io::Result<()> {
    let new = file.with_extension("new");
    std::fs::write(&new, settings.to_string())?;
    std::fs::rename(new, file)
}

/// Readiness path on a node's client address, which the load balancer in front of the nodes checks. The operator
/// address has a readiness path of its own, `/-/ready`.
pub const CLIENT_READY_PATH: &str = "/health/ready";

/// Polls a readiness path until it answers with success.
///
/// # Errors
/// When it does not within `READY_TIMEOUT`.
pub async fn wait_until_ready(addr: SocketAddr, path: &str) -> io::Result<()> {
    let until = Instant::now() + READY_TIMEOUT;
    loop {
        let answer = HttpClient::new(addr).send(READY_TIMEOUT, Call::get(path, 1 << 10)).await;
        if answer.is_ok_and(|answer| answer.status.is_success()) {
            return Ok(());
        }
        if Instant::now() > until {
            return Err(io::Error::other(format!("not ready within {} s", READY_TIMEOUT.as_secs())));
        }
        sleep(POLL_INTERVAL).await;
    }
}

impl DiscoveryProxies {
    /// Opens the proxies of one node, one for each replica. Returns their addresses, in the order in which the node
    /// tries them.
    async fn open(self: &Arc<Self>, node: usize) -> io::Result<Vec<SocketAddr>> {
        let mut proxies = Vec::new();
        for n in 0..self.replicas.len() {
            // Spreads the nodes over the replicas: each starts with a different one.
            let replica = (n + node) % self.replicas.len();
            let shared = Arc::clone(self);
            let answer = move |request: hyper::Request<hyper::body::Incoming>| {
                let (shared, path) = (Arc::clone(&shared), request.uri().to_string());
                async move {
                    let answer = shared.forward(node, replica, &path).await;
                    answer.unwrap_or_else(|| {
                        let mut reply = Response::new(Full::new(Bytes::new()));
                        *reply.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
                        reply
                    })
                }
            };
            proxies.push(serve(answer).await?);
        }
        Ok(proxies)
    }

    /// Forwards a read to a replica over the emulated link between their zones, and replaces the servers' addresses in
    /// the response by those for the node's zone. Records the states and the version that the node receives. `None` when the replica does not
    /// answer with a list.
    async fn forward(&self, node: usize, replica: usize, path: &str) -> Option<Response<Full<Bytes>>> {
        let zone = self.node_zones[node];
        let zones = self.run_state.scenario.fleet.zones.len();
        let mut link = self.backends.links().between(zone, replica % zones);
        let is_up = |link: &crate::net::Link| !link.forward.cut && !link.reverse.cut;
        link.wait_for(is_up).await.ok()?;
        let call = Call::get(path, MAX_LIST_BYTES);
        let answer = HttpClient::new(self.replicas[replica]).send(WATCH_TIMEOUT, call).await.ok()?;
        if answer.status != StatusCode::OK {
            return None;
        }
        let mut list: List = serde_json::from_slice(&answer.body).ok()?;
        let backends = self.backends.all();
        let known: HashMap<&str, usize> =
            backends.iter().enumerate().map(|(n, backend)| (backend.id.as_str(), n)).collect();
        link.wait_for(is_up).await.ok()?;
        let at_s = self.run_state.elapsed_s();
        let mut notices = Vec::new();
        for entry in &mut list.servers {
            if entry.id == self.backends.origin.id {
                entry.addr = self.backends.origin.addrs[zone];
                continue;
            }
            let Some(backend) = known.get(entry.id.as_str()).map(|n| &backends[*n]) else { continue };
            entry.addr = backend.addrs[zone];
            let leaves = entry.state != State::Active;
            notices.push(StateNotice { node: node as u16, server: backend.number, leaves, at_s });
        }
        lock(&self.notices).extend(notices);
        let mut versions = lock(&self.versions);
        if versions.last().is_none_or(|(_, last)| *last < list.version) {
            versions.push((at_s, list.version));
        }
        drop(versions);
        Some(Response::new(Full::new(serde_json::to_vec(&list).ok()?.into())))
    }
}

/// Opens UDP relays between each pair of nodes, and one broadcast relay per node. By node: its own peer address, the
/// addresses at which it reaches each peer, and the one at which it reaches all of them.
async fn open_relays(
    proxies: &Arc<DiscoveryProxies>,
    nodes: &[Arc<Node>],
) -> io::Result<HashMap<usize, (SocketAddr, Vec<SocketAddr>, SocketAddr)>> {
    let any = || UdpSocket::bind("127.0.0.1:0");
    let own: Vec<SocketAddr> = nodes.iter().map(|_| free_addr()).collect();
    // between[i][j]: the socket at which node i reaches node j. Messages from j to i are sent from it, so that i sees j
    // under one address.
    let mut between = Vec::new();
    for _ in nodes {
        let mut row = Vec::new();
        for _ in nodes {
            row.push(Arc::new(any().await?));
        }
        between.push(row);
    }
    let mut all = HashMap::new();
    for i in 0..nodes.len() {
        let mut peers = Vec::new();
        for (j, socket) in between[i].iter().enumerate() {
            peers.push(if i == j { own[i] } else { socket.local_addr()? });
        }
        let broadcast = any().await?;
        all.insert(i, (own[i], peers, broadcast.local_addr()?));
        let targets = |of: Vec<usize>| -> Vec<_> {
            let target = |j: usize| (nodes[j].zone, Arc::clone(&between[j][i]), own[j]);
            of.into_iter().filter(|j| *j != i).map(target).collect()
        };
        for (j, socket) in between[i].iter().enumerate().filter(|(j, _)| *j != i) {
            let (socket, targets) = (Arc::clone(socket), targets(vec![j]));
            tokio::spawn(relay(Arc::clone(proxies), nodes[i].zone, socket, targets));
        }
        let targets = targets((0..nodes.len()).collect());
        tokio::spawn(relay(Arc::clone(proxies), nodes[i].zone, Arc::new(broadcast), targets));
    }
    Ok(all)
}

/// Forwards each message to all targets, with the delay and loss of the emulated link. Each target receives it from the
/// address under which it knows the sender.
async fn relay(
    proxies: Arc<DiscoveryProxies>,
    zone: usize,
    socket: Arc<UdpSocket>,
    targets: Vec<(usize, Arc<UdpSocket>, SocketAddr)>,
) {
    let loss = proxies.run_state.scenario.link.peer_loss;
    let dice = SharedRng::new(zone as u64);
    let mut message = vec![0; MESSAGE_BUFFER];
    loop {
        let Ok((n, _)) = socket.recv_from(&mut message).await else {
            sleep(POLL_INTERVAL).await;
            continue;
        };
        if n == MESSAGE_BUFFER {
            proxies.long_messages.fetch_add(1, Ordering::Relaxed);
            continue;
        }
        for (to, from, addr) in &targets {
            let way = proxies.backends.links().now(zone, *to).forward;
            let Some(delay) = message_delay(&way, loss, &dice) else { continue };
            let (from, addr, message) = (Arc::clone(from), *addr, message[..n].to_vec());
            let due = Instant::now() + delay;
            tokio::spawn(async move {
                sleep_until(due).await;
                let _ = from.send_to(&message, addr).await;
            });
        }
    }
}

/// A node's own peer address, the relay addresses of its peers, and that of its broadcast relay.
type Peers = (SocketAddr, Vec<SocketAddr>, SocketAddr);

/// The configuration that the platform would give a node.
fn config(scenario: &Scenario, node: &Node, proxies: &[SocketAddr], peers: Option<&Peers>) -> Value {
    let class_settings = |class: &crate::scenario::Class| {
        let effect = match class.effect {
            Effect::Free => "free",
            Effect::Guarded => "guarded",
            Effect::SingleShot => "single_shot",
        };
        json!({"name": class.name, "effect": effect, "group": "all", "key-ttl-s": class.key_ttl_s,
               "target-s": class.wanted_ms / 1e3, "hard-limit-s": class.give_up_ms / 1e3,
               "importance": class.worth, "late-worth": class.late_worth, "streamed": false})
    };
    let tenant_settings = |(n, tenant): (usize, &crate::scenario::Tenant)| json!({"name": tenant.name, "share": tenant.share, "quota-per-s": quota(scenario, n)});
    let (fleet, server, origin) = (&scenario.fleet, &scenario.servers, &scenario.origin);
    let settings = json!({
        "areas": fleet.zones, "balancers": fleet.nodes, "me": node.number,
        "locality": fleet.zones[node.zone], "clients": {"marks-retry": false}, "family": "cache",
        "family-info": {"mode": "aside", "origin-kind": 1, "origin-fall-multiple": origin.fall_multiple,
                        "origin-fall-s": origin.fall_s,
                        "notes": "1 hit, 2 miss, 3 miss while another fetch of the key is pending"},
        "goal": {"whole": 0.35, "worst-class": 0.4, "worst-tenant": 0.1, "worst-window": 0.15},
        "grades": scenario.classes.iter().map(class_settings).collect::<Vec<_>>(),
        "guarantees": {"ask-every-s": 10.0, "cold-from": server.cold_from, "drain-grace-s": DRAIN_GRACE_S,
                       "fall-multiple": COLD_CRASH_MULTIPLE, "fall-s": COLD_CRASH_WINDOW_S,
                       "grace-to-answer-s": ANSWER_GRACE_S, "ramp-time-s": server.cold_s},
        "limits": {"cancel": true, "cpu-us-per-request": 0.0, "cpu-us-per-s": 400_000,
                   "dial-timeout-s": 0.12, "idle-close-s": 60.0, "max-attempts": 3, "max-open": 20_000,
                   "max-retry-after-s": 1.0, "multiplex": 1, "parallel-tries": true,
                   "peers": fleet.peers, "probes": true, "retry-after": true},
        "membership-mode": "on_request", "over-share-worth": 0.05,
        "prices": {"connection": 0.0, "cross-zone": 0.022, "handshake": 0.02, "late-fail": 0.027,
                   "membership-mode": 0.005, "moves": 0.0, "origin": 0.0, "peer": 0.01, "probe": 0.01,
                   "waste": 0.02},
        "report": {"fields": ["svc_ms", "busy_reqs", "pending"], "how": "on_probe"},
        "round-s": 0.005, "skus": ["box", "origin"], "stage": 0, "stages": ["register-cache"],
        "tenants": scenario.tenants.iter().enumerate().map(tenant_settings).collect::<Vec<_>>(),
        "weight-source": "off", "worth-by": "work",
    });
    let also: Vec<String> = proxies[1..].iter().map(ToString::to_string).collect();
    let seed = format!("{:016x}", scenario.seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ node.number as u64);
    let mut config = json!({
        "name": node.name, "listen": node.listen.to_string(), "discovery": proxies[0].to_string(),
        "discovery_also": also, "seed": seed,
        "limits": {"cores": 1.0, "memory_mb": fleet.memory_mb, "sockets": fleet.sockets},
        "settings": settings,
    });
    if let Some((own, peers, all)) = peers {
        config["peer_listen"] = json!(own.to_string());
        config["peers"] = json!(peers.iter().map(ToString::to_string).collect::<Vec<_>>());
        config["peers_all"] = json!(all.to_string());
    }
    config
}
