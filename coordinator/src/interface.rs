//! Events and actions between a coordinator's decisions ([`crate::core::Coordinator`]) and the driver that owns its
//! sockets, disk and clock.

use std::time::Duration;

pub use shaletrail_placement::OrderOutcome;
use shaletrail_protocol::external::{Heartbeat, Order, ServerReport};
use shaletrail_protocol::internal::{
    CoordinatorMessage, Demand, EdgeIdentity, OperatorCall, OperatorResponse, PollRequest, PollResponse,
};
use shaletrail_protocol::settings::Settings;
use shaletrail_protocol::{Incarnation, NodeId, ServerId};

/// Identifies a call that is to be answered. The driver assigns it and never reuses it within a start of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct CallId(pub u64);

/// Identifies an order in flight to a server. The core assigns it and never reuses it within a start of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct OrderId(pub u64);

/// Options of a coordinator, from its settings file.
#[derive(Clone, Debug)]
pub struct CoordinatorOptions {
    /// Id of this node.
    pub node: NodeId,
    /// Name of this node, which orders carry as their lease holder.
    pub node_name: String,
    /// Incarnation of this process: differs with each start.
    pub incarnation: Incarnation,
    /// Coordinators that the settings name as seeds.
    pub seeds: Vec<NodeId>,
    /// Whether the whole system starts for the first time, so that the seeds become the first voters.
    pub bootstrap: bool,
    /// Whether records of this node were lost once: without any it is recovering then, also while the system starts for the
    /// first time.
    pub lost_state: bool,
    /// Number of coordinators that may be lost at once; `2 * hosts_lost + 1` of them vote.
    pub hosts_lost: u32,
    /// Interval between two heartbeats of a server.
    pub heartbeat_interval: Duration,
    /// Minimum time between the last order of a lease holder and the first order of the next one.
    pub order_lease: Duration,
    /// Window of the data plane's retry budget.
    pub retry_window: Duration,
    /// Options of the placement planners.
    pub placement: shaletrail_placement::Options,
    /// Seed of the pseudo-random election timeouts.
    pub seed: u64,
}

impl CoordinatorOptions {
    /// The options that the settings of the process give.
    pub fn from_settings(settings: &Settings, incarnation: Incarnation) -> Self {
        CoordinatorOptions {
            node: settings.node(),
            node_name: settings.node_name.clone(),
            incarnation,
            seeds: settings.seeds.iter().map(|seed| NodeId::from(*seed.ip())).collect(),
            bootstrap: settings.bootstrap,
            lost_state: false,
            hosts_lost: settings.tolerated_host_losses,
            heartbeat_interval: settings.heartbeat_interval,
            order_lease: settings.bounds.lease,
            retry_window: settings.bounds.retry_window,
            placement: shaletrail_placement::Options::from_bounds(&settings.bounds),
            seed: incarnation.0,
        }
    }
}

/// Something that happens at a coordinator, as the driver reports it.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed; the driver raises it at a fixed interval.
    Tick,
    /// A message of another coordinator has arrived.
    Message {
        /// The sender.
        from: NodeId,
        /// Its message.
        message: CoordinatorMessage,
    },
    /// All records of [`Action::Persist`] up to and including a ticket are synced to disk.
    Persisted {
        /// The highest ticket that is synced.
        ticket: u64,
        /// Whether the journal's ring is filling up, so that it needs an [`Action::Checkpoint`].
        wants_checkpoint: bool,
    },
    /// The disk has rejected a write or has not finished one in time: no new record is durable until it recovers.
    DiskDegraded {
        /// Whether the journal's ring is full, so that only an [`Action::Checkpoint`] makes space.
        wants_checkpoint: bool,
    },
    /// A server has sent a heartbeat; answered by [`Action::RespondToServer`].
    Heartbeat {
        /// The call to answer.
        call: CallId,
        /// The server.
        id: ServerId,
        /// The heartbeat's body.
        heartbeat: Heartbeat,
    },
    /// A server is about to shut down; answered by [`Action::RespondToServer`].
    Deregister {
        /// The call to answer.
        call: CallId,
        /// The server.
        id: ServerId,
    },
    /// The operator reads or changes the configuration; answered by [`Action::RespondToOperator`].
    OperatorCall {
        /// The call to answer.
        call: CallId,
        /// The read or the change.
        request: OperatorCall,
    },
    /// A data-plane node polls for updates; answered by [`Action::RespondToPoll`] once there are any, or after the
    /// request's `max_wait_ms`.
    Poll {
        /// The call to answer.
        call: CallId,
        /// The data-plane node.
        edge: EdgeIdentity,
        /// The state that it has, and its load and demand reports.
        request: PollRequest,
    },
    /// The connection over which a poll came has closed: the poll needs no answer any more.
    PollCancelled(CallId),
    /// A data-plane node reports demand ahead of its next poll.
    EdgeReport {
        /// The data-plane node.
        edge: NodeId,
        /// Demand since its last report.
        demand: Vec<Demand>,
    },
    /// The process of a data-plane node is shutting down.
    EdgeDisconnected(NodeId),
    /// An [`Action::SendOrder`] has ended.
    OrderCompleted {
        /// The order.
        order: OrderId,
        /// How it ended.
        outcome: OrderOutcome,
    },
    /// An [`Action::FetchReport`] has ended.
    ReportReceived {
        /// The server.
        server: ServerId,
        /// Its answer to `GET /report`; `None` if there was none in time.
        report: Option<ServerReport>,
    },
    /// The process has been told to shut down.
    ShutdownRequested,
    /// The settings file was read again; it names these seeds.
    SeedsChanged(Vec<NodeId>),
}

