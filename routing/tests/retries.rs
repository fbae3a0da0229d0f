//! Retries, the retry budget, and the final actions of requests.

mod common;

use common::*;
use shaletrail_configuration::Route;
use shaletrail_routing::interface::{Action, Ending, Event, Outcome, RejectReason, Verdict};
use shaletrail_routing::Options;

#[test]
fn unreachable_server_costs_no_retry() {
    let mut edge = TestEdge::with_servers(LLM, 6, &["m1"]);
    let once = Route { max_attempts: 1, ..route(LLM) };
    let first = edge.send_request(&once, "m1");
    let second = first_sent(&edge.end_attempt(&first, unreachable())).expect("sent to another server");
    let third = first_sent(&edge.end_attempt(&second, unreachable())).expect("sent to another server");
    assert!(first.server != second.server && second.server != third.server && first.server != third.server);
    assert_eq!(edge.router.counters().retries, 0);
}

#[test]
fn rejected_request_moves_to_another_server() {
    let mut edge = TestEdge::with_servers(LLM, 6, &["m1"]);
    let first = edge.send_request(&route(LLM), "m1");
    let second = first_sent(&edge.end_attempt(&first, rejected(503))).expect("sent to another server");
    assert_ne!(first.server, second.server);
    assert_eq!(second.attempt.0, 1);
}

#[test]
fn single_attempt_rejection_returns_retry_after() {
    let mut edge = TestEdge::with_servers(LLM, 6, &["m1"]);
    let sent = edge.send_request(&Route { max_attempts: 1, ..route(LLM) }, "m1");
    let outcome = Outcome { retry_after_ms: Some(400), ..rejected(503) };
    let actions = edge.end_attempt(&sent, outcome);
    assert_rejected(&actions, 503, RejectReason::Rejected);
    let retry_after =
        rejection(&actions).and_then(|rejection| rejection.retry_after_ms).expect("a Retry-After");
    assert!((400..=500).contains(&retry_after), "{retry_after}");
}

#[test]
fn visited_servers_are_bounded_by_max_attempts() {
    let mut edge = TestEdge::with_servers(LLM, 6, &["m1"]);
    let first = edge.send_request(&route(LLM), "m1");
    let second = first_sent(&edge.end_attempt(&first, rejected(503))).expect("second");
    let third = first_sent(&edge.end_attempt(&second, rejected(421))).expect("third");
    let visited = [&first.server, &second.server, &third.server];
    let mut ended = edge.end_attempt(&third, rejected(503));
    let mut attempts = 3;
    // These servers have certainly not run the request. They may be tried again a limited number of times, as
    // long as the request may be queued.
    while rejection(&ended).is_none() {
        match first_sent(&ended) {
            Some(again) => {
                assert!(visited.contains(&&again.server), "sent to a fourth server");
                attempts += 1;
                ended = edge.end_attempt(&again, rejected(503));
            }
            None => ended = edge.advance_to(edge.now + 10).into_iter().map(|(_, action)| action).collect(),
        }
    }
    assert_rejected(&ended, 503, RejectReason::Rejected);
    assert!((3..=5).contains(&attempts), "{attempts}");
}

#[test]
fn non_idempotent_request_is_never_repeated() {
    let endings = [Ending::ConnectionLost, Ending::MalformedResponse, Ending::StaleConnection];
    for ending in endings {
        for kind in [route(LLM), stream(LLM, false)] {
            let mut edge = TestEdge::with_servers(LLM, 6, &["m1"]);
            let sent = edge.send_request(&kind, "m1");
            let actions = edge.end_attempt(&sent, outcome(Verdict::MayHaveRun, ending.clone()));
            assert_rejected(&actions, 502, RejectReason::MayHaveRun);
        }
    }
}

#[test]
fn worst_verdict_decides_status() {
    let mut edge = TestEdge::with_servers(LLM, 6, &["m1"]);
    let first = edge.send_request(&route(LLM), "m1");
    let second = first_sent(&edge.end_attempt(&first, rejected(503))).expect("second");
    assert_rejected(&edge.end_attempt(&second, connection_lost()), 502, RejectReason::MayHaveRun);
}

#[test]
fn idempotent_request_is_retried_after_loss() {
    for kind in [idempotent(LLM), stream(LLM, true)] {
        let mut edge = TestEdge::with_servers(LLM, 6, &["m1"]);
        let first = edge.send_request(&kind, "m1");
        let second =
            first_sent(&edge.end_attempt(&first, connection_lost())).expect("sent to another server");
        assert_ne!(first.server, second.server);
        let third = first_sent(&edge.end_attempt(&second, rejected(503))).expect("sent to another server");
        // The first server may have run the request, so the final status is 502 instead of 503.
        assert_rejected(&edge.end_attempt(&third, rejected(503)), 502, RejectReason::MayHaveRun);
    }
}

