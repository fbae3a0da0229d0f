//! The real programs of a run: nodes and replicas of the list service, with a view of discovery for each node and
//! relays for messages between them.

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
use crate::process::{cpu_s, Folder, Process};
use crate::registry::{free_addr, RegistryCluster};
use crate::scenario::{Effect, FaultKind, Scenario};

/// Nodes may send to a server for so long after they have been told that it leaves.
pub const DRAIN_GRACE_S: f64 = 0.5;
/// A final answer may come so much after the client's deadline.
pub const ANSWER_GRACE_S: f64 = 0.02;
/// Of discovery's whole list.
const LONGEST_LIST: usize = 16 << 20;
/// A watch waits up to 60 s.
const LONGEST_WATCH: Duration = Duration::from_secs(65);
/// For a node to be ready.
const READY: Duration = Duration::from_secs(60);
const LOOK: Duration = Duration::from_millis(20);
/// Longest message between nodes, and one byte to see what is longer.
const LONGEST_MESSAGE: usize = 257;

/// A node was told that a server leaves or is gone, or that it is there again.
#[derive(Clone, Copy, Debug)]
pub struct Told {
    pub node: u16,
    pub server: u16,
    pub leaves: bool,
    pub at_s: f64,
}

/// A node's place: its addresses outlive its processes.
pub struct Node {
    pub number: usize,
    pub name: String,
    pub zone: usize,
    pub listen: SocketAddr,
    pub ops: Mutex<SocketAddr>,
    folder: PathBuf,
    config: PathBuf,
    process: Mutex<Option<Process>>,
    /// The listener, where the platform holds it.
    held: Option<TcpListener>,
    /// Whether its zone's front deals connections out to it.
    pub in_use: AtomicBool,
    /// Times at which its process was not running or stood still, the last one perhaps open.
    pub away: Mutex<Vec<(f64, f64)>>,
}

/// What the views share.
pub struct Views {
    run_state: Arc<RunState>,
    backends: Arc<Backends>,
    replicas: Vec<SocketAddr>,
    node_zones: Vec<usize>,
    pub told: Mutex<Vec<Told>>,
    /// When each version of the list was first told.
    pub versions: Mutex<Vec<(f64, u64)>>,
    /// Messages longer than allowed.
    pub long_messages: AtomicUsize,
}

pub struct Fleet {
    pub nodes: Vec<Arc<Node>>,
    pub service: Mutex<RegistryCluster>,
    pub views: Arc<Views>,
    program: PathBuf,
    pub folder: Folder,
    /// Zone of each replica.
    configs: Mutex<Vec<Value>>,
}

