//! Public types for orders, their outcomes and the planner's state.

use shaletrail_protocol::external::Operation;
use shaletrail_protocol::ServerId;

/// Identifies an order within one planner; numbers increase in the order of sending.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct OrderNumber(pub u64);

/// The outcome of sending an order to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
pub enum OrderOutcome {
    /// HTTP 202: the server has accepted the order and executes it.
    Accepted,
    /// HTTP 200: there was nothing to do, because the server already had the contents that the order asks for.
    #[strum(to_string = "AlreadyHeld")]
    AlreadyDone,
    /// HTTP 409: the server is executing another order, or its revision is not the one that the order requires.
    Busy,
    /// HTTP 412: the server has already seen a higher fencing token.
    Fenced,
    /// HTTP 400: the server considers the order invalid.
    Rejected,
    /// HTTP 421: the address now belongs to another server, or the server has restarted.
    #[strum(to_string = "Gone")]
    WrongInstance,
    /// The order certainly did not reach the server, for example because the connection was refused.
    NotSent,
    /// The order was sent but no conclusive response arrived: the server may have accepted it.
    Unknown,
}

/// An order that the caller sends to a server now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlannedOrder {
    /// Identifies the order in [`Planner::complete_order`](crate::Planner::complete_order).
    pub number: OrderNumber,
    /// The server that receives the order.
    pub server: ServerId,
    /// The server's address, `IP:PORT`.
    pub address: String,
    /// Whether to load or to evict.
    pub operation: Operation,
    /// The model's name.
    pub model: String,
    /// The adapter's name; `None` if the order is for the model itself.
    pub adapter: Option<String>,
    /// Precondition: the server rejects the order unless it has accepted exactly this many orders so far.
    pub if_revision: u64,
}

/// The contents that a server should have.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DesiredServer {
    /// The server's identity, new at each start.
    pub server: ServerId,
    /// Names of the models that the server holds and is to keep, in the order in which the planner first saw them.
    pub models: Vec<String>,
    /// Name of the model that the server is reserved for or else is loading; `None` if there is neither.
    pub loading: Option<String>,
}

/// Counters of the planner's work since it was created.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PlannerCounters {
    /// Planning passes that looked for missing replicas. Calls that skip the pass because nothing has changed are not
    /// counted.
    pub planning_passes: u64,
    /// Servers examined as candidates for a missing replica or adapter.
    pub servers_examined: u64,
    /// Orders to load a model from the weight store.
    pub origin_loads: u64,
    /// Orders to load a model from a server's own disk.
    pub disk_loads: u64,
    /// Orders to evict a model.
    pub evictions: u64,
    /// Orders to load or evict an adapter.
    pub adapter_orders: u64,
}
