//! Sizes and rates of a run.

use shaletrail_protocol::settings::FaultTolerance;
use shaletrail_protocol::Millis;

/// The number of models at the target size of the fleet.
pub const TARGET_MODELS: usize = 910;
/// The number of adapters of each model; 910 models have about 16,000 in total.
pub const ADAPTERS_PER_MODEL: u32 = 18;
/// Requests per second at each edge: 100,000 over 880 edges.
pub const REQUESTS_PER_SECOND_PER_EDGE: f64 = 100_000.0 / 880.0;
/// Configuration changes per second: 26,000 per day.
pub const CHANGES_PER_SECOND: f64 = 26_000.0 / 86_400.0;
/// Restarts per second of each server's machine: 640 restarts and 130 failures per day among 10,000 servers.
pub const RESTARTS_PER_SECOND_PER_SERVER: f64 = 770.0 / 86_400.0 / 10_000.0;
/// Loads per second on each server: 41,000 per hour among 10,000 servers.
pub const LOADS_PER_SECOND_PER_SERVER: f64 = 41_000.0 / 3_600.0 / 10_000.0;
/// One in this many models is busy; the others only receive single requests.
pub const MODELS_PER_BUSY_MODEL: usize = 10;
/// The number of busy adapters of each busy model.
pub const BUSY_ADAPTERS: u32 = 2;
/// The number of zones, grouped into regions of [`ZONES_PER_REGION`].
pub const ZONES: usize = 12;
/// The number of zones in each region.
pub const ZONES_PER_REGION: usize = 3;

/// Sizes and rates of a run.
#[derive(Clone, Debug, PartialEq)]
pub struct Options {
    /// The number of edges, the nodes of the data plane.
    pub edges: usize,
    /// The number of edges that have a router and client requests. The other edges keep no routing state. They poll in
    /// the same way and report what one of these edges reports, so that coordinators see no difference.
    pub routing_edges: usize,
    /// The number of model servers.
    pub servers: usize,
    /// The number of coordinators.
    pub coordinators: usize,
    /// The losses of coordinators that may occur at the same time.
    pub fault_tolerance: FaultTolerance,
    /// The number of services. Models and servers are spread evenly over them.
    pub services: usize,
    /// The total number of models.
    pub models: usize,
    /// The total number of routes.
    pub routes: usize,
    /// Client requests per second at each edge that has a router.
    pub request_rate: f64,
    /// Requests per second, over all clients, for an idle model or adapter. No server has it loaded, so each causes a
    /// load.
    pub idle_model_rate: f64,
    /// Configuration changes per second; one in ten replaces a service, the others replace a route.
    pub change_rate: f64,
    /// The interval between a server's heartbeats, in milliseconds.
    pub heartbeat_ms: Millis,
    /// The duration of the steady phase, in virtual seconds.
    pub seconds: u64,
    /// The wall-clock limit for a run, in seconds.
    pub time_limit_s: u64,
    /// The seed of the only random generator in a run.
    pub seed: u64,
}

impl Options {
    /// Options for a fleet of the given size, with the rates of the target size.
    pub fn of_size(edges: usize, servers: usize, coordinators: usize) -> Self {
        Options {
            edges,
            routing_edges: edges,
            servers,
            coordinators,
            fault_tolerance: FaultTolerance { hosts: 2, zones: 0, regions: 0 },
            services: 4,
            models: TARGET_MODELS.min(servers),
            routes: 400,
            request_rate: REQUESTS_PER_SECOND_PER_EDGE,
            idle_model_rate: LOADS_PER_SECOND_PER_SERVER * servers as f64,
            change_rate: CHANGES_PER_SECOND,
            heartbeat_ms: 1_200,
            seconds: 10,
            time_limit_s: 240,
            seed: 1,
        }
    }

    /// The number of models that clients request continuously.
    pub fn busy_models(&self) -> usize {
        (self.models / MODELS_PER_BUSY_MODEL).max(1)
    }

    /// The fraction of an edge's requests that ask for an idle model or adapter.
    pub fn idle_model_fraction(&self) -> f64 {
        let all = self.request_rate * self.routing_edges as f64;
        if all > 0.0 {
            (self.idle_model_rate / all).min(1.0)
        } else {
            0.0
        }
    }
}
