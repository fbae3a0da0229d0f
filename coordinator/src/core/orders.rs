//! Orders to servers: for which services this node may send them, from when on, and which come next.
//!
//! The leader of a service's shard acquires the order lease by an entry of its own term, which is its fencing token. A
//! holder that follows another node waits until orders of the previous one can no longer arrive within the lease: the
//! previous holder wrote none after its leader lease or after it had stepped down, and that was over when this node was
//! elected. Once it has waited, the holder records that by a second entry; only then may it, elected again, go on at once.
//!
//! The driver asks [`OrderLeases::may_write`] as the last thing before an order's bytes go to the socket.

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

/// Interval between two runs of the planners.
const PLAN_INTERVAL: Millis = 100;
/// The interval while orders are scheduled or in flight.
const BUSY_PLAN_INTERVAL: Millis = 50;
/// Interval between two updates of the planners from the directory.
const DIRECTORY_SCAN_INTERVAL: Millis = 400;
/// How long before an eviction edges are told that the server will no longer serve what it evicts.
const EVICTION_NOTICE: Millis = 50;

/// An order that waits until edges have stopped sending requests for what it evicts.
#[derive(Clone, Debug)]
struct ScheduledOrder {
    due: Millis,
    service: String,
    order: PlannedOrder,
}

/// The order leases of this node, and the orders that it sends under them.
pub struct OrderLeases {
    /// Name of this node, which orders carry as their lease holder.
    node_name: String,
    leases: ShardLeases,
    planners: Planners,
    scheduled: Vec<ScheduledOrder>,
    in_flight: OrdersInFlight,
    next_plan: Millis,
    next_directory_scan: Millis,
}

impl OrderLeases {
    /// A node that holds no lease yet.
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

    /// This node has become the leader of a shard.
    pub fn on_elected(&mut self, now: Millis, shard: u32, term: u64) {
        self.leases.on_elected(now, shard, term);
    }

    /// This node no longer leads a shard.
    pub fn on_deposed(&mut self, shard: u32) {
        self.leases.on_deposed(shard);
        self.scheduled.retain(|scheduled| shard_of(&scheduled.service) != shard);
    }

    /// A lease epoch has started. Whether its holder is this node and `still_leads` in the term in which it acquired the
    /// lease.
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

    /// Until when this node must wait before it sends orders to the servers of a shard's services; `None` unless it has
    /// acquired the shard's lease.
    pub fn wait_until(&self, shard: u32) -> Option<Millis> {
        self.leases.epoch(shard).map(|epoch| epoch.wait_until)
    }

    /// Until when orders of earlier epochs may arrive at the servers of a shard's services; `None` unless this node has
    /// acquired the shard's lease after another epoch.
    pub fn previous_orders_until(&self, shard: u32) -> Option<Millis> {
        self.leases.epoch(shard)?.previous_lease_until
    }

    /// A version of the configuration has been applied.
    pub fn on_configuration(&mut self, view: &View) {
        self.planners.on_configuration(view);
    }

    /// Records what edges have reported. Requests that wait for a model or an adapter make the planners run at once.
    pub fn record_demand(&mut self, now: Millis, reports: &[EdgeReport]) {
        let has_waiting = |report: &EdgeReport| report.demand.iter().any(|demand| demand.queued > 0);
        if reports.iter().any(has_waiting) && !self.leases.is_empty() {
            self.next_plan = now;
        }
        self.planners.record_demand(now, reports);
    }

    /// An order has ended.
    pub fn on_order_completed(&mut self, now: Millis, order: OrderId, outcome: OrderOutcome) {
        let Some(InFlightOrder { service, server, number, fencing_token }) = self.in_flight.remove(order)
        else {
            return;
        };
        self.next_plan = now;
        if self.leases.fencing_token(shard_of(&service)) != Some(fencing_token) {
            // A later epoch has started over, and takes all orders that were in flight to be in doubt.
            return;
        }
        self.planners.complete_order(now, &service, &server, number, outcome);
    }

    /// A server's report has arrived, or none has in time.
    pub fn on_report(&mut self, now: Millis, server: &ServerId, report: Option<ServerReport>) {
        // Orders may wait for the report.
        self.next_plan = now;
        self.planners.record_report(now, server, report.as_ref());
    }

    /// Whether an order may be written to its server now: the epoch that it belongs to goes on, and the lease holds.
    pub fn may_write(&self, now: Millis, order: OrderId, shards: &Shards) -> bool {
        let Some(InFlightOrder { service, fencing_token, .. }) = self.in_flight.get(order) else {
            return false;
        };
        let shard = shard_of(service);
        self.leases.may_order(now, shard, shards) && self.leases.fencing_token(shard) == Some(*fencing_token)
    }

    /// Acquires leases, brings the planners up to date and sends the orders that they want.
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
            // Also where another node holds the lease: the demand is known when this one takes over.
            self.planners.update(now, &service, directory, scans_directory, epoch);
            if epoch.is_none() {
                continue;
            }
            if self.leases.may_order(now, shard, shards) {
                self.publish_overlays(now, &service, directory);
                self.send_orders(now, &service, directory, actions);
            }
            self.fetch_reports(now, &service, directory, actions);
        }
    }

    /// Publishes in the directory what orders have changed about the servers' models, ahead of their heartbeats.
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
        // Edges learn of evictions before the orders go out.
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
