//! Kinds of activity of a node, by which its messages and its processor time are counted.

use shaletrail_cluster::directory::DirectoryMessage;
use shaletrail_protocol::internal::{CoordinatorMessage, EdgeRequest, PollResponse};

/// What a message is for, or what processor time was spent on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, strum::Display, strum::EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum Activity {
    /// Pings and acknowledgements of the coordinators' failure detection, and their configuration versions.
    Membership,
    /// Consensus on the configuration.
    ConfigurationShard,
    /// Consensus on the holders of the leases of orders.
    ServiceShard,
    /// Records of servers between coordinators.
    DirectoryBatch,
    /// Digests of the heartbeats that a coordinator received, to the others.
    DirectoryDigest,
    /// Requests for records, and acknowledgements of batches.
    DirectoryControl,
    /// Calls of the operator that a coordinator forwards to another one, and the responses.
    ForwardedCall,
    /// Demand and outcomes of requests, between coordinators.
    Demand,
    /// Polls by edges.
    Poll,
    /// Responses to polls without records and without a configuration.
    EmptyResponse,
    /// Responses to polls with records of servers that changed.
    DirectoryResponse,
    /// Responses to polls with changes of the configuration.
    ConfigResponse,
    /// Responses to polls with the complete directory or the complete configuration.
    FullResponse,
    /// Demand that an edge reports without waiting for its next poll.
    DemandReport,
    /// Datagrams by which edges tell each other their loads.
    LoadDatagram,
    /// Heartbeats of servers; bodies only.
    Heartbeat,
    /// Orders to servers and their outcomes; bodies only.
    Order,
    /// Servers' reports of the models that they have; bodies only.
    ServerReport,
    /// Calls of the operator; bodies only.
    OperatorCall,
    /// Ticks of a coordinator's clock.
    Tick,
    /// What a coordinator does once records are synced.
    Persisted,
    /// Requests of clients: work of the data plane, and none of the control plane.
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

    /// The activity of a request by an edge.
    pub fn of_edge_request(request: &EdgeRequest) -> Activity {
        match request {
            EdgeRequest::Poll(_) => Activity::Poll,
            EdgeRequest::Report { .. } | EdgeRequest::ShutdownNotice => Activity::DemandReport,
        }
    }

    /// The activity of a response to a poll, by its most expensive content.
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
