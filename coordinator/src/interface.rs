//! Events and actions between a coordinator's decisions ([`crate::core::Coordinator`]) and the driver that owns its
//! sockets, disk and clock.

use std::time::Duration;

pub use shaletrail_placement::OrderOutcome;
use shaletrail_protocol::external::{Heartbeat, Order, Report};
use shaletrail_protocol::internal::{
    CoordinatorMessage, Demand, EdgeIdentity, OperatorCall, OperatorResponse, PollRequest, PollResponse,
};
use shaletrail_protocol::settings::Settings;
use shaletrail_protocol::{Incarnation, NodeId, ServerId};

/// Names a call that waits for its answer; given by the driver, never used twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct CallId(pub u64);

/// Names an order on its way to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct OrderId(pub u64);

/// What a coordinator goes by, from its settings file.
#[derive(Clone, Debug)]
pub struct CoordinatorOptions {
    /// This machine.
    pub node: NodeId,
    /// Its name, for orders.
    pub name: String,
    /// This start of the process.
    pub incarnation: Incarnation,
    /// Other coordinators that the settings name.
    pub seeds: Vec<NodeId>,
    /// Whether the whole system starts for the first time.
    pub bootstrap: bool,
    /// Counted machines that may be lost at once.
    pub hosts_lost: u32,
    /// Between two heartbeats of a server.
    pub heartbeat: Duration,
    /// How far apart the orders of two holders must lie.
    pub order_lease: Duration,
    /// The window over which repeats are counted.
    pub retry_window: Duration,
    /// What placement goes by.
    pub placement: shaletrail_placement::Options,
    /// For random numbers.
    pub seed: u64,
}

impl CoordinatorOptions {
    /// From the settings of the process.
    pub fn from_settings(settings: &Settings, incarnation: Incarnation) -> Self {
        CoordinatorOptions {
            node: settings.node(),
            name: settings.node_name.clone(),
            incarnation,
            seeds: settings.seeds.iter().map(|seed| NodeId::from(*seed.ip())).collect(),
            bootstrap: settings.bootstrap,
            hosts_lost: settings.hosts_lost,
            heartbeat: settings.heartbeat,
            order_lease: settings.bounds.lease,
            retry_window: settings.bounds.retry_window,
            placement: shaletrail_placement::Options::from_bounds(&settings.bounds),
            seed: incarnation.0,
        }
    }
}

/// What happens at a coordinator.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// Another coordinator says something.
    Message {
        /// Who.
        from: NodeId,
        /// What.
        message: CoordinatorMessage,
    },
    /// All records up to a ticket are safe on disk.
    Persisted {
        /// The ticket.
        ticket: u64,
        /// The journal's ring is filling up: a checkpoint is wanted.
        wants_checkpoint: bool,
    },
    /// The disk has refused or has not answered for long: nothing new is safe until it recovers.
    DiskDegraded {
        /// The journal's ring is full: only a checkpoint helps.
        wants_checkpoint: bool,
    },
    /// A server's heartbeat.
    Heartbeat {
        /// To be answered.
        call: CallId,
        /// The server.
        id: ServerId,
        /// What it says.
        heartbeat: Heartbeat,
    },
    /// A server is about to end.
    Deregister {
        /// To be answered.
        call: CallId,
        /// The server.
        id: ServerId,
    },
    /// A call of the operator.
    Operator {
        /// To be answered.
        call: CallId,
        /// The call.
        operator: OperatorCall,
    },
    /// A data-plane node's long poll.
    Poll {
        /// To be answered.
        call: CallId,
        /// Who asks.
        edge: EdgeIdentity,
        /// What for.
        request: PollRequest,
    },
    /// The connection of a poll has ended.
    PollCancelled(CallId),
    /// Demand of a data-plane node that cannot wait for its next poll.
    EdgeReport {
        /// The node.
        edge: NodeId,
        /// Its demand.
        demand: Vec<Demand>,
    },
    /// A data-plane node's process is ending.
    EdgeDisconnected(NodeId),
    /// How an order ended.
    OrderCompleted {
        /// The order.
        order: OrderId,
        /// How.
        outcome: OrderOutcome,
    },
    /// A server's answer to `GET /report`, if one came.
    ReportReceived {
        /// The server.
        server: ServerId,
        /// Its answer.
        report: Option<Report>,
    },
    /// The process is about to end.
    ShutdownRequested,
    /// The settings file names other seeds.
    Seeds(Vec<NodeId>),
}

/// What the driver is to do.
#[derive(Clone, Debug)]
pub enum Action {
    /// Send to another coordinator; may be dropped if it is out of reach.
    Send {
        /// To whom.
        to: NodeId,
        /// What.
        message: CoordinatorMessage,
    },
    /// Append records to the journal and sync; an [`Event::Persisted`] with the ticket follows.
    Store {
        /// Rises with each.
        ticket: u64,
        /// Stream (the shard) and bytes of each record.
        records: Vec<(u32, Vec<u8>)>,
    },
    /// Replace all that the journal holds by these records.
    Checkpoint {
        /// Stream (the shard) and bytes of each record.
        live: Vec<(u32, Vec<u8>)>,
    },
    /// Answer a heartbeat or a deregistration: taken, or ask another node.
    RespondToServer {
        /// The call.
        call: CallId,
        /// Whether it is acknowledged.
        accepted: bool,
    },
    /// Answer the operator.
    RespondToOperator {
        /// The call.
        call: CallId,
        /// The answer.
        response: OperatorResponse,
    },
    /// Answer a poll.
    RespondToPoll {
        /// The call.
        call: CallId,
        /// The news.
        response: Box<PollResponse>,
    },
    /// Send an order to a server if [`Coordinator::may_write`](crate::core::Coordinator::may_write) allows it once the connection is
    /// up; an [`Event::Ordered`] follows.
    Order {
        /// Its name.
        order: OrderId,
        /// The server's id, for `Expected-Instance`.
        server: ServerId,
        /// Where it is, `IP:PORT`.
        address: String,
        /// The order.
        body: Order,
    },
    /// Ask a server for its report; an [`Event::Reported`] follows.
    FetchReport {
        /// The server's id, for `Expected-Instance`.
        server: ServerId,
        /// Where it is, `IP:PORT`.
        address: String,
    },
    /// Something that an operator of the system should see in the log.
    LogStateChange(StateChange),
}

/// What is worth a line in the log.
#[derive(Clone, Debug, PartialEq, Eq, strum::Display)]
pub enum StateChange {
    /// This node leads a shard.
    BecameLeader {
        /// The shard.
        shard: u32,
        /// Its term.
        term: u64,
    },
    /// This node no longer leads a shard.
    LostLeadership {
        /// The shard.
        shard: u32,
        /// Its term.
        term: u64,
    },
    /// A version is in force here.
    ConfigurationApplied {
        /// The version.
        version: u64,
    },
    /// The voters of a shard are being changed.
    VotersChanging {
        /// The shard.
        shard: u32,
        /// The wanted voters.
        wanted: Vec<NodeId>,
    },
    /// This node holds the orders of a service's shard.
    OrderLeaseAcquired {
        /// The shard.
        shard: u32,
        /// The fence.
        fencing_token: u64,
    },
    /// The node has lost or regained touch with the majority.
    QuorumContactChanged(bool),
    /// Records on disk that cannot be read: taken as forgotten.
    UnreadableRecords {
        /// The shard.
        shard: u32,
    },
}
