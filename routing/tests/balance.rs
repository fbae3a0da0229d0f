//! The server that a request goes to.

mod common;

use common::*;
use shaletrail_configuration::{Route, WeightedService};
use shaletrail_protocol::internal::Presence;
use shaletrail_ring::Key;
use shaletrail_routing::interface::{Ending, Event, RejectReason, Verdict};
use shaletrail_routing::Options;

#[test]
fn given_ready_holders_when_a_request_comes_then_it_goes_to_the_owner_of_its_home_slot() {
    let models: Vec<String> = (0..40).map(|number| format!("m{number}")).collect();
    let held: Vec<&str> = models.iter().map(String::as_str).collect();
    let mut edge = Edge::with_servers(LLM, 8, &held);
    for model in &models {
        let sent = edge.ask_sent(&route(LLM), model);
        assert_eq!(sent.server, sequence(Key::of(model), 8)[0], "{model}");
        edge.serve(&sent);
    }
}

#[test]
fn given_an_adapter_when_a_request_for_it_comes_then_its_key_is_that_of_model_and_adapter() {
    let mut edge = Edge::with_servers(LLM, 8, &["m0/a1/a2"]);
    let sent = edge.ask_sent(&route(LLM), "m0/a2");
    assert_eq!(sent.server, sequence(Key::of_parts(&["m0", "a2"]), 8)[0]);
}

#[test]
fn given_a_service_without_models_when_requests_come_then_their_path_is_the_key() {
    let mut edge = Edge::with_servers(WEB, 5, &[]);
    for path in 0..20 {
        let mut request = edge.new_request(&route(WEB), "ignored");
        request.path_hash = path;
        let sent = sent(&edge.handle(Event::Request(request))).expect("sent");
        assert_eq!(sent.server, sequence(Key(path), 5)[0]);
        edge.serve(&sent);
    }
}

#[test]
fn given_that_the_home_lacks_the_model_when_a_request_comes_then_the_next_owner_that_holds_it_is_taken() {
    let order = sequence(Key::of("m3"), 6);
    let mut edge = Edge::new(options());
    let holds = |number: u32| order[2..].contains(&name(number));
    edge.servers((0..6).map(|n| server(LLM, n, if holds(n) { &["m3"] } else { &["m4"] })).collect());
    assert_eq!(edge.ask_sent(&route(LLM), "m3").server, order[2]);
}

#[test]
fn given_a_home_at_its_cap_when_more_come_then_they_follow_the_rehash_and_the_cap_holds() {
    let options = Options { epsilon: 0.3, min_cap: 4, ..options() };
    let mut edge = Edge::new(options);
    edge.servers((0..4).map(|n| server(LLM, n, &["m1"])).collect());
    let order = sequence(Key::of("m1"), 4);
    let mut open = std::collections::BTreeMap::<String, u32>::new();
    for number in 1..=40_u32 {
        let sent = edge.ask_sent(&route(LLM), "m1");
        let cap = (1.3 * f64::from(number) / 4.0).ceil().max(4.0) as u32;
        let expected = order.iter().find(|id| open.get(*id).copied().unwrap_or(0) < cap).expect("one below");
        assert_eq!(&sent.server, expected, "request {number}");
        *open.entry(sent.server).or_default() += 1;
    }
    assert!(open.values().all(|count| *count <= 13), "{open:?}");
}

#[test]
fn given_servers_not_ready_when_a_request_comes_then_they_count_neither_as_homes_nor_for_the_cap() {
    let mut edge = Edge::with_servers(LLM, 4, &["m1"]);
    for number in 1..4 {
        edge.servers(vec![with_presence(server(LLM, number, &["m1"]), Presence::Draining)]);
    }
    for _ in 0..30 {
        assert_eq!(edge.ask_sent(&route(LLM), "m1").server, name(0));
    }
}

#[test]
fn given_a_home_that_told_that_its_slots_are_taken_when_a_request_comes_then_one_with_free_slots_is_taken() {
    let mut edge = Edge::with_servers(LLM, 4, &["m1"]);
    let order = sequence(Key::of("m1"), 4);
    let first = edge.ask_sent(&route(LLM), "m1");
    edge.handle(Event::Head(first.request, first.attempt, Some(load(64, 0, 64))));
    assert_eq!(edge.ask_sent(&route(LLM), "m1").server, order[1]);
    // What it told is out of date before long.
    edge.pass(edge.now + 1001);
    assert_eq!(edge.ask_sent(&route(LLM), "m1").server, order[0]);
}

