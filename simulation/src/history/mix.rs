//! The probabilities of events in mixed histories.

use crate::fixtures::Models;

/// The probability of each kind of event per step of a history, from 0 to 1.
#[derive(Clone, Copy, Debug)]
pub struct Mix {
    /// Probability that a coordinator's machine has a fault.
    pub core: f64,
    /// Probability that all coordinators and edges fail at once.
    pub all: f64,
    /// Probability that an edge has a fault.
    pub edge: f64,
    /// Probability that a model server starts, drains or crashes.
    pub server: f64,
    /// Probability that the operator calls.
    pub operator: f64,
    /// Probability that a client sends a request.
    pub requests: f64,
    /// Probability that delay and loss of all links change.
    pub links: f64,
}

impl Mix {
    /// Client requests only, the background load of the scenarios.
    pub(crate) fn requests_only() -> Self {
        let requests = 0.25;
        Mix { core: 0.0, all: 0.0, edge: 0.0, server: 0.0, operator: 0.0, requests, links: 0.0 }
    }

    /// All kinds of events, with rare faults.
    pub fn everything() -> Self {
        Mix { core: 0.03, all: 0.003, edge: 0.02, server: 0.03, operator: 0.08, requests: 0.6, links: 0.01 }
    }

    /// Frequent coordinator faults and frequent calls of the operator.
    pub fn core() -> Self {
        Mix { core: 0.1, all: 0.008, operator: 0.25, server: 0.01, requests: 0.1, ..Mix::everything() }
    }

    /// Servers that start, drain and crash under requests for all models.
    pub fn servers() -> Self {
        Mix { core: 0.01, all: 0.001, server: 0.08, requests: 1.0, operator: 0.01, ..Mix::everything() }
    }
}

/// More models than fit into the memory of the servers, and a slow weight store.
pub(super) fn many_models() -> Models {
    Models { count: 14, load_per_s: 0.6, ..Models::default() }
}
