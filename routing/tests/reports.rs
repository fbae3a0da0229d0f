//! Reports for the coordinators, and counters.

mod common;

use common::*;
use shaletrail_configuration::Route;
use shaletrail_protocol::internal::ServerOutcomes;
use shaletrail_routing::interface::{Event, RejectReason};
use shaletrail_routing::Options;

#[test]
fn given_requests_of_all_fates_when_a_report_is_taken_then_demand_tells_them_apart() {
    let mut edge = Edge::with_servers(LLM, 1, &["m1"]);
    let served = edge.ask_sent(&route(LLM), "m1");
    edge.serve(&served);
    edge.ask_sent(&Route { priority: 0, ..route(LLM) }, "m1");
    edge.ask(&route(LLM), "m2/a1");
    edge.ask(&route(LLM), "unheard-of");
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
    // What is open or waits is told again; what arrived is not.
    let (demand, _) = edge.router.take_report(edge.now);
    let told: Vec<_> = demand.iter().map(|d| (d.model.as_str(), d.arrived, d.queued, d.in_flight)).collect();
    assert_eq!(told, vec![("m1", 0, 0, 1), ("m2", 0, 1, 0)]);
    edge.pass(edge.now + 10_000);
    let (demand, _) = edge.router.take_report(edge.now);
    let told: Vec<_> =
        demand.iter().map(|d| (d.model.as_str(), d.over_capacity, d.queued, d.in_flight)).collect();
    assert_eq!(told, vec![("m1", 1, 0, 0), ("m2", 1, 0, 0)]);
    assert_eq!(edge.router.take_report(edge.now).0, vec![]);
}

#[test]
fn given_attempts_that_ended_when_a_report_is_taken_then_it_tells_of_each_server_once() {
    let mut edge = Edge::with_servers(LLM, 1, &["m1"]);
    let served = edge.ask_sent(&route(LLM), "m1");
    edge.serve(&served);
    let bad = edge.ask_sent(&route(LLM), "m1");
    edge.end(&bad, lost());
    let expected = ServerOutcomes { server: name(0), succeeded: 1, failed: 1, unreachable: 0 };
    assert_eq!(edge.router.take_report(edge.now).1, vec![expected]);
    assert_eq!(edge.router.take_report(edge.now).1, vec![]);
}

#[test]
fn given_more_models_than_are_kept_when_they_are_asked_for_then_the_table_stays_within_its_bound() {
    let mut edge = Edge::new(Options { max_demand: 5, ..options() });
    edge.servers(vec![server(LLM, 0, &["m1"])]);
    for model in 0..30 {
        edge.ask(&route(LLM), &format!("m{model}"));
    }
    assert_eq!(edge.router.take_report(edge.now).0.len(), 5);
}

#[test]
fn given_requests_of_all_fates_when_they_are_counted_then_the_counts_add_up() {
    let mut edge = Edge::with_servers(LLM, 3, &["m1"]);
    let served = edge.ask_sent(&route(LLM), "m1");
    edge.serve(&served);
    let failing = edge.ask_sent(&route(LLM), "m1");
    edge.end(&failing, failed(500));
    let lost_one = edge.ask_sent(&route(LLM), "m1");
    edge.end(&lost_one, lost());
    let left = edge.ask_sent(&route(LLM), "m1");
    edge.handle(Event::Finished(left.request));
    edge.ask(&route(LLM), "m2");
    edge.ask_sent(&route(LLM), "m1");
    let counters = edge.router.counters();
    assert_eq!((counters.received, counters.answered, counters.passed_on), (6, 2, 1));
    assert_eq!((counters.refused(), counters.refused_for(RejectReason::MayHaveRun)), (1, 1));
    assert_eq!((counters.client_left, counters.open, counters.held), (1, 2, 1));
}
