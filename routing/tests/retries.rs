//! Retries, their budget, and final actions.

mod common;

use common::*;
use shaletrail_configuration::Route;
use shaletrail_routing::interface::{Action, Ending, Event, Outcome, RejectReason, Verdict};
use shaletrail_routing::Options;

#[test]
fn unreachable_server_costs_no_retry() {
    let mut edge = Edge::with_servers(LLM, 6, &["m1"]);
    let once = Route { max_attempts: 1, ..route(LLM) };
    let first = edge.send_request(&once, "m1");
    let second = sent(&edge.end(&first, unreachable())).expect("sent elsewhere");
    let third = sent(&edge.end(&second, unreachable())).expect("sent elsewhere");
    assert!(first.server != second.server && second.server != third.server && first.server != third.server);
    assert_eq!(edge.router.counters().retries, 0);
}

#[test]
fn rejected_request_moves_to_another_server() {
    let mut edge = Edge::with_servers(LLM, 6, &["m1"]);
    let first = edge.send_request(&route(LLM), "m1");
    let second = sent(&edge.end(&first, rejected(503))).expect("sent elsewhere");
    assert_ne!(first.server, second.server);
    assert_eq!(second.attempt.0, 1);
}

#[test]
fn single_attempt_rejection_returns_retry_after() {
    let mut edge = Edge::with_servers(LLM, 6, &["m1"]);
    let sent = edge.send_request(&Route { max_attempts: 1, ..route(LLM) }, "m1");
    let outcome = Outcome { retry_after_ms: Some(400), ..rejected(503) };
    let actions = edge.end(&sent, outcome);
    assert_rejected(&actions, 503, RejectReason::Rejected);
    let retry_after =
        rejection(&actions).and_then(|rejection| rejection.retry_after_ms).expect("a Retry-After");
    assert!((400..=500).contains(&retry_after), "{retry_after}");
}

#[test]
fn visited_servers_are_bounded_by_max_attempts() {
    let mut edge = Edge::with_servers(LLM, 6, &["m1"]);
    let first = edge.send_request(&route(LLM), "m1");
    let second = sent(&edge.end(&first, rejected(503))).expect("second");
    let third = sent(&edge.end(&second, rejected(421))).expect("third");
    let visited = [&first.server, &second.server, &third.server];
    let mut ended = edge.end(&third, rejected(503));
    let mut attempts = 3;
    // These have surely not run it: they may be retried, a few times, while it may be queued.
    while rejection(&ended).is_none() {
        match sent(&ended) {
            Some(again) => {
                assert!(visited.contains(&&again.server), "a fourth server");
                attempts += 1;
                ended = edge.end(&again, rejected(503));
            }
            None => ended = edge.pass(edge.now + 10).into_iter().map(|(_, action)| action).collect(),
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
            let mut edge = Edge::with_servers(LLM, 6, &["m1"]);
            let sent = edge.send_request(&kind, "m1");
            let actions = edge.end(&sent, outcome(Verdict::MayHaveRun, ending.clone()));
            assert_rejected(&actions, 502, RejectReason::MayHaveRun);
        }
    }
}

#[test]
fn worst_verdict_decides_status() {
    let mut edge = Edge::with_servers(LLM, 6, &["m1"]);
    let first = edge.send_request(&route(LLM), "m1");
    let second = sent(&edge.end(&first, rejected(503))).expect("second");
    assert_rejected(&edge.end(&second, lost()), 502, RejectReason::MayHaveRun);
}

#[test]
fn idempotent_request_is_retried_after_loss() {
    for kind in [idempotent(LLM), stream(LLM, true)] {
        let mut edge = Edge::with_servers(LLM, 6, &["m1"]);
        let first = edge.send_request(&kind, "m1");
        let second = sent(&edge.end(&first, lost())).expect("sent elsewhere");
        assert_ne!(first.server, second.server);
        let third = sent(&edge.end(&second, rejected(503))).expect("sent elsewhere");
        // It may have run at the first: no promise at the end.
        assert_rejected(&edge.end(&third, rejected(503)), 502, RejectReason::MayHaveRun);
    }
}

