//! Messages between coordinators.

use bitcode::{Decode, Encode};

use super::{Demand, MembershipMessage, OperatorCall, OperatorResponse, ServerOutcomes};
use crate::NodeId;

/// A message from one coordinator to another.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum CoordinatorMessage {
    /// A message of the membership protocol.
    Membership(MembershipMessage),
    /// A consensus message for the replica group of one shard.
    Shard {
        /// The number of the shard; shard 0 holds the configuration.
        shard: u32,
        /// A `shaletrail_consensus::Message`, encoded with bitcode.
        body: Vec<u8>,
    },
    /// A batch of changes to the directory of servers; answered with a `DirectoryAck`.
    Directory {
        /// A `shaletrail_cluster::directory::DirectoryMessage`, encoded with bitcode.
        body: Vec<u8>,
    },
    /// Acknowledges that the sender has applied a batch of the receiver's directory changes.
    DirectoryAck {
        /// The number of the batch.
        batch: u64,
    },
    /// Forwards an operator's call to the leader of the configuration's shard.
    ForwardRequest {
        /// Identifies the call at the sender; the response repeats it.
        call_id: u64,
        /// The forwarded call.
        call: OperatorCall,
    },
    /// The response to a `ForwardRequest`.
    ForwardResponse {
        /// The `call_id` of the request.
        call_id: u64,
        /// The result of the call.
        response: OperatorResponse,
    },
    /// Demand that edges have reported to the sender. The holders of order leases plan placements with it.
    Demand {
        /// The duration over which the demand was aggregated, in milliseconds.
        window_ms: u32,
        /// The edges that poll the sender.
        edges: Vec<NodeId>,
        /// The aggregated reports, by edge.
        reports: Vec<EdgeReport>,
    },
    /// Announces the configuration that the sender has applied, so that a receiver with an older one notices it.
    AppliedConfigVersion {
        /// The version of the configuration.
        version: u64,
    },
}

/// The aggregated reports of one edge.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub struct EdgeReport {
    /// The machine of the edge.
    pub edge: NodeId,
    /// Demand at the edge.
    pub demand: Vec<Demand>,
    /// Outcomes of the attempts that the edge made, by server.
    pub server_outcomes: Vec<ServerOutcomes>,
}
