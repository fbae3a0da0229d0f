//! Requests for which there is no server.

mod common;

use common::*;
use shaletrail_configuration::Route;
use shaletrail_protocol::internal::Presence;
use shaletrail_routing::interface::{Action, Event, RejectReason, RequestId};
use shaletrail_routing::Options;

#[test]
fn given_no_holder_when_one_comes_up_then_those_who_wait_are_sent_by_rank_then_deadline() {
    let mut edge = Edge::with_servers(LLM, 2, &["m9"]);
    let (patient, _) = edge.ask(&Route { priority: 3, ..route(LLM) }, "m1");
    let (late, _) = edge.ask(&Route { timeout_ms: 9000, ..route(LLM) }, "m1");
    let (soon, _) = edge.ask(&route(LLM), "m1");
    let (other, _) = edge.ask(&route(LLM), "m2");
    edge.now += 700;
    let mut loaded = server(LLM, 0, &["m9", "m1"]);
    loaded.heartbeat.sequence = 2;
    let sent = all_sent(&edge.servers(vec![loaded]));
    let order: Vec<RequestId> = sent.iter().map(|sent| sent.request).collect();
    assert_eq!(order, vec![soon, late, patient]);
    assert!(sent.iter().all(|sent| sent.server == name(0)));
    assert_eq!(sent[0].deadline_ms, 4000 - 700 - 5);
    assert_eq!(edge.router.counters().queued, 1);
    assert_eq!(edge.handle(Event::Finished(other)), vec![]);
}

#[test]
fn given_no_holder_when_none_comes_up_then_the_request_is_refused_before_half_of_its_time() {
    let mut edge = Edge::with_servers(LLM, 2, &["m9"]);
    edge.ask(&route(LLM), "m1");
    let ended = edge.pass(edge.now + 4000);
    let (times, actions): (Vec<_>, Vec<_>) = ended.into_iter().unzip();
    assert_eq!(times, vec![1000 + 1800]);
    assert_rejected(&actions, 503, RejectReason::NoModel);
}

#[test]
fn given_an_adapter_that_is_not_there_yet_when_it_comes_up_then_the_request_is_sent() {
    let mut edge = Edge::with_servers(LLM, 2, &["m1/a1"]);
    let (request, actions) = edge.ask(&route(LLM), "m1/a3");
    assert_eq!(actions, vec![]);
    let mut loaded = server(LLM, 1, &["m1/a1/a3"]);
    loaded.heartbeat.sequence = 2;
    assert_eq!(sent(&edge.servers(vec![loaded])).map(|sent| sent.request), Some(request));
}

#[test]
fn given_a_model_that_nobody_knows_when_it_is_asked_for_then_it_is_refused_at_once() {
    let mut edge = Edge::with_servers(LLM, 2, &["m1"]);
    for model in ["unheard-of", "m1/a4", "m1/b"] {
        assert_rejected(&edge.ask(&route(LLM), model).1, 503, RejectReason::NoModel);
    }
}

#[test]
fn given_a_model_that_only_a_server_knows_when_it_is_asked_for_then_that_server_gets_it() {
    let mut edge = Edge::with_servers(LLM, 2, &["odd"]);
    edge.ask_sent(&route(LLM), "odd");
}

#[test]
fn given_full_servers_when_none_has_room_within_a_quarter_of_the_aim_then_the_request_is_refused() {
    let mut edge = Edge::with_servers(LLM, 1, &["m1"]);
    fill(&mut edge);
    let begin = edge.now;
    let (_, actions) = edge.ask(&Route { target_latency_ms: 200, ..route(LLM) }, "m1");
    assert_eq!(actions, vec![]);
    let ended = edge.pass(begin + 60);
    let (times, actions): (Vec<_>, Vec<_>) = ended.into_iter().unzip();
    assert_eq!(times, vec![begin + 50]);
    assert_rejected(&actions, 503, RejectReason::Full);
}

