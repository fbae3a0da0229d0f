//! Orders that were handed to the driver and have not ended.

use std::collections::HashMap;

use shaletrail_placement::OrderNumber;
use shaletrail_protocol::ServerId;

use crate::interface::OrderId;

/// Orders that may be in flight before no further ones are planned.
const MAX_IN_FLIGHT: usize = 512;

/// An order that was handed to the driver and has not ended.
#[derive(Clone, Debug)]
pub(super) struct InFlightOrder {
    pub service: String,
    pub server: ServerId,
    /// The planner's number of the order.
    pub number: OrderNumber,
    /// The fencing token of the epoch that it belongs to.
    pub fencing_token: u64,
}

/// All orders in flight.
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

    /// An order by its id.
    pub fn get(&self, id: OrderId) -> Option<&InFlightOrder> {
        self.orders.get(&id)
    }

    /// Removes an order that has ended.
    pub fn remove(&mut self, id: OrderId) -> Option<InFlightOrder> {
        self.orders.remove(&id)
    }

    /// Whether no order is in flight.
    pub fn is_empty(&self) -> bool {
        self.orders.is_empty()
    }

    /// Whether so many orders are in flight that no further ones are planned.
    pub fn is_full(&self) -> bool {
        self.orders.len() >= MAX_IN_FLIGHT
    }
}
