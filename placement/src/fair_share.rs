//! How replicas are divided among models where there is no room for as many as would be at ease.
//!
//! Each replica then bears more work than one at ease does, and all bear the same: a model whose demand rises gets
//! replicas that others give up, rather than waiting until the others' demand has fallen.

/// Halvings of the interval in which the work of one replica is sought.
const SEARCH_STEPS: usize = 16;

/// The work that each replica has to bear so that all replicas beyond each model's first fit into `room`. `loads` are
/// the models' work. Work is counted in replicas at ease: the result is 1 where there is room for all of them.
pub fn work_per_replica(loads: &[f64], room: usize) -> f64 {
    let fits = |work: f64| extra_replicas(loads, work) <= room;
    if fits(1.0) {
        return 1.0;
    }
    let most = loads.iter().copied().fold(1.0, f64::max);
    let (mut too_little, mut enough) = (1.0, most);
    for _ in 0..SEARCH_STEPS {
        let middle = (too_little + enough) / 2.0;
        if fits(middle) {
            enough = middle;
        } else {
            too_little = middle;
        }
    }
    enough
}

/// Replicas beyond each model's first, where each bears `work`.
fn extra_replicas(loads: &[f64], work: f64) -> usize {
    loads.iter().map(|load| ((load / work).ceil() as usize).saturating_sub(1)).sum()
}
