//! Events and actions exchanged between the sans-IO state machine ([`crate::core::Coordinator`]) and the driver, which
//! owns the sockets, the disk and the clock.

use std::time::Duration;

pub use shaletrail_cluster::node_attributes::NodeAttributes;
pub use shaletrail_placement::OrderOutcome;
use shaletrail_protocol::external::{Heartbeat, Order, ServerReport};
use shaletrail_protocol::internal::{
    CoordinatorMessage, Demand, EdgeIdentity, OperatorCall, OperatorResponse, PollRequest, PollResponse,
};
use shaletrail_protocol::settings::{FaultTolerance, Settings};
use shaletrail_protocol::{Incarnation, NodeId, ServerId};

use crate::core::node_attributes;
use crate::core::voters::tolerance::LossAssessment;

/// Identifies a call that needs a response. The driver assigns it and never reuses it during the life of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct CallId(pub u64);

/// Identifies an order in flight to a server. The core assigns it and never reuses it during the life of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct OrderId(pub u64);

/// Options of a coordinator; most come from its settings file.
#[derive(Clone, Debug)]
pub struct CoordinatorOptions {
    /// Id of this node.
    pub node: NodeId,
    /// Name of this node, sent in orders as the name of the lease holder.
    pub node_name: String,
    /// Incarnation of this process, different after each restart.
    pub incarnation: Incarnation,
    /// Coordinators that are named as seeds in the settings file.
    pub seeds: Vec<NodeId>,
    /// Whether the whole system is starting for the first time, so that the seeds become the first voters.
    pub bootstrap: bool,
    /// Whether this node's journal was corrupt and has been erased. A shard without records then starts as a recovering
    /// voter, even during the bootstrap.
    pub journal_was_erased: bool,
    /// Size of a checkpoint that always fits into this node's journal, in bytes.
    pub checkpoint_bytes: usize,
    /// Where this machine stands, and whether it may vote.
    pub attributes: NodeAttributes,
    /// The losses that may occur at once; they determine the number of voters and their places.
    pub fault_tolerance: FaultTolerance,
    /// Interval between consecutive heartbeats of a server.
    pub heartbeat_interval: Duration,
    /// Minimum time between the last order of a lease holder and the first order of the next one.
    pub order_lease: Duration,
    /// Window over which the data plane's retry budget is counted.
    pub retry_window: Duration,
    /// Options of the placement planners.
    pub placement: shaletrail_placement::Options,
    /// Seed of the random number generator for election timeouts.
    pub seed: u64,
}

impl CoordinatorOptions {
    /// Derives the options from the settings. The journal counts as not erased.
    pub fn from_settings(settings: &Settings, incarnation: Incarnation) -> Self {
        let journal_options = shaletrail_storage::Options::for_disk(settings.limits.disk_mb);
        CoordinatorOptions {
            node: settings.node(),
            node_name: settings.node_name.clone(),
            incarnation,
            seeds: settings.seeds.iter().map(|seed| NodeId::from(*seed.ip())).collect(),
            bootstrap: settings.bootstrap,
            journal_was_erased: false,
            checkpoint_bytes: journal_options.checkpoint_bytes(),
            attributes: node_attributes::from_settings(settings),
            fault_tolerance: settings.fault_tolerance,
            heartbeat_interval: settings.heartbeat_interval,
            order_lease: settings.bounds.lease,
            retry_window: settings.bounds.retry_window,
            placement: shaletrail_placement::Options::from_bounds(&settings.bounds),
            seed: incarnation.0,
        }
    }
}

/// An input to the state machine, reported by the driver.
#[derive(Clone, Debug)]
pub enum Event {
    /// Raised by the driver at a fixed interval.
    Tick,
    /// A message of another coordinator has arrived.
    Message {
        /// The sender.
        from: NodeId,
        /// Its message.
        message: CoordinatorMessage,
    },
    /// The records of each [`Action::Persist`] up to and including a ticket are synced to disk.
    Persisted {
        /// The highest ticket that is synced.
        ticket: u64,
        /// Whether the journal's segment ring is filling up, so that an [`Action::Checkpoint`] is needed.
        wants_checkpoint: bool,
    },
    /// The disk has rejected a write or not completed one in time. No new record is durable until it recovers.
    DiskDegraded {
        /// Whether the journal's segment ring is full, so that only an [`Action::Checkpoint`] frees space.
        wants_checkpoint: bool,
    },
    /// An [`Action::Checkpoint`] has failed without changing anything. No new record may be durable until another one
    /// succeeds.
    CheckpointFailed,
    /// A server has sent a heartbeat; answered with [`Action::RespondToServer`].
    Heartbeat {
        /// The call to answer.
        call: CallId,
        /// The server.
        id: ServerId,
        /// The heartbeat's body.
        heartbeat: Heartbeat,
    },
    /// A server that is about to shut down deregisters; answered with [`Action::RespondToServer`].
    Deregister {
        /// The call to answer.
        call: CallId,
        /// The server.
        id: ServerId,
    },
    /// The operator reads or changes the configuration; answered with [`Action::RespondToOperator`].
    OperatorCall {
        /// The call to answer.
        call: CallId,
        /// The read or the change.
        request: OperatorCall,
    },
    /// A data-plane node polls for updates; answered with [`Action::RespondToPoll`] once there are updates, at the
    /// latest after the request's `max_wait_ms`.
    Poll {
        /// The call to answer.
        call: CallId,
        /// The data-plane node.
        edge: EdgeIdentity,
        /// The state that the node has, and its demand and outcome reports.
        request: PollRequest,
    },
    /// The connection of a poll has closed, so the poll needs no response.
    PollCancelled(CallId),
    /// A data-plane node reports demand without waiting for its next poll.
    EdgeReport {
        /// The data-plane node.
        edge: NodeId,
        /// Demand since the node's last report.
        demand: Vec<Demand>,
    },
    /// A data-plane node is shutting down.
    EdgeDisconnected(NodeId),
    /// An [`Action::SendOrder`] has completed or failed.
    OrderCompleted {
        /// The order.
        order: OrderId,
        /// The result, as far as it is known.
        outcome: OrderOutcome,
    },
    /// An [`Action::FetchReport`] has completed or failed.
    ReportReceived {
        /// The server.
        server: ServerId,
        /// The response to `GET /report`; `None` if the request failed or timed out.
        report: Option<ServerReport>,
    },
    /// The process has been requested to shut down.
    ShutdownRequested,
    /// The settings file was reloaded and names these seeds.
    SeedsChanged(Vec<NodeId>),
}

