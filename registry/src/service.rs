//! A replica from its start to its end: finds its place among the others, opens its addresses and serves.

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
use shaletrail_registry_protocol::Join;
use tokio::net::{TcpListener, TcpSocket};
use tokio::sync::{watch, OnceCell};
use tokio::time::sleep;

use crate::changing::{self, Door, FORWARD};
use crate::http::{body, json, not_run, parse, refusal, serve, Bounds, Reply};
use crate::links::LONGEST;
use crate::log::OpenError;
use crate::reading;
use crate::replica::{Folder, Identity, Replica, Settings};
use crate::types::{Member, Types};

/// Connections at once at most. Nodes hold one each.
const MOST_READERS: usize = 8192;
const MOST_CHANGERS: usize = 1024;
const MOST_REPLICAS: usize = 256;
/// Taken for the limit of descriptors where the system does not tell it.
const DESCRIPTORS: usize = 1024;
/// A watch may wait 60 s, and a node ask again after it. Agents and operators have no need to be silent.
const READERS_IDLE: Duration = Duration::from_secs(75);
const CHANGERS_IDLE: Duration = Duration::from_secs(10);
/// Connections that may wait to be accepted: nodes that lost a replica come to the others at once, and one that
/// finds no room tries again only after 1 s.
const BACKLOG: u32 = 4096;
/// Between two tries to find the others.
const LOOK_ROUND: Duration = Duration::from_millis(200);
/// For a call to another replica at the start.
const GREETING: Duration = Duration::from_secs(1);
/// For a replica to catch up when it joins.
const JOINING: Duration = Duration::from_secs(120);

/// Said at every address until the replica has found its place.
const BEGINS: &str = "this replica only begins";

/// What a replica is started with.
#[derive(Clone, Debug)]
pub struct Options {
    pub name: String,
    pub data: PathBuf,
    pub discovery: SocketAddr,
    pub ops: SocketAddr,
    /// Where it listens for other replicas. Without it the replica stands alone.
    pub replica: Option<SocketAddr>,
    /// Those that begin together, itself among them, at the addresses at which this one reaches them.
    pub peers: BTreeMap<String, SocketAddr>,
    /// Operators' addresses of a running service that it joins.
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
    Wrong(String),
}

/// Where a replica is in its beginning.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
enum Phase {
    /// It has no data.
    Fresh,
    /// It knows its number, and waits for the others to know theirs.
    Forming,
    /// It is part of a service.
    Begun,
}

#[derive(Clone, Serialize, Deserialize)]
struct Greeting {
    name: String,
    phase: Phase,
}

/// What the replicas' address answers from before the replica is open.
#[derive(Clone)]
struct Front {
    name: String,
    phase: watch::Sender<Phase>,
    replica: Arc<OnceCell<Arc<Replica>>>,
}

/// Runs a replica until `stop`. `ready` is called once it answers lists.
///
/// # Errors
/// In words for whoever started it.
pub async fn run(
    options: Options,
    ready: impl FnOnce(),
    stop: impl std::future::Future<Output = ()>,
) -> Result<(), ServiceError> {
    check(&options)?;
    let folder = Folder::hold(&options.data)?;
    let discovery = listen(options.discovery)?;
    let ops = listen(options.ops)?;
    let front = Front {
        name: options.name.clone(),
        phase: watch::Sender::new(Phase::Fresh),
        replica: Arc::default(),
    };
    if let Some(addr) = options.replica {
        let listener = listen(addr)?;
        let front = front.clone();
        tokio::spawn(serve(listener, bounds(MOST_REPLICAS, 8, READERS_IDLE), move |request| {
            attend(front.clone(), request)
        }));
    }
    tokio::pin!(stop);
    let replica = tokio::select! {
        replica = place(&options, &folder, &front) => replica?,
        () = &mut stop => return Ok(()),
    };
    let reader = Arc::clone(&replica);
    tokio::spawn(serve(discovery, bounds(MOST_READERS, 2, READERS_IDLE), move |request| {
        reading::answer(Arc::clone(&reader), request)
    }));
    let changer = Arc::clone(&replica);
    tokio::spawn(serve(ops, bounds(MOST_CHANGERS, 4, CHANGERS_IDLE), move |request| {
        changing::answer(Arc::clone(&changer), request, false)
    }));
    tokio::select! {
        () = replica.ready() => ready(),
        () = &mut stop => return Ok(()),
    }
    stop.await;
    // Whoever watches here is told to go elsewhere before the connections end.
    replica.stop();
    sleep(Duration::from_millis(50)).await;
    let _ = replica.raft.shutdown().await;
    Ok(())
}

