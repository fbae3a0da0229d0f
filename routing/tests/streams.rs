//! Streams that are truncated, stalled or resumed.

mod common;

use common::*;
use shaletrail_configuration::Route;
use shaletrail_protocol::internal::Presence;
use shaletrail_routing::interface::{Action, Event};

#[test]
fn truncated_stream_resumes_after_last_event() {
    let mut edge = TestEdge::with_servers(LLM, 4, &["m1"]);
    let first = begin_stream(&mut edge, &stream(LLM, true));
    let second = first_sent(&edge.end_attempt(&first, truncated(Some(17)))).expect("resumed");
    assert_ne!(first.server, second.server);
    assert_eq!(second.resume_after, Some(17));
    assert_eq!(edge.router.counters().resumed, 1);
    // The connection to the next server is lost before any event: the router still knows the last event.
    let third = first_sent(&edge.end_attempt(&second, connection_lost())).expect("resumed");
    assert_eq!(third.resume_after, Some(17));
    assert_eq!(edge.serve(&third), vec![]);
    assert_eq!(edge.router.counters().completed, 1);
}

#[test]
fn resumed_stream_keeps_last_event() {
    let mut edge = TestEdge::with_servers(LLM, 4, &["m1"]);
    let first = begin_stream(&mut edge, &stream(LLM, true));
    let second = first_sent(&edge.end_attempt(&first, truncated(Some(17)))).expect("resumed");
    let third = first_sent(&edge.end_attempt(&second, truncated(None))).expect("resumed");
    assert_eq!(third.resume_after, Some(17));
}

#[test]
fn stream_is_aborted_when_attempts_run_out() {
    let mut edge = TestEdge::with_servers(LLM, 4, &["m1"]);
    let first = begin_stream(&mut edge, &Route { max_attempts: 1, ..stream(LLM, true) });
    assert_eq!(edge.end_attempt(&first, truncated(Some(3))), vec![Action::AbortResponse(first.request)]);
    assert_eq!(edge.router.counters().aborted_responses, 1);
}

#[test]
fn non_resumable_stream_is_aborted() {
    // Events with ids may occur on any route, but only resumable streams may be resumed after them.
    for last_event in [None, Some(3)] {
        for kind in [stream(LLM, false), route(LLM), idempotent(LLM)] {
            let mut edge = TestEdge::with_servers(LLM, 4, &["m1"]);
            let first = begin_stream(&mut edge, &kind);
            assert_eq!(
                edge.end_attempt(&first, truncated(last_event)),
                vec![Action::AbortResponse(first.request)]
            );
        }
    }
}

#[test]
fn stream_is_aborted_without_another_replica() {
    let mut edge = TestEdge::with_servers(LLM, 1, &["m1"]);
    let first = begin_stream(&mut edge, &stream(LLM, true));
    assert_eq!(edge.end_attempt(&first, truncated(Some(2))), vec![Action::AbortResponse(first.request)]);
}

#[test]
fn response_is_aborted_at_deadline() {
    let mut edge = TestEdge::with_servers(LLM, 2, &["m1"]);
    let first = begin_stream(&mut edge, &stream(LLM, true));
    let ended: Vec<Action> = edge.advance_to(edge.now + 6000).into_iter().map(|(_, action)| action).collect();
    assert_eq!(
        ended,
        vec![Action::Cancel(first.request, first.attempt), Action::AbortResponse(first.request)]
    );
}

#[test]
fn stalled_stream_moves_to_another_server() {
    let mut edge = TestEdge::with_servers(LLM, 3, &["m1"]);
    let first = begin_stream(&mut edge, &stream(LLM, true));
    let actions = edge.handle(Event::StreamStalled(first.request, first.attempt));
    assert_eq!(actions, vec![Action::Cancel(first.request, first.attempt)]);
    assert_eq!(edge.handle(Event::StreamStalled(first.request, first.attempt)), vec![]);
    let second = first_sent(&edge.end_attempt(&first, truncated(Some(5)))).expect("resumed");
    assert_eq!(second.resume_after, Some(5));
}

#[test]
fn stalled_stream_stays_without_alternative() {
    let mut edge = TestEdge::with_servers(LLM, 3, &["m1"]);
    let first = begin_stream(&mut edge, &stream(LLM, false));
    assert_eq!(edge.handle(Event::StreamStalled(first.request, first.attempt)), vec![]);
    let mut edge = TestEdge::with_servers(LLM, 1, &["m1"]);
    let first = begin_stream(&mut edge, &stream(LLM, true));
    assert_eq!(edge.handle(Event::StreamStalled(first.request, first.attempt)), vec![]);
}

#[test]
fn client_departure_cancels_attempt() {
    let mut edge = TestEdge::with_servers(LLM, 3, &["m1"]);
    let first = begin_stream(&mut edge, &stream(LLM, true));
    let actions = edge.handle(Event::RequestFinished(first.request));
    assert_eq!(actions, vec![Action::Cancel(first.request, first.attempt)]);
    assert_eq!(edge.end_attempt(&first, truncated(Some(1))), vec![]);
    assert_eq!(edge.router.counters().client_left, 1);
}

#[test]
fn truncated_streams_eject_server() {
    let mut edge = TestEdge::with_servers(LLM, 4, &["m1"]);
    let first = begin_stream(&mut edge, &stream(LLM, false));
    edge.end_attempt(&first, truncated(Some(1)));
    let second = begin_stream(&mut edge, &stream(LLM, false));
    assert_eq!(second.server, first.server);
    edge.end_attempt(&second, truncated(Some(1)));
    assert_ne!(edge.send_request(&stream(LLM, false), "m1").server, first.server);
}

#[test]
fn stream_at_removed_server_resumes_elsewhere() {
    let mut edge = TestEdge::with_servers(LLM, 2, &["m1"]);
    let first = begin_stream(&mut edge, &stream(LLM, true));
    let number = first.server[2..].parse().expect("a number");
    edge.update_servers(vec![with_presence(server(LLM, number, &["m1"]), Presence::Removed)]);
    let second = first_sent(&edge.end_attempt(&first, truncated(Some(9)))).expect("resumed");
    assert_ne!(first.server, second.server);
}

/// Starts a stream whose head and first event have been forwarded to the client.
fn begin_stream(edge: &mut TestEdge, route: &Route) -> SentAttempt {
    let sent = edge.send_request(route, "m1");
    edge.now += 30;
    edge.handle(Event::RequestWritten(sent.request, sent.attempt));
    edge.handle(Event::ResponseHead(sent.request, sent.attempt, None));
    edge.handle(Event::FirstEvent(sent.request, sent.attempt));
    sent
}
