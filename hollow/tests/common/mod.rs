//! Small fleets for tests.

use shaletrail_hollow::Options;

/// A fleet that a test can afford: few models, few requests, five coordinators.
pub fn small(edges: usize, servers: usize) -> Options {
    Options {
        models: 40,
        services: 2,
        routes: 8,
        request_rate: 20.0,
        seconds: 3,
        patience_s: 600,
        ..Options::of_size(edges, servers, 5)
    }
}