#[test]
fn failed_response_is_retried_or_forwarded() {
    let mut edge = Edge::with_servers(LLM, 6, &["m1"]);
    let first = edge.send_request(&idempotent(LLM), "m1");
    let second = sent(&edge.end(&first, failed(500))).expect("sent elsewhere");
    let third = sent(&edge.end(&second, failed(500))).expect("sent elsewhere");
    assert_eq!(edge.end(&third, failed(500)), vec![Action::ForwardFailure(third.request)]);

    let once = edge.send_request(&route(LLM), "m1");
    assert_eq!(edge.end(&once, failed(500)), vec![Action::ForwardFailure(once.request)]);
    let wrong = edge.send_request(&idempotent(LLM), "m1");
    assert_eq!(edge.end(&wrong, failed(404)), vec![Action::ForwardFailure(wrong.request)]);
}

#[test]
fn failed_response_is_forwarded_without_replica() {
    let mut edge = Edge::with_servers(LLM, 1, &["m1"]);
    let sent = edge.send_request(&idempotent(LLM), "m1");
    assert_eq!(edge.end(&sent, failed(500)), vec![Action::ForwardFailure(sent.request)]);
}

#[test]
fn stale_connections_retry_same_server() {
    let mut edge = Edge::with_servers(LLM, 3, &["m1"]);
    let stale = || outcome(Verdict::NeverSent, Ending::StaleConnection);
    let first = edge.send_request(&route(LLM), "m1");
    let second = sent(&edge.end(&first, stale())).expect("sent again");
    let third = sent(&edge.end(&second, stale())).expect("sent again");
    let fourth = sent(&edge.end(&third, stale())).expect("sent elsewhere");
    assert!(first.server == second.server && second.server == third.server);
    assert_ne!(third.server, fourth.server);
}

