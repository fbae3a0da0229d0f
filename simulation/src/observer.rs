//! The record of everything that the operator, servers and clients see of the system. The invariants are checked against it.

mod observations;

pub use observations::{
    AcknowledgedDrain, AppliedConfig, AttemptSent, ClientRequest, ConfigRead, ConflictResponse, EdgeState,
    ObservedOrder, ObservedRequest, Outcome, SentChange,
};

use std::collections::BTreeMap;

use shaletrail_coordinator::interface::StateChange;
use shaletrail_protocol::{Incarnation, Millis, NodeId, ServerId};

/// Number of state changes of coordinators that are kept for failure messages.
const MAX_STATE_CHANGES: usize = 4_000;

/// Everything that was visible to the operator, servers and clients. Times are virtual time in milliseconds.
#[derive(Debug, Default)]
pub struct Observer {
    /// Requests, by number.
    pub requests: BTreeMap<u64, ObservedRequest>,
    /// Attempts of all edges, in the order of sending.
    pub attempts: Vec<AttemptSent>,
    /// Orders that servers answered, in this order.
    pub orders: Vec<ObservedOrder>,
    /// Loads from the weight store: start time and service.
    pub store_loads: Vec<(Millis, String)>,
    /// Orders that exceed a server's capacity: time, server, and the models and adapters that it would have loaded.
    pub capacity_violations: Vec<(Millis, ServerId, String)>,
    /// Acknowledged `draining` heartbeats, in the order of acknowledgement.
    pub acknowledged_drains: Vec<AcknowledgedDrain>,
    /// Calls and drainings that were not acknowledged in time although no fault was in effect.
    pub overdue_acknowledgements: Vec<(Millis, String)>,
    /// Configurations that edges applied, in this order.
    pub applied_configs: Vec<AppliedConfig>,
    /// Changes of the operator, by number.
    pub changes: BTreeMap<u64, SentChange>,
    /// Reads of the operator, in the order of their responses.
    pub reads: Vec<ConfigRead>,
    /// Conflict responses to changes, in the order of arrival.
    pub conflicts: Vec<ConflictResponse>,
    /// For each machine, when it was thawed or a partition of it healed.
    pub restorations: BTreeMap<NodeId, Vec<Millis>>,
    /// Injected faults and repairs, for failure messages.
    pub actions: Vec<(Millis, String)>,
    /// State changes that coordinators logged, for failure messages. No invariant depends on them.
    pub state_changes: Vec<(Millis, NodeId, StateChange)>,
}

impl Observer {
    /// Records that a request arrived at an edge.
    pub fn request_received(
        &mut self,
        at: Millis,
        number: u64,
        client_request: &ClientRequest,
        non_idempotent: bool,
        edge_state: EdgeState,
    ) {
        let EdgeState { edge, version, has_quorum_contact } = edge_state;
        let observed = ObservedRequest {
            at,
            edge,
            client_request: client_request.clone(),
            non_idempotent,
            attempts: Vec::new(),
            version,
            has_quorum_contact,
            written: Vec::new(),
            rejections: Vec::new(),
            executions: Vec::new(),
            response: None,
        };
        self.requests.insert(number, observed);
    }

    /// Records the response that a client received; only the first one counts.
    pub fn request_answered(&mut self, at: Millis, number: u64, status: u16) {
        if let Some(request) = self.requests.get_mut(&number) {
            request.response.get_or_insert((at, status));
        }
    }

    /// Records that an edge sent an attempt of a request.
    pub fn attempt_sent(&mut self, attempt: AttemptSent) {
        if let Some(request) = self.requests.get_mut(&attempt.request) {
            request.attempts.push((attempt.at, attempt.server.clone()));
        }
        self.attempts.push(attempt);
    }

    /// Records that an edge wrote an attempt to a server's connection.
    pub fn attempt_written(&mut self, at: Millis, number: u64, service: &str) {
        if let Some(request) = self.requests.get_mut(&number) {
            request.written.push((at, service.to_owned()));
        }
    }

    /// Takes back the last [`Observer::attempt_written`] of a request, as its connection was refused.
    pub fn attempt_not_written(&mut self, number: u64) {
        if let Some(request) = self.requests.get_mut(&number) {
            request.written.pop();
        }
    }

