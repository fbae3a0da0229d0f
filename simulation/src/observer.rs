//! What operator, servers and clients have seen.

use std::collections::BTreeMap;

use serde_json::Value;
use shaletrail_coordinator::interface::StateChange;
use shaletrail_protocol::{Incarnation, Millis, NodeId, ServerId};

/// Log lines of coordinators that are kept for messages of failed tests.
const MAX_STATE_CHANGES: usize = 4_000;

/// A client's request as it arrives at an edge.
#[derive(Clone, Debug, Default)]
pub struct ClientRequest {
    /// `Host`.
    pub host: String,
    /// The path.
    pub path: String,
    /// `Model` before the slash.
    pub model: Option<String>,
    /// `Model` after the slash.
    pub adapter: Option<String>,
    /// `Deadline-Ms`.
    pub deadline_ms: Option<Millis>,
}

/// A request, from its client's side and from its servers'.
#[derive(Clone, Debug)]
pub struct ObservedRequest {
    /// When it came.
    pub at: Millis,
    /// Where it came.
    pub edge: NodeId,
    /// What for.
    pub client_request: ClientRequest,
    /// Whether it may run once only.
    pub non_idempotent: bool,
    /// Attempts of the edge, with the servers.
    pub attempts: Vec<(Millis, ServerId)>,
    /// The version in force there; 0 for none.
    pub version: u64,
    /// Whether the edge was in touch.
    pub has_quorum_contact: bool,
    /// Attempts that were written to a connection, with the service; those whose connection was refused are taken out.
    pub written: Vec<(Millis, String)>,
    /// Rejections by servers: time, server and status.
    pub rejections: Vec<(Millis, ServerId, u16)>,
    /// Servers that ran it.
    pub executions: Vec<(Millis, ServerId)>,
    /// The answer's status.
    pub response: Option<(Millis, u16)>,
}

/// Where a request comes.
#[derive(Clone, Copy, Debug)]
pub struct EdgeState {
    /// The edge.
    pub edge: NodeId,
    /// The version in force there; 0 for none.
    pub version: u64,
    /// Whether it is in touch.
    pub has_quorum_contact: bool,
}

/// An attempt of a request that an edge sent.
#[derive(Clone, Debug)]
pub struct AttemptSent {
    /// When.
    pub at: Millis,
    /// From where.
    pub edge: NodeId,
    /// The request.
    pub request: u64,
    /// Where to.
    pub server: ServerId,
    /// The server's service.
    pub service: String,
    /// Whether the edge was in touch.
    pub has_quorum_contact: bool,
}

/// An order as a server saw it.
#[derive(Clone, Debug)]
pub struct ObservedOrder {
    /// When.
    pub at: Millis,
    /// The server.
    pub server: ServerId,
    /// The machine that sent it.
    pub from: NodeId,
    /// `leaseHolder`.
    pub lease_holder: String,
    /// `fencingToken`.
    pub fencing_token: u64,
    /// The answer.
    pub status: u16,
}

/// A `draining` that was acknowledged.
#[derive(Clone, Debug)]
pub struct AcknowledgedDrain {
    /// When the server had the acknowledgement.
    pub at: Millis,
    /// The server.
    pub server: ServerId,
    /// The coordinator that acknowledged.
    pub by: NodeId,
    /// Whether it was in touch.
    pub has_quorum_contact: bool,
}

/// A configuration that came into force at an edge.
#[derive(Clone, Debug)]
pub struct AppliedConfig {
    /// When.
    pub at: Millis,
    /// The edge.
    pub edge: NodeId,
    /// The incarnation of its process.
    pub incarnation: Incarnation,
    /// The version.
    pub version: u64,
    /// The change that made it.
    pub change: Option<u64>,
}

/// How a call of the operator ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
pub enum Outcome {
    /// 200.
    Acknowledged,
    /// 412.
    Conflict {
        /// The version that is said to be current.
        current: u64,
    },
    /// 400.
    Invalid,
}

/// A change that the operator has sent.
#[derive(Clone, Debug)]
pub struct SentChange {
    /// `Base-Version`.
    pub base: u64,
    /// Its version.
    pub version: u64,
    /// What the configuration is with it.
    pub document: Value,
    /// Its answers.
    pub outcomes: Vec<(Millis, Outcome)>,
}

impl SentChange {
    /// When it was first acknowledged.
    pub fn acknowledged_at(&self) -> Option<Millis> {
        let mut outcomes = self.outcomes.iter();
        outcomes.find(|(_, outcome)| *outcome == Outcome::Acknowledged).map(|(at, _)| *at)
    }
}

/// A change that was refused because another version is current.
#[derive(Clone, Debug)]
pub struct ConflictResponse {
    /// The change.
    pub change: u64,
    /// When it was first sent in this call.
    pub started_at: Millis,
    /// When the answer came.
    pub at: Millis,
    /// The version that is said to be current.
    pub current: u64,
}

/// A configuration that was read back.
#[derive(Clone, Debug)]
pub struct ConfigRead {
    /// The call.
    pub call: u64,
    /// When it was first sent.
    pub started_at: Millis,
    /// When its answer came.
    pub at: Millis,
    /// The answer.
    pub document: Value,
}

/// All that was seen.
#[derive(Debug, Default)]
pub struct Observer {
    /// Requests, by the clients' numbers.
    pub requests: BTreeMap<u64, ObservedRequest>,
    /// Attempts of all edges, in order.
    pub attempts: Vec<AttemptSent>,
    /// Orders that servers answered, in order.
    pub orders: Vec<ObservedOrder>,
    /// Moments at which loads from the weight store began, with the service.
    pub store_loads: Vec<(Millis, String)>,
    /// Orders to load beyond a server's room.
    pub capacity_violations: Vec<(Millis, ServerId, String)>,
    /// Acknowledgements of `draining`.
    pub acknowledged_drains: Vec<AcknowledgedDrain>,
    /// What had no acknowledgement in time although nothing was wrong.
    pub overdue_acknowledgements: Vec<(Millis, String)>,
    /// Configurations in force at edges, in order.
    pub applied_configs: Vec<AppliedConfig>,
    /// Changes of the operator.
    pub changes: BTreeMap<u64, SentChange>,
    /// Reads of the operator, in order.
    pub reads: Vec<ConfigRead>,
    /// Changes that were refused as built on another version, in order.
    pub conflicts: Vec<ConflictResponse>,
    /// When each machine was last thawed, or a link of it joined.
    pub restorations: BTreeMap<NodeId, Vec<Millis>>,
    /// What was done to the fleet, for messages of failed tests.
    pub actions: Vec<(Millis, String)>,
    /// Log lines of coordinators. No check goes by them.
    pub state_changes: Vec<(Millis, NodeId, StateChange)>,
}

impl Observer {
    /// A client asks.
    pub fn request_received(
        &mut self,
        at: Millis,
        number: u64,
        client_request: &ClientRequest,
        non_idempotent: bool,
        edge_state: EdgeState,
    ) {
        let EdgeState { edge, version, has_quorum_contact } = edge_state;
        let seen = ObservedRequest {
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
        self.requests.insert(number, seen);
    }

    /// A client is answered.
    pub fn request_answered(&mut self, at: Millis, number: u64, status: u16) {
        if let Some(request) = self.requests.get_mut(&number) {
            request.response.get_or_insert((at, status));
        }
    }

    /// An edge sends a request.
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

    /// A change is answered.
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