impl Fleet {
    /// Starts the replicas; the nodes come with [`Fleet::start_nodes`], once the servers are listed.
    ///
    /// # Errors
    /// Where the system has no room.
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
        let views = Arc::new(Views {
            run_state: Arc::clone(run_state),
            backends: Arc::clone(backends),
            replicas: service.discovery(),
            node_zones: (0..scenario.fleet.nodes).map(|n| n % zones).collect(),
            told: Mutex::default(),
            versions: Mutex::default(),
            long_messages: AtomicUsize::new(0),
        });
        let folder = Folder::new("lab-nodes");
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
                held: if upgrades { Some(TcpListener::bind(listen)?) } else { None },
                in_use: AtomicBool::new(true),
                away: Mutex::default(),
                name,
            }));
        }
        let mut configs = Vec::new();
        let relays = if scenario.fleet.peers { relays(&views, &nodes).await? } else { HashMap::new() };
        for node in &nodes {
            let peers = relays.get(&node.number);
            configs.push(config(scenario, node, &views.open(node.number).await?, peers));
        }
        let (service, configs) = (Mutex::new(service), Mutex::new(configs));
        Ok(Fleet { nodes, service, views, program: node.to_owned(), folder, configs })
    }

    /// Starts all nodes and waits until they are ready.
    ///
    /// # Errors
    /// Names the node that is not.
    pub async fn start_nodes(&self) -> io::Result<()> {
        for node in &self.nodes {
            self.launch(node)?;
        }
        for node in &self.nodes {
            ready(node.listen, CLIENTS_READY).await.map_err(|e| {
                let log = std::fs::read_to_string(self.log(node)).unwrap_or_default();
                io::Error::other(format!("{}: {e}; its log:\n{log}", node.name))
            })?;
        }
        Ok(())
    }

    fn log(&self, node: &Node) -> PathBuf {
        self.folder.0.join(format!("{}.log", node.name))
    }

    /// All that the nodes have logged.
    pub fn logs(&self) -> Vec<(String, String)> {
        let read = |node: &Arc<Node>| std::fs::read_to_string(self.log(node)).unwrap_or_default();
        self.nodes.iter().map(|node| (node.name.clone(), read(node))).collect()
    }

    fn spawn(&self, node: &Node) -> io::Result<Process> {
        let mut settings = lock(&self.configs)[node.number].clone();
        settings["ops"] = json!(lock(&node.ops).to_string());
        replace(&node.config, &settings)?;
        let mut command = Command::new(&self.program);
        command.env_clear().env("LB_CONFIG", &node.config).env("TMPDIR", &node.folder);
        let input = match &node.held {
            None => Stdio::null(),
            Some(held) => {
                command.env("LB_SOCKET_FD", "0");
                Stdio::from(OwnedFd::from(held.try_clone()?))
            }
        };
        Ok(Process::start_with(&mut command, &self.log(node), input))
    }

    pub fn launch(&self, node: &Node) -> io::Result<()> {
        let process = self.spawn(node)?;
        *lock(&node.process) = Some(process);
        Ok(())
    }

    pub fn kill(&self, node: &Node) {
        let process = lock(&node.process).take();
        drop(process);
    }

    pub fn signal(&self, node: &Node, name: &str) {
        if let Some(process) = &*lock(&node.process) {
            process.signal(name);
        }
    }

    /// Nodes whose processes have ended by themselves.
    pub fn crashed(&self) -> Vec<String> {
        let ended = |node: &&Arc<Node>| lock(&node.process).as_mut().is_some_and(Process::has_ended);
        self.nodes.iter().filter(ended).map(|node| node.name.clone()).collect()
    }

    /// Processor time that the nodes and replicas that run now have used, in seconds.
    pub fn cpu_s(&self) -> (f64, f64) {
        let of = |process: &Process| cpu_s(process.id()).unwrap_or(0.0);
        let nodes = self.nodes.iter().filter_map(|node| lock(&node.process).as_ref().map(of)).sum();
        let service = lock(&self.service);
        let replicas = service.replicas.iter().filter_map(|replica| replica.process.as_ref().map(of)).sum();
        (nodes, replicas)
    }

    /// A new process on the same socket, and SIGTERM to the old one.
    ///
    /// # Errors
    /// Where the new one does not get ready; the old one stays.
    pub async fn upgrade(&self, node: &Arc<Node>) -> io::Result<()> {
        *lock(&node.ops) = free_addr();
        let door = *lock(&node.ops);
        let new = self.spawn(node)?;
        ready(door, "/-/ready").await?;
        let old = lock(&node.process).replace(new);
        if let Some(mut old) = old {
            old.signal("TERM");
            let ended = tokio::task::spawn_blocking(move || old.exit());
            ended.await.map_err(io::Error::other)?;
        }
        Ok(())
    }

    /// New views for all nodes, told by file and SIGHUP; the old ones are no longer answered.
    ///
    /// # Errors
    /// Where the system has no room.
    pub async fn move_discovery(&self) -> io::Result<()> {
        for node in &self.nodes {
            let views = self.views.open(node.number).await?;
            {
                let mut configs = lock(&self.configs);
                let settings = &mut configs[node.number];
                settings["discovery"] = json!(views[0].to_string());
                let also: Vec<String> = views[1..].iter().map(ToString::to_string).collect();
                settings["discovery_also"] = json!(also);
                settings["ops"] = json!(lock(&node.ops).to_string());
                replace(&node.config, settings)?;
            }
            self.signal(node, "HUP");
        }
        Ok(())
    }

    /// `disable` or `enable` for a server at a node's door.
    pub async fn by_hand(&self, node: &Node, server: &str, call: &str) -> bool {
        let path = format!("/-/cache-servers/{server}/{call}");
        let call = Call { method: hyper::Method::POST, ..Call::get(&path, 1 << 10) };
        let door = *lock(&node.ops);
        let answer = HttpClient::new(door).send(Duration::from_secs(5), call).await;
        answer.is_ok_and(|answer| answer.status.is_success())
    }
}

