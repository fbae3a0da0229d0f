//! Options of small fleets for tests.

use shaletrail_capacity_emulator::Options;

/// Requests per second for idle models, per server. Far above the rate at the target size, to reduce random variation.
const IDLE_MODEL_RATE_PER_SERVER: f64 = 0.05;

/// The options of a fleet small enough for a test: few models, few requests and five coordinators.
pub fn small_fleet_options(edges: usize, servers: usize) -> Options {
    Options {
        models: 40,
        services: 2,
        routes: 8,
        request_rate: 20.0,
        idle_model_rate: IDLE_MODEL_RATE_PER_SERVER * servers as f64,
        change_rate: 1.0,
        seconds: 4,
        time_limit_s: 600,
        ..Options::of_size(edges, servers, 5)
    }
}
