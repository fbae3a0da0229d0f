//! Values derived from the configuration.

mod common;

use common::scenario::catalogue;
use shaletrail_placement::{Catalogue, ModelSpec};

#[test]
fn model_slots_assume_packed_servers() {
    let model_slots = |sizes: &[f64], weights_mb: f64| {
        let spec = |weights_mb: &f64| ModelSpec { weights_mb: *weights_mb, ..ModelSpec::default() };
        let models = sizes.iter().map(spec).collect();
        Catalogue { models, weights_mb, ..Catalogue::default() }.model_slots_per_server()
    };
    assert_eq!(model_slots(&[72.7, 72.7, 72.7, 72.7], 140.0), 1.0);
    assert_eq!(model_slots(&[72.7, 65.1, 72.7, 65.1], 140.0), 2.0);
    assert_eq!(model_slots(&[72.7, 72.7, 72.7, 65.1], 140.0), 4.0 / 3.0);
    assert_eq!(model_slots(&[70.0, 70.0, 70.0], 220.0), 3.0);
    assert_eq!(model_slots(&[200.0], 140.0), 0.0);
    assert_eq!(model_slots(&[], 140.0), 0.0);
    assert_eq!(model_slots(&[0.0, f64::NAN, 70.0], 140.0), 1.0);
    assert_eq!(catalogue(0).model_slots_per_server(), 0.0);
}

#[test]
fn concurrent_loads_follow_rate_and_load_time() {
    let max_loads = |load_time_s: f64, load_per_s: f64| {
        let models = vec![ModelSpec { load_time_s, ..ModelSpec::default() }];
        Catalogue { models, load_per_s, ..Catalogue::default() }.max_concurrent_loads()
    };
    assert_eq!(
        [max_loads(2.1, 2.8), max_loads(0.6, 2.8), max_loads(0.1, 0.1), max_loads(f64::NAN, 1.0)],
        [6, 2, 2, 2]
    );
}
