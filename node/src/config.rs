//! What the node is told at its start: a few environment variables and a JSON file.

use std::fmt;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use serde_json::Value;
use shaletrail_policy::{RosterEntry, Seconds, ServerId, ServerState, Settings};
use shaletrail_registry_protocol::State;

/// Descriptors kept for all but clients and upstreams: standard streams, the reactor, signals, the listener,
/// peers, discovery.
const RESERVED_SOCKETS: usize = 24;
/// Callers at the operators' door at once. More come only where some hold connections without calling.
pub const MOST_CALLERS: usize = 12;
/// The same for the operators' door: its listener, its callers and one that waits to be let in.
const DOOR_SOCKETS: usize = MOST_CALLERS + 2;
/// Clients' requests take a third of all descriptors at the most by the terms; a few more are let in to be told no.
const CLIENT_PART: usize = 3;
const SPARE_CLIENTS: usize = 16;
/// Held to be allowed where the configuration names no limit.
const DEFAULT_SOCKETS: usize = 1024;
/// Fewer can't carry a few clients and a few upstreams.
const LEAST_SOCKETS: usize = 64;

/// Descriptors that both processes together may use for connections, and how many of them clients may need.
#[derive(Clone, Copy)]
pub struct Shared {
    pub total: usize,
    pub for_clients: usize,
}

/// Why a configuration can't be used.
#[derive(Debug)]
pub struct ConfigError(String);

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "configuration: {}", self.0)
    }
}

impl std::error::Error for ConfigError {}

fn wrong(what: impl fmt::Display) -> ConfigError {
    ConfigError(what.to_string())
}

/// All that the node is told.
pub struct Config {
    pub name: String,
    pub listen: SocketAddr,
    /// Where the list is: discovery, and others that hold the same one.
    pub discovery: Vec<SocketAddr>,
    pub seed: u64,
    /// Connections that upstreams may hold, and clients.
    pub upstream_sockets: usize,
    pub client_sockets: usize,
    /// The same for both together while two processes of the node run.
    pub shared_sockets: Shared,
    /// The descriptor of the clients' listener, where the platform holds that.
    pub socket: Option<String>,
    /// The operators' door, where there is one.
    pub ops: Option<SocketAddr>,
    /// Where the node's processes keep what outlives one of them.
    pub folder: Option<PathBuf>,
    pub peer_listen: Option<SocketAddr>,
    /// By node number.
    pub peers: Vec<SocketAddr>,
    pub peers_all: Option<SocketAddr>,
    pub known: Option<List>,
    pub settings: Settings,
}

impl Config {
    /// Reads the environment and the file that `LB_CONFIG` names.
    pub fn load() -> Result<Self, ConfigError> {
        let var = |name| std::env::var(name).ok();
        let json = file()?;
        let may_tell = |name: &str, variable| match (var(variable), &json[name]) {
            (None, Value::Null) => None,
            (None, value) => Some(value.as_str().unwrap_or_default().to_owned()),
            (variable, _) => variable,
        };
        let told = |name: &str, variable| {
            may_tell(name, variable).ok_or_else(|| wrong(format!("{name} is missing")))
        };
        let ops = may_tell("ops", "LB_OPS").map(|text| address("ops", &text)).transpose()?;
        let settings = shaletrail_balancer_settings::parse(&json["settings"]).map_err(wrong)?;
        let listed = |name: &str| match &json[name] {
            Value::Null => Ok(None),
            value => address(name, value.as_str().unwrap_or_default()).map(Some),
        };
        let peers = json["peers"].as_array().map_or(&[][..], Vec::as_slice);
        let sockets = match &json["limits"]["sockets"] {
            Value::Null => DEFAULT_SOCKETS,
            value => {
                value.as_u64().map(|n| n.min(1 << 20) as usize).filter(|&n| n >= LEAST_SOCKETS).ok_or_else(
                    || wrong(format!("limits.sockets: {LEAST_SOCKETS} or more expected, got {value}")),
                )?
            }
        };
        let reserved = RESERVED_SOCKETS + if ops.is_some() { DOOR_SOCKETS } else { 0 };
        let upstream_sockets = (sockets - reserved) / 2;
        let known = match &json["known"] {
            Value::Null => None,
            value => {
                let list: Result<shaletrail_registry_protocol::List, _> =
                    serde_json::from_value(value.clone());
                Some(list.map_err(|e| wrong(format!("known: a list of servers expected: {e}")))?.into())
            }
        };
        let seed = json["seed"].as_str().unwrap_or("0");
        Ok(Config {
            name: told("name", "LB_NAME")?,
            listen: address("listen", &told("listen", "LB_LISTEN")?)?,
            discovery: endpoints(&json, &told("discovery", "LB_DISCOVERY")?)?,
            seed: u64::from_str_radix(seed, 16).map_err(|e| wrong(format!("seed: {e}")))?,
            upstream_sockets,
            client_sockets: sockets - reserved - upstream_sockets,
            shared_sockets: Shared {
                total: sockets.saturating_sub(2 * reserved),
                for_clients: sockets / CLIENT_PART + SPARE_CLIENTS,
            },
            socket: var("LB_SOCKET_FD"),
            ops,
            folder: var("TMPDIR").filter(|folder| !folder.is_empty()).map(PathBuf::from),
            peer_listen: listed("peer_listen")?,
            peers: peers
                .iter()
                .map(|peer| address("peers", peer.as_str().unwrap_or_default()))
                .collect::<Result<_, _>>()?,
            peers_all: listed("peers_all")?,
            known,
            settings,
        })
    }
}

