//! The typed form of routes, services and client limits.

/// How often a request of a route may be executed, and the form of its response.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RouteKind {
    /// A request may be executed more than once.
    Idempotent,
    /// A request may be executed at most once. Routes of an unknown type are also of this kind.
    #[default]
    NonIdempotent,
    /// The response to a request is a stream of events.
    Streaming {
        /// Whether another server may resume a stream. If not, a request may be executed at most once.
        resumable: bool,
        /// Target for the longest gap between two events of a stream, in milliseconds; at most one year.
        gap_target_ms: u64,
    },
}

impl RouteKind {
    /// Returns whether a request may be executed more than once, so that it can be retried even if a server may already
    /// have executed it.
    pub fn is_idempotent(self) -> bool {
        matches!(self, RouteKind::Idempotent | RouteKind::Streaming { resumable: true, .. })
    }
}

/// The routing rule for requests to one host and path prefix.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Route {
    /// Name of the route; unique.
    pub name: String,
    /// Host that requests must have, in lower case and without a port.
    pub host: String,
    /// Prefix that request paths must have.
    pub path_prefix: String,
    /// How often a request may be executed, and the form of its response.
    pub kind: RouteKind,
    /// Time-out of a request, in milliseconds; above 0 and at most one year.
    pub timeout_ms: u64,
    /// Latency up to which a response has its full value, in milliseconds; at most one year.
    pub target_latency_ms: u64,
    /// Priority class; 0 is the highest.
    pub priority: u8,
    /// Services that receive the requests of the route, with their weights; at least one.
    pub traffic_split: Vec<WeightedService>,
    /// Maximum number of servers that one request is sent to; at least 1.
    pub max_attempts: u32,
    /// Whether requests name a model and a prompt prefix, which are used to prefer a server.
    pub affinity: bool,
}

/// A service's share of the traffic of a route.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct WeightedService {
    /// Name of the service.
    pub service: String,
    /// Weight relative to the other services of the route; above 0 and finite.
    pub weight: f64,
}

/// A group of interchangeable servers.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Service {
    /// Name of the service; unique.
    pub name: String,
    /// URL path of the health check.
    pub health_path: String,
    /// Maximum number of connections that each server accepts from all clients together.
    pub max_connections: u32,
    /// Capacity and models of the servers; `None` if the service does not run models.
    pub runtime: Option<Runtime>,
}

/// The capacity of each server of a service that runs models, and the models that the servers can load.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Runtime {
    /// Number of requests that a server processes concurrently.
    pub slots: u32,
    /// Capacity of a server's KV cache, in tokens.
    pub kv_capacity: u64,
    /// Number of tokens in each event of a stream.
    pub tokens_per_event: u32,
    /// Models that the servers can load.
    pub models: Vec<Model>,
    /// Memory of a server for the weights of models and adapters together, in MB.
    pub weights_mb: f64,
    /// Maximum number of adapters that a server can have loaded at a time.
    pub adapter_capacity: u32,
    /// Rate limit of the weight store for loads by all servers together, in loads per second; 0 if the
    /// configuration does not give one.
    pub load_per_s: f64,
}

/// A model that the coordinator can order servers to load.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Model {
    /// Name by which requests and orders refer to the model.
    pub name: String,
    /// Size of the model's weights, in MB.
    pub weights_mb: f64,
    /// Time to load the model from the weight store, in seconds.
    pub load_time_s: f64,
    /// Number of adapters of the model; they are named `a1`, `a2` and so on.
    pub adapters: u32,
    /// Size of each adapter, in MB.
    pub adapter_size_mb: f64,
}

/// Limits on client requests and connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientLimits {
    /// Maximum size of a request head (request line and header fields), in bytes.
    pub max_header_bytes: u64,
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: u64,
    /// Time-out for receiving a request head, in milliseconds; at most one year.
    pub header_timeout_ms: u64,
    /// Time-out of a connection that is idle between two requests, in milliseconds; at most one year.
    pub idle_timeout_ms: u64,
}

impl Default for ClientLimits {
    fn default() -> Self {
        ClientLimits {
            max_header_bytes: 16 << 10,
            max_body_bytes: 4 << 20,
            header_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        }
    }
}
