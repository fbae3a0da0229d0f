//! The probabilities of events in mixed histories.

use crate::fixtures::Models;

/// The probability of each kind of event per step of a history, from 0 to 1.
#[derive(Clone, Copy, Debug)]
pub struct Mix {
    /// Probability that a coordinator's machine has a fault.
    pub coordinator_faults: f64,
    /// Probability that all coordinators and edges fail at once.
    pub total_outages: f64,
    /// Probability that an edge has a fault.
    pub edge_faults: f64,
    /// Probability that a model server starts, drains or crashes.
    pub server_changes: f64,
    /// Probability that the operator calls.
    pub operator_calls: f64,
    /// Probability that a client sends a request.
    pub client_requests: f64,
    /// Probability that delay and loss of all links change.
    pub link_changes: f64,
}

impl Mix {
    /// Client requests only, the background load of the scenarios.
    pub(crate) fn requests_only() -> Self {
        let client_requests = 0.25;
        Mix {
            coordinator_faults: 0.0,
            total_outages: 0.0,
            edge_faults: 0.0,
            server_changes: 0.0,
            operator_calls: 0.0,
            client_requests,
            link_changes: 0.0,
        }
    }

    /// All kinds of events, with rare faults.
    pub fn everything() -> Self {
        Mix {
            coordinator_faults: 0.03,
            total_outages: 0.003,
            edge_faults: 0.02,
            server_changes: 0.03,
            operator_calls: 0.08,
            client_requests: 0.6,
            link_changes: 0.01,
        }
    }

    /// Frequent coordinator faults and frequent calls of the operator.
    pub fn coordinator_faults() -> Self {
        Mix {
            coordinator_faults: 0.1,
            total_outages: 0.008,
            operator_calls: 0.25,
            server_changes: 0.01,
            client_requests: 0.1,
            ..Mix::everything()
        }
    }

    /// Servers that start, drain and crash under requests for all models.
    pub fn servers() -> Self {
        Mix {
            coordinator_faults: 0.01,
            total_outages: 0.001,
            server_changes: 0.08,
            client_requests: 1.0,
            operator_calls: 0.01,
            ..Mix::everything()
        }
    }
}

/// More models than fit into the memory of the servers, and a slow weight store.
pub(super) fn many_models() -> Models {
    Models { count: 14, load_per_s: 0.6, ..Models::default() }
}