#[test]
fn retries_stop_when_budget_is_spent() {
    // A ratio of 0.2 and a slack of 50 over 10 edges, of which 0.8 is used.
    let options = Options { retry_ratio: 0.2, retry_slack: 50.0, ..Options::default() };
    let mut edge = Edge::new(options);
    edge.servers((0..6).map(|n| server(LLM, n, &["m1"])).collect());
    edge.handle(Event::EdgeCountUpdated(10));
    for _ in 0..100 {
        let sent = edge.send_request(&route(LLM), "m1");
        edge.serve(&sent);
    }
    edge.now += 500;
    let mut retries = 0;
    for _ in 0..100 {
        let first = edge.send_request(&idempotent(LLM), "m1");
        match sent(&edge.end(&first, lost())) {
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
    // (0.2 * requests + 50 / 10) * 0.8 with the requests there were by then.
    assert_eq!(retries, 23);
    assert_eq!(edge.router.counters().retries, 23);

    // The window has passed: there are retries again, by the slack alone.
    edge.now += 10_400;
    edge.servers((0..6).map(|n| server(LLM, 10 + n, &["m1"])).collect());
    let first = edge.send_request(&idempotent(LLM), "m1");
    assert!(sent(&edge.end(&first, lost())).is_some());
}

#[test]
fn unknown_edge_count_assumes_many() {
    let options = Options { retry_ratio: 0.0, retry_slack: 100.0, assumed_edges: 64, ..Options::default() };
    let mut edge = Edge::new(options);
    edge.servers((0..6).map(|n| server(LLM, n, &["m1"])).collect());
    let first = edge.send_request(&route(LLM), "m1");
    assert!(sent(&edge.end(&first, rejected(503))).is_some());
    let first = edge.send_request(&route(LLM), "m1");
    assert_rejected(&edge.end(&first, rejected(503)), 503, RejectReason::Rejected);
}

#[test]
fn unreachable_retry_is_refunded() {
    let options = Options { retry_ratio: 0.0, retry_slack: 2.0, ..Options::default() };
    let mut edge = Edge::new(options);
    edge.servers((0..9).map(|n| server(LLM, n, &["m1"])).collect());
    edge.handle(Event::EdgeCountUpdated(1));
    let first = edge.send_request(&route(LLM), "m1");
    let retry = sent(&edge.end(&first, rejected(503))).expect("the one retry");
    let again = sent(&edge.end(&retry, unreachable())).expect("the same retry");
    assert_rejected(&edge.end(&again, rejected(503)), 503, RejectReason::Rejected);
}

#[test]
fn deadline_cancels_attempt_without_promise() {
    let mut edge = Edge::with_servers(LLM, 2, &["m1"]);
    let mut request = edge.new_request(&route(LLM), "m1");
    request.deadline_ms = 900;
    let sent = sent(&edge.handle(Event::Request(request))).expect("sent");
    let ended = edge.pass(edge.now + 2000);
    let (times, actions): (Vec<_>, Vec<_>) = ended.into_iter().unzip();
    assert_eq!(times, vec![1950, 1950]);
    assert_eq!(actions[0], Action::Cancel(sent.request, sent.attempt));
    assert_rejected(&actions, 504, RejectReason::TooLate);
    // What the driver reports of the cancelled attempt changes nothing.
    assert_eq!(edge.end(&sent, outcome(Verdict::MayHaveRun, Ending::Cancelled)), vec![]);
}

#[test]
fn expired_request_is_rejected_at_once() {
    let mut edge = Edge::with_servers(LLM, 2, &["m1"]);
    let mut request = edge.new_request(&route(LLM), "m1");
    request.deadline_ms = 0;
    assert_rejected(&edge.handle(Event::Request(request)), 503, RejectReason::TooLate);
}

#[test]
fn rejection_after_deadline_keeps_promise() {
    let mut edge = Edge::with_servers(LLM, 3, &["m1"]);
    let sent = edge.send_request(&route(LLM), "m1");
    edge.now += 4000;
    assert_rejected(&edge.end(&sent, rejected(503)), 503, RejectReason::TooLate);
}

#[test]
fn unresponsive_server_loses_idempotent_request() {
    let mut edge = Edge::with_servers(LLM, 3, &["m1"]);
    let first = edge.send_request(&idempotent(LLM), "m1");
    let cancelled = edge.pass(edge.now + 1000);
    assert_eq!(cancelled, vec![(2000, Action::Cancel(first.request, first.attempt))]);
    let second = sent(&edge.end(&first, outcome(Verdict::MayHaveRun, Ending::Cancelled))).expect("elsewhere");
    assert_ne!(first.server, second.server);
}

#[test]
fn attempt_stays_if_not_idempotent_or_server_responds() {
    let mut edge = Edge::with_servers(LLM, 1, &["m1"]);
    edge.send_request(&route(LLM), "m1");
    edge.servers(vec![server(LLM, 1, &["m1"])]);
    assert_eq!(edge.pass(edge.now + 3000), vec![]);

    let mut edge = Edge::with_servers(LLM, 1, &["m1"]);
    edge.send_request(&idempotent(LLM), "m1");
    let other = edge.send_request(&idempotent(LLM), "m1");
    edge.servers(vec![server(LLM, 1, &["m1"])]);
    edge.now += 500;
    edge.serve(&other);
    assert_eq!(edge.pass(edge.now + 3000), vec![]);
}

#[test]
fn attempt_stays_without_alternative() {
    let mut edge = Edge::with_servers(LLM, 1, &["m1"]);
    edge.send_request(&idempotent(LLM), "m1");
    assert_eq!(edge.pass(edge.now + 3000), vec![]);
}

#[test]
fn only_replica_is_retried_within_attempts() {
    let mut edge = Edge::with_servers(LLM, 1, &["m1"]);
    let route = Route { max_attempts: 2, target_latency_ms: 1200, ..route(LLM) };
    let first = edge.send_request(&route, "m1");
    let outcome = Outcome { retry_after_ms: Some(200), ..rejected(503) };
    assert_eq!(edge.end(&first, outcome), vec![]);
    let later = edge.pass(edge.now + 250);
    let second = sent(&[later[0].1.clone()]).expect("sent again");
    assert_eq!((later[0].0, &second.server), (1200, &first.server));
    assert_rejected(&edge.end(&second, rejected(503)), 503, RejectReason::Rejected);
}

#[test]
fn only_server_is_retried_after_delay() {
    let mut edge = Edge::with_servers(WEB, 1, &[]);
    let first = edge.send_request(&route(WEB), "");
    assert_eq!(edge.end(&first, unreachable()), vec![]);
    let later = edge.pass(edge.now + 60);
    assert_eq!(later.iter().map(|(at, _)| *at).collect::<Vec<_>>(), vec![1050]);
    assert!(sent(&[later[0].1.clone()]).is_some());
}

#[test]
fn ejected_only_replica_uses_capacity_wait() {
    let mut edge = Edge::with_servers(LLM, 1, &["m1"]);
    let first = edge.send_request(&Route { target_latency_ms: 100, ..route(LLM) }, "m1");
    // The server could be probed only after the time for which the request may be queued: it is rejected at once.
    assert_rejected(&edge.end(&first, unreachable()), 503, RejectReason::Full);
}