/// An output of the state machine, to be carried out by the driver.
#[derive(Clone, Debug)]
pub enum Action {
    /// Send a message to another coordinator. The driver may drop it while the receiver is unreachable.
    Send {
        /// The receiver.
        to: NodeId,
        /// The message.
        message: CoordinatorMessage,
    },
    /// Append records to the journal and sync them. The driver reports completion as an [`Event::Persisted`] with this
    /// ticket or a higher one.
    Persist {
        /// Sequence number of the action, increasing from one [`Action::Persist`] to the next.
        ticket: u64,
        /// The journal stream and the encoded bytes of each record. The stream is the number of a shard, or one of the
        /// streams in [`directory_snapshot`](crate::core::directory_snapshot).
        records: Vec<(u32, Vec<u8>)>,
    },
    /// Replace the whole content of the journal with these records.
    Checkpoint {
        /// Stream and encoded bytes of each record, as in [`Action::Persist`].
        live: Vec<(u32, Vec<u8>)>,
    },
    /// Respond to a heartbeat or a deregistration.
    RespondToServer {
        /// The call to answer.
        call: CallId,
        /// Whether the call is acknowledged. If not, the server retries at another node.
        accepted: bool,
    },
    /// Respond to the operator.
    RespondToOperator {
        /// The call to answer.
        call: CallId,
        /// The response.
        response: OperatorResponse,
    },
    /// Respond to a poll.
    RespondToPoll {
        /// The call to answer.
        call: CallId,
        /// The updates since the state that the request describes.
        response: Box<PollResponse>,
    },
    /// Connect to a server and send it an order, provided that
    /// [`Coordinator::may_write`](crate::core::Coordinator::may_write) still allows it once the connection is up. The
    /// driver reports the result as an [`Event::OrderCompleted`].
    SendOrder {
        /// The id of the order.
        order: OrderId,
        /// The server's id, sent in the header `Expected-Instance`.
        server: ServerId,
        /// The server's address, `IP:PORT`.
        address: String,
        /// The body of the request.
        body: Order,
    },
    /// Fetch `GET /report` from a server. The driver reports the result as an [`Event::ReportReceived`].
    FetchReport {
        /// The server's id, sent in the header `Expected-Instance`.
        server: ServerId,
        /// The server's address, `IP:PORT`.
        address: String,
    },
    /// Log a change of state that is of interest to operators.
    LogStateChange(StateChange),
}

/// A change of state to be logged. The log messages are in `driver/host/log.rs`.
#[derive(Clone, Debug, PartialEq, Eq, strum::Display)]
pub enum StateChange {
    /// This node has become the leader of a shard.
    BecameLeader {
        /// The shard.
        shard: u32,
        /// The term in which it leads.
        term: u64,
    },
    /// This node no longer leads a shard.
    LostLeadership {
        /// The shard.
        shard: u32,
        /// The term in which it led.
        term: u64,
    },
    /// A version of the configuration has been applied at this node.
    ConfigurationApplied {
        /// The version.
        version: u64,
    },
    /// This node, as the leader of a shard, has proposed a change of its voters.
    VotersChanging {
        /// The shard.
        shard: u32,
        /// The voters after the change.
        target_voters: Vec<NodeId>,
    },
    /// The losses that the voters of a shard withstand have changed, as seen by this node, its leader. Logged only if the
    /// losses that the settings name were not all tolerated before, or are not any more.
    FaultToleranceChanged {
        /// The shard.
        shard: u32,
        /// What the present voters withstand.
        assessment: LossAssessment,
    },
    /// This node has acquired the order lease of a service shard.
    OrderLeaseAcquired {
        /// The shard.
        shard: u32,
        /// The fencing token that this node's orders carry.
        fencing_token: u64,
    },
    /// This node has gained (`true`) or lost (`false`) contact with a quorum of the configuration shard's voters.
    QuorumContactChanged(bool),
    /// A snapshot from the leader cannot be decoded. This node stops participating in the shard; after the next restart
    /// it is a recovering voter there.
    UnreadableSnapshot {
        /// The shard.
        shard: u32,
    },
    /// Records on disk cannot be decoded. This node discards them and starts as a recovering voter of the shard.
    UnreadableRecords {
        /// The shard.
        shard: u32,
    },
}