#[test]
fn given_full_servers_when_room_may_be_there_again_then_the_most_urgent_goes_first() {
    let mut edge = Edge::with_servers(LLM, 1, &["m1"]);
    let running: Vec<_> = (0..80).map(|_| edge.ask_sent(&route(LLM), "m1")).collect();
    let (_, _) = edge.ask(&route(LLM), "m1");
    let (urgent, _) = edge.ask(&Route { priority: 0, ..route(LLM) }, "m1");
    edge.now += 20;
    let actions = edge.serve(&running[0]);
    assert_eq!(all_sent(&actions).iter().map(|sent| sent.request).collect::<Vec<_>>(), vec![urgent]);
}

#[test]
fn given_as_many_held_as_may_be_when_another_comes_then_the_least_urgent_is_refused() {
    let mut edge = Edge::new(Options { max_queued: 2, ..options() });
    edge.servers(vec![server(LLM, 0, &["m9"])]);
    edge.ask(&route(LLM), "m1");
    let (last, _) = edge.ask(&Route { priority: 2, ..route(LLM) }, "m2");
    let (_, actions) = edge.ask(&route(LLM), "m3");
    assert_rejected(&actions, 503, RejectReason::Overloaded);
    assert!(matches!(actions[0], Action::Reject { request, .. } if request == last));
    let (less, actions) = edge.ask(&Route { priority: 5, ..route(LLM) }, "m3");
    assert!(matches!(actions[0], Action::Reject { request, .. } if request == less));
}

#[test]
fn given_as_many_requests_as_may_be_open_when_another_comes_then_it_is_refused() {
    let mut edge = Edge::new(Options { max_open: 3, ..options() });
    edge.servers(vec![server(LLM, 0, &["m1"])]);
    (0..3).for_each(|_| drop(edge.ask_sent(&route(LLM), "m1")));
    assert_rejected(&edge.ask(&route(LLM), "m1").1, 503, RejectReason::Overloaded);
}

#[test]
fn given_a_held_request_when_its_client_leaves_then_nothing_is_sent_for_it() {
    let mut edge = Edge::with_servers(LLM, 1, &["m9"]);
    let (request, _) = edge.ask(&route(LLM), "m1");
    edge.handle(Event::Finished(request));
    let mut loaded = server(LLM, 0, &["m1"]);
    loaded.heartbeat.sequence = 2;
    assert_eq!(edge.servers(vec![loaded]), vec![]);
    assert_eq!(edge.router.counters().client_left, 1);
}

#[test]
fn given_held_requests_when_the_process_is_told_to_end_then_those_for_models_to_come_are_refused_at_once() {
    let mut edge = Edge::with_servers(LLM, 1, &["m1"]);
    fill(&mut edge);
    edge.ask(&route(LLM), "m2");
    edge.ask(&route(LLM), "m1");
    let actions = edge.handle(Event::ShutdownRequested);
    assert_eq!(actions.len(), 1);
    assert_rejected(&actions, 503, RejectReason::Stopping);
    assert!(!edge.router.is_usable(edge.now));
    // New ones are served, but do not wait for a model.
    edge.servers(vec![server(LLM, 1, &["m5"])]);
    edge.ask_sent(&route(LLM), "m5");
    assert_rejected(&edge.ask(&route(LLM), "m6").1, 503, RejectReason::Stopping);
}

#[test]
fn given_requests_that_wait_when_the_only_holder_leaves_then_they_wait_on_for_another() {
    let mut edge = Edge::with_servers(LLM, 1, &["m1"]);
    fill(&mut edge);
    let (request, _) = edge.ask(&route(LLM), "m1");
    edge.servers(vec![with_presence(server(LLM, 0, &["m1"]), Presence::Draining)]);
    assert_eq!(edge.pass(edge.now + 1000), vec![]);
    let found = edge.servers(vec![server(LLM, 1, &["m1"])]);
    assert_eq!(sent(&found).map(|sent| sent.request), Some(request));
}

/// Has so many requests open that the servers can take no more.
fn fill(edge: &mut Edge) {
    while sent(&edge.ask(&route(LLM), "m1").1).is_some() {}
    let held = edge.router.counters().received;
    edge.handle(Event::Finished(RequestId(held)));
    assert_eq!(edge.router.counters().queued, 0);
}