#[test]
fn failed_response_is_retried_or_forwarded() {
    let mut edge = TestEdge::with_servers(LLM, 6, &["m1"]);
    let first = edge.send_request(&idempotent(LLM), "m1");
    let second = first_sent(&edge.end_attempt(&first, failed(500))).expect("sent to another server");
    let third = first_sent(&edge.end_attempt(&second, failed(500))).expect("sent to another server");
    assert_eq!(edge.end_attempt(&third, failed(500)), vec![Action::ForwardFailure(third.request)]);

    let once = edge.send_request(&route(LLM), "m1");
    assert_eq!(edge.end_attempt(&once, failed(500)), vec![Action::ForwardFailure(once.request)]);
    let not_found = edge.send_request(&idempotent(LLM), "m1");
    assert_eq!(edge.end_attempt(&not_found, failed(404)), vec![Action::ForwardFailure(not_found.request)]);
}

#[test]
fn failed_response_is_forwarded_without_replica() {
    let mut edge = TestEdge::with_servers(LLM, 1, &["m1"]);
    let sent = edge.send_request(&idempotent(LLM), "m1");
    assert_eq!(edge.end_attempt(&sent, failed(500)), vec![Action::ForwardFailure(sent.request)]);
}

#[test]
fn stale_connections_retry_same_server() {
    let mut edge = TestEdge::with_servers(LLM, 3, &["m1"]);
    let stale = || outcome(Verdict::NeverSent, Ending::StaleConnection);
    let first = edge.send_request(&route(LLM), "m1");
    let second = first_sent(&edge.end_attempt(&first, stale())).expect("sent again");
    let third = first_sent(&edge.end_attempt(&second, stale())).expect("sent again");
    let fourth = first_sent(&edge.end_attempt(&third, stale())).expect("sent to another server");
    assert!(first.server == second.server && second.server == third.server);
    assert_ne!(third.server, fourth.server);
}

#[test]
fn retries_stop_when_budget_is_spent() {
    // The retry ratio is 0.2 and the slack of 50 is divided by 10 edges; 0.8 of the resulting budget is used.
    let options = Options { retry_ratio: 0.2, retry_slack: 50.0, ..Options::default() };
    let mut edge = TestEdge::new(options);
    edge.update_servers((0..6).map(|n| server(LLM, n, &["m1"])).collect());
    edge.handle(Event::EdgeCountUpdated(10));
    for _ in 0..100 {
        let sent = edge.send_request(&route(LLM), "m1");
        edge.serve(&sent);
    }
    edge.now += 500;
    let mut retries = 0;
    for _ in 0..100 {
        let first = edge.send_request(&idempotent(LLM), "m1");
        match first_sent(&edge.end_attempt(&first, connection_lost())) {
            Some(second) => {
                retries += 1;
                edge.serve(&second);
            }
            None => assert_eq!(edge.router.counters().rejected_for(RejectReason::MayHaveRun), 1),
        }
        if edge.router.counters().rejected() > 0 {
            break;
        }
    }
    // (0.2 * requests + 50 / 10) * 0.8, with the number of requests received by then.
    assert_eq!(retries, 23);
    assert_eq!(edge.router.counters().retries, 23);

    // After the window, retries are allowed again because of the slack alone.
    edge.now += 10_400;
    edge.update_servers((0..6).map(|n| server(LLM, 10 + n, &["m1"])).collect());
    let first = edge.send_request(&idempotent(LLM), "m1");
    assert!(first_sent(&edge.end_attempt(&first, connection_lost())).is_some());
}

#[test]
fn assumed_edge_count_divides_slack_while_count_unknown() {
    let options = Options { retry_ratio: 0.0, retry_slack: 100.0, assumed_edges: 64, ..Options::default() };
    let mut edge = TestEdge::new(options);
    edge.update_servers((0..6).map(|n| server(LLM, n, &["m1"])).collect());
    let first = edge.send_request(&route(LLM), "m1");
    assert!(first_sent(&edge.end_attempt(&first, rejected(503))).is_some());
    let first = edge.send_request(&route(LLM), "m1");
    assert_rejected(&edge.end_attempt(&first, rejected(503)), 503, RejectReason::Rejected);
}

#[test]
fn unreachable_retry_is_refunded() {
    let options = Options { retry_ratio: 0.0, retry_slack: 2.0, ..Options::default() };
    let mut edge = TestEdge::new(options);
    edge.update_servers((0..9).map(|n| server(LLM, n, &["m1"])).collect());
    edge.handle(Event::EdgeCountUpdated(1));
    let first = edge.send_request(&route(LLM), "m1");
    let retry = first_sent(&edge.end_attempt(&first, rejected(503))).expect("the only retry");
    let again = first_sent(&edge.end_attempt(&retry, unreachable())).expect("the refunded retry");
    assert_rejected(&edge.end_attempt(&again, rejected(503)), 503, RejectReason::Rejected);
}

