//! Reserves servers for missing replicas. A reserved server first evicts models until the new one fits, then loads it.

use shaletrail_protocol::external::Operation;
use shaletrail_protocol::Millis;

use super::load_budget::{LoadBudget, MAX_URGENT_EXCESS};
use super::Planner;
use crate::context::PlacementContext;
use crate::eviction::max_eviction_cost;
use crate::interface::PlannedOrder;
use crate::missing::{missing_replicas, MissingReplica};
use crate::model::{Artifact, ModelId};
use crate::replicas::ReplicaCounts;
use crate::server::{Reservation, Server, ServerKey};
use crate::urgency::Urgency;

/// The next action for a reserved server.
enum Step {
    Load { artifact: Artifact, from_origin: bool },
    Evict(Artifact),
    Cancel,
}

impl Planner {
    /// Cancels reservations that would give their model more replicas than its target.
    pub(super) fn cancel_reservations(&mut self) {
        let mut counts = self.replica_counts();
        for server in self.servers.values_mut() {
            let Some(Reservation { model, .. }) = server.reservation else { continue };
            let target = self.models.get(model).map_or(0, |model| model.target.replicas);
            if counts.of(model).total() > target {
                server.reservation = None;
                counts.update(model, |count| count.remove_reserved());
            }
        }
    }

    /// Reserves servers for missing replicas, as far as the budget of loads from the weight store allows.
    pub(super) fn reserve_servers(&mut self, now: Millis) {
        let counts = self.replica_counts();
        let ready = self.ready_servers().count();
        let extra_slots = self.slots_for_extra_replicas(ready);
        let all_missing = missing_replicas(now, &self.models, &counts, ready, extra_slots);
        self.has_missing_replicas = !all_missing.is_empty();
        if all_missing.is_empty() {
            return;
        }
        let budget = self.load_budget(now, ready);
        let mut examined = 0;
        let reservations = self.choose_servers(now, &all_missing, counts, budget, &mut examined);
        self.counters.servers_examined += examined;
        for (key, reservation) in reservations {
            if let Some(server) = self.servers.get_mut(&key) {
                server.reservation = Some(reservation);
            }
        }
    }

    /// Selects a server for each missing replica that the budget allows. Adds the number of examined servers to
    /// `examined`.
    fn choose_servers(
        &self,
        now: Millis,
        all_missing: &[MissingReplica],
        mut counts: ReplicaCounts,
        mut budget: LoadBudget,
        examined: &mut u64,
    ) -> Vec<(ServerKey, Reservation)> {
        let mut reservations = Vec::new();
        let mut context = self.context(now, &counts);
        for missing in all_missing {
            let is_allowed = budget.allows(missing.urgency);
            if !is_allowed && !self.is_on_any_disk(missing.model) {
                continue;
            }
            let candidate = context.best_candidate(missing, &counts, examined);
            let Some(candidate) = candidate.filter(|candidate| is_allowed || !candidate.from_origin) else {
                continue;
            };
            if candidate.from_origin {
                budget.take();
            }
            context.claimed.insert(candidate.server);
            let added = self.utilization_of_further_replica(missing.model, &counts);
            *context.utilization.entry(candidate.server).or_default() += added;
            if let Some(displaced) = self.reserved_model(candidate.server) {
                counts.update(displaced, |count| count.remove_reserved());
            }
            if let Some(victim) = candidate.victim {
                counts.update(victim, |count| count.remove_serving());
            }
            let reservation = Reservation {
                model: missing.model,
                from_origin: candidate.from_origin,
                urgency: missing.urgency,
            };
            reservations.push((candidate.server, reservation));
        }
        reservations
    }

    fn reserved_model(&self, key: ServerKey) -> Option<ModelId> {
        let reservation = self.servers.get(&key)?.reservation?;
        Some(reservation.model)
    }

    fn is_on_any_disk(&self, model: ModelId) -> bool {
        self.ready_servers().any(|server| server.has_on_disk(model))
    }

