//! Sizes and rates of a run.

use shaletrail_protocol::Millis;

/// The number of models at the target size.
pub const TARGET_MODELS: usize = 910;
/// Adapters of one model; all models have about 16,000.
pub const ADAPTERS_PER_MODEL: u32 = 18;
/// Requests a second at one edge: 100,000 over 880 edges.
pub const REQUESTS_PER_EDGE: f64 = 100_000.0 / 880.0;
/// Changes of the configuration a second: 26,000 a day.
pub const CHANGES_PER_SECOND: f64 = 26_000.0 / 86_400.0;
/// Restarts a second of one server's machine: 640 restarts and 130 failures a day among 10,000 servers.
pub const RESTARTS_PER_SERVER: f64 = 770.0 / 86_400.0 / 10_000.0;
/// Loads a second on one server: 41,000 an hour among 10,000 servers.
pub const LOADS_PER_SERVER: f64 = 41_000.0 / 3_600.0 / 10_000.0;
/// One model in this many is busy; the others are idle but for single requests.
pub const MODELS_PER_BUSY_MODEL: usize = 10;
/// The number of busy adapters of a busy model.
pub const BUSY_ADAPTERS: u32 = 2;
/// The number of zones, in regions of [`ZONES_PER_REGION`].
pub const ZONES: usize = 12;
/// The number of zones of a region.
pub const ZONES_PER_REGION: usize = 3;

/// Sizes and rates of a run.
#[derive(Clone, Debug, PartialEq)]
pub struct Options {
    /// The number of edges, which are the nodes of the data plane.
    pub edges: usize,
    /// The number of edges with a router and clients' requests. The others poll as these do and report what one of these
    /// reports, so that coordinators see no difference; they keep no routing state.
    pub routing_edges: usize,
    /// The number of model servers.
    pub servers: usize,
    /// The number of coordinators.
    pub coordinators: usize,
    /// The number of machines that may fail at once: `2 * hosts_lost + 1` coordinators vote.
    pub hosts_lost: u32,
    /// The number of services, over which models and servers are spread evenly.
    pub services: usize,
    /// The number of models of all services.
    pub models: usize,
    /// The number of routes of all services.
    pub routes: usize,
    /// Requests of clients a second at each edge that has a router.
    pub request_rate: f64,
    /// Requests a second of all clients for an idle model or adapter, which no server has: each leads to a load.
    pub idle_model_rate: f64,
    /// Changes of the configuration a second; one in ten replaces a service, the others a route.
    pub change_rate: f64,
    /// The interval between heartbeats of a server, in milliseconds.
    pub heartbeat_ms: Millis,
    /// The length of the steady phase, in virtual seconds.
    pub seconds: u64,
    /// The limit of real time for a run, in seconds.
    pub time_limit_s: u64,
    /// The seed of the only random generator.
    pub seed: u64,
}

impl Options {
    /// The rates at the target size, for a fleet of another size.
    pub fn of_size(edges: usize, servers: usize, coordinators: usize) -> Self {
        Options {
            edges,
            routing_edges: edges,
            servers,
            coordinators,
            hosts_lost: 2,
            services: 4,
            models: TARGET_MODELS.min(servers),
            routes: 400,
            request_rate: REQUESTS_PER_EDGE,
            idle_model_rate: LOADS_PER_SERVER * servers as f64,
            change_rate: CHANGES_PER_SECOND,
            heartbeat_ms: 1_200,
            seconds: 10,
            time_limit_s: 240,
            seed: 1,
        }
    }

    /// The number of models that clients ask for all the time.
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
