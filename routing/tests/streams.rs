//! Streams that break midway.

mod common;

use common::*;
use shaletrail_configuration::Route;
use shaletrail_protocol::internal::Presence;
use shaletrail_routing::interface::{Action, Event};

#[test]
fn given_a_resumable_stream_when_it_breaks_midway_then_another_server_takes_it_up_after_its_last_event() {
    let mut edge = Edge::with_servers(LLM, 4, &["m1"]);
    let first = begin(&mut edge, &stream(LLM, true));
    let second = sent(&edge.end(&first, broken(Some(17)))).expect("taken up");
    assert_ne!(first.server, second.server);
    assert_eq!(second.resume_after, Some(17));
    assert_eq!(edge.router.counters().resumed, 1);
    // The next server is lost before it says anything: the place in the stream is still known.
    let third = sent(&edge.end(&second, lost())).expect("taken up");
    assert_eq!(third.resume_after, Some(17));
    assert_eq!(edge.serve(&third), vec![]);
    assert_eq!(edge.router.counters().answered, 1);
}

#[test]
fn given_a_stream_taken_up_when_it_breaks_before_another_event_then_its_place_is_still_known() {
    let mut edge = Edge::with_servers(LLM, 4, &["m1"]);
    let first = begin(&mut edge, &stream(LLM, true));
    let second = sent(&edge.end(&first, broken(Some(17)))).expect("taken up");
    let third = sent(&edge.end(&second, broken(None))).expect("taken up");
    assert_eq!(third.resume_after, Some(17));
}

#[test]
fn given_a_resumable_stream_when_attempts_are_used_up_then_it_is_broken_off() {
    let mut edge = Edge::with_servers(LLM, 4, &["m1"]);
    let first = begin(&mut edge, &Route { max_attempts: 1, ..stream(LLM, true) });
    assert_eq!(edge.end(&first, broken(Some(3))), vec![Action::AbortResponse(first.request)]);
    assert_eq!(edge.router.counters().aborted_responses, 1);
}

#[test]
fn given_a_stream_that_may_not_be_resumed_when_it_breaks_midway_then_it_is_broken_off() {
    // Events with ids may come on any route; only where its kind may be resumed do they say where to go on.
    for last_event in [None, Some(3)] {
        for kind in [stream(LLM, false), route(LLM), idempotent(LLM)] {
            let mut edge = Edge::with_servers(LLM, 4, &["m1"]);
            let first = begin(&mut edge, &kind);
            assert_eq!(edge.end(&first, broken(last_event)), vec![Action::AbortResponse(first.request)]);
        }
    }
}

#[test]
fn given_a_resumable_stream_when_no_other_server_holds_the_model_then_it_is_broken_off() {
    let mut edge = Edge::with_servers(LLM, 1, &["m1"]);
    let first = begin(&mut edge, &stream(LLM, true));
    assert_eq!(edge.end(&first, broken(Some(2))), vec![Action::AbortResponse(first.request)]);
}

#[test]
fn given_an_answer_under_way_when_the_deadline_comes_then_it_is_broken_off() {
    let mut edge = Edge::with_servers(LLM, 2, &["m1"]);
    let first = begin(&mut edge, &stream(LLM, true));
    let ended: Vec<Action> = edge.pass(edge.now + 6000).into_iter().map(|(_, action)| action).collect();
    assert_eq!(
        ended,
        vec![Action::Cancel(first.request, first.attempt), Action::AbortResponse(first.request)]
    );
}

#[test]
fn given_a_resumable_stream_that_hangs_when_the_driver_says_so_then_it_goes_on_elsewhere() {
    let mut edge = Edge::with_servers(LLM, 3, &["m1"]);
    let first = begin(&mut edge, &stream(LLM, true));
    let actions = edge.handle(Event::Stalled(first.request, first.attempt));
    assert_eq!(actions, vec![Action::Cancel(first.request, first.attempt)]);
    assert_eq!(edge.handle(Event::Stalled(first.request, first.attempt)), vec![]);
    let second = sent(&edge.end(&first, broken(Some(5)))).expect("taken up");
    assert_eq!(second.resume_after, Some(5));
}

#[test]
fn given_a_stream_that_hangs_when_it_cannot_go_on_elsewhere_then_it_is_left_there() {
    let mut edge = Edge::with_servers(LLM, 3, &["m1"]);
    let first = begin(&mut edge, &stream(LLM, false));
    assert_eq!(edge.handle(Event::Stalled(first.request, first.attempt)), vec![]);
    let mut edge = Edge::with_servers(LLM, 1, &["m1"]);
    let first = begin(&mut edge, &stream(LLM, true));
    assert_eq!(edge.handle(Event::Stalled(first.request, first.attempt)), vec![]);
}

#[test]
fn given_an_answer_under_way_when_the_client_leaves_then_the_attempt_is_cancelled() {
    let mut edge = Edge::with_servers(LLM, 3, &["m1"]);
    let first = begin(&mut edge, &stream(LLM, true));
    let actions = edge.handle(Event::Finished(first.request));
    assert_eq!(actions, vec![Action::Cancel(first.request, first.attempt)]);
    assert_eq!(edge.end(&first, broken(Some(1))), vec![]);
    assert_eq!(edge.router.counters().client_left, 1);
}

#[test]
fn given_streams_that_break_one_after_the_other_when_more_come_then_their_server_is_skipped() {
    let mut edge = Edge::with_servers(LLM, 4, &["m1"]);
    let first = begin(&mut edge, &stream(LLM, false));
    edge.end(&first, broken(Some(1)));
    let second = begin(&mut edge, &stream(LLM, false));
    assert_eq!(second.server, first.server);
    edge.end(&second, broken(Some(1)));
    assert_ne!(edge.ask_sent(&stream(LLM, false), "m1").server, first.server);
}

#[test]
fn given_a_stream_at_a_server_that_leaves_when_it_breaks_then_it_is_taken_up_elsewhere() {
    let mut edge = Edge::with_servers(LLM, 2, &["m1"]);
    let first = begin(&mut edge, &stream(LLM, true));
    let number = first.server[2..].parse().expect("a number");
    edge.servers(vec![with_presence(server(LLM, number, &["m1"]), Presence::Removed)]);
    let second = sent(&edge.end(&first, broken(Some(9)))).expect("taken up");
    assert_ne!(first.server, second.server);
}

/// A stream of which some events have been passed on.
fn begin(edge: &mut Edge, route: &Route) -> Sent {
    let sent = edge.ask_sent(route, "m1");
    edge.now += 30;
    edge.handle(Event::Written(sent.request, sent.attempt));
    edge.handle(Event::Head(sent.request, sent.attempt, None));
    edge.handle(Event::First(sent.request, sent.attempt));
    sent
}