    /// Returns the utilisation that a further replica of the model would add to its server.
    fn utilization_of_further_replica(&self, model: ModelId, counts: &ReplicaCounts) -> f64 {
        let demand = self.models.get(model).map_or(0.0, |model| model.target.demand);
        demand / (counts.of(model).total() + 1) as f64
    }

    /// Returns the next order for each reserved server that can get one: an eviction until the model fits, then the
    /// load.
    pub(super) fn execute_reservations(&mut self, now: Millis) -> Vec<PlannedOrder> {
        if !self.servers.values().any(|server| server.reservation.is_some()) {
            return Vec::new();
        }
        self.request_revisions(now);
        let mut counts = self.replica_counts();
        let mut rate = self.origin.available(now);
        let mut concurrency =
            self.catalogue.max_concurrent_loads() as isize - self.origin_loads_in_flight(now) as isize;
        let context = self.context(now, &counts);
        let mut steps = Vec::new();
        let can_order = |server: &Server| server.accepts_orders(now) && server.revision.known().is_some();
        for (key, server) in self.servers.iter().filter(|(_, server)| can_order(server)) {
            let Some(reservation) = server.reservation else { continue };
            let step = next_step(&context, *key, server, &reservation, &counts);
            if let Step::Load { from_origin: true, .. } = step {
                let excess = if reservation.urgency == Urgency::Waiting { MAX_URGENT_EXCESS } else { 0 };
                if rate == 0 || concurrency <= -excess {
                    continue;
                }
                rate -= 1;
                concurrency -= 1;
            }
            if let Step::Evict(artifact) = step {
                counts.update(artifact.model, |count| count.remove_serving());
            }
            steps.push((*key, step));
        }
        steps.into_iter().filter_map(|(key, step)| self.execute_step(now, key, step)).collect()
    }

    /// Requests reports from reserved servers that would get an order now if their revision were known.
    fn request_revisions(&mut self, now: Millis) {
        let reserved = self.servers.values_mut().filter(|server| server.reservation.is_some());
        let blocked =
            reserved.filter(|server| server.accepts_orders(now) && server.revision.known().is_none());
        blocked.for_each(Server::request_revision);
    }

    fn execute_step(&mut self, now: Millis, key: ServerKey, step: Step) -> Option<PlannedOrder> {
        let server = self.servers.get_mut(&key)?;
        if !matches!(step, Step::Evict(_)) {
            server.reservation = None;
        }
        match step {
            Step::Load { artifact, from_origin } => {
                self.send(now, key, Operation::Load, artifact, from_origin)
            }
            Step::Evict(artifact) => self.send(now, key, Operation::Evict, artifact, false),
            Step::Cancel => None,
        }
    }
}

fn next_step(
    context: &PlacementContext,
    key: ServerKey,
    server: &Server,
    reservation: &Reservation,
    counts: &ReplicaCounts,
) -> Step {
    let model = reservation.model;
    let artifact = Artifact::model(model);
    if server.contents.has(artifact) {
        return Step::Cancel;
    }
    if context.shortfall_mb(server, model) <= 0.0 {
        return Step::Load { artifact, from_origin: !server.has_on_disk(model) };
    }
    let utilization = utilization_of_other_replicas(context, model, counts);
    let max_cost = max_eviction_cost(reservation.urgency, utilization);
    match context.first_victim(key, server, model, max_cost, counts) {
        Some(victim) => Step::Evict(Artifact::model(victim)),
        None => Step::Cancel,
    }
}

/// Returns the utilisation per replica of a model without the reserved replica, relative to the target.
fn utilization_of_other_replicas(context: &PlacementContext, model: ModelId, counts: &ReplicaCounts) -> f64 {
    let demand = context.models.get(model).map_or(0.0, |model| model.target.demand);
    let others = counts.of(model).total().saturating_sub(1).max(1);
    demand / others as f64
}
