//! Reports to the coordinators, and request counters.

mod common;

use common::*;
use shaletrail_configuration::Route;
use shaletrail_protocol::internal::ServerOutcomes;
use shaletrail_routing::interface::{Event, RejectReason};
use shaletrail_routing::Options;

#[test]
fn report_separates_demand_by_outcome() {
    let mut edge = TestEdge::with_servers(LLM, 1, &["m1"]);
    let served = edge.send_request(&route(LLM), "m1");
    edge.serve(&served);
    edge.send_request(&Route { priority: 0, ..route(LLM) }, "m1");
    edge.request(&route(LLM), "m2/a1");
    edge.request(&route(LLM), "unheard-of");
    let (demand, _) = edge.router.take_report(edge.now);
    insta::assert_debug_snapshot!(demand, @r#"
    [
        Demand {
            service: "llm",
            model: "m1",
            adapter: None,
            arrived: 2,
            tokens: 400,
            priority: 0,
            queued: 0,
            over_capacity: 0,
            in_flight: 1,
        },
        Demand {
            service: "llm",
            model: "m2",
            adapter: Some(
                "a1",
            ),
            arrived: 1,
            tokens: 200,
            priority: 1,
            queued: 1,
            over_capacity: 0,
            in_flight: 0,
        },
    ]
    "#);
    // Counts are reset by a report; gauges are reported again.
    let (demand, _) = edge.router.take_report(edge.now);
    let reported: Vec<_> =
        demand.iter().map(|d| (d.model.as_str(), d.arrived, d.queued, d.in_flight)).collect();
    assert_eq!(reported, vec![("m1", 0, 0, 1), ("m2", 0, 1, 0)]);
    edge.advance_to(edge.now + 10_000);
    let (demand, _) = edge.router.take_report(edge.now);
    let reported: Vec<_> =
        demand.iter().map(|d| (d.model.as_str(), d.over_capacity, d.queued, d.in_flight)).collect();
    assert_eq!(reported, vec![("m1", 1, 0, 0), ("m2", 1, 0, 0)]);
    assert_eq!(edge.router.take_report(edge.now).0, vec![]);
}

#[test]
fn server_outcomes_are_reported_once() {
    let mut edge = TestEdge::with_servers(LLM, 1, &["m1"]);
    let served = edge.send_request(&route(LLM), "m1");
    edge.serve(&served);
    let failing = edge.send_request(&route(LLM), "m1");
    edge.end_attempt(&failing, connection_lost());
    let expected = ServerOutcomes { server: server_id(0), succeeded: 1, failed: 1, unreachable: 0 };
    assert_eq!(edge.router.take_report(edge.now).1, vec![expected]);
    assert_eq!(edge.router.take_report(edge.now).1, vec![]);
}

#[test]
fn demand_table_is_bounded() {
    let mut edge = TestEdge::new(Options { max_demand_entries: 5, ..options() });
    edge.update_servers(vec![server(LLM, 0, &["m1"])]);
    for model in 0..30 {
        edge.request(&route(LLM), &format!("m{model}"));
    }
    assert_eq!(edge.router.take_report(edge.now).0.len(), 5);
}

#[test]
fn counters_add_up() {
    let mut edge = TestEdge::with_servers(LLM, 3, &["m1"]);
    let served = edge.send_request(&route(LLM), "m1");
    edge.serve(&served);
    let failing = edge.send_request(&route(LLM), "m1");
    edge.end_attempt(&failing, failed(500));
    let disconnected = edge.send_request(&route(LLM), "m1");
    edge.end_attempt(&disconnected, connection_lost());
    let abandoned = edge.send_request(&route(LLM), "m1");
    edge.handle(Event::RequestFinished(abandoned.request));
    edge.request(&route(LLM), "m2");
    edge.send_request(&route(LLM), "m1");
    let counters = edge.router.counters();
    assert_eq!((counters.received, counters.completed, counters.forwarded_failures), (6, 2, 1));
    assert_eq!((counters.rejected(), counters.rejected_for(RejectReason::MayHaveRun)), (1, 1));
    assert_eq!((counters.client_left, counters.open, counters.queued), (1, 2, 1));
}
