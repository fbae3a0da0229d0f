//! The life cycle of a replica: it recovers, forms or joins a service, opens its addresses and serves until
//! it is stopped.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::{Method, Request, StatusCode};
use openraft::error::{InstallSnapshotError, RaftError};
use openraft::raft::{AppendEntriesRequest, AppendEntriesResponse};
use serde::{Deserialize, Serialize};
use shaletrail_registry_client::call::{Call, HttpClient};
use shaletrail_registry_protocol::JoinRequest;
use tokio::net::{TcpListener, TcpSocket};
use tokio::sync::{watch, OnceCell};
use tokio::time::sleep;

use crate::discovery_api;
use crate::http::{
    error_reply, json_reply, not_executed_reply, parse_json, read_body, serve, ConnectionLimits, Reply,
};
use crate::log::OpenError;
use crate::operator_api::{self, JoinTarget, FORWARD_PREFIX};
use crate::raft_network::MAX_MESSAGE_BYTES;
use crate::replica::{DataFolder, Identity, Replica, Settings};
use crate::types::{Member, Types};

/// The most connections at each address. Nodes hold one each.
const MAX_DISCOVERY_CONNECTIONS: usize = 8192;
const MAX_OPERATOR_CONNECTIONS: usize = 1024;
const MAX_REPLICA_CONNECTIONS: usize = 256;
/// Assumed where the system does not report the limit of open file descriptors.
const DEFAULT_DESCRIPTOR_LIMIT: usize = 1024;
/// A watch may wait 60 s before the node asks again. Agents and operators have no reason to keep idle
/// connections.
const DISCOVERY_IDLE: Duration = Duration::from_secs(75);
const OPERATOR_IDLE: Duration = Duration::from_secs(10);
/// Connections that may wait to be accepted. Nodes that lose a replica connect to the others all at once, and
/// a connection attempt that finds no room is repeated only after 1 s.
const BACKLOG: u32 = 4096;
/// Pause between two attempts to reach the others.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);
/// Limit for one call to another replica during the start.
const HELLO_TIMEOUT: Duration = Duration::from_secs(1);
/// Limit for one request to join, in which the replica has to catch up.
const JOIN_TIMEOUT: Duration = Duration::from_secs(120);

/// The answer at the replicas' address until the replica is open.
const STARTING: &str = "this replica only begins";

/// The options of a replica.
#[derive(Clone, Debug)]
pub struct Options {
    pub name: String,
    pub data: PathBuf,
    pub discovery: SocketAddr,
    pub ops: SocketAddr,
    /// Where it listens for other replicas. Without it, the replica runs alone.
    pub replica: Option<SocketAddr>,
    /// The replicas that form the service together, including this one, with the addresses at which this one
    /// reaches them.
    pub peers: BTreeMap<String, SocketAddr>,
    /// Operators' addresses of a running service that the replica joins.
    pub join: Vec<SocketAddr>,
    pub settings: Settings,
}

