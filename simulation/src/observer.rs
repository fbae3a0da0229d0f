//! The record of what operator, servers and clients see of the system. Invariants are checked over it.

mod observations;

pub use observations::{
    AcknowledgedDrain, AppliedConfig, AttemptSent, ClientRequest, ConfigRead, ConflictResponse, EdgeState,
    ObservedOrder, ObservedRequest, Outcome, SentChange,
};

use std::collections::BTreeMap;

use shaletrail_coordinator::interface::StateChange;
use shaletrail_protocol::{Incarnation, Millis, NodeId, ServerId};

/// Most log lines of coordinators that are kept for messages of failed tests.
const MAX_STATE_CHANGES: usize = 4_000;

/// Everything that was visible to the operator, servers and clients. Times are virtual time in milliseconds.
#[derive(Debug, Default)]
pub struct Observer {
    /// Requests, by the clients' numbers.
    pub requests: BTreeMap<u64, ObservedRequest>,
    /// Attempts of all edges, in order.
    pub attempts: Vec<AttemptSent>,
    /// Orders that servers answered, in order.
    pub orders: Vec<ObservedOrder>,
    /// Starts of loads from the weight store: time and service.
    pub store_loads: Vec<(Millis, String)>,
    /// Orders that load more than a server's capacity: time, server and what it would have loaded.
    pub capacity_violations: Vec<(Millis, ServerId, String)>,
    /// Acknowledged reports of `draining`, in order.
    pub acknowledged_drains: Vec<AcknowledgedDrain>,
    /// Calls and drainings without an acknowledgement in time although there was no fault.
    pub overdue_acknowledgements: Vec<(Millis, String)>,
    /// Configurations that edges applied, in order.
    pub applied_configs: Vec<AppliedConfig>,
    /// Changes of the operator, by number.
    pub changes: BTreeMap<u64, SentChange>,
    /// Reads of the operator, in order.
    pub reads: Vec<ConfigRead>,
    /// Changes that were rejected because another version is current, in order.
    pub conflicts: Vec<ConflictResponse>,
    /// When each machine was thawed or a partition of it healed.
    pub restorations: BTreeMap<NodeId, Vec<Millis>>,
    /// Faults and repairs, for messages of failed tests.
    pub actions: Vec<(Millis, String)>,
    /// Log lines of coordinators. No invariant depends on them.
    pub state_changes: Vec<(Millis, NodeId, StateChange)>,
}

impl Observer {
    /// A request arrives at an edge.
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

    /// A client receives its response.
    pub fn request_answered(&mut self, at: Millis, number: u64, status: u16) {
        if let Some(request) = self.requests.get_mut(&number) {
            request.response.get_or_insert((at, status));
        }
    }

    /// An edge sends an attempt of a request.
    pub fn attempt_sent(&mut self, attempt: AttemptSent) {
        if let Some(request) = self.requests.get_mut(&attempt.request) {
            request.attempts.push((attempt.at, attempt.server.clone()));
        }
        self.attempts.push(attempt);
    }

    /// A request is written to a server's connection.
    pub fn attempt_written(&mut self, at: Millis, number: u64, service: &str) {
        if let Some(request) = self.requests.get_mut(&number) {
            request.written.push((at, service.to_owned()));
        }
    }

    /// The connection to which a request was written had been refused.
    pub fn attempt_not_written(&mut self, number: u64) {
        if let Some(request) = self.requests.get_mut(&number) {
            request.written.pop();
        }
    }

    /// A server rejects an attempt.
    pub fn attempt_rejected(&mut self, at: Millis, number: u64, server: &ServerId, status: u16) {
        if let Some(request) = self.requests.get_mut(&number) {
            request.rejections.push((at, server.clone(), status));
        }
    }

    /// A server runs a request.
    pub fn request_executed(&mut self, at: Millis, number: u64, server: &ServerId, _service: &str) {
        if let Some(request) = self.requests.get_mut(&number) {
            request.executions.push((at, server.clone()));
        }
    }

    /// A server answers an order.
    pub fn order_received(&mut self, order: ObservedOrder) {
        self.orders.push(order);
    }

    /// A load from the weight store begins.
    pub fn load_started(&mut self, at: Millis, service: &str) {
        self.store_loads.push((at, service.to_owned()));
    }

    /// A server is ordered to load beyond its room.
    pub fn capacity_exceeded(&mut self, at: Millis, server: &ServerId, description: String) {
        self.capacity_violations.push((at, server.clone(), description));
    }

    /// A server has the acknowledgement of its `draining`.
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

    /// Something had no acknowledgement in time although nothing was wrong.
    pub fn acknowledgement_overdue(&mut self, at: Millis, description: String) {
        self.overdue_acknowledgements.push((at, description));
    }

    /// A configuration comes into force at an edge.
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

    /// The operator writes a change.
    pub fn change_written(&mut self, change: u64, attempt_sent: SentChange) {
        self.changes.insert(change, attempt_sent);
    }

    /// The operator receives the outcome of a change.
    pub fn change_answered(&mut self, at: Millis, change: u64, outcome: Outcome) {
        if let Some(change) = self.changes.get_mut(&change) {
            change.outcomes.push((at, outcome));
        }
    }

    /// A change is refused as built on another version.
    pub fn change_conflicted(&mut self, conflict: ConflictResponse) {
        self.conflicts.push(conflict);
    }

    /// A configuration is read back.
    pub fn config_read(&mut self, read: ConfigRead) {
        self.reads.push(read);
    }

    /// A machine is thawed, or a partition of it heals.
    pub fn connectivity_restored(&mut self, at: Millis, node: NodeId) {
        self.restorations.entry(node).or_default().push(at);
    }

    /// Something is done to the fleet.
    pub fn record_action(&mut self, at: Millis, description: String) {
        self.actions.push((at, description));
    }

    /// A coordinator writes a line to its log.
    pub fn state_changed(&mut self, at: Millis, node: NodeId, change: StateChange) {
        if self.state_changes.len() < MAX_STATE_CHANGES {
            self.state_changes.push((at, node, change));
        }
    }

    /// The answer to a change, if it has one.
    pub fn outcome(&self, change: u64) -> Option<Outcome> {
        self.changes.get(&change)?.outcomes.last().map(|(_, outcome)| *outcome)
    }

    /// Whether a change was acknowledged.
    pub fn is_acknowledged(&self, change: u64) -> bool {
        self.changes.get(&change).is_some_and(|change| change.acknowledged_at().is_some())
    }

    /// The newest version acknowledged before a moment.
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