fn replace(file: &Path, settings: &Value) -> io::Result<()> {
    let new = file.with_extension("new");
    std::fs::write(&new, settings.to_string())?;
    std::fs::rename(new, file)
}

/// Where clients' front asks whether a node may be used; its door has a path of its own.
pub const CLIENTS_READY: &str = "/health/ready";

/// Waits until a node says at this address and path that it may be used.
///
/// # Errors
/// Where it does not.
pub async fn ready(addr: SocketAddr, path: &str) -> io::Result<()> {
    let until = Instant::now() + READY;
    loop {
        let answer = HttpClient::new(addr).send(READY, Call::get(path, 1 << 10)).await;
        if answer.is_ok_and(|answer| answer.status.is_success()) {
            return Ok(());
        }
        if Instant::now() > until {
            return Err(io::Error::other(format!("not ready within {} s", READY.as_secs())));
        }
        sleep(LOOK).await;
    }
}

impl Views {
    /// Opens one view a replica for a node.
    async fn open(self: &Arc<Self>, node: usize) -> io::Result<Vec<SocketAddr>> {
        let mut views = Vec::new();
        for n in 0..self.replicas.len() {
            // Each node begins with another replica.
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
            views.push(serve(answer).await?);
        }
        Ok(views)
    }

    /// A replica's answer, with the addresses that this node's zone has.
    async fn forward(&self, node: usize, replica: usize, path: &str) -> Option<Response<Full<Bytes>>> {
        let zone = self.node_zones[node];
        let zones = self.run_state.scenario.fleet.zones.len();
        let mut link = self.backends.links().between(zone, replica % zones);
        let open = |link: &crate::net::Link| !link.forward.cut && !link.reverse.cut;
        link.wait_for(open).await.ok()?;
        let call = Call::get(path, LONGEST_LIST);
        let answer = HttpClient::new(self.replicas[replica]).send(LONGEST_WATCH, call).await.ok()?;
        if answer.status != StatusCode::OK {
            return None;
        }
        let mut list: List = serde_json::from_slice(&answer.body).ok()?;
        let backends = self.backends.all();
        let known: HashMap<&str, usize> =
            backends.iter().enumerate().map(|(n, backend)| (backend.id.as_str(), n)).collect();
        link.wait_for(open).await.ok()?;
        let at_s = self.run_state.elapsed_s();
        let mut told = Vec::new();
        for entry in &mut list.servers {
            if entry.id == self.backends.origin.id {
                entry.addr = self.backends.origin.addrs[zone];
                continue;
            }
            let Some(backend) = known.get(entry.id.as_str()).map(|n| &backends[*n]) else { continue };
            entry.addr = backend.addrs[zone];
            let leaves = entry.state != State::Active;
            told.push(Told { node: node as u16, server: backend.number, leaves, at_s });
        }
        lock(&self.told).extend(told);
        let mut versions = lock(&self.versions);
        if versions.last().is_none_or(|(_, last)| *last < list.version) {
            versions.push((at_s, list.version));
        }
        drop(versions);
        Some(Response::new(Full::new(serde_json::to_vec(&list).ok()?.into())))
    }
}

/// Sockets between each pair of nodes and to all; by node, the addresses of its peers and the one of all.
async fn relays(
    views: &Arc<Views>,
    nodes: &[Arc<Node>],
) -> io::Result<HashMap<usize, (SocketAddr, Vec<SocketAddr>, SocketAddr)>> {
    let any = || UdpSocket::bind("127.0.0.1:0");
    let own: Vec<SocketAddr> = nodes.iter().map(|_| free_addr()).collect();
    // between[i][j]: where node i reaches node j; from it, j hears i's answers too.
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
        let everyone = any().await?;
        all.insert(i, (own[i], peers, everyone.local_addr()?));
        let targets = |of: Vec<usize>| -> Vec<_> {
            let target = |j: usize| (nodes[j].zone, Arc::clone(&between[j][i]), own[j]);
            of.into_iter().filter(|j| *j != i).map(target).collect()
        };
        for (j, socket) in between[i].iter().enumerate().filter(|(j, _)| *j != i) {
            let (socket, targets) = (Arc::clone(socket), targets(vec![j]));
            tokio::spawn(relay(Arc::clone(views), nodes[i].zone, socket, targets));
        }
        let targets = targets((0..nodes.len()).collect());
        tokio::spawn(relay(Arc::clone(views), nodes[i].zone, Arc::new(everyone), targets));
    }
    Ok(all)
}

