//! Demand that edges report with their polls, gathered and shared with the holders of orders.

mod edges;
mod gathered;

use shaletrail_protocol::internal::{CoordinatorMessage, Demand, ServerOutcomes};
use shaletrail_protocol::{Millis, NodeId};

use super::Coordinator;
use crate::interface::Action;

pub use edges::{list_name, Edges};
pub use gathered::AggregatedDemand;

/// Between two messages that carry demand to the holders of orders.
const DEMAND_EVERY: Millis = 250;
/// The same where requests wait for a model or an adapter.
const URGENT_DEMAND_EVERY: Millis = 30;

/// When demand is shared.
#[derive(Clone, Copy, Debug)]
pub struct DemandBroadcastSchedule {
    next: Millis,
    last: Millis,
}

impl DemandBroadcastSchedule {
    /// It is due at once.
    pub fn new(now: Millis) -> Self {
        DemandBroadcastSchedule { next: now, last: now }
    }

    /// Requests wait for what is reported: it is due soon.
    fn hurry(&mut self) {
        self.next = self.next.min(self.last + URGENT_DEMAND_EVERY);
    }

    /// The milliseconds that the demand covers, if it is due.
    fn take_due(&mut self, now: Millis) -> Option<Millis> {
        if now < self.next {
            return None;
        }
        self.next = now + DEMAND_EVERY;
        let span = now.saturating_sub(self.last).max(1);
        self.last = now;
        Some(span)
    }
}

impl Coordinator {
    /// Takes over what an edge reports. Requests that wait for a model are told to the holders of orders soon.
    pub(super) fn gather(&mut self, edge: NodeId, demand: Vec<Demand>, observed: Vec<ServerOutcomes>) {
        if demand.iter().any(|demand| demand.queued > 0) {
            self.sharing_times.hurry();
        }
        self.gathered.add(edge, demand, observed);
    }

    /// Sends what edges reported here to the nodes that lead the service shards.
    pub(super) fn share_demand(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let Some(span) = self.sharing_times.take_due(now) else { return };
        let reports = self.gathered.take();
        self.holders.demand(now, &reports);
        let edges = self.edges.own();
        if edges.is_empty() && reports.is_empty() {
            return;
        }
        self.send_to_others(&CoordinatorMessage::Demand { window_ms: span as u32, edges, reports }, actions);
    }
}
