//! Orders after the lease moves to another holder.

mod common;

use common::scenario::{catalogue, ring_sequence, server_index, waiting, Scenario, AFTER_TAKEOVER};
use shaletrail_placement::{Options, Planner};
use shaletrail_protocol::Millis;

/// Time after which all orders of the previous lease holder should have ended, in milliseconds.
const MAX_ORDER_TIME: Millis = 30_000;

#[test]
fn loads_after_takeover_start_at_store_rate() {
    let planner = Planner::new("s".into(), catalogue(8), Options::default(), AFTER_TAKEOVER);
    let mut scenario = Scenario::with_planner(planner);
    let all: Vec<_> = (0..8).map(|index| waiting(&format!("m{index}"))).collect();
    (0..8).for_each(|server| scenario.heartbeat(server, &[]));
    scenario.now += 500;
    (0..8).for_each(|server| scenario.report(server, 0, false, &[]));
    scenario.report_demand(&all);
    // Two loads per second. The previous lease holder may have exhausted the budget.
    let counts = [
        scenario.next_orders(),
        scenario.orders_after(400),
        scenario.orders_after(100),
        scenario.orders_after(500),
    ]
    .map(|orders| orders.len());
    assert_eq!(counts, [1, 0, 1, 1]);
}

#[test]
fn first_order_after_takeover_waits_for_a_report() {
    let mut planner = Planner::new("s".into(), catalogue(3), Options::default(), AFTER_TAKEOVER);
    planner.set_catalogue(catalogue(3));
    let mut scenario = Scenario::with_planner(planner);
    scenario.heartbeat(0, &[]);
    scenario.report_demand(&[waiting("m0")]);
    assert_eq!(scenario.orders_after(400), [""; 0]);
    assert_eq!(scenario.planner.next_report_requests(scenario.now), [""; 0]);
    scenario.now += 100;
    assert_eq!(scenario.planner.next_report_requests(scenario.now), ["s0"]);
    scenario.report(0, 7, false, &[]);
    scenario.report_demand(&[waiting("m0")]);
    // By now the budget of loads allows a first one.
    assert_eq!(scenario.next_orders(), ["s0 load m0 at 7"]);
}

#[test]
fn heartbeats_resolve_uncertainty_after_takeover() {
    let mut scenario =
        Scenario::with_planner(Planner::new("s".into(), catalogue(3), Options::default(), AFTER_TAKEOVER));
    scenario.heartbeat(0, &[]);
    scenario.now += 8_000;
    scenario.heartbeat(0, &[]);
    assert_eq!(scenario.planner.next_report_requests(scenario.now), [""; 0]);
    scenario.report_demand(&[waiting("m0")]);
    assert_eq!(scenario.next_orders(), ["s0 load m0 at 0"]);
}

#[test]
fn load_of_previous_holder_counts_until_a_report() {
    // given: the previous lease holder's load of another model has not ended, and no heartbeat shows it
    let mut scenario = Scenario::new(4, &[&["m0"]]);
    scenario.planner.start_lease(scenario.now, Some(scenario.now));
    for _ in 0..2 {
        scenario.now += MAX_ORDER_TIME / 2;
        scenario.heartbeat(0, &["m0"]);
    }

    // when
    scenario.report_demand(&[waiting("m2")]);
    assert_eq!(scenario.next_orders(), [""; 0]);
    assert_eq!(scenario.planner.next_report_requests(scenario.now), ["s0"]);
    scenario.report(0, 4, true, &["m0"]);
    assert_eq!(scenario.orders_after(100), [""; 0]);
    scenario.report(0, 4, false, &["m0", "m1"]);

    // then
    assert_eq!(scenario.orders_after(100), ["s0 evict m0 at 4"]);
}

#[test]
fn load_moves_to_another_server_when_report_fails() {
    // given
    let mut scenario = Scenario::new(2, &[&[], &[]]);
    scenario.planner.start_lease(scenario.now, Some(scenario.now));
    scenario.now += AFTER_TAKEOVER;
    (0..2).for_each(|server| scenario.heartbeat(server, &[]));
    scenario.report_demand(&[waiting("m0")]);
    assert_eq!(scenario.next_orders(), [""; 0]);
    let sequence = ring_sequence("m0", 2);
    assert_eq!(
        scenario.planner.next_report_requests(scenario.now),
        [sequence[0].clone()],
        "only the selected server is asked for a report"
    );

    // when
    scenario.planner.report_failed(scenario.now, &sequence[0]);

    // then
    assert_eq!(scenario.orders_after(100), [""; 0]);
    assert_eq!(scenario.planner.next_report_requests(scenario.now), [sequence[1].clone()]);
    let other = server_index(&sequence[1]);
    scenario.report(other, 6, false, &[]);
    assert_eq!(scenario.orders_after(50), [format!("{} load m0 at 6", sequence[1])]);
}
