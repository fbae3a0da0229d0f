//! Selects the models that a server evicts to free capacity for another one.

use shaletrail_protocol::Millis;

use crate::context::PlacementContext;
use crate::model::{Model, ModelId};
use crate::replicas::ReplicaCounts;
use crate::server::{Server, ServerKey};
use crate::urgency::Urgency;

/// A model's only replica is not evicted for this long after the model's last request, in milliseconds, unless the
/// missing replica is urgent (see [`MIN_IDLE_URGENT`]).
const MIN_IDLE: Millis = 5_000;
/// As [`MIN_IDLE`], for a missing replica of a model without replicas that requests wait for, or of a severely
/// overloaded model.
const MIN_IDLE_URGENT: Millis = 1_000;
/// Idle times are compared at this resolution, in milliseconds. Servers with equal results are ranked by the hash ring
/// sequence.
const IDLE_RESOLUTION: Millis = 4_000;
/// A model whose replicas have at least this utilisation, relative to the target, is severely overloaded: a further
/// replica may then replace the only replica of a rarely requested model.
const SEVERE_OVERLOAD: f64 = 2.0;

/// The cost of evicting a replica. Variants are ordered from the cheapest to the most expensive.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum EvictionCost {
    /// No eviction is needed.
    None,
    /// The model is not in the current configuration.
    Unconfigured,
    /// One of several replicas of a model without demand.
    IdleReplica,
    /// A replica in excess of the model's target.
    SurplusReplica,
    /// The only replica of a model without demand.
    OnlyIdleReplica,
    /// The only replica of a model without requests in progress that has been idle for at least [`MIN_IDLE`].
    OnlyReplica,
    /// The only replica of a model without requests in progress that has been idle for at least [`MIN_IDLE_URGENT`].
    OnlyRecentReplica,
    /// One of several replicas, and not in excess of the model's target.
    NeededReplica,
}

/// The cost of freeing capacity on a server. The fields are compared in order of declaration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Cost {
    /// The cost of the most expensive eviction.
    pub eviction: EvictionCost,
    /// How recently that model was requested, greater for more recent: evicting the model that has been idle the
    /// longest is the cheapest.
    pub recency: u64,
}

impl Cost {
    /// The model fits without an eviction.
    const NONE: Cost = Cost { eviction: EvictionCost::None, recency: 0 };
    /// The evicted model is not in the configuration.
    const UNCONFIGURED: Cost = Cost { eviction: EvictionCost::Unconfigured, recency: 0 };
}

/// Returns the maximum eviction cost that a missing replica justifies. `utilization` is that of each of the model's
/// replicas, relative to the target.
pub fn max_eviction_cost(urgency: Urgency, utilization: f64) -> EvictionCost {
    match urgency {
        Urgency::Waiting => EvictionCost::NeededReplica,
        Urgency::Overloaded if utilization >= SEVERE_OVERLOAD => EvictionCost::OnlyRecentReplica,
        Urgency::Overloaded => EvictionCost::OnlyReplica,
        Urgency::Absent => EvictionCost::SurplusReplica,
    }
}

impl PlacementContext<'_> {
    /// Returns the cost of the most expensive eviction that is needed to make a model fit on a server; `None` if it
    /// does not fit even after all evictions that cost at most `max_cost`.
    pub fn cost_to_fit(
        &self,
        key: ServerKey,
        server: &Server,
        model: ModelId,
        max_cost: EvictionCost,
        counts: &ReplicaCounts,
    ) -> Option<Cost> {
        let mut shortfall_mb = self.shortfall_mb(server, model);
        if shortfall_mb <= 0.0 {
            return Some(Cost::NONE);
        }
        for (cost, victim) in self.eviction_candidates(key, server, max_cost, counts) {
            shortfall_mb -= server.contents.replica_mb(victim, self.models);
            if shortfall_mb <= 0.0 {
                return Some(cost);
            }
        }
        None
    }

    /// Returns the first model to evict from a server to make room for `model`; `None` if all evictions that cost at
    /// most `max_cost` together would not free enough capacity.
    pub fn first_victim(
        &self,
        key: ServerKey,
        server: &Server,
        model: ModelId,
        max_cost: EvictionCost,
        counts: &ReplicaCounts,
    ) -> Option<ModelId> {
        let candidates = self.eviction_candidates(key, server, max_cost, counts);
        let replica_mb = |victim: ModelId| server.contents.replica_mb(victim, self.models);
        let freed_mb: f64 = candidates.iter().map(|(_, victim)| replica_mb(*victim)).sum();
        let is_enough = freed_mb >= self.shortfall_mb(server, model);
        candidates.first().filter(|_| is_enough).map(|(_, victim)| *victim)
    }

    /// Returns the cheapest eviction on a server to free capacity in advance, while no replica is missing.
    pub fn cheapest_eviction(
        &self,
        key: ServerKey,
        server: &Server,
        counts: &ReplicaCounts,
    ) -> Option<(Cost, ModelId)> {
        self.eviction_candidates(key, server, EvictionCost::OnlyReplica, counts).into_iter().next()
    }

    /// Returns the models on a server whose eviction costs at most `max_cost`, cheapest first.
    fn eviction_candidates(
        &self,
        key: ServerKey,
        server: &Server,
        max_cost: EvictionCost,
        counts: &ReplicaCounts,
    ) -> Vec<(Cost, ModelId)> {
        let with_cost = server.contents.models().filter_map(|id| {
            let cost = self.eviction_cost(key, id, self.models.get(id)?, counts)?;
            Some((cost, id))
        });
        let mut candidates: Vec<_> = with_cost.filter(|(cost, _)| cost.eviction <= max_cost).collect();
        candidates.sort();
        candidates
    }

    /// Returns the cost of evicting a model from a server; `None` if it must not be evicted.
    fn eviction_cost(
        &self,
        key: ServerKey,
        id: ModelId,
        model: &Model,
        counts: &ReplicaCounts,
    ) -> Option<Cost> {
        if !model.is_configured {
            return Some(Cost::UNCONFIGURED);
        }
        let (serving, target) = (counts.of(id).serving, model.target.replicas);
        let idle_ms = model.demand.idle_ms(self.now);
        let eviction = if model.demand.waiting > 0 && serving <= 1 {
            return None;
        } else if target == 0 && serving > 1 {
            EvictionCost::IdleReplica
        } else if target == 0 {
            EvictionCost::OnlyIdleReplica
        } else if self.surplus.contains(&(key, id)) && serving > target {
            EvictionCost::SurplusReplica
        } else if serving > 1 {
            EvictionCost::NeededReplica
        } else if model.demand.in_progress > 0 || idle_ms < MIN_IDLE_URGENT {
            return None;
        } else if idle_ms < MIN_IDLE {
            EvictionCost::OnlyRecentReplica
        } else {
            EvictionCost::OnlyReplica
        };
        Some(Cost { eviction, recency: u64::MAX - idle_ms / IDLE_RESOLUTION })
    }
}