/// Each address has its part of the descriptors that the process may have, so that nodes don't shut replicas out.
fn bounds(most: usize, part: usize, idle: Duration) -> Bounds {
    let limits = std::fs::read_to_string("/proc/self/limits").unwrap_or_default();
    let open = limits.lines().find_map(|line| line.strip_prefix("Max open files")).unwrap_or_default();
    let limit = open.split_whitespace().next().and_then(|limit| limit.parse().ok()).unwrap_or(DESCRIPTORS);
    Bounds { connections: most.min((limit / part).max(1)), idle }
}

fn check(options: &Options) -> Result<(), ServiceError> {
    let wrong = |what: String| Err(ServiceError::Wrong(what));
    if let Err(e) = shaletrail_registry_protocol::check_id(&options.name) {
        return wrong(format!("name: {e}"));
    }
    if options.peers.is_empty() && options.join.is_empty() {
        return Ok(());
    }
    if options.replica.is_none() {
        return wrong("replica: an address expected where there are others".into());
    }
    if !options.peers.is_empty() && !options.peers.contains_key(&options.name) {
        return wrong(format!("peers: {} itself expected among them", options.name));
    }
    Ok(())
}

fn listen(addr: SocketAddr) -> Result<TcpListener, ServiceError> {
    let listen = || {
        let socket = match addr {
            SocketAddr::V4(_) => TcpSocket::new_v4(),
            SocketAddr::V6(_) => TcpSocket::new_v6(),
        }?;
        // A restart takes the address back from connections that are still closing.
        socket.set_reuseaddr(true)?;
        socket.bind(addr)?;
        socket.listen(BACKLOG)
    };
    listen().map_err(|error| ServiceError::Listen { addr, error })
}

/// Opens the replica in its place: where it was, beginning with the others, or joining them.
async fn place(options: &Options, folder: &Folder, front: &Front) -> Result<Arc<Replica>, ServiceError> {
    let identity = match folder.identity() {
        Ok(Some(identity)) if identity.name != options.name => {
            let what =
                format!("{}: belongs to {}, not {}", folder.path.display(), identity.name, options.name);
            return Err(ServiceError::Wrong(what));
        }
        Ok(Some(identity)) => match open(options, folder, front, &identity).await {
            Ok(replica) => return begin(options, folder, front, replica, identity).await,
            Err(OpenError::Damaged(damage)) => rebuild(options, folder, OpenError::Damaged(damage))?,
            Err(e) => return Err(e.into()),
        },
        Ok(None) => None,
        Err(damage @ OpenError::Damaged(_)) => rebuild(options, folder, damage)?,
        Err(e) => return Err(e.into()),
    };
    let identity = match identity {
        Some(identity) => identity,
        None => number(options, front).await?,
    };
    folder.identify(&identity)?;
    let replica = open(options, folder, front, &identity).await?;
    begin(options, folder, front, replica, identity).await
}

/// Damaged data is of no more use where others have all of it. Alone, nobody has.
fn rebuild(options: &Options, folder: &Folder, damage: OpenError) -> Result<Option<Identity>, ServiceError> {
    tracing::error!("{damage}");
    if options.peers.len() < 2 && options.join.is_empty() {
        tracing::error!("no other replica has this data: restore a backup into an empty folder");
        return Err(damage.into());
    }
    let aside = folder.set_aside()?;
    tracing::warn!("moved to {}; the replica is rebuilt from the others", aside.display());
    Ok(None)
}

