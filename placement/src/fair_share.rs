//! The fair share of replicas when capacity is too scarce to serve all models at target utilisation.
//!
//! In that case all replicas run at the same utilisation above the target. A model whose demand rises then gets
//! replicas from other models at once, instead of waiting until demand for those falls.

/// Number of times that the interval in which the utilisation lies is halved.
const BISECTION_STEPS: usize = 16;

/// Returns the lowest utilisation per replica, relative to the target, at which all replicas beyond each model's first
/// fit into `extra_slots` model slots; 1 if the slots suffice for the target utilisation. `demands` holds each model's
/// demand, in replicas at target utilisation.
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

/// Returns the number of replicas beyond each model's first that are needed if each replica runs at `utilization`.
fn extra_replicas(demands: &[f64], utilization: f64) -> usize {
    demands.iter().map(|demand| ((demand / utilization).ceil() as usize).saturating_sub(1)).sum()
}
