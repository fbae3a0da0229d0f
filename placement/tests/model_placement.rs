//! Which server loads a model, and which models it evicts first.

mod common;

use common::scenario::{demand, for_adapter, ring_sequence, waiting, Scenario};
use shaletrail_placement::OrderOutcome;
use shaletrail_protocol::internal::{Demand, Presence};

#[test]
fn waiting_model_loads_on_first_server_of_its_sequence() {
    for model in ["m0", "m1", "m2", "m3"] {
        let mut scenario = Scenario::new(4, &[&[], &[], &[], &[], &[]]);
        scenario.report_demand(&[waiting(model)]);
        assert_eq!(scenario.next_orders(), [format!("{} load {model} at 0", ring_sequence(model, 5)[0])]);
        assert_eq!(scenario.orders_after(100), [""; 0]);
    }
}

#[test]
fn unknown_services_models_and_adapters_cause_no_orders() {
    let mut scenario = Scenario::new(2, &[&[], &[]]);
    let other = Demand { service: "other".into(), ..waiting("m0") };
    scenario.report_demand(&[
        other,
        waiting("m9"),
        for_adapter("a21", waiting("m1")),
        for_adapter("b", waiting("m1")),
    ]);
    assert_eq!(scenario.next_orders(), [""; 0]);
}

#[test]
fn idle_model_is_evicted_before_the_load() {
    let mut scenario = Scenario::new(3, &[&["m0", "m1"]]);
    scenario.report_demand(&[demand("m0")]);
    scenario.next_orders();
    scenario.now += 2_000;
    scenario.report_demand(&[waiting("m2")]);
    assert_eq!(scenario.next_orders(), ["s0 evict m1 at 0"]);
    scenario.complete_order(0, OrderOutcome::Accepted);
    // No further order is sent until a message shows that the eviction has ended.
    assert_eq!(scenario.orders_after(200), [""; 0]);
    scenario.heartbeat(0, &["m0"]);
    assert_eq!(scenario.orders_after(100), ["s0 load m2 at 1"]);
}

#[test]
fn longest_idle_model_is_evicted() {
    let mut scenario = Scenario::new(5, &[&["m0", "m1"], &["m2", "m3"]]);
    for model in ["m2", "m0", "m3", "m1"] {
        scenario.report_demand(&[demand(model)]);
        scenario.next_orders();
        scenario.now += 6_000;
    }
    scenario.report_demand(&[waiting("m4")]);
    assert_eq!(scenario.next_orders(), ["s1 evict m2 at 0"]);
}

#[test]
fn models_with_open_requests_are_not_evicted() {
    let mut scenario = Scenario::new(3, &[&["m0", "m1"]]);
    let open = |model| Demand { in_flight: 1, ..demand(model) };
    scenario.report_demand(&[open("m0"), open("m1"), waiting("m2")]);
    assert_eq!(scenario.next_orders(), [""; 0]);
}

#[test]
fn unconfigured_model_is_evicted_first() {
    let mut scenario = Scenario::new(3, &[&["m0", "old"]]);
    scenario.report_demand(&[waiting("m1")]);
    assert_eq!(scenario.next_orders(), ["s0 evict old at 0"]);
}

#[test]
fn model_in_demand_loads_elsewhere_if_server_leaves() {
    for presence in [Presence::Draining, Presence::TimedOut, Presence::Removed] {
        let mut scenario = Scenario::new(3, &[&["m0"], &[]]);
        scenario.report_demand(&[demand("m0")]);
        assert_eq!(scenario.next_orders(), [""; 0]);
        scenario.update_presence(0, &["m0"], presence);
        assert_eq!(scenario.orders_after(100), ["s1 load m0 at 0"]);
    }
}

#[test]
fn model_without_demand_is_not_loaded_again() {
    let mut scenario = Scenario::new(3, &[&["m0"], &[]]);
    scenario.update_presence(0, &["m0"], Presence::TimedOut);
    assert_eq!(scenario.orders_after(100), [""; 0]);
}

#[test]
fn load_from_disk_is_not_counted_as_origin_load() {
    let mut scenario = Scenario::new(3, &[&["m0"]]);
    scenario.report(0, 1, false, &[]);
    scenario.report_demand(&[waiting("m0")]);
    assert_eq!(scenario.next_orders(), ["s0 load m0 at 1"]);
    assert_eq!((scenario.planner.counters().origin_loads, scenario.planner.counters().disk_loads), (0, 1));
}
