//! The node's configuration: a few environment variables and a JSON file.

use std::fmt;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use serde_json::Value;
use shaletrail_policy::{Seconds, ServerEntry, ServerId, ServerState, Settings};
use shaletrail_registry_protocol::State;

/// File descriptors reserved for everything but clients and upstreams: standard streams, the reactor,
/// signals, the listener, peers, discovery.
const RESERVED_SOCKETS: usize = 24;
/// Largest number of simultaneous operator connections. More come only if some callers hold connections open
/// without sending a request.
pub const MAX_OPERATOR_CONNECTIONS: usize = 12;
/// Descriptors reserved for the operator API: its listener, its connections and one connection that waits
/// for a free place.
const OPERATOR_SOCKETS: usize = MAX_OPERATOR_CONNECTIONS + 2;
/// By the service contract, concurrent client requests use at most a third of all descriptors. A few more
/// connections are accepted so that excess clients get a refusal.
const CLIENT_SOCKET_DIVISOR: usize = 3;
const EXTRA_CLIENT_SOCKETS: usize = 16;
/// Assumed when the configuration states no limit.
const DEFAULT_SOCKETS: usize = 1024;
/// Fewer descriptors can't serve a few clients and a few upstreams.
const MIN_SOCKETS: usize = 64;

/// Descriptors that the two processes of a node may use together for connections, and how many of them are
/// reserved for clients.
#[derive(Clone, Copy)]
pub struct SharedSockets {
    pub total: usize,
    pub client_reserve: usize,
}

/// An invalid configuration, with the reason.
#[derive(Debug)]
pub struct ConfigError(String);

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "configuration: {}", self.0)
    }
}

impl std::error::Error for ConfigError {}

fn config_error(what: impl fmt::Display) -> ConfigError {
    ConfigError(what.to_string())
}

/// The node's complete configuration.
pub struct Config {
    pub name: String,
    pub listen: SocketAddr,
    /// Addresses that serve the same server list: discovery, then its alternatives.
    pub discovery: Vec<SocketAddr>,
    pub seed: u64,
    /// Largest number of connections to upstreams.
    pub upstream_sockets: usize,
    pub client_sockets: usize,
    /// The limits for both processes together while two processes of the node run.
    pub shared_sockets: SharedSockets,
    /// Descriptor of an inherited client listener, if the platform holds the listening socket.
    pub listener_fd: Option<String>,
    /// Listen address of the operator API, if there is one.
    pub operator_listen: Option<SocketAddr>,
    /// Directory for state that outlives a process.
    pub state_dir: Option<PathBuf>,
    pub peer_listen: Option<SocketAddr>,
    /// Peer addresses, indexed by node number.
    pub peers: Vec<SocketAddr>,
    pub peer_broadcast: Option<SocketAddr>,
    pub initial_list: Option<ServerList>,
    pub settings: Settings,
}

impl Config {
    /// Reads the environment and the file that `LB_CONFIG` names. Environment variables take precedence.
    pub fn load() -> Result<Self, ConfigError> {
        let var = |name| std::env::var(name).ok();
        let json = read_config_file()?;
        let optional = |name: &str, variable| match (var(variable), &json[name]) {
            (None, Value::Null) => None,
            (None, value) => Some(value.as_str().unwrap_or_default().to_owned()),
            (variable, _) => variable,
        };
        let required = |name: &str, variable| {
            optional(name, variable).ok_or_else(|| config_error(format!("{name} is missing")))
        };
        let operator_listen =
            optional("ops", "LB_OPS").map(|text| parse_address("ops", &text)).transpose()?;
        let settings = shaletrail_balancer_settings::parse(&json["settings"]).map_err(config_error)?;
        let optional_address = |name: &str| match &json[name] {
            Value::Null => Ok(None),
            value => parse_address(name, value.as_str().unwrap_or_default()).map(Some),
        };
        let peers = json["peers"].as_array().map_or(&[][..], Vec::as_slice);
        let sockets = match &json["limits"]["sockets"] {
            Value::Null => DEFAULT_SOCKETS,
            value => {
                value.as_u64().map(|n| n.min(1 << 20) as usize).filter(|&n| n >= MIN_SOCKETS).ok_or_else(
                    || config_error(format!("limits.sockets: expected at least {MIN_SOCKETS}, got {value}")),
                )?
            }
        };
        let reserved = RESERVED_SOCKETS + if operator_listen.is_some() { OPERATOR_SOCKETS } else { 0 };
        let upstream_sockets = (sockets - reserved) / 2;
        let initial_list = match &json["known"] {
            Value::Null => None,
            value => {
                let list: Result<shaletrail_registry_protocol::List, _> =
                    serde_json::from_value(value.clone());
                Some(
                    list.map_err(|e| config_error(format!("known: expected a list of servers: {e}")))?.into(),
                )
            }
        };
        let seed = json["seed"].as_str().unwrap_or("0");
        Ok(Config {
            name: required("name", "LB_NAME")?,
            listen: parse_address("listen", &required("listen", "LB_LISTEN")?)?,
            discovery: endpoints(&json, &required("discovery", "LB_DISCOVERY")?)?,
            seed: u64::from_str_radix(seed, 16).map_err(|e| config_error(format!("seed: {e}")))?,
            upstream_sockets,
            client_sockets: sockets - reserved - upstream_sockets,
            shared_sockets: SharedSockets {
                total: sockets.saturating_sub(2 * reserved),
                client_reserve: sockets / CLIENT_SOCKET_DIVISOR + EXTRA_CLIENT_SOCKETS,
            },
            listener_fd: var("LB_SOCKET_FD"),
            operator_listen,
            state_dir: var("TMPDIR").filter(|state_dir| !state_dir.is_empty()).map(PathBuf::from),
            peer_listen: optional_address("peer_listen")?,
            peers: peers
                .iter()
                .map(|peer| parse_address("peers", peer.as_str().unwrap_or_default()))
                .collect::<Result<_, _>>()?,
            peer_broadcast: optional_address("peers_all")?,
            initial_list,
            settings,
        })
    }
}