    /// Records that a server rejected an attempt.
    pub fn attempt_rejected(&mut self, at: Millis, number: u64, server: &ServerId, status: u16) {
        if let Some(request) = self.requests.get_mut(&number) {
            request.rejections.push((at, server.clone(), status));
        }
    }

    /// Records that a server began to execute a request.
    pub fn request_executed(&mut self, at: Millis, number: u64, server: &ServerId, _service: &str) {
        if let Some(request) = self.requests.get_mut(&number) {
            request.executions.push((at, server.clone()));
        }
    }

    /// Records that a server answered an order.
    pub fn order_received(&mut self, order: ObservedOrder) {
        self.orders.push(order);
    }

    /// Records that a load from the weight store began.
    pub fn load_started(&mut self, at: Millis, service: &str) {
        self.store_loads.push((at, service.to_owned()));
    }

    /// Records that a server accepted an order that exceeds its capacity.
    pub fn capacity_exceeded(&mut self, at: Millis, server: &ServerId, description: String) {
        self.capacity_violations.push((at, server.clone(), description));
    }

    /// Records that a server received the acknowledgement of its draining from the coordinator `by`.
    pub fn drain_acknowledged(
        &mut self,
        at: Millis,
        server: &ServerId,
        by: NodeId,
        has_quorum_contact: bool,
    ) {
        self.acknowledged_drains.push(AcknowledgedDrain {
            at,
            server: server.clone(),
            by,
            has_quorum_contact,
        });
    }

    /// Records that a call or a draining was not acknowledged in time although no fault was in effect.
    pub fn acknowledgement_overdue(&mut self, at: Millis, description: String) {
        self.overdue_acknowledgements.push((at, description));
    }

    /// Records that an edge applied a configuration.
    pub fn config_applied(
        &mut self,
        at: Millis,
        edge: NodeId,
        incarnation: Incarnation,
        version: u64,
        change: Option<u64>,
    ) {
        self.applied_configs.push(AppliedConfig { at, edge, incarnation, version, change });
    }

    /// Records that the operator created a change.
    pub fn change_created(&mut self, change: u64, sent_change: SentChange) {
        self.changes.insert(change, sent_change);
    }

    /// Records that the operator received an outcome of a change.
    pub fn change_answered(&mut self, at: Millis, change: u64, outcome: Outcome) {
        if let Some(change) = self.changes.get_mut(&change) {
            change.outcomes.push((at, outcome));
        }
    }

    /// Records that a change was rejected because another version is current.
    pub fn change_conflicted(&mut self, conflict: ConflictResponse) {
        self.conflicts.push(conflict);
    }

    /// Records what the operator read.
    pub fn config_read(&mut self, read: ConfigRead) {
        self.reads.push(read);
    }

    /// Records that a machine was thawed or a partition of it healed.
    pub fn connectivity_restored(&mut self, at: Millis, node: NodeId) {
        self.restorations.entry(node).or_default().push(at);
    }

    /// Records an injected fault, a repair or another step of a test, for failure messages.
    pub fn record_action(&mut self, at: Millis, description: String) {
        self.actions.push((at, description));
    }

    /// Records a state change that a coordinator logged; dropped once the record is full.
    pub fn state_changed(&mut self, at: Millis, node: NodeId, change: StateChange) {
        if self.state_changes.len() < MAX_STATE_CHANGES {
            self.state_changes.push((at, node, change));
        }
    }

    /// The latest outcome of a change; `None` if it has not been answered.
    pub fn outcome(&self, change: u64) -> Option<Outcome> {
        self.changes.get(&change)?.outcomes.last().map(|(_, outcome)| *outcome)
    }

    /// Whether any response acknowledged a change.
    pub fn is_acknowledged(&self, change: u64) -> bool {
        self.changes.get(&change).is_some_and(|change| change.acknowledged_at().is_some())
    }

    /// The newest version that was acknowledged before a time; 0 for none.
    pub fn acknowledged_version(&self, before: Millis) -> u64 {
        let known = |change: &SentChange| change.acknowledged_at().is_some_and(|at| at < before);
        self.changes
            .values()
            .filter(|change| known(change))
            .map(|change| change.version)
            .max()
            .unwrap_or_default()
    }
}