/// Something that the driver is to carry out.
#[derive(Clone, Debug)]
pub enum Action {
    /// Send a message to another coordinator. It may be dropped while that is unreachable.
    Send {
        /// The receiver.
        to: NodeId,
        /// The message.
        message: CoordinatorMessage,
    },
    /// Append records to the journal and sync them; an [`Event::Persisted`] with the ticket or a higher one follows.
    Persist {
        /// Rises with each action.
        ticket: u64,
        /// The journal's stream (the number of the shard, or
        /// [`STREAM`](crate::core::directory_snapshot::STREAM)) and the encoded bytes of each record.
        records: Vec<(u32, Vec<u8>)>,
    },
    /// Replace the whole content of the journal by these records.
    Checkpoint {
        /// Stream and bytes of each record, as in [`Action::Persist`].
        live: Vec<(u32, Vec<u8>)>,
    },
    /// Answer a heartbeat or a deregistration.
    RespondToServer {
        /// The call to answer.
        call: CallId,
        /// Whether the call is acknowledged; otherwise the server is to ask another node.
        accepted: bool,
    },
    /// Answer the operator.
    RespondToOperator {
        /// The call to answer.
        call: CallId,
        /// The answer.
        response: OperatorResponse,
    },
    /// Answer a poll.
    RespondToPoll {
        /// The call to answer.
        call: CallId,
        /// The updates since the state that the poll named.
        response: Box<PollResponse>,
    },
    /// Send an order to a server if [`Coordinator::may_write`](crate::core::Coordinator::may_write) allows it once the
    /// connection is up; an [`Event::OrderCompleted`] follows.
    SendOrder {
        /// The id of the order.
        order: OrderId,
        /// The server's id, for the header `Expected-Instance`.
        server: ServerId,
        /// The server's address, `IP:PORT`.
        address: String,
        /// The order's body.
        body: Order,
    },
    /// Fetch a server's `GET /report`; an [`Event::ReportReceived`] follows.
    FetchReport {
        /// The server's id, for the header `Expected-Instance`.
        server: ServerId,
        /// The server's address, `IP:PORT`.
        address: String,
    },
    /// Log a change of state that matters to whoever runs the system.
    LogStateChange(StateChange),
}

/// A change of state that the driver logs, each variant with a text of its own (`driver/host/log.rs`).
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
    /// The leader of a shard has proposed other voters.
    VotersChanging {
        /// The shard.
        shard: u32,
        /// The voters after the change.
        wanted: Vec<NodeId>,
    },
    /// This node has become the holder of a service shard's order lease.
    OrderLeaseAcquired {
        /// The shard.
        shard: u32,
        /// The fencing token of its orders.
        fencing_token: u64,
    },
    /// The node has gained (`true`) or lost (`false`) contact with a quorum of the configuration's voters.
    QuorumContactChanged(bool),
    /// A leader's snapshot cannot be decoded: the shard takes no part until the process starts again, as a recovering voter.
    UnreadableSnapshot {
        /// The shard.
        shard: u32,
    },
    /// Records on disk cannot be decoded: the shard starts as a recovering voter without them.
    UnreadableRecords {
        /// The shard.
        shard: u32,
    },
}
