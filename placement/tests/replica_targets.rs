//! The target number of replicas.

mod common;

use common::scenario::{demand, waiting, Scenario};
use shaletrail_protocol::internal::Demand;

#[test]
fn replicas_rise_at_once_and_fall_slowly() {
    let mut scenario = Scenario::new(2, &[&["m0"], &[], &[], &[]]);
    scenario.report_demand(&[Demand { arrived: 15, tokens: 75_000, ..demand("m0") }]);
    assert_eq!(scenario.next_orders().len(), 2);
    assert_eq!(scenario.planner.desired_replicas("m0"), 3);
    scenario.report_demand(&[demand("m0")]);
    scenario.orders_after(4_000);
    assert_eq!(scenario.planner.desired_replicas("m0"), 2);
    scenario.orders_after(40_000);
    assert_eq!(scenario.planner.desired_replicas("m0"), 0);
}

#[test]
fn over_capacity_adds_one_replica_at_a_time() {
    let mut scenario = Scenario::new(2, &[&["m0"], &[], &[]]);
    let over_capacity_report = || [Demand { over_capacity: 3, ..demand("m0") }];
    scenario.report_demand(&over_capacity_report());
    assert_eq!(scenario.next_orders().len(), 1);
    scenario.report_demand(&over_capacity_report());
    assert_eq!(scenario.orders_after(3_000), [""; 0]);
    assert_eq!(scenario.planner.desired_replicas("m0"), 2);
}

#[test]
fn open_requests_above_target_add_a_replica() {
    let mut scenario = Scenario::new(2, &[&["m0"], &[]]);
    scenario.report_demand(&[Demand { in_flight: 40, ..demand("m0") }]);
    assert_eq!(scenario.next_orders(), ["s1 load m0 at 0"]);
}

#[test]
fn waiting_requests_of_silent_source_expire() {
    let mut scenario = Scenario::new(2, &[]);
    scenario.report_demand(&[waiting("m0")]);
    scenario.next_orders();
    scenario.now += 31_000;
    scenario.next_orders();
    scenario.heartbeat(0, &[]);
    assert_eq!(scenario.next_orders(), [""; 0]);
}