async fn open(
    options: &Options,
    folder: &Folder,
    front: &Front,
    identity: &Identity,
) -> Result<Arc<Replica>, OpenError> {
    let by_name: HashMap<_, _> = options.peers.iter().map(|(name, addr)| (name.clone(), *addr)).collect();
    let replica = Replica::open(folder, identity, options.settings.clone(), by_name).await?;
    let _ = front.replica.set(Arc::clone(&replica));
    let begun = replica.is_begun() || replica.view.applied() > 0;
    front.phase.send_replace(if begun || identity.joining { Phase::Begun } else { Phase::Forming });
    Ok(replica)
}

/// A number for a replica without data.
async fn number(options: &Options, front: &Front) -> Result<Identity, ServiceError> {
    let named = |id, joining| Identity { id, name: options.name.clone(), joining };
    if !options.join.is_empty() {
        let doors: Vec<_> = options.join.iter().map(|addr| Door { addr: *addr, passed: false }).collect();
        return Ok(named(ask_number(options, &doors).await, true));
    }
    if options.peers.is_empty() {
        return Ok(named(1, false));
    }
    // All of them must be seen without data before any begins: one that lost its data must not begin anew beside
    // others that have theirs, as it no longer knows what it promised them.
    loop {
        let phases = greet_all(options).await;
        if phases.contains(&Some(Phase::Begun)) {
            tracing::warn!("the others are at work already: this replica joins them anew");
            let doors: Vec<_> = others(options).map(|(_, addr)| Door { addr: *addr, passed: true }).collect();
            return Ok(named(ask_number(options, &doors).await, true));
        }
        if phases.iter().all(Option::is_some) {
            let place = options.peers.keys().position(|name| *name == options.name).unwrap_or(0);
            return Ok(named(place as u64 + 1, false));
        }
        tracing::debug!("waits for all peers, {:?}", front.phase.borrow());
        sleep(LOOK_ROUND).await;
    }
}

fn others(options: &Options) -> impl Iterator<Item = (&String, &SocketAddr)> {
    options.peers.iter().filter(|(name, _)| **name != options.name)
}

/// Where each of the others is in its beginning; `None` for those not reached.
async fn greet_all(options: &Options) -> Vec<Option<Phase>> {
    let mut phases = Vec::new();
    for (name, addr) in others(options) {
        let answer = HttpClient::new(*addr).send(GREETING, Call::get("/replica/hello", LONGEST)).await;
        let greeting = answer.ok().and_then(|a| serde_json::from_slice::<Greeting>(&a.body).ok());
        let greeting = greeting.filter(|greeting| greeting.name == *name);
        phases.push(greeting.map(|greeting| greeting.phase));
    }
    phases
}

/// Puts a call at one door after the other until one says yes.
async fn insist<A: serde::de::DeserializeOwned>(
    doors: &[Door],
    path: &str,
    question: &Join,
    what: &str,
) -> A {
    let mut said = String::new();
    for door in doors.iter().cycle() {
        let path = door.path(path);
        let body = serde_json::to_vec(question).unwrap_or_default().into();
        let call =
            Call { method: Method::POST, path: &path, headers: &[], body, max_bytes: LONGEST, close: true };
        let answer = HttpClient::new(door.addr).send(JOINING, call).await;
        let now = match answer {
            Ok(answer) if answer.status == StatusCode::OK => match serde_json::from_slice(&answer.body) {
                Ok(told) => return told,
                Err(e) => e.to_string(),
            },
            Ok(answer) => String::from_utf8_lossy(&answer.body).into_owned(),
            Err(e) => e.to_string(),
        };
        if now != said {
            tracing::warn!("{what}: {} says {now}", door.addr);
            said = now;
        }
        sleep(LOOK_ROUND).await;
    }
    std::future::pending().await
}

#[derive(Deserialize)]
struct Numbered {
    id: u64,
}

fn question(options: &Options) -> Join {
    // Checked at the start: whoever joins others has an address for them.
    let replica = options.replica.unwrap_or(options.ops);
    let replica = options.peers.get(&options.name).copied().unwrap_or(replica);
    Join { name: options.name.clone(), replica }
}

