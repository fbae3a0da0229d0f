//! Orders to servers: for which services this node may send them, from when on, and which ones are sent next.
//!
//! The leader of a service's shard acquires the order lease with a log entry. The term of its leadership is its fencing
//! token. A holder that follows another node first waits, so that its orders are at least one lease duration apart from
//! those of the previous holder. The previous holder writes no order after its leader lease has expired or after it has
//! stepped down, and one of the two had happened before this node was elected. After the wait, the holder records its
//! completion with a second log entry. Only if that entry has been applied may the holder, when it is elected again,
//! send orders without another wait.
//!
//! The driver calls [`OrderLeases::may_write`] immediately before it writes an order to the socket.

mod catalogue;
mod in_flight;
mod lease;
mod overlay;
mod planners;

use shaletrail_cluster::Directory;
use shaletrail_configuration::View;
use shaletrail_placement::PlannedOrder;
use shaletrail_protocol::external::{Operation, Order, ServerReport};
use shaletrail_protocol::internal::{EdgeReport, PlacementOverlay};
use shaletrail_protocol::{Millis, ServerId};

use super::lease_state::LeaseEpoch;
use super::shards::{shard_of, Shards};
use crate::interface::{Action, CoordinatorOptions, OrderId, OrderOutcome};
use in_flight::{InFlightOrder, OrdersInFlight};
use lease::ShardLeases;
use planners::Planners;

pub use lease::ORDER_SEND_TIMEOUT;

/// Interval between runs of the planners while no orders are scheduled or in flight.
const PLAN_INTERVAL: Millis = 100;
/// Interval between runs of the planners while orders are scheduled or in flight.
const BUSY_PLAN_INTERVAL: Millis = 50;
/// Interval between updates of the planners from the directory.
const DIRECTORY_SCAN_INTERVAL: Millis = 400;
/// Delay between announcing an eviction to the edges and sending the order.
const EVICTION_NOTICE: Millis = 50;

/// A planned order that is sent when due. Evictions are delayed so that edges stop sending requests that need the
/// evicted model or adapter.
#[derive(Clone, Debug)]
struct ScheduledOrder {
    due: Millis,
    service: String,
    order: PlannedOrder,
}

/// The order leases that this node holds, and the orders that it sends under them.
pub struct OrderLeases {
    /// Name of this node, sent in orders as the name of the lease holder.
    node_name: String,
    leases: ShardLeases,
    planners: Planners,
    scheduled: Vec<ScheduledOrder>,
    in_flight: OrdersInFlight,
    next_plan: Millis,
    next_directory_scan: Millis,
}

impl OrderLeases {
    /// Creates the state of a node that holds no lease yet.
    pub fn new(options: &CoordinatorOptions) -> Self {
        OrderLeases {
            node_name: options.node_name.clone(),
            leases: ShardLeases::new(options.node, options.order_lease.as_millis() as Millis),
            planners: Planners::new(options.placement.clone()),
            scheduled: Vec::new(),
            in_flight: OrdersInFlight::default(),
            next_plan: 0,
            next_directory_scan: 0,
        }
    }

    /// Handles this node becoming the leader of a shard.
    pub fn on_elected(&mut self, now: Millis, shard: u32, term: u64) {
        self.leases.on_elected(now, shard, term);
    }

    /// Handles the end of this node's leadership of a shard: its scheduled orders are discarded.
    pub fn on_deposed(&mut self, shard: u32) {
        self.leases.on_deposed(shard);
        self.scheduled.retain(|scheduled| shard_of(&scheduled.service) != shard);
    }

    /// Handles the start of a lease epoch. Returns whether this node is its holder and may use it, for which it must
    /// still lead the shard in the term in which it acquired the lease (`still_leads`).
    pub fn on_epoch_started(
        &mut self,
        now: Millis,
        shard: u32,
        epoch: LeaseEpoch,
        still_leads: bool,
    ) -> bool {
        let Some(own) = self.leases.on_epoch_started(now, shard, epoch, still_leads) else { return false };
        self.planners.start_ordering(now, shard, own.previous_lease_until);
        true
    }

    /// Returns the time before which this node must not send orders to the servers of a shard's services; `None` if it
    /// has not acquired the shard's lease.
    pub fn wait_until(&self, shard: u32) -> Option<Millis> {
        self.leases.epoch(shard).map(|epoch| epoch.wait_until)
    }

    /// Returns the time until which orders of earlier epochs may arrive at the servers of a shard's services; `None` if
    /// this node has not acquired the shard's lease or there was no earlier epoch.
    pub fn previous_orders_until(&self, shard: u32) -> Option<Millis> {
        self.leases.epoch(shard)?.previous_lease_until
    }

    /// Passes a newly applied version of the configuration to the planners.
    pub fn on_configuration(&mut self, view: &View) {
        self.planners.on_configuration(view);
    }

    /// Passes reports of edges to the planners, and runs these without delay if requests wait for a model or an
    /// adapter.
    pub fn record_demand(&mut self, now: Millis, reports: &[EdgeReport]) {
        let has_waiting = |report: &EdgeReport| report.demand.iter().any(|demand| demand.queued > 0);
        if reports.iter().any(has_waiting) && !self.leases.is_empty() {
            self.next_plan = now;
        }
        self.planners.record_demand(now, reports);
    }

