//! Routes, services and limits as the program reads them.

/// How requests of a route may be treated.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RouteKind {
    /// May run more than once.
    Idempotent,
    /// May run at most once for each try; also kinds that are not known.
    #[default]
    NonIdempotent,
    /// Answered with a series of events.
    Streaming {
        /// Whether a stream may be taken up at another server; if not, it may run at most once.
        resumable: bool,
        /// The longest pause between events at which an answer is in time, in milliseconds.
        gap_aim_ms: u64,
    },
}

impl RouteKind {
    /// Whether a request may run more than once.
    pub fn may_repeat(self) -> bool {
        matches!(self, RouteKind::Idempotent | RouteKind::Streaming { resumable: true, .. })
    }
}

/// Where requests of one host and path prefix go, and how.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Route {
    /// Its name.
    pub name: String,
    /// The host, in lower case and without a port.
    pub host: String,
    /// The beginning of the paths that it takes.
    pub path_prefix: String,
    /// How its requests may be treated.
    pub kind: RouteKind,
    /// The longest time that a request may be held, in milliseconds; over 0.
    pub timeout_ms: u64,
    /// The time within which an answer earns its full worth, in milliseconds.
    pub target_latency_ms: u64,
    /// Its rank; 0 is the highest.
    pub priority: u8,
    /// Services that take its requests, with their weights; all over 0, at least one.
    pub targets: Vec<(String, f64)>,
    /// The greatest number of servers that one try may be sent to; 1 or more.
    pub max_attempts: u32,
    /// Whether its requests name models and parts of prompts.
    pub affinity: bool,
}

/// A group of servers that do the same.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Service {
    /// Its name.
    pub name: String,
    /// The path of its health checks.
    pub health_path: String,
    /// Connections that one of its servers accepts from all callers together.
    pub max_connections: u32,
    /// What its servers run, where they run models.
    pub runtime: Option<Runtime>,
}

/// What the servers of a service with models are like.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Runtime {
    /// Requests that a server works on at once.
    pub slots: u32,
    /// Tokens of a server's memory.
    pub kv_capacity: u64,
    /// Tokens that one event of a stream holds.
    pub stride: u32,
    /// The models there are.
    pub models: Vec<Model>,
    /// What a server holds of weights and adapters together, in MB.
    pub weights_mb: f64,
    /// Adapters that a server holds.
    pub adapter_capacity: u32,
    /// Loads a second that the weight store allows, over all servers; 0 where it sets no limit.
    pub load_per_s: f64,
}

/// A model that servers can be ordered to load.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Model {
    /// Its name.
    pub name: String,
    /// Size of its weights, in MB.
    pub weights_mb: f64,
    /// Time of a load from the weight store, in seconds.
    pub load_time_s: f64,
    /// How many adapters it has; they are named `a1`, `a2` and so on.
    pub adapters: u32,
    /// Size of an adapter, in MB.
    pub adapter_size_mb: f64,
}

/// What a client may send, and how long it may take or rest.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientLimits {
    /// Bytes of a request's head.
    pub max_header_bytes: u64,
    /// Bytes of a request's body.
    pub max_body_bytes: u64,
    /// Time for a request's head, in milliseconds.
    pub header_timeout_ms: u64,
    /// Time that a connection may rest between requests, in milliseconds.
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