/// Why a replica does not start, or ends.
#[derive(Debug, thiserror::Error)]
pub enum ServiceError {
    #[error(transparent)]
    Open(#[from] OpenError),
    #[error("listen on {addr}: {error}")]
    Listen { addr: SocketAddr, error: std::io::Error },
    #[error("{0}")]
    Invalid(String),
}

/// How far the start of a replica has got.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
enum Phase {
    /// It has no data.
    #[serde(rename = "Fresh")]
    NoData,
    /// It knows its id, and waits until the others know theirs.
    Forming,
    /// It is part of a service.
    #[serde(rename = "Begun")]
    Started,
}

#[derive(Clone, Serialize, Deserialize)]
struct Hello {
    name: String,
    phase: Phase,
}

/// State of the replicas' address, which answers before the replica is open.
#[derive(Clone)]
struct ReplicaEndpoint {
    name: String,
    phase: watch::Sender<Phase>,
    replica: Arc<OnceCell<Arc<Replica>>>,
}

/// Runs a replica until `stop`. `ready` is called once it answers lists.
///
/// # Errors
/// The message is meant for whoever started the replica.
pub async fn run(
    options: Options,
    ready: impl FnOnce(),
    stop: impl std::future::Future<Output = ()>,
) -> Result<(), ServiceError> {
    check(&options)?;
    let folder = DataFolder::lock(&options.data)?;
    let discovery = listen(options.discovery)?;
    let ops = listen(options.ops)?;
    let endpoint = ReplicaEndpoint {
        name: options.name.clone(),
        phase: watch::Sender::new(Phase::NoData),
        replica: Arc::default(),
    };
    if let Some(addr) = options.replica {
        let listener = listen(addr)?;
        let endpoint = endpoint.clone();
        tokio::spawn(serve(
            listener,
            connection_limits(MAX_REPLICA_CONNECTIONS, 8, DISCOVERY_IDLE),
            move |request| handle_replica_request(endpoint.clone(), request),
        ));
    }
    tokio::pin!(stop);
    let replica = tokio::select! {
        replica = start_replica(&options, &folder, &endpoint) => replica?,
        () = &mut stop => return Ok(()),
    };
    let discovery_replica = Arc::clone(&replica);
    tokio::spawn(serve(
        discovery,
        connection_limits(MAX_DISCOVERY_CONNECTIONS, 2, DISCOVERY_IDLE),
        move |request| discovery_api::handle(Arc::clone(&discovery_replica), request),
    ));
    let ops_replica = Arc::clone(&replica);
    tokio::spawn(serve(ops, connection_limits(MAX_OPERATOR_CONNECTIONS, 4, OPERATOR_IDLE), move |request| {
        operator_api::handle(Arc::clone(&ops_replica), request, false)
    }));
    tokio::select! {
        () = replica.ready() => ready(),
        () = &mut stop => return Ok(()),
    }
    stop.await;
    // Watchers are told to change to another replica before their connections close.
    replica.stop();
    sleep(Duration::from_millis(50)).await;
    let _ = replica.raft.shutdown().await;
    Ok(())
}

/// Limits each address to its share of the process's file descriptors, so that nodes can't use up those that
/// replicas need.
fn connection_limits(max: usize, share_divisor: usize, idle: Duration) -> ConnectionLimits {
    let limits = std::fs::read_to_string("/proc/self/limits").unwrap_or_default();
    let open = limits.lines().find_map(|line| line.strip_prefix("Max open files")).unwrap_or_default();
    let limit = open
        .split_whitespace()
        .next()
        .and_then(|limit| limit.parse().ok())
        .unwrap_or(DEFAULT_DESCRIPTOR_LIMIT);
    ConnectionLimits { connections: max.min((limit / share_divisor).max(1)), idle }
}

fn check(options: &Options) -> Result<(), ServiceError> {
    let invalid = |reason: String| Err(ServiceError::Invalid(reason));
    if let Err(e) = shaletrail_registry_protocol::check_id(&options.name) {
        return invalid(format!("name: {e}"));
    }
    if options.peers.is_empty() && options.join.is_empty() {
        return Ok(());
    }
    if options.replica.is_none() {
        return invalid("replica: an address expected where there are others".into());
    }
    if !options.peers.is_empty() && !options.peers.contains_key(&options.name) {
        return invalid(format!("peers: {} itself expected among them", options.name));
    }
    Ok(())
}

fn listen(addr: SocketAddr) -> Result<TcpListener, ServiceError> {
    let listen = || {
        let socket = match addr {
            SocketAddr::V4(_) => TcpSocket::new_v4(),
            SocketAddr::V6(_) => TcpSocket::new_v6(),
        }?;
        // A restarted replica may bind the address although old connections are still closing.
        socket.set_reuseaddr(true)?;
        socket.bind(addr)?;
        socket.listen(BACKLOG)
    };
    listen().map_err(|error| ServiceError::Listen { addr, error })
}

/// Opens the replica in its current state: recovered from its data, newly formed with its peers, or joining a
/// service.
async fn start_replica(
    options: &Options,
    folder: &DataFolder,
    endpoint: &ReplicaEndpoint,
) -> Result<Arc<Replica>, ServiceError> {
    let identity = match folder.identity() {
        Ok(Some(identity)) if identity.name != options.name => {
            let reason =
                format!("{}: belongs to {}, not {}", folder.path.display(), identity.name, options.name);
            return Err(ServiceError::Invalid(reason));
        }
        Ok(Some(identity)) => match open(options, folder, endpoint, &identity).await {
            Ok(replica) => return join_or_form(options, folder, endpoint, replica, identity).await,
            Err(OpenError::Damaged(damage)) => {
                quarantine_damaged(options, folder, OpenError::Damaged(damage))?
            }
            Err(e) => return Err(e.into()),
        },
        Ok(None) => None,
        Err(damage @ OpenError::Damaged(_)) => quarantine_damaged(options, folder, damage)?,
        Err(e) => return Err(e.into()),
    };
    let identity = match identity {
        Some(identity) => identity,
        None => new_identity(options, endpoint).await?,
    };
    folder.write_identity(&identity)?;
    let replica = open(options, folder, endpoint, &identity).await?;
    join_or_form(options, folder, endpoint, replica, identity).await
}

/// Moves damaged data aside if other replicas have all of it. A replica that runs alone has no other copy,
/// and fails.
fn quarantine_damaged(
    options: &Options,
    folder: &DataFolder,
    damage: OpenError,
) -> Result<Option<Identity>, ServiceError> {
    tracing::error!("{damage}");
    if options.peers.len() < 2 && options.join.is_empty() {
        tracing::error!("no other replica has this data: restore a backup into an empty folder");
        return Err(damage.into());
    }
    let quarantined = folder.quarantine()?;
    tracing::warn!(
        "moved the damaged data to {}; the replica is rebuilt from the others",
        quarantined.display()
    );
    Ok(None)
}

async fn open(
    options: &Options,
    folder: &DataFolder,
    endpoint: &ReplicaEndpoint,
    identity: &Identity,
) -> Result<Arc<Replica>, OpenError> {
    let addr_overrides: HashMap<_, _> =
        options.peers.iter().map(|(name, addr)| (name.clone(), *addr)).collect();
    let replica = Replica::open(folder, identity, options.settings.clone(), addr_overrides).await?;
    let _ = endpoint.replica.set(Arc::clone(&replica));
    let started = replica.has_log() || replica.view.applied() > 0;
    endpoint.phase.send_replace(if started || identity.joining { Phase::Started } else { Phase::Forming });
    Ok(replica)
}

/// Finds the identity of a replica without data.
async fn new_identity(options: &Options, endpoint: &ReplicaEndpoint) -> Result<Identity, ServiceError> {
    let named = |id, joining| Identity { id, name: options.name.clone(), joining };
    if !options.join.is_empty() {
        let targets: Vec<_> =
            options.join.iter().map(|addr| JoinTarget { addr: *addr, forwarded: false }).collect();
        return Ok(named(request_replica_id(options, &targets).await, true));
    }
    if options.peers.is_empty() {
        return Ok(named(1, false));
    }
    // A new service is formed only once all peers are seen without data. A replica that lost its data must
    // not form a new service beside peers that have theirs, because it no longer knows what it acknowledged
    // to them.
    loop {
        let phases = peer_phases(options).await;
        if phases.contains(&Some(Phase::Started)) {
            tracing::warn!("the others are at work already: this replica joins them with a new id");
            let targets: Vec<_> =
                others(options).map(|(_, addr)| JoinTarget { addr: *addr, forwarded: true }).collect();
            return Ok(named(request_replica_id(options, &targets).await, true));
        }
        if phases.iter().all(Option::is_some) {
            let index = options.peers.keys().position(|name| *name == options.name).unwrap_or(0);
            return Ok(named(index as u64 + 1, false));
        }
        tracing::debug!("waits for all peers, phase {:?}", endpoint.phase.borrow());
        sleep(RETRY_INTERVAL).await;
    }
}

fn others(options: &Options) -> impl Iterator<Item = (&String, &SocketAddr)> {
    options.peers.iter().filter(|(name, _)| **name != options.name)
}

/// How far the start of each peer has got; `None` for a peer that was not reached.
async fn peer_phases(options: &Options) -> Vec<Option<Phase>> {
    let mut phases = Vec::new();
    for (name, addr) in others(options) {
        let answer =
            HttpClient::new(*addr).send(HELLO_TIMEOUT, Call::get("/replica/hello", MAX_MESSAGE_BYTES)).await;
        let hello = answer.ok().and_then(|a| serde_json::from_slice::<Hello>(&a.body).ok());
        let hello = hello.filter(|hello| hello.name == *name);
        phases.push(hello.map(|hello| hello.phase));
    }
    phases
}

/// Sends the request to one target after the other until one accepts it.
async fn call_until_accepted<A: serde::de::DeserializeOwned>(
    targets: &[JoinTarget],
    path: &str,
    request: &JoinRequest,
    action: &str,
) -> A {
    let mut last_error = String::new();
    for target in targets.iter().cycle() {
        let path = target.path(path);
        let body = serde_json::to_vec(request).unwrap_or_default().into();
        let call = Call {
            method: Method::POST,
            path: &path,
            headers: &[],
            body,
            max_bytes: MAX_MESSAGE_BYTES,
            close: true,
        };
        let answer = HttpClient::new(target.addr).send(JOIN_TIMEOUT, call).await;
        let error = match answer {
            Ok(answer) if answer.status == StatusCode::OK => match serde_json::from_slice(&answer.body) {
                Ok(answer_body) => return answer_body,
                Err(e) => e.to_string(),
            },
            Ok(answer) => String::from_utf8_lossy(&answer.body).into_owned(),
            Err(e) => e.to_string(),
        };
        if error != last_error {
            tracing::warn!("{action}: {} answers: {error}", target.addr);
            last_error = error;
        }
        sleep(RETRY_INTERVAL).await;
    }
    std::future::pending().await
}

#[derive(Deserialize)]
struct AssignedId {
    id: u64,
}

fn join_request(options: &Options) -> JoinRequest {
    // `check` has made sure that a replica with peers has this address.
    let replica = options.replica.unwrap_or(options.ops);
    let replica = options.peers.get(&options.name).copied().unwrap_or(replica);
    JoinRequest { name: options.name.clone(), replica }
}

async fn request_replica_id(options: &Options, targets: &[JoinTarget]) -> u64 {
    let assigned: AssignedId =
        call_until_accepted(targets, "/registry/replicas", &join_request(options), "request to join").await;
    assigned.id
}

/// Joins or forms the service, if that is not done yet.
async fn join_or_form(
    options: &Options,
    folder: &DataFolder,
    endpoint: &ReplicaEndpoint,
    replica: Arc<Replica>,
    identity: Identity,
) -> Result<Arc<Replica>, ServiceError> {
    if identity.joining {
        let (options, replica) = (options.clone(), Arc::clone(&replica));
        let confirmed = Identity { joining: false, ..identity };
        let path = format!("/registry/replicas/{}/promote", confirmed.id);
        let targets: Vec<_> = match options.join.is_empty() {
            true => others(&options).map(|(_, addr)| JoinTarget { addr: *addr, forwarded: true }).collect(),
            false => options.join.iter().map(|addr| JoinTarget { addr: *addr, forwarded: false }).collect(),
        };
        let _: AssignedId =
            call_until_accepted(&targets, &path, &join_request(&options), "request to become a voter").await;
        while !replica.is_voter() {
            sleep(RETRY_INTERVAL).await;
        }
        folder.write_identity(&confirmed)?;
        tracing::info!("joined as replica {}", confirmed.id);
        return Ok(replica);
    }
    if *endpoint.phase.borrow() != Phase::Forming {
        return Ok(replica);
    }
    let own = join_request(options).replica;
    if options.peers.is_empty() {
        let replica_addr = options.replica.map_or(String::new(), |_| own.to_string());
        let own_member = Member { name: options.name.clone(), replica: replica_addr };
        replica
            .initialize(BTreeMap::from([(identity.id, own_member)]))
            .await
            .map_err(ServiceError::Invalid)?;
    } else if identity.id == 1 {
        while peer_phases(options).await.iter().any(|phase| matches!(phase, None | Some(Phase::NoData))) {
            sleep(RETRY_INTERVAL).await;
        }
        let members = options.peers.iter().enumerate().map(|(index, (name, addr))| {
            (index as u64 + 1, Member { name: name.clone(), replica: addr.to_string() })
        });
        replica.initialize(members.collect()).await.map_err(ServiceError::Invalid)?;
    }
    Ok(replica)
}

// ---- The replicas' address ----------------------------------------------------------------------------

async fn handle_replica_request(endpoint: ReplicaEndpoint, request: Request<Incoming>) -> Reply {
    let path = request.uri().path().to_owned();
    if path == "/replica/hello" {
        let started = endpoint.replica.get().is_some_and(|replica| replica.has_log());
        let phase = if started { Phase::Started } else { *endpoint.phase.borrow() };
        return json_reply(StatusCode::OK, &Hello { name: endpoint.name.clone(), phase });
    }
    let Some(replica) = endpoint.replica.get().map(Arc::clone) else {
        return not_executed_reply(STARTING);
    };
    if path.starts_with(FORWARD_PREFIX) {
        return operator_api::handle(replica, request, true).await;
    }
    if request.method() != Method::POST {
        return error_reply(StatusCode::NOT_FOUND, "no such call between replicas");
    }
    let body = match read_body(request, MAX_MESSAGE_BYTES).await {
        Ok(body) => body,
        Err(reply) => return reply,
    };
    match path.as_str() {
        "/raft/append" => match parse_json(&body) {
            Ok(call) => {
                let call: AppendEntriesRequest<Types> = call;
                let committed = call.leader_commit.map_or(0, |id| id.index);
                let answer = replica.raft.append_entries(call).await;
                // Only a message that openraft accepts comes from the current leader.
                if matches!(
                    answer,
                    Ok(AppendEntriesResponse::Success | AppendEntriesResponse::PartialSuccess(_))
                ) {
                    replica.record_leader_contact(committed);
                }
                json_reply(StatusCode::OK, &answer)
            }
            Err(reply) => reply,
        },
        "/raft/vote" => match parse_json(&body) {
            Ok(call) => json_reply(StatusCode::OK, &replica.raft.vote(call).await),
            Err(reply) => reply,
        },
        "/raft/snapshot" => match parse_json(&body) {
            Ok(call) => {
                let answer: Result<_, RaftError<u64, InstallSnapshotError>> =
                    replica.raft.install_snapshot(call).await;
                json_reply(StatusCode::OK, &answer)
            }
            Err(reply) => reply,
        },
        _ => error_reply(StatusCode::NOT_FOUND, "no such call between replicas"),
    }
}