    /// Handles the outcome of an order.
    pub fn on_order_completed(&mut self, now: Millis, order: OrderId, outcome: OrderOutcome) {
        let Some(InFlightOrder { service, server, number, fencing_token }) = self.in_flight.remove(order)
        else {
            return;
        };
        self.next_plan = now;
        if self.leases.fencing_token(shard_of(&service)) != Some(fencing_token) {
            // The planner was reset in a later epoch and already treats all orders of earlier epochs as undetermined.
            return;
        }
        self.planners.complete_order(now, &service, &server, number, outcome);
    }

    /// Handles a server's report; `None` if it could not be fetched in time.
    pub fn on_report(&mut self, now: Millis, server: &ServerId, report: Option<ServerReport>) {
        // Planned orders may depend on the report.
        self.next_plan = now;
        self.planners.record_report(now, server, report.as_ref());
    }

    /// Returns whether an order may be written to its server at `now`: its epoch has not ended and the lease is valid.
    pub fn may_write(&self, now: Millis, order: OrderId, shards: &Shards) -> bool {
        let Some(InFlightOrder { service, fencing_token, .. }) = self.in_flight.get(order) else {
            return false;
        };
        let shard = shard_of(service);
        self.leases.may_send(now, shard, shards) && self.leases.fencing_token(shard) == Some(*fencing_token)
    }

    /// Acquires leases, updates the planners and sends the orders that they have planned.
    pub fn plan(
        &mut self,
        now: Millis,
        shards: &mut Shards,
        directory: &mut Directory,
        actions: &mut Vec<Action>,
    ) {
        self.leases.propose_acquisitions(now, shards);
        self.leases.propose_completed_waits(now, shards);
        if now < self.next_plan {
            return;
        }
        let is_idle = self.in_flight.is_empty() && self.scheduled.is_empty();
        self.next_plan = now + if is_idle { PLAN_INTERVAL } else { BUSY_PLAN_INTERVAL };
        let scans_directory = now >= self.next_directory_scan;
        if scans_directory {
            self.next_directory_scan = now + DIRECTORY_SCAN_INTERVAL;
        }
        for service in self.planners.services() {
            let shard = shard_of(&service);
            let epoch = self.leases.epoch(shard);
            // Also if another node holds the lease, so that the planner knows the demand when this node takes over.
            self.planners.update(now, &service, directory, scans_directory, epoch);
            if epoch.is_none() {
                continue;
            }
            if self.leases.may_send(now, shard, shards) {
                self.publish_overlays(now, &service, directory);
                self.send_orders(now, &service, directory, actions);
            }
            self.fetch_reports(now, &service, directory, actions);
        }
    }

    /// Publishes in the directory how orders have changed the servers' models, before heartbeats report the change.
    fn publish_overlays(&mut self, now: Millis, service: &str, directory: &mut Directory) {
        let Some(fencing_token) = self.leases.fencing_token(shard_of(service)) else { return };
        let Some(planner) = self.planners.get_mut(service) else { return };
        let of_service = directory.records().filter(|record| record.heartbeat.service == service);
        let changed: Vec<(ServerId, PlacementOverlay)> = of_service
            .filter_map(|record| {
                let overlay = overlay::changed_overlay(now, planner, record, fencing_token)?;
                Some((record.id.clone(), overlay))
            })
            .collect();
        for (server, overlay) in changed {
            directory.set_placement_overlay(now, &server, overlay);
        }
    }

    fn fetch_reports(
        &mut self,
        now: Millis,
        service: &str,
        directory: &Directory,
        actions: &mut Vec<Action>,
    ) {
        let Some(planner) = self.planners.get_mut(service) else { return };
        for server in planner.next_report_requests(now) {
            if let Some(record) = directory.record(&server) {
                actions.push(Action::FetchReport { server, address: record.heartbeat.address.clone() });
            }
        }
    }

    fn send_orders(
        &mut self,
        now: Millis,
        service: &str,
        directory: &mut Directory,
        actions: &mut Vec<Action>,
    ) {
        let Some(fencing_token) = self.leases.fencing_token(shard_of(service)) else { return };
        let Some(planner) = self.planners.get_mut(service) else { return };
        if self.in_flight.is_full() {
            return;
        }
        for order in planner.next_orders(now) {
            let evicts = order.operation == Operation::Evict;
            let due = if evicts { now + EVICTION_NOTICE } else { now };
            self.scheduled.push(ScheduledOrder { due, service: service.to_owned(), order });
        }
        // Edges must learn of evictions before the orders are sent.
        self.publish_overlays(now, service, directory);
        for ScheduledOrder { order: planned, .. } in self.take_due(now, service) {
            let order = self.in_flight.add(InFlightOrder {
                service: service.to_owned(),
                server: planned.server.clone(),
                number: planned.number,
                fencing_token,
            });
            actions.push(self.order_action(order, planned, fencing_token));
        }
    }

    fn take_due(&mut self, now: Millis, service: &str) -> Vec<ScheduledOrder> {
        let (due, later) = std::mem::take(&mut self.scheduled)
            .into_iter()
            .partition(|scheduled| scheduled.service == service && scheduled.due <= now);
        self.scheduled = later;
        due
    }

    fn order_action(&self, order: OrderId, planned: PlannedOrder, fencing_token: u64) -> Action {
        let body = Order {
            operation: planned.operation,
            model: planned.model,
            adapter: planned.adapter,
            if_revision: Some(planned.if_revision),
            lease_holder: self.node_name.clone(),
            fencing_token,
        };
        Action::SendOrder { order, server: planned.server, address: planned.address, body }
    }
}
