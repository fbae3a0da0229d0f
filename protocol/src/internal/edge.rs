//! Long polls and reports that edges send to coordinators.

use bitcode::{Decode, Encode};

use super::{ConfigUpdate, DirectoryCursor, ServerRecord};
use crate::{Incarnation, NodeId, ServerId};

/// Identifies an edge in its handshake.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub struct EdgeIdentity {
    /// The machine of the edge.
    pub node: NodeId,
    /// The current run of the edge's process.
    pub incarnation: Incarnation,
    /// The zone (failure domain) in which the edge is located.
    pub zone: String,
}

/// A message that an edge sends after its [`super::Handshake`].
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum EdgeRequest {
    /// Asks for updates; answered with a [`PollResponse`].
    Poll(PollRequest),
    /// Reports demand that cannot wait for the next poll. It is not answered, and may be sent while a poll is
    /// pending.
    Report {
        /// Demand since the last poll or report.
        demand: Vec<Demand>,
    },
    /// The edge's process is about to exit.
    ShutdownNotice,
}

/// A long poll: answered at once if there are updates, otherwise as soon as there are some, at the latest after
/// `max_wait_ms`.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub struct PollRequest {
    /// The version of the configuration that the edge has applied; 0 if none.
    pub config_version: u64,
    /// The edge's position in the coordinator's log of directory changes.
    pub cursor: DirectoryCursor,
    /// How long the coordinator may wait for updates before it responds, in milliseconds.
    pub max_wait_ms: u32,
    /// Demand since the last poll or report.
    pub demand: Vec<Demand>,
    /// Outcomes of attempts since the last poll, by server.
    pub server_outcomes: Vec<ServerOutcomes>,
    /// The [`PollResponse::edge_list_hash`] of the list of edges that this edge has; 0 if none.
    pub edge_list_hash: u64,
}

/// The demand for one model, or for one of its adapters, at one edge. `queued` and `in_flight` are gauges; the other
/// counts cover the time since the previous report.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub struct Demand {
    /// The service to which the requests are addressed.
    pub service: String,
    /// The model; empty for services without models.
    pub model: String,
    /// The adapter, if the requests name one.
    pub adapter: Option<String>,
    /// The number of requests that arrived.
    pub arrived: u32,
    /// The weighted tokens of those requests: their prompt tokens plus ten times the output tokens that they asked
    /// for.
    pub tokens: u64,
    /// The most urgent priority among those requests; 0 is the most urgent priority.
    pub priority: u8,
    /// The number of requests that are currently queued because no server has the model loaded.
    pub queued: u32,
    /// The number of requests that were rejected for lack of capacity, or that found all servers with the model at
    /// their limits.
    pub over_capacity: u32,
    /// The number of requests that are currently in flight to servers.
    pub in_flight: u32,
}

/// Counts of the outcomes of an edge's attempts at one server since the previous report.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct ServerOutcomes {
    /// The server that the attempts were sent to.
    pub server: ServerId,
    /// Attempts that succeeded.
    pub succeeded: u32,
    /// Attempts that failed because of the server.
    pub failed: u32,
    /// Attempts that found no server at the address, or another server or another run of it.
    pub unreachable: u32,
}

/// The response to a [`PollRequest`].
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub struct PollResponse {
    /// An update to the current configuration; `None` if the edge already has it.
    pub config: Option<ConfigUpdate>,
    /// Servers that changed after the request's cursor, or all servers if `complete` is set.
    pub servers: Vec<ServerRecord>,
    /// Whether `servers` is the full directory, which replaces the edge's copy.
    pub complete: bool,
    /// The edge's position in the log of directory changes after this response.
    pub cursor: DirectoryCursor,
    /// The coordinators that the sender considers alive, including itself.
    pub coordinators: Vec<NodeId>,
    /// The number of edges that poll any coordinator; 0 if unknown.
    pub edge_count: u32,
    /// The edges that poll any coordinator. `None` if the edge already has this list, or if it is too long to be
    /// sent.
    pub edge_nodes: Option<Vec<NodeId>>,
    /// A hash of the list of edges. The edge sends it back as [`PollRequest::edge_list_hash`].
    pub edge_list_hash: u64,
    /// Whether the sender has no contact with a majority or is behind, so that the edge should poll another
    /// coordinator.
    pub isolated: bool,
}