#[test]
fn given_every_slot_taken_when_a_request_comes_then_it_waits_at_the_least_loaded_server() {
    let mut edge = Edge::with_servers(LLM, 3, &["m1"]);
    for (number, running) in [(0, 70), (1, 66), (2, 69)] {
        tell_load(&mut edge, number, 64, running - 64);
    }
    assert_eq!(edge.ask_sent(&route(LLM), "m1").server, name(1));
}

#[test]
fn given_every_server_known_to_be_full_when_a_request_comes_then_it_is_sent_to_none() {
    let mut edge = Edge::with_servers(LLM, 3, &["m1"]);
    (0..3).for_each(|number| tell_load(&mut edge, number, 64, 40));
    let (_, actions) = edge.ask(&route(LLM), "m1");
    assert_eq!(actions, vec![]);
    assert_eq!(edge.router.counters().queued, 1);
}

#[test]
fn given_a_known_number_of_edges_when_connections_are_shared_then_no_edge_takes_more_than_its_part() {
    let mut edge = Edge::with_servers(WEB, 1, &[]);
    edge.handle(Event::Edges(24));
    for _ in 0..4 {
        edge.ask_sent(&route(WEB), "");
    }
    let (_, actions) = edge.ask(&route(WEB), "");
    assert_eq!(sent(&actions), None);
}

fn ninety_to_ten() -> Vec<WeightedService> {
    let part = |service: &str, weight| WeightedService { service: service.to_owned(), weight };
    vec![part(LLM, 90.0), part(WEB, 10.0)]
}

#[test]
fn given_a_split_when_requests_come_then_services_get_them_by_weight() {
    let mut edge = Edge::with_servers(LLM, 2, &["m1"]);
    edge.servers((10..12).map(|n| server(WEB, n, &[])).collect());
    let split = Route { traffic_split: ninety_to_ten(), ..route(LLM) };
    let mut web = 0;
    for _ in 0..1000 {
        let sent = edge.ask_sent(&split, "m1");
        web += u32::from([name(10), name(11)].contains(&sent.server));
        edge.serve(&sent);
    }
    assert!((70..=130).contains(&web), "{web} of 1000");
}

#[test]
fn given_a_split_when_a_target_has_no_ready_server_then_the_other_takes_all() {
    let mut edge = Edge::with_servers(WEB, 2, &[]);
    let split = Route { traffic_split: ninety_to_ten(), ..route(LLM) };
    for _ in 0..50 {
        let sent = edge.ask_sent(&split, "m1");
        edge.serve(&sent);
    }
}

#[test]
fn given_a_route_to_a_service_without_servers_when_a_request_comes_then_no_other_service_takes_it() {
    let mut edge = Edge::with_servers(WEB, 2, &[]);
    let (_, actions) = edge.ask(&route(LLM), "m1");
    assert_eq!(actions, vec![]);
    let (_, actions) = edge.ask(&route("nowhere"), "m1");
    assert_rejected(&actions, 503, RejectReason::NoServer);
}

#[test]
fn given_a_request_when_it_is_sent_then_it_carries_rank_and_what_is_left_of_its_time() {
    let mut edge = Edge::with_servers(LLM, 1, &["m1"]);
    let mut request = edge.new_request(&Route { priority: 12, ..route(LLM) }, "m1");
    request.deadline_ms = 700;
    let sent = sent(&edge.handle(Event::Request(request))).expect("sent");
    assert_eq!((sent.priority, sent.deadline_ms, sent.resume_after), (9, 695, None));
}

/// A server tells its load: in an answer to a request that goes nowhere else, as others drain meanwhile.
fn tell_load(edge: &mut Edge, number: u32, running: u32, waiting: u32) {
    let only = format!("m{}", 30 + number);
    let mut record = server(LLM, number, &["m1", &only]);
    record.heartbeat.sequence = 2;
    edge.servers(vec![record]);
    let sent = edge.ask_sent(&route(LLM), &only);
    assert_eq!(sent.server, name(number));
    let mut served = outcome(Verdict::HasRun, Ending::Served);
    // The answer's own request ends with it.
    served.load = Some(load(running + 1, waiting, 64));
    edge.end(&sent, served);
}
