//! The planning pass: updates the replica targets and plans the next orders.

use shaletrail_protocol::{Millis, ServerId};

use super::Planner;
use crate::adapters::{adapter_orders, AdapterOrder};
use crate::context::PlacementContext;
use crate::fair_share::utilization_per_replica;
use crate::interface::PlannedOrder;
use crate::model::Model;
use crate::replicas::ReplicaCounts;
use crate::server::Server;
use crate::surplus::surplus_replicas;
use crate::target::replica_demand;
use crate::utilization::server_utilization;

/// A planning pass runs after this time even if nothing has changed, in milliseconds.
const MAX_PASS_INTERVAL: Millis = 1_000;

impl Planner {
    /// Returns the orders to send now, at most one per server. The caller reports the outcome of each by
    /// [`Planner::complete_order`].
    pub fn next_orders(&mut self, now: Millis) -> Vec<PlannedOrder> {
        self.servers.values_mut().for_each(|server| server.expire_order(now));
        self.demand_sources.expire(now, &mut self.models);
        if !self.is_pass_due(now) {
            return Vec::new();
        }
        self.has_changed = false;
        self.last_pass = now;
        self.counters.planning_passes += 1;
        self.update_targets(now);
        self.cancel_reservations();
        self.reserve_servers(now);
        let mut orders = self.execute_reservations(now);
        orders.extend(self.send_adapter_orders(now));
        orders.extend(self.evict_for_headroom(now));
        orders
    }

    fn is_pass_due(&self, now: Millis) -> bool {
        let is_busy = |server: &Server| server.in_flight.is_some() || server.reservation.is_some();
        let is_overdue = now.saturating_sub(self.last_pass) >= MAX_PASS_INTERVAL;
        is_overdue || self.has_changed || self.has_missing_replicas || self.servers.values().any(is_busy)
    }

    /// Returns the servers to request a report from now.
    pub fn next_report_requests(&mut self, now: Millis) -> Vec<ServerId> {
        let has_missing_replicas = self.has_missing_replicas;
        let due = self.servers.values_mut().filter_map(|server| {
            let is_needed = has_missing_replicas || server.reservation.is_some();
            server.poll_report_request(now, is_needed).then(|| server.id.clone())
        });
        due.collect()
    }

    fn update_targets(&mut self, now: Millis) {
        let counts = self.replica_counts();
        let slots = self.ready_servers().map(|server| server.slots).max().unwrap_or(1);
        let extra_slots = self.slots_for_extra_replicas(self.ready_servers().count());
        let demand_of = |model: &Model| replica_demand(now, &model.demand, slots, &self.options);
        let demands: Vec<Option<f64>> = self.models.configured().map(|(_, model)| demand_of(model)).collect();
        let requested: Vec<f64> = demands.iter().copied().flatten().collect();
        let utilization = utilization_per_replica(&requested, extra_slots);
        for ((id, model), demand) in self.models.configured_mut().zip(demands) {
            model.target.update(now, demand, &model.demand, counts.of(id).serving, utilization);
        }
    }

    /// Returns the number of model slots on `ready` servers that replicas beyond each model's first may fill.
    pub(super) fn slots_for_extra_replicas(&self, ready: usize) -> usize {
        let model_slots = ready as f64 * self.model_slots_per_server;
        (model_slots * self.options.extra_replica_share.clamp(0.0, 1.0)) as usize
    }

    pub(super) fn replica_counts(&self) -> ReplicaCounts {
        ReplicaCounts::of_servers(self.models.len(), self.servers.values())
    }

    /// Returns the context for placing model replicas.
    pub(super) fn context(&self, now: Millis, counts: &ReplicaCounts) -> PlacementContext<'_> {
        PlacementContext {
            surplus: surplus_replicas(&self.models, &self.servers, &self.ring, counts),
            utilization: server_utilization(&self.models, &self.servers, counts),
            ..self.basic_context(now)
        }
    }

    /// Returns a context without surplus and utilisation, which suffices for adapters.
    fn basic_context(&self, now: Millis) -> PlacementContext<'_> {
        PlacementContext {
            now,
            models: &self.models,
            servers: &self.servers,
            ring: &self.ring,
            catalogue: &self.catalogue,
            options: &self.options,
            surplus: Default::default(),
            claimed: Default::default(),
            utilization: Default::default(),
        }
    }

    fn send_adapter_orders(&mut self, now: Millis) -> Vec<PlannedOrder> {
        let mut examined = 0;
        let orders = adapter_orders(&self.basic_context(now), &mut examined);
        self.counters.servers_examined += examined;
        let send =
            |order: &AdapterOrder| self.send(now, order.server, order.operation, order.artifact, false);
        orders.iter().filter_map(send).collect()
    }
}
