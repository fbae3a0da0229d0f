//! Small fleets for tests.

use shaletrail_capacity_emulator::Options;

/// Requests a second for something idle, for each server: far more than to come, so that luck counts for little.
const COLD_A_SERVER: f64 = 0.05;

/// A fleet that a test can afford: few models, few requests, five coordinators.
pub fn small(edges: usize, servers: usize) -> Options {
    Options {
        models: 40,
        services: 2,
        routes: 8,
        request_rate: 20.0,
        cold_rate: COLD_A_SERVER * servers as f64,
        change_rate: 1.0,
        seconds: 4,
        patience_s: 600,
        ..Options::of_size(edges, servers, 5)
    }
}
