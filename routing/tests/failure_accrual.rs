//! Outlier detection: ejection, backoff and probes.

mod common;

use common::*;
use shaletrail_ring::Key;
use shaletrail_routing::interface::{Action, Ending, Outcome, Verdict};

#[test]
fn consecutive_failures_eject_server() {
    let order = sequence(Key::of("m1"), 4);
    for outcome in [lost(), failed(500), outcome(Verdict::MayHaveRun, Ending::MalformedResponse)] {
        let mut edge = Edge::with_servers(LLM, 4, &["m1"]);
        for _ in 0..2 {
            let sent = edge.send_request(&route(LLM), "m1");
            assert_eq!(sent.server, order[0]);
            edge.end(&sent, outcome.clone());
        }
        assert_eq!(edge.send_request(&route(LLM), "m1").server, order[1]);
        edge.pass(edge.now + 626);
        assert_eq!(edge.send_request(&route(LLM), "m1").server, order[0]);
    }
}

#[test]
fn success_resets_failure_count() {
    let mut edge = Edge::with_servers(LLM, 4, &["m1"]);
    for _ in 0..3 {
        let bad = edge.send_request(&route(LLM), "m1");
        edge.end(&bad, lost());
        let good = edge.send_request(&route(LLM), "m1");
        assert_eq!(bad.server, good.server);
        edge.serve(&good);
    }
}

#[test]
fn single_probe_readmits_ejected_server() {
    let mut edge = Edge::with_servers(LLM, 4, &["m1"]);
    let order = sequence(Key::of("m1"), 4);
    let first = edge.send_request(&route(LLM), "m1");
    let retry = sent(&edge.end(&first, unreachable())).expect("sent elsewhere");
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
    let mut edge = Edge::with_servers(LLM, 4, &["m1"]);
    let order = sequence(Key::of("m1"), 4);
    let mut pauses = Vec::new();
    for _ in 0..7 {
        let sent = edge.send_request(&route(LLM), "m1");
        assert_eq!(sent.server, order[0]);
        edge.end(&sent, unreachable());
        let begin = edge.now;
        while edge.now < begin + 10_000 {
            edge.now += 50;
            let sent = edge.send_request(&route(LLM), "m1");
            let is_trial = sent.server == order[0];
            edge.serve_or_abandon(&sent, is_trial);
            if is_trial {
                break;
            }
        }
        pauses.push(edge.now - begin);
    }
    let bounds =
        [(500, 675), (1000, 1300), (2000, 2550), (4000, 5050), (5000, 6300), (5000, 6300), (5000, 6300)];
    for (pause, (shortest, longest)) in pauses.iter().zip(bounds) {
        assert!((shortest..=longest).contains(pause), "{pauses:?}");
    }
}

impl Edge {
    /// Serves a request, or has its client leave, which says nothing of the server.
    fn serve_or_abandon(&mut self, sent: &Sent, leave: bool) {
        if leave {
            self.handle(shaletrail_routing::interface::Event::RequestFinished(sent.request));
        } else {
            self.serve(sent);
        }
    }
}

#[test]
fn at_most_half_of_servers_are_ejected() {
    let mut edge = Edge::with_servers(LLM, 5, &["m1"]);
    let mut failures = std::collections::BTreeMap::<String, u32>::new();
    for _ in 0..40 {
        let sent = edge.send_request(&route(LLM), "m1");
        *failures.entry(sent.server.clone()).or_default() += 1;
        edge.end(&sent, lost());
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
    let mut edge = Edge::with_servers(LLM, 4, &["m9"]);
    let mut record = server(LLM, 0, &["m1"]);
    record.heartbeat.sequence = 2;
    edge.servers(vec![record]);
    let first = edge.send_request(&route(LLM), "m1");
    assert_eq!(edge.end(&first, unreachable()), vec![]);
    let later = edge.pass(edge.now + 1000);
    let actions: Vec<Action> = later.iter().map(|(_, action)| action.clone()).collect();
    let again = sent(&actions).expect("tried again");
    assert_eq!((again.request, &again.server), (first.request, &first.server));
    assert!((1500..=1625).contains(&later[0].0), "{later:?}");
}

#[test]
fn displaced_server_is_unused_until_newer_record() {
    let mut edge = Edge::with_servers(LLM, 3, &["m1"]);
    let order = sequence(Key::of("m1"), 3);
    let first = edge.send_request(&route(LLM), "m1");
    let other = Ending::Rejected { status: 421, instance: Some("i-other".into()) };
    let actions = edge.end(&first, outcome(Verdict::SurelyNotRun, other));
    assert_eq!(actions[0], Action::CloseConnections(order[0].clone()));
    assert_eq!(sent(&actions).map(|sent| sent.server), Some(order[1].clone()));
    edge.pass(edge.now + 20_000);
    assert_eq!(edge.send_request(&route(LLM), "m1").server, order[1]);
    let number = order[0].trim_start_matches("i-").parse().expect("a number");
    let mut newer = server(LLM, number, &["m1"]);
    newer.heartbeat.sequence = 2;
    edge.servers(vec![newer]);
    assert_eq!(edge.send_request(&route(LLM), "m1").server, order[0]);
}

#[test]
fn misdirected_model_skips_server_for_a_while() {
    let mut edge = Edge::with_servers(LLM, 3, &["m1", "m2"]);
    let order = sequence(Key::of("m1"), 3);
    let first = edge.send_request(&route(LLM), "m1");
    let same = Ending::Rejected { status: 421, instance: Some(order[0].clone()) };
    let second = sent(&edge.end(&first, outcome(Verdict::SurelyNotRun, same))).expect("elsewhere");
    assert_eq!(second.server, order[1]);
    edge.serve(&second);
    let third = edge.send_request(&route(LLM), "m1");
    assert_eq!(third.server, order[1]);
    edge.serve(&third);
    // Another model is not concerned.
    let other = edge.send_request(&route(LLM), "m2");
    assert_eq!(other.server, sequence(Key::of("m2"), 3)[0]);
    edge.serve(&other);
    edge.pass(edge.now + 1001);
    assert_eq!(edge.send_request(&route(LLM), "m1").server, order[0]);
}

#[test]
fn rejecting_server_is_retried_after_retry_after() {
    let mut edge = Edge::with_servers(LLM, 3, &["m1"]);
    let order = sequence(Key::of("m1"), 3);
    let first = edge.send_request(&route(LLM), "m1");
    let outcome = Outcome { retry_after_ms: Some(150), ..rejected(503) };
    let second = sent(&edge.end(&first, outcome)).expect("elsewhere");
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
    let mut edge = Edge::with_servers(LLM, 3, &["m1", "m2"]);
    let order = sequence(Key::of("m1"), 3);
    let first = edge.send_request(&route(LLM), "m1");
    let outcome = Outcome { load: Some(load(3, 0, 64)), ..rejected(503) };
    assert_eq!(sent(&edge.end(&first, outcome)).map(|sent| sent.server), Some(order[1].clone()));
    assert_eq!(edge.send_request(&route(LLM), "m1").server, order[1]);
    let other = (2..40).map(|n| format!("m{n}")).find(|m| sequence(Key::of(m), 3)[0] == order[0]);
    let mut record =
        server(LLM, order[0][2..].parse().expect("a number"), &["m1", other.as_deref().expect("one")]);
    record.heartbeat.sequence = 2;
    edge.servers(vec![record]);
    assert_eq!(edge.send_request(&route(LLM), &other.expect("one")).server, order[0]);
}
