//! Outlier detection: ejection, back-off and probes.

mod common;

use common::*;
use shaletrail_ring::Key;
use shaletrail_routing::interface::{Action, Ending, Outcome, Verdict};

#[test]
fn consecutive_failures_eject_server() {
    let order = server_sequence(Key::of("m1"), 4);
    for outcome in [connection_lost(), failed(500), outcome(Verdict::MayHaveRun, Ending::MalformedResponse)] {
        let mut edge = TestEdge::with_servers(LLM, 4, &["m1"]);
        for _ in 0..2 {
            let sent = edge.send_request(&route(LLM), "m1");
            assert_eq!(sent.server, order[0]);
            edge.end_attempt(&sent, outcome.clone());
        }
        assert_eq!(edge.send_request(&route(LLM), "m1").server, order[1]);
        edge.advance_to(edge.now + 626);
        assert_eq!(edge.send_request(&route(LLM), "m1").server, order[0]);
    }
}

#[test]
fn success_resets_failure_count() {
    let mut edge = TestEdge::with_servers(LLM, 4, &["m1"]);
    for _ in 0..3 {
        let failing = edge.send_request(&route(LLM), "m1");
        edge.end_attempt(&failing, connection_lost());
        let served = edge.send_request(&route(LLM), "m1");
        assert_eq!(failing.server, served.server);
        edge.serve(&served);
    }
}

#[test]
fn single_probe_readmits_ejected_server() {
    let mut edge = TestEdge::with_servers(LLM, 4, &["m1"]);
    let order = server_sequence(Key::of("m1"), 4);
    let first = edge.send_request(&route(LLM), "m1");
    let retry = first_sent(&edge.end_attempt(&first, unreachable())).expect("sent to another server");
    edge.serve(&retry);
    edge.now += 700;
    let probe = edge.send_request(&route(LLM), "m1");
    let other = edge.send_request(&route(LLM), "m1");
    assert_eq!((&probe.server, &other.server), (&order[0], &order[1]));
    edge.serve(&probe);
    for _ in 0..2 {
        assert_eq!(edge.send_request(&route(LLM), "m1").server, order[0]);
    }
}

#[test]
fn failed_probes_double_backoff_up_to_maximum() {
    let mut edge = TestEdge::with_servers(LLM, 4, &["m1"]);
    let order = server_sequence(Key::of("m1"), 4);
    let mut ejection_times = Vec::new();
    for _ in 0..7 {
        let sent = edge.send_request(&route(LLM), "m1");
        assert_eq!(sent.server, order[0]);
        edge.end_attempt(&sent, unreachable());
        let begin = edge.now;
        while edge.now < begin + 10_000 {
            edge.now += 50;
            let sent = edge.send_request(&route(LLM), "m1");
            let is_probe = sent.server == order[0];
            edge.serve_or_abandon(&sent, is_probe);
            if is_probe {
                break;
            }
        }
        ejection_times.push(edge.now - begin);
    }
    let bounds =
        [(500, 675), (1000, 1300), (2000, 2550), (4000, 5050), (5000, 6300), (5000, 6300), (5000, 6300)];
    for (ejection_time, (shortest, longest)) in ejection_times.iter().zip(bounds) {
        assert!((shortest..=longest).contains(ejection_time), "{ejection_times:?}");
    }
}

impl TestEdge {
    /// Serves a request, or lets its client leave, which counts neither as a success nor as a failure of the
    /// server.
    fn serve_or_abandon(&mut self, sent: &SentAttempt, client_leaves: bool) {
        if client_leaves {
            self.handle(shaletrail_routing::interface::Event::RequestFinished(sent.request));
        } else {
            self.serve(sent);
        }
    }
}

#[test]
fn at_most_half_of_servers_are_ejected() {
    let mut edge = TestEdge::with_servers(LLM, 5, &["m1"]);
    let mut failures = std::collections::BTreeMap::<String, u32>::new();
    for _ in 0..40 {
        let sent = edge.send_request(&route(LLM), "m1");
        *failures.entry(sent.server.clone()).or_default() += 1;
        edge.end_attempt(&sent, connection_lost());
    }
    let tried: Vec<String> = {
        let open: Vec<_> = (0..30).map(|_| edge.send_request(&route(LLM), "m1")).collect();
        open.into_iter().map(|sent| sent.server).collect()
    };
    let distinct: std::collections::BTreeSet<_> = tried.into_iter().collect();
    assert_eq!(distinct.len(), 3, "{distinct:?}");
}

