//! Demand that edges report with their polls, aggregated and broadcast to the holders of order leases.

mod aggregated;
mod edges;

use shaletrail_protocol::internal::{CoordinatorMessage, Demand, ServerOutcomes};
use shaletrail_protocol::{Millis, NodeId};

use super::Coordinator;
use crate::interface::Action;

pub use aggregated::AggregatedDemand;
pub use edges::{edge_list_hash, Edges};

/// Interval between two broadcasts.
const BROADCAST_INTERVAL: Millis = 250;
/// The interval while requests wait for a model or an adapter.
const URGENT_BROADCAST_INTERVAL: Millis = 30;

/// When demand is broadcast.
#[derive(Clone, Copy, Debug)]
pub struct DemandBroadcastSchedule {
    next: Millis,
    last: Millis,
}

impl DemandBroadcastSchedule {
    /// A schedule whose first broadcast is due at once.
    pub fn new(now: Millis) -> Self {
        DemandBroadcastSchedule { next: now, last: now }
    }

    /// Brings the next broadcast forward, as requests wait for what the demand names.
    fn expedite(&mut self) {
        self.next = self.next.min(self.last + URGENT_BROADCAST_INTERVAL);
    }

    /// The milliseconds that the demand covers, if a broadcast is due.
    fn take_due(&mut self, now: Millis) -> Option<Millis> {
        if now < self.next {
            return None;
        }
        self.next = now + BROADCAST_INTERVAL;
        let window = now.saturating_sub(self.last).max(1);
        self.last = now;
        Some(window)
    }
}

impl Coordinator {
    /// Adds an edge's report to the demand. The broadcast is brought forward if requests wait for a model or an adapter.
    pub(super) fn record_demand(&mut self, edge: NodeId, demand: Vec<Demand>, observed: Vec<ServerOutcomes>) {
        if demand.iter().any(|demand| demand.queued > 0) {
            self.demand_broadcasts.expedite();
        }
        self.demand.add(edge, demand, observed);
    }

    /// Sends the demand since the last broadcast to the nodes that may hold order leases, when due.
    pub(super) fn broadcast_demand(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let Some(window) = self.demand_broadcasts.take_due(now) else { return };
        let reports = self.demand.take();
        self.order_leases.record_demand(now, &reports);
        let edges = self.edges.local();
        if edges.is_empty() && reports.is_empty() {
            return;
        }
        self.broadcast(&CoordinatorMessage::Demand { window_ms: window as u32, edges, reports }, actions);
    }
}
