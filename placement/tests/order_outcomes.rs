//! What the planner does after each outcome of an order.

mod common;

use common::scenario::{demand, id, ring_sequence, server_index, waiting, Scenario};
use shaletrail_placement::OrderOutcome;
use shaletrail_protocol::Millis;

/// Time after which any order should have ended, in milliseconds.
const MAX_ORDER_TIME: Millis = 30_000;

#[test]
fn only_a_late_enough_report_resolves_unanswered_order() {
    let mut scenario = Scenario::new(4, &[&["m0"]]);
    scenario.report_demand(&[waiting("m1")]);
    assert_eq!(scenario.next_orders(), ["s0 load m1 at 0"]);
    scenario.now += 1_000;
    scenario.complete_order(0, OrderOutcome::Unknown);
    scenario.report_demand(&[waiting("m1"), waiting("m2")]);
    assert_eq!(scenario.orders_after(100), [""; 0]);
    // A heartbeat or a report that may be older than the order does not resolve the uncertainty.
    scenario.heartbeat(0, &["m0"]);
    scenario.report(0, 0, false, &["m0"]);
    assert_eq!(scenario.orders_after(100), [""; 0]);
    assert_eq!(scenario.planner.next_report_requests(scenario.now), [""; 0]);
    scenario.now += 800;
    assert_eq!(scenario.planner.next_report_requests(scenario.now), ["s0"]);
    scenario.report(0, 5, false, &["m0", "m1"]);
    scenario.report_demand(&[demand("m1"), waiting("m2")]);
    // The report shows that the order was accepted, and gives the revision.
    assert_eq!(scenario.next_orders(), ["s0 evict m0 at 5"]);
}

#[test]
fn unanswered_order_is_repeated_if_a_report_lacks_it() {
    let mut scenario = Scenario::new(4, &[&["m0"]]);
    scenario.report_demand(&[waiting("m1")]);
    assert_eq!(scenario.next_orders(), ["s0 load m1 at 0"]);
    scenario.complete_order(0, OrderOutcome::Unknown);
    scenario.now += 2_100;
    scenario.report(0, 3, false, &["m0"]);
    scenario.report_demand(&[waiting("m1")]);
    assert_eq!(scenario.next_orders(), ["s0 load m1 at 3"]);
}

#[test]
fn unanswered_load_is_not_ordered_twice() {
    let mut scenario = Scenario::new(4, &[&[], &[], &[]]);
    scenario.report_demand(&[waiting("m1")]);
    let first = scenario.next_orders();
    let server = (0..3).find(|server| first[0].starts_with(&id(*server))).unwrap();
    scenario.complete_order(server, OrderOutcome::Unknown);
    scenario.report_demand(&[waiting("m1")]);
    assert_eq!(scenario.orders_after(1_000), [""; 0]);
    scenario.now += 1_100;
    scenario.report(server, 0, false, &[]);
    assert_eq!(scenario.next_orders().len(), 1);
}

#[test]
fn busy_server_reports_before_its_next_order() {
    let mut scenario = Scenario::new(4, &[&[]]);
    scenario.report_demand(&[waiting("m1")]);
    assert_eq!(scenario.next_orders(), ["s0 load m1 at 0"]);
    scenario.complete_order(0, OrderOutcome::Busy);
    assert_eq!(scenario.orders_after(100), [""; 0]);
    scenario.now += 500;
    assert_eq!(scenario.planner.next_report_requests(scenario.now), ["s0"]);
    scenario.report(0, 1, true, &[]);
    scenario.report_demand(&[waiting("m1")]);
    assert_eq!(scenario.orders_after(100), [""; 0]);
    scenario.report(0, 1, false, &["m1"]);
    assert_eq!(scenario.orders_after(100), [""; 0]);
    assert_eq!(scenario.planner.desired_servers()[0].models, ["m1"]);
}

#[test]
fn load_avoids_uncertain_server() {
    let mut scenario = Scenario::new(2, &[&[], &[]]);
    let sequence = ring_sequence("m0", 2);
    scenario.report_demand(&[waiting("m0")]);
    assert_eq!(scenario.next_orders(), [format!("{} load m0 at 0", sequence[0])]);
    let first = server_index(&sequence[0]);
    scenario.complete_order(first, OrderOutcome::Busy);
    assert_eq!(scenario.orders_after(100), [format!("{} load m0 at 0", sequence[1])]);
}

#[test]
fn load_moves_if_connection_is_refused() {
    let mut scenario = Scenario::new(2, &[&[], &[]]);
    let sequence = ring_sequence("m0", 2);
    scenario.report_demand(&[waiting("m0")]);
    assert_eq!(scenario.next_orders(), [format!("{} load m0 at 0", sequence[0])]);
    let first = server_index(&sequence[0]);
    scenario.complete_order(first, OrderOutcome::NotSent);
    assert_eq!(scenario.orders_after(100), [format!("{} load m0 at 0", sequence[1])]);
}

#[test]
fn models_move_if_another_server_has_the_address() {
    let mut scenario = Scenario::new(3, &[&["m0"], &["m1"]]);
    scenario.report_demand(&[demand("m0"), waiting("m2")]);
    let ordered = scenario.next_orders();
    let replaced = if ordered == ["s0 load m2 at 0"] { 0 } else { 1 };
    scenario.complete_order(replaced, OrderOutcome::WrongInstance);
    scenario.report_demand(&[waiting("m0"), demand("m1"), waiting("m2")]);
    let other = 1 - replaced;
    assert_eq!(
        scenario.orders_after(100),
        [format!("s{other} load {} at 0", if replaced == 0 { "m0" } else { "m2" })]
    );
    assert!(scenario.planner.desired_servers().iter().all(|server| server.server != id(replaced)));
}

#[test]
fn order_after_a_conflict_requires_reported_revision() {
    // given: the server has accepted an order that the planner does not know
    let mut scenario = Scenario::new(4, &[&["m0"]]);
    scenario.report_demand(&[waiting("m2")]);
    assert_eq!(scenario.next_orders(), ["s0 load m2 at 0"]);
    scenario.complete_order(0, OrderOutcome::Busy);

    // when
    for _ in 0..2 {
        scenario.now += MAX_ORDER_TIME;
        scenario.heartbeat(0, &["m0"]);
    }
    scenario.report_demand(&[waiting("m2")]);

    // then
    assert_eq!(scenario.orders_after(100), [""; 0]);
    scenario.report(0, 1, false, &["m0", "m1"]);
    assert_eq!(scenario.orders_after(100), ["s0 evict m0 at 1"]);
}
