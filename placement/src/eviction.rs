//! Which models a server evicts to free capacity for another one.

use shaletrail_protocol::Millis;

use crate::context::PlacementContext;
use crate::model::{Model, ModelId};
use crate::replicas::ReplicaCounts;
use crate::server::{Server, ServerKey};
use crate::urgency::Urgency;

/// A model's only replica is kept for this time after its last request, in milliseconds, unless the missing replica is
/// urgent.
const MIN_IDLE: Millis = 5_000;
/// The same where requests wait for a model without a replica, or replicas are severely overloaded.
const MIN_IDLE_URGENT: Millis = 1_000;
/// Resolution at which idle times are compared, in milliseconds; within it the hash ring sequence decides.
const IDLE_RESOLUTION: Millis = 4_000;
/// Utilisation of each replica, relative to the target, from which replicas are severely overloaded: a further one may then
/// replace the only replica of a rarely requested model.
const SEVERE_OVERLOAD: f64 = 2.0;

/// The cost of evicting a replica, the cheapest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum EvictionCost {
    /// No eviction is needed.
    None,
    /// The configuration no longer names the model.
    Unconfigured,
    /// One of several replicas of a model without demand.
    IdleReplica,
    /// A replica beyond the model's target.
    SurplusReplica,
    /// The only replica of a model without demand.
    OnlyIdleReplica,
    /// The only replica of a model that was last requested [`MIN_IDLE`] ago or earlier, none of whose requests is open.
    OnlyReplica,
    /// The same for [`MIN_IDLE_URGENT`].
    OnlyRecentReplica,
    /// One of several replicas, within the model's target.
    NeededReplica,
}

/// The cost of freeing capacity on a server, compared by its fields in their order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Cost {
    /// The cost of the most expensive eviction.
    pub eviction: EvictionCost,
    /// How recently that model was requested: the longest idle is the cheapest.
    pub recency: u64,
}

impl Cost {
    /// The model fits without an eviction.
    const NONE: Cost = Cost { eviction: EvictionCost::None, recency: 0 };
    /// The evicted model is not in the configuration.
    const UNCONFIGURED: Cost = Cost { eviction: EvictionCost::Unconfigured, recency: 0 };
}

/// The maximum eviction cost for a missing replica. `utilization` is that of the model's replicas, relative to the target.
pub fn max_eviction_cost(urgency: Urgency, utilization: f64) -> EvictionCost {
    match urgency {
        Urgency::Waiting => EvictionCost::NeededReplica,
        Urgency::Overloaded if utilization >= SEVERE_OVERLOAD => EvictionCost::OnlyRecentReplica,
        Urgency::Overloaded => EvictionCost::OnlyReplica,
        Urgency::Absent => EvictionCost::SurplusReplica,
    }
}

impl PlacementContext<'_> {
    /// The cost of the evictions that make a model fit onto a server; `None` if one of them exceeds `max_cost`.
    pub fn cost_to_fit(
        &self,
        key: ServerKey,
        server: &Server,
        model: ModelId,
        max_cost: EvictionCost,
        counts: &ReplicaCounts,
    ) -> Option<Cost> {
        let mut missing_mb = self.missing_mb(server, model);
        if missing_mb <= 0.0 {
            return Some(Cost::NONE);
        }
        for (cost, victim) in self.eviction_candidates(key, server, max_cost, counts) {
            missing_mb -= server.contents.replica_mb(victim, self.models);
            if missing_mb <= 0.0 {
                return Some(cost);
            }
        }
        None
    }

    /// The first model to evict from a server for another one; `None` if all evictions within `max_cost` together would not
    /// free enough capacity.
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
        let is_enough = freed_mb >= self.missing_mb(server, model);
        candidates.first().filter(|_| is_enough).map(|(_, victim)| *victim)
    }

    /// The cheapest eviction on a server that no missing replica needs.
    pub fn cheapest_eviction(
        &self,
        key: ServerKey,
        server: &Server,
        counts: &ReplicaCounts,
    ) -> Option<(Cost, ModelId)> {
        self.eviction_candidates(key, server, EvictionCost::OnlyReplica, counts).into_iter().next()
    }

    /// The models on a server whose eviction costs at most `max_cost`, the cheapest first.
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

    /// The cost of evicting a model from a server; `None` if it must stay.
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
        } else if model.demand.open > 0 || idle_ms < MIN_IDLE_URGENT {
            return None;
        } else if idle_ms < MIN_IDLE {
            EvictionCost::OnlyRecentReplica
        } else {
            EvictionCost::OnlyReplica
        };
        Some(Cost { eviction, recency: u64::MAX - idle_ms / IDLE_RESOLUTION })
    }
}
