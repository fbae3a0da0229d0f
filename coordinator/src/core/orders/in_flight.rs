//! Orders that were passed to the driver and whose outcome is not known yet.

use std::collections::HashMap;

use shaletrail_placement::OrderNumber;
use shaletrail_protocol::ServerId;

use crate::interface::OrderId;

/// Maximum number of orders in flight; no further ones are planned while it is reached.
const MAX_IN_FLIGHT: usize = 512;

/// An order that was passed to the driver and whose outcome is not known yet.
#[derive(Clone, Debug)]
pub(super) struct InFlightOrder {
    pub service: String,
    pub server: ServerId,
    /// The number that the planner has assigned to the order.
    pub number: OrderNumber,
    /// The fencing token of the lease epoch in which the order was sent.
    pub fencing_token: u64,
}

#[derive(Debug, Default)]
pub(super) struct OrdersInFlight {
    orders: HashMap<OrderId, InFlightOrder>,
    last_id: u64,
}

impl OrdersInFlight {
    /// Adds an order and assigns its id.
    pub fn add(&mut self, order: InFlightOrder) -> OrderId {
        self.last_id += 1;
        let id = OrderId(self.last_id);
        self.orders.insert(id, order);
        id
    }

    /// Returns an order; `None` if it is not in flight.
    pub fn get(&self, id: OrderId) -> Option<&InFlightOrder> {
        self.orders.get(&id)
    }

    /// Removes an order and returns it; `None` if it is not in flight.
    pub fn remove(&mut self, id: OrderId) -> Option<InFlightOrder> {
        self.orders.remove(&id)
    }

    /// Whether no order is in flight.
    pub fn is_empty(&self) -> bool {
        self.orders.is_empty()
    }

    /// Whether the maximum number of orders is in flight, so that no further ones may be planned.
    pub fn is_full(&self) -> bool {
        self.orders.len() >= MAX_IN_FLIGHT
    }
}