/// Passes messages on to nodes, from the address under which each knows the sender.
async fn relay(
    views: Arc<Views>,
    zone: usize,
    socket: Arc<UdpSocket>,
    targets: Vec<(usize, Arc<UdpSocket>, SocketAddr)>,
) {
    let loss = views.run_state.scenario.link.peer_loss;
    let rng = SharedRng::new(zone as u64);
    let mut message = vec![0; LONGEST_MESSAGE];
    loop {
        let Ok((n, _)) = socket.recv_from(&mut message).await else {
            sleep(LOOK).await;
            continue;
        };
        if n == LONGEST_MESSAGE {
            views.long_messages.fetch_add(1, Ordering::Relaxed);
            continue;
        }
        for (to, from, addr) in &targets {
            let way = views.backends.links().now(zone, *to).forward;
            let Some(late) = message_delay(&way, loss, &rng) else { continue };
            let (from, addr, message) = (Arc::clone(from), *addr, message[..n].to_vec());
            let due = Instant::now() + late;
            tokio::spawn(async move {
                sleep_until(due).await;
                let _ = from.send_to(&message, addr).await;
            });
        }
    }
}

type Peers = (SocketAddr, Vec<SocketAddr>, SocketAddr);

/// What the platform would tell a node.
fn config(scenario: &Scenario, node: &Node, views: &[SocketAddr], peers: Option<&Peers>) -> Value {
    let grade = |class: &crate::scenario::Class| {
        let effect = match class.effect {
            Effect::Free => "free",
            Effect::Guarded => "guarded",
            Effect::SingleShot => "single_shot",
        };
        json!({"name": class.name, "effect": effect, "group": "all", "key-ttl-s": class.key_ttl_s,
               "target-s": class.wanted_ms / 1e3, "hard-limit-s": class.give_up_ms / 1e3,
               "importance": class.worth, "late-worth": class.late_worth, "streamed": false})
    };
    let tenant = |(n, tenant): (usize, &crate::scenario::Tenant)| json!({"name": tenant.name, "share": tenant.share, "quota-per-s": quota(scenario, n)});
    let (fleet, server, origin) = (&scenario.fleet, &scenario.servers, &scenario.origin);
    let settings = json!({
        "areas": fleet.zones, "balancers": fleet.nodes, "me": node.number,
        "locality": fleet.zones[node.zone], "clients": {"marks-retry": false}, "family": "cache",
        "family-info": {"mode": "aside", "origin-kind": 1, "origin-fall-multiple": origin.fall_multiple,
                        "origin-fall-s": origin.fall_s,
                        "notes": "1 hit, 2 miss, 3 miss while another fetch of the key is pending"},
        "goal": {"whole": 0.35, "worst-class": 0.4, "worst-tenant": 0.1, "worst-window": 0.15},
        "grades": scenario.classes.iter().map(grade).collect::<Vec<_>>(),
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
        "tenants": scenario.tenants.iter().enumerate().map(tenant).collect::<Vec<_>>(),
        "weight-source": "off", "worth-by": "work",
    });
    let also: Vec<String> = views[1..].iter().map(ToString::to_string).collect();
    let seed = format!("{:016x}", scenario.seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ node.number as u64);
    let mut told = json!({
        "name": node.name, "listen": node.listen.to_string(), "discovery": views[0].to_string(),
        "discovery_also": also, "seed": seed,
        "limits": {"cores": 1.0, "memory_mb": fleet.memory_mb, "sockets": fleet.sockets},
        "settings": settings,
    });
    if let Some((own, peers, all)) = peers {
        told["peer_listen"] = json!(own.to_string());
        told["peers"] = json!(peers.iter().map(ToString::to_string).collect::<Vec<_>>());
        told["peers_all"] = json!(all.to_string());
    }
    told
}
