//! The target number of replicas of a model.
//!
//! The target rises at once when demand rises or when requests find all replicas at their concurrency limit. It falls
//! one replica at a time, because restoring a replica costs a load. When capacity is scarce, it falls to the fair share
//! at once, because other models need the capacity.

use shaletrail_protocol::Millis;

use crate::demand::{is_within, ModelDemand};
use crate::options::Options;

/// Upward hysteresis: a replica is added only when demand exceeds the replicas by more than this fraction of a replica.
const RISE_MARGIN: f64 = 0.15;
/// Downward hysteresis: a replica is removed only when demand falls this fraction of a replica below what the remaining
/// replicas serve.
const FALL_MARGIN: f64 = 0.3;
/// Minimum time between two reductions by one replica, in milliseconds.
const STEP_DOWN_INTERVAL: Millis = 4_000;
/// Minimum time between two increases of the boost, in milliseconds, so that the first one has time to take effect.
const BOOST_INTERVAL: Millis = 2_500;
/// Age at which a report of requests over capacity no longer increases the boost, in milliseconds.
const OVER_CAPACITY_TTL: Millis = 1_000;
/// Age of the last report of requests over capacity at which the boost ends, in milliseconds.
const BOOST_TTL: Millis = 10_000;
/// Upper bound of a model's replicas without the boost.
const MAX_REPLICAS: f64 = 1024.0;

/// The target number of replicas of one model.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ReplicaTarget {
    /// The target number of replicas; 0 without demand.
    pub replicas: usize,
    /// The model's demand, in replicas at target utilisation.
    pub demand: f64,
    /// Replicas on top of those that `demand` needs, because requests found all replicas at their concurrency limit.
    boost: usize,
    boosted_at: Millis,
    lowered_at: Millis,
}

impl ReplicaTarget {
    /// Updates the target. `replica_demand` is the result of [`replica_demand`] and `serving` the number of ready
    /// replicas. `utilization_per_replica` is the utilisation at which replicas are to run, relative to the target
    /// utilisation; it exceeds 1 only when capacity is scarce.
    pub fn update(
        &mut self,
        now: Millis,
        replica_demand: Option<f64>,
        demand: &ModelDemand,
        serving: usize,
        utilization_per_replica: f64,
    ) {
        let Some(replica_demand) = replica_demand else {
            *self = ReplicaTarget { lowered_at: now, ..ReplicaTarget::default() };
            return;
        };
        self.demand = replica_demand;
        let is_capacity_scarce = utilization_per_replica > 1.0;
        if is_capacity_scarce {
            self.boost = 0;
        } else {
            self.update_boost(now, demand, serving);
        }
        let desired = replica_demand / utilization_per_replica;
        let min = whole_replicas(desired - RISE_MARGIN) + self.boost;
        let max = whole_replicas(desired + FALL_MARGIN) + self.boost;
        if min >= self.replicas {
            (self.replicas, self.lowered_at) = (min, now);
        } else if max < self.replicas && is_capacity_scarce {
            (self.replicas, self.lowered_at) = (max, now);
        } else if max < self.replicas && now.saturating_sub(self.lowered_at) >= STEP_DOWN_INTERVAL {
            (self.replicas, self.lowered_at) = (self.replicas - 1, now);
        }
    }

    /// Increases the boost while requests find all replicas at their limit, and ends it once that has not been reported
    /// for [`BOOST_TTL`].
    fn update_boost(&mut self, now: Millis, demand: &ModelDemand, serving: usize) {
        let is_over_capacity = is_within(demand.last_over_capacity, now, OVER_CAPACITY_TTL);
        let is_due = now.saturating_sub(self.boosted_at) >= BOOST_INTERVAL;
        if is_over_capacity && serving >= self.replicas && is_due {
            (self.boost, self.boosted_at) = (self.boost + 1, now);
        }
        if self.boost > 0 && !is_within(demand.last_over_capacity, now, BOOST_TTL) {
            self.boost = 0;
        }
    }
}

/// Returns the demand for a model in replicas at target utilisation: by token rate or by requests in progress,
/// whichever is more. `slots` is the concurrency limit of one server. `None` if the model was not requested recently.
pub fn replica_demand(now: Millis, demand: &ModelDemand, slots: u32, options: &Options) -> Option<f64> {
    let is_requested = demand.is_requested_within(now, options.demand_window);
    if !is_requested && demand.waiting == 0 && demand.in_progress == 0 {
        return None;
    }
    let by_tokens = demand.tokens.per_second(now) / options.target_tokens_per_replica.max(1.0);
    let target_slots = f64::from(slots.max(1)) * options.target_slot_utilization.max(0.01);
    let by_slots = f64::from(demand.in_progress) / target_slots;
    Some(by_tokens.max(by_slots))
}

fn whole_replicas(demand: f64) -> usize {
    demand.ceil().clamp(1.0, MAX_REPLICAS) as usize
}
