//! Activities of a node, by which its messages and its CPU time are counted.

use shaletrail_cluster::directory::DirectoryMessage;
use shaletrail_protocol::internal::{CoordinatorMessage, EdgeRequest, PollResponse};

/// The purpose of a message or of CPU time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, strum::Display, strum::EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum Activity {
    /// Pings and acknowledgements of the coordinators' failure detector, including their configuration versions.
    Membership,
    /// Consensus in the configuration shard.
    ConfigurationShard,
    /// Consensus in the service shards, on the holders of the order leases.
    ServiceShard,
    /// Server records exchanged between coordinators.
    DirectoryBatch,
    /// Digests of received heartbeats, sent to the other coordinators.
    DirectoryDigest,
    /// Requests for server records, and acknowledgements of record batches.
    DirectoryControl,
    /// Operator calls that one coordinator forwards to another, and the responses.
    ForwardedCall,
    /// Demand and request outcomes exchanged between coordinators.
    Demand,
    /// Polls sent by edges.
    Poll,
    /// Poll responses that contain neither records nor a configuration.
    EmptyResponse,
    /// Poll responses that contain changed server records.
    DirectoryResponse,
    /// Poll responses that contain configuration changes.
    ConfigResponse,
    /// Poll responses that contain the complete directory or the complete configuration.
    FullResponse,
    /// Demand that an edge reports without waiting for its next poll.
    DemandReport,
    /// Datagrams by which edges inform each other of their load.
    LoadDatagram,
    /// Heartbeats of servers, counted by their bodies only.
    Heartbeat,
    /// Orders to servers and their outcomes, counted by their bodies only.
    Order,
    /// Servers' reports of their loaded models, counted by their bodies only.
    ServerReport,
    /// Operator calls, counted by their bodies only.
    OperatorCall,
    /// Periodic ticks of a coordinator.
    Tick,
    /// Work that a coordinator does after records are synced.
    Persisted,
    /// Client requests. They belong to the data plane, not to the control plane.
    ClientRequest,
}

impl Activity {
    /// The activity of a message between coordinators.
    pub fn of_coordinator_message(message: &CoordinatorMessage) -> Activity {
        match message {
            CoordinatorMessage::Membership(_) => Activity::Membership,
            CoordinatorMessage::Shard { shard: 0, .. } => Activity::ConfigurationShard,
            CoordinatorMessage::Shard { .. } => Activity::ServiceShard,
            CoordinatorMessage::Directory { body } => match bitcode::decode(body) {
                Ok(DirectoryMessage::Batch { .. }) => Activity::DirectoryBatch,
                Ok(DirectoryMessage::Digest { .. }) => Activity::DirectoryDigest,
                Ok(DirectoryMessage::Request { .. }) | Err(_) => Activity::DirectoryControl,
            },
            CoordinatorMessage::DirectoryAck { .. } => Activity::DirectoryControl,
            CoordinatorMessage::ForwardRequest { .. } | CoordinatorMessage::ForwardResponse { .. } => {
                Activity::ForwardedCall
            }
            CoordinatorMessage::Demand { .. } => Activity::Demand,
            CoordinatorMessage::AppliedConfigVersion { .. } => Activity::Membership,
        }
    }

    /// The activity of a request from an edge.
    pub fn of_edge_request(request: &EdgeRequest) -> Activity {
        match request {
            EdgeRequest::Poll(_) => Activity::Poll,
            EdgeRequest::Report { .. } | EdgeRequest::ShutdownNotice => Activity::DemandReport,
        }
    }

    /// The activity of a poll response, determined by the most expensive content in it.
    pub fn of_poll_response(response: &PollResponse) -> Activity {
        match &response.config {
            _ if response.complete => Activity::FullResponse,
            Some(update) if update.base.is_none() => Activity::FullResponse,
            Some(_) => Activity::ConfigResponse,
            None if !response.servers.is_empty() => Activity::DirectoryResponse,
            None => Activity::EmptyResponse,
        }
    }
}