async fn ask_number(options: &Options, doors: &[Door]) -> u64 {
    let numbered: Numbered = insist(doors, "/registry/replicas", &question(options), "asks to join").await;
    numbered.id
}

/// Lets an opened replica take part.
async fn begin(
    options: &Options,
    folder: &Folder,
    front: &Front,
    replica: Arc<Replica>,
    identity: Identity,
) -> Result<Arc<Replica>, ServiceError> {
    if identity.joining {
        let (options, replica) = (options.clone(), Arc::clone(&replica));
        let lasting = Identity { joining: false, ..identity };
        let path = format!("/registry/replicas/{}/promote", lasting.id);
        let doors: Vec<_> = match options.join.is_empty() {
            true => others(&options).map(|(_, addr)| Door { addr: *addr, passed: true }).collect(),
            false => options.join.iter().map(|addr| Door { addr: *addr, passed: false }).collect(),
        };
        let _: Numbered = insist(&doors, &path, &question(&options), "joins").await;
        while !replica.votes() {
            sleep(LOOK_ROUND).await;
        }
        folder.identify(&lasting)?;
        tracing::info!("joined as replica {}", lasting.id);
        return Ok(replica);
    }
    if *front.phase.borrow() != Phase::Forming {
        return Ok(replica);
    }
    let own = question(options).replica;
    if options.peers.is_empty() {
        let replica_addr = options.replica.map_or(String::new(), |_| own.to_string());
        let alone = Member { name: options.name.clone(), replica: replica_addr };
        replica.begin(BTreeMap::from([(identity.id, alone)])).await.map_err(ServiceError::Wrong)?;
    } else if identity.id == 1 {
        while greet_all(options).await.iter().any(|phase| matches!(phase, None | Some(Phase::Fresh))) {
            sleep(LOOK_ROUND).await;
        }
        let members = options.peers.iter().enumerate().map(|(place, (name, addr))| {
            (place as u64 + 1, Member { name: name.clone(), replica: addr.to_string() })
        });
        replica.begin(members.collect()).await.map_err(ServiceError::Wrong)?;
    }
    Ok(replica)
}

// ---- The replicas' address ----------------------------------------------------------------------------

async fn attend(front: Front, request: Request<Incoming>) -> Reply {
    let path = request.uri().path().to_owned();
    if path == "/replica/hello" {
        let begun = front.replica.get().is_some_and(|replica| replica.is_begun());
        let phase = if begun { Phase::Begun } else { *front.phase.borrow() };
        return json(StatusCode::OK, &Greeting { name: front.name.clone(), phase });
    }
    let Some(replica) = front.replica.get().map(Arc::clone) else {
        return not_run(BEGINS);
    };
    if path.starts_with(FORWARD) {
        return changing::answer(replica, request, true).await;
    }
    if request.method() != Method::POST {
        return refusal(StatusCode::NOT_FOUND, "no such call between replicas");
    }
    let body = match body(request, LONGEST).await {
        Ok(body) => body,
        Err(reply) => return reply,
    };
    match path.as_str() {
        "/raft/append" => match parse(&body) {
            Ok(call) => {
                let call: AppendEntriesRequest<Types> = call;
                let committed = call.leader_commit.map_or(0, |id| id.index);
                let answer = replica.raft.append_entries(call).await;
                // Only what a leader in office says counts as news.
                if matches!(
                    answer,
                    Ok(AppendEntriesResponse::Success | AppendEntriesResponse::PartialSuccess(_))
                ) {
                    replica.heard(committed);
                }
                json(StatusCode::OK, &answer)
            }
            Err(reply) => reply,
        },
        "/raft/vote" => match parse(&body) {
            Ok(call) => json(StatusCode::OK, &replica.raft.vote(call).await),
            Err(reply) => reply,
        },
        "/raft/snapshot" => match parse(&body) {
            Ok(call) => {
                let answer: Result<_, RaftError<u64, InstallSnapshotError>> =
                    replica.raft.install_snapshot(call).await;
                json(StatusCode::OK, &answer)
            }
            Err(reply) => reply,
        },
        _ => refusal(StatusCode::NOT_FOUND, "no such call between replicas"),
    }
}