/// Reads the file that `LB_CONFIG` names.
fn read_config_file() -> Result<Value, ConfigError> {
    let path = std::env::var("LB_CONFIG").map_err(|_| config_error("LB_CONFIG is not set"))?;
    let text = std::fs::read_to_string(&path).map_err(|e| config_error(format!("{path}: {e}")))?;
    serde_json::from_str(&text).map_err(|e| config_error(format!("{path}: {e}")))
}

/// Rereads the discovery addresses from the file. The environment is ignored, as it holds the address of the
/// start.
pub fn reload_discovery() -> Result<Vec<SocketAddr>, ConfigError> {
    let json = read_config_file()?;
    endpoints(&json, json["discovery"].as_str().unwrap_or_default())
}

/// Returns `discovery` followed by the addresses of `discovery_also`, if the file has that.
fn endpoints(json: &Value, discovery: &str) -> Result<Vec<SocketAddr>, ConfigError> {
    let mut endpoints = vec![parse_address("discovery", discovery)?];
    match &json["discovery_also"] {
        Value::Null => {}
        Value::Array(addresses) => {
            for addr in addresses {
                endpoints.push(parse_address("discovery_also", addr.as_str().unwrap_or_default())?);
            }
        }
        other => {
            return Err(config_error(format!("discovery_also: expected a list of addresses, got {other}")))
        }
    }
    Ok(endpoints)
}

fn parse_address(name: &str, text: &str) -> Result<SocketAddr, ConfigError> {
    text.parse()
        .map_err(|_| config_error(format!("{name}: expected an IP address with a port, got `{text}`")))
}

/// The balancer's clock: Unix seconds at the node's start, monotonic from then on.
///
/// Server start times are stated in Unix time. As the offset between the two clocks is fixed, an unchanged
/// start time stays unchanged for the balancer, which takes a later start time for a restarted server.
#[derive(Clone, Copy)]
pub struct Clock {
    started: Instant,
    unix: Seconds,
}

impl Clock {
    /// Starts a clock at the current Unix time. Later changes of the wall clock don't affect it.
    // Reads the wall clock once, because server start times are stated in Unix time.
    #[allow(clippy::disallowed_methods)]
    pub fn start() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO);
        Clock { started: Instant::now(), unix: unix.as_secs_f64() }
    }

    /// Current time in seconds of Unix time. It never goes back.
    pub fn now(&self) -> Seconds {
        self.unix + self.started.elapsed().as_secs_f64()
    }
}

/// A server list, or an update of one, as received from discovery.
#[derive(Debug)]
pub struct ServerList {
    pub version: u64,
    /// Whether `servers` is the whole list; otherwise it holds the changed entries only.
    pub full: bool,
    /// Each entry with the address at which this node reaches the server.
    pub servers: Vec<(ServerEntry, SocketAddr)>,
}

impl From<shaletrail_registry_protocol::List> for ServerList {
    fn from(list: shaletrail_registry_protocol::List) -> Self {
        ServerList {
            version: list.version,
            full: list.full,
            servers: list.servers.into_iter().map(server_entry).collect(),
        }
    }
}

fn server_entry(entry: shaletrail_registry_protocol::Entry) -> (ServerEntry, SocketAddr) {
    let addr = entry.addr;
    let server_entry = ServerEntry {
        server: ServerId(entry.id.into()),
        state: match entry.state {
            State::Active => ServerState::Ready,
            State::Left => ServerState::Gone,
            State::Leaving => ServerState::Draining,
        },
        zone: entry.zone,
        weight: entry.weight,
        kind: entry.kind,
        // Unix time, as `Clock` uses it; 0 means unknown or long ago.
        started: (entry.started_ms > 0).then_some(entry.started_ms as f64 / 1000.0),
        cell: entry.cell,
    };
    (server_entry, addr)
}
