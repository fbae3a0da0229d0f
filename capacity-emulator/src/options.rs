//! Sizes and rates of a run.

use shaletrail_protocol::Millis;

/// Models of the size to come.
pub const MODELS_TO_COME: usize = 910;
/// Adapters of one model, so that all models have about 16,000.
pub const ADAPTERS_A_MODEL: u32 = 18;
/// Requests a second at one edge: 100,000 over 880 edges.
pub const REQUESTS_AN_EDGE: f64 = 100_000.0 / 880.0;
/// Changes of the configuration a second: 26,000 a day.
pub const CHANGES_A_SECOND: f64 = 26_000.0 / 86_400.0;
/// Restarts of servers' machines a second, for each server: 640 restarts and 130 failures a day among 10,000.
pub const RESTARTS_A_SERVER: f64 = 770.0 / 86_400.0 / 10_000.0;
/// Loads a second for each server: 41,000 an hour among 10,000.
pub const LOADS_A_SERVER: f64 = 41_000.0 / 3_600.0 / 10_000.0;
/// One model in so many is busy; the others are idle but for single requests.
pub const MODELS_A_BUSY_ONE: usize = 10;
/// Adapters of a busy model that are busy too.
pub const BUSY_ADAPTERS: u32 = 2;
/// Zones, in regions of [`ZONES_A_REGION`].
pub const ZONES: usize = 12;
/// Zones of one region.
pub const ZONES_A_REGION: usize = 3;

/// What a run is made of.
#[derive(Clone, Debug, PartialEq)]
pub struct Options {
    /// Data-plane nodes.
    pub edges: usize,
    /// Edges with a router and requests of their own. The others poll as these do and report what one of these
    /// reports, so that coordinators see no difference; they keep no state.
    pub full_edges: usize,
    /// Model servers.
    pub servers: usize,
    /// Coordinators.
    pub cores: usize,
    /// Counted machines that may be lost at once: `2 * hosts_lost + 1` coordinators vote.
    pub hosts_lost: u32,
    /// Services with models, over which models and servers are spread evenly.
    pub services: usize,
    /// Models in all.
    pub models: usize,
    /// Routes in all.
    pub routes: usize,
    /// Requests a second at each edge.
    pub request_rate: f64,
    /// Requests a second in the whole system for something idle that no server holds: each is a load.
    pub cold_rate: f64,
    /// Changes of the configuration a second; one in ten replaces a service, the others a route.
    pub change_rate: f64,
    /// Between two heartbeats of a server, in milliseconds.
    pub heartbeat_ms: Millis,
    /// Steady seconds that are measured.
    pub seconds: u64,
    /// Real seconds after which a run is given up.
    pub patience_s: u64,
    /// Seed of all luck.
    pub seed: u64,
}

impl Options {
    /// The rates of the size to come, at a size of one's own.
    pub fn of_size(edges: usize, servers: usize, cores: usize) -> Self {
        Options {
            edges,
            full_edges: edges,
            servers,
            cores,
            hosts_lost: 2,
            services: 4,
            models: MODELS_TO_COME.min(servers),
            routes: 400,
            request_rate: REQUESTS_AN_EDGE,
            cold_rate: LOADS_A_SERVER * servers as f64,
            change_rate: CHANGES_A_SECOND,
            heartbeat_ms: 1_200,
            seconds: 10,
            patience_s: 240,
            seed: 1,
        }
    }

    /// Models that are asked for all the time.
    pub fn busy_models(&self) -> usize {
        (self.models / MODELS_A_BUSY_ONE).max(1)
    }

    /// The part of requests that ask for something idle.
    pub fn cold_part(&self) -> f64 {
        let all = self.request_rate * self.full_edges as f64;
        if all > 0.0 {
            (self.cold_rate / all).min(1.0)
        } else {
            0.0
        }
    }
}
