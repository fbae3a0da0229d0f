//! Long polls and reports of edges.

use bitcode::{Decode, Encode};

use super::{ConfigUpdate, DirectoryCursor, ServerRecord};
use crate::{Incarnation, NodeId, ServerId};

/// An edge as it introduces itself.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub struct EdgeIdentity {
    /// The machine of the edge.
    pub node: NodeId,
    /// The start of its process.
    pub incarnation: Incarnation,
    /// The zone (failure domain) that it stands in.
    pub zone: String,
}

/// What an edge may send after its [`super::Handshake`].
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum EdgeRequest {
    /// Asks for updates; answered by a [`PollResponse`].
    Poll(PollRequest),
    /// Demand that cannot wait for the next poll. It has no response, and may be sent while a poll is pending.
    Report {
        /// Demand since the last report.
        demand: Vec<Demand>,
    },
    /// The edge's process is about to end.
    ShutdownNotice,
}

/// A long poll: answered at once where there are updates, otherwise after `max_wait_ms`.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub struct PollRequest {
    /// The version of the configuration that the edge applies; 0 if none.
    pub config_version: u64,
    /// The position of the edge in the coordinator's directory.
    pub cursor: DirectoryCursor,
    /// How long the coordinator may wait for updates before it responds, in milliseconds.
    pub max_wait_ms: u32,
    /// Demand since the last report.
    pub demand: Vec<Demand>,
    /// Outcomes of attempts since the last poll, by server.
    pub server_outcomes: Vec<ServerOutcomes>,
    /// The list of edges that the edge has, as [`PollResponse::edge_list_hash`]; 0 if none.
    pub edge_list_hash: u64,
}

/// The demand for one model, or one of its adapters, at one edge. The counts begin at 0 with each report, those that
/// say "at this moment" are gauges.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub struct Demand {
    /// The service that the requests are for.
    pub service: String,
    /// The model; empty for services without models.
    pub model: String,
    /// The adapter, if one was asked for.
    pub adapter: Option<String>,
    /// Requests that arrived.
    pub arrived: u32,
    /// Tokens of those requests: prompt tokens, and tenfold the output tokens that they asked for.
    pub tokens: u64,
    /// The most urgent priority among them; 0 is the most urgent.
    pub priority: u8,
    /// Requests that are queued at this moment, as no server has the model loaded.
    pub queued: u32,
    /// Requests that were rejected for lack of capacity, or found each server with the model at its limit.
    pub over_capacity: u32,
    /// Requests in flight to servers at this moment.
    pub in_flight: u32,
}

/// The outcomes of an edge's attempts at one server since its last report.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct ServerOutcomes {
    /// The server that the attempts were sent to.
    pub server: ServerId,
    /// Attempts that succeeded.
    pub succeeded: u32,
    /// Attempts that failed through the server's fault.
    pub failed: u32,
    /// Attempts that found nobody at the server's address, or another start of a server.
    pub unreachable: u32,
}

/// The response to a poll.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub struct PollResponse {
    /// The configuration, if the edge's version is not the current one.
    pub config: Option<ConfigUpdate>,
    /// Servers that changed after the request's cursor, or all of them where `complete` is set.
    pub servers: Vec<ServerRecord>,
    /// Whether `servers` is the full directory, which replaces all that the edge knows.
    pub complete: bool,
    /// The position of the edge in the directory after this response.
    pub cursor: DirectoryCursor,
    /// The coordinators that the sender takes to be alive, itself included.
    pub coordinators: Vec<NodeId>,
    /// The number of edges that poll any of the coordinators; 0 if unknown.
    pub edge_count: u32,
    /// Those edges, if they differ from the list of the request and are few enough to be sent.
    pub edge_nodes: Option<Vec<NodeId>>,
    /// A hash of the list of those edges, by which the next request names it.
    pub edge_list_hash: u64,
    /// The sender lacks contact with a majority, or is behind: the edge should poll another coordinator.
    pub isolated: bool,
}
