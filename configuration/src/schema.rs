//! Routes, services and limits as typed values.

/// How often requests of a route may run, and in which form they are answered.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RouteKind {
    /// A request may run more than once.
    Idempotent,
    /// A request may run at most once; also the kind of routes whose type this version does not know.
    #[default]
    NonIdempotent,
    /// A request is answered with a stream of events.
    Streaming {
        /// Whether another server may resume a stream; if not, a request may run at most once.
        resumable: bool,
        /// Target for the longest gap between two events, in milliseconds.
        gap_target_ms: u64,
    },
}

impl RouteKind {
    /// Whether a request may run more than once, so that it can be retried after it may have reached a server.
    pub fn is_idempotent(self) -> bool {
        matches!(self, RouteKind::Idempotent | RouteKind::Streaming { resumable: true, .. })
    }
}

/// How requests for one host and path prefix are routed.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Route {
    /// Name of the route, unique among routes.
    pub name: String,
    /// Host of the requests, in lower case and without a port.
    pub host: String,
    /// Prefix of the requests' paths.
    pub path_prefix: String,
    /// How often its requests may run, and in which form they are answered.
    pub kind: RouteKind,
    /// Longest time that a request may take, in milliseconds; over 0, at most one year.
    pub timeout_ms: u64,
    /// Latency within which a response counts in full, in milliseconds; at most one year.
    pub target_latency_ms: u64,
    /// Priority class; 0 is the highest.
    pub priority: u8,
    /// Services that its requests are split among; at least one.
    pub traffic_split: Vec<WeightedService>,
    /// Maximum number of servers that one request is sent to; 1 or more.
    pub max_attempts: u32,
    /// Whether its requests name a model and prompt prefix, by which a server is preferred.
    pub affinity: bool,
}

/// A service's share in the traffic of a route.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct WeightedService {
    /// Name of the service.
    pub service: String,
    /// Weight relative to the route's other services; over 0 and finite.
    pub weight: f64,
}

/// A group of servers that are interchangeable.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Service {
    /// Name of the service, unique among services.
    pub name: String,
    /// Path of its health checks.
    pub health_path: String,
    /// Maximum number of connections that one of its servers accepts from all clients together.
    pub max_connections: u32,
    /// Capacity and models of its servers; `None` for a service without models.
    pub runtime: Option<Runtime>,
}

/// Capacity of each server of a service that runs models, and the models to choose from.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Runtime {
    /// Requests that a server works on at once.
    pub slots: u32,
    /// Capacity of a server's KV cache, in tokens.
    pub kv_capacity: u64,
    /// Tokens in each event of a stream.
    pub stride: u32,
    /// Models that servers can load.
    pub models: Vec<Model>,
    /// A server's memory for the weights of models and adapters together, in MB.
    pub weights_mb: f64,
    /// Maximum number of adapters that a server has loaded.
    pub adapter_capacity: u32,
    /// Rate limit of the weight store for loads by all servers together, in loads a second; 0 for no limit.
    pub load_per_s: f64,
}

/// A model that servers can be ordered to load.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Model {
    /// Name of the model.
    pub name: String,
    /// Size of its weights, in MB.
    pub weights_mb: f64,
    /// Duration of a load from the weight store, in seconds.
    pub load_time_s: f64,
    /// Number of its adapters, which are named `a1`, `a2` and so on.
    pub adapters: u32,
    /// Size of each adapter, in MB.
    pub adapter_size_mb: f64,
}

/// Limits for the requests and connections of clients.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientLimits {
    /// Maximum size of a request's head, in bytes.
    pub max_header_bytes: u64,
    /// Maximum size of a request's body, in bytes.
    pub max_body_bytes: u64,
    /// Time-out for receiving a request's head, in milliseconds.
    pub header_timeout_ms: u64,
    /// Time-out of an idle connection between two requests, in milliseconds.
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
