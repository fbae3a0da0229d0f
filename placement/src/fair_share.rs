//! The fair share of replicas where capacity does not suffice for all models at target utilisation.
//!
//! All replicas then run at the same utilisation above the target: a model whose demand rises gets replicas that others
//! give up at once, instead of waiting until the demand of others has fallen.

/// Steps of the bisection.
const BISECTION_STEPS: usize = 16;

/// The utilisation of each replica, relative to the target, at which all replicas beyond each model's first fit into
/// `extra_slots` model slots. `demands` holds each model's demand, in replicas at target utilisation. The result is 1 where
/// there are enough slots for the target utilisation.
pub fn utilization_per_replica(demands: &[f64], extra_slots: usize) -> f64 {
    let fits = |utilization: f64| extra_replicas(demands, utilization) <= extra_slots;
    if fits(1.0) {
        return 1.0;
    }
    let greatest_demand = demands.iter().copied().fold(1.0, f64::max);
    let (mut too_low, mut high_enough) = (1.0, greatest_demand);
    for _ in 0..BISECTION_STEPS {
        let middle = (too_low + high_enough) / 2.0;
        if fits(middle) {
            high_enough = middle;
        } else {
            too_low = middle;
        }
    }
    high_enough
}

/// Number of replicas beyond each model's first where each replica runs at `utilization`.
fn extra_replicas(demands: &[f64], utilization: f64) -> usize {
    demands.iter().map(|demand| ((demand / utilization).ceil() as usize).saturating_sub(1)).sum()
}
