//! Selection of the server for a request.

mod common;

use common::*;
use shaletrail_configuration::{Route, WeightedService};
use shaletrail_protocol::internal::Presence;
use shaletrail_ring::Key;
use shaletrail_routing::interface::{Ending, Event, RejectReason, Verdict};
use shaletrail_routing::Options;

#[test]
fn request_goes_to_owner_of_home_slot() {
    let models: Vec<String> = (0..40).map(|number| format!("m{number}")).collect();
    let loaded: Vec<&str> = models.iter().map(String::as_str).collect();
    let mut edge = TestEdge::with_servers(LLM, 8, &loaded);
    for model in &models {
        let sent = edge.send_request(&route(LLM), model);
        assert_eq!(sent.server, server_sequence(Key::of(model), 8)[0], "{model}");
        edge.serve(&sent);
    }
}

#[test]
fn key_covers_model_and_adapter() {
    let mut edge = TestEdge::with_servers(LLM, 8, &["m0/a1/a2"]);
    let sent = edge.send_request(&route(LLM), "m0/a2");
    assert_eq!(sent.server, server_sequence(Key::of_parts(&["m0", "a2"]), 8)[0]);
}

#[test]
fn path_is_key_without_models() {
    let mut edge = TestEdge::with_servers(WEB, 5, &[]);
    for path in 0..20 {
        let mut request = edge.new_request(&route(WEB), "ignored");
        request.path_hash = path;
        let sent = first_sent(&edge.handle(Event::Request(request))).expect("sent");
        assert_eq!(sent.server, server_sequence(Key(path), 5)[0]);
        edge.serve(&sent);
    }
}

#[test]
fn next_owner_with_model_replaces_home() {
    let order = server_sequence(Key::of("m3"), 6);
    let mut edge = TestEdge::new(options());
    let has_model = |number: u32| order[2..].contains(&server_id(number));
    edge.update_servers(
        (0..6).map(|n| server(LLM, n, if has_model(n) { &["m3"] } else { &["m4"] })).collect(),
    );
    assert_eq!(edge.send_request(&route(LLM), "m3").server, order[2]);
}

#[test]
fn overflow_follows_rehash_below_cap() {
    let options = Options { load_cap_epsilon: 0.3, min_cap: 4, ..options() };
    let mut edge = TestEdge::new(options);
    edge.update_servers((0..4).map(|n| server(LLM, n, &["m1"])).collect());
    let order = server_sequence(Key::of("m1"), 4);
    let mut open = std::collections::BTreeMap::<String, u32>::new();
    for number in 1..=40_u32 {
        let sent = edge.send_request(&route(LLM), "m1");
        let cap = (1.3 * f64::from(number) / 4.0).ceil().max(4.0) as u32;
        let expected = order
            .iter()
            .find(|id| open.get(*id).copied().unwrap_or(0) < cap)
            .expect("a server below the cap");
        assert_eq!(&sent.server, expected, "request {number}");
        *open.entry(sent.server).or_default() += 1;
    }
    assert!(open.values().all(|count| *count <= 13), "{open:?}");
}

#[test]
fn unready_servers_count_neither_as_home_nor_for_cap() {
    let mut edge = TestEdge::with_servers(LLM, 4, &["m1"]);
    for number in 1..4 {
        edge.update_servers(vec![with_presence(server(LLM, number, &["m1"]), Presence::Draining)]);
    }
    for _ in 0..30 {
        assert_eq!(edge.send_request(&route(LLM), "m1").server, server_id(0));
    }
}

#[test]
fn reported_full_home_is_skipped_until_report_expires() {
    let mut edge = TestEdge::with_servers(LLM, 4, &["m1"]);
    let order = server_sequence(Key::of("m1"), 4);
    let first = edge.send_request(&route(LLM), "m1");
    edge.handle(Event::ResponseHead(first.request, first.attempt, Some(server_load(64, 0, 64))));
    assert_eq!(edge.send_request(&route(LLM), "m1").server, order[1]);
    // The reported load has expired by then.
    edge.advance_to(edge.now + 1001);
    assert_eq!(edge.send_request(&route(LLM), "m1").server, order[0]);
}

