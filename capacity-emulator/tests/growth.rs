//! Tests that the traffic of a node grows no faster with the fleet size than `docs/CAPACITY.md` states. Only counts are
//! checked, never times.

mod common;

use std::sync::OnceLock;

use common::small_fleet_options;
use shaletrail_capacity_emulator::growth::{growth_exponent, stated_exponents, GrowthExponents, Metric};
use shaletrail_capacity_emulator::measurement::{self, Measurement};
use strum::IntoEnumIterator;

/// How far a measured exponent may exceed the stated one. Small fleets have constant costs and random variation.
const EXPONENT_TOLERANCE: f64 = 0.15;
/// The ratio of the larger sizes to the smallest one.
const SIZE_RATIO: f64 = 4.0;

fn smallest_fleet_measurement() -> &'static Measurement {
    static RUN: OnceLock<Measurement> = OnceLock::new();
    RUN.get_or_init(|| measurement::run(small_fleet_options(30, 60), None))
}

fn assert_growth_within_stated(larger: &Measurement, exponent: impl Fn(GrowthExponents) -> f64) {
    assert!(!smallest_fleet_measurement().timed_out && !larger.timed_out);
    let mut exceeded = Vec::new();
    for (metric, stated) in Metric::iter().filter_map(|metric| Some((metric, stated_exponents(metric)?))) {
        let values = (metric.value_in(smallest_fleet_measurement()), metric.value_in(larger));
        let (Some(smaller_value), Some(larger_value)) = values else { panic!("{metric} is not measured") };
        let allowed = exponent(stated) + EXPONENT_TOLERANCE;
        let measured = growth_exponent((1.0, SIZE_RATIO), (smaller_value, larger_value));
        if measured.is_some_and(|measured| measured > allowed) {
            exceeded.push(format!(
                "{metric}: {smaller_value:.1} to {larger_value:.1}, \
                 exponent {measured:.2?} over {allowed:.2}"
            ));
        }
    }
    assert!(exceeded.is_empty(), "{}", exceeded.join("\n"));
}

#[test]
fn metrics_grow_with_edges_as_stated() {
    assert_growth_within_stated(&measurement::run(small_fleet_options(120, 60), None), |stated| {
        stated.with_edges
    });
}

#[test]
fn metrics_grow_with_servers_as_stated() {
    assert_growth_within_stated(&measurement::run(small_fleet_options(30, 240), None), |stated| {
        stated.with_servers
    });
}

#[test]
fn metrics_grow_with_edges_and_servers_as_stated() {
    assert_growth_within_stated(&measurement::run(small_fleet_options(120, 240), None), |stated| {
        stated.with_both
    });
}

#[test]
fn growth_exponent_of_two_sizes() {
    assert_eq!(growth_exponent((1.0, 2.0), (10.0, 20.0)), Some(1.0));
    assert_eq!(growth_exponent((1.0, 2.0), (10.0, 40.0)), Some(2.0));
    assert_eq!(growth_exponent((1.0, 2.0), (10.0, 10.0)), Some(0.0));
    assert_eq!(growth_exponent((2.0, 1.0), (10.0, 20.0)), None);
    assert_eq!(growth_exponent((1.0, 2.0), (0.0, 20.0)), None);
}
