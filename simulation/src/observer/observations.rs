//! The entries of an observer's record: requests, attempts, orders and configuration changes as clients and servers see them.
//! Times are virtual time in milliseconds.

use serde_json::Value;
use shaletrail_protocol::{Incarnation, Millis, NodeId, ServerId};

/// A client's request as it arrives at an edge.
#[derive(Clone, Debug, Default)]
pub struct ClientRequest {
    /// The `Host` header.
    pub host: String,
    /// The path of the URL.
    pub path: String,
    /// The part of the `Model` header before the slash.
    pub model: Option<String>,
    /// The part of the `Model` header after the slash.
    pub adapter: Option<String>,
    /// The `Deadline-Ms` header.
    pub deadline_ms: Option<Millis>,
}

/// A request and everything that its client and the servers have seen of it.
#[derive(Clone, Debug)]
pub struct ObservedRequest {
    /// When it arrived at the edge.
    pub at: Millis,
    /// The edge at which it arrived.
    pub edge: NodeId,
    /// Its headers and path.
    pub client_request: ClientRequest,
    /// Whether its route is not idempotent, so that it may be executed at most once.
    pub non_idempotent: bool,
    /// Attempts of the edge: time and server.
    pub attempts: Vec<(Millis, ServerId)>,
    /// The version that the edge had applied; 0 for none.
    pub version: u64,
    /// Whether the edge had quorum contact.
    pub has_quorum_contact: bool,
    /// Attempts that were written to a connection: time and service. Those whose connection was refused are removed.
    pub written: Vec<(Millis, String)>,
    /// Rejections by servers: time, server and status.
    pub rejections: Vec<(Millis, ServerId, u16)>,
    /// Executions by servers: time and server.
    pub executions: Vec<(Millis, ServerId)>,
    /// The client's response: time and status.
    pub response: Option<(Millis, u16)>,
}

/// The state of an edge when a request arrives.
#[derive(Clone, Copy, Debug)]
pub struct EdgeState {
    /// The address of the edge.
    pub edge: NodeId,
    /// The version that the edge had applied; 0 for none.
    pub version: u64,
    /// Whether the edge has quorum contact.
    pub has_quorum_contact: bool,
}

/// An attempt of a request that an edge sent.
#[derive(Clone, Debug)]
pub struct AttemptSent {
    /// When it was sent.
    pub at: Millis,
    /// The edge that sent it.
    pub edge: NodeId,
    /// The number of the request.
    pub request: u64,
    /// The server that it was sent to.
    pub server: ServerId,
    /// The service of the server.
    pub service: String,
    /// Whether the edge had quorum contact.
    pub has_quorum_contact: bool,
}

/// An order as its server received it.
#[derive(Clone, Debug)]
pub struct ObservedOrder {
    /// When the server answered it.
    pub at: Millis,
    /// The server that answered it.
    pub server: ServerId,
    /// The machine that sent it.
    pub from: NodeId,
    /// What the order asks for, for failure messages.
    pub description: String,
    /// The `leaseHolder` that the order names.
    pub lease_holder: String,
    /// The `fencingToken` of the order.
    pub fencing_token: u64,
    /// The status of the response.
    pub status: u16,
}

/// A draining that a coordinator acknowledged.
#[derive(Clone, Debug)]
pub struct AcknowledgedDrain {
    /// When the server received the acknowledgement.
    pub at: Millis,
    /// The draining server.
    pub server: ServerId,
    /// The coordinator that acknowledged it.
    pub by: NodeId,
    /// Whether that coordinator had quorum contact.
    pub has_quorum_contact: bool,
}

/// A configuration that an edge applied.
#[derive(Clone, Debug)]
pub struct AppliedConfig {
    /// When the edge applied it.
    pub at: Millis,
    /// The edge that applied it.
    pub edge: NodeId,
    /// The incarnation of the edge's process.
    pub incarnation: Incarnation,
    /// The version of the configuration.
    pub version: u64,
    /// The number of the change that the marker route of the configuration names; `None` if there is no such route.
    pub change: Option<u64>,
}

/// The outcome of a change as a response states it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
pub enum Outcome {
    /// Status 200: the change is applied.
    Acknowledged,
    /// Status 412: the change is based on another version than the current one.
    Conflict {
        /// The version that the response calls current.
        current: u64,
    },
    /// Status 400: the change is invalid.
    Invalid,
}

/// A change that the operator has created, and the responses to it.
#[derive(Clone, Debug)]
pub struct SentChange {
    /// The version that it is based on, its `Base-Version` header.
    pub base: u64,
    /// The version of the changed configuration.
    pub version: u64,
    /// The changed configuration.
    pub document: Value,
    /// The outcomes that responses stated: time and outcome.
    pub outcomes: Vec<(Millis, Outcome)>,
}

impl SentChange {
    /// When it was first acknowledged; `None` if it was not.
    pub fn acknowledged_at(&self) -> Option<Millis> {
        let mut outcomes = self.outcomes.iter();
        outcomes.find(|(_, outcome)| *outcome == Outcome::Acknowledged).map(|(at, _)| *at)
    }
}

/// A response that rejected a change because another version is current.
#[derive(Clone, Debug)]
pub struct ConflictResponse {
    /// The rejected change.
    pub change: u64,
    /// When the first attempt of the call was sent.
    pub started_at: Millis,
    /// When the response arrived.
    pub at: Millis,
    /// The version that the response calls current.
    pub current: u64,
}

/// A configuration that the operator read.
#[derive(Clone, Debug)]
pub struct ConfigRead {
    /// The identifier of the operator's call.
    pub call: u64,
    /// When the first attempt of the call was sent.
    pub started_at: Millis,
    /// When the response arrived.
    pub at: Millis,
    /// The configuration; null for none.
    pub document: Value,
}

/// Compares the time, the server and the fencing token only, which identify an order.
impl PartialEq for ObservedOrder {
    fn eq(&self, other: &Self) -> bool {
        (self.at, &self.server, self.fencing_token) == (other.at, &other.server, other.fencing_token)
    }
}