#[test]
fn queued_request_probes_only_replica() {
    let mut edge = TestEdge::with_servers(LLM, 4, &["m9"]);
    let mut record = server(LLM, 0, &["m1"]);
    record.heartbeat.sequence = 2;
    edge.update_servers(vec![record]);
    let first = edge.send_request(&route(LLM), "m1");
    assert_eq!(edge.end_attempt(&first, unreachable()), vec![]);
    let later = edge.advance_to(edge.now + 1000);
    let actions: Vec<Action> = later.iter().map(|(_, action)| action.clone()).collect();
    let again = first_sent(&actions).expect("sent again");
    assert_eq!((again.request, &again.server), (first.request, &first.server));
    assert!((1500..=1625).contains(&later[0].0), "{later:?}");
}

#[test]
fn displaced_server_is_unused_until_newer_record() {
    let mut edge = TestEdge::with_servers(LLM, 3, &["m1"]);
    let order = server_sequence(Key::of("m1"), 3);
    let first = edge.send_request(&route(LLM), "m1");
    let other = Ending::Rejected { status: 421, instance: Some("i-other".into()) };
    let actions = edge.end_attempt(&first, outcome(Verdict::SurelyNotRun, other));
    assert_eq!(actions[0], Action::CloseConnections(order[0].clone()));
    assert_eq!(first_sent(&actions).map(|sent| sent.server), Some(order[1].clone()));
    edge.advance_to(edge.now + 20_000);
    assert_eq!(edge.send_request(&route(LLM), "m1").server, order[1]);
    let number = order[0].trim_start_matches("i-").parse().expect("a number");
    let mut newer = server(LLM, number, &["m1"]);
    newer.heartbeat.sequence = 2;
    edge.update_servers(vec![newer]);
    assert_eq!(edge.send_request(&route(LLM), "m1").server, order[0]);
}

#[test]
fn missing_model_excludes_server_until_ttl_expires() {
    let mut edge = TestEdge::with_servers(LLM, 3, &["m1", "m2"]);
    let order = server_sequence(Key::of("m1"), 3);
    let first = edge.send_request(&route(LLM), "m1");
    let same = Ending::Rejected { status: 421, instance: Some(order[0].clone()) };
    let second = first_sent(&edge.end_attempt(&first, outcome(Verdict::SurelyNotRun, same)))
        .expect("sent to another server");
    assert_eq!(second.server, order[1]);
    edge.serve(&second);
    let third = edge.send_request(&route(LLM), "m1");
    assert_eq!(third.server, order[1]);
    edge.serve(&third);
    // Requests for another model still go to the server.
    let other = edge.send_request(&route(LLM), "m2");
    assert_eq!(other.server, server_sequence(Key::of("m2"), 3)[0]);
    edge.serve(&other);
    edge.advance_to(edge.now + 1001);
    assert_eq!(edge.send_request(&route(LLM), "m1").server, order[0]);
}

#[test]
fn rejecting_server_is_used_again_after_retry_after() {
    let mut edge = TestEdge::with_servers(LLM, 3, &["m1"]);
    let order = server_sequence(Key::of("m1"), 3);
    let first = edge.send_request(&route(LLM), "m1");
    let outcome = Outcome { retry_after_ms: Some(150), ..rejected(503) };
    let second = first_sent(&edge.end_attempt(&first, outcome)).expect("sent to another server");
    edge.serve(&second);
    edge.now += 149;
    let third = edge.send_request(&route(LLM), "m1");
    assert_eq!(third.server, order[1]);
    edge.serve(&third);
    edge.now += 1;
    assert_eq!(edge.send_request(&route(LLM), "m1").server, order[0]);
}

#[test]
fn rejection_with_free_slots_concerns_model_only() {
    let mut edge = TestEdge::with_servers(LLM, 3, &["m1", "m2"]);
    let order = server_sequence(Key::of("m1"), 3);
    let first = edge.send_request(&route(LLM), "m1");
    let outcome = Outcome { load: Some(server_load(3, 0, 64)), ..rejected(503) };
    assert_eq!(
        first_sent(&edge.end_attempt(&first, outcome)).map(|sent| sent.server),
        Some(order[1].clone())
    );
    assert_eq!(edge.send_request(&route(LLM), "m1").server, order[1]);
    let other = (2..40).map(|n| format!("m{n}")).find(|m| server_sequence(Key::of(m), 3)[0] == order[0]);
    let mut record = server(
        LLM,
        order[0][2..].parse().expect("a number"),
        &["m1", other.as_deref().expect("a model with the same home")],
    );
    record.heartbeat.sequence = 2;
    edge.update_servers(vec![record]);
    assert_eq!(edge.send_request(&route(LLM), &other.expect("a model with the same home")).server, order[0]);
}