#[test]
fn request_queues_at_least_loaded_server() {
    let mut edge = TestEdge::with_servers(LLM, 3, &["m1"]);
    for (number, running) in [(0, 70), (1, 66), (2, 69)] {
        report_load(&mut edge, number, 64, running - 64);
    }
    assert_eq!(edge.send_request(&route(LLM), "m1").server, server_id(1));
}

#[test]
fn request_waits_at_edge_while_all_servers_full() {
    let mut edge = TestEdge::with_servers(LLM, 3, &["m1"]);
    (0..3).for_each(|number| report_load(&mut edge, number, 64, 40));
    let (_, actions) = edge.request(&route(LLM), "m1");
    assert_eq!(actions, vec![]);
    assert_eq!(edge.router.counters().queued, 1);
}

#[test]
fn connections_per_edge_are_bounded() {
    let mut edge = TestEdge::with_servers(WEB, 1, &[]);
    edge.handle(Event::EdgeCountUpdated(24));
    for _ in 0..4 {
        edge.send_request(&route(WEB), "");
    }
    let (_, actions) = edge.request(&route(WEB), "");
    assert_eq!(first_sent(&actions), None);
}

fn split_90_to_10() -> Vec<WeightedService> {
    let part = |service: &str, weight| WeightedService { service: service.to_owned(), weight };
    vec![part(LLM, 90.0), part(WEB, 10.0)]
}

#[test]
fn traffic_split_follows_weights() {
    let mut edge = TestEdge::with_servers(LLM, 2, &["m1"]);
    edge.update_servers((10..12).map(|n| server(WEB, n, &[])).collect());
    let split = Route { traffic_split: split_90_to_10(), ..route(LLM) };
    let mut web = 0;
    for _ in 0..1000 {
        let sent = edge.send_request(&split, "m1");
        web += u32::from([server_id(10), server_id(11)].contains(&sent.server));
        edge.serve(&sent);
    }
    assert!((70..=130).contains(&web), "{web} of 1000 requests went to {WEB}");
}

#[test]
fn traffic_split_skips_service_without_ready_server() {
    let mut edge = TestEdge::with_servers(WEB, 2, &[]);
    let split = Route { traffic_split: split_90_to_10(), ..route(LLM) };
    for _ in 0..50 {
        let sent = edge.send_request(&split, "m1");
        edge.serve(&sent);
    }
}

#[test]
fn request_never_moves_to_another_service() {
    let mut edge = TestEdge::with_servers(WEB, 2, &[]);
    let (_, actions) = edge.request(&route(LLM), "m1");
    assert_eq!(actions, vec![]);
    let (_, actions) = edge.request(&route("nowhere"), "m1");
    assert_rejected(&actions, 503, RejectReason::NoServer);
}

#[test]
fn attempt_carries_priority_and_remaining_deadline() {
    let mut edge = TestEdge::with_servers(LLM, 1, &["m1"]);
    let mut request = edge.new_request(&Route { priority: 12, ..route(LLM) }, "m1");
    request.deadline_ms = 700;
    let sent = first_sent(&edge.handle(Event::Request(request))).expect("sent");
    assert_eq!((sent.priority, sent.deadline_ms, sent.resume_after), (9, 695, None));
}

/// Lets a server report its load in the response to a request that no other server can serve.
fn report_load(edge: &mut TestEdge, number: u32, running: u32, waiting: u32) {
    let only = format!("m{}", 30 + number);
    let mut record = server(LLM, number, &["m1", &only]);
    record.heartbeat.sequence = 2;
    edge.update_servers(vec![record]);
    let sent = edge.send_request(&route(LLM), &only);
    assert_eq!(sent.server, server_id(number));
    let mut served = outcome(Verdict::HasRun, Ending::Served);
    // The reported load still includes the request that ends with this response.
    served.load = Some(server_load(running + 1, waiting, 64));
    edge.end_attempt(&sent, served);
}