#[test]
fn attempt_cancelled_at_deadline_yields_504() {
    let mut edge = TestEdge::with_servers(LLM, 2, &["m1"]);
    let mut request = edge.new_request(&route(LLM), "m1");
    request.deadline_ms = 900;
    let sent = first_sent(&edge.handle(Event::Request(request))).expect("sent");
    let ended = edge.advance_to(edge.now + 2000);
    let (times, actions): (Vec<_>, Vec<_>) = ended.into_iter().unzip();
    assert_eq!(times, vec![1950, 1950]);
    assert_eq!(actions[0], Action::Cancel(sent.request, sent.attempt));
    assert_rejected(&actions, 504, RejectReason::TooLate);
    // The outcome of the cancelled attempt is ignored.
    assert_eq!(edge.end_attempt(&sent, outcome(Verdict::MayHaveRun, Ending::Cancelled)), vec![]);
}

#[test]
fn expired_request_is_rejected_at_once() {
    let mut edge = TestEdge::with_servers(LLM, 2, &["m1"]);
    let mut request = edge.new_request(&route(LLM), "m1");
    request.deadline_ms = 0;
    assert_rejected(&edge.handle(Event::Request(request)), 503, RejectReason::TooLate);
}

#[test]
fn attempt_rejected_after_deadline_yields_503() {
    let mut edge = TestEdge::with_servers(LLM, 3, &["m1"]);
    let sent = edge.send_request(&route(LLM), "m1");
    edge.now += 4000;
    assert_rejected(&edge.end_attempt(&sent, rejected(503)), 503, RejectReason::TooLate);
}

#[test]
fn idempotent_request_moves_from_unresponsive_server() {
    let mut edge = TestEdge::with_servers(LLM, 3, &["m1"]);
    let first = edge.send_request(&idempotent(LLM), "m1");
    let cancelled = edge.advance_to(edge.now + 1000);
    assert_eq!(cancelled, vec![(2000, Action::Cancel(first.request, first.attempt))]);
    let second = first_sent(&edge.end_attempt(&first, outcome(Verdict::MayHaveRun, Ending::Cancelled)))
        .expect("sent to another server");
    assert_ne!(first.server, second.server);
}

#[test]
fn attempt_stays_if_not_idempotent_or_server_responds() {
    let mut edge = TestEdge::with_servers(LLM, 1, &["m1"]);
    edge.send_request(&route(LLM), "m1");
    edge.update_servers(vec![server(LLM, 1, &["m1"])]);
    assert_eq!(edge.advance_to(edge.now + 3000), vec![]);

    let mut edge = TestEdge::with_servers(LLM, 1, &["m1"]);
    edge.send_request(&idempotent(LLM), "m1");
    let other = edge.send_request(&idempotent(LLM), "m1");
    edge.update_servers(vec![server(LLM, 1, &["m1"])]);
    edge.now += 500;
    edge.serve(&other);
    assert_eq!(edge.advance_to(edge.now + 3000), vec![]);
}

#[test]
fn attempt_stays_without_alternative() {
    let mut edge = TestEdge::with_servers(LLM, 1, &["m1"]);
    edge.send_request(&idempotent(LLM), "m1");
    assert_eq!(edge.advance_to(edge.now + 3000), vec![]);
}

#[test]
fn only_replica_is_retried_up_to_attempt_limit() {
    let mut edge = TestEdge::with_servers(LLM, 1, &["m1"]);
    let route = Route { max_attempts: 2, target_latency_ms: 1200, ..route(LLM) };
    let first = edge.send_request(&route, "m1");
    let outcome = Outcome { retry_after_ms: Some(200), ..rejected(503) };
    assert_eq!(edge.end_attempt(&first, outcome), vec![]);
    let later = edge.advance_to(edge.now + 250);
    let second = first_sent(&[later[0].1.clone()]).expect("sent again");
    assert_eq!((later[0].0, &second.server), (1200, &first.server));
    assert_rejected(&edge.end_attempt(&second, rejected(503)), 503, RejectReason::Rejected);
}

#[test]
fn only_server_is_retried_after_delay() {
    let mut edge = TestEdge::with_servers(WEB, 1, &[]);
    let first = edge.send_request(&route(WEB), "");
    assert_eq!(edge.end_attempt(&first, unreachable()), vec![]);
    let later = edge.advance_to(edge.now + 60);
    assert_eq!(later.iter().map(|(at, _)| *at).collect::<Vec<_>>(), vec![1050]);
    assert!(first_sent(&[later[0].1.clone()]).is_some());
}

#[test]
fn ejected_only_replica_uses_capacity_wait() {
    let mut edge = TestEdge::with_servers(LLM, 1, &["m1"]);
    let first = edge.send_request(&Route { target_latency_ms: 100, ..route(LLM) }, "m1");
    // The first probe would come after the maximum time for which the request may be queued, so it is
    // rejected immediately.
    assert_rejected(&edge.end_attempt(&first, unreachable()), 503, RejectReason::Full);
}
