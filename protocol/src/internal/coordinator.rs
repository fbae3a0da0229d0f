//! Messages between coordinators.

use bitcode::{Decode, Encode};

use super::{Demand, MembershipMessage, OperatorCall, OperatorResponse, ServerOutcomes};
use crate::NodeId;

/// A message from one coordinator to another.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum CoordinatorMessage {
    /// The membership protocol.
    Membership(MembershipMessage),
    /// A message of the replica group of one shard: a `shaletrail_consensus::Message` in bitcode.
    Shard {
        /// The number of the shard; 0 is the configuration.
        shard: u32,
        /// The encoded message.
        body: Vec<u8>,
    },
    /// Changes of the directory: a `shaletrail_cluster::directory::DirectoryMessage` in bitcode.
    Directory {
        /// The encoded message.
        body: Vec<u8>,
    },
    /// A batch of the receiver's directory changes has been applied.
    DirectoryAck {
        /// The number of the batch.
        batch: u64,
    },
    /// A call of the operator for the leader of the configuration's shard.
    ForwardRequest {
        /// Identifies the call at the sender.
        call_id: u64,
        /// The call itself.
        call: OperatorCall,
    },
    /// The response to a `ForwardRequest`.
    ForwardResponse {
        /// The `call_id` of the request.
        call_id: u64,
        /// The result of the call.
        response: OperatorResponse,
    },
    /// Demand that edges have reported to the sender, for the lease holders of orders.
    Demand {
        /// The time over which it was aggregated, in milliseconds.
        window_ms: u32,
        /// The edges that poll the sender.
        edges: Vec<NodeId>,
        /// What they reported, by edge.
        reports: Vec<EdgeReport>,
    },
    /// The configuration that the sender applies, so that the receiver can find out whether it is behind.
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
    /// Outcomes of the edge's attempts, by server.
    pub server_outcomes: Vec<ServerOutcomes>,
}
