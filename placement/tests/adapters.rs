//! Placement of adapters.

mod common;

use common::scenario::{catalogue, demand, for_adapter, waiting, Scenario};
use shaletrail_placement::OrderOutcome;

#[test]
fn missing_adapter_is_loaded_by_one_server_with_its_model() {
    let mut scenario = Scenario::new(3, &[&["m0"], &["m1"], &["m0"]]);
    scenario.report_demand(&[for_adapter("a3", waiting("m0"))]);
    let orders = scenario.next_orders();
    assert!(orders == ["s0 load m0/a3 at 0"] || orders == ["s2 load m0/a3 at 0"], "{orders:?}");
    let server = if orders[0].starts_with("s0") { 0 } else { 2 };
    scenario.complete_order(server, OrderOutcome::Accepted);
    scenario.report_demand(&[for_adapter("a3", demand("m0"))]);
    assert_eq!(scenario.orders_after(100), [""; 0]);
}

#[test]
fn busy_adapter_gets_further_replicas() {
    let mut scenario = Scenario::new(3, &[&["m0/a1"], &["m0"], &["m0"]]);
    for _ in 0..20 {
        scenario.report_demand(&[for_adapter("a1", demand("m0"))]);
        scenario.now += 300;
    }
    assert_eq!(scenario.next_orders().len(), 1);
}

#[test]
fn longest_idle_adapter_is_evicted_for_another() {
    let mut scenario = Scenario::new(3, &[&["m0/a1/a2", "m1/a3"]]);
    for adapter in ["a2", "a1"] {
        scenario.report_demand(&[for_adapter(adapter, demand("m0"))]);
        scenario.now += 2_000;
    }
    scenario.report_demand(&[for_adapter("a3", demand("m1"))]);
    scenario.now += 1_500;
    scenario.report_demand(&[for_adapter("a9", waiting("m0"))]);
    assert_eq!(scenario.next_orders(), ["s0 evict m0/a2 at 0"]);
    scenario.complete_order(0, OrderOutcome::Accepted);
    scenario.heartbeat(0, &["m0/a1", "m1/a3"]);
    assert_eq!(scenario.orders_after(100), ["s0 load m0/a9 at 1"]);
}

#[test]
fn adapters_count_towards_server_capacity() {
    // 140 GB of models and three adapters of 100 MB each leave too little capacity for a third model.
    let mut larger_servers = catalogue(3);
    larger_servers.weights_mb = 210_200.0;
    let mut scenario = Scenario::new(3, &[&["m0/a1/a2/a3", "m1"]]);
    scenario.planner.set_catalogue(larger_servers.clone());
    scenario.report_demand(&[waiting("m2")]);
    assert!(scenario.next_orders()[0].starts_with("s0 evict"));
    let mut scenario = Scenario::new(3, &[&["m0/a1/a2", "m1"]]);
    scenario.planner.set_catalogue(larger_servers);
    scenario.report_demand(&[waiting("m2")]);
    assert_eq!(scenario.next_orders(), ["s0 load m2 at 0"]);
}
