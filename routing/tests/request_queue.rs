//! Requests that are queued because no server is available.

mod common;

use common::*;
use shaletrail_configuration::Route;
use shaletrail_protocol::internal::Presence;
use shaletrail_routing::interface::{Action, Event, RejectReason, RequestId};
use shaletrail_routing::Options;

#[test]
fn queued_requests_leave_by_priority_then_deadline() {
    let mut edge = TestEdge::with_servers(LLM, 2, &["m9"]);
    let (low_priority, _) = edge.request(&Route { priority: 3, ..route(LLM) }, "m1");
    let (later_deadline, _) = edge.request(&Route { timeout_ms: 9000, ..route(LLM) }, "m1");
    let (earlier_deadline, _) = edge.request(&route(LLM), "m1");
    let (other, _) = edge.request(&route(LLM), "m2");
    edge.now += 700;
    let mut loaded = server(LLM, 0, &["m9", "m1"]);
    loaded.heartbeat.sequence = 2;
    let sent = all_sent(&edge.update_servers(vec![loaded]));
    let order: Vec<RequestId> = sent.iter().map(|sent| sent.request).collect();
    assert_eq!(order, vec![earlier_deadline, later_deadline, low_priority]);
    assert!(sent.iter().all(|sent| sent.server == server_id(0)));
    assert_eq!(sent[0].deadline_ms, 4000 - 700 - 5);
    assert_eq!(edge.router.counters().queued, 1);
    assert_eq!(edge.handle(Event::RequestFinished(other)), vec![]);
}

#[test]
fn request_without_replica_is_rejected_before_half_its_time() {
    let mut edge = TestEdge::with_servers(LLM, 2, &["m9"]);
    edge.request(&route(LLM), "m1");
    let ended = edge.advance_to(edge.now + 4000);
    let (times, actions): (Vec<_>, Vec<_>) = ended.into_iter().unzip();
    assert_eq!(times, vec![1000 + 1800]);
    assert_rejected(&actions, 503, RejectReason::NoModel);
}

#[test]
fn request_waits_for_adapter_to_load() {
    let mut edge = TestEdge::with_servers(LLM, 2, &["m1/a1"]);
    let (request, actions) = edge.request(&route(LLM), "m1/a3");
    assert_eq!(actions, vec![]);
    let mut loaded = server(LLM, 1, &["m1/a1/a3"]);
    loaded.heartbeat.sequence = 2;
    assert_eq!(first_sent(&edge.update_servers(vec![loaded])).map(|sent| sent.request), Some(request));
}

#[test]
fn unknown_model_is_rejected_at_once() {
    let mut edge = TestEdge::with_servers(LLM, 2, &["m1"]);
    for model in ["unheard-of", "m1/a4", "m1/b"] {
        assert_rejected(&edge.request(&route(LLM), model).1, 503, RejectReason::NoModel);
    }
}

#[test]
fn unconfigured_model_is_served_where_loaded() {
    let mut edge = TestEdge::with_servers(LLM, 2, &["odd"]);
    edge.send_request(&route(LLM), "odd");
}

#[test]
fn request_is_rejected_after_capacity_wait() {
    let mut edge = TestEdge::with_servers(LLM, 1, &["m1"]);
    fill_servers(&mut edge);
    let received_at = edge.now;
    let (_, actions) = edge.request(&Route { target_latency_ms: 200, ..route(LLM) }, "m1");
    assert_eq!(actions, vec![]);
    let ended = edge.advance_to(received_at + 60);
    let (times, actions): (Vec<_>, Vec<_>) = ended.into_iter().unzip();
    assert_eq!(times, vec![received_at + 50]);
    assert_rejected(&actions, 503, RejectReason::Full);
}

