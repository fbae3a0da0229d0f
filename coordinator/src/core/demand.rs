//! Demand that edges report, aggregated and broadcast to the other coordinators, any of which may hold an order lease.

mod aggregated;
mod edges;

use shaletrail_protocol::internal::{CoordinatorMessage, Demand, ServerOutcomes};
use shaletrail_protocol::{Millis, NodeId};

use super::Coordinator;
use crate::interface::Action;

pub use aggregated::AggregatedDemand;
pub use edges::{edge_list_hash, Edges};

/// Interval between broadcasts.
const BROADCAST_INTERVAL: Millis = 250;
/// Interval between broadcasts while requests wait for a model or an adapter.
const URGENT_BROADCAST_INTERVAL: Millis = 30;

/// Decides when demand is broadcast.
#[derive(Clone, Copy, Debug)]
pub struct DemandBroadcastSchedule {
    next: Millis,
    last: Millis,
}

impl DemandBroadcastSchedule {
    /// Creates a schedule whose first broadcast is due immediately.
    pub fn new(now: Millis) -> Self {
        DemandBroadcastSchedule { next: now, last: now }
    }

    /// Brings the next broadcast forward because requests wait for a model or an adapter.
    fn expedite(&mut self) {
        self.next = self.next.min(self.last + URGENT_BROADCAST_INTERVAL);
    }

    /// Returns the period that the demand covers, in milliseconds, if a broadcast is due.
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
    /// Adds an edge's report to the aggregated demand, and brings the next broadcast forward if requests wait for a
    /// model or an adapter.
    pub(super) fn record_demand(&mut self, edge: NodeId, demand: Vec<Demand>, outcomes: Vec<ServerOutcomes>) {
        if demand.iter().any(|demand| demand.queued > 0) {
            self.demand_broadcasts.expedite();
        }
        self.demand.add(edge, demand, outcomes);
    }

    /// Broadcasts the demand reported since the last broadcast, if a broadcast is due.
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
