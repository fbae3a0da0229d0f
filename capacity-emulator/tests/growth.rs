//! What a node sends and receives grows no faster with the fleet than `docs/CAPACITY.md` states. Checks counts, never
//! times.

mod common;

use std::sync::OnceLock;

use common::small;
use shaletrail_capacity_emulator::growth::{growth_exponent, stated_exponents, GrowthExponents, Metric};
use shaletrail_capacity_emulator::measurement::{self, Measurement};
use strum::IntoEnumIterator;

/// By how much a measured exponent may exceed the stated one: small fleets have constant parts and random variation.
const SLACK: f64 = 0.15;
/// The ratio of the larger sizes to the smallest.
const SIZE_RATIO: f64 = 4.0;

fn smallest() -> &'static Measurement {
    static RUN: OnceLock<Measurement> = OnceLock::new();
    RUN.get_or_init(|| measurement::run(small(30, 60), None))
}

fn assert_growth_within_stated(larger: &Measurement, exponent: impl Fn(GrowthExponents) -> f64) {
    assert!(!smallest().timed_out && !larger.timed_out);
    let mut exceeded = Vec::new();
    for (metric, stated) in Metric::iter().filter_map(|metric| Some((metric, stated_exponents(metric)?))) {
        let values = (metric.of(smallest()), metric.of(larger));
        let (Some(smaller_value), Some(larger_value)) = values else { panic!("{metric} is not measured") };
        let allowed = exponent(stated) + SLACK;
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
    assert_growth_within_stated(&measurement::run(small(120, 60), None), |stated| stated.with_edges);
}

#[test]
fn metrics_grow_with_servers_as_stated() {
    assert_growth_within_stated(&measurement::run(small(30, 240), None), |stated| stated.with_servers);
}

#[test]
fn metrics_grow_with_edges_and_servers_as_stated() {
    assert_growth_within_stated(&measurement::run(small(120, 240), None), |stated| stated.with_both);
}

#[test]
fn growth_exponent_of_two_sizes() {
    assert_eq!(growth_exponent((1.0, 2.0), (10.0, 20.0)), Some(1.0));
    assert_eq!(growth_exponent((1.0, 2.0), (10.0, 40.0)), Some(2.0));
    assert_eq!(growth_exponent((1.0, 2.0), (10.0, 10.0)), Some(0.0));
    assert_eq!(growth_exponent((2.0, 1.0), (10.0, 20.0)), None);
    assert_eq!(growth_exponent((1.0, 2.0), (0.0, 20.0)), None);
}
