//! Lists the missing replicas, most urgent first.

use std::cmp::Reverse;

use shaletrail_protocol::Millis;

use crate::model::{Model, ModelId, ModelTable};
use crate::replicas::ReplicaCounts;
use crate::urgency::Urgency;

/// Missing replicas beyond this number wait for a later planning pass.
const MAX_MISSING_REPLICAS: usize = 16;
/// Converts the utilisation of an overloaded model into a weight in percent.
const PERCENT: f64 = 100.0;

/// A replica that should exist and is neither serving, loading nor reserved.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MissingReplica {
    /// The model to load.
    pub model: ModelId,
    /// Why the replica is missing.
    pub urgency: Urgency,
    /// Sort key among replicas of the same urgency and priority, greatest first. For [`Urgency::Overloaded`] it is the
    /// utilisation per replica in percent of the target, for [`Urgency::Waiting`] the number of waiting requests, and
    /// for [`Urgency::Absent`] a value that is greater the more recent the last request is.
    pub weight: u64,
    /// Priority of the requests, 0 for the most urgent; always 0 for an overloaded model.
    pub priority: u8,
}

impl MissingReplica {
    /// Returns the utilisation per replica, relative to the target. Meaningful only for [`Urgency::Overloaded`].
    pub fn utilization(&self) -> f64 {
        self.weight as f64 / PERCENT
    }

    /// Creates the entry for the first replica of a model that has none.
    fn first(now: Millis, id: ModelId, model: &Model) -> Self {
        let demand = &model.demand;
        let idle_s = demand.idle_ms(now) / 1_000;
        let (urgency, weight) = match demand.waiting {
            0 => (Urgency::Absent, u64::MAX - idle_s),
            waiting => (Urgency::Waiting, u64::from(waiting)),
        };
        MissingReplica { model: id, urgency, weight, priority: demand.priority }
    }

    /// Creates the entry for a further replica of a model with `replicas` replicas. The priority is ignored so that the
    /// most overloaded model comes first.
    fn further(id: ModelId, model: &Model, replicas: usize) -> Self {
        let weight = (model.target.demand / replicas as f64 * PERCENT) as u64;
        MissingReplica { model: id, urgency: Urgency::Overloaded, weight, priority: 0 }
    }
}

/// Returns the missing replicas, most urgent first. Replicas beyond each model's first may fill `extra_slots` model
/// slots, including the slots that existing replicas fill. A model has at most one replica on each of the `ready`
/// servers.
pub fn missing_replicas(
    now: Millis,
    models: &ModelTable,
    counts: &ReplicaCounts,
    ready: usize,
    extra_slots: usize,
) -> Vec<MissingReplica> {
    let mut missing = Vec::new();
    let mut filled_slots = 0;
    for (id, model) in models.configured().filter(|(_, model)| model.target.replicas > 0) {
        let replicas = counts.of(id).total();
        filled_slots += replicas.min(model.target.replicas).saturating_sub(1);
        if replicas == 0 {
            missing.push(MissingReplica::first(now, id, model));
        }
        let desired = model.target.replicas.min(ready);
        missing
            .extend((replicas.max(1)..desired).map(|replicas| MissingReplica::further(id, model, replicas)));
    }
    missing.sort_by_key(|entry| (entry.urgency, entry.priority, Reverse(entry.weight), entry.model));
    limit_extra_replicas(&mut missing, extra_slots.saturating_sub(filled_slots));
    missing.truncate(MAX_MISSING_REPLICAS);
    missing
}

/// Keeps only the first `free_slots` of those entries that are for a replica beyond a model's first.
fn limit_extra_replicas(missing: &mut Vec<MissingReplica>, mut free_slots: usize) {
    missing.retain(|entry| {
        if entry.urgency != Urgency::Overloaded {
            return true;
        }
        let fits = free_slots > 0;
        free_slots -= usize::from(fits);
        fits
    });
}