/// What the file that `LB_CONFIG` names holds now.
fn file() -> Result<Value, ConfigError> {
    let path = std::env::var("LB_CONFIG").map_err(|_| wrong("LB_CONFIG is not set"))?;
    let text = std::fs::read_to_string(&path).map_err(|e| wrong(format!("{path}: {e}")))?;
    serde_json::from_str(&text).map_err(|e| wrong(format!("{path}: {e}")))
}

/// Where discovery is by a file that has been replaced; the environment only knows where it was at the start.
pub fn replaced_discovery() -> Result<Vec<SocketAddr>, ConfigError> {
    let json = file()?;
    endpoints(&json, json["discovery"].as_str().unwrap_or_default())
}

/// Where the list is followed: at `discovery`, and at `discovery_also` where the file has that.
fn endpoints(json: &Value, discovery: &str) -> Result<Vec<SocketAddr>, ConfigError> {
    let mut endpoints = vec![address("discovery", discovery)?];
    match &json["discovery_also"] {
        Value::Null => {}
        Value::Array(also) => {
            for addr in also {
                endpoints.push(address("discovery_also", addr.as_str().unwrap_or_default())?);
            }
        }
        other => return Err(wrong(format!("discovery_also: a list of addresses expected, got {other}"))),
    }
    Ok(endpoints)
}

fn address(name: &str, text: &str) -> Result<SocketAddr, ConfigError> {
    text.parse().map_err(|_| wrong(format!("{name}: an address with a port expected, got `{text}`")))
}

/// The module's clock: Unix seconds at the node's start, and from then on monotonic.
///
/// The start of servers is told in Unix time. One fixed relation between the two clocks makes an unchanged
/// start time stay unchanged for the module, which takes a later one for a new process.
#[derive(Clone, Copy)]
pub struct Clock {
    started: Instant,
    unix: Seconds,
}

impl Clock {
    // The start of servers is told in Unix time; from here on the clock is monotonic.
    #[allow(clippy::disallowed_methods)]
    pub fn start() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO);
        Clock { started: Instant::now(), unix: unix.as_secs_f64() }
    }

    pub fn now(&self) -> Seconds {
        self.unix + self.started.elapsed().as_secs_f64()
    }
}

/// A list of servers in discovery's form.
#[derive(Debug)]
pub struct List {
    pub version: u64,
    /// The whole list, or the changed entries only.
    pub full: bool,
    /// Each entry with the address at which this node reaches the server.
    pub servers: Vec<(RosterEntry, SocketAddr)>,
}

impl From<shaletrail_registry_protocol::List> for List {
    fn from(list: shaletrail_registry_protocol::List) -> Self {
        List {
            version: list.version,
            full: list.full,
            servers: list.servers.into_iter().map(entry).collect(),
        }
    }
}

fn entry(entry: shaletrail_registry_protocol::Entry) -> (RosterEntry, SocketAddr) {
    let addr = entry.addr;
    let roster = RosterEntry {
        server: ServerId(entry.id.into()),
        state: match entry.state {
            State::Active => ServerState::Ready,
            State::Left => ServerState::Gone,
            State::Leaving => ServerState::Draining,
        },
        zone: entry.zone,
        weight: entry.weight,
        kind: entry.kind,
        // Unix time on the clock that `Clock` starts from; 0 is long ago.
        started: (entry.started_ms > 0).then_some(entry.started_ms as f64 / 1000.0),
        cell: entry.cell,
    };
    (roster, addr)
}
