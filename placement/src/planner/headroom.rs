//! Keeps free capacity on some servers, so that a load that requests wait for can start without an eviction.

use shaletrail_protocol::external::Operation;
use shaletrail_protocol::Millis;

use super::Planner;
use crate::interface::PlannedOrder;
use crate::model::Artifact;
use crate::server::Server;

/// One in this many ready servers is kept with free capacity for another model.
const SERVERS_PER_HEADROOM: usize = 6;
/// No model is evicted for headroom until this long after the first demand, in milliseconds.
const HEADROOM_DELAY: Millis = 3_000;

impl Planner {
    /// Orders the cheapest eviction if too few servers have free capacity for another model. Does nothing while
    /// replicas are missing.
    pub(super) fn evict_for_headroom(&mut self, now: Millis) -> Option<PlannedOrder> {
        let first_demand_at = self.demand_sources.first_demand_at()?;
        if self.has_missing_replicas || now.saturating_sub(first_demand_at) < HEADROOM_DELAY {
            return None;
        }
        let counts = self.replica_counts();
        let context = self.context(now, &counts);
        let with_headroom = self.ready_servers().filter(|server| self.has_headroom(server)).count();
        if with_headroom >= self.ready_servers().count() / SERVERS_PER_HEADROOM {
            return None;
        }
        let is_candidate = |server: &Server| {
            server.accepts_orders(now) && server.reservation.is_none() && !self.has_headroom(server)
        };
        let candidates = self.servers.iter().filter(|(_, server)| is_candidate(server));
        let evictions = candidates.filter_map(|(key, server)| {
            let (cost, model) = context.cheapest_eviction(*key, server, &counts)?;
            Some((cost, *key, model))
        });
        let (_, key, model) = evictions.min()?;
        self.send(now, key, Operation::Evict, Artifact::model(model), false)
    }

    /// Returns whether the largest model of the configuration fits on the server, or the server is evicting a model.
    fn has_headroom(&self, server: &Server) -> bool {
        let is_evicting = server.in_flight.as_ref().is_some_and(|order| order.is_for_model(Operation::Evict));
        let used_mb = server.used_mb(&self.models) + self.catalogue.largest_model_mb();
        is_evicting || used_mb <= self.catalogue.weights_mb
    }
}
