//! Replica targets and evictions when capacity is scarce.

mod common;

use common::scenario::{catalogue, demand, waiting, Scenario};
use shaletrail_placement::{Catalogue, OrderOutcome};
use shaletrail_protocol::internal::Demand;
use shaletrail_protocol::NodeId;

/// Number of tokens in one report that raises a model's demand to eight replicas at target utilisation.
const TOKENS_FOR_EIGHT_REPLICAS: u64 = 235_000;

fn busy(model: &str, tokens: u64) -> Demand {
    Demand { arrived: 10, tokens, ..demand(model) }
}

#[test]
fn busy_model_gets_target_replicas_if_capacity_suffices() {
    let mut scenario = Scenario::new(2, &[&["m0"], &["m1"], &[], &[], &[], &[], &[], &[]]);
    scenario.report_demand(&[busy("m0", TOKENS_FOR_EIGHT_REPLICAS)]);
    scenario.next_orders();
    assert_eq!(scenario.planner.desired_replicas("m0"), 8);
}

#[test]
fn equally_busy_models_share_scarce_capacity_at_once() {
    let mut scenario = Scenario::new(2, &[&["m0"], &["m0"], &["m0"], &["m0", "m1"]]);
    scenario.report_demand(&[busy("m0", TOKENS_FOR_EIGHT_REPLICAS)]);
    scenario.next_orders();
    let alone = scenario.planner.desired_replicas("m0");
    scenario.now += 100;
    scenario.report_demand(&[busy("m0", 0), busy("m1", TOKENS_FOR_EIGHT_REPLICAS)]);
    scenario.next_orders();
    let (first, second) = (scenario.planner.desired_replicas("m0"), scenario.planner.desired_replicas("m1"));
    assert!(alone > first && second >= first, "alone {alone}, then {first} and {second}");
    // Four servers have slots for eight models.
    assert!(first + second <= 8, "{first} and {second}");
}

#[test]
fn surplus_replica_is_evicted_for_overloaded_model_at_once() {
    let mut scenario = Scenario::new(4, &[&["m0", "m2"], &["m0", "m3"], &["m0", "m1"]]);
    let open = |model| Demand { in_flight: 1, ..demand(model) };
    scenario.report_demand(&[busy("m0", 60_000), open("m2"), open("m3"), open("m1")]);
    assert_eq!(scenario.next_orders(), [""; 0]);
    scenario.now += 200;
    scenario.report_demand(&[open("m2"), open("m3"), busy("m1", 4 * TOKENS_FOR_EIGHT_REPLICAS)]);
    let orders = scenario.next_orders();
    assert!(orders.iter().any(|order| order.contains("evict m0")), "{orders:?}");
}

#[test]
fn recent_model_is_evicted_only_under_severe_overload() {
    for (tokens, is_evicted) in [(45_000, false), (TOKENS_FOR_EIGHT_REPLICAS, true)] {
        let mut scenario = Scenario::new(4, &[&["m0", "m1"], &["m2", "m3"]]);
        let open = Demand { in_flight: 1, ..demand("m1") };
        scenario.report_demand(&[demand("m2"), demand("m3"), open.clone()]);
        scenario.next_orders();
        scenario.now += 2_000;
        scenario.report_demand(&[busy("m0", tokens), open]);
        assert!(scenario.planner.desired_replicas("m0") <= 1);
        let orders = scenario.next_orders();
        assert_eq!(orders.iter().any(|order| order.starts_with("s1 evict")), is_evicted, "{orders:?}");
    }
}

#[test]
fn background_loads_leave_servers_for_urgent_ones() {
    let empty: Vec<&[&str]> = vec![&[]; 200];
    let mut scenario = Scenario::new(3, &empty);
    scenario.heartbeat(0, &["m0"]);
    scenario.planner.set_catalogue(Catalogue { load_per_s: 1_000.0, ..catalogue(3) });
    scenario.now += 1_000;
    let mut loads = 0;
    for _ in 0..30 {
        scenario.report_demand(&[busy("m0", 20 * TOKENS_FOR_EIGHT_REPLICAS)]);
        loads += scenario.orders_after(10).iter().filter(|order| order.contains("load m0")).count();
    }
    assert_eq!(loads, 64);

    scenario.report_demand(&[waiting("m1")]);
    let orders = scenario.orders_after(10);
    assert!(orders.iter().any(|order| order.contains("load m1")), "{orders:?}");
}

#[test]
fn reservation_without_waiting_requests_is_replaced_for_waiting_requests() {
    // given: a server that evicts a model to make room for a further replica of a busy model
    let mut scenario = Scenario::new(4, &[&["m0", "m1"], &["m2", "m3"]]);
    scenario.now += 6_000;
    scenario.report_demand(&[busy("m0", TOKENS_FOR_EIGHT_REPLICAS)]);
    let orders = scenario.next_orders();
    assert!(orders.iter().any(|order| order.starts_with("s1 evict")), "{orders:?}");
    scenario.complete_order(1, OrderOutcome::Accepted);
    let (evicted, remaining) = if orders[0].contains("m2") { ("m2", "m3") } else { ("m3", "m2") };
    // when: a request for the evicted model arrives before a message shows the eviction
    scenario.report_demand(&[waiting(evicted)]);
    scenario.now += 300;
    scenario.heartbeat(0, &["m0", "m1"]);
    scenario.heartbeat(1, &[remaining]);
    scenario.report(1, 1, false, &[remaining]);
    // then
    let orders = scenario.next_orders();
    assert_eq!(orders, [format!("s1 load {evicted} at 1")]);
}

#[test]
fn most_urgent_report_decides_the_priority_of_a_model() {
    // given: capacity for one more model
    let mut scenario = Scenario::new(3, &[&["m0"]]);
    let report = |edge, demand: Demand, scenario: &mut Scenario| {
        scenario.planner.record_demand(scenario.now, NodeId(edge), &[demand]);
    };
    // when: the last report for a model has the lowest priority
    report(11, Demand { priority: 0, ..waiting("m1") }, &mut scenario);
    report(12, Demand { priority: 7, ..waiting("m1") }, &mut scenario);
    report(13, Demand { priority: 3, queued: 9, ..waiting("m2") }, &mut scenario);
    // then
    assert_eq!(scenario.next_orders(), ["s0 load m1 at 0"]);
}
