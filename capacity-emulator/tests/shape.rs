//! The shape of docs/CAPACITY.md: what a node sends and takes grows no faster with the fleet than that page states.
//! Counts only, never time.

mod common;

use std::sync::OnceLock;

use common::small;
use shaletrail_capacity_emulator::growth::{power, stated, Figure, Grows};
use shaletrail_capacity_emulator::measure::{self, Measurement};
use strum::IntoEnumIterator;

/// Figures at small sizes have parts that don't grow, and luck: a power may be over what is stated by so much.
const SLACK: f64 = 0.15;
/// By how much the larger fleets are larger.
const TIMES: f64 = 4.0;

fn smallest() -> &'static Measurement {
    static RUN: OnceLock<Measurement> = OnceLock::new();
    RUN.get_or_init(|| measure::run(small(30, 60), None))
}

fn check(larger: &Measurement, limit: impl Fn(Grows) -> f64) {
    assert!(!smallest().given_up && !larger.given_up);
    let mut broken = Vec::new();
    for (figure, grows) in Figure::iter().filter_map(|figure| Some((figure, stated(figure)?))) {
        let values = (figure.of(smallest()), figure.of(larger));
        let (Some(less), Some(more)) = values else { panic!("{figure} is not counted") };
        let allowed = limit(grows) + SLACK;
        let grown = power((1.0, TIMES), (less, more));
        if grown.is_some_and(|grown| grown > allowed) {
            broken.push(format!("{figure}: {less:.1} to {more:.1}, power {grown:.2?} over {allowed:.2}"));
        }
    }
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}

#[test]
fn given_four_times_the_edges_when_all_is_steady_then_figures_grow_no_faster_than_stated() {
    check(&measure::run(small(120, 60), None), |grows| grows.with_edges);
}

#[test]
fn given_four_times_the_servers_when_all_is_steady_then_figures_grow_no_faster_than_stated() {
    check(&measure::run(small(30, 240), None), |grows| grows.with_servers);
}

#[test]
fn given_four_times_both_when_all_is_steady_then_figures_grow_no_faster_than_stated() {
    check(&measure::run(small(120, 240), None), |grows| grows.with_both);
}

#[test]
fn given_figures_at_two_sizes_when_their_power_is_asked_for_then_it_is_the_exponent_of_their_growth() {
    assert_eq!(power((1.0, 2.0), (10.0, 20.0)), Some(1.0));
    assert_eq!(power((1.0, 2.0), (10.0, 40.0)), Some(2.0));
    assert_eq!(power((1.0, 2.0), (10.0, 10.0)), Some(0.0));
    assert_eq!(power((2.0, 1.0), (10.0, 20.0)), None);
    assert_eq!(power((1.0, 2.0), (0.0, 20.0)), None);
}
