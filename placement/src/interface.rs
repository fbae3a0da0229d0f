//! The public types of the planner's orders and results.

use shaletrail_protocol::external::Operation;
use shaletrail_protocol::ServerId;

/// Identifies an order of one planner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct OrderNumber(pub u64);

/// How an order ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
pub enum OrderOutcome {
    /// 202: the server carries out the order.
    Accepted,
    /// 200: there was nothing to do.
    #[strum(to_string = "AlreadyHeld")]
    AlreadyDone,
    /// 409: the server carries out another order, or its revision is not the order's.
    Busy,
    /// 412: the server has seen a higher fencing token.
    Fenced,
    /// 400: the order is invalid.
    Rejected,
    /// 421: another server, or another start of the server, has the address.
    #[strum(to_string = "Gone")]
    WrongInstance,
    /// The order was certainly not sent, or the connection was refused.
    NotSent,
    /// The order was sent and there was no clear response: the server may have accepted it.
    Unknown,
}

/// An order to be sent now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlannedOrder {
    /// Identifies the order in [`Planner::complete_order`](crate::Planner::complete_order).
    pub number: OrderNumber,
    /// The server to send it to.
    pub server: ServerId,
    /// The server's address, `IP:PORT`.
    pub address: String,
    /// Whether to load or to evict.
    pub operation: Operation,
    /// The model's name.
    pub model: String,
    /// The adapter's name, if the order is about an adapter and not the model itself.
    pub adapter: Option<String>,
    /// The precondition of the order: the server rejects it unless it has accepted exactly this many orders.
    pub if_revision: u64,
}

/// The contents that a server should have.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DesiredServer {
    /// The server's identity.
    pub server: ServerId,
    /// Names of the models that it holds and keeps, in the planner's order of models.
    pub models: Vec<String>,
    /// The model that is being loaded, or for which the server is reserved.
    pub loading: Option<String>,
}

/// Counters of the planner's work since its creation.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PlannerCounters {
    /// Planning passes that looked for missing replicas; passes that find nothing changed do not count.
    pub planning_passes: u64,
    /// Servers that were examined as candidates.
    pub servers_examined: u64,
    /// Loads of models from the weight store.
    pub origin_loads: u64,
    /// Loads of models from a server's own disk.
    pub disk_loads: u64,
    /// Evictions of models.
    pub evictions: u64,
    /// Orders about adapters.
    pub adapter_orders: u64,
}