#[test]
fn freed_capacity_goes_to_most_urgent() {
    let mut edge = TestEdge::with_servers(LLM, 1, &["m1"]);
    let running: Vec<_> = (0..80).map(|_| edge.send_request(&route(LLM), "m1")).collect();
    let (_, _) = edge.request(&route(LLM), "m1");
    let (urgent, _) = edge.request(&Route { priority: 0, ..route(LLM) }, "m1");
    edge.now += 20;
    let actions = edge.serve(&running[0]);
    assert_eq!(all_sent(&actions).iter().map(|sent| sent.request).collect::<Vec<_>>(), vec![urgent]);
}

#[test]
fn full_queue_evicts_least_urgent() {
    let mut edge = TestEdge::new(Options { max_queued_requests: 2, ..options() });
    edge.update_servers(vec![server(LLM, 0, &["m9"])]);
    edge.request(&route(LLM), "m1");
    let (least_urgent, _) = edge.request(&Route { priority: 2, ..route(LLM) }, "m2");
    let (_, actions) = edge.request(&route(LLM), "m3");
    assert_rejected(&actions, 503, RejectReason::Overloaded);
    assert!(matches!(actions[0], Action::Reject { request, .. } if request == least_urgent));
    let (new_least_urgent, actions) = edge.request(&Route { priority: 5, ..route(LLM) }, "m3");
    assert!(matches!(actions[0], Action::Reject { request, .. } if request == new_least_urgent));
}

#[test]
fn open_requests_are_bounded() {
    let mut edge = TestEdge::new(Options { max_open_requests: 3, ..options() });
    edge.update_servers(vec![server(LLM, 0, &["m1"])]);
    (0..3).for_each(|_| drop(edge.send_request(&route(LLM), "m1")));
    assert_rejected(&edge.request(&route(LLM), "m1").1, 503, RejectReason::Overloaded);
}

#[test]
fn queued_request_of_departed_client_is_dropped() {
    let mut edge = TestEdge::with_servers(LLM, 1, &["m9"]);
    let (request, _) = edge.request(&route(LLM), "m1");
    edge.handle(Event::RequestFinished(request));
    let mut loaded = server(LLM, 0, &["m1"]);
    loaded.heartbeat.sequence = 2;
    assert_eq!(edge.update_servers(vec![loaded]), vec![]);
    assert_eq!(edge.router.counters().client_left, 1);
}

#[test]
fn shutdown_rejects_requests_waiting_for_models() {
    let mut edge = TestEdge::with_servers(LLM, 1, &["m1"]);
    fill_servers(&mut edge);
    edge.request(&route(LLM), "m2");
    edge.request(&route(LLM), "m1");
    let actions = edge.handle(Event::ShutdownRequested);
    assert_eq!(actions.len(), 1);
    assert_rejected(&actions, 503, RejectReason::Stopping);
    assert!(!edge.router.is_usable(edge.now));
    // New requests are served, but do not wait for a model to load.
    edge.update_servers(vec![server(LLM, 1, &["m5"])]);
    edge.send_request(&route(LLM), "m5");
    assert_rejected(&edge.request(&route(LLM), "m6").1, 503, RejectReason::Stopping);
}

#[test]
fn queued_request_outlives_last_replica() {
    let mut edge = TestEdge::with_servers(LLM, 1, &["m1"]);
    fill_servers(&mut edge);
    let (request, _) = edge.request(&route(LLM), "m1");
    edge.update_servers(vec![with_presence(server(LLM, 0, &["m1"]), Presence::Draining)]);
    assert_eq!(edge.advance_to(edge.now + 1000), vec![]);
    let found = edge.update_servers(vec![server(LLM, 1, &["m1"])]);
    assert_eq!(first_sent(&found).map(|sent| sent.request), Some(request));
}

/// Opens requests until the servers have no capacity left.
fn fill_servers(edge: &mut TestEdge) {
    while first_sent(&edge.request(&route(LLM), "m1").1).is_some() {}
    let newest = edge.router.counters().received;
    edge.handle(Event::RequestFinished(RequestId(newest)));
    assert_eq!(edge.router.counters().queued, 0);
}
