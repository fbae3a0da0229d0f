//! What heartbeats and reports prove about a server's contents, and what they do not.

mod common;

use common::scenario::{demand, waiting, Scenario};
use shaletrail_placement::OrderOutcome;
use shaletrail_protocol::internal::Presence;

#[test]
fn report_is_requested_when_eviction_should_have_ended() {
    let mut scenario = Scenario::new(3, &[&["m0", "m1"]]);
    scenario.report_demand(&[waiting("m2")]);
    assert_eq!(scenario.next_orders(), ["s0 evict m0 at 0"]);
    scenario.now += 20;
    scenario.complete_order(0, OrderOutcome::Accepted);
    assert_eq!(scenario.planner.next_report_requests(scenario.now), [""; 0]);
    scenario.now += 250;
    assert_eq!(scenario.planner.next_report_requests(scenario.now), ["s0"]);
    assert_eq!(scenario.planner.next_report_requests(scenario.now), [""; 0]);
    scenario.report(0, 1, true, &["m0", "m1"]);
    assert_eq!(scenario.orders_after(100), [""; 0]);
    scenario.report(0, 1, false, &["m1"]);
    scenario.report_demand(&[waiting("m2")]);
    assert_eq!(scenario.orders_after(100), ["s0 load m2 at 1"]);
}

#[test]
fn report_does_not_end_unanswered_order() {
    // given
    let mut scenario = Scenario::new(4, &[&["m0"]]);
    scenario.report_demand(&[waiting("m1")]);
    assert_eq!(scenario.next_orders(), ["s0 load m1 at 0"]);

    // when: a report arrives that may be older than the order
    scenario.report(0, 0, false, &["m0"]);

    // then
    scenario.report_demand(&[waiting("m1"), waiting("m2")]);
    assert_eq!(scenario.orders_after(500), [""; 0]);
}

#[test]
fn outdated_heartbeat_is_ignored() {
    let mut scenario = Scenario::new(3, &[&[]]);
    let late = scenario.record(0, &["m0", "m1"], Presence::Ready);
    scenario.heartbeat(0, &[]);
    scenario.planner.update_server(scenario.now, &late);
    assert!(scenario.planner.desired_servers()[0].models.is_empty());
}

#[test]
fn report_overrides_older_heartbeats() {
    let mut scenario = Scenario::new(4, &[&["m0"]]);
    scenario.report_demand(&[waiting("m1")]);
    assert_eq!(scenario.next_orders(), ["s0 load m1 at 0"]);
    scenario.complete_order(0, OrderOutcome::Accepted);
    scenario.now += 2_300;
    scenario.report(0, 1, false, &["m0", "m1"]);
    scenario.heartbeat(0, &["m0"]);
    scenario.heartbeat(0, &["m0"]);
    scenario.report_demand(&[demand("m1"), waiting("m2")]);
    assert_eq!(scenario.next_orders(), ["s0 evict m0 at 1"]);
}

#[test]
fn report_during_the_load_does_not_remove_the_model() {
    let mut scenario = Scenario::new(4, &[&["m0"]]);
    scenario.report(0, 0, false, &["m0"]);
    scenario.report_demand(&[waiting("m1")]);
    assert_eq!(scenario.next_orders(), ["s0 load m1 at 0"]);
    scenario.complete_order(0, OrderOutcome::Accepted);
    scenario.now += 2_000;
    scenario.heartbeat(0, &["m0", "m1"]);
    scenario.report(0, 1, true, &["m0"]);
    scenario.report_demand(&[demand("m1"), waiting("m2")]);
    assert_eq!(scenario.next_orders(), ["s0 evict m0 at 1"]);
}

#[test]
fn late_heartbeats_do_not_free_capacity() {
    // given: a report shows that the server has evicted a model, and the server is loading it again
    let mut scenario = Scenario::new(4, &[&["m0", "m1"]]);
    scenario.report(0, 1, false, &["m1"]);
    scenario.report_demand(&[waiting("m0")]);
    assert_eq!(scenario.next_orders(), ["s0 load m0 at 1"]);
    scenario.complete_order(0, OrderOutcome::Accepted);

    // when: one heartbeat predates the eviction, and the next one predates the end of the load
    scenario.now += 100;
    scenario.heartbeat(0, &["m0", "m1"]);
    scenario.heartbeat(0, &["m1"]);
    scenario.report_demand(&[waiting("m3")]);

    // then
    let orders = scenario.orders_after(100);
    assert!(!orders.iter().any(|order| order.starts_with("s0 load")), "{orders:?}");
}
