//! The probabilities of events in mixed histories.

use crate::fixtures::Models;

/// The probability of each kind of event in a step of a history, from 0 to 1.
#[derive(Clone, Copy, Debug)]
pub struct Mix {
    /// Probability of a fault of a coordinator's machine.
    pub core: f64,
    /// Probability of an outage of all coordinators and edges at once.
    pub all: f64,
    /// Probability of a fault of an edge.
    pub edge: f64,
    /// Probability of a model server that starts, drains or crashes.
    pub server: f64,
    /// Probability of a call of the operator.
    pub operator: f64,
    /// Probability of a client's request.
    pub requests: f64,
    /// Probability of a change of delay and loss on all links.
    pub links: f64,
}

impl Mix {
    /// Client requests only, the background load of the scenarios.
    pub(crate) fn requests_only() -> Self {
        let requests = 0.25;
        Mix { core: 0.0, all: 0.0, edge: 0.0, server: 0.0, operator: 0.0, requests, links: 0.0 }
    }

    /// All kinds of events, faults being rare.
    pub fn everything() -> Self {
        Mix { core: 0.03, all: 0.003, edge: 0.02, server: 0.03, operator: 0.08, requests: 0.6, links: 0.01 }
    }

    /// Many coordinator faults, and an operator that is busy.
    pub fn core() -> Self {
        Mix { core: 0.1, all: 0.008, operator: 0.25, server: 0.01, requests: 0.1, ..Mix::everything() }
    }

    /// Servers that start, drain and crash under requests for all models.
    pub fn servers() -> Self {
        Mix { core: 0.01, all: 0.001, server: 0.08, requests: 1.0, operator: 0.01, ..Mix::everything() }
    }
}

/// More models than the servers have memory for, and a slow weight store.
pub(super) fn many_models() -> Models {
    Models { count: 14, load_per_s: 0.6, ..Models::default() }
}
